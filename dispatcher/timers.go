package dispatcher

import "time"

// Timers.

// TimerFired reports that the time asked for by [Host.SetTimer] has passed.
func (d *Dispatcher) TimerFired(now time.Duration, token uint64) {
	d.detectStall(now)
	kind, r, n := token&15, d.requests.bySerial[token>>9], int(token>>4&31)
	// A request that is over by now started at once.
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
		if d.rounds.catchingUp { // the start may be among what came meanwhile
			d.setTimer(catchUpDelay, kind, r, n)
			return
		}
		d.checkStart(now, r, n)
	case tokenProbe:
		d.releasePending(now)
	case tokenSendBy:
		if !r.queued || now < r.sendBy {
			return
		}
		if r.inFlight > 0 { // a hedge that found no worker: the first attempt goes on
			d.removePending(r)
			return
		}
		d.endUnserved(now, r)
	case tokenDeadline:
		if !r.streaming {
			d.endUnserved(now, r)
		}
	}
}
