// Package restart measures, in virtual time, how much value an agent loses after a restart, with and without its stored learned
// state.
package restart

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"text/tabwriter"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/lab/sim"
)

// WorldConfig returns the configuration of the experiment: twelve servers, of which two are slow and one is silent.
func WorldConfig(rate float64, reports bool, seed uint64) sim.Config {
	cfg := sim.Config{Rate: rate, Reports: reports, Seed: seed, Network: time.Millisecond, Mix: []float64{0.6, 0.3, 0.1},
		Work: []time.Duration{20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond},
		Module: choice.Settings{Balancers: 1, Tick: time.Millisecond, MaxAttempts: 3, CanCancel: true, Classes: []choice.Class{
			{Name: "form-check", Effect: choice.Safe, Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Value: 2},
			{Name: "refund-record", Effect: choice.Keyed, DedupWindow: 2 * time.Second, Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Value: 10},
			{Name: "pay-out", Effect: choice.Unsafe, Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Value: 10}}}}
	for i := range 12 {
		s := sim.Server{ID: fmt.Sprintf("forms-%02d", i), Cores: 2, Speed: 1}
		switch i {
		case 3, 8:
			s.Speed = 0.1
		case 5:
			s.Silent = true
		}
		cfg.Servers = append(cfg.Servers, s)
	}
	return cfg
}

const (
	warmupTime   = 30 * time.Second // run time of the first agent
	measuredTime = 10 * time.Second // measured time of its successor
	drainTime    = time.Second      // after it, until all its calls have ended
)

// Variant is a way to restart: what of the first agent's learned state its successor starts with.
type Variant struct {
	Name      string
	Restore   func(stored learned.State, seed uint64) *aging.Restored // nil to start without
	NoRestart bool                                                    // the first agent keeps running
}

// storedFor returns a Variant.Restore for which the state was stored the given time ago.
func storedFor(age time.Duration) func(learned.State, uint64) *aging.Restored {
	return func(stored learned.State, _ uint64) *aging.Restored {
		return aging.New(aging.Defaults, makeOlder(stored, age))
	}
}

// makeOlder returns a State as if it had been stored earlier by the given time.
func makeOlder(stored learned.State, by time.Duration) learned.State {
	earlier := func(c learned.Clock) learned.Clock { c.Wall -= by; c.Boot -= by; return c }
	stored.Shared.At = earlier(stored.Shared.At)
	for i := range stored.Buckets {
		stored.Buckets[i].At = earlier(stored.Buckets[i].At)
	}
	return stored
}

// Variants lists the variants that are compared.
var Variants = []Variant{
	{Name: "no restart", NoRestart: true},
	{Name: "file of 2 s", Restore: storedFor(2 * time.Second)},
	{Name: "file of 1 min", Restore: storedFor(time.Minute)},
	{Name: "file of 1 h", Restore: storedFor(time.Hour)},
	{Name: "file of 1 day", Restore: storedFor(24 * time.Hour)},
	{Name: WithoutState},
}

// WithoutState is the name of the variant without stored state, the baseline of Compare.
const WithoutState = "without"

// WrongState is a Variant.Restore that replaces the stored figures of each server and class by random ones, with an age of two minutes on
// average.
func WrongState(stored learned.State, seed uint64) *aging.Restored {
	return aging.New(aging.Defaults, falsify(stored, seed))
}

func falsify(stored learned.State, seed uint64) learned.State {
	rng := rand.New(rand.NewPCG(seed, 7))
	share := func() float64 { return []float64{0, rng.Float64(), 1}[rng.IntN(3)] }
	age := time.Duration(rng.ExpFloat64() * float64(2*time.Minute))
	var buckets []learned.Bucket
	for _, b := range stored.Buckets {
		falsified := learned.Bucket{At: b.At}
		for _, s := range b.Servers {
			s.Rate, s.Use, s.Trust = math.Exp2(rng.Float64()*30-10), share(), 1
			s.Failing, s.Ejected, s.Trial = share(), rng.IntN(2) == 0, time.Duration(rng.Int64N(int64(time.Hour)))
			falsified.Servers = append(falsified.Servers, s)
		}
		buckets = append(buckets, falsified)
	}
	stored.Buckets = buckets
	m := &stored.Shared.Memory
	m.Served, m.Lost, m.ColdBad, m.ColdSeen = rng.Float64()*1e6, share(), share(), 20
	for i := range m.Classes {
		m.Classes[i].Usual = time.Duration(math.Exp2(rng.Float64() * 40))
		m.Classes[i].Least = time.Duration(rng.Float64() * float64(m.Classes[i].Usual))
	}
	return makeOlder(stored, age)
}

// Loss simulates one variant and returns the share of the value that is lost in the 10 s after the restart.
func Loss(cfg sim.Config, v Variant) (float64, error) {
	w, err := sim.New(cfg)
	if err != nil {
		return 0, err
	}
	w.RunUntil(sim.StartTime + warmupTime)
	if !v.NoRestart {
		var past *aging.Restored
		if v.Restore != nil {
			past = v.Restore(w.Export(), cfg.Seed)
		}
		if err := w.Restart(past); err != nil {
			return 0, err
		}
	}
	w.RunUntil(sim.StartTime + warmupTime + measuredTime + drainTime)
	return w.LostShare(sim.StartTime+warmupTime, sim.StartTime+warmupTime+measuredTime), nil
}

// Row summarizes the losses of a variant over all seeds, as shares of the value.
type Row struct {
	Name     string
	Losses   []float64 // by seed
	Mean     float64
	Interval float64 // half the width of the 95 % confidence interval of the mean
	Worst    float64 // largest loss of a seed
	Against  float64 // mean of the additional loss over the variant WithoutState, seed by seed
	Unsure   float64 // half the width of its 95 % confidence interval
}

// confidenceInterval returns half the width of the 95 % confidence interval of a mean, by Student's t-distribution.
func confidenceInterval(samples []float64) float64 {
	n := float64(len(samples))
	if n < 2 {
		return 0
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(samples, nil) / math.Sqrt(n)
}

// NewRow summarizes the losses of a variant, by seed.
func NewRow(name string, losses []float64) Row {
	r := Row{Name: name, Losses: losses, Mean: stat.Mean(losses, nil), Interval: confidenceInterval(losses)}
	for _, x := range losses {
		r.Worst = max(r.Worst, x)
	}
	return r
}

// Compare simulates variants with seeds from 1 to seeds, on all cores. For each seed, all variants see the same calls and the same
// random figures.
func Compare(rate float64, reports bool, variants []Variant, seeds int) ([]Row, error) {
	losses := make([][]float64, len(variants))
	for i := range losses {
		losses[i] = make([]float64, seeds)
	}
	var mu sync.Mutex
	var lastErr error
	jobs := make(chan [2]int) // indexes of a variant and of a seed
	var workers sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		workers.Go(func() {
			for j := range jobs {
				loss, err := Loss(WorldConfig(rate, reports, uint64(j[1]+1)), variants[j[0]])
				mu.Lock()
				losses[j[0]][j[1]] = loss
				if err != nil {
					lastErr = err
				}
				mu.Unlock()
			}
		})
	}
	for v := range variants {
		for s := range seeds {
			jobs <- [2]int{v, s}
		}
	}
	close(jobs)
	workers.Wait()
	var rows []Row
	for i, v := range variants {
		rows = append(rows, NewRow(v.Name, losses[i]))
	}
	for _, baseline := range rows {
		if baseline.Name != WithoutState {
			continue
		}
		for i := range rows {
			additional := make([]float64, seeds)
			for j := range additional {
				additional[j] = rows[i].Losses[j] - baseline.Losses[j]
			}
			rows[i].Against, rows[i].Unsure = stat.Mean(additional, nil), confidenceInterval(additional)
		}
	}
	return rows, lastErr
}

// Table writes rows as a text table.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tvalue lost, %\t95 % interval\tworst seed\tmore than without\t95 % interval\tseeds")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.2f\t± %.2f\t%.2f\t%+.2f\t± %.2f\t%d\n", r.Name, 100*r.Mean, 100*r.Interval, 100*r.Worst, 100*r.Against,
			100*r.Unsure, len(r.Losses))
	}
	return w.Flush()
}
