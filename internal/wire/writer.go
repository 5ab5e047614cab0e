package wire

import (
	"strconv"
	"strings"
	"time"
)

// Writer builds the reply to a batch.
type Writer struct {
	buf      []byte
	instance string // to which the next actions belong
	said     bool   // it has been named in the reply
}

// About names the instance of the actions that follow.
func (w *Writer) About(instance string) {
	if w.instance != instance {
		w.instance, w.said = instance, false
	}
}

func (w *Writer) start(name string) {
	if !w.said {
		w.buf = append(append(append(w.buf, "AT "...), w.instance...), '\n')
		w.said = true
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

// Send adds an attempt.
func (w *Writer) Send(id, worker string, timeout time.Duration) {
	w.start("ISSUE")
	w.text(id)
	w.text(worker)
	w.seconds(timeout)
	w.end()
}

// Reject ends a request unserved.
func (w *Writer) Reject(id string, after time.Duration) {
	w.start("OVERLOAD_REPLY")
	w.text(id)
	w.seconds(after)
	w.end()
}

// Fail ends a request with an error.
func (w *Writer) Fail(id string) {
	w.start("FINISH_ERROR")
	w.text(id)
	w.end()
}

// Cancel calls an attempt off.
func (w *Writer) Cancel(id string, attempt int) {
	w.start("WITHDRAW")
	w.text(id)
	w.number(uint64(attempt))
	w.end()
}

// SetTimer asks for a wake-up.
func (w *Writer) SetTimer(after time.Duration, token uint64) {
	w.start("WAKE_ME")
	w.seconds(after)
	w.number(token)
	w.end()
}

// Probe asks a worker for its load.
func (w *Writer) Probe(worker string) {
	w.start("SOUND_OUT")
	w.text(worker)
	w.end()
}

// CloseIdleConnections gives back the connections that carry nothing.
func (w *Writer) CloseIdleConnections(worker string) {
	w.start("RELEASE")
	w.text(worker)
	w.end()
}

// WatchWorkers subscribes to the list of workers.
func (w *Writer) WatchWorkers() {
	w.start("SUBSCRIBE")
	w.number(1)
	w.end()
}

// Log adds a line for the report.
func (w *Writer) Log(text string) {
	w.start("WRITE_LOG")
	w.text(oneLine(text))
	w.end()
}

// Fatal declares that the decision code has failed.
func (w *Writer) Fatal(text string) {
	w.start("FATAL")
	w.text(oneLine(text))
	w.end()
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Finish closes the reply to the batch and returns it; it is valid until the
// next action.
func (w *Writer) Finish(seq string) []byte {
	w.buf = append(w.buf, "FINISHED "...)
	w.buf = append(append(w.buf, seq...), '\n')
	out := w.buf
	w.buf, w.instance, w.said = w.buf[:0], "", false
	return out
}
