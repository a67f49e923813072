package explore

import (
	"encoding/json"
	"fmt"
	"slices"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
)

// Story is a story as it is kept in a file.
type Story struct {
	World Config
	Fault string `json:",omitempty"` // that it ends with
	Steps []Telling
}

// Telling is a step in words.
type Telling struct {
	What string
	N    int
	Most bool `json:",omitempty"`
}

// Tell words a story for a file.
func Tell(cfg Config, fault string, steps []Step) ([]byte, error) {
	s := Story{World: cfg, Fault: fault}
	for _, step := range steps {
		s.Steps = append(s.Steps, Telling{What: kindNames[step.Kind], N: int(step.N), Most: step.Most})
	}
	return json.MarshalIndent(s, "", "  ")
}

// Read reads a story from a file.
func Read(text []byte) (Config, []Step, error) {
	var s Story
	if err := json.Unmarshal(text, &s); err != nil {
		return Config{}, nil, err
	}
	if err := s.World.check(); err != nil {
		return Config{}, nil, err
	}
	var steps []Step
	for i, t := range s.Steps {
		kind := slices.Index(kindNames[:], t.What)
		if kind < 0 || t.N < 0 || t.N > 255 {
			return Config{}, nil, fmt.Errorf("step %d: %q of %d is no step", i+1, t.What, t.N)
		}
		steps = append(steps, Step{Kind: Kind(kind), N: uint8(t.N), Most: t.Most})
	}
	return s.World, steps, nil
}

// Event is a step of a story as those outside see it.
type Event struct {
	Step
	Call    int // whose client or attempt it is
	Attempt int // its number among those of the call
	Server  int // that the attempt is made at
}

// Fate is what a story comes to for a call.
type Fate struct {
	Effect choice.Effect
	Asked  bool
	Left   bool
	Answer ledger.Kind // of one that was asked and whose client has not left
	Runs   int         // how often it may have run
}

// Play plays a story and returns what those outside see of it. It must be one to the end that breaks no property.
func Play(cfg Config, story []Step) (events []Event, fates []Fate, err error) {
	w := newWorld(&cfg)
	for i, s := range story {
		if !slices.Contains(w.enabled(), Step{Kind: s.Kind, N: s.N}) {
			return nil, nil, fmt.Errorf("step %d: %v: it is not possible there", i+1, s)
		}
		e := Event{Step: s, Call: int(s.N)}
		if s.Kind >= Take {
			t := w.try(int(s.N))
			e.Call, e.Attempt = t.call, t.Number
			e.Server = slices.IndexFunc(w.servers, func(o choice.Server) bool { return o.ID == t.Server.ID })
		}
		events = append(events, e)
		w.take(s)
	}
	if more := w.enabled(); len(more) > 0 {
		return nil, nil, fmt.Errorf("it does not end: %v may follow", more[0])
	}
	if w.ended(); w.fault != "" {
		return nil, nil, fmt.Errorf("it breaks a property: %s", w.fault)
	}
	for _, c := range w.calls {
		f := Fate{Effect: c.effect, Asked: c.asked, Left: c.left, Runs: len(c.runs)}
		if len(c.answers) > 0 {
			f.Answer = c.answers[0]
		}
		fates = append(fates, f)
	}
	return events, fates, nil
}

// Stories calls yield with each story of a small world to its end in which only some kinds of steps are taken.
func Stories(cfg Config, kinds []Kind, yield func([]Step) bool) {
	newWorld(&cfg).stories(kinds, nil, yield)
}

func (w *world) stories(kinds []Kind, story []Step, yield func([]Step) bool) (goOn bool) {
	if len(w.enabled()) == 0 {
		if end, _ := w.ended(); end {
			return yield(slices.Clone(story))
		}
		return true
	}
	for s, next := range w.successors() {
		if slices.Contains(kinds, s.Kind) && !next.stories(kinds, append(story, s), yield) {
			return false
		}
	}
	return true
}

// plain reports whether every order of steps is tried.
func (c *Config) plain() bool { return c.Plain || c.Lines }

// check says what is wrong with the size of a world.
func (c Config) check() error {
	for name, n := range map[string]int{"servers": c.Servers, "calls": len(c.Calls), "attempts": c.Attempts, "places": c.Places} {
		if n < 1 || n > 8 {
			return fmt.Errorf("%d %s, 1 to 8 are possible", n, name)
		}
	}
	for _, e := range c.Calls {
		if e < choice.Safe || e > choice.Unsafe {
			return fmt.Errorf("effect %d, 0 to 2 is possible", e)
		}
	}
	return nil
}

// Worlds are those that are gone through in tests, by name. Where each call has a place for each of its attempts,
// connections that are kept make no difference; the others tell them apart.
var Worlds = map[string]Config{
	"unsafe":      {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
	"keyed":       {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
	"one-cell":    {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 3, Places: 1, Cells: 1},
	"one-place":   {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Lists: 1, Cells: 1},
	"two-places":  {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 2, Places: 2, Cells: 1},
	"three":       {Servers: 2, Calls: []choice.Effect{choice.Safe, choice.Keyed, choice.Unsafe}, Attempts: 1, Places: 3, Cells: 2},
	"copies":      {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: Losing},
	"withdrawn":   {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: Quick},
	"changes":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 1, Lists: 2, More: true, Cells: 1},
	"reuse":       {Servers: 1, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 1, Places: 1, Lists: 1, More: true, Cells: 1},
	"races":       {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 1, Races: true},
	"race-place":  {Servers: 1, Calls: []choice.Effect{choice.Keyed, choice.Safe}, Attempts: 1, Places: 2, Cells: 1, Races: true},
	"line":        {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Cells: 1, Lines: true},
	"lines":       {Servers: 1, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Lists: 1, Leaves: 1, Cells: 1, Lines: true},
	"line-late":   {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Cells: 1, Past: Quick, Lines: true},
	"ill":         {Servers: 4, Calls: []choice.Effect{choice.Unsafe}, Attempts: 3, Places: 3, Leaves: 1, Cells: 2, Past: Ill},
	"ill-keyed":   {Servers: 4, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Cells: 2, Past: Ill},
	"ill-two":     {Servers: 4, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 1, Places: 1, Cells: 2, Past: Ill},
	"out":         {Servers: 4, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Cells: 2, Past: Out},
	"out-keyed":   {Servers: 4, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Cells: 2, Past: Out},
	"absurd":      {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 3, Places: 2, Cells: 2, Leaves: 1, Past: Absurd},
	"by-hand":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 1, Lists: 1, Words: 2, Cells: 1},
	"back":        {Servers: 1, Calls: []choice.Effect{choice.Safe, choice.Unsafe}, Attempts: 1, Places: 1, Words: 2, Cells: 1},
	"passing":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Leaves: 1, Lists: 1, Cells: 1, Streams: true},
	"two-passing": {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: Losing, Streams: true},
	"late":        {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Leaves: 1, Cells: 1, Past: Losing},
}
