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

// Journal answers questions about jobs. Its methods may wait for the disk.
type Journal interface {
	Ask(ctx context.Context, id string) (lines []byte, err error)
	Settle(ctx context.Context, id, verdict, by, why string) (int, error)
	Stats() []byte
}

const journalPath = "/admin/journal"

// Settlement is the body of a call that settles a job.
type Settlement struct {
	Job     string `json:"job"`
	Verdict string `json:"verdict"`
	By      string `json:"by"`
	Why     string `json:"why"`
}

// Check returns an error for a settlement that says too little.
func (s *Settlement) Check() error {
	if s.Job == "" || s.By == "" || s.Why == "" {
		return errors.New(`the body must be {"job":"ID","verdict":"ran|did_not_run|unknown","by":"NAME","why":"TEXT"}`)
	}
	_, err := journal.ParseVerdict(s.Verdict)
	return err
}

// askJournal answers a call about the journal, and reports whether it was one.
func (f *Front) askJournal(c *httpd.Conn, q *httpd.Request) bool {
	path, query, _ := strings.Cut(q.Target, "?")
	settle := path == journalPath+"/settle"
	if path != journalPath && !settle {
		return false
	}
	method := "GET"
	if settle {
		method = "POST"
	}
	switch {
	case f.journal == nil:
		c.RespondLast(404, nil, []byte("no: this scheduler keeps no journal; set [journal] in its file\n"))
		return true
	case q.Method != method:
		c.RespondLast(405, []http1.Field{{Name: "Allow", Value: method}}, []byte("only "+method+"\n"))
		return true
	}
	var order Settlement
	values, err := url.ParseQuery(query)
	if settle {
		if err = json.Unmarshal(q.Body, &order); err == nil || order.Job == "" {
			err = order.Check()
		}
	}
	if err != nil {
		c.RespondLast(400, nil, []byte("no: "+err.Error()+"\n"))
		return true
	}
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), patience)
		defer stop()
		var body []byte
		var err error
		switch id := values.Get("job"); {
		case settle:
			_, err = f.journal.Settle(ctx, order.Job, order.Verdict, order.By, order.Why)
			body = []byte("yes\n")
		case id == "":
			body = f.journal.Stats()
		default:
			body, err = f.journal.Ask(ctx, id)
		}
		c.Post(func(c *httpd.Conn) {
			if err != nil {
				answer(c, err)
				return
			}
			var fields []http1.Field
			if !settle {
				fields = []http1.Field{{Name: "Content-Type", Value: "application/x-ndjson"}}
			}
			c.RespondLast(200, fields, body)
		})
	}()
	return true
}

// notFound reports whether an error says that what a call names is not there.
func notFound(err error) bool {
	return errors.Is(err, ErrUnknown) || errors.Is(err, store.ErrNotFound) || errors.Is(err, store.ErrNothingToSettle)
}
