// Package frames is the form of the store's files: a head, then frames, each with its length and a checksum over
// everything that tells it from another one. It does no I/O: bytes go in, batches of records come out, as far as they
// are whole, and what was dropped and why.
package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// Version is that of the files. A file of another version is not read.
const Version = 1

// Bounds of what a file may hold.
const (
	MaxFrame   = 16 << 20 // bytes of a frame's payload
	MaxName    = 200      // bytes of a record's name, and of its kind
	MaxRecords = 1 << 16  // in a batch
)

// Sort tells snapshots from logs.
type Sort byte

// The sorts of files.
const (
	Snapshot Sort = 's'
	Log      Sort = 'l'
)

// Record is a named value. Its kind and format number say how its body is to be read, which is not the store's matter.
type Record struct {
	Name   string `cbor:"1,keyasint"`
	Kind   string `cbor:"2,keyasint"`
	Format uint32 `cbor:"3,keyasint"`
	Body   []byte `cbor:"4,keyasint"`
	Gone   bool   `cbor:"5,keyasint,omitempty"` // the record of this name is deleted
}

// Check says what is wrong with a record's own fields.
func (r Record) Check() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxName:
		return fmt.Errorf("a record's name has %d bytes, 1 to %d are allowed", len(r.Name), MaxName)
	case len(r.Kind) > MaxName:
		return fmt.Errorf("record %q: its kind has %d bytes, %d at most are allowed", r.Name, len(r.Kind), MaxName)
	}
	return nil
}

// payload is what a frame carries: a batch, which counts whole or not at all, or the end of a snapshot.
type payload struct {
	Batch []Record `cbor:"1,keyasint,omitempty"`
	End   *end     `cbor:"2,keyasint,omitempty"`
}

type end struct {
	Records int `cbor:"1,keyasint"`
}

const (
	magic     = "ternstor"
	headSize  = len(magic) + 2 + 1 + 8 + 4 // version, sort, generation, checksum
	frameHead = 4 + 4                      // length, checksum
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decoding   = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: MaxRecords,
		MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
	encoding = must(cbor.CoreDetEncOptions().EncMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // of constant options
	}
	return mode
}

// Head words the head of a file.
func Head(sort Sort, generation uint64) []byte {
	b := binary.LittleEndian.AppendUint16([]byte(magic), Version)
	b = binary.LittleEndian.AppendUint64(append(b, byte(sort)), generation)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// Batch words a frame that carries a batch as the frame of that number in its file.
func Batch(generation uint64, number int, batch []Record) ([]byte, error) {
	if len(batch) > MaxRecords {
		return nil, fmt.Errorf("a batch of %d records, %d at most are allowed", len(batch), MaxRecords)
	}
	for _, r := range batch {
		if err := r.Check(); err != nil {
			return nil, err
		}
	}
	return frame(generation, number, payload{Batch: batch})
}

// End words the frame that ends a file of so many records: nothing comes behind it. A log that goes on has none.
func End(generation uint64, number, records int) ([]byte, error) {
	return frame(generation, number, payload{End: &end{Records: records}})
}

func frame(generation uint64, number int, p payload) ([]byte, error) {
	body, err := encoding.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("wording a frame: %w", err)
	}
	if len(body) > MaxFrame {
		return nil, fmt.Errorf("a frame of %d bytes, %d at most are allowed", len(body), MaxFrame)
	}
	b := binary.LittleEndian.AppendUint32(make([]byte, 0, frameHead+len(body)), uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, sum(generation, number, body))
	return append(b, body...), nil
}

// sum is a frame's checksum: over its file, its place and its length too, so that no frame passes for another one and a
// wrong length is as good as a wrong byte.
func sum(generation uint64, number int, body []byte) uint32 {
	var head [20]byte
	binary.LittleEndian.PutUint64(head[:], generation)
	binary.LittleEndian.PutUint64(head[8:], uint64(number))
	binary.LittleEndian.PutUint32(head[16:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, body)
}

// ErrVersion is the fault of a file of another version.
var ErrVersion = errors.New("another version of the files")

// Contents are what a file holds as far as it is whole.
type Contents struct {
	Batches [][]Record
	Ended   bool  // it is there to its end
	Valid   int   // bytes up to the first fault
	Fault   error // why the rest was dropped; nil where nothing was
}

// Read reads a file of a sort and generation, up to its first fault.
func Read(sort Sort, generation uint64, file []byte) (c Contents) {
	if c.Fault = readHead(sort, generation, file); c.Fault != nil {
		return c
	}
	c.Valid = headSize
	records := 0
	for number := 0; c.Valid < len(file); number++ {
		if c.Ended {
			c.Ended, c.Fault = false, fmt.Errorf("byte %d: %d bytes behind the end", c.Valid, len(file)-c.Valid)
			return c
		}
		p, size, err := readFrame(generation, number, file[c.Valid:])
		if err == nil && p.End != nil && p.End.Records != records {
			err = fmt.Errorf("an end of %d records after %d", p.End.Records, records)
		}
		if err != nil {
			c.Fault = fmt.Errorf("byte %d, frame %d: %w", c.Valid, number, err)
			return c
		}
		c.Valid += size
		if p.End != nil {
			c.Ended = true
			continue
		}
		records += len(p.Batch)
		c.Batches = append(c.Batches, p.Batch)
	}
	if sort == Snapshot && !c.Ended {
		c.Fault = fmt.Errorf("byte %d: the snapshot has no end", c.Valid)
	}
	return c
}

func readHead(sort Sort, generation uint64, file []byte) error {
	switch {
	case len(file) == 0:
		return errors.New("byte 0: the file is empty")
	case len(file) < headSize:
		return fmt.Errorf("byte %d: the head is cut off", len(file))
	case string(file[:len(magic)]) != magic:
		return errors.New("byte 0: no file of a store")
	}
	body := file[:headSize-4]
	if binary.LittleEndian.Uint32(file[headSize-4:]) != crc32.Checksum(body, castagnoli) {
		return errors.New("byte 0: the head's checksum is wrong")
	}
	body = body[len(magic):]
	switch v := binary.LittleEndian.Uint16(body); {
	case v != Version:
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, v, Version)
	case Sort(body[2]) != sort:
		return fmt.Errorf("byte %d: a file of sort %q, not %q", len(magic)+2, body[2], sort)
	case binary.LittleEndian.Uint64(body[3:]) != generation:
		return fmt.Errorf("byte %d: generation %d, not %d", len(magic)+3, binary.LittleEndian.Uint64(body[3:]), generation)
	}
	return nil
}

func readFrame(generation uint64, number int, rest []byte) (p payload, size int, err error) {
	if len(rest) < frameHead {
		return p, 0, errors.New("cut off in its head")
	}
	length := int(binary.LittleEndian.Uint32(rest))
	switch {
	case length > MaxFrame:
		return p, 0, fmt.Errorf("a length of %d bytes, %d at most are allowed", length, MaxFrame)
	case length > len(rest)-frameHead:
		return p, 0, fmt.Errorf("cut off: %d of %d bytes are there", len(rest)-frameHead, length)
	}
	body := rest[frameHead : frameHead+length]
	if binary.LittleEndian.Uint32(rest[4:]) != sum(generation, number, body) {
		return p, 0, errors.New("its checksum is wrong")
	}
	if err := decoding.Unmarshal(body, &p); err != nil {
		return p, 0, fmt.Errorf("whole, but unreadable: %w", err)
	}
	if (p.End == nil) == (p.Batch == nil) {
		return p, 0, errors.New("whole, but neither a batch nor an end")
	}
	for _, r := range p.Batch {
		if err := r.Check(); err != nil {
			return p, 0, fmt.Errorf("whole, but unreadable: %w", err)
		}
	}
	return p, frameHead + length, nil
}
