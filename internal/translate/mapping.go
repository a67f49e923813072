package translate

import (
	"bytes"
	"fmt"
	"math/bits"
	"slices"
	"unicode/utf8"

	"ternbeam/internal/settings/conffile"
)

// Set is what a file of shapes and mappings was compiled into.
type Set struct {
	Shapes map[string]*Shape
	Plans  []*Plan // by the names of their mappings
}

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

// Compile reads a file. All that is wrong in it is told, by line and key.
func Compile(text []byte) (*Set, error) {
	var t fileText
	c := compiler{file: conffile.Read(text, &t), shapes: map[string]*Shape{}}
	if err := c.file.Err(); err != nil {
		return nil, err
	}
	set := &Set{Shapes: c.shapes}
	for _, name := range sortedKeys(t.Shapes) {
		c.shapes[name] = c.shape(name, t.Shapes[name])
	}
	for _, name := range sortedKeys(t.Mappings) {
		if p := c.mapping(name, t.Mappings[name]); p != nil {
			set.Plans = append(set.Plans, p)
		}
	}
	return set, c.file.Err()
}

// Loses says what a plan does not carry over, by the fields of the shapes. A plan that loses nothing refuses what it
// can't carry over.
func (p *Plan) Loses() []string { return slices.Concat(p.request.loses, p.reply.loses) }

func (c *compiler) mapping(name string, t *mappingText) *Plan {
	key := "mappings." + name
	p := &Plan{Name: name, From: c.shapes[t.From], To: c.shapes[t.To]}
	for what, end := range map[string]struct {
		name  string
		shape *Shape
	}{"from": {t.From, p.From}, "to": {t.To, p.To}} {
		if end.shape == nil {
			c.file.Problem(key+"."+what, "no shape is called %q", end.name)
		}
	}
	if p.From == nil || p.To == nil {
		return nil
	}
	if p.From.Class != p.To.Class {
		c.file.Problem(key+".to", "%s is a %s, %s a %s", t.From, p.From.Class, t.To, p.To.Class)
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
		if used[f.name] == "" {
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
