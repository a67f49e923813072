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

// The agent does on sockets what the stories of small worlds say, on every protocol.
func TestStoriesOnSockets(t *testing.T) {
	// Stories go on while an agent's deadline runs: so many at a time leave each its time on a slow machine, too.
	slots := make(chan struct{}, 6)
	const some = 12 // of each world's stories that can be forced, spread evenly
	worlds := map[string]explore.Config{
		"safe, a change":  {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 2, Lists: 1, Cells: 2},
		"unsafe, a leave": {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Leaves: 1, Cells: 2},
		"keyed, a leave":  {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1},
		"keyed, two pods": {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Cells: 2},
		"two":             {Servers: 2, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 2},
	}
	speeches := []Options{{Protocol: "http"}, {Protocol: "thrift-binary"}, {Protocol: "thrift-compact", Multiplexed: true}}
	for name, cfg := range worlds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var can [][]explore.Step
			explore.Stories(cfg, Kinds(), func(story []explore.Step) bool {
				err := Possible(cfg, story)
				if err == nil {
					can = append(can, story)
				} else if !errors.Is(err, ErrNotForced) {
					t.Fatal(err)
				}
				return true
			})
			var stories [][]explore.Step
			for i := 0; i < len(can); i += (len(can) + some - 1) / some {
				stories = append(stories, can[i])
			}
			for _, sp := range speeches {
				if name == "two" && sp.Multiplexed {
					continue // what ends one call's connection ends the other's
				}
				sp.Deadline, sp.Patience, sp.Seeds = 2*time.Second, 10*time.Second, 16
				t.Run(sp.Protocol, func(t *testing.T) {
					t.Parallel()
					var driven, otherwise atomic.Int32
					var all sync.WaitGroup
					for _, story := range stories {
						slots <- struct{}{}
						all.Go(func() {
							defer func() { <-slots }()
							switch err := Story(t.Context(), cfg, story, sp); {
							case errors.Is(err, ErrNotForced):
								otherwise.Add(1)
							case err != nil:
								t.Errorf("%v: %v", story, err)
							default:
								driven.Add(1)
							}
						})
					}
					all.Wait()
					t.Logf("%d of %d stories driven, the module drew otherwise in %d", driven.Load(), len(can), otherwise.Load())
					if int(driven.Load()) < len(stories)/4 || driven.Load() == 0 {
						t.Errorf("only %d of %d stories driven", driven.Load(), len(stories))
					}
				})
			}
		})
	}
}
