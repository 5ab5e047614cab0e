package api_test

import (
	"encoding/hex"
	"reflect"
	"testing"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/testkit"
	"sedgevale/jobs"
)

// goldenReport and goldenOrders have a distinct value in each field.
var (
	goldenReport = jobs.Report{
		AgentAddress: "side", AgentIncarnation: "life", Service: "svc", Instance: "i-1", State: "ready", DrainRemainingMS: 11,
		Capacity: jobs.Resources{CPU: 12, MemMB: 13, GPU: 14}, Labels: []string{"k", "r"},
		Active:   []jobs.ActiveRun{{Task: "a", Attempt: 15, Checkpoint: "sa", Percent: 16}},
		Finished: []jobs.FinishedRun{{Number: 17, Task: "f", Attempt: 18, Outcome: "done", Checkpoint: "sf"}},
		InFlight: []jobs.RunRef{{Task: "h", Attempt: 19}}, Dropped: []jobs.RunRef{{Task: "d", Attempt: 20}},
		MissedMessages: 21, HeartbeatAgeMS: 22, UnknownDemands: 23, LeaseRemainingMS: 24,
	}
	goldenOrders = jobs.Orders{
		Instance: "i-1", AgentIncarnation: "life",
		KnownDemands: []jobs.Start{{Task: "k", Attempt: 1, Spec: "tk", Checkpoint: "sk", Demand: jobs.Resources{CPU: 2, MemMB: 3, GPU: 4}}},
		Starts:       []jobs.Start{{Task: "s", Attempt: 5, Spec: "ts", Checkpoint: "ss", Demand: jobs.Resources{CPU: 6, MemMB: 7, GPU: 8}}},
		Stops:        []jobs.RunRef{{Task: "x", Attempt: 9}}, DurableCompletions: 10,
	}
)

// goldenMessages are all messages of package api with their Avro encoding, which must stay compatible between releases.
var goldenMessages = []struct {
	message any
	want    string
}{
	{&api.WatchRequest{Node: "n", ConfigVersion: 1, WantConfig: true, OwnersDigest: 2, WaitMS: 3, FormerDigest: 5}, "026e020104060a"},
	{&api.WatchResponse{
		Confirmed: true, ConfigVersion: 1, Config: []byte("c"), ConfigBase: 2, Owners: []api.Owner{{Shard: "s", Address: "a", Token: 3}},
		OwnersDigest: 4, Cores: []string{"x", "y"}, Former: []clusterconfig.FormerRoute{{Endpoint: "e", Service: "f", Until: 6}}, FormerDigest: 5,
	}, "0102026304010a0273026106000803080278027900010a026502660c000a"},
	{&api.SubmitRequest{Shard: "s", ConfigVersion: 1, Queue: "q", ID: "i", Body: []byte("b"), Endpoint: "e", KnownOnly: true, MaxWaitMS: 5}, "0273020271026902620265010a"},
	{&api.JobRequest{Shard: "s", Queue: "q", ID: "i", Endpoint: "e", ConfigVersion: 1, KnownOnly: true}, "02730271026902650201"},
	{&api.JobResponse{State: "queued"}, "0c717565756564"},
	{&api.PendingRequest{Shard: "s", Queue: "q", Endpoint: "e"}, "027302710265"},
	{&api.PendingResponse{Pending: 300}, "d804"},
	{&api.ReportRequest{Shard: "s", Session: "se", Sequence: 1, Report: goldenReport}, "0273047365020873696465086c6966650673766306692d310a726561647916181a1c0308026b027200010e02611e047361200001182202662408646f6e65047366000106026826000106026428002a2c2e30"},
	{&api.ReportResponse{Token: 1, Acknowledged: 2, Session: "se", Accepted: true}, "020404736501"},
	{&api.OrdersRequest{Token: 1, Orders: goldenOrders}, "0206692d31086c6966650118026b0204746b04736b04060800011802730a0474730473730c0e100001060278120014"},
	{&api.Empty{}, ""},
}

// earlierMessages are messages in the form of releases that lack the added fields.
var earlierMessages = []struct {
	message any
	text    string
}{
	{&api.WatchRequest{Node: "n", ConfigVersion: 1, WantConfig: true, OwnersDigest: 2, WaitMS: 3}, "026e02010406"},
	{&api.WatchResponse{
		Confirmed: true, ConfigVersion: 1, Config: []byte("c"), ConfigBase: 2, Owners: []api.Owner{{Shard: "s", Address: "a", Token: 3}},
		OwnersDigest: 4, Cores: []string{"x", "y"},
	}, "0102026304010a0273026106000803080278027900"},
	{&api.SubmitRequest{Shard: "s", ConfigVersion: 1, Queue: "q", ID: "i", Body: []byte("b")}, "027302027102690262"},
	{&api.JobRequest{Shard: "s", Queue: "q", ID: "i"}, "027302710269"},
	{&api.PendingRequest{Shard: "s", Queue: "q"}, "02730271"},
}

// TestEarlierMessagesAreDecoded checks that messages of earlier releases are decoded.
func TestEarlierMessagesAreDecoded(t *testing.T) {
	for _, earlier := range earlierMessages {
		body, err := hex.DecodeString(earlier.text)
		if err != nil {
			t.Fatal(err)
		}
		got := reflect.New(reflect.TypeOf(earlier.message).Elem()).Interface()
		if err := avrocodec.Decode(body, got); err != nil || !reflect.DeepEqual(got, earlier.message) {
			t.Errorf("%s is decoded as %+v, error %v, want %+v", earlier.text, got, err, earlier.message)
		}
	}
}

func TestMessageBytes(t *testing.T) {
	for _, golden := range goldenMessages {
		testkit.CheckAvro(t, golden.message, golden.want)
	}
}

// TestMethodNames pins the method names, which are part of the protocol.
func TestMethodNames(t *testing.T) {
	for got, want := range map[string]string{
		api.MethodWatch: "core.watch", api.MethodSubmit: "jobs.submit", api.MethodStatus: "jobs.status", api.MethodCancel: "jobs.cancel",
		api.MethodPending: "jobs.pending", api.MethodReport: "worker.report", api.MethodOrders: "worker.orders",
	} {
		if got != want {
			t.Errorf("method name %s, want %s", got, want)
		}
	}
}
