package wire

import (
	"strconv"
	"strings"
	"time"
)

// Writer builds the reply to a batch. It implements [sedgevale.Host]: each call adds an
// action.
type Writer struct {
	buf      []byte
	instance string // of the next actions
	named    bool   // the reply has named it
}

// SetInstance sets the instance of the actions that follow.
func (w *Writer) SetInstance(instance string) {
	if w.instance != instance {
		w.instance, w.named = instance, false
	}
}

func (w *Writer) start(name string) {
	if !w.named {
		w.buf = append(append(append(w.buf, "AT "...), w.instance...), '\n')
		w.named = true
	}
	w.buf = append(w.buf, name...)
}

func (w *Writer) text(s string) { w.buf = append(append(w.buf, ' '), s...) }

func (w *Writer) number(v uint64) { w.buf = strconv.AppendUint(append(w.buf, ' '), v, 10) }

func (w *Writer) seconds(d time.Duration) {
	us := uint64(max(0, d) / time.Microsecond)
	w.buf = strconv.AppendUint(append(w.buf, ' '), us/1e6, 10)
	if frac := us % 1e6; frac > 0 {
		w.buf = append(w.buf, '.')
		for div := uint64(1e5); div > 0 && frac > 0; div /= 10 {
			w.buf = append(w.buf, byte('0'+frac/div))
			frac %= div
		}
	}
}

func (w *Writer) end() { w.buf = append(w.buf, '\n') }

// Send adds the send of an attempt.
func (w *Writer) Send(id, worker string, timeout time.Duration) {
	w.start("ISSUE")
	w.text(id)
	w.text(worker)
	w.seconds(timeout)
	w.end()
}

// Reject adds the rejection of a request.
func (w *Writer) Reject(id string, after time.Duration) {
	w.start("OVERLOAD_REPLY")
	w.text(id)
	w.seconds(after)
	w.end()
}

// Fail adds the failure of a request.
func (w *Writer) Fail(id string) {
	w.start("FINISH_ERROR")
	w.text(id)
	w.end()
}

// Cancel adds the cancellation of an attempt.
func (w *Writer) Cancel(id string, attempt int) {
	w.start("WITHDRAW")
	w.text(id)
	w.number(uint64(attempt))
	w.end()
}

// SetTimer adds a timer.
func (w *Writer) SetTimer(after time.Duration, token uint64) {
	w.start("WAKE_ME")
	w.seconds(after)
	w.number(token)
	w.end()
}

// Probe adds a probe of a worker's load.
func (w *Writer) Probe(worker string) {
	w.start("SOUND_OUT")
	w.text(worker)
	w.end()
}

// CloseIdleConnections adds the closing of idle connections to a worker.
func (w *Writer) CloseIdleConnections(worker string) {
	w.start("RELEASE")
	w.text(worker)
	w.end()
}

// WatchWorkers adds a subscription to the list of workers.
func (w *Writer) WatchWorkers() {
	w.start("SUBSCRIBE")
	w.number(1)
	w.end()
}

// Log adds a line to the simulator's report.
func (w *Writer) Log(text string) {
	w.start("WRITE_LOG")
	w.text(oneLine(text))
	w.end()
}

// Fatal adds that the decision module has failed.
func (w *Writer) Fatal(text string) {
	w.start("FATAL")
	w.text(oneLine(text))
	w.end()
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Finish ends the reply to the batch and returns it; it is valid until the next action.
func (w *Writer) Finish(seq string) []byte {
	w.buf = append(w.buf, "FINISHED "...)
	w.buf = append(append(w.buf, seq...), '\n')
	out := w.buf
	w.buf, w.instance, w.named = w.buf[:0], "", false
	return out
}
