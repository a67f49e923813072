package main

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// Guards against a drain that one process of an agent has heard and another one has not: before it was started, or while both serve. The
// discovery of the new process is never up.
func TestDrainsHoldInBothProcessesOfAReplacement(t *testing.T) {
	t.Parallel()
	for name, withSources := range map[string]bool{"the list alone": false, "with SRV records": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newReplacementTest(t, 4)
			if withSources {
				s.addSources()
			}
			list, err := standin.NewList()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(list.Close)
			var entries []discovery.Entry
			editConfig(t, s.config, func(all map[string]any) {
				for _, known := range all["known"].(map[string]any)["servers"].([]any) {
					k := known.(map[string]any)
					entries = append(entries, discovery.Entry{ID: k["id"].(string), Addr: k["addr"].(string), Zone: "z", State: "in_service", Weight: 1})
				}
			})
			list.Update(entries...)
			drain := func(i int) {
				entries[i].State = "terminating"
				list.Update(entries[i])
			}
			old := s.start("NODE_DISCOVERY=" + list.Addr())
			s.awaitReady(old)
			drain(0)
			s.awaitDrain(t, "s-0") // the only process
			next := s.start()      // its configuration names s-0 as in service
			s.awaitReady(next)
			drain(1)
			time.Sleep(replacedDrainGrace)
			s.terminate(old)
			s.mu.Lock()
			clear(s.requestsByServer)
			s.mu.Unlock()
			s.sendChecks(t, 60)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.requestsByServer["s-0"]+s.requestsByServer["s-1"] > 0 || s.requestsByServer["s-2"] == 0 {
				t.Errorf("requests after the drains of s-0 and s-1: %v\n%s\n%s", s.requestsByServer, old.log, next.log)
			}
		})
	}
}

// replacedDrainGrace is the time in which the other process of a replacement hears of a drain, on a busy machine.
const replacedDrainGrace = 500 * time.Millisecond

// awaitDrain waits until a server gets no requests.
func (s *replacementTest) awaitDrain(t *testing.T, id string) {
	t.Helper()
	testkit.Eventually(t, id+" gets no requests", func() bool {
		s.mu.Lock()
		before := s.requestsByServer[id]
		s.mu.Unlock()
		s.sendChecks(t, 30)
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.requestsByServer[id] == before
	})
}

// sendChecks sends requests one after the other.
func (s *replacementTest) sendChecks(t *testing.T, requests int) {
	t.Helper()
	for range requests {
		resp, err := http.DefaultTransport.RoundTrip(s.newRequest(http.MethodGet, "form-check", fmt.Sprintf("%x", time.Now().UnixNano())))
		if err != nil {
			t.Errorf("a request: %v", err)
			continue
		}
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
	}
}
