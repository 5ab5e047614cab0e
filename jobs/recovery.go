package jobs

import (
	"fmt"
	"strings"
	"time"

	"sedgevale/internal/avrocodec"
)

// Restore takes over the records of a shard. Runs that its former owner may have sent are taken to be at their
// workers until these are heard or have surely lapsed.
func (s *Book) Restore(now time.Duration, records []Change, service string) error {
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
		if err := s.restoreJob(now, id, spec, r.Value); err != nil {
			return err
		}
	}
	return nil
}

func (s *Book) restoreJob(now time.Duration, id string, spec specRecord, value []byte) error {
	job, err := s.parseJob(now, id, spec.Queue, spec.Body)
	if err != nil {
		return fmt.Errorf("job %s: %w", id, err)
	}
	if err := job.decode(value); err != nil {
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

func (s *Book) restoreRuns(now time.Duration, job *Job, occurrence *Occurrence, stageIndex int) {
	stage := &job.Spec.Stages[stageIndex]
	for index := range occurrence.Stages[stageIndex].Tasks {
		task := &occurrence.Stages[stageIndex].Tasks[index]
		if task.State != TaskAssigned {
			continue
		}
		w := s.workers[task.Worker]
		if w == nil {
			instance, side, _ := strings.Cut(task.Worker, "@")
			w = &Worker{
				Ref: task.Worker, Instance: instance, Side: side, State: Unconfirmed, loadLimit: 1, slowdown: 1,
				Runs: map[RunRef]*Run{}, lastReport: now, leaseExpiry: now + s.options.LapseAfter,
			}
			s.addWorker(w)
		}
		w.add(&Run{
			Key: RunRef{TaskName(job.ID, occurrence.Number, stageIndex, index), task.Attempt}, job: job,
			position: taskPosition{job.ID, occurrence.Number, stageIndex, index}, demand: stage.demand(), queue: s.queue(job.Queue),
			durable: true, stopping: job.hasEnded(), assignedAt: now, worker: w.Ref,
		})
	}
}
