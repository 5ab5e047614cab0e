package faultinjection

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sedgevale/internal/fake"
)

// maxApplyTime is what a change may take until it is in force at a scheduler that has been told.
const maxApplyTime = 15 * time.Second

// trial is a cluster with clients of several tenants, and all answers to them.
type trial struct {
	*Cluster
	t       *testing.T
	ctx     context.Context
	stop    context.CancelFunc
	clients sync.WaitGroup

	mu      sync.Mutex
	answers []fake.Response
	probes  int
	since   time.Time // of the last change, or the beginning
}

// startTrial starts a cluster of sound workers that begins with a configuration.
func startTrial(t *testing.T, schedulers int, c Configuration) *trial {
	t.Helper()
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: schedulers, Initial: c}
	for i := range 8 {
		o.Workers = append(o.Workers, WorkerOptions{Cell: i / 4, Slots: 4, Work: 60 * time.Millisecond})
	}
	f := &trial{Cluster: run(t, o), t: t, since: time.Now()}
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(func() { f.stop(); f.clients.Wait() })
	if err := f.awaitAllAlive(); err != nil {
		t.Fatal(err)
	}
	return f
}

// startClients runs clients of one team at some schedulers until they are stopped, at the latest at the end.
func (f *trial) startClients(team string, clients int, think time.Duration, at ...*Scheduler) (stop func()) {
	ctx, stop := context.WithCancel(f.ctx)
	f.clients.Go(func() {
		told := f.RunClients(ctx, ClientLoad{Schedulers: at, Tenants: []string{team}, IDSuffix: "-" + team, Clients: clients, ThinkTime: think, Timeout: timeout})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.answers = append(f.answers, told...)
	})
	return stop
}

// submit hands one job of a team in and returns what was told of it.
func (f *trial) submit(s *Scheduler, team string) fake.Response {
	f.mu.Lock()
	f.probes++
	id := fmt.Sprintf("%s-%s-probe-%d", s.Name, team, f.probes)
	f.mu.Unlock()
	told := s.Submit(f.t.Context(), id, "usage-view", team, timeout)
	f.mu.Lock()
	f.answers = append(f.answers, told)
	f.mu.Unlock()
	return told
}

// awaitServed asks at some schedulers with jobs of a team until one is served at each; stranger until one is told that its team
// is not known.
func (f *trial) awaitServed(team string, at ...*Scheduler) {
	f.t.Helper()
	f.awaitStatus(team, http.StatusOK, at)
}
func (f *trial) awaitUnknownTenant(team string, at ...*Scheduler) {
	f.t.Helper()
	f.awaitStatus(team, http.StatusBadRequest, at)
}

func (f *trial) awaitStatus(team string, status int, at []*Scheduler) {
	f.t.Helper()
	type answer struct {
		fake.Response
		after time.Duration
	}
	answers := make(chan answer, len(at))
	for _, s := range at {
		go func() {
			for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
				told := f.submit(s, team)
				if told.Status == status || time.Since(began) > maxApplyTime {
					answers <- answer{told, told.ReceivedAt.Sub(f.since)}
					return
				}
			}
		}()
	}
	var slowest time.Duration
	for range at {
		a := <-answers
		if slowest = max(slowest, a.after); a.Status != status {
			f.t.Errorf("%s: a job of %s is answered with %d %q after %v, want %d", a.Job, team, a.Status, a.Body, a.after, status)
		}
	}
	f.t.Logf("jobs of %s are answered with %d at all of %d at the latest %v after the signal", team, status, len(at), slowest.Round(time.Millisecond))
}

// reconfigure gives some schedulers a new configuration.
func (f *trial) reconfigure(c Configuration, at ...*Scheduler) {
	f.t.Helper()
	f.since = time.Now()
	if err := f.Reconfigure(c, at...); err != nil {
		f.t.Fatal(err)
	}
}

// finish ends all clients and judges what they were told.
func (f *trial) finish() {
	f.t.Helper()
	f.stop()
	f.clients.Wait()
	f.checkRules(f.t, f.answers)
}

// answersOf returns the answers to a team's jobs.
func (f *trial) answersOf(team string) (out []fake.Response) {
	for _, t := range f.answers {
		if strings.Contains(t.Job, "-"+team+"-") {
			out = append(out, t)
		}
	}
	return out
}

// checkStayingTenant reports what was told of the jobs of a team that stayed: each has its result but where its scheduler was out, and but
// for want of time, which a loaded machine brings about: a change must not make refusals for that many, nor more than a few
// that were out when their time ended.
func (f *trial) checkStayingTenant(team string) {
	f.t.Helper()
	f.checkAnswers(team, func(t fake.Response) bool { return t.Status == http.StatusOK })
}

// checkChangingTenant does so for a team that comes and goes, whose jobs may also be told that it is not known, and returns how many
// of its jobs were under way when a moment came.
func (f *trial) checkChangingTenant(team string, at time.Time) (under int) {
	f.t.Helper()
	f.checkAnswers(team, func(t fake.Response) bool {
		if t.Status == http.StatusOK && t.SentAt.Before(at) && t.ReceivedAt.After(at) {
			under++
		}
		return t.Status == http.StatusOK || t.Status == http.StatusBadRequest
	})
	return under
}

// answerTransitTime is what an answer may need from a box to its client on a machine that does much else.
const answerTransitTime = 300 * time.Millisecond

// lateByRunLog reports whether the boxes' ledger bears out that a job was still at a box when its time ended: it came to one, and none
// had finished it in time for its answer. Else its scheduler has lost it, or kept it until it was too late.
func (f *trial) lateByRunLog(t fake.Response) bool {
	runs := f.RunLog.Runs(t.Job)
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(r fake.Run) bool {
		return !r.Finished.IsZero() && r.Finished.Before(t.ReceivedAt.Add(-answerTransitTime))
	})
}

func (f *trial) checkAnswers(team string, well func(fake.Response) bool) {
	f.t.Helper()
	e := f.Observations(nil, timeout)
	all, refused, late := f.answersOf(team), 0, 0
	for _, t := range all {
		scheduler, _, _ := strings.Cut(t.Job, "-")
		switch {
		case well(t):
		case t.Status == 0 && e.hadOutage(scheduler, t.SentAt, t.ReceivedAt): // else checkRules finds it
		case t.Status == http.StatusServiceUnavailable && strings.HasPrefix(t.Body, "cannot be in time"):
			refused++
		case t.Status == http.StatusInternalServerError && strings.HasPrefix(t.Body, "no answer in time") && (e.hadOutage(scheduler, t.SentAt, t.ReceivedAt) || f.lateByRunLog(t)):
			if !e.hadOutage(scheduler, t.SentAt, t.ReceivedAt) { // else its time ended while nobody could answer
				f.t.Logf("late: %s, %s, asked %s, told after %v; outages %v; its runs %+v", t.Job, t.Class, t.SentAt.Format("05.000"),
					t.ReceivedAt.Sub(t.SentAt), e.Outages[scheduler], f.RunLog.Runs(t.Job))
				late++
			}
		default:
			f.t.Errorf("%s, %s, asked %s, was told %d %q after %v; outages %v; its runs %+v", t.Job, t.Class, t.SentAt.Format("05.000"),
				t.Status, t.Body, t.ReceivedAt.Sub(t.SentAt), e.Outages[scheduler], f.RunLog.Runs(t.Job))
		}
	}
	f.t.Logf("%s: %d jobs, %d refused for want of time, %d late", team, len(all), refused, late)
	if len(all) == 0 || refused > 5+len(all)/10 || late > 1+len(all)/100 {
		f.t.Errorf("%s: of %d jobs %d were refused and %d late", team, len(all), refused, late)
	}
}

// peerPage is what a scheduler's page says of the configurations in force.
type peerPage struct {
	Self    int `json:"self"`
	Newest  int `json:"newest"`
	Members []struct {
		Number   int    `json:"number"`
		State    string `json:"state"`
		Revision int    `json:"revision"`
		Digest   string `json:"digest"`
		BehindMS *int64 `json:"behind_ms"`
		Differs  bool   `json:"differs"`
	} `json:"members"`
	Boxes []struct {
		Tellers int `json:"tellers"`
	} `json:"boxes"`
	Counts struct {
		Received uint64 `json:"received"`
		Refused  uint64 `json:"refused"`
	} `json:"counts"`
}

// behind returns whether a member is told to be behind; it fails where nothing is told.
func (a *peerPage) behind(i int) (bool, error) {
	if i >= len(a.Members) || a.Members[i].BehindMS == nil {
		return false, fmt.Errorf("nothing is told of whether %d is behind", i)
	}
	return *a.Members[i].BehindMS >= 0, nil
}

// awaitPage asks for a scheduler's page until nothing is wrong with it.
func (f *trial) awaitPage(s *Scheduler, what string, wrong func(*peerPage) error) peerPage {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		var a peerPage
		err := s.GetJSON("/admin/peers", &a)
		if err == nil {
			if err = wrong(&a); err == nil {
				f.t.Logf("%s: %s after %v", s.Name, what, time.Since(began).Round(time.Millisecond))
				return a
			}
		}
		if time.Since(began) > maxApplyTime {
			f.t.Fatalf("%s: %s: not after %v: %v", s.Name, what, time.Since(began), err)
		}
	}
}

// awaitRevision awaits that each of some schedulers has all for level at a revision, by the same digest.
func (f *trial) awaitRevision(revision int, at ...*Scheduler) {
	f.t.Helper()
	for _, s := range at {
		f.awaitPage(s, fmt.Sprintf("all are level at %d", revision), func(a *peerPage) error {
			if a.Newest != revision {
				return fmt.Errorf("the newest is %d", a.Newest)
			}
			for i, m := range a.Members {
				if late, err := a.behind(i); err != nil || late || m.Differs || m.Revision != revision {
					return fmt.Errorf("%+v, behind %v: %w", m, late, err)
				}
			}
			return nil
		})
	}
}

// loseDatagrams has every datagram between schedulers lost by a chance.
func (f *trial) loseDatagrams(share float64) {
	(&FaultScript{Cluster: f.Cluster}).setLinkFaults(func(int, int) (LinkFault, bool) { return LinkFault{Loss: share}, true })
}
