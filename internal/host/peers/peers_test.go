package peers

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"reflect"
	"sync"
	"testing"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/gossip"
	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/discovery"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// testGroup is a group of hosts that reach one another, with the servers that each has delivered.
type testGroup struct {
	hosts []*Host
	addrs []string

	mu    sync.Mutex
	known []map[string]choice.State
}

func (g *testGroup) of(i int, id string) (choice.State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, ok := g.known[i][id]
	return s, ok
}

func startGroup(t *testing.T, n int, list string, known discovery.List) *testGroup {
	t.Helper()
	g := &testGroup{}
	for range n {
		c, err := net.ListenPacket("udp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		g.addrs, g.known = append(g.addrs, c.LocalAddr().String()), append(g.known, map[string]choice.State{})
		c.Close()
	}
	set := gossip.Defaults
	set.DigestInterval, set.StaleAfter, set.WatcherDelay = 50*time.Millisecond, time.Hour, time.Hour // agents of high rank number never call the service here
	set.Watchers = 1
	ctx, cancel := context.WithCancel(context.Background())
	var all sync.WaitGroup
	t.Cleanup(func() { cancel(); all.Wait() })
	for i := range n {
		h, err := New(Settings{Settings: set, Listen: g.addrs[i], Peers: g.addrs, Discovery: list, LastList: known, Seed: uint64(i),
			Pacing: pacing.Settings{Shared: true, Me: i, MustAsk: 10 * time.Second}, Log: slog.New(slog.DiscardHandler)})
		if err != nil {
			t.Fatal(err)
		}
		g.hosts = append(g.hosts, h)
		all.Go(func() {
			h.Feed(ctx, func(changes []calltrack.Entry) {
				g.mu.Lock()
				defer g.mu.Unlock()
				for _, e := range changes {
					if g.known[i][e.ID] = e.State; e.State == choice.Removed {
						delete(g.known[i], e.ID)
					}
				}
			})
		})
	}
	return g
}

// One agent watches, and all receive its list and its changes, and nothing else; datagrams from strangers are counted
// and change nothing.
func TestListsReachAllAgents(t *testing.T) {
	var entries []discovery.Entry
	for i := range 30 {
		entries = append(entries, discovery.Entry{ID: fmt.Sprint("s", i), Addr: fmt.Sprintf("127.0.0.1:%d", 1000+i), State: "in_service", Weight: 1})
	}
	list, err := standin.NewList(entries...)
	if err != nil {
		t.Fatal(err)
	}
	defer list.Close()
	g := startGroup(t, 4, list.Addr(), discovery.List{Servers: []discovery.Entry{{ID: "old", Addr: "127.0.0.1:1", State: "in_service"}}, Full: true})
	everywhere := func(what string, check func(i int) bool) {
		t.Helper()
		testkit.Eventually(t, what, func() bool {
			for i := range g.hosts {
				if !check(i) {
					return false
				}
			}
			return true
		})
	}
	everywhere("all have the list", func(i int) bool { _, ok := g.of(i, "s29"); return ok })
	stranger, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer stranger.Close()
	forged := gossip.Datagram{Gen: 99, At: gossip.Cursor{Version: 99, ID: "x"}}
	forged.From.Index = 1
	for _, data := range [][]byte{forged.Encode(), []byte("noise"), make([]byte, gossip.MaxDatagramBytes)} {
		if _, err := stranger.WriteTo(data, net.UDPAddrFromAddrPort(netip.MustParseAddrPort(g.addrs[0]))); err != nil {
			t.Fatal(err)
		}
	}
	testkit.Eventually(t, "they are counted", func() bool { return g.hosts[0].Rejected.Load() == 3 })
	list.Update(discovery.Entry{ID: "s3", Addr: "127.0.0.1:1003", State: "terminating", Weight: 1}, discovery.Entry{ID: "s4", State: "terminated"})
	everywhere("all receive the change", func(i int) bool {
		drains, _ := g.of(i, "s3")
		_, there := g.of(i, "s4")
		return drains == choice.Draining && !there
	})
}

// An entry is decoded as it was encoded, and takes few bytes.
func TestRows(t *testing.T) {
	for _, e := range []discovery.Entry{
		{ID: "s-5be2a07c", Addr: "10.1.0.18:8000", Zone: "a", Cell: 3, State: "in_service", Weight: 1},
		{ID: "a", Addr: "[::1]:1", Addrs: []string{"[::1]:1", "unix:/x"}, State: "terminating", Weight: 0.5, StartedMS: 1765000000000, Protocol: "thrift", Multiplexed: true,
			Shapes: []string{"refund-record/2"}},
		{ID: "b", Addr: "127.0.0.1:1", State: "in_service", Weight: 0},
	} {
		r := encodeRow(e)
		got, err := decodeRow(r)
		if err != nil || !reflect.DeepEqual(got, e) {
			t.Errorf("%+v, %v, not %+v", got, err, e)
		}
		if r.Draining != (e.State == "terminating") || r.Removed || len(r.Body) > 120 {
			t.Errorf("%+v", r)
		}
	}
	if got, err := decodeRow(encodeRow(discovery.Entry{ID: "c", State: "terminated"})); err != nil || got.State != "terminated" {
		t.Errorf("%+v, %v", got, err)
	}
	if _, err := decodeRow(gossip.Row{ID: "d", Body: []byte{0xff}}); err == nil {
		t.Error("random bytes are decoded as an entry")
	}
	if n := len(encodeRow(discovery.Entry{ID: "s", Addr: "10.1.0.18:8000", Zone: "a", State: "in_service", Weight: 1}).Body); n > 24 {
		t.Errorf("%d bytes for a plain entry", n)
	}
}

// Errors in the configuration are reported before anything is sent.
func TestConfigurationErrors(t *testing.T) {
	valid := Settings{Settings: gossip.Defaults, Listen: "127.0.0.1:0", Peers: []string{"127.0.0.1:1", "127.0.0.1:2"}, Log: slog.New(slog.DiscardHandler)}
	for name, corrupt := range map[string]func(*Settings){
		"no listener":  func(s *Settings) { s.Listen = "" },
		"no peers":     func(s *Settings) { s.Peers = nil },
		"no address":   func(s *Settings) { s.Peers = []string{"x", "y"} },
		"high index":   func(s *Settings) { s.Pacing.Me = 2 },
		"bad listener": func(s *Settings) { s.Listen = "somewhere" },
	} {
		s := valid
		corrupt(&s)
		if _, err := New(s); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
