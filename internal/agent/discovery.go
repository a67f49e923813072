package agent

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"time"

	"olivemux/choice"
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
	version int64
	silence time.Duration // after which a watch is dead
	client  *http.Client
	log     *slog.Logger
}

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

	url := fmt.Sprintf("http://%s/v1/endpoints?stream=1&index=%d", d.addr, d.version)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		if cause := context.Cause(ctx); cause != nil {
			return cause
		}
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("discovery answered %s", resp.Status)
	}
	// Empty lines mean nothing to the decoder, but every read shows that the watch is alive.
	lines := json.NewDecoder(readerFunc(func(p []byte) (int, error) {
		n, err := resp.Body.Read(p)
		silence.Reset(d.silence)
		return n, err
	}))
	for {
		var list endpointList
		if err := lines.Decode(&list); err != nil {
			if cause := context.Cause(ctx); cause != nil {
				return cause
			}
			return fmt.Errorf("reading the watch: %w", err)
		}
		d.version = list.Version
		deliver(list)
	}
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

var _ io.Reader = readerFunc(nil)
