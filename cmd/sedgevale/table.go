package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// table writes rows of tab-separated cells in aligned columns. After an error it writes nothing more; flush returns the error.
type table struct {
	out *tabwriter.Writer
	err error
}

func newTable(out io.Writer) *table {
	return &table{out: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
}

// row adds a row.
func (t *table) row(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.out, format+"\n", args...)
	}
}

func (t *table) flush() error { return errors.Join(t.err, t.out.Flush()) }
