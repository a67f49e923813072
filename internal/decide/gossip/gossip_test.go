package gossip

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/peerstate"
)

// world simulates nodes, the links between them and a discovery service, in virtual time.
type world struct {
	t      *testing.T
	rng    *rand.Rand
	now    time.Duration
	order  uint64
	events events

	set         Settings
	nodes       []*host
	delay       time.Duration           // maximum delay of a datagram
	loss        float64                 // share of datagrams that are lost
	dup         float64                 // share of datagrams that arrive twice
	partitioned func(from, to int) bool // whether datagrams between two nodes are dropped; nil for none
	replay      bool                    // some datagrams arrive a second time, much later

	version   int64
	rows      map[string]Row
	log       []Row // the change at i made version i+1
	changedAt []time.Duration
	callTime  time.Duration        // that the service needs for a call
	freeAt    time.Duration        // when the service has worked through its calls
	down      bool                 // the service is down
	reachable func(index int) bool // whether a node reaches the service; nil for all
	calls     int
	sent      int
	bytes     int
}

type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// host runs the processes of one agent, one after the other.
type host struct {
	w         *world
	index     int
	node      *Node
	life      int // counts processes; timers of earlier ones are ignored
	alive     bool
	timerAt   time.Duration // when the latest timer expires
	watch     int           // counts watches; events of earlier ones are ignored
	known     map[string]Row
	startedAt time.Duration
}

func newWorld(t *testing.T, agents, servers int, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 3)), now: 1000 * time.Hour, set: Defaults, rows: map[string]Row{}, callTime: time.Millisecond, delay: time.Millisecond}
	for i := range servers {
		w.publish(Row{ID: fmt.Sprint("forms-", i), Body: fmt.Appendf(nil, "127.0.0.1:%d in service", i)})
	}
	for p := range agents {
		w.nodes = append(w.nodes, &host{w: w, index: p})
	}
	return w
}

// publish changes the list of the service.
func (w *world) publish(r Row) {
	w.version++
	r.Version = w.version
	w.log = append(w.log, r)
	w.changedAt = append(w.changedAt, w.now)
	if r.Removed {
		delete(w.rows, r.ID)
	} else {
		w.rows[r.ID] = r
	}
	for _, h := range w.nodes {
		if h.alive && h.node.Watching() {
			h.receiveList(h.watch, w.version, false, []Row{r})
		}
	}
}

func (w *world) at(at time.Duration, do func()) {
	w.order++
	heap.Push(&w.events, event{at, w.order, do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now+d, do) }

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.events) > 0 && w.events[0].at <= end {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = end
}

// start starts a new process.
func (h *host) start(version int64, known []Row) {
	h.life++
	w := h.w
	h.alive, h.known, h.startedAt = true, map[string]Row{}, w.now
	seed := w.rng.Uint64()
	peers := peerstate.New(peerstate.Settings{Agents: len(w.nodes), Me: h.index, Epoch: uint64(w.now / time.Millisecond)}, seed)
	scheduler := pacing.New(pacing.Settings{Shared: true, Agents: len(w.nodes), Me: h.index, MustAsk: 10 * time.Second}, seed)
	h.node = New(w.set, peers, scheduler, version, known, seed)
	for _, r := range known {
		h.known[r.ID] = r
	}
	h.do(h.node.Start(w.now))
}

func (h *host) kill() {
	h.alive = false
	h.watch++
}

// do carries out actions.
func (h *host) do(actions []Action) {
	w := h.w
	for _, a := range actions {
		switch a.Kind {
		case Send:
			data := a.Datagram.Encode()
			if len(data) > w.set.DatagramBytes {
				w.t.Fatalf("datagram has %d bytes", len(data))
			}
			w.sent++
			w.bytes += len(data)
			w.carry(h.index, a.To, data)
		case Watch:
			h.call(a.Version)
		case Unwatch:
			h.watch++
		case Deliver:
			if a.Full {
				h.known = map[string]Row{}
			}
			for _, r := range a.Rows {
				if r.Removed {
					delete(h.known, r.ID)
				} else {
					h.known[r.ID] = r
				}
			}
		}
	}
	if next := h.node.NextTick(); next != h.timerAt {
		h.timerAt = next
		life := h.life
		w.at(max(next, w.now), func() {
			if h.alive && h.life == life && h.timerAt == next {
				h.timerAt = 0
				h.do(h.node.Tick(w.now))
			}
		})
	}
}

// carry transmits a datagram to another node, or drops it.
func (w *world) carry(from, to int, data []byte) {
	if w.partitioned != nil && w.partitioned(from, to) {
		return
	}
	times := 1
	if w.rng.Float64() < w.loss {
		times = 0
	}
	if w.rng.Float64() < w.dup {
		times++
	}
	arrive := func() {
		h := w.nodes[to]
		if !h.alive {
			return
		}
		d, err := Decode(data)
		if err != nil {
			w.t.Fatal(err)
		}
		h.do(h.node.Receive(w.now, d))
	}
	for range times {
		w.after(time.Duration((0.5+w.rng.Float64()/2)*float64(w.delay)), arrive)
	}
	if w.replay && w.rng.IntN(10) == 0 {
		w.after(time.Duration(w.rng.Float64()*float64(10*time.Second)), arrive)
	}
}

// call opens a watch on the service.
func (h *host) call(version int64) {
	w := h.w
	w.calls++
	h.watch++
	watch, life := h.watch, h.life
	current := func() bool { return h.alive && h.life == life && h.watch == watch }
	end := func(silent time.Duration) {
		if current() {
			h.watch++
			h.do(h.node.WatchEnded(w.now, silent))
		}
	}
	if w.reachable != nil && !w.reachable(h.index) {
		w.after(pacing.WatchSilenceTimeout, func() { end(pacing.WatchSilenceTimeout) })
		return
	}
	if w.down {
		w.after(time.Millisecond, func() { end(0) })
		return
	}
	w.freeAt = max(w.freeAt, w.now) + w.callTime
	if wait := w.freeAt - w.now; wait > 2*time.Second {
		w.after(2*time.Second, func() { end(0) })
		return
	}
	w.at(w.freeAt, func() {
		if !current() {
			return
		}
		if w.down {
			end(0)
			return
		}
		h.do(h.node.WatchAnswered(w.now))
		if version < 1 || version > w.version {
			var all []Row
			for _, r := range w.rows {
				all = append(all, r)
			}
			h.receiveList(watch, w.version, true, all)
		} else if version < w.version {
			h.receiveList(watch, w.version, false, w.log[version:])
		}
		var ping func()
		ping = func() {
			switch {
			case !current():
			case w.down:
				end(0)
			case w.reachable != nil && !w.reachable(h.index):
				w.after(pacing.WatchSilenceTimeout, func() { end(pacing.WatchSilenceTimeout) })
			default:
				h.do(h.node.WatchAlive(w.now))
				w.after(100*time.Millisecond, ping)
			}
		}
		w.after(150*time.Millisecond, ping)
	})
}

func (h *host) receiveList(watch int, version int64, full bool, rows []Row) {
	if h.watch == watch && (h.w.reachable == nil || h.w.reachable(h.index)) {
		h.do(h.node.ListReceived(h.w.now, version, full, append([]Row(nil), rows...)))
	}
}

// countBehind returns the number of running nodes whose list is not that of the service.
func (w *world) countBehind() (n int) {
	for _, h := range w.nodes {
		if h.alive && !h.upToDate() {
			n++
		}
	}
	return n
}

// describe returns the state of a node, for failure messages.
func (h *host) describe() string {
	gen, version := h.node.Version()
	out := fmt.Sprintf("version %d of %d, generation %d, watch %d, stale for %v", version, h.w.version, gen, h.node.watch, h.node.Staleness(h.w.now))
	for id, r := range h.w.rows {
		if k := h.known[id]; string(k.Body) != string(r.Body) {
			out += fmt.Sprintf("; %s is %q of version %d, not %q of version %d", id, k.Body, k.Version, r.Body, r.Version)
		}
	}
	for id, k := range h.known {
		if _, ok := h.w.rows[id]; !ok {
			out += fmt.Sprintf("; %s, %q of version %d, was removed", id, k.Body, k.Version)
		}
	}
	if t := h.node.transfer; t != nil {
		out += fmt.Sprintf("; transfer from %d, complete to %v, head %d, %d rows, %d out of order, latest chunk %v ago", t.from, t.cursor, t.head, len(t.rows), len(t.stash), h.w.now-t.lastChunkAt)
	}
	return out
}

// oldestMissing returns when the oldest change was published that the node has not received.
func (h *host) oldestMissing() time.Duration {
	last := map[string]Row{}
	for _, r := range h.w.log {
		last[r.ID] = r
	}
	oldest := h.w.now
	for id, r := range last {
		if k, ok := h.known[id]; ok == r.Removed || ok && string(k.Body) != string(r.Body) {
			oldest = min(oldest, h.w.changedAt[r.Version-1])
		}
	}
	return oldest
}

// upToDate reports whether what was delivered to the module is the list of the service.
func (h *host) upToDate() bool {
	if len(h.known) != len(h.w.rows) {
		return false
	}
	for id, r := range h.w.rows {
		if k, ok := h.known[id]; !ok || string(k.Body) != string(r.Body) || k.Draining != r.Draining {
			return false
		}
	}
	return true
}

// settle runs until all nodes have the list, and returns how long that took.
func (w *world) settle(limit time.Duration) (took time.Duration, ok bool) {
	begin := w.now
	for w.now-begin < limit {
		if w.countBehind() == 0 {
			return w.now - begin, true
		}
		w.run(20 * time.Millisecond)
	}
	return limit, false
}

func (w *world) watchers() (n int) {
	for _, h := range w.nodes {
		if h.alive && h.node.Watching() {
			n++
		}
	}
	return n
}

func (w *world) startAll() {
	for _, h := range w.nodes {
		w.after(time.Duration(w.rng.Float64()*float64(100*time.Millisecond)), func() { h.start(0, nil) })
	}
	w.run(101 * time.Millisecond)
}

// The number of calls to the service after a failure does not grow with the fleet, and all agents have the list soon.
func TestServiceCallsDoNotGrowWithFleet(t *testing.T) {
	for _, agents := range []int{5, 50, 200} {
		t.Run(fmt.Sprint(agents, " agents"), func(t *testing.T) {
			w := newWorld(t, agents, 60, 1)
			w.loss, w.delay = 0.05, 20*time.Millisecond
			w.callTime = min(100*time.Millisecond, 8*time.Second/time.Duration(agents))
			check := func(what string) {
				calls, sent, bytes := w.calls, w.sent, w.bytes
				took, ok := w.settle(30 * time.Second)
				w.run(5 * time.Second)
				agentSeconds := float64(agents) * (took + 5*time.Second).Seconds()
				t.Logf("%s: all have the list after %v, %d calls; %.1f datagrams, %.0f bytes per agent and second; %d watchers", what, took, w.calls-calls,
					float64(w.sent-sent)/agentSeconds, float64(w.bytes-bytes)/agentSeconds, w.watchers())
				if !ok || took > 6*time.Second {
					t.Errorf("%s: %d agents are behind after %v", what, w.countBehind(), took)
				}
				if w.calls-calls > 40 || w.watchers() < min(agents, w.set.Watchers) {
					t.Errorf("%s: %d calls, %d watchers", what, w.calls-calls, w.watchers())
				}
			}
			w.startAll()
			check("cold start")
			for _, i := range w.rng.Perm(agents)[:agents*7/10] {
				w.nodes[i].kill()
				w.nodes[i].start(0, nil)
			}
			check("seven in ten killed")
			w.down = true
			w.run(5 * time.Second)
			w.publish(Row{ID: "forms-0", Draining: true, Body: []byte("drains")})
			w.down = false
			check("after an outage")
			w.run(20 * time.Second)
			if n := w.watchers(); n > 3*w.set.Watchers {
				t.Errorf("%d watchers remain", n)
			}
		})
	}
}

// Every agent receives every change within the bound, whatever datagrams are lost, late, duplicated or replayed, while
// watchers are killed.
func TestStalenessBound(t *testing.T) {
	const bound = 10 * time.Second
	const seeds = 20
	worst := time.Duration(0)
	for seed := range uint64(seeds) {
		w := newWorld(t, 30, 40, seed)
		w.loss, w.dup, w.delay, w.replay, w.callTime = 0.2, 0.05, 200*time.Millisecond, true, 20*time.Millisecond
		w.startAll()
		if _, ok := w.settle(20 * time.Second); !ok {
			t.Fatalf("seed %d: %d agents have no list", seed, w.countBehind())
		}
		for range 20 {
			id := fmt.Sprint("forms-", w.rng.IntN(60))
			switch w.rng.IntN(3) {
			case 0:
				w.publish(Row{ID: id, Removed: true})
			case 1:
				w.publish(Row{ID: id, Draining: true, Body: []byte("drains")})
			default:
				w.publish(Row{ID: id, Body: fmt.Appendf(nil, "again %d", w.version)})
			}
			if w.rng.IntN(3) == 0 { // the first watcher is killed and restarted
				for _, h := range w.nodes {
					if h.alive && h.node.Watching() {
						h.kill()
						w.after(time.Duration(w.rng.IntN(3000))*time.Millisecond, func() {
							if !h.alive {
								h.start(0, nil)
							}
						})
						break
					}
				}
			}
			begin := w.now
			for w.now-begin < time.Duration(w.rng.IntN(3000))*time.Millisecond {
				w.run(50 * time.Millisecond)
				for _, h := range w.nodes {
					if !h.alive || h.upToDate() {
						continue
					}
					stale := w.now - max(h.startedAt, h.oldestMissing())
					if worst = max(worst, stale); stale > bound {
						t.Fatalf("seed %d: agent %d is %v behind; %s", seed, h.index, stale, h.describe())
					}
				}
			}
		}
		if _, ok := w.settle(bound); !ok {
			t.Errorf("seed %d: %d agents are behind at the end", seed, w.countBehind())
		}
	}
	t.Logf("behind for at most %v", worst)
}

// newSettledWorld returns a world in which all nodes have the list.
func newSettledWorld(t *testing.T, agents, servers int, seed uint64) *world {
	t.Helper()
	w := newWorld(t, agents, servers, seed)
	w.startAll()
	if _, ok := w.settle(20 * time.Second); !ok {
		t.Fatalf("%d agents have no list", w.countBehind())
	}
	w.run(2 * time.Second)
	return w
}

// A partition leaves only a few agents in contact with the service: the others keep their list, and receive all that
// they missed when it ends.
func TestPartition(t *testing.T) {
	w := newSettledWorld(t, 40, 30, 1)
	w.partitioned = func(from, to int) bool { return from < 4 != (to < 4) }
	w.reachable = func(index int) bool { return index < 4 }
	w.run(10 * time.Second)
	w.publish(Row{ID: "forms-3", Draining: true, Body: []byte("drains")})
	w.publish(Row{ID: "forms-4", Removed: true})
	w.run(5 * time.Second)
	if n := w.countBehind(); n != 36 {
		t.Errorf("%d agents are behind, not the 36 that are cut off", n)
	}
	w.partitioned = nil // the service is still out of reach for them
	took, ok := w.settle(20 * time.Second)
	t.Logf("all have the list %v after the partition", took)
	if !ok || took > 6*time.Second {
		t.Errorf("%d agents are behind %v after the partition", w.countBehind(), took)
	}
	w.run(15 * time.Second)
	if n := w.watchers(); n < w.set.Watchers {
		t.Errorf("%d of the 4 agents that reach the service watch it", n)
	}
}

// An agent that reaches no other agent, or is the only one, calls the service itself.
func TestIsolatedAgentCallsService(t *testing.T) {
	w := newSettledWorld(t, 20, 10, 1)
	w.partitioned = func(from, to int) bool { return from == 7 || to == 7 }
	w.run(3 * time.Second)
	w.publish(Row{ID: "forms-3", Removed: true})
	w.run(12 * time.Second)
	if !w.nodes[7].upToDate() || !w.nodes[7].node.Watching() {
		t.Errorf("cut off from all other agents: %s", w.nodes[7].describe())
	}
	if one := newSettledWorld(t, 1, 10, 1); !one.nodes[0].node.Watching() {
		t.Error("the only agent does not watch")
	}
}

// A watcher that is stopped for long is replaced, and has the current list soon after it continues.
func TestStoppedWatcherIsReplaced(t *testing.T) {
	w := newSettledWorld(t, 20, 10, 1)
	var first *host
	for _, h := range w.nodes {
		if h.node.Watching() {
			first = h
		}
	}
	first.alive = false // its timers and events are lost, which is worse than late
	w.publish(Row{ID: "forms-3", Draining: true, Body: []byte("drains")})
	w.run(20 * time.Second)
	if n := w.countBehind(); n > 0 {
		t.Errorf("%d agents are behind", n)
	}
	w.publish(Row{ID: "forms-4", Removed: true})
	first.alive = true
	first.do(first.node.Tick(w.now))
	if took, ok := w.settle(3 * time.Second); !ok {
		t.Errorf("the stopped agent is behind after %v: %s", took, first.describe())
	}
}

// The service restarts its count of versions: lists from before the restart do not win against those after it.
func TestServiceRestartsVersions(t *testing.T) {
	w := newSettledWorld(t, 20, 10, 1)
	w.down = true
	w.run(time.Second)
	w.version, w.log, w.changedAt, w.rows = 0, nil, nil, map[string]Row{}
	for i := range 5 {
		w.publish(Row{ID: fmt.Sprint("new-", i), Body: []byte("in service")})
	}
	w.down = false
	took, ok := w.settle(30 * time.Second)
	t.Logf("all have the new list after %v", took)
	if !ok {
		t.Errorf("%d agents are behind: %s", w.countBehind(), w.nodes[0].describe())
	}
	if gen, _ := w.nodes[3].node.Version(); gen < 2 {
		t.Errorf("generation %d", gen)
	}
}

// A list from another agent that removes more than half of the servers is not accepted until the service confirms it.
func TestMassRemovalNeedsConfirmation(t *testing.T) {
	w := newSettledWorld(t, 3, 10, 1)
	victim := w.nodes[0]
	gen, version := victim.node.Version()
	forged := Datagram{From: peerstate.Heartbeat{Index: 1, Epoch: 1 << 50}, Gen: gen + 1, At: Cursor{version + 1, lastID},
		Chunk: &Chunk{Gen: gen + 1, Upto: Cursor{version + 1, lastID}, Head: version + 1, Rows: []Row{{ID: "forms-1", Version: version + 1, Body: []byte("forged")}}}}
	victim.do(victim.node.Receive(w.now, &forged))
	if len(victim.known) != 10 {
		t.Errorf("%d servers are left", len(victim.known))
	}
	w.run(8 * time.Second)
	if !victim.upToDate() || !victim.node.Watching() && victim.node.Staleness(w.now) > w.set.StaleAfter {
		t.Errorf("the agent has not called the service: %s", victim.describe())
	}
	// An older list, and one of the same version, bring nothing back.
	w.publish(Row{ID: "forms-1", Draining: true, Body: []byte("drains")})
	w.settle(5 * time.Second)
	old := Datagram{From: peerstate.Heartbeat{Index: 2}, Gen: gen, At: Cursor{version, lastID},
		Chunk: &Chunk{Gen: gen, After: Cursor{version - 1, lastID}, Upto: Cursor{version, lastID}, Head: version,
			Rows: []Row{{ID: "forms-1", Version: version, Body: []byte("127.0.0.1:1 in service")}}}}
	victim.do(victim.node.Receive(w.now, &old))
	if !victim.known["forms-1"].Draining {
		t.Error("an older list has revived a server")
	}
}

// A drain is delivered before the list that contains it is complete.
func TestDrainIsDeliveredBeforeListIsComplete(t *testing.T) {
	w := newSettledWorld(t, 2, 10, 1)
	h := w.nodes[0]
	gen, version := h.node.Version()
	actions := h.node.Receive(w.now, &Datagram{From: peerstate.Heartbeat{Index: 1, Epoch: 1 << 50}, Gen: gen, At: Cursor{version + 9, lastID},
		Chunk: &Chunk{Gen: gen, After: Cursor{version, lastID}, Upto: Cursor{version + 2, "forms-5"}, Head: version + 9,
			Rows: []Row{{ID: "forms-5", Version: version + 2, Draining: true, Body: []byte("drains")}}}})
	h.do(actions)
	if !h.known["forms-5"].Draining {
		t.Errorf("%+v", actions)
	}
	if _, v := h.node.Version(); v != version {
		t.Errorf("version %d, as if the list were complete", v)
	}
	// The rest never arrives, and the service has put the server back: that is delivered though the list is as it was.
	body := h.w.rows["forms-5"].Body
	h.do(h.node.Receive(w.now, &Datagram{From: peerstate.Heartbeat{Index: 1, Epoch: 1<<50 + 1}, Gen: gen, At: Cursor{version + 20, lastID},
		Chunk: &Chunk{Gen: gen, Order: 7, After: Cursor{version, lastID}, Upto: Cursor{version + 20, lastID}, Head: version + 20,
			Rows: []Row{{ID: "forms-5", Version: version + 20, Body: body}}}}))
	if h.known["forms-5"].Draining {
		t.Error("the server remains draining")
	}
}

// A datagram is decoded as it was encoded; contents that no agent sends are an error.
func TestDatagram(t *testing.T) {
	d := Datagram{From: peerstate.Heartbeat{Index: 3, Epoch: 1 << 41, Seq: 7, Flags: peerstate.Watching}, Gen: 1, At: Cursor{41, lastID}, Age: 1230 * time.Millisecond, Request: true,
		Others: []peerstate.Heartbeat{{Index: 4, Epoch: 5, Age: 20 * time.Millisecond}},
		Chunk:  &Chunk{Gen: 1, Order: 9, After: Cursor{40, lastID}, Upto: Cursor{41, lastID}, Head: 41, Rows: []Row{{ID: "a", Version: 41, Draining: true, Body: []byte("x")}}}}
	got, err := Decode(d.Encode())
	if err != nil || !reflect.DeepEqual(got, &d) {
		t.Errorf("%+v %+v, %v", got, got.Chunk, err)
	}
	for name, corrupt := range map[string]func(*Datagram){
		"a row after its chunk":  func(d *Datagram) { d.Chunk.Rows[0].Version = 42 },
		"a row before its chunk": func(d *Datagram) { d.Chunk.Rows[0].Version = 40 },
		"backwards":              func(d *Datagram) { d.Chunk.After.Version = 50 },
		"beyond its head":        func(d *Datagram) { d.Chunk.Head = 7 },
		"a negative version":     func(d *Datagram) { d.At.Version = -1 },
		"a high index":           func(d *Datagram) { d.From.Index = 1 << 30 },
		"too many heartbeats":    func(d *Datagram) { d.Others = make([]peerstate.Heartbeat, maxOthers+1) },
		"too large":              func(d *Datagram) { d.Chunk.Rows[0].Body = make([]byte, MaxDatagramBytes) },
	} {
		bad, _ := Decode(d.Encode())
		corrupt(bad)
		if _, err := Decode(bad.Encode()); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	for n := range d.Encode() {
		if _, err := Decode(d.Encode()[:n]); err == nil {
			t.Errorf("the first %d bytes: no error", n)
		}
	}
}

// For any input no more than the bounds is kept, and what is decoded can be encoded again.
func FuzzDecode(f *testing.F) {
	f.Add((&Datagram{Gen: 1, At: Cursor{2, "x"}, Chunk: &Chunk{Gen: 1, Upto: Cursor{2, "x"}, Head: 2, Rows: []Row{{ID: "a", Version: 1}}}}).Encode())
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := Decode(data)
		if err != nil {
			return
		}
		if _, err := Decode(d.Encode()); err != nil && len(d.Encode()) <= MaxDatagramBytes {
			t.Errorf("decoding the encoded datagram: %v", err)
		}
		c := peerstate.New(peerstate.Settings{Agents: 4, Me: 0, Epoch: 1}, 1)
		n := New(Defaults, c, pacing.New(pacing.Settings{Shared: true, Agents: 4}, 1), 0, nil, 1)
		n.Start(time.Hour)
		n.Receive(time.Hour+time.Second, d)
		n.Tick(time.Hour + 2*time.Second)
	})
}
