package jobs

// Status returns the committed state of a job and whether the job is known and its record committed.
func (s *Scheduler) Status(id string) (State, bool) {
	job := s.jobs[id]
	if job == nil || !job.durable {
		return "", false
	}
	return job.visibleState(), true
}

// CommitPending reports whether a job was accepted but its record is not yet committed.
func (s *Scheduler) CommitPending(id string) bool {
	job := s.jobs[id]
	return job != nil && !job.durable
}

// PendingJobs returns the number of active jobs of a queue of which no task has ever run.
func (s *Scheduler) PendingJobs(queue string) int {
	if q := s.queues[queue]; q != nil {
		return q.pendingJobs
	}
	return 0
}

// ActiveJobs returns the number of jobs that have not ended.
func (s *Scheduler) ActiveJobs() int { return len(s.jobs) - len(s.ended) }

// countJob counts a job as active.
func (s *Scheduler) countJob(job *Job) {
	q := s.queue(job.Queue)
	q.activeJobs++
	if !job.everRan {
		q.pendingJobs++
	}
}

// uncountJob removes an ending job from the counts of active jobs.
func (s *Scheduler) uncountJob(job *Job) {
	q := s.queue(job.Queue)
	q.activeJobs--
	if !job.everRan {
		q.pendingJobs--
	}
}

// markRan records that a worker has run a task of the job, which may be nil.
func (s *Scheduler) markRan(job *Job) {
	if job == nil || job.everRan {
		return
	}
	job.everRan = true
	if !job.hasEnded() {
		s.queue(job.Queue).pendingJobs--
	}
}
