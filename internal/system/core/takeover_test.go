package core

import (
	"context"
	"net"
	"net/http/httptest"
	"slices"
	"testing"

	"github.com/go-logr/logr"

	"sedgevale/coord/shard"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/taskgroup"
)

// coreOn returns a scheduler on an address that reaches the stores of the other addresses over the internal protocol.
func (s *storeCluster) coreOn(address string) *Core {
	servers := map[string]string{}
	for name, st := range s.stores {
		server := rpc.NewServer()
		rpc.Handle(server, methodFetch, st.fetch)
		listening := httptest.NewServer(server.Handler())
		s.t.Cleanup(listening.Close)
		servers[name+":80"] = listening.Listener.Addr().String()
	}
	client := rpc.NewClient(func(ctx context.Context, network, to string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, servers[to])
	})
	s.t.Cleanup(client.Close)
	return &Core{address: address, logger: logr.Discard(), store: s.stores[address], client: client, goroutines: taskgroup.New(s.ctx())}
}

// shardReplication replicates the changes of an owner to stores, with the messages of the internal protocol.
type shardReplication struct {
	cluster *storeCluster
	primary *shard.Primary
	seats   map[string]int
	repairs int64
}

func newShardReplication(s *storeCluster) *shardReplication {
	return &shardReplication{cluster: s, primary: shard.NewPrimary(writeToken, shard.NewRecordSet(), 3, 2), seats: map[string]int{"a": 0, "b": 1, "c": 2}}
}

func (r *shardReplication) repair(addresses ...string) {
	for _, address := range addresses {
		s := r.cluster
		fenced, err := s.stores[address].fence(s.ctx(), &sealRequest{To: s.to(address, address), Shard: "s", Token: writeToken})
		s.wantCode(err, result.OK)
		r.repairs++
		ranges, _ := r.primary.BeginRepair(r.seats[address], fenced.Digests)
		_, err = s.stores[address].repair(s.ctx(), &repairRequest{
			To: s.to(address, address), Shard: "s", Token: writeToken, RepairNumber: r.repairs, Ranges: ranges, Last: true,
		})
		s.wantCode(err, result.OK)
	}
}

func (r *shardReplication) nextWrite(address string) *writeRequest {
	records, _ := r.primary.NextWrite(r.seats[address])
	return &writeRequest{To: r.cluster.to(address, address), Shard: "s", Token: writeToken, Records: records}
}

func (r *shardReplication) write(addresses ...string) {
	for _, address := range addresses {
		_, err := r.cluster.stores[address].write(r.cluster.ctx(), r.nextWrite(address))
		r.cluster.wantCode(err, result.OK)
	}
}

// takenOver returns the sorted keys of the records that a new owner on address a takes over from the given addresses.
func (s *storeCluster) takenOver(addresses ...string) []string {
	s.t.Helper()
	fenced := map[int]*sealResponse{}
	for _, address := range addresses {
		response, err := s.stores[address].fence(s.ctx(), &sealRequest{To: s.to(address, address), Shard: "s", Token: writeToken + 1})
		s.wantCode(err, result.OK)
		fenced[map[string]int{"a": 0, "b": 1, "c": 2}[address]] = response
	}
	set, err := s.coreOn("a").fetchRecords(s.ctx(), s.first, "s", fenced)
	s.wantCode(err, result.OK)
	var keys []string
	if set != nil {
		for _, record := range set.All() {
			keys = append(keys, record.Key)
		}
	}
	slices.Sort(keys)
	return keys
}

// TestTakeoverIgnoresReplicaThatMissedDeletions guards against the failure of review/3 at a takeover: a replica that was cut off
// while a record was deleted is in sync by its own account, also after a restart from its disk.
func TestTakeoverIgnoresReplicaThatMissedDeletions(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		s := newStoreCluster(t)
		r := newShardReplication(s)
		r.repair("a", "b", "c")
		r.primary.Put("d/completed", []byte("v"))
		r.write("a", "b", "c")
		r.primary.Delete("d/completed")
		r.primary.Put("d/later", []byte("v"))
		r.write("a", "b")
		if restarted {
			s.start("a", false)
			s.start("c", false)
		}
		for _, quorum := range [][]string{{"a", "c"}, {"c", "b"}, {"a", "b", "c"}} {
			if got := s.takenOver(quorum...); !slices.Equal(got, []string{"d/later", "position"}) {
				t.Errorf("records %v were taken over from %v, restarted %t, want only the later one and the position", got, quorum, restarted)
			}
		}
	}
}

// TestTakeoverFromReleaseWithoutPositions checks that a new owner merges the records of all replicas that were in sync with an
// owner of a release without positions, as that release does.
func TestTakeoverFromReleaseWithoutPositions(t *testing.T) {
	s := newStoreCluster(t)
	for _, address := range []string{"a", "b", "c"} {
		s.wantCode(s.repair(address, writeToken), result.OK)
	}
	s.wantCode(s.write("a", "d/one"), result.OK)
	s.wantCode(s.write("b", "d/two"), result.OK)
	if got := s.takenOver("a", "b"); !slices.Equal(got, []string{"d/one", "d/two"}) {
		t.Errorf("records %v were taken over, want those of both replicas", got)
	}
}

// TestDelayedMessagesAreNotStored checks that a replica refuses a write from before its last repair, and a repair by the digests
// from before a late write, with result.NotRecovered: the owner then repairs it anew. Nothing of them is found after a restart.
func TestDelayedMessagesAreNotStored(t *testing.T) {
	s := newStoreCluster(t)
	r := newShardReplication(s)
	r.repair("a", "b", "c")
	r.primary.Put("d/deleted", []byte("v"))
	delayed := r.nextWrite("c")
	r.primary.Delete("d/deleted")
	fenced, err := s.stores["c"].fence(s.ctx(), &sealRequest{To: s.to("c", "c"), Shard: "s", Token: writeToken})
	s.wantCode(err, result.OK)
	ranges, _ := r.primary.BeginRepair(r.seats["c"], fenced.Digests)
	_, err = s.stores["c"].write(s.ctx(), delayed)
	s.wantCode(err, result.OK)
	late := &repairRequest{To: s.to("c", "c"), Shard: "s", Token: writeToken, RepairNumber: 9, Ranges: ranges, Last: true}
	_, err = s.stores["c"].repair(s.ctx(), late)
	s.wantCode(err, result.NotRecovered)
	r.repairs = 9
	r.repair("c")
	_, err = s.stores["c"].write(s.ctx(), delayed)
	s.wantCode(err, result.NotRecovered)
	if _, found := s.start("c", false).replicas["s"].Records.Get("d/deleted"); found {
		t.Error("a delayed message brought a deleted record back")
	}
}
