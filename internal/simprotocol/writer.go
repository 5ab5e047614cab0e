package simprotocol

import (
	"strconv"
	"strings"
	"time"
)

// Writer encodes the reply to a batch. It implements dispatcher.Host: each method appends an
// action to the reply.
type Writer struct {
	buf      []byte
	instance string // the instance of the actions that follow
	named    bool   // the reply has an AT line for the instance
}

// SetInstance sets the instance to which the actions that follow belong. An instance without
// actions does not appear in the reply.
func (w *Writer) SetInstance(instance string) {
	if w.instance != instance {
		w.instance, w.named = instance, false
	}
}

func (w *Writer) beginAction(name string) {
	if !w.named {
		w.buf = append(append(append(w.buf, "AT "...), w.instance...), '\n')
		w.named = true
	}
	w.buf = append(w.buf, name...)
}

func (w *Writer) appendText(s string) { w.buf = append(append(w.buf, ' '), s...) }

func (w *Writer) appendUint(v uint64) { w.buf = strconv.AppendUint(append(w.buf, ' '), v, 10) }

func (w *Writer) appendSeconds(d time.Duration) {
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

func (w *Writer) endAction() { w.buf = append(w.buf, '\n') }

// Send appends the dispatch of an attempt to a worker.
func (w *Writer) Send(id, worker string, timeout time.Duration) {
	w.beginAction("ISSUE")
	w.appendText(id)
	w.appendText(worker)
	w.appendSeconds(timeout)
	w.endAction()
}

// Reject appends the rejection of a request with a retry delay.
func (w *Writer) Reject(id string, after time.Duration) {
	w.beginAction("OVERLOAD_REPLY")
	w.appendText(id)
	w.appendSeconds(after)
	w.endAction()
}

// Fail appends the failure of a request.
func (w *Writer) Fail(id string) {
	w.beginAction("FINISH_ERROR")
	w.appendText(id)
	w.endAction()
}

// Cancel appends the cancellation of an attempt.
func (w *Writer) Cancel(id string, attempt int) {
	w.beginAction("WITHDRAW")
	w.appendText(id)
	w.appendUint(uint64(attempt))
	w.endAction()
}

// SetTimer appends a timer, which fires with the token after a delay.
func (w *Writer) SetTimer(after time.Duration, token uint64) {
	w.beginAction("WAKE_ME")
	w.appendSeconds(after)
	w.appendUint(token)
	w.endAction()
}

// Probe appends a load probe of a worker.
func (w *Writer) Probe(worker string) {
	w.beginAction("SOUND_OUT")
	w.appendText(worker)
	w.endAction()
}

// CloseIdleConnections appends that the idle connections to a worker are to be closed.
func (w *Writer) CloseIdleConnections(worker string) {
	w.beginAction("RELEASE")
	w.appendText(worker)
	w.endAction()
}

// WatchWorkers appends a subscription to the list of workers.
func (w *Writer) WatchWorkers() {
	w.beginAction("SUBSCRIBE")
	w.appendUint(1)
	w.endAction()
}

// Log appends a line for the simulator's report.
func (w *Writer) Log(text string) {
	w.beginAction("WRITE_LOG")
	w.appendText(oneLine(text))
	w.endAction()
}

// Fatal appends a failure of the decision module, which ends the simulated day.
func (w *Writer) Fatal(text string) {
	w.beginAction("FATAL")
	w.appendText(oneLine(text))
	w.endAction()
}

func oneLine(s string) string { return strings.Join(strings.Fields(s), " ") }

// Finish completes the reply to the batch of a sequence number and returns it. The reply is
// valid until the next call of any method.
func (w *Writer) Finish(seq string) []byte {
	w.buf = append(w.buf, "FINISHED "...)
	w.buf = append(append(w.buf, seq...), '\n')
	out := w.buf
	w.buf, w.instance, w.named = w.buf[:0], "", false
	return out
}
