// Package outage measures what an agent loses while its list is out of reach and the fleet behind it is replaced, with SRV
// records as a further source and without, in virtual time.
package outage

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/membership"
	"ternbeam/internal/lab/restart"
	"ternbeam/internal/lab/sim"
)

const (
	warm   = 10 * time.Second
	down   = 60 * time.Second // of the list
	every  = 4 * time.Second  // a server is replaced
	expiry = 5 * time.Second  // lifetime of the records: the agent sees them so late at most
	grace  = 6 * time.Second  // the old server goes so long after the records name the new one
)

// Lost plays a day and returns the share of the worth lost while the list is down.
func Lost(rate float64, records bool, seed uint64) (float64, error) {
	cfg := restart.World(rate, true, seed)
	cfg.Told = true
	for i := range cfg.Servers {
		cfg.Servers[i].Speed, cfg.Servers[i].Silent = 1, false
	}
	w, err := sim.New(cfg)
	if err != nil {
		return 0, err
	}
	set := membership.Defaults
	set.Sources = []membership.Source{{Name: "list", Hold: 30 * time.Second, Absent: true, Guard: records}}
	if records {
		set.Sources = append(set.Sources, membership.Source{Name: "srv", Hold: 5 * time.Minute, Absent: true, Guard: true})
	}
	all := membership.New(set)
	tell := func(changes []ledger.Entry) { w.Tell(append([]ledger.Entry(nil), changes...)) }
	current := make([]string, len(cfg.Servers)) // the servers that there are, by place
	var listed []membership.Claim
	for i, s := range cfg.Servers {
		current[i] = s.ID
		listed = append(listed, membership.Claim{Key: s.ID, ID: s.ID, Addrs: []string{s.ID}, Weight: 1, Details: true})
	}
	tell(all.Report(w.Now(), membership.Report{Full: true, Version: 1, Claims: listed}))
	ask := func() {
		var named []membership.Claim
		for _, id := range current {
			named = append(named, membership.Claim{Key: id, Addrs: []string{id}, Weight: 1})
		}
		tell(all.Report(w.Now(), membership.Report{Source: 1, Full: true, Claims: named, Until: w.Now() + expiry}))
	}
	begin, end := sim.Base+warm, sim.Base+warm+down
	if records {
		rng := rand.New(rand.NewPCG(seed, 9))
		for at := sim.Base; at < end; at += time.Duration((0.75 + rng.Float64()/4) * float64(expiry)) {
			w.At(at, ask)
		}
	}
	for at := sim.Base; at < end; at += time.Second {
		w.At(at, func() { tell(all.Tick(w.Now())) })
	}
	w.At(begin, func() { tell(all.Lost(w.Now(), 0)) })
	for i := range current {
		w.At(begin+time.Duration(i+1)*every, func() {
			old, fresh := current[i], fmt.Sprintf("fresh-%02d", i)
			w.Add(sim.Server{ID: fresh, Cores: 2, Speed: 1})
			current[i] = fresh
			w.At(w.Now()+grace, func() { w.Kill(old) })
		})
	}
	w.RunUntil(end + 2*time.Second)
	return w.Lost(begin, end), nil
}

// Compare plays seeds with the records and without.
func Compare(rate float64, seeds int) ([]restart.Row, error) {
	var rows []restart.Row
	for _, v := range []struct {
		name    string
		records bool
	}{{"list and SRV", true}, {"list alone", false}} {
		var losses []float64
		for seed := range seeds {
			lost, err := Lost(rate, v.records, uint64(seed+1))
			if err != nil {
				return nil, err
			}
			losses = append(losses, lost)
		}
		rows = append(rows, restart.NewRow(v.name, losses))
	}
	return rows, nil
}
