// Package testkit holds what tests of several packages need: waiting for events, counting what servers get, and a
// server that answers with given texts. The form servers that go wrong by script are in internal/lab/standin.
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

// Patience bounds every wait for something that must happen; nothing is expected to take nearly so long.
const Patience = 20 * time.Second

// Eventually waits until a condition holds.
func Eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(Patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("in vain: %s", what)
		}
	}
}

// Counter counts the requests that HTTP servers get, by correlation id.
type Counter struct {
	mu   sync.Mutex
	seen map[string]int
}

// Add reads a request whole and counts it.
func (c *Counter) Add(r *http.Request) {
	io.Copy(io.Discard, r.Body)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.seen == nil {
		c.seen = map[string]int{}
	}
	c.seen[r.Header.Get("X-Correlation-Id")]++
}

// Of returns how often an id came.
func (c *Counter) Of(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.seen[id]
}

// HangUp ends a request's connection without an answer.
func HangUp(w http.ResponseWriter) {
	if c, _, err := w.(http.Hijacker).Hijack(); err == nil {
		c.Close()
	}
}

// Texts runs an HTTP server that answers each request on a connection with the next of these texts, as they are, and
// then leaves the connection open and silent.
func Texts(t testing.TB, answers ...string) (addr string, accepted *atomic.Int32) {
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
