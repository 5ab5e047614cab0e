package discovery

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// serve runs a server that responds to each call with the next element of responses, and sends the request target of the call
// to targets. An empty response closes the connection.
func serve(t *testing.T, responses <-chan string) (addr string, targets <-chan string) {
	t.Helper()
	calls := make(chan string, 16)
	return testkit.Accept(t, func(c net.Conn) {
		defer func() { _ = c.Close() }() // the watcher may have closed it
		for r := bufio.NewReader(c); ; {
			q, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			calls <- q.RequestURI
			select {
			case a := <-responses:
				if a == "" {
					return
				}
				_, _ = io.WriteString(c, a)
			case <-t.Context().Done():
				return
			}
		}
	}), calls
}

// listResponse returns an HTTP response with a list of one worker.
func listResponse(revision int, complete bool) string {
	body := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":[{"id":"w","host_port":"h:1","phase":"ready"}]}`, revision, complete)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// After a response the next call is sent at once, with the revision received. A failure of any kind is reported and ends the
// watch until Watch is called again.
func TestWatch(t *testing.T) {
	responses := make(chan string)
	addr, targets := serve(t, responses)
	updates, failures := make(chan List, 4), make(chan bool, 4)
	log := slog.New(slog.DiscardHandler)
	loop, err := evloop.New(log)
	if err != nil {
		t.Fatal(err)
	}
	w := NewWatcher(loop, addr, List{Revision: 5}, func(l List) { updates <- l }, func() { failures <- true }, log)
	w.Watch()
	w.Watch() // no effect while a watch is active
	const target = "/v1/endpoints?since=%d&timeout_ms=2500"
	next := 5
	expect := func() {
		t.Helper()
		if got, want := testkit.Await(t, "a call", targets), fmt.Sprintf(target, next); got != want {
			t.Errorf("request target %s, want %s", got, want)
		}
	}
	for _, l := range []struct {
		revision int
		complete bool
	}{{8, true}, {9, false}} {
		expect()
		responses <- listResponse(l.revision, l.complete)
		if got := testkit.Await(t, "an update", updates); int(got.Revision) != l.revision || got.Complete != l.complete || !got.Members[0].Ready() {
			t.Errorf("update %+v", got)
		}
		next = l.revision
	}
	for _, fault := range []string{"", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n{"} {
		expect()
		responses <- fault
		testkit.Await(t, "a failure", failures)
		w.Watch()
	}
	expect()
	if err := loop.Stop(); err != nil {
		t.Error(err)
	}
	if len(failures) == 1 { // reported when the loop stopped
		<-failures
	}
	if len(updates) > 0 || len(failures) > 0 {
		t.Errorf("%d updates and %d failures more than expected", len(updates), len(failures))
	}
}

// Guards a change of the address: the watch must move to the new address, an outstanding response from the previous one must
// still be used, and a revision of one address must not be sent to the other.
func TestSetAddr(t *testing.T) {
	log := slog.New(slog.DiscardHandler)
	loop, err := evloop.New(log)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := loop.Stop(); err != nil {
			t.Error(err)
		}
	}()
	updates, failures := make(chan List, 4), make(chan bool, 4)
	oldResponses, newResponses := make(chan string), make(chan string)
	from, oldTargets := serve(t, oldResponses)
	to, newTargets := serve(t, newResponses)
	w := NewWatcher(loop, from, List{Revision: 5}, func(l List) { updates <- l }, func() { failures <- true }, log)
	w.Watch()
	testkit.Await(t, "a watch", oldTargets)
	w.SetAddr(to)
	if got := testkit.Await(t, "the first call", newTargets); got != "/v1/endpoints" {
		t.Errorf("first request target at the new address %s", got)
	}
	oldResponses <- listResponse(900, false)
	if got := testkit.Await(t, "the outstanding response", updates); got.Revision != 900 {
		t.Errorf("update %+v", got)
	}
	newResponses <- listResponse(7, true)
	if got := testkit.Await(t, "the full list", updates); got.Revision != 7 || !got.Complete {
		t.Errorf("update %+v", got)
	}
	if got := testkit.Await(t, "the watch", newTargets); !strings.HasPrefix(got, "/v1/endpoints?since=7&") {
		t.Errorf("second request target at the new address %s", got)
	}
	w.SetAddr("") // ends the watch
	w.Watch()
	w.SetAddr(from)
	testkit.Await(t, "the first call", oldTargets)
	if len(failures) > 0 || len(newTargets) > 0 {
		t.Error("the change of the address was reported as a failure, or the former address got another call")
	}
}

func TestWorkerInfos(t *testing.T) {
	l, err := Parse([]byte(`{"revision":1,"complete":true,"members":[
		{"id":"a","locality":"x","flavor":"f","cell":3,"phase":"ready","size":2,"up_since_ms":7},
		{"id":"b","locality":"?","flavor":"?","phase":"gone"}]}`))
	if err != nil {
		t.Fatal(err)
	}
	got := Names{Zones: []string{"y", "x"}, Kinds: []string{"f"}}.WorkerInfos(l, func(ms int64) time.Duration { return time.Duration(ms) })
	if want := (dispatcher.WorkerInfo{Name: "a", Zone: 1, Cell: 3, Weight: 2, StartedAt: 7}); got[0] != want {
		t.Errorf("%+v", got[0])
	}
	if w := got[1]; w.State != dispatcher.Removed || w.Zone != 2 || w.Kind != 1 {
		t.Errorf("a worker with unknown names is converted to %+v", w)
	}
	for _, text := range []string{`{`, `{"members":[{"id":"a","phase":"odd"}]}`, `{"members":[{"phase":"ready"}]}`} {
		if _, err := Parse([]byte(text)); err == nil {
			t.Errorf("Parse(%s) returned no error", text)
		}
	}
}

// Apply returns a new list and leaves the former one unchanged.
func TestApply(t *testing.T) {
	l := List{}.Apply(List{Revision: 1, Members: []Member{{ID: "a", Phase: "ready"}, {ID: "b", Phase: "ready"}}}, true)
	m := l.Apply(List{Revision: 2, Members: []Member{{ID: "a", Phase: "draining"}, {ID: "c", Phase: "ready"}, {ID: "b", Phase: "gone"}}}, false)
	if len(m.Members) != 2 || m.Members[0].Phase != "draining" || m.Members[1].ID != "c" || m.Revision != 2 || !m.Complete {
		t.Errorf("list after an update of changed entries: %+v", m)
	}
	if l.Members[0].Phase != "ready" || l.Revision != 1 {
		t.Errorf("Apply has modified the former list: %+v", l)
	}
	if w := m.Apply(List{Revision: 3, Members: []Member{{ID: "d", Phase: "ready"}}}, true); len(w.Members) != 1 {
		t.Errorf("list after a full update: %+v", w)
	}
}
