package agent

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// outcome is what is to come of a call.
type outcome struct {
	kind       standin.Kind
	deliveries int // over all servers
}

var (
	servedAtOnce = outcome{standin.Served, 1}
	servedAgain  = outcome{standin.Served, 2}
	refusedOnce  = outcome{standin.Refused, 1}
	failedOnce   = outcome{standin.Failed, 1}
)

// The same faults, through every protocol, must have the same outcomes: final answers, attempts, effects and times.
func TestFaultsFareAlike(t *testing.T) {
	const deadline = 700 * time.Millisecond
	// mayHaveRun is what comes of a fault after which an attempt may have run.
	mayHaveRun := map[standin.Method]outcome{standin.Check: servedAgain, standin.Record: servedAgain,
		standin.Pay: failedOnce}
	same := func(o outcome) map[standin.Method]outcome {
		return map[standin.Method]outcome{standin.Check: o, standin.Record: o, standin.Pay: o}
	}
	for _, c := range []struct {
		name      string
		script    standin.Script
		platform  standin.Platform
		pods      int // that the two servers are in
		want      map[standin.Method]outcome
		least     time.Duration // until the answer
		most      time.Duration
		noEffects bool
	}{
		{name: "none", pods: 1, want: same(servedAtOnce)},
		{name: "turned away", script: standin.First(1, standin.Step{Fault: standin.Reject}), pods: 1, want: same(servedAgain)},
		{name: "turned away, and elsewhere", script: standin.First(1, standin.Step{Fault: standin.Reject}), pods: 2,
			want: same(outcome{standin.Refused, 2}), platform: standin.Platform{MostTries: 2}, noEffects: true},
		{name: "turned away always", script: standin.First(9, standin.Step{Fault: standin.Reject}), pods: 1,
			want: same(outcome{standin.Refused, 3}), noEffects: true},
		{name: "error", script: standin.First(1, standin.Step{Fault: standin.Error}), pods: 1, want: mayHaveRun},
		{name: "reset before", script: standin.First(1, standin.Step{Fault: standin.ResetBefore}), pods: 1, want: mayHaveRun},
		{name: "reply cut", script: standin.First(1, standin.Step{Fault: standin.CutReply}), pods: 1, want: mayHaveRun},
		{name: "reply trickles", script: standin.First(1, standin.Step{Fault: standin.Trickle}), pods: 1, want: same(servedAtOnce),
			least: 250 * time.Millisecond, most: 4 * time.Second},
		{name: "spoilt", script: standin.First(1, standin.Step{Fault: standin.Spoilt}), pods: 1, want: mayHaveRun,
			most: 2 * time.Second},
		{name: "reply to another", script: standin.First(1, standin.Step{Fault: standin.WrongSeq}), pods: 1, want: mayHaveRun,
			most: 2 * time.Second},
		{name: "reply of 2 GiB", script: standin.First(1, standin.Step{Fault: standin.HugeReply}), pods: 1, want: mayHaveRun,
			most: 2 * time.Second},
		{name: "reset after", script: standin.First(1, standin.Step{Fault: standin.ResetAfter}), pods: 1, want: same(servedAtOnce)},
		{name: "two replies", script: standin.First(1, standin.Step{Fault: standin.TwoReplies}), pods: 1, want: same(servedAtOnce)},
		{name: "silence", script: standin.First(9, standin.Step{Fault: standin.Silence}), pods: 1,
			platform: standin.Platform{Deadline: deadline}, least: deadline - 20*time.Millisecond, most: 3 * deadline,
			want: map[standin.Method]outcome{standin.Check: refusedOnce, standin.Record: failedOnce, standin.Pay: failedOnce}},
		// What may have run is only sent again within its pod and window, and otherwise failed, never refused.
		{name: "lost, with another pod", script: standin.First(9, standin.Step{Fault: standin.ResetBefore}), pods: 2,
			want:     map[standin.Method]outcome{standin.Record: {standin.Failed, 2}, standin.Pay: failedOnce},
			platform: standin.Platform{MostTries: 2}},
		{name: "lost beyond the window", script: standin.First(1, standin.Step{Fault: standin.ResetBefore,
			Delay: 100 * time.Millisecond}), pods: 1, platform: standin.Platform{Window: 50 * time.Millisecond},
			want: map[standin.Method]outcome{standin.Check: servedAgain, standin.Record: failedOnce, standin.Pay: failedOnce}},
		// Late by a little: the reply comes just as the deadline fires, or just after.
		{name: "reply at the deadline", script: standin.First(9, standin.Step{Delay: deadline}), pods: 1,
			platform: standin.Platform{Deadline: deadline}, want: nil, most: 3 * deadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, sp := range speeches {
				for m := standin.Check; m <= standin.Pay; m++ {
					t.Run(fmt.Sprint(sp.name, " ", m), func(t *testing.T) {
						t.Parallel()
						first, second := standin.NewPod(), standin.NewPod()
						if c.pods == 1 {
							second = first
						}
						// Each in a world of its own: what the module has seen of a fault changes what it does next.
						w := newWorld(t, sp, c.platform, nil,
							standin.Options{ID: "a", Pod: first, Cell: 1, Script: c.script},
							standin.Options{ID: "b", Pod: second, Cell: c.pods, Script: c.script})
						w.expect(t, ask(m, "first"), c.want[m], c.least, c.most, c.noEffects, c.want == nil)
						w.atRest(t)
					})
				}
			}
		})
	}
}

// expect makes one call and holds what comes of it against what is wanted.
func (w *world) expect(t *testing.T, a standin.Ask, want outcome, least, most time.Duration, noEffects, either bool) {
	t.Helper()
	got := w.kiosk.Ask(a)
	effects, deliveries := w.effects(a), w.deliveries(a.ID)
	if either {
		if got.Kind == standin.Lost || got.Kind == standin.TurnedDown || deliveries != 1 {
			t.Errorf("%s was %s after %d deliveries: %v", a.ID, got.Kind, deliveries, got.Err)
		}
	} else if want != (outcome{}) && (got.Kind != want.kind || deliveries != want.deliveries) {
		t.Errorf("%s was %s after %d deliveries, not %s after %d: %v", a.ID, got.Kind, deliveries, want.kind,
			want.deliveries, got.Err)
	}
	if got.Kind == standin.Served {
		text := map[standin.Method]string{standin.Check: "checked " + a.Key + " ", standin.Record: "receipt of " + a.Idempotency,
			standin.Pay: "receipt of " + a.ID}[a.Method]
		if got.Text != text {
			t.Errorf("%s was served %q, not %q", a.ID, got.Text, text)
		}
	}
	if wanted := map[bool]int{true: 1}[a.Method != standin.Check && !noEffects]; effects != wanted && (want != outcome{} || either) {
		t.Errorf("%s had its effect %d times", a.ID, effects)
	}
	if got.Took < least || most > 0 && got.Took > most {
		t.Errorf("%s was answered after %v, not between %v and %v", a.ID, got.Took, least, most)
	}
}

// A refusal says when to come back, in every protocol, and comes at once.
func TestRefusalSaysWhenAlike(t *testing.T) {
	for _, sp := range speeches {
		w := newWorld(t, sp, standin.Platform{MaxRetryAfter: time.Second}, nil) // knows no server
		got := w.kiosk.Ask(ask(standin.Pay, "id"))
		if got.Kind != standin.Refused || got.RetryAfter != 300*time.Millisecond || got.Took > 2*time.Second {
			t.Errorf("%s: %s, to come back after %v, told after %v", sp.name, got.Kind, got.RetryAfter, got.Took)
		}
	}
}

// From the end of its grace on a server that drains gets nothing new, while what it has is answered.
func TestDrainFaresAlike(t *testing.T) {
	for _, sp := range speeches {
		t.Run(sp.name, func(t *testing.T) {
			t.Parallel()
			pod := standin.NewPod()
			hold := make(chan struct{})
			script := func(c standin.Call) standin.Step {
				if c.ID == "held" {
					return standin.Step{Until: hold}
				}
				return standin.Step{}
			}
			w := newWorld(t, sp, standin.Platform{}, nil, standin.Options{ID: "a", Pod: pod, Cell: 1, Script: script})
			held := make(chan standin.Answer, 1)
			go func() { held <- w.kiosk.Ask(ask(standin.Pay, "held")) }()
			testkit.Eventually(t, "it is under way", func() bool { return w.deliveries("held") == 1 })
			w.servers[0].Drain()
			w.list.Tell(w.servers[0].Entry())
			testkit.Eventually(t, "the agent knows", func() bool { return len(w.core.Snapshot().Servers) == 0 })
			if got := w.kiosk.Ask(ask(standin.Pay, "new")); got.Kind != standin.Refused || w.deliveries("new") != 0 {
				t.Errorf("a new call was %s after %d deliveries", got.Kind, w.deliveries("new"))
			}
			close(hold)
			if got := <-held; got.Kind != standin.Served {
				t.Errorf("the one under way was %s: %v", got.Kind, got.Err)
			}
			if n := w.servers[0].Late(); n != 0 {
				t.Errorf("%d calls came after the drain", n)
			}
			w.atRest(t)
			testkit.Eventually(t, "its connections are closed", func() bool { return w.connections() == 0 })
		})
	}
}

// An ending agent answers what it took, on every front.
func TestEndsGentlyAlike(t *testing.T) {
	for _, sp := range speeches {
		t.Run(sp.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			w := newWorld(t, sp, standin.Platform{}, nil, standin.Options{ID: "a",
				Script: func(standin.Call) standin.Step { return standin.Step{Until: release} }})
			var all sync.WaitGroup
			for i := range 5 {
				all.Go(func() {
					if got := w.kiosk.Ask(ask(standin.Pay, fmt.Sprint("before", i))); got.Kind != standin.Served {
						t.Errorf("%s: %v", got.Kind, got.Err)
					}
				})
			}
			testkit.Eventually(t, "all are under way", func() bool { _, open := w.held(); return open == 5 })
			w.end()
			if got := make(chan standin.Answer, 1); true {
				go func() { got <- w.kiosk.Ask(ask(standin.Pay, "after")) }()
				testkit.Eventually(t, "one more is under way", func() bool { return w.deliveries("after") == 1 })
				time.Sleep(shutdown.Plan(w.cfg.LongestDeadline(), false).Accept + 50*time.Millisecond) // all are to outlast the time of accepting
				close(release)
				if ans := <-got; ans.Kind != standin.Served {
					t.Errorf("one that came while the agent ends was %s: %v", ans.Kind, ans.Err)
				}
			}
			all.Wait()
			select {
			case err := <-w.done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(testkit.Patience):
				t.Error("the agent goes on")
			}
		})
	}
}

// A fleet may hold both kinds: each call goes to servers that speak as it does, and only there.
func TestMixedFleet(t *testing.T) {
	w := newWorld(t, speeches[0], standin.Platform{}, nil, standin.Options{ID: "h", Protocol: "http"},
		standin.Options{ID: "b", Protocol: "thrift-binary"}, standin.Options{ID: "c", Protocol: "thrift-compact"},
		standin.Options{ID: "t", Protocol: "thrift"})
	for i, c := range []struct{ kiosk, never, never2 string }{{"http", "", ""}, {"thrift-binary", "h", "c"},
		{"thrift-compact", "h", "b"}} {
		addr := w.thrift
		if c.kiosk == "http" {
			addr = w.cfg.Listen
		}
		k, err := standin.NewKiosk(c.kiosk, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		for j := range 20 {
			a := ask(standin.Record, fmt.Sprint(i, "-", j))
			if got := k.Ask(a); got.Kind != standin.Served {
				t.Errorf("%s: %s, %v", c.kiosk, got.Kind, got.Err)
			}
			for s, id := range []string{"h", "b", "c", "t"} {
				n := w.servers[s].Pod().Deliveries(a.ID)
				if n > 0 && (id == c.never || id == c.never2 || c.kiosk == "http" && id != "h") {
					t.Errorf("a call in %s went to server %s", c.kiosk, id)
				}
			}
		}
	}
	if s := w.core.Snapshot().Stats; s.Attempts != 60 { // one that went astray would have been made again
		t.Errorf("%d attempts for 60 calls", s.Attempts)
	}
}
