package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/host/statestore"
	"ternbeam/internal/settings/stateconf"
	"ternbeam/internal/store"
)

// loadState reads the configuration of the stored learned state.
func loadState(name string) (stateconf.Config, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return stateconf.Config{}, err
	}
	cfg, err := stateconf.Parse(text)
	if err != nil {
		return cfg, fmt.Errorf("%s: %w", name, err)
	}
	return cfg, nil
}

type stateCommand struct {
	Show   stateShow   `cmd:"" help:"Show every fact with its age and the values that an agent would restore now."`
	Verify stateVerify `cmd:"" help:"Read everything and report what would be dropped and why. Fails if anything would be."`
	Diff   stateDiff   `cmd:"" help:"Show the differences between two folders."`
	Export stateExport `cmd:"" help:"Print all stored state as JSON."`
	Reset  stateReset  `cmd:"" help:"Delete all learned state. Fails while an agent owns the folder."`
}

// storedState is the content of a state folder.
type storedState struct {
	State   learned.State           `json:"state"`
	Report  store.Report            `json:"report"`
	Dropped []learned.DroppedRecord `json:"-"`
}

// readFolder reads a state folder without locking it.
func readFolder(folder string) (stored storedState, err error) {
	records, report, err := store.Peek(store.Dir(folder), statestore.StoreSettings(1<<30))
	if err != nil {
		return stored, err
	}
	stored.Report = report
	stored.State, stored.Dropped, err = learned.Read(statestore.LearnedRecords(records))
	return stored, err
}

// droppedTexts describes each part that can't be read and is dropped.
func (s storedState) droppedTexts() (all []string) {
	for _, d := range s.Report.Dropped {
		all = append(all, fmt.Sprintf("%s: %d bytes: %s", d.File, d.Bytes, d.Why))
	}
	for _, d := range s.Dropped {
		all = append(all, fmt.Sprintf("%s: %v", d.Name, d.Why))
	}
	return all
}

type stateShow struct {
	Folder string `arg:"" help:"The folder."`
	State  string `help:"Configuration of how facts age (see deploy/state.toml); defaults without it." placeholder:"FILE"`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// factRow is the output for one fact. Durations are in seconds.
type factRow struct {
	ID       string  `json:"id"`
	Addr     string  `json:"addr"`
	Age      float64 `json:"age_s"` // -1 if unknown
	Rate     float64 `json:"rate"`
	Trust    float64 `json:"trust_now"`
	RateNow  float64 `json:"rate_now"`
	Failing  float64 `json:"failing"`
	FailsNow float64 `json:"failing_now"`
	Ejected  bool    `json:"ejected"`
	TrialNow bool    `json:"trial_now"`
}

// ageSeconds returns an age in seconds, or -1 if it is unknown.
func ageSeconds(age time.Duration, known bool) float64 {
	if !known {
		return -1
	}
	return age.Seconds()
}

// Run prints the facts.
func (c *stateShow) Run(k *kong.Kong) error {
	agingSettings := aging.Defaults
	if c.State != "" {
		cfg, err := loadState(c.State)
		if err != nil {
			return err
		}
		agingSettings = cfg.Aging
	}
	found, err := readFolder(c.Folder)
	if err != nil {
		return err
	}
	return printFacts(k.Stdout, found, aging.New(agingSettings, found.State), statestore.Clock(), c.JSON)
}

// printFacts prints the stored facts, as JSON or as tables.
func printFacts(out io.Writer, found storedState, restored *aging.Restored, now learned.Clock, asJSON bool) error {
	age, known, shared := restored.SharedFacts(now)
	facts := []factRow{}
	for _, f := range restored.Facts(now) {
		facts = append(facts, factRow{ID: f.ID, Addr: f.Addr, Age: ageSeconds(f.Age, f.AgeKnown), Rate: f.Rate, Trust: f.Current.Trust,
			RateNow: f.Current.Rate, Failing: f.Failing, FailsNow: f.Current.Failing, Ejected: f.Ejected, TrialNow: f.Current.Ejected})
	}
	if asJSON {
		return writeJSON(out, map[string]any{"agent": found.State.Shared.Agent, "age_s": ageSeconds(age, known),
			"fleet": len(found.State.Shared.Fleet), "shared": found.State.Shared.Memory, "shared_now": shared, "servers": facts,
			"dropped": found.droppedTexts()})
	}
	fmt.Fprintf(out, "agent %s, %d servers in the list then, written %s\n\n", found.State.Shared.Agent,
		len(found.State.Shared.Fleet), ageText(ageSeconds(age, known)))
	w := tabwriter.NewWriter(out, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "class\tusual\tleast\ttrust now")
	trust := map[string]float64{}
	for _, class := range shared.Classes {
		trust[class.Name] = class.Trust
	}
	for _, class := range found.State.Shared.Memory.Classes {
		fmt.Fprintf(w, "%s\t%v\t%v\t%.2f\n", class.Name, class.Usual.Round(time.Microsecond), class.Least.Round(time.Microsecond), trust[class.Name])
	}
	fmt.Fprintln(w, "\nserver\taddress\tage\trate/s\tnow\ttrust now\tfailing\tnow\tejected\tejected now")
	for _, f := range facts {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%.2f\t%.2f\t%.2f\t%t\t%t\n", f.ID, f.Addr, ageText(f.Age), f.Rate, f.RateNow, f.Trust,
			f.Failing, f.FailsNow, f.Ejected, f.TrialNow)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	for _, text := range found.droppedTexts() {
		fmt.Fprintln(out, "dropped:", text)
	}
	return nil
}

func ageText(s float64) string {
	if s < 0 {
		return "at an unknown time"
	}
	return time.Duration(s*float64(time.Second)).Round(time.Second).String() + " ago"
}

func writeJSON(out io.Writer, v any) error {
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

type stateVerify struct {
	Folder string `arg:"" help:"The folder."`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// Run reads everything and reports what can't be read.
func (c *stateVerify) Run(k *kong.Kong) error {
	found, err := readFolder(c.Folder)
	dropped := found.droppedTexts()
	if c.JSON {
		result := map[string]any{"generation": found.Report.From, "batches": found.Report.Batches, "records": found.Report.Records,
			"servers": found.State.Count(), "dropped": dropped}
		if err != nil {
			result["error"] = err.Error()
		}
		if e := writeJSON(k.Stdout, result); e != nil {
			return e
		}
	} else {
		fmt.Fprintf(k.Stdout, "generation %d, %d batches from logs, %d records, %d servers\n", found.Report.From,
			found.Report.Batches, found.Report.Records, found.State.Count())
		for _, text := range dropped {
			fmt.Fprintln(k.Stdout, "dropped:", text)
		}
	}
	if err == nil && len(dropped) > 0 {
		err = errors.New("some of the state can't be read")
	}
	return err
}

type stateDiff struct {
	Before string `arg:"" help:"The first folder."`
	After  string `arg:"" help:"The second folder."`
	JSON   bool   `name:"json" help:"Print JSON."`
}

// serverDiff is a server whose state differs between two folders.
type serverDiff struct {
	ID     string          `json:"id"`
	What   string          `json:"what"`
	Before *learned.Server `json:"before,omitempty"`
	After  *learned.Server `json:"after,omitempty"`
}

// Run prints the differences.
func (c *stateDiff) Run(k *kong.Kong) error {
	before, err := readFolder(c.Before)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Before, err)
	}
	after, err := readFolder(c.After)
	if err != nil {
		return fmt.Errorf("%s: %w", c.After, err)
	}
	all := diffStates(before.State, after.State)
	if c.JSON {
		return writeJSON(k.Stdout, all)
	}
	w := tabwriter.NewWriter(k.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "server\twhat\trate/s\tfailing\tejected")
	for _, d := range all {
		var b, a choice.ServerMemory
		if d.Before != nil {
			b = d.Before.ServerMemory
		}
		if d.After != nil {
			a = d.After.ServerMemory
		}
		fmt.Fprintf(w, "%s\t%s\t%.1f > %.1f\t%.2f > %.2f\t%t > %t\n", d.ID, d.What, b.Rate, a.Rate, b.Failing, a.Failing, b.Ejected, a.Ejected)
	}
	return w.Flush()
}

// diffStates returns the servers whose state differs, apart from its age.
func diffStates(before, after learned.State) (all []serverDiff) {
	byID := func(s learned.State) map[string]*learned.Server {
		m := map[string]*learned.Server{}
		for _, b := range s.Buckets {
			for i := range b.Servers {
				m[b.Servers[i].ID] = &b.Servers[i]
			}
		}
		return m
	}
	old, now := byID(before), byID(after)
	for id, b := range old {
		a := now[id]
		switch {
		case a == nil:
			all = append(all, serverDiff{id, "no longer known", b, nil})
		case a.Identity != b.Identity:
			all = append(all, serverDiff{id, "another server", b, a})
		case a.Rate != b.Rate || a.Failing != b.Failing || a.Ejected != b.Ejected:
			all = append(all, serverDiff{id, "changed", b, a})
		}
	}
	for id, a := range now {
		if old[id] == nil {
			all = append(all, serverDiff{id, "new", nil, a})
		}
	}
	slices.SortFunc(all, func(x, y serverDiff) int { return cmp.Compare(x.ID, y.ID) })
	return all
}

type stateExport struct {
	Folder string `arg:"" help:"The folder."`
}

// Run prints everything.
func (c *stateExport) Run(k *kong.Kong) error {
	found, err := readFolder(c.Folder)
	if err != nil {
		return err
	}
	return writeJSON(k.Stdout, found)
}

type stateReset struct {
	Folder string `arg:"" help:"The folder."`
}

// Run deletes everything, in the previous generation too.
func (c *stateReset) Run(k *kong.Kong) (err error) {
	st, _, err := store.Open(store.Dir(c.Folder), statestore.StoreSettings(1<<30))
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, st.Close()) }()
	var removed []store.Record
	for _, name := range slices.Sorted(maps.Keys(st.All())) {
		if r, _ := st.Get(name); r.Kind == learned.Kind {
			r.Body, r.Deleted = nil, true
			removed = append(removed, r)
		}
	}
	if err := st.Put(removed...); err != nil {
		return err
	}
	if err := errors.Join(st.Compact(), st.Compact()); err != nil {
		return err
	}
	fmt.Fprintf(k.Stdout, "%d records deleted\n", len(removed))
	return nil
}
