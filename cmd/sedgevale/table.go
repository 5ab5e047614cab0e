package main

import (
	"errors"
	"fmt"
	"io"
	"text/tabwriter"
)

// table writes rows whose cells, separated by tabs, are aligned. The first error ends the output and is returned by flush.
type table struct {
	out *tabwriter.Writer
	err error
}

func newTable(out io.Writer) *table {
	return &table{out: tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
}

func (t *table) row(format string, args ...any) {
	if t.err == nil {
		_, t.err = fmt.Fprintf(t.out, format+"\n", args...)
	}
}

func (t *table) flush() error { return errors.Join(t.err, t.out.Flush()) }
