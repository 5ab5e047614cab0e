package dispatchdriver

import (
	"context"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"log/slog"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/testkit"
)

// fakeTransport is a Transport that passes the attempts it is called with to channels.
type fakeTransport struct {
	sent            chan *Attempt
	cancelled       chan *Attempt
	cancelledUnsent chan *Attempt // nil if the test ignores CancelUnsent
}

func (c *fakeTransport) Send(a *Attempt)   { c.sent <- a }
func (c *fakeTransport) Cancel(a *Attempt) { c.cancelled <- a }
func (c *fakeTransport) CancelUnsent(a *Attempt) {
	if c.cancelledUnsent != nil {
		c.cancelledUnsent <- a
	}
}
func (c *fakeTransport) Probe(string, *Planner)      {}
func (c *fakeTransport) CloseIdleConnections(string) {}

// fakeClient is a Client that records its answers.
type fakeClient struct {
	mu      sync.Mutex
	answers []Response
	first   chan Response // receives the first answer
}

func newClient() *fakeClient             { return &fakeClient{first: make(chan Response, 1)} }
func (c *fakeClient) Started()           {}
func (c *fakeClient) Progress(_ float64) {}

func (c *fakeClient) Respond(a Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers = append(c.answers, a); len(c.answers) == 1 {
		c.first <- a
	}
}

func (c *fakeClient) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.answers)
}

func classes() []dispatcher.Class {
	return []dispatcher.Class{
		{Name: "free", Idempotency: dispatcher.Idempotent, LatencyTarget: time.Second, ClientTimeout: 5 * time.Second},
		{Name: "once", Idempotency: dispatcher.NotIdempotent, LatencyTarget: time.Second, ClientTimeout: 5 * time.Second},
	}
}

// startPlanner runs a planner with the given workers until the test ends.
func startPlanner(t *testing.T, workers ...string) (*Planner, *fakeTransport, Clock) {
	t.Helper()
	c := &fakeTransport{sent: make(chan *Attempt, 16), cancelled: make(chan *Attempt, 16)}
	clock := NewClock()
	p, err := NewPlanner(dispatcher.Settings{Classes: classes(), MaxAttempts: 3, AllowCancel: true}, 1, clock, c,
		func() {}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); p.Run(ctx) }()
	t.Cleanup(func() { stop(); <-done })
	var entries []dispatcher.WorkerInfo
	for _, w := range workers {
		entries = append(entries, dispatcher.WorkerInfo{Name: w})
	}
	p.WorkersUpdated(dispatcher.UpdateFull, entries)
	return p, c, clock
}

// countOpen returns the number of open exchanges once the planner has handled all queued
// events.
func countOpen(t *testing.T, p *Planner) int {
	t.Helper()
	n := make(chan int, 1)
	p.CountOpen(func(open int) { n <- open })
	return testkit.Await(t, "the number of open exchanges", n)
}

// Guards against exchanges that stay open after a timer of the dispatcher has ended them: the
// process then waited for them forever after SIGTERM.
func TestJobRejectedByTimerIsRemoved(t *testing.T) {
	p, _, clock := startPlanner(t)
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[0], Tenant: -1}, clock.Now()+200*time.Millisecond, c))
	if a := testkit.Await(t, "the answer", c.first); a.Kind != Rejected {
		t.Errorf("answer %v without any worker, want Rejected", a)
	}
	if n := countOpen(t, p); n != 0 {
		t.Errorf("%d exchanges open, want 0", n)
	}
}

// Guards against a missing answer when the worker does not respond, and against a second answer
// when it responds after the deadline.
func TestUnresponsiveWorkerFailsJobOnceAtDeadline(t *testing.T) {
	p, transport, clock := startPlanner(t, "w")
	c := newClient()
	deadline := clock.Now() + 300*time.Millisecond
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, deadline, c))
	a := testkit.Await(t, "an attempt", transport.sent)
	got := testkit.Await(t, "the answer", c.first)
	if late := clock.Now() - deadline; got.Kind != Failed || !got.MayHaveRun || late > 200*time.Millisecond || late < 0 {
		t.Errorf("answer %+v, %v after the deadline; want Failed with MayHaveRun within 200ms", got, late)
	}
	if testkit.Await(t, "the cancellation", transport.cancelled) != a {
		t.Error("another attempt was cancelled")
	}
	p.AttemptEnded(a, dispatcher.Served, []byte("late"), nil)
	if n := countOpen(t, p); n != 0 || c.count() != 1 {
		t.Errorf("%d exchanges open and %d answers, want 0 and 1", n, c.count())
	}
}

// Guards against the retry of a job that is not idempotent and may have run, and against its
// rejection, after which the client would retry it.
func TestNonIdempotentJobIsNotRetried(t *testing.T) {
	p, transport, clock := startPlanner(t, "v", "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, c))
	p.AttemptEnded(testkit.Await(t, "an attempt", transport.sent), dispatcher.ConnectionLost, nil, nil)
	if got := testkit.Await(t, "the answer", c.first); got.Kind != Failed || !got.MayHaveRun {
		t.Errorf("answer %+v, want Failed with MayHaveRun", got)
	}
	countOpen(t, p)
	if len(transport.sent) > 0 {
		t.Error("the job was retried")
	}
}

// Guards against the failure of a job whose attempt was delayed until its worker started to
// drain: the attempt was not sent, so the job is retried on another worker.
func TestUnsentAttemptIsRetriedOnAnotherWorker(t *testing.T) {
	p, transport, clock := startPlanner(t, "v", "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, c))
	first := testkit.Await(t, "an attempt", transport.sent)
	p.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Name: first.Worker, State: dispatcher.Draining}})
	p.AttemptEnded(first, dispatcher.NotSent, nil, nil)
	second := testkit.Await(t, "an attempt", transport.sent)
	if second.Worker == first.Worker {
		t.Error("the job was retried on the draining worker")
	}
	p.AttemptEnded(second, dispatcher.Served, []byte("ok"), nil)
	if got := testkit.Await(t, "the answer", c.first); got.Kind != Served || string(got.Result) != "ok" {
		t.Errorf("answer %+v, want Served with result ok", got)
	}
}

// Guards against a panic of the dispatcher that ends the process.
func TestPanicFailsOpenJobsAndRestartsDispatcher(t *testing.T) {
	p, transport, clock := startPlanner(t, "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, c))
	testkit.Await(t, "an attempt", transport.sent)
	p.queue.Put(event{kind: eventCall, call: func() { panic("injected fault") }})
	if got := testkit.Await(t, "the answer", c.first); got.Kind != Failed {
		t.Errorf("answer to the open job %+v, want Failed", got)
	}
	second := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "s", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, second))
	p.AttemptEnded(testkit.Await(t, "an attempt", transport.sent), dispatcher.Served, nil, nil)
	if got := testkit.Await(t, "the answer", second.first); got.Kind != Served {
		t.Errorf("answer to a job after the panic %+v, want Served", got)
	}
}

// Guards against open jobs that get no answer when the process ends: FailOpen answers each
// client once.
func TestFailOpen(t *testing.T) {
	p, transport, clock := startPlanner(t, "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, c))
	testkit.Await(t, "an attempt", transport.sent)
	for _, want := range []int{1, 0} {
		counted := make(chan int, 1)
		p.FailOpen(func(n int) { counted <- n })
		if n := testkit.Await(t, "the count", counted); n != want {
			t.Errorf("FailOpen answered %d jobs, want %d", n, want)
		}
	}
	if got := testkit.Await(t, "the answer", c.first); got.Kind != Failed || !got.MayHaveRun || c.count() != 1 {
		t.Errorf("answer %+v, %d times; want Failed with MayHaveRun, once", got, c.count())
	}
}

// Tests that a worker's start time before the start of this process converts to a distinct time
// on the Clock, and that only times long before convert to 0.
func TestFromUnixMilli(t *testing.T) {
	c := NewClock()
	start := time.Now().Add(-10 * time.Second)
	got := c.FromUnixMilli(start.UnixMilli())
	if want := c.Now() - 10*time.Second; got < want-time.Second || got > want+time.Second {
		t.Errorf("10 s ago converts to %v, now is %v", got, c.Now())
	}
	if c.FromUnixMilli(0) != 0 || c.FromUnixMilli(1) != 0 {
		t.Error("0 ms and 1 ms do not convert to 0")
	}
}

// parseImports parses the imports of the files of a package in a directory.
func parseImports(t *testing.T, dir, name string) map[string]*ast.File {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil {
		t.Fatal(err)
	}
	files := map[string]*ast.File{}
	for _, path := range paths {
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			t.Fatal(err)
		}
		if f.Name.Name == name {
			files[path] = f
		}
	}
	if len(files) == 0 {
		t.Fatalf("%s: no files of package %s", dir, name)
	}
	return files
}

// Tests that the packages of the client side and those of the worker side do not import each
// other: an Exchange is their only connection.
func TestClientSideAndWorkerSideAreIndependent(t *testing.T) {
	sides := [][]string{{"httpd", "platformapi", "sse", "jobrequest"}, {"upstream", "discovery"}}
	for i, side := range sides {
		for _, name := range side {
			for file, f := range parseImports(t, "../"+name, name) {
				for _, imported := range f.Imports {
					for _, other := range sides[1-i] {
						if strings.HasSuffix(strings.Trim(imported.Path.Value, `"`), "/internal/"+other) {
							t.Errorf("%s imports %s", file, other)
						}
					}
				}
			}
		}
	}
}

// Tests that package dispatchdriver does not depend on a wire protocol.
func TestNoProtocolImports(t *testing.T) {
	files := 0
	for name, f := range parseImports(t, ".", "dispatchdriver") {
		files++
		for _, imported := range f.Imports {
			for _, protocol := range []string{"net", "gnet", "http", "httpd", "http1", "sse", "json", "upstream"} {
				path := strings.Trim(imported.Path.Value, `"`)
				if path == protocol || strings.HasSuffix(path, "/"+protocol) || strings.HasPrefix(path, protocol+"/") {
					t.Errorf("%s imports %s", name, path)
				}
			}
		}
	}
	if files < 3 {
		t.Errorf("%d files parsed, want at least 3", files)
	}
}

// Guards against operators' commands that are delayed by clients' events: a command runs before
// events that were queued earlier.
func TestCommandsPrecedeQueuedEvents(t *testing.T) {
	p, _, _ := startPlanner(t, "w")
	countOpen(t, p) // waits until the planner has handled the list of workers
	unblock, known := make(chan struct{}), make(chan bool, 1)
	p.queue.Put(event{kind: eventCall, call: func() { <-unblock }})
	executed := make(chan string, 200)
	for range 100 {
		p.queue.Put(event{kind: eventCall, call: func() { executed <- "event" }})
	}
	p.Cordon("w", true, func(isKnown bool) { executed <- "command"; known <- isKnown })
	close(unblock)
	if !testkit.Await(t, "the cordon", known) {
		t.Error("the worker is not known")
	}
	if first := <-executed; first != "command" {
		t.Error("the command ran after a queued event")
	}
}

// Guards against a cordon that is lost when the dispatcher panics.
func TestCordonSurvivesPanic(t *testing.T) {
	p, transport, clock := startPlanner(t, "w", "v")
	countOpen(t, p)
	done := make(chan bool, 1)
	p.Cordon("w", true, func(isKnown bool) { done <- isKnown })
	testkit.Await(t, "the cordon", done)
	p.queue.Put(event{kind: eventCall, call: func() { panic("injected fault") }})
	for i := range 6 {
		p.SubmitRequest(NewExchange(Job{ID: string(rune('a' + i)), Class: &classes()[0], Tenant: -1}, clock.Now()+time.Second, newClient()))
		a := testkit.Await(t, "an attempt", transport.sent)
		if a.Worker != "v" {
			t.Fatalf("an attempt was sent to %s, want v", a.Worker)
		}
		p.AttemptStarted(a)
		p.AttemptEnded(a, dispatcher.Served, nil, nil)
	}
}

// Guards against a job that runs in both processes of an upgrade, and against IDs that stay in
// use after the other process has ended the job or has itself ended.
func TestSiblingsShareOpenJobIDs(t *testing.T) {
	p, transport, clock := startPlanner(t, "w", "v")
	updates := make(chan SiblingState, 16)
	handedOver := make(chan HandoverState, 1)
	local := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "local", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, local))
	first := testkit.Await(t, "an attempt", transport.sent)
	p.AddSibling(1, func(s SiblingState) { updates <- s }, func(state HandoverState) { handedOver <- state })
	if state := testkit.Await(t, "the handover", handedOver); len(state.Shared.Opened) != 1 || state.Shared.Opened[0] != "local" ||
		state.Shared.Loads[first.Worker].InFlight != 1 {
		t.Errorf("state handed over: %+v, want job local and a load of 1 at %s", state.Shared, first.Worker)
	}
	p.UpdateSibling(1, 0, SiblingState{Opened: []string{"a", "b", "c"}})
	p.UpdateSibling(1, 0, SiblingState{Ended: []string{"b"}})
	submit := func(id string) *fakeClient {
		c := newClient()
		p.SubmitRequest(NewExchange(Job{ID: id, Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, c))
		return c
	}
	if a := testkit.Await(t, "the answer", submit("a").first); a.Kind != Failed || a.MayHaveRun {
		t.Errorf("answer to a job that is open at the sibling: %+v, want Failed without MayHaveRun", a)
	}
	submit("b")
	if a := testkit.Await(t, "an attempt", transport.sent); a.ID != "b" {
		t.Errorf("job %s was sent, want b", a.ID)
	}
	for opened := false; !opened; {
		s := testkit.Await(t, "the sibling's update", updates)
		opened = len(s.Opened) > 0 && s.Opened[len(s.Opened)-1] == "b"
	}
	p.AttemptEnded(first, dispatcher.Served, nil, nil)
	for ended := false; !ended; {
		s := testkit.Await(t, "the sibling's update", updates)
		ended = len(s.Ended) > 0 && s.Ended[0] == "local" && s.Loads[first.Worker].InFlight == 0
	}
	p.RemoveSibling(1)
	submit("c")
	if a := testkit.Await(t, "an attempt", transport.sent); a.ID != "c" {
		t.Errorf("job %s was sent, want c", a.ID)
	}
}

// Guards against a job in flight that gets another class through its index into the new list of
// classes: its retries follow the class with which it was submitted.
func TestUpdateSettingsKeepsClassOfJobs(t *testing.T) {
	p, transport, clock := startPlanner(t, "w", "v")
	once, free := newClient(), newClient()
	p.SubmitRequest(NewExchange(Job{ID: "once", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, once))
	first := testkit.Await(t, "an attempt", transport.sent)
	p.SubmitRequest(NewExchange(Job{ID: "free", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, free))
	second := testkit.Await(t, "an attempt", transport.sent)
	swapped := []dispatcher.Class{classes()[1], classes()[0], {Name: "new", LatencyTarget: time.Second, ClientTimeout: 5 * time.Second}}
	p.UpdateSettings(dispatcher.Settings{Classes: swapped[1:], MaxAttempts: 3, AllowCancel: true}) // removes the class once
	p.AttemptEnded(first, dispatcher.ConnectionLost, nil, nil)
	if a := testkit.Await(t, "the answer", once.first); a.Kind != Failed {
		t.Errorf("answer to the job that is not idempotent: %+v, want Failed", a)
	}
	p.AttemptEnded(second, dispatcher.ConnectionLost, nil, nil)
	if a := testkit.Await(t, "another attempt", transport.sent); a.ID != "free" {
		t.Errorf("job %s was retried, want free", a.ID)
	}
	removed, added := newClient(), newClient()
	p.SubmitRequest(NewExchange(Job{ID: "late", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, removed))
	if a := testkit.Await(t, "the answer", removed.first); a.Kind != Failed || a.MayHaveRun {
		t.Errorf("answer to a job of a removed class: %+v, want Failed without MayHaveRun", a)
	}
	p.SubmitRequest(NewExchange(Job{ID: "new", Class: &swapped[2], Tenant: -1}, clock.Now()+300*time.Millisecond, added))
	if a := testkit.Await(t, "the answer", added.first); a.Reason == "the class is gone" {
		t.Errorf("answer to a job of a new class: %+v", a)
	}
}

// Guards against a job that is assigned to another tenant when the tenants change after it was
// parsed: the job keeps its tenant although the tenant's index changes. A job that was parsed
// before its tenant was removed is served; a job of a tenant that never existed is not.
func TestUpdateSettingsKeepsTenantOfJobs(t *testing.T) {
	p, transport, clock := startPlanner(t, "w", "v")
	setTenants := func(names string) {
		settings := dispatcher.Settings{Classes: classes(), MaxAttempts: 3, AllowCancel: true}
		for _, n := range names {
			settings.Tenants = append(settings.Tenants, dispatcher.Tenant{Name: string(n), Share: 1})
		}
		p.UpdateSettings(settings)
	}
	for i, c := range []struct {
		tenants string // one letter each; the settings when the job is submitted
		name    string // tenant of the job
		index   int    // its index when the job was parsed
		sent    bool
	}{
		{"ab", "a", 0, true}, {"ba", "a", 0, true}, {"b", "a", 1, true}, {"cb", "a", 0, true},
		{"b", "x", 0, false}, {"", "b", 0, true}, {"a", "", -1, true},
	} {
		setTenants(c.tenants)
		client := newClient()
		id := fmt.Sprint("job-", i)
		p.SubmitRequest(NewExchange(Job{ID: id, Class: &classes()[0], Tenant: c.index, TenantName: c.name}, clock.Now()+5*time.Second, client))
		if !c.sent {
			if a := testkit.Await(t, "the answer", client.first); a.Kind != Failed || a.MayHaveRun || a.Reason != "the tenant is gone" {
				t.Errorf("%+v: answer %+v, want Failed because the tenant is gone", c, a)
			}
			continue
		}
		a := testkit.Await(t, "an attempt", transport.sent)
		if a.ID != id {
			t.Errorf("%+v: job %s was sent, want %s", c, a.ID, id)
		}
		p.AttemptEnded(a, dispatcher.Served, nil, nil)
	}
}
