package fleetsim

import (
	"math"
	"runtime"
	"slices"
	"sync"
)

// Result is the result of one run.
type Result struct {
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	Schedulers int    `json:"schedulers"`
	Workers    int    `json:"boxes"`

	Submitted    int `json:"asked"` // jobs
	Served       int `json:"served"`
	InTime       int `json:"in_time"`  // served within the latency target
	Rejected     int `json:"refused"`  // jobs that ended with a rejection
	Rejections   int `json:"refusals"` // rejections sent to clients, including those that were retried
	Failed       int `json:"failed"`
	ClientResets int `json:"lost"`
	Attempts     int `json:"attempts"`
	Cancelled    int `json:"called_off"`
	Connections  int `json:"connections"`
	Messages     int `json:"messages"`

	Metrics

	submittedValue, servedValue, submittedWork, wastedWork float64
	bytes                                                  int
}

// Metrics are the normalized figures by which runs are compared.
type Metrics struct {
	Value             float64 `json:"worth"`           // value of jobs served in time, relative to the value of all submitted jobs
	NetValue          float64 `json:"gain"`            // Value minus the cost of connections, messages and wasted work
	CancelRate        float64 `json:"calls_off"`       // share of attempts that were cancelled
	ConnectionsPerJob float64 `json:"connections_job"` // new connections
	BytesPerJob       float64 `json:"bytes_job"`
	MessagesPerJob    float64 `json:"messages_job"`
	WorstWorker       float64 `json:"worst_box"`       // highest ratio of a worker's share of the work to its share of the capacity
	WorstScheduler    float64 `json:"worst_scheduler"` // lowest Value of a scheduler, relative to Value
	MaxOverload       float64 `json:"pushed"`          // highest ratio of the work that a worker received in slow start to its limit
	P50MS             float64 `json:"p50_ms"`
	P99MS             float64 `json:"p99_ms"`
}

// summarize computes the metrics at the end of a run. Capacity is the total capacity of
// the workers at the start, in cores at speed 1.
func (sim *simulation) summarize(capacity float64) Result {
	r := &sim.result
	jobs := float64(max(1, r.Submitted))
	r.Value = r.servedValue / max(1e-9, r.submittedValue)
	r.CancelRate = float64(r.Cancelled) / float64(max(1, r.Attempts))
	r.ConnectionsPerJob, r.MessagesPerJob, r.BytesPerJob = float64(r.Connections)/jobs, float64(r.Messages)/jobs, float64(r.bytes)/jobs
	r.NetValue = r.Value - handshakeCost*r.ConnectionsPerJob - peerMessageCost*r.BytesPerJob/fullMessageBytes - wastedWorkCost*r.wastedWork/max(1e-9, r.submittedWork)
	done := max(1e-9, sim.workDone())
	for i, w := range sim.workers {
		r.MaxOverload = max(r.MaxOverload, w.maxOverload())
		if sim.workerList[i].StartedAt > 0 || w.removed { // the worker was active only for a part of the run
			continue
		}
		// Work is measured at speed 1; a slower worker needs more core time for it.
		if share := w.coreTime.Seconds() * w.speed / done; share > 0 {
			r.WorstWorker = max(r.WorstWorker, share/(float64(w.cores)*w.speed/capacity))
		}
	}
	r.WorstScheduler = 1
	for _, s := range sim.schedulers {
		if s.submittedValue > 0.2*r.submittedValue/float64(len(sim.schedulers)) {
			r.WorstScheduler = min(r.WorstScheduler, s.servedValue/s.submittedValue/max(1e-9, r.Value))
		}
	}
	r.P50MS, r.P99MS = float64(sim.latencies.ValueAtQuantile(50))/1e3, float64(sim.latencies.ValueAtQuantile(99))/1e3
	return *r
}

// workDone returns the work that all workers have done, in core seconds at speed 1.
func (sim *simulation) workDone() (sum float64) {
	for _, w := range sim.workers {
		sum += w.coreTime.Seconds() * w.speed
	}
	return sum
}

// Run runs every variant at every size on every seed, several runs in parallel. It calls done with each result, in any order but
// never concurrently, and returns all results ordered by size, seed and variant.
func Run(e *Experiment, done func(Result)) []Result {
	type runSpec struct{ size, variant, seed int }
	var specs []runSpec
	for size := range e.Schedulers {
		for seed := range e.Seeds {
			for v := range e.Variants {
				specs = append(specs, runSpec{size, v, seed})
			}
		}
	}
	all := make([]Result, len(specs))
	next, mu := make(chan int), sync.Mutex{}
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				t := specs[i]
				r := simulate(e, &e.Variants[t.variant], t.size, max(1, e.FirstSeed)+uint64(t.seed))
				mu.Lock()
				all[i] = r
				done(r)
				mu.Unlock()
			}
		})
	}
	for i := range specs {
		next <- i
	}
	close(next)
	wg.Wait()
	return all
}

// Estimate is a mean over seeds with the half-width of its 95% confidence interval.
type Estimate struct{ Mean, HalfWidth float64 }

// meanOf returns the mean of some values with its confidence interval by Student's t-distribution.
func meanOf(values []float64) Estimate {
	n := float64(len(values))
	if n == 0 {
		return Estimate{math.NaN(), math.NaN()}
	}
	mean := 0.0
	for _, x := range values {
		mean += x / n
	}
	if n < 2 {
		return Estimate{mean, math.NaN()}
	}
	square := 0.0
	for _, x := range values {
		square += (x - mean) * (x - mean)
	}
	return Estimate{mean, studentT(len(values)-1) * math.Sqrt(square/(n-1)/n)}
}

// studentT returns the 97.5% quantile of Student's t-distribution for a number of degrees of freedom: from a table up to 30, and
// by an approximation based on the normal distribution's quantile beyond that.
func studentT(degrees int) float64 {
	table := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
		2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042}
	if degrees <= len(table) {
		return table[degrees-1]
	}
	return 1.96 + 2.4/float64(degrees)
}

// Compare returns the mean paired difference of a metric between a variant and a base variant on the same seeds and the same number
// of schedulers. With an empty base it returns the variant's mean.
func Compare(all []Result, schedulers int, variant, base string, metric func(*Result) float64) Estimate {
	of := func(name string) map[uint64]float64 {
		m := map[uint64]float64{}
		for i := range all {
			if r := &all[i]; r.Variant == name && r.Schedulers == schedulers {
				m[r.Seed] = metric(r)
			}
		}
		return m
	}
	a, b := of(variant), of(base)
	var seeds []uint64
	for seed := range a {
		seeds = append(seeds, seed)
	}
	slices.Sort(seeds)
	var d []float64
	for _, seed := range seeds {
		if base == "" {
			d = append(d, a[seed])
		} else {
			d = append(d, a[seed]-b[seed])
		}
	}
	return meanOf(d)
}
