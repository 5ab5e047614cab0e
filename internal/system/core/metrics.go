package core

import (
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/jobs"
)

// collector exports the state of a core scheduler, which it reads on each scrape.
type collector struct{ core *Core }

var (
	configVersionDesc       = prometheus.NewDesc("sedgevale_config_version", "Version of the configuration in force.", nil, nil)
	shardRecordsDesc        = prometheus.NewDesc("sedgevale_shard_records", "Records of an owned shard.", []string{"shard"}, nil)
	inSyncReplicasDesc      = prometheus.NewDesc("sedgevale_shard_replicas_in_step", "Replicas in sync with the owner.", []string{"shard"}, nil)
	cancellationsDesc       = prometheus.NewDesc("sedgevale_shard_cancellations", "Remembered cancellations of unknown jobs of an owned shard.", []string{"shard"}, nil)
	formerRoutesDesc        = prometheus.NewDesc("sedgevale_config_former_routes", "Former routes whose jobs may still be known.", nil, nil)
	pendingJobsDesc         = prometheus.NewDesc("sedgevale_queue_pending_jobs", "Unfinished jobs of which no task has run.", []string{"shard", "queue"}, nil)
	unfinishedJobsDesc      = prometheus.NewDesc("sedgevale_queue_unended_jobs", "Jobs that have not ended.", []string{"shard", "queue"}, nil)
	queueAllocatedDesc      = prometheus.NewDesc("sedgevale_queue_held", "Capacity allocated to the queue's runs, in workers.", []string{"shard", "queue"}, nil)
	queueDemandDesc         = prometheus.NewDesc("sedgevale_queue_wanted", "Demand of the queue's pending tasks, in workers.", []string{"shard", "queue"}, nil)
	queueLimitDesc          = prometheus.NewDesc("sedgevale_queue_sigma", "Admission limit on the capacity allocated to the queue, in workers.", []string{"shard", "queue"}, nil)
	unschedulableGroupsDesc = prometheus.NewDesc("sedgevale_queue_withheld", "Task groups that are pending although a worker has free capacity.",
		[]string{"shard", "queue", "reason"}, nil)
	workerAllocatedDesc = prometheus.NewDesc("sedgevale_worker_held", "Sum of the dominant shares of the worker's runs.", []string{"shard", "worker"}, nil)
	workerLimitDesc     = prometheus.NewDesc("sedgevale_worker_sigma", "Learned limit on the worker's load, in (0, 1].", []string{"shard", "worker"}, nil)
)

// Describe implements prometheus.Collector.
func (m collector) Describe(out chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{
		configVersionDesc, formerRoutesDesc, cancellationsDesc, shardRecordsDesc, inSyncReplicasDesc, unfinishedJobsDesc, pendingJobsDesc, queueAllocatedDesc, queueDemandDesc, queueLimitDesc,
		unschedulableGroupsDesc, workerAllocatedDesc, workerLimitDesc,
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
		gauge(formerRoutesDesc, float64(len(state.record.Former)))
	}
	for shard, cancellations := range m.core.cancellationCounts() {
		gauge(cancellationsDesc, float64(cancellations), shard)
	}
	for _, shard := range m.core.shardInfos() {
		gauge(shardRecordsDesc, float64(shard.Records), shard.Shard)
		gauge(inSyncReplicasDesc, float64(shard.InSync), shard.Shard)
		for _, q := range shard.Queues {
			gauge(unfinishedJobsDesc, float64(q.Active), shard.Shard, q.Name)
			gauge(pendingJobsDesc, float64(q.Pending), shard.Shard, q.Name)
			gauge(queueAllocatedDesc, q.Allocated, shard.Shard, q.Name)
			gauge(queueDemandDesc, q.PendingDemand, shard.Shard, q.Name)
			gauge(queueLimitDesc, q.Limit, shard.Shard, q.Name)
		}
		for key, groups := range countUnschedulable(shard.Unschedulable) {
			gauge(unschedulableGroupsDesc, float64(groups), shard.Shard, key.queue, string(key.reason))
		}
		for _, w := range shard.Workers {
			gauge(workerAllocatedDesc, w.Allocated, shard.Shard, w.Ref)
			gauge(workerLimitDesc, w.LoadLimit, shard.Shard, w.Ref)
		}
	}
}

// cancellationCounts returns the number of remembered cancellations of each owned shard.
func (c *Core) cancellationCounts() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := map[string]int{}
	for name, o := range c.owners {
		o.mu.Lock()
		counts[name] = o.scheduler.Cancellations()
		o.mu.Unlock()
	}
	return counts
}

// unschedulableKey holds the labels by which unschedulable task groups are counted.
type unschedulableKey struct {
	queue  string
	reason jobs.UnschedulableReason
}

func countUnschedulable(groups []jobs.UnschedulableGroup) map[unschedulableKey]int {
	counts := map[unschedulableKey]int{}
	for _, group := range groups {
		counts[unschedulableKey{group.Queue, group.Reason}]++
	}
	return counts
}
