//go:build review

package main

import (
	"path/filepath"
	"testing"
)

// The tests play the cases, for KNOWN-RED.txt. They need the build of deploy/system.toml.

func play(t *testing.T, name string) {
	t.Helper()
	t.Chdir("../..")
	switch status := runCase(name, filepath.Join(t.TempDir(), "record.txt"), true); status {
	case exitHeld:
	case exitNotRun:
		t.Skip("the case could not run")
	default:
		t.Errorf("case %s: exit status %d, want %d", name, status, exitHeld)
	}
}

func TestThirdReviewLargeStateSurvivesRestart(t *testing.T) { play(t, "large-state") }

func TestThirdReviewLateHeartbeatsReplaceNoLiveWorker(t *testing.T) { play(t, "late-heartbeats") }

func TestThirdReviewMovedQueueKeepsItsJobs(t *testing.T) { play(t, "moved-queue") }

func TestThirdReviewOverflowingCountIsRefused(t *testing.T) { play(t, "count-overflow") }

func TestThirdReviewCancelledJobNeverStarts(t *testing.T) { play(t, "late-submission") }

func TestThirdReviewQueuesShareNoJobs(t *testing.T) { play(t, "shared-id") }
