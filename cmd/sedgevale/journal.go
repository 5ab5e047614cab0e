package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/recorder"
	"sedgevale/internal/journal/store"
	"sedgevale/internal/ops"
)

type journalCmd struct {
	Ask    *askCmd    `arg:"subcommand:ask" help:"Tell what became of a job."`
	List   *listCmd   `arg:"subcommand:list" help:"List jobs."`
	Verify *verifyCmd `arg:"subcommand:verify" help:"Check that nothing was lost or altered; exit status 2 if something was."`
	Settle *settleCmd `arg:"subcommand:settle" help:"Record what an operator found out about a job of unknown fate."`
	Export *exportCmd `arg:"subcommand:export" help:"Write all jobs as lines of JSON."`
}

// where is the journal that a command is about.
type where struct {
	Dir string `arg:"required,--dir" placeholder:"DIR" help:"The journal's directory: dir of [journal]."`
	Key string `arg:"--key" placeholder:"FILE" help:"The journal's key: key_file of [journal]; \"key\" in the directory without it."`
}

func (w where) secret() ([]byte, error) { return store.ReadKey(store.KeyPath(w.Dir, w.Key)) }

func (w where) read(id string) (*store.View, error) {
	if _, err := os.Stat(w.Dir); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if !store.Used(store.OS{}, w.Dir) {
		return nil, fmt.Errorf("journal %s: no records there; is it the dir of [journal]?", w.Dir)
	}
	secret, err := w.secret()
	if err != nil {
		return nil, err
	}
	v, err := store.Read(store.OS{}, w.Dir, secret, id)
	if err == nil && v.Damaged() {
		fmt.Fprintf(os.Stderr, "sedgevale: the journal is damaged, so this may not be all; `sedgevale journal verify %s` says where\n", w.Dir)
	}
	return v, err
}

type askCmd struct {
	where
	ID   string `arg:"positional,required" help:"The job's Request-Id."`
	JSON bool   `arg:"--json" help:"Answer with a line of JSON for each job of that id."`
}

func (c askCmd) Run() error {
	v, err := c.read(c.ID)
	if err != nil {
		return err
	}
	lines, err := recorder.Lines(v.Jobs, c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = os.Stdout.Write(lines)
		return err
	}
	for _, j := range v.Jobs {
		if j.ID == c.ID {
			tell(os.Stdout, j.Report())
		}
	}
	return nil
}

// tell writes a job for a person.
func tell(w io.Writer, r journal.Report) {
	fmt.Fprintf(w, "%s: %s: %s\n", r.Job, r.Verdict, r.Reason)
	if len(r.Look) > 0 && r.Verdict == journal.Unknown.String() {
		fmt.Fprintf(w, "  look at    %s\n", strings.Join(r.Look, ", "))
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	row := func(at, format string, args ...any) {
		if at != "" {
			fmt.Fprintf(t, "  %s\t%s\n", at, fmt.Sprintf(format, args...))
		}
	}
	row(r.TakenAt, "taken: class %s, tenant %s, %s, %d bytes (sha256 %s...)", r.Class, r.Tenant, r.Target, r.Bytes, r.Digest)
	for _, a := range r.Attempts {
		row(a.IntentAt, "attempt %d is to go to %s", a.Number, a.Worker)
		row(a.SentAt, "  written to its connection")
		row(a.StartedAt, "  %s said that it has begun", a.Worker)
		row(a.EndedAt, "  ended: %s", a.Outcome)
	}
	if r.Answer != nil {
		row(r.Answer.At, "the client was told: %s %s", r.Answer.Kind, r.Answer.Reason)
	}
	row(r.GoneAt, "the client left")
	if r.Settled != nil {
		row(r.Settled.At, "settled as %s by %s: %s", r.Settled.Verdict, r.Settled.By, r.Settled.Why)
	}
	t.Flush()
}

type listCmd struct {
	where
	Open    bool   `arg:"--open" help:"Only jobs that a scheduler still has."`
	Verdict string `arg:"--verdict" placeholder:"V" help:"Only jobs of this verdict: ran, did_not_run or unknown."`
	Class   string `arg:"--class" help:"Only jobs of this class."`
	Worker  string `arg:"--worker" help:"Only jobs of which an attempt was to go to this worker."`
	Tenant  string `arg:"--tenant" help:"Only jobs of this tenant."`
	Since   string `arg:"--since" placeholder:"T" help:"Only jobs taken at T or later: RFC 3339, or a time ago as 15m."`
	Until   string `arg:"--until" placeholder:"T" help:"Only jobs taken before T."`
	JSON    bool   `arg:"--json" help:"A line of JSON for each job."`
}

func (c listCmd) Run() error {
	var verdict journal.Verdict
	var err error
	if c.Verdict != "" {
		if verdict, err = journal.ParseVerdict(c.Verdict); err != nil {
			return fmt.Errorf("--verdict: %w", err)
		}
	}
	since, err := when("--since", c.Since)
	if err != nil {
		return err
	}
	until, err := when("--until", c.Until)
	if err != nil {
		return err
	}
	v, err := c.read("")
	if err != nil {
		return err
	}
	jobs := slices.DeleteFunc(v.Jobs, func(j store.Found) bool {
		is, _, _ := j.Verdict()
		return c.Open && !j.Open() || verdict != 0 && is != verdict || c.Class != "" && j.Class != c.Class ||
			c.Tenant != "" && j.Tenant != c.Tenant || since != 0 && j.TakenAt < since || until != 0 && j.TakenAt >= until ||
			c.Worker != "" && !slices.ContainsFunc(j.Attempts, func(a journal.Attempt) bool { return a.Worker == c.Worker })
	})
	return write(os.Stdout, jobs, c.JSON)
}

// when reads a time; empty is 0.
func when(flag, s string) (int64, error) {
	if s == "" {
		return 0, nil
	}
	if ago, err := time.ParseDuration(s); err == nil {
		return time.Now().Add(-ago).UnixMicro(), nil
	}
	t, err := time.Parse(time.RFC3339Nano, s)
	if err != nil {
		return 0, fmt.Errorf("%s %q is neither a time as 2026-12-01T08:00:00Z nor one ago as 15m", flag, s)
	}
	return t.UnixMicro(), nil
}

func write(w io.Writer, jobs []store.Found, asJSON bool) error {
	out := bufio.NewWriter(w)
	e := json.NewEncoder(out)
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	if !asJSON {
		fmt.Fprintln(t, "TAKEN\tJOB\tCLASS\tTENANT\tVERDICT\tREASON")
	}
	for _, j := range jobs {
		r := j.Report()
		if asJSON {
			if err := e.Encode(r); err != nil {
				return err
			}
			continue
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\n", r.TakenAt, r.Job, r.Class, r.Tenant, r.Verdict, r.Reason)
	}
	if !asJSON {
		t.Flush()
	}
	return out.Flush()
}

type exportCmd struct {
	Dir string `arg:"positional,required" help:"The journal's directory."`
	Key string `arg:"--key" placeholder:"FILE" help:"The journal's key; \"key\" in the directory without it."`
}

func (c exportCmd) Run() error {
	v, err := where(c).read("")
	if err != nil {
		return err
	}
	return write(os.Stdout, v.Jobs, true)
}

type verifyCmd struct {
	Dir string `arg:"positional,required" help:"The journal's directory."`
	Key string `arg:"--key" placeholder:"FILE" help:"The journal's key; \"key\" in the directory without it."`
}

// Run says of each lane how it stands.
func (c verifyCmd) Run() error {
	v, err := where(c).read("")
	if err != nil {
		return err
	}
	for _, l := range v.Lanes {
		state := "ends with a crash"
		switch {
		case l.Live:
			state = "in use by " + l.Owner.String()
		case l.Closed:
			state = "closed in order"
		}
		fmt.Printf("%s: %d records in %d segments, %s\n", l.Dir, l.Records, l.Segments, state)
	}
	for _, p := range v.Problems {
		if p.Torn {
			fmt.Printf("%s (as a crash leaves it)\n", p)
		} else {
			fmt.Printf("%s: DAMAGED\n", p)
		}
	}
	if v.Damaged() {
		return status{2, errors.New("the journal is damaged")}
	}
	fmt.Println("nothing is missing or altered")
	return nil
}

type settleCmd struct {
	where
	ID      string `arg:"positional,required" help:"The job's Request-Id."`
	Verdict string `arg:"required,--verdict" placeholder:"V" help:"ran, did_not_run or unknown."`
	Why     string `arg:"required,--why" placeholder:"TEXT" help:"How that is known."`
	By      string `arg:"--by,env:USER" default:"an operator" help:"Who says so."`
}

func (c settleCmd) Run() error {
	verdict, err := journal.ParseVerdict(c.Verdict)
	if err != nil {
		return fmt.Errorf("--verdict: %w", err)
	}
	if _, err := os.Stat(c.Dir); err != nil {
		return fmt.Errorf("journal: %w", err)
	}
	secret, err := c.secret()
	if err != nil {
		return err
	}
	n, err := store.SettleIn(store.Options{Dir: c.Dir, Secret: secret, Owner: store.Owner{PID: os.Getpid()}},
		c.ID, verdict, c.By, c.Why)
	if busy := (*store.BusyError)(nil); errors.As(err, &busy) {
		if busy.Owner.Ops == "" {
			return fmt.Errorf("%w, which has no operators' address to ask: set ops in its file, or settle when it has ended", err)
		}
		return c.askScheduler(busy.Owner.Ops)
	}
	if err != nil {
		return fmt.Errorf("%w: %q", err, c.ID)
	}
	fmt.Printf("settled: %d\n", n)
	return nil
}

// askScheduler has the scheduler that writes the journal record it.
func (c settleCmd) askScheduler(addr string) error {
	body, err := json.Marshal(ops.Settlement{Job: c.ID, Verdict: c.Verdict, By: c.By, Why: c.Why})
	if err != nil {
		return err
	}
	ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
	defer stop()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/admin/journal/settle", bytes.NewReader(body))
	if err != nil {
		return err
	}
	a, err := http.DefaultClient.Do(q)
	if err != nil {
		return fmt.Errorf("the scheduler that writes the journal: %w", err)
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(a.Body, 4096))
	if a.StatusCode != http.StatusOK {
		return fmt.Errorf("the scheduler at %s says %s", addr, bytes.TrimSpace(text))
	}
	fmt.Printf("settled by the scheduler at %s\n", addr)
	return nil
}
