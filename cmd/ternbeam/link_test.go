package main

import (
	"debug/elf"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// TestLinkedDynamically checks that the deploy file's build makes an agent that needs the dynamic linker and the C library: the scenarios of a large
// fleet load a library into it, which a static program would ignore.
func TestLinkedDynamically(t *testing.T) {
	root := os.Getenv("RUN_ROOT")
	if root == "" {
		t.Skip("RUN_ROOT is not set to a folder with a build")
	}
	file, err := elf.Open(filepath.Join(root, "bin/ternbeam"))
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	if !slices.ContainsFunc(file.Progs, func(p *elf.Prog) bool { return p.Type == elf.PT_INTERP }) {
		t.Error("bin/ternbeam has no dynamic linker")
	}
	libraries, err := file.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !slices.ContainsFunc(libraries, func(name string) bool { return name == "libc.so.6" }) {
		t.Errorf("bin/ternbeam needs %v, not the C library", libraries)
	}
}
