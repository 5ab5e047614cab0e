package workeragent

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"sedgevale/jobs"
)

var (
	modelSeeds = flag.Int("model.seeds", 2000, "number of random histories of TestModelOfEnds")
	modelFirst = flag.Uint64("model.first", 1, "first seed of TestModelOfEnds")
)

const (
	modelSteps     = 250
	modelCalmSteps = 200
	modelStep      = 50 * time.Millisecond
	modelMaxListed = 2 // ends in one heartbeat
	modelWorkerCPU = 12
)

// modelWorker is a worker by the rules of the worker protocol. It lists its oldest ends first, modelMaxListed at most.
type modelWorker struct {
	sequence    int64
	active      []jobs.RunRef
	finished    []FinishedRun
	lastNumber  int64
	lastAttempt map[string]int64 // highest attempt that ended or was stopped, by task
	started     map[jobs.RunRef]int
	rejected    int
	state       string
	leaseExpiry time.Duration
}

func (w *modelWorker) heartbeat() Heartbeat {
	w.sequence++
	heartbeat := Heartbeat{State: w.state, Sequence: w.sequence, Capacity: Capacity{CPU: modelWorkerCPU}}
	for _, ref := range w.active {
		heartbeat.Active = append(heartbeat.Active, ActiveRun{Task: ref.Task, Attempt: ref.Attempt})
	}
	heartbeat.Finished = slices.Clone(w.finished[:min(len(w.finished), modelMaxListed)])
	return heartbeat
}

// end ends the active run with the given index.
func (w *modelWorker) end(index int, outcome string) {
	ref := w.active[index]
	w.active = slices.Delete(w.active, index, index+1)
	w.lastAttempt[ref.Task] = max(w.lastAttempt[ref.Task], ref.Attempt)
	w.list(ref, outcome)
}

func (w *modelWorker) list(ref jobs.RunRef, outcome string) {
	w.lastNumber++
	w.finished = append(w.finished, FinishedRun{Number: w.lastNumber, Task: ref.Task, Attempt: ref.Attempt, Outcome: outcome})
}

func (w *modelWorker) apply(sentAt time.Duration, answer HeartbeatResponse) {
	for len(w.finished) > 0 && w.finished[0].Number <= answer.LastSeen {
		w.finished = w.finished[1:]
	}
	for _, stop := range answer.Stopped {
		if index := slices.Index(w.active, jobs.RunRef(stop)); index >= 0 {
			w.end(index, "stopped")
		}
		w.lastAttempt[stop.Task] = max(w.lastAttempt[stop.Task], stop.Attempt)
	}
	if answer.LeaseMS == 0 {
		return
	}
	w.leaseExpiry = max(w.leaseExpiry, sentAt+time.Duration(answer.LeaseMS)*time.Millisecond)
	for _, start := range answer.Started {
		ref := jobs.RunRef{Task: start.Task, Attempt: start.Attempt}
		switch {
		case slices.Contains(w.active, ref):
		case start.Attempt <= w.lastAttempt[start.Task]:
			w.rejected++
			w.list(ref, "refused")
		default:
			w.active = append(w.active, ref)
			w.started[ref]++
		}
	}
}

// modelRun is a run that the owner has assigned to the worker.
type modelRun struct {
	stopping bool
	reported bool
}

// model is a worker, its agent and the owner of its shard, with messages between them that may be lost, and orders that may be late.
type model struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Duration
	worker    *modelWorker
	agent     *Agent
	processes int
	answer    *HeartbeatResponse // answer that the worker has not received yet
	sentAt    time.Duration      // time of the heartbeat that it answers

	token        int64
	assigned     map[jobs.RunRef]*modelRun
	nextTask     int
	incarnation  string
	applied      int64 // number up to which the owner has applied ends
	neverStarted map[jobs.RunRef]bool
	late         []*jobs.Orders
	lateTokens   []int64
}

func newModel(t *testing.T, seed uint64) *model {
	m := &model{
		t: t, random: rand.New(rand.NewPCG(seed, 78)), token: 1,
		worker:   &modelWorker{state: string(jobs.Ready), lastAttempt: map[string]int64{}, started: map[jobs.RunRef]int{}},
		assigned: map[jobs.RunRef]*modelRun{}, neverStarted: map[jobs.RunRef]bool{},
	}
	m.restartAgent()
	return m
}

func (m *model) restartAgent() {
	m.processes++
	m.agent = New(m.now, "i-1", fmt.Sprint("process", m.processes), testTiming)
	m.agent.ends.maxListed = modelMaxListed
	m.answer = nil
}

// heartbeat lets the worker send a heartbeat. The worker has given up waiting for the previous answer.
func (m *model) heartbeat(lost bool) {
	heartbeat := m.worker.heartbeat()
	m.answer, m.sentAt = nil, m.now
	if lost {
		return
	}
	m.agent.HandleHeartbeat(m.now, heartbeat)
	answer := m.agent.Response(m.now)
	m.answer = &answer
}

// receiveAnswer lets the worker receive the answer to its last heartbeat.
func (m *model) receiveAnswer() {
	if m.answer == nil {
		return
	}
	m.worker.apply(m.sentAt, *m.answer)
	m.answer = nil
	for ref := range m.neverStarted {
		if m.worker.started[ref] > 0 {
			m.t.Fatalf("%v: %v started although it was reported as never started", m.now, ref)
		}
	}
	for ref, count := range m.worker.started {
		if count > 1 {
			m.t.Fatalf("%v: %v started %d times", m.now, ref, count)
		}
	}
}

// report delivers the agent's report to the owner and the owner's response to the agent.
func (m *model) report() {
	if m.agent.Heartbeats() == 0 {
		return
	}
	report := m.agent.Report(m.now)
	m.incarnation = report.AgentIncarnation
	for ref, run := range m.assigned {
		run.reported = false
		if report.State == string(jobs.LeaseExpired) {
			delete(m.assigned, ref)
		}
	}
	for _, active := range report.Active {
		m.markReported(jobs.RunRef{Task: active.Task, Attempt: active.Attempt})
	}
	for _, ref := range report.InFlight {
		m.markReported(ref)
	}
	for _, end := range report.Finished {
		if end.Number > m.applied {
			m.applied = end.Number
			delete(m.assigned, jobs.RunRef{Task: end.Task, Attempt: end.Attempt})
		}
	}
	for _, ref := range report.Dropped {
		if m.assigned[ref] == nil {
			continue // its end is known
		}
		if m.worker.started[ref] > 0 {
			m.t.Fatalf("%v: %v reported as never started, but it has started", m.now, ref)
		}
		m.neverStarted[ref] = true
		delete(m.assigned, ref)
	}
	_ = m.agent.HandleLease(m.now, m.token, m.applied)
}

func (m *model) markReported(ref jobs.RunRef) {
	if run := m.assigned[ref]; run != nil {
		run.reported = true
	}
}

// orders returns the owner's orders for the agent.
func (m *model) orders() *jobs.Orders {
	orders := &jobs.Orders{Instance: "i-1", AgentIncarnation: m.incarnation, DurableCompletions: m.applied}
	for ref, run := range m.assigned {
		start := jobs.Start{Task: ref.Task, Attempt: ref.Attempt, Demand: jobs.Resources{CPU: 1}}
		orders.KnownDemands = append(orders.KnownDemands, start)
		switch {
		case run.stopping:
			orders.Stops = append(orders.Stops, ref)
		case !run.reported:
			orders.Starts = append(orders.Starts, start)
		}
	}
	return orders
}

// assign assigns up to the given number of runs to the worker, within its capacity.
func (m *model) assign(count int) {
	for range min(count, modelWorkerCPU-len(m.assigned)) {
		m.nextTask++
		m.assigned[jobs.RunRef{Task: fmt.Sprint("t", m.nextTask), Attempt: 1}] = &modelRun{}
	}
}

// step performs one random event.
func (m *model) step(lateOrders bool) {
	m.now += time.Duration(m.random.Int64N(int64(2 * modelStep)))
	switch m.random.IntN(16) {
	case 0, 1, 2:
		m.heartbeat(m.random.IntN(10) == 0)
		if m.random.IntN(8) > 0 {
			m.receiveAnswer()
		}
	case 3:
		m.receiveAnswer()
	case 4, 5:
		m.report()
	case 6, 7:
		_ = m.agent.HandleOrders(m.now, m.token, m.orders())
	case 8:
		m.assign(1 + m.random.IntN(4))
	case 9, 10, 11:
		if len(m.worker.active) > 0 {
			m.worker.end(m.random.IntN(len(m.worker.active)), "done")
		}
	case 12:
		m.stopSomeRuns()
	case 13:
		m.rareEvent()
	case 14, 15:
		m.lateOrders(lateOrders)
	}
	m.checkExpiry()
}

// stopSomeRuns has the owner stop some of its runs.
func (m *model) stopSomeRuns() {
	for _, run := range m.assigned {
		if m.random.IntN(6) == 0 {
			run.stopping = true
		}
	}
}

// lateOrders delays orders if that is allowed, or delivers delayed ones.
func (m *model) lateOrders(allowed bool) {
	if allowed && m.random.IntN(2) == 0 {
		m.late, m.lateTokens = append(m.late, m.orders()), append(m.lateTokens, m.token)
		return
	}
	if len(m.late) > 0 {
		_ = m.agent.HandleOrders(m.now, m.lateTokens[0], m.late[0])
		m.late, m.lateTokens = m.late[1:], m.lateTokens[1:]
	}
}

// rareEvent restarts the agent, replaces the owner, drains the worker, or cuts it off for longer than its lease.
func (m *model) rareEvent() {
	switch m.random.IntN(12) {
	case 0, 1:
		m.restartAgent()
	case 2, 3:
		m.token++
		m.incarnation, m.applied = "", 0
	case 4, 5:
		m.worker.state = string(jobs.Draining)
	case 6:
		m.answer = nil
		m.now += testTiming.RunsExpireAfter()
	}
}

// checkExpiry ends the worker's runs if its lease has expired, and lets the agent check the lease.
func (m *model) checkExpiry() {
	if m.now >= m.worker.leaseExpiry {
		for len(m.worker.active) > 0 {
			m.worker.end(0, "lapsed")
		}
	}
	m.agent.CheckExpiry(m.now)
}

// settle lets everything go on without faults until each assigned run has ended. New runs are short and keep the lists truncated.
func (m *model) settle() {
	m.late, m.lateTokens = nil, nil
	waiting := map[jobs.RunRef]bool{}
	for ref := range m.assigned {
		waiting[ref] = true
	}
	for range modelCalmSteps {
		m.now += modelStep
		m.heartbeat(false)
		m.receiveAnswer()
		m.report()
		_ = m.agent.HandleOrders(m.now, m.token, m.orders())
		for len(m.worker.active) > 0 {
			m.worker.end(0, "done")
		}
		if m.worker.state == string(jobs.Ready) {
			m.assign(modelWorkerCPU)
		}
		m.checkExpiry()
	}
	for ref := range m.assigned {
		if waiting[ref] {
			m.t.Errorf("%v never ended: %d starts, run %+v, worker %s", ref, m.worker.started[ref], *m.assigned[ref], m.worker.state)
		}
	}
}

// TestModelOfEnds checks random histories of a worker, its agent and the owner, with lists of ends that are truncated, lost and late
// messages, restarts of the agent, other owners, drains and expired leases: no run that has started is reported as never started, none
// that was reported so starts afterwards, none is sent to the worker twice unless orders are late, and each one ends. It guards
// against the failure of review/4 and all conclusions of its kind.
func TestModelOfEnds(t *testing.T) {
	for seed := *modelFirst; seed < *modelFirst+uint64(*modelSeeds) && !t.Failed(); seed++ {
		m := newModel(t, seed)
		lateOrders := seed%2 == 0
		for range modelSteps {
			m.step(lateOrders)
		}
		m.settle()
		if !lateOrders && m.worker.rejected > 0 {
			t.Errorf("the worker rejected %d starts", m.worker.rejected)
		}
		if t.Failed() {
			t.Logf("seed %d", seed)
		}
	}
}
