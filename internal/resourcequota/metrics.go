package resourcequota

import "github.com/prometheus/client_golang/prometheus"

// The metrics of a Quota.
var (
	bytesMetric      = prometheus.NewDesc("sedgevale_quota_bytes", "Memory held for requests and large answers, in bytes.", nil, nil)
	bytesLimitMetric = prometheus.NewDesc("sedgevale_quota_bytes_limit",
		"Limit of the memory held for requests and large answers, in bytes.", nil, nil)
	connectionsMetric      = prometheus.NewDesc("sedgevale_quota_connections", "Open connections.", nil, nil)
	connectionsLimitMetric = prometheus.NewDesc("sedgevale_quota_connections_limit", "Limit of the open connections.", nil, nil)
	refusalsMetric         = prometheus.NewDesc("sedgevale_quota_refusals_total",
		"Requests and connections for which there was no room, by what became of them.", []string{"reason"}, nil)
)

// Describe implements prometheus.Collector.
func (q *Quota) Describe(descriptions chan<- *prometheus.Desc) {
	prometheus.DescribeByCollect(q, descriptions)
}

// Collect implements prometheus.Collector.
func (q *Quota) Collect(metrics chan<- prometheus.Metric) {
	usage := q.Usage()
	gauges := map[*prometheus.Desc]float64{
		bytesMetric: float64(usage.Bytes), bytesLimitMetric: float64(usage.Limits.RequestBytes),
		connectionsMetric: float64(usage.Connections), connectionsLimitMetric: float64(usage.Limits.Connections),
	}
	for description, value := range gauges {
		metrics <- prometheus.MustNewConstMetric(description, prometheus.GaugeValue, value)
	}
	refusals := map[string]uint64{
		"busy": usage.Refused, "stalled": usage.Stalled, "connection_evicted": usage.Evicted, "connection_turned_away": usage.TurnedAway,
	}
	for reason, count := range refusals {
		metrics <- prometheus.MustNewConstMetric(refusalsMetric, prometheus.CounterValue, float64(count), reason)
	}
}
