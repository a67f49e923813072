// Package discovery reads the list of servers: as a whole, and as a watch on its changes.
package discovery

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/clock"
	"ternbeam/internal/decide/addresses"
	"ternbeam/internal/decide/asking"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/listing"
	"ternbeam/internal/protocol"
)

// List is a list of servers, or a change of one, as discovery words it.
type List struct {
	Version int64   `json:"version"`
	Full    bool    `json:"full"`
	Servers []Entry `json:"servers"`
}

// Entry is a server in a List.
type Entry struct {
	ID          string   `json:"id"`
	Addr        string   `json:"addr"`
	Addrs       []string `json:"addrs,omitempty"` // all under which it can be reached, the best first; Addr alone where absent
	Zone        string   `json:"zone"`
	Cell        int      `json:"cell"`
	State       string   `json:"state"`
	Weight      float64  `json:"weight"`
	StartedMS   int64    `json:"started_ms"`
	Protocol    string   `json:"protocol,omitempty"`    // HTTP/1.1 where absent
	Multiplexed bool     `json:"multiplexed,omitempty"` // takes several calls at a time on a connection
	Shapes      []string `json:"shapes,omitempty"`      // class/version of the messages that it takes, where it minds
}

// What one server may have.
const (
	maxAddrs  = 16
	maxShapes = 64
)

var states = map[string]choice.State{"in_service": choice.Ready, "terminating": choice.Draining,
	"terminated": choice.Gone}

// Server words an entry for the module. Module time is Unix time, so a start needs no mapping, and 0 stays
// 'long ago'.
func (e Entry) Server(zones []string) (choice.Server, error) {
	state, ok := states[e.State]
	if !ok {
		return choice.Server{}, fmt.Errorf("backend %q has the Unknown state %q", e.ID, e.State)
	}
	if len(e.Addrs) > maxAddrs {
		return choice.Server{}, fmt.Errorf("backend %q: %d addresses, %d at most are taken", e.ID, len(e.Addrs), maxAddrs)
	}
	for _, addr := range append([]string{e.Addr}, e.Addrs...) {
		if kind, _, target := addresses.Of(addr); kind == addresses.Unix && target != "" {
			continue
		}
		if _, _, err := net.SplitHostPort(addr); err != nil && state != choice.Gone {
			return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
		}
	}
	if len(e.Shapes) > maxShapes {
		return choice.Server{}, fmt.Errorf("backend %q: %d shapes, %d at most are taken", e.ID, len(e.Shapes), maxShapes)
	}
	speaks, err := protocol.Parse(e.Protocol)
	if err != nil {
		return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
	}
	if e.Multiplexed && speaks&protocol.HTTP != 0 {
		return choice.Server{}, fmt.Errorf("backend %q: HTTP/1.1 is not multiplexed", e.ID)
	}
	return choice.Server{ID: e.ID, Speaks: speaks, State: state, Zone: max(slices.Index(zones, e.Zone), 0), Cell: e.Cell,
		Weight: e.Weight, Started: time.Duration(e.StartedMS) * time.Millisecond}, nil
}

const (
	mostBytes = 8 << 20 // of one list: some 50,000 entries
	// pace is how much of a list shows that it goes on: one that takes longer than a watch may be silent comes at some 57 KB/s.
	pace = 256 << 10
	// standstill is by how much later than set a timer fires that shows that the process stood still, and what it takes then to
	// read what has come.
	standstill = 500 * time.Millisecond
)

// Client watches the list of one discovery.
type Client struct {
	addr    string
	lists   *listing.Keeper // which of them are believed
	silence time.Duration   // after which a watch is dead
	said    string          // how the latest watch ended, if none has delivered since
	doubt   bool            // drains of a list that was not believed were delivered, and no whole list since
	client  *http.Client
	log     *slog.Logger
}

// Unknown stands for the version of a list where none has come from that discovery yet: another one may count
// otherwise.
const Unknown = listing.Unknown

// New returns a Client that has a list already, or one of the version Unknown.
func New(addr string, known List, log *slog.Logger) *Client {
	lists := listing.New(known.Version)
	if known.Version != Unknown {
		lists.Judge(known.judged())
	}
	return &Client{addr: addr, lists: lists, silence: asking.Silence, log: log, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// judged is the list as far as it matters for whether it is believed.
func (l List) judged() listing.List {
	out := listing.List{Version: l.Version, Full: l.Full, Entries: make([]listing.Entry, 0, len(l.Servers))}
	for _, e := range l.Servers {
		out.Entries = append(out.Entries, listing.Entry{ID: e.ID, State: states[e.State], Started: e.StartedMS})
	}
	return out
}

// Listed is the entry as the ledger takes it.
func (e Entry) Listed(zones []string) (ledger.Entry, error) {
	s, err := e.Server(zones)
	return ledger.Entry{Server: s, Addr: e.Addr, Addrs: e.Addrs, Multiplexed: e.Multiplexed, Shapes: e.Shapes}, err
}

// KeepWatching watches until ctx ends, again and again from the last version, when the Asker says so. An agent goes on with
// the list that it has while there is no watch; lost, if it is not nil, is called at each that ends.
func (d *Client) KeepWatching(ctx context.Context, asker *asking.Asker, deliver func(List), lost func()) {
	contact := contactLog{log: d.log, last: clock.Now()}
	on := Events{Answered: func() { contact.answered(clock.Now()); asker.Answered(clock.Now()) }, Alive: func() { contact.alive(clock.Now()) },
		Deliver: func(l List) { asker.Delivered(); deliver(l) }}
	for next := asker.Start(clock.Now()); ; {
		select {
		case <-ctx.Done():
			return
		case <-time.After(next - clock.Now()):
		}
		asker.Asked(clock.Now())
		contact.called(clock.Now())
		on.Whole, on.Within = asker.How()
		silent := d.Watch(ctx, on)
		if ctx.Err() != nil {
			return
		}
		if lost != nil {
			lost()
		}
		next = asker.Over(clock.Now(), silent)
	}
}

// Events are told while a watch lasts, by the goroutine that watches.
type Events struct {
	Answered func()     // the call was taken
	Alive    func()     // something has come
	Deliver  func(List) // a list that is believed

	Whole  bool          // the whole list is asked for first
	Within time.Duration // in which a call is to be answered, and the whole list to come; 0 for what a watch may be silent
}

// silenceError is how a watch ends on which nothing has come for so long.
type silenceError time.Duration

func (s silenceError) Error() string { return fmt.Sprintf("silent for %v", time.Duration(s)) }

// Watch delivers lists in order until the watch ends, and returns for how long nothing had come then. How it ended is logged,
// unless the one before ended in the same way.
func (d *Client) Watch(ctx context.Context, on Events) (silent time.Duration) {
	err := d.watch(ctx, on)
	if ctx.Err() == nil && err.Error() != d.said {
		d.said = err.Error()
		d.log.Warn("the watch ended", "error", err, "version", d.lists.Version())
	}
	var silence silenceError
	errors.As(err, &silence)
	return time.Duration(silence)
}

// watch is Watch; it always ends with an error.
func (d *Client) watch(ctx context.Context, on Events) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	limit := d.silence
	if on.Within > 0 {
		limit = on.Within
	}
	var last atomic.Pointer[pause]
	last.Store(&pause{time.Now(), limit})
	silence := time.AfterFunc(limit, func() {
		before := last.Load()
		passed := time.Since(before.since)
		if passed < before.most { // something came at this moment, and the timer is set anew
			return
		}
		if passed < before.most+standstill {
			cancel(silenceError(before.most))
			return
		}
		// The process stood still itself, and has not read yet what has come meanwhile.
		time.AfterFunc(standstill, func() {
			if last.Load() == before {
				cancel(silenceError(before.most))
			}
		})
	})
	defer silence.Stop()
	goesOn := func(most time.Duration) {
		last.Store(&pause{time.Now(), most})
		silence.Reset(most)
	}
	answered := func() { goesOn(d.silence); on.Answered() }
	alive := func() { goesOn(d.silence); on.Alive() }
	if d.lists.Version() == Unknown || on.Whole || d.doubt {
		came, comes := answered, alive
		if on.Whole {
			came, comes = on.Answered, on.Alive // the whole list has as long as the call
		}
		if err := d.read(ctx, "", came, comes, func(l List) error {
			l.Full = true
			goesOn(limit) // for the watch
			return d.take(l, on.Deliver)
		}); !errors.Is(err, io.EOF) {
			return err
		}
	}
	return d.read(ctx, fmt.Sprintf("?stream=1&index=%d", d.lists.Version()), answered, alive, func(l List) error { return d.take(l, on.Deliver) })
}

// pause is a time in which nothing has come, and how long it may be.
type pause struct {
	since time.Time
	most  time.Duration
}

// take delivers what is believed of a list. One that is not ends the watch: the next begins from the last good one.
func (d *Client) take(l List, deliver func(List)) error {
	v := d.lists.Judge(l.judged())
	if v.Hold {
		if len(v.Draining) > 0 { // they bind at once; whether the rest is right the whole list says
			drains := List{Version: d.lists.Version()}
			for _, i := range v.Draining {
				e := l.Servers[i]
				e.State = "terminating"
				drains.Servers = append(drains.Servers, e)
			}
			d.doubt = true
			deliver(drains)
		}
		return fmt.Errorf("a list that is not believed: %s", v.Reason)
	}
	if v.Reason != "" {
		d.log.Warn("an odd list", "reason", v.Reason)
	}
	for _, i := range v.Draining {
		l.Servers[i].State = "terminating"
	}
	kept, skip := l.Servers[:0], v.Skip
	for i, e := range l.Servers {
		if len(skip) > 0 && skip[0] == i {
			skip = skip[1:]
			continue
		}
		kept = append(kept, e)
	}
	l.Servers = kept
	d.said, d.doubt = "", d.doubt && !l.Full
	deliver(l)
	return nil
}

// read takes the lists of one answer until it ends; it always ends with an error.
func (d *Client) read(ctx context.Context, query string, answered, alive func(), take func(List) error) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.addr+"/v1/endpoints"+query, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	answered()
	// Empty lines mean nothing to the decoder; they show that the watch is alive, and so does a list that is whole. One that
	// has begun does not: what comes of it in drips may never be one.
	var got, done, shown int64 // bytes that came, those of whole lists, and those when something was last shown
	within := false            // a list
	lines := json.NewDecoder(readerFunc(func(p []byte) (int, error) {
		if got-done > mostBytes {
			return 0, fmt.Errorf("a list of over %d bytes", mostBytes)
		}
		n, err := resp.Body.Read(p)
		got += int64(n)
		empty := len(bytes.TrimSpace(p[:n])) == 0
		within = within || !empty
		if !within && bytes.IndexByte(p[:n], '\n') >= 0 || got-shown >= pace {
			shown = got
			alive()
		}
		return n, err
	}))
	for {
		var list List
		if err := lines.Decode(&list); err != nil {
			return cmp.Or(context.Cause(ctx), fmt.Errorf("reading the list, byte %d: %w", lines.InputOffset(), err))
		}
		rest, err := io.ReadAll(lines.Buffered())
		if err != nil {
			return err
		}
		done, within, shown = lines.InputOffset(), len(bytes.TrimSpace(rest)) > 0, got
		alive()
		if err := take(list); err != nil {
			return err
		}
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var _ io.Reader = readerFunc(nil)
