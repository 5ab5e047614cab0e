// Sitegen writes deployments for the bench from stated parameters: shapes that the users' own sites do not have. The
// bench's table of words is the user's: its path is an argument, and the files are made into a folder that is not kept.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
)

// site is the parameters of a deployment.
type site struct {
	name      string
	zones     int
	coreZone  int // core machines in each zone
	bear      int // core machines to be borne at once
	services  []service
	holdMS    int
	stopMS    int
	queues    []queue
	rack      int // workers in a rack
	perSecond float64
	lengthS   int     // of a day
	needs     float64 // share of jobs that ask for a label
	changes   int     // of the configuration in a day, beside the troubles
	lateBurst string  // the queue of which many jobs come shortly before the end of a day
}

// What a site has where its parameters do not say.
const (
	usualLengthS = 34
	usualNeeds   = 0.12
)

type service struct {
	name    string
	workers int // in each zone
	cpu     int
	gpu     int
}

type queue struct {
	name     string
	service  string
	priority int
	workMS   int
	width    float64
	cpu      int
	share    float64
	aimMS    int
	saves    float64
	gpu      string
	gang     bool
	lasts    bool
}

var sites = []site{
	{ // as many core machines as there are seats: no machine waits to take the place of another
		name: "no-spare", zones: 3, coreZone: 1, bear: 1, holdMS: 6000, stopMS: 700, rack: 3, perSecond: 7,
		services: []service{{"ledger", 3, 16000, 0}, {"lathe", 2, 32000, 8}},
		queues: []queue{
			{name: "post", service: "ledger", priority: 0, workMS: 600, width: 5, cpu: 250, share: 6, aimMS: 800},
			{name: "close", service: "ledger", priority: 2, workMS: 3500, width: 9, cpu: 500, share: 0.4, aimMS: 4000, saves: 0.8},
			{name: "turn", service: "lathe", priority: 1, workMS: 4500, width: 1.5, cpu: 15000, share: 0.3, aimMS: 1500, saves: 0.9, gpu: "[2, 8]", gang: true},
			{name: "tail", service: "ledger", priority: 1, workMS: 400, width: 5, cpu: 500, share: 0.05, aimMS: 3000, lasts: true},
		},
	},
	{ // two machines more than seats
		name: "two-spares", zones: 5, coreZone: 1, bear: 1, holdMS: 10000, stopMS: 500, rack: 2, perSecond: 8,
		services: []service{{"office", 2, 16000, 0}, {"yard", 1, 32000, 8}},
		queues: []queue{
			{name: "look", service: "office", priority: 0, workMS: 500, width: 5, cpu: 250, share: 6, aimMS: 800},
			{name: "bill", service: "office", priority: 2, workMS: 3600, width: 10, cpu: 500, share: 0.4, aimMS: 4000, saves: 0.7},
			{name: "haul", service: "yard", priority: 1, workMS: 5000, width: 2, cpu: 15000, share: 0.3, aimMS: 1500, saves: 0.9, gpu: "[2, 4]", gang: true},
		},
	},
	{ // long days with hundreds of changes, and few workers of a kind that many jobs ask for
		name: "long-days", zones: 3, coreZone: 2, bear: 1, holdMS: 6000, stopMS: 900, rack: 3, perSecond: 5,
		lengthS: 130, needs: 0.4, changes: 200,
		services: []service{{"archive", 1, 16000, 0}, {"studio", 1, 32000, 8}},
		queues: []queue{
			{name: "fetch", service: "archive", priority: 0, workMS: 600, width: 4, cpu: 250, share: 6, aimMS: 800},
			{name: "index", service: "archive", priority: 2, workMS: 4000, width: 6, cpu: 500, share: 0.3, aimMS: 4000, saves: 0.8},
			{name: "master", service: "studio", priority: 1, workMS: 5600, width: 1.6, cpu: 15000, share: 0.2, aimMS: 1500, saves: 0.9, gpu: "[2, 4, 8]"},
			{name: "take", service: "studio", priority: 1, workMS: 5000, width: 1.6, cpu: 12000, share: 0.1, aimMS: 1500, saves: 0.9, gpu: "[4, 8]", gang: true},
			{name: "proof", service: "studio", priority: 2, workMS: 3000, width: 4, cpu: 2800, share: 0.4, aimMS: 3000, saves: 0.8, gpu: "[1]"},
			{name: "listen", service: "archive", priority: 1, workMS: 400, width: 4, cpu: 600, share: 0.05, aimMS: 3000, lasts: true},
		},
	},
	{ // few workers of a kind that most jobs ask for, and much large work for them at the end
		name: "few-of-a-kind", zones: 2, coreZone: 2, bear: 1, holdMS: 6000, stopMS: 900, rack: 3, perSecond: 4,
		lengthS: 30, needs: 0.7, lateBurst: "master",
		services: []service{{"archive", 2, 16000, 0}, {"studio", 1, 32000, 8}},
		queues: []queue{
			{name: "fetch", service: "archive", priority: 0, workMS: 600, width: 4, cpu: 250, share: 6, aimMS: 800},
			{name: "master", service: "studio", priority: 1, workMS: 5600, width: 3, cpu: 15000, share: 0.3, aimMS: 1500, saves: 0.9, gpu: "[4, 6]"},
			{name: "proof", service: "studio", priority: 2, workMS: 3000, width: 3, cpu: 2800, share: 0.8, aimMS: 3000, saves: 0.8, gpu: "[1]"},
			{name: "listen", service: "studio", priority: 1, workMS: 400, width: 2, cpu: 600, share: 0.05, aimMS: 3000, lasts: true},
		},
	},
	{ // a little more demand for accelerators than there is: gangs before single ones of wide jobs
		name: "scarce-accelerators", zones: 2, coreZone: 2, bear: 1, holdMS: 6000, stopMS: 400, rack: 3, perSecond: 6.8, lengthS: 70,
		services: []service{{"office", 2, 16000, 0}, {"kiln", 3, 32000, 8}},
		queues: []queue{
			{name: "look", service: "office", priority: 0, workMS: 500, width: 5, cpu: 250, share: 6, aimMS: 800},
			{name: "fire", service: "kiln", priority: 1, workMS: 5600, width: 2, cpu: 6000, share: 0.3, aimMS: 1500, saves: 0.9, gpu: "[2, 4, 8]", gang: true},
			{name: "glaze", service: "kiln", priority: 2, workMS: 3000, width: 12, cpu: 2800, share: 0.55, aimMS: 3000, saves: 0.8, gpu: "[1]"},
		},
	},
	{ // the same scarcity where the single ones are many short ones of equal rank with larger tasks
		name: "scarce-equals", zones: 3, coreZone: 1, bear: 1, holdMS: 8000, stopMS: 600, rack: 2, perSecond: 5.95, lengthS: 70,
		services: []service{{"mill", 1, 16000, 0}, {"press", 2, 32000, 8}},
		queues: []queue{
			{name: "grind", service: "mill", priority: 0, workMS: 500, width: 4, cpu: 250, share: 4, aimMS: 800},
			{name: "stamp", service: "press", priority: 1, workMS: 4000, width: 1.6, cpu: 12000, share: 0.75, aimMS: 2000, saves: 0.5, gpu: "[2, 4]"},
			{name: "strike", service: "press", priority: 1, workMS: 2000, width: 8, cpu: 2000, share: 1.25, aimMS: 2500, saves: 0.3, gpu: "[1]"},
		},
	},
	{
		name: "one-hall", zones: 1, coreZone: 3, bear: 1, holdMS: 4000, stopMS: 1500, rack: 64, perSecond: 6,
		services: []service{{"press", 6, 16000, 0}},
		queues: []queue{
			{name: "proof", service: "press", priority: 0, workMS: 600, width: 5, cpu: 300, share: 6, aimMS: 900},
			{name: "plates", service: "press", priority: 2, workMS: 4000, width: 8, cpu: 700, share: 0.5, aimMS: 4000, saves: 0.8},
		},
	},
	{
		name: "five-halls", zones: 5, coreZone: 2, bear: 2, holdMS: 8000, stopMS: 600, rack: 2, perSecond: 9,
		services: []service{{"mill", 2, 16000, 0}, {"kiln", 1, 32000, 8}},
		queues: []queue{
			{name: "grind", service: "mill", priority: 0, workMS: 500, width: 6, cpu: 250, share: 7, aimMS: 800},
			{name: "sieve", service: "mill", priority: 2, workMS: 3000, width: 10, cpu: 500, share: 0.4, aimMS: 4000, saves: 0.7},
			{name: "fire", service: "kiln", priority: 1, workMS: 5000, width: 1.5, cpu: 15000, share: 0.4, aimMS: 1500, saves: 0.9, gpu: "[4, 8]", gang: true},
			{name: "watch", service: "mill", priority: 1, workMS: 500, width: 4, cpu: 500, share: 0.04, aimMS: 3000, lasts: true},
		},
	},
	{
		name: "many-queues", zones: 2, coreZone: 2, bear: 1, holdMS: 4000, stopMS: 900, rack: 3, perSecond: 8,
		services: []service{{"desk", 3, 16000, 0}, {"loom", 2, 8000, 0}},
		queues: []queue{
			{name: "ask", service: "desk", priority: 0, workMS: 400, width: 3, cpu: 200, share: 5, aimMS: 700},
			{name: "file", service: "desk", priority: 1, workMS: 900, width: 4, cpu: 300, share: 2, aimMS: 1500},
			{name: "sort", service: "desk", priority: 2, workMS: 2000, width: 6, cpu: 400, share: 0.8, aimMS: 3000, saves: 0.5},
			{name: "weave", service: "loom", priority: 1, workMS: 1500, width: 4, cpu: 500, share: 1, aimMS: 2000},
			{name: "mend", service: "loom", priority: 2, workMS: 5000, width: 5, cpu: 600, share: 0.2, aimMS: 5000, saves: 0.9},
			{name: "hum", service: "loom", priority: 1, workMS: 400, width: 3, cpu: 300, share: 0.05, aimMS: 3000, lasts: true},
		},
	},
}

func main() {
	wire := flag.String("wire", "", "the bench's table of words")
	out := flag.String("out", "logs/sites", "the folder to write to")
	flag.Parse()
	if err := write(*wire, *out); err != nil {
		fmt.Fprintln(os.Stderr, "sitegen:", err)
		os.Exit(1)
	}
}

func write(wire, out string) error {
	words, err := os.ReadFile(wire)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(out, 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(out, "wire.json"), words, 0o644); err != nil {
		return err
	}
	for _, s := range sites {
		if s.lengthS == 0 {
			s.lengthS = usualLengthS
		}
		if s.needs == 0 {
			s.needs = usualNeeds
		}
		if err := os.WriteFile(filepath.Join(out, s.name+".toml"), []byte(s.text()), 0o644); err != nil {
			return err
		}
	}
	return nil
}

func (s site) text() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("name = %q\nstock = \"own\"\nstep = \"c\"\nwire = \"wire.json\"\nfamily = \"sched\"", s.name)
	line(`contracts = ["base", "drain", "config", "cost", "recover", "sched"]`)
	line("lead_s = 10.0\nlength_s = %d.0\nnames_apart = true\nterms = \"standard\"\nzones = [", s.lengthS)
	for z := range s.zones {
		line("  { name = %q, region = \"home\" },", zone(z))
	}
	line("]\nmachines = [")
	for z := range s.zones {
		s.machines(line, zone(z))
	}
	line("]\nservices = [")
	for _, one := range s.services {
		line(`  { name = %q, servers = [], conn_cap = 64, health_ms = 0.5, linger_ms = 1500, speeds = [0.8, 1.0, 1.25], cold_s = 0.0, `+
			`node = { cpu = %d, mem_mb = 65536, gpu = %d, kinds = ["a", "b"], sizes = [1.0, 0.5], rack = %d, guards = false }, model = "app" },`,
			one.name, one.cpu, one.gpu, s.rack)
	}
	line("]\nclasses = [")
	for _, q := range s.queues {
		line("%s", q.text(s.needs))
	}
	line("]\ntraffic = [")
	for z := range s.zones {
		line("  { zone = %q, mix = { %s }, per_s = %.2f, clients = 10, users = 1, shape = { kind = \"wave\", swing = 0.15, period_s = 11.0, phase = 0.%d } },",
			zone(z), s.mix(), s.perSecond/float64(s.zones), z+1)
	}
	line("]\ntroubles = [%s\n]", troubles)
	s.tables(line)
	s.days(line)
	return b.String()
}

func zone(i int) string { return fmt.Sprintf("hall-%c", 'a'+i) }

func (s site) machines(line func(string, ...any), zone string) {
	line(`  { class = "front", cpu_share = 0.35, cores = 1, memory_mb = 284, fds = 4100, link_mbps = 1000.0, zone = %q, count = 1, spare = 1 },`, zone)
	for _, one := range s.services {
		line(`  { class = "side", zone = %q, count = %d, app = %q, cpu_share = 0.24, memory_mb = 152, spare = 1, cores = 1 },`, zone, one.workers, one.name)
	}
	line(`  { class = "core", zone = %q, count = %d, spare = 1, cpu_share = 0.8, cores = 1, memory_mb = 280, fds = 4096, link_mbps = 1000.0, `+
		`disk = { mb = 128, sync_ms = 7.0, mb_per_s = 120 } },`, zone, s.coreZone)
}

func (s site) mix() string {
	var parts []string
	for _, q := range s.queues {
		parts = append(parts, fmt.Sprintf("%s = %g", q.name, q.share))
	}
	return strings.Join(parts, ", ")
}

func (q queue) text(needs float64) string {
	extra := ""
	if q.saves > 0 {
		extra += fmt.Sprintf(", saves = %g", q.saves)
	}
	if q.gpu != "" {
		extra += ", gpu = " + q.gpu
	}
	if q.gang {
		extra += ", gang = 1, tight = 0.5"
	}
	open := ""
	if q.lasts {
		extra += ", lasts = true, apart = 0.5, stay_s = { mean = 40.0, spread = 0.7, max = 140.0 }"
		open = ", open = true"
	}
	return fmt.Sprintf(`  { name = %q, aim_ms = %d, deadline_ms = 3000, worth = 1, late_worth = 0.3, priority = %d, retries = 4, service = %q, method = "POST", `+
		`kind = "unsafe", attempts = 2, work_ms = { mean = %d.0, spread = 0.5, max = %d.0 }, req_bytes = { mean = 200.0, spread = 0.6, max = 900.0 }, `+
		`error_share = 0.02, poison = 0, jobs = { steps = { mean = 1.5, spread = 0.4, max = 3.8 }, width = { mean = %g, spread = 0.8, max = %g }, `+
		`cpu = { mean = %d.0, spread = 0.3, max = %d.0 }, mem_mb = { mean = %d.0, spread = 0.5, max = %d.0 }, uneven = 0.2, est_off = 0.7, stretch = 2.0, `+
		`every_s = 2.0, times = 5, needs = %g, filled = 1%s }%s },`,
		q.name, q.aimMS, q.priority, q.service, q.workMS, q.workMS*5/2, q.width, q.width*5, q.cpu, q.cpu*3/2, q.cpu, q.cpu*2, needs, extra, open)
}

const troubles = `
  { kind = "ack_lost", x = 0.6, for_s = 8.0 },
  { kind = "after_ack_kill", for_s = 3.0, how = "" },
  { kind = "after_ack_wipe", for_s = 3.0 },
  { kind = "bad_config", count = 3, gap_s = 1.0 },
  { kind = "clock_step", share = 0.3, x = 2400.0, for_s = 6.0, how = "ahead" },
  { kind = "config_change", how = "idle" },
  { kind = "config_race", count = 3, gap_s = 1.2 },
  { kind = "core_cut", count = 1, for_s = 5.5, how = "" },
  { kind = "disk_slow", count = 1, x = 25.0, for_s = 5.5, how = "leader" },
  { kind = "disk_stall", count = 1, for_s = 5.0 },
  { kind = "herd_kill", on = "core", share = 1.0, how = "power", for_s = 6.0 },
  { kind = "node_cut", share = 0.2, for_s = 5.5, on = "side" },
  { kind = "node_cut", how = "servers", share = 0.2, for_s = 5.0 },
  { kind = "node_freeze", share = 0.15, for_s = 3.5 },
  { kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race drain" },
  { kind = "replace_core", x = 1.0 },
  { kind = "roll_term", share = 0.5, x = 1.0, gap_s = 1.3 },
  { kind = "scale_in", share = 0.07 },
  { kind = "seed_turnover" },
  { kind = "srv_crash", share = 0.15, for_s = 4.0, how = "" },
  { kind = "srv_grey", how = "errors", share = 0.1, x = 1.0, for_s = 6.0 },
  { kind = "srv_slow", share = 0.15, x = 5.0, for_s = 6.0 },`

func (s site) tables(line func(string, ...any)) {
	line("\n[timing]\ncatch_up_s = 4.0\nfinish_s = 14.0\nearly_ms = 250.0\nhold_max_ms = %d.0\ngang_ms = 3000\ncancel_ms = 3000\nstop_ms = %d.0", s.holdMS, s.stopMS)
	line("far_x = 1.5\nsave_s = 2.0\nrestore_ms = 200.0\npatient = 0.04\nlate_seeds_ms = 300.0")
	line("\n[net]\nin_zone_ms = 0.1\ncross_zone_ms = 1.4\ncross_region_ms = 12.0\nclient_ms = 1.0")
	line("\n[discovery]\nsource = \"local\"\nbeat_ms = 1500\nlag_ms = 800\npage = 200\nper_s = 36.0")
	line("\n[entry]\nkind = \"vip\"\n\n[config]\nidle_routes = 8\npatch = true\nbody_bytes = 262144\nsame = true")
	line("\n[tolerate]\nmachines = %d\nzones = 0\nregions = 0", s.bear)
	line("\n[bounds]\ndrain_ms = 2000\nconfig_ms = 2000\nclosed = false\nfenced = true\ntouch_ms = 3000\nack_ms = 4000\nouter_ms = 5000\ngrace_s = 6.0\nrecover_s = 12.0")
	line("\n[prices]\nmachine_s = 0.02\ncpu_s = 0.035\nmemory_gb_s = 0.077\ncross_zone_gb = 40.0\ncross_region_gb = 0.0\nprobe = 0.0011\nhandshake = 0.0045")
	line("late_refusal = 0.1\nduty = 0.02\ncloud_call = 0.005\nwaste = 0.011\nstart = 0.0074")
	line("\n[goal]\nmean = 0.5\nwindow = 0.1\nclass = 0.2\nzone = 0.2\nnines = 0.0\nnines_best = 0.001\n\n[sched]\nby_beat = true")
}

func (s site) days(line func(string, ...any)) {
	day := func(name, slot string, seed int, closing, plan, faults string) {
		line("\n[[day]]\nname = %q\nslot = %q\nseed = %d\n%sone = 0.95\nzero = 0.4\ngoal = { floor = 0.3 }\nlabels = []\nwall = 1.5\nlight = true", name, slot, seed, closing)
		if s.changes > 0 {
			plan += fmt.Sprintf(`, { at = 4.0, kind = "config_race", count = %d, gap_s = %.2f }`, s.changes/2, float64(s.lengthS-10)/float64(s.changes/2))
		}
		if s.lateBurst != "" {
			faults = strings.TrimPrefix(faults+fmt.Sprintf(`, { at = %d.0, kind = "burst", class = %q, x = 12.0, for_s = 8.0 }`, s.lengthS-10, s.lateBurst), ", ")
		}
		line("plan = [%s]\nfaults = [%s]", plan, faults)
	}
	day("quiet-1", "quiet", 11, "", `{ at = 2.9, kind = "config_change", how = "idle" }`, "")
	day("trouble-1", "trouble", 12, "closing = { kind = \"power_off_all\", down_s = 0.9, how = \"taken\" }\n",
		`{ at = 5.0, kind = "scale_in", share = 0.08 }, { at = 26.0, kind = "config_change", how = "idle" }`,
		`{ at = 10.0, kind = "node_kill", on = "core", count = 1, for_s = 3.0, how = "leader race drain" }, { at = 18.0, kind = "after_ack_wipe", for_s = 2.0 }`)
	day("scale-1", "scale", 13, "closing = { kind = \"kill_all\", down_s = 1.0 }\n",
		`{ at = 2.0, kind = "config_race", count = 2, gap_s = 1.5 }, { at = 20.0, kind = "replace_core", x = 1.0 }`,
		`{ at = 9.0, kind = "srv_crash", share = 0.2, for_s = 4.0 }, { at = 14.0, kind = "node_cut", share = 0.2, for_s = 5.0, on = "side" }`)
}
