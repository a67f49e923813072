//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

func init() { cases["asked-cut"] = askedCut }

// askedCut: discovery is asked, and cut off from the agents for 10 s. A backend begins to drain 2 s before discovery can be reached again.
// Without the disruption there is no cut.
func askedCut(w *world, trouble bool) error {
	const (
		agents    = 4
		cut       = 10 * time.Second
		told      = 6 * time.Second // after discovery had it and could be reached
		grace     = 550 * time.Millisecond
		watchFor  = 26 * time.Second // after discovery is back
		drainLead = 2 * time.Second
	)
	d, backends := w.fleet(8, 100*time.Millisecond)
	var links []*link
	var sequence atomic.Int64
	stop := make(chan struct{})
	defer close(stop)
	for i := range agents {
		k := w.link(fmt.Sprintf("of n%d", i), d.addr())
		links = append(links, k)
		a, err := w.agentAt(fmt.Sprintf("n%d", i), k.listener.Addr().String(), d, options{balancers: agents, settings: func(s string) string {
			s = strings.Replace(s, `"Discovery":"automatic"`, `"Discovery":"subscribe"`, 1)
			return strings.Replace(s, `"Me":0`, fmt.Sprintf(`"Me":%d`, i), 1)
		}})
		if err != nil {
			return err
		}
		go func() {
			for {
				c, err := net.Dial("tcp", a.listen)
				if err != nil {
					return
				}
				in := bufio.NewReader(c)
				for {
					select {
					case <-stop:
						c.Close()
						return
					default:
					}
					c.Write(w.text(request{id: fmt.Sprintf("%08x%08x", i, sequence.Add(1)), class: "form-check", left: 2 * time.Second}))
					c.SetReadDeadline(time.Now().Add(4 * time.Second))
					if got := w.readAnswer(in); got.status == 0 || got.close {
						break
					}
				}
				c.Close()
			}
		}()
	}
	time.Sleep(6 * time.Second) // each agent has its watch
	if trouble {
		for _, k := range links {
			go k.sever()
		}
	}
	time.Sleep(cut - drainLead)
	drained := backends[2]
	d.set(drained.entry("terminating"))
	time.Sleep(drainLead)
	if trouble {
		for _, k := range links {
			k.heal()
		}
	}
	reachable := w.now()
	w.note("discovery can be reached; the drain of %s counts as told at %.3f at the latest", drained.id, (reachable + told).Seconds())
	time.Sleep(watchFor)
	late, last := map[string]int{}, map[string]time.Duration{}
	w.mu.Lock()
	for _, a := range w.attempts {
		if a.server == drained.id && a.first > reachable+told+grace {
			late[a.id[:8]]++
			last[a.id[:8]] = a.first
		}
	}
	w.mu.Unlock()
	for i := range agents {
		if name := fmt.Sprintf("%08x", i); late[name] > 0 {
			w.breaks("agent n%d sent %d requests to %s later than the grace after the drain was told, the last %.3f s after discovery could be reached again",
				i, late[name], drained.id, (last[name] - reachable).Seconds())
		}
	}
	return nil
}
