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
	"ternbeam/internal/decide/lifecycle"
)

const deadAddr, goodAddr, refusedAddr = "[::1]:1", "127.0.0.1:1", "127.0.0.1:2"

// network simulates dials: some addresses hang and some refuse. It counts the open connections and the dials in progress.
type network struct {
	hangs, refuses []string
	open, maxOpen  atomic.Int64
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
	if open := n.open.Add(1); open > n.maxOpen.Load() {
		n.maxOpen.Store(open)
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
	local, remote := net.Pipe()
	remote.Close()
	return &conn{Conn: local, n: n}, nil
}

func newPool(n *network, maxConns int) *Pool {
	return New(Settings{Dial: n.dial, DialTimeout: time.Second, IdleTimeout: time.Minute, MaxConns: maxConns, Addresses: addresses.Defaults})
}

// A first address that does not answer costs the fallback delay once per pool, and nothing if a pool was given the addresses that
// worked before.
func TestDeadFirstAddress(t *testing.T) {
	s := &lifecycle.Server{ID: "s", Addr: deadAddr, Addrs: []string{deadAddr, goodAddr}}
	const pools = 50
	var mu sync.Mutex
	took := map[string][]time.Duration{}
	var all sync.WaitGroup
	for range pools {
		all.Go(func() {
			first := newPool(&network{hangs: []string{deadAddr}}, 10)
			firstDial := timeDial(t, first, s)
			secondDial := timeDial(t, first, s)
			next := newPool(&network{hangs: []string{deadAddr}}, 10)
			next.RestoreConnected([]string{first.LastConnected(s.Addrs)}) // as restored after a restart
			restoredDial := timeDial(t, next, s)
			mu.Lock()
			defer mu.Unlock()
			took["first dial"] = append(took["first dial"], firstDial)
			took["second dial"] = append(took["second dial"], secondDial)
			took["first dial after restoring"] = append(took["first dial after restoring"], restoredDial)
		})
	}
	all.Wait()
	for name, times := range took {
		slices.Sort(times)
		p50, p99 := times[len(times)/2], times[len(times)*99/100]
		t.Logf("%s: p50 %v, p99 %v", name, p50, p99)
		if slow := p50 >= addresses.Defaults.Delay; slow != (name == "first dial") {
			t.Errorf("%s: p50 %v", name, p50)
		}
	}
}

// timeDial returns how long a new connection takes.
func timeDial(t *testing.T, p *Pool, s *lifecycle.Server) time.Duration {
	begin := time.Now()
	c, err := p.Acquire(context.Background(), s, 0, new(lifecycle.Attempt))
	if err != nil {
		t.Error(err)
		return 0
	}
	took := time.Since(begin)
	p.Release(c, false)
	return took
}

// At the limit of connections a race dials one address at a time. Connections that lose are closed, and none is leaked.
func TestDialRacesAtConnectionLimit(t *testing.T) {
	for _, c := range []struct {
		maxConns int
		open     int64 // at a time
		hangs    []string
	}{{1, 1, nil}, {10, 2, []string{deadAddr}}} {
		n := &network{hangs: c.hangs, refuses: []string{refusedAddr}}
		p := newPool(n, c.maxConns)
		s := &lifecycle.Server{ID: "s", Addr: refusedAddr, Addrs: []string{refusedAddr, deadAddr, goodAddr}}
		got, err := p.Acquire(context.Background(), s, 0, new(lifecycle.Attempt))
		if err != nil {
			t.Fatal(err)
		}
		if n.maxOpen.Load() > c.open {
			t.Errorf("%d slots: %d open at a time", c.maxConns, n.maxOpen.Load())
		}
		p.Release(got, false)
		for end := time.Now().Add(10 * time.Second); n.open.Load() != 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		}
		if open := n.open.Load(); open != 0 {
			t.Errorf("%d slots: %d left open", c.maxConns, open)
		}
	}
	p := newPool(&network{hangs: []string{deadAddr, goodAddr, refusedAddr}}, 10)
	p.set.DialTimeout = 20 * time.Millisecond
	if _, err := p.Acquire(context.Background(), &lifecycle.Server{ID: "s", Addr: deadAddr, Addrs: []string{deadAddr, goodAddr}}, 0, new(lifecycle.Attempt)); err == nil {
		t.Error("connected although every address hangs")
	}
	if open, _, waiting := p.Count(); open != 0 || waiting != 0 {
		t.Errorf("%d slots in use, %d attempts waiting", open, waiting)
	}
}
