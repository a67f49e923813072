// Package thriftwire reads and writes Thrift messages of the strict binary and the compact protocol, as the Apache
// Thrift documents thrift-binary-protocol.md and thrift-compact-protocol.md describe them. It walks a message once,
// allocates nothing, finds the few fields that are asked for and leaves the rest as bytes. Every length and count in
// a message is checked against the bytes that are there before anything is done with it.
package thriftwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"unicode/utf8"
)

// Encoding is a protocol of Thrift's.
type Encoding uint8

// The encodings.
const (
	Binary Encoding = iota + 1
	Compact
)

func (e Encoding) String() string {
	switch e {
	case Binary:
		return "binary"
	case Compact:
		return "compact"
	}
	return "unknown encoding"
}

// MessageType says what a message is.
type MessageType uint8

// The types of messages.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// Type is the type of a value, by the binary protocol's numbers.
type Type uint8

// The types of values.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11 // and binary
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// Kinds of application exceptions, as TApplicationException numbers them.
const (
	UnknownMethod = 1
	InvalidType   = 2 // of a message
	InternalError = 6
	ProtocolError = 7
)

// MaxName bounds a method's name, in bytes.
const MaxName = 256

// ErrMalformed is what all errors of this package are about: a message that is none.
var ErrMalformed = errors.New("malformed Thrift message")

// ErrUnasked says that a message holds a field that a strict Plan does not ask for.
var ErrUnasked = errors.New("a field that is not known")

func malformed(at int, format string, args ...any) error {
	return fmt.Errorf("%w: byte %d: %s", ErrMalformed, at, fmt.Sprintf(format, args...))
}

// FrameLength reads the length that stands before a frame, by the framed transport (thrift-rpc.md): 4 bytes, signed.
func FrameLength(prefix [4]byte, most int) (int, error) {
	n := int32(binary.BigEndian.Uint32(prefix[:]))
	switch {
	case n <= 0:
		return 0, fmt.Errorf("%w: frame of length %d", ErrMalformed, n)
	case int64(n) > int64(most):
		return 0, fmt.Errorf("%w: frame of length %d, %d at most", ErrMalformed, n, most)
	}
	return int(n), nil
}

// ReadFrame reads one frame. Its bound is looked at before anything is allocated.
func ReadFrame(in io.Reader, most int) ([]byte, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, err
	}
	n, err := FrameLength(prefix, most)
	if err != nil {
		return nil, err
	}
	m := make([]byte, n)
	_, err = io.ReadFull(in, m)
	return m, err
}

// Head is what stands before a message's struct. The offsets are those in the message, without the frame's length.
type Head struct {
	Encoding       Encoding
	Type           MessageType
	Seq            int32
	SeqAt, SeqEnd  int // the bytes of the sequence id
	NameAt, Struct int // where the name's bytes begin, and the struct
	NameEnd        int
}

// Name returns the method's name. It is part of the message.
func (h Head) Name(m []byte) []byte { return m[h.NameAt:h.NameEnd] }

// RawSeq returns the sequence id as it was written.
func (h Head) RawSeq(m []byte) []byte { return m[h.SeqAt:h.SeqEnd] }

const (
	compactID      = 0x82
	compactVersion = 1
)

// ReadHead reads the head of a message of either encoding; the first byte tells which.
func ReadHead(m []byte) (Head, error) {
	s := scanner{m: m}
	var h Head
	if len(m) < 2 {
		return h, malformed(0, "%d bytes are no message", len(m))
	}
	n := 0
	switch {
	case m[0] == 0x80 && m[1] == 0x01:
		if len(m) < 8 {
			return h, malformed(len(m), "it ends in its head")
		}
		h.Encoding, h.Type = Binary, MessageType(m[3])
		n, s.at = int(int32(binary.BigEndian.Uint32(m[4:]))), 8
	case m[0] == compactID && m[1]&0x1f == compactVersion:
		h.Encoding, h.Type, s.at = Compact, MessageType(m[1]>>5), 2
		h.SeqAt = 2
		seq, err := s.varint(5, math.MaxUint32)
		if err != nil {
			return h, err
		}
		h.Seq, h.SeqEnd = int32(uint32(seq)), s.at
		length, err := s.varint(5, math.MaxInt32)
		if err != nil {
			return h, err
		}
		n = int(length)
	default:
		return h, malformed(0, "neither the strict binary nor the compact protocol: it begins with % x", m[:2])
	}
	if h.Type < Call || h.Type > Oneway {
		return h, malformed(1, "type of message %d", h.Type)
	}
	if n < 0 || n > MaxName || n > len(m)-s.at {
		return h, malformed(s.at, "name of length %d", n)
	}
	h.NameAt, h.NameEnd = s.at, s.at+n
	if !utf8.Valid(m[h.NameAt:h.NameEnd]) {
		return h, malformed(s.at, "the name is not UTF-8")
	}
	s.at += n
	if h.Encoding == Binary {
		if len(m)-s.at < 4 {
			return h, malformed(len(m), "it ends in its head")
		}
		h.SeqAt, h.SeqEnd = s.at, s.at+4
		h.Seq = int32(binary.BigEndian.Uint32(m[s.at:]))
		s.at += 4
	}
	h.Struct = s.at
	return h, nil
}

// Field is a value that was found in a message.
type Field struct {
	Type       Type   // Stop where it was not found
	Start, End int32  // a string's content, or any other value as it is encoded; a compact bool has no bytes
	Bits       uint64 // of an integer (sign-extended), a double or a bool
}

// Found reports whether the message holds the field.
func (f Field) Found() bool { return f.Type != Stop }

// Bytes returns the content of a string.
func (f Field) Bytes(m []byte) []byte { return m[f.Start:f.End] }

// Int returns an integer.
func (f Field) Int() int64 { return int64(f.Bits) }

// True reports whether the field is a bool that is true.
func (f Field) True() bool { return f.Type == Bool && f.Bits != 0 }

// Float returns a double, or an integer as one.
func (f Field) Float() float64 {
	if f.Type == Double {
		return math.Float64frombits(f.Bits)
	}
	return float64(int64(f.Bits))
}

// Integer reports whether the type is one of the integers.
func (t Type) Integer() bool { return t == Byte || t == I16 || t == I32 || t == I64 }

// scanner walks a message.
type scanner struct {
	m       []byte
	at      int
	compact bool
	most    int // depth
	found   []Field
	plan    *Plan
}

// varint reads a variable-length number of so many bytes at most.
func (s *scanner) varint(bytes int, most uint64) (x uint64, err error) {
	if s.at < len(s.m) && s.m[s.at] < 0x80 { // most are short
		x = uint64(s.m[s.at])
		s.at++
		return x, nil
	}
	begin := s.at
	for shift := 0; ; shift += 7 {
		switch {
		case s.at >= len(s.m):
			return 0, malformed(s.at, "it ends in a varint")
		case s.at-begin >= bytes:
			return 0, malformed(begin, "a varint without end")
		}
		b := s.m[s.at]
		s.at++
		if shift == 63 && b > 1 {
			return 0, malformed(begin, "a varint of more than 64 bits")
		}
		x |= uint64(b&0x7f) << shift
		if b < 0x80 {
			break
		}
	}
	if x > most {
		return 0, malformed(begin, "a varint of %d, %d at most", x, most)
	}
	return x, nil
}

func (s *scanner) zigzag(bytes int, most uint64) (int64, error) {
	x, err := s.varint(bytes, most)
	return int64(x>>1) ^ -int64(x&1), err
}

// take passes over n bytes.
func (s *scanner) take(n int) error {
	if n > len(s.m)-s.at {
		return malformed(len(s.m), "it ends in a value that began at byte %d", s.at)
	}
	s.at += n
	return nil
}

// compactTypes are the types by the compact protocol's numbers; 1 and 2 are the two bools.
var compactTypes = [14]Type{1: Bool, 2: Bool, 3: Byte, 4: I16, 5: I32, 6: I64, 7: Double, 8: String, 9: List, 10: Set,
	11: Map, 12: Struct, 13: UUID}

// sizes are those of values of a fixed size, and least the fewest bytes of any value, in either encoding.
var (
	binarySizes  = [17]int{Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, UUID: 16}
	compactSizes = [17]int{Bool: 1, Byte: 1, Double: 8, UUID: 16}
	binaryLeast  = [17]int{Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, UUID: 16, String: 4, Struct: 1,
		Map: 6, Set: 5, List: 5}
)

func (s *scanner) binaryType(b byte) (Type, error) {
	if int(b) < len(binaryLeast) && binaryLeast[b] > 0 {
		return Type(b), nil
	}
	return 0, malformed(s.at-1, "bad type id %d", b)
}

func (s *scanner) compactType(b byte) (Type, error) {
	if int(b) < len(compactTypes) && compactTypes[b] != 0 {
		return compactTypes[b], nil
	}
	return 0, malformed(s.at-1, "bad type id %d", b)
}

func (s *scanner) size(t Type) int {
	if s.compact {
		return compactSizes[t]
	}
	return binarySizes[t]
}

func (s *scanner) least(t Type) int {
	if s.compact {
		return max(1, compactSizes[t])
	}
	return binaryLeast[t]
}

// skip passes over a value outside of a field's header.
func (s *scanner) skip(t Type, depth int) error {
	if n := s.size(t); n > 0 {
		return s.take(n)
	}
	switch t {
	case I16, I32, I64: // compact
		_, err := s.varint(10, math.MaxUint64)
		return err
	case String:
		n, err := s.length()
		if err != nil {
			return err
		}
		return s.take(n)
	}
	if depth >= s.most {
		return malformed(s.at, "nested deeper than %d", s.most)
	}
	switch t {
	case Struct:
		return s.walk(-1, depth+1)
	case Map:
		return s.skipMap(depth + 1)
	}
	return s.skipList(depth + 1)
}

// length reads that of a string.
func (s *scanner) length() (int, error) {
	at := s.at
	if s.compact {
		n, err := s.varint(5, math.MaxInt32)
		if err != nil {
			return 0, err
		}
		if n > uint64(len(s.m)-s.at) {
			return 0, malformed(at, "a string of %d bytes, %d are there", n, len(s.m)-s.at)
		}
		return int(n), nil
	}
	if err := s.take(4); err != nil {
		return 0, err
	}
	n := int32(binary.BigEndian.Uint32(s.m[at:]))
	if n < 0 || int(n) > len(s.m)-s.at {
		return 0, malformed(at, "a string of %d bytes, %d are there", n, len(s.m)-s.at)
	}
	return int(n), nil
}

// count reads how many elements a container has, which need each at least so many bytes.
func (s *scanner) check(at int, n int64, least int) error {
	if n < 0 || n > int64((len(s.m)-s.at)/least) {
		return malformed(at, "a container of %d elements, %d bytes are there", n, len(s.m)-s.at)
	}
	return nil
}

func (s *scanner) skipList(depth int) error {
	at := s.at
	var of Type
	var n int64
	if s.compact {
		if err := s.take(1); err != nil {
			return err
		}
		b := s.m[at]
		n = int64(b >> 4)
		if n == 15 {
			x, err := s.varint(5, math.MaxUint32)
			if err != nil {
				return err
			}
			n = int64(int32(x))
		}
		var err error
		if of, err = s.compactType(b & 15); err != nil && (n != 0 || b&15 != 0) {
			return err
		}
	} else {
		if err := s.take(5); err != nil {
			return err
		}
		n = int64(int32(binary.BigEndian.Uint32(s.m[at+1:])))
		var err error
		if of, err = s.binaryType(s.m[at]); err != nil && (n != 0 || s.m[at] != 0) {
			return err
		}
	}
	if n == 0 {
		return nil // an empty one may leave its type open
	}
	if err := s.check(at, n, s.least(of)); err != nil {
		return err
	}
	return s.skipAll(of, int(n), depth)
}

func (s *scanner) skipAll(of Type, n, depth int) error {
	if size := s.size(of); size > 0 {
		return s.take(n * size)
	}
	for range n {
		if err := s.skip(of, depth); err != nil {
			return err
		}
	}
	return nil
}

func (s *scanner) skipMap(depth int) (err error) {
	at := s.at
	var key, value Type
	var n int64
	if s.compact {
		x, err := s.varint(5, math.MaxUint32)
		if err != nil {
			return err
		}
		if n = int64(int32(x)); n == 0 {
			return nil
		}
		if err := s.take(1); err != nil {
			return err
		}
		b := s.m[s.at-1]
		if key, err = s.compactType(b >> 4); err != nil {
			return err
		}
		if value, err = s.compactType(b & 15); err != nil {
			return err
		}
	} else {
		if err := s.take(6); err != nil {
			return err
		}
		if n = int64(int32(binary.BigEndian.Uint32(s.m[at+2:]))); n == 0 && s.m[at] == 0 && s.m[at+1] == 0 {
			return nil
		}
		if key, err = s.binaryType(s.m[at]); err != nil {
			return err
		}
		if value, err = s.binaryType(s.m[at+1]); err != nil {
			return err
		}
	}
	if err := s.check(at, n, s.least(key)+s.least(value)); err != nil {
		return err
	}
	for range n {
		if err := s.skip(key, depth); err != nil {
			return err
		}
		if err := s.skip(value, depth); err != nil {
			return err
		}
	}
	return nil
}

// walk passes over a struct and notes the fields that the node of the plan asks for; -1 is none. Its depth was looked
// at by skip, or is the plan's own.
func (s *scanner) walk(node, depth int) error {
	var last int16
	for {
		at := s.at
		if at >= len(s.m) {
			return malformed(at, "it ends in a struct")
		}
		b := s.m[at]
		s.at++
		if b == 0 {
			return nil
		}
		var t Type
		var id int16
		var err error
		if s.compact {
			if t, err = s.compactType(b & 15); err != nil {
				return err
			}
			if delta := int16(b >> 4); delta != 0 {
				id = last + delta
			} else {
				x, err := s.zigzag(3, math.MaxUint16)
				if err != nil {
					return err
				}
				id = int16(x)
			}
			last = id
		} else {
			if t, err = s.binaryType(b); err != nil {
				return err
			}
			if err = s.take(2); err != nil {
				return err
			}
			id = int16(binary.BigEndian.Uint16(s.m[at+1:]))
		}
		w := s.plan.want(node, id)
		if s.plan.strict && node >= 0 && (w == nil || w.slot < 0 && t != Struct) {
			return fmt.Errorf("byte %d: %w: number %d", at, ErrUnasked, id)
		}
		if s.compact && t == Bool { // the value is in the type
			if w != nil && w.slot >= 0 {
				if err := s.note(w, id, Field{Type: Bool, Start: int32(s.at), End: int32(s.at), Bits: uint64(2 - b&15)}); err != nil {
					return err
				}
			}
			continue
		}
		if w == nil {
			err = s.skip(t, depth)
		} else {
			err = s.field(w, id, t, depth)
		}
		if err != nil {
			return err
		}
	}
}

// field reads one that is asked for, or that holds some that are.
func (s *scanner) field(w *want, id int16, t Type, depth int) (err error) {
	f := Field{Type: t, Start: int32(s.at)}
	switch {
	case t == Struct && w.child >= 0:
		err = s.walk(w.child, depth+1)
	case t == String:
		var n int
		if n, err = s.length(); err == nil {
			f.Start = int32(s.at)
			err = s.take(n)
		}
	case s.compact && t.Integer() && t != Byte:
		var x int64
		x, err = s.zigzag(10, math.MaxUint64)
		f.Bits = uint64(x)
	default:
		err = s.skip(t, depth)
	}
	if f.End = int32(s.at); err != nil || w.slot < 0 {
		return err
	}
	if t == String {
		return s.note(w, id, f)
	}
	switch v := s.m[f.Start:f.End]; {
	case t == Bool && v[0] != 0:
		f.Bits = 1
	case t == Byte:
		f.Bits = uint64(int64(int8(v[0])))
	case t == Double && s.compact:
		f.Bits = binary.LittleEndian.Uint64(v)
	case t == Double:
		f.Bits = binary.BigEndian.Uint64(v)
	case s.compact:
	case t == I16:
		f.Bits = uint64(int64(int16(binary.BigEndian.Uint16(v))))
	case t == I32:
		f.Bits = uint64(int64(int32(binary.BigEndian.Uint32(v))))
	case t == I64:
		f.Bits = binary.BigEndian.Uint64(v)
	}
	return s.note(w, id, f)
}

func (s *scanner) note(w *want, id int16, f Field) error {
	if s.found[w.slot].Found() {
		return malformed(int(f.Start), "field %d given twice", id)
	}
	s.found[w.slot] = f
	return nil
}
