package fleet

import (
	"fmt"
	"time"

	"ternbeam/internal/lab/standin"
)

const (
	// drainGrace is how long after it was told of a drain an agent may still send, with the slack of the platform's rules and
	// what a loaded machine needs to pass a call on.
	drainGrace = standin.DrainGrace + 50*time.Millisecond
	// toldAfter is how long after a watch fell silent what it misses counts as told, whether or not it arrived.
	toldAfter = 6 * time.Second
	// answerGrace is how long after its time a call's answer may come.
	answerGrace = 70 * time.Millisecond
	// noise is what the machine adds to both, with many processes on few cores.
	noise = 200 * time.Millisecond
)

// downs are the times at which an agent's process did not run, or stood still.
type downs map[int][]span

type span struct{ from, to time.Duration }

func (d downs) any(agent int, from, to time.Duration) bool {
	for _, s := range d[agent] {
		if s.from < to && from < s.to {
			return true
		}
	}
	return false
}

// downsOf reads them from a record.
func downsOf(events []Event, end time.Duration) downs {
	d, since := downs{}, map[int]time.Duration{}
	for _, e := range events {
		switch e.Kind {
		case Died, Stopped:
			if _, down := since[e.Agent]; !down {
				since[e.Agent] = e.At
			}
		case Started, Resumed:
			if from, down := since[e.Agent]; down {
				d[e.Agent] = append(d[e.Agent], span{from, e.At})
				delete(since, e.Agent)
			}
		}
	}
	for agent, from := range since {
		d[agent] = append(d[agent], span{from, end})
	}
	return d
}

// answers checks that each call got one final answer in time, but for those of agents that were killed or stopped meanwhile.
func answers(events []Event, left time.Duration) (faults []string) {
	d := downsOf(events, time.Hour)
	for _, e := range events {
		if e.Kind != Answer || d.any(e.Agent, e.At-e.Took-noise, e.At+noise) { // clients see a death before the rig does
			continue
		}
		switch late := e.Took > left+answerGrace+noise; {
		case e.Said == standin.Lost.String():
			faults = append(faults, fmt.Sprintf("%v: a call to agent %d was lost after %v", e.At, e.Agent, e.Took))
		case late:
			faults = append(faults, fmt.Sprintf("%v: an answer of agent %d took %v", e.At, e.Agent, e.Took))
		}
	}
	return faults
}

// heard is what an agent knows of a list, by the world's book.
type heard struct {
	watching int
	contact  time.Duration            // the latest word between it and the service
	until    time.Duration            // that word holds so long
	told     map[string]time.Duration // when each server was told to drain, or counts as told
	hushed   bool                     // its latest watch fell silent, and it has no other one yet
	since    time.Duration            // when that was
	cutOff   bool                     // it can't reach the service
	reached  time.Duration            // when its process began, or it could reach the service again
}

// drains checks that nothing new goes to a server longer than the grace after its agent was told that it drains. What the list
// says counts as told to an agent that has neither watched nor asked for mustAsk, four times that after a call that failed, and to one
// whose watch has fallen silent 6 s after that, however it asks. Where lists are pushed, what the list says counts as told as soon as the
// agent can reach the service, whether or not it watches.
func drains(events []Event, agents int, mustAsk time.Duration, pushed bool) (faults []string) {
	draining := map[string]time.Duration{} // by server, since when the list says so
	all := make([]heard, agents)
	for i := range all {
		all[i] = heard{told: map[string]time.Duration{}, until: mustAsk}
	}
	stopped := downs{}
	for _, e := range events {
		switch e.Kind {
		case Drains:
			draining[e.Said] = e.At
		case Serves:
			delete(draining, e.Said)
			for i := range all {
				delete(all[i].told, e.Said)
			}
		case Started:
			all[e.Agent] = heard{told: map[string]time.Duration{}, contact: e.At, until: e.At + mustAsk, cutOff: all[e.Agent].cutOff, reached: e.At}
		case LostList:
			all[e.Agent].cutOff = true
		case HasList:
			all[e.Agent].cutOff, all[e.Agent].reached = false, e.At
		case Began:
			all[e.Agent].watching++
			all[e.Agent].hushed = false
		case Hushed:
			all[e.Agent].hushed, all[e.Agent].since = true, e.At
		case Ended:
			h := &all[e.Agent]
			if h.watching--; h.watching == 0 {
				h.contact, h.until = e.At, e.At+mustAsk
			}
		case Called:
			h := &all[e.Agent]
			if h.contact = e.At; e.Said == Answered {
				h.until = e.At + mustAsk
			} else {
				h.until = e.At + 4*mustAsk
			}
		case Told:
			if _, known := all[e.Agent].told[e.Said]; !known {
				all[e.Agent].told[e.Said] = e.At
			}
		case Resumed: // what it does in the first moment it could not know better
			stopped[e.Agent] = append(stopped[e.Agent], span{e.At, e.At + drainGrace + noise})
		case Got:
			if e.Agent < 0 || e.Agent >= agents {
				continue
			}
			since, drains := draining[e.Said]
			if !drains || stopped.any(e.Agent, e.At-time.Millisecond, e.At) {
				continue
			}
			h := &all[e.Agent]
			told, known := h.told[e.Said]
			if pushed && !h.cutOff && !h.hushed {
				if reached := max(since, h.reached); !known || reached < told {
					told, known = reached, true
				}
			}
			if !pushed && !known && h.watching == 0 && e.At > h.until {
				told, known = max(since+mustAsk, h.until), e.At >= since+mustAsk
			}
			if heard := max(since, h.since+toldAfter); h.hushed && e.At >= heard && (!known || heard < told) {
				told, known = heard, true
			}
			if known && e.At > told+drainGrace+noise {
				faults = append(faults, fmt.Sprintf("%v: agent %d sent to %s, %v after it was told that it drains", e.At, e.Agent, e.Said, e.At-told))
			}
		}
	}
	return faults
}

// staleness returns the longest for which an agent went on sending to a server after the list said that it drains, and who did so
// longer than a bound; any time where that is 0.
func staleness(events []Event, bound time.Duration) (most time.Duration, faults []string) {
	draining, excused := map[string]time.Duration{}, downs{}
	for _, e := range events {
		switch e.Kind {
		case Drains:
			draining[e.Said] = e.At
		case Serves:
			delete(draining, e.Said)
		case Started, Resumed: // it had no way to know better in its first moment
			excused[e.Agent] = append(excused[e.Agent], span{e.At, e.At + bound})
		case Got:
			since, drains := draining[e.Said]
			if !drains || e.Agent < 0 || excused.any(e.Agent, e.At-time.Millisecond, e.At) {
				continue
			}
			late := e.At - since
			if most = max(most, late); bound > 0 && late > bound+drainGrace+noise {
				faults = append(faults, fmt.Sprintf("%v: agent %d sent to %s, which the list had drained for %v", e.At, e.Agent, e.Said, late))
			}
		}
	}
	return most, faults
}
