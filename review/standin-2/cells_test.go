//go:build review

package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sort"
	"time"
)

func init() { cases["srv-cells"] = srvCells }

// srvCells: connections are reset under keyed requests that have run, while some form servers are named by SRV records only. The servers that the list
// names are of one cell, the others of another.
func srvCells(w *world) string {
	const oneIn = 10 // keyed requests at their first delivery: the server runs it and resets the connection
	servers, entries := w.fleet(8)
	count := 0
	seen := map[string]bool{}
	for _, s := range servers {
		s.handler = func(s *server, rw http.ResponseWriter, r *http.Request) bool {
			key := r.Header.Get("Idempotency-Key")
			if key == "" {
				return false
			}
			w.mu.Lock()
			first := !seen[key]
			seen[key] = true
			reset := false
			if first {
				count++
				reset = w.trouble && count%oneIn == 0
			}
			w.mu.Unlock()
			if !reset {
				return false
			}
			time.Sleep(s.took)
			w.log("server %s of cell %d has run %s and resets the connection", s.id, s.cell, key)
			c, _, err := http.NewResponseController(rw).Hijack()
			if err != nil {
				return false
			}
			c.(*net.TCPConn).SetLinger(0)
			c.Close()
			return true
		}
	}
	d := w.newDirectory("A", 41, entries[:4]...)
	p := platform{name: "n0", listen: freePort(), discovery: d.addr, known: d.full()}
	a := w.start(p.name, p, p.config(w), "run --sources "+w.sources(servers))
	if !a.ready(30 * time.Second) {
		panic(cannotRun{"the agent is not ready"})
	}
	time.Sleep(10 * time.Second) // the servers of the SRV records are known, and none is cold
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.clients(ctx, p.name, p.listen, 60)
	time.Sleep(30 * time.Second)
	stop()
	time.Sleep(3500 * time.Millisecond)
	runs := map[string][]arrival{}
	cells := map[string]int{}
	used := map[int]int{}
	for _, s := range servers {
		cells[s.id] = s.cell
		for _, x := range s.after(w.begun) {
			used[s.cell]++
			if x.key != "" {
				runs[x.key] = append(runs[x.key], x)
			}
		}
	}
	w.log("requests by cell: %v", used)
	if used[1] == 0 {
		panic(cannotRun{"the servers of the SRV records got no request"})
	}
	again, twice, example := 0, 0, ""
	for key, all := range runs {
		if len(all) < 2 {
			continue
		}
		again++
		sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
		for _, x := range all[1:] {
			if cells[x.server] != cells[all[0].server] {
				twice++
				example = fmt.Sprintf("key %s of request %s ran at %s (cell %d) at %.3f s and at %s (cell %d) at %.3f s", key, x.id, all[0].server, cells[all[0].server], w.since(all[0].at),
					x.server, cells[x.server], w.since(x.at))
				w.log("twice: %s", example)
				break
			}
		}
	}
	w.log("%d keyed requests, %d of them sent again, %d of these in another cell", len(runs), again, twice)
	if twice == 0 {
		return ""
	}
	return fmt.Sprintf("%d of %d keyed requests ran in two cells, such as %s", twice, len(runs), example)
}
