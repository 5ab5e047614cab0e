package fleetsim

import (
	"time"

	"sedgevale/dispatcher"
)

// classes are the job classes. The names of classes and tenants do not influence a run.
var classes = []struct {
	dispatcher.Class
	value        float64       // value of a job served in time
	fraction     float64       // share of all jobs
	work         time.Duration // mean core time at speed 1 per slot
	twoSlotShare float64       // share of jobs that take two slots
}{
	{
		Class: dispatcher.Class{Name: "idempotent", Idempotency: dispatcher.Idempotent,
			LatencyTarget: 100 * time.Millisecond, TargetStretch: 1.75, ClientTimeout: 5 * time.Second},
		value: 1, fraction: 0.44, work: 200 * time.Millisecond,
	},
	{
		Class: dispatcher.Class{Name: "at-most-once", Idempotency: dispatcher.NotIdempotent,
			LatencyTarget: 100 * time.Millisecond, TargetStretch: 2.5, ClientTimeout: 5 * time.Second},
		value: 3, fraction: 0.31, work: 100 * time.Millisecond, twoSlotShare: 0.25,
	},
	{
		Class: dispatcher.Class{Name: "idempotent-by-key", Idempotency: dispatcher.IdempotentByKey, DedupScope: dispatcher.DedupCell, DedupWindow: 7500 * time.Millisecond,
			LatencyTarget: 100 * time.Millisecond, TargetStretch: 2.5, ClientTimeout: 5 * time.Second},
		value: 10, fraction: 0.25, work: 100 * time.Millisecond, twoSlotShare: 0.25,
	},
}

// tenants are the tenants with their quota shares.
var tenants = []dispatcher.Tenant{
	{Name: "a", Share: 0.30},
	{Name: "b", Share: 0.19},
	{Name: "c", Share: 0.18},
	{Name: "d", Share: 0.13},
	{Name: "e", Share: 0.11},
	{Name: "f", Share: 0.09},
}

// quotaShare is the sum of the tenants' quotas as a share of the total capacity.
const quotaShare = 0.79

// Costs, as shares of the value of all submitted jobs.
const (
	handshakeCost    = 0.02  // of one new connection per job
	peerMessageCost  = 0.01  // of one full message per job
	wastedWorkCost   = 0.043 // of as much wasted work as submitted work
	fullMessageBytes = 256
)

// meanWorkSeconds returns the mean work of a job in slot seconds at speed 1.
func meanWorkSeconds() (sum float64) {
	for _, c := range classes {
		sum += c.fraction * c.work.Seconds() * (1 + c.twoSlotShare)
	}
	return sum
}
