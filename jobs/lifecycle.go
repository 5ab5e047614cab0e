package jobs

import (
	"errors"
	"fmt"
	"reflect"
	"time"

	"sedgevale/internal/avrocodec"
)

// InvalidJobError is the error for a job with an invalid body. Its text is that of Cause, which names the invalid field.
type InvalidJobError struct{ Cause error }

func (e *InvalidJobError) Error() string { return e.Cause.Error() }

func (e *InvalidJobError) Unwrap() error { return e.Cause }

// ErrIDInUse is the error for a job whose ID another job has.
var ErrIDInUse = errors.New("another job has this ID")

// Submission is a job as a client submits it.
type Submission struct {
	ID       string
	Endpoint string // host and path prefix that the client used; empty if an edge scheduler of an earlier release sent it
	Queue    string // name of the queue
	Body     []byte // Spec as JSON

	// MaxWait is the upper limit on the time for which the submission may have waited to be read; 0 if it was read at once.
	MaxWait time.Duration
}

// Ref returns the reference to the submitted job.
func (s *Submission) Ref() JobRef { return JobRef{Endpoint: s.Endpoint, ID: s.ID} }

// Submit accepts a job. It is idempotent: a job with a known ID and the same specification is not accepted again. The result
// durable reports whether the job's record is already committed; otherwise it is durable once all changes up to and including the
// next Flush are. On any error the job was not accepted. The error is an *InvalidJobError if the body is invalid, ErrIDInUse if
// a job with another specification or of another endpoint has the ID, ErrCancelled if the job was cancelled before, and
// ErrOutdated if it may have been.
//
// The queue is not compared: its name is that of the route, which an operator may have changed since the first submission.
func (s *Scheduler) Submit(now time.Duration, wallMS int64, submission *Submission) (durable bool, err error) {
	job, err := parseJob(submission)
	if err != nil {
		return false, &InvalidJobError{err}
	}
	if known := s.jobs[job.ID]; known != nil {
		if !known.isReferredToBy(submission.Ref()) || !reflect.DeepEqual(known.Spec, job.Spec) {
			return false, ErrIDInUse
		}
		return known.durable, nil
	}
	if err := s.checkCancellation(now, submission); err != nil {
		return false, err
	}
	record, err := avrocodec.Encode(&specRecord{Queue: job.Queue, Body: submission.Body, Endpoint: job.Endpoint})
	if err != nil {
		return false, fmt.Errorf("record of the job: %w", err)
	}
	s.newRecords = append(s.newRecords, Change{Key: specPrefix + job.ID, Value: record})
	s.jobs[job.ID] = job
	s.countJob(job)
	s.markDirty(job)
	s.onDurable(func() { job.durable = true })
	s.startDueOccurrences(now, wallMS, job)
	return false, nil
}

// parseJob parses and validates the body of a submitted job.
func parseJob(submission *Submission) (*Job, error) {
	if len(submission.Body) > MaxBodyBytes {
		return nil, fmt.Errorf("%d bytes, %d at most", len(submission.Body), MaxBodyBytes)
	}
	spec := &Spec{}
	if err := spec.UnmarshalJSON(submission.Body); err != nil {
		return nil, fmt.Errorf("cannot be read: %w", err)
	}
	if err := spec.Validate(); err != nil {
		return nil, err
	}
	return &Job{
		ID: submission.ID, Endpoint: submission.Endpoint, Queue: submission.Queue, Spec: spec, State: Queued, durableState: Queued,
	}, nil
}

// startDueOccurrences enqueues the due occurrences of a job. Only the schedule that starts at StartAtMS is compared with the
// wall clock. A due occurrence that would exceed maxUnfinishedTasks waits until earlier ones are done.
func (s *Scheduler) startDueOccurrences(now time.Duration, wallMS int64, job *Job) {
	for job.NextOccurrence < job.occurrenceCount() && !job.hasEnded() {
		due := job.Spec.StartAtMS + int64(job.NextOccurrence)*job.Spec.IntervalMS
		notDue := job.Spec.StartAtMS > 0 && wallMS < due
		if notDue || !job.hasRoomForOccurrence() {
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

// Cancel cancels a job unless it has ended, and reports whether the job is known. The cancellation is durable once all changes
// up to and including the next Flush are.
func (s *Scheduler) Cancel(now time.Duration, ref JobRef) (known bool) {
	job := s.job(ref)
	if job == nil {
		return false
	}
	if !job.hasEnded() {
		s.endJob(now, job, Cancelled)
	}
	return true
}

// endJob moves a job to a final state, dequeues its pending tasks and, unless the job completed, stops its runs.
func (s *Scheduler) endJob(now time.Duration, job *Job, state State) {
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

// completeJobIfDone completes a job if all of its occurrences are done.
func (s *Scheduler) completeJobIfDone(now time.Duration, job *Job) {
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

// stopRuns stops all runs of a job.
func (s *Scheduler) stopRuns(job *Job) {
	for _, occurrence := range job.Occurrences {
		for stageIndex := range occurrence.Stages {
			for index := range occurrence.Stages[stageIndex].Tasks {
				s.stopTask(job, occurrence, stageIndex, index)
			}
		}
	}
}

// stopTask stops the run of a task if it has one.
func (s *Scheduler) stopTask(job *Job, occurrence *Occurrence, stageIndex, index int) {
	task := &occurrence.Stages[stageIndex].Tasks[index]
	w := s.workers[task.Worker]
	if task.State != TaskAssigned || w == nil {
		return
	}
	run := w.Runs[RunRef{TaskName(job.ID, occurrence.Number, stageIndex, index), task.Attempt}]
	if run != nil && !run.stopping {
		run.stop()
		w.ordersDue = true
	}
}

// deleteEndedJobs deletes jobs that ended more than EndedJobTTL ago, together with their records.
func (s *Scheduler) deleteEndedJobs(now time.Duration) {
	n := 0
	for n < len(s.ended) && now-s.ended[n].endedAt > s.options.EndedJobTTL {
		job := s.ended[n]
		delete(s.jobs, job.ID)
		s.deletedKeys = append(s.deletedKeys, specPrefix+job.ID, jobPrefix+job.ID)
		s.deletedKeys = append(s.deletedKeys, job.parts.recordKeys(job.ID)...)
		n++
	}
	s.ended = s.ended[n:]
}
