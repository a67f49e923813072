package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// lateBody is a long answer whose body starts some time after its head, and then arrives in pieces.
type lateBody struct {
	framing framing
	pause   time.Duration // between the head and the body
}

const (
	lateBodyPieces     = 4
	lateBodyPieceBytes = 45 << 10
	lateBodyInterval   = 50 * time.Millisecond // between two pieces
)

func (a lateBody) String() string { return fmt.Sprintf("%s, %v", a.framing, a.pause) }

// body returns the body of the answer to a request for a path.
func (a lateBody) body(path string) string {
	text := "checked " + path + " "
	return text + strings.Repeat("x", lateBodyPieces*lateBodyPieceBytes-len(text))
}

// serve answers requests on a connection until it ends.
func (a lateBody) serve(conn *net.TCPConn) {
	answerRequests(conn, func(req *http.Request) bool {
		a.framing.writeHead(conn, lateBodyPieces*lateBodyPieceBytes)
		time.Sleep(a.pause)
		for rest := a.body(req.URL.Path); rest != ""; rest = rest[lateBodyPieceBytes:] {
			if a.framing.writePiece(conn, rest[:lateBodyPieceBytes]) != nil {
				return false
			}
			time.Sleep(lateBodyInterval)
		}
		return a.framing.writeEnd(conn)
	})
}

// Guards against long answers that are cut off and never served because their body starts long after their head.
func TestLongAnswersWithALateBodyAreServed(t *testing.T) {
	t.Parallel()
	for _, framing := range framings {
		for _, pause := range []time.Duration{800 * time.Millisecond, 1150 * time.Millisecond} {
			answer := lateBody{framing, pause}
			t.Run(answer.String(), func(t *testing.T) {
				t.Parallel()
				settings := everyEffectSettings(randomDeadline, time.Second)
				if pause > time.Second { // long enough for its servers to count as silent
					settings = withHedging(settings)
				}
				config, listen := configure(t, unusedAddr(t), settings, serveConnections(t, answer.serve), serveConnections(t, answer.serve))
				p := startReady(t, config, listen, true)
				var wait sync.WaitGroup
				for _, class := range []string{"form-check", "refund-record", "refund-pay"} {
					wait.Go(func() { answer.request(t, listen, class, 1) })
				}
				wait.Wait()
				if t.Failed() {
					t.Log(p.log)
				}
			})
		}
	}
}

// withHedging returns settings that allow a second attempt beside the first one, and its cancellation.
func withHedging(settings string) string {
	return strings.Replace(settings, `"Ceilings":{`, `"Ceilings":{"MayCancel":true,"ParallelTries":true,`, 1)
}

// Guards against requests that wait until their deadline for a server that stops after the head of a long answer, while others answer.
func TestLongAnswersWithoutABodyAreHedged(t *testing.T) {
	t.Parallel()
	for _, framing := range framings {
		t.Run(string(framing), func(t *testing.T) {
			t.Parallel()
			stopped, answers := lateBody{framing, time.Minute}, lateBody{framing, 0}
			settings := withHedging(everyEffectSettings(randomDeadline, time.Second))
			servers := []net.Addr{serveConnections(t, stopped.serve)}
			for range 5 {
				servers = append(servers, serveConnections(t, answers.serve))
			}
			config, listen := configure(t, unusedAddr(t), settings, servers...)
			p := startReady(t, config, listen, true)
			for _, class := range []string{"form-check", "refund-record"} {
				for number := range 8 {
					answers.request(t, listen, class, number)
				}
			}
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}

// request sends a request and checks that its answer is complete.
func (a lateBody) request(t *testing.T, listen, class string, number int) {
	t.Helper()
	c := testClient{listen: listen, name: class, class: class}
	defer c.close()
	path := fmt.Sprintf("/%s/%d", class, number)
	if body, err := c.do(path, fmt.Sprintf("%s-%d", class, number)); err != nil || body != a.body(path) {
		t.Errorf("%s: %d bytes, error: %v", path, len(body), err)
	}
}
