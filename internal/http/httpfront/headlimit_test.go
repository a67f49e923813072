package httpfront

import (
	"errors"
	"strings"
	"testing"
)

// Fields are counted in a head only, however it is cut into pieces: the lines of a body don't count.
func TestHeadLimitCountsFieldsOfHeads(t *testing.T) {
	fields := func(n int) string { return "GET / HTTP/1.1\r\n" + strings.Repeat("a:\r\n", n) }
	for name, c := range map[string]struct {
		text string
		want error
	}{
		"few fields":           {fields(100) + "\r\n", nil},
		"too many fields":      {fields(maxLines), errTooManyFields},
		"many lines in a body": {fields(3) + "\r\n" + strings.Repeat("\n", 2*maxLines), nil},
		"bare line feeds":      {strings.ReplaceAll(fields(maxLines), "\r", ""), errTooManyFields},
	} {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 3, len(c.text)} {
				var h headLimit
				var err error
				for rest := c.text; rest != "" && err == nil; rest = rest[min(size, len(rest)):] {
					err = h.add([]byte(rest[:min(size, len(rest))]))
				}
				if !errors.Is(err, c.want) {
					t.Errorf("in pieces of %d: %v, want %v", size, err, c.want)
				}
			}
		})
	}
}
