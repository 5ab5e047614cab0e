// Benchlink hosts sedgevale dispatchers for the bench: it reads events from standard input and writes the dispatchers'
// actions to standard output, in the protocol of package wire.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sedgevale"
	"sedgevale/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run answers batches until the input ends. An event that cannot be applied is reported as fatal, and the rest of its
// batch is skipped.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	h := &host{instances: map[string]*sedgevale.Dispatcher{}}
	for {
		seq, err := reader.Batch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := h.applyBatch(reader); err != nil {
			var syntax *wire.SyntaxError
			if !errors.As(err, &syntax) && !errors.Is(err, errNotApplied) {
				return err
			}
			h.out.About(reader.Instance())
			h.out.Fatal(err.Error())
			if err := reader.Skip(); err != nil {
				return err
			}
		}
		if _, err := out.Write(h.out.Finish(seq)); err != nil {
			return err
		}
	}
}

// errNotApplied marks errors of one event, after which the program goes on with the next batch.
var errNotApplied = errors.New("event not acted on")

// host holds the dispatchers.
type host struct {
	out       wire.Writer // the reply to the present batch
	instances map[string]*sedgevale.Dispatcher
}

// applyBatch applies the events of a batch.
func (h *host) applyBatch(reader *wire.Reader) error {
	for {
		e, err := reader.Next()
		if e == nil || err != nil {
			return err
		}
		h.out.About(e.Instance)
		if err := h.applyEvent(e); err != nil {
			return fmt.Errorf("%w: %s: %w", errNotApplied, e.Instance, err)
		}
	}
}

// applyEvent applies an event to its instance. A panic becomes an error.
func (h *host) applyEvent(e *wire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	switch e.Kind {
	case wire.Begin:
		d, err := sedgevale.New(e.Settings, e.Seed, &h.out)
		if err != nil {
			return err
		}
		h.instances[e.Instance] = d
		return nil
	case wire.Kill:
		delete(h.instances, e.Instance)
		return nil
	}
	d := h.instances[e.Instance]
	if d == nil {
		return errors.New("no such instance")
	}
	return deliver(d, e)
}

// deliver calls the method of a dispatcher that an event stands for.
func deliver(d *sedgevale.Dispatcher, e *wire.Event) error {
	id, n := e.Result.ID, e.Result.Attempt
	switch e.Kind {
	case wire.Members:
		d.WorkersUpdated(e.Now, e.List, e.Entries)
	case wire.Knock:
		return d.SubmitRequest(e.Now, e.Request)
	case wire.Answer:
		return d.AttemptEnded(e.Now, e.Result)
	case wire.Note:
		if e.Started {
			return d.AttemptStarted(e.Now, id, n)
		}
		return d.AttemptProgressed(e.Now, id, n, e.Share)
	case wire.Headers:
		return d.StreamStarted(e.Now, id, n)
	case wire.Echo:
		d.ProbeResult(e.Now, e.Worker, e.Result.Report)
	case wire.Gone:
		d.ClientDisconnected(e.Now, id)
	case wire.Wake:
		d.TimerFired(e.Now, e.Token)
	}
	return nil
}
