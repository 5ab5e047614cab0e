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
		t.Errorf("error %v lost its cause or code", err)
	}
	if got := err.Error(); got != "[1015] call: EOF" {
		t.Errorf("error text %q", got)
	}
	if err := error(&Error{Code: NoJob, Text: "x"}); errors.Unwrap(err) != nil {
		t.Error("an error received from another scheduler has a cause")
	}
}

func TestCodeOfUsesOutermostError(t *testing.T) {
	inner := Errorf(OutcomeUnknown, "inner")
	if got := CodeOf(Errorf(NotReady, "outer: %w", inner)); got != NotReady {
		t.Errorf("code %d, want that of the outer error", got)
	}
	if CodeOf(nil) != OK || CodeOf(io.EOF) != TransportFailed {
		t.Error("wrong code for nil or for an error without a code")
	}
	if !NotApplied(Errorf(NotReady, "x")) || NotApplied(inner) || NotApplied(nil) || NotApplied(io.EOF) {
		t.Error("NotApplied returned a wrong value")
	}
}
