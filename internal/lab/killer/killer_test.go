package killer

import (
	"os/exec"
	"path/filepath"
	"testing"

	"ternbeam/internal/lab/testkit"
)

// build builds the agent and returns the path of its program.
func build(t *testing.T, flags ...string) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "ternbeam")
	build := exec.Command("go", append(append([]string{"build"}, flags...), "-o", program, "./cmd/ternbeam")...)
	build.Dir = testkit.ModuleRoot(t)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// Kills the real agent while it writes its state. Each start must load the state that had been confirmed.
func TestConfirmedStateSurvivesKillsDuringWrites(t *testing.T) {
	program := build(t)
	const kills = 20
	r, err := Run(Options{Program: program, Dir: t.TempDir(), Kills: kills, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	r.WriteTable(t.Output())
	if len(r.Faults) > 0 || r.StartedFrom["what was kept"] < kills-1 {
		t.Errorf("%d faults in starts %v", len(r.Faults), r.StartedFrom)
	}
}

// Checks that a store that confirms a write without writing it is detected.
func TestPlantedBug(t *testing.T) {
	overlay := testkit.Overlay(t, "internal/store/store.go", "_, err = s.log.Write(f)", "_, err = 0, nil")
	program := build(t, "-overlay", overlay)
	r, err := Run(Options{Program: program, Dir: t.TempDir(), Kills: 8, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if len(r.Faults) == 0 {
		t.Errorf("the planted bug was not detected: %+v", r)
	}
}
