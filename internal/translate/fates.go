package translate

import (
	"strconv"
)

// Fate is what becomes of a field, for whoever looks into a mapping.
type Fate struct {
	From, Was   string // a field that was read and its value; empty for what is made from nothing
	To, Becomes string // a field that is written and its value; empty for what is dropped or must be absent
}

// Fates says what becomes of each field of a message, as far as it can be read. The error is the translation's refusal.
func (p *Plan) Fates(m *Message, reply bool) ([]Fate, error) {
	c := &p.request
	if reply {
		c = &p.reply
	}
	r := c.open()
	defer r.close()
	var refusal *Refusal
	if reply {
		refusal = p.readReply(m, r)
	} else {
		refusal = p.readRequest(m, r)
	}
	if refusal == nil {
		refusal = c.convert(r.src, r.dst)
	}
	var fates []Fate
	told := map[int]bool{}
	for i := range c.ops {
		o := &c.ops[i]
		f := Fate{To: o.to.name, Becomes: o.to.show(r.dst[o.dst])}
		for n, src := range o.src {
			told[src] = true
			if n > 0 {
				f.From, f.Was = f.From+", ", f.Was+", "
			}
			f.From, f.Was = f.From+c.src.fields[src].name, f.Was+c.src.fields[src].show(r.src[src])
		}
		fates = append(fates, f)
	}
	for i, f := range c.src.fields {
		if !told[i] && f.envelope == noEnvelope {
			fates = append(fates, Fate{From: f.name, Was: f.show(r.src[i])})
		}
	}
	if refusal != nil {
		return fates, refusal
	}
	return fates, nil
}

// show is a value as a reader sees it; a dash for none.
func (f *field) show(v value) string {
	if !v.set {
		return "-"
	}
	text, refusal := f.append(nil, v)
	if refusal != nil {
		return refusal.Error()
	}
	return strconv.Quote(string(text))
}
