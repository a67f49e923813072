package translate

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"ternbeam/internal/thrift/thriftwire"
)

// wires are the types of integers in Thrift.
var wires = map[string]thriftwire.Type{"byte": thriftwire.Byte, "i16": thriftwire.I16, "i32": thriftwire.I32,
	"i64": thriftwire.I64}

// thrift compiles what only shapes in Thrift have.
func (c *compiler) thrift(key string, s *Shape, t *shapeText) {
	if t.Method == "" || len(t.Method) > thriftwire.MaxName {
		c.file.Problem(key+".method", "the name of a method, of 1 to %d bytes, is needed", thriftwire.MaxName)
	}
	if t.Path != "" {
		c.file.Problem(key+".path", "a message in Thrift has none")
	}
	if t.Unknowns < 0 || t.Unknowns > 255 {
		c.file.Problem(key+".shape_unknown", "%d, a type of TApplicationException from 1 to 255 is possible", t.Unknowns)
	}
	for what, m := range map[string]*message{"request": &s.request, "reply": &s.reply} {
		if m.unknown == "keep" {
			c.file.Problem(key+".unknown."+what, "fields that no field names can't be kept in Thrift")
		}
	}
	for _, f := range s.reply.fields {
		if f.place == inThrift && f.path[0] != "0" {
			c.file.Problem(key+".reply."+f.name+".at", "%q: a reply that serves is in field 0 of the result", f.at)
		}
	}
	for at, what := range map[envelope]struct{ key, path string }{
		envelopeID: {"id", t.Envelope.ID}, envelopeTenant: {"tenant", t.Envelope.Tenant},
		envelopeIdempotency: {"idempotency_key", t.Envelope.Idempotency}, envelopeLeft: {"time_left_ms", t.Envelope.Left},
		envelopeRepeat: {"repeat", t.Envelope.Repeat},
	} {
		if what.path == "" && (at == envelopeID || at == envelopeTenant || at == envelopeLeft) {
			c.file.Problem(key+".envelope."+what.key, "it is needed")
		}
		c.carry(key+".envelope."+what.key, &s.request, what.path, at)
	}
	for _, path := range t.Envelope.Load {
		c.carry(key+".envelope.load", &s.reply, path, envelopeLoad)
	}
}

// carry adds a field of the envelope to a message. Conversions pass it over.
func (c *compiler) carry(key string, m *message, path string, as envelope) {
	if path == "" {
		return
	}
	f := &field{name: "the envelope's " + path, place: inThrift, at: path, path: strings.Split(path, "."), optional: true,
		envelope: as, wire: thriftwire.String}
	switch as {
	case envelopeLeft:
		f.wire = thriftwire.I64
	case envelopeRepeat:
		f.wire = thriftwire.Bool
	}
	c.numbered(key, f)
	for _, other := range m.fields {
		if f.at == other.at || f.around(other) {
			c.file.Problem(key, "%q: %s is there, in it or around it", path, other.name)
		}
	}
	m.fields = append(m.fields, f)
}

// numbered checks the path of a field in Thrift.
func (c *compiler) numbered(key string, f *field) {
	for _, part := range f.path {
		if id, err := strconv.ParseInt(part, 10, 16); err != nil || id < 0 || strconv.Itoa(int(id)) != part {
			c.file.Problem(key, "%q: %q is no number of a field, from 0 to 32767", f.at, part)
		}
	}
}

// wire compiles of which type a field is in Thrift.
func (c *compiler) wire(key string, f *field, t *fieldText) {
	if f.place != inThrift {
		if t.Wire != "" {
			c.file.Problem(key+".wire", "only a field in Thrift has one")
		}
		if len(t.Numbers) > 0 {
			c.file.Problem(key+".numbers", "only an enum in Thrift has some")
		}
		return
	}
	c.numbered(key+".at", f)
	if t.Quoted {
		c.file.Problem(key+".quoted", "a decimal in Thrift is a string where it has no wire")
	}
	whole := f.Type == Int || f.Type == Decimal && t.Wire != "" || f.Type == Enum && len(t.Numbers) > 0 ||
		f.Type == Date && f.layout == "" || f.Type == Instant && strings.HasPrefix(f.form, "unix-")
	switch {
	case whole && t.Wire == "":
		if f.wire = thriftwire.I64; f.Type == Enum || f.Type == Date {
			f.wire = thriftwire.I32
		}
	case whole:
		known := false
		if f.wire, known = wires[t.Wire]; !known {
			c.file.Problem(key+".wire", "%q, one of %s is possible", t.Wire, strings.Join(sortedKeys(wires), ", "))
		}
	case t.Wire != "":
		c.file.Problem(key+".wire", "a %v that is no number has none", f.Type)
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
		c.file.Problem(key+".numbers", "an enum has as many as values, each once")
	}
	for _, n := range t.Numbers {
		if !fits(f.wire, n) {
			c.file.Problem(key+".numbers", "%d is beyond its wire", n)
		}
	}
	f.numbers = t.Numbers
}

// fits reports whether a type holds a number.
func fits(t thriftwire.Type, n int64) bool {
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

// readThrift reads the fields of a message in Thrift.
func (c *conversion) readThrift(kind thriftwire.MessageType, method string, m []byte, r *reading) *Refusal {
	if len(m) > c.src.most {
		return tooLong(len(m), c.src.most)
	}
	h, err := thriftwire.ReadHead(m)
	switch {
	case err != nil:
		return broken(err)
	case h.Type != kind || string(h.Name(m)) != method:
		return &Refusal{Malformed, "", "no message of " + method}
	}
	r.found = slices.Grow(r.found[:0], len(c.src.fields))[:len(c.src.fields)]
	if err := c.src.scan.Scan(h, m, r.found); errors.Is(err, thriftwire.ErrUnasked) {
		return &Refusal{Forbidden, "", err.Error()}
	} else if err != nil {
		return broken(err)
	}
	for i, f := range c.src.fields {
		found := r.found[i]
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
			r.src[i], refusal = f.parse(found.Bytes(m))
		} else {
			r.src[i], refusal = f.number64(found.Int())
		}
		if refusal != nil {
			return refusal
		}
	}
	return nil
}

// number64 is the value of a field that is a number or a bool in Thrift.
func (f *field) number64(n int64) (value, *Refusal) {
	v := value{set: true, num: n}
	switch f.Type {
	case Enum:
		if v.num = int64(slices.Index(f.numbers, n)); v.num < 0 {
			return v, f.refuse(OutOfRange, "%d is none of its values", n)
		}
	case Date:
		if n < leastDay || n > mostDay {
			return v, f.refuse(OutOfRange, "%d: %v", n, errYears)
		}
	case Instant:
		if f.form == "unix-s" {
			var ok bool
			if v.num, ok = multiply(n, 1000); !ok {
				return v, f.refuse(OutOfRange, "%d: beyond 64 bits", n)
			}
		}
		if v.num < leastDay*dayInMS || v.num >= (mostDay+1)*dayInMS {
			return v, f.refuse(OutOfRange, "%d: %v", n, errYears)
		}
	}
	return v, f.check(v)
}

// fill sets the fields of an envelope.
func (e *Envelope) fill(m *message, to []value) {
	text := func(s string) value { return value{set: s != "", text: []byte(s)} }
	for i, f := range m.fields {
		switch f.envelope {
		case envelopeID:
			to[i] = text(e.ID)
		case envelopeTenant:
			to[i] = text(e.Tenant)
		case envelopeIdempotency:
			to[i] = text(e.Idempotency)
		case envelopeLeft:
			to[i] = value{set: true, num: max(1, e.Left.Milliseconds())}
		case envelopeRepeat:
			to[i] = value{set: e.Repeat, num: 1}
		}
	}
}

// writeThrift words a message in Thrift. Its sequence id is 0.
func (c *conversion) writeThrift(kind thriftwire.MessageType, method string, e thriftwire.Encoding, r *reading) ([]byte, *Refusal) {
	for i, f := range c.dst.fields {
		if !r.dst[i].set && !f.optional {
			return nil, f.refuse(Missing, "it is needed")
		}
	}
	w := thriftwire.Writer{Encoding: e, Buf: make([]byte, 0, 256)}
	w.Head(kind, []byte(method), thriftwire.AppendSeq(nil, e, 0))
	if refusal := c.appendStruct(&w, c.dst.thrift, r.dst, kind == thriftwire.Reply); refusal != nil {
		return nil, refusal
	}
	w.Stop()
	if len(w.Buf) > c.dst.most {
		return nil, tooLong(len(w.Buf), c.dst.most)
	}
	return w.Buf, nil
}

// appendStruct writes the members of a struct. That of a reply's result is there even if it is empty.
func (c *conversion) appendStruct(w *thriftwire.Writer, n *node, from []value, result bool) *Refusal {
	for _, m := range n.members {
		switch {
		case !m.any(from) && !(result && m.id == 0 && m.field < 0):
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
	if !fits(f.wire, n) {
		return f.refuse(OutOfRange, "%d is beyond what its type holds", n)
	}
	w.Int(id, f.wire, n)
	return nil
}
