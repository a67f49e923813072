// Package crashfs is a folder in memory that crashes: after any operation, with everything that a file system may have
// made of what was not synced by then. It can also be full or fail.
package crashfs

import (
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"

	"ternbeam/internal/store"
)

// ErrCrashed is what operations return once the folder has crashed.
var ErrCrashed = errors.New("crashed")

// FS is a folder. Names and bytes that were synced survive a crash; of those that were not, any may.
type FS struct {
	CrashAfter int                          // operations that change something, after which it crashes; none where negative
	Fail       func(op, name string) error  // where not nil, is asked before each operation
	Room       int                          // bytes that files may hold in all; no bound where 0
	Ops        []string                     // the operations that changed something
	names      map[string]*inode            // as programs see them
	durable    map[string]*inode            // those that survive
	pending    []func(at map[string]*inode) // changes of names since the last sync of the folder
	owned      bool
}

type inode struct {
	bytes   []byte
	durable []byte
	pending []write // since the last sync of the file
}

type write struct {
	at   int
	text []byte
}

// New returns an empty folder.
func New() *FS {
	return &FS{CrashAfter: -1, names: map[string]*inode{}, durable: map[string]*inode{}}
}

// Of returns a folder that holds files, all synced.
func Of(files map[string][]byte) *FS {
	f := New()
	for name, text := range files {
		n := &inode{bytes: slices.Clone(text), durable: slices.Clone(text)}
		f.names[name], f.durable[name] = n, n
	}
	return f
}

// Files returns the files as programs see them.
func (f *FS) Files() map[string][]byte {
	files := map[string][]byte{}
	for name, n := range f.names {
		files[name] = slices.Clone(n.bytes)
	}
	return files
}

// change opens an operation that changes something: it may fail, or the folder has crashed by then. What is done is done
// before it crashes, as an operation that is not done is that of one crash earlier.
func (f *FS) change(op, name string) error {
	if f.CrashAfter >= 0 && len(f.Ops) >= f.CrashAfter {
		return ErrCrashed
	}
	f.Ops = append(f.Ops, op+" "+name)
	return f.ask(op, name)
}

func (f *FS) ask(op, name string) error {
	if f.Fail != nil {
		return f.Fail(op, name)
	}
	return nil
}

// name changes the names, for programs at once and for good at the next sync.
func (f *FS) name(change func(at map[string]*inode)) {
	change(f.names)
	f.pending = append(f.pending, change)
}

// List returns the names.
func (f *FS) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.names)), f.ask("list", "")
}

// Read returns a file's bytes.
func (f *FS) Read(name string, most int64) ([]byte, error) {
	n := f.names[name]
	switch {
	case n == nil:
		return nil, fmt.Errorf("no file %q", name)
	case int64(len(n.bytes)) > most:
		return nil, fmt.Errorf("%s: more than %d bytes", name, most)
	}
	return slices.Clone(n.bytes), f.ask("read", name)
}

// Create opens an empty file.
func (f *FS) Create(name string) (store.File, error) {
	if err := f.change("create", name); err != nil {
		return nil, err
	}
	n := new(inode)
	f.name(func(at map[string]*inode) { at[name] = n })
	return &file{fs: f, name: name, inode: n}, nil
}

// Rename renames a file.
func (f *FS) Rename(from, to string) error {
	if err := f.change("rename", from); err != nil {
		return err
	}
	n := f.names[from]
	if n == nil {
		return fmt.Errorf("no file %q", from)
	}
	f.name(func(at map[string]*inode) { delete(at, from); at[to] = n })
	return nil
}

// Remove removes a file.
func (f *FS) Remove(name string) error {
	if err := f.change("remove", name); err != nil {
		return err
	}
	f.name(func(at map[string]*inode) { delete(at, name) })
	return nil
}

// Sync makes the names survive.
func (f *FS) Sync() error {
	if err := f.change("sync", "the folder"); err != nil {
		return err
	}
	for _, change := range f.pending {
		change(f.durable)
	}
	f.pending = nil
	return nil
}

// Lock makes the folder the caller's, until it gives it back or the folder crashes.
func (f *FS) Lock() (unlock func() error, left string, err error) {
	if f.owned {
		return nil, "", store.ErrOwned
	}
	if err := f.ask("lock", ""); err != nil {
		return nil, "", err
	}
	f.owned = true
	return func() error { f.owned = false; return nil }, "", nil
}

type file struct {
	fs   *FS
	name string
	*inode
}

// Write adds to the file. Where the folder is full it adds what there is room for.
func (w *file) Write(text []byte) (int, error) {
	if err := w.fs.change("write", w.name); err != nil {
		return 0, err
	}
	if room := w.fs.room(); len(text) > room {
		w.add(text[:room])
		return room, errors.New("no space left")
	}
	w.add(text)
	return len(text), nil
}

func (w *file) add(text []byte) {
	w.pending = append(w.pending, write{len(w.bytes), slices.Clone(text)})
	w.bytes = append(w.bytes, text...)
}

func (f *FS) room() int {
	if f.Room == 0 {
		return 1 << 30
	}
	room := f.Room
	for _, n := range f.names {
		room -= len(n.bytes)
	}
	return max(0, room)
}

// Sync makes the bytes survive, not the name.
func (w *file) Sync() error {
	if err := w.fs.change("sync", w.name); err != nil {
		return err
	}
	w.durable, w.pending = slices.Clone(w.bytes), nil
	return nil
}

// Close closes the file, which makes nothing survive.
func (w *file) Close() error { return nil }

// left is what may be left of a write that was not synced.
type left struct {
	length int // of the file it accounts for
	bytes  int // of these that hold what was written; the others hold zeros
}

// remains lists them: nothing, its length without its bytes, the bytes to some place, all.
func (w write) remains() []left {
	n := len(w.text)
	all := []left{{0, 0}, {n, 0}, {n, n}}
	for _, cut := range []int{1, n / 2, n - 1} {
		if cut > 0 && cut < n {
			all = append(all, left{cut, cut}, left{n, cut})
		}
	}
	return all
}

// Crashes goes through every folder that may be found after a crash now: each change of names that was not synced did
// or did not survive, each write too, or a part of it, in any order.
func (f *FS) Crashes() iter.Seq[*FS] {
	return func(yield func(*FS) bool) {
		for some := range 1 << len(f.pending) {
			at := maps.Clone(f.durable)
			for i, change := range f.pending {
				if some>>i&1 == 1 {
					change(at)
				}
			}
			var torn []*inode // each once, in the order of names
			for _, name := range slices.Sorted(maps.Keys(at)) {
				if n := at[name]; len(n.pending) > 0 && !slices.Contains(torn, n) {
					torn = append(torn, n)
				}
			}
			if !tear(torn, map[*inode][]byte{}, func(bytes map[*inode][]byte) bool {
				files := map[string][]byte{}
				for name, n := range at {
					if files[name] = n.durable; bytes[n] != nil {
						files[name] = bytes[n]
					}
				}
				return yield(Of(files))
			}) {
				return
			}
		}
	}
}

// tear goes through what may be left of the files' writes.
func tear(files []*inode, bytes map[*inode][]byte, each func(map[*inode][]byte) bool) bool {
	if len(files) == 0 {
		return each(bytes)
	}
	n := files[0]
	return n.tear(0, slices.Clone(n.durable), func(text []byte) bool {
		bytes[n] = text
		return tear(files[1:], bytes, each)
	})
}

func (n *inode) tear(from int, text []byte, each func([]byte) bool) bool {
	if from == len(n.pending) {
		if text == nil {
			text = []byte{}
		}
		return each(text)
	}
	w := n.pending[from]
	for _, l := range w.remains() {
		next := slices.Clone(text)
		if end := w.at + l.length; l.length > 0 && len(next) < end {
			next = append(next, make([]byte, end-len(next))...)
		}
		copy(next[min(w.at, len(next)):], w.text[:l.bytes])
		if !n.tear(from+1, next, each) {
			return false
		}
	}
	return true
}
