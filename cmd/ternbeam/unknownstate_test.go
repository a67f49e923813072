package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// For unknownFor of each betweenUnknown the kernel does not tell the state of connections.
const (
	unknownFor      = 40 * time.Millisecond
	unknownInterval = 200 * time.Millisecond
)

// Guards against client connections that end with no whole answer as a call on them fails while the kernel does not tell their state.
func TestAnswersSurviveFailuresOfAnUnknownState(t *testing.T) {
	for _, call := range []sysfault.Call{sysfault.Write, sysfault.Read, sysfault.Receive} {
		for _, errno := range []syscall.Errno{syscall.ECONNRESET, syscall.ENOTCONN} {
			t.Run(fmt.Sprint(call, " ", errno), func(t *testing.T) {
				t.Parallel()
				config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t), slowServer(t))
				begin, chosen := time.Now(), onAddress(listen)
				decide := func(e sysfault.Event) sysfault.Outcome {
					switch {
					case time.Since(begin)%unknownInterval > unknownFor:
					case e.Call == sysfault.Poll:
						return sysfault.Outcome{Errno: syscall.ENOMEM}
					case e.Call == call && chosen(e.Local):
						return sysfault.Outcome{Errno: errno}
					}
					return sysfault.Outcome{}
				}
				_, log := startUnderFaults(t, []sysfault.Call{call, sysfault.Poll}, decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
				awaitReadyUnderFaults(t, listen)
				var wait sync.WaitGroup
				for number := range 6 {
					c := testClient{listen: listen, name: fmt.Sprint("client-", number), class: []string{"form-check", "refund-pay"}[number%2], keepAlive: number%3 != 0}
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

// Guards against the beginning of an answer that is taken for a whole one, as its reset is read again while the kernel did not tell the connection's state.
func TestResetAnswersAreNoneWhileTheStateIsUnknown(t *testing.T) {
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

// Guards against faults that are drawn for a system call which the program never makes.
func TestChosenCallsAreMade(t *testing.T) {
	var mu sync.Mutex
	seen := map[sysfault.Call]bool{}
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
	var chosen []sysfault.Call
	for _, fault := range randomErrnos {
		chosen = append(chosen, fault.call)
	}
	failed := false
	decide := func(e sysfault.Event) sysfault.Outcome {
		mu.Lock()
		defer mu.Unlock()
		seen[e.Call] = true
		if e.Call == sysfault.Write && e.Local.String() == listen && !failed { // poll(2) is asked after a failure
			failed = true
			return sysfault.Outcome{Errno: syscall.ETIMEDOUT}
		}
		return sysfault.Outcome{}
	}
	startUnderFaults(t, chosen, decide, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	c := testClient{listen: listen, name: "client", class: "form-check", keepAlive: true}
	c.run(t, 2)
	mu.Lock()
	defer mu.Unlock()
	for _, call := range chosen {
		if !seen[call] {
			t.Errorf("%v is never called", call)
		}
	}
}

// Guards against a judge that does not learn for how long a test itself holds its process up.
func TestHoldsAreStandstills(t *testing.T) {
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
	for _, period := range p.Standstills(hold) {
		if period.From.After(begin) && period.To.Before(time.Now()) {
			return
		}
	}
	t.Errorf("the hold of %v is not among %v", hold, p.Standstills(0))
}
