// Package thriftwire reads and writes Thrift messages in the strict binary and the compact protocol, as described in the Apache Thrift documents
// thrift-binary-protocol.md and thrift-compact-protocol.md. The reader passes over a message once, without allocating memory, finds the requested
// fields and does not decode the others. It checks every length and count against the remaining bytes before using it.
package thriftwire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
	"unicode/utf8"
)

// Encoding is a Thrift protocol, that is, an encoding of messages.
type Encoding uint8

// The encodings.
const (
	Binary Encoding = iota + 1
	Compact
)

// String returns the encoding's name.
func (e Encoding) String() string {
	switch e {
	case Binary:
		return "binary"
	case Compact:
		return "compact"
	}
	return "unknown encoding"
}

// MessageType is the type of a message.
type MessageType uint8

// The message types.
const (
	Call      MessageType = 1
	Reply     MessageType = 2
	Exception MessageType = 3
	Oneway    MessageType = 4
)

// Type is the type of a value, as numbered by the binary protocol.
type Type uint8

// The value types.
const (
	Stop   Type = 0
	Bool   Type = 2
	Byte   Type = 3
	Double Type = 4
	I16    Type = 6
	I32    Type = 8
	I64    Type = 10
	String Type = 11 // also for binary values
	Struct Type = 12
	Map    Type = 13
	Set    Type = 14
	List   Type = 15
	UUID   Type = 16
)

// Types of application exceptions, as numbered by TApplicationException.
const (
	UnknownMethod = 1
	InvalidType   = 2 // invalid message type
	InternalError = 6
	ProtocolError = 7
)

// MaxName is the maximum length of a method's name, in bytes.
const MaxName = 256

// ErrMalformed is wrapped by the errors for invalid messages.
var ErrMalformed = errors.New("malformed Thrift message")

// ErrUnknownField means that a message contains a field that is not in a strict Plan.
var ErrUnknownField = errors.New("a field that is not known")

func malformed(at int, format string, args ...any) error {
	return fmt.Errorf("%w: byte %d: %s", ErrMalformed, at, fmt.Sprintf(format, args...))
}

// FrameLength decodes the length prefix of a frame: 4 bytes, signed, in the framed transport (thrift-rpc.md). It returns an error unless the length
// is between 1 and limit.
func FrameLength(prefix [4]byte, limit int) (int, error) {
	n := int32(binary.BigEndian.Uint32(prefix[:]))
	switch {
	case n <= 0:
		return 0, fmt.Errorf("%w: frame of length %d", ErrMalformed, n)
	case int64(n) > int64(limit):
		return 0, fmt.Errorf("%w: frame of length %d, %d at most", ErrMalformed, n, limit)
	}
	return int(n), nil
}

// ReadFrame reads one frame and returns its content. It checks the length against limit before allocating memory.
func ReadFrame(in io.Reader, limit int) ([]byte, error) {
	var prefix [4]byte
	if _, err := io.ReadFull(in, prefix[:]); err != nil {
		return nil, err
	}
	n, err := FrameLength(prefix, limit)
	if err != nil {
		return nil, err
	}
	m := make([]byte, n)
	_, err = io.ReadFull(in, m)
	return m, err
}

// Head is the header of a message, which precedes its struct. Offsets are relative to the message, without the frame's length prefix.
type Head struct {
	Encoding       Encoding
	Type           MessageType
	Seq            int32
	SeqAt, SeqEnd  int // start and end of the sequence id
	NameAt, Struct int // start of the name, and of the struct
	NameEnd        int // end of the name
}

// Name returns the method's name as a part of the message m.
func (h Head) Name(m []byte) []byte { return m[h.NameAt:h.NameEnd] }

// RawSeq returns the encoded sequence id as a part of the message m.
func (h Head) RawSeq(m []byte) []byte { return m[h.SeqAt:h.SeqEnd] }

const (
	compactID      = 0x82
	compactVersion = 1
)

// ReadHead decodes the head of a message in either encoding, which it recognizes by the first byte.
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

// Field is a value found in a message.
type Field struct {
	Type       Type   // Stop if the field is absent
	Start, End int32  // range of a string's content, or of any other encoded value; empty for a bool field in the compact protocol
	Bits       uint64 // value of an integer (sign-extended), a double (IEEE 754) or a bool (0 or 1)
}

// Found reports whether the message contains the field.
func (f Field) Found() bool { return f.Type != Stop }

// Bytes returns the content of a string as a part of the message m.
func (f Field) Bytes(m []byte) []byte { return m[f.Start:f.End] }

// Int returns the value of an integer field.
func (f Field) Int() int64 { return int64(f.Bits) }

// True reports whether the field is a bool with the value true.
func (f Field) True() bool { return f.Type == Bool && f.Bits != 0 }

// Float returns the value of a double field, or of an integer field as a float64.
func (f Field) Float() float64 {
	if f.Type == Double {
		return math.Float64frombits(f.Bits)
	}
	return float64(int64(f.Bits))
}

// Integer reports whether the type is an integer type.
func (t Type) Integer() bool { return t == Byte || t == I16 || t == I32 || t == I64 }

// scanner reads a message and keeps the position in it.
type scanner struct {
	m          []byte
	at         int
	compact    bool
	depthLimit int // maximum nesting depth
	found      []Field
	plan       *Plan
}

// varint reads a variable-length integer of at most this number of bytes and with a value of at most limit.
func (s *scanner) varint(bytes int, limit uint64) (x uint64, err error) {
	if s.at < len(s.m) && s.m[s.at] < 0x80 { // fast path: most varints have one byte
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
	if x > limit {
		return 0, malformed(begin, "a varint of %d, %d at most", x, limit)
	}
	return x, nil
}

// zigzag reads a variable-length integer in zigzag encoding.
func (s *scanner) zigzag(bytes int, limit uint64) (int64, error) {
	x, err := s.varint(bytes, limit)
	return int64(x>>1) ^ -int64(x&1), err
}

// skipBytes skips n bytes.
func (s *scanner) skipBytes(n int) error {
	if n > len(s.m)-s.at {
		return malformed(len(s.m), "it ends in a value that began at byte %d", s.at)
	}
	s.at += n
	return nil
}

// compactTypes maps the compact protocol's type ids to types; 1 and 2 are the bools true and false.
var compactTypes = [14]Type{1: Bool, 2: Bool, 3: Byte, 4: I16, 5: I32, 6: I64, 7: Double, 8: String, 9: List, 10: Set,
	11: Map, 12: Struct, 13: UUID}

// binarySizes and compactSizes are the sizes in bytes of values with a fixed size; binaryMinSizes are the minimum sizes of all values.
var (
	binarySizes    = [17]int{Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, UUID: 16}
	compactSizes   = [17]int{Bool: 1, Byte: 1, Double: 8, UUID: 16}
	binaryMinSizes = [17]int{Bool: 1, Byte: 1, Double: 8, I16: 2, I32: 4, I64: 8, UUID: 16, String: 4, Struct: 1,
		Map: 6, Set: 5, List: 5}
)

func (s *scanner) binaryType(b byte) (Type, error) {
	if int(b) < len(binaryMinSizes) && binaryMinSizes[b] > 0 {
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

func (s *scanner) minSize(t Type) int {
	if s.compact {
		return max(1, compactSizes[t])
	}
	return binaryMinSizes[t]
}

// skip skips a value that is not preceded by a field header. A bool has one byte there, also in the compact protocol.
func (s *scanner) skip(t Type, depth int) error {
	if n := s.size(t); n > 0 {
		return s.skipBytes(n)
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
		return s.skipBytes(n)
	}
	if depth >= s.depthLimit {
		return malformed(s.at, "nested deeper than %d", s.depthLimit)
	}
	switch t {
	case Struct:
		return s.readStruct(-1, depth+1)
	case Map:
		return s.skipMap(depth + 1)
	}
	return s.skipList(depth + 1)
}

// length reads the length of a string.
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
	if err := s.skipBytes(4); err != nil {
		return 0, err
	}
	n := int32(binary.BigEndian.Uint32(s.m[at:]))
	if n < 0 || int(n) > len(s.m)-s.at {
		return 0, malformed(at, "a string of %d bytes, %d are there", n, len(s.m)-s.at)
	}
	return int(n), nil
}

// checkCount verifies that n elements of a container, of at least minSize bytes each, fit in the rest of the message.
func (s *scanner) checkCount(at int, n int64, minSize int) error {
	if n < 0 || n > int64((len(s.m)-s.at)/minSize) {
		return malformed(at, "a container of %d elements, %d bytes are there", n, len(s.m)-s.at)
	}
	return nil
}

func (s *scanner) skipList(depth int) error {
	at := s.at
	var of Type
	var n int64
	if s.compact {
		if err := s.skipBytes(1); err != nil {
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
		if err := s.skipBytes(5); err != nil {
			return err
		}
		n = int64(int32(binary.BigEndian.Uint32(s.m[at+1:])))
		var err error
		if of, err = s.binaryType(s.m[at]); err != nil && (n != 0 || s.m[at] != 0) {
			return err
		}
	}
	if n == 0 {
		return nil // an empty list may have no element type
	}
	if err := s.checkCount(at, n, s.minSize(of)); err != nil {
		return err
	}
	return s.skipAll(of, int(n), depth)
}

// skipAll skips n values of a type.
func (s *scanner) skipAll(of Type, n, depth int) error {
	if size := s.size(of); size > 0 {
		return s.skipBytes(n * size)
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
		if err := s.skipBytes(1); err != nil {
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
		if err := s.skipBytes(6); err != nil {
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
	if err := s.checkCount(at, n, s.minSize(key)+s.minSize(value)); err != nil {
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

// readStruct reads a struct and stores the fields that the node of the plan selects; node -1 selects none. The caller has checked the depth: skip
// does so, and the depth of fields in the plan is limited by NewPlan.
func (s *scanner) readStruct(node, depth int) error {
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
			if err = s.skipBytes(2); err != nil {
				return err
			}
			id = int16(binary.BigEndian.Uint16(s.m[at+1:]))
		}
		w := s.plan.want(node, id)
		if s.plan.strict && node >= 0 && (w == nil || w.slot < 0 && t != Struct) {
			return fmt.Errorf("byte %d: %w: number %d", at, ErrUnknownField, id)
		}
		if s.compact && t == Bool { // the type id contains the value
			if w != nil && w.slot >= 0 {
				if err := s.store(w, id, Field{Type: Bool, Start: int32(s.at), End: int32(s.at), Bits: uint64(2 - b&15)}); err != nil {
					return err
				}
			}
			continue
		}
		if w == nil {
			err = s.skip(t, depth)
		} else {
			err = s.readField(w, id, t, depth)
		}
		if err != nil {
			return err
		}
	}
}

// readField reads a field that is selected by the plan or that contains selected fields.
func (s *scanner) readField(w *want, id int16, t Type, depth int) (err error) {
	f := Field{Type: t, Start: int32(s.at)}
	switch {
	case t == Struct && w.child >= 0:
		err = s.readStruct(w.child, depth+1)
	case t == String:
		var n int
		if n, err = s.length(); err == nil {
			f.Start = int32(s.at)
			err = s.skipBytes(n)
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
		return s.store(w, id, f)
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
	return s.store(w, id, f)
}

// store stores a selected field in the result.
func (s *scanner) store(w *want, id int16, f Field) error {
	if s.found[w.slot].Found() {
		return malformed(int(f.Start), "field %d given twice", id)
	}
	s.found[w.slot] = f
	return nil
}
