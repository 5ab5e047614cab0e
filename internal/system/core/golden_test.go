package core

import (
	"regexp"
	"slices"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"sedgevale/coord/membership"
	"sedgevale/coord/register"
	"sedgevale/coord/shard"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/testkit"
	"sedgevale/jobs"
)

// Values with distinct content in each field, from which the messages below are composed.
var (
	goldenMembership = membership.Membership{
		Deployment: "d", Epoch: 3, BaseEpoch: 2, Seats: []membership.Member{{ID: "i", Address: "a", JoinEpoch: 1, Voter: true}, {}},
	}
	goldenTarget  = target{Membership: goldenMembership, Member: "m"}
	goldenOrigin  = origin{Member: "m", Epoch: 3}
	goldenBallot  = register.Ballot{Counter: 4, Proposer: "p"}
	goldenKnown   = register.Ballot{Counter: 5, Proposer: "k"}
	goldenRecords = []shard.Record{{Key: "key", Version: shard.Version{Token: 6, Sequence: 7}, Value: []byte("v"), Deleted: true}}
	goldenRanges  = []shard.BucketContent{{Bucket: 8, Records: goldenRecords}}
)

// goldenMessages are the messages between core schedulers and those of the operators' commands, with their Avro encoding.
// Core schedulers of different releases exchange them, so the encoding must not change.
var goldenMessages = []struct {
	message any
	want    string
}{
	{&prepareRequest{To: goldenTarget, Name: "n", Ballot: goldenBallot, Known: goldenKnown}, "0264060403140269026102010000000000026d026e0802700a026b"},
	{&prepareResponse{From: goldenOrigin, Promise: register.Promise{Granted: true, Promised: goldenBallot, Accepted: goldenKnown, Value: []byte("v")}}, "026d06010802700a026b0276"},
	{&acceptRequest{To: goldenTarget, Name: "n", Ballot: goldenBallot, Value: []byte("v")}, "0264060403140269026102010000000000026d026e0802700276"},
	{&acceptResponse{From: goldenOrigin, Accepted: true}, "026d0601"},
	{&readAcceptedRequest{To: goldenTarget, Name: "n", Known: goldenKnown}, "0264060403140269026102010000000000026d026e0a026b"},
	{&readAcceptedResponse{From: goldenOrigin, Accepted: goldenBallot, Value: []byte("v")}, "026d060802700276"},
	{&learnRequest{Name: "n", Ballot: goldenBallot, Value: []byte("v")}, "026e0802700276"},
	{&empty{}, ""},
	{&ackResponse{From: goldenOrigin}, "026d06"},
	{&sealRequest{To: goldenTarget, Shard: "s", Token: 9}, "0264060403140269026102010000000000026d027312"},
	{&sealResponse{From: goldenOrigin, Voter: true, InSyncToken: 10, Digests: []int64{11, -12}}, "026d0601140304161700"},
	{&fetchRequest{To: goldenTarget, Shard: "s", Buckets: []int64{13}}, "0264060403140269026102010000000000026d027301021a00"},
	{&fetchResponse{From: goldenOrigin, Ranges: goldenRanges}, "026d06011a100112066b65790c0e0276010000"},
	{&prefetchRequest{Shard: "s", Digests: []int64{14}}, "027301021c00"},
	{&prefetchResponse{Ranges: goldenRanges}, "011a100112066b65790c0e0276010000"},
	{&repairRequest{To: goldenTarget, Shard: "s", Token: 15, RepairNumber: 16, Ranges: goldenRanges, Last: true}, "0264060403140269026102010000000000026d02731e20011a100112066b65790c0e027601000001"},
	{&writeRequest{To: goldenTarget, Shard: "s", Token: 17, Records: goldenRecords}, "0264060403140269026102010000000000026d0273220112066b65790c0e02760100"},
	{&stateRequest{To: goldenTarget}, "0264060403140269026102010000000000026d"},
	{&stateResponse{
		From: goldenOrigin, Shards: map[string]int64{"s": 18},
		Registers: map[string]register.Acceptor{"n": {Promised: goldenBallot, Accepted: goldenKnown, Value: []byte("v")}},
	}, "026d060114026e0802700a026b027600010602732400"},
	{&memberTimedOutRequest{Member: "m", Address: "a"}, "026d0261"},
	{&memberTimedOutResponse{TimedOut: true}, "01"},
	{&pingMessage{
		Address: "a", Zone: "z", Member: "m", Membership: goldenMembership, Alive: []string{"x"}, Draining: true,
		Claims: []ownershipClaim{{Shard: "s", Token: 19, LeaseValid: true, InSync: 20}}, Accepted: map[string]register.Ballot{"n": goldenBallot},
	}, "0261027a026d02640604031402690261020100000000000104027800010a027326012800010a026e0802700001"},
	{&ownerRecord{Address: "a", Token: 21}, "02612a"},
	{&configRecord{Version: 22, Text: []byte("t"), History: []appliedChange{{Base: 23, Digest: -24}}, Former: []clusterconfig.FormerRoute{{Endpoint: "e", Service: "s", Until: 6}}}, "2c027401042e2f00010a026502730c00"},
	{&MembersRequest{}, ""},
	{&MembersResponse{
		Address: "a", ConfigVersion: 25, ConfigFresh: true, Membership: goldenMembership,
		Peers:  []PeerInfo{{Address: "p", Zone: "z", LastHeartbeatAgeMS: 26, Draining: true, Member: "m", Epoch: 27}},
		Owners: []api.Owner{{Shard: "s", Address: "o", Token: 28}},
	}, "02613201026406040314026902610201000000000001120270027a3401026d3600010a0273026f3800"},
	{&QueuesRequest{}, ""},
	{&QueuesResponse{Shards: []ShardInfo{{
		Shard: "s", Token: 29, LeaseValid: true, Records: 30, InSync: 31,
		Queues: []jobs.QueueSummary{{Name: "q", Priority: 32, Active: 33, Pending: 34, Allocated: 0.5, PendingDemand: 1.5, Limit: 2.5, MeanRunMS: 3.5}},
		Workers: []jobs.WorkerSummary{{
			Ref: "r", State: "ready", Runs: 35, Allocated: 4.5, LoadLimit: 5.5, FailureRate: 6.5, Slowdown: 7.5, Free: jobs.Resources{CPU: 36, MemMB: 37, GPU: 38},
		}},
		Unschedulable: []jobs.UnschedulableGroup{{Queue: "wq", Job: "wj", Occurrence: 42, Stage: 39, Tasks: 40, WaitedMS: 41, Reason: "why", Worker: "ww", ReservedFor: "wh"}},
	}}}, "01e80102733a013c3e014a0271404244000000000000e03f000000000000f83f00000000000004400000000000000c4000015802720a726561647946000000000000124000000000000016400000000000001a400000000000001e40484a4c00012804777104776a544e5052067768790477770477680000"},
}

func TestMessageBytes(t *testing.T) {
	for _, golden := range goldenMessages {
		testkit.CheckAvro(t, golden.message, golden.want)
	}
}

// The method names are part of the protocol and must not change.
func TestMethodNames(t *testing.T) {
	for got, want := range map[string]string{
		methodPrepare: "register.prepare", methodAccept: "register.accept", methodReadAccepted: "register.peek", methodLearn: "register.learn",
		methodFence: "shard.seal", methodFetch: "shard.fetch", methodPrefetch: "shard.copy", methodRepair: "shard.repair", methodWrite: "shard.write",
		methodState: "membership.state", methodMemberTimedOut: "membership.silent", methodPing: "core.ping",
		MethodMembers: "admin.members", MethodQueues: "admin.queues",
	} {
		if got != want {
			t.Errorf("method name %s, want %s", got, want)
		}
	}
}

// Dashboards depend on the names and labels of the metrics, so they must not change.
func TestMetricNames(t *testing.T) {
	descriptions := make(chan *prometheus.Desc, 100)
	collector{}.Describe(descriptions)
	close(descriptions)
	var got []string
	for desc := range descriptions {
		name := regexp.MustCompile(`fqName: "([a-z_]+)".*variableLabels: \{([a-z,]*)\}`).FindStringSubmatch(desc.String())
		if name == nil {
			t.Fatalf("no metric name in %s", desc)
		}
		got = append(got, name[1]+" "+name[2])
	}
	want := []string{
		"sedgevale_config_version ", "sedgevale_config_former_routes ", "sedgevale_shard_cancellations shard", "sedgevale_shard_records shard", "sedgevale_shard_replicas_in_step shard",
		"sedgevale_queue_unended_jobs shard,queue", "sedgevale_queue_pending_jobs shard,queue", "sedgevale_queue_held shard,queue",
		"sedgevale_queue_wanted shard,queue", "sedgevale_queue_sigma shard,queue", "sedgevale_queue_withheld shard,queue,reason",
		"sedgevale_worker_held shard,worker", "sedgevale_worker_sigma shard,worker",
	}
	slices.Sort(got)
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("metrics %q, want %q", got, want)
	}
}
