package main

import (
	"fmt"
	"os"
	"text/tabwriter"
)

// table prints rows in aligned columns to standard output. The first error of writing is kept for flush.
type table struct {
	w   *tabwriter.Writer
	err error
}

// newTable begins a table of numbers, which are aligned to the right.
func newTable() *table {
	return &table{w: tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', tabwriter.AlignRight)}
}

// newTextTable begins a table of words, which are aligned to the left.
func newTextTable() *table {
	return &table{w: tabwriter.NewWriter(os.Stdout, 2, 8, 2, ' ', 0)}
}

// row adds a line; tabs stand between its cells.
func (t *table) row(format string, args ...any) {
	_, err := fmt.Fprintf(t.w, format+"\n", args...)
	t.keepError(err)
}

// head adds a line that is taken as it is.
func (t *table) header(line string) { t.row("%s", line) }

// flush prints what was added, and returns the first error of all.
func (t *table) flush() error {
	t.keepError(t.w.Flush())
	return t.err
}

func (t *table) keepError(err error) {
	if t.err == nil {
		t.err = err
	}
}
