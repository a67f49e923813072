package httpops

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/host/core"
)

// fakeAgent is an agent with scripted state.
type fakeAgent struct {
	figures core.Figures
	ready   chan struct{}
	known   map[string]bool // IDs for which commands succeed
	err     error
}

func (s *fakeAgent) Figures() (*core.Figures, int64) { return &s.figures, 7 }
func (s *fakeAgent) Ready() <-chan struct{}          { return s.ready }
func (s *fakeAgent) Offline(_ context.Context, id string) (bool, error) {
	return s.known[id], s.err
}
func (s *fakeAgent) Online(_ context.Context, id string) (bool, error) { return s.known[id], s.err }

func startServer(t *testing.T, s *fakeAgent, maxConns int) (addr string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := New(s, []choice.Class{{Name: "pay"}, {Name: "a\"b\\c\nd"}}, maxConns, slog.New(slog.DiscardHandler))
	go srv.Serve(l)
	t.Cleanup(func() { srv.Close() })
	return l.Addr().String()
}

func newFakeAgent() *fakeAgent {
	return &fakeAgent{ready: make(chan struct{}), known: map[string]bool{"s-1": true, "a/b c": true},
		figures: core.Figures{Classes: []calltrack.ClassStats{{Served: 3, Refused: 2, Failed: 1}, {}}, Outstanding: 4, Discovered: 6, Avoided: 5}}
}

// call sends one request on a connection of its own.
func call(t *testing.T, addr, line string) (status int, body string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: ops\r\n\r\n", line)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%s: %v", line, err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || !resp.Close {
		t.Errorf("%s: %v, Connection: close %t", line, err, resp.Close)
	}
	return resp.StatusCode, string(text)
}

func TestControlRequests(t *testing.T) {
	s := newFakeAgent()
	addr := startServer(t, s, 4)
	for _, c := range []struct {
		line string
		want int
	}{
		{"GET /control/ready", 503}, {"GET /control/counters", 200}, {"POST /control/backends/s-1/offline", 200},
		{"POST /control/backends/s-1/online", 200}, {"POST /control/backends/a%2Fb%20c/offline", 200},
		{"POST /control/backends/s-2/offline", 404}, {"POST /control/backends/s-2/online", 404},
		{"POST /control/backends//offline", 404}, {"POST /control/backends/../offline", 404}, {"GET /control/backends/s-1/offline", 405}, {"POST /control/ready", 405},
		{"POST /control/backends/a%0Ab/offline", 400}, {"POST /control/backends/" + strings.Repeat("x", 300) + "/offline", 400},
		{"GET /nothing", 404}, {"GET /", 404},
	} {
		got, _ := call(t, addr, c.line)
		if got != c.want {
			t.Errorf("%s: %d, not %d", c.line, got, c.want)
		}
	}
	close(s.ready)
	if got, _ := call(t, addr, "GET /control/ready"); got != 200 {
		t.Errorf("ready: %d", got)
	}
	s.err = errors.New("stopped")
	if got, _ := call(t, addr, "POST /control/backends/s-1/offline"); got != 503 {
		t.Errorf("a command that the agent did not accept: %d", got)
	}
}

func TestCountersFormat(t *testing.T) {
	_, got := call(t, startServer(t, newFakeAgent(), 4), "GET /control/counters")
	want := `svc_succeeded{service="pay"} 3
svc_declined{service="pay"} 2
svc_aborted{service="pay"} 1
svc_succeeded{service="a\"b\\c\nd"} 0
svc_declined{service="a\"b\\c\nd"} 0
svc_aborted{service="a\"b\\c\nd"} 0
svc_forwards 7
svc_outstanding 4
svc_discovered 6
svc_ejected 5
`
	if got != want {
		t.Errorf("got\n%s", got)
	}
}

// Connections without a complete request, or without any data, must not keep other clients out.
func TestSilentClientsDoNotBlockOthers(t *testing.T) {
	addr := startServer(t, newFakeAgent(), 8)
	for i := range 100 {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "GET /control/counters HTTP/1.1\r\nHost")
		}
		if i%10 == 0 {
			if got, _ := call(t, addr, "GET /control/counters"); got != 200 {
				t.Errorf("connection %d: %d", i, got)
			}
		}
	}
}
