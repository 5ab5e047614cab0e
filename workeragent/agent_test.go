package workeragent

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/system/result"
	"sedgevale/jobs"
)

// scriptRunner runs a script against an Agent. Each line has a time in milliseconds and one event or expectation:
//
//	heartbeat S:1 a:t1 f:3/t2/done ready  the worker sends a heartbeat: sequence, active runs, finished runs, state
//	heartbeat S:1 F:1-500                 likewise, with the finished runs 1 to 500, of other tasks, all done
//	deregister                            the worker deregisters
//	=> lease seen1 start t1 stop t2       the answer to the last heartbeat must have this content
//	dropped t1 t2                         the report must list these dropped runs
//	check true                            CheckExpiry must return this value
//	7: start t1 500                       the owner with fencing token 7 orders to start t1, with a demand of 500
//	7: known t1 500                       the owner sends the demand of t1
//	7: stop t1                            the owner orders to stop t1
//	7: acked 3                            the owner acknowledges the finished runs up to number 3
//	7: lease                              the owner grants the agent a lease
//	7: old-incarnation                    the owner sends orders for an earlier incarnation
//	restart                               a new agent process replaces the old one
//
// An owner's line that ends with "rejected" must return an error.
type scriptRunner struct {
	t         *testing.T
	agent     *Agent
	processes int // number of agent processes so far
}

var testTiming = Timing{WorkerLease: 4 * time.Second, AgentLease: 8 * time.Second}

// runScript runs a script and returns the agent in its final state.
func runScript(t *testing.T, script string) *Agent {
	t.Helper()
	s := &scriptRunner{t: t}
	for _, line := range strings.Split(script, "\n") {
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		timestamp, event, _ := strings.Cut(line, " ")
		ms, err := strconv.Atoi(timestamp)
		if err != nil {
			t.Fatalf("line %q: %v", line, err)
		}
		s.step(time.Duration(ms)*time.Millisecond, strings.TrimSpace(event), line)
	}
	return s.agent
}

func (s *scriptRunner) step(now time.Duration, event, line string) {
	s.t.Helper()
	if s.agent == nil || event == "restart" {
		s.processes++
		s.agent = New(now, "i-1", "process"+strconv.Itoa(s.processes), testTiming)
	}
	fields := strings.Fields(event)
	switch {
	case event == "restart":
	case fields[0] == "heartbeat":
		s.agent.HandleHeartbeat(now, parseHeartbeat(fields[1:]))
	case fields[0] == "check":
		s.expect(line, fmt.Sprint(s.agent.CheckExpiry(now)), fields[1])
	case fields[0] == "deregister":
		s.agent.HandleDeregister(now)
	case fields[0] == "=>":
		s.expect(line, describeAnswer(s.agent.Response(now)), strings.Join(fields[1:], " "))
	case fields[0] == "dropped":
		s.expect(line, describeDropped(s.agent.Report(now)), strings.Join(fields[1:], " "))
	default:
		token, err := strconv.ParseInt(strings.TrimSuffix(fields[0], ":"), 10, 64)
		if err != nil {
			s.t.Fatalf("line %q: %v", line, err)
		}
		s.handleOwner(now, token, fields[1:], line)
	}
}

func (s *scriptRunner) handleOwner(now time.Duration, token int64, fields []string, line string) {
	s.t.Helper()
	orders := &jobs.Orders{Instance: "i-1", AgentIncarnation: s.agent.Incarnation()}
	rejected := fields[len(fields)-1] == "rejected"
	if rejected {
		fields = fields[:len(fields)-1]
	}
	var err error
	switch fields[0] {
	case "lease":
		err = s.agent.HandleLease(now, token, 0)
	case "acked":
		orders.DurableCompletions, _ = strconv.ParseInt(fields[1], 10, 64)
		err = s.agent.HandleOrders(now, token, orders)
	case "start", "known":
		start := jobs.Start{Task: fields[1], Attempt: 1, Spec: "text"}
		start.Demand.CPU, _ = strconv.ParseInt(fields[2], 10, 64)
		if fields[0] == "known" {
			orders.KnownDemands = []jobs.Start{start}
		} else {
			orders.Starts = []jobs.Start{start}
		}
		err = s.agent.HandleOrders(now, token, orders)
	case "stop":
		orders.Stops = []jobs.RunRef{{Task: fields[1], Attempt: 1}}
		err = s.agent.HandleOrders(now, token, orders)
	case "old-incarnation":
		orders.AgentIncarnation = "process0/0"
		err = s.agent.HandleOrders(now, token, orders)
	}
	if (err != nil) != rejected {
		s.t.Errorf("line %q: error %v", line, err)
	}
	if rejected && result.CodeOf(err) != result.Fenced && result.CodeOf(err) != result.WrongInstance {
		s.t.Errorf("line %q: error %v has an unexpected code", line, err)
	}
}

func (s *scriptRunner) expect(line, got, want string) {
	s.t.Helper()
	if got != want {
		s.t.Errorf("line %q: got %q, want %q", line, got, want)
	}
}

func parseHeartbeat(fields []string) Heartbeat {
	heartbeat := Heartbeat{State: "ready", Capacity: Capacity{CPU: 1000}}
	for _, field := range fields {
		name, value, _ := strings.Cut(field, ":")
		switch name {
		case "a":
			heartbeat.Active = append(heartbeat.Active, ActiveRun{Task: value, Attempt: 1})
		case "f":
			parts := strings.Split(value, "/")
			number, _ := strconv.ParseInt(parts[0], 10, 64)
			heartbeat.Finished = append(heartbeat.Finished, FinishedRun{Number: number, Task: parts[1], Attempt: 1, Outcome: parts[2]})
		case "F":
			first, last, _ := strings.Cut(value, "-")
			from, _ := strconv.ParseInt(first, 10, 64)
			to, _ := strconv.ParseInt(last, 10, 64)
			for number := from; number <= to; number++ {
				heartbeat.Finished = append(heartbeat.Finished, FinishedRun{Number: number, Task: fmt.Sprint("e", number), Attempt: 1, Outcome: "done"})
			}
		case "S":
			heartbeat.Sequence, _ = strconv.ParseInt(value, 10, 64)
		default:
			heartbeat.State = field
		}
	}
	return heartbeat
}

// describeAnswer formats an answer as scripts expect it.
func describeAnswer(a HeartbeatResponse) string {
	var words []string
	if a.LeaseMS > 0 {
		words = append(words, "lease")
	}
	if a.LastSeen > 0 {
		words = append(words, "seen"+strconv.FormatInt(a.LastSeen, 10))
	}
	var starts, stops []string
	for _, s := range a.Started {
		starts = append(starts, "start", s.Task)
	}
	for _, s := range a.Stopped {
		stops = append(stops, "stop", s.Task)
	}
	words = append(append(words, starts...), stops...)
	if len(words) == 0 {
		return "nothing"
	}
	return strings.Join(words, " ")
}

// describeDropped formats the dropped runs of a report as scripts expect them.
func describeDropped(r *jobs.Report) string {
	var names []string
	for _, ref := range r.Dropped {
		names = append(names, ref.Task)
	}
	sort.Strings(names)
	if len(names) == 0 {
		return "nothing"
	}
	return strings.Join(names, " ")
}

func TestStartIsSentInNextAnswer(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 500
	30   => lease start t1
	40   heartbeat S:2 a:t1
	50   => lease`)
}

// If the next heartbeat shows that the worker has not received an answer, the order is sent again.
func TestStartIsResentAfterLostAnswer(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 500
	30   => lease start t1
	1100 heartbeat S:2
	1110 => lease start t1
	1120 heartbeat S:3 a:t1
	1130 => lease`)
}

// Active, stopping and possibly started runs count against the capacity of 1000.
func TestCapacityIncludesAllRunsThatMayBeActive(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 700
	30   => lease start t1
	35   7: start t2 500
	40   => lease
	50   heartbeat S:2 a:t1
	60   => lease
	70   7: stop t1
	80   => lease stop t1
	90   heartbeat S:3 a:t1
	100  => lease stop t1
	110  heartbeat S:4 f:1/t1/stopped
	120  => lease start t2`)
}

// A new agent process starts no runs until it knows the active runs from a heartbeat and their demands from the owner.
func TestNewAgentStartsNothingBeforeDemandsAreKnown(t *testing.T) {
	runScript(t, `
	0    7: lease
	0    restart
	10   7: lease
	20   heartbeat S:9 a:t1
	30   7: start t2 500
	40   => lease
	50   7: known t1 400
	60   => lease start t2`)
}

// Orders and leases with an older fencing token are rejected, even long after the newer token was seen.
func TestOlderOwnerIsFenced(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   8: lease
	6000 7: start t1 500 rejected
	6010 7: lease rejected
	6020 heartbeat S:2
	6030 => lease`)
}

func TestOrdersForEarlierIncarnationAreRejected(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: old-incarnation rejected`)
}

// Without a lease from the owner, the agent neither renews the worker's lease nor starts runs.
func TestWorkerLeaseRequiresAgentLease(t *testing.T) {
	runScript(t, `
	0     7: lease
	10    heartbeat S:1
	20    7: start t1 500
	30    => lease start t1
	8100  heartbeat S:2 a:t1
	8110  => nothing
	8120  8: lease
	8130  => lease`)
}

// The agent waits until the worker's lease has expired even on a clock that runs 2% slow. The lease begins with the heartbeat
// whose answer may have reached the worker.
func TestWorkerLeaseExpiresOnASlowClock(t *testing.T) {
	a := runScript(t, `
	0    7: lease
	0    heartbeat S:1
	10   7: start t1 500
	1000 heartbeat S:2
	1010 => lease start t1
	5050 check false
	5170 check false
	5190 check true
	5200 check false`)
	if a.State() != jobs.LeaseExpired || len(a.Report(0).Active) != 0 {
		t.Errorf("after the expiry: state %s, active runs %v", a.State(), a.Report(0).Active)
	}
}

// Without an allowance for a clock that runs 2% slow, the agent would report the expiry before the worker's clock reaches it.
func TestExpiryAllowsForClockDrift(t *testing.T) {
	if withClockDrift(4*time.Second) < 4*time.Second*100/98 {
		t.Errorf("4s on a clock that runs 2%% slow may last only %v", withClockDrift(4*time.Second))
	}
	if testTiming.RunsExpireAfter() < testTiming.AgentLease+testTiming.WorkerLease*100/98 {
		t.Errorf("an owner waits only %v for the runs to expire", testTiming.RunsExpireAfter())
	}
}

// An order to stop a run drops the run at once if its start was in no answer. A run whose start may have reached the worker
// is dropped only once a heartbeat does not list it.
func TestStopOfRunThatMayNotHaveStarted(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 900
	30   => lease start t1
	40   7: start t2 900
	50   7: stop t2
	60   dropped t2
	70   7: stop t1
	80   dropped t2
	90   heartbeat S:2
	100  dropped t1 t2
	110  7: start t1 900
	120  => lease`)
}

// No run is started on a worker that drains; pending starts are dropped and reported.
func TestDrainingWorkerStartsNothing(t *testing.T) {
	runScript(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 900
	30   heartbeat S:2 draining
	40   dropped t1
	50   => lease
	60   7: start t2 500
	70   dropped t1 t2`)
}

func TestDeregistrationWithoutDraining(t *testing.T) {
	a := runScript(t, `
	0    7: lease
	10   heartbeat S:1 a:t1
	20   => lease
	30   deregister
	40   7: start t2 500
	50   heartbeat S:2 a:t1
	60   => nothing`)
	if r := a.Report(60 * time.Millisecond); r.LeaseRemainingMS <= 0 || r.State != string(jobs.Departed) {
		t.Errorf("report after the deregistration: %+v", r)
	}
}

// A heartbeat with a lower sequence number than the last one changes nothing.
func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	a := runScript(t, `
	0    7: lease
	10   heartbeat S:5 a:t1
	900  heartbeat S:4 a:t9
	910  => lease`)
	if r := a.Report(0); len(r.Active) != 1 || r.Active[0].Task != "t1" {
		t.Errorf("active runs %+v, want only t1", r.Active)
	}
}

// A finished run is reported until the owner has acknowledged it, and last_seen covers only acknowledged runs.
func TestLastSeenFollowsAcknowledgements(t *testing.T) {
	a := runScript(t, `
	0    7: lease
	10   heartbeat S:1 f:1/t1/done f:2/t2/failed
	20   => lease
	30   7: acked 1
	40   => lease seen1`)
	if r := a.Report(0); len(r.Finished) != 1 || r.Finished[0].Number != 2 {
		t.Errorf("finished runs %+v, want only number 2", r.Finished)
	}
}

func TestTupleEncoding(t *testing.T) {
	text := `{"sequence":3,"state":"ready","active":[["j.0.1.17",2,"0bb8",41.5]],"finished":[[58,"j.0.1.9",1,"done",""]]}`
	heartbeat := Heartbeat{}
	if err := heartbeat.UnmarshalJSON([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if heartbeat.Active[0] != (ActiveRun{"j.0.1.17", 2, "0bb8", 41.5}) || heartbeat.Finished[0] != (FinishedRun{58, "j.0.1.9", 1, "done", ""}) {
		t.Errorf("decoded heartbeat: %+v", heartbeat)
	}
	answer := HeartbeatResponse{LeaseMS: 4, Started: []Start{{"t", 1, "x", ""}}, Stopped: []RunRef{{"u", 2}}}
	out, _ := answer.MarshalJSON()
	if string(out) != `{"hold_ms":4,"started":[["t",1,"x",""]],"stopped":[["u",2]]}` {
		t.Errorf("encoded answer: %s", out)
	}
	if err := heartbeat.UnmarshalJSON([]byte(`{"active":[["j",{}]]}`)); err == nil {
		t.Error("an object was accepted in place of a number")
	}
}

// The digest changes with each change that the owner must learn without delay, and not with a heartbeat that changes nothing.
func TestStateDigestChangesWithState(t *testing.T) {
	a := runScript(t, `
	0    7: lease
	10   heartbeat S:1 a:t1`)
	first := a.StateDigest()
	a.HandleHeartbeat(0, parseHeartbeat([]string{"S:2", "a:t1"}))
	if a.StateDigest() != first {
		t.Error("a heartbeat with the same runs and state changed the digest")
	}
	changes := map[string][]string{
		"another run": {"S:3", "a:t1", "a:t2"}, "a finished run": {"S:4", "f:1/t1/done"}, "a drain": {"S:5", "a:t1", "draining"},
	}
	for name, heartbeat := range changes {
		changed := runScript(t, "0 7: lease")
		changed.HandleHeartbeat(0, parseHeartbeat(heartbeat))
		if changed.StateDigest() == first {
			t.Errorf("%s did not change the digest", name)
		}
	}
}

// Only the answer to an idle worker may be delayed until there is an order. A heartbeat that announces draining is answered at
// once.
func TestIdle(t *testing.T) {
	cases := map[string]bool{"S:1": true, "S:1 a:t1": false, "S:1 f:1/t1/done": false, "S:1 draining": false}
	for heartbeat, want := range cases {
		a := runScript(t, "0 7: lease")
		a.HandleHeartbeat(0, parseHeartbeat(strings.Fields(heartbeat)))
		if a.Idle() != want {
			t.Errorf("after heartbeat %s: idle %t, want %t", heartbeat, a.Idle(), want)
		}
	}
}

// Workers accept answers of up to 4 MiB. Starts that do not fit are sent in later answers.
func TestAnswerSizeIsBounded(t *testing.T) {
	const maxAnswerBytes = 4 << 20
	now := time.Second
	agent := New(now, "i-1", "process1", testTiming)
	heartbeat := Heartbeat{State: string(jobs.Ready), Sequence: 1, Capacity: Capacity{CPU: 64000, MemMB: 1 << 20}}
	agent.HandleHeartbeat(now, heartbeat)
	orders := &jobs.Orders{Instance: "i-1", AgentIncarnation: agent.Incarnation()}
	text := strings.Repeat("<\x01\"", 1333)
	for i := range 2500 {
		orders.Starts = append(orders.Starts, jobs.Start{Task: fmt.Sprint("0123456789abcdef.0.0.", i), Attempt: 1, Spec: text, Demand: jobs.Resources{CPU: 10}})
	}
	if err := agent.HandleOrders(now, 1, orders); err != nil {
		t.Fatal(err)
	}
	if err := agent.HandleLease(now, 1, 0); err != nil {
		t.Fatal(err)
	}
	started := 0
	for answers := 1; started < len(orders.Starts); answers++ {
		answer := agent.Response(now)
		encoded, err := answer.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		if len(encoded) > maxAnswerBytes || len(answer.Started) == 0 {
			t.Fatalf("answer %d has %d bytes and %d starts", answers, len(encoded), len(answer.Started))
		}
		started += len(answer.Started)
		for _, start := range answer.Started {
			heartbeat.Active = append(heartbeat.Active, ActiveRun{Task: start.Task, Attempt: start.Attempt})
		}
		heartbeat.Sequence++
		agent.HandleHeartbeat(now, heartbeat)
	}
}
