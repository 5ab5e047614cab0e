package sedgevale

// All decisions of the library are in this file; its interface is in api.go. The ordinary path follows
// Wisp's Algorithm 1. A request is taken (Request), refused if it cannot be in time, else held in its
// tenant's queue. release goes round the tenants by deficit round robin and sends what its tenant's
// sigma and some worker's room allow. Outcomes teach the workers' sigma_d, and a round every 100 ms
// turns those into the tenants' sigma. What departs from the paper stands under "Exceptions", with
// what it guards against.

import (
	"cmp"
	"slices"
	"time"

	"sedgevale/admission"
)

// The tunable constants. None comes from a particular deployment.
const (
	roundEvery    = 100 * time.Millisecond // Wisp's control interval
	quantileQ     = 0.25                   // the quantile over workers; Wisp starts from 0.5
	cutFactor     = 0.7                    // a worker's limit after a failure, of what was out there
	riseStep      = 0.1                    // what a clean round adds to a limit, of the spare room
	minSigma      = 0.1                    // a limit never falls below: one slot for a tenth of the time
	alphaGain     = 1.0 / 128              // EWMA weight of one job in a tenant's alpha
	quantileSpan  = 64                     // workers looked at for a quantile, so that a round stays cheap
	meanGain      = 1.0 / 64               // EWMA weight of one outcome in a class's means
	completeDecay = 0.02                   // a round draws a mean completion so far towards the running time
	arrivedDecay  = 0.01                   // of the counts of arrivals, a round
	monsterClip   = 10                     // one sample counts for at most this many means
	thresholdOver = 0.5                    // slot threshold over the mean of what workers hold of ours
	pickTries     = 16                     // workers looked at for one placement
	maxTurns      = 64                     // rounds of all tenants in one release
	lookAt        = 2                      // workers asked for their load at a time
	lookRounds    = 2                      // times that others are asked when none has room
	knownMost     = 8                      // workers that served a tenant in time, which are asked first
	lookWait      = 15 * time.Millisecond  // an answer is waited for so long
	lookFresh     = 40 * time.Millisecond  // a worker that has answered is not asked again for so long
	meterLeast    = 0.6                    // seconds between two askings, summed, before they tell
	meterRounds   = 32                     // later a worker is asked twice every so many rounds
	speakPart     = 2.0                    // mean jobs between changes of a report, at most, for it to tell
	promptGain    = 1.0 / 32               // EWMA weight of one start
	promptLeast   = 0.35                   // share of attempts that start at once, for another to be worth it
	fullRest      = 30 * time.Second       // after 'full' none is: what was called off may still fill queues
	moveMost      = 2                      // times that a job is called off to try another worker
	lateLeast     = 0.5                    // a late answer that earns less is not waited for
	lateRound     = 25 * time.Millisecond  // a round overdue by more means that we stood still
	settleFor     = time.Millisecond       // a timer for it comes after all that waits to be read
	scanMost      = 32                     // held jobs of a tenant passed by in the search of those
	scanDepth     = 4                      // held jobs of a tenant looked at when the first has no home
	freshPart     = 0.5                    // a report speaks for this part of a mean job
	minGrace      = 20 * time.Millisecond  // least wait for a start note before it is late
	maxGrace      = time.Second
	promptWait    = 60 * time.Millisecond // for a start note where a slot should be free
	overtakeGap   = 30 * time.Millisecond // a job sent so much later that starts before has overtaken another
	lateTimes     = 3                     // mean jobs after which a start is not waited for any more
	overdueTimes  = 4                     // usual running times after which a job is not counted any more
	silentLeast   = 1.0                   // decayed count of silent connections for running jobs to be copied
	silentDecay   = 0.01                  // of that count, a round
	badGain       = 0.25                  // EWMA weight of one answer in a worker's share of errors
	badMost       = 0.4                   // a worker with a larger share of errors is left alone
	restFirst     = 100 * time.Millisecond
	restMost      = 2 * time.Second
	paceGain      = 1.0 / 8                // EWMA weight of one job in a worker's pace
	baseGain      = 1.0 / 4096             // EWMA weight of one job in its class\'s own running time
	shortPart     = 0.4                    // of the mean: a job may be so short, and its aim so near
	waitTrust     = 1.5                    // what a wait at a worker may come to, over the mean
	paceDecay     = 0.01                   // of a pace a round, towards the mean, to try it again
	backoffFirst  = 500 * time.Millisecond // a worker that failed is left alone at first for so long
	backoffMost   = 8 * time.Second
	presumeFor    = 5 * time.Second // within it the list tells of a restart
	presumeLeast  = 3               // connections on end that break or fail for a restart to be presumed
	ringPoints    = 16              // points of a worker on the ring of homes
	hintTrust     = 0.01            // seconds of running time by which hints are trusted at first
	waitClip      = 2               // a job's wait counts for so many aims at most in the mean completion
	holdPart      = 0.4             // a job is held for at most this part of its slack: means hide a spread
	queuePart     = 0.35            // part of the time left that a queue's wait, by a report, may take
	queueMost     = 1               // jobs of ours that may wait at a worker that we know to be busy
	modestRoom    = 1.4             // times more for one who sends less than its share of what arrives here
	quotaRoom     = 1.5             // a dispatcher may have this many times its even part of a tenant's quota
	rewatchFirst  = 200 * time.Millisecond
	rewatchMost   = time.Second // with its spread and a failed call: within 6 s of the list's return
)

const (
	tokenRound = iota
	tokenWatch
	tokenDeadline
	tokenHold
	tokenStart
	tokenLook
	tokenSettle
)

var (
	inf    = admission.Unlimited
	tuning = admission.Tuning{CutFactor: cutFactor, RiseStep: riseStep, Least: minSigma}
)

// Request takes a job from a client.
func (d *Dispatcher) Request(now time.Duration, q Request) error {
	if q.Class < 0 || q.Class >= len(d.classes) || d.tenantOf(q.Tenant) == nil {
		return ErrBadRequest
	}
	if d.requests[q.ID] != nil {
		return ErrDuplicateRequest
	}
	d.wake(now)
	d.stoodStill(now)
	d.taken.add(now)
	q.Slots = max(1, q.Slots)
	d.serial++
	k := d.classes[q.Class]
	r := &request{Request: q, class: k, serial: d.serial, tenant: d.tenantOf(q.Tenant)}
	r.deadline = now + q.Left
	run := k.run
	r.work = q.Slots * run
	if q.Hint > 0 { // a hint is in the time of a usual core, ours in that of the workers met
		run = q.Hint.Seconds()
		r.work = q.Slots * run * (k.run + hintTrust) / (k.hint + hintTrust)
	}
	d.meanWork += (r.work - d.meanWork) * max(meanGain, 1/float64(r.serial))
	d.weigh(r)
	if q.Hint <= 0 {
		run = k.base // what the client counts is the job's own time, however slow workers are now
	}
	r.own = run
	r.aim = now + k.Aim + seconds(k.Stretch*run)
	if q.Retry { // the aim counts from the client's first try
		r.aim -= max(0, k.Limit-q.Left)
	}
	r.hash = hashOf(q.Key)
	d.arrived++
	d.note(r)
	if q.Left <= 0 || !d.feasible(now, r, true) {
		d.end(now, r)
		return nil
	}
	d.timer(r.deadline-now, tokenDeadline, r, 0)
	d.enqueue(now, r)
	d.look(now, r)
	d.release(now)
	if r.queued {
		d.timer(r.latest-now, tokenHold, r, 0)
	}
	return nil
}

// Started tells that a job has begun to run.
func (d *Dispatcher) Started(now time.Duration, id string, n int) error {
	r, a, err := d.find(id, n)
	if err != nil {
		return err
	}
	d.stoodStill(now)
	a.w.sign(now)
	if a.started == 0 {
		d.writeOff(r, a)
		a.started = now
		d.overtaken(now, a)
		d.writeOn(r, a)
		d.roomAgain()
		d.release(now)
	}
	return nil
}

// Gone tells that the client has left. An unknown request is no error: it may have ended just then.
func (d *Dispatcher) Gone(now time.Duration, id string) {
	if r := d.requests[id]; r != nil && !r.ended {
		d.close(r)
		d.release(now)
	}
}

// Timer tells that the time asked for by Host.SetTimer has passed.
func (d *Dispatcher) Timer(now time.Duration, token uint64) {
	d.stoodStill(now)
	kind, r, n := token&15, d.serials[token>>9], int(token>>4&31)
	if kind == tokenStart && !d.settling && (r == nil || !r.attempts[n].late) { // over: at once
		d.prompt += promptGain * (oneIf(r == nil || r.attempts[n].started > 0) - d.prompt)
	}
	switch {
	case kind == tokenRound:
		d.endRound(now)
	case kind == tokenWatch:
		d.host.Watch()
	case kind == tokenSettle:
		d.settling = false
		d.release(now)
	case r == nil || r.ended:
	case d.settling && kind == tokenStart: // what it looks for may have come meanwhile
		d.timer(settleFor, kind, r, n)
	case kind == tokenStart:
		d.checkStart(now, r, n)
	case kind == tokenLook:
		d.release(now)
	case kind == tokenHold && r.queued && now >= r.latest && r.out > 0: // a copy that finds no place
		d.dequeue(r)
	case kind == tokenDeadline && !r.stream, kind == tokenHold && r.queued && now >= r.latest:
		d.end(now, r)
	}
}

// Outcome tells how an attempt ended.
func (d *Dispatcher) Outcome(now time.Duration, res Result) error {
	r, a, err := d.find(res.ID, res.Attempt)
	if err != nil {
		return err
	}
	d.stoodStill(now)
	d.settle(now, r, a, res.Outcome)
	if res.Report != nil && res.Report.HasFree {
		d.reported(now, a.w, res.Report)
	}
	d.learn(now, r, a, res.Outcome)
	if res.Closed {
		d.close(r)
	}
	if !r.ended && r.out == 0 && !r.queued {
		d.again(now, r)
	}
	d.forget(r)
	d.closeIdle(now, a.w)
	d.roomAgain()
	d.release(now)
	return nil
}

// neverRan reports whether the outcome proves that nothing ran.
func (d *Dispatcher) neverRan(o Outcome) bool {
	return o == ConnectFailed || o == NotSent || o == Full && !d.set.FullMayHaveRun
}

// learn draws the worker's and the class's figures from an outcome.
func (d *Dispatcher) learn(now time.Duration, r *request, a *attempt, o Outcome) {
	w := a.w
	switch o {
	case Served:
		if w.bad *= 1 - badGain; w.bad < badMost {
			w.rest, w.restFor = 0, 0
		}
		delete(d.broke, w.Cell)
		if d.settling { // our own clock stood still
			return
		}
		c := r.class
		run, done := (now - a.sent).Seconds(), (now - a.sent).Seconds()
		if a.started > 0 {
			run = (now - a.started).Seconds()
		}
		c.runs++
		gain := max(meanGain, 1/c.runs)
		if c.runs > 8 {
			run, done = min(run, monsterClip*c.run), min(done, monsterClip*c.complete)
		}
		if a.started > 0 || run < c.run || w.freeAt < now || w.free >= 0.5 {
			c.run += gain * (run - c.run) // else part of it was the wait for a slot
			c.hint += gain * (r.Hint.Seconds() - c.hint)
			up := max(baseGain, 1/c.runs)
			if run < c.base {
				up = max(up, meanGain/4)
			}
			c.base += up * (run - c.base)
			w.pace += paceGain * (run/max(1e-6, c.run) - w.pace)
		}
		most := waitClip * r.class.Aim.Seconds() // one bad worker must not refuse all
		c.complete += gain * (min(done, c.run+most) - c.complete)
		d.served += r.Slots * run
		d.touch(w)
		if now < r.aim {
			r.tenant.know(w)
		}
	case Full:
		r.tenant.unknow(w)
		if now-a.sent < roundEvery { // else a worker that drains has handed back what it had not begun
			d.moveFrom = now + fullRest
		}
		w.free, w.freeAt = 0, now
		d.cut(w, r.Slots)
		d.rest(now, w)
	case Errored:
		if w.bad += badGain * (1 - w.bad); w.bad > badMost {
			d.cut(w, r.Slots)
			d.rest(now, w)
		}
	case TimedOut, Lost, ConnectFailed:
		if o != TimedOut {
			w.broken++
		}
		if d.lives(w, a, o) { // then the connection was at fault
			d.silent += oneIf(o == TimedOut && !a.late)
			return
		}
		d.cut(w, r.Slots)
		d.doubt(now, w)
		if o != TimedOut && w.broken >= presumeLeast {
			d.presume(now, w)
		}
	}
}

// lives reports whether a worker may live though an attempt there got no answer: it has given a sign
// since, or, where the attempt's connection broke, others there go on or none broke just before. It
// guards against the exclusion of workers for what single connections do.
func (d *Dispatcher) lives(w *worker, a *attempt, o Outcome) bool {
	switch {
	case o != TimedOut && w.broken == 1:
		return true
	case o == Lost:
		return slices.ContainsFunc(w.out, func(f flight) bool { return !f.r.attempts[f.n].off })
	}
	return w.lastSign > a.sent
}

// cut lowers a worker's limit after a failure, at most once a round, from what was out there then.
func (d *Dispatcher) cut(w *worker, slots float64) {
	if w.cutIn == d.round {
		return
	}
	w.cutIn = d.round
	d.setSigma(w, tuning.Cut(w.sigma, w.held+slots))
}

// endRound is Wisp's Algorithm 1.
func (d *Dispatcher) endRound(now time.Duration) {
	d.round++
	for _, w := range d.touched {
		w.outcomes = false
		if w.cutIn < d.round-1 && w.sigma < inf {
			spare := w.sigma - w.held
			if now-w.freeAt < d.fresh() && w.freeAt > 0 {
				spare = w.free
			}
			d.setSigma(w, tuning.Raise(w.sigma, spare))
		}
	}
	d.touched = d.touched[:0]
	d.carry += 0.05 * (d.served/roundEvery.Seconds()/d.pools[0].ownWeight() - d.carry)
	d.served = 0
	for _, c := range d.kept {
		c.complete += completeDecay * min(0, c.run-c.complete)
	}
	d.quick = d.quickest()
	d.closeAgain(now)
	d.askAgain()
	d.silent *= 1 - silentDecay
	for _, w := range d.workers {
		if w != nil && d.set.TellsStart && !d.settling {
			w.pace += paceDecay * (1 - w.pace)
			d.overdue(now, w)
		}
	}
	d.retire(now)
	d.shareOut()
	for _, t := range d.tenants {
		t.sigma = min(t.local, d.quantile(t))
		t.arrived *= 1 - arrivedDecay
	}
	d.arrived, d.crowded = d.arrived*(1-arrivedDecay), false
	d.roomAgain()
	d.due = now + roundEvery
	d.host.SetTimer(roundEvery, tokenRound)
	d.release(now)
}

// shareOut sets the local shares: they ramp while the demand is met, else each is the tenant's max-min
// fair part. No part is below the tenant's own share, for a demand can appear within the round.
func (d *Dispatcher) shareOut() {
	limit := inf
	all := d.pools[0]
	if all.limited*2 > all.active { // a worker without a limit counts at the mean of the others
		limit = all.limits / float64(all.limited) * float64(all.active)
	}
	if d.crowded {
		d.room += 0.2 * (d.held - d.room)
		limit = min(limit, max(1, d.room))
	} else {
		d.room = max(d.room, d.held)
	}
	demand := 0.0
	for _, t := range d.tenants {
		demand += t.inflight + t.waiting
	}
	level := 0.0
	if demand > limit {
		level = d.fairLevel(limit)
	}
	for _, t := range d.tenants {
		t.local = admission.LocalShare(t.local, t.claim(), demand, limit, level, riseStep)
	}
}

// feasible reports whether the request can be in time, on arrival behind the
// work of its tenant that has less slack.
func (d *Dispatcher) feasible(now time.Duration, r *request, behind bool) bool {
	wait := 0.0
	if behind {
		for c, work := range r.tenant.backlog {
			if d.kept[c].slack() <= r.class.slack() {
				wait += work
			}
		}
		wait /= max(minSigma, min(r.tenant.sigma, max(1, d.room))*d.poolPart(r))
	}
	// Guards against refusing a class for good on a mean that no job renews.
	if wait == 0 && r.class.inflight == 0 {
		return now < min(r.deadline, r.aim)
	}
	return wait <= holdPart*d.feasibleFor(now, r).Seconds()
}

func (d *Dispatcher) enqueue(now time.Duration, r *request) {
	r.latest = now + seconds(holdPart*d.feasibleFor(now, r).Seconds())
	d.queue(r)
}

// release sends held jobs by deficit round robin while there is room.
func (d *Dispatcher) release(now time.Duration) {
	if d.settling {
		return
	}
	idle, most, resume := 0, maxTurns*len(d.tenants), -1
	for _, p := range d.pools {
		p.full = false
	}
	for ; d.backlog > 0 && idle < len(d.tenants) && most > 0; idle, most = idle+1, most-1 {
		t := d.tenants[d.turn]
		if len(t.queue) == 0 {
			t.deficit = 0
		} else {
			had := t.deficit
			if !d.credited {
				t.deficit = min(t.deficit, max(4*d.meanWork, t.queue[0].work)) +
					d.meanWork*t.share*float64(len(d.tenants))
				d.credited = true
			}
			sent := d.serve(now, t)
			if sent {
				idle = -1
			}
			// Guards against turns that end with one job each, as room comes slot by slot: then all
			// tenants would get alike. Who has credit left goes on when there is room again.
			if t.blocked && resume < 0 {
				resume = d.turn
			} else if t.blocked && !sent {
				t.deficit = had
			}
		}
		d.turn, d.credited = (d.turn+1)%len(d.tenants), false
	}
	if resume >= 0 {
		d.turn, d.credited = resume, true
	}
}

// serve sends what the tenant's credit and sigma allow, and reports whether another turn may send more.
func (d *Dispatcher) serve(now time.Duration, t *tenant) (sent bool) {
	t.blocked = false
	for i, tried := 0, 0; i < min(len(t.queue), scanMost) && tried < scanDepth; i++ {
		r := t.queue[i]
		p := r.class.pool
		own := d.withinShare(now, t)
		if !r.queued || p.noRoom && !own || r.looking > 0 && now < r.lookTill {
			continue
		}
		tried++
		if r.work > t.deficit {
			if tried > 1 {
				continue
			}
			t.blocked = p.full
			return sent || !p.full // another turn brings the credit
		}
		if !own && t.inflight > 0 && t.inflight+r.Slots > t.sigma {
			return sent
		}
		w := d.pick(now, r, own)
		if w == nil && r.looking > 0 {
			continue
		}
		if w == nil {
			d.crowded, t.blocked, p.full = true, true, true
			if r.looks >= lookRounds && r.out == 0 { // nothing more will be known in time
				d.end(now, r)
			} else if r.Key == "" && len(r.attempts) == 0 {
				p.noRoom = true
			}
			continue
		}
		t.deficit -= r.work
		t.tokens--
		d.dequeue(r)
		d.send(now, r, w)
		sent, t.blocked, i, tried = true, false, -1, 0
	}
	return sent
}

func (d *Dispatcher) send(now time.Duration, r *request, w *worker) {
	if len(r.attempts) > 0 {
		d.further.add(now)
	}
	n := d.book(now, r, w)
	if w.coldUntil > now {
		w.credit -= d.weightOf(r)
	}
	if w.suspect > 0 {
		w.trial = now
	}
	d.host.Send(r.ID, w.Worker, 0)
	if d.set.TellsStart {
		wait := (min(r.deadline, r.aim) - now - seconds(r.class.run)) / 2
		if w.held <= d.kindRoom[w.Kind] && d.set.InOrder && d.ownEyes() {
			wait = min(wait, promptWait) // there should be a free slot
		}
		d.timer(min(max(wait, minGrace), maxGrace), tokenStart, r, n)
	}
}

// pick returns a random worker below the slot threshold, drawn by size: with few jobs a worker the
// threshold alone does not tell sizes apart. Without one, a job within its tenant's share goes to the
// worker with the fewest of our slots for its size, others wait.
func (d *Dispatcher) pick(now time.Duration, r *request, own bool) *worker {
	if r.hash != 0 {
		return d.pickHome(now, r)
	}
	if len(r.looked) > 0 {
		if w, decided := d.pickLooked(now, r, own); decided {
			return w
		}
	}
	d.fewest, d.fewestLoad = nil, inf
	near, all := d.reach(r)
	d.met = 0
	if w := d.sample(now, r, near, own); w != nil || d.met > 0 { // others' parts are full too, and not known
		return cmp.Or(w, d.fewest)
	}
	if w := d.sample(now, r, all, own); w != nil {
		return w
	}
	return d.fewest
}

// reach returns where to look for a worker first, and then: the own part or zone and
// all, or, once a keyed job may have run, only the group that drops a repeat.
func (d *Dispatcher) reach(r *request) (near, all [][]*worker) {
	all = r.class.pool.zones
	if w := d.mayHaveRun(r); w != nil {
		switch r.class.Scope {
		case ScopeCell:
			all = [][]*worker{d.cells[w.Cell]}
		case ScopeZone:
			all = all[min(w.Zone, len(all)):min(w.Zone+1, len(all))]
		}
	} else if near = d.nearby(r.class.pool); near == nil && d.set.Zone < len(all) && len(r.attempts) == 0 {
		near = all[d.set.Zone : d.set.Zone+1]
	}
	return near, all
}

// look asks a few workers for their load before a job is placed, where reports come only so: without
// them a dispatcher with some jobs a second knows nothing of a worker's room, whatever has filled it.
func (d *Dispatcher) look(now time.Duration, r *request) {
	if r.hash != 0 || !d.reportsSpeak() {
		return
	}
	r.looks++
	r.looked = r.looked[:0]
	near, all := d.reach(r)
	known := r.tenant.known
	if r.looks > 1 || len(near) == 0 || len(near[0]) < lookAt {
		near, known = all, nil
	}
	for w := range d.drawAfter(known, near) {
		if !d.usable(now, w, r, true) || !d.mayTry(now, r, w) || slices.Contains(r.looked, w) {
			continue
		}
		r.looked = append(r.looked, w)
		if w.freeAt == 0 || now-w.freeAt > lookFresh {
			if len(w.askers) == 0 {
				d.host.Probe(w.Worker)
			}
			w.askers = append(w.askers, r)
			r.looking++
		}
		if len(r.looked) == lookAt {
			break
		}
	}
	if r.looking > 0 {
		r.lookTill = now + lookWait
		d.timer(lookWait, tokenLook, r, 0)
	}
}

// askAgain asks a worker in two rounds on end, often at first.
func (d *Dispatcher) askAgain() {
	if !d.set.MustProbe || d.metered > meterLeast && d.round%meterRounds > 1 {
		return
	}
	if d.gauge == nil || d.round%8 == 0 {
		d.gauge = d.any()
	}
	if d.gauge != nil && d.gauge.State == Active && len(d.gauge.askers) == 0 {
		d.host.Probe(d.gauge.Worker)
	}
}

// pickLooked returns the worker with the most room of those that were asked.
// If none has any, others are asked; in the end a job within its tenant's
// share goes where least is in hand. Without any answer nothing is decided.
func (d *Dispatcher) pickLooked(now time.Duration, r *request, own bool) (best *worker, decided bool) {
	most, least := 0.0, inf
	var fewest *worker
	for _, w := range r.looked {
		if now-w.freeAt > lookFresh+lookWait || !d.usable(now, w, r, own) || !d.mayTry(now, r, w) {
			continue
		}
		decided = true
		if room := w.free * w.size; w.free >= r.Slots-0.5 && room > most {
			best, most = w, room
		}
		if wait := d.waitAt(w, r); own && wait < least {
			fewest, least = w, wait
		}
	}
	switch {
	case best != nil:
		return best, true
	case r.looks < lookRounds:
		d.look(now, r)
		return nil, r.looking > 0
	}
	if left := min(r.deadline, r.aim) - now; least > queuePart*(left.Seconds()-r.work/r.Slots) {
		fewest = nil
	}
	return fewest, decided
}

func (d *Dispatcher) sample(now time.Duration, r *request, zones [][]*worker, own bool) *worker {
	var small *worker
	for w := range d.draw(zones) {
		d.met += int(oneIf(w.ours && r.class.pool.admits(w) && now >= max(w.rest, w.suspect)))
		if !d.usable(now, w, r, own) || !d.mayTry(now, r, w) {
			continue
		}
		if !d.inTime(now, w, r, 0) {
			continue // too slow for this job
		}
		if d.roomy(now, w, r, own) {
			if d.rng.Float64()*d.largest > w.size {
				small = w // its size lost the draw; it serves if no other is found
				continue
			}
			return w
		}
		load := (w.held + float64(w.unstarted) - min(0, w.free)) / w.size
		if own && load < d.fewestLoad && d.mayWait(now, w, r) {
			d.fewest, d.fewestLoad = w, load
		}
	}
	return small
}

// admits is placement, and rule 3: it alone decides which workers a class may be sent to.
func (p *pool) admits(w *worker) bool {
	return w.State == Active && !w.cordoned && (p.kinds == nil || slices.Contains(p.kinds, w.Kind)) &&
		(p.places == nil || slices.Contains(p.places, w.Zone))
}

// usable reports whether the job may go to the worker at all.
func (d *Dispatcher) usable(now time.Duration, w *worker, r *request, own bool) bool {
	if !r.class.pool.admits(w) || now < w.rest || w.bad > badMost && w.held > 0 ||
		slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.moved && a.w == w }) {
		return false
	}
	if !own && (w.held > 0 && w.held+r.Slots > w.sigma) {
		return false
	}
	if w.suspect > 0 && now < max(w.suspect, w.trial+w.backoff) {
		return false
	}
	if w.presumed > 0 && now > w.presumed+presumeFor {
		d.absolve(w)
	}
	return w.coldUntil <= now || (d.part == 0 || w.ours) && d.coldRoom(now, w, r)
}

// roomy reports whether the worker is below the slot threshold for the job.
func (d *Dispatcher) roomy(now time.Duration, w *worker, r *request, own bool) bool {
	if d.set.TellsStart && w.unstarted > 0 {
		return false
	}
	known := d.kindRoom[w.Kind] - r.Slots // the most that may be out where others tell us of theirs
	if w.held >= thresholdOver+r.class.pool.meanHeld(w)*w.size || w.ours && w.held > max(0, known) {
		return false
	}
	return w.freeAt == 0 || own && now-w.freeAt > d.fresh() || w.free >= r.Slots-0.5
}

// mayWait reports whether a job that finds no slot free at the worker may wait there. It guards against
// queues at workers that make all late alike, where held jobs could be refused.
func (d *Dispatcher) mayWait(now time.Duration, w *worker, r *request) bool {
	if !d.set.TellsStart {
		return true
	}
	if w.unstarted >= queueMost {
		return false
	}
	slots := max(1, d.kindRoom[w.Kind])
	wait := max(w.held+r.Slots-slots, float64(w.unstarted)+r.Slots) / slots * d.meanWork * w.pace
	return d.inTime(now, w, r, waitTrust*wait)
}

// mayTry is rule 2 for sends: it alone decides whether the request may be tried on this worker.
func (d *Dispatcher) mayTry(now time.Duration, r *request, w *worker) bool {
	if r.ended || len(r.attempts) >= d.set.MaxAttempts || r.out > 0 && !d.set.ParallelTries ||
		len(r.attempts) > 0 && !d.withinBudget(now) {
		return false
	}
	c := r.class
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.w == w && !a.over {
			return false
		}
		if a.proven || c.Effect == Safe {
			continue
		}
		same := c.Scope == ScopeAll || c.Scope == ScopeZone && a.w.Zone == w.Zone ||
			c.Scope == ScopeCell && a.w.Cell == w.Cell
		if c.Effect == Unsafe || !same || now >= a.sent+c.Window-min(roundEvery, c.Window/8) {
			return false
		}
	}
	return true
}

// mayRefuse is rule 2 for refusals.
func (d *Dispatcher) mayRefuse(r *request) bool {
	c := r.class
	if c.Effect == Safe || c.Effect == Keyed && c.Scope == ScopeAll {
		return true
	}
	for i := range r.attempts {
		if !r.attempts[i].proven {
			return false
		}
	}
	return true
}

// end gives the request its one final answer: refused where that is allowed.
func (d *Dispatcher) end(now time.Duration, r *request) {
	if r.ended {
		return
	}
	if d.mayRefuse(r) {
		d.host.Refuse(r.ID, d.comeBack(now, r))
	} else {
		d.host.Fail(r.ID)
	}
	d.close(r)
}

// comeBack is the advice to a refused client: soon enough for its job to be in time yet, or after
// about a job, when slots have changed hands; spread, so that not all return at once.
func (d *Dispatcher) comeBack(now time.Duration, r *request) time.Duration {
	after := holdPart * d.feasibleFor(now, r).Seconds()
	if after <= 0 {
		after = d.meanWork
	}
	return min(d.set.MaxRetryAfter, seconds(after*d.rng.Float64()))
}

// close marks the request as finished; nothing is sent for it from here on.
func (d *Dispatcher) close(r *request) {
	if r.ended {
		return
	}
	r.ended = true
	if r.queued {
		d.dequeue(r)
	}
	if d.set.MayCancel && !r.stream {
		for n := range r.attempts {
			if !r.attempts[n].over {
				d.host.Cancel(r.ID, n)
			}
		}
	}
	d.forget(r)
}

// again holds a request whose attempts all failed for another one, or ends it.
func (d *Dispatcher) again(now time.Duration, r *request) {
	c := r.class
	uncertain := false
	for i := range r.attempts {
		uncertain = uncertain || !r.attempts[i].proven
	}
	if len(r.attempts) >= d.set.MaxAttempts || uncertain && c.Effect == Unsafe || !d.withinBudget(now) ||
		!d.feasible(now, r, false) {
		d.end(now, r)
		return
	}
	d.enqueue(now, r)
	r.looks = 0
	d.look(now, r)
	d.timer(r.latest-now, tokenHold, r, 0)
}

// Exceptions to the paper's path. Members brings the list of workers, whole or in part. Workers that
// drain or are gone leave the pick at once.
func (d *Dispatcher) Members(now time.Duration, kind ListKind, entries []WorkerInfo) {
	first := !d.running
	d.wake(now)
	d.stoodStill(now)
	if first && d.set.AskForList {
		d.host.Watch()
	}
	if kind == ListBroken {
		d.host.Log("the watch on the list of workers failed; the old list stands, asking again")
		d.host.SetTimer(d.rewatch/2+time.Duration(d.rng.Int64N(int64(d.rewatch))), tokenWatch)
		d.rewatch = min(2*d.rewatch, rewatchMost)
		return
	}
	if kind != ListStale {
		d.rewatch = rewatchFirst
	}
	if kind != ListPatch {
		for _, w := range d.absent(entries) {
			w.State = Left
			d.place(w)
			d.drop(w)
			d.closeIdle(now, w)
		}
	}
	for i := range entries {
		d.member(now, &entries[i])
	}
	d.roomAgain()
	d.release(now)
}

func (d *Dispatcher) member(now time.Duration, e *WorkerInfo) {
	w := d.byName[e.Worker]
	if w == nil {
		if e.State == Left {
			return
		}
		w = d.newWorker(e)
		d.startedAt(now, w)
	} else {
		restarted := e.StartedAt > w.StartedAt
		d.unplace(w)
		w.WorkerInfo = *e
		if restarted {
			w.sigma, w.suspect, w.backoff, w.freeAt = inf, 0, 0, 0
			d.startedAt(now, w)
		}
	}
	d.growKinds(e.Kind)
	d.kindSize[e.Kind] = max(d.kindSize[e.Kind], e.Weight)
	d.unplace(w)
	w.size = d.sizeOf(e)
	d.largest = max(d.largest, w.size)
	d.place(w)
	if d.set.Weights == WeightLive && e.Weight > 0 {
		d.lively(now, w)
	}
	if e.State == Left {
		d.drop(w)
	}
	d.closeIdle(now, w)
}

// closeIdle closes what is idle to a worker that leaves, at the notice, after each outcome
// there, and once more later: a connection may still be made for an attempt called off.
func (d *Dispatcher) closeIdle(now time.Duration, w *worker) {
	v := d.byName[w.Worker]
	if d.set.CloseOnDrain == 0 || w.State == Active || v != nil && v.State == Active {
		return
	}
	d.host.CloseIdle(w.Worker)
	if w.closedAt == 0 {
		d.leaving = append(d.leaving, w)
	}
	w.closedAt = now
}

// stoodStill notices, by an overdue round, that this dispatcher had no turn for a while.
// Until all that came meanwhile has been read nothing is sent: a drain or an outcome may
// be among it. Times by our own clock say nothing then about workers.
func (d *Dispatcher) stoodStill(now time.Duration) {
	if d.running && !d.settling && now > d.due+lateRound {
		d.settling = true
		d.host.SetTimer(settleFor, tokenSettle)
	}
}

// startedAt makes a worker that has just started a cold one (rule 4). It gets credit for a part of the
// work that warm ones carry for us, which grows as it warms; every dispatcher does so, hence the sum
// stays below what it can do.
func (d *Dispatcher) startedAt(now time.Duration, w *worker) {
	d.absolve(w)
	w.coldUntil = 0
	if d.set.WarmUp > 0 && w.StartedAt > 0 && now < w.StartedAt+d.set.WarmUp {
		d.coolDown(now, w, w.StartedAt)
	}
}

func (d *Dispatcher) coldRoom(now time.Duration, w *worker, r *request) bool {
	warm := 1 - (w.coldUntil-now).Seconds()/d.set.WarmUp.Seconds()
	part := d.set.StartCapacity + (1-d.set.StartCapacity)*max(0, warm)
	mean := d.usualWork()
	least := mean / d.set.Fall.Seconds() / float64(d.sharers)
	rate := part * max(least, d.carry*w.size)
	// A heavier job than usual must leave room for others, also where our part is twice the mean.
	heavy := d.set.FallMultiple / 4 * rate * float64(d.sharers) * d.set.Fall.Seconds()
	rate *= min(1.5, d.set.FallMultiple/2) // half of the multiple at most, for chance and bursts
	if d.weighed == 0 {                    // knowing no job yet one must begin somewhere: two of all together
		rate = 2 * least
	}
	w.credit = min(w.credit+rate*(now-w.creditAt).Seconds(), rate*d.set.Fall.Seconds()/4)
	w.creditAt = now
	return w.credit > 0 && d.weightOf(r) <= max(mean, heavy)
}

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

// presume takes workers for restarted before the list says so: one that broke
// or refused a connection, and all of its cell if another there did lately and
// none has served since. It guards against workers that come back cold and are pushed over by those who
// do not know it yet. If most workers are struck, the fault is not theirs.
func (d *Dispatcher) presume(now time.Duration, w *worker) {
	struck := []*worker{w}
	before := d.broke[w.Cell]
	if d.broke[w.Cell] = (sign{w, now}); before.w != nil && before.w != w && now < before.at+presumeFor {
		struck = d.cells[w.Cell]
	}
	for _, v := range struck {
		d.strike(now, v)
	}
	if d.presumed*2 > d.pools[0].active {
		d.absolve(d.workers...)
	}
}

// checkStart acts when no start note has come in good time: the worker has a
// queue, or hangs. Its limit is cut, and until some sign of it comes it gets
// nothing. It guards against queues that no 'full' reveals. The job is called
// off to try another worker where that is allowed, and ended once it must be late.
func (d *Dispatcher) checkStart(now time.Duration, r *request, n int) {
	a := &r.attempts[n]
	if a.over || a.started > 0 {
		return
	}
	a.late = true
	if d.set.MayCancel && r.class.LateShare < lateLeast && !r.stream && d.sparse() {
		last := min(r.deadline, r.aim) - seconds(r.work/r.Slots)
		if now >= last {
			d.end(now, r) // it would only hold up others
			return
		}
		d.timer(last-now, tokenStart, r, n)
	}
	d.cut(a.w, r.Slots)
	if a.w.lastSign < a.sent {
		d.doubt(now, a.w)
	}
	fits := a.w.held <= d.kindRoom[a.w.Kind] && d.ownEyes()
	if fits {
		d.writeOff(r, a) // what goes there next tells whether the worker is full or this connection silent
	}
	if !d.mayMove(now, r) {
		if fits {
			d.copy(now, r)
		}
		return
	}
	a.moved = true
	r.tenant.tokens++ // the same demand comes again
	d.host.Cancel(r.ID, n)
}

// overtaken acts when a worker that starts jobs in order has started one that was sent well after others
// it has not: their connections have fallen silent. Nothing is expected of those any more, and what
// may run twice goes elsewhere as well. It guards against slots that seem taken until the time-outs land.
func (d *Dispatcher) overtaken(now time.Duration, by *attempt) {
	for i := 0; d.set.InOrder && !d.settling && i < len(by.w.out); i++ {
		f := by.w.out[i]
		a := &f.r.attempts[f.n]
		if a.sent+overtakeGap < by.sent && a.started == 0 && !a.off {
			d.silent++
			d.writeOff(f.r, a)
			d.copy(now, f.r)
		}
	}
}

// overdue looks for jobs that have run for far longer than they should without a sign: their slots are
// not counted any more. While connections are known to fall silent, a copy goes out before it is too late.
func (d *Dispatcher) overdue(now time.Duration, w *worker) {
	for i := range w.out {
		f := w.out[i]
		a := &f.r.attempts[f.n]
		if a.off {
			continue
		}
		if a.started == 0 {
			if now-a.sent > seconds(lateTimes*d.meanWork) {
				d.writeOff(f.r, a)
			}
			continue
		}
		usual := seconds(f.r.class.run * max(0.5, w.pace))
		since := now - max(a.started, a.noted)
		if since > overdueTimes*usual+maxGrace/4 {
			d.writeOff(f.r, a)
		}
		if d.silent > silentLeast && since > 2*usual {
			d.copy(now, f.r)
		}
	}
}

// copy holds a request for a further attempt beside the one that is out, where it may run twice.
func (d *Dispatcher) copy(now time.Duration, r *request) {
	if !d.set.ParallelTries || r.ended || r.queued || r.stream || r.out != 1 ||
		r.class.Effect == Unsafe || len(r.attempts) >= d.set.MaxAttempts ||
		!d.withinBudget(now) || d.feasibleFor(now, r) <= 0 {
		return
	}
	r.tenant.tokens++ // the same demand comes again
	d.enqueue(now, r)
	d.timer(r.latest-now, tokenHold, r, 0)
}

// mayMove reports whether a job may be called off for another worker: only
// while most attempts start at once, for else another is no better, and not
// while workers are full, which called off jobs may be that still run.
func (d *Dispatcher) mayMove(now time.Duration, r *request) bool {
	return d.set.MayCancel && r.class.Effect != Unsafe && !r.stream && r.out == 1 &&
		len(r.attempts) < min(1+moveMost, d.set.MaxAttempts) && d.prompt > promptLeast &&
		now >= d.moveFrom && d.sparse() && d.withinBudget(now) && d.feasibleFor(now, r) > 0
}

// pickHome serves jobs that need something a worker may keep at hand: a key has one home
// in each zone, the first worker that follows its hash on a ring, the own zone's first.
// All dispatchers know the same rings, so they agree without talking.
func (d *Dispatcher) pickHome(now time.Duration, r *request) *worker {
	for _, w := range d.homes(r.class.pool, r.hash) {
		if d.usable(now, w, r, false) && d.roomy(now, w, r, true) && d.mayTry(now, r, w) {
			return w
		}
	}
	return nil
}

// Probed brings a worker's answer to a probe, or nil where none came. The
// worker may have left meanwhile.
func (d *Dispatcher) Probed(now time.Duration, name string, rep *Report) {
	d.stoodStill(now)
	w := d.byName[name]
	if w == nil {
		return
	}
	if rep != nil && rep.HasFree {
		d.meter(now, w, rep)
		d.reported(now, w, rep)
	}
	d.answered(w)
	d.release(now)
}
