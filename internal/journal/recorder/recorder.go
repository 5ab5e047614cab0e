// Package recorder writes the journal of one-shot jobs for the planners: it decides which jobs are recorded, and makes records
// of the planners' events.
package recorder

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"sync/atomic"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Recorder is a dispatch.Journal. Its methods are safe for concurrent use.
type Recorder struct {
	store       *store.Store
	options     store.Options
	classes     map[string]bool // that are recorded
	serveOnFull bool            // while the journal is full, jobs are served without a record
	unrecorded  atomic.Uint64
	reading     chan struct{} // a semaphore: one call of Ask at a time reads the files
}

// Open opens the journal of a configuration, and creates its directory and key where they are missing. The caller has to call
// Close.
func Open(c *dispatchconfig.Config, log *slog.Logger) (*Recorder, error) {
	j := c.Journal
	fsys := store.OS{}
	if err := fsys.MkdirAll(j.Dir); err != nil {
		return nil, fmt.Errorf("journal %s: %w", j.Dir, err)
	}
	secret, err := store.MakeKey(store.KeyPath(j.Dir, j.KeyFile), store.HasRecords(fsys, j.Dir))
	if err != nil {
		return nil, err
	}
	r := &Recorder{classes: map[string]bool{}, serveOnFull: j.OnFull == dispatchconfig.ServeOnFull, reading: make(chan struct{}, 1)}
	for _, name := range c.JournalClasses() {
		r.classes[name] = true
	}
	r.options = store.Options{FS: fsys, Dir: j.Dir, Secret: secret, Log: log, Sync: j.Sync != dispatchconfig.SyncNone,
		Owner: store.Owner{PID: os.Getpid(), Name: c.Name, Ops: c.Ops}, Retention: dispatchconfig.Seconds(j.Retention),
		MaxBytes: int64(j.MaxMB) << 20, ReservedBytes: int64(j.ReserveMB) << 20}
	if r.store, err = store.Open(r.options); err != nil {
		return nil, err
	}
	return r, nil
}

// Close writes what is queued and ends the journal. It waits for the disk.
func (r *Recorder) Close() { r.store.Close() }

func now() int64 { return time.Now().UnixMicro() }

// Register implements dispatch.Journal: it records the acceptance of a job of a class that is recorded. The number is 0 for a job
// without a record; ok is false where the job must be rejected, since the journal is full.
func (r *Recorder) Register(j *dispatch.Job) (uint64, bool) {
	if !r.classes[j.Class.Name] {
		return 0, true
	}
	if r.store.Full() {
		if r.serveOnFull {
			r.unrecorded.Add(1)
		}
		return 0, r.serveOnFull
	}
	sum := sha256.Sum256(j.Body)
	number := r.store.Serial()
	rec := journal.Record{Kind: journal.Accepted, Serial: number, At: now(), JobID: j.ID, Class: j.Class.Name, Target: j.Target,
		Size: len(j.Body), Digest: sum[:16], Tenant: j.TenantName}
	r.store.Put(rec, nil)
	return number, true
}

// RecordIntent implements dispatch.Journal: it records that an attempt is about to be sent, and calls done once that is durable, or
// cannot be.
func (r *Recorder) RecordIntent(number uint64, attempt int, id, worker string, done func(ok bool)) {
	r.store.Put(journal.Record{Kind: journal.Intent, Serial: number, At: now(), JobID: id, Attempt: attempt, Worker: worker},
		func(err error) { done(err == nil) })
}

// AttemptSent implements dispatch.Journal: it records that an attempt was sent.
func (r *Recorder) AttemptSent(number uint64, attempt int) {
	r.store.Put(journal.Record{Kind: journal.Sent, Serial: number, At: now(), Attempt: attempt}, nil)
}

// AttemptStarted implements dispatch.Journal: it records that a worker has begun an attempt.
func (r *Recorder) AttemptStarted(number uint64, attempt int) {
	r.store.Put(journal.Record{Kind: journal.Started, Serial: number, At: now(), Attempt: attempt}, nil)
}

// AttemptEnded implements dispatch.Journal: it records how an attempt ended, and whether it certainly never ran.
func (r *Recorder) AttemptEnded(number uint64, attempt int, o dispatcher.Outcome, neverRan bool) {
	r.store.Put(journal.Record{Kind: journal.Ended, Serial: number, At: now(), Attempt: attempt,
		Code: uint8(journal.OutcomeOf(o)), NeverRan: neverRan}, nil)
}

var kinds = map[dispatch.AnswerKind]journal.AnswerKind{
	dispatch.Served: journal.Served, dispatch.Rejected: journal.Rejected, dispatch.Failed: journal.Failed,
}

// Answered implements dispatch.Journal: it records the final answer to the client.
func (r *Recorder) Answered(number uint64, a dispatch.Answer) {
	r.store.Put(journal.Record{Kind: journal.Answered, Serial: number, At: now(), Code: uint8(kinds[a.Kind]), Text: a.Reason}, nil)
}

// ClientDisconnected implements dispatch.Journal: it records that the client left before its answer.
func (r *Recorder) ClientDisconnected(number uint64) {
	r.store.Put(journal.Record{Kind: journal.ClientGone, Serial: number, At: now()}, nil)
}

// ErrBusy is returned while another call of Ask reads the files.
var ErrBusy = errors.New("another question is being answered, ask again")

// JobReports returns the reports of the jobs of an id, a line of JSON each, by the time of their acceptance. It reads the files and waits
// for the disk until the context ends. The error is ErrBusy while another call reads, and store.ErrNotFound for an unknown id.
func (r *Recorder) JobReports(ctx context.Context, id string) ([]byte, error) {
	select {
	case r.reading <- struct{}{}:
	default:
		return nil, ErrBusy
	}
	type result struct {
		view *store.View
		err  error
	}
	results := make(chan result, 1)
	go func() {
		defer func() { <-r.reading }()
		view, err := store.Read(r.options.FS, r.options.Dir, r.options.Secret, id)
		results <- result{view, err}
	}()
	select {
	case out := <-results:
		if out.err != nil {
			return nil, out.err
		}
		return Lines(out.view.Jobs, id)
	case <-ctx.Done():
		return nil, fmt.Errorf("reading the journal takes longer than a call may; `sedgevale journal ask` has the time: %w", ctx.Err())
	}
}

// Lines returns the reports of the jobs of an id as lines of JSON. The error is store.ErrNotFound where there are none.
func Lines(jobs []store.Found, id string) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	for _, j := range jobs {
		if j.ID == id {
			if err := e.Encode(j.Report()); err != nil {
				return nil, err
			}
		}
	}
	if b.Len() == 0 {
		return nil, fmt.Errorf("%w: %q", store.ErrNotFound, id)
	}
	return b.Bytes(), nil
}

// Decide records an operator's verdict on the unresolved jobs of an id and returns their number; see store.Store.Decide.
func (r *Recorder) Decide(_ context.Context, id, verdict, by, why string) (int, error) {
	v, err := journal.ParseVerdict(verdict)
	if err != nil {
		return 0, err
	}
	return r.store.Decide(id, v, by, why)
}

// Stats returns the journal's counts as a line of JSON.
func (r *Recorder) Stats() []byte {
	s := r.store.Stats()
	b, _ := json.Marshal(struct { // has no value that cannot be written
		Full       bool   `json:"full"`
		Records    uint64 `json:"records"`
		Syncs      uint64 `json:"syncs"`
		Failures   uint64 `json:"failures"`
		Bytes      int64  `json:"bytes"`
		Jobs       int    `json:"open_or_to_settle"`
		Held       int    `json:"records_held"`
		Unrecorded uint64 `json:"jobs_unrecorded"`
	}{r.store.Full(), s.Records, s.Syncs, s.Failures, s.Bytes, s.Unresolved, s.Buffered, r.unrecorded.Load()})
	return append(b, '\n')
}
