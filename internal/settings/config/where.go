package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"ternbeam/internal/settings/wire"
)

// Where adds to an error of Parse's the line and the key that it is about, as far as that can be told.
func Where(text []byte, err error) error {
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	var keyed *wire.KeyError
	lines, settings := walk(text)
	switch {
	case errors.As(err, &syntax):
		return fmt.Errorf("line %d: %w", lineAt(text, syntax.Offset), err)
	case errors.As(err, &kind):
		offset, key := kind.Offset, kind.Field
		if errors.Is(err, errSettings) {
			offset, key = offset+settings, "settings."+key
		}
		return fmt.Errorf("line %d: %s: %w", lineAt(text, offset), key, err)
	case errors.As(err, &keyed):
		key := "settings." + keyed.Key
		return fmt.Errorf("line %d: %s: %w", lines.of(key), key, err)
	case errors.Is(err, errSettings):
		return fmt.Errorf("line %d: settings: %w", lines.of("settings"), err)
	}
	return fmt.Errorf("line 1: %w", err)
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:max(0, min(offset, int64(len(text))))], []byte("\n"))
}

// keyLines are the lines of keys, such as settings.Classes.0.Effect.
type keyLines map[string]int

// of returns the line of a key or, if it is not there, of what should hold it.
func (l keyLines) of(key string) int {
	for {
		if line := l[key]; line > 0 || key == "" {
			return max(1, line)
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
}

// walk finds the lines of all keys, and where the value of settings begins.
func walk(text []byte) (lines keyLines, settings int64) {
	lines = keyLines{}
	d := json.NewDecoder(bytes.NewReader(text))
	var value func(path string)
	value = func(path string) {
		begin := d.InputOffset()
		t, err := d.Token()
		if err != nil {
			return
		}
		lines[path] = lineAt(text, d.InputOffset())
		if path == "settings" {
			colon := bytes.IndexByte(text[begin:], ':') // the key's end is where the decoder stands
			settings = begin + int64(colon) + 1
		}
		join := func(key string) string { return strings.TrimPrefix(path+"."+key, ".") }
		switch t {
		case json.Delim('{'):
			for d.More() {
				key, err := d.Token()
				if err != nil {
					return
				}
				value(join(fmt.Sprint(key)))
			}
			d.Token()
		case json.Delim('['):
			for i := 0; d.More(); i++ {
				value(join(strconv.Itoa(i)))
			}
			d.Token()
		}
	}
	value("")
	return lines, settings
}
