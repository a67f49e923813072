package discovery

import (
	"context"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/lab/testkit"
)

// startService starts a list service that handles the nth call with the nth handler, and later calls with the last one.
func startService(t *testing.T, handlers ...func(w http.ResponseWriter, r *http.Request)) (addr string, requests chan string) {
	t.Helper()
	requests = make(chan string, 1000)
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler := handlers[min(int(n.Add(1)), len(handlers))-1]
		requests <- r.URL.String()
		handler(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), requests
}

func write(w http.ResponseWriter, text string) {
	fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

const (
	inService = `{"version":8,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"}]}` + "\n"
	draining  = `{"version":9,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"terminating"}]}` + "\n"
)

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
func reset(_ http.ResponseWriter, _ *http.Request)  { panic(http.ErrAbortHandler) }
func busy(w http.ResponseWriter, _ *http.Request)   { w.WriteHeader(http.StatusServiceUnavailable) }
func headersOnly(w http.ResponseWriter, r *http.Request) {
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// All open watches fall silent, and servers begin to drain. 6 s after the silence began, the drain counts as known to the agent; it must be received
// before that time and the minimum grace have passed, whatever happens to the first calls after the silence.
func TestDrainAfterWatchesFallSilent(t *testing.T) {
	// Only the silence timeout is shortened; all other times are real.
	const silence = 100 * time.Millisecond
	limit := 6*time.Second + 500*time.Millisecond - pacing.WatchSilenceTimeout + silence
	watch := func(w http.ResponseWriter, r *http.Request) { write(w, inService); <-r.Context().Done() }
	answers := func(w http.ResponseWriter, r *http.Request) { write(w, draining); <-r.Context().Done() }
	for name, handlers := range map[string][]func(http.ResponseWriter, *http.Request){
		"answered":                        {answers},
		"silent":                          {silent, answers},
		"a head, then silent":             {headersOnly, answers},
		"reset":                           {reset, answers},
		"503":                             {busy, busy, answers},
		"silent, a head, 503, then reset": {silent, headersOnly, busy, reset, answers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, requests := startService(t, append([]func(http.ResponseWriter, *http.Request){watch}, handlers...)...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
			d.silenceTimeout = silence
			received := make(chan time.Time, 100)
			var start time.Time
			go d.KeepWatching(ctx, pacing.New(pacing.Settings{Grace: 500 * time.Millisecond}, 1), func(l List) {
				if start.IsZero() {
					start = time.Now()
				} else if l.Servers[0].State == "terminating" {
					received <- time.Now()
				}
			}, nil)
			select {
			case at := <-received:
				if took := at.Sub(start); took > limit {
					t.Errorf("received after %v, over %v", took, limit)
				}
			case <-time.After(testkit.WaitTimeout):
				t.Fatal("the drain was never received")
			}
			<-requests
			if second := <-requests; second != "/v1/endpoints" {
				t.Errorf("after the silence it requested %s", second)
			}
		})
	}
}

// A list that has started and arrives in drips does not count as activity: it may never be complete. An indented list after empty lines is
// accepted like any other.
func TestTrickledListIsNotActivity(t *testing.T) {
	drip := func(w http.ResponseWriter, r *http.Request) {
		write(w, inService+`{"version":9,"servers":[`)
		for r.Context().Err() == nil {
			write(w, " \n")
			select {
			case <-r.Context().Done():
			case <-time.After(10 * time.Millisecond):
			}
		}
	}
	indented := func(w http.ResponseWriter, r *http.Request) {
		write(w, "\n\n")
		write(w, strings.ReplaceAll(strings.ReplaceAll(draining, ",", ",\n  "), "{", "{\n"))
		<-r.Context().Done()
	}
	addr, _ := startService(t, drip, indented)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
	d.silenceTimeout = 200 * time.Millisecond
	received := make(chan struct{})
	go d.KeepWatching(ctx, pacing.New(pacing.Settings{}, 1), func(l List) {
		if l.Servers[0].State == "terminating" {
			close(received)
		}
	}, nil)
	wait(t, received)
}

// A service that all agents share stops in the middle of a list without closing. It must be called again soon, not only after the silence
// timeout. If its lists always take longer than the stall timeout, the answer to the second call is received completely.
func TestStalledListIsRequestedAgain(t *testing.T) {
	half := inService[:len(inService)/2]
	stops := func(w http.ResponseWriter, r *http.Request) { write(w, half); <-r.Context().Done() }
	slow := func(w http.ResponseWriter, r *http.Request) {
		write(w, half)
		time.Sleep(1500 * time.Millisecond)
		write(w, inService[len(inService)/2:])
		<-r.Context().Done()
	}
	for name, c := range map[string]struct {
		handlers []func(http.ResponseWriter, *http.Request)
		most     time.Duration
	}{
		"once":        {[]func(http.ResponseWriter, *http.Request){stops, func(w http.ResponseWriter, r *http.Request) { write(w, inService); <-r.Context().Done() }}, 2 * time.Second},
		"slow always": {[]func(http.ResponseWriter, *http.Request){slow}, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := startService(t, c.handlers...)
			begin := time.Now()
			// With a single agent, its slots come at once.
			nextList(t, watchWith(t, pacing.Settings{Shared: true, Agents: 1}, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))))
			if took := time.Since(begin); took > c.most {
				t.Errorf("received after %v", took)
			}
		})
	}
}

// A watch that is reset between two lists, in the middle of one, or right after its start is restarted from the last complete list.
func TestWatchResetAtEveryByte(t *testing.T) {
	next := `{"version":9,"servers":[{"id":"b","addr":"127.0.0.1:1","state":"terminating"}]}` + "\n"
	for cut := range len(next) + 1 {
		t.Run(fmt.Sprint("cut at ", cut), func(t *testing.T) {
			t.Parallel()
			addr, requests := startService(t, func(w http.ResponseWriter, r *http.Request) {
				write(w, inService+next[:cut])
				panic(http.ErrAbortHandler)
			}, func(w http.ResponseWriter, r *http.Request) {
				write(w, next)
				<-r.Context().Done()
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
			received := make(chan struct{}, 10)
			go d.KeepWatching(ctx, pacing.New(sequentialCalls, 1), func(l List) {
				if l.Version == 9 && l.Servers[0].State == "terminating" {
					received <- struct{}{}
				}
			}, nil)
			wait(t, received)
			<-requests
			want := "/v1/endpoints?stream=1&index=8"
			if cut >= len(next)-1 { // the list was complete
				want = "/v1/endpoints?stream=1&index=9"
			}
			if again := <-requests; again != want {
				t.Errorf("requested %s", again)
			}
		})
	}
}

// Discovery restarts its versions, and only the resulting list announces a drain: the drain takes effect at once, although the list is
// rejected at first. The next call, for the full list, determines whether the server still drains.
func TestDrainInRejectedListTakesEffect(t *testing.T) {
	entry := func(id, state string) string {
		return fmt.Sprintf(`{"id":%q,"addr":"127.0.0.1:1","state":%q}`, id, state)
	}
	answers := func(version int, full bool, servers string) func(http.ResponseWriter, *http.Request) {
		return func(w http.ResponseWriter, r *http.Request) {
			write(w, fmt.Sprintf(`{"version":%d,"full":%t,"servers":[%s]}`+"\n", version, full, servers))
			if r.URL.Query().Has("stream") {
				<-r.Context().Done()
			}
		}
	}
	both := entry("a", "in_service") + "," + entry("b", "in_service")
	addr, requests := startService(t, answers(8, true, both), answers(2, true, entry("a", "terminating")+","+entry("b", "in_service")),
		answers(8, true, both), answers(9, false, entry("b", "terminating")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(addr, List{Version: UnknownVersion}, slog.New(slog.DiscardHandler))
	received := make(chan string, 100)
	go d.KeepWatching(ctx, pacing.New(sequentialCalls, 1), func(l List) {
		text := fmt.Sprint(l.Version, " ", l.Full)
		for _, e := range l.Servers {
			text += " " + e.ID + " " + e.State
		}
		received <- text
	}, nil)
	expect(t, received, "8 true a in_service b in_service", "8 false a terminating", "8 true a in_service b in_service", "9 false b terminating")
	expect(t, requests, "/v1/endpoints", "/v1/endpoints?stream=1&index=8", "/v1/endpoints", "/v1/endpoints?stream=1&index=8")
}
