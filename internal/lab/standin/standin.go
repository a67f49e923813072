// Package standin provides stand-ins for the peers of an agent, for tests, the demo and measurements: form servers that
// speak HTTP/1.1 or Thrift, count every effect and have scripted faults, the list service, a name server, and kiosks.
// Thrift messages are encoded by the Apache library, so that the agent's own code is not tested against itself.
package standin

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"ternbeam/internal/discovery"
)

// Method is a method of the form service.
type Method int

// The methods of the form service.
const (
	Check  Method = iota // safe
	Record               // keyed
	Pay                  // unsafe
	Note                 // safe, and oneway in Thrift
)

// Classes holds the name of the class of each Method.
var Classes = [...]string{Check: "form-check", Record: "refund-record", Pay: "pay-out", Note: "form-note"}

// Call is a call that a server has received completely.
type Call struct {
	Method         Method
	ID             string
	Key            string // of the object that the call is about
	IdempotencyKey string
	TimeLeft       time.Duration // until the deadline
	Text           string
	Delivery       int // how often the group has received this id, including this time

	// The following fields are set only by servers with Options.Shapes, except for Tenant and ClientRetry in HTTP.
	Tenant      string
	ClientRetry bool   // marked as a retry by the client
	Version     string // of the shape of the message
	Refund      Refund
	ParseError  string // why the message cannot be parsed in that shape; empty if it can
}

// Fault is a fault of a server during a call.
type Fault int

// The faults. The call takes effect with all of them except Reject and UnknownShape.
const (
	None           Fault = iota
	Reject               // rejected as not processed
	Error                // an error answer; the call may have taken effect
	NoReply              // no answer; the connection stays open
	ResetBefore          // the connection is reset before the reply
	CutReply             // the connection is closed in the middle of the reply
	Trickle              // the reply is sent one byte every 20 ms
	ResetAfter           // the connection is reset right after the reply
	InvalidBytes         // invalid bytes instead of a reply
	WrongSeq             // a reply to another call; in HTTP, which has no sequence numbers, invalid bytes
	TwoReplies           // the reply is sent twice
	HugeReply            // a reply with a length prefix of 2 GiB
	UnknownShape         // rejected as not processed because the shape is unknown
	UndefinedValue       // for calls with a shape: a reply with a value that the shape does not define
)

// Step is what a server does with a call.
type Step struct {
	Fault Fault
	Cut   int             // bytes that CutReply sends; half of the reply if 0
	Delay time.Duration   // before the reply
	Until <-chan struct{} // if not nil, the reply is sent after it is closed
}

// Script returns the Step for each call. A nil Script injects no faults.
type Script func(Call) Step

// FirstDeliveries returns a Script that applies a Step to the first n deliveries of each call and serves the others normally.
func FirstDeliveries(n int, s Step) Script {
	return func(c Call) Step {
		if c.Delivery <= n {
			return s
		}
		return Step{}
	}
}

// DedupGroup is the state of a group of servers that deduplicate keyed calls among them. It is safe for concurrent use.
type DedupGroup struct {
	mu         sync.Mutex
	effects    map[string]int
	receipts   map[string]string
	deliveries map[string]int
}

// NewDedupGroup returns an empty DedupGroup.
func NewDedupGroup() *DedupGroup {
	return &DedupGroup{effects: map[string]int{}, receipts: map[string]string{}, deliveries: map[string]int{}}
}

// Effects returns how often a call took effect. key is its idempotency key or, if it has none, its id.
func (p *DedupGroup) Effects(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effects[key]
}

// Deliveries returns how often the servers completely received a call with this id.
func (p *DedupGroup) Deliveries(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deliveries[id]
}

// DuplicateEffects returns the number of repeated effects, over all calls other than Check.
func (p *DedupGroup) DuplicateEffects() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, times := range p.effects {
		n += max(0, times-1)
	}
	return n
}

func (p *DedupGroup) deliver(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliveries[id]++
	return p.deliveries[id]
}

// run applies the effect of a call, unless it is a duplicate of a keyed call, and returns the text of the reply.
func (p *DedupGroup) run(c Call) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c.Method {
	case Check:
		return "checked " + c.Key + " " + c.Text
	case Record:
		if p.receipts[c.IdempotencyKey] == "" {
			p.effects[c.IdempotencyKey]++
			p.receipts[c.IdempotencyKey] = "receipt of " + c.IdempotencyKey
		}
		return p.receipts[c.IdempotencyKey]
	}
	p.effects[c.ID]++
	return "receipt of " + c.ID
}

// Options configure a Server.
type Options struct {
	ID                string
	Protocol          string // as in the list: http, thrift, thrift-binary or thrift-compact; http if empty
	Multiplexed       bool
	DedupGroup        *DedupGroup // a new one if nil
	Cell              int
	Script            Script
	ServiceTime       time.Duration                    // duration of a call
	MaxCalls          int                              // maximum number of calls in flight; others are rejected. 0 for no limit
	SlowStartMinShare float64                          // share of the full speed at the start
	SlowStartWindow   time.Duration                    // time until the full speed is reached
	NoLoad            bool                             // do not report the load
	Load              func() (util, perSecond float64) // reported instead of the measured load; may be nil
	Shapes            []string                         // accept only refunds in these versions of their shape; calls of all classes if nil
	ListedShapes      []string                         // versions that the list entry contains; Shapes if nil
	OnCall            func(Call)                       // called for each completely received call; may be nil
}

// Server is a form server. It is safe for concurrent use.
type Server struct {
	opts     Options
	listener net.Listener
	started  time.Time
	closed   chan struct{}

	mu        sync.Mutex
	conns     map[net.Conn]bool
	accepted  int
	inFlight  int
	completed int
	drained   time.Time // start of the drain; zero before
	late      int       // calls that arrived later than DrainGrace after it
	rejected  int       // calls rejected because of Options.MaxCalls
}

// DrainGrace is how long after the start of a drain new calls are still allowed to arrive.
const DrainGrace = 500 * time.Millisecond

// Start starts a Server on a free loopback port. It runs until Close.
func Start(opts Options) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if opts.DedupGroup == nil {
		opts.DedupGroup = NewDedupGroup()
	}
	s := &Server{opts: opts, listener: l, started: time.Now(), closed: make(chan struct{}), conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// DedupGroup returns the group that the server belongs to.
func (s *Server) DedupGroup() *DedupGroup { return s.opts.DedupGroup }

// Entry returns the server's entry for the list.
func (s *Server) Entry() discovery.Entry {
	e := discovery.Entry{ID: s.opts.ID, Addr: s.Addr(), Zone: "z", Cell: s.opts.Cell, State: "in_service", Weight: 1,
		Protocol: s.opts.Protocol, Multiplexed: s.opts.Multiplexed}
	listed := s.opts.ListedShapes
	if listed == nil {
		listed = s.opts.Shapes
	}
	for _, version := range listed {
		e.Shapes = append(e.Shapes, Classes[Record]+"/"+version)
	}
	if s.opts.SlowStartWindow > 0 {
		e.StartedMS = s.started.UnixMilli()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drained.IsZero() {
		e.State = "terminating"
	}
	return e
}

// Drain starts a drain: the server wants no new calls from now on. The caller must update the list.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = time.Now()
}

// LateCalls returns how many calls arrived later than DrainGrace after the start of the drain.
func (s *Server) LateCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// RejectedCalls returns how many calls were rejected because Options.MaxCalls were in flight.
func (s *Server) RejectedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rejected
}

// Accepted returns how many connections were accepted.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Close stops the server and closes all its connections.
func (s *Server) Close() {
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.closed:
		return
	default:
	}
	close(s.closed)
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[c] = true
		s.accepted++
		s.mu.Unlock()
		go func() {
			s.serve(c)
			c.Close()
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
		}()
	}
}

// replyEncoder encodes the reply to one call in its protocol.
type replyEncoder interface {
	// reply returns the encoded reply; nil for a oneway call.
	reply(what reply) []byte
}

type reply struct {
	fault     Fault // Reject, Error, WrongSeq, UnknownShape, or None; the other faults concern sending
	text      string
	load      *load
	undefined bool // it has a value that the shape does not define
}

type load struct{ util, qps, eps, inFlight float64 }

// serve reads and handles the calls of one connection.
func (s *Server) serve(c net.Conn) {
	in := bufio.NewReader(c)
	var write sync.Mutex
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		begun := time.Now()
		call, f, err := s.read(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		if !s.drained.IsZero() && begun.After(s.drained.Add(DrainGrace)) {
			s.late++
		}
		s.mu.Unlock()
		if s.opts.Multiplexed {
			calls.Go(func() { s.call(c, &write, call, f) })
		} else if !s.call(c, &write, call, f) {
			return
		}
	}
}

func (s *Server) read(in *bufio.Reader) (Call, replyEncoder, error) {
	inHTTP := s.opts.Protocol == "" || s.opts.Protocol == "http"
	switch {
	case s.opts.Shapes != nil && inHTTP:
		return readShapedHTTP(in)
	case s.opts.Shapes != nil:
		return readShapedThrift(in)
	case inHTTP:
		return readHTTP(in)
	}
	return readThrift(in)
}

// call handles one call as the script says. It reports whether the connection remains usable.
func (s *Server) call(c net.Conn, write *sync.Mutex, call Call, f replyEncoder) bool {
	call.Delivery = s.opts.DedupGroup.deliver(call.ID)
	var step Step
	if s.opts.Script != nil {
		step = s.opts.Script(call)
	}
	answer := reply{fault: step.Fault}
	if step.Fault == UndefinedValue {
		answer.fault, answer.undefined = None, true
	}
	if s.opts.Shapes != nil && answer.fault == None {
		switch known := slices.Contains(s.opts.Shapes, call.Version); {
		case !known:
			answer.fault = UnknownShape
		case call.ParseError != "":
			answer.fault = Error
		}
	}
	if s.opts.OnCall != nil {
		s.opts.OnCall(call)
	}
	s.mu.Lock()
	if s.opts.MaxCalls > 0 && s.inFlight >= s.opts.MaxCalls {
		answer.fault = Reject
		s.rejected++
	}
	s.inFlight++
	answer.load = s.loadLocked()
	s.mu.Unlock()
	if answer.fault != Reject && answer.fault != UnknownShape && call.ParseError == "" {
		answer.text = s.opts.DedupGroup.run(call)
		s.wait(s.opts.ServiceTime, step)
	} else {
		s.wait(0, step)
	}
	s.mu.Lock()
	s.inFlight--
	s.completed++
	s.mu.Unlock()
	return s.answer(c, write, step, f.reply(answer))
}

func (s *Server) loadLocked() *load {
	if s.opts.NoLoad {
		return nil
	}
	if s.opts.Load != nil {
		util, perSecond := s.opts.Load()
		return &load{inFlight: float64(s.inFlight), util: util, qps: perSecond}
	}
	l := &load{inFlight: float64(s.inFlight), qps: float64(s.completed) / max(1, time.Since(s.started).Seconds())}
	if s.opts.MaxCalls > 0 {
		l.util = float64(s.inFlight) / float64(s.opts.MaxCalls)
	}
	return l
}

// wait blocks for the duration of a call, with the slow start and the delays of the step.
func (s *Server) wait(took time.Duration, step Step) {
	if age := time.Since(s.started); age < s.opts.SlowStartWindow {
		warm := s.opts.SlowStartMinShare + (1-s.opts.SlowStartMinShare)*float64(age)/float64(s.opts.SlowStartWindow)
		took = time.Duration(float64(took) / warm)
	}
	if took += step.Delay; took > 0 {
		select {
		case <-time.After(took):
		case <-s.closed:
		}
	}
	if step.Until != nil {
		select {
		case <-step.Until:
		case <-s.closed:
		}
	}
}

// answer sends a reply, changed by the fault of the step. It reports whether the connection remains usable.
func (s *Server) answer(c net.Conn, write *sync.Mutex, step Step, text []byte) bool {
	write.Lock()
	defer write.Unlock()
	switch step.Fault {
	case NoReply:
		if !s.opts.Multiplexed {
			io.Copy(io.Discard, c) // until the peer closes the connection
			return false
		}
		return true
	case ResetBefore:
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return false
	case CutReply:
		c.Write(text[:min(len(text), cmp.Or(step.Cut, len(text)/2))])
		c.Close()
		return false
	case Trickle:
		for i := range text {
			if _, err := c.Write(text[i : i+1]); err != nil {
				return false
			}
			select {
			case <-time.After(20 * time.Millisecond):
			case <-s.closed:
			}
		}
		return true
	case ResetAfter:
		c.Write(text)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return false
	case InvalidBytes:
		c.Write([]byte("\x8e\x1f\x00\x07noise, and no reply at all"))
		return true
	case HugeReply:
		c.Write(append([]byte{0x7f, 0xff, 0xff, 0xff}, text...))
		return true
	case TwoReplies:
		c.Write(append(text, text...))
		return true
	}
	_, err := c.Write(text)
	return err == nil
}

// String returns the name of the method's class.
func (m Method) String() string {
	if m >= 0 && int(m) < len(Classes) {
		return Classes[m]
	}
	return fmt.Sprintf("method %d", int(m))
}

// CommonEffects returns the keys of the calls that took effect in both groups.
func CommonEffects(a, b *DedupGroup) (keys []string) {
	a.mu.Lock()
	for key := range a.effects {
		keys = append(keys, key)
	}
	a.mu.Unlock()
	return slices.DeleteFunc(keys, func(key string) bool { return b.Effects(key) == 0 })
}
