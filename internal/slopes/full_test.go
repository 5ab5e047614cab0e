package slopes

import (
	"encoding/json"
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"
)

// The long form: go test ./internal/slopes -run TestSlopes -v -timeout 30m -args -full [-json FILE]
var (
	full  = flag.Bool("full", false, "measure the slopes that docs/CAPACITY-dispatcher.md quotes")
	lines = flag.String("json", "", "append each measured point to this file, a JSON object a line")
)

// extent is how far a form goes.
type extent struct {
	target  Load
	repeats int
	others  []int // numbers of schedulers beside 14
	steps   []float64
	long    time.Duration
	rest    time.Duration
	parts   []float64 // points of a sweep: four over a factor of ten; the target itself is left for the direct run
	lists   int
	minute  time.Duration // that a load is played
}

// form returns the long form or one of a fiftieth, which has no figures of use: it runs in CI so that the long form is known to run.
func form() extent {
	if *full {
		return extent{Target(), 3, []int{24, 60, 150, 300},
			[]float64{0, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.35, 0.4, 0.5, 0.6, 0.65, 0.7, 0.75, 0.8, 0.9, 1}, 10 * time.Minute, 20 * time.Second,
			[]float64{0.05, 0.1, 0.25, 0.5}, 20, time.Minute}
	}
	l := Target()
	l.Workers, l.Tenants, l.Running, l.JobsPerS = l.Workers/50, l.Tenants/50, l.Running/50, l.JobsPerS/50
	return extent{l, 1, []int{24}, []float64{0, 1}, 12 * time.Second, time.Second, []float64{0.1, 0.25, 0.5}, 1, 12 * time.Second}
}

// running is the tasks of the whole site.
func (e extent) running() int { return e.target.Running * e.target.Schedulers }

// within is how near a direct run has to be for a line to be said to hold.
const within = 0.2

func TestSlopes(t *testing.T) {
	for _, part := range []struct {
		name string
		run  func(t *testing.T)
	}{
		{"heap", heapSlopes}, {"allocations", allocationSlopes}, {"node", nodeHeap}, {"rest", restSlopes}, {"words", wordSlopes},
		{"way", wayThere}, {"unlearned", unlearned}, {"assumptions", assumptions}, {"times", times}, {"crowded", crowded}, {"lists", lists}, {"signals", signalTimes}, {"upgrades", upgrades},
	} {
		t.Run(part.name, part.run)
	}
}

func note(t *testing.T, what string, point any) {
	t.Helper()
	if *lines == "" {
		return
	}
	f, err := os.OpenFile(*lines, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	if err := json.NewEncoder(f).Encode(map[string]any{"what": what, "point": point}); err != nil {
		t.Fatal(err)
	}
}

// scaled is a part of a number, one at least.
func scaled(n int, by float64) int { return max(1, int(math.Round(float64(n)*by))) }

// measured plays a load with three seeds.
func measured(t *testing.T, what string, l Load) (points []Point) {
	t.Helper()
	for seed := range form().repeats {
		l.Seed = uint64(seed + 1)
		p := MeasureFor(l, form().minute)
		note(t, what, p)
		if p.Refused > 0 || p.Full > 0 || l.JobsPerS > 0 && math.Abs(p.PerS-l.JobsPerS) > 0.2*l.JobsPerS+1 {
			fail := t.Errorf
			if !*full { // a fiftieth of a twentieth is three workers
				fail = t.Logf
			}
			fail("%s: invalid, %d refused, %d sent to full workers, %.1f jobs a second of %.1f", what, p.Refused, p.Full, p.PerS, l.JobsPerS)
		}
		points = append(points, p)
	}
	return points
}

// mean and spread of a figure.
func mean(points []Point, of func(Point) float64) (m, least, most float64) {
	least, most = math.Inf(1), math.Inf(-1)
	for _, p := range points {
		v := of(p)
		m += v / float64(len(points))
		least, most = min(least, v), max(most, v)
	}
	return m, least, most
}

// fitted fits a line, prints it, and holds it against a direct run.
func fitted(t *testing.T, what, unit string, names []string, rows [][]float64, y []float64, at []float64, direct float64) Line {
	t.Helper()
	l, err := Fit(rows, y)
	if err != nil {
		t.Fatal(what, err)
	}
	text := ""
	for j, name := range names {
		text += fmt.Sprintf("  %s %.4g (error %.2g)", name, l.Coef[j], l.Error[j])
	}
	t.Logf("%s, %s:%s; worst residual %.0f%%", what, unit, text, 100*l.Worst)
	says := l.At(at)
	verdict := "holds"
	if math.Abs(says-direct) > within*direct {
		verdict = "does NOT hold"
	}
	t.Logf("%s at the target: line %.4g, direct run %.4g: %+.0f%%, %s within 20%%", what, says, direct, 100*(says/direct-1), verdict)
	note(t, what+" line", map[string]any{"names": names, "coef": l.Coef, "error": l.Error, "line": says, "direct": direct})
	return l
}

func heapOf(p Point) float64 { return p.Heap }

// heapSlopes: a Dispatcher's heap against workers, tenants and both, with and without a part; against running tasks and jobs.
func heapSlopes(t *testing.T) {
	target := form().target
	for _, part := range []bool{false, true} {
		var rows [][]float64
		var y []float64
		l := target
		l.Running, l.Part = 0, part
		for _, w := range form().parts {
			for _, u := range form().parts {
				l.Workers, l.Tenants = scaled(target.Workers, w), scaled(target.Tenants, u)
				for _, p := range measured(t, "heap", l) {
					rows = append(rows, []float64{1, float64(l.Workers), float64(l.Tenants), float64(l.Workers * l.Tenants)})
					y = append(y, p.Heap)
				}
			}
		}
		l.Workers, l.Tenants = target.Workers, target.Tenants
		direct, least, most := mean(measured(t, "heap", l), heapOf)
		t.Logf("%d workers, %d tenants, %.0f jobs a second, part %v: %.4g to %.4g bytes", l.Workers, l.Tenants, l.JobsPerS, part, least, most)
		fitted(t, fmt.Sprintf("heap, part %v", part), "bytes", []string{"base", "worker", "tenant", "pair"}, rows, y,
			[]float64{1, float64(l.Workers), float64(l.Tenants), float64(l.Workers * l.Tenants)}, direct)
	}
	for _, of := range []struct {
		name string
		set  func(l *Load, by float64) float64
		unit string
	}{
		{"running task", func(l *Load, by float64) float64 { l.Running = scaled(target.Running, by); return float64(l.Running) }, "bytes"},
		{"short job a second", func(l *Load, by float64) float64 { l.JobsPerS = target.JobsPerS * by; return l.JobsPerS }, "bytes"},
	} {
		var rows [][]float64
		var y []float64
		l := Load{Workers: 800, Tenants: 6, Slots: 16, Schedulers: 14, Part: true, JobsPerS: 100, ShortS: 1}
		for _, by := range form().parts {
			x := of.set(&l, by)
			for _, p := range measured(t, "heap "+of.name, l) {
				rows, y = append(rows, []float64{1, x}), append(y, p.Heap)
			}
		}
		x := of.set(&l, 1)
		direct, _, _ := mean(measured(t, "heap "+of.name, l), heapOf)
		fitted(t, "heap against "+of.name+" (800 workers, 6 tenants)", of.unit, []string{"base", of.name}, rows, y, []float64{1, x}, direct)
	}
	direct, least, most := mean(measured(t, "heap target", target), heapOf)
	t.Logf("heap at the target, %d tasks running: %.4g bytes (%.4g to %.4g)", target.Running, direct, least, most)
	long := MeasureFor(target, form().long)
	note(t, "heap target long", long)
	t.Logf("heap at the target after %v: %.4g bytes", form().long, long.Heap)
	for _, n := range form().others {
		l := target
		l.Schedulers, l.JobsPerS, l.Running = n, target.JobsPerS*14/float64(n), form().running()/n
		p := MeasureFor(l, 3*form().long)
		note(t, "heap target long", p)
		t.Logf("heap with %d schedulers, %.1f jobs a second here, after %v: %.4g bytes", n, l.JobsPerS, 3*form().long, p.Heap)
	}
	one := target
	one.Tenants = 1
	direct, least, most = mean(measured(t, "heap one tenant", one), heapOf)
	t.Logf("heap at the target with one tenant: %.4g bytes (%.4g to %.4g)", direct, least, most)
}

func allocationSlopes(t *testing.T) {
	target := form().target
	for _, by := range append(form().parts, 1) {
		l := target
		l.Workers, l.Tenants, l.Running = scaled(target.Workers, by), scaled(target.Tenants, by), 0
		objects, bytes := Allocations(l)
		note(t, "allocations", map[string]any{"load": l, "objects": objects, "bytes": bytes})
		t.Logf("%d workers, %d tenants: %.2f objects, %.0f bytes allocated a job (pairs not yet used grow the bytes)", l.Workers, l.Tenants, objects, bytes)
	}
}

func nodeHeap(t *testing.T) {
	var rows [][]float64
	var y []float64
	target := form().target
	l := target
	at := func(w, run float64) (int, float64) {
		l.Workers = scaled(target.Workers, w)
		r := scaled(form().running(), run)
		return r, NodeHeap(l, r)
	}
	for _, w := range form().parts {
		for _, run := range form().parts {
			r, heap := at(w, run*w)
			rows, y = append(rows, []float64{1, float64(l.Workers), float64(r)}), append(y, heap)
		}
	}
	_, direct := at(1, 1)
	fitted(t, "heap of a Node, 14 schedulers", "bytes", []string{"base", "worker", "task of the site"}, rows, y, []float64{1, float64(target.Workers), float64(form().running())}, direct)
}

// restSlopes: what tasks that do not change cost between schedulers.
func restSlopes(t *testing.T) {
	l, all := form().target, form().running()
	workers := l.Workers
	play := func(schedulers, workers, running int) Told {
		l.Schedulers, l.Workers = schedulers, workers
		told := Rest(l, running, form().rest)
		note(t, "rest", map[string]any{"workers": workers, "running": running, "told": told})
		t.Logf("%d schedulers, %d workers, %d running: sent %.1f KB/s (most %.1f), received %.1f, %.0f datagrams/s, %.0f words/s, watch %.2f KB/s",
			schedulers, workers, running, told.Sent/1000, told.MostSent/1000, told.Received/1000, told.Datagrams, told.Entries, told.Watch/1000)
		return told
	}
	var rows [][]float64
	var y []float64
	for _, by := range form().parts {
		for seed := range form().repeats {
			l.Seed = uint64(seed + 1)
			told := play(14, scaled(workers, by), scaled(all, by))
			rows, y = append(rows, []float64{1, float64(scaled(all, by))}), append(y, told.Sent)
		}
	}
	l.Seed = 1
	direct := play(14, workers, all)
	fitted(t, "bytes sent a second against tasks of the site, 12.8 a worker, 14 schedulers", "bytes a second", []string{"base", "task"}, rows, y,
		[]float64{1, float64(all)}, direct.Sent)
	for _, n := range form().others {
		play(n, workers, all)
	}
}

// wordSlopes: what short jobs add, of real Dispatchers and Nodes.
func wordSlopes(t *testing.T) {
	target := form().target
	l := target
	l.Tenants, l.Running = 6, 0
	play := func() {
		bytes, entries, sends := Words(l, form().rest/2)
		note(t, "words", map[string]any{"load": l, "bytes": bytes, "entries": entries})
		t.Logf("%d schedulers, %d workers, %.1f jobs a second each: %.0f bytes and %.1f entries told a job, %.2f sends a job, %.1f KB/s each",
			l.Schedulers, l.Workers, l.JobsPerS, bytes, entries, sends, bytes*l.JobsPerS/1000)
	}
	for _, by := range append(form().parts, 1) {
		l.Workers, l.JobsPerS = scaled(target.Workers, by), target.JobsPerS/5
		play()
	}
	for _, by := range append(form().parts, 1) {
		l.Workers, l.JobsPerS = target.Workers, target.JobsPerS*by
		play()
	}
	for _, n := range form().others[:min(2, len(form().others))] {
		l.Schedulers, l.JobsPerS = n, target.JobsPerS*14/float64(n)
		play()
	}
}

// Today's bench: workers, tenants, and jobs a second at a scheduler.
const benchWorkers, benchTenants, benchJobs = 200, 6, 9

// wayThere goes from today's bench to the target in steps that are alike in all, and measures each directly.
func wayThere(t *testing.T) {
	target := form().target
	for _, n := range append([]int{14}, form().others[:min(2, len(form().others))]...) {
		for _, by := range form().steps {
			between := func(from, to float64) float64 { return from + by*(to-from) }
			l := target
			l.Schedulers, l.Workers, l.Tenants = n, int(between(benchWorkers, float64(target.Workers))), int(between(benchTenants, float64(target.Tenants)))
			l.JobsPerS = between(benchJobs, target.JobsPerS*14/float64(n))
			running := int(by * float64(form().running()))
			l.Running = running / n
			heap := 0.0
			if n == 14 {
				heap, _, _ = mean(measured(t, "way", l), heapOf)
			} else {
				l.Seed = 1
				heap = MeasureFor(l, form().minute).Heap
			}
			told := Rest(l, running, form().rest/2)
			note(t, "way", map[string]any{"share": by, "load": l, "heap": heap, "told": told})
			t.Logf("%d schedulers, share %.2f: %d workers, %d tenants, %.0f jobs/s and %d tasks here: module's heap %.1f MB; at rest sent %.1f KB/s, received %.1f KB/s",
				n, by, l.Workers, l.Tenants, l.JobsPerS, l.Running, heap/1e6, told.Sent/1000, told.Received/1000)
		}
	}
}

// unlearned shows what becomes of running tasks of a class of which none has ended.
func unlearned(t *testing.T) {
	l := form().target
	for _, u := range []bool{false, true} {
		l.Unlearned = u
		p := MeasureFor(l, form().minute)
		note(t, "unlearned", p)
		t.Logf("%d long tasks running, class not learned %v: %.0f slots on the books after a minute, those of short jobs included", l.Running, u, p.Held)
	}
}

// assumptions varies what the letter leaves open.
func assumptions(t *testing.T) {
	target := form().target
	play := func(what string, l Load) {
		p := MeasureFor(l, form().minute)
		note(t, "assumptions", p)
		told := Rest(l, form().running(), form().rest/2)
		t.Logf("%s: heap %.4g bytes, %d refused, %d jobs had to wait at a worker; at rest sent %.1f KB/s", what, p.Heap, p.Refused, p.Full, told.Sent/1000)
	}
	play("as assumed", target)
	for _, slots := range []int{13, 32} {
		l := target
		l.Slots = slots
		play(fmt.Sprintf("%d slots a worker", slots), l)
	}
	for _, s := range []float64{0.1, 10} {
		l := target
		l.ShortS = s
		play(fmt.Sprintf("short jobs of %g s", s), l)
	}
	for _, by := range []float64{0.1, 0.5} {
		l := target
		l.Running = scaled(target.Running, by)
		p := MeasureFor(l, form().minute)
		told := Rest(l, scaled(form().running(), by), form().rest/2)
		note(t, "assumptions", p)
		t.Logf("%d tasks running here: heap %.4g bytes; at rest sent %.1f KB/s", l.Running, p.Heap, told.Sent/1000)
	}
}
