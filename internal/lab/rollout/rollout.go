// Package rollout runs a rolling deploy on sockets: servers of an old shape are replaced by servers of a new shape and then
// rolled back, with a hang in between, while old clients keep sending calls. It counts what servers and clients observed.
package rollout

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"ternbeam/deploy"
	"ternbeam/internal/lab/replay"
	"ternbeam/internal/lab/standin"
	"ternbeam/internal/translate"
)

// Settings configure a rolling deploy.
type Settings struct {
	Name     string
	Client   string // http, thrift-binary or thrift-compact
	Old, New string // protocols of the old and the new servers
	// NoShapes keeps all servers at the old shape, with an agent without shapes.
	NoShapes bool
	// StaleList makes the list still report version 2 for servers that were rolled back.
	StaleList       bool
	Servers         int
	Rate            float64       // calls per second
	ReplaceInterval time.Duration // interval between replacements
	HangTime        time.Duration // duration of the hang of one server, halfway through
	ServiceTime     time.Duration // duration of a call
	Seed            uint64
	ShapesText      string // shapes and mappings as TOML; the sample file if empty
}

// Result counts what clients and servers observed.
type Result struct {
	Calls, Served, Late, Refused, Failed, Other int // calls by answer; Served within aim, Late after it
	Deliveries                                  int
	RejectedFull                                int           // calls that a server rejected because too many were in flight
	UnknownShape                                int           // calls that reached a server that does not know their shape
	AdaptTime                                   time.Duration // longest time from the first such call to a server until the next one that it accepts
	Misread                                     int           // deliveries whose content differs from what the client sent
	WrongKeys                                   int           // deliveries whose idempotency key differs from what the client sent
	DuplicateEffects                            int           // duplicate effects
	AfterDrain                                  int           // calls that arrived too long after the start of a drain
	WorstSecond                                 float64       // share of the calls served in time, in the worst second
}

// aim is the time within which an answer counts as in time.
const aim = 600 * time.Millisecond

// linger is how long a replaced server keeps running to finish its calls.
const linger = 700 * time.Millisecond

// maxCalls is the maximum number of calls in flight of a server.
const maxCalls = 6

// Run runs a rolling deploy and returns what was observed.
func Run(set Settings) (Result, error) {
	text := set.ShapesText
	if text == "" {
		text = deploy.Translate
	}
	shapes := func() (*translate.Set, error) { return translate.Compile([]byte(text)) }
	if set.NoShapes {
		shapes = nil
	}
	p := &rollout{set: set, group: standin.NewDedupGroup(), sent: map[string]sentRefund{}, firstUnknown: map[string]time.Time{}}
	var first []standin.Options
	for i := range set.Servers {
		first = append(first, p.serverOptions(i, "old", false))
	}
	w, err := replay.NewWorld(standin.Platform{Deadline: 2 * time.Second, MaxRetryAfter: time.Second, CanCancel: true, MaxAttempts: 5}, shapes,
		slog.New(slog.DiscardHandler), first...)
	if err != nil {
		return Result{}, err
	}
	defer w.Close()
	p.world = w
	replaced := make(chan error, 1)
	go func() { replaced <- p.replace() }()
	length := time.Duration(2*set.Servers+3) * set.ReplaceInterval
	p.sendCalls(length)
	if err := <-replaced; err != nil {
		return Result{}, err
	}
	return p.count(), nil
}

// sentRefund is what a client sent, to compare with what servers receive.
type sentRefund struct {
	refund standin.Refund
	key    string
}

// rollout is the state of a running rolling deploy.
type rollout struct {
	set   Settings
	world *replay.World
	group *standin.DedupGroup
	hung  atomic.Bool

	mu           sync.Mutex
	sent         map[string]sentRefund
	result       Result
	firstUnknown map[string]time.Time // by server: time of the first call of an unknown shape; zero after the next call of a known one
	// seconds counts the calls and those served in time, by the second in which they started.
	seconds [][2]int
}

// serverOptions returns the options of the server at a place in a stage: old, new or back (rolled back).
func (p *rollout) serverOptions(place int, stage string, slow bool) standin.Options {
	o := standin.Options{ID: fmt.Sprintf("%s-%02d", stage, place), Protocol: p.set.Old, Shapes: []string{"1"}, DedupGroup: p.group, MaxCalls: maxCalls,
		ServiceTime: p.set.ServiceTime, SlowStartMinShare: 0.4}
	if slow {
		o.SlowStartWindow = 2 * time.Second
	}
	if stage == "new" && !p.set.NoShapes {
		o.Protocol, o.Shapes = p.set.New, []string{"2"}
	}
	if stage == "back" && p.set.StaleList {
		o.ListedShapes = []string{"2"}
	}
	version := o.Shapes[0]
	hangs := stage == "new" && place == p.set.Servers/2
	o.Script = func(standin.Call) standin.Step {
		if hangs && p.hung.Load() {
			return standin.Step{Fault: standin.NoReply}
		}
		return standin.Step{}
	}
	o.OnCall = func(c standin.Call) {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.result.Deliveries++
		want := p.sent[c.ID]
		if c.Version != version {
			p.result.UnknownShape++
			if _, known := p.firstUnknown[o.ID]; !known {
				p.firstUnknown[o.ID] = now
			}
		} else {
			if first := p.firstUnknown[o.ID]; !first.IsZero() {
				p.result.AdaptTime = max(p.result.AdaptTime, now.Sub(first))
				p.firstUnknown[o.ID] = time.Time{}
			}
			if c.ParseError != "" || c.Refund != want.refund {
				p.result.Misread++
			}
		}
		if c.IdempotencyKey != want.key {
			p.result.WrongKeys++
		}
	}
	return o
}

// replace replaces the old servers by new ones and then rolls them back.
func (p *rollout) replace() error {
	now := append([]*standin.Server{}, p.world.Servers...)
	tick := time.NewTicker(p.set.ReplaceInterval)
	defer tick.Stop()
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, stage := range []string{"new", "back"} {
		for i := range now {
			<-tick.C
			old := now[i]
			s, err := p.world.Add(p.serverOptions(i, stage, true))
			if err != nil {
				return err
			}
			now[i] = s
			old.Drain()
			p.world.List.Update(old.Entry())
			ends.Go(func() {
				time.Sleep(linger)
				removed := old.Entry()
				removed.State = "terminated"
				p.world.List.Update(removed)
				p.mu.Lock()
				p.result.AfterDrain += old.LateCalls()
				p.mu.Unlock()
				old.Close()
			})
		}
		if stage == "new" {
			p.hung.Store(true)
			time.AfterFunc(p.set.HangTime, func() { p.hung.Store(false) })
		}
	}
	return nil
}

// sendCalls sends calls at a constant rate, each at its scheduled time or as soon as a client is free.
func (p *rollout) sendCalls(length time.Duration) {
	rng := rand.New(rand.NewPCG(p.set.Seed, 0))
	n := int(p.set.Rate * length.Seconds())
	p.seconds = make([][2]int, int(length/time.Second)+1)
	jobs := make(chan job, n)
	var clients sync.WaitGroup
	for range 128 {
		clients.Go(func() {
			player := p.world.Player(5 * time.Second)
			defer player.Close()
			for j := range jobs {
				p.sendCall(player, j)
			}
		})
	}
	start := time.Now()
	for i := range n {
		after := time.Duration(float64(i)/p.set.Rate*1e9) + time.Duration(rng.IntN(2000))*time.Microsecond
		time.Sleep(time.Until(start.Add(after)))
		jobs <- job{i, start.Add(after), int(after / time.Second), 1 + rng.IntN(1_000_000)}
	}
	close(jobs)
	clients.Wait()
}

// job is one call to send.
type job struct {
	i      int       // number of the call
	at     time.Time // scheduled time
	second int       // second of the run in which it is scheduled
	pence  int
}

// sendCall sends one refund and counts the answer.
func (p *rollout) sendCall(player *replay.Player, j job) {
	id, key := fmt.Sprint("c-", j.i), fmt.Sprintf("key %d %%41 é", j.i)
	day := time.Unix(0, 0).UTC().AddDate(0, 0, j.pence%20000)
	goods := j.pence % 3
	o := replay.OldRefund{Key: []byte(key), Form: "GB/" + id, Amount: fmt.Sprintf("%d.%02d", j.pence/100, j.pence%100), Bought: day.Format("02/01/2006"),
		Goods: string("WJO"[goods]), First: "Élise", Last: "MacLeod " + id}
	p.mu.Lock()
	p.sent[id] = sentRefund{standin.Refund{Form: o.Form, Pence: int64(j.pence), Bought: day.Format("2006-01-02"),
		Goods: []string{"watch", "jewellery", "other"}[goods], First: o.First, Last: o.Last}, key}
	p.mu.Unlock()
	e := o.HTTP(id)
	if p.set.Client != "http" {
		e = o.Thrift(id, p.set.Client == "thrift-compact")
	}
	m, err := player.Do(e)
	took := time.Since(j.at)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.result
	r.Calls++
	p.seconds[j.second][0]++
	switch kind := answerKind(m); {
	case err != nil:
		r.Other++
	case kind == standin.Served && took > aim:
		r.Late++
	case kind == standin.Served:
		r.Served++
		p.seconds[j.second][1]++
	case kind == standin.Refused:
		r.Refused++
	case kind == standin.Failed:
		r.Failed++
	default:
		r.Other++
	}
}

// answerKind classifies an answer.
func answerKind(m replay.Message) standin.AnswerKind {
	if m.Thrift == nil {
		switch m.Status {
		case 200:
			return standin.Served
		case 503:
			return standin.Refused
		case 502:
			return standin.Failed
		}
		return standin.BadRequest
	}
	result, err := standin.DecodeThrift(m.Thrift)
	if err == nil {
		for field, kind := range map[int16]standin.AnswerKind{0: standin.Served, 1: standin.Refused, 2: standin.Failed} {
			if _, is := result[field].(map[int16]any); is {
				return kind
			}
		}
	}
	return standin.BadRequest
}

// count returns the totals after the run.
func (p *rollout) count() Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.result
	r.DuplicateEffects = p.group.DuplicateEffects()
	r.WorstSecond = 1
	for _, s := range p.seconds {
		if s[0] > 0 {
			r.WorstSecond = min(r.WorstSecond, float64(s[1])/float64(s[0]))
		}
	}
	for _, s := range p.world.Servers {
		r.RejectedFull += s.RejectedCalls()
	}
	return r
}

// WriteTable writes a table with one row for each result.
func WriteTable(out io.Writer, sets []Settings, results []Result) error {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\tcalls\tserved in time\tworst second\tlate\trefused\tfailed\tother\tdeliveries\tunknown shape\tfollowed in\tfull\tmisread\tkeys\tdoubles\tafter drain")
	for i, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%.2f %%\t%.1f %%\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d\t%d\t%d\t%d\n", sets[i].Name, r.Calls, 100*float64(r.Served)/float64(r.Calls),
			100*r.WorstSecond, r.Late, r.Refused, r.Failed, r.Other, r.Deliveries, r.UnknownShape, r.AdaptTime.Round(time.Millisecond), r.RejectedFull, r.Misread, r.WrongKeys, r.DuplicateEffects, r.AfterDrain)
	}
	return t.Flush()
}
