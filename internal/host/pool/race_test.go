package pool

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/life"
)

const dead, well, other = "[::1]:1", "127.0.0.1:1", "127.0.0.1:2"

// network is one in which some addresses hang and some refuse; it counts what is open.
type network struct {
	hangs, refuses []string
	open, most     atomic.Int64
}

type conn struct {
	net.Conn
	n    *network
	once sync.Once
}

func (c *conn) Close() error {
	c.once.Do(func() { c.n.open.Add(-1) })
	return c.Conn.Close()
}

func (n *network) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	if open := n.open.Add(1); open > n.most.Load() {
		n.most.Store(open)
	}
	switch {
	case slices.Contains(n.hangs, addr):
		<-ctx.Done()
		n.open.Add(-1)
		return nil, ctx.Err()
	case slices.Contains(n.refuses, addr):
		n.open.Add(-1)
		return nil, errors.New("refused")
	}
	here, there := net.Pipe()
	there.Close()
	return &conn{Conn: here, n: n}, nil
}

func newPool(n *network, most int) *Pool {
	return New(Settings{Dial: n.dial, DialTimeout: time.Second, IdleFor: time.Minute, Most: most, Addresses: addresses.Defaults})
}

// A first address that does not answer costs the delay once for each life of a pool, and nothing with a memory of it.
func TestDeadFirstAddress(t *testing.T) {
	s := &life.Server{ID: "s", Addr: dead, Addrs: []string{dead, well}}
	const lives = 50
	var mu sync.Mutex
	took := map[string][]time.Duration{}
	var all sync.WaitGroup
	for range lives {
		all.Go(func() {
			first := newPool(&network{hangs: []string{dead}}, 10)
			time1 := timed(t, first, s)
			again := timed(t, first, s)
			next := newPool(&network{hangs: []string{dead}}, 10)
			next.Remember([]string{first.Worked(s.Addrs)}) // as it is kept over a restart
			time3 := timed(t, next, s)
			mu.Lock()
			defer mu.Unlock()
			took["without a memory"] = append(took["without a memory"], time1)
			took["the next dial"] = append(took["the next dial"], again)
			took["after a restart with it"] = append(took["after a restart with it"], time3)
		})
	}
	all.Wait()
	for name, times := range took {
		slices.Sort(times)
		p50, p99 := times[len(times)/2], times[len(times)*99/100]
		t.Logf("%s: p50 %v, p99 %v", name, p50, p99)
		if slow := p50 >= addresses.Defaults.Delay; slow != (name == "without a memory") {
			t.Errorf("%s: p50 %v", name, p50)
		}
	}
}

// timed is how long a new connection takes.
func timed(t *testing.T, p *Pool, s *life.Server) time.Duration {
	begin := time.Now()
	c, err := p.Acquire(context.Background(), s, 0, new(life.Attempt))
	if err != nil {
		t.Error(err)
		return 0
	}
	took := time.Since(begin)
	p.Release(c, false)
	return took
}

// At the limit of places a race dials one address at a time; what does not win is closed, and nothing is left open.
func TestRacesAtTheLimit(t *testing.T) {
	for _, c := range []struct {
		most  int
		open  int64 // at a time
		hangs []string
	}{{1, 1, nil}, {10, 2, []string{dead}}} {
		n := &network{hangs: c.hangs, refuses: []string{other}}
		p := newPool(n, c.most)
		s := &life.Server{ID: "s", Addr: other, Addrs: []string{other, dead, well}}
		got, err := p.Acquire(context.Background(), s, 0, new(life.Attempt))
		if err != nil {
			t.Fatal(err)
		}
		if n.most.Load() > c.open {
			t.Errorf("%d places: %d open at a time", c.most, n.most.Load())
		}
		p.Release(got, false)
		for end := time.Now().Add(10 * time.Second); n.open.Load() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if open := n.open.Load(); open != 0 {
			t.Errorf("%d places: %d left open", c.most, open)
		}
	}
	p := newPool(&network{hangs: []string{dead, well, other}}, 10)
	p.set.DialTimeout = 20 * time.Millisecond
	if _, err := p.Acquire(context.Background(), &life.Server{ID: "s", Addr: dead, Addrs: []string{dead, well}}, 0, new(life.Attempt)); err == nil {
		t.Error("a connection to nowhere")
	}
	if open, _, waiting := p.Count(); open != 0 || waiting != 0 {
		t.Errorf("%d places taken, %d waiting", open, waiting)
	}
}
