package main

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// movedDrainGrace is the time in which a process hears of a drain from the discovery service that it watches, or calls after an outage.
const movedDrainGrace = 6 * time.Second

// Guards against a new process that goes back to a discovery service from which a new configuration has moved the agent: its environment, which
// still names the old one, goes before the file at the start. The old service knows of no drain from then on, or is gone.
func TestReplacementStaysWithTheMovedDiscovery(t *testing.T) {
	t.Parallel()
	for _, withSources := range []bool{false, true} {
		for _, oldIsGone := range []bool{false, true} {
			t.Run(fmt.Sprintf("sources %t, old service gone %t", withSources, oldIsGone), func(t *testing.T) {
				t.Parallel()
				testReplacementStaysWithTheMovedDiscovery(t, withSources, oldIsGone)
			})
		}
	}
}

func testReplacementStaysWithTheMovedDiscovery(t *testing.T, withSources, oldIsGone bool) {
	s := newReplacementTest(t, 5)
	if withSources {
		s.addSources()
	}
	var entries []discovery.Entry
	first, second := s.newList(), s.newList()
	editConfig(t, s.config, func(all map[string]any) {
		for _, known := range all["known"].(map[string]any)["servers"].([]any) {
			k := known.(map[string]any)
			entries = append(entries, discovery.Entry{ID: k["id"].(string), Addr: k["addr"].(string), Zone: "z", State: "in_service", Weight: 1})
		}
	})
	first.Update(entries...)
	second.Update(entries...)
	drain := func(i int) {
		entries[i].State = "terminating"
		second.Update(entries[i])
	}
	environment := "NODE_DISCOVERY=" + first.Addr()
	one := s.start(environment)
	s.awaitReady(one)
	editConfig(t, s.config, func(all map[string]any) { all["discovery"] = second.Addr() })
	drain(0)
	one.sendSignals(t, syscall.SIGHUP)
	s.awaitDrain(t, "s-0") // the first process has moved
	if oldIsGone {
		first.Close()
	}
	previous := one
	for i := 1; i <= 2; i++ { // the second process has never got a signal
		next := s.start(environment)
		s.awaitReady(next)
		s.terminate(previous)
		drain(i)
		time.Sleep(movedDrainGrace)
		s.mu.Lock()
		clear(s.requestsByServer)
		s.mu.Unlock()
		s.sendChecks(t, 60)
		s.mu.Lock()
		for drained := range i + 1 {
			if n := s.requestsByServer[fmt.Sprint("s-", drained)]; n > 0 {
				t.Errorf("process %d: %d of 60 requests went to s-%d, which drains", i+1, n, drained)
			}
		}
		if t.Failed() {
			t.Logf("%s\n%s", previous.log, next.log)
		}
		s.mu.Unlock()
		previous = next
	}
}

// newList returns a list service.
func (s *replacementTest) newList() *standin.List {
	s.t.Helper()
	list, err := standin.NewList()
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(list.Close)
	return list
}

// A new process goes by its environment where that names a discovery service that the agent was never moved away from, and by the file where that
// names the service that the agent had left.
func TestReplacementGoesToNewDiscovery(t *testing.T) {
	t.Parallel()
	for _, inFile := range []bool{false, true} {
		t.Run(fmt.Sprintf("in the file %t", inFile), func(t *testing.T) {
			t.Parallel()
			s := newReplacementTest(t, 1)
			first, second, third := s.newList(), s.newList(), s.newList()
			old := s.start("NODE_DISCOVERY=" + first.Addr())
			s.awaitReady(old)
			setDiscovery := func(addr string) { editConfig(t, s.config, func(all map[string]any) { all["discovery"] = addr }) }
			setDiscovery(second.Addr())
			old.sendSignals(t, syscall.SIGHUP)
			testkit.Eventually(t, "the first process has moved", func() bool { return old.log.Contains("msg=\"new configuration\"") })
			environment, want := third.Addr(), third.Addr()
			if inFile {
				environment, want = first.Addr(), first.Addr()
				setDiscovery(first.Addr())
			}
			next := s.start("NODE_DISCOVERY=" + environment)
			s.awaitReady(next)
			testkit.Eventually(t, "the new process uses "+want, func() bool { return next.log.Contains("discovery=" + want + " ") })
			s.terminate(old)
		})
	}
}
