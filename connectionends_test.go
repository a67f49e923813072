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

// connectionPackages are the packages that hold connections of clients.
var connectionPackages = []string{"internal/host/accept", "internal/host/conntrack", "internal/http/httpfront", "internal/thrift/thriftfront"}

// exempt lists functions of these packages that close something other than a connection, and what that is.
var exempt = map[string]string{
	"accept.NewSocket": "a descriptor of the listener", "httpfront.relay": "the answer", "httpfront.clear": "the answer", "httpfront.stop": "the upload",
	"conntrack.Accept": "calls Listener.end", "thriftfront.Stop": "the listener", "thriftfront.forget": "only the record of a client",
}

// endsConnection reports whether a call may end a connection: by closing it, expiring its deadline, panicking in a handler, or setting a header.
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

// sources returns the text of all test files or of all other Go files.
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

// Each function that can end a client's connection must be listed on the page of connection ends, and each row there must name existing tests.
func TestConnectionEndsAreAccounted(t *testing.T) {
	text, err := os.ReadFile("docs/ops/connection-ends.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, dir := range connectionPackages {
		for _, name := range functionsThatEnd(t, dir) {
			if exempt[name] == "" && !strings.Contains(page, "`"+name+"`") {
				t.Errorf("%s can end a connection and is not listed on the page", name)
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
			t.Errorf("row without a test: %s", row)
		}
		for _, name := range named {
			if !strings.Contains(tests, "func "+name[1]+"(t *testing.T)") {
				t.Errorf("test %s does not exist", name[1])
			}
		}
	}
	if rows < 20 {
		t.Errorf("%d rows, want at least 20", rows)
	}
	for _, line := range regexp.MustCompile("`([a-z][a-z' ]+ [a-z' ,]+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(code, line[1]) {
			t.Errorf("the code contains no log message %q", line[1])
		}
	}
}
