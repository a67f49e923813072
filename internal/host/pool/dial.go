package pool

import (
	"context"
	"errors"
	"net"
	"time"

	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/lifecycle"
)

// dial connects to a server, at whichever of its addresses connects first.
func (p *Pool) dial(ctx context.Context, s *lifecycle.Server) (net.Conn, error) {
	if len(s.Addrs) < 2 {
		_, network, target := addresses.Parse(s.Addr)
		return p.set.Dial(ctx, network, target)
	}
	return p.race(ctx, s)
}

// LastConnected returns the one of a server's addresses that last connected successfully, or "" if none is known.
func (p *Pool) LastConnected(addrs []string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.addrs.LastConnected(time.Since(p.startedAt), addrs)
}

// RestoreConnected records addresses that connected successfully in an earlier process.
func (p *Pool) RestoreConnected(addrs []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, addr := range addrs {
		p.addrs.RecordSuccess(time.Since(p.startedAt), addr)
	}
}

// dialResult is the result of one dial.
type dialResult struct {
	addr string
	conn net.Conn
	err  error
}

// race dials several addresses in the order and at the times that addresses.Race decides, and closes the connections that lose.
func (p *Pool) race(ctx context.Context, s *lifecycle.Server) (net.Conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	r := p.addrs.NewRace(time.Since(p.startedAt), s.Addrs)
	p.mu.Unlock()
	results := make(chan dialResult, len(s.Addrs)) // buffered so that late dials do not block
	// The number of dials in progress, and how many of them are counted in extraDials.
	pending, extra := 0, 0
	defer func() {
		go func() { // collect the dials in progress, which the context ends
			for range pending {
				if d := <-results; d.conn != nil {
					d.conn.Close()
				}
			}
			p.mu.Lock()
			defer p.mu.Unlock()
			p.extraDials -= extra
		}()
	}()
	var lastErr error
	for {
		p.mu.Lock()
		open, _, _ := p.state.Count()
		toDial := r.Start(time.Since(p.startedAt), p.set.MaxConns-open-p.extraDials+extra)
		due, more := r.NextStart()
		p.extraDials -= extra
		extra = max(0, pending+len(toDial)-1)
		p.extraDials += extra
		p.mu.Unlock()
		for _, addr := range toDial {
			pending++
			go func() {
				_, network, target := addresses.Parse(addr)
				conn, err := p.set.Dial(ctx, network, target)
				results <- dialResult{addr, conn, err}
			}()
		}
		var next <-chan time.Time
		if wait := due - time.Since(p.startedAt); more && wait > 0 {
			timer := time.NewTimer(wait)
			defer timer.Stop()
			next = timer.C
		}
		select {
		case d := <-results:
			pending--
			p.mu.Lock()
			now, allFailed := time.Since(p.startedAt), false
			if d.err == nil {
				r.Connected(now, d.addr)
			} else {
				allFailed = r.Failed(now, d.addr)
			}
			p.mu.Unlock()
			if d.err == nil {
				return d.conn, nil
			}
			if lastErr = d.err; allFailed {
				return nil, lastErr
			}
		case <-next:
		case <-ctx.Done():
			p.mu.Lock()
			r.TimedOut(time.Since(p.startedAt))
			p.mu.Unlock()
			return nil, errors.Join(context.Cause(ctx), lastErr)
		}
	}
}
