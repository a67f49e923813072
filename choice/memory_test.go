package choice

import (
	"math"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// newLearnedHarness returns a Balancer that knows two fast servers, a slow one and a silent one that is ejected.
func newLearnedHarness(t *testing.T) *harness {
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	h.advance(time.Second)
	for i, rate := range []float64{100, 100, 20, 100} {
		id, to := h.request(0)
		h.endAttempt(id, to, 0, OK, NoReport)
		h.Balancer.recordReport(h.byID["s"+string(rune('0'+i))], utilReport(0.5, rate/2))
	}
	s := h.byID["s3"]
	s.lastOutcome = h.at
	h.eject(s)
	return h
}

// Data that is exported and imported at once makes a new Balancer draw as the old one does. Its effect
// fades with time and with the servers' own reports.
func TestRecallRestoresWeightsAndEjections(t *testing.T) {
	old := newLearnedHarness(t)
	var m Memory
	old.Export(old.at, &m)
	if len(m.Servers) != 4 || len(m.Classes) != 3 || m.Servers[2].Rate != 20 || !m.Servers[3].Ejected || m.Servers[3].Trial < old.horizon {
		t.Fatalf("%+v", m)
	}
	h := newHarness(t, testSettings(), 1, 1, 1, 1)
	h.Recall(h.at, m)
	h.updateWeights()
	if got := h.byID["s2"].blendedCapacity / h.byID["s0"].blendedCapacity; got < 0.2 || got > 0.5 {
		t.Errorf("the slow server counts as %v of a fast one", got)
	}
	if !h.isEjected(h.byID["s3"]) {
		t.Error("the silent server is not ejected")
	}
	if n := h.serve(60, "s3"); n != 0 {
		t.Errorf("the silent server got %d requests before its trial was due", n)
	}
	h.Balancer.recordReport(h.byID["s2"], utilReport(0.5, 50)) // the slow one has become fast, and reports it
	if s := h.byID["s2"]; s.capacityEstimate != 100 || s.confidence != 1 {
		t.Errorf("after a report of the server: capacity %v, confidence %v", s.capacityEstimate, s.confidence)
	}
	h.advance(time.Minute)
	if h.updateWeights(); h.byID["s0"].confidence > 0.01 {
		t.Errorf("a minute later the confidence in imported data is %v", h.byID["s0"].confidence)
	}
	tried := 0
	for range 20 {
		id, to := h.request(0)
		if to == "s3" {
			tried++
			h.at += h.horizon
			h.endAttempt(id, to, 0, TimedOut, NoReport)
			continue
		}
		h.endAttempt(id, to, 0, OK, NoReport)
	}
	if tried != 1 {
		t.Errorf("the silent server was tried %d times", tried)
	}
}

// A second export gives the same data, also into a value that was used before.
func TestExportIntoUsedMemory(t *testing.T) {
	h := newLearnedHarness(t)
	var m, again Memory
	h.Export(h.at, &m)
	h.Export(h.at, &again)
	h.Export(h.at, &again)
	if !reflect.DeepEqual(m, again) {
		t.Errorf("%+v, then %+v", m, again)
	}
	if n := testing.AllocsPerRun(100, func() { h.Export(h.at, &again) }); n != 0 {
		t.Errorf("%v allocations", n)
	}
}

// Imported data does not replace what a server has reported or done itself, and is ignored if the server
// was restarted or is not in the list.
func TestRecallDoesNotOverrideObservations(t *testing.T) {
	e := ServerMemory{ID: "s0", Rate: 5, Trust: 1, Failing: 0.4}
	for name, c := range map[string]struct {
		do      func(h *harness)
		edit    func(*ServerMemory)
		applied bool
	}{
		"nothing":       {func(*harness) {}, func(*ServerMemory) {}, true},
		"it reported":   {func(h *harness) { h.Balancer.recordReport(h.byID["s0"], utilReport(0.5, 50)) }, func(*ServerMemory) {}, false},
		"it answered":   {func(h *harness) { id, _ := h.request(0); h.endAttempt(id, "s0", 0, OK, NoReport) }, func(*ServerMemory) {}, false},
		"it is sent to": {func(h *harness) { h.request(0) }, func(*ServerMemory) {}, false},
		"it restarted":  {func(*harness) {}, func(e *ServerMemory) { e.Started = 1 }, false},
		"no such":       {func(*harness) {}, func(e *ServerMemory) { e.ID = "s9" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, testSettings(), 1)
			c.do(h)
			e := e
			c.edit(&e)
			h.Recall(h.at, Memory{Servers: []ServerMemory{e}})
			if s := h.byID["s0"]; (s.capacityEstimate == 5 && s.failureRate == 0.4) != c.applied {
				t.Errorf("capacity %v, failure rate %v", s.capacityEstimate, s.failureRate)
			}
		})
	}
}

// Failures at cold servers lower the number of requests that cold servers get.
func TestColdServerFailuresReduceAllowance(t *testing.T) {
	allowance := func(m Memory) float64 {
		h := newHarness(t, testSettings(), 1, 1)
		h.Recall(h.at, m)
		h.Handle(h.at, ServerList{Servers: []Server{{ID: "s1", Weight: 1, Started: h.at}}})
		h.byID["s1"].coldAllowance = 0 // the initial value is random
		h.serve(1, "")
		return h.byID["s1"].coldAllowance
	}
	if healthy, failing := allowance(Memory{}), allowance(Memory{ColdBad: 1, ColdSeen: 20}); math.Abs(failing-healthy/2) > 1e-9 || healthy <= 0 {
		t.Errorf("a cold server gets %v, and %v if all attempts failed", healthy, failing)
	}
}

// Whatever figures are imported, the results are finite and within bounds, and at most a quarter of the
// servers is ejected.
func TestRecallOfRandomMemoryIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		number := func(name string) float64 {
			return rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, -1, 1e308, 1e-308})).Draw(t, name)
		}
		span := func(name string) time.Duration { return time.Duration(rapid.Int64().Draw(t, name)) }
		b, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		b.Start(time.Hour)
		l := ServerList{Full: true}
		m := Memory{Idle: span("idle"), Served: number("served"), Lost: number("lost"), ColdBad: number("cold bad"), ColdSeen: number("cold seen")}
		for i := range rapid.IntRange(1, 9).Draw(t, "servers") {
			id := "s" + string(rune('0'+i))
			l.Servers = append(l.Servers, Server{ID: id, Weight: 1})
			m.Servers = append(m.Servers, ServerMemory{ID: id, Rate: number("rate"), Use: number("use"), Trust: number("trust"),
				Reported: span("reported"), Failing: number("failing"), Judged: span("judged"),
				Ejected: rapid.Bool().Draw(t, "ejected"), Trial: span("trial")})
		}
		for _, c := range b.settings.Classes {
			m.Classes = append(m.Classes, ClassMemory{Name: c.Name, Usual: span("usual"), Least: span("least"), Trust: number("trust")})
		}
		b.Handle(time.Hour, l)
		b.Recall(time.Hour, m)
		b.updateWeights()
		ejected := 0
		for _, s := range b.servers {
			if !(s.drawWeight >= 0 && s.drawWeight < math.Inf(1) && s.failureRate >= 0 && s.failureRate <= maxImportedFailureRate && s.confidence >= 0 && s.confidence <= maxImportedTrust) {
				t.Fatalf("weight %v, failure rate %v, confidence %v", s.drawWeight, s.failureRate, s.confidence)
			}
			if s.ejectedUntil > 0 {
				ejected++
			}
			if s.ejectedUntil > time.Hour+b.horizon {
				t.Fatalf("ejected for %v", s.ejectedUntil-time.Hour)
			}
		}
		if 4*ejected > len(b.servers) {
			t.Fatalf("%d of %d are ejected", ejected, len(b.servers))
		}
		for i, c := range b.settings.Classes {
			initial := float64(c.Aim) / 4
			if b.meanLatency[i] < initial/importedLatencyFactor || b.meanLatency[i] > initial*importedLatencyFactor || b.minLatency[i] > b.meanLatency[i] && b.minLatency[i] > initial {
				t.Fatalf("mean latency %v, minimum %v, initially %v", b.meanLatency[i], b.minLatency[i], initial)
			}
		}
		if !(b.lossRate >= 0 && b.lossRate <= hedgeLossThreshold && b.coldFailureRate >= 0 && b.coldFailureRate <= 1 && b.answerRate >= 0) {
			t.Fatalf("loss rate %v, cold failure rate %v, answer rate %v", b.lossRate, b.coldFailureRate, b.answerRate)
		}
	})
}
