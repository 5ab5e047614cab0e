//go:build review

// Command review-3 plays the scripted cases of the third review: it starts the programs of the deploy file as processes on loopback
// addresses, plays clients, workers and the operator, and checks one rule.
package main

import (
	"fmt"
	"os"
)

// Exit statuses of a case.
const (
	exitHeld   = 0 // the rule held
	exitBroken = 1 // the rule was broken
	exitNotRun = 2 // the case could not run
)

// errBroken is the result of a case whose rule was broken.
type errBroken struct{ text string }

func (e errBroken) Error() string { return e.text }

func brokenf(format string, args ...any) error { return errBroken{fmt.Sprintf(format, args...)} }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-3 CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

// runCase plays a case, writes its record and returns the exit status.
func runCase(name, recordPath string, trouble bool) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return exitNotRun
	}
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.close()
	record.note("case %s, disruption: %t", name, trouble)
	c, err := newCluster(record)
	if err == nil {
		err = play(c, trouble)
		c.stop()
	}
	switch broken, ok := err.(errBroken); {
	case ok:
		record.note("RULE BROKEN: %s", broken.text)
		return exitBroken
	case err != nil:
		record.note("could not run: %v", err)
		return exitNotRun
	}
	record.note("the rule held")
	return exitHeld
}
