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

// askJournal asks the scheduler's journal.
func (c *child) askJournal(query string) (int, journal.Report) {
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

// settle has an operator settle a job, with that body, and returns the status.
func (c *child) decide(body string) int {
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

func journaled(t *testing.T, f *fleet) *child {
	t.Helper()
	c := startChild(t, f)
	c.kill()
	c.config.Journal = &dispatchconfig.Journal{Dir: filepath.Join(t.TempDir(), "journal"), ReserveMB: 1, MaxMB: 16}
	c.write()
	c.start()
	return c
}

// Guards the one question after a crash: what ran is said to have run, what was in flight is
// unknown and says where to look, idempotent jobs are not recorded, and an operator
// settles it.
func TestJournalAfterAKill(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := journaled(t, f)
	served := post(c.addr, "/plan-change", job("served")...)
	f.next().finish("x")
	testkit.Await(t, "the answer", served)
	free := post(c.addr, "/usage-view", job("free")...)
	f.next().finish("x")
	testkit.Await(t, "the answer", free)
	post(c.addr, "/plan-change", job("out")...)
	out := f.next()
	out.write(`"state":"started"`)
	for status, r := c.askJournal("?job=out"); status != 200 || r.Attempts[0].StartedAt == ""; status, r = c.askJournal("?job=out") {
		if status != 200 && status != 404 {
			t.Fatalf("asked for an open job: %d", status)
		}
	}
	c.kill()
	c.start()
	checkAfterKill(t, c, out.worker)
	for _, bad := range []string{"", "{}", `{"job":"out"}`, `{"job":"out","verdict":"maybe","by":"a","why":"b"}`} {
		if got := c.decide(bad); got != 400 {
			t.Errorf("settled by %q: %d", bad, got)
		}
	}
	if got := c.decide(`{"job":"nobody","verdict":"ran","by":"ann","why":"saw it"}`); got != 404 {
		t.Errorf("an unknown job was settled: %d", got)
	}
	if got := c.decide(`{"job":"out","verdict":"ran","by":"ann","why":"saw it"}`); got != 200 {
		t.Errorf("settled: %d", got)
	}
	if _, r := c.askJournal("?job=out"); r.Verdict != "ran" || r.Decided == nil || r.Decided.By != "ann" {
		t.Errorf("after it was settled: %+v", r)
	}
}

// checkAfterKill checks what the journal says of the jobs "served", "out" and "free" after
// the scheduler was killed while "out" was at a worker.
func checkAfterKill(t *testing.T, c *child, worker string) {
	t.Helper()
	if status, r := c.askJournal("?job=served"); status != 200 || r.Verdict != "ran" || r.Attempts[0].Outcome != "served" || r.Answer.Kind != "served" {
		t.Errorf("what was served: %d %+v", status, r)
	}
	status, r := c.askJournal("?job=out")
	if status != 200 || r.Verdict != "unknown" || len(r.Workers) != 1 || r.Workers[0] != worker || r.Attempts[0].SentAt == "" {
		t.Errorf("what was out at the kill: %d %+v", status, r)
	}
	if status, _ := c.askJournal("?job=free"); status != 404 {
		t.Errorf("a free job: %d", status)
	}
}

// Guards the journals of an upgrade's two processes: each has its own, and either finds
// the jobs of both.
func TestJournalOverAnUpgrade(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := journaled(t, f)
	before := post(c.addr, "/plan-change", job("before")...)
	first := f.next()
	next := c.startSuccessor()
	first.finish("x")
	testkit.Await(t, "the answer", before)
	after := post(c.addr, "/plan-change", job("after")...)
	f.next().finish("y")
	testkit.Await(t, "the answer", after)
	c.signal(syscall.SIGTERM)
	c.awaitExit()
	for _, id := range []string{"before", "after"} {
		if status, r := next.askJournal("?job=" + id); status != 200 || r.Verdict != "ran" {
			t.Errorf("%s: %d %+v", id, status, r)
		}
	}
}
