package jobs

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var (
	idleWorlds = flag.Int("idle.worlds", 60, "random histories in which nothing may wait while capacity is idle")
	idleSeed   = flag.Int64("idle.seed", 44, "where their seeds begin")
)

// A world is a simulation of workers that follow their orders.
const (
	worldStep     = 50 * time.Millisecond
	worldLength   = 40 * time.Second
	worldArrivals = 25 * time.Second // jobs come until then
	maxWait       = 2500 * time.Millisecond
)

type worldRun struct {
	ref   RunRef
	until time.Duration // 0 for a long-running task
}

type worldWorker struct {
	report Report
	runs   []worldRun
	ended  int64
}

type world struct {
	t            *testing.T
	random       *rand.Rand
	scheduler    *Scheduler
	workers      []*worldWorker
	store        recordStore
	jobs         int
	waitingSince map[string]time.Duration // since when a pending group could have run, by its name
	worst        string                   // what waited for too long; "" for nothing
}

func newWorld(t *testing.T, seed int64) *world {
	random := rand.New(rand.NewPCG(uint64(seed), 7))
	s := &world{t: t, random: random, store: recordStore{records: map[string][]byte{}}, waitingSince: map[string]time.Duration{}}
	s.newScheduler()
	for i := range 1 + random.IntN(6) {
		kind := []string{"a", "b"}[i%2]
		s.workers = append(s.workers, &worldWorker{report: Report{
			AgentAddress: fmt.Sprint("side-", i), AgentIncarnation: "1", Instance: fmt.Sprint("i-", i), State: string(Ready),
			Capacity: Resources{CPU: 32000, MemMB: 131072, GPU: 8}, Labels: []string{kind, fmt.Sprint("r", i/3)},
		}})
	}
	return s
}

var worldQueues = []QueueConfig{
	{Name: "urgent", Priority: 0, Retries: 3, Extension: 1.5, TargetLatencyMS: 800},
	{Name: "large", Priority: 1, Retries: 3, Extension: 2.2, TargetLatencyMS: 1500},
	{Name: "lasting", Priority: 1, Retries: 3, Extension: 2.2, TargetLatencyMS: 3000},
	{Name: "low", Priority: 2, Retries: 3, Extension: 4, TargetLatencyMS: 3000},
}

// newScheduler gives the shard to a new owner without any state.
func (s *world) newScheduler() {
	s.scheduler = newTestScheduler(time.Minute, rand.New(rand.NewPCG(s.random.Uint64(), 8)), worldQueues)
}

// failover has a new owner take over the durable records.
func (s *world) failover(now time.Duration) {
	s.newScheduler()
	s.store.restore(s.t, s.scheduler, now)
	clear(s.waitingSince)
}

// crash ends a worker's incarnation with all its runs; the next one has the same agent.
func (s *world) crash(w *worldWorker) {
	s.jobs++
	w.report.Instance = fmt.Sprint("i-new-", s.jobs)
	w.report.Active, w.report.Finished = nil, nil
	w.runs, w.ended = nil, 0
}

// submit submits a random job to a queue.
func (s *world) submit(now time.Duration, queue string) {
	label := ""
	if s.random.IntN(4) == 0 {
		label = []string{"label=a", "label=b"}[s.random.IntN(2)]
	}
	count := 1 + s.random.IntN(6)
	var spec string
	switch queue {
	case "urgent":
		spec = fmt.Sprintf("%dx cpu=%d mem=500 est=700", count, 100+s.random.IntN(600))
	case "large":
		gang := []string{"", "gang"}[s.random.IntN(2)]
		spec = fmt.Sprintf("%dx cpu=15000 mem=81000 gpu=%d est=5600 %s", 1+s.random.IntN(4), []int{2, 4, 8}[s.random.IntN(3)], gang)
	case "lasting":
		spec = fmt.Sprintf("%dx cpu=640 mem=900 est=400 longrunning antiaffinity=%d", count, 1+s.random.IntN(3))
	case "low":
		spec = fmt.Sprintf("%dx cpu=2800 mem=15000 gpu=1 est=3000 checkpoints", count)
	}
	s.jobs++
	id := fmt.Sprintf("%s%d", queue, s.jobs)
	if _, err := s.scheduler.Submit(now, now.Milliseconds(), id, queue, jobBody(strings.Fields(spec+" "+label))); err != nil {
		s.t.Fatalf("%s %s: %v", id, spec, err)
	}
}

// step lets workers run and report, the scheduler decide, and its changes be committed.
func (s *world) step(now time.Duration) {
	for _, w := range s.workers {
		s.runTasks(now, w)
		s.scheduler.HandleReport(now, &w.report)
	}
	if now%(2*worldStep) == 0 {
		s.scheduler.Tick(now, now.Milliseconds())
	}
	s.scheduler.Schedule(now)
	s.store.flush(s.t, s.scheduler)
	s.store.commit(s.scheduler)
	for _, w := range s.workers {
		s.executeOrders(now, w)
	}
}

// runTasks ends the runs whose time is over and sets the worker's next report.
func (s *world) runTasks(now time.Duration, w *worldWorker) {
	kept := w.runs[:0]
	w.report.Active = nil
	for _, run := range w.runs {
		if run.until > 0 && now >= run.until {
			s.end(w, run.ref, outcomeSucceeded)
			continue
		}
		kept = append(kept, run)
		w.report.Active = append(w.report.Active, ActiveRun{Task: run.ref.Task, Attempt: run.ref.Attempt})
	}
	w.runs = kept
}

func (s *world) end(w *worldWorker, ref RunRef, outcome string) {
	w.ended++
	w.report.Finished = append(w.report.Finished, finished(w.ended, ref, outcome))
}

// executeOrders executes a worker's orders.
func (s *world) executeOrders(now time.Duration, w *worldWorker) {
	orders := s.scheduler.Orders(now, s.scheduler.Worker(WorkerRef(w.report.Instance, w.report.AgentAddress)), 0)
	if orders == nil {
		return
	}
	left := w.report.Finished[:0]
	for _, end := range w.report.Finished {
		if end.Number > orders.DurableCompletions {
			left = append(left, end)
		}
	}
	w.report.Finished = left
	for _, ref := range orders.Stops {
		for i, run := range w.runs {
			if run.ref == ref {
				w.runs = append(w.runs[:i], w.runs[i+1:]...)
				s.end(w, ref, outcomeStopped)
				break
			}
		}
	}
	for _, start := range orders.Starts {
		run := worldRun{ref: RunRef{start.Task, start.Attempt}}
		if !strings.HasPrefix(start.Task, "lasting") {
			run.until = now + time.Duration(300+s.random.IntN(9000))*time.Millisecond
		}
		w.runs = append(w.runs, run)
	}
}

// checkWaits records what is pending although workers have free capacity for two such tasks, by what the workers run and not by
// what the scheduler believes.
func (s *world) checkWaits(now time.Duration) {
	seen := map[string]bool{}
	idle := s.inUse() < 0.5
	for _, job := range s.scheduler.jobs {
		for _, group := range job.pending {
			longRunning := job.isLongRunning(group.stage)
			if group.gang || (!longRunning && (job.assigned > 0 || !idle)) || s.slotsFor(group) < 2 {
				continue
			}
			name := fmt.Sprint(job.ID, "/", group.stage)
			seen[name] = true
			if _, known := s.waitingSince[name]; !known {
				s.waitingSince[name] = now
			}
			if waited := now - s.waitingSince[name]; waited > maxWait && s.worst == "" {
				s.worst = fmt.Sprintf("%s waits for %v at %v: %v", name, waited, now, s.scheduler.UnschedulableGroups(now, maxWait))
			}
		}
	}
	for name := range s.waitingSince {
		if !seen[name] {
			delete(s.waitingSince, name)
		}
	}
}

// inUse returns the fraction of all cores that runs take.
func (s *world) inUse() float64 {
	used, all := int64(0), int64(0)
	for _, w := range s.workers {
		all += w.report.Capacity.CPU
		used += w.report.Capacity.CPU - s.free(w).CPU
	}
	return float64(used) / float64(all)
}

func (s *world) free(w *worldWorker) Resources {
	free := w.report.Capacity
	for _, run := range w.runs {
		at, _ := parseTaskName(run.ref.Task)
		if job := s.scheduler.jobs[at.id]; job != nil {
			free = free.minus(job.Spec.Stages[at.stage].demand())
		}
	}
	return free
}

// slotsFor returns how many tasks of a group the workers could take now, counting two a worker at most.
func (s *world) slotsFor(group *taskGroup) int {
	stage := &group.job.Spec.Stages[group.stage]
	slots := 0
	for _, w := range s.workers {
		known := s.scheduler.Worker(WorkerRef(w.report.Instance, w.report.AgentAddress))
		if known == nil || !known.hasLabels(stage.Constraints) {
			continue
		}
		most := 2
		if stage.AntiAffinity > 0 {
			most = stage.AntiAffinity - s.colocated(w, group)
		}
		free := s.free(w)
		for n := 0; n < most && free.Holds(stage.demand()); n++ {
			free = free.minus(stage.demand())
			slots++
		}
	}
	return slots
}

func (s *world) colocated(w *worldWorker, group *taskGroup) int {
	n := 0
	for _, run := range w.runs {
		if at, _ := parseTaskName(run.ref.Task); at.id == group.job.ID && at.stage == group.stage {
			n++
		}
	}
	return n
}

// play runs the world and returns what waited for too long while capacity was idle, or "".
func (s *world) play() string {
	rates := map[string]int{}
	for _, queue := range []string{"urgent", "large", "lasting", "low"} {
		rates[queue] = 1 + s.random.IntN(60)
	}
	queues := []string{"urgent", "large", "lasting", "low"}
	takeover := time.Duration(s.random.IntN(40)) * time.Second // or never, within the time that is played
	lost := time.Duration(s.random.IntN(60)) * time.Second
	for now := time.Duration(0); now < worldLength && s.worst == ""; now += worldStep {
		if now == takeover {
			s.failover(now)
		}
		if now == lost {
			s.crash(s.workers[s.random.IntN(len(s.workers))])
		}
		for _, queue := range queues {
			if now < worldArrivals && s.random.IntN(rates[queue]+10) == 0 {
				s.submit(now, queue)
			}
		}
		s.step(now)
		s.checkWaits(now)
	}
	return s.worst
}

// The property of docs/incidents/inc1.md: however work comes, a job without a run does not wait despite free capacity while most of
// the shard is idle, and a long-running task never does.
func TestSchedulerIsWorkConserving(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(*idleSeed)
	parameters.MinSuccessfulTests = *idleWorlds
	properties := gopter.NewProperties(parameters)
	properties.Property("nothing waits while capacity is idle", prop.ForAllNoShrink(func(seed int64) string {
		return newWorld(t, seed).play()
	}, gen.Int64Range(1, 1<<40)))
	properties.TestingRun(t)
}
