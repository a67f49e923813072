package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"ternbeam/internal/lab/spread"
	"ternbeam/internal/lab/standin"
)

// Report is the result of a run. It is written as JSON under the names of its fields.
type Report struct {
	Scenario *Scenario
	Steps    []StepReport
	Faults   []string          // violated expectations; empty if the run is good
	Behind   time.Duration     // longest time for which an agent kept sending to a server after the list had marked it draining
	Doubles  int               // duplicate effects
	Twice    []DuplicateEffect // the duplicate effects at two servers
	Stalls   int               // number of stalls of the machine itself
	Stood    time.Duration     // longest stall
	Void     string            // why the run is not valid; empty if it is
	Push     float64           // highest load that a cold server received, as a multiple of its capacity at the time
	Events   []Event           // the whole record
}

// DuplicateEffect is a call that had its effect at two servers that do not deduplicate between each other.
type DuplicateEffect struct {
	Agent, Call int
	Servers     [2]string // ids
}

// history describes the call by the events of the record.
func (t DuplicateEffect) history(events []Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "call %d of agent %d took effect at %s and %s:", t.Call, t.Agent, t.Servers[0], t.Servers[1])
	for _, e := range events {
		processEvent := e.Kind == ProcessStopped || e.Kind == ProcessResumed || e.Kind == ProcessExited || e.Kind == ProcessStarted
		if e.Agent == t.Agent && (e.Call == t.Call || processEvent) {
			fmt.Fprintf(&b, " %v %s", e.At.Round(time.Millisecond), strings.TrimSpace(e.Kind+" "+e.Said))
		}
	}
	return b.String()
}

// StepReport is the result of a step, computed from the record.
type StepReport struct {
	Step             Step
	Begin            time.Duration
	Mended           time.Duration  // when the last fault ended; in the first step, when the agents were started
	All              time.Duration  // from Mended until all agents held a watch; 0 if they never did
	Holding          int            // agents that held a watch at the end
	Down             int            // calls to the list service while it was down
	Calls            int            // calls to the list service while it was up
	GivenUp          int            // calls among Calls that the service gave up, as they had waited too long
	Most             int            // highest number of calls among Calls of a single agent
	Answers          map[string]int // answers to kiosks, by kind
	Serving          int            // agents that have served a call that arrived after Mended
	ServedBy         time.Duration  // from Mended until each had served one; 0 if they never did
	Datagrams, Bytes float64        // sent by agents to each other, per agent and second
	Silent           []int          // calls that servers received while they were silent, by second since the first became silent
	Muted            int            // number of servers that were silent at the same time, at most
	Back             []int          // calls that these servers received after the last of them answered again, by second
	Spread           spread.Spread  // of the calls that servers received
}

// countBySecond adds an event to the count of its second.
func countBySecond(seconds []int, at time.Duration) []int {
	for int(at/time.Second) >= len(seconds) {
		seconds = append(seconds, 0)
	}
	seconds[at/time.Second]++
	return seconds
}

// SteadyRate returns the mean number of calls per second that each silent server received, after the first 5 s.
func (r *StepReport) SteadyRate() float64 { return spread.SteadyRate(r.Silent, r.Muted) }

// recovered reports whether all agents have recovered.
func (r *StepReport) recovered(agents int) bool {
	if r.Step.Served {
		return r.Serving == agents
	}
	return r.Holding == agents
}

// newStepReport evaluates the record for a step that began at the given time.
func newStepReport(step Step, agents, servers int, begin time.Duration, events []Event) StepReport {
	r := StepReport{Step: step, Begin: begin, Mended: begin, Answers: map[string]int{}}
	for _, e := range events {
		if e.Kind == FaultEnded && e.At >= begin {
			r.Mended = e.At
		}
	}
	received := map[string]int{}
	open, calls, serving := make([]int, agents), make([]int, agents), make([]bool, agents)
	silent, firstSilentAt := map[string]bool{}, time.Duration(0)
	back, lastBackAt := map[string]bool{}, time.Duration(0)
	for _, e := range events {
		switch e.Kind {
		case WatchStarted, WatchEnded:
			before := open[e.Agent]
			if e.Kind == WatchStarted {
				open[e.Agent]++
			} else {
				open[e.Agent]--
			}
			switch {
			case before == 0:
				if r.Holding++; r.Holding == agents && r.All == 0 && e.At >= r.Mended {
					r.All = e.At - r.Mended
				}
			case open[e.Agent] == 0:
				r.Holding--
			}
		case ServerSilenced:
			if len(silent) == 0 {
				firstSilentAt = e.At
			}
			silent[e.Said] = true
			r.Muted = max(r.Muted, len(silent))
		case ServerAnswersAgain:
			delete(silent, e.Said)
			back[e.Said], lastBackAt = true, e.At
		case CallReceived:
			if e.At >= begin {
				received[e.Said]++
			}
			if e.At >= begin && silent[e.Said] {
				r.Silent = countBySecond(r.Silent, e.At-firstSilentAt)
			}
			if e.At >= begin && len(silent) == 0 && back[e.Said] {
				r.Back = countBySecond(r.Back, e.At-lastBackAt)
			}
		case ListCalled:
			if e.At < begin {
				continue
			}
			if e.Said == Down || e.Said == Hung {
				r.Down++
				continue
			}
			r.Calls++
			calls[e.Agent]++
			r.Most = max(r.Most, calls[e.Agent])
			if e.Said == GivenUp {
				r.GivenUp++
			}
		case KioskAnswered:
			if e.At >= begin {
				r.Answers[e.Said]++
			}
			if e.Said == standin.Served.String() && e.At-e.Took >= r.Mended && !serving[e.Agent] {
				serving[e.Agent] = true
				if r.Serving++; r.Serving == agents {
					r.ServedBy = e.At - r.Mended
				}
			}
		}
	}
	r.Spread = spread.Compute(servers, received)
	return r
}

// String returns the main figures in a line of text.
func (r StepReport) String() string {
	return fmt.Sprintf("%s: %d hold a watch, all after %.1f s; %d calls, %d given up, at most %d of one agent; %d while the service was down",
		r.Step.Name, r.Holding, r.All.Seconds(), r.Calls, r.GivenUp, r.Most, r.Down)
}

// check evaluates the record against the expectations of the scenario and the platform's rules, and sets the fields for violations.
func (r *Report) check() {
	fault := func(format string, args ...any) { r.Faults = append(r.Faults, fmt.Sprintf(format, args...)) }
	for _, e := range r.Events {
		switch {
		case e.Kind == ProcessExited && e.Said != "":
			fault("agent %d exited %v after the start, %s", e.Agent, e.At.Round(time.Millisecond), e.Said)
		case e.Kind == ServerOverloaded:
			fault("rule 4: %s crashed of overload %v after the start", e.Said, e.At.Round(time.Millisecond))
		case e.Kind == MachineStalled:
			r.Stalls, r.Stood = r.Stalls+1, max(r.Stood, e.Took)
		}
	}
	for _, f := range checkAnswers(r.Events, r.Scenario.Kiosks.Left) {
		fault("rule 1: %s", f)
	}
	if r.Doubles > 0 {
		fault("rule 2: %d duplicate effects", r.Doubles)
	}
	for _, t := range r.Twice {
		fault("rule 2: %s", t.history(r.Events))
	}
	agents := r.Scenario.Agents
	for _, f := range checkDrains(r.Events, agents, r.Scenario.MustAsk, r.Scenario.Pushed) {
		fault("rule 3: %s", f)
	}
	var stale []string
	r.Behind, stale = checkStaleness(r.Events, r.Scenario.Stale)
	for _, f := range stale {
		fault("%s", f)
	}
	if r.Stood > machineNoise {
		r.Void = fmt.Sprintf("the machine stalled for %v", r.Stood)
	}
	for _, s := range r.Steps {
		took, n, state := s.All, s.Holding, "hold a watch"
		if s.Step.Served {
			took, n, state = s.ServedBy, s.Serving, "have served a call"
		}
		if n < agents {
			fault("%s: only %d of %d agents %s", s.Step.Name, n, agents, state)
		} else if s.Step.Within > 0 && took > s.Step.Within {
			fault("%s: all %s after %.2f s, limit %.2f s", s.Step.Name, state, took.Seconds(), s.Step.Within.Seconds())
		}
		if limit := s.Step.Even * s.Spread.Chance; limit > 0 && s.Spread.Variation > limit {
			fault("%s: calls per server vary by %.3f of the mean, limit %.3f", s.Step.Name, s.Spread.Variation, limit)
		}
		if rate := s.SteadyRate(); s.Step.Tried > 0 && rate > s.Step.Tried {
			fault("%s: %.2f calls per second at each silent server, limit %.2f", s.Step.Name, rate, s.Step.Tried)
		}
		if limit := s.Step.Calls * float64(agents); limit > 0 && float64(s.Calls) > limit {
			fault("%s: %d calls, limit %.0f", s.Step.Name, s.Calls, limit)
		}
	}
}

// Table writes the report as a text table, followed by the violated expectations.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "step\thold a watch\tall after s\tserve\tall after s\tcalls\tgiven up\tmax. of one agent\twhile down\tdatagrams/s\tbytes/s\t")
	for _, s := range r.Steps {
		all := "never"
		if s.Holding == r.Scenario.Agents {
			all = fmt.Sprintf("%.1f", s.All.Seconds())
		}
		served := "never"
		if s.Serving == r.Scenario.Agents {
			served = fmt.Sprintf("%.1f", s.ServedBy.Seconds())
		}
		fmt.Fprintf(t, "%s\t%d of %d\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%.1f\t%.0f\t\n", s.Step.Name, s.Holding, r.Scenario.Agents, all, s.Serving, served,
			s.Calls, s.GivenUp, s.Most, s.Down, s.Datagrams, s.Bytes)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	if r.Scenario.Kiosks.Rate > 0 {
		if err := r.writeAnswers(w); err != nil {
			return err
		}
	}
	if r.Void != "" {
		fmt.Fprintln(w, "VOID:", r.Void)
	}
	for i, f := range r.Faults {
		if i == maxPrintedFaults {
			fmt.Fprintf(w, "and %d more\n", len(r.Faults)-i)
			break
		}
		fmt.Fprintln(w, "FAULT:", f)
	}
	return nil
}

// maxPrintedFaults limits the faults that Table prints.
const maxPrintedFaults = 20

// writeAnswers writes a table of the answers to kiosks and the distribution of calls over servers.
func (r *Report) writeAnswers(w io.Writer) error {
	kinds := []string{standin.Served.String(), standin.Refused.String(), standin.Failed.String(), standin.Lost.String(), Unreachable}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "answers\t%s\tcalls per server\tlargest/mean\tvariation\tby chance\t\n", strings.Join(kinds, "\t"))
	for _, s := range r.Steps {
		fmt.Fprintf(t, "%s\t", s.Step.Name)
		for _, k := range kinds {
			fmt.Fprintf(t, "%d\t", s.Answers[k])
		}
		fmt.Fprintf(t, "%.0f\t%.2f\t%.3f\t%.3f\t\n", s.Spread.Mean, s.Spread.Largest/max(1, s.Spread.Mean), s.Spread.Variation, s.Spread.Chance)
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range r.Steps {
		if len(s.Silent) > 0 {
			fmt.Fprintf(w, "%s: calls to %d silent servers, by second: %v; after the first 5 s %.2f per second at each\n", s.Step.Name, s.Muted, s.Silent, s.SteadyRate())
		}
		if len(s.Back) > 0 {
			fmt.Fprintf(w, "%s: calls to servers that answer again, by second: %v\n", s.Step.Name, s.Back)
		}
	}
	_, err := fmt.Fprintf(w, "highest load of a cold server: %.2f times its capacity; longest sending after a drain %v; %d duplicate effects; %d stalls of the machine, longest %v\n",
		r.Push, r.Behind.Round(time.Millisecond), r.Doubles, r.Stalls, r.Stood.Round(time.Millisecond))
	return err
}

// JSON writes the report with its record as indented JSON.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}
