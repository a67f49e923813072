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

// WithPosition adds to an error of Parse the line and the key that it concerns, as far as they are known.
func WithPosition(text []byte, err error) error {
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	var keyErr *wire.KeyError
	lines, settingsOffset := locateKeys(text)
	switch {
	case errors.As(err, &syntaxErr):
		return fmt.Errorf("line %d: %w", lineAt(text, syntaxErr.Offset), err)
	case errors.As(err, &typeErr):
		offset, key := typeErr.Offset, typeErr.Field
		if errors.Is(err, errSettings) {
			offset, key = offset+settingsOffset, "settings."+key
		}
		return fmt.Errorf("line %d: %s: %w", lineAt(text, offset), key, err)
	case errors.As(err, &keyErr):
		key := "settings." + keyErr.Key
		return fmt.Errorf("line %d: %s: %w", lines.find(key), key, err)
	case errors.Is(err, errSettings):
		return fmt.Errorf("line %d: settings: %w", lines.find("settings"), err)
	}
	return fmt.Errorf("line 1: %w", err)
}

func lineAt(text []byte, offset int64) int {
	return 1 + bytes.Count(text[:max(0, min(offset, int64(len(text))))], []byte("\n"))
}

// keyLines maps keys, such as settings.Classes.0.Effect, to their lines.
type keyLines map[string]int

// find returns the line of a key or, if the key is absent, of the nearest parent that is present.
func (l keyLines) find(key string) int {
	for {
		if line := l[key]; line > 0 || key == "" {
			return max(1, line)
		}
		key = key[:max(0, strings.LastIndexByte(key, '.'))]
	}
}

// locateKeys returns the lines of all keys, and the offset at which the value of the key settings begins.
func locateKeys(text []byte) (lines keyLines, settingsOffset int64) {
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
			colon := bytes.IndexByte(text[begin:], ':') // begin is the end of the key
			settingsOffset = begin + int64(colon) + 1
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
	return lines, settingsOffset
}
