//go:build review

package main

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// playCase plays the script of a case. It needs the build of deploy/system.toml and review/build-2.sh.
func playCase(t *testing.T, number string) {
	t.Helper()
	command := exec.Command("../" + number + "/run.sh")
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	err := command.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == invalid:
		t.Skip("the case could not run")
	default:
		t.Fatalf("case %s: %v", number, err)
	}
}

func TestSecondReviewUnlistedEndsRunOnce(t *testing.T) { playCase(t, "4") }

func TestSecondReviewJobsGoOnAfterRestart(t *testing.T) { playCase(t, "5") }

func TestSecondReviewOldVersionIsRejected(t *testing.T) { playCase(t, "8") }
