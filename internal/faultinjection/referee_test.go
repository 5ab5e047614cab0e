package faultinjection

import (
	"os"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/fake"
)

func TestMain(m *testing.M) {
	ServeIfAsked()
	os.Exit(m.Run())
}

// Guards against a referee that sees nothing: each planted fault is found, with request, box and rule, and a sound
// course of things has none.
func TestRefereeFindsPlantedFaults(t *testing.T) {
	at := time.Now()
	for _, c := range []struct {
		rule  string
		plant func(e *Evidence)
	}{
		{"", func(*Evidence) {}},
		{"one answer in time", func(e *Evidence) { e.Told[0].Status = 0 }},
		{"one answer in time", func(e *Evidence) { e.Told[0].At = at.Add(6 * time.Second) }},
		{"", func(e *Evidence) {
			e.Told[0].At, e.Outages["n0"] = at.Add(5*time.Second), []Span{{From: at.Add(time.Second)}}
		}},
		{"one answer in time", func(e *Evidence) {
			e.Told[0].Status, e.Outages["n0"] = 0, []Span{{at.Add(-2 * time.Second), at.Add(-time.Second)}}
		}},
		{"a refusal is harmless", func(e *Evidence) { e.Told[0].Status = 429 }},
		{"no job is begun", func(e *Evidence) { e.Told[0].Status = 400 }},
		{"served by a box", func(e *Evidence) { e.Told[0].Body = "plan-change n0-0-0: 3 bytes by box-2" }},
		{"asked for", func(e *Evidence) { e.Told = e.Told[1:] }},
		{"once", func(e *Evidence) { e.Ledger.Begin("n0-0-0", "plan-change", "box-2", at) }},
		{"", func(e *Evidence) { e.Ledger.Begin("n1-0-0", "bill-pay", "box-2", at) }},
		{"once a shelf", func(e *Evidence) { e.Ledger.Begin("n1-0-0", "bill-pay", "box-3", at) }},
		{"drains kept", func(e *Evidence) { e.Drained["box-1"][0].From = at.Add(-2 * time.Second) }},
	} {
		e := Evidence{Ledger: fake.NewLedger(), Cells: map[string]int{"box-1": 1, "box-2": 1, "box-3": 2}, Timeout: 2 * time.Second,
			Outages: map[string][]Span{}, Drained: map[string][]Span{"box-1": {{From: at.Add(-100 * time.Millisecond)}, {at.Add(-time.Hour), at.Add(-time.Minute)}}}}
		for _, job := range []struct{ id, class string }{{"n0-0-0", "plan-change"}, {"n1-0-0", "bill-pay"}} {
			e.Ledger.Begin(job.id, job.class, "box-1", at)
			e.Ledger.Finish(job.id, "box-1")
			e.Told = append(e.Told, fake.Told{Job: job.id, Class: job.class, Asked: at, At: at.Add(time.Second), Status: 200,
				Body: job.class + " " + job.id + ": 3 bytes by box-1"})
		}
		c.plant(&e)
		breaches := e.Judge()
		if c.rule == "" && len(breaches) > 0 {
			t.Errorf("a breach was made up: %v", breaches[0])
		}
		if c.rule != "" && (len(breaches) == 0 || breaches[0].Rule != c.rule || !strings.HasPrefix(breaches[0].Request, "n") ||
			breaches[0].At.IsZero()) {
			t.Errorf("planted %q, found %v", c.rule, breaches)
		}
	}
}
