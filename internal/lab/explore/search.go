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

// Report is the result of an exploration.
type Report struct {
	States      int // distinct states reached
	Transitions int // steps tried
	Depth       int // levels of the breadth-first search
	EndStates   int // states in which nothing more can happen
	Elapsed     time.Duration
	Complete    bool           // not ended by the limit on states
	Steps       [kindCount]int // how often each kind of step was taken
	Fault       string         // the first violated property, or empty
	Trace       []Step         // a shortest trace to it
}

// fingerprint identifies a state.
type fingerprint [2]uint64

// node is a reached state: its parent and the step from there.
type node struct {
	parent int32
	step   Step
}

// child is a state that a step leads to, new or known.
type child struct {
	parent      int32
	step        Step
	fingerprint fingerprint
	fault       string
	end, stuck  bool // as returned by atEnd
}

// chunkSize is the number of states that are expanded before their results are merged.
const chunkSize = 1 << 14

// Explore tries every ordering of events, breadth first, so that the first trace found is a shortest one. A state is
// stored as its trace, which is replayed on the production code; its successors are tried on copies. States that were
// reached before, by any trace, are not expanded again. It stops at a violated property, or at maxStates states.
func Explore(cfg Config, maxStates int) Report { return newExplorer(&cfg).run(maxStates) }

func newExplorer(cfg *Config) *explorer {
	x := &explorer{cfg: cfg, started: time.Now(), nodes: []node{{parent: -1}}, seen: map[fingerprint]struct{}{},
		seeds: [2]maphash.Seed{maphash.MakeSeed(), maphash.MakeSeed()}, root: newWorld(cfg)}
	x.seen[x.fingerprint(x.root)] = struct{}{}
	x.report.Complete = true
	return x
}

func (x *explorer) run(maxStates int) Report {
	level := []int32{0}
	for ; len(level) > 0; x.report.Depth++ {
		var next []int32
		for chunk := range slices.Chunk(level, chunkSize) {
			for _, found := range x.expand(chunk) {
				for _, c := range found {
					if x.record(c) {
						next = append(next, int32(len(x.nodes)-1))
					}
				}
			}
			if x.report.Fault != "" {
				return x.done()
			}
			if len(x.nodes) >= maxStates {
				x.report.Complete = false
				return x.done()
			}
		}
		level = next
	}
	return x.done()
}

// explorer is a running exploration.
type explorer struct {
	cfg     *Config
	root    *world
	started time.Time
	nodes   []node
	seen    map[fingerprint]struct{}
	seeds   [2]maphash.Seed
	report  Report
	onState func(*world) // called at each reached state if not nil, by several workers concurrently
}

func (x *explorer) done() Report {
	x.report.States, x.report.Elapsed = len(x.nodes), time.Since(x.started)
	return x.report
}

func (x *explorer) fingerprint(w *world) (p fingerprint) {
	var buf [1 << 10]byte
	key := w.key(buf[:0], x.cfg.allOrders())
	for i := range p {
		p[i] = maphash.Bytes(x.seeds[i], key)
	}
	return p
}

// traceTo returns the trace to a state, without forced steps.
func (x *explorer) traceTo(n int32) (steps []Step) {
	for ; x.nodes[n].parent >= 0; n = x.nodes[n].parent {
		steps = append(steps, x.nodes[n].step)
	}
	slices.Reverse(steps)
	return steps
}

// withForcedSteps adds the forced steps to a trace.
func (x *explorer) withForcedSteps(trace []Step) (all []Step) {
	w := x.root.copy()
	for _, s := range trace {
		all = append(all, s)
		w.apply(s)
		w.applyForced(func(s Step) { all = append(all, s) })
	}
	return all
}

// record adds a found state to the report, and reports whether it is new and has to be expanded.
func (x *explorer) record(c child) bool {
	r := &x.report
	r.Transitions++
	if r.Fault != "" {
		return false
	}
	if c.fault != "" {
		r.Fault, r.Trace = c.fault, x.withForcedSteps(append(x.traceTo(c.parent), c.step))
		return false
	}
	if _, known := x.seen[c.fingerprint]; known {
		return false
	}
	x.seen[c.fingerprint] = struct{}{}
	x.nodes = append(x.nodes, node{c.parent, c.step})
	if c.end {
		r.EndStates++
	}
	return !c.end && !c.stuck
}

// expand returns the successors of each of the given states, in their order. Several workers share the states.
func (x *explorer) expand(states []int32) [][]child {
	found := make([][]child, len(states))
	var next atomic.Int64
	var workers sync.WaitGroup
	var mu sync.Mutex
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			var taken [kindCount]int
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				for k, n := range taken {
					x.report.Steps[k] += n
				}
			}()
			for i := int(next.Add(1)) - 1; i < len(states); i = int(next.Add(1)) - 1 {
				w := x.root.copy()
				for _, s := range x.traceTo(states[i]) {
					w.apply(s)
					w.applyForced(nil)
				}
				for step, succ := range w.successors() {
					taken[step.Kind]++
					succ.applyForced(func(s Step) { taken[s.Kind]++ })
					if x.onState != nil {
						x.onState(succ)
					}
					c := child{parent: states[i], step: step, fingerprint: x.fingerprint(succ), fault: succ.fault}
					if succ.fault == "" && len(succ.enabled()) == 0 {
						c.end, c.stuck = succ.atEnd()
						c.fault = succ.fault
					}
					found[i] = append(found[i], c)
				}
			}
		})
	}
	workers.Wait()
	return found
}

// applyForced applies forced steps, as long as only one step is possible and the balancer cannot draw random numbers in it.
// It calls onStep for each, if not nil.
func (w *world) applyForced(onStep func(Step)) {
	for w.fault == "" {
		all := w.enabled()
		if len(all) != 1 || all[0].Kind.mayDraw() {
			return
		}
		w.apply(all[0])
		if onStep != nil {
			onStep(all[0])
		}
	}
}

// successors iterates over the possible steps and the worlds that they lead to; the last world may be w itself. If the
// balancer draws random numbers in a step, the step is tried with the least and with the greatest values.
func (w *world) successors() iter.Seq2[Step, *world] {
	return func(yield func(Step, *world) bool) {
		steps := w.enabled()
		for i, s := range steps {
			for {
				next := w
				if i < len(steps)-1 || s.Kind.mayDraw() && !s.Most { // else w itself is no longer needed
					next = w.copy()
				}
				next.apply(s)
				if !yield(s, next) {
					return
				}
				if s.Most || !s.Kind.mayDraw() || !next.random.drawn {
					break
				}
				s.Most = true
			}
		}
	}
}

// atEnd checks a state without possible steps. If an attempt is paused there, the state is not an end but stuck: the change
// that the attempt waits for never comes, and the ordering in which it does not pause is explored as another state.
func (w *world) atEnd() (end, stuck bool) {
	if slices.ContainsFunc(w.attempts, func(t *attempt) bool { return t.paused }) {
		return false, true
	}
	w.checkEndState()
	return true, false
}

// Replay plays a trace step by step, writes the steps to out, and returns the violated property, if there is one. A step
// that is not possible is an error.
func Replay(cfg Config, trace []Step, out io.Writer) (fault string, err error) {
	w := newWorld(&cfg)
	for i, s := range trace {
		if !slices.Contains(w.enabled(), Step{Kind: s.Kind, N: s.N}) {
			return "", fmt.Errorf("step %d: %v: not possible in this state", i+1, s)
		}
		w.apply(s)
		fmt.Fprintf(out, "%3d. %5.0f ms  %v\n", i+1, w.elapsedMS(), s)
		if w.fault != "" {
			return w.fault, nil
		}
	}
	if len(w.enabled()) == 0 {
		w.atEnd()
	}
	return w.fault, nil
}

// Coverage returns how many kinds of steps were taken, and how many there are.
func (r *Report) Coverage() (taken, all int) {
	return int(kindCount) - len(r.Untaken()), int(kindCount)
}

// Untaken returns the kinds of steps that were never taken.
func (r *Report) Untaken() (names []string) {
	for k, n := range r.Steps {
		if n == 0 {
			names = append(names, kindNames[k])
		}
	}
	return names
}
