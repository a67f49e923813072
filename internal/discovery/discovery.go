// Package discovery reads the list of servers: as a whole, and as a watch on its changes.
package discovery

import (
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
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/addresses"
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
	// A watch carries a line every 2 s at the least; one that is silent for longer than two of them is dead. What
	// changes meanwhile counts as told after 6 s, so a new watch must have delivered it by then.
	watchSilence = 4500 * time.Millisecond
	leastBackoff = 50 * time.Millisecond
	mostBackoff  = 500 * time.Millisecond
)

// Client watches the list of one discovery.
type Client struct {
	addr    string
	version int64         // of the latest list; nothing is known of this discovery's versions where it is unknown
	silence time.Duration // after which a watch is dead
	client  *http.Client
	log     *slog.Logger
}

// Unknown stands for the version of a list where none has come from that discovery yet: another one may count
// otherwise.
const Unknown = -1

// New returns a Client that has the list of a version, or Unknown.
func New(addr string, version int64, log *slog.Logger) *Client {
	return &Client{addr: addr, version: version, silence: watchSilence, log: log, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// KeepWatching watches until ctx ends, again and again from the last version. An agent goes on with the list that it has
// while there is no watch; lost, if it is not nil, is called at each that ends.
func (d *Client) KeepWatching(ctx context.Context, deliver func(List), lost func()) {
	wait := leastBackoff
	for ctx.Err() == nil {
		before := d.version
		err := d.Watch(ctx, deliver)
		if d.version != before {
			wait = leastBackoff
		}
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("the watch ended", "error", err, "version", d.version, "again_in", wait)
		if lost != nil {
			lost()
		}
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, mostBackoff)
	}
}

// Watch delivers lists in order until the watch ends; it always ends with an error.
func (d *Client) Watch(ctx context.Context, deliver func(List)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(d.silence, func() { cancel(fmt.Errorf("silent for %v", d.silence)) })
	defer silence.Stop()

	alive := func() { silence.Reset(d.silence) }
	if d.version == Unknown {
		if err := d.read(ctx, "", alive, func(l List) {
			l.Full = true
			d.version = l.Version
			deliver(l)
		}); !errors.Is(err, io.EOF) {
			return err
		}
	}
	return d.read(ctx, fmt.Sprintf("?stream=1&index=%d", d.version), alive, func(l List) {
		d.version = l.Version
		deliver(l)
	})
}

// read takes the lists of one answer until it ends; it always ends with an error.
func (d *Client) read(ctx context.Context, query string, alive func(), take func(List)) error {
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
	// Empty lines mean nothing to the decoder, but every read shows that the watch is alive.
	lines := json.NewDecoder(readerFunc(func(p []byte) (int, error) {
		n, err := resp.Body.Read(p)
		alive()
		return n, err
	}))
	for {
		var list List
		if err := lines.Decode(&list); err != nil {
			return cmp.Or(context.Cause(ctx), fmt.Errorf("reading the list: %w", err))
		}
		take(list)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var _ io.Reader = readerFunc(nil)
