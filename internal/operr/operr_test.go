package operr

import (
	"bytes"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"
)

type fullError struct{ code string }

func (e *fullError) Error() string  { return "the disk is full" }
func (e *fullError) Code() string   { return e.code }
func (e *fullError) Remedy() string { return "make place on it" }

func TestRemedyIsFoundInWrappedErrors(t *testing.T) {
	err := fmt.Errorf("writing: %w", &fullError{"test.full"})
	if got := Remedy(err); got != "make place on it" {
		t.Errorf("got remedy %q", got)
	}
	if got := Remedy(errors.New("plain")); got != "" {
		t.Errorf("got remedy %q of an error without one", got)
	}
}

func TestAttrsContainCodeAndRemedy(t *testing.T) {
	var out bytes.Buffer
	log := slog.New(slog.NewTextHandler(&out, nil))
	log.Error("failed", Attrs(&fullError{"test.full"}))
	log.Error("failed", Attrs(errors.New("plain")))
	lines := strings.Split(out.String(), "\n")
	if !strings.HasSuffix(lines[0], `err="the disk is full" code=test.full do="make place on it"`) {
		t.Error(lines[0])
	}
	if !strings.HasSuffix(lines[1], "err=plain") {
		t.Error(lines[1])
	}
}

func TestDuplicateCodePanics(t *testing.T) {
	Register(&fullError{"test.second"})
	defer func() {
		if recover() == nil {
			t.Error("registering a code twice did not panic")
		}
	}()
	Register(&fullError{"test.second"})
}
