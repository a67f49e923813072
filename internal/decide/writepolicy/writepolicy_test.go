package writepolicy

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ternbeam/choice"
	"ternbeam/internal/decide/learned"
)

// runChecks runs the checks of a Policy until some time, and returns when it wrote. Writes take no time.
func runChecks(p *Policy, until time.Duration, view func(now time.Duration) AgentState, write func(now time.Duration) (int64, error)) (writes []time.Duration) {
	for p.NextCheck() < until {
		now := p.NextCheck()
		if p.Check(now, view(now)) {
			bytes, err := write(now)
			p.WriteDone(now, bytes, err)
			writes = append(writes, now)
		}
	}
	return writes
}

func succeed(time.Duration) (int64, error) { return 1000, nil }

// updateRate returns a view with the given number of updates per second, for 10 servers, under a load.
func updateRate(a float64, load float64) func(time.Duration) AgentState {
	return func(now time.Duration) AgentState {
		return AgentState{Updates: uint64(a * now.Seconds()), Servers: 10, Load: load}
	}
}

func intervals(writes []time.Duration) (shortest, longest time.Duration) {
	for i := 1; i < len(writes); i++ {
		gap := writes[i] - writes[i-1]
		if shortest == 0 || gap < shortest {
			shortest = gap
		}
		longest = max(longest, gap)
	}
	return shortest, longest
}

func TestWriteIntervals(t *testing.T) {
	set := Defaults
	tolerance := set.CheckInterval
	for name, c := range map[string]struct {
		view              func(time.Duration) AgentState
		wrote             func(time.Duration) (int64, error)
		shortest, longest time.Duration // between writes; 0, 0 for none at all
	}{
		"much is new":      {updateRate(100, 0), succeed, set.MinInterval * 3 / 4, set.MinInterval*5/4 + tolerance},
		"little is new":    {updateRate(0.1, 0), succeed, set.MaxInterval * 3 / 4, set.MaxInterval*5/4 + tolerance},
		"nothing is new":   {updateRate(0, 0), succeed, 0, 0},
		"busy":             {updateRate(100, 0.9), succeed, set.MaxInterval * 3 / 2, set.MaxInterval*5/2 + tolerance},
		"the disk is full": {updateRate(100, 0), func(time.Duration) (int64, error) { return 0, errors.New("full") }, set.RetryDelay * 3 / 4, set.MaxRetryDelay * 5 / 4},
		"large writes":     {updateRate(100, 0), func(time.Duration) (int64, error) { return int64(set.BytesPerMinute), nil }, set.MinInterval, time.Minute + tolerance},
	} {
		t.Run(name, func(t *testing.T) {
			writes := runChecks(New(set, 0, 1), 10*time.Hour, c.view, c.wrote)
			shortest, longest := intervals(writes)
			if c.longest == 0 {
				if len(writes) > 0 {
					t.Errorf("%d writes", len(writes))
				}
				return
			}
			if len(writes) < 10 || shortest < c.shortest || longest > c.longest {
				t.Errorf("%d writes, %v to %v apart; want %v to %v", len(writes), shortest, longest, c.shortest, c.longest)
			}
		})
	}
}

// Agents that start together on one disk do not write at the same time.
func TestAgentsOnOneDiskSpreadWrites(t *testing.T) {
	at := map[time.Duration]int{}
	const agents = 100
	for seed := range uint64(agents) {
		for _, w := range runChecks(New(Defaults, 0, seed), 5*time.Minute, updateRate(100, 0), succeed) {
			at[w.Truncate(100*time.Millisecond)]++
		}
	}
	most, all := 0, 0
	for _, n := range at {
		most, all = max(most, n), all+n
	}
	// Each writes every 5 s: 2 in 100 ms on average.
	if most > 12 {
		t.Errorf("%d of %d agents write within the same 100 ms", most, agents)
	}
	t.Logf("%d writes, at most %d within 100 ms", all, most)
}

// What was not written because of a failure is written once the failure ends, within the longest retry delay.
func TestWriteAfterFailureEnds(t *testing.T) {
	p := New(Defaults, 0, 1)
	failing := true
	fails := 0
	writes := runChecks(p, time.Hour, func(now time.Duration) AgentState {
		failing = now < 30*time.Minute
		return AgentState{Updates: 5, Servers: 1}
	},
		func(time.Duration) (int64, error) {
			if failing {
				fails++
				return 0, errors.New("no")
			}
			return 1, nil
		})
	last := writes[len(writes)-1]
	if last < 30*time.Minute || last > 30*time.Minute+Defaults.MaxRetryDelay*5/4 || fails != len(writes)-1 || fails > 12 || p.Failures() != 0 {
		t.Errorf("%d failures, the last write at %v", fails, last)
	}
}

// At shutdown there is one more write, if anything has changed.
func TestWriteAtShutdown(t *testing.T) {
	p := New(Defaults, 0, 1)
	runChecks(p, time.Minute, updateRate(100, 0), succeed)
	v := AgentState{Updates: 1 << 20, Servers: 1}
	if !p.End(v) || p.End(v) || p.Check(time.Hour, v) {
		t.Error("not exactly one last write")
	}
	p = New(Defaults, 0, 1)
	runChecks(p, time.Minute, func(time.Duration) AgentState { return AgentState{Updates: 3, Servers: 1} }, succeed)
	if p.End(AgentState{Updates: 3, Servers: 1}) {
		t.Error("a last write without updates")
	}
}

// For any input no two writes are closer than 3/4 of the least interval, no more bytes are written than the bound plus
// one write, and each check is later than the one before.
func TestWriteRateIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Defaults, 0, rapid.Uint64().Draw(t, "seed"))
		var writes []time.Duration
		bytes := 0.0
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			if p.NextCheck() < now {
				t.Fatalf("a check at %v after one at %v", p.NextCheck(), now)
			}
			now = p.NextCheck() + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "late"))
			v := AgentState{Updates: rapid.Uint64().Draw(t, "news"), Servers: rapid.IntRange(0, 100).Draw(t, "servers"), Load: rapid.Float64Range(0, 1).Draw(t, "load")}
			if !p.Check(now, v) {
				continue
			}
			var err error
			size := rapid.Int64Range(0, 5<<20).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "fails") {
				err = errors.New("no")
			} else if n := len(writes); n > 0 && now-writes[n-1] < Defaults.MinInterval*3/4 {
				t.Fatalf("writes at %v and %v", writes[n-1], now)
			}
			p.WriteDone(now, size, err)
			if err == nil {
				writes = append(writes, now)
			}
			bytes += float64(size)
			if most := Defaults.BytesPerMinute*(now.Minutes()+1) + 5<<20; bytes > most {
				t.Fatalf("%v bytes in %v", bytes, now)
			}
		}
	})
}

// newState returns a state with n servers and the given rates.
func newState(at time.Duration, n int, rates func(i int) float64) learned.State {
	var servers []learned.Server
	var fleet []uint64
	for i := range n {
		servers = append(servers, learned.Server{ServerMemory: choice.ServerMemory{ID: fmt.Sprint(i), Rate: rates(i)}, Identity: uint64(i)})
		fleet = append(fleet, uint64(i))
	}
	return learned.New(learned.Clock{Boot: at, BootID: "a"}, "n1", choice.Memory{}, servers, fleet, nil)
}

// Only parts that changed enough, or are old, are written.
func TestSelectChanged(t *testing.T) {
	const n = 1000
	same := func(int) float64 { return 100 }
	base := newState(0, n, same)
	if shared, buckets := SelectChanged(Defaults, learned.State{}, base, nil); !shared || len(buckets) != 16 {
		t.Errorf("at first: %t, %d", shared, len(buckets))
	}
	if shared, buckets := SelectChanged(Defaults, base, newState(time.Second, n, same), nil); shared || len(buckets) != 0 {
		t.Errorf("nothing changed: %t, %v", shared, buckets)
	}
	bucket := learned.BucketOf("7", 16)
	one := func(x float64) func(int) float64 {
		return func(i int) float64 {
			if i == 7 {
				return x
			}
			return 100
		}
	}
	if shared, buckets := SelectChanged(Defaults, base, newState(time.Second, n, one(50)), nil); shared || !slices.Equal(buckets, []int{bucket}) {
		t.Errorf("one server halved: %t, %v", shared, buckets)
	}
	if shared, buckets := SelectChanged(Defaults, base, newState(time.Second, n, one(95)), nil); shared || len(buckets) != 0 {
		t.Errorf("one server changed a little: %t, %v", shared, buckets)
	}
	if shared, buckets := SelectChanged(Defaults, base, newState(time.Second, n-1, same), nil); !shared || !slices.Equal(buckets, []int{learned.BucketOf("999", 16)}) {
		t.Errorf("one server removed: %t, %v", shared, buckets)
	}
	if shared, buckets := SelectChanged(Defaults, base, newState(Defaults.StaleAfter, n, same), nil); !shared || len(buckets) != 16 {
		t.Errorf("old: %t, %d", shared, len(buckets))
	}
	if shared, buckets := SelectChanged(Defaults, base, newState(time.Second, 100, same), nil); !shared || len(buckets) != 2 {
		t.Errorf("another number of buckets: %t, %d", shared, len(buckets))
	}
}

// Steps of the wall clock are detected in both directions, and slewing is not.
func TestWallClockStepsAreDetected(t *testing.T) {
	var s ClockSteps
	observe := func(wall, boot time.Duration) time.Duration {
		return s.Observe(learned.Clock{Wall: wall, Boot: boot, BootID: "a"}).Unsure
	}
	for i := range 10 {
		slewed := time.Duration(i) * 10 * time.Millisecond
		if got := observe(time.Hour+time.Duration(i)*time.Second+slewed, time.Duration(i)*time.Second); got != 0 {
			t.Fatalf("slewed by %v: uncertainty %v", slewed, got)
		}
	}
	ahead := observe(2*time.Hour, 10*time.Second)
	if ahead < time.Hour-11*time.Second || ahead > time.Hour {
		t.Errorf("an hour ahead: uncertainty %v", ahead)
	}
	if back := observe(time.Hour, 11*time.Second); back < ahead+time.Hour || back > ahead+time.Hour+time.Second {
		t.Errorf("and an hour back: uncertainty %v", back)
	}
}
