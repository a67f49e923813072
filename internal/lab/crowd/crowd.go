// Package crowd measures, in virtual time, the combined load that many agents put on the servers: how evenly their calls are
// distributed, and how many attempts unresponsive servers receive. All that agents know of one another is how many there are and
// their own rank among them.
package crowd

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/lab/sim"
	"ternbeam/internal/lab/spread"
)

// Fleet configures a measurement.
type Fleet struct {
	Agents, Servers int
	Rate            float64       // calls per second, all agents together
	Inequality      float64       // inequality of the agents' shares of the calls: standard deviation of the shares' logarithms
	Utilization     float64       // utilization of the servers by these calls while all are healthy
	Keyed           float64       // share of the calls that are of the keyed class
	Reports         bool          // answers report the server's load
	Silent          float64       // share of the servers that stop answering
	Warm            time.Duration // time before they stop answering
	SilentFor       time.Duration // how long they do not answer
	After           time.Duration // time measured after they answer again
	Seed            uint64
	BelievedRank    func(agent int) (me, agents int) // rank and number of agents that an agent believes; nil for the true ones
}

// Result holds the figures of a measurement.
type Result struct {
	spread.Spread                 // of the calls at servers, while all were healthy
	Silent          []int         // attempts at silent servers, by second
	Back            []int         // attempts at the same servers after they answer again, by second
	Trials          float64       // attempts per second at each silent server, after the first 5 s
	Calls           int           // calls since servers stopped answering
	Refused, Failed int           // of these calls
	P50, P99        time.Duration // time to the answer of served calls, both before and after servers stop answering
}

const (
	meanWork   = 50 * time.Millisecond // mean work of a call
	cores      = 1                     // cores of a server
	settleTime = 3 * time.Second       // initial time that is not measured
)

// Measure simulates a fleet. It returns an error if a figure of f is out of range.
func Measure(f Fleet) (Result, error) {
	if f.Agents < 1 || f.Servers < 1 || !(f.Rate > 0) || !(f.Utilization > 0) || f.Warm <= settleTime || f.SilentFor < 0 || f.After < 0 || f.Silent < 0 || f.Silent > 1 || f.Keyed < 0 || f.Keyed > 1 {
		return Result{}, errors.New("a fleet needs agents, servers, a rate and a utilization above 0, shares from 0 to 1, and more than 3 s before servers fall silent")
	}
	speed := f.Rate / float64(f.Servers) / f.Utilization * meanWork.Seconds() / cores
	class := func(name string, effect choice.Effect, value float64) choice.Class {
		return choice.Class{Name: name, Effect: effect, DedupWindow: 2 * time.Second, Aim: 600 * time.Millisecond, Deadline: 2 * time.Second, Value: value}
	}
	cfg := sim.Config{Agents: f.Agents, Rate: f.Rate, Reports: f.Reports, Seed: f.Seed, Network: time.Millisecond, BelievedRank: f.BelievedRank,
		Mix: []float64{1 - f.Keyed, f.Keyed}, Work: []time.Duration{meanWork, meanWork},
		Module: choice.Settings{Tick: 5 * time.Millisecond, MaxAttempts: 3, CanCancel: true, ParallelAttempts: true,
			Classes: []choice.Class{class("form-check", choice.Safe, 2), class("refund-record", choice.Keyed, 10)}}}
	rng := rand.New(rand.NewPCG(f.Seed, 3))
	for range f.Agents {
		cfg.Shares = append(cfg.Shares, math.Exp(f.Inequality*rng.NormFloat64()))
	}
	for i := range f.Servers {
		cfg.Servers = append(cfg.Servers, sim.Server{ID: fmt.Sprint("forms-", i), Cores: cores, Speed: speed})
	}
	silenced := map[string]bool{}
	for _, i := range rng.Perm(f.Servers)[:int(f.Silent*float64(f.Servers))] {
		silenced[cfg.Servers[i].ID] = true
	}
	silentFrom, silentUntil := sim.StartTime+f.Warm, sim.StartTime+f.Warm+f.SilentFor
	end := silentUntil + f.After
	calls := map[string]int{}
	r := Result{Silent: make([]int, seconds(f.SilentFor)), Back: make([]int, seconds(f.After))}
	cfg.OnAttempt = func(at time.Duration, _ int, server string) {
		switch {
		case at >= sim.StartTime+settleTime && at < silentFrom:
			calls[server]++
		case silenced[server] && at >= silentFrom && at < silentUntil:
			r.Silent[int((at-silentFrom)/time.Second)]++
		case silenced[server] && at >= silentUntil && at < end:
			r.Back[int((at-silentUntil)/time.Second)]++
		}
	}
	w, err := sim.New(cfg)
	if err != nil {
		return r, err
	}
	setSilent := func(silent bool) {
		for id := range silenced {
			w.SetSilent(id, silent)
		}
	}
	w.Schedule(silentFrom, func() { setSilent(true) })
	w.Schedule(silentUntil, func() { setSilent(false) })
	w.RunUntil(end + 3*time.Second)
	r.Spread = spread.Compute(f.Servers, calls)
	var latencies []time.Duration
	for _, c := range w.Calls() {
		if c.At >= end {
			break
		}
		if c.At >= silentFrom {
			r.Calls++
			switch c.Kind {
			case calltrack.Refused:
				r.Refused++
			case calltrack.Failed:
				r.Failed++
			}
		}
		if c.At >= sim.StartTime+settleTime && c.Kind == calltrack.Served {
			latencies = append(latencies, c.AnsweredAt-c.At)
		}
	}
	if len(latencies) > 0 {
		slices.Sort(latencies)
		r.P50, r.P99 = latencies[len(latencies)/2], latencies[len(latencies)*99/100]
	}
	r.Trials = spread.SteadyRate(r.Silent, len(silenced))
	return r, nil
}

// seconds returns a duration in seconds, rounded up.
func seconds(d time.Duration) int { return int((d + time.Second - 1) / time.Second) }

// String returns the figures as text for people.
func (r Result) String() string {
	return fmt.Sprintf("calls per server %.0f, largest/mean %.2f, variation %.3f, by chance %.3f; latency p50 %v, p99 %v\nattempts at silent servers by second %v, %.2f per second at each; after they answer again %v; of %d calls %d refused, %d failed",
		r.Mean, r.Largest/r.Mean, r.Variation, r.Chance, r.P50.Round(time.Millisecond), r.P99.Round(time.Millisecond), r.Silent, r.Trials, r.Back, r.Calls, r.Refused, r.Failed)
}
