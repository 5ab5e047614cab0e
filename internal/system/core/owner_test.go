package core

import (
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
)

// A job is not acknowledged before a quorum has stored it, even if it is submitted again.
func TestJobIsAcknowledgedOnceAQuorumHasStoredIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		config := &clusterconfig.Config{
			Routes:   []clusterconfig.Route{{Name: "q", Service: "s", TargetLatencyMS: 1000}},
			Services: []clusterconfig.Service{{Name: "s"}},
		}
		c := &Core{
			address: "a", logger: logr.Discard(), store: newStore("a"), settings: &settings.Settings{}, started: time.Now(),
			config: &configState{record: configRecord{Version: 1}, config: config}, owners: map[string]*owner{}, goroutines: taskgroup.New(t.Context()),
		}
		o := newOwner(c, "s", 2, membership.Bootstrap(3, []string{"a", "b", "c"}), shard.NewRecordSet())
		defer o.close()
		c.owners["s"] = o
		for _, r := range o.replicators {
			_, upTo := o.primary.BeginRepair(r.seat, shard.NewRecordSet().Digests())
			o.onReplicaAck(r, upTo, time.Now())
		}
		if err := o.start(c.currentConfig()); err != nil {
			t.Fatal(err)
		}
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
