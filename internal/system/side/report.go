package side

import (
	"context"
	"time"

	"sedgevale/internal/system/api"
)

const (
	reportInterval = 400 * time.Millisecond
	reportTimeout  = 700 * time.Millisecond
	reportBackoff  = 50 * time.Millisecond // before the retry of a failed report
)

// reportLoop reports an incarnation to the owner of its shard on every change, and every reportInterval otherwise, until
// another incarnation replaces it or ctx is cancelled.
func (s *Scheduler) reportLoop(ctx context.Context, w *worker) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.reportDue:
		case <-time.After(reportInterval):
		}
		if !s.isCurrent(w) {
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
		signal(w.reportDue) // retries, with the new owner if it has changed
	}
}

// isCurrent reports whether the incarnation is known and has not been replaced.
func (s *Scheduler) isCurrent(w *worker) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[w.agent.Instance] == w && !w.replaced
}

// report sends one report and applies the owner's response, which renews the lease. It returns false if the owner is
// unknown or the call failed.
func (s *Scheduler) report(ctx context.Context, w *worker) bool {
	owner, sentAt, request := s.nextReport(w)
	if owner == "" || request.Shard == "" {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	response := &api.ReportResponse{}
	if err := s.client.Call(ctx, owner, api.MethodReport, request, response); err != nil {
		s.logger.V(1).Info("failed to report worker to shard owner; retrying", "owner", owner, "error", err.Error())
		return false
	}
	s.applyReportResponse(w, owner, sentAt, response)
	return true
}

// nextReport returns the owner's address (empty if the owner is unknown), the time of the report since the start of the
// process, and the report. A change of owner starts a new session.
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

// applyReportResponse applies the owner's response to a report that was sent at sentAt.
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
	if err := w.agent.HandleLease(sentAt, response.Token, response.Acknowledged); err != nil {
		s.logger.V(1).Info("ignored lease with outdated fencing token", "owner", owner, "error", err.Error())
		return
	}
	if w.agent.HasOrders(s.now()) {
		signal(w.ordersReady)
	}
}
