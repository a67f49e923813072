package demo

import (
	"strings"
	"testing"
	"time"
)

// A short demo must run through the hang and the replacement and print the final table.
func TestDemo(t *testing.T) {
	var out strings.Builder
	if err := Run(Options{For: 4 * time.Second, Kiosks: 3, Out: &out}); err != nil {
		t.Errorf("%v\n%s", err, out.String())
	}
	for _, line := range []string{"hang", "every server is replaced", "thrift-compact", "duplicate effects: 0"} {
		if !strings.Contains(out.String(), line) {
			t.Errorf("%q is missing in\n%s", line, out.String())
		}
	}
}
