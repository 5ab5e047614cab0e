package dispatcher

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// Deficit round robin: of the queued requests for one worker, tenants get work by share.
func TestReleaseIsFairByWork(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 3, Quota: 1e9}, {Share: 1, Quota: 1e9}}
	set.Classes = set.Classes[:1]
	set.Classes[0].LatencyTarget = time.Minute
	set.Classes[0].ClientTimeout = time.Minute
	d, h := start(t, set)
	for i := range 80 {
		if err := d.SubmitRequest(h.now, Request{ID: fmt.Sprint(i%2, "-", i), Tenant: i % 2, TimeLeft: time.Minute,
			RuntimeHint: 100 * ms}); err != nil {
			t.Fatal(err)
		}
	}
	d.WorkersUpdated(h.now, UpdateFull, []WorkerInfo{{Worker: "w", Weight: 1}})
	for i := 0; len(h.sends) < 40; i++ { // one at a time waits there, so each that ends lets another out
		h.now += ms
		h.endAttempt(d, h.sends[i].id, 0, Served)
	}
	// All is within the quotas, so all may go out; the order is what is fair.
	count := map[byte]int{}
	for _, s := range h.sends[:40] {
		count[s.id[0]]++
	}
	if count['0'] < 28 || count['0'] > 32 {
		t.Errorf("of the first 40 jobs the tenant with three quarters got %d", count['0'])
	}
}

// Guards against a queue at each worker in which all jobs get late alike, while
// more come: what finds no free capacity is queued here, where it can still go elsewhere or
// be rejected in time.
func TestBusyWorkersGetNoQueue(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 1, Quota: 1e6}} // within it, sigma does not bind
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
			t.Errorf("%d jobs wait at %s", n, w)
		}
	}
	for _, s := range slices.Clone(h.sends) {
		if err := d.AttemptStarted(h.now, s.id, 0); err != nil {
			t.Fatal(err)
		}
	}
	if len(h.sends) != 6 {
		t.Errorf("%d jobs sent once the first 3 run, want 3 more", len(h.sends))
	}
	h.run(d, h.now+time.Second) // past the aims
	refused := 0
	for _, how := range h.ends {
		if how == "refused" {
			refused++
		}
	}
	if refused < 50 || len(h.sends)+refused != 60 {
		t.Errorf("%d sent, %d refused", len(h.sends), refused)
	}
}

// A job larger than any credit so far still gets its turn.
func TestLargeJobIsNotStarved(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	for i := range 50 {
		id := fmt.Sprint("r", i)
		_ = d.SubmitRequest(h.now, Request{ID: id, TimeLeft: 5 * time.Second, RuntimeHint: 10 * ms})
		h.now += ms
		h.endAttempt(d, id, 0, Served)
	}
	d.ClientDisconnected(h.now, "none")
	_ = d.SubmitRequest(h.now, Request{ID: "large", TimeLeft: 5 * time.Second, RuntimeHint: 800 * ms, Slots: 4})
	h.run(d, h.now+200*ms)
	if h.attempts["large"] != 1 {
		t.Errorf("large job sent %d times, ended %q", h.attempts["large"], h.ends["large"])
	}
}

// Beyond its quota a tenant uses only free slots that the last report showed.
func TestBeyondTheQuotaOnlyReportedFreeSlots(t *testing.T) {
	set := settings()
	set.StartNotified = false
	set.Tenants = []Tenant{{Share: 1, Quota: 2}, {Share: 1, Quota: 2}}
	d, h := start(t, set, fleet(2)...)
	for _, w := range d.workers.all {
		w.freeSlots, w.freeSlotsAt = 0, h.now-time.Minute
	}
	for i := range 10 {
		_ = d.SubmitRequest(h.now, Request{ID: fmt.Sprint("r", i), TimeLeft: 5 * time.Second})
	}
	if len(h.sends) != int(2*quotaFactor) {
		t.Errorf("%d sent, quota of 2 jobs a second", len(h.sends))
	}
}
