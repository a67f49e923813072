// Package conffile reads configuration files in TOML and reports every problem with its line and key.
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

// File collects the problems of a file that was read. It is not safe for concurrent use.
type File struct {
	lines    map[string]int // of keys and tables, see findLines
	problems []problem
}

type problem struct {
	line int
	text string
}

// Read decodes a text into a struct. Keys that the struct does not have are problems, and so are values of other types.
func Read(text []byte, into any) *File {
	f := &File{lines: findLines(text)}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(into)
	var strict *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &strict):
		for _, e := range strict.Errors {
			row, _ := e.Position()
			f.problems = append(f.problems, problem{row, fmt.Sprintf("%s: no such key", strings.Join(e.Key(), "."))})
		}
	case errors.As(err, &decodeErr):
		row, column := decodeErr.Position()
		key := strings.Join(decodeErr.Key(), ".")
		if key == "" {
			key = fmt.Sprintf("column %d", column)
		}
		f.problems = append(f.problems, problem{row, fmt.Sprintf("%s: %v", key, decodeErr)})
	case err != nil:
		f.problems = append(f.problems, problem{1, err.Error()})
	}
	return f
}

// findLines returns the line of every key and table. A table in an array is found by its index, as in step.0.name; without
// an index, the last table of the array is found. Of a text that is not valid TOML only the keys before the first syntax error
// are found.
func findLines(text []byte) map[string]int {
	lines := map[string]int{}
	var p unstable.Parser
	p.Reset(text)
	var table, indexed []string // the current table's name, without and with the indices of arrays
	arrays := map[string]int{}  // the number of tables that an array has so far
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
			table, indexed = key, nil
			for i, name := range key {
				indexed = append(indexed, name)
				array := strings.Join(indexed, ".")
				if e.Kind == unstable.ArrayTable && i == len(key)-1 {
					arrays[array]++
				}
				if n := arrays[array]; n > 0 {
					indexed = append(indexed, strconv.Itoa(n-1))
				}
			}
			lines[strings.Join(indexed, ".")] = line
		case unstable.KeyValue:
			lines[strings.Join(append(slices.Clone(indexed), key...), ".")] = line
			key = append(slices.Clone(table), key...)
		}
		lines[strings.Join(key, ".")] = line
	}
	return lines
}

// Problem records a problem with a key. If the file does not have the key, the problem has the line of the table that
// should contain it.
func (f *File) Problem(key, format string, args ...any) {
	line, ancestor := 1, key
	for ancestor != "" {
		if l := f.lines[ancestor]; l > 0 {
			line = l
			break
		}
		ancestor = ancestor[:max(0, strings.LastIndexByte(ancestor, '.'))]
	}
	p := problem{line, fmt.Sprintf("%s: %s", key, fmt.Sprintf(format, args...))}
	if !slices.Contains(f.problems, p) { // a table that is checked several times has its problem once
		f.problems = append(f.problems, p)
	}
}

// Number passes the value of a key to set, if the file has the key. A value out of bounds, or NaN, is a problem.
func (f *File) Number(key string, given *float64, lowest, highest float64, set func(float64)) {
	switch {
	case given == nil:
	case !(*given >= lowest && *given <= highest):
		f.Problem(key, "must be from %v to %v", lowest, highest)
	default:
		set(*given)
	}
}

// Float is Number for a value that is stored as it is.
func (f *File) Float(key string, given *float64, lowest, highest float64, into *float64) {
	f.Number(key, given, lowest, highest, func(x float64) { *into = x })
}

// Duration is Number for a duration that the file gives in a unit. The bounds are in the same unit.
func (f *File) Duration(key string, given *float64, unit time.Duration, lowest, highest float64, into *time.Duration) {
	f.Number(key, given, lowest, highest, func(x float64) { *into = time.Duration(x * float64(unit)) })
}

// Int is Number for an integer.
func (f *File) Int(key string, given *int, lowest, highest int, into *int) {
	switch {
	case given == nil:
	case *given < lowest || *given > highest:
		f.Problem(key, "must be from %d to %d", lowest, highest)
	default:
		*into = *given
	}
}

// Err returns all problems, joined in the order of their lines, or nil.
func (f *File) Err() error {
	slices.SortStableFunc(f.problems, func(a, b problem) int { return a.line - b.line })
	var all []error
	for _, p := range f.problems {
		all = append(all, fmt.Errorf("line %d: %s", p.line, p.text))
	}
	return errors.Join(all...)
}
