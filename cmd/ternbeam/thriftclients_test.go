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
	"ternbeam/internal/lab/testkit"
)

// thriftAgent starts the program with a Thrift listener, few descriptors and one server, and returns where clients connect.
func thriftAgent(t *testing.T, sockets int, deadline time.Duration) (p *process, listen string) {
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
	inHTTP, listen := free(t), free(t)
	folder := t.TempDir()
	config, service := filepath.Join(folder, "config.json"), filepath.Join(folder, "thrift.toml")
	platform := standin.Platform{Listen: inHTTP, Discovery: list.Addr(), Known: list.Full(), Deadline: deadline, Sockets: sockets}
	for path, text := range map[string]string{config: string(platform.Config()), service: strings.Replace(deploy.Thrift, "127.0.0.1:9090", listen, 1)} {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	p = startWith(t, "run --thrift "+service, "NODE_CONFIG="+config, "NODE_NAME=n1", "NODE_LISTEN="+inHTTP)
	awaitReady(t, inHTTP)
	return p, listen
}

// askAgain asks a kiosk of one connection, and once more on a new one where that ended before anything of an answer had come.
func askAgain(kiosk standin.Kiosk, ask standin.Ask) standin.Answer {
	answer := kiosk.Ask(ask)
	if answer.Kind == standin.Lost && answer.Took < ask.Left {
		answer = kiosk.Ask(ask)
	}
	return answer
}

// askFor asks again and again, with random rests between, and returns how many calls had no answer at all.
func askFor(t *testing.T, listen, name string, length, rests, deadline time.Duration) (unanswered int) {
	kiosk, err := standin.NewKiosk("thrift-binary", listen)
	if err != nil {
		t.Error(err)
		return
	}
	defer kiosk.Close()
	random := rand.New(rand.NewPCG(1, xxhash.Sum64String(name)))
	for call, end := 0, time.Now().Add(length); time.Now().Before(end); call++ {
		id := fmt.Sprintf("%s-%d", name, call)
		answer := askAgain(kiosk, standin.Ask{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: id, Left: deadline})
		if answer.Kind == standin.Lost {
			unanswered++
		}
		time.Sleep(time.Duration(random.Int64N(int64(rests))))
	}
	return unanswered
}

// Guards against an agent that stops for good as it ends connections that its Thrift clients are about to use.
func TestThriftClientsAreAnsweredAsConnectionsEnd(t *testing.T) {
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
			p, listen := thriftAgent(t, sockets, deadline)
			var all sync.WaitGroup
			for i := range crowd.clients {
				all.Go(func() { askFor(t, listen, fmt.Sprint("crowd-", i), length, crowd.rests, deadline) })
			}
			all.Wait()
			if askFor(t, listen, "afterwards", length/4, length/16, deadline) > 0 || p.log.Has("has stalled") {
				t.Error("the agent does not answer")
			}
			p.signals(t, syscall.SIGTERM)
			p.ends(t, testkit.Patience)
			if t.Failed() {
				t.Log(p.log)
			}
		})
	}
}
