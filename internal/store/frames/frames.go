// Package frames encodes and decodes the store's files: a header followed by frames, each with its length and a checksum that covers its content and
// its position. It does no I/O. From the content of files it recovers the batches of records up to the first fault, and reports what was dropped
// and why.
package frames

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// Version is the version of the file format. Files of another version are not read.
const Version = 1

// Limits of a file's content.
const (
	MaxFrame   = 16 << 20 // bytes in a frame's payload
	MaxName    = 200      // bytes in a record's name, and in its kind
	MaxRecords = 1 << 16  // records in a batch
)

// FileKind distinguishes snapshots and logs.
type FileKind byte

// The kinds of files.
const (
	Snapshot FileKind = 's'
	Log      FileKind = 'l'
)

// Record is a named value. Its kind and format number define how to interpret its body, which the store does not do.
type Record struct {
	Name    string `cbor:"1,keyasint"`
	Kind    string `cbor:"2,keyasint"`
	Format  uint32 `cbor:"3,keyasint"`
	Body    []byte `cbor:"4,keyasint"`
	Deleted bool   `cbor:"5,keyasint,omitempty"` // the record with this name is deleted; Body is not used
}

// Check returns an error if the record's name or kind is invalid.
func (r Record) Check() error {
	switch {
	case r.Name == "" || len(r.Name) > MaxName:
		return fmt.Errorf("record name of %d bytes, 1 to %d are allowed", len(r.Name), MaxName)
	case len(r.Kind) > MaxName:
		return fmt.Errorf("record %q: kind of %d bytes, at most %d are allowed", r.Name, len(r.Kind), MaxName)
	}
	return nil
}

// payload is the content of a frame: either a batch, which is applied completely or not at all, or the end of a file.
type payload struct {
	Batch []Record `cbor:"1,keyasint,omitempty"`
	End   *end     `cbor:"2,keyasint,omitempty"`
}

// end marks the end of a file.
type end struct {
	Records int `cbor:"1,keyasint"` // number of records in the file
}

const (
	magic      = "ternstor"
	headerSize = len(magic) + 2 + 1 + 8 + 4 // version, kind, generation, checksum
	frameHead  = 4 + 4                      // length, checksum
)

var (
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	decMode    = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxNestedLevels: 8, MaxArrayElements: MaxRecords,
		MaxMapPairs: 16, IndefLength: cbor.IndefLengthForbidden, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
		UTF8: cbor.UTF8RejectInvalid}.DecMode())
	encMode = must(cbor.CoreDetEncOptions().EncMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constant
	}
	return mode
}

// EncodeHeader encodes the header of a file.
func EncodeHeader(kind FileKind, generation uint64) []byte {
	b := binary.LittleEndian.AppendUint16([]byte(magic), Version)
	b = binary.LittleEndian.AppendUint64(append(b, byte(kind)), generation)
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// EncodeBatch encodes a frame with a batch. number is the frame's index in its file.
func EncodeBatch(generation uint64, number int, batch []Record) ([]byte, error) {
	if len(batch) > MaxRecords {
		return nil, fmt.Errorf("batch of %d records, at most %d are allowed", len(batch), MaxRecords)
	}
	for _, r := range batch {
		if err := r.Check(); err != nil {
			return nil, err
		}
	}
	return encodeFrame(generation, number, payload{Batch: batch})
}

// EncodeEnd encodes the last frame of a file with this number of records. A log that is still written to has none.
func EncodeEnd(generation uint64, number, records int) ([]byte, error) {
	return encodeFrame(generation, number, payload{End: &end{Records: records}})
}

// encodeFrame encodes a frame.
func encodeFrame(generation uint64, number int, p payload) ([]byte, error) {
	body, err := encMode.Marshal(p)
	if err != nil {
		return nil, fmt.Errorf("encoding a frame: %w", err)
	}
	if len(body) > MaxFrame {
		return nil, fmt.Errorf("frame of %d bytes, at most %d are allowed", len(body), MaxFrame)
	}
	b := binary.LittleEndian.AppendUint32(make([]byte, 0, frameHead+len(body)), uint32(len(body)))
	b = binary.LittleEndian.AppendUint32(b, sum(generation, number, body))
	return append(b, body...), nil
}

// sum is a frame's checksum. It also covers the generation, the frame's index and its length, so that a misplaced frame and a wrong length are
// detected like a wrong byte.
func sum(generation uint64, number int, body []byte) uint32 {
	var head [20]byte
	binary.LittleEndian.PutUint64(head[:], generation)
	binary.LittleEndian.PutUint64(head[8:], uint64(number))
	binary.LittleEndian.PutUint32(head[16:], uint32(len(body)))
	return crc32.Update(crc32.Checksum(head[:], castagnoli), castagnoli, body)
}

// ErrVersion is the fault of a file with another format version.
var ErrVersion = errors.New("another version of the files")

// Contents is the decoded part of a file.
type Contents struct {
	Batches [][]Record
	Ended   bool  // the file is complete: its end frame was read
	Valid   int   // number of bytes before the first fault
	Fault   error // why the rest was dropped; nil if nothing was
}

// Decode decodes a file of a kind and generation, up to its first fault.
func Decode(kind FileKind, generation uint64, file []byte) (c Contents) {
	if c.Fault = decodeHeader(kind, generation, file); c.Fault != nil {
		return c
	}
	c.Valid = headerSize
	records := 0
	for number := 0; c.Valid < len(file); number++ {
		if c.Ended {
			c.Ended, c.Fault = false, fmt.Errorf("byte %d: %d bytes after the end", c.Valid, len(file)-c.Valid)
			return c
		}
		p, size, err := decodeFrame(generation, number, file[c.Valid:])
		if err == nil && p.End != nil && p.End.Records != records {
			err = fmt.Errorf("the end counts %d records, found %d", p.End.Records, records)
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
	if kind == Snapshot && !c.Ended {
		c.Fault = fmt.Errorf("byte %d: the snapshot has no end", c.Valid)
	}
	return c
}

func decodeHeader(kind FileKind, generation uint64, file []byte) error {
	switch {
	case len(file) == 0:
		return errors.New("byte 0: the file is empty")
	case len(file) < headerSize:
		return fmt.Errorf("byte %d: the header is cut off", len(file))
	case string(file[:len(magic)]) != magic:
		return errors.New("byte 0: not a store file")
	}
	body := file[:headerSize-4]
	if binary.LittleEndian.Uint32(file[headerSize-4:]) != crc32.Checksum(body, castagnoli) {
		return errors.New("byte 0: wrong checksum of the header")
	}
	body = body[len(magic):]
	switch v := binary.LittleEndian.Uint16(body); {
	case v != Version:
		return fmt.Errorf("%w: %d, this program reads %d", ErrVersion, v, Version)
	case FileKind(body[2]) != kind:
		return fmt.Errorf("byte %d: file kind %q, want %q", len(magic)+2, body[2], kind)
	case binary.LittleEndian.Uint64(body[3:]) != generation:
		return fmt.Errorf("byte %d: generation %d, want %d", len(magic)+3, binary.LittleEndian.Uint64(body[3:]), generation)
	}
	return nil
}

func decodeFrame(generation uint64, number int, rest []byte) (p payload, size int, err error) {
	if len(rest) < frameHead {
		return p, 0, errors.New("cut off in the frame header")
	}
	length := int(binary.LittleEndian.Uint32(rest))
	switch {
	case length > MaxFrame:
		return p, 0, fmt.Errorf("length of %d bytes, at most %d are allowed", length, MaxFrame)
	case length > len(rest)-frameHead:
		return p, 0, fmt.Errorf("cut off after %d of %d bytes", len(rest)-frameHead, length)
	}
	body := rest[frameHead : frameHead+length]
	if binary.LittleEndian.Uint32(rest[4:]) != sum(generation, number, body) {
		return p, 0, errors.New("wrong checksum")
	}
	if err := decMode.Unmarshal(body, &p); err != nil {
		return p, 0, fmt.Errorf("complete, but unreadable: %w", err)
	}
	if (p.End == nil) == (p.Batch == nil) {
		return p, 0, errors.New("complete, but neither a batch nor an end")
	}
	for _, r := range p.Batch {
		if err := r.Check(); err != nil {
			return p, 0, fmt.Errorf("complete, but unreadable: %w", err)
		}
	}
	return p, frameHead + length, nil
}
