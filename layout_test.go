package ternbeam

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// layers lists the package trees from the lowest layer to the highest: a package may import packages of its own tree and of lower
// layers only. docs/design/layout.md gives the reasons.
var layers = [][]string{
	{"choice"},
	{"internal/clock", "internal/decide", "internal/protocol", "internal/settings/conffile", "internal/settings/wire", "internal/sysio", "internal/thrift/thriftwire"},
	{"internal/discovery", "internal/store", "internal/translate"},
	{"internal/settings"},
	{"internal/host"},
	{"internal/http", "internal/thrift"},
	{"internal/bridge"},
	{"internal/agent"},
	{"internal/lab"},
	{"cmd"},
}

// sampleConfigs is the folder of sample configurations. It contains only text, so any package may import it.
const sampleConfigs = "deploy"

// purePackages do no I/O and read no clock.
var purePackages = []string{"choice", "internal/decide", "internal/translate"}

// ioPackages are the packages for I/O, system calls and logging.
var ioPackages = []string{"net", "net/http", "os", "os/exec", "os/signal", "syscall", "log", "log/slog", "golang.org/x/sys/unix"}

// clockFuncs are the functions that read a clock or wait for one, by package.
var clockFuncs = map[string][]string{
	"time":    {"Now", "Since", "Until", "Sleep", "After", "AfterFunc", "Tick", "NewTimer", "NewTicker"},
	"context": {"WithTimeout", "WithDeadline", "WithTimeoutCause", "WithDeadlineCause"},
}

const module = "ternbeam"

// isWithin reports whether a package belongs to a package tree.
func isWithin(pkg, tree string) bool { return pkg == tree || strings.HasPrefix(pkg, tree+"/") }

// layerOf returns the most specific package tree that contains a package, and the index of its layer, or -1.
func layerOf(pkg string) (name string, layer int) {
	layer = -1
	for i, trees := range layers {
		for _, tree := range trees {
			if isWithin(pkg, tree) && len(tree) >= len(name) {
				name, layer = tree, i
			}
		}
	}
	return name, layer
}

// violations returns the violations of the layout in a file.
func violations(pkg string, file *ast.File) (all []string) {
	own, layer := layerOf(pkg)
	if layer < 0 && pkg != sampleConfigs {
		return []string{pkg + " belongs to no layer"}
	}
	pure := slices.ContainsFunc(purePackages, func(d string) bool { return isWithin(pkg, d) })
	names := map[string]string{} // imported paths by their name in the file
	for _, spec := range file.Imports {
		target, _ := strconv.Unquote(spec.Path.Value)
		name := path.Base(target)
		if spec.Name != nil {
			name = spec.Name.Name
		}
		names[name] = target
		if pure && slices.Contains(ioPackages, target) {
			all = append(all, pkg+", a pure package, imports "+target)
		}
		if !isWithin(target, module) {
			continue
		}
		target = strings.TrimPrefix(strings.TrimPrefix(target, module), "/")
		if to, below := layerOf(target); to != own && below >= layer && target != sampleConfigs {
			all = append(all, pkg+" imports "+target+", which is not in a lower layer")
		}
	}
	if !pure {
		return all
	}
	ast.Inspect(file, func(n ast.Node) bool {
		if sel, ok := n.(*ast.SelectorExpr); ok {
			if x, ok := sel.X.(*ast.Ident); ok && slices.Contains(clockFuncs[names[x.Name]], sel.Sel.Name) {
				all = append(all, pkg+", a pure package, reads a clock by "+x.Name+"."+sel.Sel.Name)
			}
		}
		return true
	})
	return all
}

// Packages import lower layers only, and pure packages do no I/O and read no clock.
func TestLayout(t *testing.T) {
	seen := 0
	err := filepath.WalkDir(".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		seen++
		for _, violation := range violations(path.Dir(filepath.ToSlash(name)), file) {
			t.Errorf("%s: %s", name, violation)
		}
		return nil
	})
	if err != nil || seen < 50 {
		t.Errorf("%d files: %v", seen, err)
	}
}

// Each kind of violation is detected.
func TestLayoutViolationsAreDetected(t *testing.T) {
	for _, c := range []struct{ pkg, text, want string }{
		{"choice", `import "net"`, "imports net"},
		{"internal/decide/lifecycle", `import "os"`, "imports os"},
		{"internal/decide/lifecycle", `import "time"; var x = time.Now`, "reads a clock"},
		{"internal/decide/lifecycle", `import t "time"; func f() { t.Sleep(1) }`, "reads a clock"},
		{"internal/decide/lifecycle", `import "ternbeam/internal/host/pool"`, "not in a lower layer"},
		{"internal/http/httpback", `import "ternbeam/internal/thrift/thriftmap"`, "not in a lower layer"},
		{"internal/agent", `import "ternbeam/internal/lab/standin"`, "not in a lower layer"},
		{"internal/cellar", ``, "belongs to no layer"},
		{"internal/host/core", `import ("net"; "time"; "ternbeam/choice"); var _, _ = net.Dial, time.Now`, ""},
		{"internal/decide/lifecycle", `import ("time"; "ternbeam/choice"); var _ time.Duration; var _ choice.Result`, ""},
	} {
		file, err := parser.ParseFile(token.NewFileSet(), "x.go", "package x\n"+c.text, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		got := strings.Join(violations(c.pkg, file), "; ")
		if (c.want == "") != (got == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s, %s: %q", c.pkg, c.text, got)
		}
	}
}
