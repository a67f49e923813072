// Package statestore stores what an agent has learned in a folder: it runs the write policy and the store. A goroutine
// of its own owns both; the event loop hands over values and never waits.
package statestore

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"runtime"
	"time"

	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/decide/writepolicy"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/store"
)

// Agent is what a Runner queries; the event loop of the agent answers.
type Agent interface {
	View(ctx context.Context) (writepolicy.AgentState, error)
	Export(ctx context.Context, into *calltrack.Learned) (writepolicy.AgentState, error)
}

// Settings configure a Runner.
type Settings struct {
	stateconf.Config
	Name  string // of the agent
	Seed  uint64
	Log   *slog.Logger
	FS    store.FS             // store.Dir(Folder) if nil
	Clock func() learned.Clock // the machine's clocks if nil
}

// Runner loads and stores the learned state of one agent. Restored, Clock and Close may be called while Run is running.
type Runner struct {
	settings Settings
	restored chan *aging.Restored // receives one value once the folder is read; nil if there is no state
	stop     chan struct{}        // closed when the agent shuts down
	stopped  chan struct{}        // closed after the last write

	// The following fields belong to the goroutine of Run.
	store          *store.Store
	policy         *writepolicy.Policy
	steps          writepolicy.ClockSteps
	startedAt      time.Time
	lastWritten    learned.State // what the folder holds, as far as this process has written it
	readOnlyReason error         // why nothing may ever be written
	failureLogged  bool          // a failure to write was logged
}

// New returns a Runner; Run starts it.
func New(set Settings) *Runner {
	if set.FS == nil {
		set.FS = store.Dir(set.Folder)
	}
	if set.Clock == nil {
		set.Clock = Clock
	}
	return &Runner{settings: set, restored: make(chan *aging.Restored, 1), stop: make(chan struct{}), stopped: make(chan struct{})}
}

// Clock reads the machine's clocks.
func (r *Runner) Clock() learned.Clock { return r.settings.Clock() }

// Restored waits for the stored state, at most for the time configured; it returns nil if there is none or it was not
// read in time.
func (r *Runner) Restored() *aging.Restored {
	timeout := time.NewTimer(r.settings.LoadTimeout)
	defer timeout.Stop()
	select {
	case restored := <-r.restored:
		return restored
	case <-timeout.C:
		r.settings.Log.Warn("learned: the folder was not read in time, nothing is remembered",
			"folder", r.settings.Folder, "load", r.settings.LoadTimeout)
		return nil
	}
}

// Run reads the folder, and writes to it until Close is called.
func (r *Runner) Run(agent Agent) {
	defer close(r.stopped)
	r.startedAt = time.Now()
	r.policy = writepolicy.New(r.settings.WritePolicy, 0, r.settings.Seed)
	r.restored <- r.load()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	export := new(calltrack.Learned)
	for {
		wait := time.NewTimer(r.policy.NextCheck() - r.now())
		select {
		case <-wait.C:
		case <-r.stop:
			wait.Stop()
			r.writeFinal(agent, export)
			return
		}
		r.steps.Observe(r.settings.Clock())
		view, err := agent.View(ctx)
		if err != nil || !r.policy.Check(r.now(), view) {
			continue
		}
		if _, err := agent.Export(ctx, export); err != nil {
			continue
		}
		r.write(export)
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.startedAt) }

// Close makes Run write for the last time, and returns when that is done or has taken as long as configured.
func (r *Runner) Close() {
	close(r.stop)
	timeout := time.NewTimer(r.settings.FinalWriteTimeout)
	defer timeout.Stop()
	select {
	case <-r.stopped:
	case <-timeout.C:
		r.settings.Log.Warn("learned: the last write was not done in time", "folder", r.settings.Folder, "end", r.settings.FinalWriteTimeout)
	}
}

// writeFinal makes the last write and releases the folder.
func (r *Runner) writeFinal(agent Agent, export *calltrack.Learned) {
	ctx, cancel := context.WithTimeout(context.Background(), r.settings.FinalWriteTimeout)
	defer cancel()
	if view, err := agent.Export(ctx, export); err == nil && r.policy.End(view) {
		r.write(export)
	}
	if r.store != nil {
		if err := r.store.Close(); err != nil {
			r.settings.Log.Warn("learned: giving the folder back", "folder", r.settings.Folder, "error", err)
		}
	}
}

// maxLoggedDrops is how many dropped parts are logged one by one.
const maxLoggedDrops = 16

// load opens the folder and returns the stored state. If another process owns the folder, it is still read.
func (r *Runner) load() *aging.Restored {
	begin := time.Now()
	var records map[string]store.Record
	report, err := r.openStore()
	if err == nil {
		records = r.store.All()
	} else {
		r.logFailureOnce("learned: the folder cannot be used, the agent serves without it", err)
		var peekErr error
		if records, report, peekErr = store.Peek(r.settings.FS, r.storeSettings()); peekErr != nil {
			return nil
		}
	}
	state, dropped, err := readState(records)
	for i, d := range report.Dropped {
		if i == maxLoggedDrops {
			r.settings.Log.Warn("learned: dropped, and more", "parts", len(report.Dropped))
			break
		}
		r.settings.Log.Warn("learned: dropped", "file", d.File, "bytes", d.Bytes, "why", d.Why)
	}
	for _, d := range dropped {
		r.settings.Log.Warn("learned: dropped", "record", d.Name, "why", d.Why)
	}
	if err == nil && state.Shared.Agent != r.settings.Name {
		err = fmt.Errorf("state belongs to agent %q", state.Shared.Agent)
		r.readOnlyReason = err // another agent's state must not be overwritten
	}
	if errors.Is(err, learned.ErrFormat) {
		r.readOnlyReason = err
	}
	switch {
	case errors.Is(err, learned.ErrNoState):
		r.settings.Log.Info("learned: nothing is kept yet", "folder", r.settings.Folder, "left", report.Left)
		return nil
	case err != nil:
		r.settings.Log.Warn("learned: what is kept is not read", "folder", r.settings.Folder, "why", err, "written", r.readOnlyReason == nil)
		return nil
	}
	age, known := aging.Since(state.Shared.At, r.settings.Clock())
	r.settings.Log.Info("learned: loaded", "folder", r.settings.Folder, "servers", state.Count(), "age", age, "age_known", known,
		"generation", report.From, "batches", report.Batches, "dropped", len(report.Dropped)+len(dropped), "left", report.Left,
		"took", time.Since(begin))
	return aging.New(r.settings.Aging, state)
}

func (r *Runner) storeSettings() store.Settings { return StoreSettings(r.settings.MaxBytes) }

// StoreSettings returns the settings of a store for learned state, with the upgrades of older formats.
func StoreSettings(maxBytes int64) store.Settings {
	var upgrades []store.Upgrade
	for _, upgrade := range learned.Upgrades {
		upgrades = append(upgrades, upgrade)
	}
	return store.Settings{MaxBytes: maxBytes, Upgrades: map[string][]store.Upgrade{learned.Kind: upgrades}}
}

func (r *Runner) openStore() (report store.Report, err error) {
	r.store, report, err = store.Open(r.settings.FS, r.storeSettings())
	return report, err
}

// readState decodes the state that a store holds.
func readState(records map[string]store.Record) (learned.State, []learned.DroppedRecord, error) {
	return learned.Read(LearnedRecords(records))
}

// LearnedRecords returns the records of a store that hold learned state.
func LearnedRecords(records map[string]store.Record) map[string]learned.Record {
	learnedRecords := map[string]learned.Record{}
	for name, r := range records {
		if r.Kind == learned.Kind {
			learnedRecords[name] = learned.Record{Name: name, Format: r.Format, Body: r.Body}
		}
	}
	return learnedRecords
}

// logFailureOnce logs a failure if none was logged since the last success.
func (r *Runner) logFailureOnce(text string, err error) {
	if !r.failureLogged {
		r.failureLogged = true
		r.settings.Log.Warn(text, "folder", r.settings.Folder, "error", err)
	}
}

// write writes the parts of the learned state that have changed enough.
func (r *Runner) write(export *calltrack.Learned) {
	if r.readOnlyReason != nil {
		r.logFailureOnce("learned: not written", r.readOnlyReason)
		r.policy.WriteDone(r.now(), 0, r.readOnlyReason)
		return
	}
	begin := time.Now()
	state := learned.New(r.steps.Observe(r.settings.Clock()), r.settings.Name, export.Memory, export.Servers, export.Fleet, runtime.Gosched)
	shared, buckets := writepolicy.SelectChanged(r.settings.WritePolicy, r.lastWritten, state, runtime.Gosched)
	batch, size, err := encodeBatch(state, shared, buckets, len(r.lastWritten.Buckets))
	if err == nil && len(batch) > 0 {
		err = r.put(batch)
	}
	r.policy.WriteDone(r.now(), size, err)
	if err != nil {
		r.logFailureOnce("learned: not written, the agent serves on", err)
		return
	}
	if r.failureLogged {
		r.failureLogged = false
		r.settings.Log.Info("learned: written again", "folder", r.settings.Folder)
	}
	if len(batch) == 0 {
		return
	}
	r.recordWritten(state, shared, buckets)
	r.settings.Log.Info("learned: written", "records", len(batch), "bytes", size, "servers", state.Count(), "took", time.Since(begin))
}

// recordWritten records what was written: parts that were not written remain as before.
func (r *Runner) recordWritten(state learned.State, shared bool, buckets []int) {
	if len(r.lastWritten.Buckets) != len(state.Buckets) {
		r.lastWritten = state
		return
	}
	if shared {
		r.lastWritten.Shared = state.Shared
	}
	for _, i := range buckets {
		r.lastWritten.Buckets[i] = state.Buckets[i]
	}
}

// put writes records to the store, and opens it first if that failed before.
func (r *Runner) put(batch []store.Record) error {
	if r.store == nil {
		if _, err := r.openStore(); err != nil {
			return err
		}
	}
	return r.store.Put(batch...)
}

// encodeBatch encodes the parts of a State to be written, and deletions of buckets that no longer exist.
func encodeBatch(state learned.State, shared bool, buckets []int, previousBuckets int) (batch []store.Record, size int64, err error) {
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
		runtime.Gosched() // on a single CPU the event loop goes first
	}
	for i := len(state.Buckets); i < previousBuckets; i++ {
		batch = append(batch, store.Record{Name: learned.BucketName(i), Kind: learned.Kind, Format: learned.Format, Deleted: true})
	}
	return batch, size, err
}
