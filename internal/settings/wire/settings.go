package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ternbeam/choice"
)

// bootInfo is the start-up object of an instance, as far as the module has a use for it.
type bootInfo struct {
	Balancers int
	Classes   []struct {
		Name, Effect, Group         string
		AimNs, DeadlineNs, WindowNs int64
		Worth                       float64
	}
	Ceilings struct {
		MayCancel, ParallelTries, Probes, RetryAfter bool
		MaxRetryAfterNs                              int64
		MostTries                                    int
	}
	Discovery string
	Domain    struct{ WarmKeys bool }
	Prices    struct{ CrossZone, Probe float64 }
	Report    struct{ Fields []string }
	Rules     struct {
		ColdFrom            float64
		ColdNs, MustAskInNs int64
		DrainGraceNs        int64
	}
	TickNs     int64
	WeightKind string
	Me, Zone   int
}

// Settings are what the object says.
type Settings struct {
	Module choice.Settings
	List   List
	Fields []string // the names of the figures in a load report, in their order
}

// List is what it says of how the list of servers is asked for. It has the form of asking.Settings.
type List struct {
	Shared     bool
	Agents, Me int
	MustAsk    time.Duration
	Grace      time.Duration
}

var (
	effects = []string{choice.Safe: "repeatable", choice.Keyed: "by_key", choice.Unsafe: "once"}
	groups  = []string{choice.GroupAll: "all", choice.GroupZone: "zone", choice.GroupCell: "cell"}
)

// ParseSettings reads the settings object of an instance. The simulator's adapter and the real agent both read it here.
func ParseSettings(data []byte) (Settings, error) {
	var boot bootInfo
	if err := json.Unmarshal(data, &boot); err != nil {
		return Settings{}, err
	}
	module, err := boot.settings()
	return Settings{Module: module, Fields: boot.Report.Fields, List: List{Shared: boot.Discovery == "subscribe",
		Agents: boot.Balancers, Me: boot.Me, MustAsk: time.Duration(boot.Rules.MustAskInNs), Grace: time.Duration(boot.Rules.DrainGraceNs)}}, err
}

// KeyError is what is wrong with one key of the settings, such as Classes.0.Effect.
type KeyError struct {
	Key string
	Err error
}

func (e *KeyError) Error() string { return e.Err.Error() }

// Unwrap returns what is wrong.
func (e *KeyError) Unwrap() error { return e.Err }

// Sane reports whether a figure of a load report can be true.
func Sane(x float64) bool {
	const most = 1e6           // more than any can be
	return x >= 0 && x <= most // and no NaN
}

// SetField puts a named figure into a load report; names that the module has no use for are passed over.
func SetField(r *choice.Report, name string, x float64) {
	switch name {
	case "util":
		r.Util = x
	case "qps":
		r.Rate = x
	case "eps":
		r.Errors = x
	case "inflight":
		r.InFlight = x
	case "queue":
		r.Queue = x
	}
}

func (b *bootInfo) settings() (choice.Settings, error) {
	s := choice.Settings{
		Balancers:      b.Balancers,
		Tick:           time.Duration(b.TickNs),
		Zone:           b.Zone,
		CrossZonePrice: b.Prices.CrossZone,
		ListWeights:    b.WeightKind == "nominal" || b.WeightKind == "rough",
		WarmKeys:       b.Domain.WarmKeys,
		Probes:         b.Ceilings.Probes,
		ProbePrice:     b.Prices.Probe,
		ReportsLoad:    slices.Contains(b.Report.Fields, "inflight"),
		MaxAttempts:    b.Ceilings.MostTries,
		ParallelCopies: b.Ceilings.ParallelTries,
		CanCancel:      b.Ceilings.MayCancel,
		ColdFrom:       b.Rules.ColdFrom,
		ColdFor:        time.Duration(b.Rules.ColdNs),
	}
	if b.Ceilings.RetryAfter {
		s.MaxRetryAfter = time.Duration(b.Ceilings.MaxRetryAfterNs)
	}
	for i, c := range b.Classes {
		effect, group := slices.Index(effects, c.Effect), slices.Index(groups, c.Group)
		if effect < 0 {
			return s, &KeyError{fmt.Sprintf("Classes.%d.Effect", i), fmt.Errorf("class %q has the unknown Effect %q", c.Name, c.Effect)}
		}
		if group < 0 && c.Group != "" {
			return s, &KeyError{fmt.Sprintf("Classes.%d.Group", i), fmt.Errorf("class %q has the unknown Group %q", c.Name, c.Group)}
		}
		s.Classes = append(s.Classes, choice.Class{Name: c.Name, Effect: choice.Effect(effect),
			Group: choice.Group(max(group, 0)), Window: time.Duration(c.WindowNs), Aim: time.Duration(c.AimNs),
			Deadline: time.Duration(c.DeadlineNs), Worth: c.Worth})
	}
	return s, nil
}
