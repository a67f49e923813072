package statestore

import (
	"context"
	"fmt"
	"log/slog"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/writepolicy"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/store"
)

// BenchmarkWrite measures how long a write takes the goroutine that writes, and its size in bytes, if every tenth server has changed by more
// than the minimum. The folder is on a real disk, and syncs are real.
func BenchmarkWrite(b *testing.B) {
	for _, n := range []int{12, 1000, 10000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			st, _, err := store.Open(store.Dir(b.TempDir()), store.Settings{})
			if err != nil {
				b.Fatal(err)
			}
			servers, fleet := make([]learned.Server, n), make([]uint64, n)
			for i := range servers {
				servers[i] = learned.Server{ServerMemory: choice.ServerMemory{ID: fmt.Sprintf("forms-%05d", i), Rate: 100}, Addr: "127.0.0.1:8000", Identity: uint64(i)}
				fleet[i] = uint64(i)
			}
			var last learned.State
			bytes, round := int64(0), 0
			b.ReportAllocs()
			for b.Loop() {
				for i := round % 10; i < n; i += 10 {
					servers[i].Rate = 300 - servers[i].Rate
				}
				round++
				state := learned.New(learned.Clock{Wall: time.Hour, Boot: time.Duration(round) * time.Second, BootID: "b"}, "n1", choice.Memory{}, servers, fleet, nil)
				shared, buckets := writepolicy.SelectChanged(writepolicy.Defaults, last, state, nil)
				batch, size, err := encodeBatch(state, shared, buckets, len(last.Buckets))
				if err != nil {
					b.Fatal(err)
				}
				if err := st.Put(batch...); err != nil {
					b.Fatal(err)
				}
				last, bytes = state, bytes+size
			}
			b.ReportMetric(float64(bytes)/float64(round), "bytes/write")
		})
	}
}

// loop answers a Runner from a goroutine of its own, as the core does; all servers change between two exports.
type loop struct {
	events  chan func()
	updates uint64
	servers []learned.Server
	fleet   []uint64
}

func (l *loop) View(context.Context) (writepolicy.AgentState, error) {
	answer := make(chan writepolicy.AgentState, 1)
	l.events <- func() {
		l.updates += 1 << 20
		answer <- writepolicy.AgentState{Updates: l.updates, Servers: len(l.servers)}
	}
	return <-answer, nil
}

func (l *loop) Export(_ context.Context, into *calltrack.Learned) (writepolicy.AgentState, error) {
	answer := make(chan writepolicy.AgentState, 1)
	l.events <- func() {
		for i := range l.servers {
			l.servers[i].Rate = 300 - l.servers[i].Rate
		}
		into.Servers, into.Fleet = append(into.Servers[:0], l.servers...), append(into.Fleet[:0], l.fleet...)
		answer <- writepolicy.AgentState{Updates: l.updates}
	}
	return <-answer, nil
}

// BenchmarkPause measures how long an event waits for the event loop on one CPU, at one event per millisecond, without a Runner and with one
// that writes everything 10 times a second.
func BenchmarkPause(b *testing.B) {
	for _, n := range []int{12, 1000, 10000} {
		for _, writing := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/keeps=%t", n, writing), func(b *testing.B) {
				defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
				l := &loop{events: make(chan func(), 1024)}
				for i := range n {
					l.servers = append(l.servers, learned.Server{ServerMemory: choice.ServerMemory{ID: fmt.Sprintf("forms-%05d", i), Rate: 100}, Identity: uint64(i)})
					l.fleet = append(l.fleet, uint64(i))
				}
				var looping sync.WaitGroup
				looping.Go(func() {
					for event := range l.events {
						event()
					}
				})
				if writing {
					set := stateconf.Default(b.TempDir())
					set.WritePolicy.CheckInterval, set.WritePolicy.MinInterval, set.WritePolicy.MaxInterval, set.WritePolicy.BytesPerMinute = 100*time.Millisecond, 50*time.Millisecond, 50*time.Millisecond, 1<<40
					set.FinalWriteTimeout = time.Minute
					runner := New(Settings{Config: set, Name: "n1", Log: slog.New(slog.DiscardHandler)})
					go runner.Run(l)
					runner.Restored()
					defer func() { runner.Close(); close(l.events); looping.Wait() }()
				} else {
					defer func() { close(l.events); looping.Wait() }()
				}
				var waits []time.Duration
				dueAt := time.Now()
				for b.Loop() {
					dueAt = dueAt.Add(time.Millisecond) // counted from when it should arrive, so that a delay in posting it counts too
					time.Sleep(time.Until(dueAt))
					done := make(chan time.Duration, 1)
					l.events <- func() { done <- time.Since(dueAt) }
					waits = append(waits, <-done)
				}
				slices.Sort(waits)
				b.ReportMetric(float64(waits[len(waits)*999/1000].Microseconds()), "p99.9-us")
				b.ReportMetric(float64(waits[len(waits)-1].Microseconds()), "longest-us")
			})
		}
	}
}
