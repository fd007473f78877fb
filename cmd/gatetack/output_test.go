package main

import (
	"errors"
	"strings"
	"testing"
)

var errDiskFull = errors.New("no space left on device")

// limitedWriter fails when more than capacity bytes would be written.
type limitedWriter struct {
	strings.Builder
	capacity int
}

func (w *limitedWriter) Write(data []byte) (int, error) {
	if w.Len()+len(data) > w.capacity {
		return 0, errDiskFull
	}
	return w.Builder.Write(data)
}

func TestPrinterKeepsFirstWriteError(t *testing.T) {
	target := &limitedWriter{capacity: 4}
	out := printer{writer: target}
	out.println("one")
	out.println("two")
	target.capacity = 100
	out.printf("%s\n", "three")
	if !errors.Is(out.err, errDiskFull) {
		t.Errorf("error %v, want %v", out.err, errDiskFull)
	}
	if got := target.String(); got != "one\n" {
		t.Errorf("wrote %q, want only the output before the failure", got)
	}
}

func TestTableAlignsColumnsAndReportsFailedFlush(t *testing.T) {
	target := &limitedWriter{capacity: 100}
	rows := newTable(target)
	rows.println("ID\tSTATE")
	rows.println("n0-17\tDONE")
	if err := rows.flush(); err != nil || target.String() != "ID     STATE\nn0-17  DONE\n" {
		t.Errorf("flush error %v, wrote %q", err, target.String())
	}
	rows = newTable(&limitedWriter{capacity: 4})
	rows.println("ID\tSTATE")
	if err := rows.flush(); !errors.Is(err, errDiskFull) {
		t.Errorf("error %v, want %v", err, errDiskFull)
	}
}
