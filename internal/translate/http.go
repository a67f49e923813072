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

// Message contains the parts of a request or a reply that shapes describe, in HTTP/1.1 or in Thrift.
type Message struct {
	Method string // of an HTTP request
	Target string // of an HTTP request: its path and query, still escaped
	Header []Header
	Body   []byte
	Thrift []byte // a Thrift message without its frame; all other fields are empty then
}

// Envelope is the data that accompanies a call whatever its shape.
type Envelope struct {
	ID, Tenant     string
	IdempotencyKey string        // the idempotency key: any bytes; empty for none
	TimeLeft       time.Duration // until the call's deadline
	ClientRetry    bool          // the client has sent the call before
}

// WriteOptions are the parts of a translated message that its source does not determine.
type WriteOptions struct {
	Encoding thriftwire.Encoding // of a Thrift message
	Envelope Envelope            // of a request
}

// Header is a header field.
type Header struct{ Name, Value string }

// maxDepth is the maximum nesting depth of a JSON value that no field declares, and of a Thrift message.
const maxDepth = 64

// node is a node in the tree of a message's fields: a field, or an object (in Thrift a struct) that contains fields.
type node struct {
	name    string
	id      int16  // in Thrift
	quoted  []byte // the name as a JSON string, followed by a colon
	field   int    // index of the field; -1 for an object
	members []*node
}

// nest builds the tree of the fields of a place, with the members sorted by id and name.
func (m *message) nest(in place) *node {
	root := &node{field: -1}
	for i, f := range m.fields {
		if f.place != in {
			continue
		}
		parent := root
		for depth, name := range f.path {
			n := parent.member(name)
			if n == nil {
				n = &node{name: name, field: -1}
				if id, err := strconv.ParseInt(name, 10, 16); in == inThrift && err == nil {
					n.id = int16(id)
				}
				if quoted, err := jsontext.AppendQuote(nil, name); err == nil { // it does not fail: TOML is UTF-8
					n.quoted = append(quoted, ':')
				}
				parent.members = append(parent.members, n)
			}
			if depth == len(f.path)-1 {
				n.field = i
			}
			parent = n
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

// quotedMember finds a member by its quoted name without escapes.
func (n *node) quotedMember(name []byte) *node {
	for _, m := range n.members {
		if len(m.quoted) == len(name)+1 && bytes.Equal(m.quoted[:len(name)], name) {
			return m
		}
	}
	return nil
}

// workspace holds the decoder, the values and the buffers of a translation. It is reused for later messages.
type workspace struct {
	in       bytes.Reader
	decoder  *jsontext.Decoder
	src, dst []value
	found    []thriftwire.Field
	unknown  []unknownMember
	text     []byte // unescaped texts, to which the values of src refer
	scratch  []byte // the text of one field
}

// storeText copies a text into the workspace.
func (ws *workspace) storeText(s string) []byte {
	begin := len(ws.text)
	ws.text = append(ws.text, s...)
	return ws.text[begin:len(ws.text):len(ws.text)]
}

// unknownMember is a JSON member that no field declares, with its unquoted name and the unchanged text of its value.
type unknownMember struct{ name, text []byte }

// maxReusedText is the largest text buffer, in bytes, that a workspace keeps for the next message.
const maxReusedText = 64 << 10

var workspaces = sync.Pool{New: func() any { return &workspace{decoder: jsontext.NewDecoder(bytes.NewReader(nil))} }}

func (c *conversion) newWorkspace() *workspace {
	ws := workspaces.Get().(*workspace)
	ws.src, ws.dst = resized(ws.src, len(c.src.fields)), resized(ws.dst, len(c.dst.fields))
	ws.unknown, ws.text = ws.unknown[:0], ws.text[:0]
	return ws
}

func resized(values []value, n int) []value {
	values = slices.Grow(values[:0], n)[:n]
	clear(values)
	return values
}

// close returns the workspace to the pool, without references to the message.
func (ws *workspace) close() {
	clear(ws.src)
	clear(ws.dst)
	clear(ws.unknown)
	if cap(ws.text) > maxReusedText {
		ws.text = nil
	}
	workspaces.Put(ws)
}

// Request translates a request. The result shares no memory with m. The error is a *Refusal.
func (p *Plan) Request(m *Message, opts WriteOptions) (*Message, error) {
	ws := p.request.newWorkspace()
	defer ws.close()
	if refusal := p.readRequest(m, ws); refusal != nil {
		return nil, refusal
	}
	if refusal := p.request.convert(ws.src, ws.dst); refusal != nil {
		return nil, refusal
	}
	out := &Message{}
	if refusal := p.writeRequest(out, opts, ws); refusal != nil {
		return nil, refusal
	}
	return out, nil
}

func (p *Plan) readRequest(m *Message, ws *workspace) *Refusal {
	if p.From.Protocol == "thrift" {
		return p.request.readThrift(thriftwire.Call, p.From.method, m.Thrift, ws)
	}
	if m.Method != p.From.method {
		return &Refusal{Malformed, "", fmt.Sprintf("a %s, not a %s", m.Method, p.From.method)}
	}
	path, query, _ := strings.Cut(m.Target, "?")
	if refusal := p.From.readPath(path, ws); refusal != nil {
		return refusal
	}
	if refusal := p.request.src.readPairs(inQuery, query, ws); refusal != nil {
		return refusal
	}
	return p.request.read(m, ws)
}

func (p *Plan) writeRequest(out *Message, opts WriteOptions, ws *workspace) (refusal *Refusal) {
	if p.To.Protocol == "thrift" {
		opts.Envelope.fill(p.request.dst, ws.dst)
		out.Thrift, refusal = p.request.writeThrift(thriftwire.Call, p.To.method, opts.Encoding, ws)
		return refusal
	}
	out.Method = p.To.method
	target, refusal := p.To.appendTarget(nil, ws)
	if refusal != nil {
		return refusal
	}
	out.Target = string(target)
	if out.Header, refusal = opts.Envelope.headers(p.To.Class); refusal != nil {
		return refusal
	}
	return p.request.write(out, ws)
}

// headers returns the HTTP headers of the envelope. X-Time-Left is not among them: it is written when the call is sent.
func (e *Envelope) headers(class string) ([]Header, *Refusal) {
	all := make([]Header, 0, 8)
	all = append(all, Header{"X-Correlation-Id", e.ID}, Header{"X-Service-Class", class}, Header{"X-Account", e.Tenant})
	if e.IdempotencyKey != "" {
		all = append(all, Header{"Idempotency-Key", e.IdempotencyKey})
	}
	if e.ClientRetry {
		all = append(all, Header{"X-Repeat", "1"})
	}
	for _, h := range all {
		if why := invalidHeader(h.Value); why != "" {
			return nil, &Refusal{OutOfRange, "", h.Name + ": " + why}
		}
	}
	return all, nil
}

// invalidHeader returns the reason why a text can't be the value of a header (RFC 9110, section 5.5), or "".
func invalidHeader(text string) string {
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

// Reply translates the reply of a server in the shape To into the shape From. The result shares no memory with m. The error
// is a *Refusal.
func (p *Plan) Reply(m *Message, opts WriteOptions) (*Message, error) {
	ws := p.reply.newWorkspace()
	defer ws.close()
	refusal := p.readReply(m, ws)
	if refusal != nil {
		return nil, refusal
	}
	if refusal := p.reply.convert(ws.src, ws.dst); refusal != nil {
		return nil, refusal
	}
	out := &Message{}
	if p.From.Protocol == "thrift" {
		out.Thrift, refusal = p.reply.writeThrift(thriftwire.Reply, p.From.method, opts.Encoding, ws)
	} else {
		refusal = p.reply.write(out, ws)
	}
	if refusal != nil {
		return nil, refusal
	}
	return out, nil
}

func (p *Plan) readReply(m *Message, ws *workspace) *Refusal {
	if p.To.Protocol == "thrift" {
		return p.reply.readThrift(thriftwire.Reply, p.To.method, m.Thrift, ws)
	}
	return p.reply.read(m, ws)
}

// readPath reads the fields of a path.
func (s *Shape) readPath(path string, ws *workspace) *Refusal {
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
		v, refusal := seg.field.parse(ws.storeText(text))
		if refusal != nil {
			return refusal
		}
		ws.src[seg.index] = v
	}
	return nil
}

// readPairs reads the fields of a query or a form (WHATWG URL, section 5.1: pairs name=value, separated by &).
func (m *message) readPairs(p place, text string, ws *workspace) *Refusal {
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
		if refusal := m.set(i, ws.storeText(value), ws.src); refusal != nil {
			return refusal
		}
	}
	return nil
}

// set parses a field and stores its value. A field that is set already is malformed.
func (m *message) set(i int, text []byte, to []value) *Refusal {
	if to[i].set {
		return m.fields[i].refuse(Malformed, "it is given twice")
	}
	v, refusal := m.fields[i].parse(text)
	to[i] = v
	return refusal
}

// read reads the fields of the headers and the body, and checks that all required fields are present.
func (c *conversion) read(m *Message, ws *workspace) *Refusal {
	if len(m.Body) > c.src.maxBody {
		return tooLong(len(m.Body), c.src.maxBody)
	}
	for _, h := range m.Header {
		i := slices.IndexFunc(c.src.fields, func(f *field) bool { return f.place == inHeader && strings.EqualFold(f.at, h.Name) })
		if i >= 0 {
			if refusal := c.src.set(i, ws.storeText(h.Value), ws.src); refusal != nil {
				return refusal
			}
		}
	}
	switch {
	case c.src.has(inForm):
		if refusal := c.src.readPairs(inForm, string(m.Body), ws); refusal != nil {
			return refusal
		}
	case c.src.has(inJSON):
		if refusal := c.readJSON(m.Body, ws); refusal != nil {
			return refusal
		}
	case len(m.Body) > 0 && c.src.unknown == "refuse":
		return &Refusal{Forbidden, "", "a body, and no field is in one"}
	}
	for i, f := range c.src.fields {
		if !f.optional && !ws.src[i].set {
			return f.refuse(Missing, "it is needed")
		}
	}
	return nil
}

// readJSON reads a body: one JSON object (RFC 8259) in UTF-8 without duplicate members.
func (c *conversion) readJSON(body []byte, ws *workspace) *Refusal {
	ws.in.Reset(body)
	ws.decoder.Reset(&ws.in)
	if refusal := c.readObject(c.src.json, ws, 0); refusal != nil {
		return refusal
	}
	if _, err := ws.decoder.ReadToken(); !errors.Is(err, io.EOF) {
		return &Refusal{Malformed, "", "bytes behind the body's end"}
	}
	return nil
}

func tooLong(n, limit int) *Refusal {
	return &Refusal{TooLarge, "", fmt.Sprintf("a body of %d bytes, at most %d are possible", n, limit)}
}

func malformed(err error) *Refusal { return &Refusal{Malformed, "", err.Error()} }

func (c *conversion) readObject(n *node, ws *workspace, depth int) *Refusal {
	if ws.decoder.PeekKind() != '{' {
		if _, err := ws.decoder.ReadToken(); err != nil {
			return malformed(err)
		}
		return &Refusal{Malformed, n.name, "no JSON object"}
	}
	if _, err := ws.decoder.ReadToken(); err != nil {
		return malformed(err)
	}
	for ws.decoder.PeekKind() != '}' {
		name, err := ws.decoder.ReadValue()
		if err != nil {
			return malformed(err)
		}
		m, plain := n.quotedMember(name), []byte(nil)
		if m == nil { // an undeclared member, or a name with escapes
			if plain, err = jsontext.AppendUnquote(nil, name); err != nil {
				return malformed(err)
			}
			m = n.member(string(plain))
		}
		switch {
		case m == nil:
			if refusal := c.readUnknown(n, string(plain), ws, depth); refusal != nil {
				return refusal
			}
		case m.field < 0:
			if refusal := c.readObject(m, ws, depth+1); refusal != nil {
				return refusal
			}
		default:
			if refusal := c.readMember(m.field, ws); refusal != nil {
				return refusal
			}
		}
	}
	if _, err := ws.decoder.ReadToken(); err != nil {
		return malformed(err)
	}
	return nil
}

func (c *conversion) readUnknown(n *node, name string, ws *workspace, depth int) *Refusal {
	if c.src.unknown == "refuse" {
		return &Refusal{Forbidden, n.name, fmt.Sprintf("no field is called %q", clip([]byte(name)))}
	}
	text, err := ws.decoder.ReadValue()
	if err != nil {
		return malformed(err)
	}
	if nestingDepth(text) > maxDepth {
		return &Refusal{TooLarge, n.name, fmt.Sprintf("it nests more than %d deep", maxDepth)}
	}
	if c.src.unknown == "keep" {
		if depth > 0 {
			return &Refusal{Forbidden, n.name, fmt.Sprintf("no field is called %q, and only members of the body itself can be kept", clip([]byte(name)))}
		}
		ws.unknown = append(ws.unknown, unknownMember{[]byte(name), bytes.Clone(text)})
	}
	return nil
}

// nestingDepth returns the nesting depth of a JSON value.
func nestingDepth(text []byte) (deepest int) {
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
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}

// readMember reads the value of a field. Null counts as absent.
func (c *conversion) readMember(i int, ws *workspace) *Refusal {
	f := c.src.fields[i]
	kind := ws.decoder.PeekKind()
	if kind == '{' || kind == '[' {
		return f.refuse(Malformed, "neither a text, a number nor a bool")
	}
	raw, err := ws.decoder.ReadValue() // valid until the next read
	if err != nil {
		return malformed(err)
	}
	expected := jsontext.Kind('"')
	switch {
	case kind == 'n':
		return nil
	case f.Type == Bool:
		if kind == 't' || kind == 'f' {
			expected = kind
		}
	case f.isJSONNumber():
		expected = '0'
	}
	if kind != expected {
		return f.refuse(Malformed, "a %v in place of %s", kind, f.jsonTypeName())
	}
	begin := len(ws.text)
	if kind == '"' {
		if ws.text, err = jsontext.AppendUnquote(ws.text, raw); err != nil {
			return malformed(err)
		}
	} else {
		ws.text = append(ws.text, raw...)
	}
	return c.src.set(i, ws.text[begin:len(ws.text):len(ws.text)], ws.src)
}

// isJSONNumber reports whether the field is a number in JSON.
func (f *field) isJSONNumber() bool {
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

func (f *field) jsonTypeName() string {
	switch {
	case f.Type == Bool:
		return "a bool"
	case f.isJSONNumber():
		return "a number"
	}
	return "a text"
}

// appendTarget appends the path and the query of a request.
func (s *Shape) appendTarget(to []byte, ws *workspace) ([]byte, *Refusal) {
	for _, seg := range s.path {
		to = append(to, '/')
		if seg.field == nil {
			to = append(to, seg.text...)
			continue
		}
		text, refusal := seg.field.append(nil, ws.dst[seg.index])
		if refusal != nil {
			return to, refusal
		}
		if len(text) == 0 || string(text) == "." || string(text) == ".." {
			return to, seg.field.refuse(OutOfRange, "%q can't stand in a path", text)
		}
		to = append(to, url.PathEscape(string(text))...)
	}
	return s.request.appendPairs(to, inQuery, '?', ws)
}

// appendPairs appends the fields of a query or a form. before is the byte before the first pair; 0 for none.
func (m *message) appendPairs(to []byte, p place, before byte, ws *workspace) ([]byte, *Refusal) {
	for i, f := range m.fields {
		if f.place != p || !ws.dst[i].set {
			continue
		}
		text, refusal := f.append(ws.scratch[:0], ws.dst[i])
		if refusal != nil {
			return to, refusal
		}
		ws.scratch = text
		if before != 0 {
			to = append(to, before)
		}
		before = '&'
		to = appendEscaped(append(append(to, f.escaped...), '='), text)
	}
	return to, nil
}

// write writes the headers and the body.
func (c *conversion) write(out *Message, ws *workspace) (refusal *Refusal) {
	m := c.dst
	for i, f := range c.dst.fields {
		switch {
		case !ws.dst[i].set && !f.optional:
			return f.refuse(Missing, "it is needed")
		case f.place == inHeader && ws.dst[i].set:
			text, refusal := f.append(ws.scratch[:0], ws.dst[i])
			if refusal != nil {
				return refusal
			}
			ws.scratch = text
			if why := invalidHeader(string(text)); why != "" {
				return f.refuse(OutOfRange, "%s", why)
			}
			out.Header = append(out.Header, Header{f.at, string(text)})
		}
	}
	switch {
	case c.dst.has(inForm):
		out.Body, refusal = c.dst.appendPairs(make([]byte, 0, estimatedSize(m, ws)), inForm, 0, ws)
		out.Header = append(out.Header, Header{"Content-Type", "application/x-www-form-urlencoded"})
	case c.dst.has(inJSON):
		out.Body, refusal = c.appendObject(make([]byte, 0, estimatedSize(m, ws)), c.dst.json, ws)
		out.Header = append(out.Header, Header{"Content-Type", "application/json"})
	}
	if refusal == nil && len(out.Body) > c.dst.maxBody {
		refusal = tooLong(len(out.Body), c.dst.maxBody)
	}
	return refusal
}

// estimatedSize returns the estimated size of a body in bytes.
func estimatedSize(m *message, ws *workspace) int { return 2*len(ws.text) + 32*len(m.fields) }

const upperHex = "0123456789ABCDEF"

// appendEscaped appends a text escaped for a query or a form, like url.QueryEscape but without a copy.
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

// hasValue reports whether the node, or any node below it, has a value.
func (n *node) hasValue(from []value) bool {
	if n.field >= 0 {
		return from[n.field].set
	}
	return slices.ContainsFunc(n.members, func(m *node) bool { return m.hasValue(from) })
}

func (c *conversion) appendObject(to []byte, n *node, ws *workspace) ([]byte, *Refusal) {
	to = append(to, '{')
	begin := len(to)
	appendName := func(name []byte) {
		if len(to) > begin {
			to = append(to, ',')
		}
		to = append(to, name...)
	}
	for _, m := range n.members {
		if !m.hasValue(ws.dst) {
			continue
		}
		appendName(m.quoted)
		var refusal *Refusal
		if m.field < 0 {
			to, refusal = c.appendObject(to, m, ws)
		} else {
			to, refusal = c.dst.fields[m.field].appendMember(to, ws.dst[m.field], ws)
		}
		if refusal != nil {
			return to, refusal
		}
	}
	if n == c.dst.json {
		for _, k := range ws.unknown {
			if n.member(string(k.name)) != nil {
				return to, &Refusal{Forbidden, string(clip(k.name)), "what is kept has the name of a field"}
			}
			name, err := jsontext.AppendQuote(nil, k.name)
			if err != nil {
				return to, malformed(err)
			}
			appendName(append(name, ':'))
			to = append(to, k.text...)
		}
	}
	return append(to, '}'), nil
}

func (f *field) appendMember(to []byte, v value, ws *workspace) ([]byte, *Refusal) {
	if f.Type == Bool || f.isJSONNumber() {
		return f.append(to, v)
	}
	text, refusal := f.append(ws.scratch[:0], v)
	if refusal != nil {
		return to, refusal
	}
	ws.scratch = text
	to, err := jsontext.AppendQuote(to, text)
	if err != nil {
		return to, f.refuse(OutOfRange, "%v", err)
	}
	return to, nil
}
