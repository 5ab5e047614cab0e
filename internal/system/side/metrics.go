package side

import (
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/workeragent"
)

// newDropCounter returns a counter of the runs that were reported to the owner as never started, by reason.
func newDropCounter() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sedgevale_side_dropped_runs_total", Help: "Runs reported to the shard's owner as never started.",
	}, []string{"reason"})
}

// recordDrops counts the runs that the agent has dropped since the last call, and logs one line for each reason. The caller
// holds s.mu.
func (s *Scheduler) recordDrops(w *worker) {
	byReason := map[workeragent.DropReason][]workeragent.Drop{}
	for _, drop := range w.agent.TakeDrops() {
		byReason[drop.Reason] = append(byReason[drop.Reason], drop)
	}
	for reason, drops := range byReason {
		s.drops.WithLabelValues(string(reason)).Add(float64(len(drops)))
		first := drops[0]
		s.logger.V(1).Info("runs reported as never started", "instance", w.agent.Instance, "reason", reason, "runs", len(drops),
			"first_run", first.Run, "sent_to_worker", first.SentToWorker, "listed_ends", first.ListedEnds)
	}
}
