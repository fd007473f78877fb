package main

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes the output of a command and keeps the first write error in err, so that a command can print line by
// line and return the error once at its end.
type printer struct {
	writer io.Writer
	err    error
}

// Write writes to the underlying writer until a write has failed.
func (p *printer) Write(data []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	var n int
	n, p.err = p.writer.Write(data)
	return n, p.err
}

func (p *printer) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(p, format, args...) // the error is kept in p.err
}

func (p *printer) println(args ...any) {
	_, _ = fmt.Fprintln(p, args...) // the error is kept in p.err
}

// table is a printer whose cells, separated by tabs, are aligned in columns.
type table struct {
	printer
	columns *tabwriter.Writer
}

// newTable returns a table that flush writes to w.
func newTable(w io.Writer) *table {
	columns := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	return &table{printer: printer{writer: columns}, columns: columns}
}

// columnGap is the minimum number of spaces between two columns of a table.
const columnGap = 2

// flush writes the buffered cells and returns the first error of the table.
func (t *table) flush() error {
	if t.err == nil {
		t.err = t.columns.Flush()
	}
	return t.err
}
