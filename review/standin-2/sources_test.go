//go:build review

package standin

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"ternbeam/internal/lab/standin"
)

func init() {
	cases["sources-moved-discovery"] = sourcesMovedDiscovery
	cases["sources-upgrade"] = sourcesUpgrade
}

// sources starts a name server that names the form servers, and writes the file of sources: deploy/sources.toml with that name server.
func (w *world) sources(servers []*server) (path string) {
	path, _ = w.sourcesWithTTL(servers, 60)
	return path
}

// sourcesWithTTL is like sources, with the lifetime of the records in seconds. It also returns a function that sets which servers are named.
func (w *world) sourcesWithTTL(servers []*server, ttl int) (path string, name func([]*server)) {
	names, err := standin.NewNameServer()
	must(err)
	name = func(servers []*server) {
		var zone []string
		for _, s := range servers {
			host, port, err := net.SplitHostPort(s.addr)
			must(err)
			zone = append(zone, fmt.Sprintf("_forms._tcp.example.org. %d IN SRV 0 1 %s %s.example.org.", ttl, port, s.id),
				fmt.Sprintf("%s.example.org. %d IN A %s", s.id, ttl, host))
		}
		must(names.SetZone(zone...))
	}
	name(servers)
	text, err := os.ReadFile("deploy/sources.toml")
	must(err)
	if !strings.Contains(string(text), `"127.0.0.1:53"`) {
		panic(cannotRun{"deploy/sources.toml has another name server"})
	}
	path = filepath.Join(w.folder, "sources.toml")
	must(os.WriteFile(path, []byte(strings.Replace(string(text), `"127.0.0.1:53"`, `"`+names.Addr()+`"`, 1)), 0o644))
	return path, name
}

// sourcesMovedDiscovery: a new configuration with SIGHUP moves discovery, while the agent takes servers from the list and from SRV records.
func sourcesMovedDiscovery(w *world) string {
	const (
		counts = 6 * time.Second // at the latest after the change; 4 s after SIGHUP, which is earlier here
		grace  = 550 * time.Millisecond
		margin = 450 * time.Millisecond
	)
	servers, entries := w.fleet(8)
	a, b := w.newDirectory("A", 41, entries...), w.newDirectory("B", 41, entries...)
	p := platform{name: "n0", listen: freePort(), discovery: a.addr, known: a.full()}
	config := p.config(w)
	first := w.start(p.name, p, config, "run --sources "+w.sources(servers))
	if !first.ready(30 * time.Second) {
		panic(cannotRun{"the agent is not ready"})
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.clients(ctx, p.name, p.listen, 60)
	time.Sleep(5 * time.Second)
	now := a
	if w.trouble {
		moved := p
		moved.discovery, now = b.addr, b
		moved.config(w)
		first.signal(syscall.SIGHUP)
		time.Sleep(5 * time.Second)
		w.log("discovery A ends")
		a.http.Close()
	} else {
		time.Sleep(5 * time.Second)
	}
	time.Sleep(2 * time.Second)
	draining := servers[2]
	drained := time.Now()
	now.change(draining.entry("terminating"))
	time.Sleep(20 * time.Second)
	stop()
	time.Sleep(2500 * time.Millisecond)
	late := draining.after(drained.Add(counts + grace + margin))
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("%s began to drain at %.3f s and got %d new requests later than 7 s after that, the last one %.1f s after it", draining.id, w.since(drained), len(late),
		late[len(late)-1].at.Sub(drained).Seconds())
}

// sourcesUpgrade: an operator has taken a backend out, then the process is replaced, while the agent takes servers from the list and from SRV records.
func sourcesUpgrade(w *world) string {
	const (
		owed  = time.Second // the word counts from the yes, a second after the call at the latest
		grace = 550 * time.Millisecond
	)
	servers, entries := w.fleet(8)
	d := w.newDirectory("A", 41, entries...)
	p := platform{name: "n0", listen: freePort(), discovery: d.addr, known: d.full(), ops: freePort()}
	config, options := p.config(w), "run --sources "+w.sources(servers)
	old := w.start("n0-old", p, config, options)
	if !old.ready(30 * time.Second) {
		panic(cannotRun{"the agent is not ready"})
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.clients(ctx, p.name, p.listen, 60)
	time.Sleep(4 * time.Second)
	out := servers[2]
	status, text := call(http.MethodPost, "http://"+old.ops+"/control/backends/"+out.id+"/offline")
	said := time.Now()
	w.log("the operator takes %s out: %d %s", out.id, status, strings.TrimSpace(text))
	if status != http.StatusOK {
		panic(cannotRun{"no yes to the operator"})
	}
	time.Sleep(6 * time.Second)
	if w.trouble {
		next := p
		next.ops = freePort()
		fresh := w.start("n0-new", next, config, options)
		if !fresh.ready(6 * time.Second) {
			panic(cannotRun{"the new process says no yes within 6 s"})
		}
		old.signal(syscall.SIGTERM)
		select {
		case <-old.ended:
		case <-time.After(2700 * time.Millisecond):
			old.signal(syscall.SIGKILL)
		}
	}
	time.Sleep(10 * time.Second)
	stop()
	time.Sleep(2500 * time.Millisecond)
	late := out.after(said.Add(owed + grace))
	if len(late) == 0 {
		return ""
	}
	return fmt.Sprintf("%s was taken out at %.3f s and got %d new requests later than 1.55 s after that, the first one at %.3f s, the last one at %.3f s", out.id, w.since(said), len(late),
		w.since(late[0].at), w.since(late[len(late)-1].at))
}

func init() { cases["sources-both-withdraw"] = sourcesBothWithdraw }

// sourcesBothWithdraw: six of ten form servers are replaced. The watch ends instead of telling, and the first answer to the next call is the whole
// list, which leaves them out. SRV records leave them out, too.
func sourcesBothWithdraw(w *world) string {
	const (
		counts = 6 * time.Second // at the latest
		grace  = 550 * time.Millisecond
		ttl    = 3 * time.Second // of the SRV records: from then on no answer holds any more that names the six
		margin = 2 * time.Second
	)
	servers, entries := w.fleet(10)
	d := w.newDirectory("A", 41, entries...)
	p := platform{name: "n0", listen: freePort(), discovery: d.addr, known: d.full()}
	file, names := w.sourcesWithTTL(servers, 3)
	first := w.start(p.name, p, p.config(w), "run --sources "+file)
	if !first.ready(30 * time.Second) {
		panic(cannotRun{"the agent is not ready"})
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go w.clients(ctx, p.name, p.listen, 60)
	time.Sleep(6 * time.Second)
	gone := servers[:6]
	var ended []entry
	for _, s := range gone {
		ended = append(ended, s.entry("terminated"))
	}
	w.log("six of ten are gone, in discovery and in the SRV records")
	names(servers[6:])
	if w.trouble {
		d.endWatchesAndForget(ended...)
	} else {
		for _, e := range ended { // told one after the other on the open watch
			d.change(e)
			time.Sleep(300 * time.Millisecond)
		}
	}
	withdrawn := time.Now()
	for i := range gone { // their successors, within 7 s
		time.Sleep(time.Second)
		s := w.newServer(fmt.Sprintf("s-%d", 11+i), gone[i].cell)
		fresh := s.entry("in_service")
		fresh.Started = time.Now().UnixMilli()
		d.change(fresh)
	}
	time.Sleep(12 * time.Second)
	stop()
	time.Sleep(2500 * time.Millisecond)
	late, byServer := 0, map[string]int{}
	last := withdrawn
	for _, s := range gone {
		for _, a := range s.after(withdrawn.Add(counts + grace + ttl/2 + margin)) {
			late++
			byServer[s.id]++
			if a.at.After(last) {
				last = a.at
			}
		}
	}
	if late == 0 {
		return ""
	}
	return fmt.Sprintf("servers that both sources have left out since %.3f s got %d new requests later than %v after that, the last one %.1f s after it: %v", w.since(withdrawn), late,
		counts+grace+ttl/2+margin, last.Sub(withdrawn).Seconds(), byServer)
}
