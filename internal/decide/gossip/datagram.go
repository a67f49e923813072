package gossip

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ternbeam/internal/decide/peerstate"
)

// Datagram is a message from one agent to another.
type Datagram struct {
	From    peerstate.Heartbeat
	Gen     uint64                // generation of the sender's list
	At      Cursor                // up to which the sender's list is complete
	Order   uint16                // order of rows to which At refers, if it lies within a version
	Age     time.Duration         // how long ago the sender's list was that of the service
	Request bool                  // the sender requests what it lacks
	Busy    bool                  // the sender is receiving what it lacks from another agent
	Others  []peerstate.Heartbeat // heartbeats of other agents
	Chunk   *Chunk
}

// Chunk is a part of a list.
type Chunk struct {
	Gen   uint64
	Order uint16 // order of rows to which the cursors refer
	After Cursor // an agent whose list is complete up to After
	Upto  Cursor // has it complete up to Upto with these rows
	Head  int64  // version of the complete list of the sender
	Rows  []Row
}

// Bounds of a datagram's contents.
const (
	MinDatagramBytes = 256 // minimum of Settings.DatagramBytes
	MaxDatagramBytes = 8192
	maxRows          = 256
	maxOthers        = 256
	maxIDBytes       = 512
	maxAge           = time.Hour
	ageUnit          = 10 * time.Millisecond
)

// Wire format, encoded as CBOR arrays. Datagrams of another format version are dropped.
type (
	wireDatagram struct {
		_       struct{} `cbor:",toarray"`
		Format  uint8
		From    wireHeartbeat
		Gen     uint64
		At      wireCursor
		Order   uint16
		Age     uint32
		Request bool
		Busy    bool
		Others  []wireHeartbeat
		Chunk   *wireChunk
	}
	wireHeartbeat struct {
		_     struct{} `cbor:",toarray"`
		Index uint32
		Epoch uint64
		Seq   uint32
		Flags uint8
		Age   uint32 // in ageUnit
	}
	wireCursor struct {
		_       struct{} `cbor:",toarray"`
		Version int64
		ID      string
	}
	wireChunk struct {
		_           struct{} `cbor:",toarray"`
		Gen         uint64
		Order       uint16
		After, Upto wireCursor
		Head        int64
		Rows        []wireRow
	}
	wireRow struct {
		_        struct{} `cbor:",toarray"`
		ID       string
		Version  int64
		Removed  bool
		Draining bool
		Body     []byte
	}
)

const format = 1

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 16,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // constant options are valid
	}
	return mode
}()

func toAgeUnits(d time.Duration) uint32 { return uint32(min(max(d, 0), maxAge) / ageUnit) }

func encodeHeartbeat(h peerstate.Heartbeat) wireHeartbeat {
	return wireHeartbeat{Index: uint32(h.Index), Epoch: h.Epoch, Seq: h.Seq, Flags: uint8(h.Flags), Age: toAgeUnits(h.Age)}
}

func encodeCursor(c Cursor) wireCursor { return wireCursor{Version: c.Version, ID: c.ID} }

// Encode returns the wire format of a datagram.
func (d *Datagram) Encode() []byte {
	wire := wireDatagram{Format: format, From: encodeHeartbeat(d.From), Gen: d.Gen, At: encodeCursor(d.At), Order: d.Order,
		Age: toAgeUnits(d.Age), Request: d.Request, Busy: d.Busy}
	for _, h := range d.Others {
		wire.Others = append(wire.Others, encodeHeartbeat(h))
	}
	if c := d.Chunk; c != nil {
		wire.Chunk = &wireChunk{Gen: c.Gen, Order: c.Order, After: encodeCursor(c.After), Upto: encodeCursor(c.Upto), Head: c.Head}
		for _, r := range c.Rows {
			wire.Chunk.Rows = append(wire.Chunk.Rows, wireRow{ID: r.ID, Version: r.Version, Removed: r.Removed, Draining: r.Draining, Body: r.Body})
		}
	}
	out, err := cbor.Marshal(wire)
	if err != nil {
		panic(err) // plain values always encode
	}
	return out
}

// Decode parses a datagram. It returns an error for contents that no agent sends.
func Decode(data []byte) (*Datagram, error) {
	if len(data) > MaxDatagramBytes {
		return nil, fmt.Errorf("datagram has %d bytes, at most %d are accepted", len(data), MaxDatagramBytes)
	}
	var wire wireDatagram
	if err := decoding.Unmarshal(data, &wire); err != nil {
		return nil, err
	}
	switch {
	case wire.Format != format:
		return nil, fmt.Errorf("unknown datagram format %d", wire.Format)
	case len(wire.Others) > maxOthers:
		return nil, fmt.Errorf("datagram has %d heartbeats of others, at most %d are accepted", len(wire.Others), maxOthers)
	}
	d := &Datagram{Gen: wire.Gen, Order: wire.Order, Request: wire.Request, Busy: wire.Busy}
	var err error
	heartbeat := func(w wireHeartbeat) peerstate.Heartbeat {
		if w.Index > 1<<24 {
			err = errors.Join(err, fmt.Errorf("agent index %d is out of range", w.Index))
		}
		return peerstate.Heartbeat{Index: int(w.Index), Epoch: w.Epoch, Seq: w.Seq, Flags: peerstate.Flags(w.Flags), Age: fromAgeUnits(w.Age)}
	}
	cursor := func(c wireCursor) Cursor {
		if c.Version < 0 || len(c.ID) > maxIDBytes {
			err = errors.Join(err, fmt.Errorf("invalid cursor: version %d, id of %d bytes", c.Version, len(c.ID)))
		}
		return Cursor{c.Version, c.ID}
	}
	d.From, d.At, d.Age = heartbeat(wire.From), cursor(wire.At), fromAgeUnits(wire.Age)
	for _, h := range wire.Others {
		d.Others = append(d.Others, heartbeat(h))
	}
	if c := wire.Chunk; c != nil {
		d.Chunk = &Chunk{Gen: c.Gen, Order: c.Order, After: cursor(c.After), Upto: cursor(c.Upto), Head: c.Head}
		if len(c.Rows) > maxRows || c.Head < 0 || c.Gen == 0 || d.Chunk.After.compare(d.Chunk.Upto) >= 0 ||
			d.Chunk.Upto.compare(Cursor{c.Head, lastID}) > 0 {
			err = errors.Join(err, errors.New("invalid bounds of chunk"))
		}
		for i, r := range c.Rows {
			row := Row{r.ID, r.Version, r.Removed, r.Draining, r.Body}
			if r.ID == "" || len(r.ID) > maxIDBytes || row.cursor().compare(d.Chunk.After) <= 0 || row.cursor().compare(d.Chunk.Upto) > 0 {
				err = errors.Join(err, fmt.Errorf("row %d is outside of its chunk", i))
			}
			d.Chunk.Rows = append(d.Chunk.Rows, row)
		}
	}
	if err != nil {
		return nil, err
	}
	return d, nil
}

func fromAgeUnits(units uint32) time.Duration { return min(time.Duration(units)*ageUnit, maxAge) }

// chunk returns the rows after a cursor that fit into room bytes, with the cursors; nil if not even the next row fits.
func (l *versionedList) chunk(after Cursor, room int) *Chunk {
	c := &Chunk{Gen: l.gen, Order: l.order, After: after, Upto: l.end(), Head: l.head}
	room -= chunkHeaderBytes + after.encodedBytes() + l.end().encodedBytes()
	for _, r := range l.byCursor[l.index(after):] {
		// The chunk's end is the cursor of its last row, or the end of the list.
		if room -= r.encodedBytes(); room < max(0, r.cursor().encodedBytes()-l.end().encodedBytes()) || len(c.Rows) == maxRows {
			if len(c.Rows) == 0 {
				return nil
			}
			c.Upto = c.Rows[len(c.Rows)-1].cursor()
			break
		}
		c.Rows = append(c.Rows, *r)
	}
	return c
}

// Encoded sizes in bytes: one for the header of an array of up to 23 elements, for other values see intBytes.
const (
	maxHeartbeatBytes = 1 + 5 + 9 + 5 + 2 + 5 // maximum of the array header, Index, Epoch, Seq, Flags and Age
	chunkHeaderBytes  = 1 + 9 + 3 + 9 + 3     // maximum of the array header, Gen, Order, Head and the header of Rows
)

// intBytes returns the encoded size of a non-negative integer, or of the header of a text, a byte string or an array.
func intBytes(x uint64) int {
	switch {
	case x < 24:
		return 1
	case x < 1<<8:
		return 2
	case x < 1<<16:
		return 3
	case x < 1<<32:
		return 5
	}
	return 9
}

// textBytes returns the encoded size of a text or byte string of n bytes.
func textBytes(n int) int { return intBytes(uint64(n)) + n }

func (c Cursor) encodedBytes() int { return 1 + intBytes(uint64(c.Version)) + textBytes(len(c.ID)) }

func (r *Row) encodedBytes() int {
	return 1 + textBytes(len(r.ID)) + intBytes(uint64(r.Version)) + 2 + textBytes(len(r.Body)) // 2 for Removed and Draining
}
