package config

import (
	"bytes"
	"fmt"
	"strings"
	"time"
	"unicode"

	"github.com/protocolbuffers/txtpbfmt/ast"
	"github.com/protocolbuffers/txtpbfmt/parser"
)

// keyError is an error about a key of the operator's file, such as "overload.wait".
type keyError struct {
	key string
	err error
}

func (e *keyError) Error() string { return e.key + ": " + e.err.Error() }
func (e *keyError) Unwrap() error { return e.err }

func newKeyError(key string, err error) error { return &keyError{key, err} }

// lineOf returns the line of a key such as "signed_front.key[1].form" in the operator's file, counted from 1. If the file lacks
// the key it returns the line of the innermost message around it that the file has, or 0.
func lineOf(data []byte, key string) (line int) {
	lines := bytes.Split(data, []byte("\n"))
	nodes, err := parser.Parse(data)
	if err != nil {
		return 0
	}
	for name := range strings.SplitSeq(key, ".") {
		node := findNode(nodes, name)
		if node == nil {
			return line
		}
		line = firstContentLine(lines, int(node.Start.Line))
		nodes = node.Children
	}
	return line
}

// findNode returns the node with a name such as "form" or "key[1]", where the index counts nodes of the same name from 0, or
// nil if there is no such node.
func findNode(nodes []*ast.Node, name string) *ast.Node {
	index := 0
	if n, rest, ok := strings.Cut(name, "["); ok {
		name = n
		_, _ = fmt.Sscanf(rest, "%d]", &index) // this package makes the names, so their form is valid
	}
	for _, n := range nodes {
		if n.Name != name {
			continue
		}
		if index == 0 {
			return n
		}
		index--
	}
	return nil
}

// firstContentLine returns the first line from start on, counted from 1, that is neither blank nor a comment. The parser
// counts the blank lines and comments before a node as part of it.
func firstContentLine(lines [][]byte, start int) int {
	line := start
	for ; line < len(lines); line++ {
		if l := bytes.TrimSpace(lines[line-1]); len(l) > 0 && l[0] != '#' {
			break
		}
	}
	return line
}

// keyName converts a Go field name to a key of the operator's file: BackMost becomes back_most.
func keyName(name string) string {
	var b strings.Builder
	for i, r := range name {
		if unicode.IsUpper(r) && i > 0 {
			b.WriteByte('_')
		}
		b.WriteRune(unicode.ToLower(r))
	}
	return b.String()
}

// parseDuration parses a duration such as "150ms" and checks that it is from minimum to maximum. An empty text yields
// defaultValue, unchecked. Errors are of type keyError with the given key.
func parseDuration(key, text string, defaultValue, minimum, maximum time.Duration) (time.Duration, error) {
	if text == "" {
		return defaultValue, nil
	}
	d, err := time.ParseDuration(text)
	if err == nil && (d < minimum || d > maximum) {
		err = fmt.Errorf("%v is out of range, want %v to %v", d, minimum, maximum)
	}
	if err != nil {
		return 0, newKeyError(key, err)
	}
	return d, nil
}
