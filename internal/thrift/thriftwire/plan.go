package thriftwire

import (
	"fmt"
	"strconv"
	"strings"
)

// Plan says which fields of a message are looked for, by their numbers.
type Plan struct {
	nodes    []node // of the structs on the way; the first is the message's own
	slots    int
	maxDepth int
	strict   bool
}

// Strict has Scan refuse a message that holds fields which are not asked for, with ErrUnasked.
func (p *Plan) Strict() { p.strict = true }

// node is what is looked for in one struct. Small numbers are found at once, as nearly all are small.
type node struct {
	wants []want
	small [32]uint8 // by number: the place in wants, from 1; 0 for none
}

type want struct {
	id    int16
	slot  int // where the field goes; -1 where it only holds others
	child int // the node of what it holds; -1 for nothing
}

// mostWants bounds the fields of one struct that are looked for.
const mostWants = 255

// MostDepth bounds how deep a plan may let values nest.
const MostDepth = 256

// NewPlan returns a Plan for fields that are named by their paths, such as "1.4": field 4 of the struct in field 1 of
// the message's struct. An empty path is a field that is never found. Values may nest maxDepth deep.
func NewPlan(maxDepth int, paths ...string) (*Plan, error) {
	if maxDepth < 1 || maxDepth > MostDepth {
		return nil, fmt.Errorf("depth %d, 1 to %d is possible", maxDepth, MostDepth)
	}
	p := &Plan{nodes: make([]node, 1), slots: len(paths), maxDepth: maxDepth}
	for slot, path := range paths {
		if path == "" {
			continue
		}
		if err := p.add(path, slot); err != nil {
			return nil, fmt.Errorf("field %q: %w", path, err)
		}
	}
	return p, nil
}

func (p *Plan) add(path string, slot int) error {
	at, parts := 0, strings.Split(path, ".")
	if len(parts) >= p.maxDepth {
		return fmt.Errorf("deeper than %d", p.maxDepth)
	}
	for i, part := range parts {
		id, err := strconv.ParseInt(part, 10, 16)
		if err != nil {
			return fmt.Errorf("%q is no field number", part)
		}
		w := p.want(at, int16(id))
		if w == nil {
			n := &p.nodes[at]
			if len(n.wants) == mostWants {
				return fmt.Errorf("more than %d fields of one struct", mostWants)
			}
			n.wants = append(n.wants, want{id: int16(id), slot: -1, child: -1})
			if id >= 0 && int(id) < len(n.small) {
				n.small[id] = uint8(len(n.wants))
			}
			w = &n.wants[len(n.wants)-1]
		}
		if i == len(parts)-1 {
			if w.slot >= 0 {
				return fmt.Errorf("asked for twice")
			}
			w.slot = slot
			return nil
		}
		child := w.child
		if child < 0 {
			child = len(p.nodes)
			w.child = child
			p.nodes = append(p.nodes, node{})
		}
		at = child
	}
	return nil
}

// want returns what is looked for under a number in a node, or nil.
func (p *Plan) want(at int, id int16) *want {
	if at < 0 {
		return nil
	}
	n := &p.nodes[at]
	if uint16(id) < uint16(len(n.small)) {
		if i := n.small[id]; i > 0 {
			return &n.wants[i-1]
		}
		return nil
	}
	for i := range n.wants {
		if w := &n.wants[i]; w.id == id {
			return w
		}
	}
	return nil
}

// Scan walks the message's struct, which must end where the message does, and fills found, which has a place for
// each path of the plan, in their order.
func (p *Plan) Scan(h Head, m []byte, found []Field) error {
	clear(found[:p.slots])
	s := scanner{m: m, at: h.Struct, compact: h.Encoding == Compact, most: p.maxDepth, found: found, plan: p}
	if err := s.walk(0, 1); err != nil {
		return err
	}
	if s.at != len(m) {
		return malformed(s.at, "%d bytes behind its end", len(m)-s.at)
	}
	return nil
}
