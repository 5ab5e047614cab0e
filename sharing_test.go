package sedgevale

import (
	"encoding/json"
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"
)

// Guards against two processes of one scheduler that each fill a worker as if they
// were alone, and against slots that stay booked when the other, or the worker, ends.
func TestBesideCountsLikeOwn(t *testing.T) {
	d, h := start(t, settings(), fleet(2)...)
	if len(d.Out()) != 0 {
		t.Errorf("nothing is out, but %v", d.Out())
	}
	d.Beside(h.now, map[string]Load{"w0": {Held: 3, Waiting: 1}, "stranger": {Held: 9}})
	for i := range 3 {
		id := fmt.Sprint("r", i)
		h.ask(d, id, 0)
		if h.last() != "w1" {
			t.Errorf("job %d went to %s, where the other has three", i, h.last())
		}
		_ = d.Started(h.now, id, 0)
	}
	if got := d.Out()["w1"]; got.Held != 3 || got.Waiting != 0 || d.Out()["w0"] != (Load{}) {
		t.Errorf("out is %v", d.Out())
	}
	if d.held != 6 {
		t.Errorf("%v slots are booked", d.held)
	}
	d.Beside(h.now, map[string]Load{"w0": {Held: 1}})
	if w := d.byName["w0"]; d.held != 4 || w.held != 1 || w.unstarted != 0 {
		t.Errorf("%v slots are booked, %v at w0, %d wait", d.held, w.held, w.unstarted)
	}
	d.Members(h.now, ListPatch, []WorkerInfo{{Worker: "w0", State: Left}})
	d.Beside(h.now, nil)
	if d.held != 3 || d.pools[0].held != 3 {
		t.Errorf("%v slots are booked once the worker and the other are gone", d.held)
	}
}

// Guards against a cold worker that two processes push over together.
func TestBesideSpendsColdCredit(t *testing.T) {
	set := settings()
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall = 8*time.Second, 0.3, 3, 2*time.Second
	d, h := start(t, set, WorkerInfo{Worker: "cold", Weight: 1, StartedAt: time.Hour})
	w := d.byName["cold"]
	w.credit = 1
	d.Beside(h.now, map[string]Load{"cold": {Sent: 50}}) // before it was known here
	d.Beside(h.now, map[string]Load{"cold": {Sent: 50.75}})
	if w.credit != 0.25 {
		t.Errorf("credit is %v", w.credit)
	}
}

// What one dispatcher has learned another goes on from, through the wire's form.
func TestLearnedIsAdopted(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a", Share: 1, Quota: 10}, {Name: "b", Share: 2}}
	set.WarmUp, set.StartCapacity, set.FallMultiple, set.Fall = 8*time.Second, 0.3, 3, 2*time.Second
	workers := append(fleet(3), WorkerInfo{Worker: "cold", Weight: 1, StartedAt: time.Hour - time.Second})
	d, h := start(t, set, workers...)
	for i := range 60 {
		id := fmt.Sprint("r", i)
		h.ask(d, id, i%3)
		h.run(d, h.now+10*ms)
		if h.tries[id] == 0 {
			continue
		}
		_ = d.Started(h.now, id, 0)
		h.run(d, h.now+30*ms)
		if i%7 == 6 {
			h.over(d, id, 0, Full)
		} else {
			_ = d.Outcome(h.now, Result{ID: id, Outcome: Served, Closed: true, Report: &Report{HasFree: true, Free: 3}})
			h.ends[id] = "served"
		}
	}
	b, err := json.Marshal(d.Learned(h.now))
	if err != nil {
		t.Fatal(err)
	}
	var l Learned
	if err := json.Unmarshal(b, &l); err != nil {
		t.Fatal(err)
	}
	next, other := start(t, set, workers...)
	other.now = h.now + time.Hour // its clock is another
	next.Adopt(other.now, l)
	got := next.Learned(other.now)
	for i := range l.Workers { // the credit stays with the other
		l.Workers[i].Credit = min(0, l.Workers[i].Credit)
		if l.Workers[i].Cold == 0 {
			got.Workers[i].Credit = l.Workers[i].Credit
		}
		for _, v := range []*float64{&l.Workers[i].Suspect, &got.Workers[i].Suspect} { // times are whole nanoseconds
			*v = math.Round(*v*1e6) / 1e6
		}
	}
	if !reflect.DeepEqual(got, l) {
		t.Errorf("adopted %+v\nfrom %+v", got, l)
	}
	if l.Classes[0].Run <= 0 || l.Workers[0].Sigma == 0 || l.Work <= 0 || l.Workers[3].Cold <= 0 {
		t.Errorf("nothing was learned: %+v", l)
	}
}
