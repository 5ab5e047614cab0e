package fleetsim

import (
	"slices"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/peers"
)

// scheduler is a simulated scheduler process with a real Dispatcher and a real exchange
// of load reports with its peers. It implements [dispatcher.Host].
type scheduler struct {
	sim            *simulation
	number         int
	incarnation    int // number of starts and crashes; events of an earlier incarnation are dropped
	up             bool
	frozenUntil    time.Duration
	dispatcher     *dispatcher.Dispatcher
	peers          *peers.Node // nil if load reports are not exchanged
	jobs           map[string]*job
	idleConns      map[int][]time.Duration // by worker index: times since which connections are idle
	loadChanges    []dispatcher.WorkerLoad // reused buffer of publishLoad
	peerLoad       []dispatcher.WorkerLoad // reused buffer of applyPeerLoad
	servedValue    float64                 // value of jobs served in time
	submittedValue float64
}

// handle handles an event, or defers it to the end of a freeze.
func (s *scheduler) handle(do func()) {
	incarnation := s.incarnation
	if s.up && s.frozenUntil > s.sim.now {
		s.sim.after(s.frozenUntil-s.sim.now, func() {
			if s.incarnation == incarnation && s.up {
				s.handle(do)
			}
		})
		return
	}
	do()
	s.publishLoad()
}

// handleAfter handles an event after a delay, unless the scheduler crashes before.
func (s *scheduler) handleAfter(after time.Duration, do func()) {
	incarnation := s.incarnation
	s.sim.after(after, func() {
		if s.up && s.incarnation == incarnation {
			s.handle(do)
		}
	})
}

// start starts the scheduler without any learned state.
func (s *scheduler) start() {
	sim := s.sim
	s.incarnation++
	s.up, s.frozenUntil = true, 0
	s.jobs, s.idleConns = map[string]*job{}, map[int][]time.Duration{}
	var err error
	if s.dispatcher, err = dispatcher.New(sim.settings(), sim.rand.Uint64(), s); err != nil {
		panic(err) // the settings consist of constants and values of a validated experiment
	}
	if sim.variant.Peers {
		s.peers = peers.New(peers.Options{
			Self:           s.number,
			Members:        len(sim.schedulers),
			Site:           1,
			Generation:     uint16(s.incarnation),
			MinSubscribers: sim.variant.MinSubscribers,
			MinSubset:      sim.variant.MinSubset,
		})
		s.dispatcher.TrackLoadChanges()
		s.handleAfter(peers.TickInterval, s.tick)
	}
	s.handle(func() { s.updateWorkers(dispatcher.UpdateStale) })
}

// settings returns the settings of all schedulers.
func (sim *simulation) settings() dispatcher.Settings {
	model := &sim.experiment.Worker
	set := dispatcher.Settings{
		Dispatchers:       len(sim.schedulers),
		MaxAttempts:       6,
		AllowHedging:      true,
		AllowCancel:       true,
		StartNotified:     true,
		FIFOWorkers:       true,
		MaxRetryAfter:     2 * time.Second,
		WeightMeaning:     dispatcher.WeightSize,
		SlowStartDuration: dispatchconfig.Seconds(model.SlowStartSeconds),
		SlowStartCapacity: model.SlowStartCapacity,
		OverloadMultiple:  overloadMultiple,
		OverloadWindow:    overloadWindow,
	}
	for _, c := range classes {
		set.Classes = append(set.Classes, c.Class)
	}
	for _, t := range tenants {
		t.Quota = t.Share * sim.tenantQuota
		set.Tenants = append(set.Tenants, t)
	}
	return set
}

// updateWorkers passes the current worker list to the scheduler.
func (s *scheduler) updateWorkers(kind dispatcher.UpdateKind) {
	s.dispatcher.WorkersUpdated(s.sim.now, kind, s.sim.workerList)
	if s.peers == nil {
		return
	}
	var ids []string
	for _, m := range s.sim.workerList {
		if m.State == dispatcher.Active {
			ids = append(ids, m.Name)
		}
	}
	s.peers.SetWorkers(ids)
	s.updateSubset()
}

// updateSubset passes the subset to the Dispatcher if it has changed.
func (s *scheduler) updateSubset() {
	s.peers.TakeSubsetChange(func(subset []string, sharers int) { s.dispatcher.SetSubset(s.sim.now, subset, sharers) })
}

// tick runs the periodic work of the exchange with peers and schedules the next tick.
func (s *scheduler) tick() {
	s.peers.Tick(s.sim.now)
	s.updateSubset()
	s.applyPeerLoad()
	s.handleAfter(peers.TickInterval, s.tick)
}

// publishLoad sends changes of the scheduler's load to its peers.
func (s *scheduler) publishLoad() {
	if s.peers == nil || !s.up {
		return
	}
	s.loadChanges = s.dispatcher.AppendLoadChanges(s.loadChanges[:0])
	for _, l := range s.loadChanges {
		s.peers.SetLoad(s.sim.now, l.Worker, peers.Load{Slots: int(l.InFlight + 0.5), Waiting: l.NotStarted}, l.Saturated)
	}
	s.peers.Flush(s.sim.now, s.sendToPeer)
}

// sendToPeer sends a datagram over the lossy network.
func (s *scheduler) sendToPeer(to int, datagram []byte) {
	sim, half := s.sim, len(s.sim.schedulers)/2
	other := sim.schedulers[to]
	if !other.up || sim.netRand.Float64() < sim.variant.Loss || sim.partitioned && (s.number < half) != (to < half) {
		return
	}
	sim.result.Messages++
	sim.result.bytes += len(datagram)
	data := slices.Clone(datagram)
	other.handleAfter(millis(uniform(sim.netRand, sim.experiment.Network.PeerMillis)+sim.variant.DelayMillis), func() {
		if other.peers.Receive(sim.now, s.number, data) == nil {
			other.applyPeerLoad()
		}
	})
}

// applyPeerLoad passes changes of the peers' load to the Dispatcher.
func (s *scheduler) applyPeerLoad() {
	s.peerLoad = s.peerLoad[:0]
	s.peers.TakeLoadChanges(func(id string, slots, waiting int) {
		s.peerLoad = append(s.peerLoad, dispatcher.WorkerLoad{Worker: id, Load: dispatcher.Load{InFlight: float64(slots), NotStarted: waiting}})
	})
	if len(s.peerLoad) > 0 {
		s.dispatcher.UpdatePeerLoad(s.sim.now, s.peerLoad)
	}
}

// submitRequest accepts a job from a client, or resets the client if the scheduler is down.
func (s *scheduler) submitRequest(j *job) {
	if !s.up {
		s.sim.clientReset(j)
		return
	}
	s.handle(func() {
		j.answered, j.attempts = false, nil
		s.jobs[j.id] = j
		_ = s.dispatcher.SubmitRequest(s.sim.now, dispatcher.Request{
			ID:               j.id,
			Class:            j.class,
			Tenant:           j.tenant,
			RemainingTimeout: j.deadline - s.sim.now,
			Slots:            float64(j.slots),
			ClientRetry:      j.clientRetries > 0,
		})
	})
}
