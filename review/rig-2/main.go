//go:build review

// Command rig-2 plays the cases of the second independent review: it starts the project's own programs on loopback addresses,
// with stand-ins for clients, workers and the operator after the users' pages.
package main

import (
	"fmt"
	"os"
)

// The exit codes of a case.
const (
	held    = 0
	broken  = 1
	invalid = 2 // the case could not run
)

// cases are the cases by name. Trouble is false for the control run without the disruption.
var cases = map[string]func(log *record, trouble bool) int{
	"unlisted-ends": unlistedEnds,
	"refused-flood": refusedFlood,
	"stale-order":   staleOrder,
	"removed-route": removedRoute,
	"large-shard":   largeShard,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE FOLDER")
		os.Exit(invalid)
	}
	log, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(invalid)
	}
	code := cases[os.Args[1]](log, os.Getenv("TROUBLE") != "0")
	log.say("exit %d", code)
	log.close()
	os.Exit(code)
}
