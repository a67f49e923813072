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

// sendKeyed sends a request that must not run twice, on a connection of its own.
func sendKeyed(t *testing.T, listen, class, id string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", listen)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	fmt.Fprintf(conn, requestHead, "POST", class, "1", id, 1.4)
	if class == "refund-record" {
		fmt.Fprintf(conn, "Idempotency-Key: %s\r\n", id)
	}
	io.WriteString(conn, "Content-Length: 0\r\n\r\n")
	return conn
}

// status reads the status of an answer, or returns 0 if there is none.
func status(conn net.Conn) int {
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// countRuns returns how often an id has been run.
func (r *attemptRecorder) countRuns(id string) (runs int) {
	for _, at := range r.all() {
		if at.id == id {
			runs++
		}
	}
	return runs
}

const runTime = 300 * time.Millisecond // of a request at a server

// startRunning starts servers that take runTime for each request.
func (r *attemptRecorder) startRunning(t *testing.T) net.Addr {
	return r.start(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(runTime)
		io.WriteString(w, "checked")
	})
}

// Guards against an id that runs twice because it comes again after its client has left.
func TestIDOfAClientThatHasLeftDoesNotRunAgain(t *testing.T) {
	t.Parallel()
	for _, class := range []string{"refund-record", "refund-pay"} {
		for _, again := range []time.Duration{0, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second} {
			t.Run(fmt.Sprintf("%s, again after %v", class, again), func(t *testing.T) {
				t.Parallel()
				var servers attemptRecorder
				config, listen := configure(t, unusedAddr(t), everyEffectSettings(randomDeadline, time.Second), servers.startRunning(t), servers.startRunning(t))
				p := startReady(t, config, listen, true)
				first := sendKeyed(t, listen, class, "id-1")
				time.Sleep(runTime / 3)
				first.Close()
				time.Sleep(again)
				if got := status(sendKeyed(t, listen, class, "id-1")); got == 0 || got == http.StatusOK || got == http.StatusServiceUnavailable {
					t.Errorf("the second request with the id is answered with %d", got)
				}
				if runs := servers.countRuns("id-1"); runs != 1 {
					t.Errorf("the id ran %d times\n%s", runs, p.log)
				}
			})
		}
	}
}

// Guards against an id that runs twice because it comes again at the other process of an upgrade.
func TestIDDoesNotRunAgainAtTheOtherProcessOfAnUpgrade(t *testing.T) {
	t.Parallel()
	for _, leaves := range []bool{true, false} {
		t.Run(fmt.Sprintf("client leaves %t", leaves), func(t *testing.T) {
			t.Parallel()
			s := newReplacementTest(t, 2)
			old := s.start()
			s.awaitReady(old)
			begin := func(id string) { // at either process
				conn := sendKeyed(t, s.listen, "refund-pay", id)
				time.Sleep(3 * time.Millisecond) // the servers take 5 ms
				if leaves {
					conn.Close()
				}
			}
			begin("before")
			next := s.start()
			s.awaitReady(next)
			const ids, tries = 20, 8
			for i := range ids {
				begin(fmt.Sprint("during-", i))
			}
			time.Sleep(20 * time.Millisecond)
			for range tries { // the kernel gives connections to either process
				status(sendKeyed(t, s.listen, "refund-pay", "before"))
				for i := range ids {
					status(sendKeyed(t, s.listen, "refund-pay", fmt.Sprint("during-", i)))
				}
			}
			s.terminate(old)
			status(sendKeyed(t, s.listen, "refund-pay", "before"))
			s.mu.Lock()
			defer s.mu.Unlock()
			if len(s.runsByID) < ids/2 {
				t.Errorf("only %d ids ran", len(s.runsByID))
			}
			for id, runs := range s.runsByID {
				if runs > 1 {
					t.Errorf("%s ran %d times", id, runs)
				}
			}
			if t.Failed() {
				t.Logf("the old process:\n%s\nthe new one:\n%s", old.log, next.log)
			}
		})
	}
}
