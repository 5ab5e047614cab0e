package jobs

import (
	"fmt"
	"testing"
)

// An overdue task of a queue at its limit is placed in capacity that the queues of higher priority cannot use.
func TestOverdueTaskUsesIdleCapacity(t *testing.T) {
	runScenario(t, `
	0    worker a cpu=32000 gpu=8
	0    worker b cpu=32000 gpu=8 kind=z
	10   client submit low1 1x cpu=1000 gpu=1 est=60000 label=k
	11   client submit large 20x cpu=15000 gpu=7 est=60000
	20   disk commit
	20   orders a = start large.0.0.0/1 start low1.0.0.0/1
	20   orders b = start large.0.0.1/1
	100  worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	100  worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	200  tick
	210  client submit low2 1x cpu=1000 gpu=1 est=60000
	220  disk commit
	900  worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	900  worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	900  tick
	900  client low2 = queued
	1800 worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	1800 worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	1800 tick
	1810 disk commit
	1810 orders b = start low2.0.0.0/1`)
}

// Under load a task at its queue's limit waits longer, but only until minOverdueWaitUnderLoad.
func TestOverdueTaskWaitsLongerUnderLoad(t *testing.T) {
	const reports = `
	%[1]d worker a cpu=32000 gpu=8 active large.0.0.0/1 active low1.0.0.0/1
	%[1]d worker b cpu=32000 gpu=8 kind=z active large.0.0.1/1
	%[1]d tick`
	rows := `
	0    worker a cpu=32000 gpu=8
	0    worker b cpu=32000 gpu=8 kind=z
	10   client submit low1 1x cpu=1000 gpu=1 est=60000 label=k
	11   client submit large 20x cpu=25000 gpu=7 est=60000
	20   disk commit
	20   orders a = start large.0.0.0/1 start low1.0.0.0/1
	20   orders b = start large.0.0.1/1` + fmt.Sprintf(reports, 100) + `
	210  client submit low2 1x cpu=1000 gpu=1 est=60000
	220  disk commit`
	for ms := 600; ms <= 6000; ms += 600 {
		rows += fmt.Sprintf(reports, ms)
	}
	rows += `
	6010 disk commit
	6010 orders b = nothing` + fmt.Sprintf(reports, 6300) + `
	6310 disk commit
	6310 orders b = start low2.0.0.0/1`
	runScenario(t, rows)
}
