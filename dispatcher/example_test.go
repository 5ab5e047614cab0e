package dispatcher_test

import (
	"fmt"
	"time"

	"sedgevale/dispatcher"
)

// printer is a Host that prints the decisions of a Dispatcher.
type printer struct{}

func (printer) Send(id, worker string, _ time.Duration) { fmt.Println("send", id, "to", worker) }
func (printer) Reject(id string, _ time.Duration)       { fmt.Println("reject", id) }
func (printer) Fail(id string)                          { fmt.Println("fail", id) }
func (printer) Cancel(id string, attempt int)           { fmt.Println("cancel", id, attempt) }
func (printer) SetTimer(time.Duration, uint64)          {} // a real host calls Dispatcher.TimerFired with the token after that time
func (printer) Probe(worker string)                     { fmt.Println("probe", worker) }
func (printer) CloseIdleConnections(worker string)      { fmt.Println("close idle to", worker) }
func (printer) WatchWorkers()                           { fmt.Println("watch the list") }
func (printer) Log(text string)                         { fmt.Println(text) }

func Example() {
	d, err := dispatcher.New(dispatcher.Settings{
		Classes: []dispatcher.Class{{
			Name: "resize", Idempotency: dispatcher.Idempotent,
			LatencyTarget: 200 * time.Millisecond, TargetStretch: 2, ClientTimeout: 5 * time.Second,
		}},
		MaxAttempts: 3,
	}, 42, printer{})
	if err != nil {
		fmt.Println(err)
		return
	}
	start := time.Now()
	clock := func() time.Duration { return time.Since(start) }

	d.WorkersUpdated(clock(), dispatcher.UpdateFull, []dispatcher.WorkerInfo{{Name: "10.0.0.1:5000"}})
	err = d.SubmitRequest(clock(), dispatcher.Request{ID: "job-1", RemainingTimeout: 5 * time.Second})
	if err != nil {
		fmt.Println(err)
	}
	err = d.AttemptEnded(clock(), dispatcher.AttemptResult{ID: "job-1", Outcome: dispatcher.Served, ClientAnswered: true})
	fmt.Println(err)
	// Output:
	// send job-1 to 10.0.0.1:5000
	// <nil>
}
