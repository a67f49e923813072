// Package testkit provides helpers for the tests of several packages: waiting for conditions, counting requests, planting
// bugs, and a server that sends given bytes. Form servers with scripted faults are in internal/lab/standin.
package testkit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// WaitTimeout limits every wait for something that must happen. It is far longer than any wait is expected to take.
const WaitTimeout = 20 * time.Second

// Eventually polls holds every millisecond until it returns true, and fails the test after WaitTimeout.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(WaitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

// Counter counts the requests that HTTP servers receive, by correlation id. It is safe for concurrent use.
type Counter struct {
	mu     sync.Mutex
	counts map[string]int
}

// Add reads the whole body of a request and then counts the request.
func (c *Counter) Add(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[r.Header.Get("X-Correlation-Id")]++
}

// Count returns how many requests with an id were received.
func (c *Counter) Count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[id]
}

// HangUp closes a request's connection without an answer.
func HangUp(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.Close()
	}
}

// ServeRaw runs an HTTP server that answers each request on a connection with the next of these texts, byte for byte, and
// then keeps the connection open without sending anything. accepted counts the connections.
func ServeRaw(t testing.TB, answers ...string) (addr string, accepted *atomic.Int32) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	accepted = new(atomic.Int32)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for _, answer := range answers {
					req, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, req.Body)
					io.WriteString(c, answer)
				}
				io.Copy(io.Discard, in)
			}()
		}
	}()
	return l.Addr().String(), accepted
}
