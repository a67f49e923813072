// Package gossip decides how the list of servers spreads among agents. A few agents, chosen without a leader, hold
// watches on the discovery service; the others receive the list from them and from one another. Each agent periodically
// sends a digest, which is a datagram without rows, to a random other agent, and sends chunks of the list as soon as
// something changes. An agent that knows of no other agent with a fresher list calls the service itself. The package
// does no I/O and reads no clock.
// docs/design/cold-start.md derives the figures.
package gossip

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ternbeam/internal/decide/pacing"
	"ternbeam/internal/decide/peerstate"
)

// Settings configure a Node, apart from its index.
type Settings struct {
	DatagramBytes  int           // maximum size of a datagram in bytes
	DigestInterval time.Duration // mean time between two digests
	Fanout         int           // number of agents that are notified of a change at once
	Watchers       int           // number of agents that are to watch the service
	WatcherDelay   time.Duration // until further agents try to become watchers; each such delay doubles their number
	StaleAfter     time.Duration // an agent whose list was not confirmed for this long calls the service itself
	SurplusDelay   time.Duration // how long there must be too many watchers before one ends its watch
}

// Defaults are the settings where an installation configures none.
var Defaults = Settings{DatagramBytes: MinDatagramBytes, DigestInterval: 400 * time.Millisecond, Fanout: 3, Watchers: 3, WatcherDelay: 1500 * time.Millisecond,
	StaleAfter: 5 * time.Second, SurplusDelay: 5 * time.Second}

const (
	// watcherTimeout is the age at which the heartbeat of a watcher expires. Every datagram carries heartbeats of
	// watchers first.
	watcherTimeout = 4 * time.Second
	// agentTimeout is the age at which the heartbeat of any agent expires: in large fleets a heartbeat takes long to
	// reach all.
	agentTimeout = 30 * time.Second
	// callsPerSecond bounds the calls that all agents together make to a service that does not answer, once all have
	// tried.
	callsPerSecond = 10
	// burstChunks is how many chunks are sent at a time.
	burstChunks = 32
	// maxStash is how many chunks that arrive out of order are kept.
	maxStash = 64
	// chunksPerSecond bounds the chunks that an agent sends, apart from bursts of half a second's chunks.
	chunksPerSecond = 600
	// firstListTimeout is the time from the start of the response to a watch request within which the first list arrives,
	// if anything has changed.
	firstListTimeout = 100 * time.Millisecond
	// resendGap is the time between two requests for a chunk that was lost.
	resendGap = 200 * time.Millisecond
	// stallTimeout is how long a transfer may make no progress before its rest is requested again.
	stallTimeout = 400 * time.Millisecond
	// transferTimeout is how long a transfer may make no progress before one from another agent may replace it.
	transferTimeout = time.Second
	// requestInterval is the time between two requests of an agent that is behind.
	requestInterval = 100 * time.Millisecond
	// confirmTimeout is how long a list from other agents that removes more than half of the servers waits for
	// confirmation by the service.
	confirmTimeout = 30 * time.Second
)

// ActionKind is what an Action does.
type ActionKind int

// The kinds of actions.
const (
	Send    ActionKind = iota // send Datagram to the agent To
	Watch                     // open a watch on the service, from version Version
	Unwatch                   // close the watch
	Deliver                   // deliver Rows, which have changed; if Full they are the whole list
)

// Action is something that the host has to do for a Node. Actions are carried out in order.
type Action struct {
	Kind     ActionKind
	To       int // index of the agent
	Datagram *Datagram
	Version  int64
	Full     bool
	Rows     []Row
}

// Node decides what one agent sends to others and when it watches the service. It is not safe for concurrent use.
type Node struct {
	settings  Settings
	peers     *peerstate.Table
	scheduler *pacing.Scheduler
	rng       *rand.Rand
	ranks     []int // by index: agents of lower rank watch first
	now       time.Duration
	actions   []Action

	bestWatchers   []int           // the known watchers of lowest rank
	list           *versionedList  // the latest complete list; empty and of generation 0 before there is one
	restored       []Row           // the list known at the start, until the service has confirmed it
	version        int64           // version of restored
	freshAt        time.Duration   // when the list was last known to be that of the service
	transfer       *transfer       // nil if none is in progress
	deliveredEarly map[string]bool // servers whose drain or removal was delivered before the list was complete
	requestedAt    time.Duration   // when the list was last requested
	tokens         float64         // chunks that may be sent now
	refilledAt     time.Duration   // when tokens was last refilled

	watch         watchState
	answeredAt    time.Duration // when the service accepted the watch
	confirmed     bool          // the service has confirmed the list
	seenVersion   int64         // version of the latest list of the watch
	shortageSince time.Duration // since when there are too few watchers; 0 if there are enough
	surplusSince  time.Duration // since when there are too many watchers; 0 if there are not
	callAt        time.Duration // when to call the service; 0 for never
	callEnded     bool          // a call has ended, and since then none was made and none became unnecessary
	retryAfter    time.Duration // earliest time of the next call
	retryAt       time.Duration // time of the next call; 0 if not determined yet
	slotAt        time.Duration // this agent's time slot, determined when its list became stale; 0 while it is not

	nextDigest   time.Duration // when the next digest is due
	suspectSince time.Duration // since when a list waits for confirmation by the service; 0 if none does
}

// watchState is the state of this agent's watch on the service.
type watchState int

const (
	watchNone    watchState = iota
	watchPending            // the service was called
	watchOpen               // the service has answered
)

// transfer is a list, or the changes of one, that is being received from another agent.
type transfer struct {
	from        int    // index of the agent
	gen         uint64 // generation of the sender's list
	order       uint16 // the sender's order of rows
	full        bool   // it is a whole list, not only changes
	cursor      Cursor // complete up to here
	head        int64  // version of the sender's list
	rows        []Row
	stash       []*Chunk      // chunks that arrived out of order
	lastChunkAt time.Duration // when the latest chunk arrived
	requestedAt time.Duration // when the rest was last requested, or the start
}

// New returns a Node. The restored list of the given version is not passed on before the service has confirmed it.
func New(settings Settings, peers *peerstate.Table, scheduler *pacing.Scheduler, version int64, restored []Row, seed uint64) *Node {
	n := &Node{settings: settings, peers: peers, scheduler: scheduler, rng: rand.New(rand.NewPCG(seed, 11)),
		list: newVersionedList(0, 0), version: max(0, version), restored: restored, deliveredEarly: map[string]bool{}}
	n.ranks = make([]int, peers.Agents())
	byRank := make([]int, peers.Agents())
	for p := range byRank {
		byRank[p] = p
	}
	slices.SortFunc(byRank, func(a, b int) int { return cmp.Or(cmp.Compare(rankHash(a), rankHash(b)), a-b) })
	for rank, p := range byRank {
		n.ranks[p] = rank
	}
	return n
}

// rankHash returns a number that is the same at every agent, so that agents of neighboring indexes, which may share a
// machine or a zone, are not neighbors by rank. The constants are those of SplitMix64.
func rankHash(index int) uint64 {
	x := uint64(index+1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

func (n *Node) advance(now time.Duration) {
	n.now, n.actions = max(now, n.now), nil
	n.tokens = min(chunksPerSecond/2, n.tokens+chunksPerSecond*(n.now-n.refilledAt).Seconds())
	n.refilledAt = n.now
}

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// Start returns the first actions. The first digest is sent within a quarter of the usual interval.
func (n *Node) Start(now time.Duration) []Action {
	n.advance(now)
	n.freshAt = n.now // counts as fresh, to wait for other agents before calling the service
	n.nextDigest = n.now + time.Duration(n.rng.Float64()*float64(n.settings.DigestInterval))/4
	n.updateWatch()
	return n.actions
}

// Leave notifies some other agents that this one shuts down.
func (n *Node) Leave(now time.Duration) []Action {
	n.advance(now)
	n.peers.SetFlags(peerstate.Leaving, true)
	n.peers.SetFlags(peerstate.Watching, false)
	n.gossip()
	return n.actions
}

// NextTick returns when Tick has to be called at the latest.
func (n *Node) NextTick() time.Duration {
	next := n.nextDigest
	if n.callAt > 0 && n.watch == watchNone {
		next = min(next, n.callAt)
	}
	if n.transfer != nil {
		next = min(next, n.transfer.retryAt())
	}
	return next
}

// Tick advances the time. The time to the next digest varies by a quarter of DigestInterval.
func (n *Node) Tick(now time.Duration) []Action {
	n.advance(now)
	if n.now >= n.nextDigest {
		n.nextDigest = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(n.settings.DigestInterval))
		if to, ok := n.pickPeer(); ok {
			n.sendDigest(to, false)
		}
	}
	if t := n.transfer; t != nil && n.now >= t.retryAt() {
		t.requestedAt = n.now
		n.sendDigest(t.from, true)
	}
	n.updateWatch()
	return n.actions
}

// Staleness returns how long ago the list is known to have been that of the service.
func (n *Node) Staleness(now time.Duration) time.Duration { return now - n.freshAt }

// Watching reports whether this agent holds a watch.
func (n *Node) Watching() bool { return n.watch == watchOpen }

// Version returns the generation of the list, which grows when the service restarts its count of versions, and the
// version in it.
func (n *Node) Version() (gen uint64, version int64) { return n.list.gen, n.list.head }

// Rows returns the servers of the list.
func (n *Node) Rows() []Row { return n.list.live() }

// pickPeer draws a random agent to send to: one that is known to be alive, or once in eight times any, so that agents that
// lost contact find one another again. It tries eight times; the last draw is taken whoever it is.
func (n *Node) pickPeer() (index int, ok bool) {
	if n.peers.Agents() < 2 {
		return 0, false
	}
	for try := range 8 {
		p := n.rng.IntN(n.peers.Agents())
		if p != n.peers.Me() && (try == 7 || n.rng.IntN(8) == 0 || n.peers.Alive(n.now, p, agentTimeout)) {
			return p, true
		}
	}
	return (n.peers.Me() + 1) % n.peers.Agents(), true
}

// gossip sends the state of this agent to some others at once.
func (n *Node) gossip() {
	for range n.settings.Fanout {
		if to, ok := n.pickPeer(); ok {
			n.sendDigest(to, false)
		}
	}
}

// newDatagram returns a datagram without a chunk. Its cursor is the one up to which this agent is complete; the sender
// of a transfer gets the cursor of that transfer instead.
func (n *Node) newDatagram(to int, request bool) *Datagram {
	d := &Datagram{From: n.peers.NextHeartbeat(), Gen: n.list.gen, At: n.list.end(), Age: n.now - n.freshAt, Request: request}
	if n.list.gen == 0 {
		d.At = Cursor{}
	}
	if t := n.transfer; t != nil {
		if d.Busy = t.from != to; !d.Busy {
			d.Gen, d.At, d.Order = t.gen, t.cursor, t.order
		}
	}
	return d
}

// sendDigest sends a datagram with as many heartbeats of others as fit.
func (n *Node) sendDigest(to int, request bool) {
	d := n.newDatagram(to, request)
	room := n.settings.DatagramBytes - len(d.Encode()) - 2 // for the longer head of the array of heartbeats
	d.Others = n.peers.Sample(n.now, max(0, min(room/maxHeartbeatBytes, maxOthers)), n.bestWatchers, agentTimeout)
	n.emit(Action{Kind: Send, To: to, Datagram: d})
}

// sendChunks sends at most the given number of chunks from a cursor on.
func (n *Node) sendChunks(to int, after Cursor, limit int) {
	for range limit {
		if after.compare(n.list.end()) >= 0 || n.tokens < 1 {
			return
		}
		d := n.newDatagram(to, false)
		if d.Chunk = n.list.chunk(after, n.settings.DatagramBytes-len(d.Encode())); d.Chunk == nil {
			return // a row too large for any datagram: an agent that lacks it calls the service
		}
		n.tokens--
		n.emit(Action{Kind: Send, To: to, Datagram: d})
		after = d.Chunk.Upto
	}
}

// Receive processes a datagram. The host checks that it comes from the address of the agent that it names.
func (n *Node) Receive(now time.Duration, d *Datagram) []Action {
	n.advance(now)
	if d.From.Index == n.peers.Me() {
		return nil
	}
	n.peers.Receive(n.now, d.From)
	for _, h := range d.Others {
		n.peers.Receive(n.now, h)
	}
	if d.Chunk != nil {
		n.receiveChunk(d.From.Index, d.Chunk)
	}
	n.reconcile(d)
	n.updateWatch()
	return n.actions
}

// reconcile determines which of the two agents is behind, and sends or requests what that one lacks.
func (n *Node) reconcile(d *Datagram) {
	if d.Gen == 0 && n.list.gen == 0 {
		return
	}
	complete := d.At.ID == lastID
	switch {
	case d.Gen == n.list.gen && complete && d.At.Version == n.list.head:
		if n.freshAt = max(n.freshAt, n.now-d.Age); d.Age > n.now-n.freshAt+2*n.settings.DigestInterval {
			n.sendDigest(d.From.Index, false) // the sender only lacks the information that nothing has changed
		}
	case d.Gen > n.list.gen || d.Gen == n.list.gen && complete && d.At.Version > n.list.head:
		if complete && n.transfer == nil && n.now-n.requestedAt >= requestInterval {
			n.requestedAt = n.now
			n.sendDigest(d.From.Index, true)
		}
	case d.Busy || d.Chunk != nil && !d.Request: // the sender receives its list from another agent, or is sending one itself
	default:
		after := Cursor{}
		if d.Gen == n.list.gen && n.list.covers(d.At) && (complete || d.Order == n.list.order) {
			after = d.At
		}
		n.sendChunks(d.From.Index, after, burstChunks)
	}
}

// receiveChunk processes a part of a list.
func (n *Node) receiveChunk(from int, c *Chunk) {
	if c.Gen < n.list.gen || c.Gen == n.list.gen && c.Head <= n.list.head {
		return
	}
	t := n.transfer
	if c.Gen == n.list.gen && c.After.ID == lastID && c.After.compare(n.list.end()) <= 0 && c.Upto == (Cursor{c.Head, lastID}) {
		// The chunk alone completes the list, whatever transfer is in progress.
		single := &transfer{gen: c.Gen, cursor: c.After}
		single.add(c)
		if t != nil && t.gen == c.Gen && t.head <= c.Head {
			n.transfer = nil
		}
		n.applyTransfer(single)
		return
	}
	if t == nil || t.gen < c.Gen || t.from == from && t.order != c.Order || t.from != from && n.now-t.lastChunkAt > transferTimeout {
		full := c.After == Cursor{}
		if !full && (c.Gen != n.list.gen || c.After.ID != lastID || c.After.compare(n.list.end()) > 0) {
			if t != nil && t.from == from {
				n.transfer = nil // the sender has another order of rows now
			}
			return
		}
		t = &transfer{from: from, gen: c.Gen, order: c.Order, full: full, cursor: c.After, requestedAt: n.now}
		n.transfer = t
	}
	if t.from != from || t.gen != c.Gen {
		return
	}
	if t.lastChunkAt = n.now; !t.add(c) {
		return
	}
	for progressed := true; progressed; {
		progressed = false
		t.stash = slices.DeleteFunc(t.stash, func(c *Chunk) bool {
			if c.After.compare(t.cursor) > 0 {
				return false
			}
			progressed = t.add(c) || progressed
			return true
		})
	}
	n.deliverEarly(t)
	if t.cursor == (Cursor{t.head, lastID}) {
		n.transfer = nil
		n.applyTransfer(t)
	}
}

// retryAt returns when to request the rest again: soon where a later chunk shows that one was lost.
func (t *transfer) retryAt() time.Duration {
	if len(t.stash) > 0 {
		return t.requestedAt + resendGap
	}
	return max(t.lastChunkAt, t.requestedAt) + stallTimeout
}

// add adds a chunk that continues the transfer, and keeps one that is out of order in the stash. It reports whether the
// transfer has made progress.
func (t *transfer) add(c *Chunk) bool {
	switch {
	case c.Upto.compare(t.cursor) <= 0:
		return false
	case c.After.compare(t.cursor) > 0:
		if len(t.stash) < maxStash {
			t.stash = append(t.stash, c)
		}
		return false
	}
	for _, r := range c.Rows {
		if r.cursor().compare(t.cursor) > 0 && len(t.rows) < maxListRows {
			t.rows = append(t.rows, r)
		}
	}
	t.cursor, t.head = c.Upto, c.Head
	return true
}

// maxListRows bounds the rows of a list: listcheck.MaxServers servers, and the tombstones.
const maxListRows = 50_000 + maxTombstones

// deliverEarly delivers drains and removals before the transfer is complete: no server in them is needed any more, so they
// need not wait for the rest.
func (n *Node) deliverEarly(t *transfer) {
	if t.gen != n.list.gen {
		return
	}
	var rows []Row
	for _, r := range t.rows {
		if old := n.list.rows[r.ID]; (r.Draining || r.Removed) && old != nil && !old.Removed && !old.Draining &&
			old.Version < r.Version && !n.deliveredEarly[r.ID] {
			n.deliveredEarly[r.ID] = true // always a server of the list, which bounds the map
			rows = append(rows, r)
		}
	}
	if len(rows) > 0 {
		n.emit(Action{Kind: Deliver, Rows: rows})
	}
}

// applyTransfer applies a transfer that is complete.
func (n *Node) applyTransfer(t *transfer) {
	previous := n.list.head
	if !t.full {
		var changed []Row
		for _, r := range t.rows {
			if n.put(r) {
				changed = append(changed, r)
			}
		}
		n.list.head = max(n.list.head, t.head)
		n.announce(previous, changed, false)
		return
	}
	list := newVersionedList(t.gen, uint16(n.rng.Uint32()))
	for _, r := range t.rows {
		list.put(r)
	}
	list.head, list.floor = t.head, t.head // earlier removals are not contained
	if n.suspicious(list) {
		return
	}
	n.suspectSince = 0
	n.list, n.deliveredEarly = list, map[string]bool{}
	n.announce(0, list.live(), true)
}

// put stores a row in the list. It reports whether the row has to be delivered: also if it equals the previous row of the
// server, but another one was delivered early from a transfer that never completed.
func (n *Node) put(r Row) bool {
	changed := n.list.put(r) || n.deliveredEarly[r.ID]
	delete(n.deliveredEarly, r.ID)
	return changed
}

// suspicious reports whether a list from other agents removes more than half of the servers, so that it has to wait for
// confirmation by the service, up to confirmTimeout.
func (n *Node) suspicious(next *versionedList) bool {
	had, lost := 0, 0
	for id, r := range n.list.rows {
		if r.Removed || r.Draining {
			continue
		}
		had++
		if f := next.rows[id]; f == nil || f.Removed {
			lost++
		}
	}
	if 2*lost <= had {
		return false
	}
	if n.suspectSince == 0 {
		n.suspectSince = n.now
	}
	return n.now-n.suspectSince < confirmTimeout
}

// announce delivers changes to the module and notifies some other agents: by the changes since the previous version, as far
// as they fit into two chunks, or by a digest if there is none. The agents request the rest.
func (n *Node) announce(previous int64, changed []Row, full bool) {
	if full || len(changed) > 0 {
		n.emit(Action{Kind: Deliver, Full: full, Rows: changed})
	}
	for range n.settings.Fanout {
		to, ok := n.pickPeer()
		if !ok {
			return
		}
		if previous > 0 && n.list.covers(Cursor{previous, lastID}) {
			n.sendChunks(to, Cursor{previous, lastID}, 2)
		} else {
			n.sendDigest(to, false)
		}
	}
}

// WatchAnswered records that the service has accepted the call: the watch continues from the version with which it was
// opened.
func (n *Node) WatchAnswered(now time.Duration) []Action {
	n.advance(now)
	n.scheduler.ResponseStarted(n.now)
	n.watch, n.answeredAt, n.confirmed = watchOpen, n.now, false
	n.peers.SetFlags(peerstate.Watching, true)
	n.gossip()
	n.updateWatch()
	return n.actions
}

// WatchAlive records that something was received on the watch. If anything has changed, the first list of a watch comes
// with the response: if something is received later and there was no list, nothing has changed.
func (n *Node) WatchAlive(now time.Duration) []Action {
	n.advance(now)
	if n.watch == watchOpen && !n.confirmed && n.now-n.answeredAt > firstListTimeout {
		if n.list.gen == 0 && n.seenVersion == n.version && n.version > 0 {
			n.resetList(1, n.restored)
			n.announce(0, nil, false)
		}
		n.confirm()
	}
	if n.confirmed {
		n.freshAt = n.now
	}
	return n.actions
}

// confirm records that the service has confirmed the list.
func (n *Node) confirm() {
	n.confirmed, n.suspectSince, n.freshAt = true, 0, n.now
	n.scheduler.ListReceived()
}

// resetList starts a new generation of the list from rows.
func (n *Node) resetList(gen uint64, rows []Row) {
	n.list, n.transfer, n.restored = newVersionedList(gen, uint16(n.rng.Uint32())), nil, nil
	for _, r := range rows {
		r.Version = n.version
		n.list.put(r)
	}
	n.list.head, n.list.floor = n.version, n.version
}

// ListReceived processes a list of the watch that was accepted, or changes of it.
func (n *Node) ListReceived(now time.Duration, version int64, full bool, rows []Row) []Action {
	n.advance(now)
	restarted := version < n.seenVersion // as the list was accepted, the service has restarted its count of versions
	n.seenVersion = version
	if n.list.gen == 0 || restarted {
		var base []Row
		if !restarted && !full {
			base = n.restored
		}
		n.resetList(n.list.gen+1, base)
		n.list.head = 0 // nothing of it was announced yet
	}
	previous, listed, changed := n.list.head, map[string]bool{}, []Row(nil)
	for _, r := range rows {
		listed[r.ID] = true
		old := n.list.rows[r.ID]
		r.Version = version
		if full && old != nil && old.Version > version {
			continue // another agent has sent a later version already
		}
		if full && old != nil && !old.Removed && !r.Removed && string(old.Body) == string(r.Body) && !n.deliveredEarly[r.ID] {
			continue
		}
		if n.put(r) {
			changed = append(changed, r)
		}
	}
	if full {
		for _, r := range n.list.live() {
			if !listed[r.ID] && r.Version <= version {
				removed := Row{ID: r.ID, Version: version, Removed: true}
				n.put(removed)
				changed = append(changed, removed)
			}
		}
	}
	n.list.head = max(n.list.head, version)
	n.confirm()
	if previous == 0 {
		n.list.floor = version
		changed = n.list.live()
	}
	n.announce(previous, changed, previous == 0)
	return n.actions
}

// WatchUnreachable records that no connection to the service could be established for the call. WatchEnded follows.
func (n *Node) WatchUnreachable(now time.Duration) []Action {
	n.advance(now)
	n.scheduler.CallUnreachable()
	return n.actions
}

// WatchEnded records that the watch, or the call for one, has ended, and that nothing was received for the time silent
// before that.
func (n *Node) WatchEnded(now, silent time.Duration) []Action {
	n.advance(now)
	held := n.watch == watchOpen
	n.watch = watchNone
	n.retryAfter, n.retryAt, n.callEnded = n.scheduler.CallEnded(n.now, silent), 0, true
	n.peers.SetFlags(peerstate.Watching, false)
	if held {
		n.gossip()
	}
	n.updateWatch()
	return n.actions
}

// updateWatch decides whether this agent should open or close a watch.
func (n *Node) updateWatch() {
	watchers := n.peers.WithFlags(n.now, peerstate.Watching, watcherTimeout)
	slices.SortFunc(watchers, func(a, b int) int { return n.ranks[a] - n.ranks[b] })
	n.bestWatchers = watchers[:min(n.settings.Watchers, len(watchers))]
	ownRank, better := n.ranks[n.peers.Me()], 0
	for better < len(watchers) && n.ranks[watchers[better]] < ownRank {
		better++
	}
	if n.watch == watchOpen {
		n.shortageSince = 0
		if better < n.settings.Watchers {
			n.surplusSince = 0
		} else if n.surplusSince == 0 {
			n.surplusSince = n.now
		} else if n.now-n.surplusSince > n.settings.SurplusDelay {
			n.surplusSince, n.watch = 0, watchNone
			n.peers.SetFlags(peerstate.Watching, false)
			n.emit(Action{Kind: Unwatch})
			n.gossip()
		}
		return
	}
	n.surplusSince = 0
	// A list that is being received is waited for, but not for longer than three times StaleAfter.
	receiving := n.transfer != nil && n.now-n.transfer.lastChunkAt < transferTimeout && n.now-n.freshAt < 3*n.settings.StaleAfter
	stale := n.now-n.freshAt > n.settings.StaleAfter && !receiving || n.suspectSince > 0
	if !stale && len(watchers) >= n.settings.Watchers {
		n.shortageSince, n.callAt, n.retryAt, n.slotAt, n.callEnded = 0, 0, 0, 0, false
		return
	}
	if n.shortageSince == 0 {
		n.shortageSince = n.now
	}
	// Agents of lower rank go first, then twice as many in each further WatcherDelay. Those that are leaving, or sent no
	// heartbeat for twice watcherTimeout, are not waited for; those of which nothing is known are. An agent whose list is
	// stale also has a time slot of its own.
	before, alive := 0, 0
	for p, rank := range n.ranks {
		peer, known := n.peers.Get(p)
		age := n.now - peer.SentAt
		if rank < ownRank && (!known || peer.Flags&peerstate.Leaving == 0 && age <= 2*watcherTimeout) {
			before++
		}
		if known && age <= agentTimeout {
			alive++
		}
	}
	if n.callAt = n.shortageSince; before >= n.settings.Watchers {
		n.callAt += time.Duration(float64(n.settings.WatcherDelay) * math.Log2(float64(before)/float64(n.settings.Watchers)+1))
	}
	// Agents that are in contact with each other need not all call: one response reaches them all.
	period := time.Duration(alive) * time.Second / callsPerSecond
	if !stale {
		n.slotAt = 0
	} else {
		if n.slotAt == 0 {
			n.slotAt = n.scheduler.NextSlot(n.now, period)
		}
		n.callAt = min(n.callAt, n.slotAt)
	}
	if n.callEnded { // this agent has called before
		if n.retryAt == 0 {
			n.retryAt = max(n.retryAfter, n.scheduler.NextSlot(n.now, period))
		}
		n.callAt = n.retryAt
	}
	if n.watch != watchNone || n.now < n.callAt {
		return
	}
	n.callAt, n.retryAt, n.slotAt, n.callEnded, n.watch = 0, 0, 0, false, watchPending
	n.scheduler.CallStarted(n.now)
	n.seenVersion = n.version
	if n.list.gen > 0 {
		n.seenVersion = n.list.head
	}
	n.emit(Action{Kind: Watch, Version: n.seenVersion})
}
