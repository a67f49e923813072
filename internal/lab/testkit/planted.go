package testkit

import (
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// Root is the folder of the module.
func Root(t testing.TB) string {
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
	t.Fatal("no go.mod above the test's folder", err)
	return ""
}

// Overlay plants a bug: it writes a file for the -overlay flag of the go command under which one place of one source
// file reads otherwise, and returns its name.
func Overlay(t testing.TB, file, old, new string) string {
	t.Helper()
	dir, source := t.TempDir(), filepath.Join(Root(t), file)
	text, err := os.ReadFile(source)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Count(string(text), old) != 1 {
		t.Fatalf("%s does not hold %q once", file, old)
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

// GoTest runs tests of a package under an overlay.
func GoTest(t testing.TB, overlay, pkg, run string) (out string, err error) {
	t.Helper()
	test := exec.CommandContext(t.Context(), "go", "test", "-vet=off", "-count=1", "-overlay", overlay, "-run", run, pkg)
	test.Dir = Root(t)
	text, err := test.CombinedOutput()
	return string(text), err
}
