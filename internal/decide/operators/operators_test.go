package operators

import (
	"fmt"
	"testing"
	"time"

	"ternbeam/choice"
)

const (
	before = 10 * time.Second
	out    = 20 * time.Second
	back   = 30 * time.Second
)

// The precedence, row by row, as the table in docs/design/operation.md has it.
func TestCounts(t *testing.T) {
	for name, c := range map[string]struct {
		say   func(w *Word)
		entry choice.Server
		state choice.State
		start time.Duration
	}{
		"nothing said":        {func(w *Word) {}, choice.Server{Started: before}, choice.Ready, before},
		"out":                 {func(w *Word) { w.Offline(out, "a") }, choice.Server{Started: before}, choice.Draining, before},
		"out and restarted":   {func(w *Word) { w.Offline(out, "a") }, choice.Server{Started: out}, choice.Draining, out},
		"out and terminating": {func(w *Word) { w.Offline(out, "a") }, choice.Server{State: choice.Draining}, choice.Draining, 0},
		"out and gone":        {func(w *Word) { w.Offline(out, "a") }, choice.Server{State: choice.Gone}, choice.Gone, 0},
		"out, gone, anew":     {func(w *Word) { w.Offline(out, "a"); w.Gone("a") }, choice.Server{Started: back}, choice.Draining, back},
		"out twice, back":     {func(w *Word) { w.Offline(out, "a"); w.Offline(out, "a"); w.Online(back, "a") }, choice.Server{}, choice.Ready, back},
		"back, restart told":  {func(w *Word) { w.Offline(out, "a"); w.Online(back, "a") }, choice.Server{Started: 25 * time.Second}, choice.Ready, 25 * time.Second},
		"back, told later":    {func(w *Word) { w.Offline(out, "a"); w.Online(back, "a") }, choice.Server{Started: 31 * time.Second}, choice.Ready, 31 * time.Second},
		"back, terminating":   {func(w *Word) { w.Offline(out, "a"); w.Online(back, "a") }, choice.Server{State: choice.Draining}, choice.Draining, back},
		"never out, put back": {func(w *Word) { w.Online(back, "a") }, choice.Server{Started: before}, choice.Ready, before},
		"back, gone, anew":    {func(w *Word) { w.Offline(out, "a"); w.Online(back, "a"); w.Gone("a") }, choice.Server{}, choice.Ready, 0},
		"out, back, out":      {func(w *Word) { w.Offline(out, "a"); w.Online(back, "a"); w.Offline(out, "a") }, choice.Server{}, choice.Draining, 0},
		"another is out":      {func(w *Word) { w.Offline(out, "b") }, choice.Server{}, choice.Ready, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var w, next Word
			c.say(&w)
			next.Take(time.Hour, w.Saying())
			c.entry.ID = "a"
			for _, w := range []Word{w, next, w.Copy()} { // a replacement knows the same
				if got := w.Counts(c.entry); got.State != c.state || got.Started != c.start {
					t.Errorf("counts as state %d, started %v", got.State, got.Started)
				}
			}
		})
	}
}

func TestBounds(t *testing.T) {
	var w Word
	for i := range Most {
		if !w.Offline(out, fmt.Sprint(i)) {
			t.Fatalf("number %d is turned away", i)
		}
	}
	if w.Offline(out, "more") || !w.Offline(out, "0") || len(w.out) != Most {
		t.Errorf("%d are out", len(w.out))
	}
}

// A clock that was ahead must not keep a server cold.
func TestTakenStartIsNotInTheFuture(t *testing.T) {
	var w Word
	w.Take(back, Saying{Back: map[string][2]int64{"a": {time.Hour.Milliseconds(), time.Hour.Milliseconds()}}})
	if got := w.Counts(choice.Server{ID: "a"}).Started; got != back {
		t.Errorf("started %v", got)
	}
}
