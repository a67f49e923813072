package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// steadyAnswer is an answer that is sent in pieces at a fixed interval.
type steadyAnswer struct {
	framing  framing
	duration time.Duration
	endless  bool
}

const steadyPause = 25 * time.Millisecond

func (a steadyAnswer) String() string {
	if a.endless {
		return string(a.framing) + ", endless"
	}
	return fmt.Sprintf("%s, %v", a.framing, a.duration)
}

// serve answers requests on a connection until it ends.
func (a steadyAnswer) serve(conn *net.TCPConn) {
	answerRequests(conn, func(req *http.Request) bool {
		body := "checked " + req.URL.Path
		length := len(body)
		if a.endless {
			length = 60_000
		}
		a.framing.writeHead(conn, length)
		pieces := min(int(a.duration/steadyPause), len(body))
		for i := 0; a.endless || i < pieces; i++ {
			piece := "x"
			if !a.endless {
				piece = body[len(body)*i/pieces : len(body)*(i+1)/pieces]
			}
			if a.framing.writePiece(conn, piece) != nil {
				return false
			}
			time.Sleep(steadyPause)
		}
		return a.framing.writeEnd(conn)
	})
}

// Guards against steadily sent answers that are never served because they take long, and against endless ones that use up a client's time.
func TestSlowlySentAnswersAreServed(t *testing.T) {
	t.Parallel()
	var answers []steadyAnswer
	for _, framing := range framings {
		for _, duration := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond, 700 * time.Millisecond, time.Second} {
			answers = append(answers, steadyAnswer{framing: framing, duration: duration})
		}
		answers = append(answers, steadyAnswer{framing: framing, endless: true})
	}
	for _, answer := range answers {
		for _, withOps := range []bool{false, true} {
			if answer.endless && withOps { // it is relayed, and its client can tell that it is incomplete
				continue
			}
			t.Run(fmt.Sprintf("%v, second address %t", answer, withOps), func(t *testing.T) {
				t.Parallel()
				servers := []net.Addr{serveConnections(t, answer.serve), serveConnections(t, answer.serve)}
				if answer.endless {
					servers[1] = slowServer(t)
				}
				config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), servers...)
				p := startReady(t, config, listen, withOps)
				var wait sync.WaitGroup
				for number := range 6 {
					c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: "form-check", keepAlive: true}
					wait.Go(func() { c.run(t, 1) }) // later requests may be shed, because slow answers are taken for overload
				}
				wait.Wait()
				if t.Failed() {
					t.Log(p.log)
				}
			})
		}
	}
}
