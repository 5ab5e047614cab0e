// Package simprotocol reads and writes zinc-4b3b, the line-based text protocol between cmd/benchlink and
// the simulator that scores the decision module: a Reader parses batches of events, a Writer
// encodes replies with actions. The keywords are the protocol's; identifiers follow the decision
// module (package dispatcher).
package simprotocol

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"sedgevale/dispatcher"
)

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	InstanceStarted EventKind = iota + 1
	InstanceKilled
	WorkersUpdated
	RequestArrived
	StreamStarted
	AttemptNotice
	AttemptEnded
	ClientDisconnected
	TimerFired
	ProbeResult
	PeerMessage
)

// Event is an event for one instance of the decision module. Only the fields of its
// kind are set. The memory of Entries and Result.Report is reused by the next event.
type Event struct {
	Kind     EventKind
	Instance string
	Now      time.Duration

	Seed     uint64                   // InstanceStarted
	Settings dispatcher.Settings      // InstanceStarted
	ListKind dispatcher.UpdateKind    // WorkersUpdated
	Entries  []dispatcher.WorkerInfo  // WorkersUpdated
	Request  dispatcher.Request       // RequestArrived
	Result   dispatcher.AttemptResult // AttemptEnded; other events of a request or attempt set ID and Attempt, ProbeResult sets Report
	Worker   string                   // ProbeResult
	Started  bool                     // AttemptNotice: true if the attempt has started, false if it has progressed
	Progress float64                  // AttemptNotice: completed fraction of the attempt, 0 to 1
	Token    uint64                   // TimerFired
}

// SyntaxError reports a line that violates the protocol.
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

// maxLists bounds the numbers of worker lists, which are below it.
const maxLists = 16

// Reader parses batches of events.
type Reader struct {
	in       *bufio.Reader
	longLine []byte // holds a line that is longer than the buffer of in
	line     []byte // the current line
	unread   []byte // the unread fields of line; nil at its end
	now      time.Duration
	instance string
	names    map[string]string // interned names of instances and workers
	lists    [maxLists][]dispatcher.WorkerInfo
	received [maxLists]bool // numbers for which a list has been received
	event    Event          // the event that NextEvent has returned last, reused
	report   dispatcher.LoadReport
}

// NewReader returns a Reader that reads from in.
func NewReader(in io.Reader) *Reader {
	return &Reader{in: bufio.NewReaderSize(in, 1<<18), names: map[string]string{}}
}

// NextBatch reads the line that opens a batch and returns the batch's sequence number. The
// error is io.EOF at the end of the input, or a [*SyntaxError].
func (r *Reader) NextBatch() (seq string, err error) {
	if err := r.readLine(); err != nil {
		return "", err
	}
	r.instance = ""
	if keyword := r.nextField(); string(keyword) != "MARK" {
		return "", r.syntaxError("a batch must open with MARK")
	}
	now, err := r.timeField()
	if err != nil {
		return "", err
	}
	if _, err := strconv.ParseUint(string(r.unread), 10, 64); err != nil {
		return "", r.syntaxError("bad batch number")
	}
	r.now = now
	return string(r.unread), nil
}

// NextEvent returns the next event of the batch, or nil after the last one. The event is valid
// until the next call. After a [*SyntaxError], [Reader.SkipBatch] skips the rest of the batch.
func (r *Reader) NextEvent() (*Event, error) {
	for {
		if err := r.readLine(); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return nil, err
		}
		switch keyword := r.nextField(); string(keyword) {
		case "GO":
			return nil, r.endOfLine()
		case "ABOUT":
			name, err := r.requiredField("instance")
			if err != nil {
				return nil, err
			}
			r.instance = r.intern(name)
			if err := r.endOfLine(); err != nil {
				return nil, err
			}
		case "SNAPSHOT_ROWS":
			if err := r.readList(); err != nil {
				return nil, err
			}
		default:
			if err := r.parse(string(keyword)); err != nil {
				return nil, err
			}
			if r.instance == "" {
				return nil, r.syntaxError("event before any ABOUT")
			}
			return &r.event, nil
		}
	}
}

// Instance returns the instance that the last ABOUT line of the batch has named.
func (r *Reader) Instance() string { return r.instance }

// SkipBatch reads and discards the remaining lines of the batch.
func (r *Reader) SkipBatch() error {
	for !bytes.Equal(r.line, []byte("GO")) {
		if err := r.readLine(); err != nil {
			return err
		}
	}
	return nil
}

// parse parses the event of a line after its keyword.
func (r *Reader) parse(keyword string) error {
	e := &r.event
	entries := e.Entries
	*e = Event{Instance: r.instance, Now: r.now, Entries: entries[:0]}
	var err error
	switch keyword {
	case "KNOCK":
		e.Kind, err = RequestArrived, r.readRequest(&e.Request)
	case "ANSWER":
		e.Kind, err = AttemptEnded, r.readResult(&e.Result)
	case "STATUS_NOTE":
		e.Kind, err = AttemptNotice, r.readNotice(e)
	case "WAKE":
		e.Kind = TimerFired
		e.Token, err = r.optionalUint("token")
	case "MEMBERS":
		e.Kind, err = WorkersUpdated, r.readUpdate(e)
	case "HEADERS":
		e.Kind, err = StreamStarted, r.readStreamStart(e)
	case "CLIENT_GONE":
		e.Kind = ClientDisconnected
		e.Result.ID, err = r.requestID()
	case "BEGIN":
		e.Kind = InstanceStarted
		if e.Seed, err = r.seedField(); err == nil {
			if e.Settings, err = ParseSettings(string(r.unread)); err != nil {
				err = r.syntaxError(err.Error())
			}
			r.unread = nil
		}
	case "KILL":
		e.Kind = InstanceKilled
	case "ECHO":
		e.Kind, err = ProbeResult, r.readProbeResult(e)
	case "MESSAGE":
		e.Kind, err = PeerMessage, r.skipFields(2)
	default:
		return r.syntaxError("unknown message")
	}
	if err != nil {
		return err
	}
	return r.endOfLine()
}

func (r *Reader) readRequest(q *dispatcher.Request) (err error) {
	if q.ID, err = r.requestID(); err != nil {
		return err
	}
	if q.Class, err = r.optionalIndex("class"); err != nil {
		return err
	}
	tenant := r.nextField()
	q.Tenant = -1
	if !isAbsent(tenant) {
		if q.Tenant, err = r.parseNumber(tenant, "tenant"); err != nil {
			return err
		}
	}
	if key := r.nextField(); !isAbsent(key) {
		q.AffinityKey = string(key)
	}
	if q.RemainingTimeout, err = r.timeField(); err != nil {
		return err
	}
	if q.RuntimeHint, err = r.timeField(); err != nil {
		return err
	}
	if q.Slots, err = r.optionalFloat("slots"); err != nil {
		return err
	}
	if _, err = r.optionalFloat("memory"); err != nil {
		return err
	}
	flags, err := r.optionalUint("flags")
	if err != nil {
		return err
	}
	if flags&1 == 0 {
		q.RuntimeHint = 0
	}
	q.ClientRetry = flags&2 != 0
	return nil
}

func (r *Reader) readResult(a *dispatcher.AttemptResult) (err error) {
	if a.ID, err = r.requestID(); err != nil {
		return err
	}
	if a.Attempt, err = r.optionalIndex("attempt"); err != nil {
		return err
	}
	r.nextField() // the worker, which the attempt number implies
	status := r.nextField()
	o, ok := outcomes[string(status)]
	if !ok {
		return r.syntaxError("unknown outcome")
	}
	a.Outcome = o
	if _, err = r.timeField(); err != nil {
		return err
	}
	if a.ClientAnswered, err = r.boolField(); err != nil {
		return err
	}
	r.nextField() // a note that the decision module does not use
	return r.readReport(a)
}

var outcomes = map[string]dispatcher.Outcome{
	"pass": dispatcher.Served, "fault": dispatcher.Errored, "no_room": dispatcher.Rejected,
	"too_slow": dispatcher.TimedOut, "no_route": dispatcher.ConnectFailed, "cut": dispatcher.ConnectionLost,
	"undone": dispatcher.Cancelled, "stale_send": dispatcher.NotSent,
}

func (r *Reader) readReport(a *dispatcher.AttemptResult) error {
	rest := r.nextField()
	if isAbsent(rest) {
		return nil
	}
	r.report = dispatcher.LoadReport{}
	for len(rest) > 0 {
		pair := rest
		if i := bytes.IndexByte(rest, ','); i >= 0 {
			pair, rest = rest[:i], rest[i+1:]
		} else {
			rest = nil
		}
		i := bytes.IndexByte(pair, ':')
		if i < 0 {
			return r.syntaxError("load report without a colon")
		}
		v, err := parseFloat(pair[i+1:])
		if err != nil {
			return r.syntaxError("bad load report value")
		}
		switch string(pair[:i]) {
		case "x0":
			r.report.HasFreeSlots, r.report.FreeSlots = true, v
		case "rif":
			r.report.HasInFlight, r.report.InFlight = true, v
		}
	}
	a.Report = &r.report
	return nil
}

func (r *Reader) readNotice(e *Event) (err error) {
	if e.Result.ID, err = r.requestID(); err != nil {
		return err
	}
	if e.Result.Attempt, err = r.optionalIndex("attempt"); err != nil {
		return err
	}
	r.nextField() // the worker
	note, err := r.optionalUint("note")
	if err != nil {
		return err
	}
	e.Started = note == 1
	e.Progress, err = r.optionalFloat("share done")
	return err
}

func (r *Reader) readProbeResult(e *Event) error {
	name, err := r.requiredField("worker")
	if err != nil {
		return err
	}
	e.Worker = r.intern(name)
	if _, ok := outcomes[string(r.nextField())]; !ok {
		return r.syntaxError("unknown outcome")
	}
	if _, err := r.timeField(); err != nil {
		return err
	}
	return r.readReport(&e.Result)
}

func (r *Reader) readStreamStart(e *Event) (err error) {
	if e.Result.ID, err = r.requestID(); err != nil {
		return err
	}
	r.nextField() // the worker
	if e.Result.Attempt, err = r.optionalIndex("attempt"); err != nil {
		return err
	}
	_, err = r.timeField()
	return err
}

func (r *Reader) readUpdate(e *Event) error {
	if _, err := r.optionalUint("version"); err != nil {
		return err
	}
	slot := r.nextField()
	switch mode := r.nextField(); string(mode) {
	case "patch":
		e.ListKind = dispatcher.UpdateDelta
	case "whole":
		e.ListKind = dispatcher.UpdateFull
	case "stale_copy":
		e.ListKind = dispatcher.UpdateStale
	case "broken":
		e.ListKind = dispatcher.UpdateFailed
		return nil
	default:
		return r.syntaxError("unknown list mode")
	}
	n, err := r.parseNumber(slot, "list number")
	if err != nil {
		return err
	}
	if n >= maxLists || !r.received[n] {
		return r.syntaxError("list number never sent")
	}
	e.Entries = r.lists[n]
	return nil
}

func (r *Reader) readList() error {
	head := string(r.line)
	n, err := r.optionalIndex("list number")
	if err != nil {
		return err
	}
	count, err := r.optionalIndex("count of entries")
	if err != nil {
		return err
	}
	if err := r.endOfLine(); err != nil {
		return err
	}
	if n >= maxLists {
		return r.syntaxError("list number over 15")
	}
	rows := make([]dispatcher.WorkerInfo, 0, min(count, 4096))
	for range count {
		if err := r.readLine(); err != nil {
			return err
		}
		if keyword := r.nextField(); string(keyword) != "ITEM" {
			return &SyntaxError{head, fmt.Sprintf("%d entries announced, %d found", count, len(rows))}
		}
		var w dispatcher.WorkerInfo
		if err := r.readWorker(&w); err != nil {
			return err
		}
		rows = append(rows, w)
	}
	r.lists[n], r.received[n] = rows, true
	return nil
}

func (r *Reader) readWorker(w *dispatcher.WorkerInfo) (err error) {
	name, err := r.requiredField("worker")
	if err != nil {
		return err
	}
	w.Name = r.intern(name)
	if w.Zone, err = r.optionalIndex("zone"); err != nil {
		return err
	}
	if w.Kind, err = r.optionalIndex("kind"); err != nil {
		return err
	}
	if w.Cell, err = r.optionalIndex("group"); err != nil {
		return err
	}
	switch state := r.nextField(); string(state) {
	case "active":
		w.State = dispatcher.Active
	case "leaving":
		w.State = dispatcher.Draining
	case "left":
		w.State = dispatcher.Removed
	default:
		return r.syntaxError("unknown state")
	}
	if w.Weight, err = r.optionalFloat("weight"); err != nil {
		return err
	}
	if w.StartedAt, err = r.timeField(); err != nil {
		return err
	}
	return r.endOfLine()
}
