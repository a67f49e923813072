// Package keeper keeps what an agent has learned in a folder: it is the host of the deciders on when to write and of the
// store. One goroutine of its own owns them; the loop hands over values and never waits.
package keeper

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/keeping"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/store"
)

// Agent is what a Keeper asks; the answers come from the loop.
type Agent interface {
	View(ctx context.Context) (keeping.View, error)
	Export(ctx context.Context, into *ledger.Learned) (keeping.View, error)
}

// Settings are what a Keeper is made of.
type Settings struct {
	stateconf.Config
	Name  string // the agent's
	Seed  uint64
	Log   *slog.Logger
	FS    store.FS             // nil for the folder
	Clock func() learned.Clock // nil for the machine's
}

// Keeper keeps what one agent learns.
type Keeper struct {
	set   Settings
	past  chan *aging.Past // one value, once the folder was read; nil for nothing
	end   chan struct{}    // closed when the agent ends
	ended chan struct{}    // closed after the last write

	// What follows belongs to the goroutine.
	store   *store.Store
	machine *keeping.Keeper
	steps   keeping.Steps
	began   time.Time
	last    learned.State // as it was written last
	barred  error         // why nothing may be written, ever
	silent  bool          // that writing fails was said
}

// New returns a Keeper that is ready to Run.
func New(set Settings) *Keeper {
	if set.FS == nil {
		set.FS = store.Dir(set.Folder)
	}
	if set.Clock == nil {
		set.Clock = Clock
	}
	return &Keeper{set: set, past: make(chan *aging.Past, 1), end: make(chan struct{}), ended: make(chan struct{})}
}

// Clock reads the machine's clocks, as learned.Clock has them.
func (k *Keeper) Clock() learned.Clock { return k.set.Clock() }

// Past waits for what was kept, for as long as the configuration allows; nil is nothing, or nothing in time.
func (k *Keeper) Past() *aging.Past {
	timeout := time.NewTimer(k.set.Load)
	defer timeout.Stop()
	select {
	case past := <-k.past:
		return past
	case <-timeout.C:
		k.set.Log.Warn("learned: the folder was not read in time, nothing is remembered", "folder", k.set.Folder, "load", k.set.Load)
		return nil
	}
}

// Run reads the folder, and writes to it until the agent ends.
func (k *Keeper) Run(agent Agent) {
	defer close(k.ended)
	k.began = time.Now()
	k.machine = keeping.New(k.set.Keeping, 0, k.set.Seed)
	k.past <- k.load()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	export := new(ledger.Learned)
	for {
		wait := time.NewTimer(k.machine.Next() - k.now())
		select {
		case <-wait.C:
		case <-k.end:
			wait.Stop()
			k.finish(agent, export)
			return
		}
		k.steps.Saw(k.set.Clock())
		view, err := agent.View(ctx)
		if err != nil || !k.machine.Looked(k.now(), view) {
			continue
		}
		if _, err := agent.Export(ctx, export); err != nil {
			continue
		}
		k.write(export)
	}
}

func (k *Keeper) now() time.Duration { return time.Since(k.began) }

// End has what is new written for the last time, and returns when that is done or has taken as long as it may.
func (k *Keeper) End() {
	close(k.end)
	timeout := time.NewTimer(k.set.End)
	defer timeout.Stop()
	select {
	case <-k.ended:
	case <-timeout.C:
		k.set.Log.Warn("learned: the last write was not done in time", "folder", k.set.Folder, "end", k.set.End)
	}
}

// finish makes the last write and gives the folder back.
func (k *Keeper) finish(agent Agent, export *ledger.Learned) {
	ctx, cancel := context.WithTimeout(context.Background(), k.set.End)
	defer cancel()
	if view, err := agent.Export(ctx, export); err == nil && k.machine.End(view) {
		k.write(export)
	}
	if k.store != nil {
		if err := k.store.Close(); err != nil {
			k.set.Log.Warn("learned: giving the folder back", "folder", k.set.Folder, "error", err)
		}
	}
}

// mostDrops is how many dropped parts are logged one by one.
const mostDrops = 16

// load opens the folder and returns what is remembered. Where the folder cannot be owned it is read all the same.
func (k *Keeper) load() *aging.Past {
	begin := time.Now()
	var records map[string]store.Record
	report, err := k.open()
	if err == nil {
		records = k.store.All()
	} else {
		k.complain("learned: the folder cannot be used, the agent serves without it", err)
		var peeked error
		if records, report, peeked = store.Peek(k.set.FS, k.bounds()); peeked != nil {
			return nil
		}
	}
	state, dropped, err := read(records)
	for i, d := range report.Dropped {
		if i == mostDrops {
			k.set.Log.Warn("learned: dropped, and more", "parts", len(report.Dropped))
			break
		}
		k.set.Log.Warn("learned: dropped", "file", d.File, "bytes", d.Bytes, "why", d.Why)
	}
	for _, d := range dropped {
		k.set.Log.Warn("learned: dropped", "record", d.Name, "why", d.Why)
	}
	if err == nil && state.Shared.Agent != k.set.Name {
		err = fmt.Errorf("it is of the agent %q", state.Shared.Agent)
		k.barred = err // it is not ours to write over
	}
	if errors.Is(err, learned.ErrFormat) {
		k.barred = err
	}
	switch {
	case errors.Is(err, learned.ErrNone):
		k.set.Log.Info("learned: nothing is kept yet", "folder", k.set.Folder, "left", report.Left)
		return nil
	case err != nil:
		k.set.Log.Warn("learned: what is kept is not read", "folder", k.set.Folder, "why", err, "written", k.barred == nil)
		return nil
	}
	age, known := aging.Since(state.Shared.At, k.set.Clock())
	k.set.Log.Info("learned: loaded", "folder", k.set.Folder, "servers", state.Count(), "age", age, "age_known", known,
		"generation", report.From, "batches", report.Batches, "dropped", len(report.Dropped)+len(dropped), "left", report.Left,
		"took", time.Since(begin))
	return aging.New(k.set.Aging, state)
}

func (k *Keeper) bounds() store.Settings { return Bounds(k.set.MostBytes) }

// Bounds are the settings of a store that holds what was learned, with what brings older formats up to date.
func Bounds(most int64) store.Settings {
	var upgrades []store.Upgrade
	for _, up := range learned.Upgrades {
		upgrades = append(upgrades, up)
	}
	return store.Settings{MostBytes: most, Upgrades: map[string][]store.Upgrade{learned.Kind: upgrades}}
}

func (k *Keeper) open() (report store.Report, err error) {
	k.store, report, err = store.Open(k.set.FS, k.bounds())
	return report, err
}

// read puts together what a store holds of this kind.
func read(records map[string]store.Record) (learned.State, []learned.Drop, error) {
	return learned.Read(Records(records))
}

// Records are those of a store that hold what was learned.
func Records(records map[string]store.Record) map[string]learned.Record {
	own := map[string]learned.Record{}
	for name, r := range records {
		if r.Kind == learned.Kind {
			own[name] = learned.Record{Name: name, Format: r.Format, Body: r.Body}
		}
	}
	return own
}

// complain says once that something does not work.
func (k *Keeper) complain(text string, err error) {
	if !k.silent {
		k.silent = true
		k.set.Log.Warn(text, "folder", k.set.Folder, "error", err)
	}
}

// write writes what is worth it of what was learned.
func (k *Keeper) write(export *ledger.Learned) {
	if k.barred != nil {
		k.complain("learned: not written", k.barred)
		k.machine.Wrote(k.now(), 0, k.barred)
		return
	}
	begin := time.Now()
	state := learned.New(k.steps.Saw(k.set.Clock()), k.set.Name, export.Memory, export.Servers, export.Fleet, runtime.Gosched)
	shared, buckets := keeping.Pick(k.set.Keeping, k.last, state, runtime.Gosched)
	batch, size, err := words(state, shared, buckets, len(k.last.Buckets))
	if err == nil && len(batch) > 0 {
		err = k.put(batch)
	}
	k.machine.Wrote(k.now(), size, err)
	if err != nil {
		k.complain("learned: not written, the agent serves on", err)
		return
	}
	if k.silent {
		k.silent = false
		k.set.Log.Info("learned: written again", "folder", k.set.Folder)
	}
	if len(batch) == 0 {
		return
	}
	k.keep(state, shared, buckets)
	k.set.Log.Info("learned: written", "records", len(batch), "bytes", size, "servers", state.Count(), "took", time.Since(begin))
}

// keep notes what was written: parts that were not are as they were before.
func (k *Keeper) keep(state learned.State, shared bool, buckets []int) {
	if len(k.last.Buckets) != len(state.Buckets) {
		k.last = state
		return
	}
	if shared {
		k.last.Shared = state.Shared
	}
	for _, i := range buckets {
		k.last.Buckets[i] = state.Buckets[i]
	}
}

// put puts records into the store, which is opened if it could not be before.
func (k *Keeper) put(batch []store.Record) error {
	if k.store == nil {
		if _, err := k.open(); err != nil {
			return err
		}
	}
	return k.store.Put(batch...)
}

// words words the parts of a State that are to be written, and the end of buckets that there were before.
func words(state learned.State, shared bool, buckets []int, before int) (batch []store.Record, size int64, err error) {
	add := func(name string, body []byte, e error) {
		err = errors.Join(err, e)
		size += int64(len(body))
		batch = append(batch, store.Record{Name: name, Kind: learned.Kind, Format: learned.Format, Body: body})
	}
	if shared {
		body, e := learned.EncodeShared(state.Shared)
		add(learned.SharedName(), body, e)
	}
	for _, i := range buckets {
		body, e := learned.EncodeBucket(state.Buckets[i])
		add(learned.BucketName(i), body, e)
		runtime.Gosched() // on one core the loop goes first
	}
	for i := len(state.Buckets); i < before; i++ {
		batch = append(batch, store.Record{Name: learned.BucketName(i), Kind: learned.Kind, Format: learned.Format, Gone: true})
	}
	return batch, size, err
}
