package peerconf

import (
	"strings"
	"testing"

	"ternbeam/deploy"
	"ternbeam/internal/decide/gossip"
)

// The sample file has the default values.
func TestSample(t *testing.T) {
	got, err := Parse([]byte(deploy.Peers))
	if err != nil || *got != gossip.Defaults {
		t.Errorf("the sample is %+v, %v, want the defaults", got, err)
	}
}

// Every problem is reported with its line and key.
func TestProblems(t *testing.T) {
	_, err := Parse([]byte("[lists]\nsize = 100\nround_ms = 9000\nfanout = 0\nodd = 1\n"))
	for _, want := range []string{"line 2: lists.size", "line 4: lists.fanout", "line 5: lists.odd: no such key", "line 1: lists.stale_s: must be at least four times round_ms"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not in %v", want, err)
		}
	}
}
