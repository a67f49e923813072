package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"ternbeam/deploy"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/sysfault"
	"ternbeam/internal/lab/testkit"
)

// thriftAgent is an agent with a Thrift listener and one server.
type thriftAgent struct {
	httpAddr, thriftAddr string // its listen addresses
	arguments            string // program arguments
	env                  []string
	server               *standin.Server
}

// newThriftAgent starts a list and a server and configures an agent without starting it.
func newThriftAgent(t *testing.T, sockets int, deadline time.Duration) *thriftAgent {
	t.Helper()
	list, err := standin.NewList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	server, err := standin.Start(standin.Options{ID: "s-0", Protocol: "thrift-binary", ServiceTime: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	list.Update(server.Entry())
	agent := &thriftAgent{httpAddr: unusedAddr(t), thriftAddr: unusedAddr(t), server: server}
	folder := t.TempDir()
	config, service := filepath.Join(folder, "config.json"), filepath.Join(folder, "thrift.toml")
	platform := standin.Platform{Listen: agent.httpAddr, Discovery: list.Addr(), InitialList: list.Full(), Deadline: deadline, Sockets: sockets}
	for path, text := range map[string]string{config: string(platform.Config()), service: strings.Replace(deploy.Thrift, "127.0.0.1:9090", agent.thriftAddr, 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	agent.arguments = "run --thrift " + service
	agent.env = []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + agent.httpAddr}
	return agent
}

// callWithRetry makes a call on a stand-in client's connection, and repeats it on a new one if the connection ended before any part of an answer
// arrived.
func callWithRetry(kiosk standin.Kiosk, req standin.Request) standin.Answer {
	answer := kiosk.Do(req)
	if answer.Kind == standin.Lost && answer.Took < req.TimeLeft {
		answer = kiosk.Do(req)
	}
	return answer
}

// countUnanswered makes calls for some time, with random pauses between them, and returns how many got no answer at all.
func countUnanswered(t *testing.T, listen, name string, duration, maxPause, deadline time.Duration) (unanswered int) {
	kiosk, err := standin.NewKiosk("thrift-binary", listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer kiosk.Close()
	random := rand.New(rand.NewPCG(1, xxhash.Sum64String(name)))
	for call, end := 0, time.Now().Add(duration); time.Now().Before(end); call++ {
		id := fmt.Sprintf("%s-%d", name, call)
		answer := callWithRetry(kiosk, standin.Request{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: id, TimeLeft: deadline})
		if answer.Kind == standin.Lost {
			unanswered++
		}
		time.Sleep(time.Duration(random.Int64N(int64(maxPause))))
	}
	return unanswered
}

// Guards against an agent that hangs when it closes connections that its Thrift clients are about to use.
func TestClosingThriftConnectionsDoesNotHangTheAgent(t *testing.T) {
	t.Parallel()
	const (
		sockets  = 200 // of which 80 are for clients
		duration = 4 * time.Second
		deadline = 1500 * time.Millisecond
	)
	for name, load := range map[string]struct {
		clients  int
		maxPause time.Duration
	}{
		"more clients than connection slots": {90, 50 * time.Millisecond},
		"clients that pause for over 2.05 s": {75, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := newThriftAgent(t, sockets, deadline)
			p := startWithArguments(t, agent.arguments, agent.env...)
			awaitReady(t, agent.httpAddr)
			var clients sync.WaitGroup
			for i := range load.clients {
				clients.Go(func() {
					countUnanswered(t, agent.thriftAddr, fmt.Sprint("crowd-", i), duration, load.maxPause, deadline)
				})
			}
			clients.Wait()
			if countUnanswered(t, agent.thriftAddr, "afterwards", duration/4, duration/16, deadline) > 0 || p.log.Contains("has stalled") {
				t.Error("the agent does not answer")
			}
			p.sendSignals(t, syscall.SIGTERM)
			p.awaitExit(t, testkit.WaitTimeout)
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}

// Guards against a Thrift client's connection that is closed because one system call on it fails.
func TestThriftAnswersSurviveFailingSystemCalls(t *testing.T) {
	t.Parallel()
	const clients, calls, sockets = 6, 15, 1024
	for _, fault := range clientFaults() {
		t.Run(fault.String(), func(t *testing.T) {
			t.Parallel()
			agent := newThriftAgent(t, sockets, randomDeadline)
			program := agentCommand(t, agent.env...)
			addArguments(program, agent.arguments)
			_, log := startCommandUnderFaults(t, []sysfault.Call{fault.call}, fault.decider(onAddress(agent.thriftAddr)), program)
			awaitReadyUnderFaults(t, agent.httpAddr)
			var running sync.WaitGroup
			for i := range clients {
				running.Go(func() { checkSequentialCalls(t, agent.thriftAddr, fmt.Sprint("client-", i), calls) })
			}
			running.Wait()
			if fault.isLogged() && !log.Contains("a call failed on a client's connection") {
				t.Error("no failure is logged")
			}
			if t.Failed() {
				t.Log(log)
			}
		})
	}
}

// isLogged reports whether a fault is certain to occur and must be logged. Calls that are retried at once are not logged.
func (f callFault) isLogged() bool {
	return (f.call == sysfault.Read || f.call == sysfault.Write) && f.every > 0 && f.errno != 0 && f.errno != syscall.EINTR
}

// checkSequentialCalls makes calls on one connection. Each must be served.
func checkSequentialCalls(t *testing.T, listen, name string, calls int) {
	kiosk, err := standin.NewKiosk("thrift-binary", listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer kiosk.Close()
	for call := range calls {
		id := fmt.Sprintf("%s-%d", name, call)
		answer := kiosk.Do(standin.Request{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: id, TimeLeft: randomDeadline})
		if answer.Kind != standin.Served {
			t.Errorf("%s: %v after %v, %v", id, answer.Kind, answer.Took, answer.Err)
		}
	}
}
