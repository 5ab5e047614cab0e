package main

import (
	"fmt"
	"strings"
)

// toml returns the content of the deployment file.
func (s site) toml() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("name = %q\nstock = \"own\"\nstep = \"c\"\nwire = \"wire.json\"\nfamily = \"sched\"", s.name)
	line(`contracts = ["base", "drain", "config", "cost", "recover", "sched"]`)
	line("lead_s = 10.0\nlength_s = %d.0\nnames_apart = true\nterms = \"standard\"\nzones = [", s.lengthS)
	for z := range s.zones {
		line("  { name = %q, region = \"home\" },", zoneName(z))
	}
	line("]\nmachines = [")
	for z := range s.zones {
		s.writeMachines(line, zoneName(z))
	}
	line("]\nservices = [")
	for _, service := range s.services {
		line(`  { name = %q, servers = [], conn_cap = 64, health_ms = 0.5, linger_ms = 1500, speeds = [0.8, 1.0, 1.25], cold_s = 0.0, `+
			`node = { cpu = %d, mem_mb = 65536, gpu = %d, kinds = ["a", "b"], sizes = [1.0, 0.5], rack = %d, guards = false }, model = "app" },`,
			service.name, service.cpu, service.gpu, s.rackSize)
	}
	line("]\nclasses = [")
	for _, q := range s.queues {
		line("%s", q.toml(s.labelShare))
	}
	line("]\ntraffic = [")
	for z := range s.zones {
		line("  { zone = %q, mix = { %s }, per_s = %.2f, clients = 10, users = 1, shape = { kind = \"wave\", swing = 0.15, period_s = 11.0, phase = 0.%d } },",
			zoneName(z), s.trafficMix(), s.jobsPerSecond/float64(s.zones), z+1)
	}
	line("]\ntroubles = [%s\n]", faultKinds)
	s.writeTables(line)
	s.writeDays(line)
	return b.String()
}

// zoneName returns the name of a zone.
func zoneName(i int) string { return fmt.Sprintf("hall-%c", 'a'+i) }

// writeMachines writes the entries of a zone's machines.
func (s site) writeMachines(line func(string, ...any), zone string) {
	line(`  { class = "front", cpu_share = 0.35, cores = 1, memory_mb = 284, fds = 4100, link_mbps = 1000.0, zone = %q, count = 1, spare = 1 },`, zone)
	for _, service := range s.services {
		line(`  { class = "side", zone = %q, count = %d, app = %q, cpu_share = 0.24, memory_mb = 152, spare = 1, cores = 1 },`, zone, service.workersPerZone, service.name)
	}
	line(`  { class = "core", zone = %q, count = %d, spare = 1, cpu_share = 0.8, cores = 1, memory_mb = 280, fds = 4096, link_mbps = 1000.0, `+
		`disk = { mb = 128, sync_ms = 7.0, mb_per_s = 120 } },`, zone, s.coresPerZone)
}

// trafficMix returns the traffic shares of the queues as the items of a TOML inline table.
func (s site) trafficMix() string {
	var parts []string
	for _, q := range s.queues {
		parts = append(parts, fmt.Sprintf("%s = %g", q.name, q.share))
	}
	return strings.Join(parts, ", ")
}

// toml returns the entry of a queue.
func (q queue) toml(labelShare float64) string {
	extra := ""
	if q.checkpointShare > 0 {
		extra += fmt.Sprintf(", saves = %g", q.checkpointShare)
	}
	if q.gpus != "" {
		extra += ", gpu = " + q.gpus
	}
	if q.gang {
		extra += ", gang = 1, tight = 0.5"
	}
	open := ""
	if q.longRunning {
		extra += ", lasts = true, apart = 0.5, stay_s = { mean = 40.0, spread = 0.7, max = 140.0 }"
		open = ", open = true"
	}
	return fmt.Sprintf(`  { name = %q, aim_ms = %d, deadline_ms = 3000, worth = 1, late_worth = 0.3, priority = %d, retries = 4, service = %q, method = "POST", `+
		`kind = "unsafe", attempts = 2, work_ms = { mean = %d.0, spread = 0.5, max = %d.0 }, req_bytes = { mean = 200.0, spread = 0.6, max = 900.0 }, `+
		`error_share = 0.02, poison = 0, jobs = { steps = { mean = 1.5, spread = 0.4, max = 3.8 }, width = { mean = %g, spread = 0.8, max = %g }, `+
		`cpu = { mean = %d.0, spread = 0.3, max = %d.0 }, mem_mb = { mean = %d.0, spread = 0.5, max = %d.0 }, uneven = 0.2, est_off = 0.7, stretch = 2.0, `+
		`every_s = 2.0, times = 5, needs = %g, filled = 1%s }%s },`,
		q.name, q.targetLatencyMS, q.priority, q.service, q.workMS, q.workMS*5/2, q.width, q.width*5, q.cpu, q.cpu*3/2, q.cpu, q.cpu*2, labelShare, extra, open)
}

// faultKinds lists the faults from which the bench samples when it searches for failing days.
const faultKinds = `
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

// writeTables writes the tables that are the same for all sites except for the site's limits.
func (s site) writeTables(line func(string, ...any)) {
	line("\n[timing]\ncatch_up_s = 4.0\nfinish_s = 14.0\nearly_ms = 250.0\nhold_max_ms = %d.0\ngang_ms = 3000\ncancel_ms = 3000\nstop_ms = %d.0", s.maxLeaseMS, s.stopMS)
	line("far_x = 1.5\nsave_s = 2.0\nrestore_ms = 200.0\npatient = 0.04\nlate_seeds_ms = 300.0")
	line("\n[net]\nin_zone_ms = 0.1\ncross_zone_ms = 1.4\ncross_region_ms = 12.0\nclient_ms = 1.0")
	line("\n[discovery]\nsource = \"local\"\nbeat_ms = 1500\nlag_ms = 800\npage = 200\nper_s = 36.0")
	line("\n[entry]\nkind = \"vip\"\n\n[config]\nidle_routes = 8\npatch = true\nbody_bytes = 262144\nsame = true")
	line("\n[tolerate]\nmachines = %d\nzones = 0\nregions = 0", s.toleratedLosses)
	line("\n[bounds]\ndrain_ms = 2000\nconfig_ms = 2000\nclosed = false\nfenced = true\ntouch_ms = 3000\nack_ms = 4000\nouter_ms = 5000\ngrace_s = 6.0\nrecover_s = 12.0")
	line("\n[prices]\nmachine_s = 0.02\ncpu_s = 0.035\nmemory_gb_s = 0.077\ncross_zone_gb = 40.0\ncross_region_gb = 0.0\nprobe = 0.0011\nhandshake = 0.0045")
	line("late_refusal = 0.1\nduty = 0.02\ncloud_call = 0.005\nwaste = 0.011\nstart = 0.0074")
	line("\n[goal]\nmean = 0.5\nwindow = 0.1\nclass = 0.2\nzone = 0.2\nnines = 0.0\nnines_best = 0.001\n\n[sched]\nby_beat = true")
}

// writeDays writes the days, which are the bench's scenarios: one without faults, one with faults and one with scaling.
func (s site) writeDays(line func(string, ...any)) {
	day := func(name, slot string, seed int, closing, plan, faults string) {
		line("\n[[day]]\nname = %q\nslot = %q\nseed = %d\n%sone = 0.95\nzero = 0.4\ngoal = { floor = 0.3 }\nlabels = []\nwall = 1.5\nlight = true", name, slot, seed, closing)
		if s.configChanges > 0 {
			plan += fmt.Sprintf(`, { at = 4.0, kind = "config_race", count = %d, gap_s = %.2f }`, s.configChanges/2, float64(s.lengthS-10)/float64(s.configChanges/2))
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
