package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/lab/testkit"
)

// watchLocally watches a service that serves only this agent until the test ends, and returns the lists that are delivered.
func watchLocally(t *testing.T, d *Client) <-chan List {
	t.Helper()
	return watchWith(t, pacing.Settings{}, d)
}

// watchWith is watchLocally with the given settings.
func watchWith(t *testing.T, set pacing.Settings, d *Client) <-chan List {
	t.Helper()
	lists := make(chan List, 1000)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		d.KeepWatching(ctx, pacing.New(set, 1), func(l List) { lists <- l }, nil)
		close(ended)
	}()
	t.Cleanup(func() { cancel(); <-ended })
	return lists
}

// nextList waits for a list.
func nextList(t *testing.T, lists <-chan List) List {
	t.Helper()
	select {
	case l := <-lists:
		return l
	case <-time.After(testkit.WaitTimeout):
		t.Fatal("no list is delivered")
		return List{}
	}
}

// Calls that hang are not waited for: a bounded number of further calls runs in parallel, and the first one answered becomes the watch.
func TestHungCallsDoNotBlockFurtherCalls(t *testing.T) {
	var up atomic.Bool
	var open, maxOpen, made atomic.Int32
	addr, _ := startService(t, func(w http.ResponseWriter, r *http.Request) {
		made.Add(1)
		now := open.Add(1)
		defer open.Add(-1)
		for last := maxOpen.Load(); now > last && !maxOpen.CompareAndSwap(last, now); last = maxOpen.Load() {
		}
		if up.Load() {
			write(w, inService)
			if !r.URL.Query().Has("stream") {
				return
			}
		}
		<-r.Context().Done()
	})
	lists := watchLocally(t, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler)))
	testkit.Eventually(t, "the maximum number of calls hangs", func() bool { return made.Load() > 2*pacing.MaxPending })
	if n := maxOpen.Load(); n > pacing.MaxPending+1 { // the end of a call is noticed a little later
		t.Errorf("%d concurrent calls", n)
	}
	up.Store(true)
	if l := nextList(t, lists); l.Version != 8 || !l.Full {
		t.Errorf("%+v", l)
	}
	testkit.Eventually(t, "all other calls have ended", func() bool { return open.Load() == 1 })
	before := made.Load()
	time.Sleep(300 * time.Millisecond) // three intervals in which no call may be made
	if n := made.Load() - before; n != 0 {
		t.Errorf("%d calls in parallel to an established watch", n)
	}
}

// A list that took long to receive, and established the watch, does not reduce the rate of calls after that watch has ended.
func TestSlowListDoesNotSlowLaterCalls(t *testing.T) {
	var made atomic.Int32
	ended := make(chan struct{})
	addr, _ := startService(t, func(w http.ResponseWriter, r *http.Request) {
		w.(http.Flusher).Flush()
		time.Sleep(400 * time.Millisecond)
		write(w, inService)
		close(ended)
		panic(http.ErrAbortHandler)
	}, func(w http.ResponseWriter, r *http.Request) {
		made.Add(1)
		<-r.Context().Done()
	})
	lists := watchLocally(t, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler)))
	nextList(t, lists)
	<-ended
	from := made.Load()
	time.Sleep(time.Second)
	if n := made.Load() - from; n < 6 { // of ten
		t.Errorf("%d calls within a second", n)
	}
}

// A service that needs a second for each answer still delivers: the oldest call is kept when later ones are made.
func TestSlowServiceDeliversList(t *testing.T) {
	addr, _ := startService(t, func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
		write(w, inService)
		<-r.Context().Done()
	})
	if l := nextList(t, watchLocally(t, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler)))); l.Version != 8 {
		t.Errorf("%+v", l)
	}
}

// A service that accepts no watch, but answers requests for the full list, still delivers: each change within two intervals.
func TestServiceThatAcceptsNoWatch(t *testing.T) {
	for name, refuse := range map[string]func(http.ResponseWriter, *http.Request){"503": busy, "reset": reset, "silent": silent, "a head alone": headersOnly} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var drained atomic.Bool
			addr, _ := startService(t, func(w http.ResponseWriter, r *http.Request) {
				switch {
				case r.URL.Query().Has("stream"):
					refuse(w, r)
				case drained.Load():
					write(w, draining)
				default:
					write(w, inService)
				}
			})
			lists := watchLocally(t, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler)))
			nextList(t, lists)
			drained.Store(true)
			begin := time.Now()
			for nextList(t, lists).Servers[0].State != terminating {
			}
			limit := 500 * time.Millisecond
			if name == "a head alone" { // looks like a watch until it is abandoned for its silence
				limit += pacing.WatchSilenceTimeout
			}
			if took := time.Since(begin); took > limit {
				t.Errorf("received after %v, over %v", took, limit)
			}
		})
	}
}

// A watch on which only part of a list was received is not established: the list may never be complete.
func TestPartialListDoesNotEstablishWatch(t *testing.T) {
	large := `{"version":8,"servers":[{"id":"` + strings.Repeat("a", 2*progressBytes)
	addr, _ := startService(t, func(w http.ResponseWriter, r *http.Request) {
		write(w, large)
		<-r.Context().Done()
	}, func(w http.ResponseWriter, r *http.Request) {
		write(w, inService)
		if r.URL.Query().Has("stream") {
			<-r.Context().Done()
		}
	})
	begin := time.Now()
	nextList(t, watchLocally(t, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))))
	if took := time.Since(begin); took > time.Second {
		t.Errorf("received after %v", took)
	}
}

// A call that hung brings an older list after another call has delivered a newer one. The older list is rejected, and does not suggest that
// discovery has restarted its versions, however often it happens.
func TestLateOlderListsAreRejected(t *testing.T) {
	d := New("127.0.0.1:1", List{Version: 7}, slog.New(slog.DiscardHandler))
	var delivered []int64
	events := Events{Deliver: func(l List) { delivered = append(delivered, l.Version) }}
	late := &call{started: 1, events: events}
	list := func(version int64, id string) List {
		return List{Version: version, Full: true, Servers: []Entry{{ID: id, Addr: "127.0.0.1:1", State: "in_service"}}}
	}
	fresh := &call{started: 2, events: events}
	if err := d.accept(t.Context(), fresh, list(9, "b")); err != nil {
		t.Fatal(err)
	}
	for range 10 {
		if err := d.accept(t.Context(), late, list(8, "a")); err != errStale {
			t.Fatalf("a late answer: %v", err)
		}
	}
	if err := d.accept(t.Context(), late, list(9, "b")); err != nil {
		t.Errorf("the same list again: %v", err)
	}
	if fmt.Sprint(delivered) != "[9 9]" {
		t.Errorf("delivered %v", delivered)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if err := d.accept(ended, fresh, list(10, "c")); err == nil || len(delivered) != 2 {
		t.Errorf("a list of a call that has ended: %v, delivered %v", err, delivered)
	}
}

// The full list is requested, but the answer states that it is a change, or has a change after the full list: the statement in the list takes
// precedence over the request. Drains in the change take effect at once, and no server counts as removed.
func TestChangeInAnswerToFullListRequest(t *testing.T) {
	const (
		whole  = `{"version":8,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"},{"id":"b","addr":"127.0.0.1:2","state":"in_service"}]}` + "\n"
		change = `{"version":9,"full":false,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"terminating"}]}` + "\n"
	)
	answers := func(text string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			write(w, text)
			if r.URL.Query().Has("stream") {
				<-r.Context().Done()
			}
		}
	}
	t.Run("a change after the full list", func(t *testing.T) {
		addr, _ := startService(t, answers(whole+change), answers("\n"))
		lists := watchLocally(t, New(addr, List{Version: UnknownVersion}, slog.New(slog.DiscardHandler)))
		for i, want := range []List{{Version: 8, Full: true}, {Version: 9}} {
			if l := nextList(t, lists); l.Version != want.Version || l.Full != want.Full {
				t.Errorf("list %d: %+v", i, l)
			}
		}
	})
	t.Run("a change alone", func(t *testing.T) {
		addr, requests := startService(t, answers(change), answers(whole), answers("\n"))
		lists := watchWith(t, sequentialCalls, New(addr, List{Version: UnknownVersion}, slog.New(slog.DiscardHandler)))
		if l := nextList(t, lists); l.Full || len(l.Servers) != 1 || l.Servers[0].State != terminating {
			t.Errorf("only the drains of a change without a full list take effect: %+v", l)
		}
		if l := nextList(t, lists); l.Version != 8 || !l.Full {
			t.Errorf("the full list is requested again: %+v", l)
		}
		expect(t, requests, "/v1/endpoints", "/v1/endpoints", "/v1/endpoints?stream=1&index=8")
	})
	t.Run("full not stated", func(t *testing.T) {
		addr, _ := startService(t, answers(`{"version":8,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"}]}`), answers("\n"))
		lists := watchLocally(t, New(addr, List{Version: UnknownVersion}, slog.New(slog.DiscardHandler)))
		if l := nextList(t, lists); !l.Full {
			t.Errorf("an answer to a request for the full list that does not say whether it is full: %+v", l)
		}
	})
}

// A drain or removal takes effect even if the rest of the entry is invalid.
func TestDrainInInvalidEntryTakesEffect(t *testing.T) {
	for _, e := range []Entry{{Addr: "x"}, {}, {Addr: "127.0.0.1:1", Protocol: "odd"}, {Addr: "127.0.0.1:1", Shapes: make([]string, maxShapes+1)}} {
		for text, state := range map[string]choice.State{"terminating": choice.Draining, "terminated": choice.Removed} {
			e.ID, e.State = "s", text
			if s, err := e.Server(nil); err != nil || s.ID != "s" || s.State != state {
				t.Errorf("%+v: %+v, %v", e, s, err)
			}
		}
		e.State = "in_service"
		if _, err := e.Server(nil); err == nil {
			t.Errorf("no error for %+v", e)
		}
	}
}

// Lists of parallel calls are delivered one at a time, and none after KeepWatching has returned.
func TestNoDeliveryAfterKeepWatchingReturns(t *testing.T) {
	addr, _ := startService(t, func(w http.ResponseWriter, r *http.Request) {
		for i := 8; r.Context().Err() == nil; i++ {
			write(w, fmt.Sprintf(`{"version":%d,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"}]}`+"\n", i))
		}
	})
	for range 20 {
		var mu sync.Mutex
		over := false
		ctx, cancel := context.WithCancel(t.Context())
		d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
		n := 0
		d.KeepWatching(ctx, pacing.New(pacing.Settings{}, 1), func(List) {
			if !mu.TryLock() {
				t.Error("two lists are delivered at the same time")
				return
			}
			defer mu.Unlock()
			if over {
				t.Error("a list is delivered after the end")
			}
			if n++; n == 3 {
				cancel()
			}
		}, nil)
		over = true
		cancel()
	}
}
