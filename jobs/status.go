package jobs

// JobRef refers to a job as clients do. An ID names one job of a shard at a time; a reference under another endpoint than the
// job's does not find it. An empty Endpoint, which edge schedulers of earlier releases send, refers to a job of any endpoint.
type JobRef struct {
	Endpoint string
	ID       string
}

// isReferredToBy reports whether a reference with the job's ID refers to the job. Jobs without an endpoint, which earlier releases
// accepted, are found under any.
func (j *Job) isReferredToBy(ref JobRef) bool {
	return j.Endpoint == ref.Endpoint || j.Endpoint == "" || ref.Endpoint == ""
}

// job returns the job that a reference refers to, or nil.
func (s *Scheduler) job(ref JobRef) *Job {
	if job := s.jobs[ref.ID]; job != nil && job.isReferredToBy(ref) {
		return job
	}
	return nil
}

// HasJob reports whether the job is known.
func (s *Scheduler) HasJob(ref JobRef) bool { return s.job(ref) != nil }

// KnownEndpoints returns the endpoints of all known jobs and of all remembered cancellations. It contains the empty endpoint if a job
// has none.
func (s *Scheduler) KnownEndpoints() map[string]bool {
	known := map[string]bool{}
	for _, job := range s.jobs {
		known[job.Endpoint] = true
	}
	for ref := range s.cancellations.known {
		known[ref.Endpoint] = true
	}
	return known
}

// Status returns the committed state of a job and whether the job is known and its record committed.
func (s *Scheduler) Status(ref JobRef) (State, bool) {
	job := s.job(ref)
	if job == nil || !job.durable {
		return "", false
	}
	return job.visibleState(), true
}

// CommitPending reports whether a job was accepted but its record is not yet committed.
func (s *Scheduler) CommitPending(ref JobRef) bool {
	job := s.job(ref)
	return job != nil && !job.durable
}

// pendingKey is what pending jobs are counted by for clients: their endpoint or, if they have none, their queue.
type pendingKey struct{ endpoint, queue string }

func (j *Job) pendingKey() pendingKey {
	if j.Endpoint != "" {
		return pendingKey{endpoint: j.Endpoint}
	}
	return pendingKey{queue: j.Queue}
}

// PendingJobs returns the number of active jobs of an endpoint of which no task has ever run, with those of its queue that have no
// endpoint. An empty endpoint counts all of the queue.
func (s *Scheduler) PendingJobs(queue, endpoint string) int {
	if endpoint != "" {
		return s.pendingJobs[pendingKey{endpoint: endpoint}] + s.pendingJobs[pendingKey{queue: queue}]
	}
	if q := s.queues[queue]; q != nil {
		return q.pendingJobs
	}
	return 0
}

// addPending adds a number to the counts of pending jobs that a job belongs to.
func (s *Scheduler) addPending(job *Job, number int) {
	s.queue(job.Queue).pendingJobs += number
	key := job.pendingKey()
	s.pendingJobs[key] += number
	if s.pendingJobs[key] == 0 {
		delete(s.pendingJobs, key)
	}
}

// ActiveJobs returns the number of jobs that have not ended.
func (s *Scheduler) ActiveJobs() int { return len(s.jobs) - len(s.ended) }

// countJob counts a job as active.
func (s *Scheduler) countJob(job *Job) {
	s.queue(job.Queue).activeJobs++
	if !job.everRan {
		s.addPending(job, 1)
	}
}

// uncountJob removes an ending job from the counts of active jobs.
func (s *Scheduler) uncountJob(job *Job) {
	s.queue(job.Queue).activeJobs--
	if !job.everRan {
		s.addPending(job, -1)
	}
}

// markRan records that a worker has run a task of the job, which may be nil.
func (s *Scheduler) markRan(job *Job) {
	if job == nil || job.everRan {
		return
	}
	job.everRan = true
	if !job.hasEnded() {
		s.addPending(job, -1)
	}
}
