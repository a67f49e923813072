package ternbeam

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// clientConnPackages are the packages that hold client connections.
var clientConnPackages = []string{"internal/host/accept", "internal/host/conntrack", "internal/http/httpfront", "internal/thrift/thriftfront"}

// exempt are functions in these packages that close something else, which the value names.
var exempt = map[string]string{
	"accept.NewSocket": "a descriptor of the listener", "httpfront.relay": "the answer", "httpfront.discard": "the answer", "httpfront.stop": "the upload",
	"conntrack.Accept": "calls end", "thriftfront.Stop": "the listener", "thriftfront.remove": "only the state of a client",
}

// mayEndConnection reports whether a call expression may end a connection: by closing it, by an expired deadline, by a panic in a
// handler, or by a header.
func mayEndConnection(call *ast.CallExpr) bool {
	switch f := call.Fun.(type) {
	case *ast.Ident:
		return f.Name == "panic"
	case *ast.SelectorExpr:
		switch f.Sel.Name {
		case "Close", "CloseWrite", "CloseRead", "SetLinger", "end", "closeOrAskReaderLocked", "closeLocked", "stopReading":
			return true
		case "Set":
			return len(call.Args) == 2 && isStringLiteral(call.Args[0], "Connection")
		}
	}
	return false
}

// isStringLiteral reports whether e is the string literal text.
func isStringLiteral(e ast.Expr, text string) bool {
	literal, ok := e.(*ast.BasicLit)
	return ok && literal.Value == `"`+text+`"`
}

// connectionEnders returns the functions of a package that may end a connection.
func connectionEnders(t *testing.T, dir string) (names []string) {
	t.Helper()
	all, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range all {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, d := range file.Decls {
			if function, ok := d.(*ast.FuncDecl); ok && endsConnection(function) {
				names = append(names, path.Base(dir)+"."+function.Name.Name)
			}
		}
	}
	return names
}

// endsConnection reports whether a function has a call that may end a connection.
func endsConnection(function *ast.FuncDecl) (ends bool) {
	ast.Inspect(function, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		ends = ends || ok && mayEndConnection(call)
		return true
	})
	return ends
}

// sources returns the concatenated text of all Go files: of the test files, or of the others.
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

// Each function that can end a client connection is listed on docs/ops/connection-ends.md, and each row there names an existing test.
func TestConnectionEndsAreDocumented(t *testing.T) {
	text, err := os.ReadFile("docs/ops/connection-ends.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for _, dir := range clientConnPackages {
		for _, name := range connectionEnders(t, dir) {
			if exempt[name] == "" && !strings.Contains(page, "`"+name+"`") {
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
			t.Errorf("no test in the row: %s", row)
		}
		for _, name := range named {
			if !strings.Contains(tests, "func "+name[1]+"(t *testing.T)") {
				t.Errorf("test %s does not exist", name[1])
			}
		}
	}
	if rows < 20 {
		t.Errorf("only %d rows were found", rows)
	}
	for _, line := range regexp.MustCompile("`([a-z][a-z' ]+ [a-z' ,]+)`").FindAllStringSubmatch(page, -1) {
		if !strings.Contains(code, line[1]) {
			t.Errorf("no log line %q", line[1])
		}
	}
}
