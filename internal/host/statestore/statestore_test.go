package statestore

import (
	"context"
	"errors"
	"log/slog"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/writepolicy"
	"ternbeam/internal/lab/crashfs"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/store"
)

// agent answers a Runner as an event loop does, with a few servers of which one's rate changes each time.
type agent struct {
	mu      sync.Mutex
	updates uint64
}

func (a *agent) view() writepolicy.AgentState {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.updates += 100
	return writepolicy.AgentState{Updates: a.updates, Servers: 2}
}

func (a *agent) View(context.Context) (writepolicy.AgentState, error) { return a.view(), nil }

func (a *agent) Export(_ context.Context, into *calltrack.Learned) (writepolicy.AgentState, error) {
	v := a.view()
	*into = calltrack.Learned{Fleet: []uint64{1, 2}, Servers: []learned.Server{{Identity: 1, ServerMemory: choice.ServerMemory{ID: "a", Rate: float64(v.Updates)}}}}
	return v, nil
}

func quickConfig() stateconf.Config {
	c := stateconf.Default("/kept")
	c.LoadTimeout, c.FinalWriteTimeout = testkit.WaitTimeout, testkit.WaitTimeout
	c.WritePolicy.CheckInterval, c.WritePolicy.MinInterval, c.WritePolicy.MaxInterval = time.Millisecond, time.Millisecond, time.Millisecond
	c.WritePolicy.RetryDelay, c.WritePolicy.MaxRetryDelay, c.WritePolicy.BytesPerMinute = time.Millisecond, time.Millisecond, 1<<40
	return c
}

// runOnce runs a Runner of an agent name until a text is logged, and returns the restored state and the log.
func runOnce(t *testing.T, fs store.FS, name, logged string) (*aging.Restored, string) {
	t.Helper()
	var l testkit.Log
	runner := New(Settings{Config: quickConfig(), Name: name, Log: slog.New(slog.NewTextHandler(&l, nil)), FS: fs})
	go runner.Run(new(agent))
	restored := runner.Restored()
	testkit.Eventually(t, "it logs "+logged, func() bool { return l.Contains(logged) })
	runner.Close()
	return restored, l.String()
}

// The state that an agent wrote is restored by its next process; another agent's state is neither restored nor
// overwritten.
func TestStateIsRestoredByNextProcess(t *testing.T) {
	fs := crashfs.New()
	if restored, log := runOnce(t, fs, "n1", "learned: written"); restored != nil || !strings.Contains(log, "nothing is kept yet") {
		t.Errorf("restored %v\n%s", restored, log)
	}
	if restored, log := runOnce(t, fs, "n1", "learned: written"); restored == nil || restored.Remaining() != 1 || !strings.Contains(log, "learned: loaded") {
		t.Errorf("restored %v\n%s", restored, log)
	}
	before := fs.Files()
	if restored, log := runOnce(t, fs, "n2", "learned: not written"); restored != nil || !strings.Contains(log, `agent \"n1\"`) {
		t.Errorf("restored %v\n%s", restored, log)
	}
	if restored, _ := runOnce(t, fs, "n1", "learned: loaded"); restored == nil {
		t.Errorf("the other agent wrote: %d files before", len(before))
	}
}

// A record of a newer format is left as it is, for a newer version of the agent that may be started again.
func TestNewerFormat(t *testing.T) {
	fs := crashfs.New()
	st, _, err := store.Open(fs, store.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	newer := store.Record{Name: learned.SharedName(), Kind: learned.Kind, Format: learned.Format + 1, Body: []byte("of tomorrow")}
	if err := errors.Join(st.Put(newer), st.Close()); err != nil {
		t.Fatal(err)
	}
	if restored, log := runOnce(t, fs, "n1", "learned: not written"); restored != nil || strings.Count(log, "learned: not written") != 1 {
		t.Errorf("restored %v\n%s", restored, log)
	}
	records, _, err := store.Peek(fs, store.Settings{})
	if err != nil || string(records[learned.SharedName()].Body) != "of tomorrow" {
		t.Errorf("%v, %v", records, err)
	}
}

// The state that an agent of format 1 wrote is restored by this version, and written in the current format.
func TestFirstFormat(t *testing.T) {
	fs := crashfs.New()
	runOnce(t, fs, "n1", `"learned: written"`)
	st, _, err := store.Open(fs, store.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	var first []store.Record
	for _, r := range st.All() { // what format 2 adds is absent in bodies that do not need it
		r.Format = 1
		first = append(first, r)
	}
	if err := errors.Join(st.Put(first...), st.Close()); err != nil {
		t.Fatal(err)
	}
	restored, log := runOnce(t, fs, "n1", `"learned: written"`)
	if restored == nil || restored.Remaining() != 1 {
		t.Errorf("restored %v\n%s", restored, log)
	}
	records, _, err := store.Peek(fs, store.Settings{})
	if err != nil || records[learned.SharedName()].Format != learned.Format {
		t.Errorf("%v, format %d", err, records[learned.SharedName()].Format)
	}
	if _, err := learned.Upgrades[0]([]byte("neither")); err == nil {
		t.Error("a body that is not of format 1 is accepted as one")
	}
}

// failingFS is a folder of which some operations fail.
type failingFS struct {
	mu sync.Mutex
	*crashfs.FS
	ops []string // operations that fail
}

func newFailingFS(ops ...string) *failingFS {
	f := &failingFS{FS: crashfs.New(), ops: ops}
	f.Fail = func(op, _ string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if slices.Contains(f.ops, op) {
			return errors.New("injected failure: " + op)
		}
		return nil
	}
	return f
}

func (f *failingFS) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = nil
}

// With a folder that is missing, read-only, full, or fails later, the agent logs that once and keeps running; when the
// folder works again, it writes.
func TestBadFolders(t *testing.T) {
	for name, ops := range map[string][]string{
		"missing":   {"lock", "list", "read", "create", "write", "sync", "rename", "remove"},
		"read-only": {"lock", "create", "write", "sync", "rename", "remove"},
		"full":      {"write"},
		"no sync":   {"sync"},
		"no rename": {"rename"},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newFailingFS(ops...)
			var l testkit.Log
			runner := New(Settings{Config: quickConfig(), Name: "n1", Log: slog.New(slog.NewTextHandler(&l, nil)), FS: fs})
			a := new(agent)
			go runner.Run(a)
			if restored := runner.Restored(); restored != nil {
				t.Error("a state was restored")
			}
			updates := func() uint64 { a.mu.Lock(); defer a.mu.Unlock(); return a.updates }
			testkit.Eventually(t, "it tried several times", func() bool { return updates() > 2000 })
			if log := l.String(); strings.Count(log, "level=WARN") != 1 {
				t.Errorf("logged\n%s", log)
			}
			fs.heal()
			testkit.Eventually(t, "it writes again", func() bool { return l.Contains("learned: written again") })
			runner.Close()
			records, _, err := store.Peek(fs, store.Settings{})
			if s, _, e := readState(records); err != nil || e != nil || s.Count() != 1 {
				t.Errorf("%v, %v", err, e)
			}
		})
	}
}

// Two agents share one folder: the second one runs without writing, and takes over the folder once the first has exited.
func TestTwoAgentsShareOneFolder(t *testing.T) {
	dir := store.Dir(t.TempDir())
	first, _, err := store.Open(dir, store.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	var l testkit.Log
	runner := New(Settings{Config: quickConfig(), Name: "n1", Log: slog.New(slog.NewTextHandler(&l, nil)), FS: dir})
	go runner.Run(new(agent))
	if restored := runner.Restored(); restored != nil {
		t.Error("a state was restored")
	}
	testkit.Eventually(t, "it logs that", func() bool { return l.Contains("another process owns the folder") })
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "it writes", func() bool { return l.Contains(`"learned: written"`) })
	runner.Close()
}

// hungFS is a folder whose operations do not return.
type hungFS struct {
	store.FS
	until chan struct{}
}

func (h hungFS) Lock() (func() error, string, error) {
	<-h.until
	return nil, "", errors.New("ended")
}

// A folder that hangs delays startup and shutdown by no more than configured.
func TestHungFolder(t *testing.T) {
	set := quickConfig()
	set.LoadTimeout, set.FinalWriteTimeout = 20*time.Millisecond, 20*time.Millisecond
	var l testkit.Log
	fs := hungFS{crashfs.New(), make(chan struct{})}
	runner := New(Settings{Config: set, Name: "n1", Log: slog.New(slog.NewTextHandler(&l, nil)), FS: fs})
	go runner.Run(new(agent))
	if restored := runner.Restored(); restored != nil {
		t.Error("a state was restored")
	}
	runner.Close()
	if log := l.String(); !strings.Contains(log, "not read in time") || !strings.Contains(log, "not done in time") {
		t.Errorf("logged\n%s", log)
	}
	close(fs.until)
	<-runner.stopped
}
