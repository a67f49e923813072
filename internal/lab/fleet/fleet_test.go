package fleet

import (
	"bufio"
	"context"
	"fmt"
	"math"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// buildProgram builds the agent's program and returns its path.
func buildProgram(t *testing.T) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "ternbeam")
	if out, err := exec.Command("go", "build", "-o", name, "ternbeam/cmd/ternbeam").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return name
}

const smallScenario = `
agents = 12
known = "old"
must_ask_s = 10
servers = 8
[list]
all_s = 1
[calls]
rate = 5
keyed = 0.3
unsafe = 0.2
[server]
cold = true
[[step]]
name = "cold start"
limit_s = 20
calls = 2
[[step]]
name = "killed, and killed again while the list is down"
limit_s = 20
calls = 3
[[step.fault]]
kind = "kill"
share = 0.7
for_s = 0.2
[[step.fault]]
at_s = 0.5
kind = "list"
how = "resets"
for_s = 1
[[step.fault]]
at_s = 0.7
kind = "kill"
share = 0.5
for_s = 0.1
[[step]]
name = "half of the servers replaced"
limit_s = 20
[[step.fault]]
kind = "drain"
share = 0.5
for_s = 1.5
[[step.fault]]
kind = "crash"
share = 0.1
for_s = 1
[[step]]
name = "stopped for so long that a watch is dead, a drain meanwhile"
limit_s = 20
stay_s = 1
[[step.fault]]
kind = "stop"
share = 0.5
for_s = 6
[[step.fault]]
at_s = 1
kind = "drain"
share = 0.5
for_s = 8
`

// runScenario runs a scenario with the real program and fails the test if an expectation is violated.
func runScenario(t *testing.T, text string) (r *Report, dir string) {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if r, err = Run(context.Background(), s, Options{Program: buildProgram(t), Dir: dir}); err != nil {
		t.Fatal(err)
	}
	var table strings.Builder
	r.Table(&table)
	t.Log("\n" + table.String())
	if len(r.Faults) > 0 && r.Void == "" {
		t.Errorf("faults: %q", r.Faults)
	}
	return r, dir
}

// The real program recovers from faults, in a small fleet.
func TestSmallFleet(t *testing.T) {
	t.Parallel()
	r, dir := runScenario(t, smallScenario)
	started, died := 0, 0
	for _, e := range r.Events {
		switch e.Kind {
		case ProcessStarted:
			started++
		case ProcessExited:
			died++
		}
	}
	if want := 12 + 8 + 6; started != want || died != want-12 {
		t.Errorf("%d starts and %d exits, want %d starts", started, died, want)
	}
	if left := running(dir); len(left) > 0 {
		t.Errorf("processes left behind: %v", left)
	}
}

const talkingScenario = `
agents = 10
servers = 8
known = "none"
must_ask_s = 10
[list]
all_s = 1
[calls]
rate = 10
keyed = 0.3
[peers]
talk = true
loss = 0.2
twice = 0.1
late = 0.05
delay_ms = 40
stale_s = 8
[[step]]
name = "cold start without a list"
served = true
limit_s = 20
calls = 0.8
[[step]]
name = "a drain that a few are told, and killed watchers"
served = true
limit_s = 20
stay_s = 1
[[step.fault]]
kind = "list"
how = "silent"
share = 0.7
group = "far"
for_s = 9
[[step.fault]]
at_s = 0.5
kind = "kill"
share = 0.4
for_s = 0.5
[[step.fault]]
at_s = 2
kind = "drain"
share = 0.25
for_s = 9
[[step]]
name = "two sides that can't talk, one without the service"
served = true
limit_s = 20
[[step.fault]]
kind = "cut"
group = "far"
for_s = 4
[[step.fault]]
kind = "list"
how = "refuses"
share = 0.7
group = "far"
for_s = 5
[[step.fault]]
at_s = 1
kind = "drain"
share = 0.25
for_s = 7
`

// Agents that exchange lists recover from faults, in a small fleet in which few of them can reach the list service.
func TestSmallFleetThatExchangesLists(t *testing.T) {
	t.Parallel()
	r, _ := runScenario(t, talkingScenario)
	if r.Steps[0].Datagrams == 0 {
		t.Error("agents sent no datagrams")
	}
	var page strings.Builder
	if err := r.HTML(&page); err != nil {
		t.Fatal(err)
	}
	if text := page.String(); strings.Count(text, "<svg") != 3 || !strings.Contains(text, "two sides") || strings.Contains(text, "<?xml") {
		t.Errorf("page of %d bytes has not 3 plots without an XML header, or lacks a step", len(text))
	}
}

// running returns the /proc entries of the processes whose configuration is in a folder.
func running(dir string) (ids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, name := range all {
		if text, err := os.ReadFile(name); err == nil && strings.Contains(string(text), "NODE_CONFIG="+dir) {
			ids = append(ids, name)
		}
	}
	return ids
}

// A program that exits, and one that never calls the list service, are reported as faults. An interrupted run leaves no processes
// behind.
func TestProgramsThatExitOrNeverCallTheListAreReported(t *testing.T) {
	scenario := func() *Scenario {
		s, err := Parse([]byte("agents = 3\n[[step]]\nname = \"cold start\"\nlimit_s = 0.3\n"))
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	script := func(text string) string {
		name := filepath.Join(t.TempDir(), "agent")
		if err := os.WriteFile(name, []byte("#!/bin/sh\n"+text+"\n"), 0o700); err != nil {
			t.Fatal(err)
		}
		return name
	}
	for text, want := range map[string]string{"exit 3": "on its own: exit status 3", "exec sleep 60": "only 0 of 3"} {
		r, err := Run(context.Background(), scenario(), Options{Program: script(text), Dir: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		if got := strings.Join(r.Faults, "\n"); !strings.Contains(got, want) {
			t.Errorf("%q: fault %q is not among %q", text, want, got)
		}
	}
	s, dir := scenario(), t.TempDir()
	s.Steps[0].Limit = time.Hour
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := Run(ctx, s, Options{Program: script("exec sleep 60"), Dir: dir})
		done <- err
	}()
	testkit.Eventually(t, "all agents run", func() bool { return len(running(dir)) == 3 })
	cancel()
	if err := <-done; err == nil || len(running(dir)) > 0 {
		t.Errorf("canceled run: error %v, processes left behind: %v", err, running(dir))
	}
}

// Problems of a scenario are reported by line and key.
func TestScenarioProblems(t *testing.T) {
	_, err := Parse([]byte(`agents = 0
known = "all"
[list]
all_s = -1
odd = 1
[[step]]
name = "a"
[[step.fault]]
kind = "kill"
how = "silent"
[[step]]
limit_s = 0
[[step.fault]]
kind = "stop"
[[step.fault]]
kind = "flood"
share = 2
[[step.fault]]
kind = "list"
how = "slow"
share = 1
`))
	if err == nil {
		t.Fatal("no error")
	}
	for _, want := range []string{"line 1: agents: must be", "line 2: known: must be", "line 4: list.all_s", "line 5: list.odd: no such key",
		"line 10: step.0.fault.0.how", "line 11: step.1.name", "line 12: step.1.limit_s", "line 16: step.1.fault.1.kind", "line 17: step.1.fault.1.share",
		"line 20: step.1.fault.2.how"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("no %q in the error:\n%v", want, err)
		}
	}
	if _, err := Parse([]byte("agents = 1")); err == nil || !strings.Contains(err.Error(), "step: 1 to 64") {
		t.Errorf("scenario without steps: error %v", err)
	}
}

// The scenarios in lab/fleet can be parsed.
func TestShippedScenariosParse(t *testing.T) {
	all, _ := filepath.Glob("../../../lab/fleet/*.toml")
	if len(all) == 0 {
		t.Fatal("no scenarios found")
	}
	for _, name := range all {
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(text); err != nil {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// The list service works on calls one after the other, abandons those that have waited too long, and does their work all the same.
// Each mode answers as documented.
func TestListService(t *testing.T) {
	const agents = 8
	record := NewRecord()
	l, err := NewList(ListOptions{Agents: agents, CallWork: 100 * time.Millisecond, MaxWait: 250 * time.Millisecond,
		VersionedList: standin.NewVersionedList()}, record)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	answers := make(chan int, agents)
	begin := time.Now()
	for i := range agents {
		go func() {
			resp, err := client.Get("http://" + l.Addr(i) + "/v1/endpoints")
			if err != nil {
				answers <- 0
				return
			}
			resp.Body.Close()
			answers <- resp.StatusCode
		}()
	}
	count := map[int]int{}
	for range agents {
		count[<-answers]++
	}
	if count[200] == 0 || count[503] == 0 || count[200]+count[503] != agents {
		t.Fatalf("answers by status: %v", count)
	}
	l.mu.Lock()
	workEnd := l.idleAt.Sub(begin)
	l.mu.Unlock()
	if workEnd < agents*100*time.Millisecond {
		t.Errorf("all work ends after %v, without that of calls given up", workEnd)
	}
	allAgents := []int{0, 1, 2, 3, 4, 5, 6, 7}
	l.SetMode(Refuses, allAgents...)
	if resp, err := client.Get("http://" + l.Addr(0) + "/v1/endpoints"); err != nil || resp.StatusCode != 503 {
		t.Errorf("mode Refuses: no status 503, error %v", err)
	}
	l.SetMode(Resets, allAgents...)
	if _, err := client.Get("http://" + l.Addr(0) + "/v1/endpoints"); err == nil {
		t.Error("mode Resets: no error")
	}
	get := func(agent int) (int, string, error) {
		resp, err := client.Get("http://" + l.Addr(agent) + "/v1/endpoints?stream=1&index=0")
		if err != nil {
			return 0, "", err
		}
		defer resp.Body.Close()
		text, err := bufio.NewReader(resp.Body).ReadString('\n')
		return resp.StatusCode, text, err
	}
	l.SetMode(Breaks, allAgents...)
	if status, text, err := get(0); status != 200 || err == nil || !strings.Contains(text, "forms-0") {
		t.Errorf("mode Breaks: status %d, line %q, error %v", status, text, err)
	}
	l.SetLimits(l.opts.MaxWait+time.Millisecond, 0)
	l.SetMode(Late, allAgents...)
	if status, _, _ := get(0); status != 503 {
		t.Errorf("mode Late, beyond the maximum wait: status %d", status)
	}
	l.SetMode(Full, allAgents...)
	if status, _, _ := get(0); status != 503 {
		t.Errorf("mode Full, without room: status %d", status)
	}
	l.opts.VersionedList.Update(discovery.Entry{ID: "new", State: "in_service"})
	l.SetMode(Old, allAgents...)
	if status, text, _ := get(0); status != 200 || strings.Contains(text, "new") {
		t.Errorf("mode Old: status %d, line %q", status, text)
	}
	l.SetMode(Up, allAgents...)
	if status, text, _ := get(0); status != 200 || !strings.Contains(text, "new") {
		t.Errorf("mode Up: status %d, line %q", status, text)
	}
	events, _ := record.Since(0)
	if n := len(slices.DeleteFunc(slices.Clone(events), func(e Event) bool { return e.Said != GivenUp })); n != count[503]+1 {
		t.Errorf("%d calls recorded as given up, want %d", n, count[503]+1)
	}
}

// The figures of a step are computed correctly from records made by hand.
func TestStepReport(t *testing.T) {
	s := time.Second
	events := []Event{{At: 0, Kind: FaultEnded, Agent: -1}, {At: s, Kind: ListCalled, Agent: 0, Said: Answered}, {At: s, Kind: WatchStarted, Agent: 0},
		{At: 2 * s, Kind: ListCalled, Agent: 1, Said: GivenUp}, {At: 3 * s, Kind: ListCalled, Agent: 1, Said: Answered}, {At: 4 * s, Kind: WatchStarted, Agent: 1},
		{At: 5 * s, Kind: WatchEnded, Agent: 0}, {At: 5 * s, Kind: ListCalled, Agent: 0, Said: Down}, {At: 6 * s, Kind: FaultEnded, Agent: -1},
		{At: 8 * s, Kind: ListCalled, Agent: 0, Said: Answered}, {At: 8 * s, Kind: WatchStarted, Agent: 0}, {At: 9 * s, Kind: WatchStarted, Agent: 0}, {At: 9 * s, Kind: WatchEnded, Agent: 0}}
	first := newStepReport(Step{}, 2, 2, 0, events[:6])
	if first.All != 4*s || first.Calls != 3 || first.GivenUp != 1 || first.Most != 2 || first.Holding != 2 {
		t.Errorf("%+v", first)
	}
	second := newStepReport(Step{}, 2, 2, 5*s, events)
	if second.All != 2*s || second.Calls != 1 || second.Down != 1 || second.Holding != 2 || second.Mended != 6*s {
		t.Errorf("%+v", second)
	}
	r := &Report{Scenario: &Scenario{Agents: 2}, Steps: []StepReport{first, second}, Events: []Event{{Kind: ProcessExited, Said: "on its own: x"}}}
	r.Steps[0].Step.Within, r.Steps[0].Step.Calls = 3*s, 1
	r.Steps[1].Holding = 1
	r.check()
	if len(r.Faults) != 4 {
		t.Errorf("%q", r.Faults)
	}
}

// Calls to silent servers are counted by second.
func TestCallsToSilentServersAreCountedPerSecond(t *testing.T) {
	received := func(at time.Duration, id string) Event { return Event{At: at, Kind: CallReceived, Said: id} }
	events := []Event{received(sec, "a"), {At: 2 * sec, Kind: ServerSilenced, Agent: -1, Said: "a"}, received(2*sec+ms, "a"), received(3*sec, "b"), received(4*sec+ms, "a"), received(4*sec+2*ms, "a"),
		{At: 5 * sec, Kind: ServerAnswersAgain, Agent: -1, Said: "a"}, received(6*sec, "a")}
	r := newStepReport(Step{}, 1, 4, 0, events)
	if !slices.Equal(r.Silent, []int{1, 0, 2}) || !slices.Equal(r.Back, []int{0, 1}) || r.Muted != 1 || r.SteadyRate() != 0 {
		t.Errorf("%+v", r)
	}
	if r.Silent = []int{90, 40, 30, 20, 10, 6, 2}; r.SteadyRate() != 4 {
		t.Errorf("%v calls per second at each server after the first 5 s, want 4", r.SteadyRate())
	}
}

// The distribution of calls over servers is computed from the record, with the variation of random picks for comparison. A step that
// exceeds the limits of its scenario is a fault.
func TestSpread(t *testing.T) {
	var events []Event
	for id, n := range map[string]int{"a": 150, "b": 100, "c": 50} {
		for range n {
			events = append(events, Event{At: sec, Kind: CallReceived, Said: id})
		}
	}
	r := newStepReport(Step{Name: "it", Even: 4}, 1, 4, 0, events) // a fourth server received no calls
	if s := r.Spread; s.Mean != 75 || s.Largest != 150 || math.Abs(s.Variation-0.7454) > 1e-3 || math.Abs(s.Chance-0.1155) > 1e-3 {
		t.Errorf("%+v", s)
	}
	r.Silent, r.Muted, r.Step.Tried = []int{90, 40, 30, 20, 10, 6, 2}, 1, 3
	report := Report{Scenario: &Scenario{Agents: 1}, Steps: []StepReport{r}}
	report.check()
	if all := strings.Join(report.Faults, "; "); !strings.Contains(all, "calls per server vary by 0.745 of the mean, limit 0.462") || !strings.Contains(all, "4.00 calls per second at each silent server, limit 3.00") {
		t.Errorf("%v", report.Faults)
	}
}

// A stopped process runs again when it is continued, and the exit of a process that the fleet killed is not recorded as its own
// failure.
func TestSignals(t *testing.T) {
	record := NewRecord()
	dir := t.TempDir()
	a := &process{record: record, log: filepath.Join(dir, "log")}
	a.program = filepath.Join(dir, "agent")
	if err := os.WriteFile(a.program, []byte("#!/bin/sh\nexec sleep 60\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := a.start(); err != nil {
		t.Fatal(err)
	}
	state := func() string {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", a.cmd.Process.Pid))
		_, after, _ := strings.Cut(string(text), ") ")
		return after[:min(1, len(after))]
	}
	a.signal(syscall.SIGSTOP)
	testkit.Eventually(t, "the process is stopped", func() bool { return state() == "T" })
	a.signal(syscall.SIGCONT)
	testkit.Eventually(t, "the process runs again", func() bool { return state() != "T" })
	if err := a.kill(); err != nil {
		t.Fatal(err)
	}
	events, _ := record.Since(0)
	if last := events[len(events)-1]; last.Kind != ProcessExited || last.Said != "" {
		t.Errorf("%+v", last)
	}
}
