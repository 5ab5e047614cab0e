package jobs

import "testing"

// Incident inc1: tasks of one job run one after the other on the only worker with their label. What they leave free of it
// is enough for another job with that label, which waited for as long as the first one lasted.
func TestWorkRunsBesideWhatAWorkerIsKeptFor(t *testing.T) {
	play(t, `
	0    worker a cpu=32000 mem=131072 gpu=8 kind=a
	0    worker b cpu=32000 mem=131072 gpu=8 kind=b
	0    worker c cpu=32000 mem=131072 gpu=8 kind=b
	10   client submit large 5x cpu=15000 mem=81000 gpu=4 label=a est=5600
	20   disk commit
	20   orders a = start large.0.0.?/1
	500  worker a cpu=32000 mem=131072 gpu=8 kind=a active large.0.0.0/1
	1000 worker a cpu=32000 mem=131072 gpu=8 kind=a active large.0.0.0/1
	1000 worker b cpu=32000 mem=131072 gpu=8 kind=b
	1000 worker c cpu=32000 mem=131072 gpu=8 kind=b
	1010 client submit low 3x cpu=2800 mem=14992 gpu=1 label=a est=3000
	1020 disk commit
	1020 orders a = start low.0.0.0/1 start low.0.0.1/1 start low.0.0.2/1`)
}
