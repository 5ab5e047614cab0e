package dispatcher

import (
	"math"
	"testing"
)

func TestLimitDecreasesOnceARoundAndIncreases(t *testing.T) {
	d, h := start(t, settings(), fleet(1)...)
	w := d.workers.byName["w0"]
	if w.limit != unlimited {
		t.Fatalf("limit %v before any failure", w.limit)
	}
	w.inFlight = 4
	d.limits.decrease(&d.workers, w, 0)
	d.limits.decrease(&d.workers, w, 0)
	if want := limitDecreaseFactor * 4; w.limit != want {
		t.Errorf("limit %v after two failures in a round, want %v", w.limit, want)
	}
	d.endRound(h.now)
	d.endRound(h.now)
	w.inFlight, w.cleanRound = 1, true
	d.limits.clean = []*worker{w}
	before := w.limit
	d.endRound(h.now)
	if want := before + limitIncreaseStep*(before-1); math.Abs(w.limit-want) > 1e-9 {
		t.Errorf("limit %v after a clean round, want %v", w.limit, want)
	}
	w.cleanRound, w.freeSlots, w.freeSlotsAt = true, 3, h.now
	d.estimates.meanWork, d.limits.clean, before = 1, []*worker{w}, w.limit
	d.endRound(h.now)
	if want := before + limitIncreaseStep*3; math.Abs(w.limit-want) > 1e-9 {
		t.Errorf("limit %v with three slots reported free, want %v", w.limit, want)
	}
	d.workers.setLimit(w, minLimit)
	w.lastDecreaseRound = -1
	w.inFlight = 0
	d.limits.decrease(&d.workers, w, 0)
	if w.limit != minLimit {
		t.Errorf("limit %v fell below its minimum", w.limit)
	}
}

// The quantile is Q(sigma_d/alpha_d, 0.25) over five workers, after 128 or more requests.
func TestQuantile(t *testing.T) {
	d, _ := start(t, settings(), fleet(5)...)
	tn := d.tenants.all[0]
	for i, limit := range []float64{1, 2, 6, 8, 3} {
		d.workers.setLimit(d.workers.all[i], limit)
		tn.countSent(d.workers.all[i])
		tn.sendShares[i] = sendShare{Value: []float64{0.5, 0.125, 0.125, 0.125, 0.125}[i], AsOfJob: 1000, Used: true}
	}
	tn.sentRequests = 1000
	// Smoothing with 5 requests of 133 moves each share towards a fifth: 65/133, then 17/133 four times. The quantile is the second lowest of five.
	want := 2.0 / (17.0 / 133.0)
	if got := d.limits.quantile(tn, &d.workers); math.Abs(got-want) > 1e-9 {
		t.Errorf("quantile %v, want %v, above %v and below %v", got, want, 1/(65.0/133), 3/(17.0/133))
	}
}

func TestSendShareDecaysByRequests(t *testing.T) {
	d, _ := start(t, settings(), fleet(2)...)
	tn := d.tenants.all[0]
	for range 2000 {
		tn.countSent(d.workers.all[0])
	}
	if a := tn.sendShares[0].DecayedTo(tn.sentRequests, sendShareGain); math.Abs(a-1) > 0.01 {
		t.Errorf("share %v of the only worker used, want 1", a)
	}
	for range 128 {
		tn.countSent(d.workers.all[1])
	}
	if a := tn.sendShares[0].DecayedTo(tn.sentRequests, sendShareGain); math.Abs(a-math.Pow(1-sendShareGain, 128)) > 0.01 {
		t.Errorf("share %v after 128 requests to another worker", a)
	}
}

func TestLocalShareIsMaxMinFair(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Share: 2}, {Share: 1}, {Share: 1}}
	d, _ := start(t, set, fleet(4)...)
	for _, w := range d.workers.all {
		d.workers.setLimit(w, 2)
	}
	for i, demand := range []float64{20, 1, 5} {
		d.tenants.all[i].inFlight = demand
	}
	d.updateLocalShares()
	// Of 8 slots the second tenant gets its demand of 1, and the rest is split 2 to 1. No tenant falls below its share of 8.
	for i, want := range []float64{14.0 / 3, 2, 7.0 / 3} {
		if got := d.tenants.all[i].localShare; math.Abs(got-want) > 1e-9 {
			t.Errorf("tenant %d: %v slots, want %v", i, got, want)
		}
	}
	for _, tn := range d.tenants.all {
		tn.inFlight, tn.localShare = 1, 1
	}
	d.updateLocalShares()
	if want := 1 + limitIncreaseStep*5; math.Abs(d.tenants.all[0].localShare-want) > 1e-9 {
		t.Errorf("local share grows to %v, want %v", d.tenants.all[0].localShare, want)
	}
}
