package sedgevale

// Workers that are left alone for a while: those that reject or fail jobs, and those that may have crashed.

import (
	"time"
)

const (
	badGain      = 0.25 // EWMA weight of one answer in a worker's share of errors
	badMost      = 0.4  // a worker with a larger share of errors is left alone
	restFirst    = 100 * time.Millisecond
	restMost     = 2 * time.Second
	backoffFirst = 500 * time.Millisecond // a worker that failed is left alone at first for so long
	backoffMost  = 8 * time.Second
)

// rest leaves a worker alone for a while that answers, but turns jobs away or fails them, twice as long
// each time until it serves one. It guards against workers that draw all jobs because they keep none.
func (d *Dispatcher) rest(now time.Duration, w *worker) {
	if now >= w.rest {
		w.restFor = min(max(restFirst, 2*w.restFor), restMost)
		w.rest = now + w.restFor/2 + time.Duration(d.rng.Int64N(int64(w.restFor)))
	}
}

// doubt leaves a worker alone for a while after an attempt that was lost there
// or found no connection, twice as long each time. Then it gets one job, and
// others once that has brought a sign. It guards against crashed workers still listed.
func (d *Dispatcher) doubt(now time.Duration, w *worker) {
	if now < w.suspect {
		return
	}
	w.backoff = min(max(backoffFirst, 2*w.backoff), backoffMost)
	w.suspect = now + w.backoff/2 + time.Duration(d.rng.Int64N(int64(w.backoff)))
}
