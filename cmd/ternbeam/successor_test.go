package main

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// mortalServer is a server process that can be killed.
type mortalServer struct {
	l      *net.TCPListener
	answer func(s *mortalServer, id string) bool // false for no answer

	mu    sync.Mutex
	conns []*net.TCPConn
}

// startMortal starts a server at an address.
func startMortal(t *testing.T, addr string, answer func(s *mortalServer, id string) bool) *mortalServer {
	t.Helper()
	tcp, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	l, err := listenAgain(tcp)
	if err != nil {
		t.Fatal(err)
	}
	s := &mortalServer{l: l, answer: answer}
	serveListener(t, l, s.serve)
	return s
}

// listenAgain listens on an address that a listener of this process may just have left. A child process that another test has forked holds that
// listener for the moments until it executes its program.
func listenAgain(addr *net.TCPAddr) (l *net.TCPListener, err error) {
	for end := time.Now().Add(time.Second); ; time.Sleep(time.Millisecond) {
		if l, err = net.ListenTCP("tcp", addr); !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, err
		}
	}
}

// serve answers the requests on a connection.
func (s *mortalServer) serve(conn *net.TCPConn) {
	s.mu.Lock()
	s.conns = append(s.conns, conn)
	s.mu.Unlock()
	answerRequests(conn, func(req *http.Request) bool {
		if !s.answer(s, req.Header.Get("X-Correlation-Id")) {
			return false
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nchecked")
		return true
	})
}

// kill ends the server as SIGKILL ends a process: it listens no more, and its connections are reset.
func (s *mortalServer) kill() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.SetLinger(0)
		c.Close()
	}
}

// addServer adds a server in a cell to the list of a configuration.
func addServer(t *testing.T, config, id, addr string, cell int) {
	t.Helper()
	editConfig(t, config, func(all map[string]any) {
		known := all["known"].(map[string]any)
		known["version"] = 1
		known["servers"] = append(known["servers"].([]any), map[string]any{"id": id, "addr": addr, "zone": "z", "cell": cell, "state": "in_service", "weight": 1})
	})
}

// Guards against a keyed request that is sent again to a process in another cell, because that has come up at the address of one that has gone and the
// list does not say so yet.
func TestKeyedRequestIsNotSentAgainToASuccessorAtTheAddress(t *testing.T) {
	t.Parallel()
	const requests, killedAt = 12, "id-5"
	var mu sync.Mutex
	runs := map[string]int{}
	run := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		runs[id]++
	}
	addr := unusedAddr(t)
	startMortal(t, addr, func(s *mortalServer, id string) bool {
		if run(id); id != killedAt {
			return true
		}
		s.kill()
		startMortal(t, addr, func(_ *mortalServer, id string) bool { run(id); return true }) // its cell is another one
		return false
	})
	settings := strings.Replace(everyEffectSettings(randomDeadline, time.Second), `"Effect":"by_key","Group":"all"`, `"Effect":"by_key","Group":"cell"`, 1)
	config, listen := configure(t, unusedAddr(t), settings)
	addServer(t, config, "s-0", addr, 1)
	p := startReady(t, config, listen, true)
	for number := range requests {
		conn := sendKeyed(t, listen, "refund-record", fmt.Sprint("id-", number))
		status(conn)
		conn.Close()
		time.Sleep(60 * time.Millisecond) // so that connections are used again
	}
	mu.Lock()
	defer mu.Unlock()
	for id, n := range runs {
		if n > 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	if len(runs) < requests-1 {
		t.Errorf("only %d of %d requests ran", len(runs), requests)
	}
	if t.Failed() {
		t.Log(p.log)
	}
}
