package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// table prints rows in aligned columns. It keeps the first write error, which flush returns.
type table struct {
	w   *tabwriter.Writer
	err error
}

// newTable returns a table whose columns are as wide as their cells, with two spaces between them.
func newTable(out io.Writer) *table {
	const padding = 2
	return &table{w: tabwriter.NewWriter(out, 0, 0, padding, ' ', 0)}
}

// row adds a row, in which tabs separate the cells. After an error it does nothing.
func (t *table) row(format string, cells ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.w, format+"\n", cells...)
	}
}

// flush writes the table to its output.
func (t *table) flush() error {
	if t.err != nil {
		return t.err
	}
	return t.w.Flush()
}
