package slopes

import (
	"fmt"
	"math"
	"testing"
)

// What follows is timed: it wants a machine that does nothing else.

// times: a round and a job against workers, tenants, running tasks and jobs a second, each alone around the half of the target; with
// a quarter of the tasks, for which a twentieth of the workers still has slots.
func times(t *testing.T) {
	target := form().target
	var rows [][]float64
	var round, job []float64
	row := func(l Load) []float64 {
		return []float64{1, float64(l.Workers), float64(l.Tenants), float64(l.Running), l.JobsPerS}
	}
	half := target
	half.Workers, half.Tenants, half.Running, half.JobsPerS = target.Workers/2, target.Tenants/2, target.Running/4, target.JobsPerS/2
	for _, vary := range []struct {
		name string
		set  func(l *Load, by float64)
	}{
		{"workers", func(l *Load, by float64) { l.Workers = scaled(target.Workers, by) }},
		{"tenants", func(l *Load, by float64) { l.Tenants = scaled(target.Tenants, by) }},
		{"running", func(l *Load, by float64) { l.Running = scaled(target.Running, by) }},
		{"jobs", func(l *Load, by float64) { l.JobsPerS = target.JobsPerS * by }},
	} {
		for _, by := range form().parts {
			l := half
			vary.set(&l, by)
			points := measured(t, "times "+vary.name, l)
			for _, p := range points {
				rows, round, job = append(rows, row(l)), append(round, p.RoundUS), append(job, p.JobUS)
			}
			r, r0, r1 := mean(points, func(p Point) float64 { return p.RoundUS })
			j, j0, j1 := mean(points, func(p Point) float64 { return p.JobUS })
			t.Logf("%s at %.2f of the target, the rest at half (tasks a quarter): a round %.0f us (%.0f to %.0f), a job %.1f us (%.1f to %.1f)", vary.name, by, r, r0, r1, j, j0, j1)
		}
	}
	points := measured(t, "times target", target)
	r, _, _ := mean(points, func(p Point) float64 { return p.RoundUS })
	j, _, _ := mean(points, func(p Point) float64 { return p.JobUS })
	share, least, most := mean(points, func(p Point) float64 { return p.Share })
	names := []string{"base", "worker", "tenant", "task", "job a second"}
	fitted(t, "a round", "microseconds", names, rows, round, row(target), r)
	fitted(t, "a job", "microseconds", names, rows, job, row(target), j)
	t.Logf("module at the target: %.2f%% of a core (%.2f to %.2f), of which rounds %.2f%%", share, least, most, 100*r*10/1e6)
	one := target
	one.JobsPerS, one.Running, one.Schedulers, one.Part = 14*target.JobsPerS, form().running(), 1, false
	p := MeasureFor(one, form().minute)
	note(t, "times all in one", p)
	t.Logf("all %.0f jobs a second and %d tasks in one scheduler: a round %.0f us, a job %.1f us, %.2f%% of a core; %d refused, %d sent to full workers",
		one.JobsPerS, one.Running, p.RoundUS, p.JobUS, p.Share, p.Refused, p.Full)
}

// crowded: a round and a job against tenants where there are more jobs than slots, so that jobs are held and refused.
func crowded(t *testing.T) {
	target := form().target
	for _, over := range []float64{0.95, 1.2} {
		var rows [][]float64
		var job []float64
		l := Load{Workers: 100, Slots: 1, Schedulers: 1, JobsPerS: 100 * over, ShortS: 1}
		play := func(by float64) float64 {
			l.Tenants = scaled(target.Tenants, by)
			sum := 0.0
			for seed := range form().repeats {
				l.Seed = uint64(seed + 1)
				p := MeasureFor(l, form().minute)
				note(t, "crowded", p)
				t.Logf("%d tenants, %.2f times the slots: a round %.0f us, a job %.1f us, %.2f%% of a core, %d refused of %d", l.Tenants, over, p.RoundUS, p.JobUS,
					p.Share, p.Refused, p.Jobs)
				rows, job = append(rows, []float64{1, float64(l.Tenants)}), append(job, p.JobUS)
				sum += p.JobUS
			}
			return sum / float64(form().repeats)
		}
		for _, by := range form().parts {
			play(by)
		}
		rows4, job4 := rows, job
		direct := play(1)
		fitted(t, "a job where all is full", "microseconds", []string{"base", "tenant"}, rows4, job4, []float64{1, float64(target.Tenants)}, direct)
	}
}

// lists: a list of workers, by the module and by the Node.
func lists(t *testing.T) {
	var rows [][]float64
	var whole, patch, audiences, replaced, parse []float64
	workers := form().target.Workers
	point := func(workers, schedulers int) ListPoint {
		l := form().target
		l.Workers, l.Schedulers = workers, schedulers
		p := Lists(l, form().lists)
		note(t, "lists", p)
		t.Logf("%d workers, %d schedulers: whole list %.2f ms, one entry %.4f ms, %d replaced %.2f ms, audiences %.2f ms; %d bytes parsed in %.2f ms; settings again %.2f ms",
			workers, schedulers, p.WholeMS, p.PatchMS, p.Replaced, p.ReplacedMS, p.AudiencesMS, p.Bytes, p.ParseMS, p.RetuneMS)
		return p
	}
	for _, by := range form().parts {
		for range form().repeats {
			p := point(scaled(workers, by), 14)
			rows = append(rows, []float64{1, float64(p.Workers)})
			whole, patch = append(whole, p.WholeMS), append(patch, p.PatchMS)
			audiences, replaced = append(audiences, p.AudiencesMS), append(replaced, p.ReplacedMS)
			parse = append(parse, p.ParseMS)
		}
	}
	direct := point(workers, 14)
	names, at := []string{"base", "worker"}, []float64{1, float64(workers)}
	fitted(t, "a whole list", "ms", names, rows, whole, at, direct.WholeMS)
	fitted(t, "one entry of a list", "ms", names, rows, patch, at, direct.PatchMS)
	fitted(t, "a list with 170 others", "ms", names, rows, replaced, at, direct.ReplacedMS)
	fitted(t, "a whole list parsed", "ms", names, rows, parse, at, direct.ParseMS)
	fitted(t, "audiences, 14 schedulers", "ms", names, rows, audiences, at, direct.AudiencesMS)
	for _, n := range form().others {
		point(workers, n)
	}
}

// signalTimes: what Nodes spend for tasks that do not change.
func signalTimes(t *testing.T) {
	for _, n := range append([]int{14}, form().others...) {
		l := form().target
		l.Schedulers = n
		for range form().repeats {
			told := Rest(l, form().running(), form().rest/2)
			note(t, "signals", told)
			t.Logf("%d schedulers, %d running: %.3f%% of a core for the Node of each", n, form().running(), 100*told.Signals.Seconds())
		}
	}
	l := form().target
	s := newSite(l, l.Schedulers, true)
	length := form().minute / 6
	s.run(2 * length)
	s.spent = Spent{}
	s.run(3 * length)
	per := 100 / length.Seconds() / float64(l.Schedulers)
	t.Logf("%d real schedulers, %.0f jobs a second and %d tasks in all: signals %.2f%%, rounds %.2f%%, jobs %.2f%% of a core each; sent %.1f KB/s each; %d refused, %d sent to full workers, %d jobs",
		l.Schedulers, l.JobsPerS*float64(l.Schedulers), form().running(), per*s.spent.Signals.Seconds(), per*s.spent.Round.Seconds(), per*s.spent.Job.Seconds(),
		float64(s.spent.Bytes)/length.Seconds()/float64(l.Schedulers)/1000, s.spent.Refused, s.spent.Full, s.spent.Jobs)
	note(t, "site", s.spent)
}

// upgrades: what the two processes of an upgrade tell each other while both live: at once after a send, a start or an end, but
// every 10 ms at most (internal/core's shareEvery). The new process takes the jobs and writes; the old one takes it in.
func upgrades(t *testing.T) {
	target := form().target
	const every = 0.01
	play := func(name string, l Load) {
		p := Sharing(l, form().minute, form().lists)
		events := 3 * l.JobsPerS
		rate := 1 / (every + math.Exp(-events*every)/events)
		note(t, "upgrades", map[string]any{"name": name, "point": p, "rate": rate})
		t.Logf("%s: %d workers told of, %d bytes: written in %.2f ms, taken in in %.2f ms; at %.0f a second %.1f%% and %.1f%% of a core",
			name, p.Busy, p.Bytes, p.TellMS, p.HearMS, rate, rate*p.TellMS/10, rate*p.HearMS/10)
	}
	for _, by := range form().steps {
		l := target
		between := func(from, to float64) float64 { return from + by*(to-from) }
		l.Workers, l.Tenants = int(between(benchWorkers, float64(target.Workers))), int(between(benchTenants, float64(target.Tenants)))
		l.JobsPerS, l.Running = between(benchJobs, target.JobsPerS), scaled(target.Running, by)
		play(fmt.Sprintf("share %.2f, %d schedulers", by, l.Schedulers), l)
	}
	for _, n := range form().others {
		l := target
		l.Schedulers, l.JobsPerS, l.Running = n, target.JobsPerS*14/float64(n), form().running()/n
		play(fmt.Sprintf("target, %d schedulers", n), l)
	}
}
