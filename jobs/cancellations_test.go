package jobs

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

const cancelledBody = `{"spec":"x","stages":[{"count":2,"cpu":100}]}`

// cancelTest is a scheduler whose jobs are cancelled before they are submitted, with its records.
type cancelTest struct {
	*Scheduler

	t     *testing.T
	store *recordStore
	now   time.Duration
}

func newCancelTest(t *testing.T) *cancelTest {
	c := &cancelTest{t: t, store: &recordStore{records: map[string][]byte{}}}
	c.Scheduler = newTestScheduler(time.Second, rand.New(rand.NewPCG(1, 1)), []QueueConfig{{Name: "q", Retries: 2}})
	return c
}

// submit submits a job of the endpoint h/q/ and returns the error.
func (c *cancelTest) submit(id string) error {
	_, err := c.Submit(c.now, 0, &Submission{ID: id, Endpoint: "h/q/", Queue: "q", Body: []byte(cancelledBody)})
	return err
}

// failOver replaces the scheduler by one that is restored from the committed records.
func (c *cancelTest) failOver() {
	c.commit()
	c.Scheduler = newTestScheduler(time.Second, rand.New(rand.NewPCG(1, 1)), []QueueConfig{{Name: "q", Retries: 2}})
	c.store.restore(c.t, c.Scheduler, c.now)
}

func (c *cancelTest) commit() {
	c.store.flush(c.t, c.Scheduler)
	c.store.commit(c.Scheduler)
}

func (c *cancelTest) cancellationRecords() int {
	count := 0
	for key := range c.store.records {
		if strings.HasPrefix(key, cancellationPrefix) {
			count++
		}
	}
	return count
}

// TestCancellationOfUnknownJobBinds guards against the failure of review/13: a job started after its cancellation was answered with
// 410, since its submission was read later.
func TestCancellationOfUnknownJobBinds(t *testing.T) {
	const id = "00000000000000aa"
	c := newCancelTest(t)
	c.RememberCancellation(c.now, JobRef{Endpoint: "h/q/", ID: id})
	check := func(when string) {
		t.Helper()
		if err := c.submit(id); !errors.Is(err, ErrCancelled) {
			t.Errorf("%s: error %v, want ErrCancelled", when, err)
		}
	}
	check("not durable yet")
	c.commit()
	check("durable")
	c.now += 30 * time.Second
	c.failOver()
	check("next owner")
	c.now += c.options.EndedJobTTL - time.Second
	c.Tick(c.now, 0)
	check("just before the end of the time for which ended jobs are known")
	if err := c.submit("00000000000000bb"); err != nil {
		t.Errorf("another job: %v", err)
	}
	c.now += 2 * time.Second
	c.Tick(c.now, 0)
	c.commit()
	if c.cancellationRecords() != 0 || c.Cancellations() != 0 {
		t.Errorf("%d records of %d cancellations remain", c.cancellationRecords(), c.Cancellations())
	}
	if err := c.submit(id); err != nil {
		t.Errorf("after the time for which ended jobs are known: %v", err)
	}
}

// TestCancellationBindsItsEndpointAlone checks that a client of one queue cannot keep the jobs of another queue from being accepted.
func TestCancellationBindsItsEndpointAlone(t *testing.T) {
	const id = "00000000000000aa"
	c := newCancelTest(t)
	c.RememberCancellation(c.now, JobRef{Endpoint: "h/other/", ID: id})
	c.failOver()
	if err := c.submit(id); err != nil {
		t.Errorf("job of another endpoint: %v", err)
	}
}

// TestFloodOfCancellationsIsBounded checks the number of remembered cancellations and of their records at the limit, beyond it and at
// ten times as many, the oldest being forgotten first, and that new jobs are accepted meanwhile.
func TestFloodOfCancellationsIsBounded(t *testing.T) {
	for _, count := range []int{maxCancellations - 1, maxCancellations, maxCancellations + 1, 10 * maxCancellations} {
		c := newCancelTest(t)
		for n := range count {
			c.RememberCancellation(c.now, JobRef{Endpoint: "h/q/", ID: fmt.Sprintf("%016x", n)})
			if n%1000 == 0 {
				c.commit()
				if err := c.submit(fmt.Sprintf("%016x", 1<<40+n)); err != nil {
					t.Errorf("new job during the flood: %v", err)
				}
			}
		}
		c.failOver()
		want := min(count, maxCancellations)
		if c.Cancellations() != want || c.cancellationRecords() != want {
			t.Errorf("%d cancellations, %d records after %d, want %d", c.Cancellations(), c.cancellationRecords(), count, want)
		}
		for n, remembered := range map[int]bool{count - want - 1: false, count - want: true, count - 1: true} {
			if n >= 0 && c.IsCancelled(JobRef{Endpoint: "h/q/", ID: fmt.Sprintf("%016x", n)}) != remembered {
				t.Errorf("cancellation %d of %d: remembered %t, want %t", n, count, !remembered, remembered)
			}
		}
	}
}

// TestOutdatedSubmissionIsNotAccepted checks that a flood of cancellations undoes none: a submission that may be older than a
// cancellation that is forgotten is not accepted, also by the next owner. All others are.
func TestOutdatedSubmissionIsNotAccepted(t *testing.T) {
	for _, failOver := range []bool{false, true} {
		c := newCancelTest(t)
		c.RememberCancellation(c.now, JobRef{Endpoint: "h/q/", ID: "00000000000000aa"})
		submit := func(id string, maxWait time.Duration) error {
			_, err := c.Submit(c.now, 0, &Submission{ID: id, Endpoint: "h/q/", Queue: "q", Body: []byte(cancelledBody), MaxWait: maxWait})
			return err
		}
		c.now += time.Second
		if err := submit("00000000000000b1", time.Hour); err != nil {
			t.Errorf("a late submission before the flood: %v", err)
		}
		for n := range maxCancellations {
			c.RememberCancellation(c.now, JobRef{Endpoint: "h/q/", ID: fmt.Sprintf("%016x", 1<<32+n)})
		}
		c.now += time.Second
		if failOver {
			c.failOver()
		}
		c.now += time.Second
		if err := submit("00000000000000aa", 3*time.Second); !errors.Is(err, ErrOutdated) {
			t.Errorf("late submission of the cancelled job: error %v, want ErrOutdated", err)
		}
		if err := submit("00000000000000b2", 500*time.Millisecond); err != nil {
			t.Errorf("a submission that waited for less: %v", err)
		}
		if err := submit("00000000000000b3", 0); err != nil {
			t.Errorf("a submission that was read at once: %v", err)
		}
	}
}
