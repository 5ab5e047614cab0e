package node

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// maxScrapes is the number of answers of the metrics endpoint that are made at the same time; others get 503.
const maxScrapes = 4

// serveMetrics serves Prometheus metrics on a port. Port 0 selects the last port of port_range.
func (p *Process) serveMetrics(ctx context.Context, port int) error {
	if port == 0 {
		port = p.Settings.PortRange[1]
	}
	p.metrics = prometheus.NewRegistry()
	p.RegisterMetrics(p.quota, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.metrics, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	return p.Listen(ctx, net.JoinHostPort(p.Settings.IP, strconv.Itoa(port)), mux)
}

// RegisterMetrics registers collectors with the metrics endpoint. It does nothing if metrics are not served.
func (p *Process) RegisterMetrics(collectors ...prometheus.Collector) {
	if p.metrics == nil {
		return
	}
	for _, collector := range collectors {
		if err := p.metrics.Register(collector); err != nil {
			p.Logger.Error(err, "failed to register metrics collector; continuing without it")
		}
	}
}
