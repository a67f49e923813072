package keeping

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

// run lets a Keeper look till some time, with what it sees, and returns when it wrote. Writes take no time.
func run(k *Keeper, till time.Duration, view func(now time.Duration) View, wrote func(now time.Duration) (int64, error)) (writes []time.Duration) {
	for k.Next() < till {
		now := k.Next()
		if k.Looked(now, view(now)) {
			bytes, err := wrote(now)
			k.Wrote(now, bytes, err)
			writes = append(writes, now)
		}
	}
	return writes
}

func well(time.Duration) (int64, error) { return 1000, nil }

// rate is a view in which so much news comes a second, to 10 servers, under a load.
func rate(a float64, load float64) func(time.Duration) View {
	return func(now time.Duration) View { return View{News: uint64(a * now.Seconds()), Servers: 10, Load: load} }
}

func gaps(writes []time.Duration) (least, most time.Duration) {
	for i := 1; i < len(writes); i++ {
		gap := writes[i] - writes[i-1]
		if least == 0 || gap < least {
			least = gap
		}
		most = max(most, gap)
	}
	return least, most
}

func TestWhenItWrites(t *testing.T) {
	set := Defaults
	slack := set.Look
	for name, c := range map[string]struct {
		view        func(time.Duration) View
		wrote       func(time.Duration) (int64, error)
		least, most time.Duration // between writes; 0, 0 for none at all
	}{
		"much is new":      {rate(100, 0), well, set.Least * 3 / 4, set.Least*5/4 + slack},
		"little is new":    {rate(0.1, 0), well, set.Most * 3 / 4, set.Most*5/4 + slack},
		"nothing is new":   {rate(0, 0), well, 0, 0},
		"busy":             {rate(100, 0.9), well, set.Most * 3 / 2, set.Most*5/2 + slack},
		"the disk is full": {rate(100, 0), func(time.Duration) (int64, error) { return 0, errors.New("full") }, set.Retry * 3 / 4, set.MostRetry * 5 / 4},
		"large writes":     {rate(100, 0), func(time.Duration) (int64, error) { return int64(set.MostBytes), nil }, set.Least, time.Minute + slack},
	} {
		t.Run(name, func(t *testing.T) {
			writes := run(New(set, 0, 1), 10*time.Hour, c.view, c.wrote)
			least, most := gaps(writes)
			if c.most == 0 {
				if len(writes) > 0 {
					t.Errorf("%d writes", len(writes))
				}
				return
			}
			if len(writes) < 10 || least < c.least || most > c.most {
				t.Errorf("%d writes, %v to %v apart; want %v to %v", len(writes), least, most, c.least, c.most)
			}
		})
	}
}

// Agents that start together on one disk do not write together.
func TestNeighbours(t *testing.T) {
	at := map[time.Duration]int{}
	const agents = 100
	for seed := range uint64(agents) {
		for _, w := range run(New(Defaults, 0, seed), 5*time.Minute, rate(100, 0), well) {
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
	t.Logf("%d writes, %d within 100 ms at most", all, most)
}

// What was not written because of a failure is written once that goes, and no later than it says.
func TestRecovers(t *testing.T) {
	k := New(Defaults, 0, 1)
	broken := true
	fails := 0
	writes := run(k, time.Hour, func(now time.Duration) View { broken = now < 30*time.Minute; return View{News: 5, Servers: 1} },
		func(time.Duration) (int64, error) {
			if broken {
				fails++
				return 0, errors.New("no")
			}
			return 1, nil
		})
	last := writes[len(writes)-1]
	if last < 30*time.Minute || last > 30*time.Minute+Defaults.MostRetry*5/4 || fails != len(writes)-1 || fails > 12 || k.Failed() != 0 {
		t.Errorf("%d failures, the last write at %v", fails, last)
	}
}

// At the end there is one more write, if anything is new.
func TestEnd(t *testing.T) {
	k := New(Defaults, 0, 1)
	run(k, time.Minute, rate(100, 0), well)
	v := View{News: 1 << 20, Servers: 1}
	if !k.End(v) || k.End(v) || k.Looked(time.Hour, v) {
		t.Error("not one last write")
	}
	k = New(Defaults, 0, 1)
	run(k, time.Minute, func(time.Duration) View { return View{News: 3, Servers: 1} }, well)
	if k.End(View{News: 3, Servers: 1}) {
		t.Error("a last write of nothing new")
	}
}

// Whatever comes: never two writes closer than three quarters of the least time, never more bytes than the bound and one
// write, and each look is later than the one before.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		k := New(Defaults, 0, rapid.Uint64().Draw(t, "seed"))
		var writes []time.Duration
		bytes := 0.0
		now := time.Duration(0)
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			if k.Next() < now {
				t.Fatalf("a look at %v after one at %v", k.Next(), now)
			}
			now = k.Next() + time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "late"))
			v := View{News: rapid.Uint64().Draw(t, "news"), Servers: rapid.IntRange(0, 100).Draw(t, "servers"), Load: rapid.Float64Range(0, 1).Draw(t, "load")}
			if !k.Looked(now, v) {
				continue
			}
			var err error
			size := rapid.Int64Range(0, 5<<20).Draw(t, "bytes")
			if rapid.Bool().Draw(t, "fails") {
				err = errors.New("no")
			} else if n := len(writes); n > 0 && now-writes[n-1] < Defaults.Least*3/4 {
				t.Fatalf("writes at %v and %v", writes[n-1], now)
			}
			k.Wrote(now, size, err)
			if err == nil {
				writes = append(writes, now)
			}
			bytes += float64(size)
			if most := Defaults.MostBytes*(now.Minutes()+1) + 5<<20; bytes > most {
				t.Fatalf("%v bytes in %v", bytes, now)
			}
		}
	})
}

// state is one of n servers of a rate each.
func state(at time.Duration, n int, rates func(i int) float64) learned.State {
	var servers []learned.Server
	var fleet []uint64
	for i := range n {
		servers = append(servers, learned.Server{ServerMemory: choice.ServerMemory{ID: fmt.Sprint(i), Rate: rates(i)}, Identity: uint64(i)})
		fleet = append(fleet, uint64(i))
	}
	return learned.New(learned.Clock{Boot: at, BootID: "a"}, "n1", choice.Memory{}, servers, fleet, nil)
}

// Only parts that changed enough, or are old, are written.
func TestPick(t *testing.T) {
	const n = 1000
	same := func(int) float64 { return 100 }
	base := state(0, n, same)
	if shared, buckets := Pick(Defaults, learned.State{}, base, nil); !shared || len(buckets) != 16 {
		t.Errorf("at first: %t, %d", shared, len(buckets))
	}
	if shared, buckets := Pick(Defaults, base, state(time.Second, n, same), nil); shared || len(buckets) != 0 {
		t.Errorf("nothing changed: %t, %v", shared, buckets)
	}
	place := learned.Place("7", 16)
	one := func(x float64) func(int) float64 {
		return func(i int) float64 {
			if i == 7 {
				return x
			}
			return 100
		}
	}
	if shared, buckets := Pick(Defaults, base, state(time.Second, n, one(50)), nil); shared || !slices.Equal(buckets, []int{place}) {
		t.Errorf("one server halved: %t, %v", shared, buckets)
	}
	if shared, buckets := Pick(Defaults, base, state(time.Second, n, one(95)), nil); shared || len(buckets) != 0 {
		t.Errorf("one server changed a little: %t, %v", shared, buckets)
	}
	if shared, buckets := Pick(Defaults, base, state(time.Second, n-1, same), nil); !shared || !slices.Equal(buckets, []int{learned.Place("999", 16)}) {
		t.Errorf("one server left: %t, %v", shared, buckets)
	}
	if shared, buckets := Pick(Defaults, base, state(Defaults.Stale, n, same), nil); !shared || len(buckets) != 16 {
		t.Errorf("old: %t, %d", shared, len(buckets))
	}
	if shared, buckets := Pick(Defaults, base, state(time.Second, 100, same), nil); !shared || len(buckets) != 2 {
		t.Errorf("spread otherwise: %t, %d", shared, len(buckets))
	}
}

// Steps of the wall clock are seen, either way, and slewing is not.
func TestSteps(t *testing.T) {
	var s Steps
	at := func(wall, boot time.Duration) time.Duration {
		return s.Saw(learned.Clock{Wall: wall, Boot: boot, BootID: "a"}).Unsure
	}
	for i := range 10 {
		slewed := time.Duration(i) * 10 * time.Millisecond
		if got := at(time.Hour+time.Duration(i)*time.Second+slewed, time.Duration(i)*time.Second); got != 0 {
			t.Fatalf("slewed by %v: unsure %v", slewed, got)
		}
	}
	ahead := at(2*time.Hour, 10*time.Second)
	if ahead < time.Hour-11*time.Second || ahead > time.Hour {
		t.Errorf("an hour ahead: unsure %v", ahead)
	}
	if back := at(time.Hour, 11*time.Second); back < ahead+time.Hour || back > ahead+time.Hour+time.Second {
		t.Errorf("and an hour back: unsure %v", back)
	}
}
