package translate

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"ternbeam/internal/thrift/thriftwire"
)

// Message is a request or a reply, as far as shapes speak of it: in HTTP/1.1, or in Thrift.
type Message struct {
	Method string // of a request in HTTP
	Target string // of a request in HTTP: its path and query, as they stand in it
	Header []Header
	Body   []byte
	Thrift []byte // a whole message of Thrift's, without its frame; the rest is empty then
}

// Envelope is what goes with a call whatever its shape.
type Envelope struct {
	ID, Tenant  string
	Idempotency string // any bytes
	Left        time.Duration
	Repeat      bool
}

// Words say how a translation is worded.
type Words struct {
	Encoding thriftwire.Encoding // of a message in Thrift
	Envelope Envelope            // of a request
}

// Header is a field of a head.
type Header struct{ Name, Value string }

// mostDepth is how deep a JSON body may nest.
const mostDepth = 64

// node is a JSON object of a message, or a member that is a field.
type node struct {
	name    string
	id      int16  // in Thrift
	quoted  []byte // the name as it is written, with a colon
	field   int    // -1 for an object
	members []*node
}

// nest arranges the fields of a place as they nest, members by their names or numbers.
func (m *message) nest(in place) *node {
	root := &node{field: -1}
	for i, f := range m.fields {
		if f.place != in {
			continue
		}
		at := root
		for depth, name := range f.path {
			n := at.member(name)
			if n == nil {
				n = &node{name: name, field: -1}
				if id, err := strconv.ParseInt(name, 10, 16); in == inThrift && err == nil {
					n.id = int16(id)
				}
				if quoted, err := jsontext.AppendQuote(nil, name); err == nil { // TOML is UTF-8
					n.quoted = append(quoted, ':')
				}
				at.members = append(at.members, n)
			}
			if depth == len(f.path)-1 {
				n.field = i
			}
			at = n
		}
	}
	root.sort()
	return root
}

func (n *node) sort() {
	slices.SortFunc(n.members, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.id, b.id), strings.Compare(a.name, b.name))
	})
	for _, m := range n.members {
		m.sort()
	}
}

func (n *node) member(name string) *node {
	for _, m := range n.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// quotedMember finds a member by its name as it is usually written.
func (n *node) quotedMember(name []byte) *node {
	for _, m := range n.members {
		if len(m.quoted) == len(name)+1 && bytes.Equal(m.quoted[:len(name)], name) {
			return m
		}
	}
	return nil
}

// reading is what is kept between messages: decoders and the values of fields.
type reading struct {
	in       bytes.Reader
	decoder  *jsontext.Decoder
	src, dst []value
	found    []thriftwire.Field
	kept     []member
	text     []byte // what the values of src refer to, as far as it is not in the message
	scratch  []byte
}

// hold keeps a text for as long as the message is read.
func (r *reading) hold(s string) []byte {
	begin := len(r.text)
	r.text = append(r.text, s...)
	return r.text[begin:len(r.text):len(r.text)]
}

// member is one that no field names, as it stands in the body.
type member struct{ name, text []byte }

// mostKept is how many bytes of room a reading keeps for the next message.
const mostKept = 64 << 10

var readings = sync.Pool{New: func() any { return &reading{decoder: jsontext.NewDecoder(bytes.NewReader(nil))} }}

func (c *conversion) open() *reading {
	r := readings.Get().(*reading)
	r.src, r.dst = room(r.src, len(c.src.fields)), room(r.dst, len(c.dst.fields))
	r.kept, r.text = r.kept[:0], r.text[:0]
	return r
}

func room(have []value, n int) []value {
	have = slices.Grow(have[:0], n)[:n]
	clear(have)
	return have
}

// close keeps what may be used again, and nothing of the message.
func (r *reading) close() {
	clear(r.src)
	clear(r.dst)
	clear(r.kept)
	if cap(r.text) > mostKept {
		r.text = nil
	}
	readings.Put(r)
}

// Request translates a request. What it returns shares no memory with what it was given, and needs none of it.
func (p *Plan) Request(m *Message, words Words) (*Message, error) {
	r := p.request.open()
	defer r.close()
	if refusal := p.readRequest(m, r); refusal != nil {
		return nil, refusal
	}
	if refusal := p.request.convert(r.src, r.dst); refusal != nil {
		return nil, refusal
	}
	out := &Message{}
	if refusal := p.writeRequest(out, words, r); refusal != nil {
		return nil, refusal
	}
	return out, nil
}

func (p *Plan) readRequest(m *Message, r *reading) *Refusal {
	if p.From.Protocol == "thrift" {
		return p.request.readThrift(thriftwire.Call, p.From.method, m.Thrift, r)
	}
	if m.Method != p.From.method {
		return &Refusal{Malformed, "", fmt.Sprintf("a %s, not a %s", m.Method, p.From.method)}
	}
	path, query, _ := strings.Cut(m.Target, "?")
	if refusal := p.From.readPath(path, r); refusal != nil {
		return refusal
	}
	if refusal := p.request.src.readPairs(inQuery, query, r); refusal != nil {
		return refusal
	}
	return p.request.read(m, r)
}

func (p *Plan) writeRequest(out *Message, words Words, r *reading) (refusal *Refusal) {
	if p.To.Protocol == "thrift" {
		words.Envelope.fill(p.request.dst, r.dst)
		out.Thrift, refusal = p.request.writeThrift(thriftwire.Call, p.To.method, words.Encoding, r)
		return refusal
	}
	out.Method = p.To.method
	target, refusal := p.To.appendTarget(nil, r)
	if refusal != nil {
		return refusal
	}
	out.Target = string(target)
	if out.Header, refusal = words.Envelope.headers(p.To.Class); refusal != nil {
		return refusal
	}
	return p.request.write(out, r)
}

// headers are those of a call's envelope in HTTP. The time that is left is worded when the call is sent.
func (e *Envelope) headers(class string) ([]Header, *Refusal) {
	all := make([]Header, 0, 8)
	all = append(all, Header{"X-Correlation-Id", e.ID}, Header{"X-Service-Class", class}, Header{"X-Account", e.Tenant})
	if e.Idempotency != "" {
		all = append(all, Header{"Idempotency-Key", e.Idempotency})
	}
	if e.Repeat {
		all = append(all, Header{"X-Repeat", "1"})
	}
	for _, h := range all {
		if why := unfit(h.Value); why != "" {
			return nil, &Refusal{OutOfRange, "", h.Name + ": " + why}
		}
	}
	return all, nil
}

// unfit says why a text can't be the value of a header (RFC 9110, section 5.5).
func unfit(text string) string {
	for i := range len(text) {
		if b := text[i]; b < ' ' && b != '\t' || b == 0x7f {
			return fmt.Sprintf("byte %d can't stand in a header", i)
		}
	}
	if strings.Trim(text, " \t") != text {
		return "a header loses the space around it"
	}
	return ""
}

// Reply translates a reply back.
func (p *Plan) Reply(m *Message, words Words) (*Message, error) {
	r := p.reply.open()
	defer r.close()
	refusal := p.readReply(m, r)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := p.reply.convert(r.src, r.dst); refusal != nil {
		return nil, refusal
	}
	out := &Message{}
	if p.From.Protocol == "thrift" {
		out.Thrift, refusal = p.reply.writeThrift(thriftwire.Reply, p.From.method, words.Encoding, r)
	} else {
		refusal = p.reply.write(out, r)
	}
	if refusal != nil {
		return nil, refusal
	}
	return out, nil
}

func (p *Plan) readReply(m *Message, r *reading) *Refusal {
	if p.To.Protocol == "thrift" {
		return p.reply.readThrift(thriftwire.Reply, p.To.method, m.Thrift, r)
	}
	return p.reply.read(m, r)
}

// readPath reads the fields of a path.
func (s *Shape) readPath(path string, r *reading) *Refusal {
	rest, rooted := strings.CutPrefix(path, "/")
	if !rooted {
		return &Refusal{Malformed, "", "a path that begins with no slash"}
	}
	for i, seg := range s.path {
		part, after, more := strings.Cut(rest, "/")
		if more != (i < len(s.path)-1) {
			return &Refusal{Malformed, "", "a path of another form"}
		}
		rest = after
		if seg.field == nil {
			if part != seg.text {
				return &Refusal{Malformed, "", "a path of another form"}
			}
			continue
		}
		text, err := url.PathUnescape(part)
		if err != nil {
			return seg.field.refuse(Malformed, "%v", err)
		}
		v, refusal := seg.field.parse(r.hold(text))
		if refusal != nil {
			return refusal
		}
		r.src[seg.at] = v
	}
	return nil
}

// readPairs reads the fields of a query or a form (WHATWG URL, section 5.1: names and values joined by = and &).
func (m *message) readPairs(p place, text string, r *reading) *Refusal {
	for text != "" {
		var pair string
		pair, text, _ = strings.Cut(text, "&")
		if pair == "" {
			continue
		}
		rawName, rawValue, _ := strings.Cut(pair, "=")
		name, err := url.QueryUnescape(rawName)
		if err != nil {
			return &Refusal{Malformed, "", err.Error()}
		}
		i := slices.IndexFunc(m.fields, func(f *field) bool { return f.place == p && f.at == name })
		if i < 0 {
			if m.unknown == "refuse" {
				return &Refusal{Forbidden, "", fmt.Sprintf("no field is called %q", clip([]byte(name)))}
			}
			continue
		}
		value, err := url.QueryUnescape(rawValue)
		if err != nil {
			return m.fields[i].refuse(Malformed, "%v", err)
		}
		if refusal := m.set(i, r.hold(value), r.src); refusal != nil {
			return refusal
		}
	}
	return nil
}

// set reads a field that must not have been there before.
func (m *message) set(i int, text []byte, to []value) *Refusal {
	if to[i].set {
		return m.fields[i].refuse(Malformed, "it is given twice")
	}
	v, refusal := m.fields[i].parse(text)
	to[i] = v
	return refusal
}

// read reads the head's fields and the body, and sees whether all is there that must be.
func (c *conversion) read(m *Message, r *reading) *Refusal {
	if len(m.Body) > c.src.most {
		return tooLong(len(m.Body), c.src.most)
	}
	for _, h := range m.Header {
		i := slices.IndexFunc(c.src.fields, func(f *field) bool { return f.place == inHeader && strings.EqualFold(f.at, h.Name) })
		if i >= 0 {
			if refusal := c.src.set(i, r.hold(h.Value), r.src); refusal != nil {
				return refusal
			}
		}
	}
	switch {
	case c.src.has(inForm):
		if refusal := c.src.readPairs(inForm, string(m.Body), r); refusal != nil {
			return refusal
		}
	case c.src.has(inJSON):
		if refusal := c.readJSON(m.Body, r); refusal != nil {
			return refusal
		}
	case len(m.Body) > 0 && c.src.unknown == "refuse":
		return &Refusal{Forbidden, "", "a body, and no field is in one"}
	}
	for i, f := range c.src.fields {
		if !f.optional && !r.src[i].set {
			return f.refuse(Missing, "it is needed")
		}
	}
	return nil
}

// readJSON reads a body: one object (RFC 8259), in UTF-8, no member given twice.
func (c *conversion) readJSON(body []byte, r *reading) *Refusal {
	r.in.Reset(body)
	r.decoder.Reset(&r.in)
	if refusal := c.readObject(c.src.json, r, 0); refusal != nil {
		return refusal
	}
	if _, err := r.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return &Refusal{Malformed, "", "bytes behind the body's end"}
	}
	return nil
}

func tooLong(n, most int) *Refusal {
	return &Refusal{TooLarge, "", fmt.Sprintf("a body of %d bytes, at most %d are possible", n, most)}
}

func broken(err error) *Refusal { return &Refusal{Malformed, "", err.Error()} }

func (c *conversion) readObject(n *node, r *reading, depth int) *Refusal {
	if r.decoder.PeekKind() != '{' {
		if _, err := r.decoder.ReadToken(); err != nil {
			return broken(err)
		}
		return &Refusal{Malformed, n.name, "no JSON object"}
	}
	if _, err := r.decoder.ReadToken(); err != nil {
		return broken(err)
	}
	for r.decoder.PeekKind() != '}' {
		name, err := r.decoder.ReadValue()
		if err != nil {
			return broken(err)
		}
		m, plain := n.quotedMember(name), []byte(nil)
		if m == nil { // none that is known, or one with escapes
			if plain, err = jsontext.AppendUnquote(nil, name); err != nil {
				return broken(err)
			}
			m = n.member(string(plain))
		}
		switch {
		case m == nil:
			if refusal := c.readUnknown(n, string(plain), r, depth); refusal != nil {
				return refusal
			}
		case m.field < 0:
			if refusal := c.readObject(m, r, depth+1); refusal != nil {
				return refusal
			}
		default:
			if refusal := c.readMember(m.field, r); refusal != nil {
				return refusal
			}
		}
	}
	if _, err := r.decoder.ReadToken(); err != nil {
		return broken(err)
	}
	return nil
}

func (c *conversion) readUnknown(n *node, name string, r *reading, depth int) *Refusal {
	if c.src.unknown == "refuse" {
		return &Refusal{Forbidden, n.name, fmt.Sprintf("no field is called %q", clip([]byte(name)))}
	}
	text, err := r.decoder.ReadValue()
	if err != nil {
		return broken(err)
	}
	if deep(text) > mostDepth {
		return &Refusal{TooLarge, n.name, fmt.Sprintf("it nests more than %d deep", mostDepth)}
	}
	if c.src.unknown == "keep" {
		if depth > 0 {
			return &Refusal{Forbidden, n.name, fmt.Sprintf("no field is called %q, and only members of the body itself can be kept", clip([]byte(name)))}
		}
		r.kept = append(r.kept, member{[]byte(name), bytes.Clone(text)})
	}
	return nil
}

// deep is how deep a value nests.
func deep(text []byte) (most int) {
	depth, quoted := 0, false
	for i := 0; i < len(text); i++ {
		switch c := text[i]; {
		case quoted && c == '\\':
			i++
		case c == '"':
			quoted = !quoted
		case quoted:
		case c == '{' || c == '[':
			depth++
			most = max(most, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return most
}

// readMember reads a field. Null is as if it were absent.
func (c *conversion) readMember(i int, r *reading) *Refusal {
	f := c.src.fields[i]
	kind := r.decoder.PeekKind()
	if kind == '{' || kind == '[' {
		return f.refuse(Malformed, "neither a text, a number nor a bool")
	}
	raw, err := r.decoder.ReadValue() // holds until the next
	if err != nil {
		return broken(err)
	}
	wanted := jsontext.Kind('"')
	switch {
	case kind == 'n':
		return nil
	case f.Type == Bool:
		if kind == 't' || kind == 'f' {
			wanted = kind
		}
	case f.number():
		wanted = '0'
	}
	if kind != wanted {
		return f.refuse(Malformed, "a %v in place of %s", kind, f.wants())
	}
	begin := len(r.text)
	if kind == '"' {
		if r.text, err = jsontext.AppendUnquote(r.text, raw); err != nil {
			return broken(err)
		}
	} else {
		r.text = append(r.text, raw...)
	}
	return c.src.set(i, r.text[begin:len(r.text):len(r.text)], r.src)
}

// number reports whether JSON has the field as a number.
func (f *field) number() bool {
	switch f.Type {
	case Int, Decimal:
		return !f.quoted
	case Date:
		return f.layout == ""
	case Instant:
		return f.form == "unix-s" || f.form == "unix-ms"
	}
	return false
}

func (f *field) wants() string {
	switch {
	case f.Type == Bool:
		return "a bool"
	case f.number():
		return "a number"
	}
	return "a text"
}

// appendTarget writes the path and the query of a request.
func (s *Shape) appendTarget(to []byte, r *reading) ([]byte, *Refusal) {
	for _, seg := range s.path {
		to = append(to, '/')
		if seg.field == nil {
			to = append(to, seg.text...)
			continue
		}
		text, refusal := seg.field.append(nil, r.dst[seg.at])
		if refusal != nil {
			return to, refusal
		}
		if len(text) == 0 || string(text) == "." || string(text) == ".." {
			return to, seg.field.refuse(OutOfRange, "%q can't stand in a path", text)
		}
		to = append(to, url.PathEscape(string(text))...)
	}
	return s.request.appendPairs(to, inQuery, '?', r)
}

// appendPairs writes the fields of a query or a form.
func (m *message) appendPairs(to []byte, p place, before byte, r *reading) ([]byte, *Refusal) {
	for i, f := range m.fields {
		if f.place != p || !r.dst[i].set {
			continue
		}
		text, refusal := f.append(r.scratch[:0], r.dst[i])
		if refusal != nil {
			return to, refusal
		}
		r.scratch = text
		if before != 0 {
			to = append(to, before)
		}
		before = '&'
		to = appendEscaped(append(append(to, f.escaped...), '='), text)
	}
	return to, nil
}

// write writes the head's fields and the body.
func (c *conversion) write(out *Message, r *reading) (refusal *Refusal) {
	m := c.dst
	for i, f := range c.dst.fields {
		switch {
		case !r.dst[i].set && !f.optional:
			return f.refuse(Missing, "it is needed")
		case f.place == inHeader && r.dst[i].set:
			text, refusal := f.append(r.scratch[:0], r.dst[i])
			if refusal != nil {
				return refusal
			}
			r.scratch = text
			if why := unfit(string(text)); why != "" {
				return f.refuse(OutOfRange, "%s", why)
			}
			out.Header = append(out.Header, Header{f.at, string(text)})
		}
	}
	switch {
	case c.dst.has(inForm):
		out.Body, refusal = c.dst.appendPairs(make([]byte, 0, roomFor(m, r)), inForm, 0, r)
		out.Header = append(out.Header, Header{"Content-Type", "application/x-www-form-urlencoded"})
	case c.dst.has(inJSON):
		out.Body, refusal = c.appendObject(make([]byte, 0, roomFor(m, r)), c.dst.json, r)
		out.Header = append(out.Header, Header{"Content-Type", "application/json"})
	}
	if refusal == nil && len(out.Body) > c.dst.most {
		refusal = tooLong(len(out.Body), c.dst.most)
	}
	return refusal
}

// roomFor is about how much a body takes.
func roomFor(m *message, r *reading) int { return 2*len(r.text) + 32*len(m.fields) }

const upperHex = "0123456789ABCDEF"

// appendEscaped writes a text as a query or a form has it, as url.QueryEscape does but without a copy.
func appendEscaped(to, text []byte) []byte {
	for _, b := range text {
		switch {
		case b >= 'a' && b <= 'z', b >= 'A' && b <= 'Z', b >= '0' && b <= '9', b == '-', b == '_', b == '.', b == '~':
			to = append(to, b)
		case b == ' ':
			to = append(to, '+')
		default:
			to = append(to, '%', upperHex[b>>4], upperHex[b&15])
		}
	}
	return to
}

// any reports whether something of an object is there.
func (n *node) any(from []value) bool {
	if n.field >= 0 {
		return from[n.field].set
	}
	return slices.ContainsFunc(n.members, func(m *node) bool { return m.any(from) })
}

func (c *conversion) appendObject(to []byte, n *node, r *reading) ([]byte, *Refusal) {
	to = append(to, '{')
	begin := len(to)
	next := func(name []byte) {
		if len(to) > begin {
			to = append(to, ',')
		}
		to = append(to, name...)
	}
	for _, m := range n.members {
		if !m.any(r.dst) {
			continue
		}
		next(m.quoted)
		var refusal *Refusal
		if m.field < 0 {
			to, refusal = c.appendObject(to, m, r)
		} else {
			to, refusal = c.dst.fields[m.field].appendMember(to, r.dst[m.field], r)
		}
		if refusal != nil {
			return to, refusal
		}
	}
	if n == c.dst.json {
		for _, k := range r.kept {
			if n.member(string(k.name)) != nil {
				return to, &Refusal{Forbidden, string(clip(k.name)), "what is kept has the name of a field"}
			}
			name, err := jsontext.AppendQuote(nil, k.name)
			if err != nil {
				return to, broken(err)
			}
			next(append(name, ':'))
			to = append(to, k.text...)
		}
	}
	return append(to, '}'), nil
}

func (f *field) appendMember(to []byte, v value, r *reading) ([]byte, *Refusal) {
	if f.Type == Bool || f.number() {
		return f.append(to, v)
	}
	text, refusal := f.append(r.scratch[:0], v)
	if refusal != nil {
		return to, refusal
	}
	r.scratch = text
	to, err := jsontext.AppendQuote(to, text)
	if err != nil {
		return to, f.refuse(OutOfRange, "%v", err)
	}
	return to, nil
}
