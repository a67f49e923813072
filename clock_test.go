package ternbeam

import (
	"io/fs"
	"os"
	"path"
	"regexp"
	"strings"
	"testing"
)

// wallReading finds readings of the wall clock as a number, in which a step of it shows.
var wallReading = regexp.MustCompile(`time\.Now\(\)(\.UTC\(\)|\.Round\([^)]*\))*\.Unix`)

// wallReaders are the packages that may read the wall clock so, and why.
var wallReaders = map[string]string{
	"internal/host/keeper": "ages of what was learned go on while the machine sleeps, and between processes",
	"internal/host/peers":  "the epoch of a process is told to other agents, and need only grow from one to the next",
}

// Everywhere else spans come from internal/clock, which a step of the wall clock does not move.
func TestWallClockIsReadInFewPlaces(t *testing.T) {
	for _, room := range []string{"choice", "internal", "cmd/ternbeam"} {
		err := fs.WalkDir(os.DirFS("."), room, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") || within(path.Dir(name), "internal/lab") {
				return err
			}
			text, err := os.ReadFile(name)
			if err != nil {
				return err
			}
			if found := wallReading.Find(text); found != nil && wallReaders[path.Dir(name)] == "" {
				t.Errorf("%s reads the wall clock: %s", name, found)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if !wallReading.MatchString("time.Duration(time.Now().UnixNano())") {
		t.Error("a reading is not found")
	}
}
