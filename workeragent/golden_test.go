package workeragent_test

import (
	"reflect"
	"testing"

	"sedgevale/workeragent"
)

// Heartbeats are decoded and encoded with exactly the keys of the worker protocol.
func TestHeartbeatBytes(t *testing.T) {
	const text = `{"service":"svc","address":"a:1","zone":"z","version":"v","slots":1,"state":"draining","warmup_left_ms":2,"remaining_ms":3,` +
		`"capacity":{"cpu":4,"mem_mb":5,"gpu":6},"labels":["k","r"],"clock_ms":7,"sequence":8,` +
		`"active":[["t",9,"s",10.5]],"finished":[[11,"f",12,"done","sf"]]}`
	want := workeragent.Heartbeat{
		Service: "svc", Address: "a:1", Zone: "z", Version: "v", Slots: 1, State: "draining", WarmupRemainingMS: 2, RemainingMS: 3,
		Capacity: workeragent.Capacity{CPU: 4, MemMB: 5, GPU: 6}, Labels: []string{"k", "r"}, ClockMS: 7, Sequence: 8,
		Active:   []workeragent.ActiveRun{{Task: "t", Attempt: 9, Checkpoint: "s", Percent: 10.5}},
		Finished: []workeragent.FinishedRun{{Number: 11, Task: "f", Attempt: 12, Outcome: "done", Checkpoint: "sf"}},
	}
	var heartbeat workeragent.Heartbeat
	if err := heartbeat.UnmarshalJSON([]byte(text)); err != nil || !reflect.DeepEqual(heartbeat, want) {
		t.Errorf("decoded heartbeat: %+v, error %v", heartbeat, err)
	}
	if got, err := want.MarshalJSON(); err != nil || string(got) != text {
		t.Errorf("error %v, encoded heartbeat:\n%s\nwant\n%s", err, got, text)
	}
	var extended workeragent.Heartbeat
	const extendedText = `{"service":null,"other":{"a":[1]},"active":[["t",9.0,null,1,"more"],["u"]],"finished":[[1]]}`
	if err := extended.UnmarshalJSON([]byte(extendedText)); err != nil || len(extended.Active) != 2 || extended.Active[0].Attempt != 9 ||
		extended.Active[1].Task != "u" || extended.Finished[0].Number != 1 {
		t.Errorf("decoded heartbeat with null, unknown, excess and missing elements: %+v, error %v", extended, err)
	}
}

// Answers are encoded and decoded with exactly the keys of the worker protocol; zero fields are omitted.
func TestAnswerBytes(t *testing.T) {
	answer := workeragent.HeartbeatResponse{
		LeaseMS: 1, LastSeen: 2, FenceToken: 3, Started: []workeragent.Start{{Task: "t", Attempt: 4, Spec: "x<y", Checkpoint: "s"}},
		Stopped: []workeragent.RunRef{{Task: "u", Attempt: 5}}, RetryAfterMS: 6,
	}
	const text = `{"hold_ms":1,"last_seen":2,"fence_token":3,"started":[["t",4,"x\u003cy","s"]],"stopped":[["u",5]],"retry_after_ms":6}`
	if got, err := answer.MarshalJSON(); err != nil || string(got) != text {
		t.Errorf("error %v, encoded answer:\n%s\nwant\n%s", err, got, text)
	}
	var decoded workeragent.HeartbeatResponse
	if err := decoded.UnmarshalJSON([]byte(text)); err != nil || !reflect.DeepEqual(decoded, answer) {
		t.Errorf("decoded answer: %+v, error %v", decoded, err)
	}
	if got, err := (workeragent.HeartbeatResponse{}).MarshalJSON(); err != nil || string(got) != "{}" {
		t.Errorf("error %v, encoded empty answer: %s", err, got)
	}
}
