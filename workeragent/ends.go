package workeragent

import "sedgevale/jobs"

// maxFinishedRuns is the maximum number of finished runs in one heartbeat. A list of this length may be truncated.
const maxFinishedRuns = 500

// endLog records which of the worker's runs are known to have ended. A heartbeat lists only the first maxFinishedRuns ends that
// are not acknowledged, so the absence of a run from its lists is no proof that the run did not start: it may have ended since,
// without being listed yet. The worker numbers its ends in the order in which they happen and lists them in that order. Hence
// all ends before a heartbeat are known once a list is not truncated, or once it reaches an end that came after that heartbeat.
type endLog struct {
	maxListed int // length from which a list of ends may be truncated

	// knownBefore is the number of the last heartbeat before which all ends are known; 0 if there is none. It never decreases.
	knownBefore int64
	// listedUpTo is the number up to which all ends have been listed, counted from the first one listed to this process.
	listedUpTo int64
	anyListed  bool // whether any end has been listed to this process
	// unlisted holds the runs that are no longer active but not listed as ended yet, with the number of the last heartbeat that
	// listed them as active.
	unlisted map[jobs.RunRef]int64
}

// newEndLog returns the log for a worker of which no heartbeat was received yet.
func newEndLog() endLog {
	return endLog{maxListed: maxFinishedRuns, unlisted: map[jobs.RunRef]int64{}}
}

// addListed records that an end was listed and that the run ended after the heartbeat with the given number.
func (e *endLog) addListed(number, endedAfter int64) {
	if !e.anyListed || number == e.listedUpTo+1 {
		e.anyListed = true
		e.listedUpTo = number
	}
	if number <= e.listedUpTo {
		e.knownBefore = max(e.knownBefore, endedAfter)
	}
}

// endList records that the heartbeat with the given number has listed the given number of ends, the last one with lastNumber.
func (e *endLog) endList(heartbeat int64, listed int, lastNumber int64) {
	if listed < e.maxListed {
		e.knownBefore = heartbeat
		e.listedUpTo = max(e.listedUpTo, lastNumber)
	}
	for ref, lastActive := range e.unlisted {
		if e.knownBefore > lastActive {
			delete(e.unlisted, ref)
		}
	}
}

// applyLists applies the lists of the last heartbeat.
func (a *Agent) applyLists() {
	for ref := range a.active {
		a.ends.unlisted[ref] = a.heartbeats - 1
	}
	clear(a.active)
	clear(a.finished)
	for _, run := range a.heartbeat.Active {
		ref := run.ref()
		a.active[ref] = true
		delete(a.ends.unlisted, ref)
		delete(a.starts, ref)
	}
	lastNumber := int64(0)
	for _, run := range a.heartbeat.Finished {
		ref := run.ref()
		a.finished[ref] = true
		a.ends.addListed(run.Number, a.endedAfter(ref))
		lastNumber = run.Number
		delete(a.ends.unlisted, ref)
		delete(a.starts, ref)
		delete(a.stops, ref)
	}
	a.ends.endList(a.heartbeats, len(a.heartbeat.Finished), lastNumber)
}

// endedAfter returns the number of a heartbeat that the worker sent before the run ended, or 0 if none is known.
func (a *Agent) endedAfter(ref jobs.RunRef) int64 {
	if lastActive, ok := a.ends.unlisted[ref]; ok {
		return lastActive
	}
	if pending := a.starts[ref]; pending != nil && pending.inFlight {
		return pending.sentAfter
	}
	return 0
}

// neverStarted reports whether it is certain that the worker has not started a run and does not start it on the answers sent so
// far. A run that has ended, and whose end was acknowledged, may count as never started too: its owner has stored the end.
func (a *Agent) neverStarted(ref jobs.RunRef) bool {
	if a.active[ref] || a.finished[ref] || a.isUnlisted(ref) {
		return false
	}
	if pending := a.starts[ref]; pending != nil {
		return a.ends.knownBefore > pending.sentAfter
	}
	return a.ends.knownBefore > a.incarnationStart
}

// isUnlisted reports whether a run was active and has ended, and its end is not listed yet.
func (a *Agent) isUnlisted(ref jobs.RunRef) bool {
	_, unlisted := a.ends.unlisted[ref]
	return unlisted
}
