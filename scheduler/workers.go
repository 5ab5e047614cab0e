package scheduler

import (
	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/upstream"
)

// onWorkerList applies a response of discovery.
func (s *Scheduler) onWorkerList(l discovery.List) {
	kind := dispatcher.UpdateDelta
	if l.Complete {
		kind = dispatcher.UpdateFull
	}
	s.updateWorkers(kind, l)
}

// onDiscoveryFailure reports a failed watch on discovery to the planners.
func (s *Scheduler) onDiscoveryFailure() { s.planners.WorkersUpdated(dispatcher.UpdateFailed, nil) }

// updateWorkers applies an update of the list of workers. The connection pool gets it first,
// since it must know every worker that a planner may choose.
func (s *Scheduler) updateWorkers(kind dispatcher.UpdateKind, l discovery.List) {
	s.workersMu.Lock()
	s.workers = s.workers.Apply(l, kind != dispatcher.UpdateDelta)
	complete := s.workers
	s.workersMu.Unlock()
	pooled := make([]upstream.Member, 0, len(l.Members))
	for _, m := range l.Members {
		pooled = append(pooled, upstream.Member{ID: m.ID, Addr: m.HostPort, Ready: m.Ready()})
	}
	s.pool.UpdateMembers(kind != dispatcher.UpdateDelta, pooled)
	names := discovery.Names{Zones: s.config.Settings.Zones, Kinds: s.config.Settings.Kinds}
	s.planners.WorkersUpdated(kind, names.WorkerInfos(l, s.clock.FromUnixMilli))
	if s.peerLink != nil {
		s.peerLink.SetWorkers(complete)
	}
}

// workerList returns the current list of workers.
func (s *Scheduler) workerList() discovery.List {
	s.workersMu.Lock()
	defer s.workersMu.Unlock()
	return s.workers
}
