package thriftwire

import (
	"encoding/binary"
	"math"
)

// Writer encodes a message. Its methods append to Buf.
type Writer struct {
	Buf      []byte
	Encoding Encoding
	last     []int16 // id of the last field of each open struct, for the compact protocol
}

// Head writes the head of a message and opens its struct. rawSeq is the sequence id, already encoded in the Writer's encoding.
func (w *Writer) Head(t MessageType, name, rawSeq []byte) {
	if w.Encoding == Compact {
		w.Buf = append(w.Buf, compactID, compactVersion|byte(t)<<5)
		w.Buf = append(w.Buf, rawSeq...)
		w.Buf = binary.AppendUvarint(w.Buf, uint64(len(name)))
		w.Buf = append(w.Buf, name...)
	} else {
		w.Buf = append(w.Buf, 0x80, 0x01, 0, byte(t))
		w.Buf = binary.BigEndian.AppendUint32(w.Buf, uint32(len(name)))
		w.Buf = append(w.Buf, name...)
		w.Buf = append(w.Buf, rawSeq...)
	}
	w.last = append(w.last[:0], 0)
}

// compactIDs maps types to the compact protocol's type ids.
var compactIDs = [17]byte{Bool: 1, Byte: 3, I16: 4, I32: 5, I64: 6, Double: 7, String: 8, List: 9, Set: 10, Map: 11,
	Struct: 12, UUID: 13}

// field writes a field header.
func (w *Writer) field(t Type, compactID byte, id int16) {
	if w.Encoding != Compact {
		w.Buf = binary.BigEndian.AppendUint16(append(w.Buf, byte(t)), uint16(id))
		return
	}
	last := &w.last[len(w.last)-1]
	if delta := int(id) - int(*last); delta > 0 && delta <= 15 {
		w.Buf = append(w.Buf, byte(delta)<<4|compactID)
	} else {
		w.Buf = binary.AppendUvarint(append(w.Buf, compactID), uint64(uint16(id<<1)^uint16(id>>15)))
	}
	*last = id
}

// Struct writes the header of a struct field and opens the struct; Stop closes it.
func (w *Writer) Struct(id int16) {
	w.field(Struct, compactIDs[Struct], id)
	w.last = append(w.last, 0)
}

// Stop closes the innermost open struct.
func (w *Writer) Stop() {
	w.Buf = append(w.Buf, 0)
	w.last = w.last[:len(w.last)-1]
}

// Int writes an integer field of type t.
func (w *Writer) Int(id int16, t Type, x int64) {
	w.field(t, compactIDs[t], id)
	w.Buf = AppendInt(w.Buf, w.Encoding, t, x)
}

// Bool writes a bool field. The compact protocol encodes the value in the field's type id.
func (w *Writer) Bool(id int16, x bool) {
	if w.Encoding == Compact {
		compact := byte(2)
		if x {
			compact = 1
		}
		w.field(Bool, compact, id)
		return
	}
	w.field(Bool, 0, id)
	b := byte(0)
	if x {
		b = 1
	}
	w.Buf = append(w.Buf, b)
}

// Double writes a double field.
func (w *Writer) Double(id int16, x float64) {
	w.field(Double, compactIDs[Double], id)
	w.Buf = AppendDouble(w.Buf, w.Encoding, x)
}

// String writes a string field.
func (w *Writer) String(id int16, text string) {
	w.field(String, compactIDs[String], id)
	if w.Encoding == Compact {
		w.Buf = binary.AppendUvarint(w.Buf, uint64(len(text)))
	} else {
		w.Buf = binary.BigEndian.AppendUint32(w.Buf, uint32(len(text)))
	}
	w.Buf = append(w.Buf, text...)
}

// ApplicationException writes a complete message with a TApplicationException. kind is the exception's type.
func (w *Writer) ApplicationException(name, rawSeq []byte, kind int32, text string) {
	w.Head(Exception, name, rawSeq)
	w.String(1, text)
	w.Int(2, I32, int64(kind))
	w.Stop()
}

// AppendInt appends the encoding of an integer of type t, without a field header.
func AppendInt(to []byte, e Encoding, t Type, x int64) []byte {
	switch {
	case t == Byte:
		return append(to, byte(x))
	case e == Compact:
		return binary.AppendUvarint(to, uint64(x<<1)^uint64(x>>63))
	case t == I16:
		return binary.BigEndian.AppendUint16(to, uint16(x))
	case t == I32:
		return binary.BigEndian.AppendUint32(to, uint32(x))
	}
	return binary.BigEndian.AppendUint64(to, uint64(x))
}

// AppendDouble appends the encoding of a double, without a field header.
func AppendDouble(to []byte, e Encoding, x float64) []byte {
	if e == Compact {
		return binary.LittleEndian.AppendUint64(to, math.Float64bits(x))
	}
	return binary.BigEndian.AppendUint64(to, math.Float64bits(x))
}

// AppendSeq appends the encoding of a sequence id in a message's head.
func AppendSeq(to []byte, e Encoding, seq int32) []byte {
	if e == Compact {
		return binary.AppendUvarint(to, uint64(uint32(seq)))
	}
	return binary.BigEndian.AppendUint32(to, uint32(seq))
}

// Edit replaces the bytes of a message from At up to, but not including, End by With.
type Edit struct {
	At, End int32
	With    []byte
}

// AppendFrame appends the message m as a frame and applies edits to it. The edits must be in order of position and must not overlap.
func AppendFrame(to, m []byte, edits ...Edit) []byte {
	begin := len(to)
	to = append(to, 0, 0, 0, 0)
	at := int32(0)
	for _, e := range edits {
		to = append(append(to, m[at:e.At]...), e.With...)
		at = e.End
	}
	to = append(to, m[at:]...)
	binary.BigEndian.PutUint32(to[begin:], uint32(len(to)-begin-4))
	return to
}
