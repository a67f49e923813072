//go:build review

package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["by-hand"] = byHand }

// opsCall makes one call at the second address.
func (a *agent) opsCall(method, path string) (status int, err error) {
	req, _ := http.NewRequest(method, "http://"+a.ops+path, nil)
	c := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(req)
	if err != nil {
		return 0, err
	}
	resp.Body.Close()
	a.w.note("%s %s: %d", method, path, resp.StatusCode)
	return resp.StatusCode, nil
}

// byHand is no case: it is the second search that the report tells of. One agent is replaced again and again while backends are taken out
// and put back by hand at both processes, the list changes and, with HUP=1, discovery moves.
func byHand(w *world, _ bool) error {
	seed, _ := strconv.ParseUint(os.Getenv("SEED"), 10, 64)
	dur, _ := time.ParseDuration(os.Getenv("DUR"))
	rng := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	out := map[string]time.Duration{}
	listed := map[string]string{}
	var entries []entry
	bs := map[string]*backend{}
	for i := range 6 {
		id := fmt.Sprintf("s-%d", i)
		bs[id] = w.backend(id, i%2, func(a *attempt) reply {
			mu.Lock()
			t, is := out[a.server]
			mu.Unlock()
			if is && a.first > t+560*time.Millisecond {
				w.breaks("%s sent to %s, %.3f after the yes", a.id, a.server, (a.first - t).Seconds())
			}
			return reply{after: 100 * time.Millisecond}
		})
		entries = append(entries, bs[id].entry("in_service"))
		listed[id] = "in_service"
	}
	lists := []*list{w.list("d1", 40, entries...), w.list("d2", 7, entries...)}
	cur := 0
	tmp := w.dir + "/shared"
	os.Mkdir(tmp, 0o755)
	a, err := w.agent("n1", lists[0], options{ops: freeAddr(), tmp: tmp})
	if err != nil {
		return err
	}
	var seq atomic.Int64
	end := time.Now().Add(dur)
	for range 10 {
		go func() {
			for time.Now().Before(end) {
				c, err := net.Dial("tcp", a.listen)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				in := bufio.NewReader(c)
				for time.Now().Before(end) {
					c.Write(w.text(request{id: fmt.Sprintf("%016x", seq.Add(1)), class: "form-check", left: 2 * time.Second}))
					c.SetReadDeadline(time.Now().Add(4 * time.Second))
					if got := w.readAnswer(in); got.status == 0 || got.close {
						break
					}
				}
				c.Close()
			}
		}()
	}
	alive := []*agent{a}
	for time.Now().Before(end) {
		time.Sleep(time.Duration(rng.IntN(900)) * time.Millisecond)
		kept := alive[:0]
		for _, x := range alive {
			if x.alive() {
				kept = append(kept, x)
			}
		}
		alive = kept
		newest := alive[len(alive)-1]
		id := fmt.Sprintf("s-%d", rng.IntN(6))
		at := alive[rng.IntN(len(alive))]
		switch rng.IntN(6) {
		case 0, 1:
			mu.Lock()
			n := len(out)
			_, already := out[id]
			mu.Unlock()
			if n < 3 {
				if s, err := at.opsCall("POST", "/control/backends/"+id+"/offline"); err == nil && s == 200 {
					mu.Lock()
					if !already {
						out[id] = w.now()
					}
					mu.Unlock()
				} else if err == nil && s != 200 {
					fmt.Println("offline", id, listed[id], s)
				}
			}
		case 2:
			mu.Lock()
			t, already := out[id]
			delete(out, id)
			mu.Unlock()
			if already {
				if s, err := newest.opsCall("POST", "/control/backends/"+id+"/online"); err != nil || s != 200 {
					mu.Lock()
					out[id] = t
					mu.Unlock()
				}
			}
		case 3:
			if len(alive) < 2 {
				b, err := w.agent("n1", lists[cur], options{ops: freeAddr(), tmp: tmp, listen: a.listen})
				if err != nil {
					return err
				}
				newest.signal(syscall.SIGTERM)
				time.AfterFunc(2700*time.Millisecond, newest.kill)
				alive = append(alive, b)
			}
		case 4:
			next := map[string]string{"in_service": "terminating", "terminating": "terminated", "terminated": "in_service"}[listed[id]]
			mu.Lock()
			_, isOut := out[id]
			mu.Unlock()
			if !isOut && next != "in_service" {
				continue
			}
			listed[id] = next
			b := bs[id]
			if next == "in_service" {
				b.started = time.Now().UnixMilli()
			}
			for _, l := range lists {
				l.set(b.entry(next))
			}
		case 5:
			if os.Getenv("HUP") == "" {
				continue
			}
			cur = 1 - cur
			for _, x := range alive {
				w.writeConfig(x, lists[cur].addr(), lists[cur], options{ops: x.ops})
				x.signal(syscall.SIGHUP)
			}
		}
	}
	fmt.Println(seq.Load(), len(w.attempts))
	return nil
}
