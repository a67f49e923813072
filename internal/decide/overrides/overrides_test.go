package overrides

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

// The precedence of overrides and server list, as in the table in docs/design/operation.md.
func TestPrecedence(t *testing.T) {
	for name, c := range map[string]struct {
		change func(o *Set)
		entry  choice.Server
		state  choice.State
		start  time.Duration
	}{
		"no override":          {func(o *Set) {}, choice.Server{Started: before}, choice.Ready, before},
		"out":                  {func(o *Set) { o.Offline(out, "a") }, choice.Server{Started: before}, choice.Draining, before},
		"out and restarted":    {func(o *Set) { o.Offline(out, "a") }, choice.Server{Started: out}, choice.Draining, out},
		"out and terminating":  {func(o *Set) { o.Offline(out, "a") }, choice.Server{State: choice.Draining}, choice.Draining, 0},
		"out and gone":         {func(o *Set) { o.Offline(out, "a") }, choice.Server{State: choice.Removed}, choice.Removed, 0},
		"out, gone, relisted":  {func(o *Set) { o.Offline(out, "a"); o.ServerRemoved("a") }, choice.Server{Started: back}, choice.Draining, back},
		"out twice, back":      {func(o *Set) { o.Offline(out, "a"); o.Offline(out, "a"); o.Online(back, "a") }, choice.Server{}, choice.Ready, back},
		"back, restart known":  {func(o *Set) { o.Offline(out, "a"); o.Online(back, "a") }, choice.Server{Started: 25 * time.Second}, choice.Ready, 25 * time.Second},
		"back, known later":    {func(o *Set) { o.Offline(out, "a"); o.Online(back, "a") }, choice.Server{Started: 31 * time.Second}, choice.Ready, 31 * time.Second},
		"back, terminating":    {func(o *Set) { o.Offline(out, "a"); o.Online(back, "a") }, choice.Server{State: choice.Draining}, choice.Draining, back},
		"never out, put back":  {func(o *Set) { o.Online(back, "a") }, choice.Server{Started: before}, choice.Ready, before},
		"back, gone, relisted": {func(o *Set) { o.Offline(out, "a"); o.Online(back, "a"); o.ServerRemoved("a") }, choice.Server{}, choice.Ready, 0},
		"out, back, out":       {func(o *Set) { o.Offline(out, "a"); o.Online(back, "a"); o.Offline(out, "a") }, choice.Server{}, choice.Draining, 0},
		"another is out":       {func(o *Set) { o.Offline(out, "b") }, choice.Server{}, choice.Ready, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var o, next Set
			c.change(&o)
			next.Restore(time.Hour, o.Snapshot())
			c.entry.ID = "a"
			for _, o := range []Set{o, next, o.Copy()} { // a replacing process and a copy behave the same
				if got := o.Apply(c.entry); got.State != c.state || got.Started != c.start {
					t.Errorf("state %d, started %v", got.State, got.Started)
				}
			}
		})
	}
}

func TestMaxOffline(t *testing.T) {
	var o Set
	for i := range MaxOffline {
		if !o.Offline(out, fmt.Sprint(i)) {
			t.Fatalf("number %d is rejected", i)
		}
	}
	if o.Offline(out, "more") || !o.Offline(out, "0") || len(o.offline) != MaxOffline {
		t.Errorf("%d are offline", len(o.offline))
	}
}

// A start time from a clock that was ahead must not make a server count as cold for too long.
func TestRestoredStartTimeIsNotInTheFuture(t *testing.T) {
	var o Set
	o.Restore(back, Snapshot{BackOnline: map[string][2]int64{"a": {time.Hour.Milliseconds(), time.Hour.Milliseconds()}}})
	if got := o.Apply(choice.Server{ID: "a"}).Started; got != back {
		t.Errorf("started %v", got)
	}
}
