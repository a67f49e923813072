// Package asking decides when an agent asks for the list of servers. One service has the list for all agents, works through
// its callers in turn and gives up who waits for too long, but does that work all the same: if the agents ask faster than it
// can answer for long, it answers nobody any more. They don't know of one another how they fare, nor how fast it is.
//
// Each asks in turns: a place in a period, by its number among the agents and the clock that all have. So the fleet asks at
// an even pace, one call an agent in a period at most, whatever made its agents ask: a cold start, a service that was down,
// kills one after the other. docs/design/cold-start.md derives the period. It does no I/O and reads no clock.
package asking

import (
	"cmp"
	"math/rand/v2"
	"time"
)

// Settings are all that an Asker is told.
type Settings struct {
	Shared  bool          // one service answers all agents; else it stands beside each and costs nothing to ask
	Agents  int           // how many there are, as far as known
	Me      int           // which of them this is, from 0 on; a number that none has where unknown
	MustAsk time.Duration // what the list says counts as told if it is not asked for so long; 0 for any
	Grace   time.Duration // how long after it was told of a drain an agent may still send there; 0 where that is not said
}

const (
	// Silence is how long nothing may come on a watch: it carries a line every 2 s at the least, and one whose line is late by
	// half of that is dead. Of what it misses nothing may be known for told at the most, in which all agents that watched may have to
	// ask one service in turns.
	Silence = 3 * time.Second
	// told is how long after a watch fell silent what it missed counts as told, whether or not it arrived.
	told = 6 * time.Second
	// CallWait is how long a call to a service that all agents ask may wait for its turn before it is taken for lost. The service
	// gives callers up by itself, after its patience, which is not told; a caller that goes sooner has its work done all the same.
	CallWait = 4500 * time.Millisecond
	// answer is what a call takes where the service keeps pace with its callers.
	answer = 500 * time.Millisecond

	// patience is how long a caller waits at the least before the service gives it up.
	patience = 2 * time.Second
	// period is that in which all agents ask once, where nothing better is known. A service that needs up to period + patience
	// for all serves each at its first call, and one that needs 1.7 times the period at its second at the latest.
	period = 5 * time.Second
	// leastPeriod is that where the service was seen to be fast, and vainPeriod that to which it grows while calls are in vain.
	leastPeriod = 500 * time.Millisecond
	vainPeriod  = 3 * time.Second
	// mostPeriod is that of agents which a service has given up again and again. After a call that failed what the list says
	// counts as told only four times as late as otherwise, which is not to come before the next call.
	mostPeriod = 24 * time.Second
	// growth is how much longer it is each time, from the second on.
	growth = 3
	// slack is how much slower a service may have become than it was seen to be.
	slack = 1.5
	// recent is how many waits are remembered; the longest of them counts.
	recent = 4
)

// Asker decides for one agent. Times are those of a clock that all agents have, to a small part of a period; one that is off
// costs only that the agent asks at another's turn.
type Asker struct {
	set   Settings
	rng   *rand.Rand
	place float64 // in the period, from 0 to 1

	asked     time.Duration // the latest call
	answered  bool          // it was, at whatever length
	delivered bool          // it brought a list that was believed
	vain      int           // calls in a row that brought none though they were not given up
	crowded   int           // calls in a row that were given up
	hung      int           // calls in a row of which nothing was heard
	waits     []time.Duration
	silentAt  time.Duration  // when a watch fell silent, if no list has been delivered since; 0 otherwise
	local     *LocalSchedule // of a service beside the agent
}

// New returns an Asker. Its random numbers follow from the seed alone.
func New(set Settings, seed uint64) *Asker {
	a := &Asker{set: set, rng: rand.New(rand.NewPCG(seed, 1)), local: NewLocalSchedule(set.Grace, seed)}
	a.set.Agents, a.set.Grace = max(1, set.Agents), cmp.Or(set.Grace, usualGrace)
	if a.place = a.rng.Float64(); set.Me >= 0 && set.Me < set.Agents {
		a.place = float64(set.Me) / float64(set.Agents)
	}
	return a
}

// Local returns the schedule of calls to a service beside the agent, nil where one service answers all agents.
func (a *Asker) Local() *LocalSchedule {
	if a.set.Shared {
		return nil
	}
	return a.local
}

// Start returns when to ask first.
func (a *Asker) Start(now time.Duration) time.Duration {
	if !a.set.Shared {
		return now
	}
	return a.turn(now, a.base(0))
}

// Asked says that the list is asked for.
func (a *Asker) Asked(now time.Duration) { a.asked, a.answered, a.delivered = now, false, false }

// Answered says that an answer has begun: the service has worked through those before.
func (a *Asker) Answered(now time.Duration) {
	if a.answered {
		return
	}
	a.answered, a.crowded, a.hung = true, 0, 0
	if len(a.waits) == recent {
		a.waits = a.waits[1:]
	}
	a.waits = append(a.waits, now-a.asked)
}

// Delivered says that the call has brought a list that is believed.
func (a *Asker) Delivered() { a.delivered, a.vain, a.silentAt = true, 0, 0 }

// Over says that the call is over: it failed, or the watch that it began has ended. Nothing had come for so long. It
// returns when to ask next.
func (a *Asker) Over(now, silent time.Duration) time.Duration {
	if !a.set.Shared {
		return now + a.local.Interval()
	}
	if silent > 0 && a.delivered {
		a.silentAt = now - silent
	}
	hung := !a.answered && silent > 0
	if hung {
		a.hung++
	}
	switch {
	case a.delivered:
	case hung && a.hung == 1: // a service that queues says sooner or later that it gives up; silence is a broken link, unless it goes on
		a.vain++
	case a.answered || now-a.asked < patience/2: // the wait tells a service that is down from one that gives callers up
		a.vain++
	default:
		a.crowded++
		a.waits = nil // it is slower than it was
	}
	every := a.base(silent)
	if a.crowded > 1 {
		// Who comes in the next turn meets the same queue, and each call makes it longer.
		for range min(a.crowded-1, 8) {
			every = min(every*growth, mostPeriod)
		}
		return a.turn(max(now, a.asked+every/2), every)
	}
	// Behind a watch that fell silent a call that fails, in whatever way, leaves time for another by when the drains among it count.
	if left := a.silentAt + told + a.set.Grace - answer - now; a.silentAt > 0 && left > 0 {
		every = min(every, max(left, leastPeriod))
	}
	return a.turn(now, every)
}

// base is the period, if nothing has come for so long.
func (a *Asker) base(silent time.Duration) time.Duration {
	// A caller that is served waits for its patience at most: few agents can't make a queue of that length.
	most := min(period, time.Duration(a.set.Agents-1)*patience)
	if must := a.set.MustAsk; must > 0 {
		// The list is to be heard before it counts as told: what was spent in silence and what the call may take is gone.
		most = min(most, max(must-silent-patience-must/20, must/4))
	}
	if silent > 0 { // what a watch missed, or a call that hung, is to be heard in time for the drains among it
		most = min(most, max(told+a.set.Grace-silent-answer, leastPeriod))
	}
	if len(a.waits) == 0 {
		return most
	}
	// All wait together for no longer than each of them would alone, with all others before it.
	slowest := a.waits[0]
	for _, w := range a.waits {
		slowest = max(slowest, w)
	}
	quick := max(leastPeriod, time.Duration(slack*float64(a.set.Agents)*float64(slowest)))
	return min(most, max(quick, min(quick<<min(a.vain, 8), vainPeriod)))
}

// Turn returns the agent's next place in periods of a length, or of the usual one if that is longer.
func (a *Asker) Turn(now, every time.Duration) time.Duration {
	return a.turn(now, max(every, a.base(0)))
}

// turn is the agent's next place in periods of a length.
func (a *Asker) turn(now, every time.Duration) time.Duration {
	if every <= 0 {
		return now
	}
	next := now - now%every + time.Duration(a.place*float64(every))
	if next <= now {
		next += every
	}
	return next
}
