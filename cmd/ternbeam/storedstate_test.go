package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"ternbeam/internal/lab/testkit"
)

// Checks that a state folder that an earlier build wrote with --state can be read. It is in testdata; state-export.json is what that build exported
// from it.
func TestStateFolderOfAnEarlierBuild(t *testing.T) {
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS("testdata/state")); err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/state-export.json")
	if err != nil {
		t.Fatal(err)
	}
	program := filepath.Join(t.TempDir(), "ternbeam")
	build := exec.CommandContext(t.Context(), "go", "build", "-o", program, "./cmd/ternbeam")
	build.Dir = testkit.ModuleRoot(t)
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	if out, err := exec.CommandContext(t.Context(), program, "state", "verify", dir).CombinedOutput(); err != nil {
		t.Errorf("verify: %v\n%s", err, out)
	}
	got, err := exec.CommandContext(t.Context(), program, "state", "export", dir).Output()
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("export differs: %v\n%s", err, got)
	}
}
