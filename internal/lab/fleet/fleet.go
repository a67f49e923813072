// Package fleet runs many agents as processes of the built program, with a list service beside them, and brings about their
// failures by a scenario. Its verdict comes from what the world saw, never from the program's own words.
package fleet

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
)

// Options are what a run needs beside its Scenario.
type Options struct {
	Program  string // the agent's
	Dir      string // for configurations and logs
	Progress func(string)
}

// fleet is a run under way.
type fleet struct {
	*Scenario
	record *Record
	list   *List
	agents []*process
	rng    *rand.Rand
	say    func(string)
}

// listVersion is that of the list; an agent that knows an old one knows oldVersion.
const (
	listVersion = 41
	oldVersion  = 17
)

// servers are those of the list. Nobody listens there as yet: no calls are made.
func (s *Scenario) servers(version int64, from, to int) discovery.List {
	l := discovery.List{Version: version, Full: true, Servers: []discovery.Entry{}}
	for i := from; i < to; i++ {
		l.Servers = append(l.Servers, discovery.Entry{ID: fmt.Sprint("forms-", i), Addr: fmt.Sprintf("127.1.%d.%d:9", i/250, 1+i%250), Zone: "z",
			State: "in_service", Weight: 1})
	}
	return l
}

// known is what an agent knows at its first start.
func (s *Scenario) known() discovery.List {
	switch s.Known {
	case KnownOld:
		return s.servers(oldVersion, 0, s.Servers)
	case KnownWrong:
		return s.servers(oldVersion, s.Servers/2, s.Servers+s.Servers/2)
	case KnownNone:
		return s.servers(0, 0, 0)
	}
	return s.servers(listVersion, 0, s.Servers)
}

// listenAt is where an agent listens, the same after each start. What connects from this machine does so from 127.0.0.1, so
// that nobody takes it meanwhile.
func listenAt(agent int) string {
	return fmt.Sprintf("127.%d.%d.%d:7000", 16+os.Getpid()%200, agent/250, 1+agent%250)
}

// Run has a fleet go through a scenario. It leaves no process behind.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	f := &fleet{Scenario: s, record: NewRecord(), rng: rand.New(rand.NewPCG(s.Seed, 0)), say: o.Progress}
	if f.say == nil {
		f.say = func(string) {}
	}
	var err error
	f.list, err = NewList(ListOptions{Agents: s.Agents, Each: s.All / time.Duration(s.Agents), Patience: s.Patience,
		Known: s.servers(listVersion, 0, s.Servers)}, f.record)
	if err != nil {
		return nil, err
	}
	defer f.list.Close()
	known := s.known()
	for i := range s.Agents {
		p := standin.Platform{Name: fmt.Sprint("n", i), Listen: listenAt(i), Discovery: f.list.Addr(i), Known: known, Seed: s.Seed<<20 + uint64(i) + 1,
			Balancers: s.Agents, Me: i, MustAsk: s.MustAsk, Deadline: 2 * time.Second}
		a, err := newProcess(i, o.Program, o.Dir, p, f.record)
		if err != nil {
			return nil, err
		}
		f.agents = append(f.agents, a)
	}
	defer f.end()
	report := &Report{Scenario: s}
	for i, step := range s.Steps {
		r, err := f.step(ctx, i, step)
		if err != nil {
			return nil, fmt.Errorf("step %q: %w", step.Name, err)
		}
		f.say(r.String())
		report.Steps = append(report.Steps, r)
	}
	report.Events, _ = f.record.Since(0)
	report.judge()
	return report, nil
}

// end ends all processes.
func (f *fleet) end() {
	var all sync.WaitGroup
	for _, a := range f.agents {
		all.Go(func() {
			a.signal(syscall.SIGCONT)
			a.kill()
		})
	}
	all.Wait()
}

// each does something to agents, all at once.
func each(agents []*process, do func(*process) error) error {
	errs := make([]error, len(agents))
	var all sync.WaitGroup
	for i, a := range agents {
		all.Go(func() { errs[i] = do(a) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// draw draws a share of the agents.
func (f *fleet) draw(share float64) []*process {
	n := int(share*float64(len(f.agents)) + 0.5)
	out := make([]*process, 0, n)
	for _, i := range f.rng.Perm(len(f.agents))[:n] {
		out = append(out, f.agents[i])
	}
	slices.SortFunc(out, func(a, b *process) int { return a.number - b.number })
	return out
}

// step brings a step's faults about and waits for the recovery.
func (f *fleet) step(ctx context.Context, number int, step Step) (StepReport, error) {
	begin := f.record.Now()
	if number == 0 {
		f.record.Add(Mended, -1, "cold start")
		if err := each(f.agents, (*process).start); err != nil {
			return StepReport{}, err
		}
	}
	type moment struct {
		at time.Duration
		do func() error
	}
	var plan []moment
	for _, a := range step.Faults {
		begins, ends := f.fault(a)
		plan = append(plan, moment{a.At, func() error { f.record.Add(Fault, -1, a.Kind); return begins() }},
			moment{a.At + a.For, func() error { f.record.Add(Mended, -1, a.Kind); return ends() }})
	}
	slices.SortStableFunc(plan, func(a, b moment) int { return cmp.Compare(a.at, b.at) })
	for _, m := range plan {
		select {
		case <-time.After(begin + m.at - f.record.Now()):
		case <-ctx.Done():
			return StepReport{}, ctx.Err()
		}
		if err := m.do(); err != nil {
			return StepReport{}, err
		}
	}
	limit := time.After(step.Limit)
	for {
		events, changed := f.record.Since(0)
		r := newStepReport(step, f.Agents, begin, events)
		if r.Holding == f.Agents {
			return r, nil
		}
		select {
		case <-changed:
		case <-limit:
			return r, nil
		case <-ctx.Done():
			return r, ctx.Err()
		}
		select { // one look at many changes
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// fault returns what begins a fault and what ends it. Whom it hits is drawn here, so that it does not depend on when.
func (f *fleet) fault(a Action) (begins, ends func() error) {
	switch a.Kind {
	case Kill:
		hit := f.draw(a.Share)
		return func() error { return each(hit, (*process).kill) }, func() error { return each(hit, (*process).start) }
	case Stop:
		hit := f.draw(a.Share)
		return func() error { return each(hit, func(a *process) error { return a.signal(syscall.SIGSTOP) }) },
			func() error { return each(hit, func(a *process) error { return a.signal(syscall.SIGCONT) }) }
	default:
		return func() error { f.list.Be(a.How); return nil }, func() error { f.list.Be(Up); return nil }
	}
}
