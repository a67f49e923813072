package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ternbeam/internal/settings/conffile"
)

// Scenario is what a fleet goes through.
type Scenario struct {
	Agents   int
	Servers  int
	Seed     uint64
	Known    string        // what agents know at their first start
	Places   string        // what they are told of their place; the truth where empty
	MustAsk  time.Duration // within which the list must be asked for
	All      time.Duration // what the list service needs for all agents
	Patience time.Duration // of that service
	Pushed   bool          // it stands beside each agent: asking costs nothing, and what it has counts as told
	Kiosks   KioskOptions
	Server   ServerOptions
	Cold     bool // the servers have just started
	Talk     bool // lists pass among agents
	Links    LinkOptions
	Stale    time.Duration // no agent may be so much behind the list; 0 for any
	Steps    []Step
}

// Step is some faults, and the recovery from them. The first step is the cold start.
type Step struct {
	Name   string
	Limit  time.Duration // for the recovery
	Stay   time.Duration // the step lasts so long from then on, at the least, that its faults are over
	Served bool          // the recovery is over when every agent has served a call, not when each holds a watch
	Within time.Duration // the recovery must take no longer; 0 for any time
	Calls  float64       // and no more calls to the list service, a fleet's agent; 0 for any number
	Even   float64       // the calls of servers vary by so many times what chance would make of single calls at most; 0 for any
	Tried  float64       // calls a second that each silent server gets at most, on average from the fifth second on; 0 for any
	Faults []Action
}

// Action is one fault.
type Action struct {
	At     time.Duration // after the step begins
	Kind   string
	Share  float64       // of the agents or servers that it hits, drawn by the scenario's seed
	Group  string        // faults of one group hit the same agents
	Others bool          // but this one all others
	For    time.Duration // it lasts
	How    Mode          // of the list service
	Late   time.Duration // what it takes then, where How is Late; where that is Full, Share is of the watches that it takes
}

// The kinds of faults.
const (
	Kill = "kill" // SIGKILL; the agent starts again under its name when the fault ends
	Stop = "stop" // SIGSTOP, and SIGCONT when it ends
	Away = "list" // the list service is not Up
	Cut  = "cut"  // datagrams between these agents and the others are lost

	Mute  = "silent" // servers let connect and answer nothing
	Crash = "crash"  // servers refuse connections, and start again cold when it ends
	Drain = "drain"  // the list says that servers drain; when it ends they start again cold, and it says so
)

// hitsServers reports whether a kind of fault is one of servers.
func hitsServers(kind string) bool { return kind == Mute || kind == Crash || kind == Drain }

// What agents know at their first start.
const (
	KnownWhole = "whole"
	KnownOld   = "old"   // an older version of the list
	KnownNone  = "none"  // no server
	KnownWrong = "wrong" // an older version, half of whose servers are no more
)

// places are what agents may be told of their place and number. Each gives both for an agent of so many.
var places = map[string]func(agent, agents int) (me, number int){
	"":        func(i, n int) (int, int) { return i, n },
	"none":    func(_, n int) (int, int) { return n, n }, // of no agent
	"tenth":   func(i, n int) (int, int) { return i, max(1, n/10) },
	"tenfold": func(i, n int) (int, int) { return i, n * 10 },
	"pairs":   func(i, n int) (int, int) { return i / 2 * 2, n },                 // two have each place
	"sides":   func(i, n int) (int, int) { return i % max(1, n/2), max(1, n/2) }, // two sides, each of which thinks that it is all
	"old":     func(i, n int) (int, int) { return i, n / (1 + i%2) },             // half of them know an old number, half as large
}

// tell sets what the agents are told.
func (s *Scenario) tell(name string) error {
	if s.Places = name; places[name] == nil {
		return fmt.Errorf("must be one of %s, or not be given", strings.Join(slices.Sorted(maps.Keys(places))[1:], ", "))
	}
	return nil
}

type file struct {
	Agents   *int     `toml:"agents"`
	Servers  *int     `toml:"servers"`
	Seed     *int     `toml:"seed"`
	Known    string   `toml:"known"`
	Places   string   `toml:"places"`
	MustAskS *float64 `toml:"must_ask_s"`
	List     struct {
		AllS      *float64 `toml:"all_s"`
		PatienceS *float64 `toml:"patience_s"`
		Pushed    bool     `toml:"pushed"`
	} `toml:"list"`
	Calls struct {
		Rate   *float64 `toml:"rate"`
		LeftMS *float64 `toml:"left_ms"`
		Keyed  *float64 `toml:"keyed"`
		Unsafe *float64 `toml:"unsafe"`
	} `toml:"calls"`
	Peers struct {
		Talk    bool     `toml:"talk"`
		Loss    *float64 `toml:"loss"`
		Twice   *float64 `toml:"twice"`
		Late    *float64 `toml:"late"`
		DelayMS *float64 `toml:"delay_ms"`
		StaleS  *float64 `toml:"stale_s"`
	} `toml:"peers"`
	Server struct {
		Capacity  *float64 `toml:"capacity"`
		ServiceMS *float64 `toml:"service_ms"`
		QueueMS   *float64 `toml:"queue_ms"`
		Cold      bool     `toml:"cold"`
		Reports   *bool    `toml:"reports"`
		ColdFrom  *float64 `toml:"cold_from"`
		ColdS     *float64 `toml:"cold_s"`
		Push      *float64 `toml:"push"`
		PushS     *float64 `toml:"push_s"`
	} `toml:"server"`
	Step []struct {
		Name   string   `toml:"name"`
		LimitS *float64 `toml:"limit_s"`
		StayS  *float64 `toml:"stay_s"`
		Served bool     `toml:"served"`
		Within *float64 `toml:"within"`
		Calls  *float64 `toml:"calls"`
		Even   *float64 `toml:"even"`
		Tried  *float64 `toml:"tried"`
		Fault  []struct {
			AtS    *float64 `toml:"at_s"`
			Kind   string   `toml:"kind"`
			Share  *float64 `toml:"share"`
			Group  string   `toml:"group"`
			Others bool     `toml:"others"`
			ForS   *float64 `toml:"for_s"`
			How    string   `toml:"how"`
			LateMS *float64 `toml:"late_ms"`
		} `toml:"fault"`
	} `toml:"step"`
}

const mostSteps = 64

// Parse reads a scenario.
func Parse(text []byte) (*Scenario, error) {
	var in file
	f := conffile.Read(text, &in)
	s := &Scenario{Agents: 12, Servers: 4, Known: KnownWhole, MustAsk: 10 * time.Second, All: time.Second, Patience: 2 * time.Second}
	f.Count("agents", in.Agents, 1, 5000, &s.Agents)
	f.Count("servers", in.Servers, 1, 5000, &s.Servers)
	seed := 1
	f.Count("seed", in.Seed, 0, 1<<31, &seed)
	s.Seed = uint64(seed)
	f.Span("must_ask_s", in.MustAskS, time.Second, 1, 3600, &s.MustAsk)
	f.Span("list.all_s", in.List.AllS, time.Second, 0.001, 3600, &s.All)
	f.Span("list.patience_s", in.List.PatienceS, time.Second, 0.01, 3600, &s.Patience)
	if s.Pushed = in.List.Pushed; s.Pushed && (in.List.AllS != nil || in.MustAskS != nil) {
		f.Problem("list.pushed", "a list that is pushed is not asked for: all_s and must_ask_s mean nothing")
	}
	if in.Known != "" {
		if s.Known = in.Known; !slices.Contains([]string{KnownWhole, KnownOld, KnownNone, KnownWrong}, s.Known) {
			f.Problem("known", "must be whole, old, none or wrong")
		}
	}
	if err := s.tell(in.Places); err != nil {
		f.Problem("places", "%v", err)
	}
	s.Kiosks = KioskOptions{Left: 2 * time.Second, Keyed: 0.3}
	f.Share("calls.rate", in.Calls.Rate, 0, 1000, &s.Kiosks.Rate)
	f.Span("calls.left_ms", in.Calls.LeftMS, time.Millisecond, 10, 60_000, &s.Kiosks.Left)
	f.Share("calls.keyed", in.Calls.Keyed, 0, 1, &s.Kiosks.Keyed)
	f.Share("calls.unsafe", in.Calls.Unsafe, 0, 1, &s.Kiosks.Unsafe)
	if s.Kiosks.Keyed+s.Kiosks.Unsafe > 1 {
		f.Problem("calls.unsafe", "with those that have a key these are more than all")
	}
	s.Talk = in.Peers.Talk
	f.Share("peers.loss", in.Peers.Loss, 0, 1, &s.Links.Loss)
	f.Share("peers.twice", in.Peers.Twice, 0, 1, &s.Links.Twice)
	f.Share("peers.late", in.Peers.Late, 0, 1, &s.Links.Late)
	f.Span("peers.delay_ms", in.Peers.DelayMS, time.Millisecond, 0, 60_000, &s.Links.Delay)
	f.Span("peers.stale_s", in.Peers.StaleS, time.Second, 0, 3600, &s.Stale)
	s.Cold = in.Server.Cold
	s.Server = ServerOptions{Capacity: 100, Service: 20 * time.Millisecond, Queue: time.Second, ColdFrom: 0.33, ColdFor: 8 * time.Second, Push: 3,
		FallIn: 3 * time.Second, Reports: in.Server.Reports == nil || *in.Server.Reports}
	f.Share("server.capacity", in.Server.Capacity, 0.1, 1e5, &s.Server.Capacity)
	f.Span("server.service_ms", in.Server.ServiceMS, time.Millisecond, 0, 60_000, &s.Server.Service)
	f.Span("server.queue_ms", in.Server.QueueMS, time.Millisecond, 0, 60_000, &s.Server.Queue)
	f.Share("server.cold_from", in.Server.ColdFrom, 0.01, 1, &s.Server.ColdFrom)
	f.Span("server.cold_s", in.Server.ColdS, time.Second, 0, 3600, &s.Server.ColdFor)
	f.Share("server.push", in.Server.Push, 1, 1000, &s.Server.Push)
	f.Span("server.push_s", in.Server.PushS, time.Second, 0.1, 60, &s.Server.FallIn)
	if len(in.Step) == 0 || len(in.Step) > mostSteps {
		f.Problem("step", "1 to %d steps are needed, there are %d", mostSteps, len(in.Step))
	}
	for i, step := range in.Step {
		at := fmt.Sprintf("step.%d", i)
		out := Step{Name: step.Name, Limit: 30 * time.Second, Served: step.Served}
		if out.Served && s.Kiosks.Rate == 0 {
			f.Problem(at+".served", "nobody asks: calls.rate is 0")
		}
		f.Span(at+".stay_s", step.StayS, time.Second, 0, 3600, &out.Stay)
		if out.Name == "" {
			f.Problem(at+".name", "must be given")
		}
		f.Span(at+".limit_s", step.LimitS, time.Second, 0.1, 3600, &out.Limit)
		f.Span(at+".within", step.Within, s.All, 0, 1000, &out.Within)
		f.Share(at+".calls", step.Calls, 0, 1e6, &out.Calls)
		f.Share(at+".even", step.Even, 1, 1000, &out.Even)
		f.Share(at+".tried", step.Tried, 0, 1e6, &out.Tried)
		if len(step.Fault) > mostSteps {
			f.Problem(at+".fault", "%d faults at most, there are %d", mostSteps, len(step.Fault))
		}
		for j, fault := range step.Fault {
			at := fmt.Sprintf("%s.fault.%d", at, j)
			a := Action{Kind: fault.Kind, Share: 1, Group: fault.Group, Others: fault.Others}
			f.Span(at+".at_s", fault.AtS, time.Second, 0, 3600, &a.At)
			f.Span(at+".late_ms", fault.LateMS, time.Millisecond, 0, 60_000, &a.Late)
			f.Span(at+".for_s", fault.ForS, time.Second, 0, 3600, &a.For)
			f.Share(at+".share", fault.Share, 0, 1, &a.Share)
			switch a.Kind {
			case Kill, Stop, Cut, Mute, Crash, Drain:
				if a.Kind == Cut && !s.Talk {
					f.Problem(at+".kind", "agents don't talk: peers.talk is not true")
				}
				if fault.How != "" {
					f.Problem(at+".how", "only a fault of the list service has one")
				}
			case Away:
				if a.How = modes[fault.How]; a.How == Up {
					f.Problem(at+".how", "must be late, breaks, old, full, refuses, resets, silent or hushes")
				}
			default:
				f.Problem(at+".kind", "must be kill, stop, cut, list, silent, crash or drain")
			}
			out.Faults = append(out.Faults, a)
		}
		s.Steps = append(s.Steps, out)
	}
	return s, f.Err()
}

// Change puts other figures in place of those of the file, where they are given.
func (s *Scenario) Change(agents, servers int, all, rate *float64, seed *uint64, told string) error {
	if told != "" {
		if err := s.tell(told); err != nil {
			return fmt.Errorf("places: %w", err)
		}
	}
	if agents > 0 {
		s.Agents = agents
	}
	if servers > 0 {
		s.Servers = servers
	}
	if all != nil {
		of := s.All
		s.All = time.Duration(*all * float64(time.Second))
		for i := range s.Steps { // which are told in multiples of it
			s.Steps[i].Within = time.Duration(float64(s.Steps[i].Within) / float64(of) * float64(s.All))
		}
	}
	if rate != nil {
		s.Kiosks.Rate = *rate
	}
	if seed != nil {
		s.Seed = *seed
	}
	return nil
}
