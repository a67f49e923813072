// Package rollout plays a rolling deploy on sockets: servers of an old shape are replaced by servers of a new one and then
// rolled back, with a hang on the way, while old clients go on asking. It counts from what servers and clients saw.
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

// Settings say what is played.
type Settings struct {
	Name     string
	Client   string // http, thrift-binary or thrift-compact
	Old, New string // what servers speak before and after
	// Plain has servers of the old shape all along, and an agent that knows no shapes.
	Plain bool
	// Stale has the list go on saying version 2 of servers that were rolled back.
	Stale   bool
	Servers int
	Rate    float64       // calls a second
	Every   time.Duration // a server is replaced
	Hang    time.Duration // of one server, midway
	Service time.Duration // what a call takes
	Seed    uint64
	Text    string // of shapes and mappings; the sample's where empty
}

// Result is what came of it.
type Result struct {
	Calls, Served, Late, Refused, Failed, Other int
	Deliveries                                  int
	Full                                        int           // calls that a server turned away as it held too many
	Unknown                                     int           // calls that met a server that does not know their shape
	Follow                                      time.Duration // from a server's first such call to the first that it takes, the longest
	Misread                                     int           // deliveries that said something else than the client
	Keys                                        int           // deliveries whose key is not the client's, byte for byte
	Doubles                                     int           // effects that came twice
	AfterDrain                                  int           // calls that came too long after a drain was told
	Worst                                       float64       // served in time, in the worst second
}

// aim is within which an answer is wanted.
const aim = 600 * time.Millisecond

// linger is how long a replaced server still serves what it has taken.
const linger = 700 * time.Millisecond

// most is how many calls a server holds.
const most = 6

// Run plays it.
func Run(set Settings) (Result, error) {
	text := set.Text
	if text == "" {
		text = deploy.Translate
	}
	shapes := func() (*translate.Set, error) { return translate.Compile([]byte(text)) }
	if set.Plain {
		shapes = nil
	}
	p := &play{set: set, pod: standin.NewPod(), wanted: map[string]wanted{}, met: map[string]time.Time{}}
	var first []standin.Options
	for i := range set.Servers {
		first = append(first, p.server(i, "old", false))
	}
	w, err := replay.NewWorld(standin.Platform{Deadline: 2 * time.Second, MaxRetryAfter: time.Second, Cancel: true, MostTries: 5}, shapes,
		slog.New(slog.DiscardHandler), first...)
	if err != nil {
		return Result{}, err
	}
	defer w.Close()
	p.world = w
	replaced := make(chan error, 1)
	go func() { replaced <- p.replace() }()
	length := time.Duration(2*set.Servers+3) * set.Every
	p.load(length)
	if err := <-replaced; err != nil {
		return Result{}, err
	}
	return p.count(), nil
}

type wanted struct {
	refund standin.Refund
	key    string
}

type play struct {
	set   Settings
	world *replay.World
	pod   *standin.Pod
	hung  atomic.Bool

	mu     sync.Mutex
	wanted map[string]wanted
	result Result
	met    map[string]time.Time // by server: the first call of a shape that it does not know; zero once it has got another
	// seconds holds the calls, and those served in time, by the second in which they began.
	seconds [][2]int
}

// server is the one at a place, before, after or rolled back.
func (p *play) server(place int, stage string, slow bool) standin.Options {
	o := standin.Options{ID: fmt.Sprintf("%s-%02d", stage, place), Protocol: p.set.Old, Shapes: []string{"1"}, Pod: p.pod, Most: most,
		Service: p.set.Service, ColdFrom: 0.4}
	if slow {
		o.ColdFor = 2 * time.Second
	}
	if stage == "new" && !p.set.Plain {
		o.Protocol, o.Shapes = p.set.New, []string{"2"}
	}
	if stage == "back" && p.set.Stale {
		o.Listed = []string{"2"}
	}
	takes := o.Shapes[0]
	hangs := stage == "new" && place == p.set.Servers/2
	o.Script = func(standin.Call) standin.Step {
		if hangs && p.hung.Load() {
			return standin.Step{Fault: standin.Silence}
		}
		return standin.Step{}
	}
	o.Saw = func(c standin.Call) {
		now := time.Now()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.result.Deliveries++
		want := p.wanted[c.ID]
		if c.Version != takes {
			p.result.Unknown++
			if _, any := p.met[o.ID]; !any {
				p.met[o.ID] = now
			}
		} else {
			if first := p.met[o.ID]; !first.IsZero() {
				p.result.Follow = max(p.result.Follow, now.Sub(first))
				p.met[o.ID] = time.Time{}
			}
			if c.Broken != "" || c.Refund != want.refund {
				p.result.Misread++
			}
		}
		if c.Idempotency != want.key {
			p.result.Keys++
		}
	}
	return o
}

// replace puts the new servers in place of the old ones, then takes them back.
func (p *play) replace() error {
	now := append([]*standin.Server{}, p.world.Servers...)
	tick := time.NewTicker(p.set.Every)
	defer tick.Stop()
	var ends sync.WaitGroup
	defer ends.Wait()
	for _, stage := range []string{"new", "back"} {
		for i := range now {
			<-tick.C
			old := now[i]
			s, err := p.world.Add(p.server(i, stage, true))
			if err != nil {
				return err
			}
			now[i] = s
			old.Drain()
			p.world.List.Tell(old.Entry())
			ends.Go(func() {
				time.Sleep(linger)
				gone := old.Entry()
				gone.State = "terminated"
				p.world.List.Tell(gone)
				p.mu.Lock()
				p.result.AfterDrain += old.Late()
				p.mu.Unlock()
				old.Close()
			})
		}
		if stage == "new" {
			p.hung.Store(true)
			time.AfterFunc(p.set.Hang, func() { p.hung.Store(false) })
		}
	}
	return nil
}

// load asks at an even rate, each call at its time or as soon as a client is free.
func (p *play) load(length time.Duration) {
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
				p.ask(player, j)
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

type job struct {
	i      int
	at     time.Time
	second int
	pence  int
}

// ask asks one refund and counts what the client was told.
func (p *play) ask(player *replay.Player, j job) {
	id, key := fmt.Sprint("c-", j.i), fmt.Sprintf("key %d %%41 é", j.i)
	day := time.Unix(0, 0).UTC().AddDate(0, 0, j.pence%20000)
	goods := j.pence % 3
	o := replay.Old{Key: []byte(key), Form: "GB/" + id, Amount: fmt.Sprintf("%d.%02d", j.pence/100, j.pence%100), Bought: day.Format("02/01/2006"),
		Goods: string("WJO"[goods]), First: "Élise", Last: "MacLeod " + id}
	p.mu.Lock()
	p.wanted[id] = wanted{standin.Refund{Form: o.Form, Pence: int64(j.pence), Bought: day.Format("2006-01-02"),
		Goods: []string{"watch", "jewellery", "other"}[goods], First: o.First, Last: o.Last}, key}
	p.mu.Unlock()
	e := o.HTTP(id)
	if p.set.Client != "http" {
		e = o.Thrift(id, p.set.Client == "thrift-compact")
	}
	m, err := player.Ask(e)
	took := time.Since(j.at)
	p.mu.Lock()
	defer p.mu.Unlock()
	r := &p.result
	r.Calls++
	p.seconds[j.second][0]++
	switch kind := told(m); {
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

// told is what an answer says.
func told(m replay.Message) standin.Kind {
	if m.Thrift == nil {
		switch m.Status {
		case 200:
			return standin.Served
		case 503:
			return standin.Refused
		case 502:
			return standin.Failed
		}
		return standin.TurnedDown
	}
	result, err := standin.ReadThrift(m.Thrift)
	if err == nil {
		for field, kind := range map[int16]standin.Kind{0: standin.Served, 1: standin.Refused, 2: standin.Failed} {
			if _, is := result[field].(map[int16]any); is {
				return kind
			}
		}
	}
	return standin.TurnedDown
}

// count sums up when all is over.
func (p *play) count() Result {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.result
	r.Doubles = p.pod.Doubles()
	r.Worst = 1
	for _, s := range p.seconds {
		if s[0] > 0 {
			r.Worst = min(r.Worst, float64(s[1])/float64(s[0]))
		}
	}
	for _, s := range p.world.Servers {
		r.Full += s.TurnedAway()
	}
	return r
}

// Table writes results.
func Table(out io.Writer, sets []Settings, results []Result) error {
	t := tabwriter.NewWriter(out, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "\tcalls\tserved in time\tworst second\tlate\trefused\tfailed\tother\tdeliveries\tunknown shape\tfollowed in\tfull\tmisread\tkeys\tdoubles\tafter drain")
	for i, r := range results {
		fmt.Fprintf(t, "%s\t%d\t%.2f %%\t%.1f %%\t%d\t%d\t%d\t%d\t%d\t%d\t%v\t%d\t%d\t%d\t%d\t%d\n", sets[i].Name, r.Calls, 100*float64(r.Served)/float64(r.Calls),
			100*r.Worst, r.Late, r.Refused, r.Failed, r.Other, r.Deliveries, r.Unknown, r.Follow.Round(time.Millisecond), r.Full, r.Misread, r.Keys, r.Doubles, r.AfterDrain)
	}
	return t.Flush()
}
