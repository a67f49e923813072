package agent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/apache/thrift/lib/go/thrift"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/formapi"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/thrift/thriftwire"
)

var encodings = []thriftwire.Encoding{thriftwire.Binary, thriftwire.Compact}

// variantOf returns the protocol variant of an encoding, without multiplexing.
func variantOf(e thriftwire.Encoding) protocolVariant { return protocolVariants[e] }

// message encodes a message field by field.
func message(e thriftwire.Encoding, kind thriftwire.MessageType, method string, rawSeq []byte, id string, more ...func(*thriftwire.Writer)) []byte {
	w := thriftwire.Writer{Encoding: e}
	w.Head(kind, []byte(method), rawSeq)
	w.Struct(1)
	w.String(1, id)
	w.String(2, "oban")
	w.String(4, "once-"+id)
	w.Int(5, thriftwire.I64, 5000)
	w.Stop()
	if method == "note" {
		w.String(2, "a note")
	} else {
		w.Int(2, thriftwire.I64, 1250)
	}
	for _, m := range more {
		m(&w)
	}
	w.Stop()
	return w.Buf
}

func frame(m []byte) []byte { return thriftwire.AppendFrame(nil, m) }

func call(e thriftwire.Encoding, seq int32, id string) []byte {
	return frame(message(e, thriftwire.Call, "payOut", thriftwire.AppendSeq(nil, e, seq), id))
}

// dial connects to the Thrift front.
func (w *testbed) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", w.thrift)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.WaitTimeout))
	return c
}

// readReply reads one frame and its head.
func readReply(t *testing.T, c net.Conn) ([]byte, thriftwire.Head) {
	t.Helper()
	m, err := thriftwire.ReadFrame(c, 1<<20)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	h, err := thriftwire.ReadHead(m)
	if err != nil {
		t.Fatal(err)
	}
	return m, h
}

// A frame that is truncated at any byte is not a call, and does not affect other clients.
func TestTruncatedFrameIsNotACall(t *testing.T) {
	for _, e := range encodings {
		w := newTestbed(t, variantOf(e), standin.Platform{}, nil, standin.Options{ID: "a"})
		whole := call(e, 7, "cut")
		for n := range whole {
			c := w.dial(t)
			c.Write(whole[:n])
			c.(*net.TCPConn).CloseWrite()
			if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 {
				t.Fatalf("%v: %d of %d bytes were answered % x, %v", e, n, len(whole), rest, err)
			}
			c.Close()
		}
		if got := w.client.Do(newCall(standin.Pay, "whole")); got.Kind != standin.Served || w.deliveries("cut") != 0 {
			t.Errorf("%v: the complete call was %s, the truncated one was delivered %d times", e, got.Kind, w.deliveries("cut"))
		}
		w.waitIdle(t)
	}
}

// Malformed and malicious frames get an exception or a close. Other connections are not affected, and earlier calls on the same
// connection are answered.
func TestMalformedFrames(t *testing.T) {
	for _, e := range encodings {
		hold := make(chan struct{}) // one per encoding: calls left over from the previous testbed must not see another one
		seq := thriftwire.AppendSeq(nil, e, 9)
		other := thriftwire.Binary + thriftwire.Compact - e
		bad := func(more string) []byte { // a call whose last byte is replaced by more
			m := message(e, thriftwire.Call, "payOut", seq, "bad")
			return frame(append(m[:len(m)-1], more...))
		}
		id := func(id, tenant string) []byte {
			w := thriftwire.Writer{Encoding: e}
			w.Head(thriftwire.Call, []byte("payOut"), seq)
			w.Struct(1)
			if id != "-" {
				w.String(1, id)
			}
			w.String(2, tenant)
			w.Stop()
			w.Stop()
			return frame(w.Buf)
		}
		binaryOnly := map[string][]byte{
			"list of 2^31 - 1 elements":  bad("\x0f\x00\x07\x03\x7f\xff\xff\xff\x00"),
			"list of -2^31 elements":     bad("\x0f\x00\x07\x03\x80\x00\x00\x00\x00"),
			"bad type id":                bad("\x01\x00\x07\x00"),
			"structs 40 deep":            bad(strings.Repeat("\x0c\x00\x07", 40) + strings.Repeat("\x00", 41)),
			"string longer than a frame": bad("\x0b\x00\x07\x7f\xff\xff\xff\x00"),
		}
		compactOnly := map[string][]byte{
			"list of 2^31 - 1 elements": bad("\x59\xf3\xff\xff\xff\xff\x07\x00"),
			"map of 2^31 - 1 elements":  bad("\x5b\xff\xff\xff\xff\x07\x33\x00"),
			"varint without end":        bad("\x56" + strings.Repeat("\xff", 20)),
			"bad type id":               bad("\x5e\x00"),
			"structs 40 deep":           bad(strings.Repeat("\x5c", 40) + strings.Repeat("\x00", 41)),
		}
		excepted := map[string][]byte{ // answered with an exception, after which the connection can be used
			"no id":                id("-", "oban"),
			"id that is not UTF-8": id("\xff\xfe", "oban"),
			"empty id":             id("", "oban"),
			"long id":              id(strings.Repeat("x", 129), "oban"),
			"unknown tenant":       id("bad", "nobody"),
			"unknown method":       frame(message(e, thriftwire.Call, "dance", seq, "bad")),
			"a reply":              frame(message(e, thriftwire.Reply, "payOut", seq, "bad")),
			"trailing bytes":       bad("\x00\x00"),
			"negative time left":   expiredCall(e, seq, -5),
		}
		for name, f := range map[thriftwire.Encoding]map[string][]byte{thriftwire.Binary: binaryOnly,
			thriftwire.Compact: compactOnly}[e] {
			excepted[name] = f
		}
		closed := map[string][]byte{ // not answered; the connection is closed, except after the oneway
			"length 0":               {0, 0, 0, 0},
			"negative length":        {0xff, 0xff, 0xff, 0xfe, 1, 2},
			"length over the bound":  {0, 1, 0, 1, 0x80},
			"2 GiB":                  {0x7f, 0xff, 0xff, 0xff, 0x80, 1},
			"HTTP":                   []byte("GET / HTTP/1.1\r\n\r\n"),
			"noise":                  frame([]byte("noise in a frame")),
			"name not UTF-8":         frame(message(e, thriftwire.Call, "\xff", seq, "bad")),
			"of the other encoding":  call(other, 9, "bad"),
			"oneway, unknown method": frame(message(e, thriftwire.Oneway, "dance", seq, "bad")),
		}
		w := newTestbed(t, variantOf(e), standin.Platform{}, nil, standin.Options{ID: "a", Script: func(c standin.Call) standin.Step {
			if strings.HasPrefix(c.ID, "before") {
				return standin.Step{Until: hold}
			}
			return standin.Step{}
		}})
		good := w.dial(t)
		check := func(name string) {
			t.Helper()
			good.Write(call(e, 3, "good "+name))
			if m, h := readReply(t, good); h.Type != thriftwire.Reply || !bytes.Contains(m, []byte("receipt of good "+name)) {
				t.Errorf("%v: after %s the other connection received % x", e, name, m)
			}
		}
		check("nothing")
		for name, f := range excepted {
			c := w.dial(t)
			c.Write(f)
			m, h := readReply(t, c)
			if h.Type != thriftwire.Exception || h.Seq != 9 {
				t.Errorf("%v, %s: answered type %d, sequence id %d", e, name, h.Type, h.Seq)
			}
			if name == "unknown method" && !bytes.Contains(m, []byte("unknown method")) {
				t.Errorf("%s: % x", name, m)
			}
			c.Write(call(e, 4, "after "+name))
			if _, h := readReply(t, c); h.Type != thriftwire.Reply || h.Seq != 4 {
				t.Errorf("%v, %s: the next call got type %d", e, name, h.Type)
			}
			check(name)
		}
		var waiting sync.WaitGroup
		for name, f := range closed {
			c := w.dial(t)
			c.Write(call(e, 5, "before "+name))
			c.Write(f)
			waiting.Go(func() { // the earlier call is answered, then the connection is closed
				m, err := thriftwire.ReadFrame(c, 1<<20)
				if err != nil || !bytes.Contains(m, []byte("receipt of before")) {
					t.Errorf("%v, %s: the earlier call got % x, %v", e, name, m, err)
				}
				if name == "oneway, unknown method" {
					return // a oneway has no reply, so the error can't be reported
				}
				if rest, err := io.ReadAll(c); errors.Is(err, os.ErrDeadlineExceeded) || len(rest) > 0 {
					t.Errorf("%v, %s: then % x, %v", e, name, rest, err)
				}
			})
		}
		testkit.Eventually(t, "the earlier calls are in flight", func() bool { _, open := w.heldAndOpen(); return open == len(closed) })
		check("closes")
		close(hold)
		waiting.Wait()
		if n := w.deliveries("bad"); n != 0 {
			t.Errorf("%v: %d bad calls were forwarded", e, n)
		}
		w.waitIdle(t)
	}
}

// expiredCall encodes a call with left milliseconds until its deadline, which may be negative.
func expiredCall(e thriftwire.Encoding, seq []byte, left int64) []byte {
	w := thriftwire.Writer{Encoding: e}
	w.Head(thriftwire.Call, []byte("payOut"), seq)
	w.Struct(1)
	w.String(1, "bad")
	w.String(2, "oban")
	w.Int(5, thriftwire.I64, left)
	w.Stop()
	w.Stop()
	return frame(w.Buf)
}

// Several calls may be in flight on a connection. They are answered in order, or in any order if the client allows it; calls with
// the same sequence id keep their order in either case. The sequence id is returned byte for byte.
func TestMultipleCallsInFlightOnAConnection(t *testing.T) {
	for _, e := range encodings {
		for _, any := range []bool{false, true} {
			release := map[string]chan struct{}{}
			for _, id := range []string{"a", "b", "c", "d"} {
				release[id] = make(chan struct{})
			}
			edit := func(text string) string {
				if any {
					return strings.Replace(text, `replies = "in-order"`, `replies = "any-order"`, 1)
				}
				return text
			}
			w := newTestbed(t, variantOf(e), standin.Platform{}, edit, standin.Options{ID: "s",
				Script: func(c standin.Call) standin.Step { return standin.Step{Until: release[c.ID]} }})
			c := w.dial(t)
			long := thriftwire.AppendSeq(nil, e, 6)
			if e == thriftwire.Compact {
				long = []byte{0x86, 0x80, 0x00} // 6 in three bytes
			}
			var all []byte
			for _, id := range []string{"a", "b", "c"} { // b and c with the same sequence id
				seq := map[string][]byte{"a": thriftwire.AppendSeq(nil, e, 5), "b": long, "c": long}[id]
				all = append(all, frame(message(e, thriftwire.Call, "payOut", seq, id))...)
			}
			all = append(all, call(e, -8, "d")...)
			c.Write(all)
			testkit.Eventually(t, "all calls are in flight", func() bool { _, open := w.heldAndOpen(); return open == 4 })
			order := []string{"a", "b", "c", "d"}
			if any {
				order = []string{"d", "b", "c", "a"}
			}
			for _, id := range []string{"d", "c", "b", "a"} {
				close(release[id])
				testkit.Eventually(t, id+" is answered", func() bool { return w.core.Snapshot().Stats.Served > strings.Index("dcba", id) })
			}
			for _, id := range order {
				m, h := readReply(t, c)
				if !bytes.Contains(m, []byte("receipt of "+id)) {
					t.Fatalf("%v, any order %t: expected the answer to %s, received % x", e, any, id, m)
				}
				if (id == "b" || id == "c") && !bytes.Equal(h.RawSeq(m), long) {
					t.Errorf("%v: sequence id % x was returned as % x", e, long, h.RawSeq(m))
				}
				if id == "d" && h.Seq != -8 {
					t.Errorf("%v: sequence id %d", e, h.Seq)
				}
			}
			w.waitIdle(t)
		}
	}
}

// Calls beyond the limit of calls in flight on a connection are refused immediately, with the declared exception.
func TestTooManyCallsOnAConnection(t *testing.T) {
	release := make(chan struct{})
	w := newTestbed(t, protocolVariants[1], standin.Platform{}, func(text string) string {
		text = strings.Replace(text, `replies = "in-order"`, `replies = "any-order"`, 1)
		return strings.Replace(text, "max_calls_per_connection = 64", "max_calls_per_connection = 2", 1)
	}, standin.Options{ID: "s", Script: func(standin.Call) standin.Step { return standin.Step{Until: release} }})
	c := w.dial(t)
	for i := range int32(3) {
		c.Write(call(thriftwire.Binary, i, fmt.Sprint("id", i)))
	}
	m, h := readReply(t, c)
	if h.Seq != 2 || h.Type != thriftwire.Reply || m[h.Struct] != byte(thriftwire.Struct) || m[h.Struct+2] != 1 {
		t.Errorf("the third was answered % x", m)
	}
	close(release)
	for range 2 {
		if m, _ := readReply(t, c); !bytes.Contains(m, []byte("receipt of id")) {
			t.Errorf("answered % x", m)
		}
	}
	if n := w.deliveries("id2"); n != 0 {
		t.Errorf("the refused call was delivered %d times", n)
	}
}

// All calls of a client that disconnects are canceled; a oneway is delivered even if its client disconnects.
func TestThriftClientDisconnectCancelsItsCalls(t *testing.T) {
	release := make(chan struct{})
	w := newTestbed(t, protocolVariants[2], standin.Platform{MaxAttempts: 1}, nil, standin.Options{ID: "s",
		Script: func(c standin.Call) standin.Step {
			if c.Method == standin.Note {
				return standin.Step{}
			}
			return standin.Step{Until: release}
		}})
	c := w.dial(t)
	for i := range int32(5) {
		c.Write(call(thriftwire.Compact, i, fmt.Sprint("id", i)))
	}
	testkit.Eventually(t, "all calls are in flight", func() bool { _, open := w.heldAndOpen(); return open == 5 })
	c.Close()
	testkit.Eventually(t, "all calls have ended", func() bool { _, open := w.heldAndOpen(); return open == 0 })
	if s := w.core.Snapshot().Stats; s.Disconnected != 5 {
		t.Errorf("%d clients disconnected", s.Disconnected)
	}
	for i := range 10 {
		c := w.dial(t)
		c.Write(frame(message(thriftwire.Compact, thriftwire.Oneway, "note", []byte{0}, fmt.Sprint("note", i))))
		c.Close()
	}
	for i := range 10 {
		testkit.Eventually(t, "the note is delivered", func() bool { return w.deliveries(fmt.Sprint("note", i)) == 1 })
	}
	close(release)
	w.waitIdle(t)
}

// A client disconnects while it has the maximum of calls in flight, so that the agent does not read from it. The agent notices the
// disconnect nevertheless, and forwards no further call of it.
func TestThriftClientDisconnectIsNoticedAtTheInFlightLimit(t *testing.T) {
	for name, oneway := range map[string]bool{"calls that wait for answers": false, "a oneway that waits for its turn": true} {
		for _, reset := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", reset ", reset), func(t *testing.T) {
				t.Parallel()
				release := make(chan struct{})
				defer close(release)
				w := newTestbed(t, protocolVariants[1], standin.Platform{MaxAttempts: 1}, func(text string) string {
					return strings.Replace(text, "max_calls_per_connection = 64", "max_calls_per_connection = 2", 1)
				}, standin.Options{ID: "s", Script: func(standin.Call) standin.Step { return standin.Step{Until: release} }})
				c := w.dial(t)
				for i := range int32(2) {
					c.Write(call(thriftwire.Binary, i, fmt.Sprint("id", i)))
				}
				testkit.Eventually(t, "two calls are in flight", func() bool { _, open := w.heldAndOpen(); return open == 2 })
				if oneway {
					c.Write(frame(message(thriftwire.Binary, thriftwire.Oneway, "note", []byte{0, 0, 0, 9}, "note")))
				}
				for i := range int32(10) { // two of them are refused, with replies behind the first ones; the others are not read
					c.Write(call(thriftwire.Binary, 10+i, fmt.Sprint("more", i)))
				}
				if reset {
					c.(*net.TCPConn).SetLinger(0)
				}
				c.Close()
				closed := time.Now()
				testkit.Eventually(t, "the calls have ended", func() bool { return w.core.Snapshot().Stats.Disconnected == 2 })
				t.Logf("noticed after %v", time.Since(closed))
				for i := range 10 {
					if n := w.deliveries(fmt.Sprint("more", i)); n != 0 {
						t.Errorf("more%d was delivered %d times", i, n)
					}
				}
			})
		}
	}
}

// A oneway gets no reply, and calls after it on the same connection are answered as usual.
func TestOneway(t *testing.T) {
	for _, variant := range protocolVariants[1:] {
		w := newTestbed(t, variant, standin.Platform{}, nil, standin.Options{ID: "s"})
		for i := range 3 {
			if got := w.client.Do(newCall(standin.Note, fmt.Sprint("n", i))); got.Kind != standin.Sent {
				t.Errorf("%s: %s, %v", variant.name, got.Kind, got.Err)
			}
			if got := w.client.Do(newCall(standin.Pay, fmt.Sprint("p", i))); got.Kind != standin.Served {
				t.Errorf("%s: %s, %v", variant.name, got.Kind, got.Err)
			}
		}
		for i := range 3 {
			testkit.Eventually(t, "the note is delivered", func() bool { return w.deliveries(fmt.Sprint("n", i)) == 1 })
		}
		w.waitIdle(t)
		if s := w.core.Snapshot().Stats; s.Attempts != 6 {
			t.Errorf("%s: %d attempts", variant.name, s.Attempts)
		}
	}
}

// A client that sends calls and never reads loses its connection. It does not delay other clients, and the memory for its answers
// is bounded.
func TestThriftClientThatNeverReadsIsDisconnected(t *testing.T) {
	w := newTestbed(t, protocolVariants[1], standin.Platform{}, nil, standin.Options{ID: "s"})
	c := w.dial(t)
	c.(*net.TCPConn).SetReadBuffer(4 << 10)
	key := strings.Repeat("k", 100)
	stuck := make(chan error, 1)
	go func() { // as many calls as the agent accepts
		for i := int32(0); ; i++ {
			m := thriftwire.Writer{Encoding: thriftwire.Binary}
			m.Head(thriftwire.Call, []byte("formCheck"), thriftwire.AppendSeq(nil, thriftwire.Binary, i))
			m.Struct(1)
			m.String(1, fmt.Sprint("mute", i))
			m.String(2, "oban")
			m.String(3, key)
			m.Stop()
			m.String(2, strings.Repeat("x", 20<<10)) // returned in the answer
			m.Stop()
			if _, err := c.Write(frame(m.Buf)); err != nil {
				stuck <- err
				return
			}
		}
	}()
	for i := 0; ; i++ {
		if got := w.client.Do(newCall(standin.Check, fmt.Sprint("other", i))); got.Kind != standin.Served && got.Kind != standin.Refused {
			t.Fatalf("another client's call was %s: %v", got.Kind, got.Err)
		}
		select {
		case err := <-stuck:
			if errors.Is(err, os.ErrDeadlineExceeded) {
				t.Error("its connection was kept")
			}
			w.waitIdle(t)
			return
		default:
		}
	}
}

// An idle connection is closed after the idle timeout, and one with an incomplete frame after the frame timeout. A connection
// with a call in flight is kept until the call ends.
func TestThriftIdleAndFrameTimeouts(t *testing.T) {
	w := newTestbed(t, protocolVariants[1], standin.Platform{}, func(text string) string {
		text = strings.Replace(text, "idle_timeout_ms = 300000", "idle_timeout_ms = 100", 1)
		return strings.Replace(text, "frame_timeout_ms = 2500", "frame_timeout_ms = 100", 1)
	}, standin.Options{ID: "s", ServiceTime: 400 * time.Millisecond})
	for name, text := range map[string][]byte{"nothing": nil, "half a frame": call(thriftwire.Binary, 1, "half")[:20]} {
		c := w.dial(t)
		c.Write(text)
		if rest, err := io.ReadAll(c); err != nil || len(rest) > 0 {
			t.Errorf("%s: % x, %v", name, rest, err)
		}
	}
	c := w.dial(t)
	c.Write(call(thriftwire.Binary, 1, "slow"))
	if m, _ := readReply(t, c); !bytes.Contains(m, []byte("receipt of slow")) {
		t.Errorf("answered % x", m)
	}
}

// apacheService implements the service of a server that uses the Apache Thrift library.
type apacheService struct{ standin.DedupGroup }

func (s *apacheService) FormCheck(_ context.Context, h *formapi.Header, form []byte) (*formapi.FormResult_, error) {
	return &formapi.FormResult_{Text: "checked " + h.GetKey() + " " + string(form)}, nil
}

func (s *apacheService) RefundRecord(_ context.Context, h *formapi.Header, _ int64, _ string) (*formapi.Receipt, error) {
	return &formapi.Receipt{ReceiptId: "receipt of " + h.GetIdempotencyKey()}, nil
}

func (s *apacheService) PayOut(_ context.Context, h *formapi.Header, _ int64) (*formapi.Receipt, error) {
	if strings.HasPrefix(h.CorrelationId, "full") {
		yes := true
		return nil, &formapi.Refused{Unprocessed: &yes}
	}
	return nil, errors.New("the till is empty") // an application exception
}

func (s *apacheService) Note(context.Context, *formapi.Header, string) error { return nil }

// The clients and servers of the Apache Thrift library work with the agent between them, in both protocols.
func TestApacheThriftInteroperability(t *testing.T) {
	for _, variant := range protocolVariants[1:3] {
		var factory thrift.TProtocolFactory = thrift.NewTBinaryProtocolFactoryConf(nil)
		if variant.protocol == "thrift-compact" {
			factory = thrift.NewTCompactProtocolFactoryConf(nil)
		}
		socket, err := thrift.NewTServerSocket("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := socket.Listen(); err != nil {
			t.Fatal(err)
		}
		server := thrift.NewTSimpleServer4(formapi.NewFormServiceProcessor(&apacheService{}), socket,
			thrift.NewTFramedTransportFactoryConf(thrift.NewTTransportFactory(), nil), factory)
		go server.Serve()
		w := newTestbed(t, variant, standin.Platform{MaxAttempts: 1}, nil)
		w.list.Update(discovery.Entry{ID: "apache", Addr: socket.Addr().String(), Zone: "z", State: "in_service",
			Protocol: variant.protocol})
		testkit.Eventually(t, "the agent knows the server", func() bool { return len(w.core.Snapshot().Servers) == 1 })
		for _, c := range []struct {
			req  standin.Request
			kind standin.AnswerKind
			text string
		}{
			{newCall(standin.Check, "1"), standin.Served, "checked form-1 "},
			{newCall(standin.Record, "2"), standin.Served, "receipt of once-2"},
			{newCall(standin.Pay, "full"), standin.Refused, ""},
			{newCall(standin.Pay, "3"), standin.Failed, "failed"},
			{newCall(standin.Note, "4"), standin.Sent, ""},
			{newCall(standin.Check, "5"), standin.Served, "checked form-5 "},
		} {
			if got := w.client.Do(c.req); got.Kind != c.kind || got.Text != c.text {
				t.Errorf("%s, %s: %s %q, %v", variant.name, c.req.ID, got.Kind, got.Text, got.Err)
			}
		}
		socket.Interrupt()
	}
}
