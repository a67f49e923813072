// Package restart measures what an agent loses after a restart, with what it remembers and without, in virtual time.
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

// World is that of the experiment: twelve servers of which two are slow and one is silent.
func World(rate float64, reports bool, seed uint64) sim.Config {
	cfg := sim.Config{Rate: rate, Reports: reports, Seed: seed, Network: time.Millisecond, Mix: []float64{0.6, 0.3, 0.1},
		Work: []time.Duration{20 * time.Millisecond, 30 * time.Millisecond, 40 * time.Millisecond},
		Module: choice.Settings{Balancers: 1, Tick: time.Millisecond, MaxAttempts: 3, CanCancel: true, Classes: []choice.Class{
			{Name: "form-check", Effect: choice.Safe, Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 2},
			{Name: "refund-record", Effect: choice.Keyed, Window: 2 * time.Second, Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 10},
			{Name: "pay-out", Effect: choice.Unsafe, Aim: 300 * time.Millisecond, Deadline: 600 * time.Millisecond, Worth: 10}}}}
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
	warm     = 30 * time.Second // of the first agent
	measured = 10 * time.Second // of the next one
	drained  = time.Second      // till all calls of that time have ended
)

// Variant is a way to restart: what the next agent is given of what the first one knew.
type Variant struct {
	Name string
	Past func(kept learned.State, seed uint64) *aging.Past // nil for nothing
	Stay bool                                              // there is no restart
}

// aged is what was kept so long ago.
func aged(age time.Duration) func(learned.State, uint64) *aging.Past {
	return func(kept learned.State, _ uint64) *aging.Past { return aging.New(aging.Defaults, older(kept, age)) }
}

// older is a State as it would be had it been kept so much earlier.
func older(kept learned.State, by time.Duration) learned.State {
	old := func(c learned.Clock) learned.Clock { c.Wall -= by; c.Boot -= by; return c }
	kept.Shared.At = old(kept.Shared.At)
	for i := range kept.Buckets {
		kept.Buckets[i].At = old(kept.Buckets[i].At)
	}
	return kept
}

// Variants are those that are compared.
var Variants = []Variant{
	{Name: "no restart", Stay: true},
	{Name: "file of 2 s", Past: aged(2 * time.Second)},
	{Name: "file of 1 min", Past: aged(time.Minute)},
	{Name: "file of 1 h", Past: aged(time.Hour)},
	{Name: "file of 1 day", Past: aged(24 * time.Hour)},
	{Name: Without},
}

// Without is the name of the variant without a memory, with which others are compared.
const Without = "without"

// Wrong is a file that says what is not so: figures drawn for each server and class, at an age of two minutes on average.
func Wrong(kept learned.State, seed uint64) *aging.Past {
	return aging.New(aging.Defaults, wrong(kept, seed))
}

func wrong(kept learned.State, seed uint64) learned.State {
	rng := rand.New(rand.NewPCG(seed, 7))
	share := func() float64 { return []float64{0, rng.Float64(), 1}[rng.IntN(3)] }
	age := time.Duration(rng.ExpFloat64() * float64(2*time.Minute))
	var buckets []learned.Bucket
	for _, b := range kept.Buckets {
		twin := learned.Bucket{At: b.At}
		for _, s := range b.Servers {
			s.Rate, s.Use, s.Trust = math.Exp2(rng.Float64()*30-10), share(), 1
			s.Failing, s.Ejected, s.Trial = share(), rng.IntN(2) == 0, time.Duration(rng.Int64N(int64(time.Hour)))
			twin.Servers = append(twin.Servers, s)
		}
		buckets = append(buckets, twin)
	}
	kept.Buckets = buckets
	m := &kept.Shared.Memory
	m.Served, m.Lost, m.ColdBad, m.ColdSeen = rng.Float64()*1e6, share(), share(), 20
	for i := range m.Classes {
		m.Classes[i].Usual = time.Duration(math.Exp2(rng.Float64() * 40))
		m.Classes[i].Least = time.Duration(rng.Float64() * float64(m.Classes[i].Usual))
	}
	return older(kept, age)
}

// Loss plays one variant and returns the share of the worth that was lost in the time after the restart.
func Loss(cfg sim.Config, v Variant) (float64, error) {
	w, err := sim.New(cfg)
	if err != nil {
		return 0, err
	}
	w.RunUntil(sim.Base + warm)
	if !v.Stay {
		var past *aging.Past
		if v.Past != nil {
			past = v.Past(w.Kept(), cfg.Seed)
		}
		if err := w.Restart(past); err != nil {
			return 0, err
		}
	}
	w.RunUntil(sim.Base + warm + measured + drained)
	return w.Lost(sim.Base+warm, sim.Base+warm+measured), nil
}

// Row is what a variant lost, over all seeds.
type Row struct {
	Name     string
	Losses   []float64 // by seed
	Mean     float64
	Interval float64 // half of the 95 % interval of the mean
	Worst    float64
	Against  float64 // mean of what is lost more than without a memory, seed by seed
	Unsure   float64 // half of its interval
}

// interval is half of the 95 % interval of a mean, by Student's t.
func interval(all []float64) float64 {
	n := float64(len(all))
	if n < 2 {
		return 0
	}
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(all, nil) / math.Sqrt(n)
}

// NewRow sums up what a variant lost, by seed.
func NewRow(name string, losses []float64) Row {
	r := Row{Name: name, Losses: losses, Mean: stat.Mean(losses, nil), Interval: interval(losses)}
	for _, x := range losses {
		r.Worst = max(r.Worst, x)
	}
	return r
}

// Compare plays variants over seeds, on all cores. All variants of a seed meet the same calls and the same luck.
func Compare(rate float64, reports bool, variants []Variant, seeds int) ([]Row, error) {
	losses := make([][]float64, len(variants))
	for i := range losses {
		losses[i] = make([]float64, seeds)
	}
	var mu sync.Mutex
	var failed error
	jobs := make(chan [2]int)
	var work sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		work.Go(func() {
			for j := range jobs {
				loss, err := Loss(World(rate, reports, uint64(j[1]+1)), variants[j[0]])
				mu.Lock()
				losses[j[0]][j[1]] = loss
				if err != nil {
					failed = err
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
	work.Wait()
	var rows []Row
	for i, v := range variants {
		rows = append(rows, NewRow(v.Name, losses[i]))
	}
	for _, base := range rows {
		if base.Name != Without {
			continue
		}
		for i := range rows {
			more := make([]float64, seeds)
			for j := range more {
				more[j] = rows[i].Losses[j] - base.Losses[j]
			}
			rows[i].Against, rows[i].Unsure = stat.Mean(more, nil), interval(more)
		}
	}
	return rows, failed
}

// Table words rows.
func Table(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "variant\tworth lost, %\t95 % interval\tworst seed\tmore than without\t95 % interval\tseeds")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%.2f\t± %.2f\t%.2f\t%+.2f\t± %.2f\t%d\n", r.Name, 100*r.Mean, 100*r.Interval, 100*r.Worst, 100*r.Against,
			100*r.Unsure, len(r.Losses))
	}
	return w.Flush()
}
