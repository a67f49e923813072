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

// callOps sends a request to the operations address of an agent.
func (r *runningAgent) callOps(t *testing.T, method, path string) (status int, body string) {
	t.Helper()
	req, err := http.NewRequest(method, "http://"+r.OpsAddr()+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	return do(t, req)
}

// counter reads one counter from the operations address.
func (r *runningAgent) counter(t *testing.T, name string) (n int) {
	t.Helper()
	_, text := r.callOps(t, http.MethodGet, "/control/counters")
	for line := range strings.Lines(text) {
		if rest, ok := strings.CutPrefix(line, name+" "); ok {
			fmt.Sscan(rest, &n)
			return n
		}
	}
	t.Fatalf("no %s in %s", name, text)
	return 0
}

// startWithOps starts an agent with an operations address.
func (tc testConfig) startWithOps(t *testing.T) *runningAgent {
	t.Helper()
	cfg := tc.config(t)
	cfg.Ops = "127.0.0.1:0"
	return start(t, cfg)
}

// Each call is counted once, under its class and the result that its client saw; attempts are counted when they are written.
func TestCountersMatchClientResultsAndAttempts(t *testing.T) {
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
	r := testConfig{known: []discovery.Entry{e}}.startWithOps(t)
	send := func(class, id, facts string) int {
		req := r.newRequest(class, id, 5, "")
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
	testkit.Eventually(t, "one call is outstanding", func() bool { return r.counter(t, "svc_outstanding") == 1 })
	for class, by := range seen {
		for name, status := range map[string]int{"succeeded": 200, "declined": 503, "aborted": 502} {
			testkit.Eventually(t, fmt.Sprintf("%s of %s is %d, as seen by clients", name, class, by[status]), func() bool {
				return r.counter(t, fmt.Sprintf("svc_%s{service=%q}", name, class)) == by[status]
			})
		}
	}
	if n := r.counter(t, "svc_forwards"); n != int(got.Load()) {
		t.Errorf("%d forwards, servers received %d", n, got.Load())
	}
	if n := r.counter(t, "svc_discovered"); n != 1 {
		t.Errorf("%d discovered", n)
	}
	close(gate)
	held.Wait()
	testkit.Eventually(t, "no call is outstanding", func() bool { return r.counter(t, "svc_outstanding") == 0 })
}

// A server that an operator took offline gets no calls whatever the list reports. Back online it gets calls again, and its
// earlier failures are forgotten.
func TestOfflineOverrideTakesPrecedenceOverTheList(t *testing.T) {
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
	d := newDiscoveryServer(t, 7, a, b)
	cfg := testConfig{known: []discovery.Entry{a, b}}.config(t)
	cfg.Ops, cfg.Discovery = "127.0.0.1:0", d.addr()
	r := start(t, cfg)
	load := func(n int, tag string) map[string]int {
		mu.Lock()
		clear(got)
		mu.Unlock()
		for i := range n {
			if status, _ := do(t, r.newRequest("check", fmt.Sprint(tag, i), 5, "")); status != http.StatusOK {
				t.Fatalf("%s: %d", tag, status)
			}
		}
		mu.Lock()
		defer mu.Unlock()
		return map[string]int{"a": got["a"], "b": got["b"]}
	}
	override := func(id, action string, want int) {
		t.Helper()
		if status, _ := r.callOps(t, http.MethodPost, "/control/backends/"+id+"/"+action); status != want {
			t.Errorf("%s %s: %d, not %d", id, action, status, want)
		}
	}
	override("nobody", "offline", 404)
	override("nobody", "online", 404)
	override("b", "online", 200) // was never offline
	override("a", "offline", 200)
	override("a", "offline", 200)
	testkit.Eventually(t, "the server counts as ejected", func() bool { return r.counter(t, "svc_ejected") == 1 })
	restarted, moved, removed := a, a, a
	restarted.StartedMS = time.Now().UnixMilli()
	moved.StartedMS, moved.Cell = restarted.StartedMS, 2
	removed.State = "terminated"
	for i, entries := range [][]discovery.Entry{nil, {a}, {restarted}, {moved}, {removed}, {a}} {
		version := int64(8 + i)
		if entries != nil {
			d.changes <- discovery.List{Version: version, Servers: entries}
			d.changes <- discovery.List{Version: version} // received only after the previous one has been written
		}
		if n := load(30, fmt.Sprint("out", i, "-")); n["a"] != 0 {
			t.Errorf("after update %d of the list the offline server got %d calls", i, n["a"])
		}
	}
	override("a", "online", 200)
	if n := load(60, "back"); n["a"] == 0 {
		t.Error("the server got no call after it was back online")
	}
	if n := r.counter(t, "svc_ejected"); n != 0 {
		t.Errorf("%d ejected", n)
	}
}

// The operations address answers quickly in spite of full load and of callers that send incomplete requests.
func TestOperationsAddressUnderFullLoad(t *testing.T) {
	e := newBackend(t, "b", func(w http.ResponseWriter, r *http.Request) {})
	r := testConfig{known: []discovery.Entry{e}}.startWithOps(t)
	for range 100 {
		c, err := net.Dial("tcp", r.OpsAddr())
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
				resp, err := http.DefaultTransport.RoundTrip(r.newRequest("check", fmt.Sprint("load", n, "-", i), 5, ""))
				if err == nil {
					io.Copy(io.Discard, resp.Body)
					resp.Body.Close()
				}
			}
		})
	}
	for range 20 {
		begin := time.Now()
		r.counter(t, "svc_forwards")
		if took := time.Since(begin); took > time.Second {
			t.Errorf("an answer after %v", took)
		}
	}
	close(stop)
	load.Wait()
	testkit.Eventually(t, "the load is counted", func() bool { return r.counter(t, `svc_succeeded{service="check"}`) > 0 })
}
