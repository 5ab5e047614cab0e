//go:build review

// Command rig plays one case of the review: it starts the project's programs as separate processes on loopback addresses,
// with stand-ins for the workers, the clients and the operator, and judges only what these see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is wrapped by the error of a case in which a rule was broken.
var errBroken = errors.New("rule broken")

// caseFunc plays a case. Trouble is false for the run without the disruption.
type caseFunc func(r *rig, trouble bool) error

// maxDuration ends a case that takes too long; it then counts as not run.
const maxDuration = 112 * time.Second

// maxDuration returns maxDuration, or a longer limit for a trial with the figures of a site that no case may wait for.
func (r *rig) maxDuration() time.Duration {
	if seconds, err := strconv.Atoi(os.Getenv("TRIAL_MAX_S")); err == nil {
		return time.Duration(seconds) * time.Second
	}
	return maxDuration
}

var errTooLong = errors.New("the case took too long")

// playInTime plays a case and gives up after maxDuration.
func (r *rig) playInTime(play caseFunc, trouble bool) error {
	ended := make(chan error, 1)
	go func() { ended <- play(r, trouble) }()
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	select {
	case err := <-ended:
		return err
	case <-time.After(r.maxDuration()):
		return errTooLong
	case <-interrupted:
		return errors.New("interrupted")
	}
}

var cases = map[string]caseFunc{
	"grown-configuration": grownConfiguration, // case 1
	"many-tasks":          manyTasks,          // case 2
	"returned-replica":    returnedReplica,    // case 3
	// Beyond the three cases.
	"config-at-takeover": configAtTakeover,
	"large-shard":        largeShard,
	"large-state":        largeState,
	"moved-route":        movedRoute,
	"removed-route":      removedRoute,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE FOLDER")
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	record, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = record.Close() }()
	dir, err := os.MkdirTemp("", "sedgevale-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	r := &rig{dir: dir, site: smallSite, log: newRecorder(record), started: time.Now()}
	r.log.printf("case %s, trouble %v", os.Args[1], trouble)
	defer r.stopAll()
	err = r.playInTime(cases[os.Args[1]], trouble)
	switch {
	case errors.Is(err, errBroken):
		r.log.printf("BROKEN: %v", err)
		fmt.Println("broken:", err)
		return exitBroken
	case err != nil:
		r.log.printf("NOT RUN: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	r.log.printf("HELD")
	fmt.Println("held")
	return exitHeld
}
