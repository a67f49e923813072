package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// slowLongAnswer is a long answer that its server sends in pieces, for longer than its client's time.
type slowLongAnswer struct {
	name       string
	framing    framing
	late       time.Duration // between the head and the body
	pieceBytes int
	pause      time.Duration // between two pieces
	clientTime time.Duration
}

const (
	slowLongBytes = 150 << 10
	slowLongDelay = 180 * time.Millisecond // until the head
)

func slowLongAnswers() (all []slowLongAnswer) {
	for _, framing := range framings {
		all = append(all,
			slowLongAnswer{name: "steady", framing: framing, pieceBytes: 2 << 10, pause: 25 * time.Millisecond, clientTime: 600 * time.Millisecond},
			slowLongAnswer{name: "in lumps", framing: framing, pieceBytes: 30 << 10, pause: 450 * time.Millisecond, clientTime: 900 * time.Millisecond},
			slowLongAnswer{name: "late and steady", framing: framing, late: 900 * time.Millisecond, pieceBytes: 4 << 10, pause: 30 * time.Millisecond, clientTime: 1500 * time.Millisecond},
		)
	}
	return append(all, slowLongAnswer{name: "behind the client's time", framing: withLength, late: 700 * time.Millisecond, pieceBytes: 8 << 10, pause: 20 * time.Millisecond, clientTime: 600 * time.Millisecond})
}

// serve answers requests on a connection until it ends.
func (a slowLongAnswer) serve(conn *net.TCPConn) {
	answerRequests(conn, func(req *http.Request) bool {
		time.Sleep(slowLongDelay)
		a.framing.writeHead(conn, slowLongBytes)
		time.Sleep(a.late)
		for rest := slowLongBytes; rest > 0; rest -= a.pieceBytes {
			if a.framing.writePiece(conn, strings.Repeat("x", min(rest, a.pieceBytes))) != nil {
				return false
			}
			time.Sleep(a.pause)
		}
		return a.framing.writeEnd(conn)
	})
}

// Guards against long answers that are cut off while their servers are still sending them, by a pause or at their clients' time.
func TestSlowLongAnswersAreNotCutOff(t *testing.T) {
	t.Parallel()
	for _, answer := range slowLongAnswers() {
		t.Run(fmt.Sprint(answer.name, ", ", answer.framing), func(t *testing.T) {
			t.Parallel()
			config, listen := configure(t, unusedAddr(t), everyEffectSettings(randomDeadline, time.Second), serveConnections(t, answer.serve), serveConnections(t, answer.serve))
			p := startReady(t, config, listen, true)
			var wait sync.WaitGroup
			for _, class := range []string{"form-check", "refund-record", "refund-pay"} {
				wait.Go(func() { answer.request(t, listen, class) })
			}
			wait.Wait()
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}

// request sends one request and checks that its answer begins in time and comes whole.
func (a slowLongAnswer) request(t *testing.T, listen, class string) {
	method := http.MethodPost
	if class == "form-check" {
		method = http.MethodGet
	}
	req := newRequest(method, listen, "/"+class+"/1", class, class+"-1", fmt.Sprintf("%.3f", a.clientTime.Seconds()))
	if class == "refund-record" {
		req.Header.Set("Idempotency-Key", class)
	}
	begin := time.Now()
	resp, err := new(http.Transport).RoundTrip(req)
	if err != nil {
		t.Errorf("%s: %v", class, err)
		return
	}
	defer resp.Body.Close()
	if began := time.Since(begin); resp.StatusCode != http.StatusOK || began > a.clientTime+answerSlack {
		t.Errorf("%s: status %d after %v", class, resp.StatusCode, began)
	}
	if n, err := io.Copy(io.Discard, resp.Body); resp.StatusCode == http.StatusOK && (n != slowLongBytes || err != nil) {
		t.Errorf("%s: %d of %d bytes, %v", class, n, slowLongBytes, err)
	}
}
