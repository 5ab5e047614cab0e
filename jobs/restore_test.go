package jobs

import (
	"math/rand/v2"
	"testing"
	"time"

	"sedgevale/internal/avrocodec"
)

// A new owner knows since when jobs have been due, so that those that are late already do not go before new ones that
// can still be in time.
func TestJobsStayDueOverATakeover(t *testing.T) {
	play(t, `
	10    client submit old 1x cpu=1000 est=200
	20    disk commit
	5000  failover
	5010  worker a cpu=1000
	5020  client submit x 1x cpu=1000 est=100
	5030  client submit new 1x cpu=1000 est=200
	5100  tick
	5110  disk commit
	5120  orders a = start old.0.0.0/1`)
	s := play(t, `
	10    client submit old 1x cpu=1000 est=200
	20    disk commit
	5000  failover
	5030  client submit new 1x cpu=1000 est=200
	5040  disk commit
	5050  tick
	5060  worker a cpu=1000
	5070  disk commit
	5080  orders a = start new.0.0.0/1`)
	if due := s.book.jobs["old"].Times[0].due; due != 10*time.Millisecond {
		t.Errorf("due at %v after the takeover, 10 ms before", due)
	}
}

// The time of day may jump: what it tells is bounded.
func TestDueTimeIsBounded(t *testing.T) {
	job := &Job{Spec: &Spec{}, cameMS: 1000}
	for wallMS, want := range map[int64]time.Duration{500: 0, 1000: 0, 3000: 2 * time.Second, 1e12: dueMost} {
		if got := job.dueFor(0, wallMS); got != want {
			t.Errorf("due for %v at %d, want %v", got, wallMS, want)
		}
	}
	job.Spec.StartAtMS, job.Spec.IntervalMS = 2000, 500
	if got := job.dueFor(2, 4000); got != time.Second {
		t.Errorf("the third time is due for %v, want 1s", got)
	}
}

// Records that an earlier release wrote are read: their jobs count as due from the takeover on.
func TestRecordsOfAnEarlierReleaseAreRead(t *testing.T) {
	type earlierRecord struct {
		Queue string
		Body  []byte
	}
	spec, err := avrocodec.Encode(&earlierRecord{"q", []byte(`{"spec":"x","stages":[{"count":1,"cpu":500,"estimate_ms":100}]}`)})
	if err != nil {
		t.Fatal(err)
	}
	state, err := (&Job{State: Queued}).encode()
	if err != nil {
		t.Fatal(err)
	}
	b := New(Options{}, rand.New(rand.NewPCG(1, 2)))
	records := []Change{{Key: specPrefix + "j", Value: spec}, {Key: jobPrefix + "j", Value: state}}
	if err := b.Restore(time.Second, 1e12, records); err != nil {
		t.Fatal(err)
	}
	if job := b.jobs["j"]; job == nil || job.Queue != "q" || job.dueFor(0, 1e12) != 0 {
		t.Errorf("restored as %+v", job)
	}
}
