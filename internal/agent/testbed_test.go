package agent

import (
	"log/slog"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// protocolVariant is a protocol of clients and servers, with or without multiplexing.
type protocolVariant struct {
	name        string
	protocol    string // of clients and servers
	multiplexed bool
}

var protocolVariants = []protocolVariant{{"http", "http", false}, {"binary", "thrift-binary", false}, {"compact", "thrift-compact", false},
	{"binary multiplexed", "thrift-binary", true}, {"compact multiplexed", "thrift-compact", true}}

// testbed is an agent between stand-in clients and servers.
type testbed struct {
	*runningAgent
	list        *standin.List
	servers     []*standin.Server
	client      standin.Kiosk
	editService func(string) string // edits the text of the Thrift service; may be nil
}

// newTestbed starts servers of a protocol variant, a list service that names them, an agent and a client.
func newTestbed(t *testing.T, variant protocolVariant, p standin.Platform, edit func(string) string, servers ...standin.Options) *testbed {
	t.Helper()
	w := &testbed{}
	list, err := standin.NewList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	w.list = list
	for _, opts := range servers {
		if opts.Protocol == "" {
			opts.Protocol = variant.protocol
		}
		opts.Multiplexed = variant.multiplexed
		s, err := standin.Start(opts)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		w.servers = append(w.servers, s)
		list.Update(s.Entry())
	}
	w.editService = edit
	w.startAgent(t, variant, p, discardLog(), "")
	return w
}

// startAgent starts the first or the next agent, with learned state persisted in folder if it is not empty.
func (w *testbed) startAgent(t *testing.T, variant protocolVariant, p standin.Platform, log *slog.Logger, folder string) {
	t.Helper()
	p.Discovery, p.InitialList = w.list.Addr(), w.list.Full()
	p.InitialList.Version = 0 // makes the watch send the list, so that the agent is ready immediately
	edit := w.editService
	if edit == nil {
		edit = func(text string) string { return text }
	}
	cfg, service, err := p.Load(edit)
	if err != nil {
		t.Fatal(err)
	}
	w.runningAgent = startWithState(t, cfg, service, log, folder)
	addr := w.thrift
	if variant.protocol == "http" {
		addr = cfg.Listen
	}
	if w.client, err = standin.NewKiosk(variant.protocol, addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.client.Close)
}

// newCall returns a call with all fields that its method requires.
func newCall(m standin.Method, id string) standin.Request {
	a := standin.Request{Method: m, ID: id, Tenant: "oban", Key: "form-" + id, TimeLeft: 5 * time.Second}
	if m == standin.Record {
		a.IdempotencyKey = "once-" + id
	}
	return a
}

// effects returns how often a call took effect, over all deduplication groups.
func (w *testbed) effects(a standin.Request) (n int) {
	key := a.ID
	if a.IdempotencyKey != "" {
		key = a.IdempotencyKey
	}
	for _, g := range w.dedupGroups() {
		n += g.Effects(key)
	}
	return n
}

// deliveries returns how often servers received a call.
func (w *testbed) deliveries(id string) (n int) {
	for _, g := range w.dedupGroups() {
		n += g.Deliveries(id)
	}
	return n
}

func (w *testbed) dedupGroups() (all []*standin.DedupGroup) {
	seen := map[*standin.DedupGroup]bool{}
	for _, s := range w.servers {
		if !seen[s.DedupGroup()] {
			seen[s.DedupGroup()] = true
			all = append(all, s.DedupGroup())
		}
	}
	return all
}

// waitIdle waits until no call or attempt is in flight in the agent.
func (w *testbed) waitIdle(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, "the agent is idle", func() bool {
		held, open := w.heldAndOpen()
		return held == 0 && open == 0
	})
}
