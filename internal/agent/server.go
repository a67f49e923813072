package agent

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/net/netutil"

	"olivemux/choice"
)

const (
	headTimeout = 5 * time.Second  // for a request's head, once it has begun
	idleTimeout = 90 * time.Second // of a client's connection
	lateWrite   = time.Second      // how long after the deadline an answer may still be written
)

// server is the application's side of the agent.
type server struct {
	agent *Agent
	http  *http.Server
	most  int

	mu   sync.Mutex
	idle map[net.Conn]time.Time // connections without a request, since when
	open int
}

func newServer(a *Agent) *server {
	s := &server{agent: a, most: a.cfg.clientSockets(), idle: map[net.Conn]time.Time{}}
	// No http.ServeMux: it would redirect where a path is not in its plainest form.
	handler := func(w http.ResponseWriter, in *http.Request) {
		if in.URL.Path != "/ready" {
			s.request(w, in)
			return
		}
		select {
		case <-a.ready:
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusTooEarly)
		}
	}
	s.http = &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: 16 << 10, ConnState: s.connState, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelWarn)}
	return s
}

func (s *server) serve(l net.Listener) error { return s.http.Serve(netutil.LimitListener(l, s.most)) }

// stop ends the server gently. Clients hear of it a little later, so new connections are accepted for a while;
// those that wait for nothing are closed at once, while a client that just wrote to one can still come anew.
// After that, what was taken is answered, for so long as it may take.
func (s *server) stop(lingering, atMost time.Duration) {
	end := time.Now().Add(atMost)
	s.http.SetKeepAlivesEnabled(false) // closes what is idle, and the others with their answers
	time.Sleep(lingering)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := s.http.Shutdown(ctx); err != nil {
		s.agent.log.Warn("connections were still open at the end", "error", err)
		s.http.Close()
	}
}

// connState keeps account of the connections. When almost all descriptors for clients are in use, the
// connection that has been idle for longest gives way; the client opens another when it needs one.
func (s *server) connState(c net.Conn, state http.ConnState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew:
		s.open++
		if s.open >= s.most-1 {
			s.evictLocked()
		}
	case http.StateActive:
		delete(s.idle, c)
	case http.StateIdle:
		s.idle[c] = time.Now()
		if s.open >= s.most-1 { // one that waits to be accepted makes no state of its own
			s.evictLocked()
		}
	case http.StateClosed, http.StateHijacked:
		s.open--
		delete(s.idle, c)
	}
}

func (s *server) evictLocked() {
	var oldest net.Conn
	for c, since := range s.idle {
		if oldest == nil || since.Before(s.idle[oldest]) {
			oldest = c
		}
	}
	if oldest != nil {
		delete(s.idle, oldest)
		oldest.Close()
	}
}

// request serves one request of the application.
func (s *server) request(w http.ResponseWriter, in *http.Request) {
	arrival := s.agent.now() // before the body: the client's time runs from its send
	r, err := s.parse(w, in, arrival)
	if err != nil {
		status := http.StatusBadRequest
		switch tooLarge := (*http.MaxBytesError)(nil); {
		case errors.As(err, &tooLarge):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errFraming):
			status = http.StatusLengthRequired
		}
		s.agent.log.Debug("malformed request", "error", err)
		w.Header().Set("Connection", "close") // whoever sent this may have sent anything behind it
		http.Error(w, err.Error(), status)
		return
	}
	http.NewResponseController(w).SetWriteDeadline(s.agent.at(r.Deadline + lateWrite))
	s.agent.post(func() { s.agent.arrived(r) })
	select {
	case ans := <-r.reply:
		s.answer(w, ans)
	case <-in.Context().Done():
		s.agent.post(func() { s.agent.left(r) })
		// Nobody should be there to read this; whoever is must not take the silence for an empty answer.
		s.answer(w, answer{status: http.StatusBadGateway})
	}
}

func (s *server) answer(w http.ResponseWriter, ans answer) {
	h := w.Header()
	h["Content-Type"] = nil // no guess from the body
	if ans.contentType != "" {
		h.Set("Content-Type", ans.contentType)
	}
	if ans.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(ans.retryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Length", strconv.Itoa(len(ans.body)))
	w.WriteHeader(ans.status)
	w.Write(ans.body) // a failed write means that the client has gone
}

// methods are those of the classes' effects.
var methods = map[choice.Effect]string{choice.Safe: http.MethodGet, choice.Keyed: http.MethodPost,
	choice.Unsafe: http.MethodPost}

// errFraming is why a request is turned away whose end may be told in two ways. net/http drops the Content-Length
// beside a Transfer-Encoding before anybody can see it, and in HTTP/1.0 the Transfer-Encoding; the two may disagree
// on where the request ends and so hide another in its body. The application sends neither.
var errFraming = errors.New("requests are taken without Transfer-Encoding and as HTTP 1.1 only")

// parse reads a request whole. What it returns as an error is the client's fault.
func (s *server) parse(w http.ResponseWriter, in *http.Request, arrival time.Duration) (*request, error) {
	if len(in.TransferEncoding) > 0 || !in.ProtoAtLeast(1, 1) {
		return nil, errFraming
	}
	cfg, h := s.agent.cfg, in.Header
	r := &request{method: in.Method, url: in.URL, header: h, reply: make(chan answer, 1)}
	for _, name := range []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "Idempotency-Key"} {
		if len(h[name]) > 1 {
			return nil, fmt.Errorf("%s given %d times", name, len(h[name]))
		}
	}
	if r.ID = h.Get("X-Correlation-Id"); r.ID == "" {
		return nil, errors.New("no X-Correlation-Id")
	}
	parts := strings.Split(strings.Trim(in.URL.Path, "/"), "/")
	name := h.Get("X-Service-Class")
	if r.Class = cfg.class(name); r.Class < 0 || parts[0] != name {
		return nil, fmt.Errorf("class %q in X-Service-Class, %q in the path", name, parts[0])
	}
	effect := cfg.module.Classes[r.Class].Effect
	if in.Method != methods[effect] {
		return nil, fmt.Errorf("method %s for class %q", in.Method, name)
	}
	if effect == choice.Safe && in.ContentLength != 0 {
		return nil, fmt.Errorf("a body for class %q", name)
	}
	if keyed := h.Get("Idempotency-Key") != ""; keyed != (effect == choice.Keyed) {
		return nil, fmt.Errorf("Idempotency-Key given: %t, for class %q", keyed, name)
	}
	if r.Tenant = cfg.tenant(h.Get("X-Account")); r.Tenant < 0 {
		return nil, fmt.Errorf("unknown X-Account %q", h.Get("X-Account"))
	}
	left, err := strconv.ParseFloat(h.Get("X-Time-Left"), 64)
	if err != nil || math.IsNaN(left) || math.IsInf(left, 0) || left <= 0 {
		return nil, fmt.Errorf("X-Time-Left %q is no time above 0", h.Get("X-Time-Left"))
	}
	longest := cfg.module.Classes[r.Class].Deadline
	r.Deadline = arrival + time.Duration(min(left, longest.Seconds())*float64(time.Second))
	if len(parts) > 1 {
		r.Key = parts[len(parts)-1]
	}
	r.Again = h.Get("X-Repeat") == "1"

	control := http.NewResponseController(w)
	if in.ContentLength != 0 {
		control.SetReadDeadline(s.agent.at(r.Deadline))
		if r.body, err = io.ReadAll(http.MaxBytesReader(w, in.Body, maxBody)); err != nil {
			return nil, fmt.Errorf("reading the body: %w", err)
		}
		control.SetReadDeadline(time.Time{}) // or waiting for the client to leave would end at the deadline
	}
	return r, nil
}
