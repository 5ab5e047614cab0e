package node

import (
	"context"
	"errors"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

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
