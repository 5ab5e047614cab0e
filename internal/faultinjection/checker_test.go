package faultinjection

import (
	"os"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fake"
)

func TestMain(m *testing.M) {
	ServeIfChild()
	os.Exit(m.Run())
}

// TestCheckerFindsPlantedFaults guards against a checker that misses violations: it must report each planted violation with its
// request and rule, and report none for a correct run.
func TestCheckerFindsPlantedFaults(t *testing.T) {
	at := time.Now()
	for _, c := range []struct {
		rule  string
		plant func(e *Observations)
	}{
		{"", func(*Observations) {}},
		{"answered in time", func(e *Observations) { e.Responses[0].Status = 0 }},
		{"answered in time", func(e *Observations) { e.Responses[0].ReceivedAt = at.Add(6 * time.Second) }},
		{"", func(e *Observations) {
			e.Responses[0].ReceivedAt, e.Outages["n0"] = at.Add(5*time.Second), []Interval{{From: at.Add(time.Second)}}
		}},
		{"answered in time", func(e *Observations) {
			e.Responses[0].Status, e.Outages["n0"] = 0, []Interval{{at.Add(-2 * time.Second), at.Add(-time.Second)}}
		}},
		{"rejected job not run", func(e *Observations) { e.Responses[0].Status = 429 }},
		{"invalid job not run", func(e *Observations) { e.Responses[0].Status = 400 }},
		{"served by a worker", func(e *Observations) { e.Responses[0].Body = "plan-change n0-0-0: 3 bytes by box-2" }},
		{"submitted", func(e *Observations) { e.Responses = e.Responses[1:] }},
		{"at most once", func(e *Observations) { e.RunLog.Begin("n0-0-0", "plan-change", "box-2", at) }},
		{"", func(e *Observations) { e.RunLog.Begin("n1-0-0", "bill-pay", "box-2", at) }},
		{"at most once per cell", func(e *Observations) { e.RunLog.Begin("n1-0-0", "bill-pay", "box-3", at) }},
		{"not sent to a draining worker", func(e *Observations) { e.Drained["box-1"][0].From = at.Add(-2 * time.Second) }},
	} {
		e := Observations{RunLog: fake.NewRunLog(), CellOf: map[string]int{"box-1": 1, "box-2": 1, "box-3": 2}, Timeout: 2 * time.Second,
			Outages: map[string][]Interval{}, Drained: map[string][]Interval{"box-1": {{From: at.Add(-100 * time.Millisecond)}, {at.Add(-time.Hour), at.Add(-time.Minute)}}}}
		for _, job := range []struct{ id, class string }{{"n0-0-0", "plan-change"}, {"n1-0-0", "bill-pay"}} {
			e.RunLog.Begin(job.id, job.class, "box-1", at)
			e.RunLog.Finish(job.id, "box-1")
			e.Responses = append(e.Responses, fake.Response{Job: job.id, Class: job.class, SentAt: at, ReceivedAt: at.Add(time.Second), Status: 200,
				Body: job.class + " " + job.id + ": 3 bytes by box-1"})
		}
		c.plant(&e)
		violations := e.Violations()
		if c.rule == "" && len(violations) > 0 {
			t.Errorf("a correct run is reported as a violation: %v", violations[0])
		}
		if c.rule != "" && (len(violations) == 0 || violations[0].Rule != c.rule || !strings.HasPrefix(violations[0].Request, "n") ||
			violations[0].At.IsZero()) {
			t.Errorf("planted a violation of %q, found %v", c.rule, violations)
		}
	}
}
