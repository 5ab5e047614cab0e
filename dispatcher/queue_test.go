package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// By deficit round robin, tenants with requests queued for one worker are served in proportion to their shares.
func TestReleaseIsFairByWork(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 3, Quota: 1e9}, {Share: 1, Quota: 1e9}}
	set.Classes = set.Classes[:1]
	set.Classes[0].LatencyTarget = time.Minute
	set.Classes[0].ClientTimeout = time.Minute
	d, h := start(t, set)
	for i := range 80 {
		if err := d.SubmitRequest(h.now, Request{ID: fmt.Sprint(i%2, "-", i), Tenant: i % 2, RemainingTimeout: time.Minute,
			RuntimeHint: 100 * ms}); err != nil {
			t.Fatal(err)
		}
	}
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{{Name: "w", Weight: 1}})
	for i := 0; len(h.sends) < 40; i++ { // only one request may wait at the worker, so each end releases another
		h.now += ms
		h.endAttempt(d, h.sends[i].id, 0, Served)
	}
	// All requests are within the quotas and may be sent; fairness determines their order.
	count := map[byte]int{}
	for _, s := range h.sends[:40] {
		count[s.id[0]]++
	}
	if count['0'] < 28 || count['0'] > 32 {
		t.Errorf("the tenant with three quarters of the shares got %d of the first 40 requests", count['0'])
	}
}

// Guards against queues at workers in which all requests miss their targets: requests that
// find no free capacity are queued here, where they can still go to another worker or be
// rejected early.
func TestBusyWorkersGetNoQueue(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 1, Quota: 1e6}} // within its quota the limit does not apply
	d, h := start(t, set, fleet(3)...)
	for i := range 60 {
		h.submit(d, fmt.Sprint("r", i), 0)
	}
	at := map[string]int{}
	for _, s := range h.sends {
		at[s.worker]++
	}
	for w, n := range at {
		if n > 1 {
			t.Errorf("%d requests wait at %s, want at most 1", n, w)
		}
	}
	for _, s := range slices.Clone(h.sends) {
		if err := d.AttemptStarted(h.now, s.id, 0); err != nil {
			t.Fatal(err)
		}
	}
	if len(h.sends) != 6 {
		t.Errorf("%d requests sent after the first 3 started, want 6", len(h.sends))
	}
	h.run(d, h.now+time.Second) // past the latency targets
	rejected := 0
	for _, how := range h.ends {
		if how == "rejected" {
			rejected++
		}
	}
	if rejected < 50 || len(h.sends)+rejected != 60 {
		t.Errorf("%d requests sent and %d rejected of 60", len(h.sends), rejected)
	}
}

// A request with more work than any credit so far is still sent.
func TestLargeRequestIsNotStarved(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	for i := range 50 {
		id := fmt.Sprint("r", i)
		_ = d.SubmitRequest(h.now, Request{ID: id, RemainingTimeout: 5 * time.Second, RuntimeHint: 10 * ms})
		h.now += ms
		h.endAttempt(d, id, 0, Served)
	}
	d.ClientDisconnected(h.now, "none")
	_ = d.SubmitRequest(h.now, Request{ID: "large", RemainingTimeout: 5 * time.Second, RuntimeHint: 800 * ms, Slots: 4})
	h.run(d, h.now+200*ms)
	if h.attempts["large"] != 1 {
		t.Errorf("the large request was sent %d times and ended as %q", h.attempts["large"], h.ends["large"])
	}
}

// Beyond its quota a tenant may use only slots that the last load report showed as free.
func TestBeyondTheQuotaOnlyReportedFreeSlots(t *testing.T) {
	set := settings()
	set.StartNotified = false
	set.Tenants = []Tenant{{Share: 1, Quota: 2}, {Share: 1, Quota: 2}}
	d, h := start(t, set, fleet(2)...)
	for _, w := range d.workers.all {
		w.freeSlots, w.freeSlotsAt = 0, h.now-time.Minute
	}
	for i := range 10 {
		_ = d.SubmitRequest(h.now, Request{ID: fmt.Sprint("r", i), RemainingTimeout: 5 * time.Second})
	}
	if len(h.sends) != int(2*quotaFactor) {
		t.Errorf("%d requests sent, with a quota of 2 requests per second", len(h.sends))
	}
}
