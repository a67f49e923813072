package agent

import (
	"log/slog"
	"testing"
	"time"

	"ternbeam/internal/lab/standin"
	"ternbeam/internal/lab/testkit"
)

// speech is a way in which kiosks and servers speak.
type speech struct {
	name        string
	protocol    string // of the kiosks, and of the servers
	multiplexed bool
}

var speeches = []speech{{"http", "http", false}, {"binary", "thrift-binary", false}, {"compact", "thrift-compact", false},
	{"binary multiplexed", "thrift-binary", true}, {"compact multiplexed", "thrift-compact", true}}

// world is an agent between stand-ins.
type world struct {
	*running
	list    *standin.List
	servers []*standin.Server
	kiosk   standin.Kiosk
	edit    func(string) string // of the Thrift service's text
}

// newWorld starts servers that speak so, a list of them, an agent and a kiosk.
func newWorld(t *testing.T, sp speech, p standin.Platform, edit func(string) string, servers ...standin.Options) *world {
	t.Helper()
	w := &world{}
	list, err := standin.NewList()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(list.Close)
	w.list = list
	for _, opts := range servers {
		if opts.Protocol == "" {
			opts.Protocol = sp.protocol
		}
		opts.Multiplexed = sp.multiplexed
		s, err := standin.Start(opts)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		w.servers = append(w.servers, s)
		list.Tell(s.Entry())
	}
	w.edit = edit
	w.again(t, sp, p, quiet(), "")
	return w
}

// again starts an agent, the first one or the next, which keeps what it learns in a folder if one is given.
func (w *world) again(t *testing.T, sp speech, p standin.Platform, log *slog.Logger, folder string) {
	t.Helper()
	p.Discovery, p.Known = w.list.Addr(), w.list.Full()
	p.Known.Version = 0 // so that the watch has something to say, and the agent is ready at once
	edit := w.edit
	if edit == nil {
		edit = func(text string) string { return text }
	}
	cfg, service, err := p.Load(edit)
	if err != nil {
		t.Fatal(err)
	}
	w.running = startKeeping(t, cfg, service, log, folder)
	addr := w.thrift
	if sp.protocol == "http" {
		addr = cfg.Listen
	}
	if w.kiosk, err = standin.NewKiosk(sp.protocol, addr); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.kiosk.Close)
}

// ask words a call with all that its method needs.
func ask(m standin.Method, id string) standin.Ask {
	a := standin.Ask{Method: m, ID: id, Tenant: "oban", Key: "form-" + id, Left: 5 * time.Second}
	if m == standin.Record {
		a.Idempotency = "once-" + id
	}
	return a
}

// effects are those of a call over all pods, and deliveries how often servers got it.
func (w *world) effects(a standin.Ask) (n int) {
	key := a.ID
	if a.Idempotency != "" {
		key = a.Idempotency
	}
	for _, p := range w.pods() {
		n += p.Effects(key)
	}
	return n
}

func (w *world) deliveries(id string) (n int) {
	for _, p := range w.pods() {
		n += p.Deliveries(id)
	}
	return n
}

func (w *world) pods() (pods []*standin.Pod) {
	seen := map[*standin.Pod]bool{}
	for _, s := range w.servers {
		if !seen[s.Pod()] {
			seen[s.Pod()] = true
			pods = append(pods, s.Pod())
		}
	}
	return pods
}

// atRest waits until nothing is under way in the agent.
func (w *world) atRest(t *testing.T) {
	t.Helper()
	testkit.Eventually(t, "the agent is at rest", func() bool {
		held, open := w.held()
		return held == 0 && open == 0
	})
}
