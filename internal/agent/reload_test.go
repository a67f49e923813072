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
	"ternbeam/internal/settings/sourceconf"
)

// discoveryServer is a discovery service that pushes lists from changes to its watchers, and numbers versions by itself.
type discoveryServer struct {
	*httptest.Server
	changes chan discovery.List

	mu    sync.Mutex
	list  discovery.List
	calls []string
}

func newDiscoveryServer(t *testing.T, version int64, servers ...discovery.Entry) *discoveryServer {
	t.Helper()
	d := &discoveryServer{changes: make(chan discovery.List), list: discovery.List{Version: version, Full: true, Servers: servers}}
	d.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		d.mu.Lock()
		d.calls = append(d.calls, r.URL.String())
		d.mu.Unlock()
		lines := json.NewEncoder(w)
		if !r.URL.Query().Has("stream") {
			lines.Encode(d.list)
			return
		}
		fmt.Fprintf(w, `{"version":%s,"full":false,"servers":[]}`+"\n", r.URL.Query().Get("index")) // no changes since
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

func (d *discoveryServer) addr() string { return d.Listener.Addr().String() }

func (d *discoveryServer) requests() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.calls)
}

// serverIDs returns the sorted ids of the backends that can get calls.
func (r *runningAgent) serverIDs() []string {
	ids := r.core.Snapshot().Servers
	slices.Sort(ids)
	return ids
}

// writeConfig replaces the configuration file that the agent reads.
func writeConfig(t *testing.T, path, discovery string) {
	t.Helper()
	text := fmt.Sprintf(`{"discovery":%q,"settings":%s}`, discovery, fmt.Sprintf(settings, 1, 1, 1))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// newListService starts a discovery service that sends a list with one backend and no changes; before may reject a call.
func newListService(t *testing.T, before func(w http.ResponseWriter, r *http.Request) (proceed bool)) (addr string) {
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

// An agent that shares its list service with other agents requests the list at its start, and again after a call that failed.
func TestListIsRequestedAgainAfterAFailedCall(t *testing.T) {
	calls := 0
	cfg := testConfig{}.config(t)
	cfg.Pacing.Shared = true
	cfg.Discovery = newListService(t, func(w http.ResponseWriter, _ *http.Request) bool {
		if calls++; calls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return calls > 1
	})
	r := start(t, cfg)
	n := 0
	testkit.Eventually(t, "a request is served", func() bool {
		n++
		status, _ := do(t, r.newRequest("pay", fmt.Sprint(n), 10, ""))
		return status == 200
	})
}

// An agent that knows no server, and shares its list service with other agents, is not ready before it has a list.
func TestNotReadyWithoutServers(t *testing.T) {
	release := make(chan struct{})
	cfg := testConfig{}.config(t)
	cfg.Pacing.Shared, cfg.InitialList.Servers = true, nil
	cfg.Discovery = newListService(t, func(_ http.ResponseWriter, r *http.Request) bool {
		select {
		case <-release:
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
	case <-time.After(time.Second): // five times as long as an agent that knows a server takes
	}
	close(release)
	testkit.Eventually(t, "the agent is ready", func() bool {
		select {
		case <-a.Ready():
			return true
		default:
			return false
		}
	})
}

// A new configuration names another discovery service, which numbers versions differently: the agent requests its full list and
// watches from there. A file that can't be read changes nothing.
func TestReloadSwitchesDiscovery(t *testing.T) {
	for name, sources := range map[string]*sourceconf.Config{"the list alone": nil, "with SRV records": silentSources(t)} {
		t.Run(name, func(t *testing.T) { testReloadSwitchesDiscovery(t, sources) })
	}
}

// silentSources returns sources of servers beside the platform's list: a name server that never answers.
func silentSources(t *testing.T) *sourceconf.Config {
	t.Helper()
	conf, err := sourceconf.Parse([]byte("[[dns]]\nname = \"_forms._tcp.example.org\"\nservers = [\"127.0.0.1:1\"]\n[guard]\nshare = 1\n"))
	if err != nil {
		t.Fatal(err)
	}
	return conf
}

func testReloadSwitchesDiscovery(t *testing.T, sources *sourceconf.Config) {
	entry := func(id string) discovery.Entry {
		return discovery.Entry{ID: id, Addr: "127.0.0.1:1", State: "in_service"}
	}
	first, second := newDiscoveryServer(t, 40, entry("old")), newDiscoveryServer(t, 3, entry("new"))
	cfg := testConfig{}.config(t)
	cfg.Discovery, cfg.Path = first.addr(), filepath.Join(t.TempDir(), "config.json")
	cfg.Pacing.Grace = 10 * time.Second // avoids a second call in parallel to one that is answered, also on a busy machine
	cfg.Listen = "127.0.0.1:0"
	a, err := NewWithOptions(cfg, Options{Sources: sources}, discardLog())
	if err != nil {
		t.Fatal(err)
	}
	r := runAgent(t, a, cfg)
	testkit.Eventually(t, "the first is watched", func() bool { return len(first.requests()) == 1 })
	first.changes <- discovery.List{Version: 41, Full: true, Servers: []discovery.Entry{entry("old")}}
	testkit.Eventually(t, "its list is in use", func() bool { return slices.Equal(r.serverIDs(), []string{"old"}) })

	r.reload <- syscall.SIGHUP // there is no file
	if err := os.WriteFile(cfg.Path, []byte(`{"discovery":`), 0o600); err != nil {
		t.Fatal(err)
	}
	r.reload <- syscall.SIGHUP
	first.changes <- discovery.List{Version: 42, Servers: []discovery.Entry{entry("older")}}
	testkit.Eventually(t, "the first is still followed", func() bool { return slices.Equal(r.serverIDs(), []string{"old", "older"}) })

	writeConfig(t, cfg.Path, second.addr())
	for range 2 { // the second signal changes nothing
		r.reload <- syscall.SIGHUP
	}
	testkit.Eventually(t, "the second's list is in use", func() bool { return slices.Equal(r.serverIDs(), []string{"new"}) })
	second.changes <- discovery.List{Version: 4, Servers: []discovery.Entry{entry("newer")}}
	testkit.Eventually(t, "its changes are in use", func() bool { return slices.Equal(r.serverIDs(), []string{"new", "newer"}) })
	if got, want := second.requests(), []string{"/v1/endpoints", "/v1/endpoints?stream=1&index=3"}; !slices.Equal(got, want) {
		t.Errorf("the second got the requests %q, not %q", got, want)
	}
}

// SIGHUP arrives while the file can't be read, or is half written: the agent retries without another signal. The list of the new
// discovery service is in effect soon after the signal, even if the first read failed.
func TestReloadRetriesAnUnreadableFile(t *testing.T) {
	for name, broken := range map[string]func(t *testing.T, path string){
		"no file":      func(*testing.T, string) {},
		"half written": func(t *testing.T, path string) { writeFile(t, path, `{"discovery":"127.0`) },
		"a folder": func(t *testing.T, path string) {
			if err := os.Mkdir(path, 0o700); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			entry := discovery.Entry{ID: "new", Addr: "127.0.0.1:1", State: "in_service"}
			first, second := newDiscoveryServer(t, 40), newDiscoveryServer(t, 3, entry)
			cfg := testConfig{}.config(t)
			cfg.Discovery, cfg.Path = first.addr(), filepath.Join(t.TempDir(), "config.json")
			var log testkit.Log
			r := startWithState(t, cfg, nil, slog.New(slog.NewTextHandler(&log, nil)), "")
			broken(t, cfg.Path)
			r.reload <- syscall.SIGHUP
			testkit.Eventually(t, "reading has failed once", func() bool { return log.Contains("trying again") })
			os.RemoveAll(cfg.Path)
			writeConfig(t, cfg.Path, second.addr())
			testkit.Eventually(t, "the second's list is in use", func() bool { return slices.Equal(r.serverIDs(), []string{"new"}) })
		})
	}
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
