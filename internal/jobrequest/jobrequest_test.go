package jobrequest

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
)

func newParser() *Parser {
	return New(dispatch.NewClock(), &Settings{Classes: []dispatcher.Class{{Name: "free"}, {Name: "key", Idempotency: dispatcher.IdempotentByKey}},
		Tenants: []dispatcher.Tenant{{Name: "a"}, {Name: "b"}}})
}

func request(method, target string, fields ...string) *httpd.Request {
	q := &httpd.Request{Head: &http1.Head{Method: method, Target: target}, Body: []byte("x"), At: time.Now()}
	for i := 0; i < len(fields); i += 2 {
		q.Fields = append(q.Fields, http1.Field{Name: fields[i], Value: fields[i+1]})
	}
	return q
}

func TestJob(t *testing.T) {
	r := newParser()
	q := request("POST", "/key/sub?x=1", "request-id", "r1", "Request-Class", "key", "Tenant", "b", "Affinity-Key", "k",
		"Request-Timeout", "4999m", "Client-Retry", "1", "Request-Info", "memory=2, slots=1.5", "Idempotency-Key", "once",
		"Work-Hint", "2500u")
	j, deadline, err := r.Parse(q, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	want := dispatch.Job{ID: "r1", Class: r.Class("key"), Tenant: 1, TenantName: "b", AffinityKey: "k", ClientRetry: true, Slots: 1.5, IdempotencyKey: "once",
		RuntimeHint: 2500 * time.Microsecond, Target: "/key/sub?x=1", Method: "POST", Body: []byte("x")}
	if want.Class == nil || want.Class.Name != "key" || !reflect.DeepEqual(j, want) {
		t.Errorf("%+v, want %+v", j, want)
	}
	// The client's time counts from its request, and a little is kept for the way back.
	if left := deadline - r.Time(q.At); left >= 4999*time.Millisecond || left < 4900*time.Millisecond {
		t.Errorf("%v left", left)
	}
	if _, earlier, _ := r.WithMargin(time.Second).Parse(q, "", 0); earlier != deadline-time.Second {
		t.Errorf("%v, and a second earlier %v", deadline, earlier)
	}
}

// Guards against rejections that the module did not make: what is malformed gets
// a status of its own, never 429 or 503.
func TestJobRejects(t *testing.T) {
	good := []string{"Request-Id", "r", "Tenant", "a", "Request-Timeout", "1m"}
	with := func(more ...string) []string { return append(append([]string(nil), good...), more...) }
	for _, c := range []struct {
		method, target string
		fields         []string
		want           int
	}{
		{"POST", "/free", good, 0},
		{"GET", "/free", good, 405},
		{"POST", "/other", good, 404},
		{"POST", "/other", with("Request-Class", "other"), 400},
		{"POST", "/free", with("Request-Class", "key"), 400},
		{"POST", "/key", good, 400},
		{"POST", "/free", with("Tenant", "c"), 400},
		{"POST", "/free", with("Request-Id", ""), 400},
		{"POST", "/free", with("Request-Id", "a b"), 400},
		{"POST", "/free", with("Request-Timeout", "1s"), 400},
		{"POST", "/free", with("Request-Timeout", "NaNm"), 400},
		{"POST", "/free", with("Request-Timeout", "-1m"), 400},
		{"POST", "/free", with("Request-Info", "slots=0"), 400},
		{"POST", "/free", good[:4], 400},
	} {
		_, _, err := newParser().Parse(request(c.method, c.target, c.fields...), "", 0)
		var why *Error
		status := 0
		if errors.As(err, &why) {
			status = why.Status
		}
		if status != c.want {
			t.Errorf("%s %s %v: %d (%v), want %d", c.method, c.target, c.fields, status, err, c.want)
		}
	}
}

// New settings count for the next request, for all parsers derived from one; a job keeps
// the class that it was parsed by.
func TestUpdate(t *testing.T) {
	r := newParser()
	earlier := r.WithMargin(time.Second)
	q := request("POST", "/free", "Request-Id", "r", "Tenant", "a", "Request-Timeout", "9000m")
	before, _, err := r.Parse(q, "", 0)
	if err != nil {
		t.Fatal(err)
	}
	r.Update(&Settings{Classes: []dispatcher.Class{{Name: "new"}, {Name: "free", Idempotency: dispatcher.NotIdempotent}},
		Tenants: []dispatcher.Tenant{{Name: "a"}}})
	after, _, err := earlier.Parse(q, "", 0)
	if err != nil || after.Class.Idempotency != dispatcher.NotIdempotent || before.Class.Idempotency != dispatcher.Idempotent {
		t.Errorf("before %+v, after %+v, error %v", before.Class, after.Class, err)
	}
	if r.Class("key") != nil || r.Class("new") == nil {
		t.Error("the classes are the old ones")
	}
}
