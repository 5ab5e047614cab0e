package node

import (
	"net"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// serveMetrics serves metrics at a port; 0 stands for the last one of port_range.
func (p *Process) serveMetrics(port int) error {
	if port == 0 {
		port = p.Settings.PortRange[1]
	}
	p.metrics = prometheus.NewRegistry()
	p.Measure(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(p.metrics, promhttp.HandlerOpts{}))
	return p.Listen(net.JoinHostPort(p.Settings.IP, strconv.Itoa(port)), mux)
}

// Measure adds to what the metrics endpoint tells, where there is one.
func (p *Process) Measure(measured ...prometheus.Collector) {
	if p.metrics == nil {
		return
	}
	for _, one := range measured {
		if err := p.metrics.Register(one); err != nil {
			p.Logger.Error(err, "metrics not registered")
		}
	}
}
