// Benchlink runs instances of the decision module (package dispatcher) for the simulator
// that scores it. It speaks the protocol of package simprotocol on standard input and output.
package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"sedgevale/dispatcher"
	"sedgevale/internal/simprotocol"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "benchlink:", err)
		os.Exit(1)
	}
}

// run replies to batches until the input ends. An error in a batch is reported in a FATAL
// line, and the rest of the batch is skipped.
func run(in io.Reader, out io.Writer) error {
	reader := simprotocol.NewReader(in)
	host := &instanceHost{instances: map[string]*dispatcher.Dispatcher{}}
	for {
		seq, err := reader.NextBatch()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := host.handleBatch(reader); err != nil {
			var syntax *simprotocol.SyntaxError
			if !errors.As(err, &syntax) && !errors.Is(err, errEventFailed) {
				return err
			}
			host.reply.SetInstance(reader.Instance())
			host.reply.Fatal(err.Error())
			if err := reader.SkipBatch(); err != nil {
				return err
			}
		}
		if _, err := out.Write(host.reply.Finish(seq)); err != nil {
			return err
		}
	}
}

// errEventFailed marks an event that an instance could not handle. It ends the simulated day, but not the program.
var errEventFailed = errors.New("event not acted on")

// instanceHost holds the running instances and the reply to the current batch.
type instanceHost struct {
	reply     simprotocol.Writer
	instances map[string]*dispatcher.Dispatcher
}

// handleBatch delivers the events of a batch to their instances.
func (h *instanceHost) handleBatch(reader *simprotocol.Reader) error {
	for {
		e, err := reader.NextEvent()
		if e == nil || err != nil {
			return err
		}
		h.reply.SetInstance(e.Instance)
		if err := h.handleEvent(e); err != nil {
			return fmt.Errorf("%w: %s: %w", errEventFailed, e.Instance, err)
		}
	}
}

// handleEvent starts or stops an instance, or delivers an event to it. A panic of the instance becomes an error.
func (h *instanceHost) handleEvent(e *simprotocol.Event) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("panic: %v", p)
		}
	}()
	switch e.Kind {
	case simprotocol.InstanceStarted:
		d, err := dispatcher.New(e.Settings, e.Seed, &h.reply)
		if err != nil {
			return err
		}
		h.instances[e.Instance] = d
		return nil
	case simprotocol.InstanceKilled:
		delete(h.instances, e.Instance)
		return nil
	}
	d := h.instances[e.Instance]
	if d == nil {
		return errors.New("no such instance")
	}
	return deliver(d, e)
}

// deliver calls the method of an instance that handles the event.
func deliver(d *dispatcher.Dispatcher, e *simprotocol.Event) error {
	id, attempt := e.Result.ID, e.Result.Attempt
	switch e.Kind {
	case simprotocol.WorkersUpdated:
		d.WorkersUpdated(e.Now, e.ListKind, e.Entries)
	case simprotocol.RequestArrived:
		return d.SubmitRequest(e.Now, e.Request)
	case simprotocol.AttemptEnded:
		return d.AttemptEnded(e.Now, e.Result)
	case simprotocol.AttemptNotice:
		if e.Started {
			return d.AttemptStarted(e.Now, id, attempt)
		}
		return d.AttemptProgressed(e.Now, id, attempt, e.Progress)
	case simprotocol.StreamStarted:
		return d.StreamStarted(e.Now, id, attempt)
	case simprotocol.ProbeResult:
		d.ProbeResult(e.Now, e.Worker, e.Result.Report)
	case simprotocol.ClientDisconnected:
		d.ClientDisconnected(e.Now, id)
	case simprotocol.TimerFired:
		d.TimerFired(e.Now, e.Token)
	}
	return nil
}
