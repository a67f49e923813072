package explore

import (
	"encoding/json"
	"fmt"
	"slices"

	"ternbeam/choice"
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
	"unsafe":     {Servers: 2, Calls: []choice.Effect{choice.Unsafe}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
	"keyed":      {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Lists: 1, Leaves: 1, Cells: 2},
	"one-cell":   {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 3, Places: 1, Cells: 1},
	"one-place":  {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 1, Places: 1, Lists: 1, Cells: 1},
	"two-places": {Servers: 1, Calls: []choice.Effect{choice.Unsafe, choice.Safe}, Attempts: 2, Places: 2, Cells: 1},
	"three":      {Servers: 2, Calls: []choice.Effect{choice.Safe, choice.Keyed, choice.Unsafe}, Attempts: 1, Places: 3, Cells: 2},
	"copies":     {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: Losing},
	"withdrawn":  {Servers: 2, Calls: []choice.Effect{choice.Keyed}, Attempts: 2, Places: 2, Leaves: 1, Cells: 1, Past: Quick},
	"late":       {Servers: 2, Calls: []choice.Effect{choice.Safe}, Attempts: 2, Places: 1, Leaves: 1, Cells: 1, Past: Losing},
}
