// Package httpops is the second address, for those who run the agent: whether it takes clients, its figures, and the
// operators' word on servers.
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
	headTimeout    = time.Second // an answer is owed a second after a whole call, and nothing to half a one
	maxHeaderBytes = 8 << 10
	maxIDBytes     = 256
)

// Agent is what the second address speaks for.
type Agent interface {
	Figures() (*core.Figures, int64)
	Ready() <-chan struct{}
	Offline(ctx context.Context, id string) (known bool, err error)
	Online(ctx context.Context, id string) (known bool, err error)
}

// Server answers at the second address.
type Server struct {
	agent   Agent
	classes []string // names, as label values
	log     *slog.Logger
	http    *http.Server
	conns   *connLimit
}

// New returns a Server that keeps so many connections at the most.
func New(agent Agent, classes []choice.Class, most int, log *slog.Logger) *Server {
	s := &Server{agent: agent, log: log, conns: newConnLimit(most)}
	for _, c := range classes {
		s.classes = append(s.classes, escapeLabel(c.Name))
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /control/ready", s.ready)
	mux.HandleFunc("GET /control/counters", s.counters)
	mux.HandleFunc("POST /control/backends/{id}/offline", s.overrideHandler("out by hand", agent.Offline))
	mux.HandleFunc("POST /control/backends/{id}/online", s.overrideHandler("put back by hand", agent.Online))
	s.http = &http.Server{ReadHeaderTimeout: headTimeout, ReadTimeout: headTimeout, WriteTimeout: 2 * headTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnContext: withConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelDebug),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !s.conns.requestReceived(connOf(r.Context())) {
				return // it was closed just now, to make room
			}
			w.Header().Set("Connection", "close") // one call to a connection
			if p := r.URL.EscapedPath(); path.Clean(p) != p {
				http.NotFound(w, r) // the mux would point elsewhere, and a no is owed
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

// Serve answers until Close; it always ends with an error.
func (s *Server) Serve(l net.Listener) error { return s.http.Serve(l) }

// Close ends it.
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
		f.Discovered, f.Ejected)
	w.Header().Set("Content-Type", "text/plain; version=0.0.4; charset=utf-8")
	w.Write(b.Bytes()) // a failed write means that the caller has gone
}

// labels escapes what the form of figures has an own meaning for.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func escapeLabel(value string) string { return labelEscaper.Replace(value) }

// steer hands the operators' word on a server on.
func (s *Server) overrideHandler(what string, say func(context.Context, string) (bool, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := r.PathValue("id")
		if len(id) > maxIDBytes || strings.ContainsFunc(id, func(c rune) bool { return !unicode.IsPrint(c) }) {
			http.Error(w, fmt.Sprintf("an id of at most %d printable characters is wanted", maxIDBytes), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), headTimeout/2)
		defer cancel()
		known, err := say(ctx, id)
		switch {
		case err != nil:
			http.Error(w, "nothing is promised: "+err.Error(), http.StatusServiceUnavailable)
		case !known:
			http.Error(w, fmt.Sprintf("no backend %q", id), http.StatusNotFound)
		default:
			s.log.Info(what, "backend", id)
			fmt.Fprintln(w, "yes")
		}
	}
}
