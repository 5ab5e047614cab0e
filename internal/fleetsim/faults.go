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
		some := sim.sampleWorkersOf(f.Share)
		for i, at := range some {
			sim.after(duration*time.Duration(i)/time.Duration(len(some)), func() { sim.replaceWorker(at) })
		}
	case "slow":
		for _, at := range sim.sampleWorkersOf(f.Share) {
			sim.workers[at].speedFactor = f.Factor
			sim.after(duration, func() { sim.workers[at].speedFactor = 1 })
		}
	case "fail":
		for _, at := range sim.sampleWorkersOf(f.Share) {
			sim.workers[at].errorShare = f.Factor
			sim.after(duration, func() { sim.workers[at].errorShare = 0 })
		}
	}
}

// sampleSchedulers draws a share of the schedulers, one at least.
func (sim *simulation) sampleSchedulers(share float64) (some []*scheduler) {
	for _, i := range sim.rand.Perm(len(sim.schedulers))[:max(1, int(share*float64(len(sim.schedulers))))] {
		some = append(some, sim.schedulers[i])
	}
	return some
}

// sampleWorkersOf draws a share of the active workers, one at least, and returns their
// indexes.
func (sim *simulation) sampleWorkersOf(share float64) (some []int) {
	for _, i := range sim.rand.Perm(len(sim.workers)) {
		if sim.workerList[i].State == dispatcher.Active {
			some = append(some, i)
		}
	}
	return some[:max(1, int(share*float64(len(some))))]
}

// kill crashes a scheduler; its clients are reset.
func (s *scheduler) kill() {
	s.up = false
	s.incarnation++
	for _, j := range s.jobs {
		if !j.answered {
			s.sim.clientReset(j)
		}
	}
}

// replaceWorker has a worker drain and a new one of its kind start. The list shows both a
// little later.
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

// publishList sends an update of the list to each scheduler, with a random delay.
func (sim *simulation) publishList() {
	for _, s := range sim.schedulers {
		s.handleAfter(millis(20+180*sim.netRand.Float64()), func() { s.updateWorkers(dispatcher.UpdateDelta) })
	}
}
