package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/lab/testkit"
	"ternbeam/internal/protocol"
)

// A watch that ends, and one that stays open and is silent, are both begun again from the last version.
func TestWatchIsBegunAgain(t *testing.T) {
	calls := make(chan string, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.URL.String()
		flush := w.(http.Flusher).Flush
		switch r.URL.Query().Get("index") {
		case "7": // a list and a change in one breath, empty lines between, then the end
			fmt.Fprint(w, `{"version":8,"full":true,"servers":[{"id":"a"}]}`+"\n\n"+`{"version":9,"servers":[{"id":"b"}]}`+"\n")
		case "9": // says something, then falls silent
			fmt.Fprint(w, `{"version":10,"servers":[{"id":"c"}]}`+"\n")
			flush()
			<-r.Context().Done()
		default:
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(s.Listener.Addr().String(), 7, slog.New(slog.DiscardHandler))
	d.silence = 300 * time.Millisecond
	var got []string
	delivered := make(chan struct{}, 8)
	go d.KeepWatching(ctx, func(l List) {
		got = append(got, fmt.Sprintln(l.Version, l.Full, l.Servers[0].ID))
		delivered <- struct{}{}
	}, nil)
	for range 3 {
		wait(t, delivered)
	}
	if want := []string{"8 true a\n", "9 false b\n", "10 false c\n"}; !slices.Equal(got, want) {
		t.Errorf("delivered %q, not %q", got, want)
	}
	for _, index := range []string{"7", "9", "10", "10"} {
		select {
		case call := <-calls:
			if want := "/v1/endpoints?stream=1&index=" + index; call != want {
				t.Errorf("asked for %s, not %s", call, want)
			}
		case <-time.After(testkit.Patience):
			t.Fatalf("no call with index %s", index)
		}
	}
}

// Empty lines alone keep a watch alive.
func TestHeartbeatsKeepTheWatch(t *testing.T) {
	calls := make(chan struct{}, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- struct{}{}
		for i := range 40 {
			fmt.Fprintln(w)
			if i == 30 {
				fmt.Fprintln(w, `{"version":8,"full":true,"servers":[]}`)
			}
			w.(http.Flusher).Flush()
			time.Sleep(100 * time.Millisecond)
		}
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(s.Listener.Addr().String(), 7, slog.New(slog.DiscardHandler))
	d.silence = 2 * time.Second // the list comes after 3 s
	delivered := make(chan struct{}, 8)
	go d.KeepWatching(ctx, func(List) { delivered <- struct{}{} }, nil)
	wait(t, delivered)
	if len(calls) != 1 {
		t.Errorf("%d watches", len(calls))
	}
}

func wait(t *testing.T, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(testkit.Patience):
		t.Fatal("in vain")
	}
}

func TestEntries(t *testing.T) {
	good := Entry{ID: "s", Addr: "127.0.0.1:8000", Zone: "b", Cell: 3, State: "in_service", Weight: 1.5, StartedMS: 2000}
	got, err := good.Server([]string{"a", "b"})
	want := choice.Server{ID: "s", State: choice.Ready, Zone: 1, Cell: 3, Weight: 1.5, Started: 2 * time.Second,
		Speaks: protocol.HTTP}
	if err != nil || got != want {
		t.Errorf("%+v, %v", got, err)
	}
	for _, spoil := range []func(*Entry){func(e *Entry) { e.State = "odd" }, func(e *Entry) { e.Addr = "x" },
		func(e *Entry) { e.Protocol = "x" }, func(e *Entry) { e.Multiplexed = true }} {
		e := good
		spoil(&e)
		if _, err := e.Server(nil); err == nil {
			t.Errorf("no error for %+v", e)
		}
	}
}
