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

// outcome is the expected result of a call.
type outcome struct {
	kind       standin.AnswerKind
	deliveries int // to all servers together
}

var (
	servedFirst   = outcome{standin.Served, 1}
	servedOnRetry = outcome{standin.Served, 2}
	refusedOnce   = outcome{standin.Refused, 1}
	failedOnce    = outcome{standin.Failed, 1}
)

// Guards against a keyed call that is sent again to, or after it may have run at, a process that may not be the one that the list names.
func TestKeyedCallIsNotSentAgainWhileProcessesAreUnknown(t *testing.T) {
	t.Parallel()
	for _, variant := range protocolVariants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			group, script := standin.NewDedupGroup(), standin.FirstDeliveries(1, standin.Step{Fault: standin.ResetBefore})
			w := newTestbed(t, variant, standin.Platform{}, nil, standin.Options{ID: "a", DedupGroup: group, Cell: 1, Script: script},
				standin.Options{ID: "b", DedupGroup: group, Cell: 1, Script: script})
			w.expect(t, newCall(standin.Record, "first"), failedOnce, 0, 0, false, false)
			w.expect(t, newCall(standin.Check, "second"), servedOnRetry, 0, 0, true, false)
		})
	}
}

// The same faults must have the same outcomes in every protocol: final answers, attempts, effects and times.
func TestFaultsHaveTheSameOutcomesInEveryProtocol(t *testing.T) {
	const deadline = 700 * time.Millisecond
	// mayHaveRun is the outcome of a fault after which the attempt may have run.
	mayHaveRun := map[standin.Method]outcome{standin.Check: servedOnRetry, standin.Record: servedOnRetry,
		standin.Pay: failedOnce}
	same := func(o outcome) map[standin.Method]outcome {
		return map[standin.Method]outcome{standin.Check: o, standin.Record: o, standin.Pay: o}
	}
	for _, c := range []struct {
		name      string
		script    standin.Script
		platform  standin.Platform
		groups    int // number of deduplication groups, each in its own cell, that the two servers belong to
		want      map[standin.Method]outcome
		minTime   time.Duration // minimum time until the answer
		maxTime   time.Duration // maximum time until the answer; 0 for no limit
		noEffects bool
	}{
		{name: "none", groups: 1, want: same(servedFirst)},
		{name: "rejected once", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.Reject}), groups: 1, want: same(servedOnRetry)},
		{name: "rejected, with another pod", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.Reject}), groups: 2,
			want: same(outcome{standin.Refused, 2}), platform: standin.Platform{MaxAttempts: 2}, noEffects: true},
		{name: "always rejected", script: standin.FirstDeliveries(9, standin.Step{Fault: standin.Reject}), groups: 1,
			want: same(outcome{standin.Refused, 3}), noEffects: true},
		{name: "error", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.Error}), groups: 1, want: mayHaveRun},
		{name: "reset before", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.ResetBefore}), groups: 1, want: mayHaveRun},
		{name: "truncated reply", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.CutReply}), groups: 1, want: mayHaveRun},
		{name: "slow reply", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.Trickle}), groups: 1, want: same(servedFirst),
			minTime: 250 * time.Millisecond, maxTime: 4 * time.Second},
		{name: "spoilt", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.InvalidBytes}), groups: 1, want: mayHaveRun,
			maxTime: 2 * time.Second},
		{name: "reply to another call", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.WrongSeq}), groups: 1, want: mayHaveRun,
			maxTime: 2 * time.Second},
		{name: "reply of 2 GiB", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.HugeReply}), groups: 1, want: mayHaveRun,
			maxTime: 2 * time.Second},
		{name: "reset after", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.ResetAfter}), groups: 1, want: same(servedFirst)},
		{name: "two replies", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.TwoReplies}), groups: 1, want: same(servedFirst)},
		{name: "silence", script: standin.FirstDeliveries(9, standin.Step{Fault: standin.NoReply}), groups: 1,
			platform: standin.Platform{Deadline: deadline}, minTime: deadline - 20*time.Millisecond, maxTime: 3 * deadline,
			want: map[standin.Method]outcome{standin.Check: refusedOnce, standin.Record: failedOnce, standin.Pay: failedOnce}},
		// A call that may have run is retried only within its deduplication group and window, and otherwise failed, never refused.
		{name: "connection lost, with another pod", script: standin.FirstDeliveries(9, standin.Step{Fault: standin.ResetBefore}), groups: 2,
			// The only server of the group may be another process by then.
			want:     map[standin.Method]outcome{standin.Record: failedOnce, standin.Pay: failedOnce},
			platform: standin.Platform{MaxAttempts: 2}},
		{name: "connection lost beyond the window", script: standin.FirstDeliveries(1, standin.Step{Fault: standin.ResetBefore,
			Delay: 100 * time.Millisecond}), groups: 1, platform: standin.Platform{DedupWindow: 50 * time.Millisecond},
			want: map[standin.Method]outcome{standin.Check: servedOnRetry, standin.Record: failedOnce, standin.Pay: failedOnce}},
		// The reply arrives just as the deadline fires, or just after.
		{name: "reply at the deadline", script: standin.FirstDeliveries(9, standin.Step{Delay: deadline}), groups: 1,
			platform: standin.Platform{Deadline: deadline}, want: nil, maxTime: 3 * deadline},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			for _, variant := range protocolVariants {
				for m := standin.Check; m <= standin.Pay; m++ {
					t.Run(fmt.Sprint(variant.name, " ", m), func(t *testing.T) {
						t.Parallel()
						first, second := standin.NewDedupGroup(), standin.NewDedupGroup()
						if c.groups == 1 {
							second = first
						}
						// Each case has its own testbed: a fault that the choice module has seen changes its later decisions.
						w := newTestbed(t, variant, c.platform, nil,
							standin.Options{ID: "a", DedupGroup: first, Cell: 1, Script: c.script},
							standin.Options{ID: "b", DedupGroup: second, Cell: c.groups, Script: c.script})
						w.AssumeProcessesKnown()
						w.expect(t, newCall(m, "first"), c.want[m], c.minTime, c.maxTime, c.noEffects, c.want == nil)
						w.waitIdle(t)
					})
				}
			}
		})
	}
}

// expect makes one call and compares its outcome with want. With anyOutcome, all outcomes pass except a lost call and a bad request, and
// there must be exactly one delivery.
func (w *testbed) expect(t *testing.T, a standin.Request, want outcome, minTime, maxTime time.Duration, noEffects, anyOutcome bool) {
	t.Helper()
	got := w.client.Do(a)
	effects, deliveries := w.effects(a), w.deliveries(a.ID)
	if anyOutcome {
		if got.Kind == standin.Lost || got.Kind == standin.BadRequest || deliveries != 1 {
			t.Errorf("%s was %s after %d deliveries: %v", a.ID, got.Kind, deliveries, got.Err)
		}
	} else if want != (outcome{}) && (got.Kind != want.kind || deliveries != want.deliveries) {
		t.Errorf("%s was %s after %d deliveries, not %s after %d: %v", a.ID, got.Kind, deliveries, want.kind,
			want.deliveries, got.Err)
	}
	if got.Kind == standin.Served {
		text := map[standin.Method]string{standin.Check: "checked " + a.Key + " ", standin.Record: "receipt of " + a.IdempotencyKey,
			standin.Pay: "receipt of " + a.ID}[a.Method]
		if got.Text != text {
			t.Errorf("%s was served %q, not %q", a.ID, got.Text, text)
		}
	}
	if wanted := map[bool]int{true: 1}[a.Method != standin.Check && !noEffects]; effects != wanted && (want != outcome{} || anyOutcome) {
		t.Errorf("%s had its effect %d times", a.ID, effects)
	}
	if got.Took < minTime || maxTime > 0 && got.Took > maxTime {
		t.Errorf("%s was answered after %v, not between %v and %v", a.ID, got.Took, minTime, maxTime)
	}
}

// A refusal is immediate and carries a retry delay, in every protocol.
func TestRefusalCarriesRetryDelayInEveryProtocol(t *testing.T) {
	for _, variant := range protocolVariants {
		w := newTestbed(t, variant, standin.Platform{MaxRetryAfter: time.Second}, nil) // knows no server
		got := w.client.Do(newCall(standin.Pay, "id"))
		if got.Kind != standin.Refused || got.RetryAfter != 300*time.Millisecond || got.Took > 2*time.Second {
			t.Errorf("%s: %s, retry after %v, answered after %v", variant.name, got.Kind, got.RetryAfter, got.Took)
		}
	}
}

// After the grace period a draining server gets no new calls, and the calls that it has are answered.
func TestDrainInEveryProtocol(t *testing.T) {
	for _, variant := range protocolVariants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			group := standin.NewDedupGroup()
			hold := make(chan struct{})
			script := func(c standin.Call) standin.Step {
				if c.ID == "held" {
					return standin.Step{Until: hold}
				}
				return standin.Step{}
			}
			w := newTestbed(t, variant, standin.Platform{}, nil, standin.Options{ID: "a", DedupGroup: group, Cell: 1, Script: script})
			held := make(chan standin.Answer, 1)
			go func() { held <- w.client.Do(newCall(standin.Pay, "held")) }()
			testkit.Eventually(t, "the call is in flight", func() bool { return w.deliveries("held") == 1 })
			w.servers[0].Drain()
			w.list.Update(w.servers[0].Entry())
			testkit.Eventually(t, "the agent has the update", func() bool { return len(w.core.Snapshot().Servers) == 0 })
			if got := w.client.Do(newCall(standin.Pay, "new")); got.Kind != standin.Refused || w.deliveries("new") != 0 {
				t.Errorf("a new call was %s after %d deliveries", got.Kind, w.deliveries("new"))
			}
			close(hold)
			if got := <-held; got.Kind != standin.Served {
				t.Errorf("the call in flight was %s: %v", got.Kind, got.Err)
			}
			if n := w.servers[0].LateCalls(); n != 0 {
				t.Errorf("%d calls arrived after the drain", n)
			}
			w.waitIdle(t)
			testkit.Eventually(t, "the server's connections are closed", func() bool { return w.serverConns() == 0 })
		})
	}
}

// During shutdown an agent answers all calls that it received, on every front.
func TestGracefulShutdownInEveryProtocol(t *testing.T) {
	for _, variant := range protocolVariants {
		t.Run(variant.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			w := newTestbed(t, variant, standin.Platform{}, nil, standin.Options{ID: "a",
				Script: func(standin.Call) standin.Step { return standin.Step{Until: release} }})
			var all sync.WaitGroup
			for i := range 5 {
				all.Go(func() {
					if got := w.client.Do(newCall(standin.Pay, fmt.Sprint("before", i))); got.Kind != standin.Served {
						t.Errorf("%s: %v", got.Kind, got.Err)
					}
				})
			}
			testkit.Eventually(t, "all calls are in flight", func() bool { _, open := w.heldAndOpen(); return open == 5 })
			w.stop()
			if got := make(chan standin.Answer, 1); true {
				go func() { got <- w.client.Do(newCall(standin.Pay, "after")) }()
				testkit.Eventually(t, "one more call is in flight", func() bool { return w.deliveries("after") == 1 })
				time.Sleep(shutdown.Plan(w.cfg.MaxDeadline(), false).Accept + 50*time.Millisecond) // all calls must outlast the accept phase
				close(release)
				if ans := <-got; ans.Kind != standin.Served {
					t.Errorf("a call that arrived during shutdown was %s: %v", ans.Kind, ans.Err)
				}
			}
			all.Wait()
			select {
			case err := <-w.done:
				if err != nil {
					t.Error(err)
				}
			case <-time.After(testkit.WaitTimeout):
				t.Error("the agent is still running")
			}
		})
	}
}

// A fleet may mix HTTP and Thrift servers: each call goes only to servers that speak its protocol.
func TestMixedFleet(t *testing.T) {
	w := newTestbed(t, protocolVariants[0], standin.Platform{}, nil, standin.Options{ID: "h", Protocol: "http"},
		standin.Options{ID: "b", Protocol: "thrift-binary"}, standin.Options{ID: "c", Protocol: "thrift-compact"},
		standin.Options{ID: "t", Protocol: "thrift"})
	for i, c := range []struct{ client, never, never2 string }{{"http", "", ""}, {"thrift-binary", "h", "c"},
		{"thrift-compact", "h", "b"}} {
		addr := w.thrift
		if c.client == "http" {
			addr = w.cfg.Listen
		}
		k, err := standin.NewKiosk(c.client, addr)
		if err != nil {
			t.Fatal(err)
		}
		defer k.Close()
		for j := range 20 {
			a := newCall(standin.Record, fmt.Sprint(i, "-", j))
			if got := k.Do(a); got.Kind != standin.Served {
				t.Errorf("%s: %s, %v", c.client, got.Kind, got.Err)
			}
			for s, id := range []string{"h", "b", "c", "t"} {
				n := w.servers[s].DedupGroup().Deliveries(a.ID)
				if n > 0 && (id == c.never || id == c.never2 || c.client == "http" && id != "h") {
					t.Errorf("a call in %s went to server %s", c.client, id)
				}
			}
		}
	}
	if s := w.core.Snapshot().Stats; s.Attempts != 60 { // an attempt at the wrong server would have been retried
		t.Errorf("%d attempts for 60 calls", s.Attempts)
	}
}
