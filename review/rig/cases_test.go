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
	judge(t, "case "+number, command.Run())
}

// judge fails the test if the play ended with a broken rule, and skips it if it could not run.
func judge(t *testing.T, name string, err error) {
	t.Helper()
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == exitNotRun:
		t.Skip("the play could not run")
	default:
		t.Fatalf("%s: %v", name, err)
	}
}

// playCase plays a fault that is no case.
func playCase(t *testing.T, name string) {
	t.Helper()
	t.Chdir("../..")
	command := exec.Command("review/bin/rig", name, t.TempDir())
	command.Stdout, command.Stderr = os.Stdout, os.Stderr
	judge(t, name, command.Run())
}

func TestReviewConfigurationAbove1MiBSurvivesRestart(t *testing.T) { runScript(t, "1") }

func TestReviewJobStateAbove1MiBKeepsItsShard(t *testing.T) { runScript(t, "2") }

func TestReviewReturnedReplicaRevivesNoJob(t *testing.T) { runScript(t, "3") }

func TestReviewNewOwnerHasNewestConfiguration(t *testing.T) { playCase(t, "config-at-takeover") }

func TestReviewShardAbove32MiBIsTakenOver(t *testing.T) { playCase(t, "large-shard") }

func TestReviewMovedRouteKeepsItsJobs(t *testing.T) { playCase(t, "moved-route") }

func TestReviewRemovedRouteKeepsItsRetries(t *testing.T) { playCase(t, "removed-route") }

func TestReviewShardAbove64MiBSurvivesRestart(t *testing.T) { playCase(t, "large-state") }
