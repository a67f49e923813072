// Package standin holds what an agent meets in service, for tests, the demo and measurements: form servers that
// speak HTTP/1.1 or Thrift, count every effect and go wrong by script, the list of servers, and kiosks. The Thrift
// side is worded by the Apache library, so that the agent's own code is not tested against itself.
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

// Method is what a kiosk asks for.
type Method int

// The methods of the form service.
const (
	Check  Method = iota // safe
	Record               // keyed
	Pay                  // unsafe
	Note                 // safe, and oneway in Thrift
)

// Classes are the names of their classes, by Method.
var Classes = [...]string{Check: "form-check", Record: "refund-record", Pay: "pay-out", Note: "form-note"}

// Call is a call as a server got it, whole.
type Call struct {
	Method      Method
	ID          string
	Key         string // what it is about
	Idempotency string
	Left        time.Duration
	Text        string
	Delivery    int // how often the pod has got this id, this time included

	// What follows is of servers that look at shapes.
	Tenant  string
	Again   bool
	Version string // of the shape that it came in
	Refund  Refund
	Broken  string // why the server can't read it in that shape
}

// Fault is what goes wrong with a call.
type Fault int

// The faults. All but those that turn the call away let it run.
const (
	None         Fault = iota
	Reject             // turned away unseen, and so said
	Error              // an error, which may have run
	Silence            // never answered; the connection stays open
	ResetBefore        // the connection is reset before the reply
	CutReply           // it ends in the midst of the reply
	Trickle            // the reply comes a byte at a time
	ResetAfter         // it is reset right after the reply
	Spoilt             // noise in place of a reply
	WrongSeq           // a reply to another call; in HTTP, where none can be told, noise
	TwoReplies         // the reply comes twice
	HugeReply          // a reply that says it has 2 GiB
	UnknownShape       // turned away unseen, as of a shape that is not known here
	OddReply           // a reply in place of which its shape has none; of calls that have one
)

// Step is what a server does with a call.
type Step struct {
	Fault Fault
	Cut   int             // bytes that a CutReply sends; half of them where 0
	Delay time.Duration   // before the reply
	Until <-chan struct{} // the reply waits for it
}

// Script says what happens to each call; nil is all well.
type Script func(Call) Step

// First lets the first n deliveries of each call fare so, and the others well.
func First(n int, s Step) Script {
	return func(c Call) Step {
		if c.Delivery <= n {
			return s
		}
		return Step{}
	}
}

// Pod is the set of servers that drop one another's repeats of a keyed call.
type Pod struct {
	mu         sync.Mutex
	effects    map[string]int
	receipts   map[string]string
	deliveries map[string]int
}

// NewPod returns an empty Pod.
func NewPod() *Pod {
	return &Pod{effects: map[string]int{}, receipts: map[string]string{}, deliveries: map[string]int{}}
}

// Effects returns how often a call had its effect: by its idempotency key or, if it has none, by its id.
func (p *Pod) Effects(key string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.effects[key]
}

// Deliveries returns how often the servers got a call's id, whole.
func (p *Pod) Deliveries(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.deliveries[id]
}

// Doubles counts the effects that came twice, over all calls that are not safe.
func (p *Pod) Doubles() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, times := range p.effects {
		n += max(0, times-1)
	}
	return n
}

func (p *Pod) deliver(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deliveries[id]++
	return p.deliveries[id]
}

// run gives a call its effect, unless it is a repeat, and returns what the reply says.
func (p *Pod) run(c Call) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c.Method {
	case Check:
		return "checked " + c.Key + " " + c.Text
	case Record:
		if p.receipts[c.Idempotency] == "" {
			p.effects[c.Idempotency]++
			p.receipts[c.Idempotency] = "receipt of " + c.Idempotency
		}
		return p.receipts[c.Idempotency]
	}
	p.effects[c.ID]++
	return "receipt of " + c.ID
}

// Options say what a Server is like.
type Options struct {
	ID          string
	Protocol    string // of the list: http, thrift, thrift-binary or thrift-compact
	Multiplexed bool
	Pod         *Pod // one of its own where nil
	Cell        int
	Script      Script
	Service     time.Duration                    // what a call takes
	Most        int                              // calls at a time; others are turned away. 0 for any number
	ColdFrom    float64                          // share of its speed that it starts with
	ColdFor     time.Duration                    // until it has all of it
	NoLoad      bool                             // states no load
	Load        func() (util, perSecond float64) // the load that it states in place of what it counts; nil for none
	Shapes      []string                         // takes refunds in these versions of their shape and nothing else; any class where nil
	Listed      []string                         // what the list says of them; Shapes where nil
	Saw         func(Call)                       // is told of each call that comes whole
}

// Server is a form server.
type Server struct {
	opts   Options
	listen net.Listener
	since  time.Time
	ended  chan struct{}

	mu       sync.Mutex
	conns    map[net.Conn]bool
	accepted int
	inFlight int
	done     int
	drained  time.Time
	late     int
	full     int
}

// DrainGrace is how long after it was told of a drain something new may still come.
const DrainGrace = 500 * time.Millisecond

// Start runs a Server on a free loopback port until Close.
func Start(opts Options) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if opts.Pod == nil {
		opts.Pod = NewPod()
	}
	s := &Server{opts: opts, listen: l, since: time.Now(), ended: make(chan struct{}), conns: map[net.Conn]bool{}}
	go s.accept()
	return s, nil
}

// Addr returns where it listens.
func (s *Server) Addr() string { return s.listen.Addr().String() }

// Pod returns the pod that it belongs to.
func (s *Server) Pod() *Pod { return s.opts.Pod }

// Entry returns its entry in the list.
func (s *Server) Entry() discovery.Entry {
	e := discovery.Entry{ID: s.opts.ID, Addr: s.Addr(), Zone: "z", Cell: s.opts.Cell, State: "in_service", Weight: 1,
		Protocol: s.opts.Protocol, Multiplexed: s.opts.Multiplexed}
	listed := s.opts.Listed
	if listed == nil {
		listed = s.opts.Shapes
	}
	for _, version := range listed {
		e.Shapes = append(e.Shapes, Classes[Record]+"/"+version)
	}
	if s.opts.ColdFor > 0 {
		e.StartedMS = s.since.UnixMilli()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drained.IsZero() {
		e.State = "terminating"
	}
	return e
}

// Drain says that the server wants nothing new from now on; the list must be told.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drained = time.Now()
}

// Late returns how many calls came too long after the drain.
func (s *Server) Late() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.late
}

// TurnedAway returns how many calls came while it held as many as it takes.
func (s *Server) TurnedAway() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.full
}

// Accepted returns how many connections have come.
func (s *Server) Accepted() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.accepted
}

// Close ends the server and all its connections.
func (s *Server) Close() {
	s.listen.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-s.ended:
		return
	default:
	}
	close(s.ended)
	for c := range s.conns {
		c.Close()
	}
}

func (s *Server) accept() {
	for {
		c, err := s.listen.Accept()
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

// face is one call in the words of a protocol.
type face interface {
	// reply words what a call is answered; a oneway's is nil.
	reply(what reply) []byte
}

type reply struct {
	fault Fault // Reject, Error, WrongSeq, or None
	text  string
	load  *load
	odd   bool
}

type load struct{ util, qps, eps, inFlight, queue float64 }

// serve takes the calls of one connection.
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

func (s *Server) read(in *bufio.Reader) (Call, face, error) {
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

// call lets one call fare as the script says. It reports whether the connection goes on.
func (s *Server) call(c net.Conn, write *sync.Mutex, call Call, f face) bool {
	call.Delivery = s.opts.Pod.deliver(call.ID)
	var step Step
	if s.opts.Script != nil {
		step = s.opts.Script(call)
	}
	answer := reply{fault: step.Fault}
	if step.Fault == OddReply {
		answer.fault, answer.odd = None, true
	}
	if s.opts.Shapes != nil && answer.fault == None {
		switch known := slices.Contains(s.opts.Shapes, call.Version); {
		case !known:
			answer.fault = UnknownShape
		case call.Broken != "":
			answer.fault = Error
		}
	}
	if s.opts.Saw != nil {
		s.opts.Saw(call)
	}
	s.mu.Lock()
	if s.opts.Most > 0 && s.inFlight >= s.opts.Most {
		answer.fault = Reject
		s.full++
	}
	s.inFlight++
	answer.load = s.loadLocked()
	s.mu.Unlock()
	if answer.fault != Reject && answer.fault != UnknownShape && call.Broken == "" {
		answer.text = s.opts.Pod.run(call)
		s.wait(s.opts.Service, step)
	} else {
		s.wait(0, step)
	}
	s.mu.Lock()
	s.inFlight--
	s.done++
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
	l := &load{inFlight: float64(s.inFlight), qps: float64(s.done) / max(1, time.Since(s.since).Seconds())}
	if s.opts.Most > 0 {
		l.util = float64(s.inFlight) / float64(s.opts.Most)
	}
	return l
}

// wait lets the time of a call pass.
func (s *Server) wait(took time.Duration, step Step) {
	if age := time.Since(s.since); age < s.opts.ColdFor {
		warm := s.opts.ColdFrom + (1-s.opts.ColdFrom)*float64(age)/float64(s.opts.ColdFor)
		took = time.Duration(float64(took) / warm)
	}
	if took += step.Delay; took > 0 {
		select {
		case <-time.After(took):
		case <-s.ended:
		}
	}
	if step.Until != nil {
		select {
		case <-step.Until:
		case <-s.ended:
		}
	}
}

// answer sends a reply, or what the fault makes of it. It reports whether the connection goes on.
func (s *Server) answer(c net.Conn, write *sync.Mutex, step Step, text []byte) bool {
	write.Lock()
	defer write.Unlock()
	switch step.Fault {
	case Silence:
		if !s.opts.Multiplexed {
			io.Copy(io.Discard, c) // until the other side gives it up
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
			case <-s.ended:
			}
		}
		return true
	case ResetAfter:
		c.Write(text)
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		return false
	case Spoilt:
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

func (m Method) String() string {
	if m >= 0 && int(m) < len(Classes) {
		return Classes[m]
	}
	return fmt.Sprintf("method %d", int(m))
}

// Shared names the effects that came in both of two pods, by their keys.
func Shared(a, b *Pod) (keys []string) {
	a.mu.Lock()
	for key := range a.effects {
		keys = append(keys, key)
	}
	a.mu.Unlock()
	return slices.DeleteFunc(keys, func(key string) bool { return b.Effects(key) == 0 })
}
