package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/aging"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/learned"
	"ternbeam/internal/host/members"
	"ternbeam/internal/host/statestore"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/store"
)

// writeState writes the learned state of servers with the given rates into a new folder and returns the folder.
func writeState(t *testing.T, rates map[string]float64) string {
	t.Helper()
	dir := t.TempDir()
	var servers []learned.Server
	var fleet []uint64
	for id, rate := range rates {
		servers = append(servers, learned.Server{ServerMemory: choice.ServerMemory{ID: id, Rate: rate, Trust: 1, Failing: 0.5}, Addr: "127.0.0.1:80", Identity: 1})
		fleet = append(fleet, 1)
	}
	at := statestore.Clock()
	at.Wall, at.Boot = at.Wall-time.Minute, at.Boot-time.Minute
	s := learned.New(at, "n1", choice.Memory{Classes: []choice.ClassMemory{{Name: "check", Usual: time.Second, Least: 1, Trust: 1}}}, servers, fleet, nil)
	shared, err := learned.EncodeShared(s.Shared)
	if err != nil {
		t.Fatal(err)
	}
	bucket, err := learned.EncodeBucket(s.Buckets[0])
	if err != nil {
		t.Fatal(err)
	}
	st, _, err := store.Open(store.Dir(dir), statestore.StoreSettings(0))
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Put(store.Record{Name: learned.SharedName(), Kind: learned.Kind, Format: learned.Format, Body: shared},
		store.Record{Name: learned.BucketName(0), Kind: learned.Kind, Format: learned.Format, Body: bucket}); err != nil {
		t.Fatal(err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	return dir
}

// Checks that stored state is shown with its age and current weight, compared, verified and reset.
func TestStateCommands(t *testing.T) {
	dir := writeState(t, map[string]float64{"a": 100, "b": 10})
	found, err := readFolder(dir)
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := printFacts(&out, found, aging.New(aging.Defaults, found.State), statestore.Clock(), true); err != nil {
		t.Fatal(err)
	}
	var output struct {
		Agent   string
		Age     float64 `json:"age_s"`
		Servers []factRow
	}
	if err := json.Unmarshal(out.Bytes(), &output); err != nil {
		t.Fatal(err)
	}
	if output.Agent != "n1" || len(output.Servers) != 2 || output.Age < 59 || output.Age > 90 || output.Servers[1].ID != "b" || output.Servers[1].Rate != 10 ||
		output.Servers[1].RateNow != 25 || output.Servers[0].Trust >= 1 || output.Servers[0].Trust < 0.8 || output.Servers[0].FailsNow >= 0.5 {
		t.Errorf("%+v", output)
	}
	out.Reset()
	if err := printFacts(&out, found, aging.New(aging.Defaults, found.State), statestore.Clock(), false); err != nil || !strings.Contains(out.String(), "1m") {
		t.Errorf("%v\n%s", err, out.String())
	}
	other, err := readFolder(writeState(t, map[string]float64{"a": 50, "c": 1}))
	if err != nil {
		t.Fatal(err)
	}
	var what []string
	for _, d := range diffStates(found.State, other.State) {
		what = append(what, d.ID+" "+d.What)
	}
	if got := strings.Join(what, ", "); got != "a changed, b no longer known, c new" {
		t.Error(got)
	}
	if err := run([]string{"state", "verify", dir}); err != nil {
		t.Error(err)
	}
	names, err := store.Dir(dir).List()
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range names {
		if strings.HasPrefix(name, "snapshot") {
			file := filepath.Join(dir, name)
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			text[len(text)/2] ^= 1
			if err := os.WriteFile(file, text, 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := run([]string{"state", "verify", dir}); err == nil {
		t.Error("a corrupted folder passes verification")
	}
	if err := run([]string{"state", "reset", dir}); err != nil {
		t.Error(err)
	}
	if _, err := readFolder(dir); err == nil {
		t.Error("state is left after a reset")
	}
}

// Checks the merged view of a list and SRV records: states, rules, and the facts of each source.
func TestMembersView(t *testing.T) {
	names, err := standin.NewNameServer()
	if err != nil {
		t.Fatal(err)
	}
	defer names.Close()
	if err := names.SetZone("_forms._tcp.example.org. 60 SRV 1 5 8001 a.example.org.", "a.example.org. 60 A 127.0.0.1"); err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "sources.toml")
	if err := os.WriteFile(file, fmt.Appendf(nil, "[[dns]]\nname = \"_forms._tcp.example.org\"\nservers = [%q]\n", names.Addr()), 0o600); err != nil {
		t.Fatal(err)
	}
	set, err := loadSources(file)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	h := members.New(members.Settings{Config: *set, Log: slog.New(slog.DiscardHandler)})
	h.Feed(ctx, func([]calltrack.Entry) { cancel() })
	var out bytes.Buffer
	c := membersCommand{JSON: true}
	if err := c.printMembers(&out, h.Members()); err != nil {
		t.Fatal(err)
	}
	var output []struct {
		ID, State, Rule string
		Addrs           []string
		Facts           []struct{ Name, Value, Source string }
	}
	if err := json.Unmarshal(out.Bytes(), &output); err != nil {
		t.Fatal(err)
	}
	if len(output) != 1 || output[0].State != "ready" || output[0].Addrs[0] != "127.0.0.1:8001" || output[0].Rule != "agreed" || len(output[0].Facts) != 4 {
		t.Errorf("%s", out.String())
	}
	c.JSON = false
	if out.Reset(); c.printMembers(&out, h.Members()) != nil || !strings.Contains(out.String(), "[127.0.0.1:8001]") {
		t.Errorf("%s", out.String())
	}
}

// Checks that the sample files are valid and that errors in a file are reported by line and key.
func TestCheckOfStateAndSourcesFiles(t *testing.T) {
	dir := t.TempDir()
	for name, c := range map[string]struct{ text, want string }{
		"state.toml":   {"folder = \"kept\"\n[write]\nleast_s = 0\nmost = 1\n", "line 1: folder: must be the full path"},
		"sources.toml": {"[guard]\nshare = 2\n[[dns]]\nname = \"x\"\n", "line 2: guard.share: must be from 0 to 1"},
	} {
		file := filepath.Join(dir, name)
		if err := os.WriteFile(file, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err := check([]string{file}, &out); err == nil || !strings.Contains(out.String(), c.want) || strings.Count(out.String(), "line") < 3 {
			t.Errorf("%s: %v\n%s", name, err, out.String())
		}
		out.Reset()
		if err := check([]string{filepath.Join("../../deploy", name)}, &out); err != nil {
			t.Errorf("the sample file: %s", out.String())
		}
	}
}
