package scale

import (
	"encoding/json"
	"math"
	"os"
	"strings"
	"testing"
	"time"
)

func near(a, b float64) bool { return math.Abs(a-b) < 1e-9*max(1, math.Abs(b)) }

// Guards the arithmetic: a line that is known, with errors whose sum of squares is known.
func TestLineIsFound(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	base, slope, err := line(x, []float64{5, 7, 9, 11})
	if !near(base, 3) || !near(slope, 2) || !near(err+1, 1) {
		t.Errorf("3 + 2x is found as %v + %vx, +- %v", base, slope, err)
	}
	// Errors 1, -1, -1, 1 are at right angles to a constant and to x, so the line stays: rest 4 over 2 degrees, spread 5.
	base, slope, err = line(x, []float64{6, 6, 8, 12})
	if !near(base, 3) || !near(slope, 2) || !near(err, math.Sqrt(4.0/2/5)) {
		t.Errorf("with errors it is found as %v + %vx, +- %v; want 3 + 2x, +- %v", base, slope, err, math.Sqrt(0.4))
	}
	if _, slope, err = line([]float64{1, 3}, []float64{1, 2}); !near(slope, 0.5) || !math.IsNaN(err) {
		t.Errorf("two points: %v +- %v, want 0.5 with an unknown error", slope, err)
	}
	if _, slope, _ = line([]float64{2, 2}, []float64{1, 2}); !math.IsNaN(slope) {
		t.Errorf("one size: a slope of %v", slope)
	}
}

// Guards the check of a line against the run at the largest size, which must not have a part in it.
func TestLargestIsHeldAgainstTheOthers(t *testing.T) {
	x, y := []float64{1, 2, 4, 10, 10}, []float64{11, 12, 14, 23, 27}
	f, ok := fit("teams", "memory", x, y)
	if !ok || f.N != 5 || f.Largest != 10 || !near(f.Predicted, 20) || !near(f.Measured, 25) {
		t.Fatalf("%v %+v, want 20 predicted and 25 measured at 10", ok, f)
	}
	if !f.Holds() {
		t.Error("20 for 25 is within 20%")
	}
	f.Predicted = 19.9
	if f.Holds() {
		t.Error("19.9 for 25 is not within 20%")
	}
	if f, ok = fit("teams", "memory", []float64{1, 2}, []float64{1, 2}); !ok || !math.IsNaN(f.Predicted) || f.Holds() {
		t.Errorf("one smaller point predicts nothing: %v %+v", ok, f)
	}
	if b, err := json.Marshal(f); err != nil || !strings.Contains(string(b), `"predicted":null`) || !strings.Contains(string(b), `"error":null`) {
		t.Errorf("as JSON it is %s (%v), want null for what is not known", b, err)
	}
	if _, ok = fit("teams", "memory", []float64{1, 1}, []float64{1, 2}); ok {
		t.Error("a fit of one size")
	}
}

// Guards slopes against runs that do not count, and the table that says so.
func TestInvalidPointsGiveNoSlope(t *testing.T) {
	f := Default()
	f.Timelapse = 20
	f.Sweeps = []Sweep{{Of: "teams", At: []float64{1, 2, 3, 4}}}
	var all []Result
	for i := range 4 {
		r := Result{Point: Point{Users: []User{{0, float64(i + 1)}}}, Processes: 3, HereMB: 100}
		r.Control.CPU, r.All.RSS = 1+float64(i+1)/2, 30
		all = append(all, r)
	}
	all[3].Invalid, all[3].Control.CPU = "control: late by its own clock", 99
	fits := Fits(&f, all)
	if len(fits) != len(figures) {
		t.Fatalf("%d fits, want %d", len(fits), len(figures))
	}
	if c := fits[0]; c.Figure != "control cpu" || c.N != 3 || !near(c.Slope, 0.5) || !near(c.Base, 1) || c.Largest != 3 {
		t.Errorf("%+v, want 1 + 0.5 x of 3 runs", c)
	}
	var b strings.Builder
	if err := Table(&b, &f, all, time.Minute); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"INVALID: control: late by its own clock", "4 points in 1m0s, 1 of them invalid; 3 processes at most", "20 times as fast"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("the table does not say %q:\n%s", want, &b)
		}
	}
	for i := range all {
		all[i].Invalid = "late"
	}
	if fits := Fits(&f, all); len(fits) > 0 {
		t.Errorf("fits of runs that do not count: %+v", fits)
	}
}

// Guards what is read of the kernel.
func TestProcIsRead(t *testing.T) {
	got, err := parseStat([]byte("17 (a) b) R 1 2 3 4 5 6 7 8 9 10 150 25 0 0 20 0 1 0 24591 3133440 393\n"))
	if err != nil || got != 1750*time.Millisecond {
		t.Errorf("%v, %v; want 1.75s of 150 and 25 ticks", got, err)
	}
	if _, err := parseStat([]byte("17 (a) R 1 2 3\n")); err == nil {
		t.Error("a line that is cut is read")
	}
	if got := statusMB([]byte("Name:\tx\nVmHWM:\t  4096 kB\nVmRSS:\t  2048 kB\n"), "VmRSS"); got != 2 {
		t.Errorf("%v MB, want 2", got)
	}
	before, err := usageOf(os.Getpid())
	if err != nil || before.rss <= 0 || before.hwm < before.rss || before.cpu < 0 {
		t.Fatalf("of this process: %+v, %v", before, err)
	}
	// Processor time is told in ticks of 10 ms, so that of a process that has just started reads 0. It has to grow with work.
	after := before
	for began := time.Now(); after.cpu <= before.cpu && time.Since(began) < 5*time.Second; {
		if after, err = usageOf(os.Getpid()); err != nil {
			t.Fatal(err)
		}
	}
	if after.cpu <= 0 || after.cpu <= before.cpu {
		t.Errorf("after some work: %v; it was %v", after.cpu, before.cpu)
	}
}
