// Package slopes measures what a scheduler spends as its surroundings grow: the heap of a sedgevale.Dispatcher, the
// processor time of its rounds, jobs and lists, and the bytes that schedulers of a site tell each other. It drives real
// Dispatchers and real peers.Nodes over hollow workers, in virtual time and with a fixed seed, so that all but processor
// time is the same in every run. Its users are tests: a small form in CI bounds what does not hang on the machine, and
// `go test ./internal/slopes -run TestSlopes -v -args -full` prints what docs/CAPACITY-dispatcher.md quotes.
//
// Units: bytes, seconds, and shares of a core. Bytes between schedulers are those of datagrams without the 28 of UDP and IP.
// Lines are fitted by ordinary least squares (gonum's QR factorisation); the errors of coefficients are the usual ones,
// of residuals that are independent and alike.
package slopes

// Load is what surrounds a scheduler.
type Load struct {
	Workers    int
	Tenants    int
	Slots      int     // of a worker
	Schedulers int     // of the site
	Part       bool    // the scheduler keeps to its part of the workers
	JobsPerS   float64 // short ones, here
	ShortS     float64 // mean running time of those
	Running    int     // long tasks here, which do not end
	Unlearned  bool    // no task of the long class has ever ended
	Seed       uint64
}

// Target is the operators' size in two years as one of 14 schedulers meets it: 1,400 starts a second and 41,000 running
// tasks are divided evenly. What their letter leaves open is assumed: 16 slots a worker, since 41,000 tasks on 3,200 workers
// are 12.8 each, and a second for a short job.
func Target() Load {
	return Load{Workers: 3200, Tenants: 550, Slots: 16, Schedulers: 14, Part: true, JobsPerS: 100, ShortS: 1, Running: 2929, Seed: 1}
}

// The audiences that a scheduler has without other settings (scheduler.hearers and leastPart).
const (
	hearers   = 8
	leastPart = 4
)
