// Package store keeps named records in a folder so that they survive crashes: a snapshot, and a log of what changed
// since. One process owns a folder at a time. What the files look like and what a crash leaves of them is the matter of
// package frames; this package makes the operations, in the order that survives.
package store

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"ternbeam/internal/store/frames"
)

// Record is a named value of a kind and a format.
type Record = frames.Record

// FS is a folder, by the operations that a store makes on it. Names have no separators.
type FS interface {
	List() ([]string, error)
	// Read returns a file's bytes; one of more than most is an error.
	Read(name string, most int64) ([]byte, error)
	// Create opens a new file for writing; an old one of the name is emptied.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes names that were created, renamed and removed so far survive a crash.
	Sync() error
	// Lock makes the folder this process's, and says what the one before left of itself: nothing if it gave it back.
	// It fails with ErrOwned where that one is alive.
	Lock() (unlock func() error, left string, err error)
}

// File is a file that is written from its beginning on.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Errors of a store.
var (
	ErrOwned    = errors.New("another process owns the folder")
	ErrTooLarge = errors.New("more than the store may hold")
	ErrClosed   = errors.New("the store is closed")
)

// Upgrade turns a body of one format into one of the next.
type Upgrade func(body []byte) ([]byte, error)

// Settings bound a store.
type Settings struct {
	MostBytes   int64                // of bodies and names, over all records; 0 for 64 MiB
	MostLog     int64                // a log beyond it and beyond what all records hold is put together in a new snapshot; 0 for 256 KiB
	MostRecords int                  // 0 for 65,536
	Upgrades    map[string][]Upgrade // by kind: what turns format 1 into 2, 2 into 3 and so on
}

func (s Settings) withDefaults() Settings {
	or := func(x *int64, other int64) {
		if *x == 0 {
			*x = other
		}
	}
	or(&s.MostBytes, 64<<20)
	or(&s.MostLog, 256<<10)
	if s.MostRecords == 0 {
		s.MostRecords = frames.MaxRecords
	}
	return s
}

// fileBound is the most that a file may hold that is read: all records, a log over its bound and what surrounds them.
func (s Settings) fileBound() int64 { return 3*s.MostBytes + 2*s.MostLog + frames.MaxFrame }

// Report says what was found when a store was opened.
type Report struct {
	Left     string        // what the owner before left of itself, where it did not end in order
	From     uint64        // the generation of the snapshot; 0 for none
	Batches  int           // applied from logs
	Records  int           // found
	Upgraded int           // of them, brought to a newer format
	Dropped  []frames.Drop // what was passed over, and why
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	set     Settings
	fs      FS
	unlock  func() error
	records map[string]Record
	bytes   int64

	newest  uint64 // generation that any file names
	log     File   // of the newest generation; nil where the next write begins a new one
	logSize int64
	frames  int // in the log
	logged  int // records in these
}

// Open makes a folder this process's and reads what is there. What cannot be read is passed over and reported; an error
// says that the folder itself cannot be used.
func Open(fs FS, set Settings) (*Store, Report, error) {
	unlock, left, err := fs.Lock()
	if err != nil {
		return nil, Report{}, fmt.Errorf("locking the folder: %w", err)
	}
	s := &Store{set: set.withDefaults(), fs: fs, unlock: unlock}
	got, err := s.recover()
	if err != nil {
		return nil, Report{}, errors.Join(err, unlock())
	}
	s.records, s.newest = got.Records, got.Newest
	report := Report{Left: left, From: got.From, Batches: got.Batches, Records: len(got.Records), Dropped: got.Dropped}
	report.Upgraded = s.upgrade(&report)
	for _, r := range s.records {
		s.bytes += size(r)
	}
	return s, report, nil
}

// Peek reads a folder without owning it, as it is at some moment, for programs that only show it.
func Peek(fs FS, set Settings) (map[string]Record, Report, error) {
	s := &Store{set: set.withDefaults(), fs: fs}
	got, err := s.recover()
	if err != nil {
		return nil, Report{}, err
	}
	s.records = got.Records
	report := Report{From: got.From, Batches: got.Batches, Records: len(got.Records), Dropped: got.Dropped}
	report.Upgraded = s.upgrade(&report)
	return s.records, report, nil
}

func (s *Store) recover() (frames.Recovered, error) {
	names, err := s.fs.List()
	if err != nil {
		return frames.Recovered{}, fmt.Errorf("reading the folder: %w", err)
	}
	return frames.Recover(names, func(name string) ([]byte, error) { return s.fs.Read(name, s.set.fileBound()) }), nil
}

// upgrade brings records to the newest format of their kind. The next snapshot keeps them so. One that is newer than
// this program knows stays as it is.
func (s *Store) upgrade(report *Report) (upgraded int) {
	for _, name := range slices.Sorted(maps.Keys(s.records)) {
		r := s.records[name]
		steps := s.set.Upgrades[r.Kind]
		newest := uint32(len(steps) + 1)
		if len(steps) == 0 || r.Format >= newest {
			continue
		}
		var err error
		if r.Format < 1 {
			err = errors.New("formats begin at 1")
		}
		before := r.Format
		for ; err == nil && r.Format < newest; r.Format++ {
			r.Body, err = steps[r.Format-1](r.Body)
		}
		if err != nil {
			report.Dropped = append(report.Dropped, frames.Drop{File: "record " + name, Bytes: len(s.records[name].Body),
				Why: fmt.Sprintf("upgrading it from format %d: %v", before, err)})
			delete(s.records, name)
			continue
		}
		s.records[name] = r
		upgraded++
	}
	return upgraded
}

func size(r Record) int64 { return int64(len(r.Name) + len(r.Kind) + len(r.Body)) }

// Get returns a record. Its body must not be changed.
func (s *Store) Get(name string) (Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// All returns all records by their names. The map must not be changed, and holds until the next Put.
func (s *Store) All() map[string]Record { return s.records }

// Put writes records, all or none, and returns once they survive a crash. After an error of the folder's, whether they do
// is not known; a later Put that succeeds makes them. The bodies belong to the store from then on.
func (s *Store) Put(batch ...Record) error {
	if s.fs == nil {
		return ErrClosed
	}
	if len(batch) == 0 {
		return nil
	}
	if err := s.fits(batch); err != nil {
		return err
	}
	for _, r := range batch {
		s.bytes -= size(s.records[r.Name])
		if !r.Gone {
			s.bytes += size(r)
		}
		frames.Apply(s.records, []Record{r})
	}
	if s.log == nil {
		return s.Compact()
	}
	// The log gets every batch before a snapshot does: sealed, it stands in for a snapshot that cannot be read.
	if err := s.append(batch); err != nil {
		return err
	}
	if s.logSize > max(s.set.MostLog, s.bytes) {
		s.Compact() // where it fails the batch is safe all the same, and the next Put tries again
	}
	return nil
}

// fits says whether the store may hold a batch too.
func (s *Store) fits(batch []Record) error {
	bytes, count := s.bytes, len(s.records)
	last := map[string]Record{}
	for _, r := range batch {
		if err := r.Check(); err != nil {
			return err
		}
		if int64(len(r.Body)) > frames.MaxFrame/2 {
			return fmt.Errorf("record %q: %w: %d bytes", r.Name, ErrTooLarge, len(r.Body))
		}
		before, ok := last[r.Name]
		if !ok {
			before, ok = s.records[r.Name]
		}
		if ok && !before.Gone {
			bytes -= size(before)
			count--
		}
		if !r.Gone {
			bytes += size(r)
			count++
		}
		last[r.Name] = r
	}
	if bytes > s.set.MostBytes || count > s.set.MostRecords || len(batch) > frames.MaxRecords {
		return fmt.Errorf("%w: %d bytes in %d records, %d and %d at most", ErrTooLarge, bytes, count, s.set.MostBytes,
			s.set.MostRecords)
	}
	return nil
}

// append adds a batch to the log. After a failure what is in the file is not known: nothing more is added to it.
func (s *Store) append(batch []Record) error {
	f, err := frames.Batch(s.newest, s.frames, batch)
	if err == nil {
		_, err = s.log.Write(f)
	}
	if err == nil {
		err = s.log.Sync()
	}
	if err != nil {
		s.log.Close()
		s.log = nil
		return fmt.Errorf("adding to the log: %w", err)
	}
	s.logSize += int64(len(f))
	s.frames++
	s.logged += len(batch)
	return nil
}

// snapshotFrame is about how many bytes a frame of a snapshot carries.
const snapshotFrame = 64 << 10

// Compact puts all records together in a new snapshot with an empty log. The generation before it stays, for the day on
// which the new one cannot be read; older ones go.
func (s *Store) Compact() (err error) {
	if s.fs == nil {
		return ErrClosed
	}
	old := s.log
	s.log = nil
	s.newest++ // also where it fails: what was begun under a number is not trusted to be what comes next
	g := s.newest
	defer func() {
		if old != nil {
			old.Close()
		}
		if err != nil {
			err = fmt.Errorf("writing generation %d: %w", g, err)
		}
	}()
	text, err := frames.Words(g, s.records, snapshotFrame)
	if err != nil {
		return err
	}
	name := frames.Name(frames.Snapshot, g)
	unfinished := name + frames.Unfinished
	if err := s.write(unfinished, text); err != nil {
		s.fs.Remove(unfinished) // a full folder may not keep what is of no use
		return err
	}
	if err := s.fs.Rename(unfinished, name); err != nil {
		return err
	}
	log, err := s.fs.Create(frames.Name(frames.Log, g))
	if err != nil {
		return err
	}
	head := frames.Head(frames.Log, g)
	if _, err = log.Write(head); err == nil {
		err = log.Sync()
	}
	if err == nil {
		err = s.fs.Sync()
	}
	if err != nil {
		log.Close()
		return err
	}
	if old != nil { // a seal that is not there only makes a fall-back shorter
		if seal, err := frames.End(g-1, s.frames, s.logged); err == nil {
			old.Write(seal)
		}
	}
	s.log, s.logSize, s.frames, s.logged = log, int64(len(head)), 0, 0
	s.prune(g)
	return nil
}

func (s *Store) write(name string, text []byte) error {
	f, err := s.fs.Create(name)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	return errors.Join(err, f.Close())
}

// prune removes what lies before the generation that precedes g, and what was never finished. What cannot be removed now
// may be the next time; all that is to be kept is kept already.
func (s *Store) prune(g uint64) {
	names, err := s.fs.List()
	if err != nil {
		return
	}
	before := uint64(0)
	for _, name := range names {
		if f, ok := frames.Parse(name); ok && f.Sort == frames.Snapshot && f.Generation < g {
			before = max(before, f.Generation)
		}
	}
	for _, name := range names {
		f, ok := frames.Parse(name)
		if ok && f.Generation < before || strings.HasSuffix(name, frames.Unfinished) {
			s.fs.Remove(name)
		}
	}
}

// Close gives the folder back.
func (s *Store) Close() error {
	if s.fs == nil {
		return nil
	}
	s.fs = nil
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.unlock())
}
