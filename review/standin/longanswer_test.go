//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

func init() { cases["long-answer"] = longAnswer }

// longAnswer: the answers have 180 KiB. The backends write them in pieces: the head at once, the first bytes of the body 0.8 s later, then
// a piece each 0.1 s. Without the disruption the first bytes come at once, too.
func longAnswer(w *world, trouble bool) error {
	pause := 800 * time.Millisecond
	if !trouble {
		pause = 0
	}
	const size = 45 << 10
	d, _ := w.fleetThat(6, func(*attempt) reply {
		gap := 100 * time.Millisecond
		return reply{after: 100 * time.Millisecond, pieces: []piece{{pause, size}, {gap, size}, {gap, size}, {gap, size}}}
	})
	a, err := w.agent("n1", d, options{ops: freeAddr()}) // long answers come where there is a second address
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	for i := range 6 {
		r := request{id: fmt.Sprintf("%016x", 0xc00+i), class: "refund-record", left: 2 * time.Second, body: 200}
		if i%2 == 1 {
			r.class, r.body = "form-check", 0
		}
		c, err := net.Dial("tcp", a.listen)
		if err != nil {
			return err
		}
		if _, err := c.Write(w.text(r)); err != nil {
			return err
		}
		w.note("client: %s is sent", r.id)
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		got := w.readAnswer(bufio.NewReader(c))
		c.Close()
		w.note("client: %s: status %d, %d bytes, error: %v", r.id, got.status, len(got.body), got.err)
		time.Sleep(50 * time.Millisecond) // until the backends have noticed
		w.mu.Lock()
		cut := ""
		for _, at := range w.attempts {
			if at.id == r.id && at.cutOff {
				cut += " " + at.server
			}
		}
		w.mu.Unlock()
		switch {
		case got.status == 200 && w.wasMade(r.id, got.body):
		case got.status == 200:
			w.breaks("request %s got %d bytes which no backend made for it", r.id, len(got.body))
		case cut != "":
			w.breaks("%s %s was answered with %d; the agent had cut off the answers that were given by%s", r.class, r.id, got.status, cut)
		case got.status == 0:
			w.breaks("request %s got no answer: %v", r.id, got.err)
		}
	}
	return nil
}
