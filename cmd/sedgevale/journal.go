package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"

	"sedgevale/internal/journal"
	"sedgevale/internal/journal/recorder"
	"sedgevale/internal/journal/store"
)

// journalCmd queries the journal of one-shot jobs.
type journalCmd struct {
	Ask    *journalAskCmd    `arg:"subcommand:ask" help:"Show the outcome of a job."`
	List   *journalListCmd   `arg:"subcommand:list" help:"List jobs."`
	Verify *journalVerifyCmd `arg:"subcommand:verify" help:"Check that nothing was lost or altered; exit status 2 if something was."`
	Settle *journalSettleCmd `arg:"subcommand:settle" help:"Record what an operator found out about a job with unknown outcome."`
	Export *journalExportCmd `arg:"subcommand:export" help:"Write all jobs as lines of JSON."`
}

// journalFlags select a journal by its directory and key.
type journalFlags struct {
	Dir string `arg:"required,--dir" placeholder:"DIR" help:"The journal's directory: dir of [journal]."`
	Key string `arg:"--key" placeholder:"FILE" help:"The journal's key: key_file of [journal]; \"key\" in the directory without it."`
}

// secret reads the key of the journal.
func (f journalFlags) secret() ([]byte, error) { return store.ReadKey(store.KeyPath(f.Dir, f.Key)) }

// read reads the records of a job, or of all jobs if the ID is empty. It prints a warning to standard error if the journal is
// damaged.
func (f journalFlags) read(id string) (*store.View, error) {
	if _, err := os.Stat(f.Dir); err != nil {
		return nil, fmt.Errorf("journal: %w", err)
	}
	if !store.HasRecords(store.OS{}, f.Dir) {
		return nil, fmt.Errorf("journal %s: no records there; is it the dir of [journal]?", f.Dir)
	}
	secret, err := f.secret()
	if err != nil {
		return nil, err
	}
	view, err := store.Read(store.OS{}, f.Dir, secret, id)
	if err == nil && view.Damaged() {
		fmt.Fprintf(os.Stderr, "sedgevale: the journal is damaged, so this may not be all; `sedgevale journal verify %s` says where\n", f.Dir)
	}
	return view, err
}

// journalAskCmd shows the outcome and history of a job.
type journalAskCmd struct {
	journalFlags
	ID   string `arg:"positional,required" help:"The job's Request-Id."`
	JSON bool   `arg:"--json" help:"Print a line of JSON for each job of that ID."`
}

// Run prints the history of each job that was submitted with the ID.
func (c journalAskCmd) Run() error {
	view, err := c.read(c.ID)
	if err != nil {
		return err
	}
	lines, err := recorder.Lines(view.Jobs, c.ID)
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = os.Stdout.Write(lines)
		return err
	}
	for _, job := range view.Jobs {
		if job.ID != c.ID {
			continue
		}
		if err := printReport(os.Stdout, job.Report()); err != nil {
			return err
		}
	}
	return nil
}

// printReport prints the history of a job.
func printReport(out io.Writer, r journal.Report) error {
	_, err := fmt.Fprintf(out, "%s: %s: %s\n", r.Job, r.Verdict, r.Reason)
	if err == nil && len(r.Workers) > 0 && r.Verdict == journal.Unknown.String() {
		_, err = fmt.Fprintf(out, "  look at    %s\n", strings.Join(r.Workers, ", "))
	}
	if err != nil {
		return err
	}
	t := newTable(out)
	event := func(at, format string, args ...any) {
		if at != "" {
			t.row("  %s\t%s", at, fmt.Sprintf(format, args...))
		}
	}
	event(r.TakenAt, "taken: class %s, tenant %s, %s, %d bytes (sha256 %s...)", r.Class, r.Tenant, r.Target, r.Bytes, r.Digest)
	for _, a := range r.Attempts {
		event(a.IntentAt, "attempt %d is to go to %s", a.Number, a.Worker)
		event(a.SentAt, "  written to its connection")
		event(a.StartedAt, "  %s said that it has begun", a.Worker)
		event(a.EndedAt, "  ended: %s", a.Outcome)
	}
	if r.Answer != nil {
		event(r.Answer.At, "the client was told: %s %s", r.Answer.Kind, r.Answer.Reason)
	}
	event(r.ClientDisconnectedAt, "the client left")
	if r.Decided != nil {
		event(r.Decided.At, "settled as %s by %s: %s", r.Decided.Verdict, r.Decided.By, r.Decided.Why)
	}
	return t.flush()
}

// journalListCmd lists jobs.
type journalListCmd struct {
	journalFlags
	Open    bool   `arg:"--open" help:"Only jobs that a scheduler still has."`
	Verdict string `arg:"--verdict" placeholder:"V" help:"Only jobs of this verdict: ran, did_not_run or unknown."`
	Class   string `arg:"--class" help:"Only jobs of this class."`
	Worker  string `arg:"--worker" help:"Only jobs with an attempt that was to go to this worker."`
	Tenant  string `arg:"--tenant" help:"Only jobs of this tenant."`
	Since   string `arg:"--since" placeholder:"T" help:"Only jobs taken at T or later: RFC 3339, or a time ago as 15m."`
	Until   string `arg:"--until" placeholder:"T" help:"Only jobs taken before T."`
	JSON    bool   `arg:"--json" help:"Print a line of JSON for each job."`
}

// Run prints the jobs that match all filter flags.
func (c journalListCmd) Run() error {
	filter, err := c.filter()
	if err != nil {
		return err
	}
	view, err := c.read("")
	if err != nil {
		return err
	}
	jobs := slices.DeleteFunc(view.Jobs, func(job store.Found) bool { return !filter.matches(job) })
	return printJobs(os.Stdout, jobs, c.JSON)
}

// jobFilter selects jobs. A field with its zero value matches all jobs.
type jobFilter struct {
	open                  bool
	verdict               journal.Verdict
	class, worker, tenant string
	since, until          int64 // Unix time in microseconds
}

// filter parses the filter flags.
func (c journalListCmd) filter() (jobFilter, error) {
	filter := jobFilter{open: c.Open, class: c.Class, worker: c.Worker, tenant: c.Tenant}
	var err error
	if c.Verdict != "" {
		if filter.verdict, err = journal.ParseVerdict(c.Verdict); err != nil {
			return filter, fmt.Errorf("--verdict: %w", err)
		}
	}
	if filter.since, err = parseTime("--since", c.Since); err != nil {
		return filter, err
	}
	filter.until, err = parseTime("--until", c.Until)
	return filter, err
}

func (f jobFilter) matches(job store.Found) bool {
	verdict, _, _ := job.Verdict()
	switch {
	case f.open && !job.Open(),
		f.verdict != 0 && verdict != f.verdict,
		f.class != "" && job.Class != f.class,
		f.tenant != "" && job.Tenant != f.tenant,
		f.since != 0 && job.AcceptedAt < f.since,
		f.until != 0 && job.AcceptedAt >= f.until:
		return false
	}
	return f.worker == "" ||
		slices.ContainsFunc(job.Attempts, func(a journal.Attempt) bool { return a.Worker == f.worker })
}

// parseTime parses the value of a flag, which is a time or a duration before now. It returns Unix time in microseconds, and 0
// for an empty value.
func parseTime(flag, value string) (int64, error) {
	if value == "" {
		return 0, nil
	}
	if ago, err := time.ParseDuration(value); err == nil {
		return time.Now().Add(-ago).UnixMicro(), nil
	}
	t, err := time.Parse(time.RFC3339Nano, value)
	if err != nil {
		return 0, fmt.Errorf("%s %q is neither a time as 2026-12-01T08:00:00Z nor one ago as 15m", flag, value)
	}
	return t.UnixMicro(), nil
}

// printJobs prints jobs as a table or as lines of JSON.
func printJobs(out io.Writer, jobs []store.Found, asJSON bool) error {
	buffered := bufio.NewWriter(out)
	var err error
	if asJSON {
		err = printJobLines(buffered, jobs)
	} else {
		err = printJobTable(buffered, jobs)
	}
	return errors.Join(err, buffered.Flush())
}

func printJobLines(out io.Writer, jobs []store.Found) error {
	encoder := json.NewEncoder(out)
	for _, job := range jobs {
		if err := encoder.Encode(job.Report()); err != nil {
			return err
		}
	}
	return nil
}

func printJobTable(out io.Writer, jobs []store.Found) error {
	t := newTable(out)
	t.row("TAKEN\tJOB\tCLASS\tTENANT\tVERDICT\tREASON")
	for _, job := range jobs {
		r := job.Report()
		t.row("%s\t%s\t%s\t%s\t%s\t%s", r.TakenAt, r.Job, r.Class, r.Tenant, r.Verdict, r.Reason)
	}
	return t.flush()
}

// journalExportCmd exports all jobs as lines of JSON.
type journalExportCmd struct {
	Dir string `arg:"positional,required" help:"The journal's directory."`
	Key string `arg:"--key" placeholder:"FILE" help:"The journal's key; \"key\" in the directory without it."`
}

// Run writes all jobs to standard output.
func (c journalExportCmd) Run() error {
	view, err := journalFlags(c).read("")
	if err != nil {
		return err
	}
	return printJobs(os.Stdout, view.Jobs, true)
}

// journalVerifyCmd checks the integrity of a journal.
type journalVerifyCmd struct {
	Dir string `arg:"positional,required" help:"The journal's directory."`
	Key string `arg:"--key" placeholder:"FILE" help:"The journal's key; \"key\" in the directory without it."`
}

// Run prints the state of each log and each problem found. It returns an error with status exitDamaged if records are missing
// or altered; an incomplete record that a crash has left at the end of a log is no damage.
func (c journalVerifyCmd) Run() error {
	view, err := journalFlags(c).read("")
	if err != nil {
		return err
	}
	for _, log := range view.Logs {
		state := "ends with a crash"
		switch {
		case log.Live:
			state = "in use by " + log.Owner.String()
		case log.Closed:
			state = "closed in order"
		}
		fmt.Printf("%s: %d records in %d segments, %s\n", log.Dir, log.Records, log.Segments, state)
	}
	for _, p := range view.Problems {
		if p.Torn {
			fmt.Printf("%s (as a crash leaves it)\n", p)
		} else {
			fmt.Printf("%s: DAMAGED\n", p)
		}
	}
	if view.Damaged() {
		return exitError{exitDamaged, errors.New("the journal is damaged")}
	}
	fmt.Println("nothing is missing or altered")
	return nil
}
