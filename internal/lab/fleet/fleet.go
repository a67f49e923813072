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
	"sync/atomic"
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

// runs counts the runs of this process, which have ports of their own.
var runs atomic.Int64

// fleet is a run under way.
type fleet struct {
	*Scenario
	number  int
	record  *Record
	book    *standin.Book
	list    *List
	relay   *relay // nil where agents don't talk
	groups  map[string][]int
	servers []*server
	agents  []*process
	rng     *rand.Rand
	say     func(string)
	asking  func() // ends the kiosks; nil before they begin
	sides   int    // of the links, so far
}

// known is what an agent knows at its first start. An old list is of a version that the service has forgotten, so that it
// sends the whole one.
func (f *fleet) known() discovery.List {
	l := f.book.Full()
	switch f.Known {
	case KnownOld:
		l.Version = 0
	case KnownNone:
		l.Version, l.Servers = 0, nil
	case KnownWrong:
		l.Version = 0
		for i := range l.Servers[:len(l.Servers)/2] {
			l.Servers[i].ID = fmt.Sprint("gone-", i)
			l.Servers[i].Addr = "127.0.0.1:9"
		}
	}
	return l
}

// listenAt is where an agent listens, the same after each start. What connects from this machine does so from 127.0.0.1, so
// that nobody takes it meanwhile.
func (f *fleet) listenAt(agent int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, agent/250, 1+agent%250, 7000+f.number)
}

// peerAt is where an agent listens for the others.
func (f *fleet) peerAt(agent int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, agent/250, 1+agent%250, 8000+f.number)
}

// Run has a fleet go through a scenario. It leaves no process behind.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	f := &fleet{Scenario: s, number: int(runs.Add(1)) % 900, record: NewRecord(), book: standin.NewBook(), groups: map[string][]int{}, rng: rand.New(rand.NewPCG(s.Seed, 0)), say: o.Progress}
	if f.say == nil {
		f.say = func(string) {}
	}
	defer f.end()
	if err := f.build(o); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.canary(ctx)
	report := &Report{Scenario: s}
	for i, step := range s.Steps {
		r, err := f.step(ctx, i, step)
		if err != nil {
			return nil, fmt.Errorf("step %q: %w", step.Name, err)
		}
		f.say(r.String())
		report.Steps = append(report.Steps, r)
	}
	if f.asking != nil {
		f.asking()
	}
	report.Events, _ = f.record.Since(0)
	for _, s := range f.servers {
		report.Doubles += s.pod.Doubles() // each server is a pod of its own
		report.Push = max(report.Push, s.pushed())
		for _, o := range f.servers[:s.number] {
			for _, id := range standin.Shared(s.pod, o.pod) {
				agent, call := agentOf(id)
				report.Twice = append(report.Twice, Twice{Agent: agent, Call: call, Servers: [2]string{o.id, s.id}})
			}
		}
	}
	report.Doubles += len(report.Twice)
	report.judge()
	return report, nil
}

// build starts all but the agents.
func (f *fleet) build(o Options) error {
	for i := range f.Servers {
		s := &server{id: fmt.Sprint("forms-", i), number: i, cell: i, opts: f.Server, pod: standin.NewPod(), record: f.record, now: f.record.Now}
		f.servers = append(f.servers, s)
		if err := s.start(f.Cold); err != nil {
			return err
		}
		f.book.Tell(s.entry())
	}
	f.book.Forget()
	var err error
	each, mustAsk := f.All/time.Duration(f.Agents), f.MustAsk
	if f.Pushed {
		each, mustAsk = 0, 0
	}
	if f.list, err = NewList(ListOptions{Agents: f.Agents, Each: each, Patience: f.Patience, Book: f.book}, f.record); err != nil {
		return err
	}
	var talk []string
	if f.Talk {
		if f.relay, err = newRelay(f.Agents, f.peerAt, f.Links, f.Seed); err != nil {
			return err
		}
		talk = f.relay.addrs()
	}
	known := f.known()
	for i := range f.Agents {
		me, number := places[f.Places](i, f.Agents)
		p := standin.Platform{Name: fmt.Sprint("n", i), Listen: f.listenAt(i), Discovery: f.list.Addr(i), Known: known, Seed: f.Seed<<20 + uint64(i) + 1,
			Balancers: number, Me: me, MustAsk: mustAsk, Deadline: f.Kiosks.Left, ColdFrom: f.Server.ColdFrom, ColdFor: f.Server.ColdFor,
			ConnectTimeout: 250 * time.Millisecond, Cancel: true, Peers: talk}
		if f.Talk {
			p.PeerListen = f.peerAt(i)
		}
		a, err := newProcess(i, o.Program, o.Dir, p, f.Talk, f.record)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, a)
	}
	return nil
}

// canary notes when the machine itself stands still: what comes late then is not the program's doing.
func (f *fleet) canary(ctx context.Context) {
	const every = 20 * time.Millisecond
	for last := f.record.Now(); ctx.Err() == nil; {
		time.Sleep(every)
		now := f.record.Now()
		if stood := now - last - every; stood > every {
			f.record.Put(Event{Kind: Stall, Agent: -1, Took: stood})
		}
		last = now
	}
}

// ask begins to have kiosks ask. They end when all have their last answers.
func (f *fleet) ask(ctx context.Context) {
	if f.Kiosks.Rate == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range f.agents {
		all.Go(func() { kiosk(ctx, i, f.listenAt(i), f.Kiosks, f.Seed, f.record) })
	}
	f.asking = func() { cancel(); all.Wait() }
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
	for _, s := range f.servers {
		s.stop()
	}
	if f.list != nil {
		f.list.Close()
	}
	if f.relay != nil {
		f.relay.close()
	}
}

// each does something to each, all at once.
func each[T any](those []T, do func(T) error) error {
	errs := make([]error, len(those))
	var all sync.WaitGroup
	for i, a := range those {
		all.Go(func() { errs[i] = do(a) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// draw draws a share.
func draw[T any](f *fleet, all []T, share float64) []T {
	n := int(share*float64(len(all)) + 0.5)
	hit := f.rng.Perm(len(all))[:n]
	slices.Sort(hit)
	out := make([]T, 0, n)
	for _, i := range hit {
		out = append(out, all[i])
	}
	return out
}

// step brings a step's faults about and waits for the recovery.
func (f *fleet) step(ctx context.Context, number int, step Step) (StepReport, error) {
	begin, sent, sentBytes := f.record.Now(), 0, 0
	if f.relay != nil {
		sent, sentBytes = f.relay.count()
	}
	if number == 0 {
		f.record.Add(Mended, -1, "cold start")
		if err := each(f.agents, (*process).start); err != nil {
			return StepReport{}, err
		}
		f.ask(ctx)
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
		r := newStepReport(step, f.Agents, len(f.servers), begin, events)
		if f.relay != nil {
			datagrams, bytes := f.relay.count()
			each := float64(f.Agents) * (f.record.Now() - begin).Seconds()
			r.Datagrams, r.Bytes = float64(datagrams-sent)/each, float64(bytes-sentBytes)/each
		}
		if r.recovered(f.Agents) && f.record.Now() >= r.Mended+step.Stay {
			return r, nil
		}
		select {
		case <-changed:
		case <-time.After(100 * time.Millisecond):
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
	if hitsServers(a.Kind) {
		return f.serverFault(a)
	}
	hit := f.hit(a)
	if a.Kind == Away && a.How == Full {
		hit = f.agents
	}
	switch a.Kind {
	case Kill:
		return func() error { return each(hit, (*process).kill) }, func() error { return each(hit, (*process).start) }
	case Stop:
		return func() error { return each(hit, func(a *process) error { return a.signal(syscall.SIGSTOP) }) },
			func() error { return each(hit, func(a *process) error { return a.signal(syscall.SIGCONT) }) }
	}
	var numbers []int
	for _, a := range hit {
		numbers = append(numbers, a.number)
	}
	if a.Kind == Cut {
		f.sides++
		side := f.sides
		return func() error { f.relay.divide(numbers, side); return nil }, func() error { f.relay.divide(numbers, 0); return nil }
	}
	if a.How == Hushes {
		return func() error { f.list.Hush(numbers...); return nil }, func() error { return nil }
	}
	return func() error {
		f.list.Bounds(a.Late, int(a.Share*float64(f.Agents)+0.5))
		f.list.Be(a.How, numbers...)
		return nil
	}, func() error { f.list.Be(Up, numbers...); return nil }
}

// hit draws the agents that a fault hits. Faults that name one group hit the same ones, or all others.
func (f *fleet) hit(a Action) (out []*process) {
	if a.Group == "" {
		return draw(f, f.agents, a.Share)
	}
	group, drawn := f.groups[a.Group]
	if !drawn {
		for _, p := range draw(f, f.agents, a.Share) {
			group = append(group, p.number)
		}
		f.groups[a.Group] = group
	}
	for _, p := range f.agents {
		if slices.Contains(group, p.number) != a.Others {
			out = append(out, p)
		}
	}
	return out
}

// serverFault is fault for servers.
func (f *fleet) serverFault(a Action) (begins, ends func() error) {
	hit := draw(f, f.servers, a.Share)
	do := func(what func(*server) error) func() error { return func() error { return each(hit, what) } }
	again := func(s *server) error { // a new life, cold, at an address of its own
		s.stop()
		if err := s.start(true); err != nil {
			return err
		}
		f.record.Add(Serves, -1, s.id)
		f.book.Tell(s.entry())
		return nil
	}
	switch a.Kind {
	case Mute:
		return do(func(s *server) error { s.mute(true); return nil }), do(func(s *server) error { s.mute(false); return nil })
	case Crash:
		return do(func(s *server) error { s.stop(); return nil }), do(again)
	}
	return do(func(s *server) error {
		s.drain()
		f.record.Add(Drains, -1, s.id)
		f.book.Tell(s.entry())
		return nil
	}), do(again)
}
