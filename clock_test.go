package ternbeam

import (
	"io/fs"
	"os"
	"path"
	"regexp"
	"strings"
	"testing"
)

// wallClockRead matches code that reads the wall clock as a number, which a clock step affects.
var wallClockRead = regexp.MustCompile(`time\.Now\(\)(\.UTC\(\)|\.Round\([^)]*\))*\.Unix`)

// wallClockReaders are the packages that may read the wall clock this way, with the reason.
var wallClockReaders = map[string]string{
	"internal/host/statestore": "learned state ages also while the machine sleeps, and between processes",
	"internal/host/peers":      "the epoch of a process is sent to other agents, and only has to grow from one process to the next",
}

// All other packages measure durations with internal/clock, which a step of the wall clock does not affect.
func TestOnlyListedPackagesReadWallClock(t *testing.T) {
	for _, tree := range []string{"choice", "internal", "cmd/ternbeam"} {
		err := fs.WalkDir(os.DirFS("."), tree, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || isWithin(path.Dir(name), "internal/lab") {
				return err
			}
			text, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			if found := wallClockRead.Find(text); found != nil && wallClockReaders[path.Dir(name)] == "" {
				t.Errorf("%s reads the wall clock: %s", name, found)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if !wallClockRead.MatchString("time.Duration(time.Now().UnixNano())") {
		t.Error("a read of the wall clock is not detected")
	}
}
