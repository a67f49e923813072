package thriftmap

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/thrift/thriftwire"
)

// vendor configures another vendor's service: no correlation id, the time in seconds as a double, a numeric key, header fields spread over the
// arguments, and its own exceptions with the retry time in seconds.
const vendor = `
listen = "127.0.0.1:0"
[methods.Submit]
class = "refund-record"
answers = [4]
[methods.Submit.header]
default_tenant = "leith"
key = "2"
idempotency_key = "3.1.1"
time_left = "4"
time_left_unit = "s"
repeat = "5"
[methods.Submit.refused]
field = 3
retry_after = 7
retry_after_unit = "s"
retry_after_type = "i64"
unprocessed = "9.1"
[methods.Submit.load]
at = ["0"]
qps = 2
[methods.Reset]
class = "pay-out"
void = true
[methods.Reset.header]
default_tenant = "leith"
`

var encodings = []thriftwire.Encoding{thriftwire.Binary, thriftwire.Compact}

func parse(t *testing.T) *Map {
	t.Helper()
	m, err := Parse([]byte(vendor), classes)
	if err != nil {
		t.Fatal(err)
	}
	return m
}

func submit(e thriftwire.Encoding) []byte {
	w := thriftwire.Writer{Encoding: e}
	w.Head(thriftwire.Call, []byte("Submit"), thriftwire.AppendSeq(nil, e, 77))
	w.Int(2, thriftwire.I64, 123456)
	w.Struct(3)
	w.Struct(1)
	w.String(1, "once")
	w.Stop()
	w.Stop()
	w.Double(4, 1.5)
	w.Int(5, thriftwire.I32, 2)
	w.Stop()
	return w.Buf
}

func read(t *testing.T, m *Map, message []byte) *Call {
	t.Helper()
	h, err := thriftwire.ReadHead(message)
	if err != nil {
		t.Fatal(err)
	}
	c, err := m.Read(h, message)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// Another vendor's IDL is supported by configuration alone, and the frame for a server differs from the client's only in the sequence id and the
// remaining time.
func TestAnotherVendorsService(t *testing.T) {
	m := parse(t)
	for _, e := range encodings {
		c := read(t, m, submit(e))
		if c.ID != "" || c.Tenant != "leith" || c.Key != "123456" || !c.ClientRetry || c.TimeLeft != 1500*time.Millisecond {
			t.Errorf("%v: %+v", e, c)
		}
		frame := c.AppendRequest(nil, 5, 250*time.Millisecond)
		forwarded := read(t, m, frame[4:])
		if forwarded.Head.Seq != 5 || forwarded.TimeLeft != 250*time.Millisecond || forwarded.Key != c.Key {
			t.Errorf("%v: forwarded as %+v", e, forwarded)
		}
		// Restoring the old values restores the original message.
		back := forwarded.AppendRequest(nil, 77, 1500*time.Millisecond)
		if !bytes.Equal(back[4:], c.Message) {
			t.Errorf("%v: % x\nbecame % x", e, c.Message, back[4:])
		}
	}
}

// result encodes a reply to Submit or Reset.
func result(e thriftwire.Encoding, name string, kind thriftwire.MessageType, seq int32, fields func(*thriftwire.Writer)) []byte {
	w := thriftwire.Writer{Encoding: e}
	w.Head(kind, []byte(name), thriftwire.AppendSeq(nil, e, seq))
	fields(&w)
	w.Stop()
	return w.Buf
}

// A call counts as served, or as never executed, only if the reply says so explicitly. Otherwise it may have been executed.
func TestReplies(t *testing.T) {
	m := parse(t)
	open := func(id int16, more ...func(*thriftwire.Writer)) func(*thriftwire.Writer) {
		return func(w *thriftwire.Writer) {
			w.Struct(id)
			for _, f := range more {
				f(w)
			}
			w.Stop()
		}
	}
	flag := func(x int64) func(*thriftwire.Writer) {
		return open(9, func(w *thriftwire.Writer) { w.Int(1, thriftwire.Byte, x) })
	}
	nothing := func(*thriftwire.Writer) {}
	cut := func(m []byte) []byte { return m[:len(m)-1] }
	for _, e := range encodings {
		resetCall := thriftwire.Writer{Encoding: e}
		resetCall.Head(thriftwire.Call, []byte("Reset"), thriftwire.AppendSeq(nil, e, 1))
		resetCall.Stop()
		calls := map[string]*Call{"Submit": read(t, m, submit(e)), "Reset": read(t, m, resetCall.Buf), "Shaped": read(t, m, submit(e))}
		calls["Shaped"].UnknownShapeType = 1
		for name, c := range map[string]struct {
			method  string
			reply   []byte
			want    choice.Result
			invalid bool
		}{
			"success":                  {"Submit", result(e, "Submit", thriftwire.Reply, 5, open(0)), choice.OK, false},
			"answering exception":      {"Submit", result(e, "Submit", thriftwire.Reply, 5, open(4)), choice.OK, false},
			"refusal":                  {"Submit", result(e, "Submit", thriftwire.Reply, 5, open(3)), choice.Failed, false},
			"refusal, not executed":    {"Submit", result(e, "Submit", thriftwire.Reply, 5, open(3, flag(1))), choice.Rejected, false},
			"refusal, executed":        {"Submit", result(e, "Submit", thriftwire.Reply, 5, open(3, flag(0))), choice.Failed, false},
			"unknown exception":        {"Submit", result(e, "Submit", thriftwire.Reply, 5, open(6)), choice.Failed, false},
			"empty struct":             {"Submit", result(e, "Submit", thriftwire.Reply, 5, nothing), choice.Failed, false},
			"application exception":    {"Submit", result(e, "Submit", thriftwire.Exception, 5, nothing), choice.Failed, false},
			"shape not known":          {"Shaped", result(e, "Submit", thriftwire.Exception, 5, func(w *thriftwire.Writer) { w.Int(2, thriftwire.I32, 1) }), choice.Rejected, false},
			"another exception":        {"Shaped", result(e, "Submit", thriftwire.Exception, 5, func(w *thriftwire.Writer) { w.Int(2, thriftwire.I32, 6) }), choice.Failed, false},
			"type of another width":    {"Shaped", result(e, "Submit", thriftwire.Exception, 5, func(w *thriftwire.Writer) { w.Int(2, thriftwire.I16, 1) }), choice.Failed, false},
			"call without a shape":     {"Submit", result(e, "Submit", thriftwire.Exception, 5, func(w *thriftwire.Writer) { w.Int(2, thriftwire.I32, 1) }), choice.Failed, false},
			"void":                     {"Reset", result(e, "Reset", thriftwire.Reply, 5, nothing), choice.OK, false},
			"void's unknown exception": {"Reset", result(e, "Reset", thriftwire.Reply, 5, open(2)), choice.Failed, false},
			"other sequence id":        {"Submit", result(e, "Submit", thriftwire.Reply, 6, open(0)), 0, true},
			"other method":             {"Submit", result(e, "Reset", thriftwire.Reply, 5, open(0)), 0, true},
			"a call":                   {"Submit", result(e, "Submit", thriftwire.Call, 5, open(0)), 0, true},
			"other encoding":           {"Submit", result(3-e, "Submit", thriftwire.Reply, 5, open(0)), 0, true},
			"cut":                      {"Submit", cut(result(e, "Submit", thriftwire.Reply, 5, open(0))), 0, true},
			"success and refusal": {"Submit", result(e, "Submit", thriftwire.Reply, 5, func(w *thriftwire.Writer) {
				open(0)(w)
				open(3, flag(1))(w)
			}), choice.Failed, false},
		} {
			h, err := thriftwire.ReadHead(c.reply)
			if err != nil {
				t.Fatal(err)
			}
			out, err := calls[c.method].ReadReply(h, c.reply, 5)
			if (err != nil) != c.invalid || err == nil && (out.Result != c.want || out.ShapeUnknown != (name == "shape not known")) {
				t.Errorf("%v, %s: %+v, %v", e, name, out, err)
			}
		}
	}
}

func TestLoadReports(t *testing.T) {
	m := parse(t)
	for x, want := range map[float64]float64{12.5: 12.5, -3: -1, 2e6: -1} {
		reply := result(thriftwire.Compact, "Submit", thriftwire.Reply, 5, func(w *thriftwire.Writer) {
			w.Struct(0)
			w.Double(2, x)
			w.Stop()
		})
		h, _ := thriftwire.ReadHead(reply)
		out, err := read(t, m, submit(thriftwire.Compact)).ReadReply(h, reply, 5)
		if err != nil || out.Report.Rate != want || out.Report.Util != -1 {
			t.Errorf("%v: %+v, %v", x, out, err)
		}
	}
}

// Retry times sent to a client are rounded up, so that none is earlier than the module requires.
func TestRefusalRoundsRetryTimeUp(t *testing.T) {
	m := parse(t)
	for _, e := range encodings {
		frame := read(t, m, submit(e)).AppendRefusal(nil, 1200*time.Millisecond)
		h, err := thriftwire.ReadHead(frame[4:])
		if err != nil {
			t.Fatal(err)
		}
		plan, _ := thriftwire.NewPlan(8, "3.7", "3")
		var found [2]thriftwire.Field
		if err := plan.Scan(h, frame[4:], found[:]); err != nil || found[0].Int() != 2 || h.Seq != 77 || h.Type != thriftwire.Reply {
			t.Errorf("%v: %+v, %v", e, found, err)
		}
		// A method that declares no exception is answered with an application exception.
		frame = read(t, m, submit(e)).AppendFailure(nil, "failed")
		if h, err := thriftwire.ReadHead(frame[4:]); err != nil || h.Type != thriftwire.Exception || h.Seq != 77 {
			t.Errorf("%v: %+v, %v", e, h, err)
		}
	}
}

func TestInvalidFieldsAreRefused(t *testing.T) {
	m := parse(t)
	for name, write := range map[string]func(*thriftwire.Writer){
		"no key":           func(w *thriftwire.Writer) {},
		"key is a struct":  func(w *thriftwire.Writer) { w.Struct(2); w.Stop() },
		"time is a string": func(w *thriftwire.Writer) { w.String(4, "soon") },
		"time is 0":        func(w *thriftwire.Writer) { w.Int(4, thriftwire.I32, 0) },
		"repeat is text":   func(w *thriftwire.Writer) { w.String(5, "yes") },
	} {
		w := thriftwire.Writer{}
		w.Encoding = thriftwire.Binary
		w.Head(thriftwire.Call, []byte("Submit"), []byte{0, 0, 0, 1})
		if name != "no key" {
			w.Struct(3)
			w.Struct(1)
			w.String(1, "once")
			w.Stop()
			w.Stop()
		}
		write(&w)
		w.Stop()
		h, err := thriftwire.ReadHead(w.Buf)
		if err != nil {
			t.Fatal(err)
		}
		var refused *Refusal
		if _, err := m.Read(h, w.Buf); !errors.As(err, &refused) || refused.Kind != thriftwire.ProtocolError {
			t.Errorf("%s: %v", name, err)
		}
	}
}
