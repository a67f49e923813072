package agent

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
)

// endpointList is a list of backends, or a change of one, as discovery words it.
type endpointList struct {
	Version int64      `json:"version"`
	Full    bool       `json:"full"`
	Servers []endpoint `json:"servers"`
}

type endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Cell      int     `json:"cell"`
	State     string  `json:"state"`
	Weight    float64 `json:"weight"`
	StartedMS int64   `json:"started_ms"`
}

var endpointStates = map[string]choice.State{"in_service": choice.Ready, "terminating": choice.Draining,
	"terminated": choice.Gone}

// server words an entry for the module. Module time is Unix time, so a start needs no mapping, and 0 stays
// 'long ago'.
func (e endpoint) server(zones []string) (choice.Server, error) {
	state, ok := endpointStates[e.State]
	if !ok {
		return choice.Server{}, fmt.Errorf("backend %q has the unknown state %q", e.ID, e.State)
	}
	if _, _, err := net.SplitHostPort(e.Addr); err != nil && state != choice.Gone {
		return choice.Server{}, fmt.Errorf("backend %q: %w", e.ID, err)
	}
	return choice.Server{ID: e.ID, State: state, Zone: max(slices.Index(zones, e.Zone), 0), Cell: e.Cell,
		Weight: e.Weight, Started: time.Duration(e.StartedMS) * time.Millisecond}, nil
}

const (
	// A watch carries a line every 2 s at the least; one that is silent for longer than two of them is dead. What
	// changes meanwhile counts as told after 6 s, so a new watch must have delivered it by then.
	watchSilence = 4500 * time.Millisecond
	leastBackoff = 50 * time.Millisecond
	mostBackoff  = 500 * time.Millisecond
)

// discovery watches the list of backends.
type discovery struct {
	addr    string
	version int64         // of the latest list; nothing is known of this discovery's versions where it is unknown
	silence time.Duration // after which a watch is dead
	client  *http.Client
	log     *slog.Logger
}

// unknown stands for the version of a list where none has come from that discovery yet: another one may count
// otherwise.
const unknown = -1

func newDiscovery(addr string, version int64, log *slog.Logger) *discovery {
	return &discovery{addr: addr, version: version, silence: watchSilence, log: log, client: &http.Client{
		Transport: &http.Transport{DisableCompression: true, DisableKeepAlives: true,
			DialContext: (&net.Dialer{Timeout: time.Second}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// keepWatching watches until ctx ends, again and again from the last version. An agent goes on with the list
// that it has while there is no watch.
func (d *discovery) keepWatching(ctx context.Context, deliver func(endpointList)) {
	wait := leastBackoff
	for ctx.Err() == nil {
		before := d.version
		err := d.watch(ctx, deliver)
		if d.version != before {
			wait = leastBackoff
		}
		if ctx.Err() != nil {
			return
		}
		d.log.Warn("the watch ended", "error", err, "version", d.version, "again_in", wait)
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		wait = min(2*wait, mostBackoff)
	}
}

// watch delivers lists in order until the watch ends; it always ends with an error.
func (d *discovery) watch(ctx context.Context, deliver func(endpointList)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(d.silence, func() { cancel(fmt.Errorf("silent for %v", d.silence)) })
	defer silence.Stop()

	alive := func() { silence.Reset(d.silence) }
	if d.version == unknown {
		if err := d.read(ctx, "", alive, func(l endpointList) {
			l.Full = true
			d.version = l.Version
			deliver(l)
		}); !errors.Is(err, io.EOF) {
			return err
		}
	}
	return d.read(ctx, fmt.Sprintf("?stream=1&index=%d", d.version), alive, func(l endpointList) {
		d.version = l.Version
		deliver(l)
	})
}

// read takes the lists of one answer until it ends; it always ends with an error.
func (d *discovery) read(ctx context.Context, query string, alive func(), take func(endpointList)) error {
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
		var list endpointList
		if err := lines.Decode(&list); err != nil {
			return cmp.Or(context.Cause(ctx), fmt.Errorf("reading the list: %w", err))
		}
		take(list)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var _ io.Reader = readerFunc(nil)
