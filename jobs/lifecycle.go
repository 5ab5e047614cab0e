package jobs

import (
	"fmt"
	"time"

	"sedgevale/internal/avrocodec"
)

// Submit takes a job. One that is known under its ID stays as it is. Durable reports whether its record is
// already stored; otherwise it is once all changes so far are.
func (s *Book) Submit(now time.Duration, wallMS int64, id, queue string, body []byte) (durable bool, err error) {
	if known := s.jobs[id]; known != nil {
		return known.durable, nil
	}
	job, err := s.parseJob(now, id, queue, body)
	if err != nil {
		return false, err
	}
	record, err := avrocodec.Encode(&specRecord{Queue: queue, Body: body})
	if err != nil {
		return false, err
	}
	s.newSpecs = append(s.newSpecs, Change{Key: specPrefix + id, Value: record})
	s.jobs[id] = job
	s.countJob(job)
	s.markDirty(job)
	s.onDurable(func() { job.durable = true })
	s.startDueOccurrences(now, wallMS, job)
	return false, nil
}

func (s *Book) parseJob(now time.Duration, id, queue string, body []byte) (*Job, error) {
	spec := &Spec{}
	if err := spec.UnmarshalJSON(body); err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	if err := spec.Check(); err != nil {
		return nil, err
	}
	return &Job{ID: id, Queue: queue, Spec: spec, State: Queued, durableState: Queued, acceptedAt: now}, nil
}

// startDueOccurrences begins the times of a job whose moment has come.
func (s *Book) startDueOccurrences(now time.Duration, wallMS int64, job *Job) {
	for job.NextOccurrence < job.occurrenceCount() && !job.hasEnded() {
		due := job.Spec.StartAtMS + int64(job.NextOccurrence)*job.Spec.IntervalMS
		if job.Spec.StartAtMS > 0 && wallMS < due {
			s.delayed[job.ID] = job
			return
		}
		occurrence := job.addOccurrence(job.NextOccurrence, now)
		job.NextOccurrence++
		s.markDirty(job)
		for stageIndex := range occurrence.Stages {
			s.enqueueStage(now, job, occurrence, stageIndex)
		}
	}
	delete(s.delayed, job.ID)
}

// Cancel ends a job. It reports whether there is one; it is durable with all changes so far.
func (s *Book) Cancel(now time.Duration, id string) (known bool) {
	job := s.jobs[id]
	if job == nil {
		return false
	}
	if !job.hasEnded() {
		s.endJob(now, job, Cancelled)
	}
	return true
}

// endJob ends a job and what it has under way.
func (s *Book) endJob(now time.Duration, job *Job, state State) {
	job.State = state
	job.endedAt = now
	s.ended = append(s.ended, job)
	delete(s.delayed, job.ID)
	s.uncountJob(job)
	for len(job.pending) > 0 {
		group := job.pending[0]
		s.dequeue(group, len(group.tasks))
	}
	if state != Completed {
		s.stopRuns(job)
	}
	s.markDirty(job)
	s.onDurable(func() { job.durableState = state })
}

func (s *Book) completeJobIfDone(now time.Duration, job *Job) {
	if job.NextOccurrence < job.occurrenceCount() {
		return
	}
	for _, occurrence := range job.Occurrences {
		if !occurrence.Done {
			return
		}
	}
	s.endJob(now, job, Completed)
}

func (s *Book) stopRuns(job *Job) {
	for _, occurrence := range job.Occurrences {
		for stageIndex := range occurrence.Stages {
			for index := range occurrence.Stages[stageIndex].Tasks {
				s.stopTask(job, occurrence, stageIndex, index)
			}
		}
	}
}

// stopTask orders the end of a task's run, if it has one.
func (s *Book) stopTask(job *Job, occurrence *Occurrence, stageIndex, index int) {
	task := &occurrence.Stages[stageIndex].Tasks[index]
	w := s.workers[task.Worker]
	if task.State != TaskAssigned || w == nil {
		return
	}
	run := w.Runs[RunRef{TaskName(job.ID, occurrence.Number, stageIndex, index), task.Attempt}]
	if run != nil && !run.stopping {
		run.stopping = true
		run.lastSent = 0
		w.ordersDue = true
	}
}

// deleteEndedJobs drops the records of jobs that ended long ago.
func (s *Book) deleteEndedJobs(now time.Duration) {
	n := 0
	for n < len(s.ended) && now-s.ended[n].endedAt > s.options.KeepEnded {
		job := s.ended[n]
		delete(s.jobs, job.ID)
		s.deletedKeys = append(s.deletedKeys, specPrefix+job.ID, jobPrefix+job.ID)
		n++
	}
	s.ended = s.ended[n:]
}
