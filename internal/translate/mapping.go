package translate

import (
	"bytes"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"ternbeam/internal/settings/conffile"
)

// Set is a compiled file of shapes and mappings. It is read-only and safe for concurrent use.
type Set struct {
	Shapes          map[string]*Shape // by name
	Plans           []*Plan           // sorted by mapping; within a mapping in the order of its from and to
	RejectionTTL    time.Duration     // how long a server is not sent a shape that it did not know; doubled each time
	MaxRejectionTTL time.Duration     // upper bound of the doubled Forget

	byClass  map[string][]*Shape // the HTTP shapes of each class; empty for a class with Thrift shapes only
	byMethod map[string]*Shape   // the Thrift shapes
}

// Bounds and defaults of a file.
const (
	defaultForget    = 5 * time.Second
	defaultMaxForget = 80 * time.Second
	minForgetS       = 0.1   // of drift.forget_s and drift.most_forget_s, in seconds
	maxForgetS       = 3600  // of drift.forget_s, in seconds
	maxMostForgetS   = 86400 // of drift.most_forget_s, in seconds
	maxShapes        = 64    // also the limit on mappings
)

// Plan translates requests of one shape into another, and the replies back. It is safe for concurrent use.
type Plan struct {
	Name     string // of its mapping
	From, To *Shape // of requests: the client's and the server's
	request  conversion
	reply    conversion
}

// conversion computes the fields of one message from those of another.
type conversion struct {
	src, dst *message
	ops      []op
	absent   []int    // indices of the fields of src that must be absent
	losses   []string // what is not carried over
}

// op computes one field.
type op struct {
	dst       int                                   // index of the field
	src       []int                                 // indices of its source, or of all sources of a join; empty for a constant
	convert   func(op *op, v value) (value, string) // the string is the reason why a value cannot be converted
	constant  value                                 // of a field without a source, or the default where the source is absent
	separator []byte                                // of a join or a split
	part      int                                   // of a split, from 0; -1 for none
	parts     int                                   // the number of parts of a split
	factor    int64                                 // of a number; the result is value * factor / 10^shift
	shift     int
	values    []int64 // the index of the target's value for each value of the source; -1 refuses it
	from      *field  // nil for a constant or a join
	to        *field
}

// maxShapesPerSide is the maximum number of shapes in from and in to of a mapping.
const maxShapesPerSide = 16

// Compile compiles a file. The error joins all problems of the file, each with its line and key.
func Compile(text []byte) (*Set, error) {
	var t fileText
	c := compiler{file: conffile.Read(text, &t), shapes: map[string]*Shape{}}
	if err := c.file.Err(); err != nil {
		return nil, err
	}
	set := &Set{Shapes: c.shapes, RejectionTTL: defaultForget, MaxRejectionTTL: defaultMaxForget}
	c.file.Duration("drift.forget_s", t.Drift.ForgetS, time.Second, minForgetS, maxForgetS, &set.RejectionTTL)
	c.file.Duration("drift.most_forget_s", t.Drift.MostForgetS, time.Second, minForgetS, maxMostForgetS, &set.MaxRejectionTTL)
	if set.MaxRejectionTTL < set.RejectionTTL {
		c.file.Problem("drift.most_forget_s", "must not be below forget_s")
	}
	if len(t.Shapes) > maxShapes || len(t.Mappings) > maxShapes {
		c.file.Problem("shapes", "%d shapes and %d mappings, at most %d of each are allowed", len(t.Shapes), len(t.Mappings), maxShapes)
		return nil, c.file.Err()
	}
	for _, name := range sortedKeys(t.Shapes) {
		c.shapes[name] = c.shape(name, t.Shapes[name])
	}
	c.checkAmbiguous()
	set.byClass, set.byMethod = map[string][]*Shape{}, map[string]*Shape{}
	for _, s := range set.Shapes {
		if s.Protocol == "thrift" {
			set.byMethod[s.method] = s
			set.byClass[s.Class] = append(set.byClass[s.Class], nil...) // adds no shape, but the class, for HasClass
		} else {
			set.byClass[s.Class] = append(set.byClass[s.Class], s)
		}
	}
	for _, name := range sortedKeys(t.Mappings) {
		set.Plans = append(set.Plans, c.mappings(name, t.Mappings[name])...)
	}
	mappedBy := map[[2]*Shape]string{}
	for _, p := range set.Plans {
		if other := mappedBy[[2]*Shape{p.From, p.To}]; other != "" {
			c.file.Problem("mappings."+p.Name, "%s is already mapped to %s by %s", p.From.Name, p.To.Name, other)
		}
		mappedBy[[2]*Shape{p.From, p.To}] = p.Name
	}
	return set, c.file.Err()
}

// checkAmbiguous reports shapes that a call cannot be assigned to unambiguously.
func (c *compiler) checkAmbiguous() {
	names := sortedKeys(c.shapes)
	for i, name := range names {
		s := c.shapes[name]
		for _, before := range names[:i] {
			o := c.shapes[before]
			switch {
			case s.Protocol != o.Protocol:
			case s.Class == o.Class && s.Version == o.Version:
				c.file.Problem("shapes."+name+".version", "shape %s is also version %s of %s in %s", before, s.Version, s.Class, s.Protocol)
			case s.Protocol == "thrift" && s.method == o.method:
				c.file.Problem("shapes."+name+".method", "ambiguous: shape %s has the same method", before)
			case s.Protocol == "http" && s.Class == o.Class && s.method == o.method && s.overlaps(o):
				c.file.Problem("shapes."+name+".path", "ambiguous: the path of shape %s matches the same requests", before)
			}
		}
	}
}

// overlaps reports whether some path matches both shapes.
func (s *Shape) overlaps(o *Shape) bool {
	if len(s.path) != len(o.path) {
		return false
	}
	for i := range s.path {
		if s.path[i].field == nil && o.path[i].field == nil && s.path[i].text != o.path[i].text {
			return false
		}
	}
	return true
}

// Losses describes what the plan does not carry over, field by field. A lossless plan refuses every message that it cannot
// convert exactly.
func (p *Plan) Losses() []string { return slices.Concat(p.request.losses, p.reply.losses) }

// mappings compiles a mapping into a plan for each pair of its shapes: the shapes of one version in several protocols have
// fields of the same names.
func (c *compiler) mappings(name string, t *mappingText) (plans []*Plan) {
	key := "mappings." + name
	sides := map[string][]string{"from": t.From, "to": t.To}
	for _, side := range sortedKeys(sides) {
		if len(sides[side]) == 0 || len(sides[side]) > maxShapesPerSide {
			c.file.Problem(key+"."+side, "%d shapes, 1 to %d are allowed", len(sides[side]), maxShapesPerSide)
		}
		for _, shape := range sides[side] {
			if c.shapes[shape] == nil {
				c.file.Problem(key+"."+side, "there is no shape %q", shape)
			}
		}
	}
	for _, from := range t.From {
		for _, to := range t.To {
			if from, to := c.shapes[from], c.shapes[to]; from != nil && to != nil {
				plans = append(plans, c.mapping(name, from, to, t))
			}
		}
	}
	return plans
}

func (c *compiler) mapping(name string, from, to *Shape, t *mappingText) *Plan {
	key := "mappings." + name
	p := &Plan{Name: name, From: from, To: to}
	if from.Class != to.Class {
		c.file.Problem(key+".to", "%s is of class %s, %s of class %s", from.Name, from.Class, to.Name, to.Class)
	}
	p.request = c.conversion(key, "request", &p.From.request, &p.To.request, t.Request, t.Drop.Request, t.Absent.Request, t.Omit.Request)
	p.reply = c.conversion(key, "reply", &p.To.reply, &p.From.reply, t.Reply, t.Drop.Reply, t.Absent.Reply, t.Omit.Reply)
	if losses := p.Losses(); t.Lossless && len(losses) > 0 {
		for _, loss := range losses {
			c.file.Problem(key+".lossless", "the mapping loses: %s", loss)
		}
	}
	return p
}

func (c *compiler) conversion(key, kind string, src, dst *message, rules map[string]*ruleText, drop, absent, omit []string) conversion {
	conv := conversion{src: src, dst: dst}
	used := map[string]string{} // by source field: mapped, dropped or absent
	use := func(at, name, as string) *field {
		f := src.byName[name]
		if f == nil {
			c.file.Problem(at, "the source %s has no field %q", kind, name)
			return nil
		}
		if before := used[name]; before != "" && (before != as || as != "mapped") {
			c.file.Problem(at, "field %s is both %s and %s", name, before, as)
		}
		used[name] = as
		return f
	}
	key += "." // the key of a table follows
	for _, name := range drop {
		f := use(key+"drop."+kind, name, "dropped")
		if f != nil && (f.optional || f.Type != Enum || len(f.values) > 1) { // a field with only one possible value carries no information
			conv.losses = append(conv.losses, fmt.Sprintf("%s %s: dropped", kind, name))
		}
	}
	for _, name := range absent {
		if f := use(key+"absent."+kind, name, "absent"); f != nil {
			if !f.optional {
				c.file.Problem(key+"absent."+kind, "field %s must be absent but is not optional", name)
			}
			conv.absent = append(conv.absent, slices.Index(src.fields, f))
		}
	}
	for _, name := range omit {
		switch f := dst.byName[name]; {
		case f == nil:
			c.file.Problem(key+"omit."+kind, "the target %s has no field %q", kind, name)
		case !f.optional:
			c.file.Problem(key+"omit."+kind, "field %s is not optional", name)
		case rules[name] != nil:
			c.file.Problem(key+"omit."+kind, "field %s has a rule", name)
		}
	}
	for _, name := range sortedKeys(rules) {
		if dst.byName[name] == nil {
			c.file.Problem(key+kind+"."+name, "the target %s has no such field", kind)
			continue
		}
		conv.ops = append(conv.ops, c.rule(key+kind+"."+name, kind, &conv, dst.byName[name], rules[name], use))
	}
	for i, f := range dst.fields {
		if f.envelope != noEnvelope {
			continue
		}
		if rules[f.name] == nil && !slices.Contains(omit, f.name) {
			c.file.Problem(key+kind, "target field %s has neither a rule nor an entry in omit", f.name)
		}
		for j := range conv.ops {
			if conv.ops[j].to == f {
				conv.ops[j].dst = i
			}
		}
	}
	for _, f := range src.fields {
		if used[f.name] == "" && f.envelope == noEnvelope {
			c.file.Problem(key+kind, "source field %s is in no rule, and neither in drop nor in absent", f.name)
		}
	}
	c.checkSplits(key+kind, conv.ops)
	switch {
	case src.unknown == "drop":
		conv.losses = append(conv.losses, kind+": members that no field declares")
	case src.unknown == "keep" && (dst.unknown != "keep" || !dst.has(inJSON)):
		c.file.Problem(key+kind, "the source keeps members that no field declares, but the target has no JSON body with unknown = \"keep\"")
	}
	return conv
}

// checkSplits checks that every part of a field that is split is used exactly once, and counts the parts.
func (c *compiler) checkSplits(key string, ops []op) {
	for i := range ops {
		o := &ops[i]
		if o.part < 0 {
			continue
		}
		used := map[int]bool{}
		for j := range ops {
			if other := &ops[j]; other.part >= 0 && other.from == o.from && bytes.Equal(other.separator, o.separator) {
				if used[other.part] && i == j {
					c.file.Problem(key+"."+o.to.name, "part %d is used twice", o.part+1)
				}
				used[other.part] = true
				o.parts = max(o.parts, other.part+1)
			}
		}
		if len(used) < o.parts {
			c.file.Problem(key+"."+o.to.name, "of %d parts only %d are used", o.parts, len(used))
		}
	}
}

// rule compiles the rule of one field.
func (c *compiler) rule(key, kind string, conv *conversion, to *field, t *ruleText, use func(at, name, as string) *field) op {
	o := op{to: to, part: -1}
	sources := 0
	for _, set := range []bool{t.From != "", t.Value != nil, len(t.Join) > 0} {
		if set {
			sources++
		}
	}
	if sources != 1 {
		c.file.Problem(key, "exactly one of from, value and join is needed")
		return o
	}
	constant := func(attr string, text *string) {
		if text != nil {
			got, refusal := to.parse([]byte(*text))
			if o.constant = got; refusal != nil {
				c.file.Problem(key+"."+attr, "%v", refusal)
			}
		}
	}
	constant("value", t.Value)
	if t.Value != nil {
		return o
	}
	if len(t.Join) > 0 {
		c.join(key, &o, conv, t, use)
		return o
	}
	f := use(key+".from", t.From, "mapped")
	if f == nil {
		return o
	}
	o.from, o.src = f, []int{slices.Index(conv.src.fields, f)}
	switch constant("default", t.Default); {
	case t.Default != nil && !f.optional:
		c.file.Problem(key+".default", "field %s is never absent", f.name)
	case t.Default != nil:
		conv.losses = append(conv.losses, fmt.Sprintf("%s %s: whether it was absent", kind, f.name))
	case f.optional && !to.optional:
		c.file.Problem(key, "field %s is optional and %s is not: a default is needed", f.name, to.name)
	}
	if t.Split != "" {
		if f.Type != Text || to.Type != Text || t.Part < 1 || t.Part > 16 {
			c.file.Problem(key+".split", "only a text can be split, into texts; part is from 1 to 16")
		}
		o.separator, o.part, o.convert = []byte(t.Split), t.Part-1, (*op).split
		return o
	}
	c.convert(key, kind, &o, conv, t)
	return o
}

func (c *compiler) join(key string, o *op, conv *conversion, t *ruleText, use func(at, name, as string) *field) {
	if t.With == "" || o.to.Type != Text {
		c.file.Problem(key+".join", "only texts can be joined, into a text; with is the separator and must not be empty")
	}
	for _, name := range t.Join {
		f := use(key+".join", name, "mapped")
		if f == nil {
			continue
		}
		if f.Type != Text || f.optional {
			c.file.Problem(key+".join", "field %s must be a text that is not optional", name)
		}
		o.src = append(o.src, slices.Index(conv.src.fields, f))
	}
	o.separator = []byte(t.With)
}

// convert selects the conversion between the types of two fields.
func (c *compiler) convert(key, kind string, o *op, conv *conversion, t *ruleText) {
	from, to := o.from, o.to
	number := func(f *field) bool { return f.Type == Int || f.Type == Decimal }
	enumerated := func(f *field) bool { return f.Type == Enum || f.Type == Bool }
	if t.Times != "" && !(number(from) && number(to)) {
		c.file.Problem(key+".times", "only a number can be multiplied")
	}
	if len(t.Values) > 0 && !(enumerated(from) && enumerated(to)) {
		c.file.Problem(key+".values", "only the values of an enum or a bool can be mapped")
	}
	switch {
	case number(from) && number(to):
		o.factor, o.convert = 1, (*op).scale
		o.shift = from.scale - to.scale
		if t.Times != "" {
			text := []byte(t.Times)
			places := 0
			if dot := bytes.IndexByte(text, '.'); dot >= 0 {
				places = len(text) - dot - 1
			}
			n, err := parseDecimal(text, min(places, maxDecimals))
			if o.factor = n; err != nil || n == 0 {
				c.file.Problem(key+".times", "%q is not a number other than 0", t.Times)
			}
			o.shift += places
		}
	case enumerated(from) && enumerated(to):
		c.values(key, kind, o, conv, t)
	case from.Type == to.Type, from.Type == Text && to.Type == Bytes:
		o.convert = (*op).identity
	case from.Type == Bytes && to.Type == Text:
		o.convert = (*op).bytesToText
	case from.Type == Text && to.Type == Enum:
		o.convert = (*op).textToEnum
	case from.Type == Enum && to.Type == Text:
		o.convert = (*op).enumToText
	default:
		c.file.Problem(key, "%s of type %v can't be converted to %s of type %v", from.name, from.Type, to.name, to.Type)
	}
}

// valueNames returns the values of an enum or a bool.
func valueNames(f *field) []string {
	if f.Type == Bool {
		return []string{"false", "true"}
	}
	return f.values
}

// values compiles the mapping between the values of two enums or bools. A value without an entry is mapped to the one of the
// same name; a value that is mapped to "" is refused.
func (c *compiler) values(key, kind string, o *op, conv *conversion, t *ruleText) {
	o.convert = (*op).mapValue
	for _, name := range sortedKeys(t.Values) {
		if !slices.Contains(valueNames(o.from), name) {
			c.file.Problem(key+".values", "%s has no value %q", o.from.name, name)
		}
	}
	sources := map[int64]string{} // by index of the target's value
	for _, name := range valueNames(o.from) {
		to, given := t.Values[name]
		if !given {
			to = name
		}
		index := int64(slices.Index(valueNames(o.to), to))
		switch {
		case index < 0 && to != "":
			c.file.Problem(key+".values", "%s has no value %q for %q; \"\" refuses it", o.to.name, to, name)
		case index >= 0 && sources[index] != "":
			conv.losses = append(conv.losses, fmt.Sprintf("%s %s: whether it was %s or %s", kind, o.from.name, sources[index], name))
		case index >= 0:
			sources[index] = name
		}
		o.values = append(o.values, index)
	}
}

// The conversions of values. A non-empty string is the reason why a value cannot be converted.

func (o *op) identity(v value) (value, string) { return v, "" }

func (o *op) bytesToText(v value) (value, string) {
	if !utf8.Valid(v.text) {
		return v, "not valid UTF-8"
	}
	return v, ""
}

func (o *op) textToEnum(v value) (value, string) {
	v.num = int64(slices.Index(o.to.values, string(v.text)))
	if v.num < 0 {
		return v, fmt.Sprintf("%q is none of the values of %s", clip(v.text), o.to.name)
	}
	return v, ""
}

func (o *op) enumToText(v value) (value, string) {
	v.text = []byte(o.from.values[v.num])
	return v, ""
}

func (o *op) mapValue(v value) (value, string) {
	index := o.values[v.num]
	if index < 0 {
		return v, fmt.Sprintf("%s has nothing for %q", o.to.name, valueNames(o.from)[v.num])
	}
	v.num = index
	return v, ""
}

func (o *op) scale(v value) (value, string) {
	n, ok := multiply(v.num, o.factor)
	if !ok {
		return v, errRange.Error()
	}
	var err error
	if v.num, err = rescale(n, max(o.shift, 0), max(-o.shift, 0)); err != nil {
		return v, err.Error()
	}
	return v, ""
}

// multiply returns a product, and whether it fits 64 bits.
func multiply(a, b int64) (int64, bool) {
	abs := func(x int64) uint64 {
		if x < 0 {
			return -uint64(x)
		}
		return uint64(x)
	}
	hi, lo := bits.Mul64(abs(a), abs(b))
	negative := (a < 0) != (b < 0)
	switch {
	case hi != 0 || lo > 1<<63 || lo == 1<<63 && !negative:
		return 0, false
	case negative:
		return -int64(lo), true
	}
	return int64(lo), true
}

func (o *op) split(v value) (value, string) {
	if n := bytes.Count(v.text, o.separator) + 1; n != o.parts {
		return v, fmt.Sprintf("it has %d parts and not %d", n, o.parts)
	}
	rest := v.text
	for range o.part {
		_, rest, _ = bytes.Cut(rest, o.separator)
	}
	v.text, _, _ = bytes.Cut(rest, o.separator)
	return v, ""
}

// convert computes the fields of a message. It allocates memory only for joined texts.
func (c *conversion) convert(src, dst []value) *Refusal {
	for _, i := range c.absent {
		if src[i].set {
			return c.src.fields[i].refuse(Forbidden, "it must be absent")
		}
	}
	for i := range c.ops {
		o := &c.ops[i]
		switch {
		case len(o.src) == 0:
			dst[o.dst] = o.constant
		case o.from == nil:
			joined, refusal := c.join(o, src)
			if refusal != nil {
				return refusal
			}
			dst[o.dst] = joined
		case !src[o.src[0]].set:
			dst[o.dst] = o.constant
		default:
			v, reason := o.convert(o, src[o.src[0]])
			if reason != "" {
				return o.from.refuse(OutOfRange, "%s", reason)
			}
			dst[o.dst] = v
		}
		if v := dst[o.dst]; v.set {
			if refusal := o.to.check(v); refusal != nil {
				return refusal
			}
		}
	}
	return nil
}

func (c *conversion) join(o *op, src []value) (value, *Refusal) {
	size := 0
	for _, i := range o.src {
		if bytes.Contains(src[i].text, o.separator) { // the joined text could not be split again
			return value{}, c.src.fields[i].refuse(OutOfRange, "it contains %q", o.separator)
		}
		size += len(src[i].text) + len(o.separator)
	}
	text := make([]byte, 0, size)
	for n, i := range o.src {
		if n > 0 {
			text = append(text, o.separator...)
		}
		text = append(text, src[i].text...)
	}
	return value{set: true, text: text}, nil
}

// Plan returns the plan from one shape to another, or nil.
func (s *Set) Plan(from, to string) *Plan {
	for _, p := range s.Plans {
		if p.From.Name == from && p.To.Name == to {
			return p
		}
	}
	return nil
}

// HTTPShape returns the shape of an HTTP request of a class, by its method and its escaped path, or nil.
func (s *Set) HTTPShape(class, method, path string) *Shape {
	for _, shape := range s.byClass[class] {
		if shape.method == method && shape.matches(path) {
			return shape
		}
	}
	return nil
}

// matches reports whether an escaped path has the form of the shape's path.
func (s *Shape) matches(path string) bool {
	rest, rooted := strings.CutPrefix(path, "/")
	for i, seg := range s.path {
		part, after, more := strings.Cut(rest, "/")
		if more != (i < len(s.path)-1) || seg.field == nil && part != seg.text {
			return false
		}
		rest = after
	}
	return rooted
}

// ThriftShape returns the shape of the calls of a Thrift method, or nil.
func (s *Set) ThriftShape(method string) *Shape { return s.byMethod[method] }

// HasClass reports whether a class has any shapes.
func (s *Set) HasClass(name string) bool {
	_, ok := s.byClass[name]
	return ok
}

// Method returns the HTTP or Thrift method of the shape's requests.
func (s *Shape) Method() string { return s.method }

// EndsInKey reports whether the shape's path ends in a field, which then is the call's key.
func (s *Shape) EndsInKey() bool { return len(s.path) > 0 && s.path[len(s.path)-1].field != nil }

// RequestHeaders returns the names of the headers of an HTTP request that are fields of the shape, in canonical form. The
// caller must not modify them.
func (s *Shape) RequestHeaders() []string { return s.request.headers }

// ReplyHeaders returns the names of the headers of an HTTP reply that are fields of the shape, in canonical form. The caller
// must not modify them.
func (s *Shape) ReplyHeaders() []string { return s.reply.headers }
