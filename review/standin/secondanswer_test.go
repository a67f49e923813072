//go:build review

package standin

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second-answer"] = secondAnswer }

// secondAnswer: the backends send every 20th answer a second time, 12 ms after the first. Without the disruption they do not.
func secondAnswer(w *world, trouble bool) error {
	const (
		late    = 12 * time.Millisecond
		every   = 20
		clients = 12
		runFor  = 15 * time.Second
	)
	var answers, second atomic.Int64
	d, _ := w.fleetThat(4, func(*attempt) reply {
		r := reply{after: 150 * time.Millisecond}
		if answers.Add(1)%every == 0 && trouble {
			second.Add(1)
			r.again = late
		}
		return r
	})
	a, err := w.agent("n1", d, options{})
	if err != nil {
		return err
	}
	time.Sleep(500 * time.Millisecond)
	var sequence, foreign, total atomic.Int64
	end := time.Now().Add(runFor)
	var all sync.WaitGroup
	for i := range clients {
		all.Go(func() {
			for time.Now().Before(end) {
				c, err := net.Dial("tcp", a.listen)
				if err != nil {
					return
				}
				in := bufio.NewReader(c)
				for time.Now().Before(end) {
					r := request{id: fmt.Sprintf("%016x", sequence.Add(1)), class: "form-check", left: 2 * time.Second}
					if i%3 == 0 {
						r.class, r.body = "refund-record", 200
					}
					c.SetDeadline(time.Now().Add(5 * time.Second))
					c.Write(w.text(r))
					got := w.readAnswer(in)
					total.Add(1)
					if got.status == 200 && !w.wasMade(r.id, got.body) {
						foreign.Add(1)
						w.breaks("%s %s got %q", r.class, r.id, got.body)
					}
					if got.status == 0 || got.close {
						break
					}
				}
				c.Close()
			}
		})
	}
	all.Wait()
	text := fmt.Sprintf("%d second answers; %d of %d requests got an answer that was made for another request", second.Load(), foreign.Load(), total.Load())
	w.note("%s", text)
	fmt.Println(text)
	return nil
}
