// Package httpops serves the agent's operations address: whether the agent is ready for clients, its counters, and
// commands that take backends offline or back online.
package httpops

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"path"
	"strings"
	"time"
	"unicode"

	"ternbeam/choice"
	"ternbeam/internal/host/core"
)

const (
	requestTimeout = time.Second // a complete request is answered within this time, an incomplete one gets no answer
	maxHeaderBytes = 8 << 10
	maxIDBytes     = 256
)

// Agent is the agent that the operations address reports on and controls.
type Agent interface {
	Figures() (*core.Figures, int64)
	Ready() <-chan struct{}
	Offline(ctx context.Context, id string) (known bool, err error)
	Online(ctx context.Context, id string) (known bool, err error)
}

// Server serves the operations address.
type Server struct {
	agent   Agent
	classes []string // names, escaped as label values
	log     *slog.Logger
	http    *http.Server
	conns   *connLimit
}

// New returns a Server with at most maxConns connections.
func New(agent Agent, classes []choice.Class, maxConns int, log *slog.Logger) *Server {
	s := &Server{agent: agent, log: log, conns: newConnLimit(maxConns)}
	for _, c := range classes {
		s.classes = append(s.classes, escapeLabel(c.Name))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", s.ready)
	mux.HandleFunc("GET /control/counters", s.counters)
	mux.HandleFunc("POST /control/backends/{id}/offline", s.overrideHandler("out by hand", agent.Offline))
	mux.HandleFunc("POST /control/backends/{id}/online", s.overrideHandler("put back by hand", agent.Online))
	s.http = &http.Server{ReadHeaderTimeout: requestTimeout, ReadTimeout: requestTimeout, WriteTimeout: 2 * requestTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !s.conns.requestReceived(connOf(r.Context())) {
				return // just closed to make room
			}
			w.Header().Set("Connection", "close") // one request per connection
			if p := r.URL.EscapedPath(); path.Clean(p) != p {
				http.NotFound(w, r) // the mux would redirect, but the request must be rejected
				return
			}
			mux.ServeHTTP(w, r)
		}),
		ConnState: func(c net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				s.conns.add(c)
			case http.StateClosed, http.StateHijacked:
				s.conns.remove(c)
			}
		}}
	return s
}

// Serve accepts connections on l until Close is called. It always returns an error.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close closes the listener and all connections.
func (s *Server) Close() error { return s.http.Close() }

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(ctx context.Context) net.Conn { return ctx.Value(connKey{}).(net.Conn) }

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	select {
	case <-s.agent.Ready():
		fmt.Fprintln(w, "yes")
	default:
		http.Error(w, "not yet", http.StatusServiceUnavailable)
	}
}

func (s *Server) counters(w http.ResponseWriter, _ *http.Request) {
	f, forwards := s.agent.Figures()
	var b bytes.Buffer
	for i, name := range s.classes {
		c := f.Classes[i]
		fmt.Fprintf(&b, "svc_succeeded{service=\"%s\"} %d\n", name, c.Served)
		fmt.Fprintf(&b, "svc_declined{service=\"%s\"} %d\n", name, c.Refused)
		fmt.Fprintf(&b, "svc_aborted{service=\"%s\"} %d\n", name, c.Failed)
	}
	fmt.Fprintf(&b, "svc_forwards %d\nsvc_outstanding %d\nsvc_discovered %d\nsvc_ejected %d\n", forwards, f.Outstanding,
		f.Discovered, f.Avoided)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	w.Write(b.Bytes()) // a failed write means that the client has disconnected
}

// labelEscaper escapes the characters that have a meaning in the text format of the counters.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escapeLabel(value string) string { return labelEscaper.Replace(value) }

// overrideHandler returns a handler that applies an operator's command to a backend and logs it as message.
func (s *Server) overrideHandler(message string, apply func(context.Context, string) (bool, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > maxIDBytes || strings.ContainsFunc(id, func(c rune) bool { return !unicode.IsPrint(c) }) {
			http.Error(w, fmt.Sprintf("an id of at most %d printable characters is wanted", maxIDBytes), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout/2)
		defer cancel()
		known, err := apply(ctx, id)
		switch {
		case err != nil:
			http.Error(w, "nothing is promised: "+err.Error(), http.StatusServiceUnavailable)
		case !known:
			http.Error(w, fmt.Sprintf("no backend %q", id), http.StatusNotFound)
		default:
			s.log.Info(message, "backend", id)
			fmt.Fprintln(w, "yes")
		}
	}
}
