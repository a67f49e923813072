// Package outage measures, in virtual time, how much value an agent loses while its list service is unreachable and all
// servers are replaced, with and without SRV records as a second source.
package outage

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/membership"
	"ternbeam/internal/lab/restart"
	"ternbeam/internal/lab/sim"
)

const (
	warmupTime      = 10 * time.Second // before the list service fails
	outageTime      = 60 * time.Second // duration of the list service's outage
	replaceInterval = 4 * time.Second  // interval between replacements of servers
	recordTTL       = 5 * time.Second  // TTL of the records: the agent sees changes at most this late
	retireDelay     = 6 * time.Second  // time from the records naming a new server to the end of the old one
)

// LostShare simulates one outage and returns the share of the value that is lost while the list service is down. records says
// whether the agent has the SRV records too.
func LostShare(rate float64, records bool, seed uint64) (float64, error) {
	cfg := restart.WorldConfig(rate, true, seed)
	cfg.StartEmpty = true
	for i := range cfg.Servers {
		cfg.Servers[i].Speed, cfg.Servers[i].Silent = 1, false
	}
	w, err := sim.New(cfg)
	if err != nil {
		return 0, err
	}
	settings := membership.Defaults
	settings.Sources = []membership.Source{{Name: "list", Hold: 30 * time.Second, RemoveAbsent: true, Guard: records}}
	if records {
		settings.Sources = append(settings.Sources, membership.Source{Name: "srv", Hold: 5 * time.Minute, RemoveAbsent: true, Guard: true})
	}
	members := membership.New(settings)
	update := func(changes []calltrack.Entry) { w.UpdateList(append([]calltrack.Entry(nil), changes...)) }
	current := make([]string, len(cfg.Servers)) // ids of the running servers, by position
	var listed []membership.Claim
	for i, s := range cfg.Servers {
		current[i] = s.ID
		listed = append(listed, membership.Claim{Key: s.ID, ID: s.ID, Addrs: []string{s.ID}, Weight: 1, HasDetails: true})
	}
	update(members.Report(w.Now(), membership.Report{Full: true, Version: 1, Claims: listed}))
	queryRecords := func() {
		var named []membership.Claim
		for _, id := range current {
			named = append(named, membership.Claim{Key: id, Addrs: []string{id}, Weight: 1})
		}
		update(members.Report(w.Now(), membership.Report{Source: 1, Full: true, Claims: named, ValidUntil: w.Now() + recordTTL}))
	}
	begin, end := sim.StartTime+warmupTime, sim.StartTime+warmupTime+outageTime
	if records {
		rng := rand.New(rand.NewPCG(seed, 9))
		for at := sim.StartTime; at < end; at += time.Duration((0.75 + rng.Float64()/4) * float64(recordTTL)) {
			w.Schedule(at, queryRecords)
		}
	}
	for at := sim.StartTime; at < end; at += time.Second {
		w.Schedule(at, func() { update(members.Tick(w.Now())) })
	}
	w.Schedule(begin, func() { update(members.SourceUnreachable(w.Now(), 0)) })
	for i := range current {
		w.Schedule(begin+time.Duration(i+1)*replaceInterval, func() {
			old, fresh := current[i], fmt.Sprintf("fresh-%02d", i)
			w.AddServer(sim.Server{ID: fresh, Cores: 2, Speed: 1})
			current[i] = fresh
			w.Schedule(w.Now()+retireDelay, func() { w.KillServer(old) })
		})
	}
	w.RunUntil(end + 2*time.Second)
	return w.LostShare(begin, end), nil
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
			lost, err := LostShare(rate, v.records, uint64(seed+1))
			if err != nil {
				return nil, err
			}
			losses = append(losses, lost)
		}
		rows = append(rows, restart.NewRow(v.name, losses))
	}
	return rows, nil
}
