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
	"time"

	"ternbeam/choice"
)

const (
	// An error or a close is owed within 3 s of connecting to whoever sends nothing or not all.
	headTimeout = 2 * time.Second
	readTimeout = 2500 * time.Millisecond // for head and body
	// From 2 s on an idle connection may be closed. Clients that ask once keep theirs for good, and all clients
	// together hold a third of the descriptors at most: each that stays longer keeps another client out.
	idleTimeout = 2050 * time.Millisecond
	lateWrite   = time.Second // how long after the deadline an answer may still be written
	maxHead     = 16 << 10    // of a request or an answer
)

// server is the application's side of the agent.
type server struct {
	agent *Agent
	http  *http.Server
	door  *door
}

func newServer(a *Agent, l *net.TCPListener) *server {
	s := &server{agent: a, door: newDoor(l, a.cfg.clientSockets())}
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
	s.http = &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: headTimeout, ReadTimeout: readTimeout,
		WriteTimeout: a.cfg.longestDeadline() + lateWrite, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
		ConnState: s.door.note, ConnContext: countAsked, ErrorLog: slog.NewLogLogger(a.log.Handler(), slog.LevelWarn)}
	return s
}

type askedKey struct{}

// countAsked lets the requests on a connection be counted.
func countAsked(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, askedKey{}, new(int))
}

func (s *server) serve() error { return s.http.Serve(s.door) }

// stop ends the server gently. Clients hear of it a little later, so new connections are accepted for a while;
// those that wait for nothing are closed at once, while a client that just wrote to one can still come anew.
// After that, what was taken is answered, for so long as it may take; who has said nothing by then is not waited
// for.
func (s *server) stop(lingering, atMost time.Duration) {
	end := time.Now().Add(atMost)
	s.http.SetKeepAlivesEnabled(false) // closes what is idle, and the others with their answers
	s.door.closeAfter(lingering)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	silent := time.AfterFunc(lastWords, s.door.dropSilent)
	defer silent.Stop()
	if err := s.http.Shutdown(ctx); err != nil {
		s.agent.log.Warn("connections were still open at the end", "error", err)
		s.http.Close()
	}
}

// request serves one request of the application.
func (s *server) request(w http.ResponseWriter, in *http.Request) {
	arrival := s.agent.now() // before the body: the client's time runs from its send
	r, err := s.parse(in, arrival)
	if err != nil {
		status := http.StatusBadRequest
		switch tooLarge := (*http.MaxBytesError)(nil); {
		case errors.As(err, &tooLarge):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errFraming):
			status = http.StatusLengthRequired
		}
		s.agent.malformed.Add(1)              // no line each: they may come by the thousand
		w.Header().Set("Connection", "close") // whoever sent this may have sent anything behind it
		http.Error(w, err.Error(), status)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // or waiting for the client to leave would end with it
	s.agent.post(func() { s.agent.arrived(r) })
	asked := in.Context().Value(askedKey{}).(*int)
	// Some clients ask once and keep their connection for good. Where places get short it ends with the answer; a
	// client that does come back opens another.
	if *asked++; *asked == 1 && s.door.crowded() {
		w.Header().Set("Connection", "close")
	}
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
func (s *server) parse(in *http.Request, arrival time.Duration) (*request, error) {
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

	if in.ContentLength > maxBody {
		return nil, &http.MaxBytesError{Limit: maxBody} // without reading it
	}
	if in.ContentLength != 0 {
		r.body = make([]byte, in.ContentLength)
		if _, err = io.ReadFull(in.Body, r.body); err != nil {
			return nil, fmt.Errorf("reading the body: %w", err)
		}
	}
	return r, nil
}
