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

// keyError is an error about a key of the operator's file.
type keyError struct {
	key string
	err error
}

func (f *keyError) Error() string { return f.key + ": " + f.err.Error() }
func (f *keyError) Unwrap() error { return f.err }

func newKeyError(key string, err error) error { return &keyError{key, err} }

// lineOf finds the line of a key such as "signed_front.key[1].form", or of the nearest one around it; 0: there is none.
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
		line = firstLine(lines, int(node.Start.Line))
		nodes = node.Children
	}
	return line
}

// findNode finds the node of a name such as "form" or "key[1]"; nil: there is none.
func findNode(nodes []*ast.Node, name string) *ast.Node {
	index := 0
	if n, rest, ok := strings.Cut(name, "["); ok {
		name = n
		_, _ = fmt.Sscanf(rest, "%d]", &index) // names are this package's own
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

// firstLine is the first line, counted from 1, that is neither blank nor a comment: a node begins with those before it.
func firstLine(lines [][]byte, start int) int {
	line := start
	for ; line < len(lines); line++ {
		if l := bytes.TrimSpace(lines[line-1]); len(l) > 0 && l[0] != '#' {
			break
		}
	}
	return line
}

// keyName turns a field's name into that of a key: BackMost is back_most.
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

// parseDuration reads a length of time from least to most; an empty text is the default.
func parseDuration(key, text string, def, least, most time.Duration) (time.Duration, error) {
	if text == "" {
		return def, nil
	}
	d, err := time.ParseDuration(text)
	if err == nil && (d < least || d > most) {
		err = fmt.Errorf("%v is not from %v to %v", d, least, most)
	}
	if err != nil {
		return 0, newKeyError(key, err)
	}
	return d, nil
}
