package main

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
)

// beginSettings are the settings of a BEGIN line: one class of idempotent requests and one scheduler.
const beginSettings = "bounds.cancel=true bounds.max_attempts=3 bounds.parallel_tries=true classes.count=1 " +
	"classes.0.effect=free classes.0.hard_limit=5 classes.0.promise=0.1 discovery=push peers_total=1 weights=none"

// runTranscript runs the program on the lines of input and returns its replies, one for each batch.
func runTranscript(t *testing.T, lines ...string) ([]string, error) {
	t.Helper()
	var out bytes.Buffer
	err := run(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	var replies []string
	for part := range strings.SplitAfterSeq(out.String(), "\n") {
		if len(replies) == 0 || strings.HasPrefix(replies[len(replies)-1], "FINISHED") {
			replies = append(replies, "")
		}
		last := len(replies) - 1
		if strings.HasPrefix(part, "FINISHED") {
			replies[last] = part + replies[last]
		} else {
			replies[last] += part
		}
	}
	return replies[:len(replies)-1], err
}

// beginLines returns the lines that start an instance with one worker, a:1.
func beginLines(instance string) string {
	return "ABOUT " + instance + "\nBEGIN 7 " + beginSettings + "\nSNAPSHOT_ROWS 0 1\nITEM a:1 0 0 0 active 1 -\n" +
		"MEMBERS 1 0 stale_copy"
}

func TestEmptyBatch(t *testing.T) {
	got, err := runTranscript(t, "MARK 8.4 1", "GO", "MARK 8.5 2", "GO")
	if err != nil || fmt.Sprint(got) != "[FINISHED 1\n FINISHED 2\n]" {
		t.Errorf("%q, error %v", got, err)
	}
}

func TestRequestServed(t *testing.T) {
	got, err := runTranscript(t, "MARK 1 1", beginLines("d/1"), "GO",
		"MARK 1.01 2", "ABOUT d/1", "KNOCK r 0 - - 5 - 1 - 0", "GO",
		"MARK 1.1 3", "ABOUT d/1", "ANSWER r 0 a:1 pass 0.1 1 - -", "CLIENT_GONE r", "GO")
	if err != nil || len(got) != 3 {
		t.Fatalf("%q, error %v", got, err)
	}
	if !strings.Contains(got[1], "AT d/1\nWAKE_ME 5 ") || !strings.Contains(got[1], "ISSUE r a:1 0\n") {
		t.Errorf("reply to the request: %q", got[1])
	}
	if got[2] != "FINISHED 3\n" {
		t.Errorf("reply to the outcome: %q", got[2])
	}
}

func TestKillAndRestartInOneBatch(t *testing.T) {
	got, err := runTranscript(t, "MARK 1 1", beginLines("d/1"), "ABOUT d/1", "KNOCK r 0 - - 5 - 1 - 0", "GO",
		"MARK 2 2", "ABOUT d/1", "KILL", beginLines("d/1"), "KNOCK r 0 - - 5 - 1 - 0", "GO")
	if err != nil || len(got) != 2 || strings.Contains(got[1], "FATAL") || !strings.Contains(got[1], "ISSUE r a:1") {
		t.Errorf("%q, error %v", got, err)
	}
}

// An error in a batch is reported in a FATAL line, and the next batch is read.
func TestErrorsAreReported(t *testing.T) {
	for _, c := range []struct{ line, want string }{
		{"WAKE 1", "d/9: no such instance"},
		{"KILL 1", "more parts"},
		{"BEGIN 1 classes.count=0", "no class"},
		{"NONSENSE", `unknown message in line "NONSENSE"`},
	} {
		got, err := runTranscript(t, "MARK 1 1", "ABOUT d/9", c.line, "KNOCK x", "GO", "MARK 2 2", "GO")
		if err != nil || len(got) != 2 || !strings.Contains(got[0], "AT d/9\nFATAL ") || !strings.Contains(got[0], c.want) {
			t.Errorf("%s: %q, error %v", c.line, got, err)
		}
	}
	got, _ := runTranscript(t, "MARK 1 1", beginLines("d/1"), "ANSWER r 0 a:1 pass 0.1 1 - -", "GO")
	if !strings.Contains(got[0], "no such request") {
		t.Errorf("reply to an outcome of an unknown request: %q", got)
	}
	if _, err := runTranscript(t, "KNOCK"); err == nil {
		t.Error("run accepted an event outside a batch")
	}
}

// An instance gives the same replies whether or not it shares its process with another one.
func TestInstancesAreIndependent(t *testing.T) {
	script := func(names ...string) []string {
		lines := []string{"MARK 1 1"}
		for _, n := range names {
			lines = append(lines, beginLines(n))
		}
		lines = append(lines, "GO")
		for i := range 50 {
			lines = append(lines, fmt.Sprintf("MARK %d.5 %d", i+2, i+2))
			for _, n := range names {
				lines = append(lines, "ABOUT "+n, fmt.Sprintf("KNOCK r%d 0 - - 5 - 1 - 0", i))
			}
			lines = append(lines, "GO")
		}
		return lines
	}
	linesOf := func(replies []string, name string) string {
		var all strings.Builder
		for _, r := range replies {
			at := ""
			for line := range strings.SplitSeq(r, "\n") {
				if rest, ok := strings.CutPrefix(line, "AT "); ok {
					at = rest
				} else if at == name {
					all.WriteString(line + "\n")
				}
			}
		}
		return all.String()
	}
	both, _ := runTranscript(t, script("d/1", "d/2")...)
	alone, _ := runTranscript(t, script("d/2")...)
	if a, b := linesOf(both, "d/2"), linesOf(alone, "d/2"); a != b || len(a) < 100 {
		t.Errorf("replies of d/2 beside d/1:\n%s\nreplies of d/2 alone:\n%s", a, b)
	}
}
