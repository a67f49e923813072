// Package bridge carries calls between shapes and protocols: it tells the fronts in which shape a call came, and stands
// between the core and the transports where an attempt's way has a translation. What is decided, which shape a server is
// sent, is the routes'; what becomes of a message the translator's.
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

// Bridge holds the shapes that are in use.
type Bridge struct {
	cfg     *config.Config
	service *thriftmap.Map // nil where Thrift is off
	now     atomic.Pointer[edition]
}

// edition is a file of shapes as it was read at one time.
type edition struct {
	set   *translate.Set
	table *routes.Table
	at    map[*translate.Shape]int // in the table
}

// New returns a Bridge over a set of shapes. Without a Thrift service those in Thrift are left out.
func New(set *translate.Set, cfg *config.Config, service *thriftmap.Map) (*Bridge, error) {
	b := &Bridge{cfg: cfg, service: service}
	e, err := b.edition(set)
	if err != nil {
		return nil, err
	}
	b.now.Store(e)
	return b, nil
}

// Routes returns what decides where calls may go, with nothing learned yet.
func (b *Bridge) Routes() (*routes.Routes, error) {
	e := b.now.Load()
	return routes.New(routes.Settings{Forget: e.set.Forget, MostForget: e.set.MostForget}, e.table)
}

// Replace takes another set. The loop must know its table first: use tells it. After an error all stays as it was.
func (b *Bridge) Replace(set *translate.Set, use func(*routes.Table) error) error {
	e, err := b.edition(set)
	if err != nil {
		return err
	}
	if err := use(e.table); err != nil {
		return err
	}
	b.now.Store(e)
	return nil
}

// edition lays out a set for the routes, and holds it against the classes and the Thrift service.
func (b *Bridge) edition(set *translate.Set) (*edition, error) {
	var shapes []routes.Shape
	var faults []error
	at := map[*translate.Shape]int{}
	for _, name := range slices.Sorted(maps.Keys(set.Shapes)) {
		s := set.Shapes[name]
		class := b.cfg.Class(s.Class)
		if class < 0 {
			faults = append(faults, fmt.Errorf("shape %s: the settings know no class %q", name, s.Class))
			continue
		}
		speaks := protocol.HTTP
		if s.Protocol == "thrift" {
			if b.service == nil {
				continue
			}
			speaks = protocol.ThriftBinary | protocol.ThriftCompact
			switch m := b.service.Method([]byte(s.Method())); {
			case m == nil:
				faults = append(faults, fmt.Errorf("shape %s: the Thrift service has no method %q", name, s.Method()))
			case m.Class != class:
				faults = append(faults, fmt.Errorf("shape %s: the Thrift service has %q in another class", name, s.Method()))
			case m.Oneway:
				faults = append(faults, fmt.Errorf("shape %s: %q is oneway, which has no shape", name, s.Method()))
			}
		}
		at[s] = len(shapes)
		shapes = append(shapes, routes.Shape{Name: name, Version: s.Class + "/" + s.Version, Speaks: speaks})
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	table := routes.NewTable(shapes)
	// A call stays in its client's protocol where it can, and loses nothing where it need not: else in the file's order.
	for _, pass := range []func(*translate.Plan) bool{
		func(p *translate.Plan) bool { return p.From.Protocol == p.To.Protocol && len(p.Loses()) == 0 },
		func(p *translate.Plan) bool { return p.From.Protocol != p.To.Protocol && len(p.Loses()) == 0 },
		func(p *translate.Plan) bool { return len(p.Loses()) > 0 },
	} {
		for _, p := range set.Plans {
			_, from := at[p.From]
			_, to := at[p.To]
			if pass(p) && from && to {
				if err := table.Link(p.From.Name, p.To.Name, p); err != nil {
					return nil, err
				}
			}
		}
	}
	return &edition{set, table, at}, nil
}

// ErrShape says that a call is in none of the shapes of its class.
var ErrShape = errors.New("in none of the shapes of its class")

// HTTP finds the shape of a request, and adds to it what a transport must know of that.
func (b *Bridge) HTTP(class string, r *httpmsg.Request) (tag routes.Tag, keyLast bool, err error) {
	e := b.now.Load()
	s := e.set.HTTP(class, r.Method, r.URL.EscapedPath())
	if s == nil {
		if e.set.Class(class) {
			err = fmt.Errorf("%s %s: %w", r.Method, r.URL.Path, ErrShape)
		}
		return tag, true, err
	}
	dress(r, s)
	return routes.Tag{Table: e.table, Shape: e.at[s], Spoken: protocol.HTTP}, s.KeyLast(), nil
}

// dress adds to a request what its shape asks of a transport.
func dress(r *httpmsg.Request, s *translate.Shape) {
	r.Unknown, r.Pass, r.Wanted = s.Unknown, s.RequestHeaders(), s.ReplyHeaders()
}

// Thrift finds the shape of a call, and adds to it what a transport must know of that.
func (b *Bridge) Thrift(c *thriftmap.Call, spoken choice.Protocols) (routes.Tag, error) {
	e := b.now.Load()
	s := e.set.Thrift(c.Method.Name) // in use, as the service has it
	if s == nil {
		if e.set.Class(b.cfg.Module.Classes[c.Method.Class].Name) {
			return routes.Tag{}, fmt.Errorf("method %q: %w", c.Method.Name, ErrShape)
		}
		return routes.Tag{}, nil
	}
	c.Unknown = int32(s.Unknown)
	return routes.Tag{Table: e.table, Shape: e.at[s], Spoken: spoken}, nil
}

// Over returns a transport that translates, where an attempt's way says so, over one that speaks with servers.
func (b *Bridge) Over(t core.Transport) core.Transport { return transport{b, t} }

type transport struct {
	bridge *Bridge
	under  core.Transport
}

// Attempt is core.Transport's.
func (t transport) Attempt(ctx context.Context, at *core.Attempt) core.Ending {
	plan, ok := at.Way.Plan.(*translate.Plan)
	if !ok {
		return t.under.Attempt(ctx, at)
	}
	payload, err := t.bridge.request(ctx, at, plan)
	if err != nil {
		e := core.Ended(choice.NotSent)
		e.Unfit = err
		return e
	}
	at.Payload = payload
	e := t.under.Attempt(ctx, at)
	if e.Result == choice.OK {
		e.Reply, e.Untold = t.bridge.reply(at, plan, e.Reply)
	}
	return e
}

// encodings are those of the protocols.
var encodings = map[choice.Protocols]thriftwire.Encoding{protocol.ThriftBinary: thriftwire.Binary,
	protocol.ThriftCompact: thriftwire.Compact}

// request words a call in the shape that its server takes.
func (b *Bridge) request(ctx context.Context, at *core.Attempt, plan *translate.Plan) (any, error) {
	in := &translate.Message{}
	words := translate.Words{Encoding: encodings[at.Speaks], Envelope: translate.Envelope{ID: at.Call.ID, Repeat: at.Call.Again,
		Left: time.Second}}
	if end, ok := ctx.Deadline(); ok {
		words.Envelope.Left = time.Until(end)
	}
	var head http.Header
	switch p := at.Call.Payload.(type) {
	case *httpmsg.Request:
		head = p.Header
		in.Method, in.Target, in.Body = p.Method, p.URL.RequestURI(), p.Body
		for _, name := range p.Pass {
			for _, value := range head[name] {
				in.Header = append(in.Header, translate.Header{Name: name, Value: value})
			}
		}
		words.Envelope.Tenant, words.Envelope.Idempotency = head.Get("X-Account"), head.Get("Idempotency-Key")
	case *thriftmap.Call:
		in.Thrift = p.Message
		words.Envelope.Tenant, words.Envelope.Idempotency = p.Tenant, p.Idempotency
	}
	out, err := plan.Request(in, words)
	if err != nil {
		return nil, err
	}
	if plan.To.Protocol == "thrift" {
		return b.thriftCall(out, plan, words.Envelope)
	}
	return httpRequest(out, plan, head)
}

// httpRequest is a request as its transport takes it.
func httpRequest(m *translate.Message, plan *translate.Plan, head http.Header) (any, error) {
	if len(m.Body) > httpmsg.MaxBody {
		return nil, fmt.Errorf("a body of %d bytes, %d at most", len(m.Body), httpmsg.MaxBody)
	}
	r := &httpmsg.Request{Method: m.Method, Target: m.Target, Fields: make([][2]string, 0, len(m.Header)+2), Body: m.Body}
	for _, h := range m.Header {
		r.Fields = append(r.Fields, [2]string{h.Name, h.Value})
	}
	for _, name := range [...]string{"X-Weight-Hint", "X-Facts"} { // the client's own word on its call, in any shape
		for _, v := range head[name] {
			r.Fields = append(r.Fields, [2]string{name, v})
		}
	}
	dress(r, plan.To)
	return r, nil
}

// thriftCall is a call as its transport takes it. What the service's file finds in it must be what was written.
func (b *Bridge) thriftCall(m *translate.Message, plan *translate.Plan, wrote translate.Envelope) (any, error) {
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
	if c.ID != wrote.ID || c.Tenant != wrote.Tenant || c.Idempotency != wrote.Idempotency || c.Again != wrote.Repeat || c.Left <= 0 {
		return nil, fmt.Errorf("the envelope of shape %s is not where the Thrift service has it", plan.To.Name)
	}
	c.Unknown = int32(plan.To.Unknown)
	return c, nil
}

// reply words a server's answer in the client's shape. An error is no word on whether the call has run: it has.
func (b *Bridge) reply(at *core.Attempt, plan *translate.Plan, answer any) (any, error) {
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
	var words translate.Words
	if c, ok := at.Call.Payload.(*thriftmap.Call); ok {
		words.Encoding = c.Head.Encoding
	}
	out, err := plan.Reply(in, words)
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
