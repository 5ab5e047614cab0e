package scheduler_test

import (
	"encoding/json"
	"net/http"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/journal"
	"sedgevale/internal/testkit"
)

// queryJournal sends a query to the scheduler's journal and returns the status and the last report.
func (c *child) queryJournal(query string) (int, journal.Report) {
	c.t.Helper()
	a, err := testkit.Get(c.t, "http://"+c.config.Ops+"/admin/journal"+query)
	if err != nil {
		c.t.Fatal(err)
	}
	var r journal.Report
	if a.Status == 200 {
		lines := strings.Split(strings.TrimSpace(a.Body), "\n")
		if err := json.Unmarshal([]byte(lines[len(lines)-1]), &r); err != nil {
			c.t.Fatalf("%s: %v", a.Body, err)
		}
	}
	return a.Status, r
}

// settle sends an operator's request to settle a job and returns the status.
func (c *child) settle(body string) int {
	c.t.Helper()
	q, err := http.NewRequestWithContext(c.t.Context(), "POST", "http://"+c.config.Ops+"/admin/journal/settle", strings.NewReader(body))
	if err != nil {
		c.t.Fatal(err)
	}
	q.Header.Set("Content-Type", "application/json")
	a, err := testkit.RoundTrip(http.DefaultTransport, q)
	if err != nil {
		c.t.Fatal(err)
	}
	return a.Status
}

func startWithJournal(t *testing.T, f *fleet) *child {
	t.Helper()
	c := startChild(t, f)
	c.kill()
	c.config.Journal = &dispatchconfig.Journal{Dir: filepath.Join(t.TempDir(), "journal"), ReserveMB: 1, MaxMB: 16}
	c.write()
	c.start()
	return c
}

// Verifies the journal after a crash: a served job is reported as run, a job in flight as unknown
// with the worker that it was sent to, idempotent jobs are not recorded, and an operator can settle
// the unknown job.
func TestJournalAfterKill(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startWithJournal(t, f)
	served := post(c.addr, "/plan-change", job("served")...)
	f.next().finish("x")
	testkit.Await(t, "the response", served)
	free := post(c.addr, "/usage-view", job("free")...)
	f.next().finish("x")
	testkit.Await(t, "the response", free)
	post(c.addr, "/plan-change", job("out")...)
	out := f.next()
	out.write(`"state":"started"`)
	for status, r := c.queryJournal("?job=out"); status != 200 || r.Attempts[0].StartedAt == ""; status, r = c.queryJournal("?job=out") {
		if status != 200 && status != 404 {
			t.Fatalf("query of an open job: status %d, want 200 or 404", status)
		}
	}
	c.kill()
	c.start()
	checkAfterKill(t, c, out.worker)
	for _, bad := range []string{"", "{}", `{"job":"out"}`, `{"job":"out","verdict":"maybe","by":"a","why":"b"}`} {
		if got := c.settle(bad); got != 400 {
			t.Errorf("settle with invalid body %q: status %d, want 400", bad, got)
		}
	}
	if got := c.settle(`{"job":"nobody","verdict":"ran","by":"ann","why":"saw it"}`); got != 404 {
		t.Errorf("settle of an unknown job: status %d, want 404", got)
	}
	if got := c.settle(`{"job":"out","verdict":"ran","by":"ann","why":"saw it"}`); got != 200 {
		t.Errorf("settle: status %d, want 200", got)
	}
	if _, r := c.queryJournal("?job=out"); r.Verdict != "ran" || r.Decided == nil || r.Decided.By != "ann" {
		t.Errorf("report of the settled job: %+v", r)
	}
}

// checkAfterKill checks the journal's reports of the jobs "served", "out" and "free" after the
// scheduler was killed while "out" was at a worker.
func checkAfterKill(t *testing.T, c *child, worker string) {
	t.Helper()
	if status, r := c.queryJournal("?job=served"); status != 200 || r.Verdict != "ran" || r.Attempts[0].Outcome != "served" || r.Answer.Kind != "served" {
		t.Errorf("served job: status %d, report %+v", status, r)
	}
	status, r := c.queryJournal("?job=out")
	if status != 200 || r.Verdict != "unknown" || len(r.Workers) != 1 || r.Workers[0] != worker || r.Attempts[0].SentAt == "" {
		t.Errorf("job in flight at the kill: status %d, report %+v", status, r)
	}
	if status, _ := c.queryJournal("?job=free"); status != 404 {
		t.Errorf("idempotent job: status %d, want 404", status)
	}
}

// Verifies the journals during an upgrade: each of the two processes has its own log, and the new
// process finds the jobs of both.
func TestJournalDuringUpgrade(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startWithJournal(t, f)
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()
	next := c.startSuccessor()
	first.finish("x")
	testkit.Await(t, "the response", before)
	after := post(c.addr, "/plan-change", job("after")...)
	f.next().finish("y")
	testkit.Await(t, "the response", after)
	c.signal(syscall.SIGTERM)
	c.awaitExit()
	for _, id := range []string{"before", "after"} {
		if status, r := next.queryJournal("?job=" + id); status != 200 || r.Verdict != "ran" {
			t.Errorf("job %s: status %d, report %+v", id, status, r)
		}
	}
}
