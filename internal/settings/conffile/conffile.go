// Package conffile reads configuration files in TOML so that every complaint names its line and key.
package conffile

import (
	"bytes"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is a file that was read, and what is wrong with it.
type File struct {
	lines    map[string]int // by key
	problems []problem
}

type problem struct {
	line int
	text string
}

// Read reads a text into a struct. Keys that the struct does not have are problems, as are values of other types.
func Read(text []byte, into any) *File {
	f := &File{lines: lines(text)}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(into)
	var strict *toml.StrictMissingError
	var broken *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			row, _ := e.Position()
			f.problems = append(f.problems, problem{row, fmt.Sprintf("%s: no such key", strings.Join(e.Key(), "."))})
		}
	case errors.As(err, &broken):
		row, column := broken.Position()
		key := strings.Join(broken.Key(), ".")
		if key == "" {
			key = fmt.Sprintf("column %d", column)
		}
		f.problems = append(f.problems, problem{row, fmt.Sprintf("%s: %v", key, broken)})
	case err != nil:
		f.problems = append(f.problems, problem{1, err.Error()})
	}
	return f
}

// lines finds the line of every key and table. Of a table in an array it is found by its number too, as in step.0.name; by
// the name alone it is that of the last. A text that is no TOML has those before the first fault.
func lines(text []byte) map[string]int {
	at := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	var table, place []string
	arrays := map[string]int{} // how many tables an array has so far
	for p.NextExpression() {
		e := p.Expression()
		var key []string
		line := 0
		for it := e.Key(); it.Next(); {
			n := it.Node()
			key = append(key, string(n.Data))
			if line == 0 {
				line = p.Shape(n.Raw).Start.Line
			}
		}
		switch e.Kind {
		case unstable.Table, unstable.ArrayTable:
			table, place = key, nil
			for i, name := range key {
				place = append(place, name)
				array := strings.Join(place, ".")
				if e.Kind == unstable.ArrayTable && i == len(key)-1 {
					arrays[array]++
				}
				if n := arrays[array]; n > 0 {
					place = append(place, strconv.Itoa(n-1))
				}
			}
			at[strings.Join(place, ".")] = line
		case unstable.KeyValue:
			at[strings.Join(append(slices.Clone(place), key...), ".")] = line
			key = append(slices.Clone(table), key...)
		}
		at[strings.Join(key, ".")] = line
	}
	return at
}

// Problem notes what is wrong with a key. One that the file does not have stands at the line of the table that
// should have it.
func (f *File) Problem(key, format string, args ...any) {
	line, at := 1, key
	for at != "" {
		if l := f.lines[at]; l > 0 {
			line = l
			break
		}
		at = at[:max(0, strings.LastIndexByte(at, '.'))]
	}
	p := problem{line, fmt.Sprintf("%s: %s", key, fmt.Sprintf(format, args...))}
	if !slices.Contains(f.problems, p) { // a table that several others share is at fault once
		f.problems = append(f.problems, p)
	}
}

// Number sets a figure that the file gives, if it lies within bounds; one that does not is a problem.
func (f *File) Number(key string, given *float64, least, most float64, set func(float64)) {
	switch {
	case given == nil:
	case !(*given >= least && *given <= most):
		f.Problem(key, "must be from %v to %v", least, most)
	default:
		set(*given)
	}
}

// Share is Number for a figure that is kept as it is.
func (f *File) Share(key string, given *float64, least, most float64, into *float64) {
	f.Number(key, given, least, most, func(x float64) { *into = x })
}

// Span is Number for a length of time in some unit.
func (f *File) Span(key string, given *float64, unit time.Duration, least, most float64, into *time.Duration) {
	f.Number(key, given, least, most, func(x float64) { *into = time.Duration(x * float64(unit)) })
}

// Count is Number for a whole figure.
func (f *File) Count(key string, given *int, least, most int, into *int) {
	switch {
	case given == nil:
	case *given < least || *given > most:
		f.Problem(key, "must be from %d to %d", least, most)
	default:
		*into = *given
	}
}

// Err returns all problems, by their lines, or nil.
func (f *File) Err() error {
	slices.SortStableFunc(f.problems, func(a, b problem) int { return a.line - b.line })
	var all []error
	for _, p := range f.problems {
		all = append(all, fmt.Errorf("line %d: %s", p.line, p.text))
	}
	return errors.Join(all...)
}
