package faultinjection

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	long    = flag.Bool("long", false, "freeze for 10 s instead of 2 s")
	changes = flag.Int("changes", 24, "number of configuration changes in TestRandomTenantChanges")
)

// TestTenantsChangeWhileServing changes tenants under load while half of the datagrams between schedulers are lost and one scheduler
// is killed and restarted with the newest file. Tenants that stay must be served throughout, added tenants must be served at each
// scheduler in time, and removed tenants must have new jobs rejected and jobs in flight completed.
func TestTenantsChangeWhileServing(t *testing.T) {
	tr := startTrial(t, 4, Configuration{1, []Tenant{{"valley", 0.5, 60}, {"east", 0.3, 40}, {"west", 0.2, 20}}})
	all, restarted := tr.Schedulers, tr.Schedulers[1]
	tr.startClients("valley", 2, 40*time.Millisecond, all...)
	tr.startClients("east", 2, 40*time.Millisecond, all...)
	tr.startClients("west", 3, 10*time.Millisecond, all...)
	tr.awaitServed("west", all...)
	tr.loseDatagrams(0.5)

	tr.reconfigure(Configuration{2, []Tenant{{"valley", 0.2, 30}, {"north", 0.3, 10}, {"west", 0.2, 20}, {"east", 0.15, 20}}}, all...)
	tr.awaitServed("north", all...)
	tr.startClients("north", 1, 100*time.Millisecond, all...)

	// The killed scheduler reads the newest file at its start and is signalled again when it is up.
	third := Configuration{3, []Tenant{{"north", 0.1, 10}, {"south", 0.5, 0}, {"east", 0.3, 20}, {"valley", 0.2, 30}}}
	restarted.Kill()
	back := make(chan error, 1)
	up := slices.DeleteFunc(slices.Clone(all), func(s *Scheduler) bool { return s == restarted })
	removedAt := time.Now()
	tr.reconfigure(third, all...)
	go func() { back <- tr.Start(restarted) }()
	tr.awaitUnknownTenant("west", up...)
	tr.awaitServed("south", up...)
	if err := <-back; err != nil {
		t.Fatal(err)
	}
	tr.awaitServed("south", restarted)
	tr.awaitUnknownTenant("west", restarted)
	tr.startClients("south", 1, 100*time.Millisecond, all...)

	tr.reconfigure(Configuration{4, []Tenant{{"south", 0.2, 5}, {"west", 0.3, 20}, {"east", 0.3, 20}, {"valley", 0.2, 30}, {"north", 0.3, 10}}}, all...)
	tr.awaitServed("west", all...)
	tr.Network.Heal()
	tr.awaitRevision(4, all...)
	if err := tr.awaitAllAlive(); err != nil {
		t.Error(err)
	}
	tr.finish()
	for _, tenant := range []string{"valley", "east"} {
		tr.checkStayingTenant(tenant)
	}
	tr.checkChangingTenant("north", removedAt)
	tr.checkChangingTenant("south", removedAt)
	if inFlight := tr.checkChangingTenant("west", removedAt); inFlight == 0 {
		t.Error("no job of west was in flight when it was removed")
	} else {
		t.Logf("%d jobs of west were in flight when it was removed", inFlight)
	}
}

// onlyBehindFrom returns a check that exactly the schedulers with numbers from a given one on are reported as behind.
func onlyBehindFrom(schedulers, from int) func(*peerPage) error {
	return func(page *peerPage) error {
		for j := range schedulers {
			if late, err := page.isBehind(j); err != nil || late != (j >= from) {
				return fmt.Errorf("member %d behind: %v, error %w", j, late, err)
			}
		}
		return nil
	}
}

// hasReportsOfAllOthers returns a check that a scheduler uses the load reports of all others about at least one worker.
func hasReportsOfAllOthers(schedulers int) func(*peerPage) error {
	return func(page *peerPage) error {
		most := 0
		for _, b := range page.Boxes {
			most = max(most, b.Tellers)
		}
		if most < schedulers-1 {
			return fmt.Errorf("no worker has reports of more than %d schedulers", most)
		}
		return nil
	}
}

// acceptsAllSince returns a check that since an earlier page no datagram was rejected and at least 20 were received.
func acceptsAllSince(before peerPage) func(*peerPage) error {
	return func(page *peerPage) error {
		if page.Counts.Refused != before.Counts.Refused || page.Counts.Received < before.Counts.Received+20 {
			return fmt.Errorf("rejected %d, before %d; received %d, before %d", page.Counts.Refused, before.Counts.Refused,
				page.Counts.Received, before.Counts.Received)
		}
		return nil
	}
}

// TestHalfOnTheOldTenants gives half of the schedulers a newer configuration, one of them at its start. The schedulers must use each
// other's load reports and know which of them are behind, and one that missed three changes must catch up by one reload.
func TestHalfOnTheOldTenants(t *testing.T) {
	first := Configuration{1, []Tenant{{"valley", 0.6, 0}, {"east", 0.4, 0}}}
	tr := startTrial(t, 4, first)
	updated, outdated := tr.Schedulers[:2], tr.Schedulers[2:]
	newest := Configuration{4, []Tenant{{"south", 0.5, 30}, {"valley", 0.3, 20}, {"north", 0.2, 10}}}
	for _, c := range []Configuration{
		{2, []Tenant{{"valley", 0.3, 20}, {"east", 0.4, 0}, {"north", 0.3, 0}}},
		{3, []Tenant{{"valley", 0.3, 20}, {"north", 0.7, 0}}}, newest} {
		tr.reconfigure(c, updated[0])
		tr.awaitPage(updated[0], fmt.Sprintf("%d is in force", c.Revision), func(page *peerPage) error {
			if got := page.Members[page.Self].Revision; got != c.Revision {
				return fmt.Errorf("revision %d is in force", got)
			}
			return nil
		})
	}
	updated[1].Kill()
	if err := updated[1].ReplaceFile(updated[1].ConfigurationFile(newest)); err != nil {
		t.Fatal(err)
	}
	if err := tr.Start(updated[1]); err != nil {
		t.Fatal(err)
	}
	tr.awaitServed("south", updated...)
	tr.awaitUnknownTenant("south", outdated...)
	tr.awaitServed("east", outdated...)
	if err := tr.awaitAllAlive(); err != nil {
		t.Error(err)
	}
	var before [4]peerPage
	for i, s := range tr.Schedulers {
		before[i] = tr.awaitPage(s, "the schedulers with the old file are behind", onlyBehindFrom(len(tr.Schedulers), len(updated)))
	}
	stop := tr.startClients("valley", 6, time.Millisecond, tr.Schedulers...)
	for _, s := range tr.Schedulers {
		tr.awaitPage(s, "has load reports of all others", hasReportsOfAllOthers(len(tr.Schedulers)))
	}
	stop()
	for i, s := range tr.Schedulers {
		tr.awaitPage(s, "no datagram is rejected", acceptsAllSince(before[i]))
	}
	tr.reconfigure(newest, outdated...)
	tr.awaitServed("south", outdated...)
	tr.awaitUnknownTenant("east", outdated...)
	tr.awaitRevision(newest.Revision, tr.Schedulers...)
	tr.finish()
	tr.checkStayingTenant("valley")
}

// TestTwoChangesInOneSecond checks that of two files that are signalled in quick succession the second one ends up in force, whether
// or not the first was read.
func TestTwoChangesInOneSecond(t *testing.T) {
	tr := startTrial(t, 2, Configuration{1, []Tenant{{"valley", 0.6, 0}, {"east", 0.4, 0}}})
	tr.startClients("valley", 2, 20*time.Millisecond, tr.Schedulers...)
	for revision := 2; revision < 12; revision += 2 {
		passing, last := fmt.Sprint("passing", revision), fmt.Sprint("last", revision)
		tr.reconfigure(Configuration{revision, []Tenant{{passing, 0.5, 0}, {"valley", 0.5, 10}}}, tr.Schedulers...)
		tr.reconfigure(Configuration{revision + 1, []Tenant{{"valley", 0.1, 0}, {last, 0.9, 5}}}, tr.Schedulers...)
		tr.awaitServed(last, tr.Schedulers...)
		for _, s := range tr.Schedulers {
			if answer := tr.submit(s, passing); answer.Status != http.StatusBadRequest {
				t.Errorf("%s: a job of %s, which the last file lacks, was answered with %d", s.Name, passing, answer.Status)
			}
		}
		tr.awaitRevision(revision+1, tr.Schedulers...)
	}
	tr.finish()
	tr.checkStayingTenant("valley")
}

// TestChangeTakenBack reverts a change by restoring the former file. The first configuration must be in force again with its
// revision at every scheduler, whether or not the change had been applied there, and no job may be lost.
func TestChangeTakenBack(t *testing.T) {
	first := Configuration{1, []Tenant{{"valley", 0.6, 40}, {"east", 0.4, 0}}}
	second := Configuration{2, []Tenant{{"north", 0.7, 0}, {"valley", 0.3, 20}}}
	tr := startTrial(t, 3, first)
	tr.startClients("valley", 2, 20*time.Millisecond, tr.Schedulers...)
	tr.startClients("east", 3, 5*time.Millisecond, tr.Schedulers...)
	tr.awaitServed("east", tr.Schedulers...)
	digest := ""
	tr.awaitRevision(1, tr.Schedulers...)
	tr.awaitPage(tr.Schedulers[0], "has a digest", func(page *peerPage) error {
		if digest = page.Members[0].Digest; digest == "" {
			return fmt.Errorf("no digest")
		}
		return nil
	})
	changed := time.Now()
	tr.reconfigure(second, tr.Schedulers[:2]...)
	tr.reconfigure(first, tr.Schedulers[1])
	tr.awaitServed("north", tr.Schedulers[0])
	tr.awaitUnknownTenant("east", tr.Schedulers[0])
	tr.awaitPage(tr.Schedulers[2], "it is behind itself", func(page *peerPage) error {
		if late, err := page.isBehind(2); err != nil || !late {
			return fmt.Errorf("behind %v, error %w", late, err)
		}
		return nil
	})
	tr.reconfigure(first, tr.Schedulers[0])
	tr.awaitServed("east", tr.Schedulers...)
	tr.awaitUnknownTenant("north", tr.Schedulers...)
	tr.awaitRevision(1, tr.Schedulers...)
	for _, s := range tr.Schedulers {
		tr.awaitPage(s, "has the first digest", func(page *peerPage) error {
			for _, m := range page.Members {
				if m.Digest != digest {
					return fmt.Errorf("member %d has digest %s, want the first one, %s", m.Number, m.Digest, digest)
				}
			}
			return nil
		})
	}
	tr.finish()
	tr.checkStayingTenant("valley")
	if inFlight := tr.checkChangingTenant("east", changed); inFlight == 0 {
		t.Error("no job of east was in flight at the change")
	}
	tr.checkChangingTenant("north", changed)
}

// TestFrozenThroughAChange freezes a scheduler while tenants change. The others must report that it is behind, and after the thaw
// it must apply the newest configuration in time.
func TestFrozenThroughAChange(t *testing.T) {
	tr := startTrial(t, 3, Configuration{1, []Tenant{{"valley", 0.6, 0}, {"east", 0.4, 0}}})
	frozen, others := tr.Schedulers[2], tr.Schedulers[:2]
	tr.startClients("valley", 2, 20*time.Millisecond, tr.Schedulers...)
	tr.startClients("east", 2, 20*time.Millisecond, tr.Schedulers...)
	tr.awaitServed("east", tr.Schedulers...)
	tr.awaitRevision(1, tr.Schedulers...)
	span := 2 * time.Second
	if *long {
		span = 10 * time.Second
	}
	if err := frozen.Freeze(); err != nil {
		t.Fatal(err)
	}
	thaw := time.After(span)
	tr.reconfigure(Configuration{2, []Tenant{{"valley", 0.6, 0}, {"passing", 0.4, 0}}}, tr.Schedulers...)
	tr.awaitServed("passing", others...)
	tr.reconfigure(Configuration{3, []Tenant{{"north", 0.2, 0}, {"valley", 0.6, 10}}}, tr.Schedulers...)
	tr.awaitServed("north", others...)
	tr.awaitUnknownTenant("passing", others...)
	for _, s := range others {
		tr.awaitPage(s, "the frozen one is behind", func(page *peerPage) error {
			for i, want := range []bool{false, false, true} {
				if late, err := page.isBehind(i); err != nil || late != want {
					return fmt.Errorf("member %d behind: %v, error %w", i, late, err)
				}
			}
			return nil
		})
	}
	<-thaw
	if err := frozen.Thaw(); err != nil {
		t.Fatal(err)
	}
	tr.awaitServed("north", frozen)
	for _, tenant := range []string{"east", "passing"} {
		tr.awaitUnknownTenant(tenant, tr.Schedulers...)
	}
	tr.awaitRevision(3, tr.Schedulers...)
	if err := tr.awaitAllAlive(); err != nil {
		t.Error(err)
	}
	tr.finish()
	tr.checkStayingTenant("valley")
	tr.checkChangingTenant("east", time.Now())
}

// badFile is an invalid operator's file: either its tenants are invalid, or corrupt makes its text invalid.
type badFile struct {
	what    string
	tenants []Tenant
	corrupt func(text []byte) []byte
}

var goodTenants = []Tenant{{"north", 0.5, 10}, {"valley", 0.5, 0}}

var badFiles = []badFile{
	{"share 0", []Tenant{{"north", 0, 10}, {"valley", 0.5, 0}}, nil},
	{"share below 0", []Tenant{{"north", -1, 10}, {"valley", 0.5, 0}}, nil},
	{"quota below 0", []Tenant{{"north", 0.5, -10}, {"valley", 0.5, 0}}, nil},
	{"no name", []Tenant{{"", 0.5, 10}, {"valley", 0.5, 0}}, nil},
	{"duplicate name", []Tenant{{"north", 0.5, 10}, {"valley", 0.2, 0}, {"north", 0.3, 0}}, nil},
	{"truncated within a name", goodTenants, func(text []byte) []byte { return text[:bytes.Index(text, []byte("valley"))+3] }},
	{"empty", goodTenants, func([]byte) []byte { return nil }},
	{"unknown key", goodTenants, func(text []byte) []byte {
		return bytes.Replace(text, []byte("name = \"north\"\n"), []byte("name = \"north\"\nquota = 3\n"), 1)
	}},
	{"share NaN", goodTenants, func(text []byte) []byte {
		return bytes.Replace(text, []byte("share = 0.5"), []byte("share = nan"), 1)
	}},
	{"infinite share", goodTenants, func(text []byte) []byte {
		return bytes.Replace(text, []byte("share = 0.5"), []byte("share = inf"), 1)
	}},
}

// checkBadFile makes all schedulers reload an invalid file and checks that their logs report it and that the first configuration is
// still in force.
func (tr *trial) checkBadFile(good Configuration, bad badFile) {
	tr.t.Helper()
	for _, s := range tr.Schedulers {
		after, err := s.LogSize()
		if err != nil {
			tr.t.Fatal(err)
		}
		text := s.ConfigurationFile(Configuration{good.Revision, bad.tenants})
		if bad.corrupt != nil {
			text = bad.corrupt(text)
		}
		if err := errors.Join(s.ReplaceFile(text), s.Hangup()); err != nil {
			tr.t.Fatal(err)
		}
		line, err := s.AwaitLog(after, "configuration", maxApplyTime)
		if err != nil {
			tr.t.Fatalf("%s: %v", bad.what, err)
		}
		if !strings.Contains(line, "the new configuration is bad") {
			tr.t.Errorf("%s: %s", bad.what, line)
		}
	}
	var submitted sync.WaitGroup
	for tenant, want := range map[string]int{"valley": 200, "east": 200, "north": 400} {
		for _, s := range tr.Schedulers {
			submitted.Go(func() {
				if answer := tr.submit(s, tenant); answer.Status != want {
					tr.t.Errorf("%s: a job of %s was answered with %d, want %d", bad.what, tenant, answer.Status, want)
				}
			})
		}
	}
	submitted.Wait()
}

// TestBadTenantsChangeNothing guards against an invalid file that is partly applied: the log must report it, and tenants, revision
// and jobs must be unaffected.
func TestBadTenantsChangeNothing(t *testing.T) {
	tr := startTrial(t, 2, Configuration{1, []Tenant{{"valley", 0.6, 0}, {"east", 0.4, 0}}})
	tr.startClients("valley", 2, 20*time.Millisecond, tr.Schedulers...)
	tr.startClients("east", 2, 20*time.Millisecond, tr.Schedulers...)
	tr.awaitRevision(1, tr.Schedulers...)
	good := Configuration{2, goodTenants}
	for _, bad := range badFiles {
		tr.checkBadFile(good, bad)
	}
	tr.awaitRevision(1, tr.Schedulers...)
	tr.reconfigure(good, tr.Schedulers...)
	tr.awaitServed("north", tr.Schedulers...)
	tr.awaitUnknownTenant("east", tr.Schedulers...)
	tr.awaitRevision(2, tr.Schedulers...)
	tr.finish()
	tr.checkStayingTenant("valley")
}

// changingTenants are tenants that are added and removed.
var changingTenants = []string{"north", "south", "west", "delta", "ridge", "plain"}

// randomConfiguration returns a configuration with a random subset of the changing tenants, and that subset.
func randomConfiguration(r *rand.Rand, revision int) (c Configuration, present map[string]bool) {
	c.Revision, present = revision, map[string]bool{}
	c.Tenants = append(c.Tenants, Tenant{"valley", 0.05 + r.Float64(), float64(r.IntN(40))})
	for _, name := range changingTenants {
		if present[name] = r.IntN(2) == 0; present[name] {
			c.Tenants = append(c.Tenants, Tenant{name, 0.05 + r.Float64(), float64(r.IntN(20))})
		}
	}
	r.Shuffle(len(c.Tenants), func(i, j int) { c.Tenants[i], c.Tenants[j] = c.Tenants[j], c.Tenants[i] })
	return c, present
}

// awaitChangingTenants waits until at all schedulers each present tenant is served, or, if served is false, each absent tenant is
// unknown.
func (tr *trial) awaitChangingTenants(present map[string]bool, served bool) {
	tr.t.Helper()
	for _, name := range changingTenants {
		switch {
		case present[name] != served:
		case served:
			tr.awaitServed(name, tr.Schedulers...)
		default:
			tr.awaitUnknownTenant(name, tr.Schedulers...)
		}
	}
}

// awaitLastConfiguration waits until all schedulers have applied the last revision with its present tenants while datagrams are
// lost, and then heals the network.
func (tr *trial) awaitLastConfiguration(revision int, present map[string]bool) {
	tr.t.Helper()
	tr.awaitChangingTenants(present, true)
	tr.awaitRevision(revision, tr.Schedulers...) // while half of the datagrams are lost
	tr.awaitChangingTenants(present, false)
	tr.Network.Heal()
	if err := tr.awaitAllAlive(); err != nil {
		tr.t.Error(err)
	}
}

// TestRandomTenantChanges applies random changes, each to some of the schedulers, while datagrams are lost, one scheduler freezes and
// one is killed. No job of a tenant that stays may be rejected, no job may be lost, and finally all schedulers must have applied the
// last configuration.
func TestRandomTenantChanges(t *testing.T) {
	r := rand.New(rand.NewPCG(*seed, 0x7ea))
	first, _ := randomConfiguration(r, 1)
	tr := startTrial(t, 4, first)
	tr.startClients("valley", 2, 40*time.Millisecond, tr.Schedulers...)
	tr.awaitServed("valley", tr.Schedulers...)
	for _, name := range changingTenants {
		tr.startClients(name, 1, 40*time.Millisecond, tr.Schedulers...)
	}
	tr.loseDatagrams(0.5)
	began, revision, back := time.Now(), 1, make(chan error, 1)
	freeze, kill := tr.Schedulers[r.IntN(2)], tr.Schedulers[2+r.IntN(2)]
	for n := range *changes {
		revision++
		c, _ := randomConfiguration(r, revision)
		var some []*Scheduler
		for _, i := range r.Perm(len(tr.Schedulers))[:1+r.IntN(len(tr.Schedulers))] {
			some = append(some, tr.Schedulers[i])
		}
		tr.reconfigure(c, some...)
		var err error
		switch n {
		case *changes / 4:
			err = freeze.Freeze()
		case *changes / 3:
			kill.Kill()
		case *changes / 2:
			go func() { back <- tr.Start(kill) }()
		case *changes * 3 / 4:
			err = freeze.Thaw()
		}
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Duration(r.Int64N(int64(120 * time.Millisecond)))) // no check depends on it
	}
	if err := <-back; err != nil {
		t.Fatal(err)
	}
	last, present := randomConfiguration(r, revision+1)
	tr.reconfigure(last, tr.Schedulers...)
	tr.awaitLastConfiguration(last.Revision, present)
	tr.finish()
	tr.checkStayingTenant("valley")
	for _, name := range changingTenants {
		tr.checkChangingTenant(name, began)
	}
}
