package testkit

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// ModuleRoot returns the folder that holds go.mod, searching upwards from the working directory.
func ModuleRoot(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	for ; err == nil; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir
		}
		if dir == filepath.Dir(dir) {
			break
		}
	}
	t.Fatal("no go.mod found in any parent of the test's folder", err)
	return ""
}

// Overlay plants a bug: it writes a file for the -overlay flag of the go command that replaces old by new in one source
// file, and returns the name of the overlay file. file is relative to the module's root and must contain old exactly once.
func Overlay(t testing.TB, file, old, new string) string {
	t.Helper()
	dir, source := t.TempDir(), filepath.Join(ModuleRoot(t), file)
	text, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(text), old) != 1 {
		t.Fatalf("%s must contain %q exactly once", file, old)
	}
	changed, overlay := filepath.Join(dir, "changed.go"), filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(changed, []byte(strings.Replace(string(text), old, new, 1)), 0o600); err != nil {
		t.Fatal(err)
	}
	over, err := json.Marshal(map[string]any{"Replace": map[string]string{source: changed}})
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(overlay, over, 0o600); err != nil {
		t.Fatal(err)
	}
	return overlay
}

// GoTest runs the tests of pkg that match run with an overlay, and returns their combined output.
func GoTest(t testing.TB, overlay, pkg, run string) (out string, err error) {
	t.Helper()
	test := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "-count=1", "-overlay", overlay, "-run", run, pkg)
	test.Dir = ModuleRoot(t)
	text, err := test.CombinedOutput()
	return string(text), err
}
