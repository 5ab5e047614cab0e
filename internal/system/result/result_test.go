package result

import (
	"errors"
	"fmt"
	"io"
	"testing"
)

func TestErrorWrapsItsCause(t *testing.T) {
	err := Errorf(Unavailable, "call: %w", io.EOF)
	if !errors.Is(err, io.EOF) || CodeOf(fmt.Errorf("outer: %w", err)) != Unavailable {
		t.Errorf("cause or code of %v", err)
	}
	if got := err.Error(); got != "[1015] call: EOF" {
		t.Errorf("text %q", got)
	}
	if err := error(&Error{Code: NoJob, Text: "x"}); errors.Unwrap(err) != nil {
		t.Error("an error of another scheduler has a cause")
	}
}

func TestOuterCodeCounts(t *testing.T) {
	inner := Errorf(OutcomeUnknown, "inner")
	if got := CodeOf(Errorf(NotReady, "outer: %w", inner)); got != NotReady {
		t.Errorf("code %d", got)
	}
	if CodeOf(nil) != OK || CodeOf(io.EOF) != TransportFailed {
		t.Error("code of nil or of an error without one")
	}
	if !Unchanged(Errorf(NotReady, "x")) || Unchanged(inner) || Unchanged(nil) || Unchanged(io.EOF) {
		t.Error("unchanged")
	}
}
