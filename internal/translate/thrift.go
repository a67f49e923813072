package translate

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"ternbeam/internal/thrift/thriftwire"
)

// integerTypes are the integer types of Thrift, by their names in the file.
var integerTypes = map[string]thriftwire.Type{"byte": thriftwire.Byte, "i16": thriftwire.I16, "i32": thriftwire.I32,
	"i64": thriftwire.I64}

// thrift compiles the parts that only Thrift shapes have.
func (c *compiler) thrift(key string, s *Shape, t *shapeText) {
	if t.Method == "" || len(t.Method) > thriftwire.MaxName {
		c.file.Problem(key+".method", "the name of a method must have 1 to %d bytes", thriftwire.MaxName)
	}
	if t.Path != "" {
		c.file.Problem(key+".path", "a Thrift shape has no path")
	}
	if t.Unknowns < 0 || t.Unknowns > 255 {
		c.file.Problem(key+".shape_unknown", "%d is not a type of TApplicationException from 1 to 255", t.Unknowns)
	}
	for kind, m := range map[string]*message{"request": &s.request, "reply": &s.reply} {
		if m.unknown == "keep" {
			c.file.Problem(key+".unknown."+kind, "undeclared fields can't be kept in Thrift")
		}
	}
	for _, f := range s.reply.fields {
		if f.place == inThrift && f.path[0] != "0" {
			c.file.Problem(key+".reply."+f.name+".at", "%q: the reply of a successful call is in field 0 of the result", f.at)
		}
	}
	for which, entry := range map[envelopeField]struct{ key, path string }{
		envelopeID: {"id", t.Envelope.ID}, envelopeTenant: {"tenant", t.Envelope.Tenant},
		envelopeIdempotency: {"idempotency_key", t.Envelope.Idempotency}, envelopeTimeLeft: {"time_left_ms", t.Envelope.Left},
		envelopeRepeat: {"repeat", t.Envelope.Repeat},
	} {
		if entry.path == "" && (which == envelopeID || which == envelopeTenant || which == envelopeTimeLeft) {
			c.file.Problem(key+".envelope."+entry.key, "is required")
		}
		c.addEnvelopeField(key+".envelope."+entry.key, &s.request, entry.path, which)
	}
	for _, path := range t.Envelope.Load {
		c.addEnvelopeField(key+".envelope.load", &s.reply, path, envelopeLoad)
	}
}

// addEnvelopeField adds a field of the envelope to a message. Conversions ignore it.
func (c *compiler) addEnvelopeField(key string, m *message, path string, which envelopeField) {
	if path == "" {
		return
	}
	f := &field{name: "the envelope's " + path, place: inThrift, at: path, path: strings.Split(path, "."), optional: true,
		envelope: which, wire: thriftwire.String}
	switch which {
	case envelopeTimeLeft:
		f.wire = thriftwire.I64
	case envelopeRepeat:
		f.wire = thriftwire.Bool
	}
	c.checkFieldIDs(key, f)
	for _, other := range m.fields {
		if f.at == other.at || f.nestedWith(other) {
			c.file.Problem(key, "%q: overlaps with %s", path, other.name)
		}
	}
	m.fields = append(m.fields, f)
}

// checkFieldIDs checks that the path of a Thrift field consists of field ids.
func (c *compiler) checkFieldIDs(key string, f *field) {
	for _, part := range f.path {
		if id, err := strconv.ParseInt(part, 10, 16); err != nil || id < 0 || strconv.Itoa(int(id)) != part {
			c.file.Problem(key, "%q: %q is not a field id from 0 to 32767", f.at, part)
		}
	}
}

// wire compiles the Thrift type of a field.
func (c *compiler) wire(key string, f *field, t *fieldText) {
	if f.place != inThrift {
		if t.Wire != "" {
			c.file.Problem(key+".wire", "only a Thrift field has a wire type")
		}
		if len(t.Numbers) > 0 {
			c.file.Problem(key+".numbers", "only an enum in Thrift has numbers")
		}
		return
	}
	c.checkFieldIDs(key+".at", f)
	if t.Quoted {
		c.file.Problem(key+".quoted", "not for Thrift, where a decimal without a wire type is a string")
	}
	integer := f.Type == Int || f.Type == Decimal && t.Wire != "" || f.Type == Enum && len(t.Numbers) > 0 ||
		f.Type == Date && f.layout == "" || f.Type == Instant && strings.HasPrefix(f.form, "unix-")
	switch {
	case integer && t.Wire == "":
		if f.wire = thriftwire.I64; f.Type == Enum || f.Type == Date {
			f.wire = thriftwire.I32
		}
	case integer:
		known := false
		if f.wire, known = integerTypes[t.Wire]; !known {
			c.file.Problem(key+".wire", "%q is not one of %s", t.Wire, strings.Join(sortedKeys(integerTypes), ", "))
		}
	case t.Wire != "":
		c.file.Problem(key+".wire", "a field of type %v that is not a number has no wire type", f.Type)
	case f.Type == Bool:
		f.wire = thriftwire.Bool
	default:
		f.wire = thriftwire.String
	}
	if len(t.Numbers) == 0 {
		return
	}
	sorted := slices.Sorted(slices.Values(t.Numbers))
	if f.Type != Enum || len(t.Numbers) != len(f.values) || len(slices.Compact(sorted)) < len(t.Numbers) {
		c.file.Problem(key+".numbers", "an enum needs one number for each value, and each only once")
	}
	for _, n := range t.Numbers {
		if !fitsType(f.wire, n) {
			c.file.Problem(key+".numbers", "%d is out of the range of the wire type", n)
		}
	}
	f.numbers = t.Numbers
}

// fitsType reports whether a number is in the range of an integer type.
func fitsType(t thriftwire.Type, n int64) bool {
	switch t {
	case thriftwire.Byte:
		return n == int64(int8(n))
	case thriftwire.I16:
		return n == int64(int16(n))
	case thriftwire.I32:
		return n == int64(int32(n))
	}
	return true
}

// readThrift reads the fields of a Thrift message.
func (c *conversion) readThrift(kind thriftwire.MessageType, method string, m []byte, ws *workspace) *Refusal {
	if len(m) > c.src.maxBody {
		return tooLong(len(m), c.src.maxBody)
	}
	h, err := thriftwire.ReadHead(m)
	switch {
	case err != nil:
		return malformed(err)
	case h.Type != kind || string(h.Name(m)) != method:
		return &Refusal{Malformed, "", "no message of " + method}
	}
	ws.found = slices.Grow(ws.found[:0], len(c.src.fields))[:len(c.src.fields)]
	if err := c.src.scanPlan.Scan(h, m, ws.found); errors.Is(err, thriftwire.ErrUnknownField) {
		return &Refusal{Forbidden, "", err.Error()}
	} else if err != nil {
		return malformed(err)
	}
	for i, f := range c.src.fields {
		found := ws.found[i]
		switch {
		case f.envelope != noEnvelope:
			continue
		case !found.Found() && !f.optional:
			return f.refuse(Missing, "it is needed")
		case !found.Found():
			continue
		case found.Type != f.wire:
			return f.refuse(Malformed, "it is of type %d, not %d", found.Type, f.wire)
		}
		var refusal *Refusal
		if f.wire == thriftwire.String {
			ws.src[i], refusal = f.parse(found.Bytes(m))
		} else {
			ws.src[i], refusal = f.fromInt(found.Int())
		}
		if refusal != nil {
			return refusal
		}
	}
	return nil
}

// fromInt returns the value of a field that is an integer or a bool in Thrift.
func (f *field) fromInt(n int64) (value, *Refusal) {
	v := value{set: true, num: n}
	switch f.Type {
	case Enum:
		if v.num = int64(slices.Index(f.numbers, n)); v.num < 0 {
			return v, f.refuse(OutOfRange, "%d is none of its values", n)
		}
	case Date:
		if n < minDay || n > maxDay {
			return v, f.refuse(OutOfRange, "%d: %v", n, errYearRange)
		}
	case Instant:
		if f.form == "unix-s" {
			var ok bool
			if v.num, ok = multiply(n, 1000); !ok {
				return v, f.refuse(OutOfRange, "%d: beyond 64 bits", n)
			}
		}
		if v.num < minDay*dayInMS || v.num >= (maxDay+1)*dayInMS {
			return v, f.refuse(OutOfRange, "%d: %v", n, errYearRange)
		}
	}
	return v, f.check(v)
}

// fill sets the envelope's fields of a request.
func (e *Envelope) fill(m *message, to []value) {
	text := func(s string) value { return value{set: s != "", text: []byte(s)} }
	for i, f := range m.fields {
		switch f.envelope {
		case envelopeID:
			to[i] = text(e.ID)
		case envelopeTenant:
			to[i] = text(e.Tenant)
		case envelopeIdempotency:
			to[i] = text(e.IdempotencyKey)
		case envelopeTimeLeft:
			to[i] = value{set: true, num: max(1, e.TimeLeft.Milliseconds())}
		case envelopeRepeat:
			to[i] = value{set: e.ClientRetry, num: 1}
		}
	}
}

// writeThrift writes a Thrift message with the sequence id 0.
func (c *conversion) writeThrift(kind thriftwire.MessageType, method string, e thriftwire.Encoding, ws *workspace) ([]byte, *Refusal) {
	for i, f := range c.dst.fields {
		if !ws.dst[i].set && !f.optional {
			return nil, f.refuse(Missing, "it is needed")
		}
	}
	w := thriftwire.Writer{Encoding: e, Buf: make([]byte, 0, 256)}
	w.Head(kind, []byte(method), thriftwire.AppendSeq(nil, e, 0))
	if refusal := c.appendStruct(&w, c.dst.thrift, ws.dst, kind == thriftwire.Reply); refusal != nil {
		return nil, refusal
	}
	w.Stop()
	if len(w.Buf) > c.dst.maxBody {
		return nil, tooLong(len(w.Buf), c.dst.maxBody)
	}
	return w.Buf, nil
}

// appendStruct writes the members of a struct. Structs without any value are left out, except field 0 of a reply's result.
func (c *conversion) appendStruct(w *thriftwire.Writer, n *node, from []value, result bool) *Refusal {
	for _, m := range n.members {
		switch {
		case !m.hasValue(from) && !(result && m.id == 0 && m.field < 0):
		case m.field < 0:
			w.Struct(m.id)
			if refusal := c.appendStruct(w, m, from, false); refusal != nil {
				return refusal
			}
			w.Stop()
		default:
			if refusal := c.dst.fields[m.field].appendThrift(w, m.id, from[m.field]); refusal != nil {
				return refusal
			}
		}
	}
	return nil
}

func (f *field) appendThrift(w *thriftwire.Writer, id int16, v value) *Refusal {
	switch {
	case f.envelope != noEnvelope && f.wire == thriftwire.String:
		w.String(id, string(v.text))
		return nil
	case f.wire == thriftwire.Bool:
		w.Bool(id, v.num != 0)
		return nil
	case f.wire == thriftwire.String && f.Type == Bytes:
		w.String(id, string(v.text))
		return nil
	case f.wire == thriftwire.String:
		text, refusal := f.append(nil, v)
		if refusal == nil {
			w.String(id, string(text))
		}
		return refusal
	}
	n := v.num
	switch {
	case f.envelope != noEnvelope:
	case f.Type == Enum:
		n = f.numbers[n]
	case f.Type == Instant && f.form == "unix-s":
		if n%1000 != 0 {
			return f.refuse(OutOfRange, "finer than a second")
		}
		n /= 1000
	}
	if !fitsType(f.wire, n) {
		return f.refuse(OutOfRange, "%d is beyond what its type holds", n)
	}
	w.Int(id, f.wire, n)
	return nil
}
