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

// timeline plays a script with one event a line: the time in milliseconds, who acts (the worker, the agent's own clock, or
// an owner with its fencing token) and what it does. Lines with => hold the expected answer.
//
//	heartbeat S:1 a:t1 f:3/t2/done ready   a heartbeat: sequence, active runs, finished ones, state
//	=> answer lease start t1 stop t2   what the answer holds
//	7: start t1 500 | stop t1 | lease | acked 3   an owner's orders under token 7
//	restart                           the agent's process is a new one
type timeline struct {
	t            *testing.T
	agent        *Agent
	incarnations int
}

var testTiming = Timing{WorkerLease: 4 * time.Second, AgentLease: 8 * time.Second}

func play(t *testing.T, text string) *Agent {
	t.Helper()
	line := &timeline{t: t}
	for _, row := range strings.Split(text, "\n") {
		row = strings.TrimSpace(row)
		if row == "" || strings.HasPrefix(row, "#") {
			continue
		}
		at, rest, _ := strings.Cut(row, " ")
		ms, err := strconv.Atoi(at)
		if err != nil {
			t.Fatalf("%q: %v", row, err)
		}
		line.step(time.Duration(ms)*time.Millisecond, strings.TrimSpace(rest), row)
	}
	return line.agent
}

func (l *timeline) step(now time.Duration, what, row string) {
	l.t.Helper()
	if l.agent == nil || what == "restart" {
		l.incarnations++
		l.agent = New(now, "i-1", "process"+strconv.Itoa(l.incarnations), testTiming)
	}
	fields := strings.Fields(what)
	switch {
	case what == "restart":
	case fields[0] == "heartbeat":
		l.agent.OnHeartbeat(now, parseHeartbeat(fields[1:]))
	case fields[0] == "check":
		l.expect(row, fmt.Sprint(l.agent.CheckExpiry(now)), fields[1])
	case fields[0] == "deregister":
		l.agent.OnDeregister(now)
	case fields[0] == "=>":
		l.expect(row, describe(l.agent.Answer(now)), strings.Join(fields[1:], " "))
	case fields[0] == "dropped":
		l.expect(row, droppedOf(l.agent.Report(now)), strings.Join(fields[1:], " "))
	default:
		token, err := strconv.ParseInt(strings.TrimSuffix(fields[0], ":"), 10, 64)
		if err != nil {
			l.t.Fatalf("%q: %v", row, err)
		}
		l.handleOwner(now, token, fields[1:], row)
	}
}

func (l *timeline) handleOwner(now time.Duration, token int64, fields []string, row string) {
	l.t.Helper()
	orders := &jobs.Orders{Instance: "i-1", AgentIncarnation: l.agent.Incarnation()}
	rejected := fields[len(fields)-1] == "rejected"
	if rejected {
		fields = fields[:len(fields)-1]
	}
	var err error
	switch fields[0] {
	case "lease":
		err = l.agent.OnLease(now, token, 0)
	case "acked":
		orders.DurableCompletions, _ = strconv.ParseInt(fields[1], 10, 64)
		err = l.agent.OnOrders(now, token, orders)
	case "start", "known":
		start := jobs.Start{Task: fields[1], Attempt: 1, Text: "text"}
		start.Demand.CPU, _ = strconv.ParseInt(fields[2], 10, 64)
		if fields[0] == "known" {
			orders.KnownDemands = []jobs.Start{start}
		} else {
			orders.Starts = []jobs.Start{start}
		}
		err = l.agent.OnOrders(now, token, orders)
	case "stop":
		orders.Stops = []jobs.RunRef{{Task: fields[1], Attempt: 1}}
		err = l.agent.OnOrders(now, token, orders)
	case "old-incarnation":
		orders.AgentIncarnation = "process0/0"
		err = l.agent.OnOrders(now, token, orders)
	}
	if (err != nil) != rejected {
		l.t.Errorf("%q: error %v", row, err)
	}
	if rejected && result.CodeOf(err) != result.Fenced && result.CodeOf(err) != result.WrongInstance {
		l.t.Errorf("%q: code of %v", row, err)
	}
}

func (l *timeline) expect(row, got, want string) {
	l.t.Helper()
	if got != want {
		l.t.Errorf("%q: got %q", row, got)
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
		case "S":
			heartbeat.Sequence, _ = strconv.ParseInt(value, 10, 64)
		default:
			heartbeat.State = field
		}
	}
	return heartbeat
}

func describe(a Answer) string {
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

func droppedOf(r *jobs.Report) string {
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

func TestOrderStartsInTheNextAnswer(t *testing.T) {
	play(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: start t1 500
	30   => lease start t1
	40   heartbeat S:2 a:t1
	50   => lease`)
}

// The next heartbeat shows that the worker has not received an answer, and the order is sent again.
func TestDroppedAnswerIsRepeated(t *testing.T) {
	play(t, `
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
func TestCapacityCountsAllRunsThatMayBeActive(t *testing.T) {
	play(t, `
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

// A new agent process starts nothing before it knows the active runs and their demand, from the next heartbeat
// and from the owner.
func TestNewAgentStartsNothingBesideUnknownRuns(t *testing.T) {
	play(t, `
	0    7: lease
	0    restart
	10   7: lease
	20   heartbeat S:9 a:t1
	30   7: start t2 500
	40   => lease
	50   7: known t1 400
	60   => lease start t2`)
}

// An older fencing token is rejected, also after a pause of the process.
func TestOlderOwnerIsFenced(t *testing.T) {
	play(t, `
	0    7: lease
	10   heartbeat S:1
	20   8: lease
	6000 7: start t1 500 rejected
	6010 7: lease rejected
	6020 heartbeat S:2
	6030 => lease`)
}

func TestOrdersForAnEarlierIncarnationAreVoid(t *testing.T) {
	play(t, `
	0    7: lease
	10   heartbeat S:1
	20   7: old-incarnation rejected`)
}

// Without a lease from the owner the agent neither renews the worker's lease nor starts anything.
func TestWorkerLeaseNeedsAnOwnersLease(t *testing.T) {
	play(t, `
	0     7: lease
	10    heartbeat S:1
	20    7: start t1 500
	30    => lease start t1
	8100  heartbeat S:2 a:t1
	8110  => nothing
	8120  8: lease
	8130  => lease`)
}

// The worker's lease expires on a clock that runs 2% slow, from the heartbeat whose answer may have reached it.
func TestWorkerLeaseExpiresOnASlowClock(t *testing.T) {
	a := play(t, `
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
		t.Errorf("state %s", a.State())
	}
}

// Without the 2% the expiry would be reported before the worker's clock has reached it.
func TestExpiryAllowsForClockDrift(t *testing.T) {
	if stretch(4*time.Second) < 4*time.Second*100/98 {
		t.Errorf("%v for a clock that runs 2%% slow", stretch(4*time.Second))
	}
	if testTiming.RunsExpireAfter() < testTiming.AgentLease+testTiming.WorkerLease*100/98 {
		t.Errorf("an owner waits only %v", testTiming.RunsExpireAfter())
	}
}

// An order that was in no answer can be dropped at once; one that may have reached the worker only after the next
// heartbeat.
func TestStopOfARunThatMayNotHaveStarted(t *testing.T) {
	play(t, `
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

// Nothing starts on a worker that drains or has deregistered; pending orders are dropped and reported.
func TestDrainStartsNothing(t *testing.T) {
	play(t, `
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
	a := play(t, `
	0    7: lease
	10   heartbeat S:1 a:t1
	20   => lease
	30   deregister
	40   7: start t2 500
	50   heartbeat S:2 a:t1
	60   => nothing`)
	if r := a.Report(60 * time.Millisecond); r.LeaseRemainingMS <= 0 || r.State != string(jobs.Departed) {
		t.Errorf("report %+v", r)
	}
}

// A heartbeat that arrives out of order changes nothing.
func TestOutdatedHeartbeatIsIgnored(t *testing.T) {
	a := play(t, `
	0    7: lease
	10   heartbeat S:5 a:t1
	900  heartbeat S:4 a:t9
	910  => lease`)
	if r := a.Report(0); len(r.Active) != 1 || r.Active[0].Task != "t1" {
		t.Errorf("active %+v", r.Active)
	}
}

// An end is reported until the owner has acknowledged it, and last_seen never passes one that it has not.
func TestLastSeenWaitsForTheOwner(t *testing.T) {
	a := play(t, `
	0    7: lease
	10   heartbeat S:1 f:1/t1/done f:2/t2/failed
	20   => lease
	30   7: acked 1
	40   => lease seen1`)
	if r := a.Report(0); len(r.Finished) != 1 || r.Finished[0].Number != 2 {
		t.Errorf("finished %+v", r.Finished)
	}
}

func TestTuplesAreReadAndWritten(t *testing.T) {
	text := `{"sequence":3,"state":"ready","active":[["j.0.1.17",2,"0bb8",41.5]],"finished":[[58,"j.0.1.9",1,"done",""]]}`
	heartbeat := Heartbeat{}
	if err := heartbeat.UnmarshalJSON([]byte(text)); err != nil {
		t.Fatal(err)
	}
	if heartbeat.Active[0] != (ActiveRun{"j.0.1.17", 2, "0bb8", 41.5}) || heartbeat.Finished[0] != (FinishedRun{58, "j.0.1.9", 1, "done", ""}) {
		t.Errorf("heartbeat %+v", heartbeat)
	}
	answer := Answer{LeaseMS: 4, Started: []Start{{"t", 1, "x", ""}}, Stopped: []RunRef{{"u", 2}}}
	out, _ := answer.MarshalJSON()
	if string(out) != `{"hold_ms":4,"started":[["t",1,"x",""]],"stopped":[["u",2]]}` {
		t.Errorf("answer %s", out)
	}
	if err := heartbeat.UnmarshalJSON([]byte(`{"active":[["j",{}]]}`)); err == nil {
		t.Error("a number was read from an object")
	}
}

// The digest changes with what the owner has to learn at once.
func TestDigestChangesWithTheState(t *testing.T) {
	a := play(t, `
	0    7: lease
	10   heartbeat S:1 a:t1`)
	first := a.StateDigest()
	a.OnHeartbeat(0, parseHeartbeat([]string{"S:2", "a:t1"}))
	if a.StateDigest() != first {
		t.Error("a heartbeat like the last one changes the digest")
	}
	changes := map[string][]string{
		"a run more": {"S:3", "a:t1", "a:t2"}, "an end": {"S:4", "f:1/t1/done"}, "a drain": {"S:5", "a:t1", "draining"},
	}
	for name, heartbeat := range changes {
		b := play(t, "0 7: lease")
		b.OnHeartbeat(0, parseHeartbeat(heartbeat))
		if b.StateDigest() == first {
			t.Errorf("%s does not change the digest", name)
		}
	}
}

// Only the heartbeat of an idle worker may wait for an order. One that announces a drain is answered at once.
func TestOnlyAnIdleWorkerWaits(t *testing.T) {
	cases := map[string]bool{"S:1": true, "S:1 a:t1": false, "S:1 f:1/t1/done": false, "S:1 draining": false}
	for heartbeat, want := range cases {
		a := play(t, "0 7: lease")
		a.OnHeartbeat(0, parseHeartbeat(strings.Fields(heartbeat)))
		if a.Idle() != want {
			t.Errorf("%s: idle %t", heartbeat, a.Idle())
		}
	}
}

// A worker takes an answer of 4 MiB at most. Orders beyond that wait for the next one.
func TestAnswerIsNeverTooLong(t *testing.T) {
	const workerTakes = 4 << 20
	now := time.Second
	agent := New(now, "i-1", "process1", testTiming)
	heartbeat := Heartbeat{State: string(jobs.Ready), Sequence: 1, Capacity: Capacity{CPU: 64000, MemMB: 1 << 20}}
	agent.OnHeartbeat(now, heartbeat)
	orders := &jobs.Orders{Instance: "i-1", AgentIncarnation: agent.Incarnation()}
	text := strings.Repeat("<\x01\"", 1333)
	for i := range 2500 {
		orders.Starts = append(orders.Starts, jobs.Start{Task: fmt.Sprint("0123456789abcdef.0.0.", i), Attempt: 1, Text: text, Demand: jobs.Resources{CPU: 10}})
	}
	if err := agent.OnOrders(now, 1, orders); err != nil {
		t.Fatal(err)
	}
	if err := agent.OnLease(now, 1, 0); err != nil {
		t.Fatal(err)
	}
	started := 0
	for answers := 1; started < len(orders.Starts); answers++ {
		answer := agent.Answer(now)
		wire, err := answer.MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		if len(wire) > workerTakes || len(answer.Started) == 0 {
			t.Fatalf("answer %d has %d bytes and %d starts", answers, len(wire), len(answer.Started))
		}
		started += len(answer.Started)
		for _, start := range answer.Started {
			heartbeat.Active = append(heartbeat.Active, ActiveRun{Task: start.Task, Attempt: start.Attempt})
		}
		heartbeat.Sequence++
		agent.OnHeartbeat(now, heartbeat)
	}
}
