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
	httpAddr, thriftAddr string // where it listens
	arguments            string // of the program
	env                  []string
}

// newThriftAgent configures an agent that is not started yet.
func newThriftAgent(t *testing.T, sockets int, deadline time.Duration) *thriftAgent {
	t.Helper()
	list, err := standin.NewList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	server, err := standin.Start(standin.Options{ID: "s-0", Protocol: "thrift-binary", Service: 20 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	list.Tell(server.Entry())
	agent := &thriftAgent{httpAddr: unusedAddr(t), thriftAddr: unusedAddr(t)}
	folder := t.TempDir()
	config, service := filepath.Join(folder, "config.json"), filepath.Join(folder, "thrift.toml")
	platform := standin.Platform{Listen: agent.httpAddr, Discovery: list.Addr(), Known: list.Full(), Deadline: deadline, Sockets: sockets}
	for path, text := range map[string]string{config: string(platform.Config()), service: strings.Replace(deploy.Thrift, "127.0.0.1:9090", agent.thriftAddr, 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	agent.arguments = "run --thrift " + service
	agent.env = []string{"NODE_CONFIG=" + config, "NODE_NAME=n1", "NODE_LISTEN=" + agent.httpAddr}
	return agent
}

// askAgain asks a kiosk of one connection, and once more on a new one where that ended before anything of an answer had come.
func askWithRetry(kiosk standin.Kiosk, ask standin.Ask) standin.Answer {
	answer := kiosk.Ask(ask)
	if answer.Kind == standin.Lost && answer.Took < ask.Left {
		answer = kiosk.Ask(ask)
	}
	return answer
}

// askFor asks again and again, with random rests between, and returns how many calls had no answer at all.
func countUnanswered(t *testing.T, listen, name string, length, rests, deadline time.Duration) (unanswered int) {
	kiosk, err := standin.NewKiosk("thrift-binary", listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer kiosk.Close()
	random := rand.New(rand.NewPCG(1, xxhash.Sum64String(name)))
	for call, end := 0, time.Now().Add(length); time.Now().Before(end); call++ {
		id := fmt.Sprintf("%s-%d", name, call)
		answer := askWithRetry(kiosk, standin.Ask{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: id, Left: deadline})
		if answer.Kind == standin.Lost {
			unanswered++
		}
		time.Sleep(time.Duration(random.Int64N(int64(rests))))
	}
	return unanswered
}

// Guards against an agent that stops for good as it ends connections that its Thrift clients are about to use.
func TestThriftClientsAreAnsweredAsConnectionsEnd(t *testing.T) {
	t.Parallel()
	const (
		sockets  = 200 // of which clients have 80 places
		length   = 4 * time.Second
		deadline = 1500 * time.Millisecond
	)
	for name, crowd := range map[string]struct {
		clients int
		rests   time.Duration
	}{
		"more clients than places":          {90, 50 * time.Millisecond},
		"clients that rest for over 2.05 s": {75, 4 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			agent := newThriftAgent(t, sockets, deadline)
			p := startWithArguments(t, agent.arguments, agent.env...)
			awaitReady(t, agent.httpAddr)
			var all sync.WaitGroup
			for i := range crowd.clients {
				all.Go(func() { countUnanswered(t, agent.thriftAddr, fmt.Sprint("crowd-", i), length, crowd.rests, deadline) })
			}
			all.Wait()
			if countUnanswered(t, agent.thriftAddr, "afterwards", length/4, length/16, deadline) > 0 || p.log.Has("has stalled") {
				t.Error("the agent does not answer")
			}
			p.sendSignals(t, syscall.SIGTERM)
			p.awaitExit(t, testkit.Patience)
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}

// Guards against a Thrift client's connection that ends as one system call on it fails.
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
			var all sync.WaitGroup
			for i := range clients {
				all.Go(func() { checkSequentialCalls(t, agent.thriftAddr, fmt.Sprint("client-", i), calls) })
			}
			all.Wait()
			if fault.isLogged() && !log.Has("a call failed on a client's connection") {
				t.Error("no failure is logged")
			}
			if t.Failed() {
				t.Log(log)
			}
		})
	}
}

// isLogged reports whether a fault surely comes and the log has to tell of it: not of calls that are made once more at once.
func (f callFault) isLogged() bool {
	return (f.call == sysfault.Read || f.call == sysfault.Write) && f.every > 0 && f.errno != 0 && f.errno != syscall.EINTR
}

// askInOrder makes calls on one connection, each of which has to be served.
func checkSequentialCalls(t *testing.T, listen, name string, calls int) {
	kiosk, err := standin.NewKiosk("thrift-binary", listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer kiosk.Close()
	for call := range calls {
		id := fmt.Sprintf("%s-%d", name, call)
		answer := kiosk.Ask(standin.Ask{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: id, Left: randomDeadline})
		if answer.Kind != standin.Served {
			t.Errorf("%s: %v after %v, %v", id, answer.Kind, answer.Took, answer.Err)
		}
	}
}
