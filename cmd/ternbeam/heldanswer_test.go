package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"
)

// stoppingServer answers each request with the beginning of an answer and breaks it off half a second later, while the agent is held up. The
// agent is stopped before an answer has to be relayed, and goes on after that.
type stoppingServer struct {
	t        *testing.T
	agent    *process // set before the first request
	attempts sync.WaitGroup
}

func (s *stoppingServer) serve(conn *net.TCPConn) {
	const part, partAgain, held, cut = "4\r\npart\r\n", 350 * time.Millisecond, 430 * time.Millisecond, 470 * time.Millisecond
	const goesOn = held + maxStall - 10*time.Millisecond
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	s.attempts.Add(1)
	defer s.attempts.Done()
	begin := time.Now()
	until := func(after time.Duration) { time.Sleep(time.Until(begin.Add(after))) }
	io.WriteString(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"+part)
	until(partAgain)
	io.WriteString(conn, part)
	until(held)
	s.agent.sendSignals(s.t, syscall.SIGSTOP)
	until(cut)
	conn.SetLinger(0)
	conn.Close()
	until(goesOn)
	s.agent.sendSignals(s.t, syscall.SIGCONT)
}

// Guards against the beginning of an answer in place of an error where the server has broken it off in time, and the agent was held up as it had
// to be relayed.
func TestAnswersThatBreakOffDuringAHoldUpAreErrors(t *testing.T) {
	for _, class := range []string{"form-check", "refund-pay"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			retryUntilValid(t, func() bool { return tryBreakOffDuringStall(t, class) })
		})
	}
}

// playedBreakOffDuringAHoldUp is false where the machine stood still.
func tryBreakOffDuringStall(t *testing.T, class string) (valid bool) {
	server := stoppingServer{t: t}
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), serveConnections(t, server.serve))
	server.agent = startReady(t, config, listen, true)
	watch := watchMachineStalls()
	c := testClient{listen: listen, name: "client", class: class}
	_, err := c.do(fmt.Sprintf("/%s/1", class), "1")
	c.close()
	server.attempts.Wait()
	if machineStalled(t, watch()) {
		return false
	}
	if !errors.Is(err, errNotServed) {
		t.Errorf("not an answer that says that the request was not served: %v\n%s", err, server.agent.log)
	}
	return true
}
