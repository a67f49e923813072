package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// In each unknownInterval the kernel fails to report the state of connections for unknownFor.
const (
	unknownFor      = 40 * time.Millisecond
	unknownInterval = 200 * time.Millisecond
)

// Guards against client connections that end without a complete answer because a system call on them fails while the kernel does not report their
// state.
func TestAnswersSurviveFailedCallsWhileConnectionStateIsUnknown(t *testing.T) {
	for _, call := range []sysfault.Call{sysfault.Write, sysfault.Read, sysfault.RecvFrom} {
		for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ENOTCONN} {
			t.Run(fmt.Sprint(call, " ", errno), func(t *testing.T) {
				t.Parallel()
				config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t), slowServer(t))
				begin, isClients := time.Now(), onAddress(listen)
				decide := func(e sysfault.Event) sysfault.Outcome {
					switch {
					case time.Since(begin)%unknownInterval > unknownFor:
					case e.Call == sysfault.Poll:
						return sysfault.Outcome{Errno: syscall.ENOMEM}
					case e.Call == call && isClients(e.Local):
						return sysfault.Outcome{Errno: errno}
					}
					return sysfault.Outcome{}
				}
				_, log := startUnderFaults(t, []sysfault.Call{call, sysfault.Poll}, decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
				awaitReadyUnderFaults(t, listen)
				var wait sync.WaitGroup
				for number := range 6 {
					c := testClient{listen: listen, name: fmt.Sprint("client-", number),
						class: []string{"form-check", "refund-pay"}[number%2], keepAlive: number%3 != 0}
					wait.Go(func() { c.run(t, 15) })
				}
				wait.Wait()
				if t.Failed() {
					t.Log(log)
				}
			})
		}
	}
}

// Guards against a partial answer that is taken for a complete one because the reset behind it is read again while the kernel does not report the
// connection's state.
func TestResetAnswersAreNotServedWhileConnectionStateIsUnknown(t *testing.T) {
	resets := serveConnections(t, func(conn *net.TCPConn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nchecked ")
		time.Sleep(10 * time.Millisecond)
		conn.SetLinger(0)
	})
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), resets)
	begin := time.Now()
	_, log := startUnderFaults(t, []sysfault.Call{sysfault.Poll}, func(sysfault.Event) (o sysfault.Outcome) {
		if time.Since(begin)%unknownInterval > unknownFor {
			o.Errno = syscall.ENOMEM
		}
		return o
	}, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	var wait sync.WaitGroup
	for number := range 6 {
		c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: "refund-pay"}
		wait.Go(func() { c.runAllowing(t, 20, isNotServed) })
	}
	wait.Wait()
	if t.Failed() {
		t.Log(log)
	}
}

// Guards against random faults in a system call that the program never makes.
func TestProgramMakesAllSystemCallsOfRandomFaults(t *testing.T) {
	var mu sync.Mutex
	seen := map[sysfault.Call]bool{}
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
	var calls []sysfault.Call
	for _, fault := range randomErrnos {
		calls = append(calls, fault.call)
	}
	failed := false
	decide := func(e sysfault.Event) sysfault.Outcome {
		mu.Lock()
		defer mu.Unlock()
		seen[e.Call] = true
		if e.Call == sysfault.Write && e.Local.String() == listen && !failed { // poll(2) is called only after a failure
			failed = true
			return sysfault.Outcome{Errno: syscall.ETIMEDOUT}
		}
		return sysfault.Outcome{}
	}
	startUnderFaults(t, calls, decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	c := testClient{listen: listen, name: "client", class: "form-check", keepAlive: true}
	c.run(t, 2)
	mu.Lock()
	defer mu.Unlock()
	for _, call := range calls {
		if !seen[call] {
			t.Errorf("%v is never called", call)
		}
	}
}

// Guards against an evaluation that does not know for how long the test itself held a system call of the process.
func TestHeldSystemCallsAreReportedAsStalledPeriods(t *testing.T) {
	const hold = 100 * time.Millisecond
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
	var armed, held atomic.Bool
	p, _ := startUnderFaults(t, []sysfault.Call{sysfault.Write}, func(sysfault.Event) sysfault.Outcome {
		if armed.Load() && held.CompareAndSwap(false, true) {
			return sysfault.Outcome{Hold: hold}
		}
		return sysfault.Outcome{}
	}, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	begin := time.Now()
	armed.Store(true)
	c := testClient{listen: listen, name: "client", class: "form-check"}
	c.run(t, 2)
	for _, period := range p.StalledPeriods(hold) {
		if !period.To.Before(begin.Add(hold)) && period.To.Before(time.Now()) { // its beginning may be dated back
			return
		}
	}
	t.Errorf("the hold of %v is not among %v", hold, p.StalledPeriods(0))
}

// hiddenEnd delays a process's accepts and hides from it that clients have closed their connections: poll(2) fails, and so does each read but the
// first on a connection.
type hiddenEnd struct {
	listen netip.AddrPort

	mu         sync.Mutex
	acceptFrom time.Time // zero before it starts
	readUntil  time.Time // reads after the first fail until then
	read       map[netip.AddrPort]bool
}

// start hides the ends of connections that are opened from now on.
func (h *hiddenEnd) start(acceptAfter, hiddenFor time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.acceptFrom = time.Now().Add(acceptAfter)
	h.readUntil = h.acceptFrom.Add(hiddenFor)
}

// decide is a sysfault.Decider.
func (h *hiddenEnd) decide(e sysfault.Event) sysfault.Outcome {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	switch {
	case h.acceptFrom.IsZero():
	case e.Call == sysfault.Poll:
		return sysfault.Outcome{Errno: syscall.ENOMEM}
	case e.Call == sysfault.Accept && now.Before(h.acceptFrom):
		return sysfault.Outcome{Errno: syscall.EMFILE}
	case e.Local != h.listen:
	case e.Call == sysfault.GetSockOpt: // the connection is read again before its end is looked for
		return sysfault.Outcome{Hold: 5 * time.Millisecond}
	case e.Call == sysfault.Read && h.read[e.Remote] && now.Before(h.readUntil):
		return sysfault.Outcome{Errno: syscall.ENOMEM}
	case e.Call == sysfault.Read:
		h.read[e.Remote] = true
	}
	return sysfault.Outcome{}
}

// Guards against a request that is sent on although its client has left, because poll(2) fails.
func TestNothingIsSentForClientsThatHaveLeftWhilePollFails(t *testing.T) {
	t.Parallel()
	const clients, acceptAfter, hiddenFor = 10, 300 * time.Millisecond, 500 * time.Millisecond
	var servers attemptRecorder
	server := servers.start(t, func(w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "checked") })
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), server)
	faults := hiddenEnd{listen: netip.MustParseAddrPort(listen), read: map[netip.AddrPort]bool{}}
	calls := []sysfault.Call{sysfault.Accept, sysfault.Read, sysfault.Poll, sysfault.GetSockOpt}
	_, log := startUnderFaults(t, calls, faults.decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	faults.start(acceptAfter, hiddenFor)
	left := map[string]time.Time{}
	for number := range clients {
		conn, err := net.Dial("tcp", listen)
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprint("left-", number)
		fmt.Fprintf(conn, requestHead+"\r\n", "GET", "form-check", "1", id, 1.4)
		conn.Close()
		left[id] = time.Now()
	}
	time.Sleep(acceptAfter + hiddenFor + time.Second)
	for _, attempt := range servers.all() {
		if after := attempt.at.Sub(left[attempt.id]); after > disconnectSlack {
			t.Errorf("%s was sent on %v after its client had left", attempt.id, after)
		}
	}
	if t.Failed() {
		t.Log(log)
	}
}
