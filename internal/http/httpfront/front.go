// Package httpfront takes calls in HTTP/1.1 and gives their final answers.
package httpfront

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/ledger"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/decide/shutdown"
	"ternbeam/internal/host/conntrack"
	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/config"
)

const (
	// An error or a close is owed within 3 s of connecting to whoever sends nothing or not all.
	headTimeout = 2 * time.Second
	readTimeout = 2500 * time.Millisecond // for head and body
	// idleTimeout is how long the connection of a client that never returns is kept. Where idle ones hold too many places the tracker ends them
	// long before.
	idleTimeout = 10 * time.Minute
	lateWrite   = time.Second            // how long a client may take nothing of its answer, at the least
	answerGrace = 500 * time.Millisecond // after a client's time an answer to it still counts as one
)

// Front is the HTTP/1.1 side of the agent towards its clients.
type Front struct {
	cfg     *config.Config
	shapes  Shapes // nil where calls have none
	long    bool   // bodies may be long, and come in every form of HTTP/1.1
	core    *core.Core
	log     *slog.Logger
	http    *http.Server
	tracker *conntrack.Tracker
	listen  *conntrack.Listener
	ending  atomic.Bool // answers say that their connection ends
	look    time.Duration
	budget  httpmsg.Budget
}

// Shapes finds the shapes of requests.
type Shapes interface {
	// HTTP finds that of a request of a class, and whether its path ends in what it is about. The zero Tag is that of a
	// class without shapes; a request in none of its class's is an error.
	HTTP(class string, r *httpmsg.Request) (tag routes.Tag, keyLast bool, err error)
}

// WithShapes has the Front find the shapes of requests. It is called before Serve.
func (f *Front) WithShapes(s Shapes) { f.shapes = s }

// New returns a Front that takes the connections of a listener through a connection tracker.
func New(cfg *config.Config, c *core.Core, d *conntrack.Tracker, l *net.TCPListener, log *slog.Logger) *Front {
	f := &Front{cfg: cfg, core: c, log: log, tracker: d, listen: d.Listen(l, log).ReaderCloses(), look: conntrack.ProbeInterval}
	// No http.ServeMux: it would redirect where a path is not in its plainest form.
	handler := func(w http.ResponseWriter, in *http.Request) {
		defer f.answerPanic(w, in)
		if !f.tracker.Busy(callerOf(in).conn) { // closed while this was being read: its client asks once more, and must not have its effect twice
			f.log.Warn("request dropped as its connection had been closed", "id", in.Header.Get("X-Correlation-Id"))
			panic(http.ErrAbortHandler)
		}
		callerOf(in).answering = false
		callerOf(in).tape.begin(in)
		if in.URL.Path != "/ready" {
			f.request(w, in)
			return
		}
		if f.ending.Load() {
			endConnection(w, in)
		}
		select {
		case <-c.Ready():
			w.WriteHeader(http.StatusOK)
		default:
			w.WriteHeader(http.StatusTooEarly)
		}
	}
	head, read := headTimeout, readTimeout
	if f.long = cfg.Long(); f.long {
		head, read = longHeadTimeout, longHeadTimeout // bodies have a pace of their own
	}
	f.budget.Most = cfg.Limits.HeapLimit() / uploadsPart
	f.http = &http.Server{Handler: http.HandlerFunc(handler), ReadHeaderTimeout: head, ReadTimeout: read,
		WriteTimeout: cfg.LongestDeadline() + lateWrite, IdleTimeout: idleTimeout, MaxHeaderBytes: httpmsg.MaxHead,
		ConnState: f.note, ConnContext: f.withCaller, ErrorLog: slog.NewLogLogger(log.Handler(), slog.LevelWarn)}
	return f
}

// answerPanic answers a request whose handling has panicked, where its answer has not begun: net/http would end the connection without one.
func (f *Front) answerPanic(w http.ResponseWriter, in *http.Request) {
	cause := recover()
	switch {
	case cause == nil:
		return
	case cause == http.ErrAbortHandler, callerOf(in).answering:
		panic(cause)
	}
	f.log.Error("the handling of a request panicked", "id", in.Header.Get("X-Correlation-Id"), "cause", cause, "stack", string(debug.Stack()))
	f.abandon(w, in)
}

// note follows a connection through the server, as its ConnState.
func (f *Front) note(conn net.Conn, state http.ConnState) {
	c := conn.(*tape).Conn
	switch state {
	case http.StateIdle:
		conn.(*tape).next()
		f.tracker.Idle(c)
	case http.StateClosed, http.StateHijacked:
		f.tracker.Closed(c)
	}
}

// caller is a client's connection, as its requests find it.
type caller struct {
	conn  *conntrack.Conn
	tape  *tape // over conn
	asked int   // requests so far

	answering bool // the final answer to the current request has begun

	opened time.Duration // on the module's clock
}

type callerKey struct{}

// withCaller lets the requests on a connection find it.
func (f *Front) withCaller(ctx context.Context, c net.Conn) context.Context {
	t := c.(*tape)
	return context.WithValue(ctx, callerKey{}, &caller{conn: t.Conn, tape: t, opened: f.core.Now()})
}

func callerOf(in *http.Request) *caller { return in.Context().Value(callerKey{}).(*caller) }

// Serve takes calls until Stop; it always ends with an error.
func (f *Front) Serve() error {
	return f.http.Serve(taped{f.listen, f.http.ReadHeaderTimeout})
}

// Stop ends the front gently. Clients hear of it a little later, so new connections are accepted for a while, or not at
// all where another process accepts at the same socket. Those that wait for nothing are left open for some time, in which whoever asks once more is answered and told that the connection
// ends; then they are closed, while a client that just wrote to one can still come anew. After that, what was taken is
// answered, for so long as it may take; who has said nothing by then is not waited for.
func (f *Front) Stop(begin time.Time, plan shutdown.Schedule) {
	end := begin.Add(plan.CloseBy)
	f.ending.Store(true)
	stage := f.stages(begin)
	closed := make(chan struct{})
	go func() { f.listen.CloseAfter(plan.Accept, end); close(closed) }()
	time.Sleep(plan.Idle)
	// Not http.Server's Shutdown: it closes a connection that it takes for idle while a request is being read there, which is
	// then sent on all the same, and once more when its client, who heard nothing, asks again.
	f.listen.CloseIdle()
	stage("idle connections told to end")
	<-closed
	stage("accepting ended")
	silent := time.AfterFunc(min(conntrack.SilentGrace, time.Until(end)-conntrack.AnswerWriteTime), func() {
		f.listen.CloseSilent()
		stage("silent connections told to end")
	})
	defer silent.Stop()
	if !f.empty(end.Add(-conntrack.AnswerWriteTime)) {
		f.listen.CloseUnfinished() // nobody sends on in time what has not come whole by now
		stage("unfinished requests told to end")
		if !f.empty(end) {
			f.log.Warn("connections were still open at the end", "connections", f.tracker.Count())
		}
	}
	f.http.Close()
	stage("closed")
}

// empty waits until no connection is left, or until some time. It reports whether none is.
func (f *Front) empty(by time.Time) bool {
	ctx, cancel := context.WithDeadline(context.Background(), by)
	defer cancel()
	return f.listen.Empty(ctx) == nil
}

// stages begins the log of a shutdown and returns what logs its next stage.
func (f *Front) stages(begin time.Time) (stage func(name string)) {
	f.log.Info("shutdown", "stage", "begun", "connections", f.tracker.Count())
	return func(name string) {
		s := f.tracker.Stats()
		f.log.Info("shutdown", "stage", name, "after", time.Since(begin).Round(time.Millisecond), "connections", f.tracker.Count(), "accepted", s.Accepted,
			"closed_for_room", s.ClosedForRoom, "ended_idle", s.EndedIdle, "ended_silent", s.EndedSilent, "kept_begun", s.KeptBegun, "ended_begun", s.EndedBegun)
	}
}

// endConnection has the connection of a request end with its answer, unless the client has sent more behind the request: that would be closed on
// unanswered.
func endConnection(w http.ResponseWriter, in *http.Request) {
	if !callerOf(in).tape.hasMore() {
		w.Header().Set("Connection", "close")
	}
}

// request serves one request of the application.
func (f *Front) request(w http.ResponseWriter, in *http.Request) {
	call, body, err := f.parse(in, w)
	if err != nil {
		status := http.StatusBadRequest
		switch tooLarge := (*http.MaxBytesError)(nil); {
		case errors.As(err, &tooLarge):
			status = http.StatusRequestEntityTooLarge
		case errors.Is(err, errFraming):
			status = http.StatusLengthRequired
		}
		f.core.Malformed()                    // no line each: they may come by the thousand
		w.Header().Set("Connection", "close") // whoever sent this may have sent anything behind it
		http.Error(w, err.Error(), status)
		return
	}
	http.NewResponseController(w).SetReadDeadline(time.Time{}) // or waiting for the client to leave would end with it
	from := callerOf(in)
	gone := func() bool {
		gone, over := from.conn.Probe()
		if over { // no requests can be told apart in what is left of that
			w.Header().Set("Connection", "close")
		}
		return gone
	}
	// While a long body comes its reader sees the end. Who is gone was so behind another request, or long ago: there is nobody to
	// send this on for.
	if !call.Coming && gone() {
		f.core.Abandoned()
		f.abandon(w, in)
		return
	}
	answers := newHandover(call)
	defer answers.clear()
	call.Answer = answers.give
	from.asked++
	call.Disconnected = from.conn.Disconnected
	call.Connection = ledger.Connection{Opened: from.opened, Requests: from.asked}
	f.core.Take(call)
	// Some clients ask once and keep their connection for good. Where places get short it ends with the answer; a
	// client that does come back opens another.
	if from.asked == 1 && f.tracker.NearlyFull() {
		endConnection(w, in)
	}
	if call.Coming {
		defer body.stop() // however this ends
		broken, err := body.pump(f.core, call), error(nil)
		select {
		case ans := <-answers.one:
			if body.stop() {
				w.Header().Set("Connection", "close") // what is left of the request is not read
			}
			f.final(w, in, call, ans)
			return
		case err = <-broken: // nil where it is whole
		}
		if err != nil {
			f.core.Malformed()
			w.Header().Set("Connection", "close")
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	if ans, ok := f.await(in.Context(), from.conn, answers.one, gone); ok {
		f.final(w, in, call, ans)
		return
	}
	f.core.Left(call)
	f.abandon(w, in)
}

// await waits for the answer to a call. It is false where the client leaves before. net/http reads the connection meanwhile and
// tells at once of its end, unless something has come behind the request: then it reads no further, and the connection is looked at.
func (f *Front) await(ctx context.Context, conn *conntrack.Conn, answer <-chan core.Answer, gone func() bool) (core.Answer, bool) {
	look := time.NewTicker(f.look)
	defer look.Stop()
	for {
		select {
		case ans := <-answer:
			return ans, true
		case <-ctx.Done():
			return core.Answer{}, false
		case <-conn.Unwatched():
			look.Reset(f.look)
		case <-look.C:
			switch {
			case conn.Watched():
				look.Stop()
			case gone():
				return core.Answer{}, false
			}
		}
	}
}

// handover brings one call its final answer. An answer may begin to come at the moment at which its client leaves: whoever
// finds it last closes what it comes on, which would wait for a reader for good.
type handover struct {
	call *core.Call
	one  chan core.Answer
}

func newHandover(call *core.Call) handover { return handover{call, make(chan core.Answer, 1)} }

// give is Call.Answer.
func (h handover) give(ans core.Answer) {
	if h.one <- ans; h.call.Gone() {
		h.clear()
	}
}

// clear closes an answer that nobody took. Where none has come yet, give does if the client is gone by then.
func (h handover) clear() {
	select {
	case ans := <-h.one:
		if r, ok := ans.Reply.(io.Closer); ok {
			r.Close()
		}
	default:
	}
}

// methods are those of the classes' effects.
var methods = map[choice.Effect]string{choice.Safe: http.MethodGet, choice.Keyed: http.MethodPost,
	choice.Unsafe: http.MethodPost}

// errFraming is why a request is turned away whose end may be told in two ways. net/http drops the Content-Length
// beside a Transfer-Encoding before anybody can see it, and in HTTP/1.0 the Transfer-Encoding; the two may disagree
// on where the request ends and so hide another in its body. The application sends neither.
var errFraming = errors.New("requests are taken without Transfer-Encoding and as HTTP 1.1 only")

// errTwoLengths is why a request is turned away that has a length beside a Transfer-Encoding.
var errTwoLengths = errors.New("a Content-Length beside a Transfer-Encoding")

// once are the headers that a request may hold one of.
var once = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "Idempotency-Key"}

// parse reads a request, whole or as far as it is read before the core takes it: then the rest is still to come. What it
// returns as an error is the client's fault.
func (f *Front) parse(in *http.Request, w http.ResponseWriter) (*core.Call, *arriving, error) {
	call, left, err := f.parseHead(in)
	if err != nil {
		return nil, nil, err
	}
	body, err := f.readBody(in, w, call)
	if err != nil {
		return nil, nil, err
	}
	from := callerOf(in)
	waited := from.conn.SinceLastData() // its client counts from when it sent the request
	left = max(0, left-waited)
	call.Deadline = f.core.Now() + left // counted from the last byte
	if call.Coming {
		body.left = left
		call.Deadline += body.longest()
	}
	return call, body, nil
}

// parseHead reads what the head says, and how long the client waits.
func (f *Front) parseHead(in *http.Request) (call *core.Call, wait time.Duration, err error) {
	chunked := len(in.TransferEncoding) > 0
	if !in.ProtoAtLeast(1, 1) || chunked && !f.long {
		return nil, 0, errFraming
	}
	if chunked {
		if callerOf(in).tape.twoLengths(in) {
			return nil, 0, errTwoLengths
		}
	}
	cfg, h := f.cfg, in.Header
	payload := &httpmsg.Request{Method: in.Method, URL: in.URL, Header: h}
	call = &core.Call{Payload: payload}
	call.Needs = protocol.HTTP
	for _, name := range once {
		if len(h[name]) > 1 {
			return nil, 0, fmt.Errorf("%s given %d times", name, len(h[name]))
		}
	}
	if call.ID = h.Get("X-Correlation-Id"); call.ID == "" {
		return nil, 0, errors.New("no X-Correlation-Id")
	}
	parts := strings.Split(strings.Trim(in.URL.Path, "/"), "/")
	name := h.Get("X-Service-Class")
	call.Class = cfg.Class(name)
	keyLast := true
	if f.shapes != nil && call.Class >= 0 {
		if call.Tag, keyLast, err = f.shapes.HTTP(name, payload); err != nil {
			return nil, 0, err
		}
	}
	if call.Class < 0 || parts[0] != name && !call.Tag.Set() {
		return nil, 0, fmt.Errorf("class %q in X-Service-Class, %q in the path", name, parts[0])
	}
	effect := cfg.Module.Classes[call.Class].Effect
	if !call.Tag.Set() { // or the shape says which method it has, and whether a body
		if in.Method != methods[effect] {
			return nil, 0, fmt.Errorf("method %s for class %q", in.Method, name)
		}
		if effect == choice.Safe && in.ContentLength != 0 {
			return nil, 0, fmt.Errorf("a body for class %q", name)
		}
	}
	if keyed := h.Get("Idempotency-Key") != ""; keyed != (effect == choice.Keyed) {
		return nil, 0, fmt.Errorf("Idempotency-Key given: %t, for class %q", keyed, name)
	}
	if call.Tenant = cfg.Tenant(h.Get("X-Account")); call.Tenant < 0 {
		return nil, 0, fmt.Errorf("unknown X-Account %q", h.Get("X-Account"))
	}
	left, err := strconv.ParseFloat(h.Get("X-Time-Left"), 64)
	if err != nil || math.IsNaN(left) || math.IsInf(left, 0) || left <= 0 {
		return nil, 0, fmt.Errorf("X-Time-Left %q is no time above 0", h.Get("X-Time-Left"))
	}
	if len(parts) > 1 && keyLast {
		call.Key = parts[len(parts)-1]
	}
	call.Again = h.Get("X-Repeat") == "1"
	longest := cfg.Module.Classes[call.Class].Deadline
	return call, time.Duration(min(left, longest.Seconds()) * float64(time.Second)), nil
}
