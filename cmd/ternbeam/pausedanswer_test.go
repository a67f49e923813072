package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pausedAnswer is a short answer that pauses once for longer than an answer may stall if another attempt can replace it.
type pausedAnswer struct {
	name    string
	inBody  bool // the pause is in the body, not in the head
	framing framing
}

const answerPause = 700 * time.Millisecond

func pausedAnswers() []pausedAnswer {
	return []pausedAnswer{
		{name: "in the head", framing: withLength},
		{name: "in a body with a length", inBody: true, framing: withLength},
		{name: "in a chunked body", inBody: true, framing: chunked},
		{name: "in a body without a length", inBody: true, framing: untilClose},
	}
}

// serve answers requests on a connection until it ends.
func (a pausedAnswer) serve(conn *net.TCPConn) {
	answerRequests(conn, func(req *http.Request) bool {
		var head strings.Builder
		body := "checked " + req.URL.Path
		a.framing.writeHead(&head, len(body))
		status, rest, _ := strings.Cut(head.String(), "\n")
		io.WriteString(conn, status+"\n")
		if !a.inBody {
			time.Sleep(answerPause)
		}
		io.WriteString(conn, rest)
		a.framing.writePiece(conn, body[:4])
		if a.inBody {
			time.Sleep(answerPause)
		}
		a.framing.writePiece(conn, body[4:])
		return a.framing.writeEnd(conn)
	})
}

// Guards against a pause in an answer that ends an attempt which no other attempt can follow: the request fails, although its server goes on.
func TestPausedAnswersOfTheLastAttemptAreServed(t *testing.T) {
	t.Parallel()
	for _, answer := range pausedAnswers() {
		for _, withOps := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, second address %t", answer.name, withOps), func(t *testing.T) {
				t.Parallel()
				config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), serveConnections(t, answer.serve), serveConnections(t, answer.serve))
				p := startReady(t, config, listen, withOps)
				c := testClient{listen: listen, name: "client", class: "refund-pay"}
				c.run(t, 1)
				if t.Failed() {
					t.Log(p.log)
				}
			})
		}
	}
}
