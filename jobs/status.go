package jobs

// Status returns the state of a job as far as it is durable.
func (s *Book) Status(id string) (State, bool) {
	job := s.jobs[id]
	if job == nil || !job.durable {
		return "", false
	}
	return job.visibleState(), true
}

// Uncertain reports whether a job is known but not durable yet.
func (s *Book) Uncertain(id string) bool {
	job := s.jobs[id]
	return job != nil && !job.durable
}

// Pending returns how many jobs of a queue have not ended and have no task that a worker has begun.
func (s *Book) Pending(queue string) int {
	if q := s.queues[queue]; q != nil {
		return q.pendingJobs
	}
	return 0
}

// Unended returns how many jobs have not ended.
func (s *Book) Unended() int { return len(s.jobs) - len(s.ended) }

// countJob counts a job that has not ended.
func (s *Book) countJob(job *Job) {
	q := s.queue(job.Queue)
	q.activeJobs++
	if !job.everRan {
		q.pendingJobs++
	}
}

// uncountJob takes a job that ends out of the counts.
func (s *Book) uncountJob(job *Job) {
	q := s.queue(job.Queue)
	q.activeJobs--
	if !job.everRan {
		q.pendingJobs--
	}
}

// markRan notes that a worker has begun a task of a job.
func (s *Book) markRan(job *Job) {
	if job == nil || job.everRan {
		return
	}
	job.everRan = true
	if !job.hasEnded() {
		s.queue(job.Queue).pendingJobs--
	}
}
