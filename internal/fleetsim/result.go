package fleetsim

import (
	"math"
	"runtime"
	"slices"
	"sync"
)

// Result is what one play has come to.
type Result struct {
	Variant    string `json:"variant"`
	Seed       uint64 `json:"seed"`
	Schedulers int    `json:"schedulers"`
	Boxes      int    `json:"boxes"`

	Asked       int `json:"asked"`
	Served      int `json:"served"`
	InTime      int `json:"in_time"`
	Refused     int `json:"refused"` // for good
	Refusals    int `json:"refusals"`
	Failed      int `json:"failed"`
	Lost        int `json:"lost"`
	Attempts    int `json:"attempts"`
	CalledOff   int `json:"called_off"`
	Connections int `json:"connections"`
	Messages    int `json:"messages"`

	Figures // as shares and rates

	askedWorth, worth, askedWork, wasted float64
	bytes                                int
}

// Figures are what plays are compared by.
type Figures struct {
	Worth         float64 `json:"worth"`           // served in time, of what was asked for
	Gain          float64 `json:"gain"`            // that less what connections, messages and waste cost
	CallsOff      float64 `json:"calls_off"`       // of attempts
	ConnectionsOf float64 `json:"connections_job"` // for each job
	BytesOf       float64 `json:"bytes_job"`
	MessagesOf    float64 `json:"messages_job"`
	WorstBox      float64 `json:"worst_box"`       // its work over what its size deserves
	WorstNode     float64 `json:"worst_scheduler"` // its clients' worth, of what they asked for, over the mean
	Pushed        float64 `json:"pushed"`          // the most that a cold box got, over what it may
	P50MS         float64 `json:"p50_ms"`
	P99MS         float64 `json:"p99_ms"`
}

func (w *world) result(capacity float64) Result {
	r := &w.r
	jobs := float64(max(1, r.Asked))
	r.Worth = r.worth / max(1e-9, r.askedWorth)
	r.CallsOff = float64(r.CalledOff) / float64(max(1, r.Attempts))
	r.ConnectionsOf, r.MessagesOf, r.BytesOf = float64(r.Connections)/jobs, float64(r.Messages)/jobs, float64(r.bytes)/jobs
	r.Gain = r.Worth - priceHandshake*r.ConnectionsOf - pricePeer*r.BytesOf/fullMessage - priceWaste*r.wasted/max(1e-9, r.askedWork)
	done := max(1e-9, w.doneWork())
	for i, b := range w.boxes {
		r.Pushed = max(r.Pushed, b.pushed())
		if w.members[i].StartedAt > 0 || b.gone { // a box of a part of the day
			continue
		}
		// What a box does in a second is its cores' time: work at speed 1 takes longer at a slow one.
		if share := b.worked.Seconds() * b.speed / done; share > 0 {
			r.WorstBox = max(r.WorstBox, share/(float64(b.cores)*b.speed/capacity))
		}
	}
	r.WorstNode = 1
	for _, n := range w.nodes {
		if n.asked > 0.2*r.askedWorth/float64(len(w.nodes)) {
			r.WorstNode = min(r.WorstNode, n.worth/n.asked/max(1e-9, r.Worth))
		}
	}
	r.P50MS, r.P99MS = float64(w.times.ValueAtQuantile(50))/1e3, float64(w.times.ValueAtQuantile(99))/1e3
	return *r
}

// doneWork is the work that boxes have done, at speed 1.
func (w *world) doneWork() (sum float64) {
	for _, b := range w.boxes {
		sum += b.worked.Seconds() * b.speed
	}
	return sum
}

// Run plays every variant at every size on every seed, several at a time, and calls done with each result, in any order,
// one at a time. It returns all of them by size, variant and seed.
func Run(f *File, done func(Result)) []Result {
	type one struct{ size, variant, seed int }
	var todo []one
	for size := range f.Schedulers {
		for seed := range f.Seeds {
			for v := range f.Variants {
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
				r := play(f, &f.Variants[t.variant], t.size, max(1, f.FirstSeed)+uint64(t.seed))
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
type Difference struct{ Mean, Half float64 }

// differenceOf returns the mean of some figures with its interval, by Student's t.
func differenceOf(of []float64) Difference {
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
	return Difference{mean, student(len(of)-1) * math.Sqrt(square/(n-1)/n)}
}

// student returns the quantile of Student's t at 97.5% for so many degrees of freedom (from the usual table, and
// the normal's beyond it).
func student(freedom int) float64 {
	table := []float64{12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
		2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042}
	if freedom <= len(table) {
		return table[freedom-1]
	}
	return 1.96 + 2.4/float64(freedom)
}

// Pairs returns how a variant's figure differs from another's on the same seeds, at a size.
func Pairs(all []Result, schedulers int, variant, base string, figure func(*Result) float64) Difference {
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
	return differenceOf(d)
}
