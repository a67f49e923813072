// Package killer kills a real agent while it writes down what it has learned, again and again, and judges from the folder
// and the agent's log alone: all that was confirmed is there, and each start is from it or, before the first write, from
// nothing.
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

	"ternbeam/internal/decide/learned"
	"ternbeam/internal/host/keeper"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/store"
)

// Options say what is killed, and how often.
type Options struct {
	Program string // the agent's
	Dir     string // an empty folder for all that it needs
	Kills   int
	Seed    uint64
}

// Result is what came of it.
type Result struct {
	Fell   map[string]int // kills, by the operation on the folder in which they fell
	Left   map[string]int // kills, by what they left in the folder
	Starts map[string]int // by what the agent said it began with
	Faults []string       // starts and folders that were not as they must be
}

// patience is how long anything is waited for that must come.
const patience = 20 * time.Second

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

// world is what the agent meets.
type world struct {
	opts   Options
	list   *standin.List
	kiosk  standin.Kiosk
	folder string
	env    []string
	rng    *rand.Rand
	result Result
	asked  int

	from    uint64 // generation that was found after the kill before
	written bool   // anything was ever confirmed
}

// Run kills the agent so many times.
func Run(o Options) (Result, error) {
	w := &world{opts: o, folder: filepath.Join(o.Dir, "kept"), rng: rand.New(rand.NewPCG(o.Seed, 2)),
		result: Result{Fell: map[string]int{}, Left: map[string]int{}, Starts: map[string]int{}}}
	list, err := standin.NewList()
	if err != nil {
		return w.result, err
	}
	defer list.Close()
	w.list = list
	for i := range 4 {
		s, err := standin.Start(standin.Options{ID: fmt.Sprint("forms-", i), Protocol: "http", Service: time.Millisecond})
		if err != nil {
			return w.result, err
		}
		defer s.Close()
		list.Tell(s.Entry())
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return w.result, err
	}
	listen := free.Addr().String()
	free.Close()
	p := standin.Platform{Listen: listen, Discovery: list.Addr(), Known: list.Full()}
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
		if err := w.life(n); err != nil {
			return w.result, fmt.Errorf("life %d: %w", n, err)
		}
	}
	return w.result, nil
}

// journal follows what an agent logs.
type journal struct {
	mu     sync.Mutex
	lines  []string
	change chan struct{}
}

func (j *journal) follow(r io.Reader) {
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

// count returns how many lines hold a text, and what tells of the next line.
func (j *journal) count(text string) (n int, next <-chan struct{}) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, l := range j.lines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n, j.change
}

// wait waits for so many lines that hold a text.
func (j *journal) wait(text string, n int) error {
	timeout := time.After(patience)
	for {
		got, next := j.count(text)
		if got >= n {
			return nil
		}
		select {
		case <-next:
		case <-timeout:
			return fmt.Errorf("the agent has not logged %q %d times; it logged\n%s", text, n, strings.Join(j.lines, "\n"))
		}
	}
}

const (
	loaded  = "learned: loaded"
	nothing = "learned: nothing is kept yet"
	wrote   = `msg="learned: written"`
)

// life starts an agent, has it serve, kills it and looks at what is there.
func (w *world) life(n int) error {
	agent := exec.Command(w.opts.Program, "run", "--state", filepath.Join(w.opts.Dir, "state.toml"))
	agent.Env = w.env
	out, in, err := os.Pipe()
	if err != nil {
		return err
	}
	agent.Stderr = in
	log := &journal{change: make(chan struct{})}
	var reading sync.WaitGroup
	reading.Go(func() { log.follow(out) })
	if err := errors.Join(agent.Start(), in.Close()); err != nil {
		return err
	}
	defer func() { agent.Process.Kill(); agent.Wait(); reading.Wait(); out.Close() }()
	if err := log.wait("msg=started", 1); err != nil {
		return err
	}
	w.started(n, log)
	ctx, cancel := context.WithCancel(context.Background())
	var kiosks sync.WaitGroup
	defer kiosks.Wait()
	defer cancel()
	for range 4 {
		w.asked++
		first := w.asked << 20
		kiosks.Go(func() { w.ask(ctx, first) })
	}
	early := n > 0 && w.rng.IntN(3) == 0 // some are killed at their first write, which is a whole snapshot
	if !early {
		if err := log.wait(wrote, 1+w.rng.IntN(4)); err != nil {
			return err
		}
	}
	fell := ""
	if aim := w.rng.IntN(4) > 0; aim {
		fell = w.await(agent.Process.Pid)
	} else {
		time.Sleep(time.Duration(w.rng.Int64N(int64(40 * time.Millisecond))))
		fell = cmp.Or(w.doing(agent.Process.Pid), "between operations")
	}
	if err := agent.Process.Kill(); err != nil {
		return err
	}
	agent.Wait()
	reading.Wait()
	w.result.Fell[fell]++
	writes, _ := log.count(wrote)
	return w.look(n, writes)
}

// ask asks one call after the other.
func (w *world) ask(ctx context.Context, first int) {
	for i := 0; ctx.Err() == nil; i++ {
		id := strconv.Itoa(first + i)
		w.kiosk.Ask(standin.Ask{Method: standin.Check, ID: id, Tenant: standin.Tenants[0], Key: "k" + id, Left: time.Second, Leave: ctx.Done()})
	}
}

func (w *world) fault(format string, args ...any) {
	w.result.Faults = append(w.result.Faults, fmt.Sprintf(format, args...))
}

// started judges what an agent said it began with.
func (w *world) started(n int, log *journal) {
	with, _ := log.count(loaded)
	without, _ := log.count(nothing)
	switch {
	case with == 1 && without == 0:
		w.result.Starts["what was kept"]++
	case without == 1 && with == 0:
		w.result.Starts["nothing"]++
		if w.written {
			w.fault("life %d: it began from nothing though something was written", n)
		}
	default:
		w.result.Starts["neither"]++
		w.fault("life %d: it says neither what it began with nor that there was nothing", n)
	}
}

// look judges the folder that a kill left, by what the agent had confirmed.
func (w *world) look(n, writes int) error {
	records, report, err := store.Peek(store.Dir(w.folder), keeper.Bounds(0))
	if err != nil {
		return err
	}
	w.written = w.written || writes > 0
	state, dropped, err := learned.Read(keeper.Records(records))
	switch {
	case errors.Is(err, learned.ErrNone) && !w.written:
	case err != nil || len(dropped) > 0:
		w.fault("life %d: %v, %v", n, err, dropped)
	case state.Shared.Agent != "n0":
		w.fault("life %d: of the agent %q", n, state.Shared.Agent)
	case writes > 0 && report.From <= w.from:
		w.fault("life %d: %d writes confirmed, and the snapshot is the one before, %d", n, writes, report.From)
	case report.From < w.from:
		w.fault("life %d: the snapshot is of generation %d, after %d", n, report.From, w.from)
	case writes > 0 && report.Batches < writes-1:
		w.fault("life %d: %d writes confirmed, and the log holds %d", n, writes, report.Batches)
	}
	w.from = report.From
	w.result.Left[w.remains(report)]++
	return nil
}

// remains names what a kill left.
func (w *world) remains(report store.Report) string {
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

// operations are system calls by their numbers on this processor, as /proc tells them.
var operations = map[string]string{"1": "write", "74": "sync", "82": "rename", "264": "rename", "257": "open", "263": "remove", "3": "close"}

// doing is the operation on the folder that a process is in; nothing where none is, or the system does not tell.
func (w *world) doing(pid int) string {
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/syscall", pid))
	for _, name := range threads {
		text, err := os.ReadFile(name)
		if err != nil {
			continue
		}
		fields := strings.Fields(string(text))
		what := ""
		if len(fields) > 1 {
			what = operations[fields[0]]
		}
		switch what {
		case "":
			continue
		case "rename", "remove", "open": // of this agent, while it serves, only on the folder
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

// await waits until a process is in the midst of an operation on the folder, the first or a later one, for a while.
func (w *world) await(pid int) string {
	skip := w.rng.IntN(4)
	last := ""
	for end := time.Now().Add(time.Second); time.Now().Before(end); {
		what := w.doing(pid)
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

// Table words a result.
func (r Result) Table(out io.Writer) {
	for _, t := range []struct {
		title string
		rows  map[string]int
	}{{"killed in", r.Fell}, {"left", r.Left}, {"began with", r.Starts}} {
		fmt.Fprintf(out, "%s:\n", t.title)
		for _, name := range slices.Sorted(maps.Keys(t.rows)) {
			fmt.Fprintf(out, "  %-40s %5d\n", name, t.rows[name])
		}
	}
	for _, f := range r.Faults {
		fmt.Fprintln(out, "fault:", f)
	}
}
