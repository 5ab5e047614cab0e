package dispatch

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

// carrier records the attempts that it is given.
type carrier struct {
	sent      chan *Attempt
	cancelled chan *Attempt
	withdrawn chan *Attempt // nil: not looked at
}

func (c *carrier) Send(a *Attempt)   { c.sent <- a }
func (c *carrier) Cancel(a *Attempt) { c.cancelled <- a }
func (c *carrier) CancelUnsent(a *Attempt) {
	if c.withdrawn != nil {
		c.withdrawn <- a
	}
}
func (c *carrier) Probe(string, *Planner)      {}
func (c *carrier) CloseIdleConnections(string) {}

// client records its answers.
type client struct {
	mu      sync.Mutex
	answers []Answer
	first   chan Answer
}

func newClient() *client             { return &client{first: make(chan Answer, 1)} }
func (c *client) Started()           {}
func (c *client) Progress(_ float64) {}

func (c *client) Answer(a Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers = append(c.answers, a); len(c.answers) == 1 {
		c.first <- a
	}
}

func (c *client) count() int {
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

// begin runs a planner with so many workers until the test ends.
func begin(t *testing.T, workers ...string) (*Planner, *carrier, Clock) {
	t.Helper()
	c := &carrier{sent: make(chan *Attempt, 16), cancelled: make(chan *Attempt, 16)}
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
		entries = append(entries, dispatcher.WorkerInfo{Worker: w})
	}
	p.WorkersUpdated(dispatcher.UpdateFull, entries)
	return p, c, clock
}

func openNow(t *testing.T, p *Planner) int {
	t.Helper()
	n := make(chan int, 1)
	p.CountOpen(func(open int) { n <- open })
	return testkit.Await(t, "an event", n)
}

// Guards against exchanges that are kept when a timer of the module
// ends them: the program waited for them for ever after SIGTERM.
func TestRejectedByTimerIsForgotten(t *testing.T) {
	p, _, clock := begin(t)
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[0], Tenant: -1}, clock.Now()+200*time.Millisecond, c))
	if a := testkit.Await(t, "an event", c.first); a.Kind != Rejected {
		t.Errorf("answered %v without any worker", a)
	}
	if n := openNow(t, p); n != 0 {
		t.Errorf("%d exchanges still open", n)
	}
}

// Guards against a job without an answer when the worker sends nothing, and
// against a second answer when it sends one later.
func TestSilentWorkerFailsAtTheDeadlineOnce(t *testing.T) {
	p, carry, clock := begin(t, "w")
	c := newClient()
	deadline := clock.Now() + 300*time.Millisecond
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, deadline, c))
	a := testkit.Await(t, "an event", carry.sent)
	got := testkit.Await(t, "an event", c.first)
	if late := clock.Now() - deadline; got.Kind != Failed || !got.MayHaveRun || late > 200*time.Millisecond || late < 0 {
		t.Errorf("answered %+v, %v after the deadline", got, late)
	}
	if testkit.Await(t, "an event", carry.cancelled) != a {
		t.Error("another attempt was called off")
	}
	p.AttemptEnded(a, dispatcher.Served, []byte("late"), nil)
	if n := openNow(t, p); n != 0 || c.count() != 1 {
		t.Errorf("%d exchanges open, %d answers", n, c.count())
	}
}

// Guards against a job that is not idempotent and is retried after it may have run, and
// against a rejection, which would invite the client to send it again.
func TestUnsafeJobIsNotRepeated(t *testing.T) {
	p, carry, clock := begin(t, "v", "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, c))
	p.AttemptEnded(testkit.Await(t, "an event", carry.sent), dispatcher.ConnectionLost, nil, nil)
	if got := testkit.Await(t, "an event", c.first); got.Kind != Failed || !got.MayHaveRun {
		t.Errorf("answered %+v", got)
	}
	openNow(t, p)
	if len(carry.sent) > 0 {
		t.Error("sent again")
	}
}

// Guards against a send that was delayed until its worker began to drain being
// counted as a failure: it never ran, so another worker gets it.
func TestNotSentIsRetriedElsewhere(t *testing.T) {
	p, carry, clock := begin(t, "v", "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, c))
	first := testkit.Await(t, "an event", carry.sent)
	p.WorkersUpdated(dispatcher.UpdateDelta, []dispatcher.WorkerInfo{{Worker: first.Worker, State: dispatcher.Draining}})
	p.AttemptEnded(first, dispatcher.NotSent, nil, nil)
	second := testkit.Await(t, "an event", carry.sent)
	if second.Worker == first.Worker {
		t.Error("sent to the worker that drains")
	}
	p.AttemptEnded(second, dispatcher.Served, []byte("ok"), nil)
	if got := testkit.Await(t, "an event", c.first); got.Kind != Served || string(got.Result) != "ok" {
		t.Errorf("answered %+v", got)
	}
}

// Guards against one fault in the decisions taking the program down with all
// that it holds.
func TestPanicFailsWhatIsOpenAndGoesOn(t *testing.T) {
	p, carry, clock := begin(t, "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, c))
	testkit.Await(t, "an event", carry.sent)
	p.queue.Put(event{kind: eventCall, call: func() { panic("fault") }})
	if got := testkit.Await(t, "an event", c.first); got.Kind != Failed {
		t.Errorf("answered %+v", got)
	}
	again := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "s", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, again))
	p.AttemptEnded(testkit.Await(t, "an event", carry.sent), dispatcher.Served, nil, nil)
	if got := testkit.Await(t, "an event", again.first); got.Kind != Served {
		t.Errorf("answered %+v", got)
	}
}

// Guards against jobs that are lost when the program ends: each client that still waits
// is answered, once.
func TestFailOpen(t *testing.T) {
	p, carry, clock := begin(t, "w")
	c := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "r", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, c))
	testkit.Await(t, "an event", carry.sent)
	for _, want := range []int{1, 0} {
		counted := make(chan int, 1)
		p.FailOpen(func(n int) { counted <- n })
		if n := testkit.Await(t, "the count", counted); n != want {
			t.Errorf("%d abandoned, want %d", n, want)
		}
	}
	if got := testkit.Await(t, "an event", c.first); got.Kind != Failed || !got.MayHaveRun || c.count() != 1 {
		t.Errorf("answered %+v, %d times", got, c.count())
	}
}

// A start before the program's own is a time of its own; only 0 is long ago.
func TestClockMapsStarts(t *testing.T) {
	c := NewClock()
	start := time.Now().Add(-10 * time.Second)
	got := c.FromUnixMilli(start.UnixMilli())
	if want := c.Now() - 10*time.Second; got < want-time.Second || got > want+time.Second {
		t.Errorf("a start 10 s ago is at %v, now is %v", got, c.Now())
	}
	if c.FromUnixMilli(0) != 0 || c.FromUnixMilli(1) != 0 {
		t.Error("long ago is not 0")
	}
}

// sourcesOf parses the files of a package in a folder, as far as their imports.
func sourcesOf(t *testing.T, dir, name string) map[string]*ast.File {
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

// Client side and server side meet only in an Exchange.
func TestSidesAreApart(t *testing.T) {
	sides := [][]string{{"httpd", "platformapi", "sse", "jobrequest"}, {"upstream", "discovery"}}
	for i, side := range sides {
		for _, name := range side {
			for file, f := range sourcesOf(t, "../"+name, name) {
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

// Package dispatch deals in requests, attempts and outcomes, and knows no protocol.
func TestDispatchKnowsNoProtocol(t *testing.T) {
	files := 0
	for name, f := range sourcesOf(t, ".", "dispatch") {
		files++
		for _, i := range f.Imports {
			for _, wire := range []string{"net", "gnet", "http", "httpd", "http1", "sse", "json", "upstream"} {
				path := strings.Trim(i.Path.Value, `"`)
				if path == wire || strings.HasSuffix(path, "/"+wire) || strings.HasPrefix(path, wire+"/") {
					t.Errorf("%s imports %s", name, path)
				}
			}
		}
	}
	if files < 3 {
		t.Errorf("only %d files seen", files)
	}
}

// Guards against operators who wait behind clients: an order is carried out before
// events that came earlier.
func TestCommandsComeFirst(t *testing.T) {
	p, _, _ := begin(t, "w")
	openNow(t, p) // the list has been read
	hold, known := make(chan struct{}), make(chan bool, 1)
	p.queue.Put(event{kind: eventCall, call: func() { <-hold }})
	events := make(chan string, 200)
	for range 100 {
		p.queue.Put(event{kind: eventCall, call: func() { events <- "client" }})
	}
	p.Cordon("w", true, func(is bool) { events <- "order"; known <- is })
	close(hold)
	if !testkit.Await(t, "the order", known) {
		t.Error("the worker is not known")
	}
	if first := <-events; first != "order" {
		t.Error("the order waited behind a client's event")
	}
}

// Guards against a cordon that a panic of the module undoes.
func TestCordonOutlivesPanic(t *testing.T) {
	p, carry, clock := begin(t, "w", "v")
	openNow(t, p)
	done := make(chan bool, 1)
	p.Cordon("w", true, func(is bool) { done <- is })
	testkit.Await(t, "the order", done)
	p.queue.Put(event{kind: eventCall, call: func() { panic("fault") }})
	for i := range 6 {
		p.SubmitRequest(NewExchange(Job{ID: string(rune('a' + i)), Class: &classes()[0], Tenant: -1}, clock.Now()+time.Second, newClient()))
		a := testkit.Await(t, "an attempt", carry.sent)
		if a.Worker != "v" {
			t.Fatalf("an attempt went to %s", a.Worker)
		}
		p.AttemptStarted(a)
		p.AttemptEnded(a, dispatcher.Served, nil, nil)
	}
}

// Guards against a job that runs in both processes of an upgrade, and against ids
// that stay taken when the other has ended it, or has ended itself.
func TestIDsOfTheSibling(t *testing.T) {
	p, carry, clock := begin(t, "w", "v")
	updates := make(chan SiblingState, 16)
	handedOver := make(chan HandoverState, 1)
	mine := newClient()
	p.SubmitRequest(NewExchange(Job{ID: "mine", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, mine))
	first := testkit.Await(t, "an attempt", carry.sent)
	p.AddSibling(1, func(s SiblingState) { updates <- s }, func(e HandoverState) { handedOver <- e })
	if e := testkit.Await(t, "the state that is handed over", handedOver); len(e.Shared.Opened) != 1 || e.Shared.Opened[0] != "mine" ||
		e.Shared.Loads[first.Worker].InFlight != 1 {
		t.Errorf("handed over %+v", e.Shared)
	}
	p.UpdateSibling(1, 0, SiblingState{Opened: []string{"a", "b", "c"}})
	p.UpdateSibling(1, 0, SiblingState{Ended: []string{"b"}})
	ask := func(id string) *client {
		c := newClient()
		p.SubmitRequest(NewExchange(Job{ID: id, Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, c))
		return c
	}
	if a := testkit.Await(t, "the answer", ask("a").first); a.Kind != Failed || a.MayHaveRun {
		t.Errorf("a job that is open elsewhere: %+v", a)
	}
	ask("b")
	if a := testkit.Await(t, "an attempt", carry.sent); a.ID != "b" {
		t.Errorf("%s was sent", a.ID)
	}
	for opened := false; !opened; {
		s := testkit.Await(t, "the sibling's update", updates)
		opened = len(s.Opened) > 0 && s.Opened[len(s.Opened)-1] == "b"
	}
	p.AttemptEnded(first, dispatcher.Served, nil, nil)
	for ended := false; !ended; {
		s := testkit.Await(t, "the sibling's update", updates)
		ended = len(s.Ended) > 0 && s.Ended[0] == "mine" && s.Loads[first.Worker].InFlight == 0
	}
	p.RemoveSibling(1)
	ask("c")
	if a := testkit.Await(t, "an attempt", carry.sent); a.ID != "c" {
		t.Errorf("%s was sent", a.ID)
	}
}

// Guards against a job under way that gets another class, by an index into the new
// list: it is repeated by the class that it came with.
func TestUpdateSettingsKeepsTheClassOfJobs(t *testing.T) {
	p, carry, clock := begin(t, "w", "v")
	once, free := newClient(), newClient()
	p.SubmitRequest(NewExchange(Job{ID: "once", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, once))
	first := testkit.Await(t, "an attempt", carry.sent)
	p.SubmitRequest(NewExchange(Job{ID: "free", Class: &classes()[0], Tenant: -1}, clock.Now()+5*time.Second, free))
	second := testkit.Await(t, "an attempt", carry.sent)
	swapped := []dispatcher.Class{classes()[1], classes()[0], {Name: "new", LatencyTarget: time.Second, ClientTimeout: 5 * time.Second}}
	p.UpdateSettings(dispatcher.Settings{Classes: swapped[1:], MaxAttempts: 3, AllowCancel: true}) // once is gone
	p.AttemptEnded(first, dispatcher.ConnectionLost, nil, nil)
	if a := testkit.Await(t, "the answer", once.first); a.Kind != Failed {
		t.Errorf("what must not run twice: %+v", a)
	}
	p.AttemptEnded(second, dispatcher.ConnectionLost, nil, nil)
	if a := testkit.Await(t, "another attempt", carry.sent); a.ID != "free" {
		t.Errorf("sent again was %s", a.ID)
	}
	gone, added := newClient(), newClient()
	p.SubmitRequest(NewExchange(Job{ID: "late", Class: &classes()[1], Tenant: -1}, clock.Now()+5*time.Second, gone))
	if a := testkit.Await(t, "the answer", gone.first); a.Kind != Failed || a.MayHaveRun {
		t.Errorf("a class that is gone: %+v", a)
	}
	p.SubmitRequest(NewExchange(Job{ID: "new", Class: &swapped[2], Tenant: -1}, clock.Now()+300*time.Millisecond, added))
	if a := testkit.Await(t, "the answer or none", added.first); a.Reason == "the class is gone" {
		t.Errorf("a new class: %+v", a)
	}
}

// Guards a job that crosses a change of tenants: it stays its own tenant's, whatever index that had when it was parsed;
// one that was submitted before its tenant was removed is admitted, and one of a tenant that was never there is not.
func TestUpdateSettingsKeepsTheTenantOfJobs(t *testing.T) {
	p, carry, clock := begin(t, "w", "v")
	tenants := func(names string) {
		set := dispatcher.Settings{Classes: classes(), MaxAttempts: 3, AllowCancel: true}
		for _, n := range names {
			set.Tenants = append(set.Tenants, dispatcher.Tenant{Name: string(n), Share: 1})
		}
		p.UpdateSettings(set)
	}
	for i, c := range []struct {
		retune, name string
		number       int
		sent         bool
	}{
		{"ab", "a", 0, true}, {"ba", "a", 0, true}, {"b", "a", 1, true}, {"cb", "a", 0, true},
		{"b", "x", 0, false}, {"", "b", 0, true}, {"a", "", -1, true},
	} {
		tenants(c.retune)
		got := newClient()
		id := fmt.Sprint("job-", i)
		p.SubmitRequest(NewExchange(Job{ID: id, Class: &classes()[0], Tenant: c.number, TenantName: c.name}, clock.Now()+5*time.Second, got))
		if !c.sent {
			if a := testkit.Await(t, "the answer", got.first); a.Kind != Failed || a.MayHaveRun || a.Reason != "the tenant is gone" {
				t.Errorf("%+v: %+v", c, a)
			}
			continue
		}
		a := testkit.Await(t, "an attempt", carry.sent)
		if a.ID != id {
			t.Errorf("%+v: %s was sent", c, a.ID)
		}
		p.AttemptEnded(a, dispatcher.Served, nil, nil)
	}
}
