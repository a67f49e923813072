package translate

import (
	"strconv"
)

// FieldTrace shows how one field of a message was converted, for the inspection of mappings.
type FieldTrace struct {
	From, FromValue string // the source field and its value, or a list of them; empty for a constant
	To, ToValue     string // the target field and its value; empty for a source field that is dropped or must be absent
}

// Trace translates a request or a reply and returns the conversion of each field, as far as the message could be read. The
// error is the translation's *Refusal.
func (p *Plan) Trace(m *Message, reply bool) ([]FieldTrace, error) {
	c := &p.request
	if reply {
		c = &p.reply
	}
	ws := c.newWorkspace()
	defer ws.close()
	var refusal *Refusal
	if reply {
		refusal = p.readReply(m, ws)
	} else {
		refusal = p.readRequest(m, ws)
	}
	if refusal == nil {
		refusal = c.convert(ws.src, ws.dst)
	}
	var traces []FieldTrace
	used := map[int]bool{}
	for i := range c.ops {
		o := &c.ops[i]
		f := FieldTrace{To: o.to.name, ToValue: o.to.display(ws.dst[o.dst])}
		for n, src := range o.src {
			used[src] = true
			if n > 0 {
				f.From, f.FromValue = f.From+", ", f.FromValue+", "
			}
			f.From, f.FromValue = f.From+c.src.fields[src].name, f.FromValue+c.src.fields[src].display(ws.src[src])
		}
		traces = append(traces, f)
	}
	for i, f := range c.src.fields {
		if !used[i] && f.envelope == noEnvelope {
			traces = append(traces, FieldTrace{From: f.name, FromValue: f.display(ws.src[i])})
		}
	}
	if refusal != nil {
		return traces, refusal
	}
	return traces, nil
}

// display formats a value for people; an absent value is a dash.
func (f *field) display(v value) string {
	if !v.set {
		return "-"
	}
	text, refusal := f.append(nil, v)
	if refusal != nil {
		return refusal.Error()
	}
	return strconv.Quote(string(text))
}
