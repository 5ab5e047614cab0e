package slopes

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// bound is what a slope of the small form may be. Each is 1.5 times what was measured when it was set, so that a slope
// which doubles fails; one that falls under half of that wants its bound set anew. They are of the ordinary build; with the
// race detector the same came out to 1.4% (its shadow memory is not on Go's heap, and nothing here is timed), so both builds
// keep the same bounds and nothing is left out in either.
type bound struct {
	name     string
	measured float64
}

func (b bound) check(t *testing.T, got float64) {
	t.Helper()
	t.Logf("%s: %.1f (bound %.1f)", b.name, got, 1.5*b.measured)
	if !(got <= 1.5*b.measured) {
		t.Errorf("%s: %.1f, at most 1.5 times %.1f", b.name, got, b.measured)
	}
	if !(got >= 0.5*b.measured) {
		t.Errorf("%s: %.1f, less than half of %.1f: set the bound anew", b.name, got, b.measured)
	}
}

// small is a load whose pairs of tenant and worker are all used within a minute.
func small() Load {
	return Load{Workers: 100, Tenants: 10, Slots: 16, Schedulers: 14, JobsPerS: 50, ShortS: 0.2, Seed: 1}
}

// Guards against state that grows faster with workers, tenants, or pairs of both than the budget of memory allows. What is
// counted are the bytes of objects that the garbage collector finds in use, which do not hang on the machine.
func TestHeapSlopes(t *testing.T) {
	at := func(workers, tenants int) float64 {
		l := small()
		l.Workers, l.Tenants = workers, tenants
		return Measure(l).Heap
	}
	const w, v, m, n = 50, 250, 10, 110
	wm, vm, wn, vn := at(w, m), at(v, m), at(w, n), at(v, n)
	pair := (vn - vm - wn + wm) / ((v - w) * (n - m))
	bound{"bytes a pair of tenant and worker", 22.6}.check(t, pair)
	bound{"bytes a worker", 562}.check(t, (vm-wm)/(v-w)-m*pair)
	bound{"bytes a tenant", 975}.check(t, (wn-wm)/(n-m)-w*pair)
}

// The same for running tasks.
func TestHeapOfATask(t *testing.T) {
	at := func(running int) float64 {
		l := small()
		l.Running = running
		p := Measure(l)
		if p.Held < float64(running) {
			t.Errorf("%d tasks: %.0f slots held", running, p.Held)
		}
		return p.Heap
	}
	bound{"bytes a running task", 390}.check(t, (at(1100)-at(100))/1000)
}

// Guards against work for the garbage collector that grows with each job.
func TestAllocationsOfAJob(t *testing.T) {
	objects, bytes := Allocations(small())
	bound{"objects allocated for a job", 2}.check(t, objects)
	bound{"bytes allocated for a job", 298}.check(t, bytes)
}

// Guards against longer and more words between schedulers.
func TestWords(t *testing.T) {
	l := small()
	l.JobsPerS, l.Part = 10, true
	bytes, entries, _ := Words(l, 5*time.Second)
	bound{"bytes told for a job", 167}.check(t, bytes)
	bound{"entries told for a job", 13.9}.check(t, entries)
	l.Workers = 200
	told := Rest(l, 2000, 5*time.Second)
	bound{"bytes of a word, with its part of the datagram", 4.2}.check(t, (told.Sent-told.Watch-told.Other)/told.Words)
	bound{"times a second that an unchanged word is told", 1}.check(t, told.Entries/told.Words)
	bound{"words a second for a task that does not change", 4.0}.check(t, told.Entries*float64(l.Schedulers)/2000)
	bound{"bytes a second of the watch", 72}.check(t, told.Watch)
	if told.Other > 200 {
		t.Errorf("%.0f bytes a second of neither tasks nor the watch, 200 at most", told.Other)
	}
}

// Guards the measure itself: the load is reached, rounds keep their pace, nothing is refused, and the same seed gives the same.
func TestMeasureReachesItsLoad(t *testing.T) {
	l := small()
	l.Running, l.Part = 300, true
	s := newSite(l, 1, false)
	s.run(30 * time.Second)
	if s.spent.Rounds < 295 || s.spent.Rounds > 300 {
		t.Errorf("%d rounds in 30 s, want one each 100 ms", s.spent.Rounds)
	}
	if s.spent.Refused > 0 || s.spent.Full > 0 {
		t.Errorf("%d refused, %d sent to full workers", s.spent.Refused, s.spent.Full)
	}
	if got, want := float64(s.spent.Jobs-l.Running)/30, l.JobsPerS; math.Abs(got-want) > 0.1*want {
		t.Errorf("%.1f jobs a second, want about %.1f", got, want)
	}
	one, two := Measure(l), Measure(l)
	if one.Held != two.Held || one.Jobs != two.Jobs || math.Abs(one.Heap-two.Heap) > 0.02*one.Heap {
		t.Errorf("the same load gave %+v and %+v", one, two)
	}
}

// Guards the fit against known lines, with and without noise, and against points that determine none.
func TestFit(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var rows [][]float64
	var exact, noisy []float64
	for w := 1.0; w <= 4; w++ {
		for u := 1.0; u <= 4; u++ {
			for range 3 {
				row := []float64{1, 1000 * w, u, 1000 * w * u}
				y := 5 + 2*row[1] + 300*row[2] + 0.5*row[3]
				rows, exact, noisy = append(rows, row), append(exact, y), append(noisy, y+10*rng.NormFloat64())
			}
		}
	}
	for name, y := range map[string][]float64{"exact": exact, "noisy": noisy} {
		l, err := Fit(rows, y)
		if err != nil {
			t.Fatal(name, err)
		}
		for j, want := range []float64{5, 2, 300, 0.5} {
			if math.Abs(l.Coef[j]-want) > 3*l.Error[j]+1e-6*want {
				t.Errorf("%s: coefficient %d is %v, error %v, want %v", name, j, l.Coef[j], l.Error[j], want)
			}
		}
		if name == "noisy" && (l.Error[2] < 1 || l.Error[2] > 20) { // 10 over the root of 48 points, times the spread of the terms
			t.Errorf("error of the third coefficient: %v", l.Error[2])
		}
	}
	for _, bad := range [][][]float64{nil, {{1, 2}}, {{1, 0}, {1, 0}, {1, 0}}, {{1, 2}, {1, 2}, {1, 2}}} {
		if _, err := Fit(bad, make([]float64, len(bad))); err == nil {
			t.Errorf("%v gave a line", bad)
		}
	}
}

// Guards the clock: what is due comes in order, and of one moment as it was asked for.
func TestClock(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	var c clock
	var want []event
	for i := range 1000 {
		e := event{at: time.Duration(rng.IntN(50)), job: int32(i)}
		c.after(e.at, e)
		want = append(want, e)
	}
	slices.SortStableFunc(want, func(a, b event) int { return int(a.at - b.at) })
	for i, w := range want {
		if e, ok := c.next(time.Second); !ok || e.job != w.job || c.now != w.at {
			t.Fatalf("event %d: %v at %v, want %v at %v", i, e.job, c.now, w.job, w.at)
		}
	}
	if _, ok := c.next(time.Second); ok || c.now != time.Second {
		t.Errorf("more events, or the clock stands at %v", c.now)
	}
}
