// Package handover defines what one process of an agent hands over to the process that replaces it, its encoding, and which
// notifications between the two apply. It does no I/O and reads no clock.
package handover

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/overrides"
	"ternbeam/internal/decide/recentids"
)

// State is the state that a process takes over from the one that it replaces.
type State struct {
	Name      string             `json:"name"`
	Discovery string             `json:"discovery"`           // address of List's source; list versions differ between sources
	Abandoned Abandoned          `json:"abandoned,omitempty"` // what an older environment may still name
	List      json.RawMessage    `json:"list"`                // the server list, in discovery's format
	Overrides overrides.Snapshot `json:"said"`                // operators' overrides of servers; the key is part of the handover format
	Learned   *choice.Memory     `json:"learned,omitempty"`   // what the decision module has learned
	IDs       []recentids.Hash   `json:"ids,omitempty"`       // of calls that may have run or are in progress
	Listeners []string           `json:"listeners"`           // addresses of the listeners, in the order in which their descriptors are passed
}

// Abandoned holds the addresses of discovery services from which a new configuration has moved an agent while it ran, the oldest first. The
// environment of a process that replaces it may still name one of them.
type Abandoned []string

// maxAbandoned is the number of addresses that are kept. An environment names the address of some start; more than this many moves since are not
// expected, and the state stays small.
const maxAbandoned = 16

// Moved returns the addresses after a move of the agent from one address to another.
func (a Abandoned) Moved(from, to string) Abandoned {
	a = append(a.Without(from), from).Without(to)
	return a[max(0, len(a)-maxAbandoned):]
}

// Without returns the addresses other than one that is in use again.
func (a Abandoned) Without(addr string) Abandoned {
	return slices.DeleteFunc(slices.Clone(a), func(other string) bool { return other == addr })
}

// Update is a notification between the old and the new process while both are running.
type Update struct {
	Offline string           `json:"offline,omitempty"` // id of a server that an operator took offline
	Online  string           `json:"online,omitempty"`  // id of a server that an operator put back online
	IDs     []recentids.Hash `json:"ids,omitempty"`     // of calls that the sender has received, and that must not run twice
	Ended   json.RawMessage  `json:"ended,omitempty"`   // entries of servers that are draining or were removed, in discovery's format

	// Replaced reports that the sender has itself handed over to a further process, so the receiver need not take over when
	// the sender exits.
	Replaced bool `json:"replaced,omitempty"`
}

// Applies reports whether the other process's notification that a server is draining or was removed applies. It does not if it is
// about an earlier start of the server than the one known here, or about a server that is unknown here.
func Applies(known, notified choice.Server) bool {
	return known.ID == notified.ID && notified.State != choice.Ready && notified.Started >= known.Started
}

// A frame consists of the magic with the version, the length of the body (4 bytes, big endian), its CRC-32C (4 bytes, big endian)
// and the body.
const (
	magic = "TBS\x01"
	// HeaderSize is the size of a frame's header in bytes.
	HeaderSize = len(magic) + 4 + 4
	// MaxBodyBytes is the maximum size of a frame's body: a server list of 8 MiB and as much again for the rest.
	MaxBodyBytes = 16 << 20
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// Encode returns a frame with the JSON encoding of v.
func Encode(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if len(body) > MaxBodyBytes {
		return nil, fmt.Errorf("handover: body of %d bytes exceeds the maximum of %d", len(body), MaxBodyBytes)
	}
	out := append(make([]byte, 0, HeaderSize+len(body)), magic...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(body, crcTable))
	return append(out, body...), nil
}

// ErrFrame reports a frame that can't be decoded.
var ErrFrame = errors.New("handover: invalid frame")

// DecodeHeader decodes the header of a frame and returns the length and the checksum of its body.
func DecodeHeader(head []byte) (length int, sum uint32, err error) {
	if len(head) != HeaderSize || string(head[:len(magic)]) != magic {
		return 0, 0, fmt.Errorf("%w: it begins with %q instead of %q", ErrFrame, head[:min(len(head), len(magic))], magic)
	}
	n := binary.BigEndian.Uint32(head[len(magic):])
	if n > MaxBodyBytes {
		return 0, 0, fmt.Errorf("%w: byte %d: a length of %d exceeds the maximum of %d", ErrFrame, len(magic), n, MaxBodyBytes)
	}
	return int(n), binary.BigEndian.Uint32(head[len(magic)+4:]), nil
}

// DecodeBody checks the body of a frame against its checksum and decodes it into into.
func DecodeBody(body []byte, sum uint32, into any) error {
	if got := crc32.Checksum(body, crcTable); got != sum {
		return fmt.Errorf("%w: checksum is %08x, want %08x", ErrFrame, got, sum)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}
