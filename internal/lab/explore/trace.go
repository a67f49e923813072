package explore

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
)

// TraceFile is a trace as stored in a file.
type TraceFile struct {
	World Config
	Fault string `json:",omitempty"` // the property that is violated at the end
	Steps []TraceStep
}

// TraceStep is a step as stored in a file.
type TraceStep struct {
	What string // name of the step's kind
	N    int
	Most bool `json:",omitempty"`
}

// EncodeTrace encodes a trace for a file, as JSON.
func EncodeTrace(cfg Config, fault string, steps []Step) ([]byte, error) {
	s := TraceFile{World: cfg, Fault: fault}
	for _, step := range steps {
		s.Steps = append(s.Steps, TraceStep{What: kindNames[step.Kind], N: int(step.N), Most: step.Most})
	}
	return json.MarshalIndent(s, "", "  ")
}

// DecodeTrace decodes a trace from the content of a file.
func DecodeTrace(text []byte) (Config, []Step, error) {
	var s TraceFile
	if err := json.Unmarshal(text, &s); err != nil {
		return Config{}, nil, err
	}
	if err := s.World.validate(); err != nil {
		return Config{}, nil, err
	}
	var steps []Step
	for i, t := range s.Steps {
		kind := slices.Index(kindNames[:], t.What)
		if kind < 0 || t.N < 0 || t.N > 255 {
			return Config{}, nil, fmt.Errorf("step %d: %q with N %d is not a valid step", i+1, t.What, t.N)
		}
		steps = append(steps, Step{Kind: StepKind(kind), N: uint8(t.N), Most: t.Most})
	}
	return s.World, steps, nil
}

// Event is a step of a trace with the call, attempt and server that it concerns.
type Event struct {
	Step
	Call    int // the call whose client or attempt takes the step; for a change of the list, the server
	Attempt int // number of the attempt within its call
	Server  int // server of the attempt
}

// CallOutcome is the outcome of a call at the end of a trace.
type CallOutcome struct {
	Effect choice.Effect
	Asked  bool                 // its client has sent it
	Left   bool                 // its client has disconnected
	Answer calltrack.AnswerKind // if Asked and not Left
	Runs   int                  // how often a server may have executed it
}

// Play plays a trace and returns its events and the outcomes of the calls. The trace must lead to an end state and
// violate no property.
func Play(cfg Config, trace []Step) (events []Event, outcomes []CallOutcome, err error) {
	w := newWorld(&cfg)
	for i, s := range trace {
		if !slices.Contains(w.enabled(), Step{Kind: s.Kind, N: s.N}) {
			return nil, nil, fmt.Errorf("step %d: %v: not possible in this state", i+1, s)
		}
		e := Event{Step: s, Call: int(s.N)}
		if s.Kind >= TakeEnd {
			t := w.attemptByIndex(int(s.N))
			e.Call, e.Attempt = t.call, t.Number
			e.Server = slices.IndexFunc(w.servers, func(o choice.Server) bool { return o.ID == t.Server.ID })
		}
		events = append(events, e)
		w.apply(s)
	}
	if more := w.enabled(); len(more) > 0 {
		return nil, nil, fmt.Errorf("the trace is not complete: %v is possible next", more[0])
	}
	if w.atEnd(); w.fault != "" {
		return nil, nil, fmt.Errorf("the trace violates a property: %s", w.fault)
	}
	for _, c := range w.calls {
		f := CallOutcome{Effect: c.effect, Asked: c.arrived, Left: c.disconnected, Runs: len(c.runs)}
		if len(c.answers) > 0 {
			f.Answer = c.answers[0]
		}
		outcomes = append(outcomes, f)
	}
	return events, outcomes, nil
}

// ForEachTrace calls yield with each trace of a small world to its end that consists only of the given kinds of steps,
// until yield returns false.
func ForEachTrace(cfg Config, kinds []StepKind, yield func([]Step) bool) {
	newWorld(&cfg).forEachTrace(kinds, nil, yield)
}

func (w *world) forEachTrace(kinds []StepKind, trace []Step, yield func([]Step) bool) (goOn bool) {
	if len(w.enabled()) == 0 {
		if end, _ := w.atEnd(); end {
			return yield(slices.Clone(trace))
		}
		return true
	}
	for s, next := range w.successors() {
		if slices.Contains(kinds, s.Kind) && !next.forEachTrace(kinds, append(trace, s), yield) {
			return false
		}
	}
	return true
}

// allOrders reports whether every order of steps is tried, without reduction.
func (c *Config) allOrders() bool { return c.Plain || c.Lines }

// validate returns an error if the size of the world is out of range.
func (c Config) validate() error {
	for name, n := range map[string]int{"servers": c.Servers, "calls": len(c.Calls), "attempts": c.Attempts, "places": c.Places} {
		if n < 1 || n > 8 {
			return fmt.Errorf("%d %s: must be 1 to 8", n, name)
		}
	}
	if c.Unlisted < 0 || c.Unlisted > c.Servers || c.Unlisted > 0 && c.Lists > 0 {
		return fmt.Errorf("%d unlisted servers: at most all, and without changes of the list", c.Unlisted)
	}
	if !slices.Contains([]Replacement{NotReplaced, JustReplaced, ReplacedListed}, c.Replaced) || c.Replaced != NotReplaced && (c.Unlisted > 0 || c.Lists > 0) {
		return fmt.Errorf("replaced %q: not known, or with unlisted servers or changes of the list", c.Replaced)
	}
	if c.Begins && (c.Lines || c.Streams) {
		return errors.New("answers that start to be held: not with multiplexed connections or relayed answers")
	}
	for _, e := range c.Calls {
		if e < choice.Safe || e > choice.Unsafe {
			return fmt.Errorf("effect %d: must be 0 to 2", e)
		}
	}
	return nil
}

// Worlds holds the worlds that the tests explore, by name. If there is a place for each attempt of each call, kept
// connections are not part of a state's key; in the other worlds they are.
var Worlds = map[string]Config{
	"unsafe":      {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
	"keyed":       {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
	"one-cell":    {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 3, Places: 1, Cells: 1},
	"one-place":   {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Lists: 1, Cells: 1},
	"two-places":  {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 2, Places: 2, Cells: 1},
	"three":       {Servers: 2, Calls: []choice.Effect{choice.Safe, choice.Keyed, choice.Unsafe}, Attempts: 1, Places: 3, Cells: 2},
	"copies":      {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: LostCalls},
	"withdrawn":   {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: QuickServers},
	"changes":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 1, Lists: 2, More: true, Cells: 1},
	"reuse":       {Servers: 1, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 1, Places: 1, Lists: 1, More: true, Cells: 1},
	"races":       {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 1, Races: true},
	"race-place":  {Servers: 1, Calls: []choice.Effect{choice.Keyed, choice.Safe}, Attempts: 1, Places: 2, Cells: 1, Races: true},
	"line":        {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Cells: 1, Lines: true},
	"lines":       {Servers: 1, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Lists: 1, Leaves: 1, Cells: 1, Lines: true},
	"line-late":   {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Cells: 1, Past: QuickServers, Lines: true},
	"ill":         {Servers: 4, Calls: []choice.Effect{choice.Unsafe}, Attempts: 3, Places: 3, Leaves: 1, Cells: 2, Past: AllFailing},
	"ill-keyed":   {Servers: 4, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2, Past: AllFailing},
	"ill-two":     {Servers: 4, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 1, Places: 1, Cells: 2, Past: AllFailing},
	"out":         {Servers: 4, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Cells: 2, Past: NoCapacity},
	"out-keyed":   {Servers: 4, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Cells: 2, Past: NoCapacity},
	"absurd":      {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 3, Places: 2, Cells: 2, Leaves: 1, Past: InvalidMemory},
	"by-hand":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 1, Lists: 1, Words: 2, Cells: 1},
	"back":        {Servers: 1, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 1, Places: 1, Words: 2, Cells: 1},
	"passing":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Leaves: 1, Lists: 1, Cells: 1, Streams: true},
	"two-passing": {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: LostCalls, Streams: true},
	"sources":     {Servers: 3, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2, Unlisted: 2},
	"replaced":    {Servers: 3, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2, Replaced: JustReplaced},
	"replaced-2":  {Servers: 3, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 2, Past: LostCalls, Replaced: JustReplaced},
	"taken-over":  {Servers: 3, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2, Replaced: ReplacedListed},
	"begun":       {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: QuickServers, Begins: true},
	"late":        {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Leaves: 1, Cells: 1, Past: LostCalls},
}
