package scheduler

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"path/filepath"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/ops"
)

var errNotServing = errors.New("not serving")

// Healthy returns nil if this process can serve: it accepts requests, is not draining, and
// each planner and event loop runs a callback before the context ends.
func (s *Scheduler) Healthy(ctx context.Context) error {
	if !s.ready.Load() {
		return errNotServing
	}
	if err := s.planners.Ping(ctx); err != nil {
		return fmt.Errorf("the planners have no turn: %w", err)
	}
	if s.reverseProxy != nil {
		if err := s.reverseProxy.Ping(ctx); err != nil {
			return fmt.Errorf("the reverse proxy's planner has no turn: %w", err)
		}
	}
	responses := make(chan struct{}, 1+len(s.servers))
	s.workerLoop.Do(func() { responses <- struct{}{} })
	for _, server := range s.servers {
		server.Ping(func() { responses <- struct{}{} })
	}
	for range cap(responses) {
		select {
		case <-responses:
		case <-ctx.Done():
			return fmt.Errorf("an event loop has no turn: %w", ctx.Err())
		}
	}
	return nil
}

// Cordon cordons a worker, or uncordons it if cordon is false. It returns once the change is
// in force and saved, in this process and in the sibling processes of an upgrade. The error
// is ops.ErrUnknownWorker for a worker that was in no list.
func (s *Scheduler) Cordon(ctx context.Context, host string, cordon bool) error {
	if err := s.applyCordon(ctx, host, cordon); err != nil {
		return err
	}
	if err := s.forwardCordonToSiblings(ctx, host, cordon, nil); err != nil {
		return err
	}
	s.options.Log.Info("applied a cordon or uncordon request", "worker", host, "out", cordon)
	return nil
}

// applyCordon cordons or uncordons a worker in this process. Concurrent calls run one at a
// time.
func (s *Scheduler) applyCordon(ctx context.Context, host string, cordon bool) error {
	select {
	case s.cordonSemaphore <- struct{}{}:
		defer func() { <-s.cordonSemaphore }()
	case <-ctx.Done():
		return ctx.Err()
	}
	if !cordon { // before the planners, since the pool rejects attempts at a worker that is cordoned there
		if err := s.cordonConnections(ctx, host, false); err != nil {
			return err
		}
	}
	known, err := s.planners.Cordon(ctx, host, cordon)
	if err != nil {
		return fmt.Errorf("the planners: %w", err)
	}
	if s.reverseProxy != nil && s.reverseProxy.Cordon(host, cordon) {
		known = true
	}
	if !known && !s.cordons.Has(host) {
		return ops.ErrUnknownWorker
	}
	if cordon {
		if err := s.cordonConnections(ctx, host, true); err != nil {
			return err
		}
	}
	return s.cordons.Set(host, cordon)
}

// restoreCordon cordons a worker before Run.
func (s *Scheduler) restoreCordon(host string) {
	s.pool.Cordon(host, true, func() {})
	s.planners.RestoreCordon(host)
	if s.reverseProxy != nil {
		s.reverseProxy.Cordon(host, true)
	}
}

// cordonConnections cordons or uncordons a worker in the connection pool.
func (s *Scheduler) cordonConnections(ctx context.Context, host string, cordon bool) error {
	done := make(chan struct{})
	s.pool.Cordon(host, cordon, func() { close(done) })
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("the workers' event loop: %w", ctx.Err())
	}
}

// journalReader returns the journal for queries by operators, or nil without a journal.
func (s *Scheduler) journalReader() ops.Journal {
	if s.journal == nil { // a nil *recorder.Recorder would become a non-nil interface
		return nil
	}
	return s.journal
}

// opsPages returns the status pages for operators by path.
func (s *Scheduler) opsPages() map[string]ops.Page {
	pages := map[string]ops.Page{"/admin/quota": {Type: "application/json", Read: func() []byte {
		b, _ := json.Marshal(s.quota.Memory.Usage()) // cannot fail for this type
		return append(b, '\n')
	}}}
	if s.reverseProxy != nil {
		pages["/admin/servers"] = ops.Page{Type: "application/x-ndjson", Read: func() []byte {
			var b bytes.Buffer
			encoder := json.NewEncoder(&b)
			for _, server := range s.reverseProxy.Status() {
				_ = encoder.Encode(server) // cannot fail for this type
			}
			return b.Bytes()
		}}
	}
	if s.peerLink != nil {
		pages["/admin/peers"] = ops.Page{Type: "application/json", Read: func() []byte {
			b, _ := json.Marshal(s.peerLink.Status()) // cannot fail for this type
			return append(b, '\n')
		}}
	}
	return pages
}

// runtimeFile returns the path of a file that all processes of this scheduler share.
func runtimeFile(c *dispatchconfig.Config, extension string) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(c.Name + "\x00" + c.Listen))
	return filepath.Join(os.TempDir(), fmt.Sprintf("sedgevale-%016x.%s", h.Sum64(), extension))
}
