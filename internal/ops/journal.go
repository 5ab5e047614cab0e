package ops

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strings"

	"sedgevale/internal/http1"
	"sedgevale/internal/httpd"
	"sedgevale/internal/journal"
	"sedgevale/internal/journal/store"
)

// Journal is the journal of attempts. Its methods may wait for the disk. Ask returns a job's
// records as JSON lines, Settle sets the verdict on a job whose outcome is unknown and returns
// how many records it has settled, Stats returns counts as JSON.
type Journal interface {
	JobReports(ctx context.Context, id string) (lines []byte, err error)
	Decide(ctx context.Context, id, verdict, by, why string) (int, error)
	Stats() []byte
}

const journalPath = "/admin/journal"

// Decision is the body of a call that records an operator's verdict on a job.
type Decision struct {
	Job     string `json:"job"`
	Verdict string `json:"verdict"`
	By      string `json:"by"`
	Why     string `json:"why"`
}

// Validate returns an error for a settlement that is incomplete or has no known verdict.
func (s *Decision) Validate() error {
	if s.Job == "" || s.By == "" || s.Why == "" {
		return errors.New(`the body must be {"job":"ID","verdict":"ran|did_not_run|unknown","by":"NAME","why":"TEXT"}`)
	}
	_, err := journal.ParseVerdict(s.Verdict)
	return err
}

// journalCall is a parsed call to the journal.
type journalCall struct {
	isDecision bool
	decision   Decision
	job        string // that is asked for; empty: statistics
}

// parse reads a call's query and body.
func (j *journalCall) parse(query string, body []byte) error {
	values, err := url.ParseQuery(query)
	if j.isDecision {
		if err = json.Unmarshal(body, &j.decision); err == nil || j.decision.Job == "" {
			err = j.decision.Validate()
		}
	}
	j.job = values.Get("job")
	return err
}

// execute carries the call out and returns the body of the response.
func (j *journalCall) execute(ctx context.Context, journal Journal) ([]byte, error) {
	if j.isDecision {
		s := &j.decision
		_, err := journal.Decide(ctx, s.Job, s.Verdict, s.By, s.Why)
		return []byte("yes\n"), err
	}
	if j.job == "" {
		return journal.Stats(), nil
	}
	return journal.JobReports(ctx, j.job)
}

// serveJournal answers a call to the journal, and reports whether it was one.
func (h *Handler) serveJournal(c *httpd.Conn, q *httpd.Request) bool {
	path, query, _ := strings.Cut(q.Target, "?")
	call := &journalCall{isDecision: path == journalPath+"/settle"}
	if path != journalPath && !call.isDecision {
		return false
	}
	method := "GET"
	if call.isDecision {
		method = "POST"
	}
	switch {
	case h.journal == nil:
		c.RespondLast(404, nil, []byte("no: this scheduler keeps no journal; set [journal] in its file\n"))
		return true
	case q.Method != method:
		c.RespondLast(405, []http1.Field{{Name: "Allow", Value: method}}, []byte("only "+method+"\n"))
		return true
	}
	if err := call.parse(query, q.Body); err != nil {
		c.RespondLast(400, nil, []byte("no: "+err.Error()+"\n"))
		return true
	}
	go h.runJournalCall(c, call)
	return true
}

// runJournalCall carries a call out and responds.
func (h *Handler) runJournalCall(c *httpd.Conn, call *journalCall) {
	ctx, stop := context.WithTimeout(context.Background(), callTimeout)
	defer stop()
	body, err := call.execute(ctx, h.journal)
	c.Post(func(c *httpd.Conn) {
		if err != nil {
			respond(c, err)
			return
		}
		var fields []http1.Field
		if !call.isDecision {
			fields = []http1.Field{{Name: "Content-Type", Value: "application/x-ndjson"}}
		}
		c.RespondLast(200, fields, body)
	})
}

// isNotFound reports whether an error says that what a call names does not exist.
func isNotFound(err error) bool {
	return errors.Is(err, ErrUnknownWorker) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrNothingToDecide)
}
