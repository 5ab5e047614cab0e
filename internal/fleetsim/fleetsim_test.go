package fleetsim

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
)

// erlangC returns the mean wait in an M/M/c queue by the Erlang C formula, in service times.
func erlangC(servers int, load float64) float64 {
	a, sum, term := load*float64(servers), 0.0, 1.0
	for k := range servers {
		sum += term
		term *= a / float64(k+1)
	}
	last := term / (1 - load)
	return last / (sum + last) / (float64(servers) * (1 - load))
}

// TestWorkerIsAKnownQueue checks the worker model against theory: its mean waits must be within 2% of those of an M/M/c queue.
func TestWorkerIsAKnownQueue(t *testing.T) {
	for _, c := range []struct {
		cores int
		load  float64
	}{{1, 0.5}, {4, 0.7}, {5, 0.8}} {
		var k clock
		r := rand.New(rand.NewPCG(uint64(c.cores), 9))
		w := newWorker(&k, r, &WorkerModel{Queue: 1 << 30, ReportMillis: [2]float64{1e9, 1e9}, SlowStartSeconds: 0}, c.cores, 1)
		jobs, waited := 0, time.Duration(0)
		var arrive func()
		arrive = func() {
			arrivedAt := k.now
			w.enqueue(&task{slots: 1, work: dispatchconfig.Seconds(r.ExpFloat64()), started: func() { jobs, waited = jobs+1, waited+k.now-arrivedAt }, ended: func(bool, float64) {}})
			k.after(dispatchconfig.Seconds(r.ExpFloat64()/c.load/float64(c.cores)), arrive)
		}
		arrive()
		k.run(time.Duration(600_000/float64(c.cores)) * time.Second)
		if got, want := waited.Seconds()/float64(jobs), erlangC(c.cores, c.load); math.Abs(got/want-1) > 0.02 {
			t.Errorf("%d cores at %v: a mean wait of %.4f over %d jobs, want %.4f", c.cores, c.load, got, jobs, want)
		}
	}
}

// smallExperiment returns an experiment with short runs of few schedulers.
func smallExperiment() Experiment {
	e := DefaultExperiment()
	e.Version, e.Seeds, e.LengthSeconds, e.Schedulers, e.Workers = Version, 2, 3, []int{4, 8}, []int{3, 5}
	e.Variants = []Variant{{Name: "isolated"}, {Name: "with-peers", Peers: true, MinSubscribers: 6, MinSubset: 4}}
	return e
}

// TestSameSeedSameRun checks that runs are deterministic. If runs of one seed differed by chance, or by the influence of concurrent
// runs, differences between variants would be meaningless.
func TestSameSeedSameRun(t *testing.T) {
	e := smallExperiment()
	a, b := Run(&e, func(Result) {}), Run(&e, func(Result) {})
	if !reflect.DeepEqual(a, b) {
		t.Errorf("two runs of one experiment differ:\n%+v\n%+v", a, b)
	}
	if a[0].Seed == a[2].Seed || reflect.DeepEqual(a[0].Metrics, a[2].Metrics) {
		t.Error("two seeds give the same run")
	}
	if a[0].Submitted != a[1].Submitted || a[0].submittedWork != a[1].submittedWork {
		t.Error("two variants of one seed have different submitted work")
	}
}

// TestEveryJobHasAnEnd checks for every kind of fault that each submitted job has exactly one outcome, and that the fault changes the
// results.
func TestEveryJobHasAnEnd(t *testing.T) {
	e := smallExperiment()
	e.Seeds = 1
	faultless := Run(&e, func(Result) {})
	for _, fault := range []Fault{{Kind: "kill", Share: 0.6}, {Kind: "freeze", Share: 0.5}, {Kind: "split", Share: 1},
		{Kind: "replace", Share: 0.6}, {Kind: "slow", Share: 0.4, Factor: 0.3}, {Kind: "fail", Share: 0.3, Factor: 0.9}} {
		fault.AtSeconds, fault.ForSeconds = 1, 1
		e.Faults = []Fault{fault}
		for i, r := range Run(&e, func(Result) {}) {
			if ends := r.Served + r.Rejected + r.Failed + r.ClientResets; ends != r.Submitted {
				t.Errorf("%s, %s: %d jobs submitted, %d outcomes: %+v", fault.Kind, r.Variant, r.Submitted, ends, r)
			}
			if reflect.DeepEqual(r.Metrics, faultless[i].Metrics) && (fault.Kind != "split" || r.Variant == "with-peers") {
				t.Errorf("%s, %s: the fault has no effect on the metrics", fault.Kind, r.Variant)
			}
		}
	}
}

// TestBadFilesAreNamed guards against mistyped files that run for hours, and against errors that do not name the file and the key.
func TestBadFilesAreNamed(t *testing.T) {
	good, err := os.ReadFile("../../deploy/swarm.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ from, to, want string }{
		{"", "", ""},
		{"version = 1", "version = 2", "version is 2"},
		{"seeds = 5", "seeds = 0", "seeds is 0"},
		{"seeds = 5", "seedz = 5", "unknown keys: seedz"},
		{"length_s = 15", "length_s = 1e9", "length_s"},
		{"load = 0.85", "load = nan", "load"},
		{"boxes = [6, 12, 30]", "boxes = [6, 12]", "boxes needs one entry"},
		{"boxes = [6, 12, 30]", "boxes = [6, 0, 30]", "entry 1 is 24 and 0"},
		{"hearers = 12", "hearers = 0", "variant \"told to 12\": hearers"},
		{"name = \"told to all\"", "name = \"alone\"", "variant 2 needs a name"},
		{"kind = \"replace\"", "kind = \"fire\"", "unknown kind \"fire\""},
		{"share = 0.5", "share = 0", "trouble 0 (replace)"},
		{"version = 1", "version = one", "line 3"},
	} {
		path := filepath.Join(t.TempDir(), "x.toml")
		if err := os.WriteFile(path, bytes.Replace(good, []byte(c.from), []byte(c.to), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Read(path)
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want) || !strings.Contains(err.Error(), path)) {
			t.Errorf("%q for %q: %v, want %q", c.to, c.from, err, c.want)
		}
	}
}

// TestInterval checks a known case: 1, 2, 3, 4 has the mean 2.5 and, by Student's t with 3 degrees of freedom, a 95% confidence
// interval with the half-width 2.054.
func TestInterval(t *testing.T) {
	if d := meanOf([]float64{1, 2, 3, 4}); d.Mean != 2.5 || math.Abs(d.HalfWidth-2.054) > 0.001 {
		t.Errorf("%+v", d)
	}
	if d := meanOf([]float64{7}); d.Mean != 7 || !math.IsNaN(d.HalfWidth) {
		t.Errorf("estimate from one value: %+v", d)
	}
}

// TestReport checks that the table contains every variant and the page a plot of every metric.
func TestReport(t *testing.T) {
	e := smallExperiment()
	all := Run(&e, func(Result) {})
	var table, page bytes.Buffer
	if err := errors.Join(Table(&table, &e, all), HTML(&page, &e, all)); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(table.String(), "with-peers"); n != 2 {
		t.Errorf("the table has the variant %d times, want once per size:\n%s", n, &table)
	}
	if n := strings.Count(page.String(), "<svg"); n != len(metrics) || !strings.Contains(page.String(), "</svg>") {
		t.Errorf("the page has %d plots, want %d", n, len(metrics))
	}
}

// BenchmarkSimulate measures a run of many schedulers over one second of virtual time plus the drain of 6 s.
func BenchmarkSimulate(b *testing.B) {
	for _, n := range []int{24, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			e := smallExperiment()
			e.LengthSeconds, e.Schedulers, e.Workers = 1, []int{n}, []int{n * 2 / 3}
			e.Variants[1].MinSubscribers, e.Variants[1].MinSubset = 12, 6
			for b.Loop() {
				simulate(&e, &e.Variants[1], 0, 1)
			}
		})
	}
}
