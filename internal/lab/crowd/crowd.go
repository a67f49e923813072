// Package crowd measures in virtual time how the choices of many agents add up at the servers: how even their calls are, and what
// servers get that have fallen silent. The agents know nothing of one another but their number and places.
package crowd

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/lab/sim"
	"ternbeam/internal/lab/spread"
)

// Fleet is what is measured.
type Fleet struct {
	Agents, Servers int
	Rate            float64       // calls a second of all agents
	Unequal         float64       // spread of their parts: the standard deviation of their logarithms
	Use             float64       // of the servers by these calls, if all are well
	Keyed           float64       // share of the calls that have a key
	Reports         bool          // answers say the server's load
	Silent          float64       // so many of the servers, as a share, answer nothing
	Warm            time.Duration // before they do
	For             time.Duration // for so long
	After           time.Duration // and then go on for so long
	Seed            uint64
	Place           func(agent int) (me, agents int) // what agents believe; nil for the truth
}

// Result is what became of it. Shares of calls are of those that came in the span.
type Result struct {
	spread.Spread           // of calls at servers, while all were well
	Silent          []int   // attempts at silent servers, by the second
	Back            []int   // and at the same ones after it, by the second
	Trials          float64 // at a silent server in a second, from the fifth second on
	Calls           int     // from the first silence on
	Refused, Failed int
	P50, P99        time.Duration // to an answer, all the time
}

const (
	service = 50 * time.Millisecond // mean work of a call
	cores   = 1                     // of a server
	settle  = 3 * time.Second       // not measured at first
)

// Measure plays a fleet.
func Measure(f Fleet) (Result, error) {
	if f.Agents < 1 || f.Servers < 1 || !(f.Rate > 0) || !(f.Use > 0) || f.Warm <= settle || f.For < 0 || f.After < 0 || f.Silent < 0 || f.Silent > 1 || f.Keyed < 0 || f.Keyed > 1 {
		return Result{}, errors.New("a fleet needs agents, servers, a rate and a use above 0, shares from 0 to 1, and a time before the silence above 3 s")
	}
	speed := f.Rate / float64(f.Servers) / f.Use * service.Seconds() / cores
	class := func(name string, effect choice.Effect, worth float64) choice.Class {
		return choice.Class{Name: name, Effect: effect, Window: 2 * time.Second, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Worth: worth}
	}
	cfg := sim.Config{Agents: f.Agents, Rate: f.Rate, Reports: f.Reports, Seed: f.Seed, Network: time.Millisecond, Place: f.Place,
		Mix: []float64{1 - f.Keyed, f.Keyed}, Work: []time.Duration{service, service},
		Module: choice.Settings{Tick: 5 * time.Millisecond, MaxAttempts: 3, CanCancel: true, ParallelCopies: true,
			Classes: []choice.Class{class("form-check", choice.Safe, 2), class("refund-record", choice.Keyed, 10)}}}
	rng := rand.New(rand.NewPCG(f.Seed, 3))
	for range f.Agents {
		cfg.Shares = append(cfg.Shares, math.Exp(f.Unequal*rng.NormFloat64()))
	}
	for i := range f.Servers {
		cfg.Servers = append(cfg.Servers, sim.Server{ID: fmt.Sprint("forms-", i), Cores: cores, Speed: speed})
	}
	bad := map[string]bool{}
	for _, i := range rng.Perm(f.Servers)[:int(f.Silent*float64(f.Servers))] {
		bad[cfg.Servers[i].ID] = true
	}
	falls, mends := sim.Base+f.Warm, sim.Base+f.Warm+f.For
	end := mends + f.After
	calls := map[string]int{}
	r := Result{Silent: make([]int, seconds(f.For)), Back: make([]int, seconds(f.After))}
	cfg.Got = func(at time.Duration, _ int, server string) {
		switch {
		case at >= sim.Base+settle && at < falls:
			calls[server]++
		case bad[server] && at >= falls && at < mends:
			r.Silent[int((at-falls)/time.Second)]++
		case bad[server] && at >= mends && at < end:
			r.Back[int((at-mends)/time.Second)]++
		}
	}
	w, err := sim.New(cfg)
	if err != nil {
		return r, err
	}
	mute := func(silent bool) {
		for id := range bad {
			w.Mute(id, silent)
		}
	}
	w.At(falls, func() { mute(true) })
	w.At(mends, func() { mute(false) })
	w.RunUntil(end + 3*time.Second)
	r.Spread = spread.Of(f.Servers, calls)
	var took []time.Duration
	for _, c := range w.Calls() {
		if c.At >= end {
			break
		}
		if c.At >= falls {
			r.Calls++
			switch c.Kind {
			case ledger.Refused:
				r.Refused++
			case ledger.Failed:
				r.Failed++
			}
		}
		if c.At >= sim.Base+settle && c.Kind == ledger.Served {
			took = append(took, c.Answered-c.At)
		}
	}
	if len(took) > 0 {
		slices.Sort(took)
		r.P50, r.P99 = took[len(took)/2], took[len(took)*99/100]
	}
	r.Trials = spread.Tried(r.Silent, len(bad))
	return r, nil
}

func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

func (r Result) String() string {
	return fmt.Sprintf("calls at a server %.0f, largest %.2f of it, variation %.3f, by chance %.3f; answers after %v, 99 in 100 %v\nsilent %v, %.2f a second at each; back %v; of %d calls %d refused, %d failed",
		r.Mean, r.Largest/r.Mean, r.Variation, r.Chance, r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Silent, r.Trials, r.Back, r.Calls, r.Refused, r.Failed)
}
