package pacing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// failedCall is a way in which a call fails while the service is out of reach.
type failedCall struct {
	name        string
	least, most time.Duration // until it ends
	silent      bool          // nothing was received, and the agent has ended it
	unreachable bool
}

var failedCalls = []failedCall{
	{name: "refused", least: time.Millisecond, most: 5 * time.Millisecond},
	{name: "turned away", least: minQueueWait, most: CallTimeout},
	{name: "not connected", least: time.Second, most: time.Second, unreachable: true},
	{name: "not answered", least: CallTimeout, most: CallTimeout, silent: true},
}

// Random outages of a service that keeps up with all agents: each call of an outage fails in a drawn way, all in one way or each in its own. However
// calls fail, an agent has the list before what changed at the service's return counts as known.
func TestListIsHeardInTimeAfterRandomOutages(t *testing.T) {
	const shortest, longest = 5600 * time.Millisecond, 23 * time.Second // that the platform's service is out of reach for
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 7))
		between := func(least, most time.Duration) time.Duration {
			return least + time.Duration(random.Int64N(int64(most-least)+1))
		}
		agents := []int{2, 3, 5, 12, 80, 300, 900}[random.IntN(7)]
		a := New(Settings{Shared: true, Agents: agents, Me: random.IntN(agents), MustAsk: mustAsk, Grace: defaultGrace}, seed)
		answerTime := min(usualCallTime, between(time.Millisecond, defaultPeriod/time.Duration(agents)))
		now := between(time.Hour, 2*time.Hour)
		a.CallStarted(now)
		a.ResponseStarted(now + answerTime)
		a.ListReceived()
		for outage := range 3 {
			down := now + between(time.Second, time.Minute)
			back := down + between(shortest, longest)
			mixed, kind := random.IntN(2) == 0, random.IntN(len(failedCalls))
			story := fmt.Sprintf("seed %d, outage %d, %d agents, %v:", seed, outage, agents, back-down)
			now = a.CallEnded(down, 0)
			for now < back {
				if mixed {
					kind = random.IntN(len(failedCalls))
				}
				call := failedCalls[kind]
				story += fmt.Sprintf(" %s at %v,", call.name, now-down)
				a.CallStarted(now)
				if call.unreachable {
					a.CallUnreachable()
				}
				took, silent := between(call.least, call.most), time.Duration(0)
				if call.silent {
					silent = took
				}
				now = a.CallEnded(now+took, silent)
			}
			a.CallStarted(now)
			now += answerTime
			a.ResponseStarted(now)
			a.ListReceived()
			if late := now - back - knownAfterSilence - defaultGrace; late > 0 {
				t.Fatalf("%s and answered %v after the return, %v too late", story, now-back, late)
			}
		}
	}
}
