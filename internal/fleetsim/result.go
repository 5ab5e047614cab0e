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
	Rejected     int `json:"refused"`  // jobs that were not tried again
	Rejections   int `json:"refusals"` // answers
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

// Metrics are the shares and rates that runs are compared by.
type Metrics struct {
	Value             float64 `json:"worth"`           // served in time, of that of all submitted jobs
	NetValue          float64 `json:"gain"`            // that less the price of connections, messages and waste
	CancelRate        float64 `json:"calls_off"`       // cancelled attempts, of all
	ConnectionsPerJob float64 `json:"connections_job"` // new connections
	BytesPerJob       float64 `json:"bytes_job"`
	MessagesPerJob    float64 `json:"messages_job"`
	WorstWorker       float64 `json:"worst_box"`       // the largest part of the work over the worker's part of the capacity
	WorstScheduler    float64 `json:"worst_scheduler"` // the lowest Value at a scheduler, over that of all
	MaxOverload       float64 `json:"pushed"`          // the most that a worker got while it warmed up, over what it may get
	P50MS             float64 `json:"p50_ms"`
	P99MS             float64 `json:"p99_ms"`
}

// summarize returns the result at the end of a run. Capacity is that of all workers at
// the start, in core time at speed 1.
func (sim *simulation) summarize(capacity float64) Result {
	r := &sim.result
	jobs := float64(max(1, r.Submitted))
	r.Value = r.servedValue / max(1e-9, r.submittedValue)
	r.CancelRate = float64(r.Cancelled) / float64(max(1, r.Attempts))
	r.ConnectionsPerJob, r.MessagesPerJob, r.BytesPerJob = float64(r.Connections)/jobs, float64(r.Messages)/jobs, float64(r.bytes)/jobs
	r.NetValue = r.Value - priceHandshake*r.ConnectionsPerJob - pricePeer*r.BytesPerJob/fullMessageBytes - priceWaste*r.wastedWork/max(1e-9, r.submittedWork)
	done := max(1e-9, sim.workDone())
	for i, w := range sim.workers {
		r.MaxOverload = max(r.MaxOverload, w.maxOverload())
		if sim.workerList[i].StartedAt > 0 || w.removed { // it was there for a part of the run
			continue
		}
		// Work is counted at speed 1, which takes more core time at a slow worker.
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

// workDone returns the work that workers have done, in seconds at speed 1.
func (sim *simulation) workDone() (sum float64) {
	for _, w := range sim.workers {
		sum += w.coreTime.Seconds() * w.speed
	}
	return sum
}

// Run runs every variant at every size on every seed, several at a time, and calls done with each result, in any order,
// one at a time. It returns all of them by size, variant and seed.
func Run(e *Experiment, done func(Result)) []Result {
	type one struct{ size, variant, seed int }
	var todo []one
	for size := range e.Schedulers {
		for seed := range e.Seeds {
			for v := range e.Variants {
				todo = append(todo, one{size, v, seed})
			}
		}
	}
	all := make([]Result, len(todo))
	next, mu := make(chan int), sync.Mutex{}
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := range next {
				t := todo[i]
				r := simulate(e, &e.Variants[t.variant], t.size, max(1, e.FirstSeed)+uint64(t.seed))
				mu.Lock()
				all[i] = r
				done(r)
				mu.Unlock()
			}
		})
	}
	for i := range todo {
		next <- i
	}
	close(next)
	wg.Wait()
	return all
}

// Difference is a mean over seeds and how far off it may be, at 95%.
type Difference struct{ Mean, HalfInterval float64 }

// meanOf returns the mean of some figures with its interval, by Student's t.
func meanOf(of []float64) Difference {
	n := float64(len(of))
	if n == 0 {
		return Difference{math.NaN(), math.NaN()}
	}
	mean := 0.0
	for _, x := range of {
		mean += x / n
	}
	if n < 2 {
		return Difference{mean, math.NaN()}
	}
	square := 0.0
	for _, x := range of {
		square += (x - mean) * (x - mean)
	}
	return Difference{mean, studentT(len(of)-1) * math.Sqrt(square/(n-1)/n)}
}

// studentT returns the quantile of Student's t at 97.5% for so many degrees of freedom (from the usual table, and
// the normal's beyond it).
func studentT(freedom int) float64 {
	table := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
		2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042}
	if freedom <= len(table) {
		return table[freedom-1]
	}
	return 1.96 + 2.4/float64(freedom)
}

// Compare returns how a variant's figure differs from another's on the same seeds, at a size.
func Compare(all []Result, schedulers int, variant, base string, figure func(*Result) float64) Difference {
	of := func(name string) map[uint64]float64 {
		m := map[uint64]float64{}
		for i := range all {
			if r := &all[i]; r.Variant == name && r.Schedulers == schedulers {
				m[r.Seed] = figure(r)
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
