package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"ternbeam/internal/lab/testkit"
)

// attemptRecord is an attempt as servers see it.
type attemptRecord struct {
	id string
	at time.Time
}

// attemptRecorder is the servers of a test. They record attempts and then handle them.
type attemptRecorder struct {
	mu       sync.Mutex
	attempts []attemptRecord
}

// start starts a server that handles requests after it has recorded them.
func (r *attemptRecorder) start(t *testing.T, handle func(w http.ResponseWriter, req *http.Request)) net.Addr {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.mu.Lock()
		r.attempts = append(r.attempts, attemptRecord{req.Header.Get("X-Correlation-Id"), time.Now()})
		r.mu.Unlock()
		io.Copy(io.Discard, req.Body)
		handle(w, req)
	}))
	t.Cleanup(func() { server.CloseClientConnections(); server.Close() })
	return server.Listener.Addr()
}

// all returns the attempts so far.
func (r *attemptRecorder) all() []attemptRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]attemptRecord(nil), r.attempts...)
}

// leavingClient sends requests at once and closes its connection.
type leavingClient struct {
	name     string
	requests int
	bytes    int           // of each request, about
	stay     time.Duration // from its first attempt until it closes
	reset    bool          // it closes with a reset
	silent   bool          // servers do not answer
}

func leavingClients() []leavingClient {
	return []leavingClient{
		{name: "some requests, answered", requests: 200, bytes: 300, stay: 60 * time.Millisecond},
		{name: "some requests, silent servers", requests: 200, bytes: 300, stay: 20 * time.Millisecond, silent: true},
		{name: "more than is read ahead, answered", requests: 2000, bytes: 2000, stay: 60 * time.Millisecond},
		{name: "more than is read ahead, silent servers", requests: 2000, bytes: 2000, stay: 20 * time.Millisecond, silent: true},
		{name: "more than is read ahead, reset", requests: 2000, bytes: 2000, stay: 60 * time.Millisecond, reset: true},
	}
}

// Guards against requests that are sent on after their client has closed its connection with much that was not read yet.
func TestNothingIsSentForClientsThatHaveLeft(t *testing.T) {
	t.Parallel()
	for _, client := range leavingClients() {
		for _, memoryMB := range []int{32, 192} {
			t.Run(fmt.Sprintf("%s, %d MB", client.name, memoryMB), func(t *testing.T) {
				t.Parallel()
				client.run(t, memoryMB)
			})
		}
	}
}

func (c leavingClient) run(t *testing.T, memoryMB int) {
	var servers attemptRecorder
	handle := func(w http.ResponseWriter, r *http.Request) {
		if c.silent {
			<-r.Context().Done()
			return
		}
		time.Sleep(20 * time.Millisecond)
		io.WriteString(w, "checked")
	}
	config, listen := configure(t, unusedAddr(t), withHedging(everyEffectSettings(randomDeadline, time.Second)), servers.start(t, handle), servers.start(t, handle), servers.start(t, handle))
	setLimits(t, config, 1, memoryMB, 1024)
	p := startReady(t, config, listen, true)
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	for number := range c.requests {
		fmt.Fprintf(&text, requestHead, "GET", "form-check", "1", fmt.Sprint("left-", number), 1.4)
		fmt.Fprintf(&text, "X-Facts: %s\r\n\r\n", strings.Repeat("f", c.bytes-200))
	}
	go io.WriteString(conn, text.String())
	testkit.Eventually(t, "an attempt is made", func() bool { return len(servers.all()) > 0 })
	time.Sleep(c.stay)
	if c.reset {
		conn.(*net.TCPConn).SetLinger(0)
	}
	conn.Close()
	left := time.Now()
	time.Sleep(2 * time.Second)
	late := 0
	var latest time.Duration
	all := servers.all()
	for _, at := range all {
		if after := at.at.Sub(left); after > disconnectSlack+serverSlack {
			late++
			latest = max(latest, after)
		}
	}
	if late > 0 {
		t.Errorf("%d of %d attempts began after their client had left, the last %v after", late, len(all), latest)
	}
	if t.Failed() {
		t.Log(p.log)
	}
}
