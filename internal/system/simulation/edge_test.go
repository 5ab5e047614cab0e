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
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/edge"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

const (
	validJob    = `{"spec":"x","stages":[{"count":1,"cpu":100,"estimate_ms":100}]}`
	jobPath     = "/q/00000000000000aa"
	edgeAddress = "10.0.1.1:90"
)

// stubCore is a stub of the core scheduler that owns the shard.
type stubCore struct {
	noQuorum        atomic.Bool        // no quorum confirms the configuration
	noConfiguration atomic.Bool        // there is no configuration yet
	stop            context.CancelFunc // shuts down the edge scheduler as SIGTERM does
	submit          func() error       // result of submissions and cancellations
	status          func() error       // result of status queries
	calls           atomic.Int64       // number of calls except watches
	former          []clusterconfig.FormerRoute
}

// start serves the stub on the address of the first seed.
func (s *stubCore) start(c *cluster) *node.Process {
	h := c.network.host("10.0.0.1")
	server := rpc.NewServer()
	rpc.Handle(server, api.MethodWatch, func(ctx context.Context, r *api.WatchRequest) (*api.WatchResponse, error) {
		response := &api.WatchResponse{
			Confirmed: !s.noQuorum.Load(), ConfigVersion: 1, Owners: []api.Owner{{Shard: service, Address: "10.0.0.1:7000", Token: 1}},
			OwnersDigest: 1, Cores: []string{"10.0.0.1:7000"},
		}
		if s.noConfiguration.Load() {
			time.Sleep(time.Duration(r.WaitMS) * time.Millisecond)
			return &api.WatchResponse{Confirmed: true, Cores: response.Cores}, nil
		}
		if len(s.former) > 0 {
			response.Former, response.FormerDigest = s.former, 1
		}
		if r.ConfigVersion < 1 {
			response.Config = []byte(`{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/q/","timeout_ms":3000,` +
				`"service":"svc","retries":2}],"services":[{"name":"svc"}],"limits":{"max_body_bytes":200}}`)
			return response, nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(r.WaitMS) * time.Millisecond):
		}
		return response, nil
	})
	rpc.Handle(server, api.MethodSubmit, func(context.Context, *api.SubmitRequest) (*api.Empty, error) {
		s.calls.Add(1)
		return &api.Empty{}, s.submit()
	})
	rpc.Handle(server, api.MethodCancel, func(context.Context, *api.JobRequest) (*api.Empty, error) {
		s.calls.Add(1)
		return &api.Empty{}, s.submit()
	})
	rpc.Handle(server, api.MethodStatus, func(context.Context, *api.JobRequest) (*api.JobResponse, error) {
		s.calls.Add(1)
		return &api.JobResponse{}, s.status()
	})
	p := node.NewProcess(c.settings(&machine{name: "core0", ip: "10.0.0.1"}), logr.Discard(), h.dial, h.listen)
	if err := p.Listen(c.t.Context(), "10.0.0.1:7000", server.Handler()); err != nil {
		c.t.Fatal(err)
	}
	return p
}

// runEdgeTest runs check on an edge scheduler that uses the given stub of the core.
func runEdgeTest(t *testing.T, stub *stubCore, check func(c *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{t: t, seeds: initialSeeds, network: newNetwork(), checker: newChecker(time.Now()), machines: map[string]*machine{}, started: time.Now()}
		core := stub.start(c)
		ctx, cancel := context.WithCancel(context.Background())
		stub.stop = cancel
		h := c.network.host("10.0.1.1")
		p := node.NewProcess(c.settings(&machine{name: "edge0", ip: "10.0.1.1"}), logr.Discard(), h.dial, h.listen)
		ended := make(chan error)
		go func() { ended <- edge.Run(ctx, p) }()
		time.Sleep(time.Second)
		check(c)
		cancel()
		if err := <-ended; err != nil {
			t.Error(err)
		}
		p.Close()
		core.Close()
		time.Sleep(5 * time.Second) // until calls in flight time out
	})
}

// TestRejectionOnlyIfNotApplied checks that a submission is answered with 503 or 429 only if it cannot have been applied:
// these are rejections, after which a job never runs.
func TestRejectionOnlyIfNotApplied(t *testing.T) {
	cases := []struct {
		name string
		fail error
		want int
	}{
		{"accepted", nil, http.StatusOK},
		{"no longer the owner", result.Errorf(result.NotOwner, "no"), http.StatusServiceUnavailable},
		{"no quorum before a commit", result.Errorf(result.NotReady, "no"), http.StatusServiceUnavailable},
		{"full", result.Errorf(result.Overloaded, "no"), http.StatusTooManyRequests},
		{"a commit with unknown outcome", result.Errorf(result.OutcomeUnknown, "no"), http.StatusGatewayTimeout},
		{"a removed route", result.Errorf(result.NoRoute, "no"), http.StatusNotFound},
		{"an ID that another job has", result.Errorf(result.Conflict, "no"), http.StatusConflict},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			stub := &stubCore{submit: func() error { return tc.fail }}
			runEdgeTest(t, stub, func(c *cluster) {
				if got, _ := c.call(http.MethodPost, edgeAddress, jobPath, "h", "", validJob); got != tc.want {
					t.Errorf("status %d, want %d", got, tc.want)
				}
			})
		})
	}
}

// TestNoRejectionAfterUnknownOutcome checks that once an attempt may have been committed, the failure of a later attempt
// does not reject the job.
func TestNoRejectionAfterUnknownOutcome(t *testing.T) {
	stub := &stubCore{}
	stub.submit = func() error {
		if stub.calls.Load() == 1 {
			return result.Errorf(result.OutcomeUnknown, "no")
		}
		return result.Errorf(result.Overloaded, "no")
	}
	runEdgeTest(t, stub, func(c *cluster) {
		if got, _ := c.call(http.MethodPost, edgeAddress, jobPath, "h", "", validJob); got != http.StatusGatewayTimeout {
			t.Errorf("status %d, want %d", got, http.StatusGatewayTimeout)
		}
	})
}

// TestNoNotFoundAfterUnknownOutcome checks that the removal of the route between two attempts does not reject the job
// with 404 if the first attempt may have been committed: the job may still run.
func TestNoNotFoundAfterUnknownOutcome(t *testing.T) {
	stub := &stubCore{}
	fail := func() error {
		if stub.calls.Load() == 1 {
			return result.Errorf(result.OutcomeUnknown, "no")
		}
		return result.Errorf(result.NoRoute, "no")
	}
	stub.submit, stub.status = fail, fail
	for method, want := range map[string]int{
		http.MethodPost: http.StatusGatewayTimeout, http.MethodDelete: http.StatusGatewayTimeout, http.MethodGet: http.StatusNotFound,
	} {
		stub.calls.Store(0)
		runEdgeTest(t, stub, func(c *cluster) {
			if got, _ := c.call(method, edgeAddress, jobPath, "h", "", validJob); got != want {
				t.Errorf("%s: status %d, want %d", method, got, want)
			}
		})
	}
}

// TestNotFoundOnlyWhileConfirmed checks that 404 is returned only while a quorum confirms the configuration.
func TestNotFoundOnlyWhileConfirmed(t *testing.T) {
	stub := &stubCore{}
	runEdgeTest(t, stub, func(c *cluster) {
		if got, _ := c.call(http.MethodGet, edgeAddress, "/x/", "h", "", ""); got != http.StatusNotFound {
			t.Errorf("status %d, want %d", got, http.StatusNotFound)
		}
		stub.noQuorum.Store(true)
		time.Sleep(3 * time.Second)
		if got, _ := c.call(http.MethodGet, edgeAddress, "/x/", "h", "", ""); got != http.StatusServiceUnavailable {
			t.Errorf("status %d without confirmation by a quorum, want %d", got, http.StatusServiceUnavailable)
		}
		if got, _ := c.call(http.MethodGet, "10.0.1.1:91", "/sedgevale/readyz", "h", "", ""); got != http.StatusServiceUnavailable {
			t.Errorf("readiness status %d without confirmation by a quorum, want %d", got, http.StatusServiceUnavailable)
		}
	})
}

// TestPathsWithoutRouteBesideMergedFormerRoutes guards against a crash of the handler: with a former route of any endpoint, a path without a
// route that is none of a job was taken for a queue. It gets 404, as without former routes; jobs under unknown paths are asked for.
func TestPathsWithoutRouteBesideMergedFormerRoutes(t *testing.T) {
	noRoute := func() error { return result.Errorf(result.NoRoute, "no") }
	stub := &stubCore{submit: noRoute, status: noRoute, former: []clusterconfig.FormerRoute{{Endpoint: clusterconfig.AnyEndpoint, Service: service, Until: 1}}}
	runEdgeTest(t, stub, func(c *cluster) {
		for _, path := range []string{"/", "/x/", "/x/y", "/x/00000000000000aa"} {
			for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
				if got, text := c.call(method, edgeAddress, path, "h", "", validJob); got != http.StatusNotFound {
					t.Errorf("%s %s: status %d, want %d: %s", method, path, got, http.StatusNotFound, text)
				}
			}
		}
	})
	if calls := stub.calls.Load(); calls != 3 {
		t.Errorf("%d calls to the owner, want one for each call about a job", calls)
	}
}

// TestUnavailableBeforeFirstConfiguration checks that requests get 503, which invites a retry, and not 404 while there is
// no configuration.
func TestUnavailableBeforeFirstConfiguration(t *testing.T) {
	stub := &stubCore{}
	stub.noConfiguration.Store(true)
	runEdgeTest(t, stub, func(c *cluster) {
		for _, method := range []string{http.MethodPost, http.MethodGet, http.MethodDelete} {
			if got, _ := c.call(method, edgeAddress, jobPath, "h", "", validJob); got != http.StatusServiceUnavailable {
				t.Errorf("%s: status %d, want %d", method, got, http.StatusServiceUnavailable)
			}
		}
		if got, _ := c.call(http.MethodGet, "10.0.1.1:91", "/sedgevale/readyz", "h", "", ""); got != http.StatusServiceUnavailable {
			t.Errorf("readiness status %d without a configuration, want %d", got, http.StatusServiceUnavailable)
		}
	})
}

// TestGracefulShutdownCompletesClientRequests checks that all requests that an edge scheduler accepts, including those
// between SIGTERM and the close of its listener, get a complete response from a slow owner.
func TestGracefulShutdownCompletesClientRequests(t *testing.T) {
	stub := &stubCore{submit: func() error {
		time.Sleep(700 * time.Millisecond)
		return nil
	}}
	runEdgeTest(t, stub, func(c *cluster) {
		statuses := make(chan int)
		send := func(wait time.Duration) {
			time.Sleep(wait)
			status, _ := c.call(http.MethodPost, edgeAddress, jobPath, "h", "", validJob)
			statuses <- status
		}
		waits := []time.Duration{0, 150 * time.Millisecond, 900 * time.Millisecond, 1900 * time.Millisecond}
		for _, wait := range waits {
			go send(wait)
		}
		time.Sleep(100 * time.Millisecond)
		stub.stop()
		for range waits {
			if status := <-statuses; status != http.StatusOK {
				t.Errorf("status %d, want %d", status, http.StatusOK)
			}
		}
	})
}

func TestInvalidRequestsNameTheError(t *testing.T) {
	cases := []struct{ name, path, body, want string }{
		{"cut short", jobPath, validJob[:20], "job:"},
		{"no stages", jobPath, `{"spec":"x"}`, "stages"},
		{"zero count", jobPath, `{"stages":[{"count":0}]}`, "stages[0].count"},
		{"later step", jobPath, `{"stages":[{"count":1,"depends_on":[1]}]}`, "depends_on"},
		{"no ID", "/q/xyz", validJob, "ID"},
		{"too large", jobPath, strings.Repeat("x", 300), "200 bytes"},
	}
	stub := &stubCore{submit: func() error { return nil }}
	runEdgeTest(t, stub, func(c *cluster) {
		for _, tc := range cases {
			got, text := c.call(http.MethodPost, edgeAddress, tc.path, "h", "", tc.body)
			if got/100 != 4 || !strings.Contains(text, tc.want) {
				t.Errorf("%s: status %d, body %q; want a 4xx status and a body with %q", tc.name, got, text, tc.want)
			}
		}
	})
	if calls := stub.calls.Load(); calls != 0 {
		t.Errorf("%d invalid jobs were forwarded to the owner", calls)
	}
}
