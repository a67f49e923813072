package thriftwire

import (
	"fmt"
	"strconv"
	"strings"
)

// Plan selects the fields to look for in a message, by their field ids. It is safe for concurrent use; Strict must be called before that.
type Plan struct {
	nodes    []node // one for each struct on the paths; the first is the message's struct
	slots    int
	maxDepth int
	strict   bool
}

// Strict makes Scan reject a message that contains fields outside the plan, with ErrUnknownField.
func (p *Plan) Strict() { p.strict = true }

// node lists the fields to look for in one struct. Small field ids are looked up in an array, as nearly all ids are small.
type node struct {
	wants []want
	small [32]uint8 // by field id: the index in wants plus 1; 0 for none
}

// want is a field to look for.
type want struct {
	id    int16
	slot  int // index of the field in Scan's result; -1 if only fields within it are looked for
	child int // the node for the fields within it; -1 for none
}

// maxFields limits the fields to look for in one struct, as node.small holds indexes in a byte.
const maxFields = 255

// MaxDepth is the largest nesting depth that a plan may allow.
const MaxDepth = 256

// NewPlan returns a Plan for the fields with these paths. The path "1.4" means field 4 of the struct in field 1 of the message's struct. An empty
// path denotes a field that is never found. Messages whose values nest deeper than maxDepth are malformed.
func NewPlan(maxDepth int, paths ...string) (*Plan, error) {
	if maxDepth < 1 || maxDepth > MaxDepth {
		return nil, fmt.Errorf("depth %d is out of range, must be 1 to %d", maxDepth, MaxDepth)
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
		return fmt.Errorf("deeper than the limit of %d", p.maxDepth)
	}
	for i, part := range parts {
		id, err := strconv.ParseInt(part, 10, 16)
		if err != nil {
			return fmt.Errorf("%q is not a field id", part)
		}
		w := p.want(at, int16(id))
		if w == nil {
			n := &p.nodes[at]
			if len(n.wants) == maxFields {
				return fmt.Errorf("more than %d fields of one struct", maxFields)
			}
			n.wants = append(n.wants, want{id: int16(id), slot: -1, child: -1})
			if id >= 0 && int(id) < len(n.small) {
				n.small[id] = uint8(len(n.wants))
			}
			w = &n.wants[len(n.wants)-1]
		}
		if i == len(parts)-1 {
			if w.slot >= 0 {
				return fmt.Errorf("given twice")
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

// want returns the field with an id in a node, or nil if it is not looked for.
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

// Scan reads the message's struct, which must end where the message does, and sets found[i] to the field of the plan's path i, or to the zero Field
// if it is absent. The length of found must be at least the number of paths. Scan allocates no memory unless it fails.
func (p *Plan) Scan(h Head, m []byte, found []Field) error {
	clear(found[:p.slots])
	s := scanner{m: m, at: h.Struct, compact: h.Encoding == Compact, depthLimit: p.maxDepth, found: found, plan: p}
	if err := s.readStruct(0, 1); err != nil {
		return err
	}
	if s.at != len(m) {
		return malformed(s.at, "%d bytes behind its end", len(m)-s.at)
	}
	return nil
}
