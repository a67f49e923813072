package replay

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"slices"
	"strings"
	"testing"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// A tap must record exchanges with redacted values and forward the answers to the clients. A replay of the recording must give
// the same results with old and new servers.
func TestRecordingIsReplayed(t *testing.T) {
	all := load(t)[:12]
	for _, client := range protocols {
		t.Run(client, func(t *testing.T) {
			w := newWorld(t, standin.Platform{}, standin.Options{ID: "old", Protocol: client, Shapes: []string{"1"}})
			redactor, err := NewRedactor([]string{"last", "6", "Idempotency-Key", "1.4"})
			if err != nil {
				t.Fatal(err)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			protocol, _, _ := strings.Cut(client, "-")
			tap := &Tap{To: w.HTTP, Redactor: redactor, Log: slog.New(slog.DiscardHandler)}
			if protocol == "thrift" {
				tap.To = w.Thrift
			}
			ctx, end := context.WithCancel(context.Background())
			defer end()
			var out bytes.Buffer
			done := make(chan error, 1)
			go func() { done <- tap.Run(ctx, protocol, l, &out) }()
			p := newPlayer(l.Addr().String(), l.Addr().String(), testkit.WaitTimeout)
			for i, o := range all {
				e := o.exchange(string(rune('a'+i)), client)
				m, err := p.send(e.Protocol, e.Request)
				if err != nil || unserved(m) {
					t.Fatalf("received %v, %v", m, err)
				}
			}
			testkit.Eventually(t, "all exchanges are recorded", func() bool { return tap.Recorded() == int64(len(all)) })
			p.close()
			end()
			if err := <-done; err != nil || tap.Dropped() > 0 {
				t.Fatalf("%v, %d exchanges dropped", err, tap.Dropped())
			}
			recorded, err := ReadRecording(bytes.NewReader(out.Bytes()))
			if err != nil || len(recorded) != len(all) {
				t.Fatalf("%d exchanges, %v", len(recorded), err)
			}
			for i, e := range recorded {
				id, key, err := e.envelope()
				if err != nil || id != string(rune('a'+i)) || key == string(all[i].Key) || len(key) != len(all[i].Key) {
					t.Errorf("recorded %q, %q, %v", id, key, err)
				}
				if last := all[i].Last; bytes.Contains(slices.Concat(e.Request.Body, e.Request.Thrift), []byte(last)) {
					t.Errorf("%q was not redacted in %+v", last, e.Request)
				}
			}
			r := Compare(newWorld(t, standin.Platform{}, standin.Options{ID: "old", Protocol: client, Shapes: []string{"1"}, NoLoad: true}),
				newWorld(t, standin.Platform{}, standin.Options{ID: "new", Protocol: "http", Shapes: []string{"2"}}), recorded, testkit.WaitTimeout)
			if r.Same != len(all) {
				t.Errorf("%+v", r)
			}
		})
	}
}

// Values must be redacted by name in every kind of place, at any depth, and nothing else. What cannot be parsed is an error.
func TestRedaction(t *testing.T) {
	r, err := NewRedactor([]string{"secret", "path"})
	if err != nil {
		t.Fatal(err)
	}
	form := [2]string{"Content-Type", "application/x-www-form-urlencoded"}
	for name, c := range map[string]struct {
		m    Message
		kept []string
	}{
		"header": {Message{Headers: [][2]string{{"SECRET", "hush"}, {"Other", "seen"}}}, []string{"seen"}},
		"path":   {Message{Target: "/a/hush?x=seen"}, []string{"/a/", "x=seen"}},
		"query":  {Message{Target: "/a/b?x=seen&s%65cret=%68ush"}, []string{"x=seen"}},
		"form":   {Message{Headers: [][2]string{form}, Body: []byte("secret=hush&x=seen")}, []string{"x=seen"}},
		"json":   {Message{Body: []byte(`{"a":[{"secret":"hush","x":"seen"}],"y":"secret"}`)}, []string{`"x":"seen"`, `"y":"secret"`}},
		"nested": {Message{Body: []byte(`{"secret":{"x":["hush"]},"z":1}`)}, []string{`{"secret":null,"z":1}`}},
		"escape": {Message{Body: []byte(`{"s\u0065cret":"hush"}`)}, nil},
	} {
		m := c.m
		if err := r.redactMessage(&m); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		text := m.Target + string(m.Body)
		for _, h := range m.Headers {
			text += h[1]
		}
		if strings.Contains(text, "hush") || strings.Contains(text, "%68ush") {
			t.Errorf("%s: %q", name, text)
		}
		for _, kept := range c.kept {
			if !strings.Contains(text, kept) {
				t.Errorf("%s: %q lacks %q", name, text, kept)
			}
		}
	}
	for name, m := range map[string]Message{"broken JSON": {Body: []byte(`{"secret":"hush"`)}, "unknown body": {Body: []byte("secret hush")},
		"broken form": {Headers: [][2]string{form}, Body: []byte("%zz=hush")}, "no Thrift": {Thrift: []byte("hush")}} {
		if err := r.redactMessage(&m); err == nil {
			t.Errorf("%s: %+v", name, m)
		}
	}
	if a, b := r.replacement("hush"), r.replacement("hush"); a != b || a == r.replacement("husk") {
		t.Errorf("%q, %q", a, b)
	}
}

// Errors in a recording must name the line.
func TestRecordingErrorsNameTheLine(t *testing.T) {
	good := `{"protocol":"http","request":{"method":"GET","target":"/"},"answer":{}}` + "\n"
	for text, want := range map[string]string{good + "{": "line 2", good + `{"protocol":"smtp"}`: "line 2: protocol", good + `{"protocol":"thrift","request":{}}`: "line 2: request.thrift64",
		`{"protocl":"http"}`: "protocl", strings.Repeat(" ", MaxLineBytes+1): "line 1"} {
		if _, err := ReadRecording(strings.NewReader(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%.80q: %v", text, err)
		}
	}
	if all, err := ReadRecording(strings.NewReader("\n" + good)); err != nil || len(all) != 1 {
		t.Errorf("%v, %v", all, err)
	}
}

func FuzzRedact(f *testing.F) {
	f.Add([]byte(`{"a":[{"secret":"hush"}]}`), "/a/b?secret=hush")
	f.Add([]byte("secret=hush"), "/")
	r, err := NewRedactor([]string{"secret", "1.4"})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, body []byte, target string) {
		e := Exchange{Request: Message{Target: target, Body: bytes.Clone(body)}, Answer: Message{Thrift: bytes.Clone(body)}}
		if r.Exchange(&e) == nil && len(e.Answer.Thrift) != len(body) {
			t.Errorf("%x became %x", body, e.Answer.Thrift)
		}
	})
}
