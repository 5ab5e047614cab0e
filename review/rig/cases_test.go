//go:build review

package main

import (
	"errors"
	"os"
	"os/exec"
	"testing"
)

// runScript plays the script of a case. It needs the build of deploy/system.toml and review/build.sh.
func runScript(t *testing.T, number string) {
	t.Helper()
	command := exec.Command("../" + number + "/run.sh")
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	err := command.Run()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == exitNotRun:
		t.Skip("the case could not run")
	default:
		t.Fatalf("case %s: %v; see review/%s/record.txt", number, err, number)
	}
}

func TestReviewConfigurationAbove1MiBSurvivesRestart(t *testing.T) { runScript(t, "1") }

func TestReviewShardAbove32MiBIsTakenOver(t *testing.T) { runScript(t, "2") }

func TestReviewMovedRouteKeepsItsJobs(t *testing.T) { runScript(t, "3") }
