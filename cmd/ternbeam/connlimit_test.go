package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/sysfault"
)

// Guards against a new connection that is closed to make room for others before its client, on a slow machine, has sent its request.
func TestNewConnectionsHaveTimeToSendWhenSlotsRunShort(t *testing.T) {
	const sockets, crowd, sendDelay = 160, 150, 130 * time.Millisecond
	for _, class := range []string{"form-check", "refund-pay"} {
		t.Run(class, func(t *testing.T) {
			t.Parallel()
			config, listen := configureLimited(t, unusedAddr(t), shutdownSettings(randomDeadline), sockets, slowServer(t))
			p := startReady(t, config, listen, false)
			var clients []*testClient
			for number := range 8 {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					t.Fatal(err)
				}
				clients = append(clients, &testClient{listen: listen, name: fmt.Sprint("client-", number), class: class, conn: conn})
			}
			for range crowd {
				conn, err := net.Dial("tcp", listen)
				if err != nil {
					t.Fatal(err)
				}
				defer conn.Close()
			}
			time.Sleep(sendDelay)
			var wait sync.WaitGroup
			for _, c := range clients {
				wait.Go(func() { c.run(t, 1) })
			}
			wait.Wait()
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}

// Guards against an accept that finds no connection, right before one arrives, being counted and logged as a failure.
func TestEmptyAcceptsAreNotLoggedAsFailures(t *testing.T) {
	config, listen := configure(t, unusedAddr(t), shutdownSettings(randomDeadline), slowServer(t))
	accepts := 0
	_, log := startUnderFaults(t, []sysfault.Call{sysfault.Accept}, func(sysfault.Event) (o sysfault.Outcome) {
		if accepts++; accepts%2 == 0 {
			o.Errno = syscall.EAGAIN
		}
		return o
	}, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+listen)
	awaitReadyUnderFaults(t, listen)
	c := testClient{listen: listen, name: "client", class: "form-check"}
	c.run(t, 20)
	if log.Contains("accepting a connection failed") {
		t.Error(log)
	}
}
