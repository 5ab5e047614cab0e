// Package recorder converts the planners' events into records of the journal of one-shot jobs, for the job classes that the
// configuration selects.
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
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Recorder implements dispatchdriver.Journal. Its methods are safe for concurrent use.
type Recorder struct {
	store           *store.Store
	options         store.Options
	recordedClasses map[string]bool // names of the classes whose jobs are recorded
	serveOnFull     bool            // serve jobs without a record while the journal is full, instead of rejecting them
	unrecordedJobs  atomic.Uint64
	readSlot        chan struct{} // semaphore that limits JobReports to one concurrent read of the files
}

// Open opens the journal of a configuration, and creates its directory and key if they do not exist. The caller must call
// Close.
func Open(c *dispatchconfig.Config, log *slog.Logger) (*Recorder, error) {
	j := c.Journal
	fsys := store.OS{}
	if err := fsys.MkdirAll(j.Dir); err != nil {
		return nil, fmt.Errorf("journal %s: %w", j.Dir, err)
	}
	secret, err := store.LoadOrCreateKey(store.KeyPath(j.Dir, j.KeyFile), store.HasRecords(fsys, j.Dir))
	if err != nil {
		return nil, err
	}
	r := &Recorder{recordedClasses: map[string]bool{}, serveOnFull: j.OnFull == dispatchconfig.ServeOnFull, readSlot: make(chan struct{}, 1)}
	for _, name := range c.JournalClasses() {
		r.recordedClasses[name] = true
	}
	r.options = store.Options{FS: fsys, Dir: j.Dir, Secret: secret, Log: log, Sync: j.Sync != dispatchconfig.SyncNone,
		Owner: store.Owner{PID: os.Getpid(), Name: c.Name, Ops: c.Ops}, Retention: dispatchconfig.Seconds(j.Retention),
		MaxBytes: int64(j.MaxMB) << 20, ReservedBytes: int64(j.ReserveMB) << 20}
	if r.store, err = store.Open(r.options); err != nil {
		return nil, err
	}
	return r, nil
}

// Close writes the queued records and closes the journal. It blocks on disk I/O.
func (r *Recorder) Close() { r.store.Close() }

func nowMicros() int64 { return time.Now().UnixMicro() }

// Register implements dispatchdriver.Journal. It records the acceptance of a job if its class is recorded, and returns the job's
// serial, or 0 if the job has no record. ok is false if the job must be rejected because the journal is full.
func (r *Recorder) Register(j *dispatchdriver.Job) (uint64, bool) {
	if !r.recordedClasses[j.Class.Name] {
		return 0, true
	}
	if r.store.Full() {
		if r.serveOnFull {
			r.unrecordedJobs.Add(1)
		}
		return 0, r.serveOnFull
	}
	sum := sha256.Sum256(j.Body)
	serial := r.store.Serial()
	rec := journal.Record{Kind: journal.Accepted, Serial: serial, At: nowMicros(), JobID: j.ID, Class: j.Class.Name, Target: j.Target,
		Size: len(j.Body), Digest: sum[:16], Tenant: j.TenantName}
	r.store.Put(rec, nil)
	return serial, true
}

// RecordIntent implements dispatchdriver.Journal. It records that an attempt is about to be sent, and calls done once that record is
// durable or has failed.
func (r *Recorder) RecordIntent(serial uint64, attempt int, id, worker string, done func(ok bool)) {
	r.store.Put(journal.Record{Kind: journal.Intent, Serial: serial, At: nowMicros(), JobID: id, Attempt: attempt, Worker: worker},
		func(err error) { done(err == nil) })
}

// AttemptSent implements dispatchdriver.Journal. It records that an attempt was sent.
func (r *Recorder) AttemptSent(serial uint64, attempt int) {
	r.store.Put(journal.Record{Kind: journal.Sent, Serial: serial, At: nowMicros(), Attempt: attempt}, nil)
}

// AttemptStarted implements dispatchdriver.Journal. It records that a worker started an attempt.
func (r *Recorder) AttemptStarted(serial uint64, attempt int) {
	r.store.Put(journal.Record{Kind: journal.Started, Serial: serial, At: nowMicros(), Attempt: attempt}, nil)
}

// AttemptEnded implements dispatchdriver.Journal. It records the outcome of an attempt and whether the attempt is known never to have
// run.
func (r *Recorder) AttemptEnded(serial uint64, attempt int, o dispatcher.Outcome, neverRan bool) {
	r.store.Put(journal.Record{Kind: journal.Ended, Serial: serial, At: nowMicros(), Attempt: attempt,
		Code: uint8(journal.OutcomeOf(o)), NeverRan: neverRan}, nil)
}

var answerKinds = map[dispatchdriver.ResponseKind]journal.AnswerKind{
	dispatchdriver.Served: journal.Served, dispatchdriver.Rejected: journal.Rejected, dispatchdriver.Failed: journal.Failed,
}

// Answered implements dispatchdriver.Journal. It records the final answer to the client.
func (r *Recorder) Answered(serial uint64, a dispatchdriver.Response) {
	r.store.Put(journal.Record{Kind: journal.Answered, Serial: serial, At: nowMicros(), Code: uint8(answerKinds[a.Kind]), Text: a.Reason}, nil)
}

// ClientDisconnected implements dispatchdriver.Journal. It records that the client disconnected before its answer.
func (r *Recorder) ClientDisconnected(serial uint64) {
	r.store.Put(journal.Record{Kind: journal.ClientGone, Serial: serial, At: nowMicros()}, nil)
}

// ErrBusy is returned while another call of JobReports reads the files.
var ErrBusy = errors.New("another question is being answered, ask again")

// JobReports returns the reports of the jobs with an ID as lines of JSON, sorted by time of acceptance. It blocks until the
// files are read or the context ends. It returns ErrBusy while another call is reading, and store.ErrNotFound for an unknown ID.
func (r *Recorder) JobReports(ctx context.Context, id string) ([]byte, error) {
	select {
	case r.readSlot <- struct{}{}:
	default:
		return nil, ErrBusy
	}
	type result struct {
		view *store.View
		err  error
	}
	results := make(chan result, 1)
	go func() {
		defer func() { <-r.readSlot }()
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

// Lines returns the reports of the jobs with an ID as lines of JSON, or store.ErrNotFound if there are none.
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

// Decide records an operator's verdict on the unresolved jobs with an ID and returns their number; see store.Store.Decide.
func (r *Recorder) Decide(_ context.Context, id, verdict, by, why string) (int, error) {
	v, err := journal.ParseVerdict(verdict)
	if err != nil {
		return 0, err
	}
	return r.store.Decide(id, v, by, why)
}

// Stats returns the journal's statistics as a line of JSON.
func (r *Recorder) Stats() []byte {
	s := r.store.Stats()
	b, _ := json.Marshal(struct { // marshaling these types cannot fail
		Full       bool   `json:"full"`
		Records    uint64 `json:"records"`
		Syncs      uint64 `json:"syncs"`
		Failures   uint64 `json:"failures"`
		Bytes      int64  `json:"bytes"`
		Jobs       int    `json:"open_or_to_settle"`
		Held       int    `json:"records_held"`
		Unrecorded uint64 `json:"jobs_unrecorded"`
	}{r.store.Full(), s.Records, s.Syncs, s.Failures, s.Bytes, s.Unresolved, s.Buffered, r.unrecordedJobs.Load()})
	return append(b, '\n')
}
