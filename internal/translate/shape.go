// Package translate converts messages of one shape (a version of a request and its reply) into another, by mappings that are
// declared in a file and compiled once. It does no I/O. A message that cannot be converted exactly yields a *Refusal.
//
// The texts of refusals are sent to clients.
package translate

import (
	"cmp"
	"fmt"
	"math"
	"net/textproto"
	"net/url"
	"slices"
	"strings"
	"time"
	_ "time/tzdata" // the same time zone data on every host

	"ternbeam/internal/settings/conffile"
	"ternbeam/internal/thrift/thriftwire"
)

// Bounds and defaults of what a file may declare.
const (
	maxFields      = 256      // of a message
	maxName        = 64       // bytes of a name
	maxBody        = 1 << 24  // bytes of a message
	defaultMaxBody = 64 << 10 // bytes of a message
	maxText        = 64 << 10 // bytes of a text or bytes field without a max of its own
)

// envelopeField identifies a field of the envelope, which every message of a protocol carries for the agent, whatever its shape. In
// HTTP the envelope has fixed headers; in Thrift each shape declares where its fields are.
type envelopeField int

const (
	envelopeID envelopeField = iota
	envelopeTenant
	envelopeIdempotency
	envelopeTimeLeft
	envelopeRepeat
	envelopeLoad // in replies; a shape may have several
	noEnvelope   // a field of the shape itself
)

// reservedHeaders are the headers of the envelope in HTTP, and those that frame a message. No shape may declare them.
var reservedHeaders = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "Idempotency-Key", "X-Repeat",
	"X-Unprocessed", "X-Backend-Load", "Retry-After", "Content-Type", "Content-Length", "Transfer-Encoding", "Connection", "Host"}

// place is the part of a message that contains a field.
type place uint8

const (
	inPath place = iota
	inQuery
	inHeader
	inJSON
	inForm
	inThrift
)

var placeNames = map[string]place{"path": inPath, "query": inQuery, "header": inHeader, "json": inJSON, "form": inForm,
	"thrift": inThrift}

// field is a field of a shape's message.
type field struct {
	Type
	name     string
	place    place
	at       string   // name or dotted path in its place, such as amount.pence in JSON or 1.3 in Thrift
	path     []string // the parts of at
	optional bool
	quoted   bool            // a number that is a string in JSON
	min, max int64           // bounds: bytes of a text, or the value of a number, times 10^scale for a decimal
	scale    int             // of a decimal: its number of decimals
	values   []string        // of an enum
	form     string          // of an instant
	layout   string          // of a date, as in package time; empty for days since 1970
	zone     *time.Location  // of an instant in the form local
	escaped  string          // its escaped name in a query or a form
	wire     thriftwire.Type // in Thrift
	numbers  []int64         // of an enum's values, in Thrift
	envelope envelopeField   // noEnvelope for a field of the shape itself
}

// message describes a request or a reply of a shape.
type message struct {
	fields   []*field // by name, then the envelope's
	headers  []string // names of its headers, in canonical form
	byName   map[string]*field
	json     *node            // the tree of its JSON fields
	thrift   *node            // the tree of its Thrift fields
	scanPlan *thriftwire.Plan // finds all fields of a Thrift message in one pass
	unknown  string           // what is done with members that no field declares: refuse, drop or keep
	maxBody  int              // bytes of a body, or of a Thrift message
}

// Shape is a version of a class's request and reply.
type Shape struct {
	Name     string
	Class    string
	Version  string // as in the servers' entries in the list
	Protocol string // http or thrift
	// UnknownShapeCode is the HTTP status, or the type of the TApplicationException, with which a server answers that does not
	// know the shape; 0 if there is none.
	UnknownShapeCode int
	method           string
	path             []segment
	request          message
	reply            message
}

// segment is a part of a path between slashes: a fixed text, or a field.
type segment struct {
	text  string
	field *field // nil for a fixed text
	index int    // of the field in the request's fields
}

// The layout of the file.
type (
	fileText struct {
		Shapes   map[string]*shapeText   `toml:"shapes"`
		Mappings map[string]*mappingText `toml:"mappings"`
		Drift    struct {
			ForgetS     *float64 `toml:"forget_s"`
			MostForgetS *float64 `toml:"most_forget_s"`
		} `toml:"drift"`
	}
	shapeText struct {
		Class    string                `toml:"class"`
		Version  string                `toml:"version"`
		Protocol string                `toml:"protocol"`
		Method   string                `toml:"method"`
		Path     string                `toml:"path"`
		Unknowns int                   `toml:"shape_unknown"`
		Envelope envelopeText          `toml:"envelope"`
		Request  map[string]*fieldText `toml:"request"`
		Reply    map[string]*fieldText `toml:"reply"`
		Unknown  struct {
			Request string `toml:"request"`
			Reply   string `toml:"reply"`
		} `toml:"unknown"`
		Most struct {
			Request int `toml:"request"`
			Reply   int `toml:"reply"`
		} `toml:"max_body_bytes"`
	}
	envelopeText struct {
		ID          string   `toml:"id"`
		Tenant      string   `toml:"tenant"`
		Idempotency string   `toml:"idempotency_key"`
		Left        string   `toml:"time_left_ms"`
		Repeat      string   `toml:"repeat"`
		Load        []string `toml:"load"`
	}
	fieldText struct {
		At       string   `toml:"at"`
		Type     string   `toml:"type"`
		Optional bool     `toml:"optional"`
		Quoted   bool     `toml:"quoted"`
		Min      string   `toml:"min"`
		Max      string   `toml:"max"`
		Scale    int      `toml:"scale"`
		Values   []string `toml:"values"`
		Form     string   `toml:"form"`
		Zone     string   `toml:"zone"`
		Wire     string   `toml:"wire"`
		Numbers  []int64  `toml:"numbers"`
	}
	mappingText struct {
		From    []string             `toml:"from"`
		To      []string             `toml:"to"`
		Request map[string]*ruleText `toml:"request"`
		Reply   map[string]*ruleText `toml:"reply"`
		Drop    struct {
			Request []string `toml:"request"`
			Reply   []string `toml:"reply"`
		} `toml:"drop"`
		Absent struct {
			Request []string `toml:"request"`
			Reply   []string `toml:"reply"`
		} `toml:"absent"`
		Omit struct {
			Request []string `toml:"request"`
			Reply   []string `toml:"reply"`
		} `toml:"omit"`
		Lossless bool `toml:"lossless"`
	}
	ruleText struct {
		From    string            `toml:"from"`
		Value   *string           `toml:"value"`
		Default *string           `toml:"default"`
		Values  map[string]string `toml:"values"`
		Times   string            `toml:"times"`
		Join    []string          `toml:"join"`
		With    string            `toml:"with"`
		Split   string            `toml:"split"`
		Part    int               `toml:"part"`
	}
)

// compiler compiles a file.
type compiler struct {
	file   *conffile.File
	shapes map[string]*Shape
}

// shape compiles one shape.
func (c *compiler) shape(name string, t *shapeText) *Shape {
	key := "shapes." + name
	s := &Shape{Name: name, Class: t.Class, Version: t.Version, Protocol: t.Protocol, UnknownShapeCode: t.Unknowns, method: t.Method}
	if len(name) > maxName {
		c.file.Problem(key, "the name is longer than %d bytes", maxName)
	}
	for attr, text := range map[string]string{"class": t.Class, "version": t.Version} {
		if text == "" || len(text) > maxName || strings.ContainsAny(text, "/ ") {
			c.file.Problem(key+"."+attr, "%q is not a name of 1 to %d bytes without slashes and spaces", text, maxName)
		}
	}
	s.request = c.message(key+".request", t.Request, t.Unknown.Request, t.Most.Request, key)
	s.reply = c.message(key+".reply", t.Reply, t.Unknown.Reply, t.Most.Reply, key)
	switch t.Protocol {
	case "http":
		c.http(key, s, t)
	case "thrift":
		c.thrift(key, s, t)
	default:
		c.file.Problem(key+".protocol", "%q is neither http nor thrift", t.Protocol)
	}
	for kind, m := range map[string]*message{"request": &s.request, "reply": &s.reply} {
		for _, f := range m.fields {
			if (f.place == inThrift) != (t.Protocol == "thrift") {
				c.file.Problem(key+"."+kind+"."+f.name+".at", "a message in %s has no such place", t.Protocol)
			}
			if f.place == inHeader && slices.ContainsFunc(reservedHeaders, func(name string) bool { return strings.EqualFold(name, f.at) }) {
				c.file.Problem(key+"."+kind+"."+f.name+".at", "header %s is reserved: the agent sets it itself", f.at)
			}
		}
		m.buildTrees(c, key+"."+kind, t.Protocol)
	}
	return s
}

// http compiles the parts that only HTTP shapes have.
func (c *compiler) http(key string, s *Shape, t *shapeText) {
	if t.Method != "GET" && t.Method != "POST" && t.Method != "PUT" {
		c.file.Problem(key+".method", "%q is not one of GET, POST and PUT", t.Method)
	}
	c.compilePath(key, s, t.Path)
	for _, f := range s.reply.fields {
		if f.place == inPath || f.place == inQuery || f.place == inForm {
			c.file.Problem(key+".reply."+f.name+".at", "a reply has no such place")
		}
	}
	if s.request.has(inJSON) && s.request.has(inForm) {
		c.file.Problem(key+".request", "a body is either JSON or a form, not both")
	}
	if s.method == "GET" && (s.request.has(inJSON) || s.request.has(inForm)) {
		c.file.Problem(key+".method", "a GET has no body")
	}
	if t.Unknowns != 0 && (t.Unknowns < 400 || t.Unknowns > 599) {
		c.file.Problem(key+".shape_unknown", "%d is not a status from 400 to 599", t.Unknowns)
	}
	if e := t.Envelope; e.ID+e.Tenant+e.Idempotency+e.Left+e.Repeat != "" || len(e.Load) > 0 {
		c.file.Problem(key+".envelope", "an HTTP shape has none: its envelope has fixed headers")
	}
}

func (m *message) has(p place) bool {
	return slices.ContainsFunc(m.fields, func(f *field) bool { return f.place == p })
}

// compilePath compiles a shape's path: segments between slashes, each a fixed text or a field in braces.
func (c *compiler) compilePath(key string, s *Shape, path string) {
	if !strings.HasPrefix(path, "/") {
		c.file.Problem(key+".path", "%q does not begin with a slash", path)
		return
	}
	used := map[*field]bool{}
	for _, part := range strings.Split(path[1:], "/") {
		name, braced := strings.CutPrefix(part, "{")
		if !braced {
			if strings.ContainsAny(part, "{}?#% ") {
				c.file.Problem(key+".path", "%q is neither a fixed text nor a field in braces", part)
			}
			s.path = append(s.path, segment{text: part})
			continue
		}
		name, closed := strings.CutSuffix(name, "}")
		at := slices.IndexFunc(s.request.fields, func(f *field) bool { return f.place == inPath && f.at == name })
		if !closed || at < 0 {
			c.file.Problem(key+".path", "%q: no field has at = \"path:%s\"", part, name)
			continue
		}
		if f := s.request.fields[at]; used[f] || f.optional {
			c.file.Problem(key+".path", "%q: a field of a path must appear there once, and must not be optional", part)
		} else {
			used[f] = true
			s.path = append(s.path, segment{field: f, index: at})
		}
	}
	for _, f := range s.request.fields {
		if f.place == inPath && !used[f] {
			c.file.Problem(key+".request."+f.name+".at", "the path has no {%s}", f.at)
		}
	}
}

// message compiles the fields of a request or a reply.
func (c *compiler) message(key string, fields map[string]*fieldText, unknown string, limit int, shape string) message {
	m := message{byName: map[string]*field{}, unknown: cmp.Or(unknown, "refuse"), maxBody: cmp.Or(limit, defaultMaxBody)}
	if len(fields) > maxFields {
		c.file.Problem(key, "%d fields, at most %d are allowed", len(fields), maxFields)
	}
	if !slices.Contains([]string{"refuse", "drop", "keep"}, m.unknown) {
		c.file.Problem(shape+".unknown", "%q is not one of refuse, drop and keep", unknown)
	}
	if m.maxBody < 1 || m.maxBody > maxBody {
		c.file.Problem(shape+".max_body_bytes", "%d is not from 1 to %d", limit, maxBody)
	}
	for _, name := range sortedKeys(fields) {
		f := c.field(key+"."+name, name, fields[name])
		for _, other := range m.fields {
			if f.place == other.place && (f.at == other.at || f.place == inHeader && strings.EqualFold(f.at, other.at)) {
				c.file.Problem(key+"."+name+".at", "field %s is in the same place", other.name)
			}
			if f.place == other.place && (f.place == inJSON || f.place == inThrift) && f.nestedWith(other) {
				c.file.Problem(key+"."+name+".at", "one of this field and %s contains the other", other.name)
			}
		}
		m.fields = append(m.fields, f)
		m.byName[name] = f
	}
	return m
}

// buildTrees builds the trees of the fields, the list of headers and, in Thrift, the scan plan.
func (m *message) buildTrees(c *compiler, key, protocol string) {
	m.json = m.nest(inJSON)
	for _, f := range m.fields {
		if f.place == inHeader {
			m.headers = append(m.headers, f.at)
		}
	}
	if protocol != "thrift" {
		return
	}
	m.thrift = m.nest(inThrift)
	var paths []string
	for _, f := range m.fields {
		paths = append(paths, f.at)
	}
	plan, err := thriftwire.NewPlan(maxDepth, paths...)
	if err != nil {
		c.file.Problem(key, "%v", err)
	}
	if m.scanPlan = plan; plan != nil && m.unknown == "refuse" {
		plan.Strict()
	}
}

// nestedWith reports whether one of two fields contains the other.
func (f *field) nestedWith(other *field) bool {
	return strings.HasPrefix(f.at, other.at+".") || strings.HasPrefix(other.at, f.at+".")
}

// sortedKeys returns the sorted keys of a table, so that results and problems have a defined order.
func sortedKeys[T any](table map[string]T) []string {
	keys := make([]string, 0, len(table))
	for k := range table {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// field compiles one field.
func (c *compiler) field(key, name string, t *fieldText) *field {
	f := &field{name: name, optional: t.Optional, quoted: t.Quoted, form: t.Form, envelope: noEnvelope}
	prefix, at, _ := strings.Cut(t.At, ":")
	var known bool
	if f.place, known = placeNames[prefix]; !known || at == "" {
		c.file.Problem(key+".at", "%q is not one of path:, query:, header:, json:, form: and thrift: with a name", t.At)
	}
	if f.place == inHeader {
		at = textproto.CanonicalMIMEHeaderKey(at)
	}
	f.at, f.path, f.escaped = at, strings.Split(at, "."), url.QueryEscape(at)
	if f.place == inJSON && slices.Contains(f.path, "") {
		c.file.Problem(key+".at", "%q: the name of a JSON member is empty", t.At)
	}
	if f.Type, known = typeNames[t.Type]; !known {
		c.file.Problem(key+".type", "%q is not one of %s", t.Type, strings.Join(sortedKeys(typeNames), ", "))
	}
	allowOnly := func(set bool, attr string, types ...Type) {
		if set && !slices.Contains(types, f.Type) {
			c.file.Problem(key+"."+attr, "a field of type %v has none", f.Type)
		}
	}
	allowOnly(t.Scale != 0, "scale", Decimal)
	allowOnly(len(t.Values) > 0, "values", Enum)
	allowOnly(t.Form != "", "form", Date, Instant)
	allowOnly(t.Zone != "", "zone", Instant)
	allowOnly(t.Quoted, "quoted", Int, Decimal)
	allowOnly(t.Min != "", "min", Text, Bytes, Int, Decimal)
	allowOnly(t.Max != "", "max", Text, Bytes, Int, Decimal)
	if f.scale = t.Scale; f.scale < 0 || f.scale > maxDecimals {
		c.file.Problem(key+".scale", "%d is not from 0 to %d", t.Scale, maxDecimals)
		f.scale = 0
	}
	f.min, f.max = math.MinInt64, math.MaxInt64
	if f.Type == Text || f.Type == Bytes {
		f.min, f.max = 0, maxText
	}
	for attr, bound := range map[string]struct {
		text string
		to   *int64
	}{"min": {t.Min, &f.min}, "max": {t.Max, &f.max}} {
		if bound.text != "" {
			n, err := parseDecimal([]byte(bound.text), f.scale)
			if *bound.to = n; err != nil {
				c.file.Problem(key+"."+attr, "%q: %v", bound.text, err)
			}
		}
	}
	if f.min > f.max {
		c.file.Problem(key+".max", "less than min")
	}
	if f.values = t.Values; f.Type == Enum {
		sorted := slices.Sorted(slices.Values(t.Values))
		if len(sorted) == 0 || len(slices.Compact(sorted)) < len(t.Values) {
			c.file.Problem(key+".values", "an enum needs at least one value, and each only once")
		}
	}
	c.timeForm(key, f, t)
	c.wire(key, f, t)
	return f
}

// timeForm compiles the form of a date or an instant.
func (c *compiler) timeForm(key string, f *field, t *fieldText) {
	var err error
	switch {
	case f.Type == Date:
		layouts := map[string]string{"": isoDate, "iso": isoDate, "dd/mm/yyyy": "02/01/2006", "dd.mm.yyyy": "02.01.2006",
			"yyyymmdd": "20060102", "unix-days": ""}
		layout, known := layouts[t.Form]
		if f.layout = layout; !known {
			c.file.Problem(key+".form", "%q is not one of %s", t.Form, strings.Join(sortedKeys(layouts)[1:], ", "))
		}
	case f.Type != Instant:
	case !slices.Contains([]string{"", "rfc3339", "unix-s", "unix-ms", "local"}, t.Form):
		c.file.Problem(key+".form", "%q is not one of rfc3339, unix-s, unix-ms and local", t.Form)
	case t.Form == "local" && t.Zone == "":
		c.file.Problem(key+".zone", "a local time needs a zone")
	case t.Form != "local" && t.Zone != "":
		c.file.Problem(key+".zone", "only a local time has a zone")
	case t.Zone != "":
		if f.zone, err = time.LoadLocation(t.Zone); err != nil {
			c.file.Problem(key+".zone", "%q: %v", t.Zone, fmt.Errorf("no such zone: %w", err))
		}
	}
}
