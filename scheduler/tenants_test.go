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

// tenant is one of those who share the workers: a realm of the settings.
type tenant struct {
	Name  string  `json:"name"`
	Share float64 `json:"share"`
	Quota float64 `json:"quota_rps"`
}

// setTenants sets the realms of the file that is written next.
func (c *child) setTenants(all ...tenant) {
	c.t.Helper()
	b, err := json.Marshal(all)
	if err != nil {
		c.t.Fatal(err)
	}
	c.config.Settings.Realms = nil
	if err := json.Unmarshal(b, &c.config.Settings.Realms); err != nil {
		c.t.Fatal(err)
	}
}

// reloadTenants has the scheduler reload its file with other tenants.
func (c *child) reloadTenants(all ...tenant) {
	c.t.Helper()
	c.setTenants(all...)
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("configuration reloaded")
}

// startTenants starts a scheduler with tenants, and with more of its file changed.
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

// checkRejected checks that jobs of a tenant are rejected, by both protocols.
func (c *child) checkRejected(tenantName, id string) {
	c.t.Helper()
	if a := testkit.Await(c.t, "the answer", post(c.addr, "/usage-view", jobOfTenant(tenantName, id)...)); a.status != 400 {
		c.t.Errorf("a job of %s: %+v", tenantName, a)
	}
	if s := subscribe(c.t, "POST", c.sse, "usage-view", "Tenant", tenantName, "Request-Id", id+"-stream"); s.status != 400 {
		c.t.Errorf("a stream of %s: %d", tenantName, s.status)
	}
}

// checkRecorded asks the journal of a job, again while its disk is slow, and reports whether it ran once for a tenant.
func (c *child) checkRecorded(id, tenantName string) {
	c.t.Helper()
	status, r := c.askJournal("?job=" + id)
	for until := time.Now().Add(startTimeout); status == 503 && time.Now().Before(until); time.Sleep(10 * time.Millisecond) {
		status, r = c.askJournal("?job=" + id)
	}
	if status != 200 || r.Verdict != "ran" || r.Tenant != tenantName || len(r.Attempts) != 1 {
		c.t.Errorf("the journal of %s: %d %+v", id, status, r)
	}
}

// serveNext carries out the next job, wherever it comes.
func (f *fleet) serveNext() (id string) {
	f.t.Helper()
	r := f.next()
	r.write(`"state":"started"`)
	r.finish(r.id)
	return r.id
}

// result reports a stream that does not end in its job's result.
func (s *stream) result(id string) {
	s.t.Helper()
	if last, _ := s.rest(); last.name != "result" || last.field(s.t, "result") != id {
		s.t.Errorf("%s ended in %s %s", id, last.name, last.data)
	}
}

// checkEndedAs checks the answer of a tenant's job that was in flight while the tenants changed, and
// what the journal says of all its jobs.
func checkEndedAs(t *testing.T, c *child, tenantName string, answer <-chan reply) {
	t.Helper()
	if a := testkit.Await(t, "the answer", answer); a.status != 200 || a.body != "plain-"+tenantName {
		t.Errorf("out at %s: %+v", tenantName, a)
	}
	for _, id := range []string{"out-" + tenantName, "plain-" + tenantName, "held-" + tenantName} {
		c.checkRecorded(id, tenantName)
	}
}

// beginAt sends a tenant's jobs "out-TEAM", as a stream, and "plain-TEAM", and waits until both
// have started at a worker.
func beginAt(t *testing.T, f *fleet, c *child, tenantName string) (s *stream, answer <-chan reply, runs []*attempt) {
	t.Helper()
	s = subscribe(t, "POST", c.sse, "plan-change", "Tenant", tenantName, "Request-Id", "out-"+tenantName)
	streamed := f.next()
	streamed.write(`"state":"started"`)
	s.until("started")
	answer = post(c.addr, "/plan-change", jobOfTenant(tenantName, "plain-"+tenantName)...)
	plain := f.next()
	plain.write(`"state":"started"`)
	return s, answer, []*attempt{streamed, plain}
}

// Guards jobs of a tenant that is removed while they are in flight, or queued for lack of workers: each ends with its one
// answer under its own tenant's name, though that tenant's index is another's by then; so do those of a tenant that stays. It
// may come back.
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
		streams["out-"+name], outAnswers[name], runs = beginAt(t, f, c, name)
		for _, r := range runs {
			out[r.id] = r
		}
	}
	f.setPhase("v", "draining")
	f.setPhase("w", "draining")
	for _, name := range tenants {
		id := "held-" + name
		streams[id] = subscribe(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
		streams[id].until("accepted")
	}

	checkPendingOfReplacedTenants(t, f, c, streams)

	c.reloadTenants(tenant{"co-op", 0.2, 30}, tenant{"newcomer", 0.5, 10}, tenant{"leaver", 0.1, 5})
	back := post(c.addr, "/plan-change", jobOfTenant("leaver", "back")...)
	f.serveNext()
	if a := testkit.Await(t, "the answer", back); a.status != 200 {
		t.Errorf("a job of the tenant that came back: %+v", a)
	}
	c.reloadTenants(tenant{"newcomer", 1, 0})
	for id, r := range out {
		r.finish(id)
	}
	for _, name := range tenants {
		streams["out-"+name].result("out-" + name)
		checkEndedAs(t, c, name, outAnswers[name])
	}
	c.checkRecorded("held-newcomer", "newcomer")
	if n := f.count("plan-change"); n != 8 {
		t.Errorf("%d runs of 8 jobs", n)
	}
	again := subscribe(t, "GET", c.sse, "plan-change", "Request-Id", "out-leaver") // of a tenant that is gone
	again.result("out-leaver")
	c.kill()
	c.start()
	c.checkRecorded("out-leaver", "leaver")
}

// checkPendingOfReplacedTenants replaces tenant "leaver" by "newcomer" while four jobs are in
// flight and no worker is active, and checks that the pending jobs of all three are served.
func checkPendingOfReplacedTenants(t *testing.T, f *fleet, c *child, streams map[string]*stream) {
	t.Helper()
	c.reloadTenants(tenant{"newcomer", 0.5, 10}, tenant{"co-op", 0.2, 30})
	c.checkRejected("leaver", "late")
	if n := f.count("plan-change"); n != 4 {
		t.Errorf("%d jobs are in flight, and 4 were when all workers left", n)
	}
	streams["held-newcomer"] = subscribe(t, "POST", c.sse, "plan-change", "Tenant", "newcomer", "Request-Id", "held-newcomer")
	streams["held-newcomer"].until("accepted")
	f.setPhase("v", "ready")
	f.setPhase("w", "ready")
	for range 3 {
		f.serveNext()
	}
	for _, name := range []string{"leaver", "co-op", "newcomer"} {
		streams["held-"+name].result("held-" + name)
	}
}

// Guards a scheduler that loses all its tenants and gets some again: their queued jobs are served, and without
// tenants any job is served, as by a file that never had any.
func TestAllTenantsReplaced(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.7, 0})
	streams := map[string]*stream{}
	hold := func(name, id string) {
		t.Helper()
		streams[id] = subscribe(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
		streams[id].until("accepted")
	}
	f.setPhase("v", "draining")
	f.setPhase("w", "draining")
	hold("leaver", "first-leaver")
	hold("co-op", "first-co-op")
	c.reloadTenants()
	hold("anybody", "nobody's")
	c.reloadTenants(tenant{"newcomer", 1, 5}, tenant{"co-op", 0.1, 0})
	hold("newcomer", "newcomer's")
	hold("co-op", "second-co-op")
	c.checkRejected("leaver", "late")
	c.checkRejected("anybody", "late-as-well")
	f.setPhase("v", "ready")
	f.setPhase("w", "ready")
	for range streams {
		f.serveNext()
	}
	for id, s := range streams {
		s.result(id)
	}
	if n := f.count("plan-change"); n != len(streams) {
		t.Errorf("%d runs of %d jobs", n, len(streams))
	}
}

// Guards a tenant whose share and quota are halved while more of its jobs are in flight and queued than its quota lets through: none of
// them is rejected or lost, nor is any of another tenant's.
func TestTenantHalvedAtItsQuota(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"heavy", 0.6, 8}, tenant{"co-op", 0.4, 8})
	busy := subscribe(t, "POST", c.sse, "plan-change", "Tenant", "heavy", "Request-Id", "busy")
	first := f.next()
	first.write(`"state":"started"`)
	busy.until("started")
	f.setPhase("v", "draining")
	f.setPhase("w", "draining")
	streams := map[string]*stream{}
	hold := func(name string, from, to int) {
		for i := from; i < to; i++ {
			id := fmt.Sprint(name, "-", i)
			streams[id] = subscribe(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
			streams[id].until("accepted")
		}
	}
	hold("heavy", 0, 24) // three times what it may send a second
	hold("co-op", 0, 4)
	c.reloadTenants(tenant{"light", 0.3, 4}, tenant{"co-op", 0.4, 8}, tenant{"heavy", 0.3, 4})
	hold("light", 0, 2) // which shows that the file is in force
	hold("heavy", 24, 28)
	hold("co-op", 4, 8)
	f.setPhase("v", "ready")
	f.setPhase("w", "ready")
	for range len(streams) / 2 {
		f.serveNext()
	}
	c.reloadTenants(tenant{"heavy", 0.15, 2}, tenant{"co-op", 0.4, 8})
	c.checkRejected("light", "late")
	for range len(streams) / 2 {
		f.serveNext()
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

// Guards changes of tenants in the middle of an upgrade: each process has the file that it has read last, jobs of tenants that
// came, went and stayed end well at both, and the new process goes on with the newest.
func TestTenantsChangeDuringUpgrade(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.4, 0}, tenant{"stays", 0.3, 5})
	streams, runs := map[string]*stream{}, map[string]*attempt{}
	begin := func(name, id string) {
		t.Helper()
		streams[id] = subscribe(t, "POST", c.sse, "plan-change", "Tenant", name, "Request-Id", id)
		r := f.next()
		r.write(`"state":"started"`)
		streams[id].until("started")
		runs[r.id] = r
	}
	begin("leaver", "old-leaver")
	begin("co-op", "old-co-op")
	next := c.startSuccessor()
	c.awaitLog("the new process accepts connections")
	begin("leaver", "new-leaver") // at the new process, by the first file
	begin("stays", "new-stays")
	newest := []tenant{{"stays", 0.2, 5}, {"newcomer", 0.5, 10}, {"co-op", 0.2, 30}}
	next.reloadTenants(newest...)
	next.checkRejected("leaver", "late")
	begin("newcomer", "new-newcomer")
	begin("co-op", "new-co-op")
	c.reloadTenants(newest...) // the old one is told later, and has jobs of a tenant that is gone
	begin("newcomer", "newer-newcomer")
	moved := streams["old-leaver"] // its client comes back to the new process, to a stream of a tenant that this does not have
	moved.leave()
	streams["old-leaver"] = subscribe(t, "GET", next.sse, "plan-change", "Request-Id", "old-leaver")
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
	for _, one := range newest {
		begin(one.Name, "alone-"+one.Name)
		runs["alone-"+one.Name].finish("alone-" + one.Name)
		streams["alone-"+one.Name].result("alone-" + one.Name)
	}
	if n := f.count("plan-change"); n != len(streams) {
		t.Errorf("%d runs of %d jobs", n, len(streams))
	}
}

// Guards an upgrade to a file with other tenants than the old process has: what that one learned goes over by the tenants' names.
func TestUpgradeToOtherTenants(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, nil, tenant{"leaver", 0.3, 20}, tenant{"co-op", 0.7, 0})
	old := subscribe(t, "POST", c.sse, "plan-change", "Tenant", "leaver", "Request-Id", "old")
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
		s := subscribe(t, "POST", next.sse, "plan-change", "Tenant", name, "Request-Id", "new-"+name)
		f.serveNext()
		s.result("new-" + name)
	}
	c.signal(syscall.SIGTERM)
	c.awaitLog("draining: answering")
	r.finish("old")
	old.result("old")
	c.awaitExit()
	next.awaitLog("continuing alone")
}

// Guards the newest tenants over an upgrade by a file that has become invalid since: the new process has those of the one that serves.
func TestUpgradeKeepsTheNewestTenants(t *testing.T) {
	f := newFleet(t, "w")
	c := &child{t: t, file: filepath.Join(t.TempDir(), "config.json"), addr: testkit.FreeAddr(t)}
	c.sse = c.addr // asked for /ready
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
				f.serveNext()
			}
			if a := testkit.Await(t, "the answer", got); a.status != want {
				t.Errorf("a job of %s: %+v, want %d", name, a, want)
			}
		}
	}
}

// servedUntilAllOf serves so many jobs, and returns how many of other were served until all of first were, and the order of all.
func servedUntilAllOf(f *fleet, first string, all int, other string, jobs int) (others int, order []string) {
	served := 0
	for range jobs {
		name, _, _ := strings.Cut(f.serveNext(), "-")
		order = append(order, name)
		if name == first {
			served++
		}
		if name == other && served < all {
			others++
		}
	}
	return others, order
}

// Guards the admission queue through a change of tenants' shares: queued jobs stay, also of a tenant that goes, and from
// then on tenants are admitted by their new shares.
func TestAdmissionSharesChange(t *testing.T) {
	f := newFleet(t, "v", "w")
	c := startTenants(t, f, func(file *dispatchconfig.File) { file.Admission = &dispatchconfig.Admission{Concurrency: 1} },
		tenant{"leaver", 0.2, 0}, tenant{"left", 0.4, 0}, tenant{"right", 0.4, 0})
	const each = 8
	streams := map[string]*stream{}
	wait := func(name string, from, to int) {
		for i := from; i < to; i++ {
			id := fmt.Sprint(name, "-", i)
			streams[id] = subscribe(t, "POST", c.sse, "usage-view", "Tenant", name, "Request-Id", id)
			streams[id].until("accepted")
		}
	}
	wait("right", 0, 1)
	inside := f.next()
	wait("leaver", 0, 2)
	wait("left", 0, each)
	wait("right", 1, each)
	c.reloadTenants(tenant{"right", 0.2, 0}, tenant{"newcomer", 0.2, 0}, tenant{"left", 0.6, 0})
	c.checkRejected("leaver", "late")
	wait("newcomer", 0, 1)
	if n := f.count("usage-view"); n != 1 {
		t.Errorf("%d jobs are in flight, and one is allowed", n)
	}
	inside.finish("right-0")
	right, order := servedUntilAllOf(f, "left", each, "right", len(streams)-1)
	if right < 1 || right > 4 { // a third of left; it would be as many without the change
		t.Errorf("until all %d of left were in, %d of right were: %v", each, right, order)
	}
	for id, s := range streams {
		s.result(id)
	}
	if n := f.count("usage-view"); n != len(streams) {
		t.Errorf("%d runs of %d jobs", n, len(streams))
	}
	c.setTenants() // the queue needs tenants to share among
	c.write()
	c.signal(syscall.SIGHUP)
	c.awaitLog("the new configuration is bad")
	wait("right", each, each+1)
	f.serveNext()
	streams[fmt.Sprint("right-", each)].result(fmt.Sprint("right-", each))
}
