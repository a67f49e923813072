package demo

import (
	"strings"
	"testing"
	"time"
)

// A short demo goes through the hang and the replacement and ends with its table.
func TestDemo(t *testing.T) {
	var out strings.Builder
	if err := Run(Options{For: 4 * time.Second, Kiosks: 3, Out: &out}); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	for _, line := range []string{"hang", "every server is replaced", "thrift-compact", "effects that came twice: 0"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("no %q in\n%s", line, out.String())
		}
	}
}
