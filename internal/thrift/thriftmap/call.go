package thriftmap

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"time"
	"unicode/utf8"

	"ternbeam/choice"
	"ternbeam/internal/settings/wire"
	"ternbeam/internal/thrift/thriftwire"
)

// Indexes of a call's fields in the result of a Plan's Scan.
const (
	idSlot = iota
	tenantSlot
	keySlot
	idempotencySlot
	timeSlot
	repeatSlot
	argSlots
)

// Indexes of a reply's fields in the result of a Plan's Scan. The answers and then the load figures follow them.
const (
	successSlot = iota
	refusedSlot
	unprocessedSlot
	failedSlot
	resultSlots

	maxSlots = resultSlots + maxAnswers + 5*maxLoadPlaces
)

// MaxText is the maximum length of a correlation id, a tenant and a key, in bytes.
const MaxText = 128

// MaxKey is the maximum length of an idempotency key, in bytes.
const MaxKey = 4096

// Method is the configuration of a method.
type Method struct {
	Name   string
	Class  int // index in the classes given to Parse; -1 if none were given
	Oneway bool

	effect           choice.Effect
	void             bool // an empty result means success
	args, result     *thriftwire.Plan
	hasID, hasTenant bool
	defaultTenant    string
	timeUnit         time.Duration
	refusedField     int16
	retryField       int16
	retryUnit        time.Duration
	retryType        thriftwire.Type
	failedField      int16
	reasonField      int16
	answers          []int16 // fields of the result that count as served, in addition to the success
	loadSlot, loads  int     // index of the first load figure in the result of Scan, and the number of places that may hold a load report
}

// Call is a decoded call. It refers to the message, which must not be modified.
type Call struct {
	Method  *Method
	Head    thriftwire.Head
	Message []byte

	ID          string // correlation id; empty if the service has none
	Tenant      string
	Key         string        // key of the resource that the call is about; empty if there is none
	ClientRetry bool          // the client says that this is a retry
	TimeLeft    time.Duration // the client's remaining time; 0 if not given

	IdempotencyKey   string // idempotency key, any bytes; empty if there is none
	UnknownShapeType int32  // type of the application exception with which a server says that it does not know the call's shape; 0 for none

	timeLeftField thriftwire.Field // the field that TimeLeft was read from
}

// Refusal is the error for a call that can't be accepted. It is sent to the client as a TApplicationException.
type Refusal struct {
	Kind int32  // type of the TApplicationException
	Text string // its message
}

// Error implements error.
func (r *Refusal) Error() string { return r.Text }

func refusal(kind int32, format string, args ...any) error {
	return &Refusal{Kind: kind, Text: fmt.Sprintf(format, args...)}
}

// Read decodes a call, given its head. All errors are of type *Refusal.
func (m *Map) Read(h thriftwire.Head, message []byte) (*Call, error) {
	method := m.Method(h.Name(message))
	switch {
	case h.Type != thriftwire.Call && h.Type != thriftwire.Oneway:
		return nil, refusal(thriftwire.InvalidType, "message type %d is no call", h.Type)
	case method == nil:
		return nil, refusal(thriftwire.UnknownMethod, "unknown method %q", h.Name(message))
	case h.Type == thriftwire.Oneway && !method.Oneway: // the opposite is accepted, as some libraries do not mark oneway messages
		return nil, refusal(thriftwire.InvalidType, "method %q is not oneway", method.Name)
	}
	c := &Call{Method: method, Head: h, Message: message}
	var found [argSlots]thriftwire.Field
	if err := method.args.Scan(h, message, found[:]); err != nil {
		return nil, refusal(thriftwire.ProtocolError, "%v", err)
	}
	var err error
	if c.ID, err = textField(message, found[idSlot], "correlation id", method.hasID); err != nil {
		return nil, err
	}
	if c.Tenant, err = textField(message, found[tenantSlot], "tenant", method.hasTenant && method.defaultTenant == ""); err != nil {
		return nil, err
	}
	if c.Tenant == "" {
		c.Tenant = method.defaultTenant
	}
	if c.Key, err = textField(message, found[keySlot], "key", false); err != nil {
		return nil, err
	}
	if c.IdempotencyKey, err = idempotencyKey(message, found[idempotencySlot]); err != nil {
		return nil, err
	}
	if method.effect == choice.Keyed && !found[idempotencySlot].Found() {
		return nil, refusal(thriftwire.ProtocolError, "no idempotency key")
	}
	if method.effect == choice.Keyed && c.IdempotencyKey == "" {
		return nil, refusal(thriftwire.ProtocolError, "the idempotency key is empty")
	}
	if f := found[repeatSlot]; f.Found() {
		if f.Type != thriftwire.Bool && !f.Type.Integer() {
			return nil, refusal(thriftwire.ProtocolError, "the repeat mark is of type %d", f.Type)
		}
		c.ClientRetry = f.Bits != 0
	}
	if c.timeLeftField = found[timeSlot]; c.timeLeftField.Found() {
		if c.TimeLeft, err = timeLeft(c.timeLeftField, method.timeUnit); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// textField reads a field that is a string or an integer, and checks its length and encoding.
func textField(message []byte, f thriftwire.Field, what string, needed bool) (string, error) {
	if !f.Found() && needed {
		return "", refusal(thriftwire.ProtocolError, "no %s", what)
	}
	s, err := rawField(message, f, what)
	switch {
	case err != nil:
		return "", err
	case len(s) > MaxText:
		return "", refusal(thriftwire.ProtocolError, "a %s of %d bytes, %d at most", what, len(s), MaxText)
	case !utf8.ValidString(s):
		return "", refusal(thriftwire.ProtocolError, "the %s is not UTF-8", what)
	case s == "" && needed:
		return "", refusal(thriftwire.ProtocolError, "the %s is empty", what)
	}
	return s, nil
}

// idempotencyKey reads an idempotency key. Its bytes are not interpreted.
func idempotencyKey(message []byte, f thriftwire.Field) (string, error) {
	s, err := rawField(message, f, "idempotency key")
	if err == nil && len(s) > MaxKey {
		return "", refusal(thriftwire.ProtocolError, "an idempotency key of %d bytes, %d at most", len(s), MaxKey)
	}
	return s, err
}

// rawField returns the content of a field that is a string or an integer, or an empty string if there is none. It needs no length limit, because the
// field is part of a frame, whose length is limited.
func rawField(message []byte, f thriftwire.Field, what string) (string, error) {
	switch {
	case !f.Found():
		return "", nil
	case f.Type.Integer():
		return strconv.FormatInt(f.Int(), 10), nil
	case f.Type != thriftwire.String:
		return "", refusal(thriftwire.ProtocolError, "the %s is of type %d", what, f.Type)
	}
	return string(f.Bytes(message)), nil
}

// timeLeft reads a remaining time, which must be positive. It is capped at 24 hours.
func timeLeft(f thriftwire.Field, unit time.Duration) (time.Duration, error) {
	if !f.Type.Integer() && f.Type != thriftwire.Double {
		return 0, refusal(thriftwire.ProtocolError, "the time left is of type %d", f.Type)
	}
	x := f.Float()
	if !(x > 0) || math.IsInf(x, 0) {
		return 0, refusal(thriftwire.ProtocolError, "a time left of %v is none above 0", x)
	}
	const longest = 24 * time.Hour
	return time.Duration(min(x*float64(unit), float64(longest))), nil
}

// AppendRequest appends the call as a frame for a server, with the agent's own sequence id and the time that remains now. Everything else is as
// the client sent it.
func (c *Call) AppendRequest(to []byte, seq int32, left time.Duration) []byte {
	var seqBytes, leftBytes [10]byte
	edits := make([]thriftwire.Edit, 0, 2)
	h := c.Head
	edits = append(edits, thriftwire.Edit{At: int32(h.SeqAt), End: int32(h.SeqEnd),
		With: thriftwire.AppendSeq(seqBytes[:0], h.Encoding, seq)})
	if f := c.timeLeftField; f.Found() {
		x := float64(max(left, 0)) / float64(c.Method.timeUnit)
		edit := thriftwire.Edit{At: f.Start, End: f.End}
		if f.Type == thriftwire.Double {
			edit.With = thriftwire.AppendDouble(leftBytes[:0], h.Encoding, x)
		} else {
			edit.With = thriftwire.AppendInt(leftBytes[:0], h.Encoding, f.Type, max(1, int64(x)))
		}
		edits = append(edits, edit)
	}
	return thriftwire.AppendFrame(to, c.Message, edits...)
}

// Reply is a server's reply that is passed on to the client.
type Reply struct {
	Head    thriftwire.Head
	Message []byte
}

// Outcome is the meaning of a server's reply for an attempt.
type Outcome struct {
	Result choice.Result
	Report choice.Report

	ShapeUnknown bool // the server does not know the call's shape; the call was not executed
}

// exceptionKind finds the type of an application exception (thrift-rpc.md, "Exceptions").
var exceptionKind, _ = thriftwire.NewPlan(4, "2")

// errReply means that a message is not a reply to the call.
var errReply = errors.New("not a reply to this call")

// ReadReply decodes a server's reply to the call, which was sent with the sequence id seq. It returns an error if the message is not a reply to the
// call or is malformed.
func (c *Call) ReadReply(h thriftwire.Head, message []byte, seq int32) (Outcome, error) {
	out := Outcome{Result: choice.Failed, Report: choice.NoReport}
	switch {
	case h.Encoding != c.Head.Encoding:
		return out, fmt.Errorf("%w: %s encoding", errReply, h.Encoding)
	case h.Seq != seq:
		return out, fmt.Errorf("%w: sequence id %d, want %d", errReply, h.Seq, seq)
	case string(h.Name(message)) != c.Method.Name:
		return out, fmt.Errorf("%w: method %q", errReply, h.Name(message))
	case h.Type != thriftwire.Reply && h.Type != thriftwire.Exception:
		return out, fmt.Errorf("%w: message type %d", errReply, h.Type)
	}
	var found [maxSlots]thriftwire.Field
	if err := c.Method.result.Scan(h, message, found[:]); err != nil {
		return out, err
	}
	if h.Type == thriftwire.Exception {
		// The call may have been executed whatever the exception says, unless it is the one that the call's shape defines for an unknown shape.
		var kind [1]thriftwire.Field
		if c.UnknownShapeType != 0 && exceptionKind.Scan(h, message, kind[:]) == nil && kind[0].Type == thriftwire.I32 && kind[0].Int() == int64(c.UnknownShapeType) {
			out.Result, out.ShapeUnknown = choice.Rejected, true
		}
		return out, nil
	}
	m := c.Method
	out.Report = m.report(found[m.loadSlot:])
	// The success of a void method is an empty struct, which is one byte. Any other field is an exception.
	served := found[successSlot].Found() || m.void && h.Struct+1 == len(message)
	for i := range m.answers {
		served = served || found[resultSlots+i].Found()
	}
	switch unprocessed := found[unprocessedSlot]; {
	case found[refusedSlot].Found():
		if unprocessed.Found() && unprocessed.Bits != 0 && !found[successSlot].Found() {
			out.Result = choice.Rejected
		}
	case found[failedSlot].Found():
	case served:
		out.Result = choice.OK
	}
	return out, nil
}

// report reads the load that a reply reports. If a figure is implausible, there is no report.
func (m *Method) report(found []thriftwire.Field) choice.Report {
	for i := range m.loads {
		report, reported := choice.NoReport, false
		for j, to := range [...]*float64{&report.Util, &report.Rate, &report.Errors, &report.InFlight, &report.Queue} {
			f := found[5*i+j]
			if !f.Found() || !f.Type.Integer() && f.Type != thriftwire.Double {
				continue
			}
			if *to = f.Float(); !wire.PlausibleFigure(*to) {
				return choice.NoReport
			}
			reported = true
		}
		if reported {
			return report
		}
	}
	return choice.NoReport
}

// AppendReply appends a server's reply as a frame for the client, with the bytes of the client's sequence id.
func (c *Call) AppendReply(to []byte, r *Reply) []byte {
	return thriftwire.AppendFrame(to, r.Message, thriftwire.Edit{At: int32(r.Head.SeqAt), End: int32(r.Head.SeqEnd),
		With: c.Head.RawSeq(c.Message)})
}

// AppendRefusal appends a refusal as a frame: the declared exception with the time after which to retry, or an application exception if the
// method declares none.
func (c *Call) AppendRefusal(to []byte, after time.Duration) []byte {
	m := c.Method
	if m.refusedField == 0 {
		return c.AppendException(to, thriftwire.InternalError, fmt.Sprintf("refused: try again after %v", after))
	}
	return c.frame(to, func(w *thriftwire.Writer) {
		w.Head(thriftwire.Reply, c.Head.Name(c.Message), c.Head.RawSeq(c.Message))
		w.Struct(m.refusedField)
		if m.retryField != 0 && after > 0 {
			w.Int(m.retryField, m.retryType, int64((after+m.retryUnit-1)/m.retryUnit))
		}
		w.Stop()
		w.Stop()
	})
}

// AppendFailure appends a failure as a frame: the declared exception, or an application exception if the method declares none.
func (c *Call) AppendFailure(to []byte, reason string) []byte {
	m := c.Method
	if m.failedField == 0 {
		return c.AppendException(to, thriftwire.InternalError, reason)
	}
	return c.frame(to, func(w *thriftwire.Writer) {
		w.Head(thriftwire.Reply, c.Head.Name(c.Message), c.Head.RawSeq(c.Message))
		w.Struct(m.failedField)
		if m.reasonField != 0 {
			w.String(m.reasonField, reason)
		}
		w.Stop()
		w.Stop()
	})
}

// AppendException appends an application exception as a frame that answers the call.
func (c *Call) AppendException(to []byte, kind int32, text string) []byte {
	return AppendException(to, c.Head, c.Message, kind, text)
}

// AppendException appends an application exception as a frame that answers a message with this head.
func AppendException(to []byte, h thriftwire.Head, message []byte, kind int32, text string) []byte {
	w := thriftwire.Writer{Encoding: h.Encoding}
	w.ApplicationException(h.Name(message), h.RawSeq(message), kind, text)
	return thriftwire.AppendFrame(to, w.Buf)
}

func (c *Call) frame(to []byte, write func(*thriftwire.Writer)) []byte {
	w := thriftwire.Writer{Encoding: c.Head.Encoding}
	write(&w)
	return thriftwire.AppendFrame(to, w.Buf)
}
