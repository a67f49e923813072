package agent

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/testkit"
)

// operate calls the second address of an agent.
func (r *running) operate(t *testing.T, method, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.Ops()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return do(t, req)
}

// figure reads one figure.
func (r *running) figure(t *testing.T, name string) (n int) {
	t.Helper()
	_, text := r.operate(t, http.MethodGet, "/control/counters")
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			fmt.Sscan(rest, &n)
			return n
		}
	}
	t.Fatalf("no %s in %s", name, text)
	return 0
}

func (tr trial) operated(t *testing.T) *running {
	t.Helper()
	cfg := tr.config(t)
	cfg.Ops = "127.0.0.1:0"
	return start(t, cfg)
}

// Each call counts once, under its class and the end that its client saw; attempts count when they are written.
func TestFiguresAreWhatPeersSaw(t *testing.T) {
	var got atomic.Int64
	gate := make(chan struct{})
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {
		got.Add(1)
		switch r.Header.Get("X-Facts") {
		case "fail":
			w.WriteHeader(http.StatusInternalServerError)
		case "hold":
			<-gate
		}
	})
	r := trial{known: []discovery.Entry{e}}.operated(t)
	send := func(class, id, facts string) int {
		req := r.ask(class, id, 5, "")
		req.Header.Set("X-Facts", facts)
		status, _ := do(t, req)
		return status
	}
	seen := map[string]map[int]int{"check": {}, "record": {}, "pay": {}}
	for i := range 12 {
		for class := range seen {
			seen[class][send(class, fmt.Sprint(class, i), map[bool]string{true: "fail"}[i%4 == 0 && class == "pay"])]++
		}
	}
	var held sync.WaitGroup
	held.Go(func() { send("check", "held", "hold") })
	testkit.Eventually(t, "one is outstanding", func() bool { return r.figure(t, "svc_outstanding") == 1 })
	for class, by := range seen {
		for name, status := range map[string]int{"succeeded": 200, "declined": 503, "aborted": 502} {
			testkit.Eventually(t, fmt.Sprintf("%s of %s is %d, as clients saw", name, class, by[status]), func() bool {
				return r.figure(t, fmt.Sprintf("svc_%s{service=%q}", name, class)) == by[status]
			})
		}
	}
	if n := r.figure(t, "svc_forwards"); n != int(got.Load()) {
		t.Errorf("%d forwards, servers saw %d", n, got.Load())
	}
	if n := r.figure(t, "svc_discovered"); n != 1 {
		t.Errorf("%d discovered", n)
	}
	close(gate)
	held.Wait()
	testkit.Eventually(t, "none is outstanding", func() bool { return r.figure(t, "svc_outstanding") == 0 })
}

// Out holds against every word of the list, and put back the server gets calls again, with its failures of before
// forgotten.
func TestOutAndBackAgainstTheList(t *testing.T) {
	var mu sync.Mutex
	got := map[string]int{}
	serve := func(id string) discovery.Entry {
		return newBackend(t, id, func(w http.ResponseWriter, r *http.Request) {
			mu.Lock()
			got[id]++
			mu.Unlock()
		})
	}
	a, b := serve("a"), serve("b")
	d := newRegistry(t, 7, a, b)
	cfg := trial{known: []discovery.Entry{a, b}}.config(t)
	cfg.Ops, cfg.Discovery = "127.0.0.1:0", d.addr()
	r := start(t, cfg)
	load := func(n int, tag string) map[string]int {
		mu.Lock()
		clear(got)
		mu.Unlock()
		for i := range n {
			if status, _ := do(t, r.ask("check", fmt.Sprint(tag, i), 5, "")); status != http.StatusOK {
				t.Fatalf("%s: %d", tag, status)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		return map[string]int{"a": got["a"], "b": got["b"]}
	}
	word := func(id, what string, want int) {
		t.Helper()
		if status, _ := r.operate(t, http.MethodPost, "/control/backends/"+id+"/"+what); status != want {
			t.Errorf("%s %s: %d, not %d", id, what, status, want)
		}
	}
	word("nobody", "offline", 404)
	word("nobody", "online", 404)
	word("b", "online", 200) // was never out
	word("a", "offline", 200)
	word("a", "offline", 200)
	testkit.Eventually(t, "it counts as ejected", func() bool { return r.figure(t, "svc_ejected") == 1 })
	restarted, moved, gone := a, a, a
	restarted.StartedMS = time.Now().UnixMilli()
	moved.StartedMS, moved.Cell = restarted.StartedMS, 2
	gone.State = "terminated"
	for i, say := range [][]discovery.Entry{nil, {a}, {restarted}, {moved}, {gone}, {a}} {
		version := int64(8 + i)
		if say != nil {
			d.changes <- discovery.List{Version: version, Servers: say}
			d.changes <- discovery.List{Version: version} // taken only when the one before is written
		}
		if n := load(30, fmt.Sprint("out", i, "-")); n["a"] != 0 {
			t.Errorf("after word %d of the list it got %d calls", i, n["a"])
		}
	}
	word("a", "online", 200)
	if n := load(60, "back"); n["a"] == 0 {
		t.Error("it got no call after it was put back")
	}
	if n := r.figure(t, "svc_ejected"); n != 0 {
		t.Errorf("%d ejected", n)
	}
}

// A full load and callers that say nothing leave the second address its time.
func TestSecondAddressUnderFullLoad(t *testing.T) {
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {})
	r := trial{known: []discovery.Entry{e}}.operated(t)
	for range 100 {
		c, err := net.Dial("tcp", r.Ops())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		io.WriteString(c, "GET /control")
	}
	stop := make(chan struct{})
	var load sync.WaitGroup
	for n := range 16 {
		load.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				default:
				}
				resp, err := http.DefaultTransport.RoundTrip(r.ask("check", fmt.Sprint("load", n, "-", i), 5, ""))
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		})
	}
	for range 20 {
		begin := time.Now()
		r.figure(t, "svc_forwards")
		if took := time.Since(begin); took > time.Second {
			t.Errorf("an answer after %v", took)
		}
	}
	close(stop)
	load.Wait()
	testkit.Eventually(t, "the load is in the figures", func() bool { return r.figure(t, `svc_succeeded{service="check"}`) > 0 })
}
