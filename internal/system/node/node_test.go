package node

import (
	"context"
	"errors"
	"maps"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"
	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/internal/resourcequota"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
)

var errInUse = errors.New("address in use")

// newFailingProcess returns a process for which the given number of attempts to listen fail before one succeeds.
func newFailingProcess(t *testing.T, failures int) *Process {
	t.Helper()
	return NewProcess(&settings.Settings{}, logr.Discard(), rpc.DialTCP(), func(string) (net.Listener, error) {
		if failures--; failures >= 0 {
			return nil, errInUse
		}
		return new(net.ListenConfig).Listen(t.Context(), "tcp4", "127.0.0.1:0")
	})
}

func TestListenRetriesWhileTheAddressIsInUse(t *testing.T) {
	p := newFailingProcess(t, 2)
	server, err := p.ListenServer(t.Context(), "a:1", &http.Server{Handler: http.NotFoundHandler()})
	if err != nil || server.IdleTimeout != idleTimeout || server.ReadHeaderTimeout != headerTimeout {
		t.Fatalf("ListenServer returned %+v, error %v; want default timeouts and no error", server, err)
	}
	p.Close() // waits for the serving goroutine
}

func TestListenGivesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		err := newFailingProcess(t, 1000).Listen(t.Context(), "a:1", http.NotFoundHandler())
		if !errors.Is(err, errInUse) || time.Since(began) != maxBindAttempts*bindRetryInterval {
			t.Errorf("Listen returned error %v after %v", err, time.Since(began))
		}
	})
}

func TestListenStopsWithContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), bindRetryInterval*3/2)
		defer cancel()
		err := newFailingProcess(t, 1000).Listen(ctx, "a:1", http.NotFoundHandler())
		if !errors.Is(err, errInUse) || time.Since(began) != bindRetryInterval*3/2 {
			t.Errorf("Listen returned error %v after %v", err, time.Since(began))
		}
	})
}

func TestWorkerLeaseIsBounded(t *testing.T) {
	short, long := &settings.Settings{}, &settings.Settings{}
	short.Bounds.MaxLeaseMS, long.Bounds.MaxLeaseMS = 1000, 60_000
	if got := LeaseTiming(short).WorkerLease; got != time.Second {
		t.Errorf("worker lease is %v, want %v", got, time.Second)
	}
	if got := LeaseTiming(long).WorkerLease; got != maxWorkerLease {
		t.Errorf("worker lease is %v, want %v", got, maxWorkerLease)
	}
}

// The settings replace single limits of those that follow from the memory and the descriptors.
func TestQuotaLimits(t *testing.T) {
	s := &settings.Settings{Limits: settings.Limits{MemoryMB: 96, FileDescriptors: 1024}}
	derived := resourcequota.LimitsFor(96<<20, 1024)
	if got := quotaLimits(s); got != derived {
		t.Errorf("limits %+v, want those derived from the machine, %+v", got, derived)
	}
	s.ResourceQuota = settings.ResourceQuota{RequestMB: 8, ConnectionMB: 3, Connections: 7}
	if got, want := quotaLimits(s), (resourcequota.Limits{RequestBytes: 8 << 20, SmallBytes: 2 << 20, ConnectionBytes: 3 << 20, Connections: 7}); got != want {
		t.Errorf("limits %+v, want %+v", got, want)
	}
}

// The metrics of the quota have their names and values in what the endpoint serves.
func TestQuotaMetrics(t *testing.T) {
	registry := prometheus.NewRegistry()
	quota := resourcequota.New(resourcequota.Limits{RequestBytes: 5, Connections: 6})
	if err := registry.Register(quota); err != nil {
		t.Fatal(err)
	}
	families, err := registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			values[family.GetName()] += metric.GetGauge().GetValue() + metric.GetCounter().GetValue()
		}
	}
	want := map[string]float64{
		"sedgevale_quota_bytes": 0, "sedgevale_quota_bytes_limit": 5, "sedgevale_quota_connections": 0,
		"sedgevale_quota_connections_limit": 6, "sedgevale_quota_refusals_total": 0,
	}
	if !maps.Equal(values, want) {
		t.Errorf("metrics %v, want %v", values, want)
	}
}
