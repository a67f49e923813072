// Package drive plays a story of the explorer against a real agent on loopback sockets: kiosks ask and leave, scripted
// servers answer and a list changes in the story's order, and what comes of each call is held against what the story
// says. Where sockets don't allow an ordering to be forced it says so.
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
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/lab/explore"
	"ternbeam/internal/lab/standin"
)

// ErrNotForced says that sockets don't allow an order to be forced.
var ErrNotForced = errors.New("sockets don't force this")

// errOtherwise says that the module drew otherwise than in the story: another seed may do.
var errOtherwise = errors.New("the module drew otherwise")

// Options say how a story is driven.
type Options struct {
	Protocol    string // http, thrift-binary or thrift-compact
	Multiplexed bool
	Deadline    time.Duration // of every call
	Patience    time.Duration // how long the agent may take for a step
	Seeds       int           // to try until the module draws as in the story
}

// Story drives a story. It returns nil if the agent did as it says.
func Story(ctx context.Context, cfg explore.Config, story []explore.Step, o Options) error {
	events, fates, err := explore.Play(cfg, story)
	if err != nil {
		return err
	}
	plan, err := newPlan(cfg, events)
	if err != nil {
		return err
	}
	for seed := range o.Seeds {
		if err = once(ctx, cfg, events, fates, plan, o, seed); !errors.Is(err, errOtherwise) {
			return err
		}
	}
	return fmt.Errorf("%w: with none of %d seeds: %w", ErrNotForced, o.Seeds, err)
}

// Possible reports whether sockets can force the order of a story, as an ErrNotForced if they can't.
func Possible(cfg explore.Config, story []explore.Step) error {
	events, _, err := explore.Play(cfg, story)
	if err == nil {
		_, err = newPlan(cfg, events)
	}
	return err
}

// attempt is an attempt by its call and number.
type attempt struct{ call, number int }

// faults are what the servers do for the fates of an attempt that they have got.
var faults = map[explore.Kind]standin.Fault{explore.AnswerOK: standin.None, explore.AnswerError: standin.Error,
	explore.AnswerReject: standin.Reject, explore.AnswerTwice: standin.TwoReplies, explore.AnswerGarbled: standin.Spoilt,
	explore.Reset: standin.ResetBefore, explore.Hang: standin.Silence}

// free are steps that come of themselves, or whose place in the order nobody outside sees.
var free = []explore.Kind{explore.Acquire, explore.DialSucceeds, explore.Send, explore.Return, explore.TimeOut, explore.Fire}

// Kinds are the kinds of steps that stories may be driven with.
func Kinds() []explore.Kind {
	kinds := append([]explore.Kind{explore.Ask, explore.Leave, explore.Drain, explore.Gone, explore.Time, explore.Take,
		explore.WriteAll}, free...)
	for k := range faults {
		kinds = append(kinds, k)
	}
	return kinds
}

// newPlan finds what each attempt's server is to do, and whether the order can be forced.
func newPlan(cfg explore.Config, events []explore.Event) (map[attempt]standin.Fault, error) {
	plan := map[attempt]standin.Fault{}
	written := map[attempt]bool{}
	if cfg.Past != explore.NoPast {
		return nil, fmt.Errorf("%w: a module with a past", ErrNotForced)
	}
	late := false
	for i, e := range events {
		at := attempt{e.Call, e.Attempt}
		fault, answers := faults[e.Kind]
		switch {
		case e.Kind == explore.WriteAll:
			written[at] = true
		case answers && written[at]:
			plan[at] = fault
		case e.Kind == explore.Time:
			late = true
		case e.Kind == explore.Take && late:
			if plan[at] != standin.Silence {
				return nil, fmt.Errorf("step %d: %w: %v, when time has passed", i+1, ErrNotForced, e.Step)
			}
		case e.Kind <= explore.Drain || e.Kind == explore.Gone || e.Kind == explore.Take:
			if late {
				return nil, fmt.Errorf("step %d: %w: %v, when time has passed", i+1, ErrNotForced, e.Step)
			}
		case !slices.Contains(free, e.Kind):
			return nil, fmt.Errorf("step %d: %w: %v", i+1, ErrNotForced, e.Step)
		}
		if e.Kind == explore.Send && late {
			return nil, fmt.Errorf("step %d: %w: %v, when time has passed", i+1, ErrNotForced, e.Step)
		}
	}
	return plan, nil
}

// stage is an agent between stand-ins, on which a story is played once.
type stage struct {
	o       Options
	plan    map[attempt]standin.Fault
	agent   *agent.Agent
	list    *standin.List
	kiosk   standin.Kiosk
	servers []*standin.Server
	answers []chan standin.Answer // by call
	leave   []chan struct{}

	mu       sync.Mutex
	release  map[attempt]chan struct{} // closed when an attempt's server is to answer
	got      map[attempt]int           // which server got it
	attempts []int                     // that came, by call
	changed  chan struct{}             // told when one came
	bound    map[int]int               // servers by those of the story
}

// methods are what kiosks ask for the effects of the story's calls.
var methods = map[choice.Effect]standin.Method{choice.Safe: standin.Check, choice.Keyed: standin.Record, choice.Unsafe: standin.Pay}

// once drives the story once.
func once(ctx context.Context, cfg explore.Config, events []explore.Event, fates []explore.Fate, plan map[attempt]standin.Fault,
	o Options, seed int) (err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s := &stage{o: o, plan: plan, release: map[attempt]chan struct{}{}, got: map[attempt]int{}, bound: map[int]int{},
		attempts: make([]int, len(fates)), changed: make(chan struct{}, 1)}
	for range fates {
		s.answers, s.leave = append(s.answers, make(chan standin.Answer, 1)), append(s.leave, make(chan struct{}))
	}
	for _, e := range events {
		if s.release[attempt{e.Call, e.Attempt}] == nil {
			s.release[attempt{e.Call, e.Attempt}] = make(chan struct{})
		}
	}
	defer s.close()
	if err := s.open(ctx, cfg, seed); err != nil {
		return err
	}
	results := 0
	for i, e := range events {
		if err := s.step(ctx, e, fates, &results); err != nil {
			return fmt.Errorf("step %d: %v: %w", i+1, e.Step, err)
		}
	}
	return s.compare(ctx, fates)
}

// open starts the servers, the list, the agent and a kiosk.
func (s *stage) open(ctx context.Context, cfg explore.Config, seed int) error {
	list, err := standin.NewList()
	if err != nil {
		return err
	}
	s.list = list
	for i := range cfg.Servers {
		server, err := standin.Start(standin.Options{ID: fmt.Sprint("server-", i), Protocol: s.o.Protocol, Cell: i % max(1, cfg.Cells),
			Multiplexed: s.o.Multiplexed, Script: func(c standin.Call) standin.Step { return s.arrived(i, c) }, NoLoad: true})
		if err != nil {
			return err
		}
		s.servers = append(s.servers, server)
		list.Tell(server.Entry())
	}
	p := standin.Platform{Discovery: list.Addr(), Known: list.Full(), Deadline: s.o.Deadline, Aim: 16 * s.o.Deadline,
		Window: 2 * s.o.Deadline, MostTries: cfg.Attempts, Cancel: true, Listen: "127.0.0.1:0"}
	p.Known.Version = 0 // so that the watch has something to say, and the agent is ready at once
	conf, service, err := p.Load()
	if err != nil {
		return err
	}
	conf.Seed += uint64(seed)
	if s.agent, err = agent.New(conf, service, slog.New(slog.DiscardHandler)); err != nil {
		return err
	}
	at, err := s.agent.Listen()
	if err != nil {
		return err
	}
	addr := at[0]
	if s.o.Protocol != "http" {
		addr = at[1]
	}
	go s.agent.Run(ctx, nil)
	select {
	case <-s.agent.Ready():
	case <-ctx.Done():
		return ctx.Err()
	}
	s.kiosk, err = standin.NewKiosk(s.o.Protocol, addr)
	return err
}

// close ends what open has started, as far as it came.
func (s *stage) close() {
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

// arrived says what a server does with a call: what the story says of the attempt, at the time at which it says so.
func (s *stage) arrived(server int, c standin.Call) standin.Step {
	var call int
	fmt.Sscanf(c.ID, "call-%d", &call)
	s.mu.Lock()
	defer s.mu.Unlock()
	at := attempt{call, s.attempts[call]}
	s.attempts[call]++
	s.got[at] = server
	select {
	case s.changed <- struct{}{}:
	default:
	}
	return standin.Step{Fault: s.plan[at], Until: s.release[at]}
}

// until waits for something that the agent or a server is to do.
func (s *stage) until(ctx context.Context, what string, holds func() (bool, error)) error {
	end := time.NewTimer(s.o.Patience)
	defer end.Stop()
	for {
		if ok, err := holds(); ok || err != nil {
			return err
		}
		select {
		case <-s.changed:
		case <-time.After(200 * time.Microsecond): // the agent is asked what it holds; it tells nobody
		case <-end.C:
			return fmt.Errorf("in %v not seen: %s", s.o.Patience, what)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// bind says which server stands for one of the story's: which is drawn first is chance.
func (s *stage) bind(story, server int) error {
	if have, known := s.bound[story]; known {
		if have != server {
			return errOtherwise
		}
		return nil
	}
	for _, other := range s.bound {
		if other == server {
			return errOtherwise
		}
	}
	s.bound[story] = server
	return nil
}

// step lets one step of the story happen, and waits until the agent has taken it in.
func (s *stage) step(ctx context.Context, e explore.Event, fates []explore.Fate, results *int) error {
	at := attempt{e.Call, e.Attempt}
	switch e.Kind {
	case explore.Ask:
		a := standin.Ask{Method: methods[fates[e.Call].Effect], ID: fmt.Sprint("call-", e.Call), Tenant: standin.Tenants[0],
			Key: "form", Left: s.o.Deadline, Leave: s.leave[e.Call]}
		if a.Method == standin.Record {
			a.Idempotency = "once-" + a.ID
		}
		before := s.agent.Snapshot().Stats.Requests
		go func() { s.answers[e.Call] <- s.kiosk.Ask(a) }()
		return s.until(ctx, "the agent takes the call", func() (bool, error) {
			return s.agent.Snapshot().Stats.Requests > before, nil
		})
	case explore.WriteAll:
		server := -1
		if err := s.until(ctx, "a server gets the attempt", func() (bool, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			got, ok := s.got[at]
			if !ok && len(s.answers[e.Call]) > 0 {
				return false, errOtherwise // it was turned away
			}
			server = got
			return ok, nil
		}); err != nil {
			return err
		}
		return s.bind(e.Server, server)
	case explore.Take:
		if s.plan[at] != standin.Silence {
			s.mu.Lock()
			close(s.release[at])
			s.mu.Unlock()
		}
		*results++
		return s.until(ctx, "the loop takes the end", func() (bool, error) {
			n := 0
			for _, of := range s.agent.Snapshot().Stats.Results {
				n += of
			}
			return n >= *results, nil
		})
	case explore.Leave:
		before := s.agent.Snapshot().Stats.Gone
		close(s.leave[e.Call])
		return s.until(ctx, "the client has left", func() (bool, error) { return s.agent.Snapshot().Stats.Gone > before, nil })
	case explore.Drain, explore.Gone:
		return s.change(ctx, e)
	}
	return nil
}

// change lets the list say something of a server.
func (s *stage) change(ctx context.Context, e explore.Event) error {
	server, known := s.bound[e.Call]
	for i := 0; !known; i++ {
		server = i
		known = s.bind(e.Call, i) == nil
	}
	entry := s.servers[server].Entry()
	entry.State = "terminating"
	if e.Kind == explore.Gone {
		entry.State = "terminated"
	}
	s.list.Tell(entry)
	return s.until(ctx, "the agent knows the list", func() (bool, error) {
		return !slices.Contains(s.agent.Snapshot().Servers, entry.ID), nil
	})
}

// compare holds what came of the calls against the story.
func (s *stage) compare(ctx context.Context, fates []explore.Fate) error {
	var wrong []string
	for i, f := range fates {
		if !f.Asked || f.Left {
			continue
		}
		select {
		case got := <-s.answers[i]:
			if want := kinds[f.Answer]; got.Kind != want {
				wrong = append(wrong, fmt.Sprintf("call %d was %v, not %v (%v)", i, got.Kind, want, got.Err))
			}
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := s.until(ctx, "the agent is at rest", func() (bool, error) { return s.agent.Snapshot().Held == 0, nil }); err != nil {
		return err
	}
	wanted := make([]int, len(fates))
	for at := range s.plan {
		wanted[at.call]++
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, f := range fates {
		if s.attempts[i] != wanted[i] {
			wrong = append(wrong, fmt.Sprintf("servers got call %d %d times, not %d", i, s.attempts[i], wanted[i]))
		}
		if f.Effect == choice.Unsafe {
			effects := 0
			for _, server := range s.servers {
				effects += server.Pod().Effects(fmt.Sprint("call-", i))
			}
			if effects != f.Runs {
				wrong = append(wrong, fmt.Sprintf("call %d had its effect %d times, not %d", i, effects, f.Runs))
			}
		}
	}
	if n := s.agent.Illegal(); n > 0 {
		wrong = append(wrong, fmt.Sprintf("%d illegal steps", n))
	}
	if len(wrong) > 0 {
		return errors.New(strings.Join(wrong, "; "))
	}
	return nil
}

var kinds = map[ledger.Kind]standin.Kind{ledger.Served: standin.Served, ledger.Refused: standin.Refused, ledger.Failed: standin.Failed}
