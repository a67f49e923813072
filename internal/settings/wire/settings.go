package wire

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"ternbeam/choice"
)

// bootInfo is the part of an instance's settings object that the choice module uses.
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

// Settings is the parsed settings object.
type Settings struct {
	Module       choice.Settings
	Pacing       Pacing
	ReportFields []string // the names of the figures in a load report, in their order
}

// Pacing says when the list of servers is requested. Its fields are those of pacing.Settings, to which it is converted.
type Pacing struct {
	Shared     bool          // one service serves the list to all agents
	Agents, Me int           // the number of agents, and this one's index
	MustAsk    time.Duration // the longest time without a request for the list; 0 for no bound
	Grace      time.Duration // how long after the notice of a drain a server may still be sent calls; 0 if not given
}

var (
	effects = []string{choice.Safe: "repeatable", choice.Keyed: "by_key", choice.Unsafe: "once"}
	groups  = []string{choice.DedupAll: "all", choice.DedupZone: "zone", choice.DedupCell: "cell"}
)

// ParseSettings parses the settings object of an instance, for the simulator's adapter as well as for the real agent. An
// error is a *KeyError or one of encoding/json.
func ParseSettings(data []byte) (Settings, error) {
	var boot bootInfo
	if err := json.Unmarshal(data, &boot); err != nil {
		return Settings{}, err
	}
	module, err := boot.settings()
	return Settings{Module: module, ReportFields: boot.Report.Fields, Pacing: Pacing{Shared: boot.Discovery == "subscribe",
		Agents: boot.Balancers, Me: boot.Me, MustAsk: time.Duration(boot.Rules.MustAskInNs), Grace: time.Duration(boot.Rules.DrainGraceNs)}}, err
}

// KeyError is an error in the value of one key of the settings.
type KeyError struct {
	Key string // such as Classes.0.Effect
	Err error
}

// Error returns the text of the error without its key.
func (e *KeyError) Error() string { return e.Err.Error() }

// Unwrap returns the error without its key.
func (e *KeyError) Unwrap() error { return e.Err }

// PlausibleFigure reports whether a figure of a load report is plausible: from 0 to 1e6, and not NaN.
func PlausibleFigure(x float64) bool {
	const maxFigure = 1e6           // more than any real figure
	return x >= 0 && x <= maxFigure // false for NaN
}

// SetField sets the figure of a load report that has the given name; it ignores names that the choice module does not use.
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
		Balancers:         b.Balancers,
		Tick:              time.Duration(b.TickNs),
		Zone:              b.Zone,
		CrossZoneCost:     b.Prices.CrossZone,
		UseListWeights:    b.WeightKind == "nominal" || b.WeightKind == "rough",
		KeyAffinity:       b.Domain.WarmKeys,
		CanProbe:          b.Ceilings.Probes,
		ProbeCost:         b.Prices.Probe,
		ReportsInFlight:   slices.Contains(b.Report.Fields, "inflight"),
		MaxAttempts:       b.Ceilings.MostTries,
		ParallelAttempts:  b.Ceilings.ParallelTries,
		CanCancel:         b.Ceilings.MayCancel,
		SlowStartMinShare: b.Rules.ColdFrom,
		SlowStartWindow:   time.Duration(b.Rules.ColdNs),
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
			DedupScope: choice.DedupScope(max(group, 0)), DedupWindow: time.Duration(c.WindowNs), Aim: time.Duration(c.AimNs),
			Deadline: time.Duration(c.DeadlineNs), Value: c.Worth})
	}
	return s, nil
}
