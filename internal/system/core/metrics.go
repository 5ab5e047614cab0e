package core

import (
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/jobs"
)

// collector tells a metrics endpoint how this scheduler stands at the time of a scrape.
type collector struct{ core *Core }

var (
	describeConfig  = prometheus.NewDesc("sedgevale_config_version", "Version of the configuration in force.", nil, nil)
	describeRecords = prometheus.NewDesc("sedgevale_shard_records", "Records of an owned shard.", []string{"shard"}, nil)
	describeInStep  = prometheus.NewDesc("sedgevale_shard_replicas_in_step", "Replicas that take writes.", []string{"shard"}, nil)
	describePending = prometheus.NewDesc("sedgevale_queue_pending_jobs", "Jobs of which no task has begun.", []string{"shard", "queue"}, nil)
	describeUnended = prometheus.NewDesc("sedgevale_queue_unended_jobs", "Jobs that have not ended.", []string{"shard", "queue"}, nil)
	describeHeld    = prometheus.NewDesc("sedgevale_queue_held", "Parts of workers that run for the queue.", []string{"shard", "queue"}, nil)
	describeWanted  = prometheus.NewDesc("sedgevale_queue_wanted", "Parts of workers that the queue waits for.", []string{"shard", "queue"}, nil)
	describeSigma   = prometheus.NewDesc("sedgevale_queue_sigma", "Admission limit on what is held.", []string{"shard", "queue"}, nil)
	describeWaiting = prometheus.NewDesc("sedgevale_queue_withheld", "Units that wait beside room for them.",
		[]string{"shard", "queue", "reason"}, nil)
	describeLoad  = prometheus.NewDesc("sedgevale_worker_held", "Part of the worker that runs take.", []string{"shard", "worker"}, nil)
	describeLimit = prometheus.NewDesc("sedgevale_worker_sigma", "Learned limit of the worker.", []string{"shard", "worker"}, nil)
)

// Describe names the metrics.
func (m collector) Describe(out chan<- *prometheus.Desc) {
	for _, one := range []*prometheus.Desc{
		describeConfig, describeRecords, describeInStep, describeUnended, describePending, describeHeld, describeWanted, describeSigma,
		describeWaiting, describeLoad, describeLimit,
	} {
		out <- one
	}
}

// Collect tells their values.
func (m collector) Collect(out chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value float64, labels ...string) {
		out <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, labels...)
	}
	if state := m.core.currentConfig(); state != nil {
		gauge(describeConfig, float64(state.record.Version))
	}
	for _, shard := range m.core.shards() {
		gauge(describeRecords, float64(shard.Records), shard.Shard)
		gauge(describeInStep, float64(shard.InStep), shard.Shard)
		for _, q := range shard.Queues {
			gauge(describeUnended, float64(q.Unended), shard.Shard, q.Name)
			gauge(describePending, float64(q.Pending), shard.Shard, q.Name)
			gauge(describeHeld, q.Held, shard.Shard, q.Name)
			gauge(describeWanted, q.Wanted, shard.Shard, q.Name)
			gauge(describeSigma, q.Sigma, shard.Shard, q.Name)
		}
		for key, units := range countWithheld(shard.Waiting) {
			gauge(describeWaiting, float64(units), shard.Shard, key.queue, string(key.reason))
		}
		for _, w := range shard.Workers {
			gauge(describeLoad, w.Held, shard.Shard, w.Ref)
			gauge(describeLimit, w.Sigma, shard.Shard, w.Ref)
		}
	}
}

// withheldKey is what units that wait beside room are counted by.
type withheldKey struct {
	queue  string
	reason jobs.Reason
}

func countWithheld(waiting []jobs.Withheld) map[withheldKey]int {
	counts := map[withheldKey]int{}
	for _, one := range waiting {
		counts[withheldKey{one.Queue, one.Reason}]++
	}
	return counts
}
