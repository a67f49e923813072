package ternbeam

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"regexp"
	"strings"
	"testing"
)

// connectionPackages are those that hold connections of clients.
var connectionPackages = []string{"internal/host/accept", "internal/host/conntrack", "internal/http/httpfront", "internal/thrift/thriftfront"}

// spared are functions of theirs that close something else, as the value says.
var spared = map[string]string{
	"accept.NewSocket": "a descriptor of the listener", "httpfront.relay": "the answer", "httpfront.clear": "the answer", "httpfront.stop": "the upload",
	"conntrack.Accept": "calls end", "thriftfront.Stop": "the listener", "thriftfront.forget": "nothing but the account of a client",
}

// endsConnection reports whether a call may end a connection: by closing it, by expiring its deadline, by panicking in a handler, or by a header.
func endsConnection(call *ast.CallExpr) bool {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name == "panic"
	case *ast.SelectorExpr:
		switch f.Sel.Name {
		case "Close", "CloseWrite", "CloseRead", "SetLinger", "end", "yieldLocked", "closeLocked", "stopReading":
			return true
		case "Set":
			return len(call.Args) == 2 && isText(call.Args[0], "Connection")
		}
	}
	return false
}

func isText(e ast.Expr, text string) bool {
	literal, ok := e.(*ast.BasicLit)
	return ok && literal.Value == `"`+text+`"`
}

// functionsThatEnd returns the functions of a package that may end a connection.
func functionsThatEnd(t *testing.T, dir string) (names []string) {
	t.Helper()
	packages, err := parser.ParseDir(token.NewFileSet(), dir, func(f fs.FileInfo) bool { return !strings.HasSuffix(f.Name(), "_test.go") }, 0)
	if err != nil {
		t.Fatal(err)
	}
	for _, pkg := range packages {
		for _, file := range pkg.Files {
			for _, d := range file.Decls {
				function, ok := d.(*ast.FuncDecl)
				if !ok {
					continue
				}
				ends := false
				ast.Inspect(function, func(n ast.Node) bool {
					call, ok := n.(*ast.CallExpr)
					ends = ends || ok && endsConnection(call)
					return true
				})
				if ends {
					names = append(names, path.Base(dir)+"."+function.Name.Name)
				}
			}
		}
	}
	return names
}

// sources returns the text of all Go files, those of tests or the others.
func sources(t *testing.T, tests bool) string {
	t.Helper()
	var all strings.Builder
	err := fs.WalkDir(os.DirFS("."), ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") != tests {
			return err
		}
		text, err := os.ReadFile(name)
		all.Write(text)
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return all.String()
}

// Each place in the code that can end a client's connection is on the page of ends, and each row there names tests that there are.
func TestConnectionEndsAreAccounted(t *testing.T) {
	text, err := os.ReadFile("docs/ops/connection-ends.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, dir := range connectionPackages {
		for _, name := range functionsThatEnd(t, dir) {
			if spared[name] == "" && !strings.Contains(page, "`"+name+"`") {
				t.Errorf("%s can end a connection and is not on the page", name)
			}
		}
	}
	code, tests := sources(t, false), sources(t, true)
	rows := 0
	for row := range strings.Lines(page) {
		if !strings.HasPrefix(row, "| ") || strings.HasPrefix(row, "| ---") || strings.Contains(row, "| test |") {
			continue
		}
		rows++
		named := regexp.MustCompile("`(Test[A-Za-z]+)`").FindAllStringSubmatch(row, -1)
		if len(named) == 0 {
			t.Errorf("no test: %s", row)
		}
		for _, name := range named {
			if !strings.Contains(tests, "func "+name[1]+"(t *testing.T)") {
				t.Errorf("there is no test %s", name[1])
			}
		}
	}
	if rows < 20 {
		t.Errorf("%d rows were found", rows)
	}
	for _, line := range regexp.MustCompile("`([a-z][a-z' ]+ [a-z' ,]+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(code, line[1]) {
			t.Errorf("no log line %q", line[1])
		}
	}
}
