package handover

import (
	"encoding/json"
	"reflect"
	"testing"
	"time"

	"sedgevale/dispatcher"
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchdriver"
	"sedgevale/internal/sse"
)

// goldenLearned returns a LearnedState with a different value in each field.
func goldenLearned() dispatcher.LearnedState {
	return dispatcher.LearnedState{
		Classes: []dispatcher.LearnedClass{{Name: "c", MeanRuntime: 1.5, BaseRuntime: 2.5, MeanHint: 3.5, MeanCompletion: 4.5, Samples: 5.5}},
		Tenants: []dispatcher.LearnedTenant{{Name: "t", Limit: 6.5, LocalShare: 7.5, Arrivals: 8.5, Tokens: 9.5}},
		Workers: []dispatcher.LearnedWorker{{
			Worker: "w", Limit: 10.5, RuntimeRatio: 11.5, ErrorRate: 12.5, FreeSlots: 13.5, FreeSlotsAge: 14.5, WarmIn: 15.5, SlowStartCredit: 16.5, UnhealthyFor: 17.5,
			UnhealthyBackoff: 18.5, EjectedFor: 19.5, EjectionBackoff: 20.5,
		}},
		MaxWeights: []float64{21.5}, MaxFreeSlots: []float64{22.5}, Capacity: 23.5, MeanWork: 24.5, WorkRate: 25.5, Arrivals: 26.5, PromptStartRate: 27.5,
		UnresponsiveConnections: 28.5, MeteredSeconds: 29.5, ReportChanges: 30.5,
	}
}

// goldenMessages are messages with their lines. The processes of an upgrade may be of different releases, so the encoding of
// existing fields must not change.
var goldenMessages = []struct {
	message Message
	want    string
}{
	{Message{State: &State{
		Source: []byte("port = 1"), Discovery: "file", Cordons: []string{"w-1", "w-2"},
		List: discovery.List{Revision: 7, Complete: true, Members: []discovery.Member{{
			ID: "w", HostPort: "10.0.0.1:80", Locality: "z", Flavor: "f", Cell: 3, Phase: "ready", Size: 2.5, UpSince: 99,
		}}},
		Planners: []dispatchdriver.HandoverState{{
			Shared: dispatchdriver.SiblingState{
				Loads: map[string]dispatcher.Load{"w": {InFlight: 1.5, NotStarted: 2, WorkSent: 3.5}}, Opened: []string{"a"}, Ended: []string{"b"},
			},
			Learned: goldenLearned(),
		}},
	}}, `{"state":{"source":"cG9ydCA9IDE=","list":{"revision":7,"complete":true,"members":[{"id":"w","host_port":"10.0.0.1:80","locality":"z","flavor":"f","cell":3,"phase":"ready","size":2.5,"up_since_ms":99}]},"discovery":"file","cordons":["w-1","w-2"],"planners":[{"shared":{"out":{"w":{"held":1.5,"waiting":2,"sent":3.5}},"opened":["a"],"ended":["b"]},"learned":{"classes":[{"name":"c","run":1.5,"base":2.5,"hint":3.5,"complete":4.5,"runs":5.5}],"tenants":[{"name":"t","sigma":6.5,"local":7.5,"arrived":8.5,"tokens":9.5}],"workers":[{"worker":"w","sigma":10.5,"pace":11.5,"bad":12.5,"free":13.5,"free_age":14.5,"cold":15.5,"credit":16.5,"suspect":17.5,"backoff":18.5,"rest":19.5,"rest_for":20.5}],"size":[21.5],"room":[22.5],"jobs":23.5,"work":24.5,"carry":25.5,"arrived":26.5,"prompt":27.5,"silent":28.5,"metered":29.5,"changes":30.5}}]}}`},
	{Message{State: &State{}}, `{"state":{"list":{"revision":0,"complete":false,"members":null},"discovery":"","planners":null}}`},
	{Message{Serving: true}, `{"serving":true}`},
	{Message{PlannerUpdate: &PlannerUpdate{Planner: 2, Shared: dispatchdriver.SiblingState{Loads: map[string]dispatcher.Load{"w": {InFlight: 0.5}}, Opened: []string{"a"}}}}, `{"share":{"planner":2,"shared":{"out":{"w":{"held":0.5}},"opened":["a"]}}}`},
	{Message{Order: &Order{Number: 5, Host: "w", Cordon: true}}, `{"order":{"number":5,"host":"w","out":true}}`},
	{Message{ConfirmedOrder: 5, Descriptors: 12}, `{"done":5,"used":12}`},
	{Message{Stream: &sse.Stream{
		ID: "r", Epoch: "e", Final: true,
		Class: dispatcher.Class{
			Name: "c", Idempotency: dispatcher.IdempotentByKey, DedupScope: dispatcher.DedupCell, DedupWindow: time.Second, LatencyTarget: 2 * time.Second, TargetStretch: 3.5,
			ClientTimeout: 4 * time.Second, LateValue: 0.5, Streaming: true, Kinds: []int{1}, Zones: []int{2},
		},
		Events: []sse.StreamEvent{{Seq: 3, Progress: true, Text: "id: 1\n\n"}, {Seq: 4, Text: "x"}},
	}}, "{\"stream\":{\"id\":\"r\",\"epoch\":\"e\",\"class\":{\"Name\":\"c\",\"Effect\":1,\"Scope\":2,\"Window\":1000000000,\"Aim\":2000000000,\"Stretch\":3.5,\"Limit\":4000000000,\"LateShare\":0.5,\"Stream\":true,\"Kinds\":[1],\"Zones\":[2]},\"events\":[{\"seq\":3,\"progress\":true,\"text\":\"id: 1\\n\\n\"},{\"seq\":4,\"text\":\"x\"}],\"final\":true}}"},
}

func TestMessageEncoding(t *testing.T) {
	for i, one := range goldenMessages {
		text, err := json.Marshal(&one.message)
		if err != nil || string(text) != one.want {
			t.Errorf("message %d: error %v, encoded as\n%s want\n%s", i, err, text, one.want)
		}
		var decoded Message
		if err := json.Unmarshal([]byte(one.want), &decoded); err != nil || !reflect.DeepEqual(decoded, one.message) {
			t.Errorf("message %d is decoded as %+v, error %v", i, decoded, err)
		}
	}
}

func TestHelloLine(t *testing.T) {
	hello := NewHello("n0", "127.0.0.1:3000")
	hello.Sockets = []string{"127.0.0.1:3000", "127.0.0.1:3001"}
	text, err := json.Marshal(hello)
	const want = `{"version":1,"name":"n0","listen":"127.0.0.1:3000","sockets":["127.0.0.1:3000","127.0.0.1:3001"]}`
	if err != nil || string(text) != want {
		t.Errorf("error %v, the Hello is encoded as %s, want %s", err, text, want)
	}
}
