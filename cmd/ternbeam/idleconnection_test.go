package main

import (
	"errors"
	"fmt"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
	"ternbeam/internal/lab/testkit"
)

// heldClose holds the first close(2) of a client's connection for as long as a process may be stalled.
type heldClose struct {
	listen string
	held   chan struct{} // closed when the hold starts

	mu    sync.Mutex
	armed bool
}

func (h *heldClose) arm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.armed = true
}

// decide is a sysfault.Decider.
func (h *heldClose) decide(e sysfault.Event) sysfault.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.armed || e.Call != sysfault.Close || !e.Remote.IsValid() || e.Local.String() != h.listen {
		return sysfault.Outcome{}
	}
	h.armed = false
	close(h.held)
	return sysfault.Outcome{Hold: maxStall}
}

// startWithHeldClose starts the program, with or without an operations address, and a client of a given class whose connection has carried a
// request. The next close of that connection is held.
func startWithHeldClose(t *testing.T, class string, withOps bool) (*sysfault.Process, *testkit.Log, *testClient, *heldClose) {
	t.Helper()
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
	env := []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + listen}
	if withOps {
		env = append(env, "NODE_OPS="+unusedAddr(t), "TMPDIR="+shortTempDir(t))
	}
	hold := &heldClose{listen: listen, held: make(chan struct{})}
	p, log := startUnderFaults(t, []sysfault.Call{sysfault.Close}, hold.decide, env...)
	awaitReadyUnderFaults(t, listen)
	c := &testClient{listen: listen, name: "client", class: class, keepAlive: true}
	t.Cleanup(c.close)
	if _, err := c.do("/"+class+"/first", "first"); err != nil {
		t.Fatal(err)
	}
	hold.arm()
	return p, log, c, hold
}

// Guards against a connection that is closed as idle although its client has just sent a request.
func TestIdleConnectionsAreNotClosedWhenARequestArrives(t *testing.T) {
	const maxIdleTime, afterHold = 2300 * time.Millisecond, 20 * time.Millisecond
	for _, class := range []string{"form-check", "refund-pay"} {
		for _, withOps := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, second address %t", class, withOps), func(t *testing.T) {
				t.Parallel()
				_, log, c, hold := startWithHeldClose(t, class, withOps)
				select {
				case <-hold.held:
					time.Sleep(afterHold)
				case <-time.After(maxIdleTime):
				}
				path := "/" + class + "/second"
				if body, err := c.do(path, "second"); err != nil || body != "checked "+path {
					t.Errorf("%q, %v\n%s", body, err, log)
				}
			})
		}
	}
}

// Guards against a connection that stays open forever because its client has sent only the start of its next request.
func TestIncompleteNextRequestDoesNotKeepTheConnectionOpen(t *testing.T) {
	t.Parallel()
	const answerTimeout = 3 * time.Second
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
	startReady(t, config, listen, false)
	for _, size := range []int{1, 3, 4, 60} {
		for _, together := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d bytes, with the first request %t", size, together), func(t *testing.T) {
				t.Parallel()
				c := testClient{listen: listen, name: "client", class: "form-check", keepAlive: true}
				defer c.close()
				id := fmt.Sprintf("%d-%t", size, together)
				begun := c.encode("/form-check/second", "second-"+id)[:size]
				first := c.encode("/form-check/first", "first-"+id)
				if together {
					first = append(first, begun...)
				}
				in, err := c.send(first)
				if err != nil {
					t.Fatal(err)
				}
				if _, err := c.receive(in, time.Now()); err != nil {
					t.Fatal(err)
				}
				if !together {
					time.Sleep(100 * time.Millisecond)
					if err := c.write(begun); err != nil {
						t.Fatal(err)
					}
				}
				c.conn.SetReadDeadline(time.Now().Add(answerTimeout))
				if _, err := c.conn.Read(make([]byte, 1)); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Errorf("neither an answer nor the end of the connection within %v", answerTimeout)
				}
			})
		}
	}
}

// Guards against a connection that is closed at SIGTERM although its client, which does not know of the shutdown yet, sends a request.
func TestIdleConnectionsAreNotClosedWhenShutdownBegins(t *testing.T) {
	const noticeDelay = 400 * time.Millisecond // after which clients know of the shutdown, as the platform documents
	for _, delay := range []time.Duration{20 * time.Millisecond, noticeDelay - maxStall} {
		for _, withOps := range []bool{false, true} {
			t.Run(fmt.Sprintf("a request after %v, second address %t", delay, withOps), func(t *testing.T) {
				t.Parallel()
				p, log, c, _ := startWithHeldClose(t, "form-check", withOps)
				if err := p.Signal(syscall.SIGTERM); err != nil {
					t.Fatal(err)
				}
				time.Sleep(delay)
				if body, err := c.do("/form-check/second", "second"); err != nil || body != "checked /form-check/second" {
					t.Errorf("%q, %v\n%s", body, err, log)
				}
			})
		}
	}
}
