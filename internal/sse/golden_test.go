package sse_test

import (
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"regexp"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/fdlimit"
	"sedgevale/internal/httpd"
	"sedgevale/internal/jobrequest"
	"sedgevale/internal/sse"
	"sedgevale/internal/testkit"
)

// goldenPlanners answers each request with the entry of goldenAnswers for its id.
type goldenPlanners struct{}

var goldenAnswers = map[string]dispatchdriver.Response{
	"served":       {Kind: dispatchdriver.Served, Result: []byte("the \"result\"\n")},
	"refused":      {Kind: dispatchdriver.Rejected, RetryAfter: 1500 * time.Millisecond, Reason: "too much to do"},
	"refused-bare": {Kind: dispatchdriver.Rejected, Reason: "no worker"},
	"failed":       {Kind: dispatchdriver.Failed, Reason: "the worker failed", MayHaveRun: true},
	"not-run":      {Kind: dispatchdriver.Failed, Reason: "none was there"},
}

func (goldenPlanners) SubmitRequest(x *dispatchdriver.Exchange) {
	x.WrapClient(func(client dispatchdriver.Client) dispatchdriver.Client {
		client.Started()
		client.Progress(0.25)
		client.Respond(goldenAnswers[x.ID])
		return client
	})
}

func (goldenPlanners) ClientDisconnected(*dispatchdriver.Exchange) {}

// epochs matches the random epochs in event ids.
var epochs = regexp.MustCompile(`id: [0-9a-f]{16}:`)

// exchange sends a raw request and returns the raw response with the epoch replaced by RUN.
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
	return epochs.ReplaceAllString(string(response), "id: RUN:")
}

func post(path, id string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAccept: text/event-stream\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nhi",
		path, id)
}

func get(path, fields string) string {
	return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: h\r\nConnection: close\r\nAccept: text/event-stream\r\n%s\r\n", path, fields)
}

// TestStreamBytes checks the exact bytes of event streams and of all other responses.
func TestStreamBytes(t *testing.T) {
	var ready atomic.Bool
	ready.Store(true)
	parser := jobrequest.New(dispatchdriver.NewClock(), &jobrequest.Settings{Classes: []dispatcher.Class{
		{Name: "free", ClientTimeout: 9 * time.Second}, {Name: "once", Idempotency: dispatcher.NotIdempotent, ClientTimeout: 9 * time.Second},
	}})
	handler := sse.New(sse.Options{Parser: parser, Planners: goldenPlanners{}, Ready: ready.Load, Log: slog.New(slog.DiscardHandler)})
	addr := testkit.FreeAddr(t)
	s := httpd.New(addr, 1, handler, fdlimit.New(0), slog.New(slog.DiscardHandler))
	if err := s.Start(t.Context(), nil); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Stop() })
	for _, c := range []struct{ request, want string }{
		{get("/ready", ""), "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 6\r\n\r\nready\n"},
		{post("/free", "served"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1:free:served\nevent: accepted\ndata: {\"request\":\"served\"}\n\nid: RUN:2:free:served\nevent: started\ndata: {}\n\nid: RUN:3:free:served\nevent: progress\ndata: {\"share\":0.25}\n\nid: RUN:4.end:free:served\nevent: result\ndata: {\"result\":\"the \\\"result\\\"\\n\"}\n\n"},
		{post("/free", "served"), "HTTP/1.1 409 Conflict\r\nConnection: close\r\nContent-Length: 70\r\n\r\nthis Request-Id is known; GET with it, or with Last-Event-ID, resumes\n"},
		{get("/free", "Request-Id: served\r\n"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1:free:served\nevent: accepted\ndata: {\"request\":\"served\"}\n\nid: RUN:2:free:served\nevent: started\ndata: {}\n\nid: RUN:3:free:served\nevent: progress\ndata: {\"share\":0.25}\n\nid: RUN:4.end:free:served\nevent: result\ndata: {\"result\":\"the \\\"result\\\"\\n\"}\n\n"},
		{get("/free", "Last-Event-ID: 0123456789abcdef:4.end:free:served\r\n"), "HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n"},
		{get("/free", "Last-Event-ID: 0123456789abcdef:2:free:served\r\n"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:3.end:free:served\nevent: failed\ndata: {\"reason\":\"the scheduler has restarted since; what became of the job is unknown\",\"outcome\":\"unknown\",\"repeat_safe\":true}\n\n"},
		{get("/free", "Request-Id: never\r\n"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1.end:free:never\nevent: failed\ndata: {\"reason\":\"the job is no longer known\",\"outcome\":\"unknown\",\"repeat_safe\":true}\n\n"},
		{get("/free", ""), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 66\r\n\r\nnothing to resume: send Last-Event-ID, or the Request-Id of a job\n"},
		{get("/free", "Last-Event-ID: x\r\n"), "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 37\r\n\r\nLast-Event-ID is none of this path's\n"},
		{post("/free", "refused"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1:free:refused\nevent: accepted\ndata: {\"request\":\"refused\"}\n\nid: RUN:2:free:refused\nevent: started\ndata: {}\n\nid: RUN:3:free:refused\nevent: progress\ndata: {\"share\":0.25}\n\nid: RUN:4.end:free:refused\nevent: refused\nretry: 1500\ndata: {\"reason\":\"too much to do\",\"retry_after\":1.5}\n\n"},
		{post("/free", "refused-bare"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1:free:refused-bare\nevent: accepted\ndata: {\"request\":\"refused-bare\"}\n\nid: RUN:2:free:refused-bare\nevent: started\ndata: {}\n\nid: RUN:3:free:refused-bare\nevent: progress\ndata: {\"share\":0.25}\n\nid: RUN:4.end:free:refused-bare\nevent: refused\ndata: {\"reason\":\"no worker\",\"retry_after\":0}\n\n"},
		{post("/once", "failed"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1:once:failed\nevent: accepted\ndata: {\"request\":\"failed\"}\n\nid: RUN:2:once:failed\nevent: started\ndata: {}\n\nid: RUN:3:once:failed\nevent: progress\ndata: {\"share\":0.25}\n\nid: RUN:4.end:once:failed\nevent: failed\ndata: {\"reason\":\"the worker failed\",\"outcome\":\"unknown\",\"repeat_safe\":false}\n\n"},
		{post("/once", "not-run"), "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: close\r\n\r\nid: RUN:1:once:not-run\nevent: accepted\ndata: {\"request\":\"not-run\"}\n\nid: RUN:2:once:not-run\nevent: started\ndata: {}\n\nid: RUN:3:once:not-run\nevent: progress\ndata: {\"share\":0.25}\n\nid: RUN:4.end:once:not-run\nevent: failed\ndata: {\"reason\":\"none was there\",\"outcome\":\"not run\",\"repeat_safe\":true}\n\n"},
		{post("/other", "served"), "HTTP/1.1 404 Not Found\r\nConnection: close\r\nContent-Length: 14\r\n\r\nno such class\n"},
		{"POST /free HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 406 Not Acceptable\r\nConnection: close\r\nContent-Length: 35\r\n\r\nanswers here are text/event-stream\n"},
		{"PUT /free HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 405 Method Not Allowed\r\nAllow: GET, POST\r\nConnection: close\r\nContent-Length: 18\r\n\r\nonly GET and POST\n"},
	} {
		if got := exchange(t, addr, c.request); got != c.want {
			t.Errorf("%q: got\n%q\nwant\n%q", c.request, got, c.want)
		}
	}
	ready.Store(false)
	if got, want := exchange(t, addr, get("/ready", "")), "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 10\r\n\r\nnot ready\n"; got != want {
		t.Errorf("not ready: got\n%q\nwant\n%q", got, want)
	}
	checkMirroredStream(t, handler)
}

// checkMirroredStream checks the JSON by which a stream is mirrored to the new process of an upgrade.
func checkMirroredStream(t *testing.T, handler *sse.Handler) {
	t.Helper()
	streams := map[string]string{}
	handler.Mirror(1, func(stream *sse.Stream) {
		text, err := json.Marshal(stream)
		if err != nil {
			t.Error(err)
		}
		streams[stream.ID] = regexp.MustCompile(`[0-9a-f]{16}`).ReplaceAllString(string(text), "RUN")
	})
	if got, want := streams["not-run"], "{\"id\":\"not-run\",\"epoch\":\"RUN\",\"class\":{\"Name\":\"once\",\"Effect\":2,\"Scope\":0,\"Window\":0,\"Aim\":0,\"Stretch\":0,\"Limit\":9000000000,\"LateShare\":0,\"Stream\":false,\"Kinds\":null,\"Zones\":null},\"events\":[{\"seq\":1,\"text\":\"id: RUN:1:once:not-run\\nevent: accepted\\ndata: {\\\"request\\\":\\\"not-run\\\"}\\n\\n\"},{\"seq\":2,\"text\":\"id: RUN:2:once:not-run\\nevent: started\\ndata: {}\\n\\n\"},{\"seq\":3,\"progress\":true,\"text\":\"id: RUN:3:once:not-run\\nevent: progress\\ndata: {\\\"share\\\":0.25}\\n\\n\"},{\"seq\":4,\"text\":\"id: RUN:4.end:once:not-run\\nevent: failed\\ndata: {\\\"reason\\\":\\\"none was there\\\",\\\"outcome\\\":\\\"not run\\\",\\\"repeat_safe\\\":true}\\n\\n\"}],\"final\":true}"; got != want {
		t.Errorf("mirrored stream: got\n%q\nwant\n%q", got, want)
	}
}
