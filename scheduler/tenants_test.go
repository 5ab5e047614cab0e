package scheduler_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

// tenant is an entry of the settings' list of tenants, whose key is realms.
type tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Quota float64 `json:"quota_rps"`
}

// setTenants sets the tenants of the file that the next write creates.
func (c *child) setTenants(all ...tenant) {
	c.t.Helper()
	b, err := json.Marshal(all)
	if err != nil {
		c.t.Fatal(err)
	}
	c.config.Settings.Tenants = nil
	if err := json.Unmarshal(b, &c.config.Settings.Tenants); err != nil {
		c.t.Fatal(err)
	}
}

// reloadTenants makes the scheduler reload its file with other tenants.
func (c *child) reloadTenants(all ...tenant) {
	c.t.Helper()
	c.setTenants(all...)
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
}

// startTenants starts a scheduler with tenants. change, unless nil, further changes its file.
func startTenants(t *testing.T, f *fleet, change func(*dispatchconfig.File), all ...tenant) *child {
	t.Helper()
	c := startChild(t, f)
	c.kill()
	c.setTenants(all...)
	if change != nil {
		change(&c.config)
	}
	c.write()
	c.start()
	return c
}

func jobOfTenant(tenantName, id string) []string { return job(id, "Tenant", tenantName) }

// checkRejected checks that jobs of a tenant are rejected by both protocols.
func (c *child) checkRejected(tenantName, id string) {
	c.t.Helper()
	if a := testkit.Await(c.t, "the response", post(c.addr, "/usage-view", jobOfTenant(tenantName, id)...)); a.status != 400 {
		c.t.Errorf("job of tenant %s: %+v, want 400", tenantName, a)
	}
	if s := openStream(c.t, "POST", c.sse, "usage-view", "Tenant", tenantName, "Request-Id", id+"-stream"); s.status != 400 {
		c.t.Errorf("stream of tenant %s: status %d, want 400", tenantName, s.status)
	}
}

// checkRecorded checks that the journal reports a job as run once for a tenant. It repeats the query while the journal is
// unavailable because its disk is slow.
func (c *child) checkRecorded(id, tenantName string) {
	c.t.Helper()
	status, r := c.queryJournal("?job=" + id)
	for until := time.Now().Add(startTimeout); status == 503 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		status, r = c.queryJournal("?job=" + id)
	}
	if status != 200 || r.Verdict != "ran" || r.Tenant != tenantName || len(r.Attempts) != 1 {
		c.t.Errorf("journal query of %s: status %d, report %+v", id, status, r)
	}
}

// finishNext finishes the next job that reaches a worker and returns its ID.
func (f *fleet) finishNext() (id string) {
	f.t.Helper()
	r := f.next()
	r.write(`"state":"started"`)
	r.finish(r.id)
	return r.id
}

// result checks that the stream ends with the result of the job id.
func (s *stream) result(id string) {
	s.t.Helper()
	if last, _ := s.rest(); last.name != "result" || last.field(s.t, "result") != id {
		s.t.Errorf("stream of %s ended with %s %s, want its result", id, last.name, last.data)
	}
}

// checkTenantJobs checks the response to a tenant's job that was in flight while the tenants changed,
// and the journal's reports of all jobs of the tenant.
func checkTenantJobs(t *testing.T, c *child, tenantName string, answer <-chan reply) {
	t.Helper()
	if a := testkit.Await(t, "the response", answer); a.status != 200 || a.body != "plain-"+tenantName {
		t.Errorf("job in flight of tenant %s: %+v", tenantName, a)
	}
	for _, id := range []string{"out-" + tenantName, "plain-" + tenantName, "queued-" + tenantName} {
		c.checkRecorded(id, tenantName)
	}
}

// startJobs sends a tenant's jobs "out-TENANT", as a stream, and "plain-TENANT", and waits until both
// have started at a worker.
func startJobs(t *testing.T, f *fleet, c *child, tenantName string) (s *stream, answer <-chan reply, runs []*attempt) {
	t.Helper()
	s = openStream(t, "POST", c.sse, "plan-change", "Tenant", tenantName, "Request-Id", "out-"+tenantName)
	streamed := f.next()
	streamed.write(`"state":"started"`)
	s.until("started")
	answer = post(c.addr, "/plan-change", jobOfTenant(tenantName, "plain-"+tenantName)...)
	plain := f.next()
	plain.write(`"state":"started"`)
	return s, answer, []*attempt{streamed, plain}
}

// Guards against jobs that are lost or charged to another tenant when their tenant is removed while they are in flight, or queued for
// lack of workers. Each must get its one response under its own tenant's name, though another tenant has the index by then. The same
// holds for jobs of a tenant that stays. The removed tenant may be added again.
func TestTenantRemovedWithJobsInFlight(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, func(file *dispatchconfig.File) {
		file.Journal = &dispatchconfig.Journal{Dir: filepath.Join(t.TempDir(), "journal"), ReserveMB: 1, MaxMB: 16}
	}, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.7, 0})
	tenants := []string{"leaver", "co-op"}
	out, outAnswers := map[string]*attempt{}, map[string]<-chan reply{}
	streams := map[string]*stream{}
	for _, name := range tenants {
		var runs []*attempt
		streams["out-"+name], outAnswers[name], runs = startJobs(t, f, c, name)
		for _, r := range runs {
			out[r.id] = r
		}
	}
	f.setPhase("v", "draining")
	f.setPhase("w", "draining")
	for _, name := range tenants {
		id := "queued-" + name
		streams[id] = openStream(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
		streams[id].until("accepted")
	}

	checkQueuedJobsOfReplacedTenant(t, f, c, streams)

	c.reloadTenants(tenant{"co-op", 0.2, 30}, tenant{"newcomer", 0.5, 10}, tenant{"leaver", 0.1, 5})
	back := post(c.addr, "/plan-change", jobOfTenant("leaver", "back")...)
	f.finishNext()
	if a := testkit.Await(t, "the response", back); a.status != 200 {
		t.Errorf("job of the tenant that was added again: %+v, want 200", a)
	}
	c.reloadTenants(tenant{"newcomer", 1, 0})
	for id, r := range out {
		r.finish(id)
	}
	for _, name := range tenants {
		streams["out-"+name].result("out-" + name)
		checkTenantJobs(t, c, name, outAnswers[name])
	}
	c.checkRecorded("queued-newcomer", "newcomer")
	if n := f.count("plan-change"); n != 8 {
		t.Errorf("%d runs of 8 jobs, want 8", n)
	}
	resumed := openStream(t, "GET", c.sse, "plan-change", "Request-Id", "out-leaver") // a stream of a removed tenant
	resumed.result("out-leaver")
	c.kill()
	c.start()
	c.checkRecorded("out-leaver", "leaver")
}

// checkQueuedJobsOfReplacedTenant replaces tenant "leaver" by "newcomer" while four jobs are in flight
// and no worker accepts jobs, and checks that the queued jobs of all three tenants are served.
func checkQueuedJobsOfReplacedTenant(t *testing.T, f *fleet, c *child, streams map[string]*stream) {
	t.Helper()
	c.reloadTenants(tenant{"newcomer", 0.5, 10}, tenant{"co-op", 0.2, 30})
	c.checkRejected("leaver", "late")
	if n := f.count("plan-change"); n != 4 {
		t.Errorf("%d jobs reached workers, want the 4 from before all workers were draining", n)
	}
	streams["queued-newcomer"] = openStream(t, "POST", c.sse, "plan-change", "Tenant", "newcomer", "Request-Id", "queued-newcomer")
	streams["queued-newcomer"].until("accepted")
	f.setPhase("v", "ready")
	f.setPhase("w", "ready")
	for range 3 {
		f.finishNext()
	}
	for _, name := range []string{"leaver", "co-op", "newcomer"} {
		streams["queued-"+name].result("queued-" + name)
	}
}

// Verifies a scheduler whose tenants are all removed and then replaced: their queued jobs are served, and without tenants any job is
// accepted, as with a file that never had any.
func TestAllTenantsReplaced(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.7, 0})
	streams := map[string]*stream{}
	queue := func(name, id string) {
		t.Helper()
		streams[id] = openStream(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
		streams[id].until("accepted")
	}
	f.setPhase("v", "draining")
	f.setPhase("w", "draining")
	queue("leaver", "first-leaver")
	queue("co-op", "first-co-op")
	c.reloadTenants()
	queue("anybody", "any-tenant")
	c.reloadTenants(tenant{"newcomer", 1, 5}, tenant{"co-op", 0.1, 0})
	queue("newcomer", "first-newcomer")
	queue("co-op", "second-co-op")
	c.checkRejected("leaver", "late")
	c.checkRejected("anybody", "late-as-well")
	f.setPhase("v", "ready")
	f.setPhase("w", "ready")
	for range streams {
		f.finishNext()
	}
	for id, s := range streams {
		s.result(id)
	}
	if n := f.count("plan-change"); n != len(streams) {
		t.Errorf("%d runs of %d jobs", n, len(streams))
	}
}

// Guards against jobs that are rejected or lost when their tenant's share and quota are halved while more of its jobs are in flight and
// queued than its quota admits. Jobs of another tenant must not be rejected or lost either.
func TestTenantQuotaHalved(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"heavy", 0.6, 8}, tenant{"co-op", 0.4, 8})
	busy := openStream(t, "POST", c.sse, "plan-change", "Tenant", "heavy", "Request-Id", "busy")
	first := f.next()
	first.write(`"state":"started"`)
	busy.until("started")
	f.setPhase("v", "draining")
	f.setPhase("w", "draining")
	streams := map[string]*stream{}
	queue := func(name string, from, to int) {
		for i := from; i < to; i++ {
			id := fmt.Sprint(name, "-", i)
			streams[id] = openStream(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
			streams[id].until("accepted")
		}
	}
	queue("heavy", 0, 24) // three times the tenant's quota per second
	queue("co-op", 0, 4)
	c.reloadTenants(tenant{"light", 0.3, 4}, tenant{"co-op", 0.4, 8}, tenant{"heavy", 0.3, 4})
	queue("light", 0, 2) // accepted only if the new file is in force
	queue("heavy", 24, 28)
	queue("co-op", 4, 8)
	f.setPhase("v", "ready")
	f.setPhase("w", "ready")
	for range len(streams) / 2 {
		f.finishNext()
	}
	c.reloadTenants(tenant{"heavy", 0.15, 2}, tenant{"co-op", 0.4, 8})
	c.checkRejected("light", "late")
	for range len(streams) / 2 {
		f.finishNext()
	}
	first.finish("busy")
	busy.result("busy")
	for id, s := range streams {
		s.result(id)
	}
	if n := f.count("plan-change"); n != len(streams)+1 {
		t.Errorf("%d runs of %d jobs", n, len(streams)+1)
	}
}

// Verifies changes of tenants during an upgrade: each process uses the file that it has read last, jobs of added, removed and remaining
// tenants are served by both processes, and the new process continues with the newest file.
func TestTenantsChangeDuringUpgrade(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.4, 0}, tenant{"stays", 0.3, 5})
	streams, runs := map[string]*stream{}, map[string]*attempt{}
	begin := func(name, id string) {
		t.Helper()
		streams[id] = openStream(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
		r := f.next()
		r.write(`"state":"started"`)
		streams[id].until("started")
		runs[r.id] = r
	}
	begin("leaver", "old-leaver")
	begin("co-op", "old-co-op")
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	begin("leaver", "new-leaver") // at the new process, with the first file
	begin("stays", "new-stays")
	newest := []tenant{{"stays", 0.2, 5}, {"newcomer", 0.5, 10}, {"co-op", 0.2, 30}}
	next.reloadTenants(newest...)
	next.checkRejected("leaver", "late")
	begin("newcomer", "new-newcomer")
	begin("co-op", "new-co-op")
	c.reloadTenants(newest...) // the old process reloads later, with jobs in flight of a removed tenant
	begin("newcomer", "newer-newcomer")
	moved := streams["old-leaver"] // its client reconnects to the new process, which does not have the tenant of the stream
	moved.disconnect()
	streams["old-leaver"] = openStream(t, "GET", next.sse, "plan-change", "Request-Id", "old-leaver")
	streams["old-leaver"].until("started")
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	for id, r := range runs {
		r.finish(id)
	}
	for id, s := range streams {
		s.result(id)
	}
	c.awaitExit()
	next.awaitLog("continuing alone")
	next.checkRejected("leaver", "later")
	for _, tenant := range newest {
		begin(tenant.Name, "alone-"+tenant.Name)
		runs["alone-"+tenant.Name].finish("alone-" + tenant.Name)
		streams["alone-"+tenant.Name].result("alone-" + tenant.Name)
	}
	if n := f.count("plan-change"); n != len(streams) {
		t.Errorf("%d runs of %d jobs", n, len(streams))
	}
}

// Verifies an upgrade to a file with other tenants than those of the old process: learned state is inherited by tenant name.
func TestUpgradeChangesTenants(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.7, 0})
	old := openStream(t, "POST", c.sse, "plan-change", "Tenant", "leaver", "Request-Id", "old")
	r := f.next()
	r.write(`"state":"started"`)
	old.until("started")
	before := c.config
	c.setTenants(tenant{"newcomer", 0.2, 5}, tenant{"co-op", 0.8, 20})
	next := c.startSuccessor()
	c.config = before
	c.awaitLog("the new process accepts connections")
	next.checkRejected("leaver", "late")
	for _, name := range []string{"newcomer", "co-op"} {
		s := openStream(t, "POST", next.sse, "plan-change", "Tenant", name, "Request-Id", "new-"+name)
		f.finishNext()
		s.result("new-" + name)
	}
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	r.finish("old")
	old.result("old")
	c.awaitExit()
	next.awaitLog("continuing alone")
}

// Verifies an upgrade with a file that has become invalid after the last reload: the new process uses the tenants of the serving process.
func TestUpgradeKeepsNewestTenants(t *testing.T) {
	f := newFleet(t, "w")
	c := &child{t: t, file: filepath.Join(t.TempDir(), "config.json"), addr: testkit.FreeAddr(t)}
	c.sse = c.addr // start requests /ready there
	c.config.Name, c.config.Listen, c.config.Ops = "test", c.addr, testkit.FreeAddr(t)
	c.config.Discovery, c.config.Settings, c.config.Workers = f.addr, settings(t), f.list.Members
	c.setTenants(tenant{"leaver", 0.5, 5}, tenant{"co-op", 0.5, 5})
	c.write()
	c.start()
	t.Cleanup(c.kill)
	c.reloadTenants(tenant{"newcomer", 0.9, 9}, tenant{"co-op", 0.1, 1})
	if err := os.WriteFile(c.file, []byte(`{"settings":{"realms":[{"name":"leaver"`), 0o600); err != nil {
		t.Fatal(err)
	}
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")
	next := &child{t: t, file: c.file, addr: c.addr, sse: c.addr, config: c.config}
	next.config.Ops = testkit.FreeAddr(t)
	next.launch()
	t.Cleanup(next.kill)
	next.awaitLog("using that of the serving process")
	c.awaitLog("the new process accepts connections")
	for i, kill := range []bool{false, true} {
		if kill {
			c.kill()
			next.awaitLog("continuing alone")
		}
		for name, want := range map[string]int{"newcomer": 200, "co-op": 200, "leaver": 400} {
			got := post(next.addr, "/usage-view", jobOfTenant(name, fmt.Sprint(name, "-", i))...)
			if want == 200 {
				f.finishNext()
			}
			if a := testkit.Await(t, "the response", got); a.status != want {
				t.Errorf("job of tenant %s: %+v, want %d", name, a, want)
			}
		}
	}
}

// countServedBefore finishes the given number of jobs. It returns how many jobs of tenant other were served before the last of the
// firstJobs jobs of tenant first, and the tenants of all jobs in the order of service.
func countServedBefore(f *fleet, first string, firstJobs int, other string, jobs int) (others int, order []string) {
	served := 0
	for range jobs {
		name, _, _ := strings.Cut(f.finishNext(), "-")
		order = append(order, name)
		if name == first {
			served++
		}
		if name == other && served < firstJobs {
			others++
		}
	}
	return others, order
}

// Verifies the admission queue when the tenants' shares change: queued jobs stay queued, also those of a removed tenant, and tenants are
// admitted by their new shares from then on.
func TestAdmissionSharesChange(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, func(file *dispatchconfig.File) { file.Admission = &dispatchconfig.Admission{Concurrency: 1} },
		tenant{"leaver", 0.2, 0}, tenant{"left", 0.4, 0}, tenant{"right", 0.4, 0})
	const each = 8
	streams := map[string]*stream{}
	submit := func(name string, from, to int) {
		for i := from; i < to; i++ {
			id := fmt.Sprint(name, "-", i)
			streams[id] = openStream(t, "POST", c.sse, "usage-view", "Tenant", name, "Request-Id", id)
			streams[id].until("accepted")
		}
	}
	submit("right", 0, 1)
	first := f.next()
	submit("leaver", 0, 2)
	submit("left", 0, each)
	submit("right", 1, each)
	c.reloadTenants(tenant{"right", 0.2, 0}, tenant{"newcomer", 0.2, 0}, tenant{"left", 0.6, 0})
	c.checkRejected("leaver", "late")
	submit("newcomer", 0, 1)
	if n := f.count("usage-view"); n != 1 {
		t.Errorf("%d jobs reached workers, want 1 for a concurrency of one", n)
	}
	first.finish("right-0")
	right, order := countServedBefore(f, "left", each, "right", len(streams)-1)
	if right < 1 || right > 4 { // right has a third of left's share; without the change they would have equal shares
		t.Errorf("before all %d jobs of left were served, %d of right were, want 1 to 4: order %v", each, right, order)
	}
	for id, s := range streams {
		s.result(id)
	}
	if n := f.count("usage-view"); n != len(streams) {
		t.Errorf("%d runs of %d jobs", n, len(streams))
	}
	c.setTenants() // invalid: the admission queue requires tenants
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")
	submit("right", each, each+1)
	f.finishNext()
	streams[fmt.Sprint("right-", each)].result(fmt.Sprint("right-", each))
}
