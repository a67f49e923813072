//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

func init() { cases["pipelined-time"] = pipelinedTime }

// pipelinedTime: a client sends twelve form-checks at once on one connection, and twelve more 1.9 s later. Without the disruption it sends
// the first twelve only.
func pipelinedTime(w *world, trouble bool) error {
	d, _ := w.fleet(6, 250*time.Millisecond)
	a, err := w.agent("n1", d, options{})
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	c, err := net.Dial("tcp", a.listen)
	if err != nil {
		return err
	}
	defer c.Close()
	in := bufio.NewReader(c)
	const left = 2 * time.Second
	type pending struct {
		id string
		at time.Duration
	}
	all := make(chan pending, 24)
	go func() {
		defer close(all)
		for burst := range 2 {
			if burst == 1 {
				if !trouble {
					return
				}
				time.Sleep(1900 * time.Millisecond)
			}
			for i := range 12 {
				id := fmt.Sprintf("%016x", 0xb00+0x10*burst+i)
				if _, err := c.Write(w.text(request{id: id, class: "form-check", left: left})); err != nil {
					w.note("client: writing %s: %v", id, err)
					return
				}
				w.note("client: %s is sent", id)
				all <- pending{id, w.now()}
			}
		}
	}()
	for r := range all {
		c.SetReadDeadline(time.Now().Add(8 * time.Second))
		got := w.readAnswer(in)
		w.note("client: %s: status %d after %.3f s, error: %v", r.id, got.status, (got.at - r.at).Seconds(), got.err)
		switch {
		case got.status == 0:
			w.breaks("request %s: the agent ended its connection with no answer: %v", r.id, got.err)
			return nil
		case got.at-r.at > left+550*time.Millisecond: // half a second after its time, and the 50 ms of the sockets
			w.breaks("request %s, which had %.1f s, was answered with %d after %.3f s", r.id, left.Seconds(), got.status, (got.at - r.at).Seconds())
		}
	}
	return nil
}
