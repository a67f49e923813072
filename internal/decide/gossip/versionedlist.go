package gossip

import (
	"bytes"
	"cmp"
	"slices"
	"sort"
)

// Row is the entry of one server in a list.
type Row struct {
	ID       string
	Version  int64 // in which the entry changed last
	Removed  bool  // a tombstone: the server was removed; kept for a while so that other agents learn of it
	Draining bool  // the server accepts no new requests
	Body     []byte
}

// Cursor is a position in the order of rows, by version and then by id.
type Cursor struct {
	Version int64
	ID      string
}

// lastID sorts after every id.
const lastID = "\U0010ffff"

func (c Cursor) compare(o Cursor) int {
	return cmp.Or(cmp.Compare(c.Version, o.Version), cmp.Compare(c.ID, o.ID))
}

func (r *Row) cursor() Cursor { return Cursor{r.Version, r.ID} }

// versionedList is a server list that has all changes up to a version, and possibly later ones. The version of a row is
// one at which the row had its present content: an agent that received several versions at once may assign a later
// version to the row than others do, but never one earlier than that of the change.
type versionedList struct {
	gen        uint64          // generation: number of the service's count of versions; 0 for none
	order      uint16          // random id of the order of rows: in another agent's list rows may have other versions
	head       int64           // version up to which the list has all changes
	floor      int64           // tombstones up to this version may have been discarded
	rows       map[string]*Row // by server id, including tombstones
	byCursor   []*Row          // the same, ordered by cursor
	tombstones int             // number of tombstones
}

// maxTombstones is how many tombstones are kept.
const maxTombstones = 2048

func newVersionedList(gen uint64, order uint16) *versionedList {
	return &versionedList{gen: gen, order: order, rows: map[string]*Row{}}
}

// index returns the number of rows up to and including a cursor.
func (l *versionedList) index(c Cursor) int {
	return sort.Search(len(l.byCursor), func(i int) bool { return l.byCursor[i].cursor().compare(c) > 0 })
}

// put stores a row. It reports whether that changes the list.
func (l *versionedList) put(r Row) bool {
	old := l.rows[r.ID]
	if old != nil {
		if old.Version > r.Version {
			return false
		}
		i := l.index(old.cursor()) - 1
		l.byCursor = slices.Delete(l.byCursor, i, i+1)
		if old.Removed {
			l.tombstones--
		}
	}
	row := &r
	l.rows[r.ID] = row
	l.byCursor = slices.Insert(l.byCursor, l.index(r.cursor()), row)
	if r.Removed {
		l.tombstones++
	}
	for l.tombstones > maxTombstones {
		i := slices.IndexFunc(l.byCursor, func(r *Row) bool { return r.Removed })
		first := l.byCursor[i]
		l.floor = max(l.floor, first.Version)
		l.byCursor = slices.Delete(l.byCursor, i, i+1)
		delete(l.rows, first.ID)
		l.tombstones--
	}
	if old == nil {
		return !r.Removed
	}
	return old.Removed != r.Removed || !r.Removed && !bytes.Equal(old.Body, r.Body)
}

// end returns the cursor after all rows.
func (l *versionedList) end() Cursor { return Cursor{l.head, lastID} }

// covers reports whether an agent whose list is complete up to a cursor needs only the rows after it.
func (l *versionedList) covers(c Cursor) bool { return c.Version >= l.floor }

// live returns the rows without tombstones.
func (l *versionedList) live() []Row {
	out := make([]Row, 0, len(l.byCursor))
	for _, r := range l.byCursor {
		if !r.Removed {
			out = append(out, *r)
		}
	}
	return out
}
