// Package recorder joins the planners to the journal of one-shot jobs: it decides which
// jobs are recorded, and puts what the planners tell into records.
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

	"sedgevale"
	"sedgevale/internal/dispatch"
	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Recorder is a core.Journal.
type Recorder struct {
	store      *store.Store
	opt        store.Options
	classes    map[string]bool
	serve      bool // while the journal is full, jobs are served without a record
	unrecorded atomic.Uint64
	reading    chan struct{} // held by who reads the files
}

// Open opens the journal that a configuration asks for.
func Open(c *dispatchconfig.Config, log *slog.Logger) (*Recorder, error) {
	j := c.Journal
	fsys := store.OS{}
	if err := fsys.MkdirAll(j.Dir); err != nil {
		return nil, fmt.Errorf("journal %s: %w", j.Dir, err)
	}
	secret, err := store.MakeKey(store.KeyPath(j.Dir, j.KeyFile), store.Used(fsys, j.Dir))
	if err != nil {
		return nil, err
	}
	r := &Recorder{classes: map[string]bool{}, serve: j.OnFull == dispatchconfig.ServeOnFull, reading: make(chan struct{}, 1)}
	for _, name := range c.JournalClasses() {
		r.classes[name] = true
	}
	r.opt = store.Options{FS: fsys, Dir: j.Dir, Secret: secret, Log: log, Sync: j.Sync != dispatchconfig.SyncNone,
		Owner: store.Owner{PID: os.Getpid(), Name: c.Name, Ops: c.Ops}, Keep: dispatchconfig.Seconds(j.Keep),
		MaxBytes: int64(j.MaxMB) << 20, Reserve: int64(j.ReserveMB) << 20}
	if r.store, err = store.Open(r.opt); err != nil {
		return nil, err
	}
	return r, nil
}

// Close writes what there is and ends the journal. It waits for the disk.
func (r *Recorder) Close() { r.store.Close() }

func now() int64 { return time.Now().UnixMicro() }

// Take is the core's.
func (r *Recorder) Take(j *dispatch.Job) (uint64, bool) {
	if !r.classes[j.Class.Name] {
		return 0, true
	}
	if r.store.Full() {
		if r.serve {
			r.unrecorded.Add(1)
		}
		return 0, r.serve
	}
	sum := sha256.Sum256(j.Body)
	number := r.store.Serial()
	rec := journal.Record{Kind: journal.Accepted, Serial: number, At: now(), JobID: j.ID, Class: j.Class.Name, Target: j.Target,
		Size: len(j.Body), Digest: sum[:16], Tenant: j.TenantName}
	r.store.Put(rec, nil)
	return number, true
}

// Intent is the core's.
func (r *Recorder) Intent(number uint64, attempt int, id, worker string, done func(ok bool)) {
	r.store.Put(journal.Record{Kind: journal.Intent, Serial: number, At: now(), JobID: id, Attempt: attempt, Worker: worker},
		func(err error) { done(err == nil) })
}

// Sent is the core's.
func (r *Recorder) Sent(number uint64, attempt int) {
	r.store.Put(journal.Record{Kind: journal.Sent, Serial: number, At: now(), Attempt: attempt}, nil)
}

// Started is the core's.
func (r *Recorder) Started(number uint64, attempt int) {
	r.store.Put(journal.Record{Kind: journal.Started, Serial: number, At: now(), Attempt: attempt}, nil)
}

// Ended is the core's.
func (r *Recorder) Ended(number uint64, attempt int, o sedgevale.Outcome, unseen bool) {
	r.store.Put(journal.Record{Kind: journal.Ended, Serial: number, At: now(), Attempt: attempt,
		Code: uint8(journal.OutcomeOf(o)), NeverRan: unseen}, nil)
}

var kinds = map[dispatch.AnswerKind]journal.AnswerKind{
	dispatch.Served: journal.Served, dispatch.Refused: journal.Refused, dispatch.Failed: journal.Failed,
}

// Answered is the core's.
func (r *Recorder) Answered(number uint64, a dispatch.Answer) {
	r.store.Put(journal.Record{Kind: journal.Answered, Serial: number, At: now(), Code: uint8(kinds[a.Kind]), Text: a.Reason}, nil)
}

// Gone is the core's.
func (r *Recorder) Gone(number uint64) {
	r.store.Put(journal.Record{Kind: journal.ClientGone, Serial: number, At: now()}, nil)
}

// ErrBusy says that another question is being answered.
var ErrBusy = errors.New("another question is being answered, ask again")

// Ask returns what is known of the jobs of an id, a line of JSON each, the oldest first.
// It reads the files and waits for the disk, until the context ends.
func (r *Recorder) Ask(ctx context.Context, id string) ([]byte, error) {
	select {
	case r.reading <- struct{}{}:
	default:
		return nil, ErrBusy
	}
	type result struct {
		view *store.View
		err  error
	}
	got := make(chan result, 1)
	go func() {
		defer func() { <-r.reading }()
		v, err := store.Read(r.opt.FS, r.opt.Dir, r.opt.Secret, id)
		got <- result{v, err}
	}()
	select {
	case out := <-got:
		if out.err != nil {
			return nil, out.err
		}
		return Lines(out.view.Jobs, id)
	case <-ctx.Done():
		return nil, fmt.Errorf("reading the journal takes longer than a call may; `sedgevale journal ask` has the time: %w", ctx.Err())
	}
}

// Lines writes the jobs of an id as lines of JSON.
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

// Settle records an operator's verdict on the jobs of an id.
func (r *Recorder) Settle(_ context.Context, id, verdict, by, why string) (int, error) {
	v, err := journal.ParseVerdict(verdict)
	if err != nil {
		return 0, err
	}
	return r.store.Settle(id, v, by, why)
}

// Stats returns the counts of the journal as a line of JSON.
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
	}{r.store.Full(), s.Records, s.Syncs, s.Failures, s.Bytes, s.Kept, s.Held, r.unrecorded.Load()})
	return append(b, '\n')
}
