// Package demo runs the agent on loopback with a list service, a small fleet of servers with different protocols, and
// kiosks that speak HTTP/1.1 and Thrift. During the demo some servers hang, and then all are replaced one by one.
package demo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"ternbeam/internal/agent"
	"ternbeam/internal/lab/standin"
)

// Options configure the demo.
type Options struct {
	For    time.Duration // duration of the demo
	Kiosks int           // number of kiosks of each protocol; each sends one call at a time
	Out    io.Writer     // receives the progress and the final table
}

// protocols are the protocols of the kiosks.
var protocols = []string{"http", "thrift-binary", "thrift-compact"}

// fleet lists the servers of each of the two deduplication groups. Each group has servers for every protocol.
var fleet = []standin.Options{
	{ID: "http", Protocol: "http"},
	{ID: "binary", Protocol: "thrift-binary"},
	{ID: "compact", Protocol: "thrift-compact"},
	{ID: "either", Protocol: "thrift", Multiplexed: true},
}

// demo is the state of a running demo.
type demo struct {
	opts    Options
	list    *standin.List
	groups  [2]*standin.DedupGroup
	hangs   atomic.Bool
	started time.Time
	mu      sync.Mutex
	servers []*server
	all     []*server // including replaced servers
	tally   map[string]*tally
}

// server is a running server, with its index in fleet and its deduplication group.
type server struct {
	*standin.Server
	spec, group int
}

// tally counts the answers to the kiosks of one protocol.
type tally struct {
	kinds [standin.Sent + 1]int
	took  []time.Duration
}

// Run runs the demo. It returns an error if a call was lost, an effect happened twice, or a call was sent to a server after
// its drain.
func Run(o Options) error {
	d := &demo{opts: o, groups: [2]*standin.DedupGroup{standin.NewDedupGroup(), standin.NewDedupGroup()}, tally: map[string]*tally{}}
	for _, p := range protocols {
		d.tally[p] = &tally{}
	}
	list, err := standin.NewList()
	if err != nil {
		return err
	}
	defer list.Close()
	d.list = list
	for group := range d.groups {
		for spec := range fleet {
			s, err := d.startServer(spec, group, 0)
			if err != nil {
				return err
			}
			d.servers = append(d.servers, s)
		}
	}
	defer func() {
		for _, s := range d.all {
			s.Close()
		}
	}()
	addrs, stop, err := d.startAgent()
	if err != nil {
		return err
	}
	fmt.Fprintf(o.Out, "agent on %s (HTTP) and %s (Thrift), list on %s, %d servers in 2 groups\n", addrs[0], addrs[1],
		list.Addr(), len(d.servers))
	d.started = time.Now()
	if err := d.play(addrs); err != nil {
		return err
	}
	d.printf("the agent is being shut down")
	if err := stop(); err != nil {
		return err
	}
	return d.report()
}

func (d *demo) printf(format string, args ...any) {
	fmt.Fprintf(d.opts.Out, "%5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) startServer(spec, group, generation int) (*server, error) {
	o := fleet[spec]
	o.ID = fmt.Sprintf("%s-%d.%d", o.ID, group, generation)
	o.DedupGroup, o.Cell, o.ServiceTime, o.MaxCalls = d.groups[group], group, 8*time.Millisecond, 40
	if generation > 0 {
		o.SlowStartMinShare, o.SlowStartWindow = 0.2, d.opts.For/6
	}
	first := group == 0 && generation == 0
	o.Script = func(standin.Call) standin.Step {
		if first && d.hangs.Load() {
			return standin.Step{Fault: standin.NoReply}
		}
		return standin.Step{}
	}
	s, err := standin.Start(o)
	if err != nil {
		return nil, err
	}
	started := &server{Server: s, spec: spec, group: group}
	d.mu.Lock()
	d.all = append(d.all, started)
	d.mu.Unlock()
	d.list.Update(s.Entry())
	return started, nil
}

// startAgent starts an agent and returns the addresses that it listens on and a function that stops it.
func (d *demo) startAgent() (addrs []string, stop func() error, err error) {
	p := standin.Platform{Listen: "127.0.0.1:0", Discovery: d.list.Addr(), Deadline: 3 * time.Second, CanCancel: true,
		MaxRetryAfter: time.Second, SlowStartWindow: d.opts.For / 6}
	cfg, service, err := p.Load()
	if err != nil {
		return nil, nil, err
	}
	a, err := agent.New(cfg, service, slog.New(slog.DiscardHandler))
	if err != nil {
		return nil, nil, err
	}
	if addrs, err = a.Listen(); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- a.Run(ctx, nil) }()
	stop = func() error { cancel(); return <-ended }
	select {
	case <-a.Ready():
		return addrs, stop, nil
	case err := <-ended:
		return nil, nil, err
	}
}

// play runs the kiosks while servers hang and are replaced.
func (d *demo) play(addrs []string) error {
	ctx, cancel := context.WithTimeout(context.Background(), d.opts.For)
	defer cancel()
	var kiosks sync.WaitGroup
	for _, protocol := range protocols {
		addr := addrs[1]
		if protocol == "http" {
			addr = addrs[0]
		}
		k, err := standin.NewKiosk(protocol, addr)
		if err != nil {
			return err
		}
		defer k.Close()
		for i := range d.opts.Kiosks {
			kiosks.Go(func() { d.runKiosk(ctx, k, protocol, i) })
		}
	}
	d.printf("%d kiosks of each protocol send checks, records and payments", d.opts.Kiosks)
	progress := time.NewTicker(time.Second)
	defer progress.Stop()
	quarter := d.opts.For / 4
	hang, heal := time.After(quarter), time.After(2*quarter)
	var replaced <-chan error
	for {
		select {
		case <-progress.C:
			d.progress()
		case <-hang:
			d.printf("the servers of group 0 hang: they accept calls but do not answer")
			d.hangs.Store(true)
		case <-heal:
			d.printf("they have recovered; all servers are now replaced one by one")
			d.hangs.Store(false)
			done := make(chan error, 1)
			go func() { done <- d.replace(quarter) }()
			replaced = done
		case err := <-replaced:
			if err != nil {
				return err
			}
			d.printf("every server is replaced")
			replaced = nil
		case <-ctx.Done():
			kiosks.Wait()
			if replaced != nil {
				return <-replaced
			}
			return nil
		}
	}
}

// replace replaces every server by a new one with slow start. The old server is drained and then removed from the list.
func (d *demo) replace(within time.Duration) error {
	pause := within / time.Duration(len(d.servers)+1)
	for i, old := range d.servers {
		fresh, err := d.startServer(old.spec, old.group, 1)
		if err != nil {
			return err
		}
		d.servers[i] = fresh
		old.Drain()
		d.list.Update(old.Entry())
		time.AfterFunc(time.Second, func() { // its calls have ended by then
			e := old.Entry()
			e.State = "terminated"
			d.list.Update(e)
		})
		time.Sleep(pause)
	}
	return nil
}

// runKiosk runs one kiosk until ctx is canceled.
func (d *demo) runKiosk(ctx context.Context, k standin.Kiosk, protocol string, i int) {
	rng := rand.New(rand.NewPCG(uint64(i), uint64(len(protocol))))
	for n := 0; ctx.Err() == nil; n++ {
		a := standin.Request{ID: fmt.Sprintf("%s-%d-%d", protocol, i, n), Tenant: standin.Tenants[i%len(standin.Tenants)],
			Key: fmt.Sprint("form", rng.IntN(1000)), TimeLeft: 3 * time.Second, Text: "a form"}
		switch x := rng.IntN(20); {
		case x < 14:
			a.Method, a.Text = standin.Check, ""
		case x < 19:
			a.Method, a.IdempotencyKey = standin.Record, "once-"+a.ID
		default:
			a.Method = standin.Pay
		}
		ans := k.Do(a)
		d.mu.Lock()
		t := d.tally[protocol]
		t.kinds[ans.Kind]++
		t.took = append(t.took, ans.Took)
		d.mu.Unlock()
		pause := 5 * time.Millisecond
		if ans.Kind == standin.Refused {
			pause = max(pause, ans.RetryAfter)
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
	}
}

func (d *demo) progress() {
	d.mu.Lock()
	defer d.mu.Unlock()
	var sum [standin.Sent + 1]int
	for _, t := range d.tally {
		for kind, n := range t.kinds {
			sum[kind] += n
		}
	}
	d.printf("%d served, %d refused, %d failed, %d lost", sum[standin.Served], sum[standin.Refused], sum[standin.Failed],
		sum[standin.Lost]+sum[standin.BadRequest])
}

// report prints the final table and returns an error if anything went wrong.
func (d *demo) report() error {
	w := tabwriter.NewWriter(d.opts.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "\nprotocol\tasked\tserved\trefused\tfailed\tlost\tp50\tp99\t")
	lost := 0
	for _, p := range protocols {
		t := d.tally[p]
		lostCalls := t.kinds[standin.Lost] + t.kinds[standin.BadRequest]
		lost += lostCalls
		slices.Sort(t.took)
		at := func(q float64) time.Duration {
			if len(t.took) == 0 {
				return 0
			}
			return t.took[int(q*float64(len(t.took)-1))].Round(100 * time.Microsecond)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%v\t%v\t\n", p, len(t.took), t.kinds[standin.Served], t.kinds[standin.Refused],
			t.kinds[standin.Failed], lostCalls, at(0.5), at(0.99))
	}
	w.Flush()
	late, duplicates := 0, 0
	for _, s := range d.all {
		late += s.LateCalls()
	}
	for _, p := range d.groups {
		duplicates += p.DuplicateEffects()
	}
	// A key that took effect in both groups is a duplicate as well.
	duplicates += len(standin.CommonEffects(d.groups[0], d.groups[1]))
	fmt.Fprintf(d.opts.Out, "\nduplicate effects: %d\ncalls sent to a server after its drain: %d\n", duplicates, late)
	if lost+duplicates+late > 0 {
		return fmt.Errorf("%d calls lost, %d duplicate effects, %d calls after a drain", lost, duplicates, late)
	}
	return nil
}
