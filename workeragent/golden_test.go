package workeragent_test

import (
	"reflect"
	"testing"

	"sedgevale/workeragent"
)

// A heartbeat as workers send it, with each key, is read field by field; what is written has the same keys.
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
	var beat workeragent.Heartbeat
	if err := beat.UnmarshalJSON([]byte(text)); err != nil || !reflect.DeepEqual(beat, want) {
		t.Errorf("the heartbeat is read as %+v, error %v", beat, err)
	}
	if got, err := want.MarshalJSON(); err != nil || string(got) != text {
		t.Errorf("error %v, the heartbeat is written as\n%s\nwant\n%s", err, got, text)
	}
	var loose workeragent.Heartbeat
	const more = `{"service":null,"other":{"a":[1]},"active":[["t",9.0,null,1,"more"],["u"]],"finished":[[1]]}`
	if err := loose.UnmarshalJSON([]byte(more)); err != nil || len(loose.Active) != 2 || loose.Active[0].Attempt != 9 ||
		loose.Active[1].Task != "u" || loose.Finished[0].Number != 1 {
		t.Errorf("a heartbeat with other items is read as %+v, error %v", loose, err)
	}
}

// The answer to a heartbeat, with each key and with none.
func TestAnswerBytes(t *testing.T) {
	answer := workeragent.Answer{
		LeaseMS: 1, LastSeen: 2, FenceToken: 3, Started: []workeragent.Start{{Task: "t", Attempt: 4, Spec: "x<y", Checkpoint: "s"}},
		Stopped: []workeragent.RunRef{{Task: "u", Attempt: 5}}, RetryAfterMS: 6,
	}
	const text = `{"hold_ms":1,"last_seen":2,"fence_token":3,"started":[["t",4,"x\u003cy","s"]],"stopped":[["u",5]],"retry_after_ms":6}`
	if got, err := answer.MarshalJSON(); err != nil || string(got) != text {
		t.Errorf("error %v, the answer is\n%s\nwant\n%s", err, got, text)
	}
	var back workeragent.Answer
	if err := back.UnmarshalJSON([]byte(text)); err != nil || !reflect.DeepEqual(back, answer) {
		t.Errorf("the answer is read as %+v, error %v", back, err)
	}
	if got, err := (workeragent.Answer{}).MarshalJSON(); err != nil || string(got) != "{}" {
		t.Errorf("error %v, an empty answer is %s", err, got)
	}
}
