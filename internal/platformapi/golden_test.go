package platformapi_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/platformapi"
	"sedgevale/internal/testkit"
)

// goldenPlanners answers each job with the entry of goldenAnswers for its ID.
type goldenPlanners struct{}

// goldenAnswers holds the answers by job ID.
var goldenAnswers = map[string]dispatchdriver.Response{
	"served":       {Kind: dispatchdriver.Served, Result: []byte("the result\x00")},
	"refused":      {Kind: dispatchdriver.Rejected, RetryAfter: 1500 * time.Millisecond, Reason: "too much to do"},
	"refused-bare": {Kind: dispatchdriver.Rejected, Reason: "no worker"},
	"failed":       {Kind: dispatchdriver.Failed, Reason: "the worker failed", MayHaveRun: true},
}

func (goldenPlanners) SubmitRequest(x *dispatchdriver.Exchange) {
	x.WrapClient(func(client dispatchdriver.Client) dispatchdriver.Client {
		client.Started()
		client.Progress(0.5)
		client.Respond(goldenAnswers[x.ID])
		return client
	})
}

func (goldenPlanners) ClientDisconnected(*dispatchdriver.Exchange) {}

// exchange sends the bytes of a request on a new connection and returns the bytes of the response.
func exchange(t *testing.T, addr, request string) string {
	t.Helper()
	var dialer net.Dialer
	c, err := dialer.DialContext(t.Context(), "tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if err := c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, request); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(response)
}

// post returns a request for a job with additional header fields and a body of two bytes.
func post(path, id, fields string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: %s\r\nRequest-Timeout: 9000m\r\n%sContent-Length: 2\r\n\r\nhi",
		path, id, fields)
}

// Tests that the responses of the platform's protocol do not change in any byte.
func TestResponseBytes(t *testing.T) {
	var ready atomic.Bool
	parser := jobrequest.New(dispatchdriver.NewClock(), &jobrequest.Settings{
		Classes: []dispatcher.Class{{Name: "free"}, {Name: "keyed", Idempotency: dispatcher.IdempotentByKey}},
		Tenants: []dispatcher.Tenant{{Name: "co-op"}},
	})
	addr := testkit.FreeAddr(t)
	s := httpd.New(addr, 1, platformapi.New(parser, goldenPlanners{}, ready.Load), fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	const readiness = "GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
	if got, want := exchange(t, addr, readiness), "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 10\r\n\r\nnot ready\n"; got != want {
		t.Errorf("not ready: got\n%q\nwant\n%q", got, want)
	}
	ready.Store(true)
	for _, c := range []struct{ request, want string }{
		{readiness, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nready\n"},
		{"POST /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nConnection: close\r\nContent-Length: 9\r\n\r\nonly GET\n"},
		{post("/free", "served", "Tenant: co-op\r\n"), "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 11\r\n\r\nthe result\x00"},
		{post("/free/more?a=1", "refused", "Tenant: co-op\r\nRequest-Class: free\r\nWork-Hint: 5m\r\nRequest-Info: slots=2\r\n"), "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1.500\r\nConnection: close\r\nContent-Length: 15\r\n\r\ntoo much to do\n"},
		{post("/free", "refused-bare", "Tenant: co-op\r\n"), "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 10\r\n\r\nno worker\n"},
		{post("/keyed", "failed", "Tenant: co-op\r\nIdempotency-Key: k\r\nAffinity-Key: a\r\nClient-Id: c\r\nClient-Retry: 1\r\n"), "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\nContent-Length: 18\r\n\r\nthe worker failed\n"},
		{post("/keyed", "served", "Tenant: co-op\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 36\r\n\r\nthis class needs an Idempotency-Key\n"},
		{post("/free", "served", "Tenant: other\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 15\r\n\r\nunknown Tenant\n"},
		{post("/free", "two words", "Tenant: co-op\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 28\r\n\r\nRequest-Id must be one word\n"},
		{post("/free", "served", "Request-Timeout: 1m\r\nTenant: co-op\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 31\r\n\r\nRequest-Timeout is given twice\n"},
		{post("/free", "served", "Tenant: co-op\r\nRequest-Info: slots=0\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 32\r\n\r\nslots must be a positive number\n"},
		{post("/free", "served", "Tenant: co-op\r\nRequest-Class: keyed\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 49\r\n\r\nRequest-Class is unknown or not that of the path\n"},
		{post("/other", "served", "Tenant: co-op\r\n"), "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 14\r\n\r\nno such class\n"},
		{"GET /free HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", "HTTP/1.1 405 Method Not Allowed\r\nAllow: POST\r\nConnection: close\r\nContent-Length: 18\r\n\r\njobs come by POST\n"},
		{"POST /free HTTP/1.1\r\nHost: h\r\nConnection: close\r\nRequest-Id: a\r\nTenant: co-op\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 27\r\n\r\nRequest-Timeout is missing\n"},
	} {
		if got := exchange(t, addr, c.request); got != c.want {
			t.Errorf("%q: got\n%q\nwant\n%q", c.request, got, c.want)
		}
	}
}
