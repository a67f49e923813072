// Package succession holds what one process of an agent leaves to the next: its form, and what of it counts. It does no
// I/O and reads no clock.
package succession

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"ternbeam/choice"
	"ternbeam/internal/decide/operators"
)

// State is what a process begins with that replaces another.
type State struct {
	Name      string           `json:"name"`
	Discovery string           `json:"discovery"` // whose list it is: another one counts versions otherwise
	List      json.RawMessage  `json:"list"`      // in discovery's form
	Said      operators.Saying `json:"said"`
	Learned   *choice.Memory   `json:"learned,omitempty"`
	Listeners []string         `json:"listeners"` // their addresses, in the order in which they cross
}

// News is what one of two processes is told while both live.
type News struct {
	Offline string          `json:"offline,omitempty"`
	Online  string          `json:"online,omitempty"`
	Ended   json.RawMessage `json:"ended,omitempty"` // entries of servers that drain or are gone, in discovery's form

	// Replaced says that the process that says it has left what it had to a further one: its end leaves nobody alone.
	Replaced bool `json:"replaced,omitempty"`
}

// Counts reports whether the other process's word that a server drains or is gone counts: not where it is of an earlier
// start than is known here, nor of a server that is not.
func Counts(known, said choice.Server) bool {
	return known.ID == said.ID && said.State != choice.Ready && said.Started >= known.Started
}

// The frame of what crosses: the mark with the version, the length of what follows, its checksum.
const (
	mark = "TBS\x01"
	// HeadSize is the size of a frame's head.
	HeadSize = len(mark) + 4 + 4
	// MostBytes is the most that a frame may hold: a list of 8 MiB and as much again for the rest.
	MostBytes = 16 << 20
)

var table = crc32.MakeTable(crc32.Castagnoli)

// Frame words a value.
func Frame(v any) ([]byte, error) {
	body, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("succession: %w", err)
	}
	if len(body) > MostBytes {
		return nil, fmt.Errorf("succession: %d bytes, %d at most can cross", len(body), MostBytes)
	}
	out := append(make([]byte, 0, HeadSize+len(body)), mark...)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)))
	out = binary.BigEndian.AppendUint32(out, crc32.Checksum(body, table))
	return append(out, body...), nil
}

// ErrFrame is why a frame is not read.
var ErrFrame = errors.New("succession: a frame that can't be read")

// Head reads the head of a frame, and returns the length and the checksum of what follows.
func Head(head []byte) (length int, sum uint32, err error) {
	if len(head) != HeadSize || string(head[:len(mark)]) != mark {
		return 0, 0, fmt.Errorf("%w: it begins with %q, not with %q", ErrFrame, head[:min(len(head), len(mark))], mark)
	}
	n := binary.BigEndian.Uint32(head[len(mark):])
	if n > MostBytes {
		return 0, 0, fmt.Errorf("%w: byte %d: a length of %d, %d at most are read", ErrFrame, len(mark), n, MostBytes)
	}
	return int(n), binary.BigEndian.Uint32(head[len(mark)+4:]), nil
}

// Body reads what follows a head.
func Body(body []byte, sum uint32, into any) error {
	if got := crc32.Checksum(body, table); got != sum {
		return fmt.Errorf("%w: its checksum is %08x, not %08x", ErrFrame, got, sum)
	}
	if err := json.Unmarshal(body, into); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	return nil
}
