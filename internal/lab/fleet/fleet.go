// Package fleet runs many agents as processes of the built program, with model servers and a list service, and injects failures as a
// scenario says. Its verdict is based only on what servers, clients and the list service observed, never on the program's own
// logs or metrics.
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

// Options configures a run in addition to its Scenario.
type Options struct {
	Program  string       // path of the agent's program
	Dir      string       // directory for configurations and logs
	Progress func(string) // called with a line of text after each step; may be nil
}

// runCount counts the runs of this process; each run has its own ports.
var runCount atomic.Int64

// fleet is the state of a run.
type fleet struct {
	*Scenario
	number        int // of the run; determines its ports
	record        *Record
	versionedList *standin.VersionedList
	list          *List
	relay         *relay           // nil if agents do not exchange lists
	groups        map[string][]int // agents drawn for each Action.Group
	servers       []*server
	agents        []*process
	rng           *rand.Rand
	progress      func(string)
	stopKiosks    func() // stops the kiosks and waits for them; nil before they start
	partitions    int    // number of partitions so far
}

// initialList returns the list that an agent has at its first start. An old list has a version whose changes the service no longer
// has, so that the service sends the full list.
func (f *fleet) initialList() discovery.List {
	l := f.versionedList.Full()
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

// listenAddr returns the address on which an agent listens, the same after each start. Outgoing connections on this machine use
// 127.0.0.1, so that none of them can occupy the address while the agent is down.
func (f *fleet) listenAddr(agent int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, agent/250, 1+agent%250, 7000+f.number)
}

// peerAddr returns the UDP address on which an agent listens for its peers.
func (f *fleet) peerAddr(agent int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, agent/250, 1+agent%250, 8000+f.number)
}

// Run runs a scenario to its end or until ctx is canceled. It leaves no processes behind.
// It returns an error if the run could not be completed; violated expectations are in the Report.
func Run(ctx context.Context, s *Scenario, o Options) (*Report, error) {
	f := &fleet{Scenario: s, number: int(runCount.Add(1)) % 900, record: NewRecord(), versionedList: standin.NewVersionedList(), groups: map[string][]int{}, rng: rand.New(rand.NewPCG(s.Seed, 0)), progress: o.Progress}
	if f.progress == nil {
		f.progress = func(string) {}
	}
	defer f.shutDown()
	if err := f.build(o); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go f.recordStalls(ctx)
	report := &Report{Scenario: s}
	for i, step := range s.Steps {
		r, err := f.runStep(ctx, i, step)
		if err != nil {
			return nil, fmt.Errorf("step %q: %w", step.Name, err)
		}
		f.progress(r.String())
		report.Steps = append(report.Steps, r)
	}
	if f.stopKiosks != nil {
		f.stopKiosks()
	}
	report.Events, _ = f.record.Since(0)
	for _, s := range f.servers {
		report.Doubles += s.group.DuplicateEffects() // each server deduplicates on its own
		report.Push = max(report.Push, s.maxOverload())
		for _, other := range f.servers[:s.number] {
			for _, id := range standin.CommonEffects(s.group, other.group) {
				agent, call := parseCallID(id)
				report.Twice = append(report.Twice, DuplicateEffect{Agent: agent, Call: call, Servers: [2]string{other.id, s.id}})
			}
		}
	}
	report.Doubles += len(report.Twice)
	report.check()
	return report, nil
}

// build starts the servers, the list service and the relay, and prepares the agents without starting them.
func (f *fleet) build(o Options) error {
	for i := range f.Servers {
		s := &server{id: fmt.Sprint("forms-", i), number: i, cell: i, opts: f.Server, group: standin.NewDedupGroup(), record: f.record, now: f.record.Now}
		f.servers = append(f.servers, s)
		if err := s.start(f.Cold); err != nil {
			return err
		}
		f.versionedList.Update(s.entry())
	}
	f.versionedList.DropHistory()
	var err error
	callWork, mustAsk := f.All/time.Duration(f.Agents), f.MustAsk
	if f.Pushed {
		callWork, mustAsk = 0, 0
	}
	if f.list, err = NewList(ListOptions{Agents: f.Agents, CallWork: callWork, MaxWait: f.Patience, VersionedList: f.versionedList}, f.record); err != nil {
		return err
	}
	var peers []string
	if f.Talk {
		if f.relay, err = newRelay(f.Agents, f.peerAddr, f.Links, f.Seed); err != nil {
			return err
		}
		peers = f.relay.addrs()
	}
	known := f.initialList()
	for i := range f.Agents {
		rank, total := placements[f.Places](i, f.Agents)
		p := standin.Platform{Name: fmt.Sprint("n", i), Listen: f.listenAddr(i), Discovery: f.list.Addr(i), InitialList: known, Seed: f.Seed<<20 + uint64(i) + 1,
			Balancers: total, Index: rank, MaxPollInterval: mustAsk, Deadline: f.Kiosks.Left, SlowStartMinShare: f.Server.ColdFrom, SlowStartWindow: f.Server.ColdFor,
			ConnectTimeout: 250 * time.Millisecond, CanCancel: true, Peers: peers}
		if f.Talk {
			p.PeerListen = f.peerAddr(i)
		}
		a, err := newProcess(i, o.Program, o.Dir, p, f.Talk, f.record)
		if err != nil {
			return err
		}
		f.agents = append(f.agents, a)
	}
	return nil
}

// recordStalls records when the machine itself stalls: the program is not at fault for delays then.
func (f *fleet) recordStalls(ctx context.Context) {
	const every = 20 * time.Millisecond
	for last := f.record.Now(); ctx.Err() == nil; {
		time.Sleep(every)
		now := f.record.Now()
		if stalled := now - last - every; stalled > every {
			f.record.AddEvent(Event{Kind: MachineStalled, Agent: -1, Took: stalled})
		}
		last = now
	}
}

// startKiosks starts a kiosk for each agent. stopKiosks stops them when all have received their last answers.
func (f *fleet) startKiosks(ctx context.Context) {
	if f.Kiosks.Rate == 0 {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	var all sync.WaitGroup
	for i := range f.agents {
		all.Go(func() { runKiosk(ctx, i, f.listenAddr(i), f.Kiosks, f.Seed, f.record) })
	}
	f.stopKiosks = func() { cancel(); all.Wait() }
}

// shutDown kills all agents and stops the servers, the list service and the relay.
func (f *fleet) shutDown() {
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

// forEach calls a function for all items concurrently and joins its errors.
func forEach[T any](items []T, do func(T) error) error {
	errs := make([]error, len(items))
	var all sync.WaitGroup
	for i, a := range items {
		all.Go(func() { errs[i] = do(a) })
	}
	all.Wait()
	return errors.Join(errs...)
}

// sample draws a share of the items at random, in their order.
func sample[T any](f *fleet, all []T, share float64) []T {
	n := int(share*float64(len(all)) + 0.5)
	drawn := f.rng.Perm(len(all))[:n]
	slices.Sort(drawn)
	out := make([]T, 0, n)
	for _, i := range drawn {
		out = append(out, all[i])
	}
	return out
}

// runStep injects a step's faults and waits for the recovery, or for the step's limit.
func (f *fleet) runStep(ctx context.Context, number int, step Step) (StepReport, error) {
	begin, sentBefore, bytesBefore := f.record.Now(), 0, 0
	if f.relay != nil {
		sentBefore, bytesBefore = f.relay.sent()
	}
	if number == 0 {
		f.record.Add(FaultEnded, -1, "cold start")
		if err := forEach(f.agents, (*process).start); err != nil {
			return StepReport{}, err
		}
		f.startKiosks(ctx)
	}
	type action struct {
		at  time.Duration
		run func() error
	}
	var plan []action
	for _, a := range step.Faults {
		inject, end := f.prepareFault(a)
		plan = append(plan, action{a.At, func() error { f.record.Add(FaultStarted, -1, a.Kind); return inject() }},
			action{a.At + a.For, func() error { f.record.Add(FaultEnded, -1, a.Kind); return end() }})
	}
	slices.SortStableFunc(plan, func(a, b action) int { return cmp.Compare(a.at, b.at) })
	for _, m := range plan {
		select {
		case <-time.After(begin + m.at - f.record.Now()):
		case <-ctx.Done():
			return StepReport{}, ctx.Err()
		}
		if err := m.run(); err != nil {
			return StepReport{}, err
		}
	}
	limit := time.After(step.Limit)
	for {
		events, changed := f.record.Since(0)
		r := newStepReport(step, f.Agents, len(f.servers), begin, events)
		if f.relay != nil {
			datagrams, bytes := f.relay.sent()
			agentSeconds := float64(f.Agents) * (f.record.Now() - begin).Seconds()
			r.Datagrams, r.Bytes = float64(datagrams-sentBefore)/agentSeconds, float64(bytes-bytesBefore)/agentSeconds
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
		select { // batch events: evaluate the record once for many changes
		case <-time.After(20 * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

// prepareFault returns functions that start and end a fault. The agents or servers that it affects are drawn here, so that they do
// not depend on timing.
func (f *fleet) prepareFault(a Action) (start, end func() error) {
	if isServerFault(a.Kind) {
		return f.prepareServerFault(a)
	}
	targets := f.faultTargets(a)
	if a.Kind == ListFault && a.How == Full {
		targets = f.agents
	}
	switch a.Kind {
	case Kill:
		return func() error { return forEach(targets, (*process).kill) }, func() error { return forEach(targets, (*process).start) }
	case Stop:
		return func() error { return forEach(targets, func(a *process) error { return a.signal(syscall.SIGSTOP) }) },
			func() error { return forEach(targets, func(a *process) error { return a.signal(syscall.SIGCONT) }) }
	}
	var numbers []int
	for _, a := range targets {
		numbers = append(numbers, a.number)
	}
	if a.Kind == Partition {
		f.partitions++
		side := f.partitions
		return func() error { f.relay.partition(numbers, side); return nil }, func() error { f.relay.partition(numbers, 0); return nil }
	}
	if a.How == SilencesWatches {
		return func() error { f.list.SilenceWatches(numbers...); return nil }, func() error { return nil }
	}
	return func() error {
		f.list.SetLimits(a.Late, int(a.Share*float64(f.Agents)+0.5))
		f.list.SetMode(a.How, numbers...)
		return nil
	}, func() error { f.list.SetMode(Up, numbers...); return nil }
}

// faultTargets draws the agents that a fault affects. Faults of one group affect the same agents, or all others.
func (f *fleet) faultTargets(a Action) (out []*process) {
	if a.Group == "" {
		return sample(f, f.agents, a.Share)
	}
	group, drawn := f.groups[a.Group]
	if !drawn {
		for _, p := range sample(f, f.agents, a.Share) {
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

// prepareServerFault is prepareFault for faults of servers.
func (f *fleet) prepareServerFault(a Action) (start, end func() error) {
	targets := sample(f, f.servers, a.Share)
	forTargets := func(do func(*server) error) func() error { return func() error { return forEach(targets, do) } }
	restart := func(s *server) error { // starts cold and gets a new address
		s.stop()
		if err := s.start(true); err != nil {
			return err
		}
		f.record.Add(ServerInService, -1, s.id)
		f.versionedList.Update(s.entry())
		return nil
	}
	switch a.Kind {
	case SilenceServers:
		return forTargets(func(s *server) error { s.setSilent(true); return nil }), forTargets(func(s *server) error { s.setSilent(false); return nil })
	case CrashServers:
		return forTargets(func(s *server) error { s.stop(); return nil }), forTargets(restart)
	}
	return forTargets(func(s *server) error {
		s.startDraining()
		f.record.Add(ServerDraining, -1, s.id)
		f.versionedList.Update(s.entry())
		return nil
	}), forTargets(restart)
}
