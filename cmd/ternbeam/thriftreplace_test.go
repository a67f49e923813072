package main

import (
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
)

// Replaces a process with a Thrift listener, and with a folder for what it learns, some times under load: each call gets an answer, on the connection
// that it was sent on or on a new one, and none that must not be repeated takes effect twice.
func TestThriftReplacementsUnderLoad(t *testing.T) {
	t.Parallel()
	const (
		replacements = 4
		clients      = 8
		deadline     = 5 * time.Second
	)
	for _, withState := range []bool{false, true} {
		t.Run(fmt.Sprint("with state ", withState), func(t *testing.T) {
			t.Parallel()
			agent := newThriftAgent(t, 400, deadline)
			if withState {
				agent.addState(t)
			}
			env := append(agent.env, "TMPDIR="+t.TempDir())
			startNext := func() *process {
				ops := unusedAddr(t)
				p := startWithArguments(t, agent.arguments, append([]string{"NODE_OPS=" + ops}, env...)...)
				p.ops = ops
				return p
			}
			current := startNext()
			awaitReady(t, agent.httpAddr)
			stop := make(chan struct{})
			var calls, lost, failed atomic.Int64
			var load sync.WaitGroup
			for n := range clients {
				load.Go(func() {
					client, err := standin.NewKiosk([]string{"thrift-binary", "thrift-compact"}[n%2], agent.thriftAddr)
					if err != nil {
						t.Error(err)
						return
					}
					defer client.Close()
					for call := 0; ; call++ {
						select {
						case <-stop:
							return
						default:
						}
						id := fmt.Sprintf("replaced-%d-%d", n, call)
						req := standin.Request{Method: standin.Pay, ID: id, Tenant: standin.Tenants[0], Key: id, TimeLeft: deadline}
						calls.Add(1)
						switch answer := client.Do(req); answer.Kind {
						case standin.Lost:
							if agent.server.DedupGroup().Deliveries(id) > 0 { // else it was not read, and a client asks again
								lost.Add(1)
								t.Logf("%s: %v after %v", id, answer.Err, answer.Took)
							}
						case standin.Failed, standin.BadRequest:
							failed.Add(1)
						}
						if n := agent.server.DedupGroup().Deliveries(id); n > 1 {
							t.Errorf("%s was delivered %d times", id, n)
						}
						time.Sleep(2 * time.Millisecond)
					}
				})
			}
			for range replacements {
				next := startNext()
				for end := time.Now().Add(time.Minute); next.callOps(http.MethodGet, "/control/ready") != http.StatusOK; time.Sleep(5 * time.Millisecond) {
					if time.Now().After(end) {
						t.Fatalf("the process is not ready\n%s", next.log)
					}
				}
				current.sendSignals(t, syscall.SIGTERM)
				<-current.exited
				if !current.log.Contains("replaced=true") {
					t.Fatalf("nothing was handed over\n%s\n%s", current.log, next.log)
				}
				current = next
			}
			close(stop)
			load.Wait()
			t.Logf("%d calls, %d failed", calls.Load(), failed.Load())
			if lost.Load() > 0 || failed.Load() > 0 {
				t.Errorf("%d of %d calls that a server got were not answered, %d failed\n%s", lost.Load(), calls.Load(), failed.Load(), current.log)
			}
		})
	}
}

// addState makes the agent keep what it learns in a folder.
func (a *thriftAgent) addState(t *testing.T) {
	t.Helper()
	folder := t.TempDir()
	file := filepath.Join(folder, "state.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, "folder = %q\n", folder), 0o600); err != nil {
		t.Fatal(err)
	}
	a.arguments += " --state " + file
}
