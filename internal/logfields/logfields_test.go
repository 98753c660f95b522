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

const repoRoot = "../.."

// The operators' page on logs must list every event and field of this package, and no event that is not defined here.
func TestLogsPageListsAllEventsAndFields(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs/operators/logs.md"))
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for line := range strings.SplitSeq(string(page), "\n") {
		if m := regexp.MustCompile("^\\| `([^`]+)` \\| (?:debug|info|warning|error)").FindStringSubmatch(line); m != nil {
			listed = append(listed, m[1])
		}
	}
	events := constantValues(t, "events.go")
	for _, e := range events {
		if !slices.Contains(listed, e) {
			t.Errorf("docs/operators/logs.md does not list the event %q", e)
		}
	}
	for _, l := range listed {
		if !slices.Contains(events, l) {
			t.Errorf("docs/operators/logs.md lists the event %q, which is not defined in events.go", l)
		}
	}
	for _, f := range constantValues(t, "fields.go") {
		if !strings.Contains(string(page), "`"+f+"`") {
			t.Errorf("docs/operators/logs.md does not list the field %q", f)
		}
	}
}

// constantValues returns the values of the string constants that a Go file of this package defines.
func constantValues(t *testing.T, file string) (values []string) {
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

// Packages that log must take event and field names from this package: no call of a logger may pass a name of its own.
func TestLoggersUseOnlyTheseConstants(t *testing.T) {
	for _, dir := range []string{"gateway", "cmd/larchusher", "internal"} {
		err := filepath.WalkDir(filepath.Join(repoRoot, dir), func(path string, _ fs.DirEntry, err error) error {
			if err == nil && strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				checkLoggerCalls(t, path)
			}
			return err
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// checkLoggerCalls fails the test for each call of a logger in a Go file whose event or field is not one of this package's
// constants.
func checkLoggerCalls(t *testing.T, path string) {
	t.Helper()
	fileSet := token.NewFileSet()
	f, err := parser.ParseFile(fileSet, path, nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	ast.Inspect(f, func(n ast.Node) bool {
		call, ok := n.(*ast.CallExpr)
		if !ok {
			return true
		}
		method, ok := call.Fun.(*ast.SelectorExpr)
		if !ok || !isLogger(method.X) {
			return true
		}
		switch method.Sel.Name {
		case "Debugf", "Infof", "Warnf", "Errorf":
			t.Errorf("%v: formatted log message; want a constant event, with details in fields", fileSet.Position(call.Pos()))
		case "Debug", "Info", "Warn", "Error", "WithField":
			if len(call.Args) == 0 || !isPackageConstant(call.Args[0]) {
				t.Errorf("%v: first argument of %s is not a constant of internal/logfields", fileSet.Position(call.Pos()), method.Sel.Name)
			}
		case "WithFields":
			checkFieldNames(t, fileSet, call.Args[0])
		}
		return true
	})
}

// checkFieldNames fails the test for each key of a literal of fields that is not a constant of this package. Arguments that are not
// literals are not checked: the fields of the counters' line are computed.
func checkFieldNames(t *testing.T, set *token.FileSet, arg ast.Expr) {
	t.Helper()
	literal, ok := arg.(*ast.CompositeLit)
	if !ok {
		return
	}
	for _, e := range literal.Elts {
		if pair, ok := e.(*ast.KeyValueExpr); ok && !isPackageConstant(pair.Key) {
			t.Errorf("%v: field name is not a constant of internal/logfields", set.Position(pair.Pos()))
		}
	}
}

// isLogger reports whether a call's receiver is a logger: a variable or field named log, or the result of a logger's method or of
// a method named detail.
func isLogger(x ast.Expr) bool {
	switch x := x.(type) {
	case *ast.Ident:
		return x.Name == "log"
	case *ast.SelectorExpr:
		return strings.EqualFold(x.Sel.Name, "log")
	case *ast.CallExpr:
		method, ok := x.Fun.(*ast.SelectorExpr)
		return ok && (isLogger(method.X) || method.Sel.Name == "detail")
	}
	return false
}

// isPackageConstant reports whether an expression refers to a name of this package.
func isPackageConstant(x ast.Expr) bool {
	s, ok := x.(*ast.SelectorExpr)
	if !ok {
		return false
	}
	p, ok := s.X.(*ast.Ident)
	return ok && p.Name == "logfields"
}
