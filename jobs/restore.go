package jobs

import (
	"fmt"
	"strings"
	"time"

	"sedgevale/internal/avrocodec"
)

// Restore takes over the records of a shard. Runs that its former owner may have sent are taken to be at their
// workers until these are heard or have surely lapsed.
func (b *Book) Restore(now time.Duration, records []Change, service string) error {
	specs := map[string]specRecord{}
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, specPrefix); ok {
			var spec specRecord
			if err := avrocodec.Decode(r.Value, &spec); err != nil {
				return fmt.Errorf("record %s: %w", r.Key, err)
			}
			specs[id] = spec
		}
	}
	for _, r := range records {
		id, ok := strings.CutPrefix(r.Key, jobPrefix)
		spec, whole := specs[id]
		if !ok || !whole {
			continue
		}
		if err := b.restoreJob(now, id, spec, r.Value); err != nil {
			return err
		}
	}
	return nil
}

func (b *Book) restoreJob(now time.Duration, id string, spec specRecord, value []byte) error {
	job, err := b.newJob(now, id, spec.Queue, spec.Body)
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	if err := job.decode(value); err != nil {
		return err
	}
	job.exists = true
	job.shown = job.State
	b.jobs[id] = job
	b.queue(job.Queue)
	if job.over() {
		job.ended = now
		b.ended = append(b.ended, job)
	} else {
		b.countNew(job)
		b.timed[id] = job
	}
	for _, t := range job.Times {
		t.due = now
		for stage := range t.Stages {
			b.restoreRuns(now, job, t, stage)
		}
		if job.over() || t.Done {
			continue
		}
		for stage := range t.Stages {
			b.requeueStage(now, job, t, stage)
		}
	}
	return nil
}

func (b *Book) restoreRuns(now time.Duration, job *Job, t *Time, stage int) {
	step := &job.Spec.Stages[stage]
	for index := range t.Stages[stage].Tasks {
		task := &t.Stages[stage].Tasks[index]
		if task.State != Assigned {
			continue
		}
		w := b.workers[task.Worker]
		if w == nil {
			instance, side, _ := strings.Cut(task.Worker, "@")
			w = &Worker{
				Ref: task.Worker, Instance: instance, Side: side, State: Unheard, sigma: 1, pace: 1,
				Runs: map[RunRef]*Run{}, heard: now, expiry: now + b.options.LapseAfter,
			}
			b.addWorker(w)
		}
		w.add(&Run{
			Key: RunRef{TaskName(job.ID, t.Number, stage, index), task.Attempt}, job: job,
			at: place{job.ID, t.Number, stage, index}, demand: step.demand(), queue: b.queue(job.Queue),
			durable: true, stopping: job.over(), placed: now, worker: w.Ref,
		})
	}
}

// requeueStage queues what waits of a step; a gang only once none of its members is assigned.
func (b *Book) requeueStage(now time.Duration, job *Job, t *Time, stage int) {
	if job.Spec.Stages[stage].Gang {
		for index := range t.Stages[stage].Tasks {
			if t.Stages[stage].Tasks[index].State == Assigned {
				return
			}
		}
	}
	b.enqueueStage(now, job, t, stage)
}
