package workeragent

import (
	"slices"
	"testing"
	"time"

	"sedgevale/jobs"
)

// ranUnlisted has the worker run t1 and end it, with an end that is not listed.
const ranUnlisted = `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 500
	30   => lease start t1
	40   heartbeat S:2 a:t1
	50   => lease
	60   heartbeat S:3 F:1-500
	`

// unlistedEndScripts are the ways to a conclusion about t1 while the list of ends is truncated.
var unlistedEndScripts = map[string]string{
	"stop": ranUnlisted + `
	70   8: lease
	80   8: stop t1
	90   dropped nothing`,
	"repeated start at a worker that drains": ranUnlisted + `
	70   heartbeat S:4 F:1-500 draining
	80   8: lease
	90   8: start t1 500
	100  dropped nothing`,
	"repeated start before the worker drains": ranUnlisted + `
	70   8: lease
	80   8: start t1 500
	90   => lease
	100  heartbeat S:4 F:1-500 draining
	110  dropped nothing`,
	"repeated start before the worker deregisters": ranUnlisted + `
	70   8: lease
	80   8: start t1 500
	90   deregister
	100  dropped nothing`,
	"deregistration with the start in flight": `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 500
	30   => lease start t1
	60   heartbeat S:3 F:1-500
	70   deregister
	80   dropped nothing`,
	"start in flight at a worker that drains": `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 500
	30   => lease start t1
	60   heartbeat S:3 F:1-500 draining
	80   dropped nothing`,
	"stop by a new agent process": ranUnlisted + `
	70   restart
	80   7: lease
	90   heartbeat S:4 F:1-500
	100  7: stop t1
	110  dropped nothing
	120  heartbeat S:5 F:1-500
	130  dropped nothing`,
	"repeated start by a new agent process at a worker that drains": ranUnlisted + `
	70   restart
	80   7: lease
	90   heartbeat S:4 F:1-500 draining
	100  7: start t1 500
	110  dropped nothing`,
	"repeated start by a new agent process before the worker deregisters": ranUnlisted + `
	70   restart
	80   7: lease
	90   heartbeat S:4 F:1-500
	100  7: start t1 500
	110  => lease
	120  deregister
	130  dropped nothing`,
	"stop after the worker's lease has expired": ranUnlisted + `
	9000 check true
	9010 8: lease
	9020 heartbeat S:4 F:1-500
	9030 8: stop t1
	9040 dropped nothing`,
}

// TestUnlistedEndIsNotDropped guards against the failure of review/4: a run whose end was beyond the first 500 of a heartbeat was
// reported as never started, and its task ran again on another worker. In each script t1 has run and its end has number 501.
func TestUnlistedEndIsNotDropped(t *testing.T) {
	for name, script := range unlistedEndScripts {
		t.Run(name, func(t *testing.T) { runScript(t, script) })
	}
}

// sentBesideActive sends the worker the start of t1 while e900 is active, whose end has the number 900.
const sentBesideActive = `
	0    7: lease
	10   heartbeat S:1 a:e900
	20   7: start t1 100
	25   7: known e900 100
	30   => lease start t1
`

// TestUnlistedEndIsNotStartedAgain checks that a run that may have ended is not sent to the worker again, which would reject it and
// list one more end, and that the owner is told that it may have started.
func TestUnlistedEndIsNotStartedAgain(t *testing.T) {
	a := runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 100
	30   => lease start t1
	40   heartbeat S:2 a:t1
	50   7: start t2 100
	60   => lease start t2
	70   heartbeat S:3 F:1-500
	80   8: lease
	90   8: start t1 100
	95   8: start t2 100
	99   => lease`)
	inFlight := a.Report(90 * time.Millisecond).InFlight
	for _, task := range []string{"t1", "t2"} {
		if !slices.Contains(inFlight, jobs.RunRef{Task: task, Attempt: 1}) {
			t.Errorf("runs in flight %v, want them to contain %s", inFlight, task)
		}
	}
}

// A start whose answer was lost is sent again, and a run that never started is dropped, also while every list is truncated: an end
// that came after the answer shows that all earlier ends are listed.
func TestLostStartIsResentAlthoughListsAreTruncated(t *testing.T) {
	runScript(t, sentBesideActive+`
	40   heartbeat S:2 F:1-500 a:e900
	50   => lease
	60   heartbeat S:3 F:501-1000
	70   => lease start t1`)
	runScript(t, sentBesideActive+`
	40   heartbeat S:2 F:1-500 a:e900
	50   7: stop t1
	60   dropped nothing
	70   heartbeat S:3 F:501-1000
	80   dropped t1`)
}

// An end that may have come before the answer shows nothing, and neither does one behind a gap in the numbers.
func TestEarlierEndsDoNotShowThatAStartWasLost(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1 a:e900
	20   heartbeat S:2
	25   7: start t1 100
	30   => lease start t1
	40   heartbeat S:3 F:1-500
	50   heartbeat S:4 F:501-1000
	60   => lease
	70   7: stop t1
	80   dropped nothing`)
	runScript(t, sentBesideActive+`
	40   heartbeat S:2 F:1-500 a:e900
	60   heartbeat S:3 F:601-1100
	70   => lease
	80   7: stop t1
	90   dropped nothing`)
}
