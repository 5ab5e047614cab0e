package simulation

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/edge"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	goodJob  = `{"spec":"x","stages":[{"count":1,"cpu":100,"estimate_ms":100}]}`
	jobPath  = "/q/00000000000000aa"
	edgeAddr = "10.0.1.1:90"
)

// stubCore answers an edge scheduler like a core scheduler that owns the shard.
type stubCore struct {
	stale  atomic.Bool        // no quorum's word
	unset  atomic.Bool        // no configuration was taken yet
	stop   context.CancelFunc // ends the edge scheduler as SIGTERM does
	submit func() error
	calls  atomic.Int64
}

func (s *stubCore) start(w *world) *node.Process {
	h := w.fabric.host("10.0.0.1")
	server := rpc.NewServer()
	rpc.Handle(server, api.MethodWatch, func(ctx context.Context, r *api.WatchRequest) (*api.WatchResponse, error) {
		answer := &api.WatchResponse{
			Fresh: !s.stale.Load(), ConfigVersion: 1, Owners: []api.Owner{{Shard: service, Address: "10.0.0.1:7000", Token: 1}},
			OwnersDigest: 1, Cores: []string{"10.0.0.1:7000"},
		}
		if s.unset.Load() {
			time.Sleep(time.Duration(r.WaitMS) * time.Millisecond)
			return &api.WatchResponse{Fresh: true, Cores: answer.Cores}, nil
		}
		if r.ConfigVersion < 1 {
			answer.Config = []byte(`{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","timeout_ms":3000,` +
				`"service":"svc","retries":2}],"services":[{"name":"svc"}],"limits":{"max_body_bytes":200}}`)
			return answer, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.WaitMS) * time.Millisecond):
		}
		return answer, nil
	})
	rpc.Handle(server, api.MethodSubmit, func(context.Context, *api.SubmitRequest) (*api.Empty, error) {
		s.calls.Add(1)
		return &api.Empty{}, s.submit()
	})
	p := node.NewProcess(w.settings(&machine{name: "core0", ip: "10.0.0.1"}), logr.Discard(), h.dial, h.listen)
	if err := p.Listen(w.t.Context(), "10.0.0.1:7000", server.Handler()); err != nil {
		w.t.Fatal(err)
	}
	return p
}

// withEdge runs an edge scheduler against a stub and has check look at it.
func withEdge(t *testing.T, stub *stubCore, check func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := &world{t: t, seeds: firstSeeds, fabric: newFabric(), ledger: newLedger(time.Now()), machines: map[string]*machine{}, begun: time.Now()}
		core := stub.start(w)
		ctx, cancel := context.WithCancel(context.Background())
		stub.stop = cancel
		h := w.fabric.host("10.0.1.1")
		p := node.NewProcess(w.settings(&machine{name: "edge0", ip: "10.0.1.1"}), logr.Discard(), h.dial, h.listen)
		ended := make(chan error)
		go func() { ended <- edge.Run(ctx, p) }()
		time.Sleep(time.Second)
		check(w)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		p.Close()
		core.Close()
		time.Sleep(5 * time.Second) // calls that are still under way give up
	})
}

// Trap 1: 503 and 429 say that the job never runs, so they are given only where nothing can have been taken.
func TestAnswerIsAVerdict(t *testing.T) {
	cases := []struct {
		name string
		fail error
		want int
	}{
		{"taken", nil, http.StatusOK},
		{"not the owner any more", result.Errorf(result.NotOwner, "no"), http.StatusServiceUnavailable},
		{"no quorum before a commit", result.Errorf(result.NotReady, "no"), http.StatusServiceUnavailable},
		{"full", result.Errorf(result.Overloaded, "no"), http.StatusTooManyRequests},
		{"a commit of unknown fate", result.Errorf(result.OutcomeUnknown, "no"), http.StatusGatewayTimeout},
		{"a route that is gone", result.Errorf(result.NoRoute, "no"), http.StatusNotFound},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			stub := &stubCore{submit: func() error { return one.fail }}
			withEdge(t, stub, func(w *world) {
				if got, _ := w.call(http.MethodPost, edgeAddr, jobPath, "h", "", goodJob); got != one.want {
					t.Errorf("status %d, %d wanted", got, one.want)
				}
			})
		})
	}
}

// Once a commit may have begun, a later refusal is no verdict any more.
func TestRefusalAfterAnUnknownFateIsNone(t *testing.T) {
	stub := &stubCore{}
	stub.submit = func() error {
		if stub.calls.Load() == 1 {
			return result.Errorf(result.OutcomeUnknown, "no")
		}
		return result.Errorf(result.Overloaded, "no")
	}
	withEdge(t, stub, func(w *world) {
		if got, _ := w.call(http.MethodPost, edgeAddr, jobPath, "h", "", goodJob); got != http.StatusGatewayTimeout {
			t.Errorf("status %d", got)
		}
	})
}

// 404 is given only while a quorum confirms the configuration.
func TestNoRouteIsSaidOnlyWhileConfirmed(t *testing.T) {
	stub := &stubCore{}
	withEdge(t, stub, func(w *world) {
		if got, _ := w.call(http.MethodGet, edgeAddr, "/x/", "h", "", ""); got != http.StatusNotFound {
			t.Errorf("status %d", got)
		}
		stub.stale.Store(true)
		time.Sleep(3 * time.Second)
		if got, _ := w.call(http.MethodGet, edgeAddr, "/x/", "h", "", ""); got != http.StatusServiceUnavailable {
			t.Errorf("status %d without a quorum's word", got)
		}
		if got, _ := w.call(http.MethodGet, "10.0.1.1:91", "/sedgevale/readyz", "h", "", ""); got != http.StatusServiceUnavailable {
			t.Errorf("ready: %d without a quorum's word", got)
		}
	})
}

// Before the first configuration nothing is known of any queue: 503, which is no verdict, never 404.
func TestNoConfigurationIsNoVerdict(t *testing.T) {
	stub := &stubCore{}
	stub.unset.Store(true)
	withEdge(t, stub, func(w *world) {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			if got, _ := w.call(method, edgeAddr, jobPath, "h", "", goodJob); got != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d", method, got)
			}
		}
		if got, _ := w.call(http.MethodGet, "10.0.1.1:91", "/sedgevale/readyz", "h", "", ""); got != http.StatusServiceUnavailable {
			t.Errorf("ready: %d without a configuration", got)
		}
	})
}

// Requests that an edge scheduler reads until it stops accepting, after SIGTERM too, get their whole answer, however long
// the owner takes.
func TestPlannedEndAnswersClients(t *testing.T) {
	stub := &stubCore{submit: func() error {
		time.Sleep(700 * time.Millisecond)
		return nil
	}}
	withEdge(t, stub, func(w *world) {
		answers := make(chan int)
		send := func(wait time.Duration) {
			time.Sleep(wait)
			status, _ := w.call(http.MethodPost, edgeAddr, jobPath, "h", "", goodJob)
			answers <- status
		}
		waits := []time.Duration{0, 150 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond}
		for _, wait := range waits {
			go send(wait)
		}
		time.Sleep(100 * time.Millisecond)
		stub.stop()
		for range waits {
			if status := <-answers; status != http.StatusOK {
				t.Errorf("status %d", status)
			}
		}
	})
}

func TestBadRequestsAreNamed(t *testing.T) {
	cases := []struct{ name, path, body, want string }{
		{"cut short", jobPath, goodJob[:20], "job:"},
		{"no stages", jobPath, `{"spec":"x"}`, "stages"},
		{"zero count", jobPath, `{"stages":[{"count":0}]}`, "stages[0].count"},
		{"later step", jobPath, `{"stages":[{"count":1,"depends_on":[1]}]}`, "depends_on"},
		{"no ID", "/q/xyz", goodJob, "ID"},
		{"too large", jobPath, strings.Repeat("x", 300), "200 bytes"},
	}
	stub := &stubCore{submit: func() error { return nil }}
	withEdge(t, stub, func(w *world) {
		for _, one := range cases {
			got, text := w.call(http.MethodPost, edgeAddr, one.path, "h", "", one.body)
			if got/100 != 4 || !strings.Contains(text, one.want) {
				t.Errorf("%s: %d %s", one.name, got, text)
			}
		}
	})
	if calls := stub.calls.Load(); calls != 0 {
		t.Errorf("%d bad jobs reached the owner", calls)
	}
}
