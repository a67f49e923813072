package wire

import (
	"encoding/json"
	"errors"
	"io"
	"strings"
	"testing"
	"time"

	"ternbeam/choice"
)

const boot = `{"Balancers":3,"Classes":[{"AimNs":600000000,"DeadlineNs":1200000000,"Effect":"repeatable","Group":"all",` +
	`"LateWorth":0.25,"Name":"a","Worth":1.0},{"AimNs":200,"DeadlineNs":800,"Effect":"by_key","Group":"cell",` +
	`"WindowNs":15,"Name":"b","Worth":10}],"Discovery":"subscribe","Domain":{"WarmKeys":true},` +
	`"Ceilings":{"MayCancel":true,"MostTries":3,"ParallelTries":true,"RetryAfter":true,"MaxRetryAfterNs":9},` +
	`"Prices":{"CrossZone":0.1},"Report":{"Fields":["util","qps","future"],"Via":"piggyback"},` +
	`"Rules":{"ColdFrom":0.3,"ColdNs":5,"MustAskInNs":7},"Tenants":[{"Name":"t","QuotaPerS":191.0}],"TickNs":4000000,"Me":2,` +
	`"WeightKind":"nominal","Zone":2,"Later":{"unknown":[1]}}`

const launch = `{"type":"Launch","I":"agent_1","Seed":9223372036854775807,"BootInfo":` + boot + `}`

// read decodes lines within one turn.
func read(t *testing.T, lines ...string) ([]Message, error) {
	t.Helper()
	text := "{\"type\":\"Turn\",\"WallNs\":5}\n" + strings.Join(lines, "\n") + "\n{\"type\":\"YourTurn\"}\n"
	d := NewDecoder(strings.NewReader(text))
	var all []Message
	for {
		m, err := d.Next()
		if errors.Is(err, io.EOF) {
			return all[1 : len(all)-1], nil
		}
		if err != nil {
			return nil, err
		}
		all = append(all, m)
	}
}

func TestEvents(t *testing.T) {
	got, err := read(t, launch,
		`{"type":"Inbound","I":"agent_1","Tid":"bb39","Category":1,"Resource":"k:1","ExpiresNs":77,"Repeat":true,"X":{}}`,
		`{"type":"Answer","I":"agent_1","Tid":"bb39","RoundNo":2,"Backend":"10.0.0.1:1","Result":30,"LagNs":8,`+
			`"Usage":[0.5,70,3]}`,
		`{"type":"Answer","I":"agent_1","Tid":"bb39","Backend":"10.0.0.1:1","Result":10,"Last":true,"Usage":null}`,
		`{"type":"Dropped","I":"agent_1","Tid":"bb39"}`,
		`{"type":"Established","I":"agent_1","Tid":"bb39","RoundNo":1}`,
		`{"type":"Health","I":"agent_1","Backend":"10.0.0.1:1","Result":40,"LagNs":4}`,
		`{"type":"Message","I":"agent_1","Who":2,"Blob":"aGk="}`,
		`{"type":"TimeoutFired","I":"agent_1","Handle":9223372036854775808}`,
		`{"type":"Members","I":"agent_1","Form":"unavailable"}`)
	if err != nil {
		t.Fatal(err)
	}
	if m := got[0]; m.Kind != Launch || m.Seed != 1<<63-1 || !m.Settings.Module.KeyAffinity || m.Settings.Module.Zone != 2 ||
		m.Settings.Module.Classes[1].DedupScope != choice.DedupCell || m.Settings.Module.MaxRetryAfter != 9 ||
		m.Settings.Module.Tick != 4*time.Millisecond || !m.Settings.Module.UseListWeights ||
		m.Settings.Pacing != (Pacing{Shared: true, Agents: 3, Me: 2, MustAsk: 7}) {
		t.Errorf("launch: %+v", m)
	}
	report := choice.NoReport
	report.Util, report.Rate = 0.5, 70
	want := []choice.Event{
		choice.Request{ID: "bb39", Class: 1, Key: "k:1", Deadline: 77, ClientRetry: true},
		choice.Outcome{Request: "bb39", Attempt: 2, Server: "10.0.0.1:1", Result: choice.Rejected, Took: 8, Report: report},
		choice.Outcome{Request: "bb39", Server: "10.0.0.1:1", Closed: true, Report: choice.NoReport},
		choice.ClientDisconnected{Request: "bb39"},
		choice.StreamStarted{Request: "bb39", Attempt: 1},
		choice.Probed{Server: "10.0.0.1:1", Result: choice.TimedOut, Took: 4, Report: choice.NoReport},
		choice.TimerFired{Token: 1 << 63},
	}
	for i, w := range want {
		g := got[i+1].Event
		if a, b := mustJSON(t, g), mustJSON(t, w); a != b {
			t.Errorf("event %d: %s, want %s", i, a, b)
		}
	}
	if last := got[len(got)-1]; last.Kind != Unavailable || last.Event != nil {
		t.Errorf("%+v for an unavailable list", last)
	}
}

func mustJSON(t *testing.T, v any) string {
	t.Helper()
	b, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

// A list number may be reused for a new list later in the batch: an earlier event keeps the list that it referred to.
func TestReusedListNumber(t *testing.T) {
	got, err := read(t, launch,
		`{"type":"Census","Buffer":15,"RowsIn":[{"Backend":"a:1","Mode":"ready","Units":1.5,"CameUpNs":6,"Pack":2}]}`,
		`{"type":"Members","I":"agent_1","Form":"restored","Revision":1,"Buffer":15}`,
		`{"type":"Census","Buffer":15,"RowsIn":[{"Backend":"a:1","Mode":"gone"},{"Backend":"b:1","Mode":"draining"}]}`,
		`{"type":"Members","I":"agent_1","Form":"update","Revision":2,"Buffer":15}`)
	if err != nil {
		t.Fatal(err)
	}
	first, second := got[1].Event.(choice.ServerList), got[2].Event.(choice.ServerList)
	want := choice.Server{ID: "a:1", Weight: 1.5, Started: 6, Cell: 2}
	if !first.Full || len(first.Servers) != 1 || first.Servers[0] != want {
		t.Errorf("first list: %+v", first)
	}
	if second.Full || len(second.Servers) != 2 || second.Servers[0].State != choice.Removed ||
		second.Servers[1].State != choice.Draining {
		t.Errorf("second list: %+v", second)
	}
}

func TestKilledThenLaunched(t *testing.T) {
	got, err := read(t, launch, `{"type":"Killed","I":"agent_1"}`, launch, `{"type":"Dropped","I":"agent_1","Tid":"x"}`)
	if err != nil || len(got) != 4 || got[1].Kind != Killed || got[2].Kind != Launch {
		t.Errorf("%+v, %v", got, err)
	}
}

func TestErrorsNameTheLine(t *testing.T) {
	for name, c := range map[string]struct{ text, want string }{
		"broken":   {`{"type":`, "line 3: broken JSON"},
		"array":    {`[1]`, "line 3: not an object"},
		"unknown":  {`{"type":"Hello","I":"agent_1"}`, `line 3: unknown type "Hello"`},
		"stranger": {`{"type":"Dropped","I":"agent_9","Tid":"x"}`, `line 3: instance "agent_9" was never launched`},
		"dead":     {`{"type":"Killed","I":"agent_1"}` + "\n" + `{"type":"Dropped","I":"agent_1"}`, "line 4: instance"},
		"list":     {`{"type":"Members","I":"agent_1","Form":"update","Buffer":3}`, "line 3: unknown list number 3"},
		"number":   {`{"type":"Census","Buffer":16,"RowsIn":[]}`, "line 3: list number 16"},
		"form":     {`{"type":"Members","I":"agent_1","Form":"new"}`, `line 3: unknown Form "new"`},
		"result":   {`{"type":"Answer","I":"agent_1","Tid":"x","Result":11}`, "line 3: unknown Result 11"},
		"typed":    {`{"type":"Dropped","I":"agent_1","Tid":7}`, "line 3: Tid:"},
		"twice":    {`{"type":"Turn","WallNs":6}`, "line 3: a Turn inside a Turn: YourTurn is missing"},
		"boot":     {`{"type":"Launch","I":"agent_2"}`, "line 3: Launch without BootInfo"},
		"effect":   {`{"type":"Launch","I":"a","BootInfo":{"Classes":[{"Effect":"odd"}]}}`, "line 3: BootInfo: class"},
	} {
		if _, err := read(t, launch, c.text); err == nil || !strings.HasPrefix(err.Error(), c.want) {
			t.Errorf("%s: %v, want %s", name, err, c.want)
		}
	}
	for text, want := range map[string]string{
		`{"type":"YourTurn"}`:               "line 1: YourTurn without a Turn",
		`{"type":"Dropped","I":"agent_1"}`:  `line 1: "Dropped" outside a Turn`,
		`{"type":"Turn","WallNs":1}` + "\n": "line 1: the input ends without YourTurn",
	} {
		d := NewDecoder(strings.NewReader(text))
		var err error
		for err == nil {
			_, err = d.Next()
		}
		if err.Error() != want {
			t.Errorf("%q: %v, want %s", text, err, want)
		}
	}
}

func TestLongLine(t *testing.T) {
	pad := strings.Repeat("x", 3<<20)
	got, err := read(t, launch, `{"type":"Dropped","I":"agent_1","Tid":"`+pad+`"}`)
	if err != nil || got[1].Event.(choice.ClientDisconnected).Request != pad {
		t.Errorf("a line of 3 MiB: %v", err)
	}
}

func TestActions(t *testing.T) {
	for want, a := range map[string]choice.Action{
		`{"type":"Send","I":"i","Tid":"r","Backend":"s","TryForNs":5}`: {Kind: choice.Send, Request: "r", Server: "s", After: 5},
		`{"type":"Send","I":"i","Tid":"r","Backend":"s"}`:              {Kind: choice.Send, Request: "r", Server: "s"},
		`{"type":"Cancel","I":"i","Tid":"r","RoundNo":2}`:              {Kind: choice.Cancel, Request: "r", Attempt: 2},
		`{"type":"Shed","I":"i","Tid":"r","ComeBackNs":3}`:             {Kind: choice.Refuse, Request: "r", After: 3},
		`{"type":"Shed","I":"i","Tid":"r"}`:                            {Kind: choice.Refuse, Request: "r"},
		`{"type":"FinishError","I":"i","Tid":"\u00e9\"r"}`:             {Kind: choice.Fail, Request: "é\"r"},
		`{"type":"Schedule","I":"i","Handle":9,"FromNowNs":0}`:         {Kind: choice.SetTimer, Token: 9, After: -1},
		`{"type":"Poll","I":"i","Backend":"s"}`:                        {Kind: choice.Probe, Server: "s"},
	} {
		got := string(AppendAction(nil, "i", a))
		var x, y any
		if err := json.Unmarshal([]byte(got), &x); err != nil {
			t.Fatalf("%s: %v", got, err)
		}
		if err := json.Unmarshal([]byte(want), &y); err != nil {
			t.Fatal(err)
		}
		if mustJSON(t, x) != mustJSON(t, y) || !strings.HasSuffix(got, "}\n") {
			t.Errorf("got %s, want %s", got, want)
		}
	}
}

func FuzzDecoder(f *testing.F) {
	f.Add(`{"type":"Turn","WallNs":5}` + "\n" + launch + "\n" + `{"type":"YourTurn"}`)
	f.Add(`{"type":"Turn"}` + "\n" + `{"type":"Census","Buffer":0,"RowsIn":[{"Backend":"a","Mode":"ready"}]}`)
	f.Fuzz(func(t *testing.T, text string) {
		d := NewDecoder(strings.NewReader(text))
		for {
			m, err := d.Next()
			if err != nil {
				return // an error or io.EOF, never a panic
			}
			if m.Kind == Event && m.Event == nil {
				t.Fatal("an Event message without an event and without an error")
			}
		}
	})
}

// BenchmarkDecode and BenchmarkDecodeStandard compare this decoder with encoding/json on the most frequent line.
func BenchmarkDecode(b *testing.B) {
	d := NewDecoder(strings.NewReader(""))
	d.inTurn, d.reportFields["agent_1"] = true, []string{"util", "qps"}
	for b.Loop() {
		if _, _, err := d.decode([]byte(answer)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkDecodeStandard(b *testing.B) {
	for b.Loop() {
		var v struct {
			Type, I, Tid, Backend  string
			RoundNo, Result, LagNs int
			Last                   bool
			Usage                  []float64
		}
		if err := json.Unmarshal([]byte(answer), &v); err != nil {
			b.Fatal(err)
		}
	}
}

const answer = `{"type":"Answer","I":"agent_1","Tid":"bb39d7305d3a91c4","RoundNo":0,"Backend":"10.18.74.7:5003",` +
	`"Result":10,"LagNs":18500000,"Last":true,"Usage":[0.62,140]}`
