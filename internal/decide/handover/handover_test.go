package handover

import (
	"encoding/binary"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"

	"ternbeam/choice"
)

func parse(frame []byte, into any) error {
	n, sum, err := DecodeHeader(frame[:min(len(frame), HeaderSize)])
	if err != nil {
		return err
	}
	if len(frame) != HeaderSize+n {
		return ErrFrame
	}
	return DecodeBody(frame[HeaderSize:], sum, into)
}

func TestFrame(t *testing.T) {
	frame, err := Encode(Update{Offline: "s-1"})
	if err != nil {
		t.Fatal(err)
	}
	var n Update
	if err := parse(frame, &n); err != nil || n.Offline != "s-1" {
		t.Errorf("%+v, %v", n, err)
	}
	for i := range frame { // changing any byte makes the frame invalid
		bad := append([]byte(nil), frame...)
		bad[i] ^= 0x20
		if err := parse(bad, &n); !errors.Is(err, ErrFrame) {
			t.Errorf("byte %d: %v", i, err)
		}
	}
	binary.BigEndian.PutUint32(frame[len(magic):], MaxBodyBytes+1)
	if _, _, err := DecodeHeader(frame[:HeaderSize]); err == nil || !strings.Contains(err.Error(), "byte 4: a length of") {
		t.Errorf("a length above the maximum: %v", err)
	}
}

// A notification of a drain applies to the server process that it is about and not to a later one.
func TestDrainAppliesOnlyToItsServerProcess(t *testing.T) {
	for _, c := range []struct {
		known, notified choice.Server
		want            bool
	}{
		{choice.Server{ID: "a", Started: 5}, choice.Server{ID: "a", Started: 5, State: choice.Draining}, true},
		{choice.Server{ID: "a", Started: 5}, choice.Server{ID: "a", Started: 5, State: choice.Removed}, true},
		{choice.Server{ID: "a", Started: 5}, choice.Server{ID: "a", Started: 6, State: choice.Draining}, true},
		{choice.Server{ID: "a", Started: 6}, choice.Server{ID: "a", Started: 5, State: choice.Draining}, false},
		{choice.Server{ID: "a", Started: 5}, choice.Server{ID: "a", Started: 5}, false},
		{choice.Server{}, choice.Server{ID: "a", State: choice.Removed}, false},
	} {
		if got := Applies(c.known, c.notified); got != c.want {
			t.Errorf("known %+v, notified %+v: %t", c.known, c.notified, got)
		}
	}
}

// Only addresses that are not in use are abandoned, each once, and the oldest are forgotten.
func TestAbandonedAddresses(t *testing.T) {
	var a Abandoned
	for _, move := range []struct{ from, to, want string }{
		{"a", "b", "[a]"},
		{"b", "c", "[a b]"},
		{"c", "a", "[b c]"},
		{"a", "b", "[c a]"},
		{"b", "b", "[c a]"},
	} {
		before := fmt.Sprint(a)
		next := a.Moved(move.from, move.to)
		if got := fmt.Sprint(next); got != move.want || fmt.Sprint(a) != before {
			t.Errorf("%s, from %s to %s: %s, and %s is changed to %s", before, move.from, move.to, got, before, a)
		}
		a = next
	}
	if got := fmt.Sprint(a.Without("c"), a); got != "[a] [c a]" {
		t.Errorf("without c: %s", got)
	}
	for i := range 2 * maxAbandoned {
		a = a.Moved(fmt.Sprint(i), fmt.Sprint(i+1))
	}
	if len(a) != maxAbandoned || !slices.Contains(a, fmt.Sprint(2*maxAbandoned-1)) {
		t.Errorf("after many moves: %v", a)
	}
}
