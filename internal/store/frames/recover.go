package frames

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
)

// File is a file in a store's folder.
type File struct {
	Name       string
	Kind       FileKind
	Generation uint64
}

// Name returns the name of a file.
func Name(kind FileKind, generation uint64) string {
	return fmt.Sprintf("%s-%016x", map[FileKind]string{Snapshot: "snapshot", Log: "log"}[kind], generation)
}

// Unfinished is the suffix of files that are still being written. Recover ignores them.
const Unfinished = ".unfinished"

// Parse parses the name of a file. ok is false for names that Name does not return.
func Parse(name string) (f File, ok bool) {
	kind, number, found := strings.Cut(name, "-")
	generation, err := strconv.ParseUint(number, 16, 64)
	f = File{Name: name, Generation: generation}
	switch {
	case !found || err != nil:
		return f, false
	case kind == "snapshot":
		f.Kind = Snapshot
	case kind == "log":
		f.Kind = Log
	}
	return f, f.Kind != 0 && Name(f.Kind, generation) == name
}

// Drop is data that a recovery skipped.
type Drop struct {
	File  string `json:"file"`
	Bytes int    `json:"bytes"` // number of bytes skipped; 0 for a file that was not read
	Why   string `json:"why"`
}

// Recovered is the result of a recovery.
type Recovered struct {
	Records map[string]Record
	From    uint64 // generation of the snapshot; 0 for none
	Newest  uint64 // the highest generation in a file name
	Batches int    // number of batches applied from logs
	Dropped []Drop
}

// Recover recovers the records of a folder from the newest intact snapshot and the logs from its generation on, up to the first fault. A later log
// is applied only if the log before it is complete: only then do the older snapshot and the logs before contain everything that the damaged snapshot
// between them contained. read returns the content of a file.
func Recover(names []string, read func(name string) ([]byte, error)) Recovered {
	got := Recovered{Records: map[string]Record{}}
	logs, snapshots := map[uint64]File{}, []File{}
	for _, name := range names {
		f, ok := Parse(name)
		if !ok {
			continue
		}
		got.Newest = max(got.Newest, f.Generation)
		if f.Kind == Log {
			logs[f.Generation] = f
		} else {
			snapshots = append(snapshots, f)
		}
	}
	slices.SortFunc(snapshots, func(a, b File) int { return cmp.Compare(b.Generation, a.Generation) })
	open := func(f File) Contents {
		file, err := read(f.Name)
		c := Contents{Fault: err}
		if err == nil {
			c = Decode(f.Kind, f.Generation, file)
		}
		if c.Fault != nil {
			got.Dropped = append(got.Dropped, Drop{f.Name, len(file) - c.Valid, c.Fault.Error()})
		}
		return c
	}
	for _, f := range snapshots {
		if c := open(f); c.Fault == nil {
			got.apply(c)
			got.From = f.Generation
			break
		}
	}
	if got.From == 0 { // a log contains only the changes since its snapshot
		for _, g := range slices.Sorted(maps.Keys(logs)) {
			got.Dropped = append(got.Dropped, Drop{logs[g].Name, 0, "its snapshot is missing"})
		}
		return got
	}
	next, sealed := got.From, true
	for _, g := range slices.Sorted(maps.Keys(logs)) {
		switch f := logs[g]; {
		case g < got.From:
		case g != next || !sealed:
			got.Dropped = append(got.Dropped, Drop{f.Name, 0, "the log before it is missing or incomplete"})
		default:
			c := open(f)
			got.apply(c)
			got.Batches += len(c.Batches)
			next, sealed = g+1, c.Ended
		}
	}
	return got
}

func (r *Recovered) apply(c Contents) {
	for _, batch := range c.Batches {
		Apply(r.Records, batch)
	}
}

// Apply applies a batch to records by name.
func Apply(to map[string]Record, batch []Record) {
	for _, r := range batch {
		if r.Deleted {
			delete(to, r.Name)
		} else {
			to[r.Name] = r
		}
	}
}

// EncodeSnapshot encodes a snapshot of records in the order of their names. frameBytes is the approximate payload of a frame in bytes.
func EncodeSnapshot(generation uint64, records map[string]Record, frameBytes int) ([]byte, error) {
	b, number := EncodeHeader(Snapshot, generation), 0
	var batch []Record
	size := 0
	flush := func() error {
		if len(batch) == 0 {
			return nil
		}
		f, err := EncodeBatch(generation, number, batch)
		b, batch, size, number = append(b, f...), batch[:0], 0, number+1
		return err
	}
	for _, name := range slices.Sorted(maps.Keys(records)) {
		batch = append(batch, records[name])
		if size += len(records[name].Body); size >= frameBytes {
			if err := flush(); err != nil {
				return nil, err
			}
		}
	}
	if err := flush(); err != nil {
		return nil, err
	}
	f, err := EncodeEnd(generation, number, len(records))
	return append(b, f...), err
}
