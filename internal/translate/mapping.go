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

// Set is what a file of shapes and mappings was compiled into.
type Set struct {
	Shapes     map[string]*Shape
	Plans      []*Plan       // by the names of their mappings, then as these name the shapes
	Forget     time.Duration // how long a server that does not know a shape is not sent it, at first
	MostForget time.Duration // and at the most

	byClass  map[string][]*Shape // in HTTP, and an empty list where they are in Thrift only
	byMethod map[string]*Shape   // in Thrift
}

// Bounds and defaults of these.
const (
	defaultForget     = 5 * time.Second
	defaultMostForget = 80 * time.Second
	leastForgetS      = 0.1
	mostForgetS       = 3600
	mostMostForgetS   = 86400
	mostShapes        = 64
)

// Plan translates the messages of one shape into those of another: requests there, replies back.
type Plan struct {
	Name     string
	From, To *Shape
	request  conversion
	reply    conversion
}

// conversion makes the fields of one message out of those of another.
type conversion struct {
	src, dst *message
	ops      []op
	absent   []int // fields of src that must not be there
	loses    []string
}

// op makes one field.
type op struct {
	dst    int
	src    []int // one, or those that are joined
	become func(op *op, v value) (value, string)
	preset value // in place of one that is absent; or the constant, where there is no src
	with   []byte
	part   int // of a split, counted from 0
	parts  int
	factor int64 // of a number, over 10^shift
	shift  int
	values []int64 // by the source's
	from   *field
	to     *field
}

// mostEnds bounds the shapes that a mapping names on either side.
const mostEnds = 16

// Compile reads a file. All that is wrong in it is told, by line and key.
func Compile(text []byte) (*Set, error) {
	var t fileText
	c := compiler{file: conffile.Read(text, &t), shapes: map[string]*Shape{}}
	if err := c.file.Err(); err != nil {
		return nil, err
	}
	set := &Set{Shapes: c.shapes, Forget: defaultForget, MostForget: defaultMostForget}
	c.file.Span("drift.forget_s", t.Drift.ForgetS, time.Second, leastForgetS, mostForgetS, &set.Forget)
	c.file.Span("drift.most_forget_s", t.Drift.MostForgetS, time.Second, leastForgetS, mostMostForgetS, &set.MostForget)
	if set.MostForget < set.Forget {
		c.file.Problem("drift.most_forget_s", "less than forget_s")
	}
	if len(t.Shapes) > mostShapes || len(t.Mappings) > mostShapes {
		c.file.Problem("shapes", "%d shapes and %d mappings, %d of each at most", len(t.Shapes), len(t.Mappings), mostShapes)
		return nil, c.file.Err()
	}
	for _, name := range sortedKeys(t.Shapes) {
		c.shapes[name] = c.shape(name, t.Shapes[name])
	}
	c.ambiguous()
	set.byClass, set.byMethod = map[string][]*Shape{}, map[string]*Shape{}
	for _, s := range set.Shapes {
		if s.Protocol == "thrift" {
			set.byMethod[s.method] = s
			set.byClass[s.Class] = append(set.byClass[s.Class], nil...)
		} else {
			set.byClass[s.Class] = append(set.byClass[s.Class], s)
		}
	}
	for _, name := range sortedKeys(t.Mappings) {
		set.Plans = append(set.Plans, c.mappings(name, t.Mappings[name])...)
	}
	taken := map[[2]*Shape]string{}
	for _, p := range set.Plans {
		if other := taken[[2]*Shape{p.From, p.To}]; other != "" {
			c.file.Problem("mappings."+p.Name, "%s is mapped to %s by %s already", p.From.Name, p.To.Name, other)
		}
		taken[[2]*Shape{p.From, p.To}] = p.Name
	}
	return set, c.file.Err()
}

// ambiguous looks for shapes that could not be told apart.
func (c *compiler) ambiguous() {
	names := sortedKeys(c.shapes)
	for i, name := range names {
		s := c.shapes[name]
		for _, before := range names[:i] {
			o := c.shapes[before]
			switch {
			case s.Protocol != o.Protocol:
			case s.Class == o.Class && s.Version == o.Version:
				c.file.Problem("shapes."+name+".version", "%s is version %s of %s in %s too", before, s.Version, s.Class, s.Protocol)
			case s.Protocol == "thrift" && s.method == o.method:
				c.file.Problem("shapes."+name+".method", "%s has it too: calls could not be told apart", before)
			case s.Protocol == "http" && s.Class == o.Class && s.method == o.method && s.overlaps(o):
				c.file.Problem("shapes."+name+".path", "that of %s matches the same paths: calls could not be told apart", before)
			}
		}
	}
}

// overlaps reports whether a path may fit both shapes.
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

// Loses says what a plan does not carry over, by the fields of the shapes. A plan that loses nothing refuses what it
// can't carry over.
func (p *Plan) Loses() []string { return slices.Concat(p.request.loses, p.reply.loses) }

// mappings compiles a table of rules for each pair of shapes that it is for: shapes of one version in several protocols
// name their fields alike.
func (c *compiler) mappings(name string, t *mappingText) (plans []*Plan) {
	key := "mappings." + name
	ends := map[string][]string{"from": t.From, "to": t.To}
	for _, what := range sortedKeys(ends) {
		if len(ends[what]) == 0 || len(ends[what]) > mostEnds {
			c.file.Problem(key+"."+what, "%d shapes, 1 to %d are possible", len(ends[what]), mostEnds)
		}
		for _, shape := range ends[what] {
			if c.shapes[shape] == nil {
				c.file.Problem(key+"."+what, "no shape is called %q", shape)
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
		c.file.Problem(key+".to", "%s is a %s, %s a %s", from.Name, from.Class, to.Name, to.Class)
	}
	p.request = c.conversion(key, "request", &p.From.request, &p.To.request, t.Request, t.Drop.Request, t.Absent.Request, t.Omit.Request)
	p.reply = c.conversion(key, "reply", &p.To.reply, &p.From.reply, t.Reply, t.Drop.Reply, t.Absent.Reply, t.Omit.Reply)
	if loses := p.Loses(); t.Lossless && len(loses) > 0 {
		for _, l := range loses {
			c.file.Problem(key+".lossless", "it loses: %s", l)
		}
	}
	return p
}

func (c *compiler) conversion(key, what string, src, dst *message, rules map[string]*ruleText, drop, absent, omit []string) conversion {
	v := conversion{src: src, dst: dst}
	used := map[string]string{} // by what a field of the source is accounted for
	account := func(at, name, by string) *field {
		f := src.byName[name]
		if f == nil {
			c.file.Problem(at, "the %s that is read has no field %q", what, name)
			return nil
		}
		if had := used[name]; had != "" && (had != by || by != "mapped") {
			c.file.Problem(at, "%s is %s and %s", name, had, by)
		}
		used[name] = by
		return f
	}
	key += "." // what follows is the key of a table
	for _, name := range drop {
		f := account(key+"drop."+what, name, "dropped")
		if f != nil && (f.optional || f.Type != Enum || len(f.values) > 1) { // one that can hold one value says nothing
			v.loses = append(v.loses, fmt.Sprintf("%s %s: dropped", what, name))
		}
	}
	for _, name := range absent {
		if f := account(key+"absent."+what, name, "absent"); f != nil {
			if !f.optional {
				c.file.Problem(key+"absent."+what, "%s must be absent and is not optional", name)
			}
			v.absent = append(v.absent, slices.Index(src.fields, f))
		}
	}
	for _, name := range omit {
		switch f := dst.byName[name]; {
		case f == nil:
			c.file.Problem(key+"omit."+what, "the %s that is written has no field %q", what, name)
		case !f.optional:
			c.file.Problem(key+"omit."+what, "%s is not optional", name)
		case rules[name] != nil:
			c.file.Problem(key+"omit."+what, "%s has a rule", name)
		}
	}
	for _, name := range sortedKeys(rules) {
		if dst.byName[name] == nil {
			c.file.Problem(key+what+"."+name, "the %s that is written has no such field", what)
			continue
		}
		v.ops = append(v.ops, c.rule(key+what+"."+name, what, &v, dst.byName[name], rules[name], account))
	}
	for i, f := range dst.fields {
		if f.envelope != noEnvelope {
			continue
		}
		if rules[f.name] == nil && !slices.Contains(omit, f.name) {
			c.file.Problem(key+what, "nothing is said of %s, which is written: a rule, or omit", f.name)
		}
		for j := range v.ops {
			if v.ops[j].to == f {
				v.ops[j].dst = i
			}
		}
	}
	for _, f := range src.fields {
		if used[f.name] == "" && f.envelope == noEnvelope {
			c.file.Problem(key+what, "nothing is said of %s, which is read: a rule, drop or absent", f.name)
		}
	}
	c.splits(key+what, v.ops)
	switch {
	case src.unknown == "drop":
		v.loses = append(v.loses, what+": members that no field names")
	case src.unknown == "keep" && (dst.unknown != "keep" || !dst.has(inJSON)):
		c.file.Problem(key+what, "what no field names is to be kept, and what is written can't hold it")
	}
	return v
}

// splits sees to it that all parts of a field that is split are taken, each once.
func (c *compiler) splits(key string, ops []op) {
	for i := range ops {
		o := &ops[i]
		if o.part < 0 {
			continue
		}
		taken := map[int]bool{}
		for j := range ops {
			if other := &ops[j]; other.part >= 0 && other.from == o.from && bytes.Equal(other.with, o.with) {
				if taken[other.part] && i == j {
					c.file.Problem(key+"."+o.to.name, "part %d is taken twice", o.part+1)
				}
				taken[other.part] = true
				o.parts = max(o.parts, other.part+1)
			}
		}
		if len(taken) < o.parts {
			c.file.Problem(key+"."+o.to.name, "of %d parts %d are taken", o.parts, len(taken))
		}
	}
}

// rule compiles how one field is made.
func (c *compiler) rule(key, what string, v *conversion, to *field, t *ruleText, account func(at, name, by string) *field) op {
	o := op{to: to, part: -1}
	ways := 0
	for _, set := range []bool{t.From != "", t.Value != nil, len(t.Join) > 0} {
		if set {
			ways++
		}
	}
	if ways != 1 {
		c.file.Problem(key, "one of from, value and join is needed")
		return o
	}
	preset := func(what string, text *string) {
		if text != nil {
			got, refusal := to.parse([]byte(*text))
			if o.preset = got; refusal != nil {
				c.file.Problem(key+"."+what, "%v", refusal)
			}
		}
	}
	preset("value", t.Value)
	if t.Value != nil {
		return o
	}
	if len(t.Join) > 0 {
		c.join(key, &o, v, t, account)
		return o
	}
	f := account(key+".from", t.From, "mapped")
	if f == nil {
		return o
	}
	o.from, o.src = f, []int{slices.Index(v.src.fields, f)}
	switch preset("default", t.Default); {
	case t.Default != nil && !f.optional:
		c.file.Problem(key+".default", "%s is never absent", f.name)
	case t.Default != nil:
		v.loses = append(v.loses, fmt.Sprintf("%s %s: whether it was absent", what, f.name))
	case f.optional && !to.optional:
		c.file.Problem(key, "%s is optional and %s is not: a default is needed", f.name, to.name)
	}
	if t.Split != "" {
		if f.Type != Text || to.Type != Text || t.Part < 1 || t.Part > 16 {
			c.file.Problem(key+".split", "texts are split into texts, and part is 1 to 16")
		}
		o.with, o.part, o.become = []byte(t.Split), t.Part-1, (*op).split
		return o
	}
	c.convert(key, what, &o, v, t)
	return o
}

func (c *compiler) join(key string, o *op, v *conversion, t *ruleText, account func(at, name, by string) *field) {
	if t.With == "" || o.to.Type != Text {
		c.file.Problem(key+".join", "texts are joined into a text, with some text between")
	}
	for _, name := range t.Join {
		f := account(key+".join", name, "mapped")
		if f == nil {
			continue
		}
		if f.Type != Text || f.optional {
			c.file.Problem(key+".join", "%s is no text, or optional", name)
		}
		o.src = append(o.src, slices.Index(v.src.fields, f))
	}
	o.with = []byte(t.With)
}

// convert finds how a value of one field becomes one of another.
func (c *compiler) convert(key, what string, o *op, v *conversion, t *ruleText) {
	from, to := o.from, o.to
	number := func(f *field) bool { return f.Type == Int || f.Type == Decimal }
	named := func(f *field) bool { return f.Type == Enum || f.Type == Bool }
	if t.Times != "" && !(number(from) && number(to)) {
		c.file.Problem(key+".times", "only a number has a unit")
	}
	if len(t.Values) > 0 && !(named(from) && named(to)) {
		c.file.Problem(key+".values", "only an enum or a bool has values")
	}
	switch {
	case number(from) && number(to):
		o.factor, o.become = 1, (*op).scale
		o.shift = from.scale - to.scale
		if t.Times != "" {
			text := []byte(t.Times)
			places := 0
			if dot := bytes.IndexByte(text, '.'); dot >= 0 {
				places = len(text) - dot - 1
			}
			n, err := parseDecimal(text, min(places, mostDecimals))
			if o.factor = n; err != nil || n == 0 {
				c.file.Problem(key+".times", "%q is no number, or 0", t.Times)
			}
			o.shift += places
		}
	case named(from) && named(to):
		c.values(key, what, o, v, t)
	case from.Type == to.Type, from.Type == Text && to.Type == Bytes:
		o.become = (*op).same
	case from.Type == Bytes && to.Type == Text:
		o.become = (*op).text
	case from.Type == Text && to.Type == Enum:
		o.become = (*op).name
	case from.Type == Enum && to.Type == Text:
		o.become = (*op).word
	default:
		c.file.Problem(key, "%s is %v, and can't become %s, which is %v", from.name, from.Type, to.name, to.Type)
	}
}

// names are the values of an enum or a bool.
func names(f *field) []string {
	if f.Type == Bool {
		return []string{"false", "true"}
	}
	return f.values
}

// values compiles which value becomes which. Those of equal names need not be said; one that becomes "" is refused.
func (c *compiler) values(key, what string, o *op, v *conversion, t *ruleText) {
	o.become = (*op).pick
	for _, name := range sortedKeys(t.Values) {
		if !slices.Contains(names(o.from), name) {
			c.file.Problem(key+".values", "%s has no value %q", o.from.name, name)
		}
	}
	taken := map[int64]string{}
	for _, name := range names(o.from) {
		to, said := t.Values[name]
		if !said {
			to = name
		}
		at := int64(slices.Index(names(o.to), to))
		switch {
		case at < 0 && to != "":
			c.file.Problem(key+".values", "%s has no value %q for %q; \"\" refuses it", o.to.name, to, name)
		case at >= 0 && taken[at] != "":
			v.loses = append(v.loses, fmt.Sprintf("%s %s: whether it was %s or %s", what, o.from.name, taken[at], name))
		case at >= 0:
			taken[at] = name
		}
		o.values = append(o.values, at)
	}
}

// What a value becomes. A reason is why it can't.

func (o *op) same(v value) (value, string) { return v, "" }

func (o *op) text(v value) (value, string) {
	if !utf8.Valid(v.text) {
		return v, "not valid UTF-8"
	}
	return v, ""
}

func (o *op) name(v value) (value, string) {
	v.num = int64(slices.Index(o.to.values, string(v.text)))
	if v.num < 0 {
		return v, fmt.Sprintf("%q is none of the values of %s", clip(v.text), o.to.name)
	}
	return v, ""
}

func (o *op) word(v value) (value, string) {
	v.text = []byte(o.from.values[v.num])
	return v, ""
}

func (o *op) pick(v value) (value, string) {
	at := o.values[v.num]
	if at < 0 {
		return v, fmt.Sprintf("%s has nothing for %q", o.to.name, names(o.from)[v.num])
	}
	v.num = at
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

// multiply returns a product, if 64 bits hold it.
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
	if n := bytes.Count(v.text, o.with) + 1; n != o.parts {
		return v, fmt.Sprintf("it has %d parts and not %d", n, o.parts)
	}
	rest := v.text
	for range o.part {
		_, rest, _ = bytes.Cut(rest, o.with)
	}
	v.text, _, _ = bytes.Cut(rest, o.with)
	return v, ""
}

// convert makes the fields of a message. All that it takes of memory is what joined texts need.
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
			dst[o.dst] = o.preset
		case o.from == nil:
			joined, refusal := c.joined(o, src)
			if refusal != nil {
				return refusal
			}
			dst[o.dst] = joined
		case !src[o.src[0]].set:
			dst[o.dst] = o.preset
		default:
			v, reason := o.become(o, src[o.src[0]])
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

func (c *conversion) joined(o *op, src []value) (value, *Refusal) {
	size := 0
	for _, i := range o.src {
		if bytes.Contains(src[i].text, o.with) { // or nobody could part them again
			return value{}, c.src.fields[i].refuse(OutOfRange, "it contains %q", o.with)
		}
		size += len(src[i].text) + len(o.with)
	}
	text := make([]byte, 0, size)
	for n, i := range o.src {
		if n > 0 {
			text = append(text, o.with...)
		}
		text = append(text, src[i].text...)
	}
	return value{set: true, text: text}, nil
}

// Plan returns the one from one shape to another, or nil.
func (s *Set) Plan(from, to string) *Plan {
	for _, p := range s.Plans {
		if p.From.Name == from && p.To.Name == to {
			return p
		}
	}
	return nil
}

// HTTP returns the shape of a class in which a request in HTTP is worded, by its method and path, or nil.
func (s *Set) HTTP(class, method, path string) *Shape {
	for _, shape := range s.byClass[class] {
		if shape.method == method && shape.fits(path) {
			return shape
		}
	}
	return nil
}

// fits reports whether a path, as it stands in a request, is of the shape's form.
func (s *Shape) fits(path string) bool {
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

// Thrift returns the shape in which a call of a method is worded, or nil.
func (s *Set) Thrift(method string) *Shape { return s.byMethod[method] }

// Class reports whether any shape is of a class.
func (s *Set) Class(name string) bool {
	_, any := s.byClass[name]
	return any
}

// Method is the method of a shape's requests.
func (s *Shape) Method() string { return s.method }

// KeyLast reports whether a path of the shape ends in what the call is about.
func (s *Shape) KeyLast() bool { return len(s.path) > 0 && s.path[len(s.path)-1].field != nil }

// RequestHeaders are the headers of a request in HTTP that the shape speaks of, in canonical form. They are only read.
func (s *Shape) RequestHeaders() []string { return s.request.names }

// ReplyHeaders are those of a reply.
func (s *Shape) ReplyHeaders() []string { return s.reply.names }
