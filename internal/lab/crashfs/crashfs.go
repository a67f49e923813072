// Package crashfs provides an in-memory folder that simulates crashes: after any operation, and with every state in which
// a file system may leave data that was not yet synced. The folder can also be full, and its operations can fail.
package crashfs

import (
	"errors"
	"fmt"
	"iter"
	"maps"
	"slices"

	"ternbeam/internal/store"
)

// ErrCrashed is returned by operations after the folder has crashed.
var ErrCrashed = errors.New("crashed")

// FS is a folder. Synced names and bytes survive a crash; any part of those not synced may survive too. It is not safe for
// concurrent use.
type FS struct {
	CrashAfter int                          // number of modifying operations after which it crashes; never if negative
	Fail       func(op, name string) error  // if not nil, called for each operation; its error is the error of the operation
	MaxBytes   int                          // maximum total size of the files in bytes; no limit if 0
	Ops        []string                     // the modifying operations so far
	names      map[string]*inode            // as seen by programs
	durable    map[string]*inode            // those that survive a crash
	pending    []func(at map[string]*inode) // changes of names since the last Sync of the folder
	locked     bool
}

type inode struct {
	bytes   []byte
	durable []byte
	pending []write // since the last Sync of the file
}

type write struct {
	at   int
	text []byte
}

// New returns an empty folder.
func New() *FS {
	return &FS{CrashAfter: -1, names: map[string]*inode{}, durable: map[string]*inode{}}
}

// FromFiles returns a folder with the given files, all synced.
func FromFiles(files map[string][]byte) *FS {
	f := New()
	for name, text := range files {
		n := &inode{bytes: slices.Clone(text), durable: slices.Clone(text)}
		f.names[name], f.durable[name] = n, n
	}
	return f
}

// Files returns a copy of the files as seen by programs.
func (f *FS) Files() map[string][]byte {
	files := map[string][]byte{}
	for name, n := range f.names {
		files[name] = slices.Clone(n.bytes)
	}
	return files
}

// change starts a modifying operation. It returns an error if the operation fails or the folder has crashed. The last
// operation before a crash takes effect: a crash before it is the case of a CrashAfter smaller by one.
func (f *FS) change(op, name string) error {
	if f.CrashAfter >= 0 && len(f.Ops) >= f.CrashAfter {
		return ErrCrashed
	}
	f.Ops = append(f.Ops, op+" "+name)
	return f.injectedError(op, name)
}

func (f *FS) injectedError(op, name string) error {
	if f.Fail != nil {
		return f.Fail(op, name)
	}
	return nil
}

// changeNames changes the names, immediately for programs and durably with the next Sync.
func (f *FS) changeNames(change func(at map[string]*inode)) {
	change(f.names)
	f.pending = append(f.pending, change)
}

// List returns the names of the files, sorted.
func (f *FS) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.names)), f.injectedError("list", "")
}

// Read returns the bytes of a file. It fails if there are more than maxBytes.
func (f *FS) Read(name string, maxBytes int64) ([]byte, error) {
	n := f.names[name]
	switch {
	case n == nil:
		return nil, fmt.Errorf("file %q does not exist", name)
	case int64(len(n.bytes)) > maxBytes:
		return nil, fmt.Errorf("file %s is larger than %d bytes", name, maxBytes)
	}
	return slices.Clone(n.bytes), f.injectedError("read", name)
}

// Create creates an empty file, or replaces a file by an empty one.
func (f *FS) Create(name string) (store.File, error) {
	if err := f.change("create", name); err != nil {
		return nil, err
	}
	n := new(inode)
	f.changeNames(func(at map[string]*inode) { at[name] = n })
	return &file{fs: f, name: name, inode: n}, nil
}

// Rename renames a file. It replaces a file that has the new name.
func (f *FS) Rename(from, to string) error {
	if err := f.change("rename", from); err != nil {
		return err
	}
	n := f.names[from]
	if n == nil {
		return fmt.Errorf("file %q does not exist", from)
	}
	f.changeNames(func(at map[string]*inode) { delete(at, from); at[to] = n })
	return nil
}

// Remove removes a file, if it exists.
func (f *FS) Remove(name string) error {
	if err := f.change("remove", name); err != nil {
		return err
	}
	f.changeNames(func(at map[string]*inode) { delete(at, name) })
	return nil
}

// Sync makes the current names durable.
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

// Lock locks the folder until unlock is called, or returns store.ErrOwned if it is locked. A folder found after a crash is not locked.
func (f *FS) Lock() (unlock func() error, left string, err error) {
	if f.locked {
		return nil, "", store.ErrOwned
	}
	if err := f.injectedError("lock", ""); err != nil {
		return nil, "", err
	}
	f.locked = true
	return func() error { f.locked = false; return nil }, "", nil
}

type file struct {
	fs   *FS
	name string
	*inode
}

// Write appends to the file. If MaxBytes is exceeded, it appends what fits and returns an error.
func (w *file) Write(text []byte) (int, error) {
	if err := w.fs.change("write", w.name); err != nil {
		return 0, err
	}
	if room := w.fs.freeBytes(); len(text) > room {
		w.appendBytes(text[:room])
		return room, errors.New("no space left in the folder")
	}
	w.appendBytes(text)
	return len(text), nil
}

func (w *file) appendBytes(text []byte) {
	w.pending = append(w.pending, write{len(w.bytes), slices.Clone(text)})
	w.bytes = append(w.bytes, text...)
}

func (f *FS) freeBytes() int {
	if f.MaxBytes == 0 {
		return 1 << 30
	}
	room := f.MaxBytes
	for _, n := range f.names {
		room -= len(n.bytes)
	}
	return max(0, room)
}

// Sync makes the bytes of the file durable, but not its name.
func (w *file) Sync() error {
	if err := w.fs.change("sync", w.name); err != nil {
		return err
	}
	w.durable, w.pending = slices.Clone(w.bytes), nil
	return nil
}

// Close closes the file. It makes nothing durable.
func (w *file) Close() error { return nil }

// remainder describes what may remain of a write that was not synced.
type remainder struct {
	length int // by which the write extends the file
	bytes  int // how many of these contain the written data; the others are zeros
}

// remainders lists what may remain of the write: nothing, its length filled with zeros, a prefix of the data with or without the full
// length, or all of it.
func (w write) remainders() []remainder {
	n := len(w.text)
	all := []remainder{{0, 0}, {n, 0}, {n, n}}
	for _, cut := range []int{1, n / 2, n - 1} {
		if cut > 0 && cut < n {
			all = append(all, remainder{cut, cut}, remainder{n, cut})
		}
	}
	return all
}

// CrashStates iterates over every folder that may be found after a crash at this point: each unsynced change of names
// survived or did not, and so did each unsynced write or a part of it, independently of their order.
func (f *FS) CrashStates() iter.Seq[*FS] {
	return func(yield func(*FS) bool) {
		for mask := range 1 << len(f.pending) {
			at := maps.Clone(f.durable)
			for i, change := range f.pending {
				if mask>>i&1 == 1 {
					change(at)
				}
			}
			var torn []*inode // files with unsynced writes, each once, in the order of their names
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
				return yield(FromFiles(files))
			}) {
				return
			}
		}
	}
}

// tear iterates over the combinations of what may remain of the files' unsynced writes.
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

// tear iterates over what the file may contain after a crash: text, extended by what may remain of each unsynced write from
// index from on.
func (n *inode) tear(from int, text []byte, each func([]byte) bool) bool {
	if from == len(n.pending) {
		if text == nil {
			text = []byte{}
		}
		return each(text)
	}
	w := n.pending[from]
	for _, l := range w.remainders() {
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
