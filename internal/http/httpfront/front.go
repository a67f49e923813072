// Package httpfront accepts HTTP/1.1 requests from clients, submits them to the core as calls and writes the final answers.
package httpfront

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"ternbeam/internal/decide/calltrack"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/throttle"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/host/membudget"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/settings/config"
)

const (
	// headTimeout and readTimeout limit the time for receiving a request: a client that sends nothing, or only part of a request, gets
	// an error or a close within 3 s of connecting.
	headTimeout = 2 * time.Second
	readTimeout = 2500 * time.Millisecond // for head and body
	// idleTimeout limits how long the connection of a client that never returns is kept. When idle connections use up too much of the
	// connection limit, package conntrack ends them much earlier.
	idleTimeout     = 10 * time.Minute
	minWriteTimeout = time.Second            // minimum time for which a client may accept nothing of its answer
	answerGrace     = 500 * time.Millisecond // an answer is still useful for this long after the client's deadline
)

// Front is the HTTP/1.1 server that the agent's clients connect to.
type Front struct {
	cfg           *config.Config
	shapes        ShapeFinder // nil when calls have no shapes
	longBodies    bool        // bodies may be long, and may use every framing of HTTP/1.1
	core          *core.Core
	log           *slog.Logger
	http          *http.Server
	conns         *conntrack.Tracker
	listener      *conntrack.Listener
	shuttingDown  atomic.Bool // answers announce that their connection closes
	probeInterval time.Duration
	throttle      *throttle.Throttle
	lingering     lingerers
	openRequests  *membudget.Budget // for what open requests need beside their bodies and answers
}

// ShapeFinder determines the shapes of requests.
type ShapeFinder interface {
	// HTTP returns the shape of a request of the given class, and whether the last segment of its path is the key. It returns
	// the zero CallShape for a class without shapes, and an error if the request has none of the shapes of its class.
	HTTP(class string, r *httpmsg.Request) (shape routes.CallShape, keyLast bool, err error)
}

// WithShapes makes the Front determine the shapes of requests. It must be called before Serve.
func (f *Front) WithShapes(s ShapeFinder) { f.shapes = s }

// New returns a Front that accepts connections on l and tracks them in conns.
func New(cfg *config.Config, c *core.Core, conns *conntrack.Tracker, l *net.TCPListener, log *slog.Logger) *Front {
	f := &Front{cfg: cfg, core: c, log: log, conns: conns, listener: conns.Listen(l, log).ReaderCloses(), probeInterval: conntrack.ProbeInterval}
	// No http.ServeMux: it would redirect a request whose path is not in canonical form.
	handler := func(w http.ResponseWriter, in *http.Request) {
		defer f.answerPanic(w, in)
		// MarkBusy fails if the connection was closed while the request was being read: the client retries, and the request must not take
		// effect twice.
		if !f.conns.MarkBusy(clientConnOf(in).conn) {
			f.log.Warn("request dropped as its connection had been closed", "id", in.Header.Get("X-Correlation-Id"))
			panic(http.ErrAbortHandler)
		}
		clientConnOf(in).answerStarted = false
		clientConnOf(in).recorder.headRead(in)
		if in.URL.Path != "/ready" {
			f.handleRequest(w, in)
			return
		}
		if f.shuttingDown.Load() {
			endConnection(w, in)
		}
		select {
		case <-c.Ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusTooEarly)
		}
		f.rest(w, in)
	}
	head, read := headTimeout, readTimeout
	if f.longBodies = cfg.AllowsLongBodies(); f.longBodies {
		head, read = longHeadTimeout, longHeadTimeout // bodies have timeouts of their own
	}
	f.throttle = throttle.New(cfg.Limits.Cores)
	f.lingering.most = cfg.LingerSockets()
	f.openRequests = membudget.New(cfg.OpenRequestsMemory())
	f.http = &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: head, ReadTimeout: read,
		WriteTimeout: cfg.MaxDeadline() + minWriteTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: httpmsg.MaxHead,
		ConnState: f.connState, ConnContext: f.withClientConn, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	return f
}

// rest delays the next request on a connection if many were answered without a server. The current answer is flushed before.
func (f *Front) rest(w http.ResponseWriter, in *http.Request) {
	client := clientConnOf(in)
	if d := f.throttle.Rest(&client.throttled, time.Now(), client.recorder.hasMore()); d > 0 {
		http.NewResponseController(w).Flush()
		f.core.CountRest()
		time.Sleep(d)
	}
}

// answerPanic answers a request whose handler has panicked, unless its answer has already started: net/http would close the
// connection without an answer.
func (f *Front) answerPanic(w http.ResponseWriter, in *http.Request) {
	cause := recover()
	switch {
	case cause == nil:
		return
	case cause == http.ErrAbortHandler, clientConnOf(in).answerStarted:
		panic(cause)
	}
	f.log.Error("the handling of a request panicked", "id", in.Header.Get("X-Correlation-Id"), "cause", cause, "stack", string(debug.Stack()))
	f.writeFailedAndClose(w, in)
}

// connState is the ConnState callback of the HTTP server. It keeps the state of the connection in conns up to date.
func (f *Front) connState(conn net.Conn, state http.ConnState) {
	c := conn.(*recordingConn).Conn
	switch state {
	case http.StateIdle:
		conn.(*recordingConn).requestDone()
		f.conns.MarkIdle(c)
	case http.StateClosed, http.StateHijacked:
		f.conns.MarkClosed(c)
	}
}

// clientConn is the connection of a client, as seen by the handlers of its requests.
type clientConn struct {
	conn     *conntrack.Conn
	recorder *recordingConn // wraps conn
	requests int            // requests so far

	answerStarted bool                     // the final answer to the current request has started
	room          []*membudget.Reservation // for the current request
	throttled     throttle.Connection

	opened time.Duration // on the core's clock
}

type clientConnKey struct{}

// withClientConn makes the connection available to the handlers of its requests, as the server's ConnContext.
func (f *Front) withClientConn(ctx context.Context, c net.Conn) context.Context {
	rc := c.(*recordingConn)
	return context.WithValue(ctx, clientConnKey{}, &clientConn{conn: rc.Conn, recorder: rc, opened: f.core.Now()})
}

func clientConnOf(in *http.Request) *clientConn {
	return in.Context().Value(clientConnKey{}).(*clientConn)
}

// Serve accepts connections until Stop is called. It always returns an error.
func (f *Front) Serve() error {
	return f.http.Serve(recordingListener{f.listener, f.http.ReadHeaderTimeout, &f.lingering, f.throttle})
}

// endConnection makes the connection of a request close after its answer, unless the client has already sent more data behind the
// request: that data would get no answer.
func endConnection(w http.ResponseWriter, in *http.Request) {
	if !clientConnOf(in).recorder.hasMore() {
		w.Header().Set("Connection", "close")
	}
}

// handleRequest handles one request of the application.
func (f *Front) handleRequest(w http.ResponseWriter, in *http.Request) {
	defer clientConnOf(in).releaseRoom()
	headRead := f.core.Now()
	call, body, err := f.parse(in, w)
	if errors.Is(err, membudget.ErrExhausted) {
		f.core.CountRefused(call, headRead)
		f.answerUnread(w, in, http.StatusServiceUnavailable, err.Error())
		return
	}
	if err != nil {
		status := http.StatusBadRequest
		switch tooLarge := (*http.MaxBytesError)(nil); {
		case errors.As(err, &tooLarge):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errUnsupportedFraming):
			status = http.StatusLengthRequired
		}
		f.core.CountMalformed() // not logged one by one: there may be thousands
		f.answerUnsound(w, in, status, err.Error())
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // otherwise it would also end the wait for the client's disconnect
	client := clientConnOf(in)
	gone := client.conn.CheckDisconnected
	// While a long body is being received, its reader detects a disconnect. A client that has disconnected by now did
	// so while an earlier request was handled, or long ago: nobody waits for the answer, so this request is not forwarded.
	if !call.BodyPending && gone() {
		f.core.CountUnsubmitted()
		f.writeFailedAndClose(w, in)
		return
	}
	slot := newAnswerSlot(call)
	defer slot.discard()
	call.Answer = slot.deliver
	client.requests++
	call.PollDisconnected = client.conn.Disconnected
	received := f.core.Now()
	call.PollMayHaveLeft = func() bool {
		return f.core.Now()-received > presenceTime && client.conn.MayHaveLeft()
	}
	call.Connection = calltrack.Connection{Opened: client.opened, Requests: client.requests}
	f.core.Submit(call)
	// Some clients send one request and keep their connection forever. Near the connection limit, the connection closes after the
	// first answer; a client that does return opens another one.
	if client.requests == 1 && f.conns.NearlyFull() {
		endConnection(w, in)
	}
	if call.BodyPending {
		defer body.stop() // however the call ends
		ans, err := f.awaitBody(call, body, slot.answers)
		if ans != nil {
			f.answerBeforeEnd(w, in, call, body, *ans)
			return
		}
		if err != nil {
			f.core.CountMalformed()
			f.answerUnsound(w, in, http.StatusBadRequest, err.Error())
			return
		}
	}
	if ans, ok := f.await(in.Context(), client.conn, slot.answers, gone); ok {
		f.writeFinal(w, in, call, ans)
		return
	}
	f.core.ClientDisconnected(call)
	f.writeFailedAndClose(w, in)
}

// answerBeforeEnd writes the answer to a call whose body may not have been received completely. Then its connection ends.
func (f *Front) answerBeforeEnd(w http.ResponseWriter, in *http.Request, call *core.Call, body *incomingBody, ans core.Answer) {
	unread := body.stop()
	if unread {
		w.Header().Set("Connection", "close")
	}
	f.writeFinal(w, in, call, ans)
	if reply, ok := ans.Reply.(*httpmsg.Reply); unread && (!ok || reply.Stream == nil) { // net/http has to end a stream
		f.linger(w)
	}
}

// presenceTime is how long a client counts as present behind its request. Nothing may be sent for one that has left 0.1 s ago.
const presenceTime = 80 * time.Millisecond

// bodyCheckInterval is how often the time of a client is checked while its body is received.
const bodyCheckInterval = 50 * time.Millisecond

// awaitBody receives the rest of a body until it is complete or the call has its answer, which may be earlier. The error is that of the body.
func (f *Front) awaitBody(call *core.Call, body *incomingBody, answer <-chan core.Answer) (*core.Answer, error) {
	ended := body.pump(f.core, call)
	ticker := time.NewTicker(bodyCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case ans := <-answer:
			return &ans, nil
		case err := <-ended:
			return nil, err
		case <-ticker.C:
			if body.expired(f.core.Now()) {
				f.core.BodyExpired(call)
				ticker.Stop()
			}
		}
	}
}
