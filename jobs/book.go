package jobs

import (
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"sedgevale/admission"
	"sedgevale/internal/avrocodec"
)

// Options of a Book.
type Options struct {
	// LapseAfter is the time after a side agent was last heard in which all its worker's runs have surely
	// lapsed: the agent's lease, the longest hold on a clock that runs slow, and some slack.
	LapseAfter time.Duration
	// KeepEnded is how long the state of a job that has ended can be asked for.
	KeepEnded time.Duration
	// FarX is how many times longer work takes away from its data.
	FarX float64
}

// Change is a record to store; a nil value drops the key.
type Change struct {
	Key   string
	Value []byte
}

// effect is what may happen once a change is durable.
type effect struct {
	sequence int64
	run      func()
}

// Book holds the jobs and workers of one shard.
type Book struct {
	options Options
	random  *rand.Rand

	jobs    map[string]*Job
	queues  map[string]*Queue
	order   []*Queue // by priority
	workers map[string]*Worker
	mean    Resources // of the workers that are ready
	timed   map[string]*Job
	ended   []*Job // in the order of their ends

	dirty     []*Job
	dropped   []string // keys to drop
	specs     []Change // of new jobs
	unflushed []func()
	effects   []effect

	units       uint64
	bySide      map[string]map[string]*Worker // workers by side agent and name
	ready       []*Worker                     // those that take starts
	emptiest    []*Worker                     // the same, those that hold least first; empty until asked for
	readyMean   float64                       // of what they hold
	readyAt     time.Duration
	readyStale  bool
	reserved    map[*Worker]*reservation // by the last pass of Schedule
	overdueDue  bool                     // the next pass places what has waited for too long
	overdueFrom int                      // the queue at which that goes on
	preemptAt   time.Duration            // when work may be preempted again
	wake        bool                     // something may be placed now
	headroom    headroom
	claimants   []admission.Claimant
	scratch     []float64
}

// New returns an empty Book.
func New(options Options, random *rand.Rand) *Book {
	return &Book{
		options: options, random: random,
		jobs: map[string]*Job{}, queues: map[string]*Queue{}, workers: map[string]*Worker{}, timed: map[string]*Job{},
		bySide: map[string]map[string]*Worker{}, readyStale: true,
	}
}

// Configure takes the queues of a configuration. Jobs of a queue that is gone are still finished.
func (b *Book) Configure(configs []QueueConfig) {
	for _, q := range b.queues {
		q.removed = true
	}
	for _, c := range configs {
		q := b.queue(c.Name)
		q.QueueConfig = c
		q.removed = false
	}
	for name, q := range b.queues {
		if q.removed && q.unended == 0 && q.held == 0 {
			delete(b.queues, name)
		}
	}
	b.order = b.order[:0]
	for _, q := range b.queues {
		b.order = append(b.order, q)
	}
	sort.Slice(b.order, func(i, j int) bool {
		if b.order[i].Priority != b.order[j].Priority {
			return b.order[i].Priority < b.order[j].Priority
		}
		return b.order[i].Name < b.order[j].Name
	})
	b.wake = true
}

// queue returns a queue, made with cautious settings where no configuration names it: it has jobs that were accepted while
// one did, and takes no more.
func (b *Book) queue(name string) *Queue {
	q := b.queues[name]
	if q == nil {
		q = newQueue(QueueConfig{Name: name, Priority: 3, Retries: 3, Extension: 2, TargetLatencyMS: 3000})
		q.removed = true
		b.queues[name] = q
		b.order = append(b.order, q)
	}
	return q
}

// Knows reports whether the configuration has a queue.
func (b *Book) Knows(queue string) bool {
	q := b.queues[queue]
	return q != nil && !q.removed
}

// Submit takes a job. One that is known under its ID stays as it is. Durable reports whether its record is
// already stored; otherwise it is once all changes so far are.
func (b *Book) Submit(now time.Duration, wallMS int64, id, queue string, body []byte) (durable bool, err error) {
	if known := b.jobs[id]; known != nil {
		return known.exists, nil
	}
	job, err := b.newJob(now, id, queue, body)
	if err != nil {
		return false, err
	}
	record, err := avrocodec.Encode(&specRecord{Queue: queue, Body: body})
	if err != nil {
		return false, err
	}
	b.specs = append(b.specs, Change{Key: specPrefix + id, Value: record})
	b.jobs[id] = job
	b.countNew(job)
	b.touch(job)
	b.after(func() { job.exists = true })
	b.beginDue(now, wallMS, job)
	return false, nil
}

func (b *Book) newJob(now time.Duration, id, queue string, body []byte) (*Job, error) {
	spec := &Spec{}
	if err := spec.UnmarshalJSON(body); err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	if err := spec.Check(); err != nil {
		return nil, err
	}
	return &Job{ID: id, Queue: queue, Spec: spec, State: Queued, shown: Queued, accepted: now}, nil
}

// beginDue begins the times of a job whose moment has come.
func (b *Book) beginDue(now time.Duration, wallMS int64, job *Job) {
	for job.Next < job.repeats() && !job.over() {
		due := job.Spec.StartAtMS + int64(job.Next)*job.Spec.IntervalMS
		if job.Spec.StartAtMS > 0 && wallMS < due {
			b.timed[job.ID] = job
			return
		}
		t := job.newTime(job.Next, now)
		job.Next++
		b.touch(job)
		for stage := range t.Stages {
			b.enqueueStage(now, job, t, stage)
		}
	}
	delete(b.timed, job.ID)
}

// enqueueStage queues the waiting tasks of a step whose turn has come.
func (b *Book) enqueueStage(now time.Duration, job *Job, t *Time, stage int) {
	if !job.ready(t, stage) {
		return
	}
	for index := range t.Stages[stage].Tasks {
		if t.Stages[stage].Tasks[index].State == Waiting {
			b.enqueue(now, job, t, stage, index)
		}
	}
}

// enqueue queues a task. A gang is queued once all its members wait.
func (b *Book) enqueue(now time.Duration, job *Job, t *Time, stage, index int) {
	step := &job.Spec.Stages[stage]
	for _, u := range job.units {
		if u.time == t && u.stage == stage {
			u.tasks = append(u.tasks, index)
			u.queue.wanted += b.part(step)
			b.wake = true
			return
		}
	}
	q := b.queue(job.Queue)
	b.units++
	u := &unit{
		job: job, time: t, stage: stage, queue: q, tasks: []int{index}, order: b.units, since: now, gang: step.Gang,
		deadline: b.deadline(q, job, t),
	}
	job.units = append(job.units, u)
	q.waiting.ReplaceOrInsert(u)
	q.wanted += b.part(step)
	b.wake = true
}

// part returns how much of a usual worker one task of a step takes.
func (b *Book) part(step *Stage) float64 {
	if b.mean.CPU == 0 {
		return 0
	}
	return min(1, b.mean.part(step.demand()))
}

// deadline returns when a job should be done: its longest chain of estimates, extended, and the queue's target.
func (b *Book) deadline(q *Queue, job *Job, t *Time) time.Duration {
	chain := make([]time.Duration, len(job.Spec.Stages))
	longest := time.Duration(0)
	for i := range job.Spec.Stages {
		before := time.Duration(0)
		for _, earlier := range job.Spec.Stages[i].DependsOn {
			before = max(before, chain[earlier])
		}
		chain[i] = before + q.expected(&job.Spec.Stages[i])
		longest = max(longest, chain[i])
	}
	target := time.Duration(q.TargetLatencyMS * float64(time.Millisecond))
	return t.due + target + time.Duration(q.Extension*float64(longest))
}

// dequeue takes tasks out of a unit, and the unit out of its queue when it is empty.
func (b *Book) dequeue(u *unit, count int) {
	u.tasks = u.tasks[count:]
	u.queue.wanted = max(0, u.queue.wanted-float64(count)*b.part(&u.job.Spec.Stages[u.stage]))
	if len(u.tasks) > 0 {
		return
	}
	u.queue.waiting.Delete(u)
	if u.queue.waiting.Len() == 0 {
		u.queue.wanted = 0
	}
	for i, other := range u.job.units {
		if other == u {
			u.job.units = append(u.job.units[:i], u.job.units[i+1:]...)
			break
		}
	}
}

// Cancel ends a job. It reports whether there is one; it is durable with all changes so far.
func (b *Book) Cancel(now time.Duration, id string) (known bool) {
	job := b.jobs[id]
	if job == nil {
		return false
	}
	if !job.over() {
		b.end(now, job, Cancelled)
	}
	return true
}

// end ends a job and what it has under way.
func (b *Book) end(now time.Duration, job *Job, state State) {
	job.State = state
	job.ended = now
	b.ended = append(b.ended, job)
	delete(b.timed, job.ID)
	b.countEnded(job)
	for len(job.units) > 0 {
		u := job.units[0]
		b.dequeue(u, len(u.tasks))
	}
	if state != Completed {
		b.stopRuns(job)
	}
	b.touch(job)
	b.after(func() { job.shown = state })
}

func (b *Book) stopRuns(job *Job) {
	for _, t := range job.Times {
		for stage := range t.Stages {
			for index := range t.Stages[stage].Tasks {
				b.stopTask(job, t, stage, index)
			}
		}
	}
}

// stopTask orders the end of a task's run, if it has one.
func (b *Book) stopTask(job *Job, t *Time, stage, index int) {
	task := &t.Stages[stage].Tasks[index]
	w := b.workers[task.Worker]
	if task.State != Assigned || w == nil {
		return
	}
	run := w.Runs[RunRef{TaskName(job.ID, t.Number, stage, index), task.Attempt}]
	if run != nil && !run.stopping {
		run.stopping = true
		run.lastSent = 0
		w.dirty = true
	}
}

// Status returns the state of a job as far as it is durable.
func (b *Book) Status(id string) (State, bool) {
	job := b.jobs[id]
	if job == nil || !job.exists {
		return "", false
	}
	return job.visible(), true
}

// Uncertain reports whether a job is known but not durable yet.
func (b *Book) Uncertain(id string) bool {
	job := b.jobs[id]
	return job != nil && !job.exists
}

// countNew counts a job that has not ended.
func (b *Book) countNew(job *Job) {
	q := b.queue(job.Queue)
	q.unended++
	if !job.begun {
		q.unbegun++
	}
}

// countEnded takes a job that ends out of the counts.
func (b *Book) countEnded(job *Job) {
	q := b.queue(job.Queue)
	q.unended--
	if !job.begun {
		q.unbegun--
	}
}

// noteBegun notes that a worker has begun a task of a job.
func (b *Book) noteBegun(job *Job) {
	if job == nil || job.begun {
		return
	}
	job.begun = true
	if !job.over() {
		b.queue(job.Queue).unbegun--
	}
}

// Pending returns how many jobs of a queue have not ended and have no task that a worker has begun.
func (b *Book) Pending(queue string) int {
	if q := b.queues[queue]; q != nil {
		return q.unbegun
	}
	return 0
}

// Unended returns how many jobs have not ended.
func (b *Book) Unended() int { return len(b.jobs) - len(b.ended) }

// touch notes that a job's record has changed.
func (b *Book) touch(job *Job) {
	if !job.dirty {
		job.dirty = true
		b.dirty = append(b.dirty, job)
	}
}

// after has something happen once all changes so far are durable.
func (b *Book) after(run func()) { b.unflushed = append(b.unflushed, run) }

// Flush hands all changes since the last call to put, which numbers them, and returns the last number.
func (b *Book) Flush(put func(Change) int64, last int64) (int64, error) {
	for _, change := range b.specs {
		last = put(change)
	}
	b.specs = b.specs[:0]
	for _, job := range b.dirty {
		job.dirty = false
		value, err := job.encode()
		if err != nil {
			return last, err
		}
		last = put(Change{Key: jobPrefix + job.ID, Value: value})
	}
	b.dirty = b.dirty[:0]
	for _, key := range b.dropped {
		last = put(Change{Key: key})
	}
	b.dropped = b.dropped[:0]
	for _, run := range b.unflushed {
		b.effects = append(b.effects, effect{last, run})
	}
	b.unflushed = b.unflushed[:0]
	return last, nil
}

// Committed tells that all changes up to a number are durable.
func (b *Book) Committed(sequence int64) {
	n := 0
	for n < len(b.effects) && b.effects[n].sequence <= sequence {
		b.effects[n].run()
		n++
	}
	b.effects = b.effects[n:]
}
