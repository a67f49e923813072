// Package translate turns messages of one shape into another, by a mapping that is declared in a file, checked and
// compiled once. It does no I/O: bytes and a plan go in, bytes or a typed refusal come out.
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
	_ "time/tzdata" // zones must mean the same on every host

	"ternbeam/internal/settings/conffile"
	"ternbeam/internal/thrift/thriftwire"
)

// Bounds of what a file may declare.
const (
	mostFields  = 256     // of a message
	mostName    = 64      // bytes of a name
	mostBody    = 1 << 24 // bytes of a message
	defaultBody = 64 << 10
	mostText    = 64 << 10 // bytes of a field, where it says nothing of its own
)

// envelope is what every message of a protocol carries for the agent, whatever its shape. In HTTP it has headers of its
// own; in Thrift a shape says where.
type envelope int

const (
	envelopeID envelope = iota
	envelopeTenant
	envelopeIdempotency
	envelopeLeft
	envelopeRepeat
	envelopeLoad // of replies; any number
	noEnvelope
)

// ownHeaders are those of the envelope in HTTP, and those that frame a message: no shape may name them.
var ownHeaders = []string{"X-Correlation-Id", "X-Service-Class", "X-Account", "X-Time-Left", "Idempotency-Key", "X-Repeat",
	"X-Unprocessed", "X-Backend-Load", "Retry-After", "Content-Type", "Content-Length", "Transfer-Encoding", "Connection", "Host"}

// place is where in a message a field is.
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
	at       string   // in its place: a name, or the names of nested JSON objects with points between
	path     []string // of those
	optional bool
	quoted   bool // a number that JSON has as a string
	min, max int64
	scale    int
	values   []string
	form     string
	layout   string
	zone     *time.Location
	escaped  string          // its name in a query or a form
	wire     thriftwire.Type // in Thrift
	numbers  []int64         // of an enum's values, in Thrift
	envelope envelope
}

// message is what a shape says of a request or a reply.
type message struct {
	fields  []*field // by name
	names   []string // of its headers, in canonical form
	byName  map[string]*field
	json    *node // its JSON fields as they nest
	thrift  *node // and its Thrift fields
	scan    *thriftwire.Plan
	unknown string // JSON members that no field names: refuse, drop or keep
	most    int    // bytes of a body
}

// Shape is a version of a class's request and reply.
type Shape struct {
	Name     string
	Class    string
	Version  string // as servers' entries in the list name it
	Protocol string // http or thrift
	Unknown  int    // what a server answers that does not know the shape, see its file; 0 where none says so
	method   string
	path     []segment
	request  message
	reply    message
}

// segment is a part of a path between slashes: a text, or a field.
type segment struct {
	text  string
	field *field
	at    int // the field's place among those of the request
}

// The file.
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

// compiler reads a file.
type compiler struct {
	file   *conffile.File
	shapes map[string]*Shape
}

// shape compiles one shape.
func (c *compiler) shape(name string, t *shapeText) *Shape {
	key := "shapes." + name
	s := &Shape{Name: name, Class: t.Class, Version: t.Version, Protocol: t.Protocol, Unknown: t.Unknowns, method: t.Method}
	if len(name) > mostName {
		c.file.Problem(key, "a name of more than %d bytes", mostName)
	}
	for what, text := range map[string]string{"class": t.Class, "version": t.Version} {
		if text == "" || len(text) > mostName || strings.ContainsAny(text, "/ ") {
			c.file.Problem(key+"."+what, "%q: a name of 1 to %d bytes without slashes and spaces is needed", text, mostName)
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
		c.file.Problem(key+".protocol", "%q, http and thrift are possible", t.Protocol)
	}
	for what, m := range map[string]*message{"request": &s.request, "reply": &s.reply} {
		for _, f := range m.fields {
			if (f.place == inThrift) != (t.Protocol == "thrift") {
				c.file.Problem(key+"."+what+"."+f.name+".at", "a message in %s has no such place", t.Protocol)
			}
			if f.place == inHeader && slices.ContainsFunc(ownHeaders, func(own string) bool { return strings.EqualFold(own, f.at) }) {
				c.file.Problem(key+"."+what+"."+f.name+".at", "the agent carries %s itself, whatever the shape", f.at)
			}
		}
		m.tree(c, key+"."+what, t.Protocol)
	}
	return s
}

// http compiles what only shapes in HTTP have.
func (c *compiler) http(key string, s *Shape, t *shapeText) {
	if t.Method != "GET" && t.Method != "POST" && t.Method != "PUT" {
		c.file.Problem(key+".method", "%q, one of GET, POST and PUT is needed", t.Method)
	}
	c.pathOf(key, s, t.Path)
	for _, f := range s.reply.fields {
		if f.place == inPath || f.place == inQuery || f.place == inForm {
			c.file.Problem(key+".reply."+f.name+".at", "a reply has no such place")
		}
	}
	if s.request.has(inJSON) && s.request.has(inForm) {
		c.file.Problem(key+".request", "a body is JSON or a form, not both")
	}
	if s.method == "GET" && (s.request.has(inJSON) || s.request.has(inForm)) {
		c.file.Problem(key+".method", "a GET has no body")
	}
	if t.Unknowns != 0 && (t.Unknowns < 400 || t.Unknowns > 599) {
		c.file.Problem(key+".shape_unknown", "%d, a status from 400 to 599 is possible", t.Unknowns)
	}
	if e := t.Envelope; e.ID+e.Tenant+e.Idempotency+e.Left+e.Repeat != "" || len(e.Load) > 0 {
		c.file.Problem(key+".envelope", "in HTTP it has headers of its own")
	}
}

func (m *message) has(p place) bool {
	return slices.ContainsFunc(m.fields, func(f *field) bool { return f.place == p })
}

// pathOf compiles a shape's path: parts between slashes, each a text or a field in braces.
func (c *compiler) pathOf(key string, s *Shape, path string) {
	if !strings.HasPrefix(path, "/") {
		c.file.Problem(key+".path", "%q, it must begin with a slash", path)
		return
	}
	used := map[*field]bool{}
	for _, part := range strings.Split(path[1:], "/") {
		name, braced := strings.CutPrefix(part, "{")
		if !braced {
			if strings.ContainsAny(part, "{}?#% ") {
				c.file.Problem(key+".path", "%q is neither a plain text nor a field in braces", part)
			}
			s.path = append(s.path, segment{text: part})
			continue
		}
		name, closed := strings.CutSuffix(name, "}")
		at := slices.IndexFunc(s.request.fields, func(f *field) bool { return f.place == inPath && f.at == name })
		if !closed || at < 0 {
			c.file.Problem(key+".path", "%q: no field is at path:%s", part, name)
			continue
		}
		if f := s.request.fields[at]; used[f] || f.optional {
			c.file.Problem(key+".path", "%q: a field of a path stands there once, and is not optional", part)
		} else {
			used[f] = true
			s.path = append(s.path, segment{field: f, at: at})
		}
	}
	for _, f := range s.request.fields {
		if f.place == inPath && !used[f] {
			c.file.Problem(key+".request."+f.name+".at", "the path has no {%s}", f.at)
		}
	}
}

// message compiles the fields of a request or a reply.
func (c *compiler) message(key string, fields map[string]*fieldText, unknown string, most int, shape string) message {
	m := message{byName: map[string]*field{}, unknown: cmp.Or(unknown, "refuse"), most: cmp.Or(most, defaultBody)}
	if len(fields) > mostFields {
		c.file.Problem(key, "%d fields, at most %d are possible", len(fields), mostFields)
	}
	if !slices.Contains([]string{"refuse", "drop", "keep"}, m.unknown) {
		c.file.Problem(shape+".unknown", "%q, one of refuse, drop and keep is possible", unknown)
	}
	if m.most < 1 || m.most > mostBody {
		c.file.Problem(shape+".max_body_bytes", "%d, 1 to %d is possible", most, mostBody)
	}
	for _, name := range sortedKeys(fields) {
		f := c.field(key+"."+name, name, fields[name])
		for _, other := range m.fields {
			if f.place == other.place && (f.at == other.at || f.place == inHeader && strings.EqualFold(f.at, other.at)) {
				c.file.Problem(key+"."+name+".at", "%s is there too", other.name)
			}
			if f.place == other.place && (f.place == inJSON || f.place == inThrift) && f.around(other) {
				c.file.Problem(key+"."+name+".at", "it can't be in %s, or that in it", other.name)
			}
		}
		m.fields = append(m.fields, f)
		m.byName[name] = f
	}
	return m
}

// tree arranges the fields as they nest.
func (m *message) tree(c *compiler, key, protocol string) {
	m.json = m.nest(inJSON)
	for _, f := range m.fields {
		if f.place == inHeader {
			m.names = append(m.names, f.at)
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
	plan, err := thriftwire.NewPlan(mostDepth, paths...)
	if err != nil {
		c.file.Problem(key, "%v", err)
	}
	if m.scan = plan; plan != nil && m.unknown == "refuse" {
		plan.Strict()
	}
}

// around reports whether one field is a member of the other.
func (f *field) around(other *field) bool {
	return strings.HasPrefix(f.at, other.at+".") || strings.HasPrefix(other.at, f.at+".")
}

// sortedKeys are the keys of a table, so that what is said of it has an order.
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
	where, at, _ := strings.Cut(t.At, ":")
	var known bool
	if f.place, known = placeNames[where]; !known || at == "" {
		c.file.Problem(key+".at", "%q, one of path:, query:, header:, json:, form: and thrift: with a name is needed", t.At)
	}
	if f.place == inHeader {
		at = textproto.CanonicalMIMEHeaderKey(at)
	}
	f.at, f.path, f.escaped = at, strings.Split(at, "."), url.QueryEscape(at)
	if f.place == inJSON && slices.Contains(f.path, "") {
		c.file.Problem(key+".at", "%q: a name of a JSON member is empty", t.At)
	}
	if f.Type, known = typeNames[t.Type]; !known {
		c.file.Problem(key+".type", "%q, one of %s is possible", t.Type, strings.Join(sortedKeys(typeNames), ", "))
	}
	only := func(set bool, what string, types ...Type) {
		if set && !slices.Contains(types, f.Type) {
			c.file.Problem(key+"."+what, "a %v has none", f.Type)
		}
	}
	only(t.Scale != 0, "scale", Decimal)
	only(len(t.Values) > 0, "values", Enum)
	only(t.Form != "", "form", Date, Instant)
	only(t.Zone != "", "zone", Instant)
	only(t.Quoted, "quoted", Int, Decimal)
	only(t.Min != "", "min", Text, Bytes, Int, Decimal)
	only(t.Max != "", "max", Text, Bytes, Int, Decimal)
	if f.scale = t.Scale; f.scale < 0 || f.scale > mostDecimals {
		c.file.Problem(key+".scale", "%d, 0 to %d is possible", t.Scale, mostDecimals)
		f.scale = 0
	}
	f.min, f.max = math.MinInt64, math.MaxInt64
	if f.Type == Text || f.Type == Bytes {
		f.min, f.max = 0, mostText
	}
	for what, bound := range map[string]struct {
		text string
		to   *int64
	}{"min": {t.Min, &f.min}, "max": {t.Max, &f.max}} {
		if bound.text != "" {
			n, err := parseDecimal([]byte(bound.text), f.scale)
			if *bound.to = n; err != nil {
				c.file.Problem(key+"."+what, "%q: %v", bound.text, err)
			}
		}
	}
	if f.min > f.max {
		c.file.Problem(key+".max", "less than min")
	}
	if f.values = t.Values; f.Type == Enum {
		sorted := slices.Sorted(slices.Values(t.Values))
		if len(sorted) == 0 || len(slices.Compact(sorted)) < len(t.Values) {
			c.file.Problem(key+".values", "an enum needs some, each once")
		}
	}
	c.timeForm(key, f, t)
	c.wire(key, f, t)
	return f
}

// timeForm compiles how a date or an instant is written.
func (c *compiler) timeForm(key string, f *field, t *fieldText) {
	var err error
	switch {
	case f.Type == Date:
		layouts := map[string]string{"": isoDate, "iso": isoDate, "dd/mm/yyyy": "02/01/2006", "dd.mm.yyyy": "02.01.2006",
			"yyyymmdd": "20060102", "unix-days": ""}
		layout, known := layouts[t.Form]
		if f.layout = layout; !known {
			c.file.Problem(key+".form", "%q, one of %s is possible", t.Form, strings.Join(sortedKeys(layouts)[1:], ", "))
		}
	case f.Type != Instant:
	case !slices.Contains([]string{"", "rfc3339", "unix-s", "unix-ms", "local"}, t.Form):
		c.file.Problem(key+".form", "%q, one of rfc3339, unix-s, unix-ms and local is possible", t.Form)
	case t.Form == "local" && t.Zone == "":
		c.file.Problem(key+".zone", "a local time needs one")
	case t.Form != "local" && t.Zone != "":
		c.file.Problem(key+".zone", "only a local time has one")
	case t.Zone != "":
		if f.zone, err = time.LoadLocation(t.Zone); err != nil {
			c.file.Problem(key+".zone", "%q: %v", t.Zone, fmt.Errorf("no such zone: %w", err))
		}
	}
}
