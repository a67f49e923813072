package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// pausedAnswer is a short answer that pauses once for longer than an answer may stall if another attempt can replace it.
type pausedAnswer struct {
	name                string
	beforeBody, inBody  bool // where the pause is
	chunked, withLength bool // the framing; if neither is set the answer ends with the connection
}

const answerPause = 700 * time.Millisecond

func pausedAnswers() []pausedAnswer {
	return []pausedAnswer{
		{name: "in the head", beforeBody: true, withLength: true},
		{name: "in a body with a length", inBody: true, withLength: true},
		{name: "in a chunked body", inBody: true, chunked: true},
		{name: "in a body without a length", inBody: true},
	}
}

// serve answers requests on a connection until it ends.
func (a pausedAnswer) serve(conn *net.TCPConn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, req.Body)
		body := "checked " + req.URL.Path
		io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
		if a.beforeBody {
			time.Sleep(answerPause)
		}
		switch {
		case a.withLength:
			fmt.Fprintf(conn, "Content-Length: %d\r\n\r\n", len(body))
		case a.chunked:
			fmt.Fprintf(conn, "Transfer-Encoding: chunked\r\n\r\n%x\r\n", len(body))
		default:
			io.WriteString(conn, "Connection: close\r\n\r\n")
		}
		io.WriteString(conn, body[:4])
		if a.inBody {
			time.Sleep(answerPause)
		}
		io.WriteString(conn, body[4:])
		if a.chunked {
			io.WriteString(conn, "\r\n0\r\n\r\n")
		}
		if !a.chunked && !a.withLength {
			return
		}
	}
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
