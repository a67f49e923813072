// Package store keeps named records in a folder durably: a snapshot, and a log of the changes since the snapshot. One process owns a folder at a
// time. Package frames defines the file formats and recovery after a crash; this package performs the file operations in a crash-safe order.
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

// Record is a named value with a kind and a format.
type Record = frames.Record

// FS performs a store's operations on its folder. File names have no path separators.
type FS interface {
	List() ([]string, error) // names of the files
	// Read returns the content of a file. It fails if the file has more than limit bytes.
	Read(name string, limit int64) ([]byte, error)
	// Create creates a file, or truncates an existing one, and opens it for writing.
	Create(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	// Sync makes all creations, renames and removals so far durable.
	Sync() error
	// Lock locks the folder for this process. previousOwner identifies the process that held the lock before if that ended without unlocking,
	// and is empty otherwise. Lock fails with ErrOwned if another process holds the lock.
	Lock() (unlock func() error, previousOwner string, err error)
}

// File is a file that is written sequentially.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Errors of a store.
var (
	ErrOwned    = errors.New("another process owns the folder")
	ErrTooLarge = errors.New("larger than the store's limits")
	ErrClosed   = errors.New("the store is closed")
)

// Upgrade converts a body from one format to the next.
type Upgrade func(body []byte) ([]byte, error)

// Settings configure a store.
type Settings struct {
	MaxBytes    int64                // maximum size of names, kinds and bodies of all records; 0 for 64 MiB
	MaxLogBytes int64                // size in bytes above which a log that is also larger than all records is compacted; 0 for 256 KiB
	MaxRecords  int                  // maximum number of records; 0 for 65,536
	Upgrades    map[string][]Upgrade // by kind; element i converts format i+1 to i+2
}

func (s Settings) withDefaults() Settings {
	setDefault := func(x *int64, value int64) {
		if *x == 0 {
			*x = value
		}
	}
	setDefault(&s.MaxBytes, 64<<20)
	setDefault(&s.MaxLogBytes, 256<<10)
	if s.MaxRecords == 0 {
		s.MaxRecords = frames.MaxRecords
	}
	return s
}

// maxFileSize is the maximum size in bytes of a file to read: all records, an oversized log and the framing.
func (s Settings) maxFileSize() int64 { return 3*s.MaxBytes + 2*s.MaxLogBytes + frames.MaxFrame }

// Report describes what was found when a store was opened.
type Report struct {
	Left     string        // identity of the previous owner, if it ended without closing the store
	From     uint64        // generation of the snapshot; 0 for none
	Batches  int           // number of batches applied from logs
	Records  int           // number of records found
	Upgraded int           // number of records converted to a newer format
	Dropped  []frames.Drop // what was skipped, and why
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	set     Settings
	fs      FS
	unlock  func() error
	records map[string]Record
	bytes   int64 // total size of the records, as limited by MaxBytes

	newest     uint64 // the highest generation in a file name
	log        File   // log of the newest generation; nil if the next write must begin a new generation
	logSize    int64  // in bytes
	logFrames  int    // number of frames in the log
	logRecords int    // number of records in these frames
}

// Open locks a folder for this process and reads its records. Unreadable data is skipped and reported; an error means that the folder itself
// cannot be used.
func Open(fs FS, set Settings) (*Store, Report, error) {
	unlock, previousOwner, err := fs.Lock()
	if err != nil {
		return nil, Report{}, fmt.Errorf("locking the folder: %w", err)
	}
	s := &Store{set: set.withDefaults(), fs: fs, unlock: unlock}
	got, err := s.recover()
	if err != nil {
		return nil, Report{}, errors.Join(err, unlock())
	}
	s.records, s.newest = got.Records, got.Newest
	report := Report{Left: previousOwner, From: got.From, Batches: got.Batches, Records: len(got.Records), Dropped: got.Dropped}
	report.Upgraded = s.upgrade(&report)
	for _, r := range s.records {
		s.bytes += size(r)
	}
	return s, report, nil
}

// Peek reads the current records of a folder without locking it, for programs that only display them.
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
	return frames.Recover(names, func(name string) ([]byte, error) { return s.fs.Read(name, s.set.maxFileSize()) }), nil
}

// upgrade converts records to the newest format of their kind; the next snapshot stores the result. Records in a format newer than this program
// knows are left unchanged.
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

// size is the size of a record in bytes that counts against the limits.
func size(r Record) int64 { return int64(len(r.Name) + len(r.Kind) + len(r.Body)) }

// Get returns a record. Its body must not be modified.
func (s *Store) Get(name string) (Record, bool) {
	r, ok := s.records[name]
	return r, ok
}

// All returns all records by name. The map must not be modified and is valid until the next Put.
func (s *Store) All() map[string]Record { return s.records }

// Put writes records atomically and returns once they are durable. After an I/O error it is unknown whether they are durable; they become so with
// the next successful Put. The caller must not modify the bodies afterwards.
func (s *Store) Put(batch ...Record) error {
	if s.fs == nil {
		return ErrClosed
	}
	if len(batch) == 0 {
		return nil
	}
	if err := s.checkLimits(batch); err != nil {
		return err
	}
	for _, r := range batch {
		s.bytes -= size(s.records[r.Name])
		if !r.Deleted {
			s.bytes += size(r)
		}
		frames.Apply(s.records, []Record{r})
	}
	if s.log == nil {
		return s.Compact()
	}
	// While there is a log, a batch is written to it before the next snapshot: the previous snapshot and its complete log can then replace
	// that snapshot if it is unreadable.
	if err := s.append(batch); err != nil {
		return err
	}
	if s.logSize > max(s.set.MaxLogBytes, s.bytes) {
		s.Compact() // if it fails, the batch is durable nevertheless, and the next Put tries again
	}
	return nil
}

// checkLimits returns an error if a record of the batch is invalid or the store would exceed its limits.
func (s *Store) checkLimits(batch []Record) error {
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
		if ok && !before.Deleted {
			bytes -= size(before)
			count--
		}
		if !r.Deleted {
			bytes += size(r)
			count++
		}
		last[r.Name] = r
	}
	if bytes > s.set.MaxBytes || count > s.set.MaxRecords || len(batch) > frames.MaxRecords {
		return fmt.Errorf("%w: %d bytes in %d records, at most %d and %d are allowed", ErrTooLarge, bytes, count, s.set.MaxBytes,
			s.set.MaxRecords)
	}
	return nil
}

// append adds a batch to the log. After a failure the content of the file is unknown, so nothing more is added to it.
func (s *Store) append(batch []Record) error {
	f, err := frames.EncodeBatch(s.newest, s.logFrames, batch)
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
	s.logFrames++
	s.logRecords += len(batch)
	return nil
}

// snapshotFrameBytes is the approximate payload of a snapshot's frame in bytes.
const snapshotFrameBytes = 64 << 10

// Compact writes all records to a new snapshot with an empty log. The previous generation is kept in case the new one cannot be read; older
// generations are removed.
func (s *Store) Compact() (err error) {
	if s.fs == nil {
		return ErrClosed
	}
	old := s.log
	s.log = nil
	s.newest++ // also if Compact fails: a later attempt must not share its generation with files that this one began
	g := s.newest
	defer func() {
		if old != nil {
			old.Close()
		}
		if err != nil {
			err = fmt.Errorf("writing generation %d: %w", g, err)
		}
	}()
	text, err := frames.EncodeSnapshot(g, s.records, snapshotFrameBytes)
	if err != nil {
		return err
	}
	name := frames.Name(frames.Snapshot, g)
	unfinished := name + frames.Unfinished
	if err := s.write(unfinished, text); err != nil {
		s.fs.Remove(unfinished) // frees the space if the disk is full
		return err
	}
	if err := s.fs.Rename(unfinished, name); err != nil {
		return err
	}
	log, err := s.fs.Create(frames.Name(frames.Log, g))
	if err != nil {
		return err
	}
	head := frames.EncodeHeader(frames.Log, g)
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
	if old != nil { // errors are ignored: without this end frame, a fallback to the previous generation merely loses the later logs
		if seal, err := frames.EncodeEnd(g-1, s.logFrames, s.logRecords); err == nil {
			old.Write(seal)
		}
	}
	s.log, s.logSize, s.logFrames, s.logRecords = log, int64(len(head)), 0, 0
	s.prune(g)
	return nil
}

// write creates a file with this content and syncs it.
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

// prune removes unfinished files, and all generations before that of the latest snapshot that precedes g. Errors are ignored: the next call tries
// again, and all files to keep are already durable.
func (s *Store) prune(g uint64) {
	names, err := s.fs.List()
	if err != nil {
		return
	}
	before := uint64(0)
	for _, name := range names {
		if f, ok := frames.Parse(name); ok && f.Kind == frames.Snapshot && f.Generation < g {
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

// Close closes the store and unlocks its folder.
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
