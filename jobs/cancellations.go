package jobs

import (
	"errors"
	"math"
	"strings"
	"time"
	"unique"
)

// cancellationPrefix is the key prefix of the record of a remembered cancellation. The job ID and the endpoint follow, with a slash
// between them.
const cancellationPrefix = "c/"

// cancellationValue is the value of the record of a remembered cancellation. A record without a value would be a deletion.
var cancellationValue = []byte{1}

// maxCancellations is the maximum number of remembered cancellations of a shard. Beyond it the oldest one is forgotten, and
// submissions that may be older than that one are refused with ErrOutdated.
const maxCancellations = 65536

// ErrCancelled is the error for a job that was cancelled before its submission arrived.
var ErrCancelled = errors.New("the job was cancelled before it was submitted")

// ErrOutdated is the error for a job that may have been cancelled before its submission arrived: the submission may have been sent
// before a cancellation that is forgotten. Sent again, it is accepted.
var ErrOutdated = errors.New("the job may have been cancelled before it was submitted")

// cancellations remembers the cancellations of jobs that were unknown, so that a submission that is read after the answer to its
// cancellation does not start the job. They are remembered for as long as ended jobs.
type cancellations struct {
	known       map[JobRef]bool
	order       []cancellation // oldest first
	forgottenAt time.Duration  // time of the newest cancellation that was forgotten since there were too many
}

// cancellation is a remembered cancellation.
type cancellation struct {
	ref JobRef
	at  time.Duration // time of the cancellation or, after a failover, at which it was restored
}

func newCancellations() *cancellations {
	return &cancellations{known: map[JobRef]bool{}, forgottenAt: math.MinInt64}
}

// add remembers a cancellation that is not yet known.
func (c *cancellations) add(now time.Duration, ref JobRef) {
	ref.Endpoint = unique.Make(ref.Endpoint).Value() // many cancellations share few endpoints
	c.known[ref] = true
	c.order = append(c.order, cancellation{ref, now})
}

// forget forgets the oldest cancellations that were added up to a time, and those beyond maxCancellations, and returns them.
func (c *cancellations) forget(upTo time.Duration) []cancellation {
	n := max(0, len(c.order)-maxCancellations)
	if n > 0 {
		c.forgottenAt = c.order[n-1].at
	}
	for n < len(c.order) && c.order[n].at <= upTo {
		n++
	}
	forgotten := c.order[:n]
	for _, oldest := range forgotten {
		delete(c.known, oldest.ref)
	}
	c.order = c.order[n:]
	return forgotten
}

// RememberCancellation lets later submissions of an unknown job fail with ErrCancelled. The cancellation is durable once all changes
// up to and including the next Flush are.
func (s *Scheduler) RememberCancellation(now time.Duration, ref JobRef) {
	if s.cancellations.known[ref] {
		return
	}
	s.cancellations.add(now, ref)
	s.newRecords = append(s.newRecords, Change{Key: cancellationKey(ref), Value: cancellationValue})
	s.forgetCancellations(now)
}

// checkCancellation returns ErrCancelled or ErrOutdated if an unknown job must not be accepted.
func (s *Scheduler) checkCancellation(now time.Duration, submission *Submission) error {
	if s.IsCancelled(submission.Ref()) {
		return ErrCancelled
	}
	if submission.MaxWait > 0 && now-submission.MaxWait <= s.cancellations.forgottenAt {
		return ErrOutdated
	}
	return nil
}

// IsCancelled reports whether the cancellation of an unknown job is remembered.
func (s *Scheduler) IsCancelled(ref JobRef) bool { return s.cancellations.known[ref] }

// Cancellations returns the number of remembered cancellations.
func (s *Scheduler) Cancellations() int { return len(s.cancellations.order) }

// forgetCancellations forgets the cancellations that are too old or too many, and deletes their records.
func (s *Scheduler) forgetCancellations(now time.Duration) {
	for _, forgotten := range s.cancellations.forget(now - s.options.EndedJobTTL) {
		s.deletedKeys = append(s.deletedKeys, cancellationKey(forgotten.ref))
	}
}

// restoreCancellation restores a remembered cancellation from the key of its record. It reports false for any other key.
func (s *Scheduler) restoreCancellation(now time.Duration, key string) bool {
	rest, ok := strings.CutPrefix(key, cancellationPrefix)
	if !ok {
		return false
	}
	id, endpoint, _ := strings.Cut(rest, "/")
	s.cancellations.add(now, JobRef{Endpoint: endpoint, ID: id})
	if len(s.cancellations.order) >= maxCancellations {
		s.cancellations.forgottenAt = now // the previous owner may have forgotten some
	}
	return true
}

func cancellationKey(ref JobRef) string { return cancellationPrefix + ref.ID + "/" + ref.Endpoint }
