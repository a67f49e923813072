//go:build review

package standin

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["crowded-discovery"] = crowdedDiscovery }

// crowdedDiscovery: discovery, which all agents ask, turns its callers away for a while. Right after that a form server drains.
func crowdedDiscovery(w *world) string {
	const (
		agents = 5
		length = 22 * time.Second // of the trouble; a list is out of reach for up to 23 s
		told   = 6 * time.Second  // a change counts as told at the latest then, once discovery has it and can be reached
		grace  = 550 * time.Millisecond
		margin = 450 * time.Millisecond
	)
	servers, entries := w.fleet(8)
	d := w.newDirectory("A", 41, entries...)
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	for i := range agents {
		p := platform{name: fmt.Sprintf("n%d", i), listen: freePort(), discovery: d.addr, asked: true, known: d.full(), me: i, agents: agents}
		a := w.start(p.name, p, p.config(w), "")
		if !a.ready(30 * time.Second) {
			panic(cannotRun{a.what + " is not ready"})
		}
		go w.clients(ctx, p.name, p.listen, 20)
	}
	time.Sleep(8 * time.Second) // all have their watch
	if w.trouble {
		d.crowd(true)
	}
	time.Sleep(length)
	if w.trouble {
		d.crowd(false)
	}
	time.Sleep(patience + 100*time.Millisecond) // the calls of the crowded time have ended
	draining := servers[2]
	drained := time.Now()
	d.change(draining.entry("terminating"))
	time.Sleep(26 * time.Second)
	stop()
	time.Sleep(2500 * time.Millisecond)
	late := draining.after(drained.Add(told + grace + margin))
	if len(late) == 0 {
		return ""
	}
	byAgent := map[string]int{}
	for _, a := range late {
		byAgent[a.agent]++
	}
	last := late[len(late)-1]
	return fmt.Sprintf("%s began to drain at %.3f s and got %d new requests later than 7 s after that, the last one %.1f s after it; by agent: %v", draining.id, w.since(drained), len(late),
		last.at.Sub(drained).Seconds(), byAgent)
}
