package core

import (
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/jobs"
)

// collector reports the state of this scheduler at the time of a scrape.
type collector struct{ core *Core }

var (
	configVersionDesc      = prometheus.NewDesc("sedgevale_config_version", "Version of the configuration in force.", nil, nil)
	shardRecordsDesc       = prometheus.NewDesc("sedgevale_shard_records", "Records of an owned shard.", []string{"shard"}, nil)
	inSyncReplicasDesc     = prometheus.NewDesc("sedgevale_shard_replicas_in_step", "Replicas in sync with the owner.", []string{"shard"}, nil)
	pendingJobsDesc        = prometheus.NewDesc("sedgevale_queue_pending_jobs", "Unfinished jobs of which no task has run.", []string{"shard", "queue"}, nil)
	unfinishedJobsDesc     = prometheus.NewDesc("sedgevale_queue_unended_jobs", "Jobs that have not ended.", []string{"shard", "queue"}, nil)
	queueUsedDesc          = prometheus.NewDesc("sedgevale_queue_held", "Capacity allocated to the queue's runs, in workers.", []string{"shard", "queue"}, nil)
	queueDemandDesc        = prometheus.NewDesc("sedgevale_queue_wanted", "Demand of the queue's pending tasks, in workers.", []string{"shard", "queue"}, nil)
	queueLimitDesc         = prometheus.NewDesc("sedgevale_queue_sigma", "Admission limit on the capacity allocated to the queue, in workers.", []string{"shard", "queue"}, nil)
	unschedulableUnitsDesc = prometheus.NewDesc("sedgevale_queue_withheld", "Task groups that are pending although a worker has free capacity.",
		[]string{"shard", "queue", "reason"}, nil)
	workerUsedDesc  = prometheus.NewDesc("sedgevale_worker_held", "Sum of the dominant shares of the worker's runs.", []string{"shard", "worker"}, nil)
	workerLimitDesc = prometheus.NewDesc("sedgevale_worker_sigma", "Learned limit on the worker's load, in (0, 1].", []string{"shard", "worker"}, nil)
)

// Describe implements prometheus.Collector.
func (m collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		configVersionDesc, shardRecordsDesc, inSyncReplicasDesc, unfinishedJobsDesc, pendingJobsDesc, queueUsedDesc, queueDemandDesc, queueLimitDesc,
		unschedulableUnitsDesc, workerUsedDesc, workerLimitDesc,
	} {
		out <- desc
	}
}

// Collect implements prometheus.Collector.
func (m collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if state := m.core.currentConfig(); state != nil {
		gauge(configVersionDesc, float64(state.record.Version))
	}
	for _, shard := range m.core.shardInfos() {
		gauge(shardRecordsDesc, float64(shard.Records), shard.Shard)
		gauge(inSyncReplicasDesc, float64(shard.InSync), shard.Shard)
		for _, q := range shard.Queues {
			gauge(unfinishedJobsDesc, float64(q.Active), shard.Shard, q.Name)
			gauge(pendingJobsDesc, float64(q.Pending), shard.Shard, q.Name)
			gauge(queueUsedDesc, q.Allocated, shard.Shard, q.Name)
			gauge(queueDemandDesc, q.PendingDemand, shard.Shard, q.Name)
			gauge(queueLimitDesc, q.Limit, shard.Shard, q.Name)
		}
		for key, units := range countUnschedulable(shard.Unschedulable) {
			gauge(unschedulableUnitsDesc, float64(units), shard.Shard, key.queue, string(key.reason))
		}
		for _, w := range shard.Workers {
			gauge(workerUsedDesc, w.Allocated, shard.Shard, w.Ref)
			gauge(workerLimitDesc, w.LoadLimit, shard.Shard, w.Ref)
		}
	}
}

// unschedulableKey is what units that wait despite free capacity are counted by.
type unschedulableKey struct {
	queue  string
	reason jobs.UnschedulableReason
}

func countUnschedulable(units []jobs.UnschedulableGroup) map[unschedulableKey]int {
	counts := map[unschedulableKey]int{}
	for _, unit := range units {
		counts[unschedulableKey{unit.Queue, unit.Reason}]++
	}
	return counts
}
