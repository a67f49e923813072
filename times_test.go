package ternbeam

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/printer"
	"go/token"
	"io/fs"
	"os"
	"path"
	"strings"
	"testing"
)

// timedPackages are the package trees whose time constants affect the agent's behavior towards clients, servers and the list
// service.
var timedPackages = []string{"choice", "internal/agent", "internal/discovery", "internal/decide/lifecycle", "internal/decide/pacing", "internal/decide/relay", "internal/decide/shutdown", "internal/host", "internal/http", "internal/sysio", "internal/thrift"}

// timeConstants returns the constants of a file that are given in units of time, each as the row that the page must have for it.
func timeConstants(pkg string, fset *token.FileSet, file *ast.File) (rows []string) {
	for _, d := range file.Decls {
		decl, ok := d.(*ast.GenDecl)
		if !ok || decl.Tok != token.CONST {
			continue
		}
		for _, s := range decl.Specs {
			spec := s.(*ast.ValueSpec)
			for i, value := range spec.Values {
				var text strings.Builder
				printer.Fprint(&text, fset, value)
				if strings.Contains(text.String(), "time.") {
					rows = append(rows, fmt.Sprintf("| `%s.%s` | `%s` |", path.Base(pkg), spec.Names[i].Name, text.String()))
				}
			}
		}
	}
	return rows
}

// Each time constant is documented on docs/design/times.md with its value and a reason, and the page names no constant that does
// not exist.
func TestTimeConstantsAreDocumented(t *testing.T) {
	page, err := os.ReadFile("docs/design/times.md")
	if err != nil {
		t.Fatal(err)
	}
	documented, reasoned := map[string]bool{}, map[string]bool{}
	for _, line := range strings.Split(string(page), "\n") {
		if !strings.HasPrefix(line, "| `") {
			continue
		}
		cells := strings.SplitN(line, " | ", 3)
		if len(cells) < 3 {
			t.Errorf("no reason in %q", line)
			continue
		}
		row := cells[0] + " | " + cells[1] + " |"
		documented[row], reasoned[row] = true, len(strings.Trim(cells[2], " |")) > 20
	}
	found := map[string]bool{}
	for _, tree := range timedPackages {
		err := fs.WalkDir(os.DirFS("."), tree, func(name string, d fs.DirEntry, err error) error {
			if err != nil || d.IsDir() || !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
				return err
			}
			fset := token.NewFileSet()
			file, err := parser.ParseFile(fset, name, nil, 0)
			if err != nil {
				return err
			}
			for _, row := range timeConstants(path.Dir(name), fset, file) {
				if found[row] = true; !documented[row] || !reasoned[row] {
					t.Errorf("%s: not on the page, or without a reason: %s", name, row)
				}
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(found) < 20 {
		t.Fatalf("only %d time constants were found", len(found))
	}
	for row := range documented {
		if !found[row] {
			t.Errorf("the page has a constant that does not exist: %s", row)
		}
	}
}
