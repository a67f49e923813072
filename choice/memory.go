package choice

import (
	"math"
	"slices"
	"time"
)

// Bounds on the effect of imported data: it biases draws and timings until a server has reported or answered
// itself, and no rule on repeats, drains or deadlines depends on it.
const (
	maxImportedTrust       = 0.8  // maximum confidence in an imported capacity
	maxImportedFailureRate = 0.5  // maximum of an imported failure rate, which ejects no server
	maxImportedEjected     = 0.25 // maximum share of the servers that may be ejected by an import
	importedLatencyFactor  = 4    // imported latencies are within this factor of the initial ones
	importErrorFactor      = 2    // an imported capacity is wrong if it is off by this factor
	minImportErrors        = 2    // after so many wrong ones, if most are, the rest is discarded
	minExportedFailureRate = 0.01 // lower failure rates are not exported
)

// Memory is what a Balancer has learned, in a form that outlives it. Its times are ages and durations and do
// not depend on a clock, except for ServerMemory.Started.
type Memory struct {
	Idle     time.Duration // time since the latest outcome of an attempt
	Served   float64       // answers to this balancer per second
	Lost     float64       // share of attempts lost at servers that answer others
	ColdBad  float64       // share of failures among recent attempts at cold servers
	ColdSeen float64       // number of attempts in that share, at most 1 / ewmaWeight
	Classes  []ClassMemory
	Servers  []ServerMemory // those of which anything is known
}

// ClassMemory is what a Balancer has learned about a class.
type ClassMemory struct {
	Name         string
	Usual, Least time.Duration // mean latency, and estimate of the least
	Trust        float64       // confidence in both: 1 when exported; aging lowers it
}

// ServerMemory is what a Balancer has learned about a server.
type ServerMemory struct {
	ID       string
	Started  time.Duration // start of the server to which the data applies, on the clock of the events
	Rate     float64       // estimated capacity in requests per second; 0 if unknown
	Use      float64       // utilization
	Trust    float64       // confidence in both: 1 when reported; aging lowers it
	Reported time.Duration // age of the latest report
	Failing  float64       // share of failures among the latest outcomes
	Judged   time.Duration // age of the latest outcome
	Ejected  bool
	Trial    time.Duration // if ejected: time until its next trial
}

// Export writes what the Balancer has learned into m, whose slices it reuses.
func (b *Balancer) Export(now time.Duration, m *Memory) {
	classes, servers := m.Classes[:0], m.Servers[:0]
	for i, c := range b.settings.Classes {
		classes = append(classes, ClassMemory{Name: c.Name, Usual: time.Duration(b.meanLatency[i]),
			Least: time.Duration(b.minLatency[i]), Trust: 1})
	}
	for _, s := range b.servers {
		if s.capacityEstimate == 0 && s.failureRate < minExportedFailureRate && s.ejectedUntil == 0 {
			continue
		}
		e := ServerMemory{ID: s.ID, Started: s.Started, Failing: s.failureRate, Ejected: s.ejectedUntil > 0,
			Trial: max(0, s.ejectedUntil-now), Judged: max(0, now-s.lastOutcome)}
		if s.lastReport > 0 && s.capacityEstimate > 0 {
			e.Rate, e.Use, e.Trust, e.Reported = s.capacityEstimate, s.reportedUtil, 1, max(0, now-s.lastReport)
		}
		servers = append(servers, e)
	}
	*m = Memory{Idle: max(0, now-b.lastOutcome), Served: b.answerRate, Lost: b.lossRate,
		ColdBad: b.coldFailureRate, ColdSeen: b.coldSamples, Classes: classes, Servers: servers}
}

// clamp limits x to the range from low to high. NaN becomes low.
func clamp(x, low, high float64) float64 {
	if !(x > low) {
		return low
	}
	return min(x, high)
}

// Recall imports what an earlier Balancer has exported; any values are safe. It applies to classes without
// samples, and to servers in the list that have not reported, been sent to or been ejected yet and whose
// start is that of the data. All other data is ignored.
func (b *Balancer) Recall(now time.Duration, m Memory) {
	b.now = now
	for _, e := range m.Classes {
		for i, c := range b.settings.Classes {
			// As in New. Other values come from samples, which take precedence.
			if initial := float64(c.Aim) / 4; c.Name == e.Name &&
				b.meanLatency[i] == initial && b.minLatency[i] == initial {
				confidence, mean := clamp(e.Trust, 0, 1),
					clamp(float64(e.Usual), initial/importedLatencyFactor, initial*importedLatencyFactor)
				lowest := clamp(float64(e.Least), initial/importedLatencyFactor, mean)
				b.meanLatency[i], b.minLatency[i] = initial+confidence*(mean-initial), initial+confidence*(lowest-initial)
			}
		}
	}
	if b.lastOutcome == 0 {
		// Without samples of its own the balancer draws from subsetHorizons times minSubsetSize servers at most,
		// and does not hedge late attempts earlier because of losses.
		b.answerRate = max(b.answerRate, clamp(m.Served, 0, minSubsetSize/b.horizon.Seconds()))
		b.lossRate = max(b.lossRate, clamp(m.Lost, 0, hedgeLossThreshold))
		b.coldSamples = clamp(m.ColdSeen, 0, 1/ewmaWeight)
		b.coldFailureRate = clamp(m.ColdBad, 0, 1) * b.coldSamples * ewmaWeight // less, the fewer the samples
	}
	ejected := len(slices.DeleteFunc(slices.Clone(b.servers),
		func(s *server) bool { return s.ejectedUntil == 0 }))
	for _, e := range m.Servers {
		s := b.byID[e.ID]
		if s == nil || s.Started != e.Started || s.lastReport+s.lastOutcome+s.ejectedUntil > 0 ||
			len(s.inFlight) > 0 {
			continue
		}
		if capacity := clamp(e.Rate, 0, math.MaxFloat32); capacity > 0 {
			s.capacityEstimate, s.confidence, s.reportedUtil =
				capacity, clamp(e.Trust, 0, maxImportedTrust), clamp(e.Use, 0, 1)
			s.imported = true
		}
		s.failureRate = clamp(e.Failing, 0, maxImportedFailureRate)
		if e.Ejected && float64(ejected+1) <= maxImportedEjected*float64(len(b.servers)) {
			ejected++
			b.eject(s)
			s.ejectedUntil = min(s.ejectedUntil, b.now+max(1, e.Trial))
		}
	}
}

// checkImported compares the imported capacity of a server with its first report. If most imported
// capacities are wrong, the remaining ones are discarded.
func (b *Balancer) checkImported(s *server, capacity float64) {
	if !s.imported {
		return
	}
	s.imported = false
	b.importChecks++
	if capacity > s.capacityEstimate*importErrorFactor || capacity < s.capacityEstimate/importErrorFactor {
		b.importErrors++
	}
	if b.importErrors < minImportErrors || 2*b.importErrors <= b.importChecks {
		return
	}
	for _, o := range b.servers {
		if o.imported {
			o.capacityEstimate, o.confidence, o.reportedUtil, o.imported = 0, 0, 0, false
		}
	}
}
