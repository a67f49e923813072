package explore

import (
	"fmt"
	"hash/maphash"
	"io"
	"runtime"
	"slices"
	"sync"
	"time"
)

// Report is what an exploration found.
type Report struct {
	States      int
	Transitions int
	Depth       int
	Ends        int // states in which nothing more can happen
	Took        time.Duration
	Complete    bool       // not cut by the bound on states
	Steps       [kinds]int // how often each kind of step was taken
	Fault       string     // the first property found not to hold
	Story       []Step     // the shortest way there
}

// node is a state that was reached: by a step from another one.
type node struct {
	parent int32
	step   Step
}

// Explore goes through every ordering, breadth first, so that the first story found is a shortest one. A state is a
// story: it is played anew from the beginning, on the code that runs, for each step that may follow. States that were
// reached before, by whatever story, are not gone through again. It stops at a fault, or at so many states.
func Explore(cfg Config, most int) Report {
	begin := time.Now()
	r := Report{Complete: true}
	nodes := []node{{parent: -1}}
	seeds := [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}
	type print [2]uint64
	hash := func(w *world) (p print) {
		key := w.key(make([]byte, 0, 2048))
		for i := range p {
			p[i] = maphash.Bytes(seeds[i], key)
		}
		return p
	}
	root := newWorld(cfg)
	seen := map[print]bool{hash(root): true}
	story := func(n int32) (steps []Step) {
		for ; nodes[n].parent >= 0; n = nodes[n].parent {
			steps = append(steps, nodes[n].step)
		}
		slices.Reverse(steps)
		return steps
	}
	type child struct {
		parent int32
		step   Step
		print  print
		fault  string
		end    bool
	}
	for level := []int32{0}; len(level) > 0; r.Depth++ {
		// One worker takes a part of the level; what they found is put together in the level's order.
		found := make([][]child, len(level))
		var next sync.Mutex
		at := 0
		var workers sync.WaitGroup
		for range runtime.GOMAXPROCS(0) {
			workers.Go(func() {
				for {
					next.Lock()
					from, to := at, min(at+64, len(level))
					at = to
					next.Unlock()
					if from == to {
						return
					}
					for i := from; i < to; i++ {
						prefix := story(level[i])
						w := play(cfg, prefix)
						for j, step := range w.enabled() {
							if j > 0 {
								w = play(cfg, prefix)
							}
							w.take(step)
							end := w.fault == "" && len(w.enabled()) == 0
							if end {
								w.checkEnd()
							}
							found[i] = append(found[i], child{level[i], step, hash(w), w.fault, end})
						}
					}
				}
			})
		}
		workers.Wait()
		var below []int32
		for _, all := range found {
			for _, c := range all {
				r.Transitions++
				r.Steps[c.step.Kind]++
				if c.fault != "" {
					r.Fault, r.Story = c.fault, append(story(c.parent), c.step)
					r.States, r.Took = len(nodes), time.Since(begin)
					return r
				}
				if seen[c.print] {
					continue
				}
				seen[c.print] = true
				nodes = append(nodes, node{c.parent, c.step})
				if c.end {
					r.Ends++
				} else {
					below = append(below, int32(len(nodes)-1))
				}
			}
		}
		if len(nodes) >= most && len(below) > 0 {
			r.Complete = false
			break
		}
		level = below
	}
	r.States, r.Took = len(nodes), time.Since(begin)
	return r
}

// play plays a story from the beginning.
func play(cfg Config, story []Step) *world {
	w := newWorld(cfg)
	for _, s := range story {
		w.take(s)
	}
	return w
}

// Replay plays a story step by step, and says which property does not hold at its end, if one does not. A step that is
// not possible is an error.
func Replay(cfg Config, story []Step, out io.Writer) (fault string, err error) {
	w := newWorld(cfg)
	for i, s := range story {
		if !slices.Contains(w.enabled(), s) {
			return "", fmt.Errorf("step %d: %v: it is not possible there", i+1, s)
		}
		w.take(s)
		fmt.Fprintf(out, "%3d. %5.0f ms  %v\n", i+1, float64(w.now-start)/1e6, s)
		if w.fault != "" {
			return w.fault, nil
		}
	}
	if len(w.enabled()) == 0 {
		w.checkEnd()
	}
	return w.fault, nil
}

// Coverage returns how many kinds of steps were taken, of how many.
func (r *Report) Coverage() (taken, all int) { return int(kinds) - len(r.Untaken()), int(kinds) }

// Untaken lists the kinds of steps that were never taken.
func (r *Report) Untaken() (names []string) {
	for k, n := range r.Steps {
		if n == 0 {
			names = append(names, kindNames[k])
		}
	}
	return names
}
