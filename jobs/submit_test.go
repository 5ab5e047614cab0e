package jobs

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"
)

// TestSubmitOfAnotherJobWithAKnownID guards against the acknowledgement of a job that never runs: the same ID with another body is no
// repetition. A repetition is recognized by the meaning of the body, also by the next owner and after the end of the job.
func TestSubmitOfAnotherJobWithAKnownID(t *testing.T) {
	const body = `{"spec":"x","stages":[{"count":2,"cpu":100,"constraints":["a"]}]}`
	repetitions := []string{body, `{"stages":[{"cpu":100,"count":2,"constraints":["a"]}], "spec":"x"}`}
	others := []string{
		`{"spec":"x","stages":[{"count":3,"cpu":100,"constraints":["a"]}]}`, `{"spec":"y","stages":[{"count":2,"cpu":100,"constraints":["a"]}]}`,
		`{"spec":"x","stages":[{"count":2,"cpu":100}]}`, `{"spec":"x","stages":[{"count":2,"cpu":100,"constraints":["a"]}],"repeat":2}`,
	}
	newScheduler := func() *Scheduler {
		return newTestScheduler(time.Second, rand.New(rand.NewPCG(1, 1)), []QueueConfig{{Name: "q", Retries: 2}})
	}
	submit := func(s *Scheduler, body string) error {
		_, err := s.Submit(0, 0, &Submission{ID: "00000000000000aa", Queue: "q", Body: []byte(body)})
		return err
	}
	check := func(name string, s *Scheduler) {
		t.Helper()
		for _, repeated := range repetitions {
			if err := submit(s, repeated); err != nil {
				t.Errorf("%s: repetition %s: %v", name, repeated, err)
			}
		}
		for _, other := range others {
			if err := submit(s, other); !errors.Is(err, ErrIDInUse) {
				t.Errorf("%s: another job %s: error %v, want ErrIDInUse", name, other, err)
			}
		}
	}
	store, first, next := &recordStore{records: map[string][]byte{}}, newScheduler(), newScheduler()
	if err := submit(first, body); err != nil {
		t.Fatal(err)
	}
	check("not durable yet", first)
	store.flush(t, first)
	store.commit(first)
	check("durable", first)
	store.restore(t, next, time.Second)
	check("next owner", next)
	next.Cancel(time.Second, JobRef{ID: "00000000000000aa"})
	check("cancelled", next)
}
