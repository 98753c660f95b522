package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// table prints rows in aligned columns to standard output. flush returns the first error of any write.
type table struct {
	w   *tabwriter.Writer
	err error
}

// newTable returns a table with cells aligned to the right, for numbers.
func newTable() *table {
	return &table{w: tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', tabwriter.AlignRight)}
}

// newTextTable returns a table with cells aligned to the left, for text.
func newTextTable() *table {
	return &table{w: tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)}
}

// row formats and adds a line, whose cells are separated by tabs.
func (t *table) row(format string, args ...any) {
	_, err := fmt.Fprintf(t.w, format+"\n", args...)
	t.keepError(err)
}

// header adds a line without formatting it; cells are separated by tabs.
func (t *table) header(line string) { t.row("%s", line) }

// flush prints the rows, and returns the first error of any write.
func (t *table) flush() error {
	t.keepError(t.w.Flush())
	return t.err
}

// keepError records an error if it is the first.
func (t *table) keepError(err error) {
	if t.err == nil {
		t.err = err
	}
}
