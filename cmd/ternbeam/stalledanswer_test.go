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

// stoppingServer sends the start of an answer to each request and breaks it off half a second later, while the agent is stopped. The agent is
// stopped before the answer has to be relayed, and continued after that.
type stoppingServer struct {
	t        *testing.T
	agent    *process // set before the first request
	attempts sync.WaitGroup
}

func (s *stoppingServer) serve(conn *net.TCPConn) {
	const part, partAgain, stop, cut = "4\r\npart\r\n", 350 * time.Millisecond, 430 * time.Millisecond, 470 * time.Millisecond
	const resume = stop + maxStall - 10*time.Millisecond
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
	until(stop)
	s.agent.sendSignals(s.t, syscall.SIGSTOP)
	until(cut)
	conn.SetLinger(0)
	conn.Close()
	until(resume)
	s.agent.sendSignals(s.t, syscall.SIGCONT)
}

// Guards against a client that gets a partial answer instead of an error. The server breaks its answer off before the answer has to be relayed, but
// the agent is stalled from just before that until after the time at which it has to relay the answer.
func TestAnswersTruncatedDuringAStallAreErrors(t *testing.T) {
	for _, class := range []string{"form-check", "refund-pay"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			retryUntilValid(t, func() bool { return tryBreakOffDuringStall(t, class) })
		})
	}
}

// tryBreakOffDuringStall returns false if the machine stalled.
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
		t.Errorf("the answer is not an error from the agent: %v\n%s", err, server.agent.log)
	}
	return true
}
