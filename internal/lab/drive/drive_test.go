package drive

import (
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/lab/explore"
)

// On sockets, and with every protocol, the agent behaves as in the traces of small worlds.
func TestTracesOnSockets(t *testing.T) {
	// The agent's deadline runs while a trace is driven. This limit on concurrent traces leaves each enough time, even on a
	// slow machine.
	slots := make(chan struct{}, 6)
	const maxTraces = 12 // traces driven of those of each world that can be forced, evenly spread
	worlds := map[string]explore.Config{
		"safe, a change":  {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 2, Lists: 1, Cells: 2},
		"unsafe, a leave": {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Leaves: 1, Cells: 2},
		"keyed, a leave":  {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1},
		"keyed, two pods": {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Cells: 2},
		"two":             {Servers: 2, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 2},
	}
	protocols := []Options{{Protocol: "http"}, {Protocol: "thrift-binary"}, {Protocol: "thrift-compact", Multiplexed: true}}
	for name, cfg := range worlds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var forceable [][]explore.Step
			explore.ForEachTrace(cfg, StepKinds(), func(trace []explore.Step) bool {
				err := CheckForceable(cfg, trace)
				if err == nil {
					forceable = append(forceable, trace)
				} else if !errors.Is(err, ErrNotForceable) {
					t.Fatal(err)
				}
				return true
			})
			var traces [][]explore.Step
			for i := 0; i < len(forceable); i += (len(forceable) + maxTraces - 1) / maxTraces {
				traces = append(traces, forceable[i])
			}
			for _, o := range protocols {
				if name == "two" && o.Multiplexed {
					continue // what breaks the connection for one call also breaks it for the other
				}
				o.Deadline, o.StepTimeout, o.Seeds = 2*time.Second, 10*time.Second, 16
				t.Run(o.Protocol, func(t *testing.T) {
					t.Parallel()
					var driven, otherDraws atomic.Int32
					var all sync.WaitGroup
					for _, trace := range traces {
						slots <- struct{}{}
						all.Go(func() {
							defer func() { <-slots }()
							switch err := Run(t.Context(), cfg, trace, o); {
							case errors.Is(err, ErrNotForceable):
								otherDraws.Add(1)
							case err != nil:
								t.Errorf("%v: %v", trace, err)
							default:
								driven.Add(1)
							}
						})
					}
					all.Wait()
					t.Logf("%d of %d traces driven; the balancer drew other random numbers in %d", driven.Load(), len(forceable), otherDraws.Load())
					if int(driven.Load()) < len(traces)/4 || driven.Load() == 0 {
						t.Errorf("only %d of %d traces driven", driven.Load(), len(traces))
					}
				})
			}
		})
	}
}
