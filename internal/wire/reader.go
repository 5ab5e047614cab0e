// Package wire speaks zinc-4b3b, the text protocol of the bench: batches of
// events in, replies of actions out.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"strconv"
	"time"

	"sedgevale"
)

// Kind tells what an Event is.
type Kind uint8

// The kinds of events.
const (
	Begin Kind = iota + 1
	Kill
	Members
	Knock
	Headers
	Note
	Answer
	Gone
	Wake
	Echo
	Message
)

// Event is one event for one instance. Only the fields of its kind are set.
// Entries and Report are reused by the next event.
type Event struct {
	Kind     Kind
	Instance string
	Now      time.Duration

	Seed     uint64                 // Begin
	Settings sedgevale.Settings     // Begin
	List     sedgevale.ListKind     // Members
	Entries  []sedgevale.WorkerInfo // Members
	Request  sedgevale.Request      // Knock
	Result   sedgevale.Result       // Answer; ID and Attempt also of Headers, Note and Gone; Report of Echo
	Worker   string                 // Echo
	Started  bool                   // Note: started, else progress
	Share    float64                // Note: share done
	Token    uint64                 // Wake
}

// SyntaxError is a line that does not follow the protocol.
type SyntaxError struct {
	Line string
	What string
}

func (e *SyntaxError) Error() string {
	line := e.Line
	if len(line) > 120 {
		line = line[:120] + "..."
	}
	return fmt.Sprintf("%s in line %q", e.What, line)
}

// lists is how many numbered lists of workers there are.
const lists = 16

// Reader reads batches.
type Reader struct {
	in       *bufio.Reader
	long     []byte
	line     []byte
	rest     []byte
	now      time.Duration
	instance string
	names    map[string]string // instances and workers, interned
	lists    [lists][]sedgevale.WorkerInfo
	known    [lists]bool
	event    Event
	report   sedgevale.Report
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<18), names: map[string]string{}}
}

// Batch reads the line that opens a batch and returns the batch's number, or
// io.EOF where the input has ended.
func (r *Reader) Batch() (seq string, err error) {
	if err := r.readLine(); err != nil {
		return "", err
	}
	r.instance = ""
	if word := r.word(); string(word) != "MARK" {
		return "", r.bad("a batch must open with MARK")
	}
	now, err := r.seconds()
	if err != nil {
		return "", err
	}
	if _, err := strconv.ParseUint(string(r.rest), 10, 64); err != nil {
		return "", r.bad("bad batch number")
	}
	r.now = now
	return string(r.rest), nil
}

// Next returns the batch's next event, or nil after its last. The event is
// valid until the next call.
func (r *Reader) Next() (*Event, error) {
	for {
		if err := r.readLine(); err != nil {
			if err == io.EOF {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		switch word := r.word(); string(word) {
		case "GO":
			return nil, r.done()
		case "ABOUT":
			name, err := r.text("instance")
			if err != nil {
				return nil, err
			}
			r.instance = r.intern(name)
			if err := r.done(); err != nil {
				return nil, err
			}
		case "SNAPSHOT_ROWS":
			if err := r.list(); err != nil {
				return nil, err
			}
		default:
			if err := r.parse(string(word)); err != nil {
				return nil, err
			}
			if r.instance == "" {
				return nil, r.bad("event before any ABOUT")
			}
			return &r.event, nil
		}
	}
}

// Instance returns the instance that the last line was about.
func (r *Reader) Instance() string { return r.instance }

// Skip reads on to the end of the batch.
func (r *Reader) Skip() error {
	for !bytes.Equal(r.line, []byte("GO")) {
		if err := r.readLine(); err != nil {
			return err
		}
	}
	return nil
}

func (r *Reader) parse(word string) error {
	e := &r.event
	entries := e.Entries
	*e = Event{Instance: r.instance, Now: r.now, Entries: entries[:0]}
	var err error
	switch word {
	case "KNOCK":
		e.Kind, err = Knock, r.knock(&e.Request)
	case "ANSWER":
		e.Kind, err = Answer, r.answer(&e.Result)
	case "STATUS_NOTE":
		e.Kind, err = Note, r.note(e)
	case "WAKE":
		e.Kind = Wake
		e.Token, err = r.unsigned("token")
	case "MEMBERS":
		e.Kind, err = Members, r.members(e)
	case "HEADERS":
		e.Kind, err = Headers, r.headers(e)
	case "CLIENT_GONE":
		e.Kind = Gone
		e.Result.ID, err = r.copied("request id")
	case "BEGIN":
		e.Kind = Begin
		if e.Seed, err = r.seed(); err == nil {
			var what string
			if e.Settings, what = ParseSettings(string(r.rest)); what != "" {
				err = r.bad(what)
			}
			r.rest = nil
		}
	case "KILL":
		e.Kind = Kill
	case "ECHO":
		e.Kind, err = Echo, r.echo(e)
	case "MESSAGE":
		e.Kind, err = Message, r.skip(2)
	default:
		return r.bad("unknown message")
	}
	if err != nil {
		return err
	}
	return r.done()
}

func (r *Reader) knock(q *sedgevale.Request) (err error) {
	if q.ID, err = r.copied("request id"); err != nil {
		return err
	}
	if q.Class, err = r.index("class"); err != nil {
		return err
	}
	tenant := r.word()
	q.Tenant = -1
	if !absent(tenant) {
		if q.Tenant, err = r.number(tenant, "tenant"); err != nil {
			return err
		}
	}
	if key := r.word(); !absent(key) {
		q.Key = string(key)
	}
	if q.Left, err = r.seconds(); err != nil {
		return err
	}
	if q.Hint, err = r.seconds(); err != nil {
		return err
	}
	if q.Slots, err = r.float("slots"); err != nil {
		return err
	}
	if _, err = r.float("memory"); err != nil {
		return err
	}
	flags, err := r.unsigned("flags")
	if err != nil {
		return err
	}
	if flags&1 == 0 {
		q.Hint = 0
	}
	q.Retry = flags&2 != 0
	return nil
}

func (r *Reader) answer(a *sedgevale.Result) (err error) {
	if a.ID, err = r.copied("request id"); err != nil {
		return err
	}
	if a.Attempt, err = r.index("attempt"); err != nil {
		return err
	}
	r.word() // the worker: the attempt tells it
	status := r.word()
	o, ok := outcomes[string(status)]
	if !ok {
		return r.bad("unknown outcome")
	}
	a.Outcome = o
	if _, err = r.seconds(); err != nil {
		return err
	}
	if a.Closed, err = r.bool(); err != nil {
		return err
	}
	r.word() // family note
	return r.load(a)
}

var outcomes = map[string]sedgevale.Outcome{
	"pass": sedgevale.Served, "fault": sedgevale.Errored, "no_room": sedgevale.Full,
	"too_slow": sedgevale.TimedOut, "no_route": sedgevale.ConnectFailed, "cut": sedgevale.Lost,
	"undone": sedgevale.Cancelled, "stale_send": sedgevale.NotSent,
}

func (r *Reader) load(a *sedgevale.Result) error {
	rest := r.word()
	if absent(rest) {
		return nil
	}
	r.report = sedgevale.Report{}
	for len(rest) > 0 {
		pair := rest
		if i := bytes.IndexByte(rest, ','); i >= 0 {
			pair, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		i := bytes.IndexByte(pair, ':')
		if i < 0 {
			return r.bad("load report without a colon")
		}
		v, err := parseFloat(pair[i+1:])
		if err != nil {
			return r.bad("bad load report value")
		}
		switch string(pair[:i]) {
		case "x0":
			r.report.HasFree, r.report.Free = true, v
		case "rif":
			r.report.HasHeld, r.report.Held = true, v
		}
	}
	a.Report = &r.report
	return nil
}

func (r *Reader) note(e *Event) (err error) {
	if e.Result.ID, err = r.copied("request id"); err != nil {
		return err
	}
	if e.Result.Attempt, err = r.index("attempt"); err != nil {
		return err
	}
	r.word() // the worker
	sort, err := r.unsigned("note")
	if err != nil {
		return err
	}
	e.Started = sort == 1
	e.Share, err = r.float("share done")
	return err
}

func (r *Reader) echo(e *Event) error {
	name, err := r.text("worker")
	if err != nil {
		return err
	}
	e.Worker = r.intern(name)
	if _, ok := outcomes[string(r.word())]; !ok {
		return r.bad("unknown outcome")
	}
	if _, err := r.seconds(); err != nil {
		return err
	}
	return r.load(&e.Result)
}

func (r *Reader) headers(e *Event) (err error) {
	if e.Result.ID, err = r.copied("request id"); err != nil {
		return err
	}
	r.word() // the worker
	if e.Result.Attempt, err = r.index("attempt"); err != nil {
		return err
	}
	_, err = r.seconds()
	return err
}

func (r *Reader) members(e *Event) error {
	if _, err := r.unsigned("version"); err != nil {
		return err
	}
	slot := r.word()
	switch mode := r.word(); string(mode) {
	case "patch":
		e.List = sedgevale.ListPatch
	case "whole":
		e.List = sedgevale.ListWhole
	case "stale_copy":
		e.List = sedgevale.ListStale
	case "broken":
		e.List = sedgevale.ListBroken
		return nil
	default:
		return r.bad("unknown list mode")
	}
	n, err := r.number(slot, "list number")
	if err != nil {
		return err
	}
	if n >= lists || !r.known[n] {
		return r.bad("list number never sent")
	}
	e.Entries = r.lists[n]
	return nil
}

func (r *Reader) list() error {
	head := string(r.line)
	n, err := r.index("list number")
	if err != nil {
		return err
	}
	count, err := r.index("count of entries")
	if err != nil {
		return err
	}
	if err := r.done(); err != nil {
		return err
	}
	if n >= lists {
		return r.bad("list number over 15")
	}
	rows := make([]sedgevale.WorkerInfo, 0, min(count, 4096))
	for range count {
		if err := r.readLine(); err != nil {
			return err
		}
		if word := r.word(); string(word) != "ITEM" {
			return &SyntaxError{head, fmt.Sprintf("%d entries announced, %d found", count, len(rows))}
		}
		var w sedgevale.WorkerInfo
		if err := r.item(&w); err != nil {
			return err
		}
		rows = append(rows, w)
	}
	r.lists[n], r.known[n] = rows, true
	return nil
}

func (r *Reader) item(w *sedgevale.WorkerInfo) (err error) {
	name, err := r.text("worker")
	if err != nil {
		return err
	}
	w.Worker = r.intern(name)
	if w.Zone, err = r.index("zone"); err != nil {
		return err
	}
	if w.Kind, err = r.index("kind"); err != nil {
		return err
	}
	if w.Cell, err = r.index("group"); err != nil {
		return err
	}
	switch state := r.word(); string(state) {
	case "active":
		w.State = sedgevale.Active
	case "leaving":
		w.State = sedgevale.Leaving
	case "left":
		w.State = sedgevale.Left
	default:
		return r.bad("unknown state")
	}
	if w.Weight, err = r.float("weight"); err != nil {
		return err
	}
	if w.StartedAt, err = r.seconds(); err != nil {
		return err
	}
	return r.done()
}
