package fleetsim

import (
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
)

// beginFault begins a fault and schedules its end.
func (sim *simulation) beginFault(f *Fault) {
	duration := dispatchconfig.Seconds(f.ForSeconds)
	switch f.Kind {
	case "kill":
		for _, s := range sim.sampleSchedulers(f.Share) {
			s.kill()
			sim.after(duration, s.start)
		}
	case "freeze":
		for _, s := range sim.sampleSchedulers(f.Share) {
			s.frozenUntil = sim.now + duration
		}
	case "split":
		sim.partitioned = true
		sim.after(duration, func() { sim.partitioned = false })
	case "replace":
		indexes := sim.sampleWorkers(f.Share)
		for i, at := range indexes {
			sim.after(duration*time.Duration(i)/time.Duration(len(indexes)), func() { sim.replaceWorker(at) })
		}
	case "slow":
		for _, at := range sim.sampleWorkers(f.Share) {
			sim.workers[at].speedFactor = f.Factor
			sim.after(duration, func() { sim.workers[at].speedFactor = 1 })
		}
	case "fail":
		for _, at := range sim.sampleWorkers(f.Share) {
			sim.workers[at].errorShare = f.Factor
			sim.after(duration, func() { sim.workers[at].errorShare = 0 })
		}
	}
}

// sampleSchedulers returns a random share of the schedulers, at least one.
func (sim *simulation) sampleSchedulers(share float64) (sampled []*scheduler) {
	for _, i := range sim.rand.Perm(len(sim.schedulers))[:max(1, int(share*float64(len(sim.schedulers))))] {
		sampled = append(sampled, sim.schedulers[i])
	}
	return sampled
}

// sampleWorkers returns the indexes of a random share of the active workers, at least
// one.
func (sim *simulation) sampleWorkers(share float64) (indexes []int) {
	for _, i := range sim.rand.Perm(len(sim.workers)) {
		if sim.workerList[i].State == dispatcher.Active {
			indexes = append(indexes, i)
		}
	}
	return indexes[:max(1, int(share*float64(len(indexes))))]
}

// kill crashes a scheduler and resets its clients' connections.
func (s *scheduler) kill() {
	s.up = false
	s.incarnation++
	for _, j := range s.jobs {
		if !j.answered {
			s.sim.clientReset(j)
		}
	}
}

// replaceWorker drains a worker and starts a new one with the same cores and speed. The
// old worker is removed 6 s later. Schedulers learn of the changes with a delay.
func (sim *simulation) replaceWorker(at int) {
	old := sim.workers[at]
	sim.workerList[at].State = dispatcher.Draining
	sim.addWorker(old.cores, old.speed, sim.now)
	sim.publishList()
	sim.after(6*time.Second, func() {
		sim.workerList[at].State = dispatcher.Removed
		old.removed = true
		sim.publishList()
	})
}

// publishList sends an update of the worker list to each scheduler, with a random delay
// of 20 to 200 ms.
func (sim *simulation) publishList() {
	for _, s := range sim.schedulers {
		s.handleAfter(millis(20+180*sim.netRand.Float64()), func() { s.updateWorkers(dispatcher.UpdateDelta) })
	}
}
