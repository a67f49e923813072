// Package killer kills a real agent repeatedly while it writes its learned state, and checks, from the state folder and the
// agent's log alone, that every confirmed write is in the folder, and that each start loads the stored state or, before
// the first write, reports that there is none.
package killer

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ternbeam/internal/decide/learned"
	"ternbeam/internal/host/statestore"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/store"
)

// Options configure a run.
type Options struct {
	Program string // path of the agent's program
	Dir     string // an empty folder for the configuration and the state
	Kills   int    // number of kills
	Seed    uint64 // of the times of the kills
}

// Result counts what a run observed.
type Result struct {
	KilledDuring map[string]int // kills, by the operation on the state folder that was in progress
	LeftBehind   map[string]int // kills, by the state of the folder afterwards
	StartedFrom  map[string]int // starts, by the state that the agent logged as loaded
	Faults       []string       // incorrect starts and folders
}

// stepTimeout limits every wait for something that must happen.
const stepTimeout = 20 * time.Second

const stateFile = `folder = %q
load_ms = 5000
[write]
look_ms = 20
least_s = 0.02
most_s = 0.02
change = 0.0
stale_s = 1.0
kib_a_minute = 1048576
`

// world holds the environment of the agent and the observations of a run.
type world struct {
	opts    Options
	list    *standin.List
	kiosk   standin.Kiosk
	folder  string
	env     []string
	rng     *rand.Rand
	result  Result
	clients int

	generation uint64 // generation of the snapshot found after the previous kill
	confirmed  bool   // a write has been confirmed at least once
}

// Run kills the agent Options.Kills times and returns what it observed. Incorrect starts and folders are reported in
// Result.Faults, not as an error.
func Run(o Options) (Result, error) {
	w := &world{opts: o, folder: filepath.Join(o.Dir, "kept"), rng: rand.New(rand.NewPCG(o.Seed, 2)),
		result: Result{KilledDuring: map[string]int{}, LeftBehind: map[string]int{}, StartedFrom: map[string]int{}}}
	list, err := standin.NewList()
	if err != nil {
		return w.result, err
	}
	defer list.Close()
	w.list = list
	for i := range 4 {
		s, err := standin.Start(standin.Options{ID: fmt.Sprint("forms-", i), Protocol: "http", ServiceTime: time.Millisecond})
		if err != nil {
			return w.result, err
		}
		defer s.Close()
		list.Update(s.Entry())
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w.result, err
	}
	listen := free.Addr().String()
	free.Close()
	p := standin.Platform{Listen: listen, Discovery: list.Addr(), InitialList: list.Full()}
	config := filepath.Join(o.Dir, "config.json")
	if err := errors.Join(os.Mkdir(w.folder, 0o700), os.WriteFile(config, p.Config(), 0o600),
		os.WriteFile(filepath.Join(o.Dir, "state.toml"), fmt.Appendf(nil, stateFile, w.folder), 0o600)); err != nil {
		return w.result, err
	}
	w.env = append(os.Environ(), "NODE_CONFIG="+config)
	if w.kiosk, err = standin.NewKiosk("http", listen); err != nil {
		return w.result, err
	}
	defer w.kiosk.Close()
	for n := range o.Kills {
		if err := w.runAgent(n); err != nil {
			return w.result, fmt.Errorf("run %d of the agent: %w", n, err)
		}
	}
	return w.result, nil
}

// agentLog collects the lines of an agent's log. It is safe for concurrent use.
type agentLog struct {
	mu     sync.Mutex
	lines  []string
	change chan struct{}
}

func (j *agentLog) follow(r io.Reader) {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		j.mu.Lock()
		j.lines = append(j.lines, lines.Text())
		close(j.change)
		j.change = make(chan struct{})
		j.mu.Unlock()
	}
}

// count returns how many lines contain a text, and a channel that is closed at the next line.
func (j *agentLog) count(text string) (n int, next <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, l := range j.lines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n, j.change
}

// wait waits until n lines contain a text.
func (j *agentLog) wait(text string, n int) error {
	timeout := time.After(stepTimeout)
	for {
		got, next := j.count(text)
		if got >= n {
			return nil
		}
		select {
		case <-next:
		case <-timeout:
			return fmt.Errorf("timeout: the agent did not log %q %d times; its log is\n%s", text, n, strings.Join(j.lines, "\n"))
		}
	}
}

const (
	loadedText      = "learned: loaded"
	nothingKeptText = "learned: nothing is kept yet"
	writtenText     = `msg="learned: written"`
)

// runAgent starts an agent, sends it calls, kills it and checks the folder.
func (w *world) runAgent(n int) error {
	agent := exec.Command(w.opts.Program, "run", "--state", filepath.Join(w.opts.Dir, "state.toml"))
	agent.Env = w.env
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	agent.Stderr = in
	log := &agentLog{change: make(chan struct{})}
	var reading sync.WaitGroup
	reading.Go(func() { log.follow(out) })
	if err := errors.Join(agent.Start(), in.Close()); err != nil {
		return err
	}
	defer func() { agent.Process.Kill(); agent.Wait(); reading.Wait(); out.Close() }()
	if err := log.wait("msg=started", 1); err != nil {
		return err
	}
	w.checkStart(n, log)
	ctx, cancel := context.WithCancel(context.Background())
	var kiosks sync.WaitGroup
	defer kiosks.Wait()
	defer cancel()
	for range 4 {
		w.clients++
		first := w.clients << 20
		kiosks.Go(func() { w.sendCalls(ctx, first) })
	}
	early := n > 0 && w.rng.IntN(3) == 0 // kill some agents at their first write, which is a full snapshot
	if !early {
		if err := log.wait(writtenText, 1+w.rng.IntN(4)); err != nil {
			return err
		}
	}
	operation := ""
	if duringOperation := w.rng.IntN(4) > 0; duringOperation {
		operation = w.awaitOperation(agent.Process.Pid)
	} else {
		time.Sleep(time.Duration(w.rng.Int64N(int64(40 * time.Millisecond))))
		operation = cmp.Or(w.currentOperation(agent.Process.Pid), "between operations")
	}
	if err := agent.Process.Kill(); err != nil {
		return err
	}
	agent.Wait()
	reading.Wait()
	w.result.KilledDuring[operation]++
	writes, _ := log.count(writtenText)
	return w.checkFolder(n, writes)
}

// sendCalls sends calls one after the other until ctx is canceled.
func (w *world) sendCalls(ctx context.Context, first int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := strconv.Itoa(first + i)
		w.kiosk.Do(standin.Request{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: "k" + id, TimeLeft: time.Second, Cancel: ctx.Done()})
	}
}

func (w *world) addFault(format string, args ...any) {
	w.result.Faults = append(w.result.Faults, fmt.Sprintf(format, args...))
}

// checkStart checks which state the agent logged as loaded.
func (w *world) checkStart(n int, log *agentLog) {
	with, _ := log.count(loadedText)
	without, _ := log.count(nothingKeptText)
	switch {
	case with == 1 && without == 0:
		w.result.StartedFrom["what was kept"]++
	case without == 1 && with == 0:
		w.result.StartedFrom["nothing"]++
		if w.confirmed {
			w.addFault("run %d: the agent started without stored state, although a write had been confirmed", n)
		}
	default:
		w.result.StartedFrom["neither"]++
		w.addFault("run %d: the log does not say once, and only once, whether stored state was loaded or missing", n)
	}
}

// checkFolder checks the folder after a kill against the writes that the agent had confirmed.
func (w *world) checkFolder(n, writes int) error {
	records, report, err := store.Peek(store.Dir(w.folder), statestore.StoreSettings(0))
	if err != nil {
		return err
	}
	w.confirmed = w.confirmed || writes > 0
	state, dropped, err := learned.Read(statestore.LearnedRecords(records))
	switch {
	case errors.Is(err, learned.ErrNoState) && !w.confirmed:
	case err != nil || len(dropped) > 0:
		w.addFault("run %d: reading the stored state: error %v, dropped %v", n, err, dropped)
	case state.Shared.Agent != "n0":
		w.addFault("run %d: the stored state belongs to agent %q", n, state.Shared.Agent)
	case writes > 0 && report.From <= w.generation:
		w.addFault("run %d: %d writes confirmed, but the snapshot is that of an earlier run, generation %d", n, writes, report.From)
	case report.From < w.generation:
		w.addFault("run %d: the snapshot is of generation %d, older than %d found before", n, report.From, w.generation)
	case writes > 0 && report.Batches < writes-1:
		w.addFault("run %d: %d writes confirmed, but the log contains only %d", n, writes, report.Batches)
	}
	w.generation = report.From
	w.result.LeftBehind[w.describeFolder(report)]++
	return nil
}

// describeFolder describes the state of the folder after a kill.
func (w *world) describeFolder(report store.Report) string {
	names, _ := store.Dir(w.folder).List()
	snapshots, logs := 0, 0
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, ".unfinished"):
			return "an unfinished snapshot"
		case strings.HasPrefix(name, "snapshot-"):
			snapshots++
		case strings.HasPrefix(name, "log-"):
			logs++
		}
	}
	switch {
	case len(report.Dropped) > 0:
		return "a torn log"
	case snapshots > logs:
		return "a snapshot without its log"
	case snapshots > 2:
		return "a generation that was to be removed"
	}
	return "nothing unfinished"
}

// operations maps system call numbers to operations on the state folder. An architecture that has further calls for them adds its own.
var operations = map[int]string{unix.SYS_WRITE: "write", unix.SYS_FSYNC: "sync", unix.SYS_RENAMEAT: "rename", unix.SYS_OPENAT: "open",
	unix.SYS_UNLINKAT: "remove", unix.SYS_CLOSE: "close"}

// currentOperation returns the operation on the state folder that a process is executing, or nothing if there is none or /proc does not
// show it.
func (w *world) currentOperation(pid int) string {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/syscall", pid))
	for _, name := range threads {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text)) // the call's number and arguments, or "running"
		what := ""
		if len(fields) > 1 {
			number, _ := strconv.Atoi(fields[0])
			what = operations[number]
		}
		switch what {
		case "":
			continue
		case "rename", "remove", "open": // a serving agent makes these calls on the state folder only
			return what
		}
		fd, err := strconv.ParseInt(strings.TrimPrefix(fields[1], "0x"), 16, 32)
		if err != nil {
			continue
		}
		if target, err := os.Readlink(fmt.Sprintf("/proc/%d/fd/%d", pid, fd)); err == nil && strings.HasPrefix(target, w.folder) {
			kind, _, _ := strings.Cut(filepath.Base(target), "-")
			if target == w.folder {
				kind = "the folder"
			}
			return what + " of " + kind
		}
	}
	return ""
}

// awaitOperation waits for up to a second until a process executes an operation on the state folder, and returns that operation. It skips a
// random number of operations, at most 3.
func (w *world) awaitOperation(pid int) string {
	skip := w.rng.IntN(4)
	last := ""
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		what := w.currentOperation(pid)
		if what != "" && what != last {
			if skip == 0 {
				return what
			}
			skip--
		}
		last = what
	}
	return "between operations"
}

// WriteTable writes the result as tables of text.
func (r Result) WriteTable(out io.Writer) {
	for _, t := range []struct {
		title string
		rows  map[string]int
	}{{"killed in", r.KilledDuring}, {"left", r.LeftBehind}, {"began with", r.StartedFrom}} {
		fmt.Fprintf(out, "%s:\n", t.title)
		for _, name := range slices.Sorted(maps.Keys(t.rows)) {
			fmt.Fprintf(out, "  %-40s %5d\n", name, t.rows[name])
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
}
