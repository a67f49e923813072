// Package bridge connects the translator to the core: it determines the shape of each call for the fronts, and wraps the
// transports to translate the attempts whose route requires it. Package routes decides which shape a server is sent; package
// translate converts the messages.
package bridge

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"ternbeam/choice"
	"ternbeam/internal/decide/routes"
	"ternbeam/internal/host/core"
	"ternbeam/internal/http/httpmsg"
	"ternbeam/internal/protocol"
	"ternbeam/internal/settings/config"
	"ternbeam/internal/thrift/thriftmap"
	"ternbeam/internal/thrift/thriftwire"
	"ternbeam/internal/translate"
)

// Bridge holds the set of shapes in use. It is safe for concurrent use.
type Bridge struct {
	cfg     *config.Config
	service *thriftmap.Map // nil where Thrift is off
	current atomic.Pointer[snapshot]
}

// snapshot is a set of shapes with the routing table built from it. It is not changed after its construction.
type snapshot struct {
	set   *translate.Set
	table *routes.Table
	index map[*translate.Shape]int // of the shapes in the table
}

// New returns a Bridge over a set of shapes. Without a Thrift service (nil) the set's Thrift shapes are ignored.
func New(set *translate.Set, cfg *config.Config, service *thriftmap.Map) (*Bridge, error) {
	b := &Bridge{cfg: cfg, service: service}
	s, err := b.newSnapshot(set)
	if err != nil {
		return nil, err
	}
	b.current.Store(s)
	return b, nil
}

// NewRouter returns a router over the current table that has learned nothing yet.
func (b *Bridge) NewRouter() (*routes.Router, error) {
	s := b.current.Load()
	return routes.New(routes.Settings{RejectionTTL: s.set.RejectionTTL, MaxRejectionTTL: s.set.MaxRejectionTTL}, s.table)
}

// Replace replaces the set of shapes. The event loop must have the new table before any call refers to it, so use is called
// first to install it there. After an error the previous set stays in use.
func (b *Bridge) Replace(set *translate.Set, use func(*routes.Table) error) error {
	s, err := b.newSnapshot(set)
	if err != nil {
		return err
	}
	if err := use(s.table); err != nil {
		return err
	}
	b.current.Store(s)
	return nil
}

// newSnapshot checks a set against the classes and the Thrift service, and builds its routing table.
func (b *Bridge) newSnapshot(set *translate.Set) (*snapshot, error) {
	var shapes []routes.Shape
	var errs []error
	index := map[*translate.Shape]int{}
	for _, name := range slices.Sorted(maps.Keys(set.Shapes)) {
		s := set.Shapes[name]
		class := b.cfg.ClassIndex(s.Class)
		if class < 0 {
			errs = append(errs, fmt.Errorf("shape %s: the settings have no class %q", name, s.Class))
			continue
		}
		protocols := protocol.HTTP
		if s.Protocol == "thrift" {
			if b.service == nil {
				continue
			}
			protocols = protocol.ThriftBinary | protocol.ThriftCompact
			switch m := b.service.Method([]byte(s.Method())); {
			case m == nil:
				errs = append(errs, fmt.Errorf("shape %s: the Thrift service has no method %q", name, s.Method()))
			case m.Class != class:
				errs = append(errs, fmt.Errorf("shape %s: the Thrift service has method %q in another class", name, s.Method()))
			case m.Oneway:
				errs = append(errs, fmt.Errorf("shape %s: method %q is oneway, and a oneway method can have no shape", name, s.Method()))
			}
		}
		index[s] = len(shapes)
		shapes = append(shapes, routes.Shape{Name: name, Version: s.Class + "/" + s.Version, Speaks: protocols})
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	table := routes.NewTable(shapes)
	// Lossless translations come first, those within the client's protocol before all others; otherwise the order of set.Plans is kept.
	for _, selects := range []func(*translate.Plan) bool{
		func(p *translate.Plan) bool { return p.From.Protocol == p.To.Protocol && len(p.Losses()) == 0 },
		func(p *translate.Plan) bool { return p.From.Protocol != p.To.Protocol && len(p.Losses()) == 0 },
		func(p *translate.Plan) bool { return len(p.Losses()) > 0 },
	} {
		for _, p := range set.Plans {
			_, from := index[p.From]
			_, to := index[p.To]
			if selects(p) && from && to {
				if err := table.AddTranslation(p.From.Name, p.To.Name, p); err != nil {
					return nil, err
				}
			}
		}
	}
	return &snapshot{set, table, index}, nil
}

// ErrUnknownShape is returned for a call whose class has shapes, none of which the call matches.
var ErrUnknownShape = errors.New("in none of the shapes of its class")

// HTTP determines the shape of a request of a class, and sets the fields of the request from which a transport learns the shape's
// headers and status. keyLast reports whether the last segment of the path is the call's key. The CallShape is zero for a class
// without shapes. The error wraps ErrUnknownShape.
func (b *Bridge) HTTP(class string, r *httpmsg.Request) (shape routes.CallShape, keyLast bool, err error) {
	active := b.current.Load()
	s := active.set.HTTPShape(class, r.Method, r.URL.EscapedPath())
	if s == nil {
		if active.set.HasClass(class) {
			err = fmt.Errorf("%s %s: %w", r.Method, r.URL.Path, ErrUnknownShape)
		}
		return shape, true, err
	}
	applyShape(r, s)
	return routes.CallShape{Table: active.table, Shape: active.index[s], Protocol: protocol.HTTP}, s.EndsInKey(), nil
}

// applyShape sets the fields of a request from which a transport learns the shape's headers and status.
func applyShape(r *httpmsg.Request, s *translate.Shape) {
	r.UnknownShapeStatus, r.ForwardHeaders, r.ReplyHeaders = s.UnknownShapeCode, s.RequestHeaders(), s.ReplyHeaders()
}

// Thrift determines the shape of a call in an encoding, and sets UnknownShapeType of the call for the transport. The CallShape is
// zero for a class without shapes. The error wraps ErrUnknownShape.
func (b *Bridge) Thrift(c *thriftmap.Call, encoding choice.Protocols) (routes.CallShape, error) {
	active := b.current.Load()
	s := active.set.ThriftShape(c.Method.Name) // in the table: the service has the method
	if s == nil {
		if active.set.HasClass(b.cfg.Module.Classes[c.Method.Class].Name) {
			return routes.CallShape{}, fmt.Errorf("method %q: %w", c.Method.Name, ErrUnknownShape)
		}
		return routes.CallShape{}, nil
	}
	c.UnknownShapeType = int32(s.UnknownShapeCode)
	return routes.CallShape{Table: active.table, Shape: active.index[s], Protocol: encoding}, nil
}

// Wrap returns a transport that translates the attempts whose route has a translation and passes all attempts on to t.
func (b *Bridge) Wrap(t core.Transport) core.Transport { return transport{b, t} }

type transport struct {
	bridge *Bridge
	next   core.Transport
}

// Attempt implements core.Transport.
func (t transport) Attempt(ctx context.Context, attempt *core.Attempt) core.AttemptOutcome {
	plan, ok := attempt.Route.Plan.(*translate.Plan)
	if !ok {
		return t.next.Attempt(ctx, attempt)
	}
	payload, err := t.bridge.translateRequest(ctx, attempt, plan)
	if err != nil {
		outcome := core.ResultOnly(choice.NotSent)
		outcome.RequestUntranslatable = err
		return outcome
	}
	attempt.Payload = payload
	outcome := t.next.Attempt(ctx, attempt)
	if outcome.Result == choice.OK {
		outcome.Reply, outcome.ReplyUntranslatable = t.bridge.translateReply(attempt, plan, outcome.Reply)
	}
	return outcome
}

// encodings maps the Thrift protocols to their encodings.
var encodings = map[choice.Protocols]thriftwire.Encoding{protocol.ThriftBinary: thriftwire.Binary,
	protocol.ThriftCompact: thriftwire.Compact}

// translateRequest translates the payload of an attempt into the shape that its server accepts. The texts of its errors are sent
// to the client.
func (b *Bridge) translateRequest(ctx context.Context, attempt *core.Attempt, plan *translate.Plan) (any, error) {
	in := &translate.Message{}
	opts := translate.WriteOptions{Encoding: encodings[attempt.Speaks], Envelope: translate.Envelope{ID: attempt.Call.ID, ClientRetry: attempt.Call.ClientRetry,
		TimeLeft: time.Second}}
	if deadline, ok := ctx.Deadline(); ok {
		opts.Envelope.TimeLeft = time.Until(deadline)
	}
	var header http.Header
	switch p := attempt.Call.Payload.(type) {
	case *httpmsg.Request:
		header = p.Header
		in.Method, in.Target, in.Body = p.Method, p.URL.RequestURI(), p.Body
		for _, name := range p.ForwardHeaders {
			for _, value := range header[name] {
				in.Header = append(in.Header, translate.Header{Name: name, Value: value})
			}
		}
		opts.Envelope.Tenant, opts.Envelope.IdempotencyKey = header.Get("X-Account"), header.Get("Idempotency-Key")
	case *thriftmap.Call:
		in.Thrift = p.Message
		opts.Envelope.Tenant, opts.Envelope.IdempotencyKey = p.Tenant, p.IdempotencyKey
	}
	out, err := plan.Request(in, opts)
	if err != nil {
		return nil, err
	}
	if plan.To.Protocol == "thrift" {
		return b.newThriftCall(out, plan, opts.Envelope)
	}
	return newHTTPRequest(out, plan, header)
}

// newHTTPRequest converts a translated message into the payload of the HTTP transport. header is that of the client's
// request, or nil if the client uses Thrift.
func newHTTPRequest(m *translate.Message, plan *translate.Plan, header http.Header) (any, error) {
	if len(m.Body) > httpmsg.MaxBody {
		return nil, fmt.Errorf("a body of %d bytes, %d at most", len(m.Body), httpmsg.MaxBody)
	}
	r := &httpmsg.Request{Method: m.Method, Target: m.Target, HeaderFields: make([][2]string, 0, len(m.Header)+2), Body: m.Body}
	for _, h := range m.Header {
		r.HeaderFields = append(r.HeaderFields, [2]string{h.Name, h.Value})
	}
	for _, name := range [...]string{"X-Weight-Hint", "X-Facts"} { // hints by the client about its call, independent of the shape
		for _, v := range header[name] {
			r.HeaderFields = append(r.HeaderFields, [2]string{name, v})
		}
	}
	applyShape(r, plan.To)
	return r, nil
}

// newThriftCall converts a translated message into the payload of the Thrift transport. It reads the message by the Thrift
// service's file and fails unless that yields the envelope that was written.
func (b *Bridge) newThriftCall(m *translate.Message, plan *translate.Plan, written translate.Envelope) (any, error) {
	if len(m.Thrift) > b.service.MaxFrame {
		return nil, fmt.Errorf("a frame of %d bytes, %d at most", len(m.Thrift), b.service.MaxFrame)
	}
	h, err := thriftwire.ReadHead(m.Thrift)
	if err != nil {
		return nil, err
	}
	c, err := b.service.Read(h, m.Thrift)
	if err != nil {
		return nil, fmt.Errorf("the Thrift service can't read it: %w", err)
	}
	if c.ID != written.ID || c.Tenant != written.Tenant || c.IdempotencyKey != written.IdempotencyKey || c.ClientRetry != written.ClientRetry || c.TimeLeft <= 0 {
		return nil, fmt.Errorf("the envelope of shape %s is not where the Thrift service has it", plan.To.Name)
	}
	c.UnknownShapeType = int32(plan.To.UnknownShapeCode)
	return c, nil
}

// translateReply translates a server's answer into the client's shape. An error does not mean that the call has not run: it
// has.
func (b *Bridge) translateReply(attempt *core.Attempt, plan *translate.Plan, answer any) (any, error) {
	in := &translate.Message{}
	switch r := answer.(type) {
	case *httpmsg.Reply:
		in.Body = r.Body
		for _, h := range r.Header {
			in.Header = append(in.Header, translate.Header{Name: h[0], Value: h[1]})
		}
	case *thriftmap.Reply:
		in.Thrift = r.Message
	}
	var opts translate.WriteOptions
	if c, ok := attempt.Call.Payload.(*thriftmap.Call); ok {
		opts.Encoding = c.Head.Encoding
	}
	out, err := plan.Reply(in, opts)
	if err != nil {
		return nil, err
	}
	if plan.From.Protocol == "thrift" {
		h, err := thriftwire.ReadHead(out.Thrift)
		if err != nil {
			return nil, err
		}
		return &thriftmap.Reply{Head: h, Message: out.Thrift}, nil
	}
	reply := &httpmsg.Reply{Body: out.Body}
	for _, h := range out.Header {
		if h.Name == "Content-Type" {
			reply.ContentType = h.Value
			continue
		}
		reply.Header = append(reply.Header, [2]string{h.Name, h.Value})
	}
	return reply, nil
}
