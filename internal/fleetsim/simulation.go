package fleetsim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
)

// simulation is one run of a variant on a seed.
type simulation struct {
	clock
	experiment    *Experiment
	variant       *Variant
	rand          *rand.Rand // for arrivals, work and faults; the same sequence for all variants
	netRand       *rand.Rand // for messages
	workers       []*worker
	workerIndex   map[string]int          // by worker ID
	workerList    []dispatcher.WorkerInfo // by index
	schedulers    []*scheduler
	arrivalRate   float64   // in jobs per second
	tenantQuota   float64   // sum over all tenants, in jobs per second
	trafficShares []float64 // by scheduler
	partitioned   bool      // between the two halves of the schedulers
	jobCount      int       // number of submissions so far, for job IDs

	result    Result
	latencies *hdrhistogram.Histogram
}

// job is a job that a client submitted.
type job struct {
	id            string
	class         int
	tenant        int
	slots         int
	work          time.Duration // core time at speed 1 per slot
	submittedAt   time.Duration
	deadline      time.Duration
	clientRetries int // number of earlier submissions of the same job by the client
	answered      bool
	attempts      []*attempt
}

// attempt is an attempt of a job.
type attempt struct {
	worker int // worker index
	task   *task
	ended  bool
}

// simulate runs a variant on a seed; size is an index into Experiment.Schedulers.
func simulate(e *Experiment, v *Variant, size int, seed uint64) Result {
	sim := &simulation{
		experiment:  e,
		variant:     v,
		rand:        rand.New(rand.NewPCG(seed, 1)),
		netRand:     rand.New(rand.NewPCG(seed, 2)),
		workerIndex: map[string]int{},
		latencies:   hdrhistogram.New(1, 60_000_000, 3),
	}
	sim.result = Result{Variant: v.Name, Seed: seed, Schedulers: e.Schedulers[size], Workers: e.workersAt(size)}
	capacity := 0.0
	for range sim.result.Workers {
		cores := e.Worker.Cores[sim.rand.IntN(len(e.Worker.Cores))]
		sim.addWorker(cores, uniform(sim.rand, e.Worker.Speed), 0)
		capacity += float64(cores) * sim.workers[len(sim.workers)-1].speed
	}
	sim.arrivalRate, sim.tenantQuota = e.Load*capacity/meanWorkSeconds(), quotaShare*capacity/meanWorkSeconds()
	sum := 0.0
	for range sim.result.Schedulers {
		p := math.Exp(e.Skew * sim.rand.NormFloat64())
		sim.trafficShares = append(sim.trafficShares, p)
		sum += p
	}
	for i := range sim.trafficShares {
		sim.trafficShares[i] /= sum
	}
	for i := range sim.result.Schedulers {
		sim.schedulers = append(sim.schedulers, &scheduler{sim: sim, number: i})
	}
	for _, s := range sim.schedulers {
		s.start()
	}
	for i := range e.Faults {
		f := &e.Faults[i]
		sim.after(dispatchconfig.Seconds(f.AtSeconds), func() { sim.beginFault(f) })
	}
	sim.scheduleArrival()
	sim.run(dispatchconfig.Seconds(e.LengthSeconds) + 6*time.Second)
	return sim.summarize(capacity)
}

// addWorker adds a worker that starts at a time; 0 means that its slow start is over.
func (sim *simulation) addWorker(cores int, speed float64, from time.Duration) {
	id := fmt.Sprintf("s-%08x", sim.rand.Uint32())
	w := newWorker(&sim.clock, rand.New(rand.NewPCG(sim.rand.Uint64(), 3)), &sim.experiment.Worker, cores, speed)
	w.startedAt, w.slowStart = from, from > 0
	sim.workerIndex[id] = len(sim.workers)
	sim.workerList = append(sim.workerList, dispatcher.WorkerInfo{Name: id, Cell: len(sim.workers) / 8, Weight: float64(cores), StartedAt: from})
	sim.workers = append(sim.workers, w)
}

// scheduleArrival schedules the arrival of the next job.
func (sim *simulation) scheduleArrival() {
	rate, length := sim.arrivalRate, dispatchconfig.Seconds(sim.experiment.LengthSeconds)
	if sim.now > length/3 && sim.now < 2*length/3 {
		rate *= 1 + sim.experiment.Burst
	}
	sim.after(dispatchconfig.Seconds(sim.rand.ExpFloat64()/rate), func() {
		if sim.now >= length {
			return
		}
		j, to := sim.sampleJob()
		value := classes[j.class].value
		sim.result.Submitted++
		sim.result.submittedValue += value
		sim.result.submittedWork += j.work.Seconds() * float64(j.slots)
		sim.schedulers[to].submittedValue += value
		sim.submit(j, to)
		sim.scheduleArrival()
	})
}

// sampleJob returns a random job and the index of the scheduler that receives it.
func (sim *simulation) sampleJob() (j *job, to int) {
	x, at, c := sim.rand.Float64(), sim.rand.Float64(), 0
	for c < len(classes)-1 && x >= classes[c].fraction {
		x -= classes[c].fraction
		c++
	}
	for to < len(sim.trafficShares)-1 && at >= sim.trafficShares[to] {
		at -= sim.trafficShares[to]
		to++
	}
	j = &job{class: c, slots: 1, submittedAt: sim.now, deadline: sim.now + classes[c].ClientTimeout,
		work: time.Duration(float64(classes[c].work) * math.Exp(0.5*sim.rand.NormFloat64()-0.125))}
	if sim.rand.Float64() < classes[c].twoSlotShare {
		j.slots = 2
	}
	for x := sim.rand.Float64(); j.tenant < len(tenants)-1 && x >= tenants[j.tenant].Share; j.tenant++ {
		x -= tenants[j.tenant].Share
	}
	return j, to
}

// submit sends a job to a scheduler. If that one is down, it picks a random one, up to
// three times.
func (sim *simulation) submit(j *job, to int) {
	for range 3 {
		if sim.schedulers[to].up {
			break
		}
		to = sim.netRand.IntN(len(sim.schedulers))
	}
	sim.jobCount++
	j.id = fmt.Sprint("j", sim.jobCount)
	sim.after(millis(sim.experiment.Network.OneWayMillis), func() { sim.schedulers[to].submitRequest(j) })
}

// clientServed records that a client receives its result.
func (sim *simulation) clientServed(j *job, s *scheduler) {
	latency := sim.now + millis(sim.experiment.Network.OneWayMillis) - j.submittedAt
	c := &classes[j.class]
	sim.result.Served++
	_ = sim.latencies.RecordValue(latency.Microseconds()) // all times are within the histogram's range
	if latency <= c.LatencyTarget+time.Duration(c.TargetStretch*float64(j.work)) {
		sim.result.InTime++
		sim.result.servedValue += c.value
		s.servedValue += c.value
	}
}

// clientReset records that a client's connection was reset before an answer.
func (sim *simulation) clientReset(j *job) {
	if !j.answered {
		j.answered = true
		sim.result.ClientResets++
	}
}
