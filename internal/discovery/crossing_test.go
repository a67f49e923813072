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

	"ternbeam/internal/decide/asking"
	"ternbeam/internal/lab/testkit"
)

// calls runs a list service that answers the nth call as told, and the last way from then on. A way that returns leaves the call
// open and silent.
func calls(t *testing.T, ways ...func(w http.ResponseWriter, r *http.Request)) (addr string, asked chan string) {
	t.Helper()
	asked = make(chan string, 1000)
	var n atomic.Int32
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		way := ways[min(int(n.Add(1)), len(ways))-1]
		asked <- r.URL.String()
		way(w, r)
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String(), asked
}

func write(w http.ResponseWriter, text string) {
	fmt.Fprint(w, text)
	w.(http.Flusher).Flush()
}

const (
	before = `{"version":8,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"in_service"}]}` + "\n"
	drains = `{"version":9,"full":true,"servers":[{"id":"a","addr":"127.0.0.1:1","state":"terminating"}]}` + "\n"
)

func silent(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
func reset(_ http.ResponseWriter, _ *http.Request)  { panic(http.ErrAbortHandler) }
func busy(w http.ResponseWriter, _ *http.Request)   { w.WriteHeader(http.StatusServiceUnavailable) }
func headOnly(w http.ResponseWriter, r *http.Request) {
	w.(http.Flusher).Flush()
	<-r.Context().Done()
}

// All open watches fall silent, and servers begin to drain. The drain is heard by what counts as told, 6 s after the silence began,
// and the least grace, whatever becomes of the first calls after that.
func TestDrainBehindSilentWatches(t *testing.T) {
	// The silence itself is shortened; the rest is played as it is.
	const silence = 100 * time.Millisecond
	most := 6*time.Second + 500*time.Millisecond - asking.Silence + silence
	watch := func(w http.ResponseWriter, r *http.Request) { write(w, before); <-r.Context().Done() }
	answers := func(w http.ResponseWriter, r *http.Request) { write(w, drains); <-r.Context().Done() }
	for name, then := range map[string][]func(http.ResponseWriter, *http.Request){
		"answered":                        {answers},
		"silent":                          {silent, answers},
		"a head, then silent":             {headOnly, answers},
		"reset":                           {reset, answers},
		"503":                             {busy, busy, answers},
		"silent, a head, 503, then reset": {silent, headOnly, busy, reset, answers},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, asked := calls(t, append([]func(http.ResponseWriter, *http.Request){watch}, then...)...)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
			d.silence = silence
			heard := make(chan time.Time, 100)
			var began time.Time
			go d.KeepWatching(ctx, asking.New(asking.Settings{Grace: 500 * time.Millisecond}, 1), func(l List) {
				if began.IsZero() {
					began = time.Now()
				} else if l.Servers[0].State == "terminating" {
					heard <- time.Now()
				}
			}, nil)
			select {
			case at := <-heard:
				if took := at.Sub(began); took > most {
					t.Errorf("heard after %v, over %v", took, most)
				}
			case <-time.After(testkit.Patience):
				t.Fatal("never heard")
			}
			<-asked
			if second := <-asked; second != "/v1/endpoints" {
				t.Errorf("after the silence it asked for %s", second)
			}
		})
	}
}

// A list that has begun and comes in drips is no sign of life: it may never be whole. Lists that come indented, with pauses in
// which nothing changes, are as good as others.
func TestListInDrips(t *testing.T) {
	drip := func(w http.ResponseWriter, r *http.Request) {
		write(w, before+`{"version":9,"servers":[`)
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
		write(w, strings.ReplaceAll(strings.ReplaceAll(drains, ",", ",\n  "), "{", "{\n"))
		<-r.Context().Done()
	}
	addr, _ := calls(t, drip, indented)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
	d.silence = 200 * time.Millisecond
	heard := make(chan struct{})
	go d.KeepWatching(ctx, asking.New(asking.Settings{}, 1), func(l List) {
		if l.Servers[0].State == "terminating" {
			close(heard)
		}
	}, nil)
	wait(t, heard)
}

// A service that all agents ask breaks off without a word in the midst of a list. It is asked again soon, and not after the time that a watch may
// be silent; one whose lists take longer than that is heard at its next answer.
func TestListThatStopsShort(t *testing.T) {
	half := before[:len(before)/2]
	stops := func(w http.ResponseWriter, r *http.Request) { write(w, half); <-r.Context().Done() }
	slow := func(w http.ResponseWriter, r *http.Request) {
		write(w, half)
		time.Sleep(1500 * time.Millisecond)
		write(w, before[len(before)/2:])
		<-r.Context().Done()
	}
	for name, c := range map[string]struct {
		ways []func(http.ResponseWriter, *http.Request)
		most time.Duration
	}{
		"once":        {[]func(http.ResponseWriter, *http.Request){stops, func(w http.ResponseWriter, r *http.Request) { write(w, before); <-r.Context().Done() }}, 2 * time.Second},
		"slow always": {[]func(http.ResponseWriter, *http.Request){slow}, 5 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, _ := calls(t, c.ways...)
			begin := time.Now()
			// Of one agent alone the turns come at once.
			nextList(t, watchWith(t, asking.Settings{Shared: true, Agents: 1}, New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))))
			if took := time.Since(begin); took > c.most {
				t.Errorf("heard after %v", took)
			}
		})
	}
}

// A watch that is reset between two lists, in the midst of one, or right after its beginning is begun anew from the last whole one.
func TestWatchIsResetAnywhere(t *testing.T) {
	next := `{"version":9,"servers":[{"id":"b","addr":"127.0.0.1:1","state":"terminating"}]}` + "\n"
	for cut := range len(next) + 1 {
		t.Run(fmt.Sprint("cut at ", cut), func(t *testing.T) {
			t.Parallel()
			addr, asked := calls(t, func(w http.ResponseWriter, r *http.Request) {
				write(w, before+next[:cut])
				panic(http.ErrAbortHandler)
			}, func(w http.ResponseWriter, r *http.Request) {
				write(w, next)
				<-r.Context().Done()
			})
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			d := New(addr, List{Version: 7}, slog.New(slog.DiscardHandler))
			heard := make(chan struct{}, 10)
			go d.KeepWatching(ctx, asking.New(oneAfterTheOther, 1), func(l List) {
				if l.Version == 9 && l.Servers[0].State == "terminating" {
					heard <- struct{}{}
				}
			}, nil)
			wait(t, heard)
			<-asked
			want := "/v1/endpoints?stream=1&index=8"
			if cut >= len(next)-1 { // it was whole
				want = "/v1/endpoints?stream=1&index=9"
			}
			if again := <-asked; again != want {
				t.Errorf("asked for %s", again)
			}
		})
	}
}

// Discovery begins anew and counts from the start, with a list that alone tells of a drain: the drain counts at once, though the list is
// not believed yet. Whether the server drains still is asked with the next call, by the whole list.
func TestDrainInAListThatIsNotBelieved(t *testing.T) {
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
	addr, asked := calls(t, answers(8, true, both), answers(2, true, entry("a", "terminating")+","+entry("b", "in_service")),
		answers(8, true, both), answers(9, false, entry("b", "terminating")))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := New(addr, List{Version: Unknown}, slog.New(slog.DiscardHandler))
	heard := make(chan string, 100)
	go d.KeepWatching(ctx, asking.New(oneAfterTheOther, 1), func(l List) {
		said := fmt.Sprint(l.Version, " ", l.Full)
		for _, e := range l.Servers {
			said += " " + e.ID + " " + e.State
		}
		heard <- said
	}, nil)
	expect(t, heard, "8 true a in_service b in_service", "8 false a terminating", "8 true a in_service b in_service", "9 false b terminating")
	expect(t, asked, "/v1/endpoints", "/v1/endpoints?stream=1&index=8", "/v1/endpoints", "/v1/endpoints?stream=1&index=8")
}
