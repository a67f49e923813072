//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"time"
)

func init() { cases["pipelined-bodies"] = pipelinedBodies }

// pipelinedBodies: a client sends five refund-records of 60 KiB at once on one connection. Without the disruption it sends each one after
// the answer to the one before.
func pipelinedBodies(w *world, trouble bool) error {
	d, _ := w.fleet(6, 200*time.Millisecond)
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
	const count, size = 5, 60 << 10
	var ids []string
	written := map[string]time.Duration{}
	write := func(i int) error {
		r := request{id: fmt.Sprintf("%016x", 0xa0+i), class: "refund-record", left: 2 * time.Second, body: size}
		c.SetWriteDeadline(time.Now().Add(5 * time.Second))
		if _, err := c.Write(w.text(r)); err != nil {
			return fmt.Errorf("writing %s: %w", r.id, err)
		}
		ids, written[r.id] = append(ids, r.id), w.now()
		w.note("client: the last byte of %s is written", r.id)
		return nil
	}
	read := func(id string) {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		got := w.readAnswer(in)
		w.note("client: %s: status %d, connection to be closed: %t, error: %v", id, got.status, got.close, got.err)
		switch {
		case got.status == 0:
			w.breaks("request %s was written %.3f s before the agent ended its connection with no answer: %v", id, (got.at - written[id]).Seconds(), got.err)
		case got.status == 200 && !w.wasMade(id, got.body):
			w.breaks("request %s got %.60q, which no backend made for it", id, got.body)
		}
	}
	for i := range count {
		if err := write(i); err != nil {
			return err
		}
		if !trouble {
			read(ids[i])
		}
	}
	if trouble {
		for _, id := range ids {
			read(id)
		}
	}
	if !a.alive() {
		w.breaks("the agent has crashed")
	}
	return nil
}
