package jobs

import "testing"

// Starts are sent, jobs are visible and finished runs are acknowledged only after the change is committed.
func TestEffectsWaitForCommit(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  client j = unknown
	20  orders a = nothing
	30  disk commit
	30  client j = running
	30  orders a = start j.0.0.0/1
	60  worker a cpu=4000 active j.0.0.0/1
	200 worker a cpu=4000 end 1/j.0.0.0/1/done
	210 client j = running
	210 orders a = nothing
	220 disk commit
	220 client j = completed
	220 orders a = acked 1`)
}

// A finished run that is reported again has no effect, also after a failover, and a task that succeeded never starts again.
func TestFinishedRunsAreAppliedOnce(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 2x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1 start j.0.0.1/1
	60  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	70  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	80  disk commit
	90  failover
	100 worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	110 disk commit
	110 orders a = acked 1
	120 worker a cpu=4000 end 1/j.0.0.0/1/done end 2/j.0.0.1/1/done
	130 disk commit
	140 client j = completed`)
}

// A stage starts only after all tasks of the stages that it depends on have succeeded.
func TestStagesWaitForDependencies(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 2x cpu=500 est=100 | 1x cpu=500 est=100 after=0
	20  disk commit
	30  orders a = start j.0.0.0/1 start j.0.0.1/1
	60  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	70  disk commit
	80  orders a = acked 1
	90  worker a cpu=4000 end 2/j.0.0.1/1/done
	100 disk commit
	110 orders a = acked 2 start j.0.1.0/1`)
}

// A job fails when the failures of one task reach the queue's retries. Other outcomes do not count as failures.
func TestJobFailsAfterRetries(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000 end 1/j.0.0.0/1/failed
	40  disk commit
	50  worker a cpu=4000 end 2/j.0.0.0/2/stopped
	60  disk commit
	70  client j = running
	80  worker a cpu=4000 end 3/j.0.0.0/3/failed
	90  disk commit
	90  client j = failed
	95  orders a = acked 3`)
}

// Cancelling a job stops its active runs.
func TestCancelStopsRuns(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	40  worker a cpu=4000 active j.0.0.0/1
	50  client cancel j
	50  client j = running
	60  disk commit
	60  client j = cancelled
	70  orders a = stop j.0.0.0/1
	80  worker a cpu=4000 end 1/j.0.0.0/1/stopped
	90  disk commit
	95  orders a = acked 1`)
}

// Occurrences start at start_at_ms and at intervals after it.
func TestOccurrencesBecomeDue(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 start=1000 interval=500 repeat=2
	20   disk commit
	990  tick
	990  orders a = nothing
	990  worker a cpu=4000
	1000 tick
	1000 disk commit
	1010 orders a = start j.0.0.0/1
	1100 worker a cpu=4000 end 1/j.0.0.0/1/done
	1490 worker a cpu=4000 end 1/j.0.0.0/1/done
	1500 tick
	1500 disk commit
	1510 client j = running
	1510 orders a = acked 1 start j.1.0.0/1
	1600 worker a cpu=4000 end 2/j.1.0.0/1/done
	1610 disk commit
	1610 client j = completed`)
}

func TestLongRunningTasksRestart(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 longrunning est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	60  worker a cpu=4000 end 1/j.0.0.0/1/failed
	70  disk commit
	80  worker a cpu=4000 end 2/j.0.0.0/2/done
	90  disk commit
	100 worker a cpu=4000 end 3/j.0.0.0/3/failed
	110 disk commit
	120 client j = running
	130 orders a = acked 3 start j.0.0.0/4`)
}

// A job that is submitted again under the same ID is not run again: before the first submission is acknowledged, seconds later,
// after a failover and after the end of the job.
func TestSubmitIsIdempotent(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	15   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	40   worker a cpu=4000 active j.0.0.0/1
	3000 client submit j 1x cpu=500 est=100
	3010 disk commit
	3020 orders a = nothing
	3100 failover
	3110 client submit j 1x cpu=500 est=100
	3120 worker a cpu=4000 active j.0.0.0/1
	3130 disk commit
	3140 orders a = nothing
	3200 worker a cpu=4000 end 1/j.0.0.0/1/done
	3210 disk commit
	3215 orders a = acked 1
	3220 client j = completed
	6000 client submit j 1x cpu=500 est=100
	6010 disk commit
	6020 orders a = nothing
	6030 client j = completed`)
}

// PendingJobs counts the accepted jobs of which no task has ever run, also after a failover.
func TestPendingCountsJobsThatNeverRan(t *testing.T) {
	runScenario(t, `
	0   worker a cpu=1000
	10  client submit j 2x cpu=1000 est=100
	10  client submit k 1x cpu=1000 est=100
	10  client submit later 1x cpu=1000 est=100 start=60000
	20  disk commit
	20  pending q = 3
	50  worker a cpu=1000 inflight j.0.0.0/1
	50  pending q = 3
	90  worker a cpu=1000 active j.0.0.0/1
	90  pending q = 2
	200 worker a cpu=1000 end 1/j.0.0.0/1/failed
	200 pending q = 2
	210 disk commit
	220 failover
	220 pending q = 2
	230 worker a cpu=1000
	240 client cancel k
	240 pending q = 1
	250 worker a cpu=1000 endall done
	260 client cancel later
	260 pending q = 0`)
}
