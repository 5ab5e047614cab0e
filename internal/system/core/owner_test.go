package core

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/coord/membership"
	"sedgevale/coord/shard"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/settings"
	"sedgevale/internal/taskgroup"
	"sedgevale/jobs"
)

// newServingOwner returns a core scheduler and its owner of the shard s, which has the queue q and replicas that acknowledged nothing
// but the takeover.
func newServingOwner(t *testing.T) (*Core, *owner) {
	t.Helper()
	config := &clusterconfig.Config{
		Routes:   []clusterconfig.Route{{Name: "q", PathPrefix: "/", Service: "s", TargetLatencyMS: 1000}},
		Services: []clusterconfig.Service{{Name: "s"}},
	}
	c := &Core{
		address: "a", logger: logr.Discard(), store: newStore("a"), started: time.Now(),
		settings: &settings.Settings{Bounds: settings.Bounds{EndedJobRetentionS: 120}},
		config:   newConfigState(configRecord{Version: 1}, config), owners: map[string]*owner{}, goroutines: taskgroup.New(t.Context()),
	}
	o := newOwner(c, "s", 2, membership.Bootstrap(3, []string{"a", "b", "c"}), shard.NewRecordSet())
	c.owners["s"] = o
	for _, r := range o.replicators {
		_, upTo := o.primary.BeginRepair(r.seat, shard.NewRecordSet().Digests())
		o.onReplicaAck(r, upTo, time.Now())
	}
	if err := o.start(c.currentConfig()); err != nil {
		t.Fatal(err)
	}
	return c, o
}

// A job is not acknowledged before a quorum has stored it, even if it is submitted again.
func TestJobIsAcknowledgedOnceAQuorumHasStoredIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, o := newServingOwner(t)
		defer o.close()
		submit := func() result.Code {
			_, err := c.submit(t.Context(), &api.SubmitRequest{
				Shard: "s", ConfigVersion: 1, Queue: "q", ID: "00000000000000aa", Body: []byte(`{"spec":"x","stages":[{"count":1}]}`),
			})
			return result.CodeOf(err)
		}
		stored := func(seat int) { o.onReplicaAck(o.replicators[seat], o.primary.Sequence(), time.Now()) }
		if code := submit(); code != result.OutcomeUnknown {
			t.Errorf("no replica has stored the job: code %d, want %d", code, result.OutcomeUnknown)
		}
		stored(0)
		o.mu.Lock()
		for _, r := range o.replicators {
			r.lastConfirmed = time.Now() // simulates heartbeats, which keep the lease valid
		}
		o.mu.Unlock()
		if code := submit(); code != result.OutcomeUnknown {
			t.Errorf("one of three replicas has stored the job: code %d, want %d", code, result.OutcomeUnknown)
		}
		stored(0)
		stored(1)
		if code := submit(); code != result.OK {
			t.Errorf("two of three replicas have stored the job: code %d, want %d", code, result.OK)
		}
		status, err := c.status(t.Context(), &api.JobRequest{Shard: "s", Queue: "q", ID: "00000000000000aa"})
		if err != nil || status.State == "" {
			t.Errorf("status %+v, error %v, want a state", status, err)
		}
	})
}

// TestRepeatedJobIsAcknowledged guards against a refusal of an accepted job that is posted again: 429 and 404 say that it never runs. It
// is acknowledged although the shard has no room for more jobs by now, its route was removed, or the newest configuration is not known
// here. The same ID with another body is not a repetition, and is refused.
func TestRepeatedJobIsAcknowledged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, o := newServingOwner(t)
		defer o.close()
		const body = `{"spec":"x","stages":[{"count":1}]}`
		submit := func(id, body string, configVersion int64) result.Code {
			_, err := c.submit(t.Context(), &api.SubmitRequest{Shard: "s", ConfigVersion: configVersion, Queue: "q", ID: id, Body: []byte(body)})
			return result.CodeOf(err)
		}
		_ = submit("00000000000000aa", body, 1)
		for seat := range o.replicators {
			o.onReplicaAck(o.replicators[seat], o.primary.Sequence(), time.Now())
		}
		check := func(name, id, body string, configVersion int64, want result.Code) {
			t.Helper()
			if code := submit(id, body, configVersion); code != want {
				t.Errorf("%s: code %d, want %d", name, code, want)
			}
		}
		check("repetition", "00000000000000aa", body, 1, result.OK)
		check("another body", "00000000000000aa", `{"spec":"y","stages":[{"count":1}]}`, 1, result.Conflict)
		check("another body, more tasks", "00000000000000aa", `{"spec":"x","stages":[{"count":2}]}`, 1, result.Conflict)
		o.mu.Lock()
		for i := range maxUnfinishedJobs + 1 {
			if _, err := o.scheduler.Submit(o.monotonicNow(), 0, &jobs.Submission{ID: fmt.Sprintf("%016x", 1<<40+i), Queue: "q", Body: []byte(body)}); err != nil {
				t.Fatal(err)
			}
		}
		o.mu.Unlock()
		check("another job while the shard is full", "00000000000000bb", body, 1, result.Overloaded)
		check("repetition while the shard is full", "00000000000000aa", body, 1, result.OK)
		o.mu.Lock()
		o.scheduler.Configure(nil)
		o.mu.Unlock()
		check("another job of a removed route", "00000000000000bb", body, 1, result.NoRoute)
		check("repetition after the route was removed", "00000000000000aa", body, 1, result.OK)
	})
}

// TestSubmissionOfAGoneSenderIsNotAccepted guards against a submission that waited in the owner's queue until its sender had given up,
// and that would undo what the client was answered meanwhile.
func TestSubmissionOfAGoneSenderIsNotAccepted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, o := newServingOwner(t)
		defer o.close()
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, err := c.submit(ctx, &api.SubmitRequest{
			Shard: "s", ConfigVersion: 1, Queue: "q", ID: "00000000000000aa", Body: []byte(`{"spec":"x","stages":[{"count":1}]}`),
		})
		if code := result.CodeOf(err); code != result.Unavailable || o.hasJob(jobs.JobRef{ID: "00000000000000aa"}) {
			t.Errorf("code %d, want %d; the job was accepted: %t", code, result.Unavailable, o.hasJob(jobs.JobRef{ID: "00000000000000aa"}))
		}
	})
}

// TestCancellationIsAcknowledgedOnceAQuorumHasStoredIt checks that the cancellation of an unknown job is answered only once a later
// owner knows of it, and that the submission is refused from then on.
func TestCancellationIsAcknowledgedOnceAQuorumHasStoredIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, o := newServingOwner(t)
		defer o.close()
		request := &api.JobRequest{Shard: "s", Queue: "q", ID: "00000000000000aa", Endpoint: "/", ConfigVersion: 1}
		cancel := func() result.Code {
			_, err := c.cancel(t.Context(), request)
			return result.CodeOf(err)
		}
		if code := cancel(); code != result.OutcomeUnknown {
			t.Errorf("no replica has stored the cancellation: code %d, want %d", code, result.OutcomeUnknown)
		}
		for seat := range o.replicators {
			o.onReplicaAck(o.replicators[seat], o.primary.Sequence(), time.Now())
		}
		if code := cancel(); code != result.NoJob {
			t.Errorf("the replicas have stored the cancellation: code %d, want %d", code, result.NoJob)
		}
		_, err := c.submit(t.Context(), &api.SubmitRequest{
			Shard: "s", ConfigVersion: 1, Queue: "q", ID: request.ID, Endpoint: request.Endpoint, Body: []byte(`{"spec":"x","stages":[{"count":1}]}`),
		})
		if code := result.CodeOf(err); code != result.JobCancelled {
			t.Errorf("submission after the cancellation: code %d, want %d", code, result.JobCancelled)
		}
	})
}

// An owner rejects calls unless a quorum has acknowledged it within the lease.
func TestOwnerWithoutValidLeaseRejectsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &Core{address: "a", logger: logr.Discard(), store: newStore("a"), settings: &settings.Settings{}, owners: map[string]*owner{},
			goroutines: taskgroup.New(t.Context())}
		o := newOwner(c, "s", 2, membership.Bootstrap(3, []string{"a", "b", "c"}), shard.NewRecordSet())
		defer o.close()
		c.owners["s"] = o
		code := func() result.Code {
			_, err := c.pending(t.Context(), &api.PendingRequest{Shard: "s", Queue: "q"})
			return result.CodeOf(err)
		}
		if got := code(); got != result.NotOwner {
			t.Errorf("before the takeover is complete: code %d, want %d", got, result.NotOwner)
		}
		if err := o.start(nil); err != nil {
			t.Fatal(err)
		}
		o.onReplicaAck(o.replicators[0], 0, time.Now())
		if got := code(); got != result.NotReady {
			t.Errorf("one replica has acknowledged: code %d, want %d", got, result.NotReady)
		}
		o.onReplicaAck(o.replicators[1], 0, time.Now())
		if got := code(); got != result.OK {
			t.Errorf("a quorum has acknowledged: code %d, want %d", got, result.OK)
		}
		time.Sleep(ownerLeaseTTL)
		if got := code(); got != result.NotReady {
			t.Errorf("after the lease has expired: code %d, want %d", got, result.NotReady)
		}
		o.close()
		if got := code(); got != result.NotOwner {
			t.Errorf("after the owner was closed: code %d, want %d", got, result.NotOwner)
		}
	})
}
