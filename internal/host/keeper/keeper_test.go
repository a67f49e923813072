package keeper

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
	"ternbeam/internal/decide/keeping"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/lab/crashfs"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/store"
)

// agent answers a Keeper as a loop does, with a few servers of which one's rate changes each time.
type agent struct {
	mu   sync.Mutex
	news uint64
}

func (a *agent) view() keeping.View {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.news += 100
	return keeping.View{News: a.news, Servers: 2}
}

func (a *agent) View(context.Context) (keeping.View, error) { return a.view(), nil }

func (a *agent) Export(_ context.Context, into *ledger.Learned) (keeping.View, error) {
	v := a.view()
	*into = ledger.Learned{Fleet: []uint64{1, 2}, Servers: []learned.Server{{Identity: 1, ServerMemory: choice.ServerMemory{ID: "a", Rate: float64(v.News)}}}}
	return v, nil
}

func quick() stateconf.Config {
	c := stateconf.Default("/kept")
	c.Load, c.End = testkit.Patience, testkit.Patience
	c.Keeping.Look, c.Keeping.Least, c.Keeping.Most = time.Millisecond, time.Millisecond, time.Millisecond
	c.Keeping.Retry, c.Keeping.MostRetry, c.Keeping.MostBytes = time.Millisecond, time.Millisecond, 1<<40
	return c
}

// life runs a Keeper of a name until something is logged, and returns what it remembered and logged.
func life(t *testing.T, fs store.FS, name, until string) (*aging.Past, string) {
	t.Helper()
	var l testkit.Log
	k := New(Settings{Config: quick(), Name: name, Log: slog.New(slog.NewTextHandler(&l, nil)), FS: fs})
	go k.Run(new(agent))
	past := k.Past()
	testkit.Eventually(t, "it logs "+until, func() bool { return l.Has(until) })
	k.End()
	return past, l.String()
}

// What one agent wrote the next one remembers; another agent's is neither taken nor written over.
func TestNextAgentRemembers(t *testing.T) {
	fs := crashfs.New()
	if past, said := life(t, fs, "n1", "learned: written"); past != nil || !strings.Contains(said, "nothing is kept yet") {
		t.Errorf("remembers %v\n%s", past, said)
	}
	if past, said := life(t, fs, "n1", "learned: written"); past == nil || past.Left() != 1 || !strings.Contains(said, "learned: loaded") {
		t.Errorf("remembers %v\n%s", past, said)
	}
	before := fs.Files()
	if past, said := life(t, fs, "n2", "learned: not written"); past != nil || !strings.Contains(said, `agent \"n1\"`) {
		t.Errorf("remembers %v\n%s", past, said)
	}
	if past, _ := life(t, fs, "n1", "learned: loaded"); past == nil {
		t.Errorf("the other agent wrote: %d files before", len(before))
	}
}

// A record of a newer format is left as it is, for the newer agent that may come back.
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
	if past, said := life(t, fs, "n1", "learned: not written"); past != nil || strings.Count(said, "learned: not written") != 1 {
		t.Errorf("remembers %v\n%s", past, said)
	}
	records, _, err := store.Peek(fs, store.Settings{})
	if err != nil || string(records[learned.SharedName()].Body) != "of tomorrow" {
		t.Errorf("%v, %v", records, err)
	}
}

// What an agent of the first format kept is taken by one of this format, and written in it.
func TestFirstFormat(t *testing.T) {
	fs := crashfs.New()
	life(t, fs, "n1", `"learned: written"`)
	st, _, err := store.Open(fs, store.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	var first []store.Record
	for _, r := range st.All() { // what the second adds is absent in bodies that do not need it
		r.Format = 1
		first = append(first, r)
	}
	if err := errors.Join(st.Put(first...), st.Close()); err != nil {
		t.Fatal(err)
	}
	past, said := life(t, fs, "n1", `"learned: written"`)
	if past == nil || past.Left() != 1 {
		t.Errorf("remembers %v\n%s", past, said)
	}
	records, _, err := store.Peek(fs, store.Settings{})
	if err != nil || records[learned.SharedName()].Format != learned.Format {
		t.Errorf("%v, format %d", err, records[learned.SharedName()].Format)
	}
	if _, err := learned.Upgrades[0]([]byte("neither")); err == nil {
		t.Error("what is no body of the first format is taken for one")
	}
}

// failing is a folder that fails at some operations.
type failing struct {
	mu sync.Mutex
	*crashfs.FS
	ops []string // those that fail
}

func newFailing(ops ...string) *failing {
	f := &failing{FS: crashfs.New(), ops: ops}
	f.Fail = func(op, _ string) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		if slices.Contains(f.ops, op) {
			return errors.New("the folder is bad: " + op)
		}
		return nil
	}
	return f
}

func (f *failing) heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ops = nil
}

// A folder that is missing, read-only, full, or turns bad later: the agent says so once and goes on; when the folder is
// well again, it writes.
func TestBadFolders(t *testing.T) {
	for name, ops := range map[string][]string{
		"missing":   {"lock", "list", "read", "create", "write", "sync", "rename", "remove"},
		"read-only": {"lock", "create", "write", "sync", "rename", "remove"},
		"full":      {"write"},
		"no sync":   {"sync"},
		"no rename": {"rename"},
	} {
		t.Run(name, func(t *testing.T) {
			fs := newFailing(ops...)
			var l testkit.Log
			k := New(Settings{Config: quick(), Name: "n1", Log: slog.New(slog.NewTextHandler(&l, nil)), FS: fs})
			a := new(agent)
			go k.Run(a)
			if past := k.Past(); past != nil {
				t.Error("remembers something")
			}
			looks := func() uint64 { a.mu.Lock(); defer a.mu.Unlock(); return a.news }
			testkit.Eventually(t, "it tried several times", func() bool { return looks() > 2000 })
			if said := l.String(); strings.Count(said, "level=WARN") != 1 {
				t.Errorf("said\n%s", said)
			}
			fs.heal()
			testkit.Eventually(t, "it writes again", func() bool { return l.Has("learned: written again") })
			k.End()
			records, _, err := store.Peek(fs, store.Settings{})
			if s, _, e := read(records); err != nil || e != nil || s.Count() != 1 {
				t.Errorf("%v, %v", err, e)
			}
		})
	}
}

// Two agents on one folder: the second one serves without writing, and takes the folder once the first has gone.
func TestTwoAgents(t *testing.T) {
	dir := store.Dir(t.TempDir())
	first, _, err := store.Open(dir, store.Settings{})
	if err != nil {
		t.Fatal(err)
	}
	var l testkit.Log
	k := New(Settings{Config: quick(), Name: "n1", Log: slog.New(slog.NewTextHandler(&l, nil)), FS: dir})
	go k.Run(new(agent))
	if past := k.Past(); past != nil {
		t.Error("remembers something")
	}
	testkit.Eventually(t, "it says so", func() bool { return l.Has("another process owns the folder") })
	if err := first.Close(); err != nil {
		t.Fatal(err)
	}
	testkit.Eventually(t, "it writes", func() bool { return l.Has(`"learned: written"`) })
	k.End()
}

// hung is a folder whose operations never end.
type hung struct {
	store.FS
	until chan struct{}
}

func (h hung) Lock() (func() error, string, error) {
	<-h.until
	return nil, "", errors.New("ended")
}

// A folder that hangs delays a start and an end by no more than is allowed.
func TestHungFolder(t *testing.T) {
	set := quick()
	set.Load, set.End = 20*time.Millisecond, 20*time.Millisecond
	var l testkit.Log
	fs := hung{crashfs.New(), make(chan struct{})}
	k := New(Settings{Config: set, Name: "n1", Log: slog.New(slog.NewTextHandler(&l, nil)), FS: fs})
	go k.Run(new(agent))
	if past := k.Past(); past != nil {
		t.Error("remembers something")
	}
	k.End()
	if said := l.String(); !strings.Contains(said, "not read in time") || !strings.Contains(said, "not done in time") {
		t.Errorf("said\n%s", said)
	}
	close(fs.until)
	<-k.ended
}
