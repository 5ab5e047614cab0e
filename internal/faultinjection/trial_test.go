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
	tr := &trial{Cluster: startClusterWith(t, o), t: t, changedAt: time.Now()}
	tr.ctx, tr.stop = context.WithCancel(t.Context())
	t.Cleanup(func() {
		for _, s := range tr.Schedulers {
			_ = s.Thaw() // a test that failed may have left it frozen, and clients wait for its answers
		}
		tr.stop()
		tr.clients.Wait()
	})
	if err := tr.awaitAllAlive(); err != nil {
		t.Fatal(err)
	}
	return tr
}

// startClients runs clients of one tenant at some schedulers until stop is called or the trial finishes.
func (tr *trial) startClients(tenant string, clients int, think time.Duration, at ...*Scheduler) (stop func()) {
	ctx, stop := context.WithCancel(tr.ctx)
	tr.clients.Go(func() {
		answers := tr.RunClients(ctx, ClientLoad{Schedulers: at, Tenants: []string{tenant}, IDSuffix: "-" + tenant, Clients: clients, ThinkTime: think, Timeout: timeout})
		tr.mu.Lock()
		defer tr.mu.Unlock()
		tr.responses = append(tr.responses, answers...)
	})
	return stop
}

// submit submits one job of a tenant and returns the response.
func (tr *trial) submit(s *Scheduler, tenant string) fake.Response {
	tr.mu.Lock()
	tr.probes++
	id := fmt.Sprintf("%s-%s-probe-%d", s.Name, tenant, tr.probes)
	tr.mu.Unlock()
	answer := s.Submit(tr.t.Context(), id, "usage-view", tenant, timeout)
	tr.mu.Lock()
	tr.responses = append(tr.responses, answer)
	tr.mu.Unlock()
	return answer
}

// awaitServed submits jobs of a tenant to some schedulers until each has served one.
func (tr *trial) awaitServed(tenant string, at ...*Scheduler) {
	tr.t.Helper()
	tr.awaitStatus(tenant, http.StatusOK, at)
}

// awaitUnknownTenant submits jobs of a tenant to some schedulers until each has rejected one because the tenant is unknown.
func (tr *trial) awaitUnknownTenant(tenant string, at ...*Scheduler) {
	tr.t.Helper()
	tr.awaitStatus(tenant, http.StatusBadRequest, at)
}

func (tr *trial) awaitStatus(tenant string, status int, at []*Scheduler) {
	tr.t.Helper()
	type answer struct {
		fake.Response
		after time.Duration
	}
	answers := make(chan answer, len(at))
	for _, s := range at {
		go func() {
			for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
				response := tr.submit(s, tenant)
				if response.Status == status || time.Since(began) > maxApplyTime {
					answers <- answer{response, response.ReceivedAt.Sub(tr.changedAt)}
					return
				}
			}
		}()
	}
	var slowest time.Duration
	for range at {
		a := <-answers
		if slowest = max(slowest, a.after); a.Status != status {
			tr.t.Errorf("%s: the job of %s got status %d %q after %v, want %d", a.Job, tenant, a.Status, a.Body, a.after, status)
		}
	}
	tr.t.Logf("jobs of %s got status %d at all %d schedulers within %v of the signal", tenant, status, len(at), slowest.Round(time.Millisecond))
}

// reconfigure gives some schedulers a new configuration.
func (tr *trial) reconfigure(c Configuration, at ...*Scheduler) {
	tr.t.Helper()
	tr.changedAt = time.Now()
	if err := tr.Reconfigure(c, at...); err != nil {
		tr.t.Fatal(err)
	}
}

// finish stops all clients and checks the responses that they received.
func (tr *trial) finish() {
	tr.t.Helper()
	tr.stop()
	tr.clients.Wait()
	tr.checkRules(tr.t, tr.responses)
}

// responsesOf returns the responses to a tenant's jobs.
func (tr *trial) responsesOf(tenant string) (out []fake.Response) {
	for _, t := range tr.responses {
		if strings.Contains(t.Job, "-"+tenant+"-") {
			out = append(out, t)
		}
	}
	return out
}

// checkStayingTenant checks the responses to a tenant that stayed: each job must be served unless its scheduler had an outage or the
// job ran out of time, as happens on a loaded machine. Few jobs may be rejected for that reason, and fewer may time out at a worker.
func (tr *trial) checkStayingTenant(tenant string) {
	tr.t.Helper()
	tr.checkResponses(tenant, func(t fake.Response) bool { return t.Status == http.StatusOK })
}

// checkChangingTenant does the same for a tenant that is added and removed, whose jobs may also be rejected because it is unknown. It
// returns how many of the tenant's served jobs were in flight at a given time.
func (tr *trial) checkChangingTenant(tenant string, at time.Time) (inFlight int) {
	tr.t.Helper()
	tr.checkResponses(tenant, func(t fake.Response) bool {
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
func (tr *trial) timedOutAtWorker(t fake.Response) bool {
	runs := tr.RunLog.Runs(t.Job)
	return len(runs) > 0 && !slices.ContainsFunc(runs, func(r fake.Run) bool {
		return !r.Finished.IsZero() && r.Finished.Before(t.ReceivedAt.Add(-responseTransitTime))
	})
}

func (tr *trial) checkResponses(tenant string, expected func(fake.Response) bool) {
	tr.t.Helper()
	observed := tr.Observations(nil, timeout)
	responses, rejected, late := tr.responsesOf(tenant), 0, 0
	for _, t := range responses {
		scheduler, _, _ := strings.Cut(t.Job, "-")
		switch {
		case expected(t):
		case t.Status == 0 && observed.hadOutage(scheduler, t.SentAt, t.ReceivedAt): // without an outage, checkRules reports it
		case t.Status == http.StatusServiceUnavailable && strings.HasPrefix(t.Body, "cannot be in time"):
			rejected++
		case t.Status == http.StatusInternalServerError && strings.HasPrefix(t.Body, "no answer in time") && (observed.hadOutage(scheduler, t.SentAt, t.ReceivedAt) || tr.timedOutAtWorker(t)):
			if !observed.hadOutage(scheduler, t.SentAt, t.ReceivedAt) { // in an outage, the time may run out while the scheduler cannot answer
				tr.t.Logf("late: %s, %s, sent %s, answered after %v; outages %v; its runs %+v", t.Job, t.Class, t.SentAt.Format("05.000"),
					t.ReceivedAt.Sub(t.SentAt), observed.Outages[scheduler], tr.RunLog.Runs(t.Job))
				late++
			}
		default:
			tr.t.Errorf("%s, %s, sent %s, answered with %d %q after %v; outages %v; its runs %+v", t.Job, t.Class, t.SentAt.Format("05.000"),
				t.Status, t.Body, t.ReceivedAt.Sub(t.SentAt), observed.Outages[scheduler], tr.RunLog.Runs(t.Job))
		}
	}
	tr.t.Logf("%s: %d jobs, %d rejected for lack of time, %d late", tenant, len(responses), rejected, late)
	if len(responses) == 0 || rejected > 5+len(responses)/10 || late > 1+len(responses)/100 {
		tr.t.Errorf("%s: of %d jobs %d were rejected and %d late", tenant, len(responses), rejected, late)
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
func (page *peerPage) isBehind(i int) (bool, error) {
	if i >= len(page.Members) || page.Members[i].BehindMS == nil {
		return false, fmt.Errorf("the page does not say whether member %d is behind", i)
	}
	return *page.Members[i].BehindMS >= 0, nil
}

// awaitPage polls a scheduler's /admin/peers page until check returns nil for it.
func (tr *trial) awaitPage(s *Scheduler, what string, check func(*peerPage) error) peerPage {
	tr.t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		var page peerPage
		err := s.GetJSON("/admin/peers", &page)
		if err == nil {
			if err = check(&page); err == nil {
				tr.t.Logf("%s: %s after %v", s.Name, what, time.Since(began).Round(time.Millisecond))
				return page
			}
		}
		if time.Since(began) > maxApplyTime {
			tr.t.Fatalf("%s: %s: does not hold after %v: %v", s.Name, what, time.Since(began), err)
		}
	}
}

// awaitRevision waits until each of the given schedulers reports that all members have a revision and none has a different digest.
func (tr *trial) awaitRevision(revision int, at ...*Scheduler) {
	tr.t.Helper()
	for _, s := range at {
		tr.awaitPage(s, fmt.Sprintf("all have revision %d", revision), func(page *peerPage) error {
			if page.Newest != revision {
				return fmt.Errorf("the newest revision is %d", page.Newest)
			}
			for i, m := range page.Members {
				if late, err := page.isBehind(i); err != nil || late || m.Differs || m.Revision != revision {
					return fmt.Errorf("%+v, behind %v: %w", m, late, err)
				}
			}
			return nil
		})
	}
}

// loseDatagrams makes the network lose each datagram between schedulers with a probability.
func (tr *trial) loseDatagrams(share float64) {
	(&FaultScript{Cluster: tr.Cluster}).setLinkFaults(func(int, int) (LinkFault, bool) { return LinkFault{Loss: share}, true })
}
