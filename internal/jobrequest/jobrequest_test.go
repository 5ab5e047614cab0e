package jobrequest

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

// newParser returns a Parser with two classes and two tenants.
func newParser() *Parser {
	return New(dispatchdriver.NewClock(), &Settings{Classes: []dispatcher.Class{{Name: "free"}, {Name: "key", Idempotency: dispatcher.IdempotentByKey}},
		Tenants: []dispatcher.Tenant{{Name: "a"}, {Name: "b"}}})
}

func request(method, target string, fields ...string) *httpd.Request {
	q := &httpd.Request{Head: &http1.Head{Method: method, Target: target}, Body: []byte("x"), At: time.Now()}
	for i := 0; i < len(fields); i += 2 {
		q.Fields = append(q.Fields, http1.Field{Name: fields[i], Value: fields[i+1]})
	}
	return q
}

func TestParse(t *testing.T) {
	p := newParser()
	q := request("POST", "/key/sub?x=1", "request-id", "r1", "Request-Class", "key", "Tenant", "b", "Affinity-Key", "k",
		"Request-Timeout", "4999m", "Client-Retry", "1", "Request-Info", "memory=2, slots=1.5", "Idempotency-Key", "once",
		"Work-Hint", "2500u")
	j, deadline, err := p.Parse(q, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	want := dispatchdriver.Job{ID: "r1", Class: p.Class("key"), Tenant: 1, TenantName: "b", AffinityKey: "k", ClientRetry: true, Slots: 1.5, IdempotencyKey: "once",
		RuntimeHint: 2500 * time.Microsecond, Target: "/key/sub?x=1", Method: "POST", Body: []byte("x")}
	if want.Class == nil || want.Class.Name != "key" || !reflect.DeepEqual(j, want) {
		t.Errorf("job %+v, want %+v", j, want)
	}
	// The timeout starts when the request arrives and is reduced by responseMargin.
	if left := deadline - p.ClockTime(q.At); left >= 4999*time.Millisecond || left < 4900*time.Millisecond {
		t.Errorf("%v from the request to the deadline, want slightly less than 4.999s", left)
	}
	if _, earlier, _ := p.WithMargin(time.Second).Parse(q, "", 0); earlier != deadline-time.Second {
		t.Errorf("deadline with a margin of 1s is %v, want 1s before %v", earlier, deadline)
	}
}

// Guards against malformed requests that are answered like jobs that the dispatcher rejects: they
// get a status of their own, never 429 or 503.
func TestParseRejectsMalformedRequests(t *testing.T) {
	valid := []string{"Request-Id", "r", "Tenant", "a", "Request-Timeout", "1m"}
	with := func(more ...string) []string { return append(append([]string(nil), valid...), more...) }
	for _, c := range []struct {
		method, target string
		fields         []string
		want           int
	}{
		{"POST", "/free", valid, 0},
		{"GET", "/free", valid, 405},
		{"POST", "/other", valid, 404},
		{"POST", "/other", with("Request-Class", "other"), 400},
		{"POST", "/free", with("Request-Class", "key"), 400},
		{"POST", "/key", valid, 400},
		{"POST", "/free", with("Tenant", "c"), 400},
		{"POST", "/free", with("Request-Id", ""), 400},
		{"POST", "/free", with("Request-Id", "a b"), 400},
		{"POST", "/free", with("Request-Timeout", "1s"), 400},
		{"POST", "/free", with("Request-Timeout", "NaNm"), 400},
		{"POST", "/free", with("Request-Timeout", "-1m"), 400},
		{"POST", "/free", with("Request-Info", "slots=0"), 400},
		{"POST", "/free", valid[:4], 400},
	} {
		_, _, err := newParser().Parse(request(c.method, c.target, c.fields...), "", 0)
		var requestErr *Error
		status := 0
		if errors.As(err, &requestErr) {
			status = requestErr.Status
		}
		if status != c.want {
			t.Errorf("%s %s %v: status %d (%v), want %d", c.method, c.target, c.fields, status, err, c.want)
		}
	}
}

// Tests that updated settings apply to the next request in the updated parser and in parsers
// derived from it, and that a job that was parsed before keeps its class.
func TestUpdate(t *testing.T) {
	p := newParser()
	derived := p.WithMargin(time.Second)
	q := request("POST", "/free", "Request-Id", "r", "Tenant", "a", "Request-Timeout", "9000m")
	before, _, err := p.Parse(q, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	p.Update(&Settings{Classes: []dispatcher.Class{{Name: "new"}, {Name: "free", Idempotency: dispatcher.NotIdempotent}},
		Tenants: []dispatcher.Tenant{{Name: "a"}}})
	after, _, err := derived.Parse(q, "", 0)
	if err != nil || after.Class.Idempotency != dispatcher.NotIdempotent || before.Class.Idempotency != dispatcher.Idempotent {
		t.Errorf("class before the update %+v, after it %+v, error %v", before.Class, after.Class, err)
	}
	if p.Class("key") != nil || p.Class("new") == nil {
		t.Error("Class returns the classes from before the update")
	}
}
