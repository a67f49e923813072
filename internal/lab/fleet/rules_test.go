package fleet

import (
	"strings"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
)

const (
	ms  = time.Millisecond
	sec = time.Second
)

// Late and lost answers are reported, except if the agent was killed or stopped meanwhile.
func TestAnswersRule(t *testing.T) {
	answer := func(at, took time.Duration, said string) Event {
		return Event{At: at, Kind: KioskAnswered, Agent: 1, Said: said, Took: took}
	}
	events := []Event{{At: 0, Kind: ProcessStarted, Agent: 1}, answer(3*sec, 2*sec, "served"), answer(3*sec, 3*sec, "served"), answer(4*sec, ms, standin.Lost.String()),
		answer(4*sec, ms, Unreachable), {At: 5 * sec, Kind: ProcessExited, Agent: 1}, answer(5*sec-ms, sec, standin.Lost.String()), answer(5*sec+ms, sec, standin.Lost.String()), {At: 6 * sec, Kind: ProcessStarted, Agent: 1},
		{At: 10 * sec, Kind: ProcessStopped, Agent: 1}, {At: 15 * sec, Kind: ProcessResumed, Agent: 1}, answer(15*sec, 5*sec, "served"), answer(16*sec, ms, standin.Lost.String())}
	got := strings.Join(checkAnswers(events, 2*sec), "\n")
	if want := "3s: answer of agent 1 took 3s\n4s: call to agent 1 lost after 1ms\n16s: call to agent 1 lost after 1ms"; got != want {
		t.Errorf("%s", got)
	}
}

// A call sent after the agent was notified of a drain, or counts as notified, is reported; one sent before is not.
func TestDrainsRule(t *testing.T) {
	const must = 10 * sec
	send := func(at time.Duration) Event { return Event{At: at, Kind: CallReceived, Agent: 0, Said: "s"} }
	begin := []Event{{At: 0, Kind: ProcessStarted, Agent: 0}, {At: sec, Kind: ListCalled, Agent: 0, Said: Answered}, {At: sec, Kind: WatchStarted, Agent: 0},
		{At: 2 * sec, Kind: ServerDraining, Agent: -1, Said: "s"}}
	for name, c := range map[string]struct {
		events []Event
		faults int
	}{
		"notified, sent within the grace":         {[]Event{{At: 2 * sec, Kind: DrainNotified, Agent: 0, Said: "s"}, send(2*sec + 500*ms)}, 0},
		"notified, sent later":                    {[]Event{{At: 2 * sec, Kind: DrainNotified, Agent: 0, Said: "s"}, send(2*sec + 900*ms)}, 1},
		"notified, in service again":              {[]Event{{At: 2 * sec, Kind: DrainNotified, Agent: 0, Said: "s"}, {At: 3 * sec, Kind: ServerInService, Agent: -1, Said: "s"}, send(4 * sec)}, 0},
		"not notified":                            {[]Event{send(20 * sec)}, 0},
		"the watch ended long ago":                {[]Event{{At: 3 * sec, Kind: WatchEnded, Agent: 0}, send(12 * sec), send(14 * sec)}, 1},
		"a failed call meanwhile":                 {[]Event{{At: 3 * sec, Kind: WatchEnded, Agent: 0}, {At: 8 * sec, Kind: ListCalled, Agent: 0, Said: Down}, send(14 * sec), send(49 * sec)}, 1},
		"a new process that never calls":          {[]Event{{At: 3 * sec, Kind: WatchEnded, Agent: 0}, {At: 4 * sec, Kind: ProcessExited, Agent: 0}, {At: 5 * sec, Kind: ProcessStarted, Agent: 0}, send(14 * sec), send(16 * sec)}, 1},
		"its watch was silenced before":           {[]Event{{At: sec, Kind: WatchEnded, Agent: 0}, {At: sec, Kind: WatchSilenced, Agent: 0}, send(7*sec + 700*ms), send(7*sec + 800*ms)}, 1},
		"silenced, and the drain came later":      {[]Event{{At: sec, Kind: WatchEnded, Agent: 0}, {At: sec, Kind: WatchSilenced, Agent: 0}, {At: 3 * sec, Kind: ServerInService, Agent: -1, Said: "s"}, {At: 9 * sec, Kind: ServerDraining, Agent: -1, Said: "s"}, send(9*sec + 700*ms), send(10 * sec)}, 1},
		"silenced, and a call that was given up":  {[]Event{{At: sec, Kind: WatchEnded, Agent: 0}, {At: sec, Kind: WatchSilenced, Agent: 0}, {At: 4 * sec, Kind: ListCalled, Agent: 0, Said: GivenUp}, send(8 * sec)}, 1},
		"silenced, and a new watch, not notified": {[]Event{{At: sec, Kind: WatchEnded, Agent: 0}, {At: sec, Kind: WatchSilenced, Agent: 0}, {At: 5 * sec, Kind: ListCalled, Agent: 0, Said: Answered}, {At: 5 * sec, Kind: WatchStarted, Agent: 0}, send(9 * sec)}, 0},
		"stopped, just continued":                 {[]Event{{At: 3 * sec, Kind: WatchEnded, Agent: 0}, {At: 4 * sec, Kind: ProcessStopped, Agent: 0}, {At: 30 * sec, Kind: ProcessResumed, Agent: 0}, send(30*sec + 100*ms), send(32 * sec)}, 1},
	} {
		if got := checkDrains(append(begin[:len(begin):len(begin)], c.events...), 1, must, false); len(got) != c.faults {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// If lists are pushed, an agent counts as notified of the list as soon as it can reach the service, with or without a watch.
func TestDrainsRuleWithPushedLists(t *testing.T) {
	send := func(at time.Duration) Event { return Event{At: at, Kind: CallReceived, Agent: 0, Said: "s"} }
	drain := Event{At: 2 * sec, Kind: ServerDraining, Agent: -1, Said: "s"}
	begin := []Event{{At: 0, Kind: ProcessStarted, Agent: 0}, {At: sec, Kind: WatchStarted, Agent: 0}}
	for name, c := range map[string]struct {
		events []Event
		faults int
	}{
		"within the grace":                      {[]Event{drain, send(2*sec + 700*ms)}, 0},
		"later":                                 {[]Event{drain, send(2*sec + 800*ms)}, 1},
		"without a watch":                       {[]Event{{At: sec, Kind: WatchEnded, Agent: 0}, drain, send(2*sec + 800*ms)}, 1},
		"while the service is down":             {[]Event{{At: sec, Kind: ListUnreachable, Agent: 0}, drain, send(30 * sec)}, 0},
		"after its return, within the grace":    {[]Event{{At: sec, Kind: ListUnreachable, Agent: 0}, drain, {At: 9 * sec, Kind: ListReachable, Agent: 0}, send(9*sec + 700*ms)}, 0},
		"after its return, later":               {[]Event{{At: sec, Kind: ListUnreachable, Agent: 0}, drain, {At: 9 * sec, Kind: ListReachable, Agent: 0}, send(9*sec + 800*ms)}, 1},
		"a process that starts after the drain": {[]Event{drain, {At: 3 * sec, Kind: ProcessExited, Agent: 0}, {At: 9 * sec, Kind: ProcessStarted, Agent: 0}, send(9*sec + 700*ms), send(9*sec + 800*ms)}, 1},
		"its watch was silenced before":         {[]Event{{At: sec, Kind: WatchEnded, Agent: 0}, {At: sec, Kind: WatchSilenced, Agent: 0}, drain, send(7*sec + 700*ms), send(7*sec + 800*ms)}, 1},
		"the service is lost again after":       {[]Event{{At: sec, Kind: ListUnreachable, Agent: 0}, drain, {At: 9 * sec, Kind: ListReachable, Agent: 0}, {At: 9*sec + ms, Kind: ListUnreachable, Agent: 0}, send(20 * sec)}, 0},
	} {
		if got := checkDrains(append(begin[:len(begin):len(begin)], c.events...), 1, 10*sec, true); len(got) != c.faults {
			t.Errorf("%s: %q", name, got)
		}
	}
}

// An agent that keeps sending to a draining server beyond the bound is reported, whether or not it was notified; one that has just
// started or was continued is not.
func TestStalenessRule(t *testing.T) {
	send := func(at time.Duration, agent int) Event {
		return Event{At: at, Kind: CallReceived, Agent: agent, Said: "s"}
	}
	events := []Event{{At: 0, Kind: ProcessStarted, Agent: 0}, {At: 0, Kind: ProcessStarted, Agent: 1}, {At: 20 * sec, Kind: ServerDraining, Agent: -1, Said: "s"}, send(25*sec, 0), send(29*sec, 0),
		{At: 28 * sec, Kind: ProcessResumed, Agent: 1}, send(30*sec, 1), send(40*sec, 1), {At: 41 * sec, Kind: ServerInService, Agent: -1, Said: "s"}, send(50*sec, 0)}
	if longest, faults := checkStaleness(events, 8*sec); longest != 20*sec || len(faults) != 2 {
		t.Errorf("longest %v, faults %q", longest, faults)
	}
	if _, faults := checkStaleness(events, 0); len(faults) != 0 {
		t.Errorf("faults without a bound: %q", faults)
	}
}

// A cold server crashes only if its load exceeds its limit.
func TestColdServerCrashesOnlyAboveItsLoadLimit(t *testing.T) {
	opts := ServerOptions{Capacity: 100, ColdFrom: 0.5, ColdFor: time.Hour, Push: 2, FallIn: 3 * sec, Queue: time.Hour}
	for rate, crashes := range map[int]bool{50: false, 95: false, 130: true} {
		now := time.Duration(0)
		s := &server{id: "s", opts: opts, group: standin.NewDedupGroup(), record: NewRecord(), now: func() time.Duration { return now }}
		if err := s.start(true); err != nil {
			t.Fatal(err)
		}
		for range 10 * rate {
			now += sec / time.Duration(rate)
			s.handleCall(standin.Call{ID: callID(3, 7)})
		}
		events, _ := s.record.Since(0)
		if crashed := events[len(events)-1].Kind == ServerOverloaded || s.running == nil; crashed != crashes {
			t.Errorf("%d calls per second, %.2f times the capacity: crashed %t", rate, s.maxOverload(), crashed)
		}
		if e := events[0]; e.Kind != CallReceived || e.Agent != 3 || e.Said != "s" {
			t.Errorf("%+v", e)
		}
		s.stop()
	}
}
