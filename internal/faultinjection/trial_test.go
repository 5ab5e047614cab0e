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

// maxApplyTime is the longest time that a signalled scheduler may take to apply a change.
const maxApplyTime = 15 * time.Second

// trial is a cluster with clients of several tenants and all responses that they received.
type trial struct {
	*Cluster
	t       *testing.T
	ctx     context.Context
	stop    context.CancelFunc
	clients sync.WaitGroup

	mu        sync.Mutex
	responses []fake.Response
	probes    int
	changedAt time.Time // time of the last change, or of the start
}

// startTrial starts a cluster with an initial configuration and workers without faults.
func startTrial(t *testing.T, schedulers int, c Configuration) *trial {
	t.Helper()
	o := Options{Dir: t.TempDir(), Seed: *seed, Schedulers: schedulers, Initial: c}
	for i := range 8 {
		o.Workers = append(o.Workers, WorkerOptions{Cell: i / 4, Slots: 4, Work: 60 * time.Millisecond})
	}
	f := &trial{Cluster: startClusterWith(t, o), t: t, changedAt: time.Now()}
	f.ctx, f.stop = context.WithCancel(t.Context())
	t.Cleanup(func() { f.stop(); f.clients.Wait() })
	if err := f.awaitAllAlive(); err != nil {
		t.Fatal(err)
	}
	return f
}

// startClients runs clients of one tenant at some schedulers until stop is called or the trial finishes.
func (f *trial) startClients(tenant string, clients int, think time.Duration, at ...*Scheduler) (stop func()) {
	ctx, stop := context.WithCancel(f.ctx)
	f.clients.Go(func() {
		answers := f.RunClients(ctx, ClientLoad{Schedulers: at, Tenants: []string{tenant}, IDSuffix: "-" + tenant, Clients: clients, ThinkTime: think, Timeout: timeout})
		f.mu.Lock()
		defer f.mu.Unlock()
		f.responses = append(f.responses, answers...)
	})
	return stop
}

// submit submits one job of a tenant and returns the response.
func (f *trial) submit(s *Scheduler, tenant string) fake.Response {
	f.mu.Lock()
	f.probes++
	id := fmt.Sprintf("%s-%s-probe-%d", s.Name, tenant, f.probes)
	f.mu.Unlock()
	answer := s.Submit(f.t.Context(), id, "usage-view", tenant, timeout)
	f.mu.Lock()
	f.responses = append(f.responses, answer)
	f.mu.Unlock()
	return answer
}

// awaitServed submits jobs of a tenant to some schedulers until each has served one.
func (f *trial) awaitServed(tenant string, at ...*Scheduler) {
	f.t.Helper()
	f.awaitStatus(tenant, http.StatusOK, at)
}

// awaitUnknownTenant submits jobs of a tenant to some schedulers until each has rejected one because the tenant is unknown.
func (f *trial) awaitUnknownTenant(tenant string, at ...*Scheduler) {
	f.t.Helper()
	f.awaitStatus(tenant, http.StatusBadRequest, at)
}

func (f *trial) awaitStatus(tenant string, status int, at []*Scheduler) {
	f.t.Helper()
	type answer struct {
		fake.Response
		after time.Duration
	}
	answers := make(chan answer, len(at))
	for _, s := range at {
		go func() {
			for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
				response := f.submit(s, tenant)
				if response.Status == status || time.Since(began) > maxApplyTime {
					answers <- answer{response, response.ReceivedAt.Sub(f.changedAt)}
					return
				}
			}
		}()
	}
	var slowest time.Duration
	for range at {
		a := <-answers
		if slowest = max(slowest, a.after); a.Status != status {
			f.t.Errorf("%s: the job of %s got status %d %q after %v, want %d", a.Job, tenant, a.Status, a.Body, a.after, status)
		}
	}
	f.t.Logf("jobs of %s got status %d at all %d schedulers within %v of the signal", tenant, status, len(at), slowest.Round(time.Millisecond))
}

// reconfigure gives some schedulers a new configuration.
func (f *trial) reconfigure(c Configuration, at ...*Scheduler) {
	f.t.Helper()
	f.changedAt = time.Now()
	if err := f.Reconfigure(c, at...); err != nil {
		f.t.Fatal(err)
	}
}

// finish stops all clients and checks the responses that they received.
func (f *trial) finish() {
	f.t.Helper()
	f.stop()
	f.clients.Wait()
	f.checkRules(f.t, f.responses)
}

// responsesOf returns the responses to a tenant's jobs.
func (f *trial) responsesOf(tenant string) (out []fake.Response) {
	for _, t := range f.responses {
		if strings.Contains(t.Job, "-"+tenant+"-") {
			out = append(out, t)
		}
	}
	return out
}

// checkStayingTenant checks the responses to a tenant that stayed: each job must be served unless its scheduler had an outage or the
// job ran out of time, as happens on a loaded machine. Few jobs may be rejected for that reason, and fewer may time out at a worker.
func (f *trial) checkStayingTenant(tenant string) {
	f.t.Helper()
	f.checkResponses(tenant, func(t fake.Response) bool { return t.Status == http.StatusOK })
}

// checkChangingTenant does the same for a tenant that is added and removed, whose jobs may also be rejected because it is unknown. It
// returns how many of the tenant's served jobs were in flight at a given time.
func (f *trial) checkChangingTenant(tenant string, at time.Time) (inFlight int) {
	f.t.Helper()
	f.checkResponses(tenant, func(t fake.Response) bool {
		if t.Status == http.StatusOK && t.SentAt.Before(at) && t.ReceivedAt.After(at) {
			inFlight++
		}
		return t.Status == http.StatusOK || t.Status == http.StatusBadRequest
	})
	return inFlight
}

// responseTransitTime is the longest time that a response takes from a worker to its client on a loaded machine.
const responseTransitTime = 300 * time.Millisecond

// timedOutAtWorker reports whether, according to the run log, a job was still at a worker when its time ran out: a worker had begun
// it, and none had finished it in time for the response. Otherwise the scheduler lost the job or queued it for too long.
func (f *trial) timedOutAtWorker(t fake.Response) bool {
	runs := f.RunLog.Runs(t.Job)
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(r fake.Run) bool {
		return !r.Finished.IsZero() && r.Finished.Before(t.ReceivedAt.Add(-responseTransitTime))
	})
}

func (f *trial) checkResponses(tenant string, expected func(fake.Response) bool) {
	f.t.Helper()
	observed := f.Observations(nil, timeout)
	responses, rejected, late := f.responsesOf(tenant), 0, 0
	for _, t := range responses {
		scheduler, _, _ := strings.Cut(t.Job, "-")
		switch {
		case expected(t):
		case t.Status == 0 && observed.hadOutage(scheduler, t.SentAt, t.ReceivedAt): // without an outage, checkRules reports it
		case t.Status == http.StatusServiceUnavailable && strings.HasPrefix(t.Body, "cannot be in time"):
			rejected++
		case t.Status == http.StatusInternalServerError && strings.HasPrefix(t.Body, "no answer in time") && (observed.hadOutage(scheduler, t.SentAt, t.ReceivedAt) || f.timedOutAtWorker(t)):
			if !observed.hadOutage(scheduler, t.SentAt, t.ReceivedAt) { // in an outage, the time may run out while the scheduler cannot answer
				f.t.Logf("late: %s, %s, sent %s, answered after %v; outages %v; its runs %+v", t.Job, t.Class, t.SentAt.Format("05.000"),
					t.ReceivedAt.Sub(t.SentAt), observed.Outages[scheduler], f.RunLog.Runs(t.Job))
				late++
			}
		default:
			f.t.Errorf("%s, %s, sent %s, answered with %d %q after %v; outages %v; its runs %+v", t.Job, t.Class, t.SentAt.Format("05.000"),
				t.Status, t.Body, t.ReceivedAt.Sub(t.SentAt), observed.Outages[scheduler], f.RunLog.Runs(t.Job))
		}
	}
	f.t.Logf("%s: %d jobs, %d rejected for lack of time, %d late", tenant, len(responses), rejected, late)
	if len(responses) == 0 || rejected > 5+len(responses)/10 || late > 1+len(responses)/100 {
		f.t.Errorf("%s: of %d jobs %d were rejected and %d late", tenant, len(responses), rejected, late)
	}
}

// peerPage is the part of /admin/peers about the configurations in force.
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

// isBehind reports whether the page lists a member as behind. It returns an error if the page does not say.
func (a *peerPage) isBehind(i int) (bool, error) {
	if i >= len(a.Members) || a.Members[i].BehindMS == nil {
		return false, fmt.Errorf("the page does not say whether member %d is behind", i)
	}
	return *a.Members[i].BehindMS >= 0, nil
}

// awaitPage polls a scheduler's /admin/peers page until check returns nil for it.
func (f *trial) awaitPage(s *Scheduler, what string, check func(*peerPage) error) peerPage {
	f.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		var a peerPage
		err := s.GetJSON("/admin/peers", &a)
		if err == nil {
			if err = check(&a); err == nil {
				f.t.Logf("%s: %s after %v", s.Name, what, time.Since(began).Round(time.Millisecond))
				return a
			}
		}
		if time.Since(began) > maxApplyTime {
			f.t.Fatalf("%s: %s: does not hold after %v: %v", s.Name, what, time.Since(began), err)
		}
	}
}

// awaitRevision waits until each of the given schedulers reports that all members have a revision and none has a different digest.
func (f *trial) awaitRevision(revision int, at ...*Scheduler) {
	f.t.Helper()
	for _, s := range at {
		f.awaitPage(s, fmt.Sprintf("all have revision %d", revision), func(a *peerPage) error {
			if a.Newest != revision {
				return fmt.Errorf("the newest revision is %d", a.Newest)
			}
			for i, m := range a.Members {
				if late, err := a.isBehind(i); err != nil || late || m.Differs || m.Revision != revision {
					return fmt.Errorf("%+v, behind %v: %w", m, late, err)
				}
			}
			return nil
		})
	}
}

// loseDatagrams makes the network lose each datagram between schedulers with a probability.
func (f *trial) loseDatagrams(share float64) {
	(&FaultScript{Cluster: f.Cluster}).setLinkFaults(func(int, int) (LinkFault, bool) { return LinkFault{Loss: share}, true })
}
