package scale

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"
)

// roomy is a machine that bears the largest file of ours.
var roomy = Machine{MemoryMB: 12_000, Descriptors: 20_000, Processes: MostProcesses}

const good = `
version = 1
workers = 8
slots = 8
teams = 4
running = 24
starts_per_s = 30
schedulers = 3
long_s = 60
short_ms = 20
`

func read(t *testing.T, text string, m Machine) (File, error) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "scale.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	f, err := Read(path, m)
	if err != nil && !strings.Contains(err.Error(), path) {
		t.Errorf("%v does not name the file", err)
	}
	return f, err
}

// Guards against a run that means something else than its file, or takes the machine down: each slip is refused before
// anything starts, with the field and what was expected.
func TestBadFilesAreRefused(t *testing.T) {
	small := roomy
	small.MemoryMB = 100
	few := roomy
	few.Descriptors = 230
	alone := roomy
	alone.Processes = 1
	for _, c := range []struct {
		name, from, to string
		machine        Machine
		want           []string
	}{
		{"unknown key", "teams = 4", "teams = 4\nteam = 4", roomy, []string{"unknown keys: team"}},
		{"no number", "teams = 4", `teams = "four"`, roomy, []string{"teams"}},
		{"version", "version = 1", "version = 2", roomy, []string{"version: 2", "want 1"}},
		{"no workers", "workers = 8", "workers = 0", roomy, []string{"workers (0)", "zones: 1, want"}},
		{"slots", "slots = 8", "slots = 0", roomy, []string{"slots: 0", "want 1 to 31"}},
		{"more slots than a word tells", "slots = 8", "slots = 32", roomy, []string{"slots: 32", "want 1 to 31"}},
		{"teams", "teams = 4", "teams = 0", roomy, []string{"teams: 0", "want 1 or more"}},
		{"running", "running = 24", "running = 0", roomy, []string{"running: 0", "want 1 or more"}},
		{"more running than slots", "running = 24", "running = 61", roomy, []string{"running: 61", "want 95%", "(64)"}},
		{"starts", "starts_per_s = 30", "starts_per_s = 0", roomy, []string{"starts_per_s: 0", "want more than running by long_s"}},
		{"starts below the ends of long tasks", "starts_per_s = 30", "starts_per_s = 0.4", roomy, []string{"starts_per_s: 0.4", "0.4)"}},
		{"schedulers", "schedulers = 3", "schedulers = 1", roomy, []string{"schedulers: 1", "want 2 to 4096"}},
		{"no real one", "schedulers = 3", "schedulers = 3\nreal = 0", roomy, []string{"real: 0", "want 1 to schedulers (3)"}},
		{"more real ones", "schedulers = 3", "schedulers = 3\nreal = 4", roomy, []string{"real: 4", "want 1 to schedulers (3)"}},
		{"long_s", "long_s = 60", "long_s = 0", roomy, []string{"long_s: 0", "want more than 0"}},
		{"short_ms", "short_ms = 20", "short_ms = 0", roomy, []string{"short_ms: 0", "want more than 0"}},
		{"zones", "teams = 4", "teams = 4\nzones = 9", roomy, []string{"zones: 9", "want 1 to workers (8)"}},
		{"timelapse", "teams = 4", "teams = 4\ntimelapse = 0", roomy, []string{"timelapse: 0", "want 1 or more"}},
		{"length", "teams = 4", "teams = 4\nlength_s = 0", roomy, []string{"length_s: 0", "want 1 or more"}},
		{"warm-up", "teams = 4", "teams = 4\nwarmup_s = -1", roomy, []string{"warmup_s: -1", "want 0 or more"}},
		{"hearers", "teams = 4", "teams = 4\nhearers = 0", roomy, []string{"hearers", "want 1 or more"}},
		{"negative changes", "teams = 4", "teams = 4\nchanges_per_day = -1", roomy, []string{"changes_per_day", "want 0 or more"}},
		{"changes that run into one", "teams = 4", "teams = 4\nchanges_per_day = 1e7", roomy, []string{"changes_per_day: 1e+07", "want 10ms or longer"}},
		{"memory", "", "", small, []string{"workers, teams, running, schedulers", "MB of memory", "want 100 (half of the machine's)"}},
		{"descriptors", "", "", few, []string{"descriptors", "want 230 at most"}},
		{"processes", "", "", alone, []string{"real: 1 processes beside this one", "want 1 in all"}},
		{"sweep of nothing", "", "[[sweep]]\nof = \"colour\"\nat = [1, 2]\n", roomy, []string{"sweep 1 (colour)", `"colour" cannot be varied`, "want one of", "workers"}},
		{"sweep of one point", "", "[[sweep]]\nof = \"teams\"\nat = [1]\n", roomy, []string{"sweep 1 (teams): at: 1 points, want 2 or more"}},
		{"sweep of one size", "", "[[sweep]]\nof = \"teams\"\nat = [4, 4]\n", roomy, []string{"sweep 1 (teams): at: all points are the same"}},
		{"sweep to 0", "", "[[sweep]]\nof = \"teams\"\nat = [4, 0]\n", roomy, []string{"sweep 1 (teams): point 2: teams: 0, want 1 or more"}},
		{"sweep to a part", "", "[[sweep]]\nof = \"teams\"\nat = [4, 4.5]\n", roomy, []string{"point 2: of: teams: 4.5, want a whole number"}},
		{"sweep beyond the slots", "", "[[sweep]]\nof = \"workers\"\nat = [8, 3]\n", roomy, []string{"point 2: running: 24", "want 95%"}},
		{"sweep with too few", "", "[[sweep]]\nof = \"teams\"\nat = [4, 5]\nwith = \"workers\"\nwith_at = [8]\n", roomy, []string{"with and with_at", "want a key and 2 points"}},
		{"sweep with nothing", "", "[[sweep]]\nof = \"teams\"\nat = [4, 5]\nwith = \"x\"\nwith_at = [8, 9]\n", roomy, []string{`with: "x" cannot be varied`}},
		{"sweep that sets nothing", "", "[[sweep]]\nof = \"teams\"\nat = [4, 5]\nset = { x = 1 }\n", roomy, []string{`set: "x" cannot be varied`}},
		{"inverse of 0", "", "[[sweep]]\nof = \"changes_per_day\"\nat = [0, 5]\ninverse = true\n", roomy, []string{"at: want more than 0"}},
		{"repeats", "", "[[sweep]]\nof = \"teams\"\nat = [4, 5]\nrepeats = -1\n", roomy, []string{"repeats: -1, want 1 or more"}},
		{"sweep beyond the machine", "", "[[sweep]]\nof = \"workers\"\nat = [8, 80]\n", Machine{MemoryMB: 12_000, Descriptors: 260, Processes: 2},
			[]string{"sweep 1 (workers): point 2", "descriptors, want 260 at most"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := good + c.to
			if c.from != "" {
				if text = strings.Replace(good, c.from, c.to, 1); text == good {
					t.Fatalf("%q is not in the file", c.from)
				}
			}
			_, err := read(t, text, c.machine)
			if err == nil {
				t.Fatal("not refused")
			}
			for _, w := range c.want {
				if !strings.Contains(err.Error(), w) {
					t.Errorf("%v\ndoes not say %q", err, w)
				}
			}
		})
	}
	if _, err := read(t, good, roomy); err != nil {
		t.Errorf("the good file is refused: %v", err)
	}
}

// Guards the file that the page's figures come from: it is the size that was asked for, and bears its sweeps.
func TestDeployedFileIsTheTarget(t *testing.T) {
	f, err := Read("../../deploy/scale.toml", roomy)
	if err != nil {
		t.Fatal(err)
	}
	want := Size{Workers: 3200, Slots: 16, Teams: 550, Running: 41000, StartsPerS: 1400, Schedulers: 14, ChangesPerDay: 12000, RestartsPerDay: 260, FailuresPerDay: 34}
	if f.Size != want {
		t.Errorf("the size is %+v, want %+v", f.Size, want)
	}
	if len(f.Sweeps) < 5 {
		t.Errorf("%d sweeps", len(f.Sweeps))
	}
	for _, s := range f.Sweeps {
		if len(s.At) < 4 {
			t.Errorf("the sweep over %s has %d points", s.name(), len(s.At))
		}
	}
}

// Guards who gets what: even parts, and starts of long tasks, which come as others end, are not counted twice.
func TestPlanSharesOutEvenly(t *testing.T) {
	f := Default()
	f.LongS = 300
	p := f.plan(Size{Running: 41000, StartsPerS: 1400, Schedulers: 14})
	if p.Running != 2929 || p.StartsPerS != 100 {
		t.Errorf("%+v, want 2929 of 41000 tasks and 100 of 1400 starts", p)
	}
	if want := 100 - 2929/300.0; math.Abs(p.ShortPerS-want) > 1e-9 {
		t.Errorf("%v short starts a second, want %v", p.ShortPerS, want)
	}
}

// Guards against sizes that are run twice, or counted in a sweep where they do not belong.
func TestPointsThatAreTheSameAreRunOnce(t *testing.T) {
	f, err := read(t, good+`timelapse = 100
[[sweep]]
of = "workers"
at = [8, 16]
[[sweep]]
of = "teams"
at = [2, 4]
with = "workers"
with_at = [4, 16]
set = { running = 12 }
[[sweep]]
of = "changes_per_day"
at = [0, 864]
repeats = 2
[[sweep]]
of = "schedulers"
at = [2, 4]
inverse = true
`, roomy)
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	var users [][]User
	for _, p := range f.points() {
		got = append(got, fmt.Sprintf("%d/%d/%d/%g/%d", p.Size.Workers, p.Size.Teams, p.Size.Running, p.Size.ChangesPerDay, p.Repeat))
		users = append(users, p.Users)
	}
	want := []string{"8/4/24/0/0", "16/4/24/0/0", "4/2/12/0/0", "16/4/12/0/0", "8/4/24/864/0", "8/4/24/0/1", "8/4/24/864/1", "8/4/24/0/0", "8/4/24/0/0"}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("points %v, want %v", got, want)
	}
	if want := [][]User{{{0, 8}, {2, 0}}, {{0, 16}}, {{1, 8}}, {{1, 64}}, {{2, 1}}, {{2, 0}}, {{2, 1}}, {{3, 0.5}}, {{3, 0.25}}}; !reflect.DeepEqual(users, want) {
		t.Errorf("they are used as %v, want %v", users, want)
	}
	for i, want := range []string{"workers", "teams x workers", "changes/s", "1/schedulers"} {
		if got := f.Sweeps[i].name(); got != want {
			t.Errorf("a sweep is called %q, want %q", got, want)
		}
	}
}

// Guards which runs count: each lack is seen, and what chance alone does is let pass.
func TestVerdict(t *testing.T) {
	whole := Load{StartsPlanned: 1000, Starts: 1000, RunningPlanned: 100, Running: 100, Ticks: 100, ChangesPlanned: 10, Changes: 10}
	for _, c := range []struct {
		name   string
		change func(l *Load)
		want   string
	}{
		{"whole", func(*Load) {}, ""},
		{"few late", func(l *Load) { l.LateTicks = 2 }, ""},
		{"late", func(l *Load) { l.LateTicks = 3 }, "late by its own clock"},
		{"no clock", func(l *Load) { l.Ticks = 0 }, "no tick of the clock"},
		{"starts, by chance", func(l *Load) { l.Starts = 860 }, ""},
		{"starts", func(l *Load) { l.Starts = 850 }, "starts not reached"},
		{"more starts, by chance", func(l *Load) { l.Starts = 1190 }, ""},
		{"too many starts", func(l *Load) { l.Starts = 1200 }, "starts not reached"},
		{"running", func(l *Load) { l.Running = 94 }, "running tasks not reached"},
		{"too many running", func(l *Load) { l.Running = 111 }, "running tasks not reached"},
		{"one change on its way", func(l *Load) { l.Changes = 9 }, ""},
		{"changes", func(l *Load) { l.Changes = 8 }, "changes not reached"},
		{"audience", func(l *Load) { l.StrangeAudience = true }, "audiences are not as the program has them"},
	} {
		l := whole
		c.change(&l)
		if got := l.verdict(); got != c.want {
			t.Errorf("%s: %q, want %q", c.name, got, c.want)
		}
	}
}

// Guards the meter of lateness, by a clock of the test's.
func TestMeterCountsLateTicks(t *testing.T) {
	at := time.Unix(1000, 0)
	m := meter{clock: func() time.Time { return at }}
	for _, late := range []time.Duration{-time.Millisecond, 0, lateAfter, lateAfter + 1, time.Second} {
		m.note(at.Add(-late))
	}
	if ticks, late, worst := m.read(); ticks != 5 || late != 2 || worst != time.Second {
		t.Errorf("%d ticks, %d late, by %v at worst; want 5, 2 and 1s", ticks, late, worst)
	}
	if ticks, late, worst := m.read(); ticks != 0 || late != 0 || worst != 0 {
		t.Errorf("read again: %d, %d, %v, want nothing", ticks, late, worst)
	}
}
