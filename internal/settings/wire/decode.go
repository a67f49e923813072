// Package wire implements the simulator's line protocol: it decodes its messages, encodes the replies and parses the settings
// object, which the real agent has in its configuration too. It makes no decisions.
package wire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fastjson"

	"ternbeam/choice"
)

// Kind is the kind of a Message.
type Kind int

// The kinds of messages.
const (
	Turn        Kind = iota // a batch begins at Now
	YourTurn                // a batch ends; the reply is due
	Launch                  // an instance starts, with Settings and Seed
	Killed                  // an instance has ended
	Event                   // an event for an instance
	Unavailable             // the list of servers is unavailable to an instance, or its subscription failed
)

// Message is one decoded line.
type Message struct {
	Kind     Kind
	Now      time.Duration // of Turn
	Instance string        // of all kinds but Turn and YourTurn
	Settings Settings      // of Launch
	Seed     uint64        // of Launch
	Event    choice.Event  // of Event
	Restored bool          // of a list: it is the one that the instance had at its start
}

// maxLists is the number of list buffers: Buffer is from 0 to maxLists-1.
const maxLists = 16

// Decoder decodes messages. It is not safe for concurrent use.
type Decoder struct {
	in           *bufio.Reader
	longLine     []byte
	line         int
	inTurn       bool
	parser       fastjson.Parser
	lists        [maxLists][]choice.Server
	reportFields map[string][]string // names of the figures in load reports, by running instance
	interned     map[string]string   // one copy of each repeated id
	firstErr     error               // the first error in the current line
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), reportFields: map[string][]string{}, interned: map[string]string{}}
}

// Next returns the next message, or io.EOF at the end of the input. All other errors begin with the line number.
func (d *Decoder) Next() (Message, error) {
	for {
		text, err := d.read()
		if err == io.EOF && d.inTurn {
			return Message{}, fmt.Errorf("line %d: the input ends without YourTurn", d.line)
		}
		if err != nil {
			return Message{}, err
		}
		if len(text) == 0 {
			continue
		}
		m, skip, err := d.decode(text)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if !skip {
			return m, nil
		}
	}
}

// read returns the next line without its line end. There is no limit on its length.
func (d *Decoder) read() ([]byte, error) {
	d.longLine = d.longLine[:0]
	for {
		part, err := d.in.ReadSlice('\n')
		if err == bufio.ErrBufferFull {
			d.longLine = append(d.longLine, part...)
			continue
		}
		if err != nil && (err != io.EOF || len(part)+len(d.longLine) == 0) {
			return nil, err
		}
		d.line++
		if len(d.longLine) > 0 {
			part = append(d.longLine, part...)
			d.longLine = part
		}
		return bytes.TrimSpace(part), nil
	}
}

// decode decodes one line. skip reports that the line yields no Message.
func (d *Decoder) decode(text []byte) (m Message, skip bool, err error) {
	v, err := d.parser.ParseBytes(text)
	if err != nil {
		return m, false, fmt.Errorf("broken JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return m, false, errors.New("not an object")
	}
	d.firstErr = nil
	kind := d.bytes(v, "type")
	switch string(kind) {
	case "Turn":
		if d.inTurn {
			return m, false, errors.New("a Turn inside a Turn: YourTurn is missing")
		}
		d.inTurn = true
		return Message{Kind: Turn, Now: d.time(v, "WallNs")}, false, d.firstErr
	case "YourTurn":
		if !d.inTurn {
			return m, false, errors.New("YourTurn without a Turn")
		}
		d.inTurn = false
		return Message{Kind: YourTurn}, false, nil
	}
	if !d.inTurn {
		return m, false, fmt.Errorf("%q outside a Turn", kind)
	}
	switch string(kind) {
	case "Census":
		d.storeList(v)
		return m, true, d.firstErr
	case "Message": // from another instance: instances send each other nothing, so it is ignored
		return m, true, nil
	}
	m.Instance = d.name(v, "I")
	switch string(kind) {
	case "Launch":
		m.Kind, m.Seed = Launch, d.uint(v, "Seed")
		m.Settings = d.launch(m.Instance, v.Get("BootInfo"))
		return m, false, d.firstErr
	case "Killed":
		m.Kind = Killed
	case "Members":
		form := string(d.bytes(v, "Form"))
		if m.Kind, m.Restored = Event, form == "restored"; form == "unavailable" {
			m.Kind = Unavailable
		}
	default:
		m.Kind = Event
	}
	fields, ok := d.reportFields[m.Instance]
	if !ok {
		return m, false, fmt.Errorf("instance %q was never launched", m.Instance)
	}
	switch m.Kind {
	case Event:
		m.Event = d.event(string(kind), v, fields)
	case Killed:
		delete(d.reportFields, m.Instance)
	}
	return m, false, d.firstErr
}

func (d *Decoder) event(kind string, v *fastjson.Value, fields []string) choice.Event {
	switch kind {
	case "Members":
		return d.members(v)
	case "Inbound":
		return choice.Request{ID: d.str(v, "Tid"), Class: d.int(v, "Category"), Tenant: d.int(v, "Billing"),
			Key: d.str(v, "Resource"), Deadline: d.time(v, "ExpiresNs"), ClientRetry: d.flag(v, "Repeat")}
	case "Answer":
		return choice.Outcome{Request: d.str(v, "Tid"), Attempt: d.int(v, "RoundNo"), Server: d.name(v, "Backend"),
			Result: d.result(v), Took: d.time(v, "LagNs"), Closed: d.flag(v, "Last"), Report: d.report(v, fields)}
	case "Established":
		return choice.StreamStarted{Request: d.str(v, "Tid"), Attempt: d.int(v, "RoundNo")}
	case "Dropped":
		return choice.ClientDisconnected{Request: d.str(v, "Tid")}
	case "Health":
		return choice.Probed{Server: d.name(v, "Backend"), Result: d.result(v), Took: d.time(v, "LagNs"),
			Report: d.report(v, fields)}
	case "TimeoutFired":
		return choice.TimerFired{Token: d.uint(v, "Handle")}
	}
	d.fail("unknown type %q", kind)
	return nil
}

func (d *Decoder) members(v *fastjson.Value) choice.Event {
	form := string(d.bytes(v, "Form"))
	switch form {
	case "update", "replace", "restored":
	default:
		d.fail("unknown Form %q", form)
	}
	n := d.int(v, "Buffer")
	if n < 0 || n >= maxLists || d.lists[n] == nil {
		d.fail("unknown list number %d", n)
		return nil
	}
	return choice.ServerList{Full: form != "update", Servers: d.lists[n]}
}

// storeList stores a list in its buffer. Each list gets a new slice, since events decoded earlier may still refer to the
// previous list of the same number.
func (d *Decoder) storeList(v *fastjson.Value) {
	n := d.int(v, "Buffer")
	if n < 0 || n >= maxLists {
		d.fail("list number %d is not from 0 to %d", n, maxLists-1)
		return
	}
	rows := []choice.Server{}
	for _, e := range d.array(v, "RowsIn") {
		s := choice.Server{ID: d.name(e, "Backend"), Zone: d.int(e, "RegionPart"), Cell: d.int(e, "Pack"),
			Weight: d.float(e, "Units"), Started: d.time(e, "CameUpNs")}
		switch mode := string(d.bytes(e, "Mode")); mode {
		case "ready":
			s.State = choice.Ready
		case "draining":
			s.State = choice.Draining
		case "gone":
			s.State = choice.Removed
		default:
			d.fail("unknown Mode %q", mode)
		}
		rows = append(rows, s)
	}
	d.lists[n] = rows
}

var results = map[int]choice.Result{10: choice.OK, 20: choice.Failed, 30: choice.Rejected, 40: choice.TimedOut,
	50: choice.ConnectFailed, 60: choice.Reset, 70: choice.Canceled, 80: choice.NotSent}

func (d *Decoder) result(v *fastjson.Value) choice.Result {
	n := d.int(v, "Result")
	r, ok := results[n]
	if !ok {
		d.fail("unknown Result %d", n)
	}
	return r
}

func (d *Decoder) report(v *fastjson.Value, fields []string) choice.Report {
	r := choice.NoReport
	for i, e := range d.array(v, "Usage") {
		x, err := e.Float64()
		if err != nil {
			d.fail("Usage: %v", err)
		}
		if i >= len(fields) {
			break
		}
		SetField(&r, fields[i], x)
	}
	return r
}

func (d *Decoder) fail(format string, args ...any) {
	if d.firstErr == nil {
		d.firstErr = fmt.Errorf(format, args...)
	}
}

// get returns a field, or nil when it is absent or null.
func (d *Decoder) get(v *fastjson.Value, key string) *fastjson.Value {
	f := v.Get(key)
	if f == nil || f.Type() == fastjson.TypeNull {
		return nil
	}
	return f
}

// field converts a field of v; an absent one yields the zero value.
func field[T any](d *Decoder, v *fastjson.Value, key string, convert func(*fastjson.Value) (T, error)) (t T) {
	if f := d.get(v, key); f != nil {
		var err error
		if t, err = convert(f); err != nil {
			d.fail("%s: %v", key, err)
		}
	}
	return t
}

func (d *Decoder) bytes(v *fastjson.Value, key string) []byte {
	return field(d, v, key, (*fastjson.Value).StringBytes)
}

func (d *Decoder) int(v *fastjson.Value, key string) int {
	return field(d, v, key, (*fastjson.Value).Int)
}

func (d *Decoder) uint(v *fastjson.Value, key string) uint64 {
	return field(d, v, key, (*fastjson.Value).Uint64)
}

func (d *Decoder) time(v *fastjson.Value, key string) time.Duration {
	return time.Duration(field(d, v, key, (*fastjson.Value).Int64))
}

func (d *Decoder) float(v *fastjson.Value, key string) float64 {
	return field(d, v, key, (*fastjson.Value).Float64)
}

func (d *Decoder) flag(v *fastjson.Value, key string) bool {
	return field(d, v, key, (*fastjson.Value).Bool)
}

func (d *Decoder) array(v *fastjson.Value, key string) []*fastjson.Value {
	return field(d, v, key, (*fastjson.Value).Array)
}

func (d *Decoder) str(v *fastjson.Value, key string) string { return string(d.bytes(v, key)) }

// name is str for the ids of servers and instances: there are few of them, so their strings are interned.
func (d *Decoder) name(v *fastjson.Value, key string) string {
	text := d.bytes(v, key)
	s, ok := d.interned[string(text)]
	if !ok {
		s = string(text)
		d.interned[s] = s
	}
	return s
}

func (d *Decoder) launch(instance string, v *fastjson.Value) Settings {
	if v == nil || v.Type() != fastjson.TypeObject {
		d.fail("Launch without BootInfo")
		return Settings{}
	}
	set, err := ParseSettings(v.MarshalTo(nil))
	if err != nil {
		d.fail("BootInfo: %v", err)
	}
	d.reportFields[instance] = set.ReportFields
	return set
}
