package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/testkit"
)

// registry is a discovery that pushes what it is given to those who watch, and counts versions in its own way.
type registry struct {
	*httptest.Server
	changes chan discovery.List

	mu    sync.Mutex
	list  discovery.List
	calls []string
}

func newRegistry(t *testing.T, version int64, servers ...discovery.Entry) *registry {
	t.Helper()
	d := &registry{changes: make(chan discovery.List), list: discovery.List{Version: version, Full: true, Servers: servers}}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls = append(d.calls, r.URL.String())
		d.mu.Unlock()
		lines := json.NewEncoder(w)
		if !r.URL.Query().Has("stream") {
			lines.Encode(d.list)
			return
		}
		fmt.Fprintf(w, `{"version":%s,"full":false,"servers":[]}`+"\n", r.URL.Query().Get("index")) // nothing has changed since
		w.(http.Flusher).Flush()
		for {
			select {
			case l := <-d.changes:
				lines.Encode(l)
				w.(http.Flusher).Flush()
			case <-r.Context().Done():
				return
			}
		}
	}))
	t.Cleanup(func() { d.CloseClientConnections(); d.Close() })
	return d
}

func (d *registry) addr() string { return d.Listener.Addr().String() }

func (d *registry) asked() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// known lists the ids of the backends that can be sent to.
func (r *running) known() []string {
	ids := r.core.Snapshot().Servers
	slices.Sort(ids)
	return ids
}

// rewrite puts a configuration in place of the file that the agent reads.
func rewrite(t *testing.T, path, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"discovery":%q,"settings":%s}`, discovery, fmt.Sprintf(settings, 1, 1, 1))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// lister is a discovery that names one backend in its first list and says nothing more; before may turn a call away.
func lister(t *testing.T, before func(w http.ResponseWriter, r *http.Request) (goOn bool)) (addr string) {
	t.Helper()
	backend := newBackend(t, "b", func(http.ResponseWriter, *http.Request) {})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !before(w, r) {
			return
		}
		fmt.Fprintf(w, `{"version":8,"full":true,"servers":[{"id":"b","addr":"%s","state":"in_service"}]}`+"\n", backend.Addr)
		w.(http.Flusher).Flush()
		<-r.Context().Done()
	}))
	t.Cleanup(func() { s.CloseClientConnections(); s.Close() })
	return s.Listener.Addr().String()
}

// Where the list must be asked for, it is at the start, and again after a call that failed.
func TestAsksForTheList(t *testing.T) {
	calls := 0
	cfg := trial{}.config(t)
	cfg.Asking.Shared = true
	cfg.Discovery = lister(t, func(w http.ResponseWriter, _ *http.Request) bool {
		if calls++; calls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return calls > 1
	})
	r := start(t, cfg)
	n := 0
	testkit.Eventually(t, "a request is served", func() bool {
		n++
		status, _ := do(t, r.ask("pay", fmt.Sprint(n), 10, ""))
		return status == 200
	})
}

// An agent that knows no server, and shares its list service with others, is not ready before it has a list.
func TestNotReadyWithoutServers(t *testing.T) {
	let := make(chan struct{})
	cfg := trial{}.config(t)
	cfg.Asking.Shared, cfg.Known.Servers = true, nil
	cfg.Discovery = lister(t, func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-let:
			return true
		case <-r.Context().Done():
			return false
		}
	})
	a, err := New(cfg, nil, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); a.Run(ctx, nil) }()
	defer func() { cancel(); <-ended }()
	select {
	case <-a.Ready():
		t.Error("ready without a server")
	case <-time.After(time.Second): // five times what one that knows a server takes
	}
	close(let)
	testkit.Eventually(t, "it is ready", func() bool {
		select {
		case <-a.Ready():
			return true
		default:
			return false
		}
	})
}

// A new configuration names another discovery, which counts versions otherwise: the agent asks it for the whole
// list and watches from there. A file that can't be read changes nothing.
func TestReloadSwitchesDiscovery(t *testing.T) {
	entry := func(id string) discovery.Entry {
		return discovery.Entry{ID: id, Addr: "127.0.0.1:1", State: "in_service"}
	}
	first, second := newRegistry(t, 40, entry("old")), newRegistry(t, 3, entry("new"))
	cfg := trial{}.config(t)
	cfg.Discovery, cfg.Path = first.addr(), filepath.Join(t.TempDir(), "config.json")
	cfg.Asking.Grace = 10 * time.Second // no call is made beside one that is answered, also on a machine that is busy
	r := start(t, cfg)
	testkit.Eventually(t, "the first is watched", func() bool { return len(first.asked()) == 1 })
	first.changes <- discovery.List{Version: 41, Full: true, Servers: []discovery.Entry{entry("old")}}
	testkit.Eventually(t, "its list is taken", func() bool { return slices.Equal(r.known(), []string{"old"}) })

	r.reload <- syscall.SIGHUP // there is no file
	if err := os.WriteFile(cfg.Path, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload <- syscall.SIGHUP
	first.changes <- discovery.List{Version: 42, Servers: []discovery.Entry{entry("older")}}
	testkit.Eventually(t, "the first is still heeded", func() bool { return slices.Equal(r.known(), []string{"old", "older"}) })

	rewrite(t, cfg.Path, second.addr())
	for range 2 { // the second says nothing new
		r.reload <- syscall.SIGHUP
	}
	testkit.Eventually(t, "the second's list is taken", func() bool { return slices.Equal(r.known(), []string{"new"}) })
	second.changes <- discovery.List{Version: 4, Servers: []discovery.Entry{entry("newer")}}
	testkit.Eventually(t, "its changes are taken", func() bool { return slices.Equal(r.known(), []string{"new", "newer"}) })
	if got, want := second.asked(), []string{"/v1/endpoints", "/v1/endpoints?stream=1&index=3"}; !slices.Equal(got, want) {
		t.Errorf("the second was asked for %q, not %q", got, want)
	}
}

// SIGHUP comes while the file can't be read, or is half written: it is read again, and no further signal is needed. What the new
// discovery has to tell binds soon after the signal, whatever became of the first reading.
func TestReloadReadsAgain(t *testing.T) {
	for name, broken := range map[string]func(t *testing.T, path string){
		"no file":      func(*testing.T, string) {},
		"half written": func(t *testing.T, path string) { write(t, path, `{"discovery":"127.0`) },
		"a folder": func(t *testing.T, path string) {
			if err := os.Mkdir(path, 0o700); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			entry := discovery.Entry{ID: "new", Addr: "127.0.0.1:1", State: "in_service"}
			first, second := newRegistry(t, 40), newRegistry(t, 3, entry)
			cfg := trial{}.config(t)
			cfg.Discovery, cfg.Path = first.addr(), filepath.Join(t.TempDir(), "config.json")
			var log testkit.Log
			r := startKeeping(t, cfg, nil, slog.New(slog.NewTextHandler(&log, nil)), "")
			broken(t, cfg.Path)
			r.reload <- syscall.SIGHUP
			testkit.Eventually(t, "it has failed once", func() bool { return log.Has("trying again") })
			os.RemoveAll(cfg.Path)
			rewrite(t, cfg.Path, second.addr())
			testkit.Eventually(t, "the second's list is taken", func() bool { return slices.Equal(r.known(), []string{"new"}) })
		})
	}
}

func write(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
