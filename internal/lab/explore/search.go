package explore

import (
	"fmt"
	"hash/maphash"
	"io"
	"iter"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
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

// print is a fingerprint of a state.
type print [2]uint64

// node is a state that was reached: by a step from another one.
type node struct {
	parent int32
	step   Step
}

// child is a state that a step leads to.
type child struct {
	parent     int32
	step       Step
	print      print
	fault      string
	end, never bool
}

// part is how many states are gone through between two times that what was found is put together.
const part = 1 << 14

// Explore goes through every ordering, breadth first, so that the first story found is a shortest one. A state is kept
// as its story, which is played anew, on the code that runs; what may follow is tried on copies of it. States that were
// reached before, by whatever story, are not gone through again. It stops at a fault, or at so many states.
func Explore(cfg Config, most int) Report { return newExplorer(&cfg).run(most) }

func newExplorer(cfg *Config) *explorer {
	x := &explorer{cfg: cfg, begin: time.Now(), nodes: []node{{parent: -1}}, seen: map[print]struct{}{},
		seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, root: newWorld(cfg)}
	x.seen[x.print(x.root)] = struct{}{}
	x.report.Complete = true
	return x
}

func (x *explorer) run(most int) Report {
	level := []int32{0}
	for ; len(level) > 0; x.report.Depth++ {
		var below []int32
		for some := range slices.Chunk(level, part) {
			for _, found := range x.follow(some) {
				for _, c := range found {
					if x.enter(c) {
						below = append(below, int32(len(x.nodes)-1))
					}
				}
			}
			if x.report.Fault != "" {
				return x.done()
			}
			if len(x.nodes) >= most {
				x.report.Complete = false
				return x.done()
			}
		}
		level = below
	}
	return x.done()
}

type explorer struct {
	cfg    *Config
	root   *world
	begin  time.Time
	nodes  []node
	seen   map[print]struct{}
	seeds  [2]maphash.Seed
	report Report
	look   func(*world) // at each state that is reached, where not nil; workers call it at the same time
}

func (x *explorer) done() Report {
	x.report.States, x.report.Took = len(x.nodes), time.Since(x.begin)
	return x.report
}

func (x *explorer) print(w *world) (p print) {
	var room [1 << 10]byte
	key := w.key(room[:0], x.cfg.plain())
	for i := range p {
		p[i] = maphash.Bytes(x.seeds[i], key)
	}
	return p
}

// story is the way to a state, without the steps that had to come.
func (x *explorer) story(n int32) (steps []Step) {
	for ; x.nodes[n].parent >= 0; n = x.nodes[n].parent {
		steps = append(steps, x.nodes[n].step)
	}
	slices.Reverse(steps)
	return steps
}

// whole puts the steps into a story that had to come.
func (x *explorer) whole(story []Step) (all []Step) {
	w := x.root.copy()
	for _, s := range story {
		all = append(all, s)
		w.take(s)
		w.goOn(func(s Step) { all = append(all, s) })
	}
	return all
}

// enter takes up what was found, and reports whether it is new and goes on.
func (x *explorer) enter(c child) bool {
	r := &x.report
	r.Transitions++
	if r.Fault != "" {
		return false
	}
	if c.fault != "" {
		r.Fault, r.Story = c.fault, x.whole(append(x.story(c.parent), c.step))
		return false
	}
	if _, known := x.seen[c.print]; known {
		return false
	}
	x.seen[c.print] = struct{}{}
	x.nodes = append(x.nodes, node{c.parent, c.step})
	if c.end {
		r.Ends++
	}
	return !c.end && !c.never
}

// follow finds what the steps from some states lead to. Several workers share them; what they found is in the order of
// the states.
func (x *explorer) follow(states []int32) [][]child {
	found := make([][]child, len(states))
	var at atomic.Int64
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			var taken [kinds]int
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				for k, n := range taken {
					x.report.Steps[k] += n
				}
			}()
			for i := int(at.Add(1)) - 1; i < len(states); i = int(at.Add(1)) - 1 {
				w := x.root.copy()
				for _, s := range x.story(states[i]) {
					w.take(s)
					w.goOn(nil)
				}
				for step, next := range w.successors() {
					taken[step.Kind]++
					next.goOn(func(s Step) { taken[s.Kind]++ })
					if x.look != nil {
						x.look(next)
					}
					c := child{parent: states[i], step: step, print: x.print(next), fault: next.fault}
					if next.fault == "" && len(next.enabled()) == 0 {
						c.end, c.never = next.ended()
						c.fault = next.fault
					}
					found[i] = append(found[i], c)
				}
			}
		})
	}
	workers.Wait()
	return found
}

// goOn takes the steps that must come next, where there is only one.
func (w *world) goOn(told func(Step)) {
	for w.fault == "" {
		all := w.enabled()
		if len(all) != 1 || all[0].Kind.draws() {
			return
		}
		w.take(all[0])
		if told != nil {
			told(all[0])
		}
	}
}

// successors are the worlds that the steps from this one lead to; the last may be this one itself. Where the module draws, chance gives the least or the
// most.
func (w *world) successors() iter.Seq2[Step, *world] {
	return func(yield func(Step, *world) bool) {
		steps := w.enabled()
		for i, s := range steps {
			for {
				next := w
				if i < len(steps)-1 || s.Kind.draws() && !s.Most { // or this one is needed no more
					next = w.copy()
				}
				next.take(s)
				if !yield(s, next) {
					return
				}
				if s.Most || !s.Kind.draws() || !next.chance.asked {
					break
				}
				s.Most = true
			}
		}
	}
}

// ended looks at a state from which no step leads. If somebody rests for what does not come, no schedule is like that:
// the one in which it goes on is another state.
func (w *world) ended() (end, never bool) {
	if slices.ContainsFunc(w.tries, func(t *try) bool { return t.rests }) {
		return false, true
	}
	w.checkEnd()
	return true, false
}

// Replay plays a story step by step, and says which property does not hold at its end, if one does not. A step that is
// not possible is an error.
func Replay(cfg Config, story []Step, out io.Writer) (fault string, err error) {
	w := newWorld(&cfg)
	for i, s := range story {
		if !slices.Contains(w.enabled(), Step{Kind: s.Kind, N: s.N}) {
			return "", fmt.Errorf("step %d: %v: it is not possible there", i+1, s)
		}
		w.take(s)
		fmt.Fprintf(out, "%3d. %5.0f ms  %v\n", i+1, w.since(), s)
		if w.fault != "" {
			return w.fault, nil
		}
	}
	if len(w.enabled()) == 0 {
		w.ended()
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
