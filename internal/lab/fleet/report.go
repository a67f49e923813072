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

// Report is what became of a run.
type Report struct {
	Scenario *Scenario
	Steps    []StepReport
	Faults   []string      // what broke an expectation; none where the run is good
	Behind   time.Duration // the longest for which an agent sent to a server that the list said drains
	Doubles  int           // effects that came twice
	Twice    []Twice       // of them, those that came at two servers
	Stalls   int           // of the machine itself
	Stood    time.Duration // the longest of them
	Void     string        // why the run says nothing of the program; empty where it does
	Push     float64       // the most that a cold server was sent, as a multiple of what it could do
	Events   []Event
}

// Twice is a call that had its effect at two servers that drop no repeats of one another's.
type Twice struct {
	Agent, Call int
	Servers     [2]string
}

// story says what became of the call, by the record.
func (t Twice) story(events []Event) string {
	var b strings.Builder
	fmt.Fprintf(&b, "call %d of agent %d, at %s and %s:", t.Call, t.Agent, t.Servers[0], t.Servers[1])
	for _, e := range events {
		of := e.Kind == Stopped || e.Kind == Resumed || e.Kind == Died || e.Kind == Started
		if e.Agent == t.Agent && (e.Call == t.Call || of) {
			fmt.Fprintf(&b, " %v %s", e.At.Round(time.Millisecond), strings.TrimSpace(e.Kind+" "+e.Said))
		}
	}
	return b.String()
}

// StepReport is what became of a step, by the record.
type StepReport struct {
	Step             Step
	Begin            time.Duration
	Mended           time.Duration // when the last fault was over, or the agents began to start
	All              time.Duration // from then until all agents held a watch; 0 if they never did
	Holding          int           // agents that held a watch at the end
	Down             int           // calls that met a service that was down
	Calls            int           // calls that met one that was up
	GivenUp          int           // of them, those that waited for too long
	Most             int           // of them, those of one agent
	Answers          map[string]int
	Serving          int           // agents that have served a call since
	ServedBy         time.Duration // from Mended until each had; 0 if they never did
	Datagrams, Bytes float64       // that agents sent, an agent a second
	Silent           []int         // calls that servers got while they were silent, by the second since the first fell silent
	Muted            int           // how many fell silent
	Back             []int         // calls that these got from when the last of them answered again, by the second
	Spread           spread.Spread // of what servers got
}

// count counts an event in its second.
func count(seconds []int, at time.Duration) []int {
	for int(at/time.Second) >= len(seconds) {
		seconds = append(seconds, 0)
	}
	seconds[at/time.Second]++
	return seconds
}

// Tried is how many calls a silent server got in a second, from the fifth on.
func (r *StepReport) Tried() float64 { return spread.Tried(r.Silent, r.Muted) }

// recovered reports whether the step's recovery is over.
func (r *StepReport) recovered(agents int) bool {
	if r.Step.Served {
		return r.Serving == agents
	}
	return r.Holding == agents
}

// newStepReport counts a step that began at a time.
func newStepReport(step Step, agents, servers int, begin time.Duration, events []Event) StepReport {
	r := StepReport{Step: step, Begin: begin, Mended: begin, Answers: map[string]int{}}
	for _, e := range events {
		if e.Kind == Mended && e.At >= begin {
			r.Mended = e.At
		}
	}
	got := map[string]int{}
	open, calls, serving := make([]int, agents), make([]int, agents), make([]bool, agents)
	silent, muted := map[string]bool{}, time.Duration(0)
	back, spoke := map[string]bool{}, time.Duration(0)
	for _, e := range events {
		switch e.Kind {
		case Began, Ended:
			before := open[e.Agent]
			if e.Kind == Began {
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
		case Mutes:
			if len(silent) == 0 {
				muted = e.At
			}
			silent[e.Said] = true
			r.Muted = max(r.Muted, len(silent))
		case Speaks:
			delete(silent, e.Said)
			back[e.Said], spoke = true, e.At
		case Got:
			if e.At >= begin {
				got[e.Said]++
			}
			if e.At >= begin && silent[e.Said] {
				r.Silent = count(r.Silent, e.At-muted)
			}
			if e.At >= begin && len(silent) == 0 && back[e.Said] {
				r.Back = count(r.Back, e.At-spoke)
			}
		case Called:
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
		case Answer:
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
	r.Spread = spread.Of(servers, got)
	return r
}

func (r StepReport) String() string {
	return fmt.Sprintf("%s: %d hold a watch, all after %.1f s; %d calls, %d given up, %d of one agent at most; %d while down",
		r.Step.Name, r.Holding, r.All.Seconds(), r.Calls, r.GivenUp, r.Most, r.Down)
}

// judge holds the record against what the scenario expects.
func (r *Report) judge() {
	fault := func(format string, args ...any) { r.Faults = append(r.Faults, fmt.Sprintf(format, args...)) }
	for _, e := range r.Events {
		switch {
		case e.Kind == Died && e.Said != "":
			fault("agent %d died %v after the start, %s", e.Agent, e.At.Round(time.Millisecond), e.Said)
		case e.Kind == Fell:
			fault("rule 4: %s was pushed over %v after the start", e.Said, e.At.Round(time.Millisecond))
		case e.Kind == Stall:
			r.Stalls, r.Stood = r.Stalls+1, max(r.Stood, e.Took)
		}
	}
	for _, f := range answers(r.Events, r.Scenario.Kiosks.Left) {
		fault("rule 1: %s", f)
	}
	if r.Doubles > 0 {
		fault("rule 2: %d effects came twice", r.Doubles)
	}
	for _, t := range r.Twice {
		fault("rule 2: %s", t.story(r.Events))
	}
	agents := r.Scenario.Agents
	for _, f := range drains(r.Events, agents, r.Scenario.MustAsk, r.Scenario.Pushed) {
		fault("rule 3: %s", f)
	}
	var stale []string
	r.Behind, stale = staleness(r.Events, r.Scenario.Stale)
	for _, f := range stale {
		fault("%s", f)
	}
	if r.Stood > noise {
		r.Void = fmt.Sprintf("the machine stood still for %v", r.Stood)
	}
	for _, s := range r.Steps {
		took, n, what := s.All, s.Holding, "hold a watch"
		if s.Step.Served {
			took, n, what = s.ServedBy, s.Serving, "have served a call"
		}
		if n < agents {
			fault("%s: only %d of %d agents %s", s.Step.Name, n, agents, what)
		} else if s.Step.Within > 0 && took > s.Step.Within {
			fault("%s: all %s after %.2f s, over %.2f s", s.Step.Name, what, took.Seconds(), s.Step.Within.Seconds())
		}
		if most := s.Step.Even * s.Spread.Chance; most > 0 && s.Spread.Variation > most {
			fault("%s: calls of servers vary by %.3f of the mean, over %.3f", s.Step.Name, s.Spread.Variation, most)
		}
		if tried := s.Tried(); s.Step.Tried > 0 && tried > s.Step.Tried {
			fault("%s: %.2f calls a second at each silent server, over %.2f", s.Step.Name, tried, s.Step.Tried)
		}
		if most := s.Step.Calls * float64(agents); most > 0 && float64(s.Calls) > most {
			fault("%s: %d calls, over %.0f", s.Step.Name, s.Calls, most)
		}
	}
}

// Table prints a report.
func (r *Report) Table(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "step\thold a watch\tall after s\tserve\tall after s\tcalls\tgiven up\tof one at most\twhile down\tdatagrams\tbytes\t")
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
		if err := r.answersTable(w); err != nil {
			return err
		}
	}
	if r.Void != "" {
		fmt.Fprintln(w, "VOID:", r.Void)
	}
	for i, f := range r.Faults {
		if i == mostFaults {
			fmt.Fprintf(w, "and %d more\n", len(r.Faults)-i)
			break
		}
		fmt.Fprintln(w, "FAULT:", f)
	}
	return nil
}

// mostFaults is how many a table names.
const mostFaults = 20

// answersTable prints what became of the calls.
func (r *Report) answersTable(w io.Writer) error {
	kinds := []string{standin.Served.String(), standin.Refused.String(), standin.Failed.String(), standin.Lost.String(), Unreached}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(t, "answers\t%s\tcalls a server\tlargest\tvariation\tby chance\t\n", strings.Join(kinds, "\t"))
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
			fmt.Fprintf(w, "%s: calls to %d silent servers, by the second: %v, from the fifth on %.2f at each\n", s.Step.Name, s.Muted, s.Silent, s.Tried())
		}
		if len(s.Back) > 0 {
			fmt.Fprintf(w, "%s: calls to servers that answer again, by the second: %v\n", s.Step.Name, s.Back)
		}
	}
	_, err := fmt.Fprintf(w, "most sent to a cold server: %.2f times what it could do; %v behind a drain at most; %d effects twice; %d stalls of the machine, %v at most\n",
		r.Push, r.Behind.Round(time.Millisecond), r.Doubles, r.Stalls, r.Stood.Round(time.Millisecond))
	return err
}

// JSON writes a report with its record.
func (r *Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", " ")
	return e.Encode(r)
}
