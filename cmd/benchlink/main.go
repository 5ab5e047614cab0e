// Benchlink hosts sedgevale dispatchers on the bench's wire, on standard input
// and output.
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

// run answers batches until the input ends.
func run(in io.Reader, out io.Writer) error {
	reader := wire.NewReader(in)
	link := &link{instances: map[string]*sedgevale.Dispatcher{}}
	for {
		seq, err := reader.Batch()
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		if err := link.batch(reader); err != nil {
			var syntax *wire.SyntaxError
			if !errors.As(err, &syntax) && !errors.Is(err, errFatal) {
				return err
			}
			link.out.About(reader.Instance())
			link.out.Fatal(err.Error())
			if err := reader.Skip(); err != nil {
				return err
			}
		}
		if _, err := out.Write(link.out.Finish(seq)); err != nil {
			return err
		}
	}
}

// errFatal marks errors that end the day, but not the program.
var errFatal = errors.New("event not acted on")

type link struct {
	out       wire.Writer
	instances map[string]*sedgevale.Dispatcher
}

func (l *link) batch(reader *wire.Reader) error {
	for {
		e, err := reader.Next()
		if e == nil || err != nil {
			return err
		}
		l.out.About(e.Instance)
		if err := l.event(e); err != nil {
			return fmt.Errorf("%w: %s: %v", errFatal, e.Instance, err)
		}
	}
}

// event passes an event on; a panic becomes an error.
func (l *link) event(e *wire.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	switch e.Kind {
	case wire.Begin:
		d, err := sedgevale.New(e.Settings, e.Seed, &l.out)
		if err != nil {
			return err
		}
		l.instances[e.Instance] = d
		return nil
	case wire.Kill:
		delete(l.instances, e.Instance)
		return nil
	}
	d := l.instances[e.Instance]
	if d == nil {
		return errors.New("no such instance")
	}
	return deliver(d, e)
}

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
