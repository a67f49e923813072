package fleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"ternbeam/internal/settings/conffile"
)

// Scenario describes a fleet and the steps of a run. It is written as JSON as part of a Report.
type Scenario struct {
	Agents   int
	Servers  int
	Seed     uint64
	Known    string        // which list agents have at their first start; one of the Known constants
	Places   string        // what agents are told of their rank and number, a key of placements; empty for the true ones
	MustAsk  time.Duration // within this time an agent must call the list service again
	All      time.Duration // time that the list service needs to answer all agents
	Patience time.Duration // time after which that service abandons a waiting call
	Pushed   bool          // lists are pushed to agents: calls need no work, and agents count as notified of what the service has
	Kiosks   KioskOptions
	Server   ServerOptions
	Cold     bool // servers start cold
	Talk     bool // agents exchange lists
	Links    LinkOptions
	Stale    time.Duration // maximum time that an agent may be behind the list; 0 for no limit
	Steps    []Step
}

// Step is a set of faults and the expected recovery from them. The first step is the start of all agents.
type Step struct {
	Name   string
	Limit  time.Duration // maximum time to wait for the recovery
	Stay   time.Duration // minimum time for which the step lasts after its faults have ended
	Served bool          // agents have recovered when each has served a call, not when each holds a watch
	Within time.Duration // limit of the recovery time; 0 for none
	Calls  float64       // limit of the calls to the list service, per agent; 0 for none
	Even   float64       // limit of the variation of the calls per server, as a multiple of that of random picks; 0 for none
	Tried  float64       // limit of the calls per second at each silent server, on average after the first 5 s; 0 for none
	Faults []Action
}

// Action is a fault to inject.
type Action struct {
	At     time.Duration // time after the start of the step
	Kind   string
	Share  float64       // share of the agents or servers that are affected, drawn with the scenario's seed
	Group  string        // faults of one group affect the same agents
	Others bool          // this one affects all agents but the group
	For    time.Duration // how long it lasts
	How    Mode          // mode of the list service
	Late   time.Duration // time to an answer if How is Late; if How is Full, Share limits the watches, as a share of the agents
}

// The kinds of faults.
const (
	Kill      = "kill" // SIGKILL; the agent starts again with the same name when the fault ends
	Stop      = "stop" // SIGSTOP, and SIGCONT when the fault ends
	ListFault = "list" // the list service is in another mode than Up
	Partition = "cut"  // datagrams between the affected agents and the others are lost

	SilenceServers = "silent" // servers accept connections and calls, but never answer
	CrashServers   = "crash"  // servers refuse connections; they start again cold when the fault ends
	DrainServers   = "drain"  // servers are marked draining in the list; when the fault ends, they start again cold and are listed as in service
)

// isServerFault reports whether faults of a kind affect servers, not agents.
func isServerFault(kind string) bool {
	return kind == SilenceServers || kind == CrashServers || kind == DrainServers
}

// The lists that agents may have at their first start.
const (
	KnownWhole = "whole" // the current list
	KnownOld   = "old"   // an older version of the current list
	KnownNone  = "none"  // no servers
	KnownWrong = "wrong" // an older version; half of its servers no longer exist
)

// placements has, by name in scenarios, functions that return what an agent is told: its rank, and the number of agents. Their
// arguments are the true rank and the true number.
var placements = map[string]func(agent, agents int) (rank, total int){
	"":        func(i, n int) (int, int) { return i, n },
	"none":    func(_, n int) (int, int) { return n, n }, // a rank that is out of range
	"tenth":   func(i, n int) (int, int) { return i, max(1, n/10) },
	"tenfold": func(i, n int) (int, int) { return i, n * 10 },
	"pairs":   func(i, n int) (int, int) { return i / 2 * 2, n },                 // each rank is given to two agents
	"sides":   func(i, n int) (int, int) { return i % max(1, n/2), max(1, n/2) }, // two halves, each of which believes to be all agents
	"old":     func(i, n int) (int, int) { return i, n / (1 + i%2) },             // half of the agents know an old number, half as large
}

// setPlaces sets what agents are told of their rank and number, by its name in scenarios.
func (s *Scenario) setPlaces(name string) error {
	if s.Places = name; placements[name] == nil {
		return fmt.Errorf("must be one of %s, or omitted", strings.Join(slices.Sorted(maps.Keys(placements))[1:], ", "))
	}
	return nil
}

// scenarioFile is the TOML form of a Scenario.
type scenarioFile struct {
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

// maxSteps limits the steps of a scenario, and the faults of a step.
const maxSteps = 64

// Parse decodes a scenario from TOML. The error names all problems by line and key.
func Parse(text []byte) (*Scenario, error) {
	var in scenarioFile
	f := conffile.Read(text, &in)
	s := &Scenario{Agents: 12, Servers: 4, Known: KnownWhole, MustAsk: 10 * time.Second, All: time.Second, Patience: 2 * time.Second}
	f.Int("agents", in.Agents, 1, 5000, &s.Agents)
	f.Int("servers", in.Servers, 1, 5000, &s.Servers)
	seed := 1
	f.Int("seed", in.Seed, 0, 1<<31, &seed)
	s.Seed = uint64(seed)
	f.Duration("must_ask_s", in.MustAskS, time.Second, 1, 3600, &s.MustAsk)
	f.Duration("list.all_s", in.List.AllS, time.Second, 0.001, 3600, &s.All)
	f.Duration("list.patience_s", in.List.PatienceS, time.Second, 0.01, 3600, &s.Patience)
	if s.Pushed = in.List.Pushed; s.Pushed && (in.List.AllS != nil || in.MustAskS != nil) {
		f.Problem("list.pushed", "agents do not call for a list that is pushed: all_s and must_ask_s have no effect")
	}
	if in.Known != "" {
		if s.Known = in.Known; !slices.Contains([]string{KnownWhole, KnownOld, KnownNone, KnownWrong}, s.Known) {
			f.Problem("known", "must be whole, old, none or wrong")
		}
	}
	if err := s.setPlaces(in.Places); err != nil {
		f.Problem("places", "%v", err)
	}
	s.Kiosks = KioskOptions{Left: 2 * time.Second, Keyed: 0.3}
	f.Float("calls.rate", in.Calls.Rate, 0, 1000, &s.Kiosks.Rate)
	f.Duration("calls.left_ms", in.Calls.LeftMS, time.Millisecond, 10, 60_000, &s.Kiosks.Left)
	f.Float("calls.keyed", in.Calls.Keyed, 0, 1, &s.Kiosks.Keyed)
	f.Float("calls.unsafe", in.Calls.Unsafe, 0, 1, &s.Kiosks.Unsafe)
	if s.Kiosks.Keyed+s.Kiosks.Unsafe > 1 {
		f.Problem("calls.unsafe", "calls.keyed and calls.unsafe together must not exceed 1")
	}
	s.Talk = in.Peers.Talk
	f.Float("peers.loss", in.Peers.Loss, 0, 1, &s.Links.Loss)
	f.Float("peers.twice", in.Peers.Twice, 0, 1, &s.Links.Twice)
	f.Float("peers.late", in.Peers.Late, 0, 1, &s.Links.Late)
	f.Duration("peers.delay_ms", in.Peers.DelayMS, time.Millisecond, 0, 60_000, &s.Links.Delay)
	f.Duration("peers.stale_s", in.Peers.StaleS, time.Second, 0, 3600, &s.Stale)
	s.Cold = in.Server.Cold
	s.Server = ServerOptions{Capacity: 100, Service: 20 * time.Millisecond, Queue: time.Second, ColdFrom: 0.33, ColdFor: 8 * time.Second, Push: 3,
		FallIn: 3 * time.Second, Reports: in.Server.Reports == nil || *in.Server.Reports}
	f.Float("server.capacity", in.Server.Capacity, 0.1, 1e5, &s.Server.Capacity)
	f.Duration("server.service_ms", in.Server.ServiceMS, time.Millisecond, 0, 60_000, &s.Server.Service)
	f.Duration("server.queue_ms", in.Server.QueueMS, time.Millisecond, 0, 60_000, &s.Server.Queue)
	f.Float("server.cold_from", in.Server.ColdFrom, 0.01, 1, &s.Server.ColdFrom)
	f.Duration("server.cold_s", in.Server.ColdS, time.Second, 0, 3600, &s.Server.ColdFor)
	f.Float("server.push", in.Server.Push, 1, 1000, &s.Server.Push)
	f.Duration("server.push_s", in.Server.PushS, time.Second, 0.1, 60, &s.Server.FallIn)
	if len(in.Step) == 0 || len(in.Step) > maxSteps {
		f.Problem("step", "1 to %d steps are required, there are %d", maxSteps, len(in.Step))
	}
	for i, step := range in.Step {
		key := fmt.Sprintf("step.%d", i)
		out := Step{Name: step.Name, Limit: 30 * time.Second, Served: step.Served}
		if out.Served && s.Kiosks.Rate == 0 {
			f.Problem(key+".served", "there are no calls: calls.rate is 0")
		}
		f.Duration(key+".stay_s", step.StayS, time.Second, 0, 3600, &out.Stay)
		if out.Name == "" {
			f.Problem(key+".name", "is required")
		}
		f.Duration(key+".limit_s", step.LimitS, time.Second, 0.1, 3600, &out.Limit)
		f.Duration(key+".within", step.Within, s.All, 0, 1000, &out.Within)
		f.Float(key+".calls", step.Calls, 0, 1e6, &out.Calls)
		f.Float(key+".even", step.Even, 1, 1000, &out.Even)
		f.Float(key+".tried", step.Tried, 0, 1e6, &out.Tried)
		if len(step.Fault) > maxSteps {
			f.Problem(key+".fault", "at most %d faults are allowed, there are %d", maxSteps, len(step.Fault))
		}
		for j, fault := range step.Fault {
			key := fmt.Sprintf("%s.fault.%d", key, j)
			a := Action{Kind: fault.Kind, Share: 1, Group: fault.Group, Others: fault.Others}
			f.Duration(key+".at_s", fault.AtS, time.Second, 0, 3600, &a.At)
			f.Duration(key+".late_ms", fault.LateMS, time.Millisecond, 0, 60_000, &a.Late)
			f.Duration(key+".for_s", fault.ForS, time.Second, 0, 3600, &a.For)
			f.Float(key+".share", fault.Share, 0, 1, &a.Share)
			switch a.Kind {
			case Kill, Stop, Partition, SilenceServers, CrashServers, DrainServers:
				if a.Kind == Partition && !s.Talk {
					f.Problem(key+".kind", "agents do not exchange lists: peers.talk is not true")
				}
				if fault.How != "" {
					f.Problem(key+".how", "allowed only for kind list")
				}
			case ListFault:
				if a.How = modesByName[fault.How]; a.How == Up {
					f.Problem(key+".how", "must be late, breaks, old, full, refuses, resets, silent or hushes")
				}
			default:
				f.Problem(key+".kind", "must be kill, stop, cut, list, silent, crash or drain")
			}
			out.Faults = append(out.Faults, a)
		}
		s.Steps = append(s.Steps, out)
	}
	return s, f.Err()
}

// Override replaces figures of the scenario by those that are given: not 0, nil or empty. It returns an error for unknown places.
func (s *Scenario) Override(agents, servers int, all, rate *float64, seed *uint64, places string) error {
	if places != "" {
		if err := s.setPlaces(places); err != nil {
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
		before := s.All
		s.All = time.Duration(*all * float64(time.Second))
		for i := range s.Steps { // Within is given as a multiple of All
			s.Steps[i].Within = time.Duration(float64(s.Steps[i].Within) / float64(before) * float64(s.All))
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
