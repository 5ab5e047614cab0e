package side

import (
	"context"
	"time"

	"sedgevale/internal/system/api"
)

const (
	reportInterval = 400 * time.Millisecond
	reportTimeout  = 700 * time.Millisecond
	reportBackoff  = 50 * time.Millisecond // after a report that reached no owner
)

// reportLoop reports an incarnation to the owner of its shard at each change, and at an interval without one, until
// another incarnation replaces it or the context ends.
func (s *Scheduler) reportLoop(ctx context.Context, w *worker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reportDue:
		case <-time.After(reportInterval):
		}
		if !s.isPresent(w) {
			return
		}
		if s.report(ctx, w) {
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(reportBackoff):
		}
		signal(w.reportDue) // to this owner again, or to the next
	}
}

func (s *Scheduler) isPresent(w *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[w.agent.Instance] == w && !w.replaced
}

// report sends one report and applies the owner's answer, which renews the lease. It returns false if no answer came.
func (s *Scheduler) report(ctx context.Context, w *worker) bool {
	owner, sentAt, request := s.nextReport(w)
	if owner == "" || request.Shard == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response := &api.ReportResponse{}
	if err := s.client.Call(ctx, owner, api.MethodReport, request, response); err != nil {
		s.logger.V(1).Info("worker report failed", "owner", owner, "error", err.Error())
		return false
	}
	s.applyReportResponse(w, owner, sentAt, response)
	return true
}

// nextReport returns the owner's address, which is empty if it is not known, the time of the report since the start of
// the process, and the report. Another owner than the last one begins another session.
func (s *Scheduler) nextReport(w *worker) (owner string, at time.Duration, request *api.ReportRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	report := w.agent.Report(now)
	report.AgentAddress = s.settings.InternalAddress()
	owner, _ = s.directory.Owner(w.service)
	if owner != s.owner {
		s.owner, s.session = owner, ""
	}
	s.reportSequence++
	return owner, now, &api.ReportRequest{
		Shard: w.service, Session: s.session, Sequence: s.reportSequence, Report: *report,
	}
}

// applyReportResponse applies an owner's answer to a report that was sent at the given time.
func (s *Scheduler) applyReportResponse(w *worker, owner string, sentAt time.Duration, response *api.ReportResponse) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if owner == s.owner {
		s.session = response.Session
	}
	if !response.Accepted {
		signal(w.reportDue)
		return
	}
	if err := w.agent.OnLease(sentAt, response.Token, response.Acknowledged); err != nil {
		s.logger.V(1).Info("owner has an outdated fencing token", "owner", owner, "error", err.Error())
		return
	}
	if w.agent.HasOrders(s.now()) {
		signal(w.ordersReady)
	}
}
