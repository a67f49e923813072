package sharing

import (
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ternbeam/internal/decide/company"
)

// Datagram is what agents send one another.
type Datagram struct {
	From   company.Word
	Gen    uint64 // what list the sender has
	At     Cursor // and up to where
	Sort   uint16 // in whose order, if that is within a version
	Age    time.Duration
	Want   bool           // it asks for what it lacks
	Busy   bool           // it has that on its way from another agent
	Others []company.Word // what it knows of others
	Chunk  *Chunk
}

// Chunk is a part of a list.
type Chunk struct {
	Gen   uint64
	Sort  uint16 // in whose order the cursors are
	After Cursor // who is complete up to there
	Upto  Cursor // is complete up to here with these rows
	Head  int64  // the version that the sender has in whole
	Rows  []Row
}

// Bounds of what a datagram may hold.
const (
	LeastSize = 256 // bytes that it must be allowed to have
	MostSize  = 8192
	maxRows   = 256
	maxOthers = 256
	maxText   = 512
	maxAge    = time.Hour
	ageUnit   = 10 * time.Millisecond
)

// What is sent. A datagram of another format is passed over.
type (
	datagramText struct {
		_      struct{} `cbor:",toarray"`
		Format uint8
		From   wordText
		Gen    uint64
		At     cursorText
		Sort   uint16
		Age    uint32
		Want   bool
		Busy   bool
		Others []wordText
		Chunk  *chunkText
	}
	wordText struct {
		_     struct{} `cbor:",toarray"`
		Place uint32
		Epoch uint64
		Beat  uint32
		Flags uint8
		Age   uint32 // in units
	}
	cursorText struct {
		_       struct{} `cbor:",toarray"`
		Version int64
		ID      string
	}
	chunkText struct {
		_           struct{} `cbor:",toarray"`
		Gen         uint64
		Sort        uint16
		After, Upto cursorText
		Head        int64
		Rows        []rowText
	}
	rowText struct {
		_     struct{} `cbor:",toarray"`
		ID    string
		Stamp int64
		Gone  bool
		Less  bool
		Body  []byte
	}
)

const format = 1

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{MaxNestedLevels: 8, MaxArrayElements: 1024, MaxMapPairs: 16, ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode()
	if err != nil {
		panic(err) // of constants
	}
	return mode
}()

func units(d time.Duration) uint32 { return uint32(min(max(d, 0), maxAge) / ageUnit) }

func wordOf(w company.Word) wordText {
	return wordText{Place: uint32(w.Place), Epoch: w.Epoch, Beat: w.Beat, Flags: uint8(w.Flags), Age: units(w.Age)}
}

func cursorOf(c Cursor) cursorText { return cursorText{Version: c.Version, ID: c.ID} }

// Encode words a datagram.
func (d *Datagram) Encode() []byte {
	text := datagramText{Format: format, From: wordOf(d.From), Gen: d.Gen, At: cursorOf(d.At), Sort: d.Sort, Age: units(d.Age), Want: d.Want, Busy: d.Busy}
	for _, w := range d.Others {
		text.Others = append(text.Others, wordOf(w))
	}
	if c := d.Chunk; c != nil {
		text.Chunk = &chunkText{Gen: c.Gen, Sort: c.Sort, After: cursorOf(c.After), Upto: cursorOf(c.Upto), Head: c.Head}
		for _, r := range c.Rows {
			text.Chunk.Rows = append(text.Chunk.Rows, rowText{ID: r.ID, Stamp: r.Stamp, Gone: r.Gone, Less: r.Less, Body: r.Body})
		}
	}
	out, err := cbor.Marshal(text)
	if err != nil {
		panic(err) // of plain values
	}
	return out
}

// Decode reads a datagram; what it can't hold is an error.
func Decode(data []byte) (*Datagram, error) {
	if len(data) > MostSize {
		return nil, fmt.Errorf("a datagram of %d bytes, %d at most are taken", len(data), MostSize)
	}
	var text datagramText
	if err := decoding.Unmarshal(data, &text); err != nil {
		return nil, err
	}
	switch {
	case text.Format != format:
		return nil, fmt.Errorf("format %d is not known", text.Format)
	case len(text.Others) > maxOthers:
		return nil, fmt.Errorf("%d words of others, %d at most are taken", len(text.Others), maxOthers)
	}
	d := &Datagram{Gen: text.Gen, Sort: text.Sort, Want: text.Want, Busy: text.Busy}
	var err error
	word := func(w wordText) company.Word {
		if w.Place > 1<<24 {
			err = errors.Join(err, fmt.Errorf("place %d", w.Place))
		}
		return company.Word{Place: int(w.Place), Epoch: w.Epoch, Beat: w.Beat, Flags: company.Flags(w.Flags), Age: age(w.Age)}
	}
	cursor := func(c cursorText) Cursor {
		if c.Version < 0 || len(c.ID) > maxText {
			err = errors.Join(err, fmt.Errorf("version %d, an id of %d bytes", c.Version, len(c.ID)))
		}
		return Cursor{c.Version, c.ID}
	}
	d.From, d.At, d.Age = word(text.From), cursor(text.At), age(text.Age)
	for _, w := range text.Others {
		d.Others = append(d.Others, word(w))
	}
	if c := text.Chunk; c != nil {
		d.Chunk = &Chunk{Gen: c.Gen, Sort: c.Sort, After: cursor(c.After), Upto: cursor(c.Upto), Head: c.Head}
		if len(c.Rows) > maxRows || c.Head < 0 || c.Gen == 0 || d.Chunk.After.compare(d.Chunk.Upto) >= 0 || d.Chunk.Upto.compare(Cursor{c.Head, lastID}) > 0 {
			err = errors.Join(err, errors.New("a chunk from nowhere to nowhere"))
		}
		for i, r := range c.Rows {
			row := Row{r.ID, r.Stamp, r.Gone, r.Less, r.Body}
			if r.ID == "" || len(r.ID) > maxText || row.at().compare(d.Chunk.After) <= 0 || row.at().compare(d.Chunk.Upto) > 0 {
				err = errors.Join(err, fmt.Errorf("row %d is not in its chunk", i))
			}
			d.Chunk.Rows = append(d.Chunk.Rows, row)
		}
	}
	if err != nil {
		return nil, err
	}
	return d, nil
}

func age(units uint32) time.Duration { return min(time.Duration(units)*ageUnit, maxAge) }

// chunk is as many of the rows behind a cursor as go into so many bytes, with the cursors; nil where the next one does not.
func (s *sheet) chunk(after Cursor, size int) *Chunk {
	c := &Chunk{Gen: s.gen, Sort: s.sort, After: after, Upto: s.end(), Head: s.head}
	size -= chunkCost + after.cost() + s.end().cost()
	for _, r := range s.order[s.place(after):] {
		// The last cursor is that of the last row, or the end.
		if size -= r.cost(); size < max(0, r.at().cost()-s.end().cost()) || len(c.Rows) == maxRows {
			if len(c.Rows) == 0 {
				return nil
			}
			c.Upto = c.Rows[len(c.Rows)-1].at()
			break
		}
		c.Rows = append(c.Rows, *r)
	}
	return c
}

// What things cost in bytes.
const (
	wordCost  = 1 + 5 + 9 + 5 + 2 + 5 // a word, at the most
	chunkCost = 1 + 9 + 3 + 9 + 3     // a chunk beside its cursors and rows
)

// intCost is what a whole number or a length costs.
func intCost(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	}
	return 9
}

func textCost(n int) int { return intCost(uint64(n)) + n }

func (c Cursor) cost() int { return 1 + intCost(uint64(c.Version)) + textCost(len(c.ID)) }

func (r *Row) cost() int {
	return 1 + textCost(len(r.ID)) + intCost(uint64(r.Stamp)) + 2 + textCost(len(r.Body))
}
