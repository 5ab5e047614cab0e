// Benchlink hosts instances of the decision module for the simulator. It speaks the
// protocol of package wire on standard input and output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sedgevale/dispatcher"
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
	link := &link{instances: map[string]*dispatcher.Dispatcher{}}
	for {
		seq, err := reader.Batch()
		if errors.Is(err, io.EOF) {
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
			link.out.SetInstance(reader.Instance())
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

// errFatal marks errors that end the simulated day, but not the program.
var errFatal = errors.New("event not acted on")

// link is the instances of a program and the reply to the current batch.
type link struct {
	out       wire.Writer
	instances map[string]*dispatcher.Dispatcher
}

// batch passes on the events of a batch.
func (l *link) batch(reader *wire.Reader) error {
	for {
		e, err := reader.Next()
		if e == nil || err != nil {
			return err
		}
		l.out.SetInstance(e.Instance)
		if err := l.event(e); err != nil {
			return fmt.Errorf("%w: %s: %w", errFatal, e.Instance, err)
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
	case wire.InstanceStarted:
		d, err := dispatcher.New(e.Settings, e.Seed, &l.out)
		if err != nil {
			return err
		}
		l.instances[e.Instance] = d
		return nil
	case wire.InstanceKilled:
		delete(l.instances, e.Instance)
		return nil
	}
	d := l.instances[e.Instance]
	if d == nil {
		return errors.New("no such instance")
	}
	return deliver(d, e)
}

// deliver passes an event on to its instance.
func deliver(d *dispatcher.Dispatcher, e *wire.Event) error {
	id, n := e.Result.ID, e.Result.Attempt
	switch e.Kind {
	case wire.WorkersUpdated:
		d.WorkersUpdated(e.Now, e.ListKind, e.Entries)
	case wire.RequestArrived:
		return d.SubmitRequest(e.Now, e.Request)
	case wire.AttemptEnded:
		return d.AttemptEnded(e.Now, e.Result)
	case wire.AttemptNotice:
		if e.Started {
			return d.AttemptStarted(e.Now, id, n)
		}
		return d.AttemptProgressed(e.Now, id, n, e.Progress)
	case wire.StreamStarted:
		return d.StreamStarted(e.Now, id, n)
	case wire.ProbeResult:
		d.ProbeResult(e.Now, e.Worker, e.Result.Report)
	case wire.ClientDisconnected:
		d.ClientDisconnected(e.Now, id)
	case wire.TimerFired:
		d.TimerFired(e.Now, e.Token)
	}
	return nil
}
