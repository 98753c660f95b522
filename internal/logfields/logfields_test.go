package logfields

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

const root = "../.."

// Whoever reads a log finds each event and field on the operators' page, and nothing else stands there.
func TestThePageListsWhatIsLogged(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs/operators/logs.md"))
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := regexp.MustCompile("^\\| `([^`]+)` \\| (?:debug|info|warning|error)").FindStringSubmatch(line); m != nil {
			listed = append(listed, m[1])
		}
	}
	events := constants(t, "events.go")
	for _, e := range events {
		if !slices.Contains(listed, e) {
			t.Errorf("the page lacks the event %q", e)
		}
	}
	for _, l := range listed {
		if !slices.Contains(events, l) {
			t.Errorf("the page has the event %q, which is not defined", l)
		}
	}
	for _, f := range constants(t, "fields.go") {
		if !strings.Contains(string(page), "`"+f+"`") {
			t.Errorf("the page lacks the field %q", f)
		}
	}
}

// constants are the values of a file's constants.
func constants(t *testing.T, file string) (values []string) {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		if spec, ok := n.(*ast.ValueSpec); ok {
			for _, v := range spec.Values {
				text, err := strconv.Unquote(v.(*ast.BasicLit).Value)
				if err != nil {
					t.Fatal(err)
				}
				values = append(values, text)
			}
		}
		return true
	})
	return values
}

// Event and field names stand in this package alone: no call of a logger words its own.
func TestNamesStandInThisPackageAlone(t *testing.T) {
	for _, dir := range []string{"gateway", "cmd/larchusher", "internal"} {
		err := filepath.WalkDir(filepath.Join(root, dir), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				checkFile(t, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// checkFile reports calls of a logger whose event or field is not one of this package's constants.
func checkFile(t *testing.T, path string) {
	t.Helper()
	set := token.NewFileSet()
	f, err := parser.ParseFile(set, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !onLogger(method.X) {
			return true
		}
		switch method.Sel.Name {
		case "Debugf", "Infof", "Warnf", "Errorf":
			t.Errorf("%v: a message with particulars in it", set.Position(call.Pos()))
		case "Debug", "Info", "Warn", "Error", "WithField":
			if len(call.Args) == 0 || !ours(call.Args[0]) {
				t.Errorf("%v: %s with a name that is not of internal/logfields", set.Position(call.Pos()), method.Sel.Name)
			}
		case "WithFields":
			checkFields(t, set, call.Args[0])
		}
		return true
	})
}

// checkFields reports keys of a literal of fields that are not of this package. One that is made elsewhere is passed over:
// the counters are.
func checkFields(t *testing.T, set *token.FileSet, arg ast.Expr) {
	t.Helper()
	literal, ok := arg.(*ast.CompositeLit)
	if !ok {
		return
	}
	for _, e := range literal.Elts {
		if pair, ok := e.(*ast.KeyValueExpr); ok && !ours(pair.Key) {
			t.Errorf("%v: a field whose name is not of internal/logfields", set.Position(pair.Pos()))
		}
	}
}

// onLogger reports whether a call's receiver is a logger: something called log, or what a logger's methods return.
func onLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name == "log"
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "log")
	case *ast.CallExpr:
		method, ok := x.Fun.(*ast.SelectorExpr)
		return ok && (onLogger(method.X) || method.Sel.Name == "detail")
	}
	return false
}

// ours reports whether an expression is one of this package's constants.
func ours(x ast.Expr) bool {
	s, ok := x.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	p, ok := s.X.(*ast.Ident)
	return ok && p.Name == "logfields"
}
