// Package outage measures, in virtual time, how much value an agent loses while its list service is unreachable and all
// servers are replaced, with and without SRV records as a second source.
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
	warm   = 10 * time.Second // before the list service fails
	down   = 60 * time.Second // duration of the list service's outage
	every  = 4 * time.Second  // interval between replacements of servers
	expiry = 5 * time.Second  // TTL of the records: the agent sees changes at most this late
	grace  = 6 * time.Second  // time from the records naming a new server to the end of the old one
)

// LostShare simulates one outage and returns the share of the value that is lost while the list service is down. records says
// whether the agent has the SRV records too.
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
	settings := membership.Defaults
	settings.Sources = []membership.Source{{Name: "list", Hold: 30 * time.Second, Absent: true, Guard: records}}
	if records {
		settings.Sources = append(settings.Sources, membership.Source{Name: "srv", Hold: 5 * time.Minute, Absent: true, Guard: true})
	}
	members := membership.New(settings)
	update := func(changes []ledger.Entry) { w.Tell(append([]ledger.Entry(nil), changes...)) }
	current := make([]string, len(cfg.Servers)) // ids of the running servers, by position
	var listed []membership.Claim
	for i, s := range cfg.Servers {
		current[i] = s.ID
		listed = append(listed, membership.Claim{Key: s.ID, ID: s.ID, Addrs: []string{s.ID}, Weight: 1, Details: true})
	}
	update(members.Report(w.Now(), membership.Report{Full: true, Version: 1, Claims: listed}))
	queryRecords := func() {
		var named []membership.Claim
		for _, id := range current {
			named = append(named, membership.Claim{Key: id, Addrs: []string{id}, Weight: 1})
		}
		update(members.Report(w.Now(), membership.Report{Source: 1, Full: true, Claims: named, Until: w.Now() + expiry}))
	}
	begin, end := sim.Base+warm, sim.Base+warm+down
	if records {
		rng := rand.New(rand.NewPCG(seed, 9))
		for at := sim.Base; at < end; at += time.Duration((0.75 + rng.Float64()/4) * float64(expiry)) {
			w.At(at, queryRecords)
		}
	}
	for at := sim.Base; at < end; at += time.Second {
		w.At(at, func() { update(members.Tick(w.Now())) })
	}
	w.At(begin, func() { update(members.Lost(w.Now(), 0)) })
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

// Compare simulates outages with seeds from 1 to seeds, with and without the records, and returns a row for each variant.
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
