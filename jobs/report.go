package jobs

import "time"

const (
	resendAfter  = 300 * time.Millisecond // an order that was not seen at the worker is sent again
	learnGain    = 0.2                    // weight of one outcome in what is known of a worker
	runTimeGain  = 0.05                   // weight of one run in a queue's usual run time
	failDecay    = 0.98                   // of a worker's share of failures, a round
	trustPercent = 10                     // from which on a run's progress tells when it ends
	silentMS     = 2500                   // a worker without a heartbeat for so long gets no starts
)

// Report takes what a side agent tells of its worker.
func (b *Book) Report(now time.Duration, r *Report) *Worker {
	w := b.worker(now, r)
	if now-w.heard >= agentSilent {
		b.readyStale = true
	}
	w.heard = now
	w.expiry = now + b.options.LapseAfter
	b.supersede(now, r)
	b.describe(now, w, r)
	if w.Life != r.Life {
		w.Life = r.Life
		for _, run := range w.Runs {
			run.lastSent = 0
		}
	}
	for _, run := range w.Runs {
		run.reported = false
	}
	b.applyActive(now, w, r)
	for _, held := range r.Held {
		if run := w.Runs[held]; run != nil {
			run.reported = true
		}
	}
	b.applyEnds(now, w, r)
	for _, dropped := range r.Dropped {
		b.endRun(now, w, dropped, "dropped", "")
	}
	if w.State == Lapsed {
		b.lapse(now, w)
	}
	w.unknown = r.Unknown > 0
	w.dirty = true
	return w
}

func (b *Book) worker(now time.Duration, r *Report) *Worker {
	ref := RefOf(r.Instance, r.Side)
	w := b.workers[ref]
	if w == nil {
		w = &Worker{Ref: ref, Instance: r.Instance, Side: r.Side, sigma: 1, pace: 1, Runs: map[RunRef]*Run{}, heard: now}
		b.addWorker(w)
	}
	return w
}

func (b *Book) addWorker(w *Worker) {
	b.workers[w.Ref] = w
	if b.bySide[w.Side] == nil {
		b.bySide[w.Side] = map[string]*Worker{}
	}
	b.bySide[w.Side][w.Ref] = w
	b.readyStale = true
}

func (b *Book) removeWorker(w *Worker) {
	delete(b.workers, w.Ref)
	delete(b.bySide[w.Side], w.Ref)
	if len(b.bySide[w.Side]) == 0 {
		delete(b.bySide, w.Side)
	}
	for _, q := range b.order {
		delete(q.shares, w.Ref)
	}
	b.readyStale = true
}

// supersede ends the other incarnations at a report's side agent. There is one worker on a machine, so one with a new
// name has replaced one that crashed; only one that is known to leave may still be at work for a while.
func (b *Book) supersede(now time.Duration, r *Report) {
	for _, old := range b.bySide[r.Side] {
		if old.Instance == r.Instance || old.State == Draining || old.State == Gone {
			continue
		}
		if WorkerState(r.State) == Ready {
			b.lapse(now, old)
			b.removeWorker(old)
		}
	}
}

// describe takes a worker's account of itself.
func (b *Book) describe(now time.Duration, w *Worker, r *Report) {
	state := WorkerState(r.State)
	if state == Ready && r.SinceBeatMS > silentMS {
		state = Silent
	}
	if state == Silent && w.State != Silent {
		w.hurt()
	}
	if state == Draining {
		w.Leaves = now + time.Duration(r.RemainingMS)*time.Millisecond
	}
	if r.LapsesInMS > 0 {
		w.expiry = min(w.expiry, now+time.Duration(r.LapsesInMS)*time.Millisecond)
	}
	if w.State != state || w.Capacity != r.Capacity {
		w.setState(state)
		w.Capacity = r.Capacity
		for _, run := range w.Runs {
			w.resize(run)
		}
		b.measure()
		b.wake = true
		b.readyStale = true
	}
	w.Labels = r.Labels
	if state == Draining || state == Gone {
		b.evacuate(now, w)
	}
}

// evacuate stops the runs of a worker that is to leave which would not end before. They go on elsewhere, from
// their checkpoints where they have any.
func (b *Book) evacuate(now time.Duration, w *Worker) {
	for _, run := range w.Runs {
		if run.stopping || run.job == nil || run.job.over() || run.queue == nil {
			continue
		}
		if run.job.lasts(run.at.stage) || now+b.remaining(now, run) > w.Leaves {
			run.stopping = true
			run.lastSent = 0
		}
	}
}

// remaining is how long a run may still take.
func (b *Book) remaining(now time.Duration, run *Run) time.Duration {
	usual := run.queue.expected(&run.job.Spec.Stages[run.at.stage])
	if run.began == 0 {
		return usual
	}
	elapsed := now - run.began
	if run.percent >= trustPercent {
		return elapsed * time.Duration(100-run.percent) / time.Duration(run.percent)
	}
	return max(usual-elapsed, usual/4)
}

// measure works out the mean worker, by which the size of tasks is told.
func (b *Book) measure() {
	var sum Resources
	n := int64(0)
	for _, w := range b.workers {
		if w.State == Ready {
			sum = sum.plus(w.Capacity)
			n++
		}
	}
	if n == 0 {
		return
	}
	mean := Resources{sum.CPU / n, sum.MemMB / n, sum.GPU / n}
	if mean != b.mean {
		b.mean = mean
		b.recount()
	}
}

// recount counts anew what each queue waits for, in parts of a mean worker that has changed.
func (b *Book) recount() {
	for _, q := range b.queues {
		q.wanted = 0
		q.waiting.Ascend(func(u *unit) bool {
			q.wanted += float64(len(u.tasks)) * b.part(&u.job.Spec.Stages[u.stage])
			return true
		})
	}
}

func (b *Book) applyActive(now time.Duration, w *Worker, r *Report) {
	for _, active := range r.Active {
		key := RunRef{active.Task, active.Attempt}
		run := w.Runs[key]
		if run == nil {
			run = b.stray(key)
			w.add(run)
		}
		run.reported = true
		if run.began == 0 {
			run.began = now
			run.moved = now
			b.noteBegun(run.job)
		}
		if active.Percent > run.percent {
			run.percent = active.Percent
			run.moved = now
		}
		b.noteCheckpoint(run, active.Saved)
	}
}

// stray makes a run of one that is active although nothing wants it; it is to be stopped.
func (b *Book) stray(key RunRef) *Run {
	run := &Run{Key: key, durable: true, stopping: true}
	at, ok := parseTask(key.Task)
	if !ok {
		return run
	}
	run.at = at
	if job := b.jobs[at.id]; job != nil && at.stage < len(job.Spec.Stages) {
		run.demand = job.Spec.Stages[at.stage].demand()
	}
	return run
}

// noteCheckpoint keeps the newest checkpoint of a run. Any member's is good for its gang.
func (b *Book) noteCheckpoint(run *Run, saved string) {
	if saved == "" || run.job == nil {
		return
	}
	t := run.job.time(run.at.number)
	if t == nil || t.Done || run.at.stage >= len(t.Stages) {
		return
	}
	tasks := t.Stages[run.at.stage].Tasks
	task := &tasks[run.at.index]
	if task.Attempt != run.Key.Attempt {
		return
	}
	if !run.job.Spec.Stages[run.at.stage].Gang {
		task.Saved = saved
		return
	}
	for i := range tasks {
		tasks[i].Saved = saved
	}
}

// Tick is the round: times that became due, workers that are surely gone, and the limits of admission.
func (b *Book) Tick(now time.Duration, wallMS int64) {
	for _, job := range b.timed {
		b.beginDue(now, wallMS, job)
	}
	for _, w := range b.workers {
		w.failing *= failDecay
		if silent := now-w.heard >= agentSilent; silent != w.unheard {
			w.unheard = silent
			if silent && w.State == Ready {
				w.hurt()
			}
		}
		if now >= w.expiry {
			b.lapse(now, w)
			b.removeWorker(w)
			b.measure()
		}
	}
	b.endRound(now)
	b.overdueDue = true
	b.wake = true
	b.forgetEnded(now)
}

// forgetEnded drops the records of jobs that ended long ago.
func (b *Book) forgetEnded(now time.Duration) {
	n := 0
	for n < len(b.ended) && now-b.ended[n].ended > b.options.KeepEnded {
		job := b.ended[n]
		delete(b.jobs, job.ID)
		b.dropped = append(b.dropped, specPrefix+job.ID, jobPrefix+job.ID)
		n++
	}
	b.ended = b.ended[n:]
}

// Worker returns a worker by its name, or nil.
func (b *Book) Worker(ref string) *Worker { return b.workers[ref] }
