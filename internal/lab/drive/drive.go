// Package drive plays a trace of the explorer against a real agent on loopback sockets. Kiosks send calls and disconnect,
// scripted servers answer and a list changes in the order of the trace, and the outcome of each call is compared with
// that in the trace. If an ordering cannot be forced with sockets, it returns ErrNotForceable.
package drive

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/agent"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/lab/explore"
	"ternbeam/internal/lab/standin"
)

// ErrNotForceable is returned if the order of a trace cannot be forced with sockets.
var ErrNotForceable = errors.New("the order cannot be forced with sockets")

// errOtherDraw means that the balancer drew other random numbers than in the trace. Another seed may help.
var errOtherDraw = errors.New("the balancer drew other random numbers than in the trace")

// Options control how a trace is driven.
type Options struct {
	Protocol    string // http, thrift-binary or thrift-compact
	Multiplexed bool
	Deadline    time.Duration // of every call
	StepTimeout time.Duration // limit for each step of the agent
	Seeds       int           // maximum seeds to try until the balancer draws as in the trace
}

// Run drives a trace. It returns nil if the agent behaved as in the trace.
func Run(ctx context.Context, cfg explore.Config, trace []explore.Step, o Options) error {
	events, outcomes, err := explore.Play(cfg, trace)
	if err != nil {
		return err
	}
	plan, err := planFaults(cfg, events)
	if err != nil {
		return err
	}
	for seed := range o.Seeds {
		if err = driveOnce(ctx, cfg, events, outcomes, plan, o, seed); !errors.Is(err, errOtherDraw) {
			return err
		}
	}
	return fmt.Errorf("%w: tried %d seeds: %w", ErrNotForceable, o.Seeds, err)
}

// CheckForceable returns ErrNotForceable if the order of a trace cannot be forced with sockets.
func CheckForceable(cfg explore.Config, trace []explore.Step) error {
	events, _, err := explore.Play(cfg, trace)
	if err == nil {
		_, err = planFaults(cfg, events)
	}
	return err
}

// attemptID identifies an attempt by its call and its number within the call.
type attemptID struct{ call, number int }

// faults maps the outcomes of an attempt that a server has received to the faults of the stand-in servers.
var faults = map[explore.StepKind]standin.Fault{explore.AnswerOK: standin.None, explore.AnswerError: standin.Error,
	explore.AnswerReject: standin.Reject, explore.AnswerTwice: standin.TwoReplies, explore.AnswerGarbled: standin.InvalidBytes,
	explore.Reset: standin.ResetBefore, explore.Hang: standin.NoReply}

// unforcedKinds are steps that happen without being forced, or whose position in the order is not observable from outside.
var unforcedKinds = []explore.StepKind{explore.Acquire, explore.DialSucceeds, explore.Send, explore.Release, explore.TimeOut, explore.FireTimer}

// StepKinds returns the kinds of steps that a trace to be driven may contain.
func StepKinds() []explore.StepKind {
	kinds := append([]explore.StepKind{explore.CallArrives, explore.ClientDisconnects, explore.Drain, explore.ServerRemoved, explore.AdvanceTime, explore.TakeEnd,
		explore.WriteAll}, unforcedKinds...)
	for k := range faults {
		kinds = append(kinds, k)
	}
	return kinds
}

// planFaults returns the fault of the server for each attempt, or ErrNotForceable if the order cannot be forced.
func planFaults(cfg explore.Config, events []explore.Event) (map[attemptID]standin.Fault, error) {
	plan := map[attemptID]standin.Fault{}
	written := map[attemptID]bool{}
	if cfg.Past != explore.NoPast {
		return nil, fmt.Errorf("%w: the balancer has a past", ErrNotForceable)
	}
	timePassed := false
	for i, e := range events {
		at := attemptID{e.Call, e.Attempt}
		fault, answers := faults[e.Kind]
		switch {
		case e.Kind == explore.WriteAll:
			written[at] = true
		case answers && written[at]:
			plan[at] = fault
		case e.Kind == explore.AdvanceTime:
			timePassed = true
		case e.Kind == explore.TakeEnd && timePassed:
			if plan[at] != standin.NoReply {
				return nil, fmt.Errorf("step %d: %w: %v after time has passed", i+1, ErrNotForceable, e.Step)
			}
		case e.Kind <= explore.Drain || e.Kind == explore.ServerRemoved || e.Kind == explore.TakeEnd:
			if timePassed {
				return nil, fmt.Errorf("step %d: %w: %v after time has passed", i+1, ErrNotForceable, e.Step)
			}
		case !slices.Contains(unforcedKinds, e.Kind):
			return nil, fmt.Errorf("step %d: %w: %v", i+1, ErrNotForceable, e.Step)
		}
		if e.Kind == explore.Send && timePassed {
			return nil, fmt.Errorf("step %d: %w: %v after time has passed", i+1, ErrNotForceable, e.Step)
		}
	}
	return plan, nil
}

// harness runs an agent between stand-ins, for a single run of a trace.
type harness struct {
	options    Options
	plan       map[attemptID]standin.Fault
	agent      *agent.Agent
	list       *standin.List
	kiosk      standin.Kiosk
	servers    []*standin.Server
	answers    []chan standin.Answer // to the kiosk, by call
	disconnect []chan struct{}       // closed to let the client disconnect, by call

	mu         sync.Mutex
	release    map[attemptID]chan struct{} // closed to let an attempt's server answer
	receivedBy map[attemptID]int           // the server that received the attempt
	received   []int                       // number of attempts received by servers, by call
	changed    chan struct{}               // receives a value when a server receives an attempt
	serverOf   map[int]int                 // started server by server of the trace
}

// methods maps the effects of the trace's calls to the methods that kiosks call.
var methods = map[choice.Effect]standin.Method{choice.Safe: standin.Check, choice.Keyed: standin.Record, choice.Unsafe: standin.Pay}

// driveOnce drives the trace with one seed.
func driveOnce(ctx context.Context, cfg explore.Config, events []explore.Event, outcomes []explore.CallOutcome, plan map[attemptID]standin.Fault,
	o Options, seed int) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &harness{options: o, plan: plan, release: map[attemptID]chan struct{}{}, receivedBy: map[attemptID]int{}, serverOf: map[int]int{},
		received: make([]int, len(outcomes)), changed: make(chan struct{}, 1)}
	for range outcomes {
		s.answers, s.disconnect = append(s.answers, make(chan standin.Answer, 1)), append(s.disconnect, make(chan struct{}))
	}
	for _, e := range events {
		if s.release[attemptID{e.Call, e.Attempt}] == nil {
			s.release[attemptID{e.Call, e.Attempt}] = make(chan struct{})
		}
	}
	defer s.close()
	if err := s.start(ctx, cfg, seed); err != nil {
		return err
	}
	results := 0
	for i, e := range events {
		if err := s.step(ctx, e, outcomes, &results); err != nil {
			return fmt.Errorf("step %d: %v: %w", i+1, e.Step, err)
		}
	}
	return s.compare(ctx, outcomes)
}

// start starts the servers, the list, the agent and a kiosk.
func (s *harness) start(ctx context.Context, cfg explore.Config, seed int) error {
	list, err := standin.NewList()
	if err != nil {
		return err
	}
	s.list = list
	for i := range cfg.Servers {
		server, err := standin.Start(standin.Options{ID: fmt.Sprint("server-", i), Protocol: s.options.Protocol, Cell: i % max(1, cfg.Cells),
			Multiplexed: s.options.Multiplexed, Script: func(c standin.Call) standin.Step { return s.scriptStep(i, c) }, NoLoad: true})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		list.Update(server.Entry())
	}
	p := standin.Platform{Discovery: list.Addr(), InitialList: list.Full(), Deadline: s.options.Deadline, Aim: 16 * s.options.Deadline,
		DedupWindow: 2 * s.options.Deadline, MaxAttempts: cfg.Attempts, CanCancel: true, Listen: "127.0.0.1:0"}
	p.InitialList.Version = 0 // older than the list, so that the watch delivers an update and the agent is ready at once
	conf, service, err := p.Load()
	if err != nil {
		return err
	}
	conf.Seed += uint64(seed)
	if s.agent, err = agent.New(conf, service, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	addrs, err := s.agent.Listen()
	if err != nil {
		return err
	}
	addr := addrs[0]
	if s.options.Protocol != "http" {
		addr = addrs[1]
	}
	go s.agent.Run(ctx, nil)
	select {
	case <-s.agent.Ready():
	case <-ctx.Done():
		return ctx.Err()
	}
	s.kiosk, err = standin.NewKiosk(s.options.Protocol, addr)
	return err
}

// close stops everything that start has started, also if start failed.
func (s *harness) close() {
	for _, server := range s.servers {
		server.Close()
	}
	if s.list != nil {
		s.list.Close()
	}
	if s.kiosk != nil {
		s.kiosk.Close()
	}
}

// scriptStep returns what a server does with a call: the fault of the attempt in the trace, once it is released.
func (s *harness) scriptStep(server int, c standin.Call) standin.Step {
	var call int
	fmt.Sscanf(c.ID, "call-%d", &call)
	s.mu.Lock()
	defer s.mu.Unlock()
	at := attemptID{call, s.received[call]}
	s.received[call]++
	s.receivedBy[at] = server
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return standin.Step{Fault: s.plan[at], Until: s.release[at]}
}

// waitUntil waits until a condition holds, which the agent or a server brings about.
func (s *harness) waitUntil(ctx context.Context, condition string, holds func() (bool, error)) error {
	end := time.NewTimer(s.options.StepTimeout)
	defer end.Stop()
	for {
		if ok, err := holds(); ok || err != nil {
			return err
		}
		select {
		case <-s.changed:
		case <-time.After(200 * time.Microsecond): // the agent sends no notifications, so its state is polled
		case <-end.C:
			return fmt.Errorf("not observed within %v: %s", s.options.StepTimeout, condition)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// bindServer records that a server of the trace is played by a started one. Which started server the balancer draws first is
// random; errOtherDraw means that this one contradicts an earlier binding.
func (s *harness) bindServer(traced, server int) error {
	if have, known := s.serverOf[traced]; known {
		if have != server {
			return errOtherDraw
		}
		return nil
	}
	for _, other := range s.serverOf {
		if other == server {
			return errOtherDraw
		}
	}
	s.serverOf[traced] = server
	return nil
}

// step makes one step of the trace happen, and waits until the agent has processed it.
func (s *harness) step(ctx context.Context, e explore.Event, outcomes []explore.CallOutcome, results *int) error {
	at := attemptID{e.Call, e.Attempt}
	switch e.Kind {
	case explore.CallArrives:
		a := standin.Request{Method: methods[outcomes[e.Call].Effect], ID: fmt.Sprint("call-", e.Call), Tenant: standin.Tenants[0],
			Key: "form", TimeLeft: s.options.Deadline, Cancel: s.disconnect[e.Call]}
		if a.Method == standin.Record {
			a.IdempotencyKey = "once-" + a.ID
		}
		before := s.agent.Snapshot().Stats.Requests
		go func() { s.answers[e.Call] <- s.kiosk.Do(a) }()
		return s.waitUntil(ctx, "the agent receives the call", func() (bool, error) {
			return s.agent.Snapshot().Stats.Requests > before, nil
		})
	case explore.WriteAll:
		server := -1
		if err := s.waitUntil(ctx, "a server receives the attempt", func() (bool, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			got, ok := s.receivedBy[at]
			if !ok && len(s.answers[e.Call]) > 0 {
				return false, errOtherDraw // the call was refused
			}
			server = got
			return ok, nil
		}); err != nil {
			return err
		}
		return s.bindServer(e.Server, server)
	case explore.TakeEnd:
		if s.plan[at] != standin.NoReply {
			s.mu.Lock()
			close(s.release[at])
			s.mu.Unlock()
		}
		*results++
		return s.waitUntil(ctx, "the loop processes the end of the attempt", func() (bool, error) {
			n := 0
			for _, count := range s.agent.Snapshot().Stats.Results {
				n += count
			}
			return n >= *results, nil
		})
	case explore.ClientDisconnects:
		before := s.agent.Snapshot().Stats.Disconnected
		close(s.disconnect[e.Call])
		return s.waitUntil(ctx, "the client has disconnected", func() (bool, error) { return s.agent.Snapshot().Stats.Disconnected > before, nil })
	case explore.Drain, explore.ServerRemoved:
		return s.changeList(ctx, e)
	}
	return nil
}

// changeList lets the list report a server as draining or removed.
func (s *harness) changeList(ctx context.Context, e explore.Event) error {
	server, known := s.serverOf[e.Call]
	for i := 0; !known; i++ {
		server = i
		known = s.bindServer(e.Call, i) == nil
	}
	entry := s.servers[server].Entry()
	entry.State = "terminating"
	if e.Kind == explore.ServerRemoved {
		entry.State = "terminated"
	}
	s.list.Update(entry)
	return s.waitUntil(ctx, "the agent has received the list", func() (bool, error) {
		return !slices.Contains(s.agent.Snapshot().Servers, entry.ID), nil
	})
}

// compare compares the outcomes of the calls with those of the trace.
func (s *harness) compare(ctx context.Context, outcomes []explore.CallOutcome) error {
	var mismatches []string
	for i, f := range outcomes {
		if !f.Asked || f.Left {
			continue
		}
		select {
		case got := <-s.answers[i]:
			if want := answerKinds[f.Answer]; got.Kind != want {
				mismatches = append(mismatches, fmt.Sprintf("call %d was %v, not %v (%v)", i, got.Kind, want, got.Err))
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := s.waitUntil(ctx, "the agent is idle", func() (bool, error) { return s.agent.Snapshot().Tracked == 0, nil }); err != nil {
		return err
	}
	wanted := make([]int, len(outcomes))
	for at := range s.plan {
		wanted[at.call]++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range outcomes {
		if s.received[i] != wanted[i] {
			mismatches = append(mismatches, fmt.Sprintf("servers received call %d %d times, not %d", i, s.received[i], wanted[i]))
		}
		if f.Effect == choice.Unsafe {
			effects := 0
			for _, server := range s.servers {
				effects += server.DedupGroup().Effects(fmt.Sprint("call-", i))
			}
			if effects != f.Runs {
				mismatches = append(mismatches, fmt.Sprintf("call %d took effect %d times, not %d", i, effects, f.Runs))
			}
		}
	}
	if n := s.agent.IllegalSteps(); n > 0 {
		mismatches = append(mismatches, fmt.Sprintf("%d illegal state transitions", n))
	}
	if len(mismatches) > 0 {
		return errors.New(strings.Join(mismatches, "; "))
	}
	return nil
}

// answerKinds maps the answers of the trace to those that kiosks observe.
var answerKinds = map[calltrack.AnswerKind]standin.AnswerKind{calltrack.Served: standin.Served, calltrack.Refused: standin.Refused, calltrack.Failed: standin.Failed}
