package jobs

import (
	"fmt"
	"strings"
	"time"

	"sedgevale/internal/avrocodec"
)

// Restore initializes a new scheduler from the records of its shard. It assumes that every run whose start the previous owner
// may have sent is active until the worker is reported or the lease is certain to have expired. An error names the job or
// record that cannot be decoded.
func (s *Scheduler) Restore(now time.Duration, records []Change) error {
	specs := map[string]specRecord{}
	parts := map[string]map[partNumber][]byte{} // keyed by job ID
	for _, r := range records {
		if id, ok := strings.CutPrefix(r.Key, specPrefix); ok {
			var spec specRecord
			if err := avrocodec.Decode(r.Value, &spec); err != nil {
				return fmt.Errorf("cannot decode record %s: %w", r.Key, err)
			}
			specs[id] = spec
		}
		if id, number, ok := parsePartKey(r.Key); ok {
			if parts[id] == nil {
				parts[id] = map[partNumber][]byte{}
			}
			parts[id][number] = r.Value
		}
	}
	for _, r := range records {
		if s.restoreCancellation(now, r.Key) {
			continue
		}
		id, ok := strings.CutPrefix(r.Key, jobPrefix)
		spec, hasSpec := specs[id]
		if !ok || !hasSpec {
			continue
		}
		if err := s.restoreJob(now, id, spec, r.Value, parts[id]); err != nil {
			return err
		}
	}
	s.deleteUnusedParts(parts)
	return nil
}

// deleteUnusedParts deletes the stored parts that no restored job refers to. A previous owner may have been deposed before the
// change that they belong to was complete.
func (s *Scheduler) deleteUnusedParts(parts map[string]map[partNumber][]byte) {
	for id, numbers := range parts {
		job := s.jobs[id]
		for number := range numbers {
			if job == nil || job.parts == nil || !job.parts.stored[number] {
				s.deletedKeys = append(s.deletedKeys, number.recordKey(id))
			}
		}
	}
}

// restoreJob restores a job from its records.
func (s *Scheduler) restoreJob(now time.Duration, id string, spec specRecord, value []byte, parts map[partNumber][]byte) error {
	job, err := parseJob(&Submission{ID: id, Endpoint: spec.Endpoint, Queue: spec.Queue, Body: spec.Body})
	if err != nil {
		return fmt.Errorf("cannot restore the specification of job %s: %w", id, err)
	}
	if err := job.decode(value, parts); err != nil {
		return err
	}
	job.durable = true
	job.durableState = job.State
	s.jobs[id] = job
	s.queue(job.Queue)
	if job.hasEnded() {
		job.endedAt = now
		s.ended = append(s.ended, job)
	} else {
		s.countJob(job)
		s.delayed[id] = job
	}
	for _, occurrence := range job.Occurrences {
		occurrence.dueAt = now
		for stageIndex := range occurrence.Stages {
			s.restoreRuns(now, job, occurrence, stageIndex)
		}
		if job.hasEnded() || occurrence.Done {
			continue
		}
		for stageIndex := range occurrence.Stages {
			s.requeueStage(now, job, occurrence, stageIndex)
		}
	}
	return nil
}

// restoreRuns restores the runs of a stage's assigned tasks and adds their workers if they are unknown.
func (s *Scheduler) restoreRuns(now time.Duration, job *Job, occurrence *Occurrence, stageIndex int) {
	for index := range occurrence.Stages[stageIndex].Tasks {
		task := &occurrence.Stages[stageIndex].Tasks[index]
		if task.State != TaskAssigned {
			continue
		}
		w := s.workers[task.Worker]
		if w == nil {
			w = s.restoreWorker(now, task.Worker)
		}
		run := newRun(now, taskPosition{job.ID, occurrence.Number, stageIndex, index}, job, task, s.queue(job.Queue))
		run.durable = true
		run.stopping = job.hasEnded()
		w.add(run) // the share stays 0 until the capacity of the worker is known
	}
}

// restoreWorker adds a worker that is known only from restored records.
func (s *Scheduler) restoreWorker(now time.Duration, ref string) *Worker {
	instance, agent, _ := strings.Cut(ref, "@")
	w := newWorker(now, ref, instance, agent)
	w.State = Unconfirmed
	w.leaseExpiry = now + s.options.LeaseTimeout
	s.addWorker(w)
	return w
}
