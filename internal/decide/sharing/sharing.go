// Package sharing decides how lists of servers pass from agent to agent. A few agents watch the list service, chosen without a
// leader; the others have the list from them and from one another, by digests to agents drawn at random and by what they say
// of changes at once. Who hears of nobody that knows better asks the service itself. It does no I/O and reads no clock.
// docs/design/cold-start.md derives the figures.
package sharing

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/company"
)

// Settings are what a Node is made of, beside its place.
type Settings struct {
	Size     int           // bytes of a datagram
	Round    time.Duration // between two digests
	Fanout   int           // agents that are told of a change at once
	Watchers int           // that watch the service
	Batch    time.Duration // until more of them try, twice as many each time
	Stale    time.Duration // an agent that does not know its list to be so fresh asks itself
	Calm     time.Duration // for which there must have been too many watchers before one ends
}

// Defaults are the settings of an installation that says nothing else.
var Defaults = Settings{Size: LeastSize, Round: 400 * time.Millisecond, Fanout: 3, Watchers: 3, Batch: 1500 * time.Millisecond,
	Stale: 5 * time.Second, Calm: 5 * time.Second}

const (
	// heardOf is how late word of a watcher may be. Every datagram has words of watchers first.
	heardOf = 4 * time.Second
	// gone is how late word of anybody may be: in large fleets it takes long to come round.
	gone = 30 * time.Second
	// askRate is how many calls a second all together make to a service that answers nobody, once all have tried.
	askRate = 10
	// burst is how many chunks go out at a time, and stashed how many that come too early are kept.
	burst   = 32
	stashed = 64
	// mostSent is how many chunks an agent sends in a second.
	mostSent = 600
	// firstList is how long after the answer the first list of a watch comes, if anything has changed.
	firstList = 100 * time.Millisecond
	// gap is how often a part is asked for again that was lost, idle how long a transfer may stand still before it is, and stuck
	// before another agent may begin one.
	gap   = 200 * time.Millisecond
	idle  = 400 * time.Millisecond
	stuck = time.Second
	// wantEvery is how often an agent that is behind asks.
	wantEvery = 100 * time.Millisecond
	// doubt is how long a list from others that takes away more than half of the servers waits for the service's own word.
	doubt = 30 * time.Second
)

// ActionKind names what an Action does.
type ActionKind int

// The kinds of actions.
const (
	Send    ActionKind = iota // Datagram to the agent at To
	Watch                     // a watch on the service is to begin, from version Version
	Unwatch                   // it is to end
	Deliver                   // Rows are news; all that there is where Full
)

// Action is something that a Node wants done. Actions take effect in order.
type Action struct {
	Kind     ActionKind
	To       int
	Datagram *Datagram
	Version  int64
	Full     bool
	Rows     []Row
}

// Node decides for one agent.
type Node struct {
	set     Settings
	company *company.Company
	asker   *asking.Asker
	rng     *rand.Rand
	ranks   []int // by place: who watches before whom
	now     time.Duration
	actions []Action

	best     []int // the watchers of best rank, of those that are known
	sheet    *sheet
	restored []Row // the list that was there at the start, until the service has said that it holds
	version  int64 // its version
	fresh    time.Duration
	transfer *transfer
	heeded   map[string]bool // servers of which the module was told before the list was complete that they want nothing new
	wanted   time.Duration   // when it was last asked for
	tokens   float64         // chunks that may be sent
	refilled time.Duration

	watch     watch
	answered  time.Duration // when it was
	confirmed bool          // the service has said how the list is
	seen      int64         // the version of the latest list of the watch
	lack      time.Duration // since when there are too few watchers; 0 for not
	surplus   time.Duration // since when there are too many
	askAt     time.Duration // when the service is to be asked; 0 for not
	vain      bool          // the latest call is over
	after     time.Duration // when it may be asked again then
	again     time.Duration // when it is; 0 where that is not settled
	turn      time.Duration // the turn of this agent since it was stale; 0 where it is not

	round    time.Duration // when the next digest is due
	doubtful time.Duration // since when a list waits for the service's word; 0 for none does
}

// watch is what becomes of the watch of this agent.
type watch int

const (
	none   watch = iota
	called       // the service is asked
	holds        // it has answered
)

// transfer is a list, or what has changed in one, on its way from another agent.
type transfer struct {
	from   int
	gen    uint64
	sort   uint16
	whole  bool
	cursor Cursor
	head   int64
	rows   []Row
	stash  []*Chunk
	moved  time.Duration // when a chunk came
	asked  time.Duration
}

// New returns a Node. The list that was there at the start is not passed on before the service has said that it holds.
func New(set Settings, c *company.Company, asker *asking.Asker, version int64, restored []Row, seed uint64) *Node {
	n := &Node{set: set, company: c, asker: asker, rng: rand.New(rand.NewPCG(seed, 11)), sheet: newSheet(0, 0), version: max(0, version), restored: restored, heeded: map[string]bool{}}
	n.ranks = make([]int, c.Agents())
	places := make([]int, c.Agents())
	for p := range places {
		places[p] = p
	}
	slices.SortFunc(places, func(a, b int) int { return cmp.Or(cmp.Compare(scatter(a), scatter(b)), a-b) })
	for rank, p := range places {
		n.ranks[p] = rank
	}
	return n
}

// scatter is a number that is the same at every agent, so that neighbours by place, which may share a machine or a zone, are
// none by rank.
func scatter(place int) uint64 {
	x := uint64(place+1) * 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>31
}

func (n *Node) begin(now time.Duration) {
	n.now, n.actions = max(now, n.now), nil
	n.tokens = min(mostSent/2, n.tokens+mostSent*(n.now-n.refilled).Seconds())
	n.refilled = n.now
}

func (n *Node) act(a Action) { n.actions = append(n.actions, a) }

// Start begins.
func (n *Node) Start(now time.Duration) []Action {
	n.begin(now)
	n.fresh = n.now // by courtesy: so long others are waited for
	n.round = n.now + time.Duration(n.rng.Float64()*float64(n.set.Round))/4
	n.duty()
	return n.actions
}

// Leave tells some others that this agent ends.
func (n *Node) Leave(now time.Duration) []Action {
	n.begin(now)
	n.company.Set(company.Leaving, true)
	n.company.Set(company.Watching, false)
	n.gossip()
	return n.actions
}

// Next is when time must pass at the latest.
func (n *Node) Next() time.Duration {
	next := n.round
	if n.askAt > 0 && n.watch == none {
		next = min(next, n.askAt)
	}
	if n.transfer != nil {
		next = min(next, n.transfer.again())
	}
	return next
}

// Tick lets time pass.
func (n *Node) Tick(now time.Duration) []Action {
	n.begin(now)
	if n.now >= n.round {
		n.round = n.now + time.Duration((0.75+n.rng.Float64()/2)*float64(n.set.Round))
		if to, any := n.other(); any {
			n.digest(to, false)
		}
	}
	if t := n.transfer; t != nil && n.now >= t.again() {
		t.asked = n.now
		n.digest(t.from, true)
	}
	n.duty()
	return n.actions
}

// Staleness is how long ago the list is known to have been as the service had it.
func (n *Node) Staleness(now time.Duration) time.Duration { return now - n.fresh }

// Watching reports whether this agent holds a watch.
func (n *Node) Watching() bool { return n.watch == holds }

// Version is that of the list, in its count of versions.
func (n *Node) Version() (gen uint64, version int64) { return n.sheet.gen, n.sheet.head }

// Rows are those of the list.
func (n *Node) Rows() []Row { return n.sheet.live() }

// other draws an agent to talk to: one that is known to be there, or now and then any, so that those who lost sight of one
// another meet again.
func (n *Node) other() (place int, any bool) {
	if n.company.Agents() < 2 {
		return 0, false
	}
	for try := range 8 {
		p := n.rng.IntN(n.company.Agents())
		if p != n.company.Me() && (try == 7 || n.rng.IntN(8) == 0 || n.company.There(n.now, p, gone)) {
			return p, true
		}
	}
	return (n.company.Me() + 1) % n.company.Agents(), true
}

// gossip tells some others at once how this agent is.
func (n *Node) gossip() {
	for range n.set.Fanout {
		if to, any := n.other(); any {
			n.digest(to, false)
		}
	}
}

// datagram is one without a chunk. Its cursor is that up to which the agent is complete; one that sends it a list is told how
// far that has come.
func (n *Node) datagram(to int, want bool) *Datagram {
	d := &Datagram{From: n.company.Own(), Gen: n.sheet.gen, At: n.sheet.end(), Age: n.now - n.fresh, Want: want}
	if n.sheet.gen == 0 {
		d.At = Cursor{}
	}
	if t := n.transfer; t != nil {
		if d.Busy = t.from != to; !d.Busy {
			d.Gen, d.At, d.Sort = t.gen, t.cursor, t.sort
		}
	}
	return d
}

// digest sends a datagram with as many words of others as go into it.
func (n *Node) digest(to int, want bool) {
	d := n.datagram(to, want)
	room := n.set.Size - len(d.Encode()) - 2 // which a longer array's head costs
	d.Others = n.company.Sample(n.now, max(0, min(room/wordCost, maxOthers)), n.best, gone)
	n.act(Action{Kind: Send, To: to, Datagram: d})
}

// tell sends chunks from a cursor on, as many as go out at a time.
func (n *Node) tell(to int, after Cursor, most int) {
	for range most {
		if after.compare(n.sheet.end()) >= 0 || n.tokens < 1 {
			return
		}
		d := n.datagram(to, false)
		if d.Chunk = n.sheet.chunk(after, n.set.Size-len(d.Encode())); d.Chunk == nil {
			return // a row that no datagram can hold: who wants it asks the service
		}
		n.tokens--
		n.act(Action{Kind: Send, To: to, Datagram: d})
		after = d.Chunk.Upto
	}
}

// Heard takes a datagram. That it comes from the address of the agent that it names is for the host to see to.
func (n *Node) Heard(now time.Duration, d *Datagram) []Action {
	n.begin(now)
	if d.From.Place == n.company.Me() {
		return nil
	}
	n.company.Hear(n.now, d.From)
	for _, w := range d.Others {
		n.company.Hear(n.now, w)
	}
	if d.Chunk != nil {
		n.chunk(d.From.Place, d.Chunk)
	}
	n.compare(d)
	n.duty()
	return n.actions
}

// compare looks who of the two is behind.
func (n *Node) compare(d *Datagram) {
	if d.Gen == 0 && n.sheet.gen == 0 {
		return
	}
	whole := d.At.ID == lastID
	switch {
	case d.Gen == n.sheet.gen && whole && d.At.Version == n.sheet.head:
		if n.fresh = max(n.fresh, n.now-d.Age); d.Age > n.now-n.fresh+2*n.set.Round {
			n.digest(d.From.Place, false) // which lacks nothing but the news that nothing has changed
		}
	case d.Gen > n.sheet.gen || d.Gen == n.sheet.gen && whole && d.At.Version > n.sheet.head:
		if whole && n.transfer == nil && n.now-n.wanted >= wantEvery {
			n.wanted = n.now
			n.digest(d.From.Place, true)
		}
	case d.Busy || d.Chunk != nil && !d.Want: // it has what it lacks from another, or sends something itself
	default:
		after := Cursor{}
		if d.Gen == n.sheet.gen && n.sheet.serves(d.At) && (whole || d.Sort == n.sheet.sort) {
			after = d.At
		}
		n.tell(d.From.Place, after, burst)
	}
}

// chunk takes a part of a list.
func (n *Node) chunk(from int, c *Chunk) {
	if c.Gen < n.sheet.gen || c.Gen == n.sheet.gen && c.Head <= n.sheet.head {
		return
	}
	t := n.transfer
	if c.Gen == n.sheet.gen && c.After.ID == lastID && c.After.compare(n.sheet.end()) <= 0 && c.Upto == (Cursor{c.Head, lastID}) {
		// It is all that is lacking, whatever else is on its way.
		all := &transfer{gen: c.Gen, cursor: c.After}
		all.take(c)
		if t != nil && t.gen == c.Gen && t.head <= c.Head {
			n.transfer = nil
		}
		n.arrived(all)
		return
	}
	if t == nil || t.gen < c.Gen || t.from == from && t.sort != c.Sort || t.from != from && n.now-t.moved > stuck {
		whole := c.After == Cursor{}
		if !whole && (c.Gen != n.sheet.gen || c.After.ID != lastID || c.After.compare(n.sheet.end()) > 0) {
			if t != nil && t.from == from {
				n.transfer = nil // it has another order now
			}
			return
		}
		t = &transfer{from: from, gen: c.Gen, sort: c.Sort, whole: whole, cursor: c.After, asked: n.now}
		n.transfer = t
	}
	if t.from != from || t.gen != c.Gen {
		return
	}
	if t.moved = n.now; !t.take(c) {
		return
	}
	for moved := true; moved; {
		moved = false
		t.stash = slices.DeleteFunc(t.stash, func(c *Chunk) bool {
			if c.After.compare(t.cursor) > 0 {
				return false
			}
			moved = t.take(c) || moved
			return true
		})
	}
	n.heed(t)
	if t.cursor == (Cursor{t.head, lastID}) {
		n.transfer = nil
		n.arrived(t)
	}
}

// again is when what is lacking is to be asked for again: soon where later parts show that one was lost.
func (t *transfer) again() time.Duration {
	if len(t.stash) > 0 {
		return t.asked + gap
	}
	return max(t.moved, t.asked) + idle
}

// take takes a chunk that follows on, and keeps one that comes too early. It reports whether the transfer has come further.
func (t *transfer) take(c *Chunk) bool {
	switch {
	case c.Upto.compare(t.cursor) <= 0:
		return false
	case c.After.compare(t.cursor) > 0:
		if len(t.stash) < stashed {
			t.stash = append(t.stash, c)
		}
		return false
	}
	for _, r := range c.Rows {
		if r.at().compare(t.cursor) > 0 && len(t.rows) < mostRows {
			t.rows = append(t.rows, r)
		}
	}
	t.cursor, t.head = c.Upto, c.Head
	return true
}

// mostRows is how many servers a list may name, and those that are gone beside.
const mostRows = 50_000 + mostStones

// heed has what drains or is gone count before the list is complete: it takes nothing that is needed, and waits for nothing.
func (n *Node) heed(t *transfer) {
	if t.gen != n.sheet.gen {
		return
	}
	var rows []Row
	for _, r := range t.rows {
		if old := n.sheet.rows[r.ID]; (r.Less || r.Gone) && old != nil && !old.Gone && !old.Less && old.Stamp < r.Stamp && !n.heeded[r.ID] {
			n.heeded[r.ID] = true // which is one of the sheet's, so that there are no more of them
			rows = append(rows, r)
		}
	}
	if len(rows) > 0 {
		n.act(Action{Kind: Deliver, Rows: rows})
	}
}

// arrived takes a list that is complete.
func (n *Node) arrived(t *transfer) {
	before := n.sheet.head
	if !t.whole {
		var news []Row
		for _, r := range t.rows {
			if n.put(r) {
				news = append(news, r)
			}
		}
		n.sheet.head = max(n.sheet.head, t.head)
		n.changed(before, news, false)
		return
	}
	fresh := newSheet(t.gen, uint16(n.rng.Uint32()))
	for _, r := range t.rows {
		fresh.put(r)
	}
	fresh.head, fresh.floor = t.head, t.head // what was gone before is not in it
	if n.dubious(fresh) {
		return
	}
	n.doubtful = 0
	n.sheet, n.heeded = fresh, map[string]bool{}
	n.changed(0, fresh.live(), true)
}

// put puts a row into the sheet. It reports whether the module has to be told: also where the sheet says the same as before, if the
// module was told of a list that never became complete.
func (n *Node) put(r Row) bool {
	news := n.sheet.put(r) || n.heeded[r.ID]
	delete(n.heeded, r.ID)
	return news
}

// dubious reports whether a list takes away so much that others' word is not enough for it, yet.
func (n *Node) dubious(fresh *sheet) bool {
	had, lost := 0, 0
	for id, r := range n.sheet.rows {
		if r.Gone || r.Less {
			continue
		}
		had++
		if f := fresh.rows[id]; f == nil || f.Gone {
			lost++
		}
	}
	if 2*lost <= had {
		return false
	}
	if n.doubtful == 0 {
		n.doubtful = n.now
	}
	return n.now-n.doubtful < doubt
}

// changed tells the module and some others.
func (n *Node) changed(before int64, news []Row, full bool) {
	if full || len(news) > 0 {
		n.act(Action{Kind: Deliver, Full: full, Rows: news})
	}
	for range n.set.Fanout {
		to, any := n.other()
		if !any {
			return
		}
		if before > 0 && n.sheet.serves(Cursor{before, lastID}) {
			n.tell(to, Cursor{before, lastID}, 2)
		} else {
			n.digest(to, false)
		}
	}
}

// Answered says that the service has taken the call: what it sends goes on from the version that the watch began with.
func (n *Node) Answered(now time.Duration) []Action {
	n.begin(now)
	n.asker.Answered(n.now)
	n.watch, n.answered, n.confirmed = holds, n.now, false
	n.company.Set(company.Watching, true)
	n.gossip()
	n.duty()
	return n.actions
}

// Alive says that something has come on the watch. The first list of a watch comes with the answer, if there is one: who hears
// something later without it knows that nothing has changed.
func (n *Node) Alive(now time.Duration) []Action {
	n.begin(now)
	if n.watch == holds && !n.confirmed && n.now-n.answered > firstList {
		if n.sheet.gen == 0 && n.seen == n.version && n.version > 0 {
			n.found(1, n.restored)
			n.changed(0, nil, false)
		}
		n.confirm()
	}
	if n.confirmed {
		n.fresh = n.now
	}
	return n.actions
}

// confirm takes note that the service has said how the list is.
func (n *Node) confirm() {
	n.confirmed, n.doubtful, n.fresh = true, 0, n.now
	n.asker.Delivered()
}

// found begins a sheet with the list that was there at the start.
func (n *Node) found(gen uint64, rows []Row) {
	n.sheet, n.transfer, n.restored = newSheet(gen, uint16(n.rng.Uint32())), nil, nil
	for _, r := range rows {
		r.Stamp = n.version
		n.sheet.put(r)
	}
	n.sheet.head, n.sheet.floor = n.version, n.version
}

// List takes a list of the watch, one that is believed, or changes of it.
func (n *Node) List(now time.Duration, version int64, full bool, rows []Row) []Action {
	n.begin(now)
	again := version < n.seen // and believed all the same: the service counts anew
	n.seen = version
	if n.sheet.gen == 0 || again {
		var base []Row
		if !again && !full {
			base = n.restored
		}
		n.found(n.sheet.gen+1, base)
		n.sheet.head = 0 // nothing of it was told yet
	}
	before, named, news := n.sheet.head, map[string]bool{}, []Row(nil)
	for _, r := range rows {
		named[r.ID] = true
		old := n.sheet.rows[r.ID]
		r.Stamp = version
		if full && old != nil && old.Stamp > version {
			continue // another agent has told of a later version already
		}
		if full && old != nil && !old.Gone && !r.Gone && string(old.Body) == string(r.Body) && !n.heeded[r.ID] {
			continue
		}
		if n.put(r) {
			news = append(news, r)
		}
	}
	if full {
		for _, r := range n.sheet.live() {
			if !named[r.ID] && r.Stamp <= version {
				gone := Row{ID: r.ID, Stamp: version, Gone: true}
				n.put(gone)
				news = append(news, gone)
			}
		}
	}
	n.sheet.head = max(n.sheet.head, version)
	n.confirm()
	if before == 0 {
		n.sheet.floor = version
		news = n.sheet.live()
	}
	n.changed(before, news, before == 0)
	return n.actions
}

// Over says that the watch, or the call for one, has ended. Nothing had come for so long.
func (n *Node) Over(now, silent time.Duration) []Action {
	n.begin(now)
	held := n.watch == holds
	n.watch = none
	n.after, n.again, n.vain = n.asker.Over(n.now, silent), 0, true
	n.company.Set(company.Watching, false)
	if held {
		n.gossip()
	}
	n.duty()
	return n.actions
}

// duty decides whether this agent is to watch.
func (n *Node) duty() {
	watchers := n.company.Those(n.now, company.Watching, heardOf)
	slices.SortFunc(watchers, func(a, b int) int { return n.ranks[a] - n.ranks[b] })
	n.best = watchers[:min(n.set.Watchers, len(watchers))]
	mine, better := n.ranks[n.company.Me()], 0
	for better < len(watchers) && n.ranks[watchers[better]] < mine {
		better++
	}
	if n.watch == holds {
		n.lack = 0
		if better < n.set.Watchers {
			n.surplus = 0
		} else if n.surplus == 0 {
			n.surplus = n.now
		} else if n.now-n.surplus > n.set.Calm {
			n.surplus, n.watch = 0, none
			n.company.Set(company.Watching, false)
			n.act(Action{Kind: Unwatch})
			n.gossip()
		}
		return
	}
	n.surplus = 0
	// A list that is on its way is waited for, but not for ever.
	comes := n.transfer != nil && n.now-n.transfer.moved < stuck && n.now-n.fresh < 3*n.set.Stale
	stale := n.now-n.fresh > n.set.Stale && !comes || n.doubtful > 0
	if !stale && len(watchers) >= n.set.Watchers {
		n.lack, n.askAt, n.again, n.turn, n.vain = 0, 0, 0, 0, false
		return
	}
	if n.lack == 0 {
		n.lack = n.now
	}
	// Those of better rank go first, then twice as many in each such time. Who is stale has a turn of its own beside.
	before, there := 0, 0
	for p, rank := range n.ranks {
		m, known := n.company.Of(p)
		late := n.now - m.Said
		if rank < mine && (!known || m.Flags&company.Leaving == 0 && late <= 2*heardOf) {
			before++
		}
		if known && late <= gone {
			there++
		}
	}
	if n.askAt = n.lack; before >= n.set.Watchers {
		n.askAt += time.Duration(float64(n.set.Batch) * math.Log2(float64(before)/float64(n.set.Watchers)+1))
	}
	// Those who hear of one another need not all ask: one answer reaches them all.
	every := time.Duration(there) * time.Second / askRate
	if !stale {
		n.turn = 0
	} else {
		if n.turn == 0 {
			n.turn = n.asker.Turn(n.now, every)
		}
		n.askAt = min(n.askAt, n.turn)
	}
	if n.vain { // it has asked
		if n.again == 0 {
			n.again = max(n.after, n.asker.Turn(n.now, every))
		}
		n.askAt = n.again
	}
	if n.watch != none || n.now < n.askAt {
		return
	}
	n.askAt, n.again, n.turn, n.vain, n.watch = 0, 0, 0, false, called
	n.asker.Asked(n.now)
	n.seen = n.version
	if n.sheet.gen > 0 {
		n.seen = n.sheet.head
	}
	n.act(Action{Kind: Watch, Version: n.seen})
}
