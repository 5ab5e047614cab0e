package dispatcher

import "time"

// This file handles timers.

// TimerFired reports that a timer set by [Host.SetTimer] has fired.
func (d *Dispatcher) TimerFired(now time.Duration, token uint64) {
	d.detectStall(now)
	kind, r, n := token&15, d.requests.bySerial[token>>9], int(token>>4&31)
	// A request that has already ended counts as started promptly.
	if kind == tokenStartDue && !d.rounds.catchingUp && (r == nil || !r.attempts[n].startOverdue) {
		d.connections.observeStart(r == nil || r.attempts[n].startedAt > 0)
	}
	switch kind {
	case tokenRound:
		d.endRound(now)
	case tokenWatch:
		d.host.WatchWorkers()
	case tokenCaughtUp:
		d.rounds.catchingUp = false
		d.releasePending(now)
	default:
		if r != nil && !r.ended {
			d.requestTimerFired(now, kind, r, n)
		}
	}
}

func (d *Dispatcher) requestTimerFired(now time.Duration, kind uint64, r *request, n int) {
	switch kind {
	case tokenStartDue:
		if d.rounds.catchingUp { // the start notice may be among the events that have not been read yet
			d.setTimer(catchUpDelay, kind, r, n)
			return
		}
		d.handleOverdueStart(now, r, n)
	case tokenProbe:
		d.releasePending(now)
	case tokenSendBy:
		if !r.queued || now < r.sendBy {
			return
		}
		if r.inFlight > 0 { // no worker was found for a hedged attempt; the attempt in flight continues
			d.removePending(r)
			return
		}
		d.rejectOrFail(now, r)
	case tokenDeadline:
		if !r.streaming {
			d.rejectOrFail(now, r)
		}
	}
}
