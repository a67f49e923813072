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

func init() { cases["replaced-server"] = replacedServer }

// replacedServer: after a quiet time a form server dies, and a process of another cell comes up at its address. The list tells of that late. Some connections are
// reset under keyed requests that have run, with TROUBLE=0 too.
func replacedServer(w *world) string {
	const (
		oneIn  = 10               // keyed requests at their first delivery: the server runs it and resets the connection
		quiet  = 18 * time.Second // longer than the 15 s for which a server keeps an idle connection
		added  = 2 * time.Second  // after the start, the list names the new process
		silent = 12 * time.Second // after the death, the list no longer names the old one
	)
	servers, entries := w.fleet(8)
	count := 0
	seen := map[string]bool{}
	resets := func(s *server, rw http.ResponseWriter, r *http.Request) bool {
		key := r.Header.Get("Idempotency-Key")
		if key == "" {
			return false
		}
		w.mu.Lock()
		reset := false
		if !seen[key] {
			seen[key] = true
			count++
			reset = count%oneIn == 0
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
	const leaving = 2 // the third server, of cell 0
	for i, s := range servers {
		if i != leaving {
			s.handler = resets
		}
	}
	d := w.newDirectory("A", 41, entries...)
	p := platform{name: "n0", listen: freePort(), discovery: d.addr, known: d.full()}
	a := w.start(p.name, p, p.config(w), "")
	if !a.ready(30 * time.Second) {
		panic(cannotRun{"the agent is not ready"})
	}
	warmUp, stopWarmUp := context.WithCancel(context.Background())
	go w.clients(warmUp, p.name, p.listen, 30)
	time.Sleep(3 * time.Second)
	stopWarmUp()
	time.Sleep(quiet)
	old := servers[leaving]
	begun := time.Now()
	if w.trouble {
		must(old.http.Close())
		w.log("server %s of cell %d has died", old.id, old.cell)
		fresh := w.newServerAt(old.addr, "s-9", 1)
		w.log("server %s of cell %d is up at its address", fresh.id, fresh.cell)
		servers = append(servers, fresh)
		e := fresh.entry("in_service")
		e.Started = begun.UnixMilli()
		time.AfterFunc(added, func() { d.change(e) })
		time.AfterFunc(silent, func() { d.change(old.entry("terminated")) })
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	time.Sleep(200 * time.Millisecond)
	go w.clients(ctx, p.name, p.listen, 90)
	time.Sleep(15 * time.Second)
	stop()
	time.Sleep(3500 * time.Millisecond)
	runs, cells := map[string][]arrival{}, map[string]int{}
	for _, s := range servers {
		cells[s.id] = s.cell
		for _, x := range s.after(begun) {
			if x.key != "" {
				runs[x.key] = append(runs[x.key], x)
			}
		}
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
