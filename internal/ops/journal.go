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

// Journal is the journal of one-shot jobs. Its methods may wait for the disk.
type Journal interface {
	// JobReports returns a line of JSON for each job of an id.
	JobReports(ctx context.Context, id string) (lines []byte, err error)
	// Decide records an operator's verdict on the jobs of an id whose outcome is unknown. It
	// returns how many records have got the verdict.
	Decide(ctx context.Context, id, verdict, by, why string) (int, error)
	// Stats returns counters in JSON.
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

// Validate returns an error if a field is missing or the verdict is unknown.
func (d *Decision) Validate() error {
	if d.Job == "" || d.By == "" || d.Why == "" {
		return errors.New(`the body must be {"job":"ID","verdict":"ran|did_not_run|unknown","by":"NAME","why":"TEXT"}`)
	}
	_, err := journal.ParseVerdict(d.Verdict)
	return err
}

// journalCall is a parsed call to the journal: a decision, or a query for a job or the statistics.
type journalCall struct {
	isDecision bool
	decision   Decision
	job        string // id of the queried job; empty for the statistics
}

// parse parses the query and body of a call.
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

// execute executes the call and returns the body of the response.
func (j *journalCall) execute(ctx context.Context, journal Journal) ([]byte, error) {
	if j.isDecision {
		d := &j.decision
		_, err := journal.Decide(ctx, d.Job, d.Verdict, d.By, d.Why)
		return []byte("yes\n"), err
	}
	if j.job == "" {
		return journal.Stats(), nil
	}
	return journal.JobReports(ctx, j.job)
}

// serveJournal responds to a call to the journal. It returns false, without a response, for any
// other call.
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

// runJournalCall executes a call and responds. It may block.
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

// isNotFound reports whether an error means that the worker or job of a call does not exist.
func isNotFound(err error) bool {
	return errors.Is(err, ErrUnknownWorker) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrNothingToDecide)
}
