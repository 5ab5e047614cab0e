package jobs_test

import (
	"encoding/json"
	"reflect"
	"testing"

	"sedgevale/jobs"
)

// Guards the JSON form of a job specification, with every key, in both directions.
func TestSpecJSON(t *testing.T) {
	const text = `{"spec":"x","stages":[{"count":1,"cpu":2,"mem_mb":3,"gpu":4,"estimate_ms":5,"depends_on":[0],"checkpoints":true,"gang":true,` +
		`"rack_local":true,"at_least_once":true,"long_running":true,"constraints":["k"],"affinity_to":"a","anti_affinity":6}],` +
		`"repeat":7,"start_at_ms":8,"interval_ms":9,"long_running":true}`
	want := jobs.Spec{
		Text: "x", Repeat: 7, StartAtMS: 8, IntervalMS: 9, LongRunning: true,
		Stages: []jobs.Stage{{
			Count: 1, CPU: 2, MemMB: 3, GPU: 4, EstimateMS: 5, DependsOn: []int{0}, Checkpoints: true, Gang: true, RackLocal: true,
			AtLeastOnce: true, LongRunning: true, Constraints: jobs.Labels{"k"}, AffinityTo: "a", AntiAffinity: 6,
		}},
	}
	var spec jobs.Spec
	if err := spec.UnmarshalJSON([]byte(text)); err != nil || !reflect.DeepEqual(spec, want) {
		t.Errorf("decoded as %+v, error %v, want %+v", spec, err, want)
	}
	if got, err := json.Marshal(&want); err != nil || string(got) != text {
		t.Errorf("encoded as\n%s\nerror %v, want\n%s", got, err, text)
	}
}

// Guards the texts of states, reasons and names, which clients, agents and stored records depend on.
func TestNamesOfStatesAndReasons(t *testing.T) {
	for got, want := range map[string]string{
		string(jobs.Queued): "queued", string(jobs.Running): "running", string(jobs.Completed): "completed", string(jobs.Failed): "failed",
		string(jobs.Cancelled): "cancelled", string(jobs.Ready): "ready", string(jobs.Draining): "draining", string(jobs.Departed): "gone",
		string(jobs.Unresponsive): "silent", string(jobs.LeaseExpired): "lapsed", string(jobs.Unconfirmed): "unheard",
		string(jobs.ReasonQueueLimit): "queue limit", string(jobs.ReasonHeadroom): "headroom", string(jobs.ReasonCredit): "credit",
		string(jobs.ReasonReservation): "reservation", string(jobs.ReasonWorkerLimit): "worker limit", string(jobs.ReasonNotChosen): "choice",
		jobs.TaskName("0123", 1, 2, 3): "0123.1.2.3", jobs.WorkerRef("i", "a:1"): "i@a:1",
	} {
		if got != want {
			t.Errorf("text is %q, want %q", got, want)
		}
	}
	if jobs.TaskPending != 0 || jobs.TaskAssigned != 1 || jobs.TaskCompleted != 2 {
		t.Error("the stored number of a task state has changed")
	}
}
