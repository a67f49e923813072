package standin

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"ternbeam/internal/discovery"
)

// VersionedList is a list of servers with the log of its changes. It is safe for concurrent use.
type VersionedList struct {
	mu      sync.Mutex
	entries map[string]discovery.Entry
	version int64
	log     []discovery.Entry // changes; the one at index i made version i+1
	oldest  int64             // oldest version from which changes are still served
	changed chan struct{}     // closed at the next change
}

// NewVersionedList returns an empty VersionedList.
func NewVersionedList() *VersionedList {
	return &VersionedList{entries: map[string]discovery.Entry{}, changed: make(chan struct{})}
}

// List is a list service: an HTTP server with a VersionedList that agents query or watch.
type List struct {
	*VersionedList
	listener net.Listener
	http     *http.Server
}

// heartbeat is the interval at which a watch sends an empty line while nothing changes.
const heartbeat = 2 * time.Second

// NewList starts a list service on a free loopback port. It runs until Close.
func NewList(entries ...discovery.Entry) (*List, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &List{VersionedList: NewVersionedList(), listener: listen}
	l.http = &http.Server{Handler: http.HandlerFunc(l.serve), ReadHeaderTimeout: 5 * time.Second}
	l.Update(entries...)
	go l.http.Serve(listen)
	return l, nil
}

// Addr returns the address that the service listens on.
func (l *List) Addr() string { return l.listener.Addr().String() }

// Close stops the service and ends its watches.
func (l *List) Close() { l.http.Close() }

// Update adds or changes entries and wakes the watches. An entry in state terminated is removed.
func (l *VersionedList) Update(entries ...discovery.Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		if l.version++; e.State == "terminated" {
			delete(l.entries, e.ID)
		} else {
			l.entries[e.ID] = e
		}
		l.log = append(l.log, e)
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// DropHistory drops the log of changes: a query from an earlier version gets the full list.
func (l *VersionedList) DropHistory() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest = l.version
}

// Full returns the full list.
func (l *VersionedList) Full() discovery.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fullLocked()
}

func (l *VersionedList) fullLocked() discovery.List {
	full := discovery.List{Version: l.version, Full: true, Servers: []discovery.Entry{}}
	for _, e := range l.entries {
		full.Servers = append(full.Servers, e)
	}
	return full
}

// ChangesSince returns the changes after a version, or the full list if that version is unknown, and a channel that is
// closed at the next change.
func (l *VersionedList) ChangesSince(version int64) (discovery.List, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version < l.oldest || version > l.version {
		return l.fullLocked(), l.changed
	}
	return discovery.List{Version: l.version, Servers: append([]discovery.Entry{}, l.log[version:]...)}, l.changed
}

func (l *List) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/v1/endpoints" {
		http.NotFound(w, r)
		return
	}
	lines := json.NewEncoder(w)
	if !r.URL.Query().Has("stream") {
		lines.Encode(l.Full())
		return
	}
	version := int64(-1)
	fmt.Sscan(r.URL.Query().Get("index"), &version)
	flush := http.NewResponseController(w).Flush
	for {
		change, changed := l.ChangesSince(version)
		if change.Full || len(change.Servers) > 0 {
			lines.Encode(change)
			version = change.Version
		}
		flush()
		select {
		case <-changed:
		case <-time.After(heartbeat):
			fmt.Fprintln(w)
		case <-r.Context().Done():
			return
		}
	}
}
