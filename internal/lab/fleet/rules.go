package fleet

import (
	"fmt"
	"time"

	"ternbeam/internal/lab/standin"
)

const (
	// drainGrace is how long an agent may still send to a server after it was notified that the server drains: the tolerance of the
	// platform's rules, plus the time that a loaded machine needs to forward a call.
	drainGrace = standin.DrainGrace + 50*time.Millisecond
	// notifiedAfter is how long after its watch was silenced an agent counts as notified of changes of the list, whether or not
	// it received them.
	notifiedAfter = 6 * time.Second
	// answerGrace is how long after a call's deadline its answer may arrive.
	answerGrace = 70 * time.Millisecond
	// machineNoise is the delay that the machine adds to drainGrace and to answerGrace, with many processes on few cores.
	machineNoise = 200 * time.Millisecond
)

// downtimes has, by agent, the spans in which its process did not run or was stopped.
type downtimes map[int][]span

// span is a range of time.
type span struct{ from, to time.Duration }

// any reports whether an agent was down at any time in the given range.
func (d downtimes) any(agent int, from, to time.Duration) bool {
	for _, s := range d[agent] {
		if s.from < to && from < s.to {
			return true
		}
	}
	return false
}

// downtimesOf returns the downtimes of a record that ends at the given time.
func downtimesOf(events []Event, end time.Duration) downtimes {
	d, since := downtimes{}, map[int]time.Duration{}
	for _, e := range events {
		switch e.Kind {
		case ProcessExited, ProcessStopped:
			if _, down := since[e.Agent]; !down {
				since[e.Agent] = e.At
			}
		case ProcessStarted, ProcessResumed:
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

// checkAnswers checks that each call was answered in time. Calls to agents that were killed or stopped meanwhile are exempt.
func checkAnswers(events []Event, left time.Duration) (faults []string) {
	d := downtimesOf(events, time.Hour)
	for _, e := range events {
		if e.Kind != KioskAnswered || d.any(e.Agent, e.At-e.Took-machineNoise, e.At+machineNoise) { // clients notice the exit of a process before the fleet does
			continue
		}
		switch late := e.Took > left+answerGrace+machineNoise; {
		case e.Said == standin.Lost.String():
			faults = append(faults, fmt.Sprintf("%v: call to agent %d lost after %v", e.At, e.Agent, e.Took))
		case late:
			faults = append(faults, fmt.Sprintf("%v: answer of agent %d took %v", e.At, e.Agent, e.Took))
		}
	}
	return faults
}

// listKnowledge is what an agent must know of the list, according to the record.
type listKnowledge struct {
	watches        int
	lastContact    time.Duration            // latest call or end of the last watch
	validUntil     time.Duration            // until then the agent need not call the service again
	notified       map[string]time.Duration // when the agent was notified that each server drains
	silenced       bool                     // its latest watch was silenced, and it has no new one yet
	silencedAt     time.Duration            // when the watch was silenced
	unreachable    bool                     // it cannot get the current list from the service
	reachableSince time.Duration            // when its process started, or the service became reachable again
}

// checkDrains checks that an agent sends no new call to a server later than the grace period after it was notified that the server
// drains. An agent also counts as notified of what the list says:
//   - if it has neither watched nor called the service for mustAsk, or four times that after a failed call;
//   - 6 s after its watch was silenced, whether or not it calls the service;
//   - if lists are pushed, as soon as it can reach the service, whether or not it watches.
func checkDrains(events []Event, agents int, mustAsk time.Duration, pushed bool) (faults []string) {
	draining := map[string]time.Duration{} // since when the list says so, by server
	knowledge := make([]listKnowledge, agents)
	for i := range knowledge {
		knowledge[i] = listKnowledge{notified: map[string]time.Duration{}, validUntil: mustAsk}
	}
	resumed := downtimes{}
	for _, e := range events {
		switch e.Kind {
		case ServerDraining:
			draining[e.Said] = e.At
		case ServerInService:
			delete(draining, e.Said)
			for i := range knowledge {
				delete(knowledge[i].notified, e.Said)
			}
		case ProcessStarted:
			knowledge[e.Agent] = listKnowledge{notified: map[string]time.Duration{}, lastContact: e.At, validUntil: e.At + mustAsk, unreachable: knowledge[e.Agent].unreachable, reachableSince: e.At}
		case ListUnreachable:
			knowledge[e.Agent].unreachable = true
		case ListReachable:
			knowledge[e.Agent].unreachable, knowledge[e.Agent].reachableSince = false, e.At
		case WatchStarted:
			knowledge[e.Agent].watches++
			knowledge[e.Agent].silenced = false
		case WatchSilenced:
			knowledge[e.Agent].silenced, knowledge[e.Agent].silencedAt = true, e.At
		case WatchEnded:
			agent := &knowledge[e.Agent]
			if agent.watches--; agent.watches == 0 {
				agent.lastContact, agent.validUntil = e.At, e.At+mustAsk
			}
		case ListCalled:
			agent := &knowledge[e.Agent]
			if agent.lastContact = e.At; e.Said == Answered {
				agent.validUntil = e.At + mustAsk
			} else {
				agent.validUntil = e.At + 4*mustAsk
			}
		case DrainNotified:
			if _, known := knowledge[e.Agent].notified[e.Said]; !known {
				knowledge[e.Agent].notified[e.Said] = e.At
			}
		case ProcessResumed: // calls of a process that was just continued are exempt: it could not know of the drain
			resumed[e.Agent] = append(resumed[e.Agent], span{e.At, e.At + drainGrace + machineNoise})
		case CallReceived:
			if e.Agent < 0 || e.Agent >= agents {
				continue
			}
			since, isDraining := draining[e.Said]
			if !isDraining || resumed.any(e.Agent, e.At-time.Millisecond, e.At) {
				continue
			}
			agent := &knowledge[e.Agent]
			notified, known := agent.notified[e.Said]
			if pushed && !agent.unreachable && !agent.silenced {
				if pushedAt := max(since, agent.reachableSince); !known || pushedAt < notified {
					notified, known = pushedAt, true
				}
			}
			if !pushed && !known && agent.watches == 0 && e.At > agent.validUntil {
				notified, known = max(since+mustAsk, agent.validUntil), e.At >= since+mustAsk
			}
			if assumed := max(since, agent.silencedAt+notifiedAfter); agent.silenced && e.At >= assumed && (!known || assumed < notified) {
				notified, known = assumed, true
			}
			if known && e.At > notified+drainGrace+machineNoise {
				faults = append(faults, fmt.Sprintf("%v: agent %d sent to %s %v after it was notified of the drain", e.At, e.Agent, e.Said, e.At-notified))
			}
		}
	}
	return faults
}

// checkStaleness returns the longest time for which an agent kept sending to a server after the list had marked it draining, and a
// fault for each call that came later than the bound. A bound of 0 allows any time.
func checkStaleness(events []Event, bound time.Duration) (longest time.Duration, faults []string) {
	draining, exempt := map[string]time.Duration{}, downtimes{}
	for _, e := range events {
		switch e.Kind {
		case ServerDraining:
			draining[e.Said] = e.At
		case ServerInService:
			delete(draining, e.Said)
		case ProcessStarted, ProcessResumed: // a process that just started or was continued could not know of the drain
			exempt[e.Agent] = append(exempt[e.Agent], span{e.At, e.At + bound})
		case CallReceived:
			since, isDraining := draining[e.Said]
			if !isDraining || e.Agent < 0 || exempt.any(e.Agent, e.At-time.Millisecond, e.At) {
				continue
			}
			behind := e.At - since
			if longest = max(longest, behind); bound > 0 && behind > bound+drainGrace+machineNoise {
				faults = append(faults, fmt.Sprintf("%v: agent %d sent to %s, which had been draining in the list for %v", e.At, e.Agent, e.Said, behind))
			}
		}
	}
	return longest, faults
}
