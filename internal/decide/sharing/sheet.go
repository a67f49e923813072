package sharing

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
)

// Row is what a list says of one server.
type Row struct {
	ID    string
	Stamp int64 // the version in which it came to be so
	Gone  bool  // it is no more; kept for a while so that others hear of it
	Less  bool  // it wants nothing new
	Body  []byte
}

// Cursor is a place in the order of rows, by stamp and then by id.
type Cursor struct {
	Version int64
	ID      string
}

// lastID comes after every id.
const lastID = "\U0010ffff"

func (c Cursor) compare(o Cursor) int {
	return cmp.Or(cmp.Compare(c.Version, o.Version), cmp.Compare(c.ID, o.ID))
}

func (r *Row) at() Cursor { return Cursor{r.Stamp, r.ID} }

// sheet is a list as it was at a version at the least. A row's stamp is a version at which it was so: agents that heard of
// several versions at once may stamp it later than others, never earlier than it came to be so.
type sheet struct {
	gen    uint64 // which count of versions this is; 0 for none
	sort   uint16 // tells its order from those of other sheets, which may have other stamps
	head   int64
	floor  int64 // rows that were gone before this version are forgotten
	rows   map[string]*Row
	order  []*Row
	stones int // rows that are gone
}

// mostStones is how many rows that are gone are remembered.
const mostStones = 2048

func newSheet(gen uint64, sort uint16) *sheet {
	return &sheet{gen: gen, sort: sort, rows: map[string]*Row{}}
}

// place is where a cursor stands in the order: how many rows come up to it.
func (s *sheet) place(c Cursor) int {
	return sort.Search(len(s.order), func(i int) bool { return s.order[i].at().compare(c) > 0 })
}

// put takes a row. It reports whether that changes what the list says.
func (s *sheet) put(r Row) bool {
	old := s.rows[r.ID]
	if old != nil {
		if old.Stamp > r.Stamp {
			return false
		}
		i := s.place(old.at()) - 1
		s.order = slices.Delete(s.order, i, i+1)
		if old.Gone {
			s.stones--
		}
	}
	row := &r
	s.rows[r.ID] = row
	s.order = slices.Insert(s.order, s.place(r.at()), row)
	if r.Gone {
		s.stones++
	}
	for s.stones > mostStones {
		i := slices.IndexFunc(s.order, func(r *Row) bool { return r.Gone })
		first := s.order[i]
		s.floor = max(s.floor, first.Stamp)
		s.order = slices.Delete(s.order, i, i+1)
		delete(s.rows, first.ID)
		s.stones--
	}
	if old == nil {
		return !r.Gone
	}
	return old.Gone != r.Gone || !r.Gone && !bytes.Equal(old.Body, r.Body)
}

// end is the cursor behind all of it.
func (s *sheet) end() Cursor { return Cursor{s.head, lastID} }

// serves reports whether who is complete up to a cursor can be told the rest.
func (s *sheet) serves(c Cursor) bool { return c.Version >= s.floor }

// live lists the rows of servers that there are.
func (s *sheet) live() []Row {
	out := make([]Row, 0, len(s.order))
	for _, r := range s.order {
		if !r.Gone {
			out = append(out, *r)
		}
	}
	return out
}
