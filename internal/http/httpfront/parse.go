package httpfront

import (
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/config"
)

// methods maps the effect of a class to the method of its requests.
var methods = map[choice.Effect]string{choice.Safe: http.MethodGet, choice.Keyed: http.MethodPost,
	choice.Unsafe: http.MethodPost}

// errUnsupportedFraming rejects a request that is not HTTP/1.1, or that has a Transfer-Encoding although its body may not be long:
// the end of such a request could be determined in two ways. net/http drops a Content-Length next to a Transfer-Encoding before any
// handler can see it, and drops the Transfer-Encoding in HTTP/1.0. The two may disagree on where the request ends, and so smuggle
// another request in its body. The application sends neither.
var errUnsupportedFraming = errors.New("requests are taken without Transfer-Encoding and as HTTP 1.1 only")

// errTwoLengths rejects a request that has both a Content-Length and a Transfer-Encoding.
var errTwoLengths = errors.New("a Content-Length beside a Transfer-Encoding")

// singleHeaders lists the headers that may occur only once in a request.
var singleHeaders = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "Idempotency-Key"}

// parse reads a request. It reads a short body completely; the rest of a long one is received after the core has accepted the call.
// Every error that it returns is the client's fault, except membudget.ErrExhausted: then it returns a call, which is to be refused.
func (f *Front) parse(in *http.Request, w http.ResponseWriter) (*core.Call, *incomingBody, error) {
	call, wait, err := f.parseHead(in)
	if err != nil {
		return nil, nil, err
	}
	client := clientConnOf(in)
	call.Deadline = f.core.Now() + wait // until the last byte has come
	if err := client.reserve(f.conns.Budget(), bodyRoom(in.ContentLength), wait); err != nil {
		return call, nil, err
	}
	if err := client.reserve(f.openRequests, config.OpenRequestBytes, wait); err != nil {
		return call, nil, err
	}
	client.recorder.bodyBegins()
	body, err := f.readBody(in, w, call)
	if err != nil {
		return nil, nil, err
	}
	wait = max(0, wait-client.recorder.sinceArrival()) // the client counts from when it sent the request
	call.Deadline = f.core.Now() + wait                // counted from the last byte
	if call.BodyPending {
		body.startClock(f.core.Now(), wait)
		call.Deadline += body.maxReadTime()
	}
	return call, body, nil
}

// parseHead evaluates the request line and the headers. It also returns how long the client waits.
func (f *Front) parseHead(in *http.Request) (call *core.Call, wait time.Duration, err error) {
	chunked := len(in.TransferEncoding) > 0
	if !in.ProtoAtLeast(1, 1) || chunked && !f.longBodies {
		return nil, 0, errUnsupportedFraming
	}
	if chunked {
		if clientConnOf(in).recorder.hasAmbiguousLength(in) {
			return nil, 0, errTwoLengths
		}
	}
	cfg, h := f.cfg, in.Header
	payload := &httpmsg.Request{Method: in.Method, URL: in.URL, Header: h}
	call = &core.Call{Payload: payload}
	call.RequiredProtocols = protocol.HTTP
	for _, name := range singleHeaders {
		if len(h[name]) > 1 {
			return nil, 0, fmt.Errorf("%s given %d times", name, len(h[name]))
		}
	}
	if call.ID = h.Get("X-Correlation-Id"); call.ID == "" {
		return nil, 0, errors.New("no X-Correlation-Id")
	}
	parts := strings.Split(strings.Trim(in.URL.Path, "/"), "/")
	name := h.Get("X-Service-Class")
	call.Class = cfg.ClassIndex(name)
	keyLast := true
	if f.shapes != nil && call.Class >= 0 {
		if call.Shape, keyLast, err = f.shapes.HTTP(name, payload); err != nil {
			return nil, 0, err
		}
	}
	if call.Class < 0 || parts[0] != name && !call.Shape.IsSet() {
		return nil, 0, fmt.Errorf("class %q in X-Service-Class, %q in the path", name, parts[0])
	}
	effect := cfg.Module.Classes[call.Class].Effect
	if !call.Shape.IsSet() { // otherwise the shape determines the method, and whether there is a body
		if err := checkMethod(in, name, effect); err != nil {
			return nil, 0, err
		}
	}
	if keyed := h.Get("Idempotency-Key") != ""; keyed != (effect == choice.Keyed) {
		return nil, 0, fmt.Errorf("Idempotency-Key given: %t, for class %q", keyed, name)
	}
	if call.Tenant = cfg.TenantIndex(h.Get("X-Account")); call.Tenant < 0 {
		return nil, 0, fmt.Errorf("unknown X-Account %q", h.Get("X-Account"))
	}
	if len(parts) > 1 && keyLast {
		call.Key = parts[len(parts)-1]
	}
	call.ClientRetry = h.Get("X-Repeat") == "1"
	wait, err = parseWait(h.Get("X-Time-Left"), cfg.Module.Classes[call.Class].Deadline)
	return call, wait, err
}

// checkMethod checks the method of a request, and that it has a body only if its class may have one.
func checkMethod(in *http.Request, class string, effect choice.Effect) error {
	if in.Method != methods[effect] {
		return fmt.Errorf("method %s for class %q", in.Method, class)
	}
	if effect == choice.Safe && in.ContentLength != 0 {
		return fmt.Errorf("a body for class %q", class)
	}
	return nil
}

// parseWait parses the time in seconds that a client waits, which counts up to a maximum.
func parseWait(text string, most time.Duration) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(seconds) || math.IsInf(seconds, 0) || seconds <= 0 {
		return 0, fmt.Errorf("X-Time-Left %q is no time above 0", text)
	}
	return time.Duration(min(seconds, most.Seconds()) * float64(time.Second)), nil
}
