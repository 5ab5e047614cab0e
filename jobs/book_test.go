package jobs

import (
	"fmt"
	"math/rand/v2"
	"path"
	"slices"
	"sort"
	"strconv"
	"strings"
	"testing"
	"time"
)

// play runs a timeline against a Book. A line is a time in milliseconds, who acts (a client, an owner's disk, or a
// worker by name) and what happens; lines with = tell what must be seen.
//
//	worker a cpu=4000 gpu=8 mem=64000 kind=k rack=r1 [draining 500] [active T/1:50] [end N/T/1/done] [held T/1] [lapsed]
//	client submit J spec | cancel J | J = running
//	disk commit                 all changes so far are durable
//	orders a = start T stop T noted 3
//	tick
//	pending q = 1               jobs of a queue of which no task has begun
//	failover                    a new owner takes the durable records over
//
// A spec is steps divided by |, each with words like 3x cpu=500 gang after=0 keep lasts near=r1 apart=1 est=900 gpu=2.
type stage struct {
	t       *testing.T
	book    *Book
	records map[string][]byte // durable
	pending []Change
	last    int64
	noted   map[string]int64
	ended   map[string][]EndedRun
	configs []QueueConfig // that a new owner is told
}

var testQueues = []QueueConfig{
	{Name: "q", Priority: 0, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
	{Name: "low", Priority: 2, Retries: 2, Extension: 2, TargetLatencyMS: 1000},
}

func newStage(t *testing.T) *stage {
	s := &stage{t: t, records: map[string][]byte{}, noted: map[string]int64{}, ended: map[string][]EndedRun{}, configs: testQueues}
	s.fresh()
	return s
}

func (s *stage) fresh() {
	s.book = New(Options{LapseAfter: 13 * time.Second, KeepEnded: time.Minute, FarX: 1.5}, rand.New(rand.NewPCG(1, 2)))
	s.book.Configure(s.configs)
}

func play(t *testing.T, text string) *stage {
	t.Helper()
	s := newStage(t)
	for _, row := range strings.Split(text, "\n") {
		row = strings.TrimSpace(row)
		if row == "" || strings.HasPrefix(row, "#") {
			continue
		}
		fields := strings.Fields(row)
		ms, err := strconv.Atoi(fields[0])
		if err != nil {
			t.Fatalf("%q: %v", row, err)
		}
		s.step(time.Duration(ms)*time.Millisecond, fields[1:], row)
	}
	return s
}

func (s *stage) step(now time.Duration, fields []string, row string) {
	s.t.Helper()
	switch fields[0] {
	case "worker":
		s.book.Report(now, s.report(fields[1:]))
	case "client":
		s.client(now, fields[1:], row)
	case "disk":
		s.commit()
	case "tick":
		s.book.Tick(now, now.Milliseconds())
	case "pending":
		if got := strconv.Itoa(s.book.Pending(fields[1])); got != fields[3] {
			s.t.Errorf("%q: got %s", row, got)
		}
	case "orders":
		s.orders(now, fields[1], strings.Join(fields[3:], " "), row)
	case "failover":
		s.pending = nil
		s.fresh()
		var records []Change
		for key, value := range s.records {
			records = append(records, Change{key, value})
		}
		if err := s.book.Restore(now, records, ""); err != nil {
			s.t.Fatalf("%q: %v", row, err)
		}
	default:
		s.t.Fatalf("%q is not understood", row)
	}
	s.book.Schedule(now)
	s.flush()
}

func (s *stage) flush() {
	last, err := s.book.Flush(func(c Change) int64 {
		s.pending = append(s.pending, c)
		s.last++
		return s.last
	}, s.last)
	if err != nil {
		s.t.Fatal(err)
	}
	s.last = last
}

// commit makes all changes so far durable.
func (s *stage) commit() {
	for _, c := range s.pending {
		if c.Value == nil {
			delete(s.records, c.Key)
		} else {
			s.records[c.Key] = c.Value
		}
	}
	s.pending = nil
	s.book.Committed(s.last)
}

func (s *stage) client(now time.Duration, fields []string, row string) {
	s.t.Helper()
	switch {
	case fields[0] == "submit":
		queue := "q"
		if strings.HasPrefix(fields[1], "low") {
			queue = "low"
		}
		if _, err := s.book.Submit(now, now.Milliseconds(), fields[1], queue, specText(fields[2:])); err != nil {
			s.t.Errorf("%q: %v", row, err)
		}
	case fields[0] == "cancel":
		s.book.Cancel(now, fields[1])
	default:
		got, known := s.book.Status(fields[0])
		if !known {
			got = "unknown"
		}
		if string(got) != fields[2] {
			s.t.Errorf("%q: got %s", row, got)
		}
	}
}

func specText(words []string) []byte {
	var steps []string
	step := map[string]string{}
	job := ""
	flush := func() {
		var parts []string
		for name, value := range step {
			parts = append(parts, strconv.Quote(name)+":"+value)
		}
		steps = append(steps, "{"+strings.Join(parts, ",")+"}")
		step = map[string]string{}
	}
	for _, word := range words {
		name, value, _ := strings.Cut(word, "=")
		switch {
		case word == "|":
			flush()
		case strings.HasSuffix(word, "x"):
			step["count"] = strings.TrimSuffix(word, "x")
		case name == "gang":
			step["gang"] = "true"
		case name == "tight":
			step["rack_local"] = "true"
		case name == "keep":
			step["checkpoints"] = "true"
		case name == "lasts":
			step["long_running"] = "true"
		case name == "after":
			step["depends_on"] = "[" + value + "]"
		case name == "near":
			step["affinity_to"] = strconv.Quote(value)
		case name == "label":
			step["constraints"] = strconv.Quote(value)
		case name == "mem":
			step["mem_mb"] = value
		case name == "apart":
			step["anti_affinity"] = value
		case name == "est":
			step["estimate_ms"] = value
		case name == "repeat":
			job += `,"repeat":` + value
		case name == "at":
			job += `,"start_at_ms":` + value
		case name == "every":
			job += `,"interval_ms":` + value
		default:
			step[name] = value
		}
	}
	flush()
	return []byte(`{"spec":"text","stages":[` + strings.Join(steps, ",") + `]` + job + `}`)
}

func (s *stage) report(fields []string) *Report {
	name := fields[0]
	r := &Report{Side: "side-" + name, Life: "1", Instance: "i-" + name, State: string(Ready), Labels: []string{"k", "r1"}}
	for i := 1; i < len(fields); i++ {
		key, value, has := strings.Cut(fields[i], "=")
		switch {
		case has && key == "cpu":
			r.Capacity.CPU, _ = strconv.ParseInt(value, 10, 64)
		case has && key == "gpu":
			r.Capacity.GPU, _ = strconv.ParseInt(value, 10, 64)
		case has && key == "mem":
			r.Capacity.MemMB, _ = strconv.ParseInt(value, 10, 64)
		case has && key == "kind":
			r.Labels[0] = value
		case has && key == "rack":
			r.Labels[1] = value
		case has && key == "life":
			r.Life = value
		case has && key == "instance":
			r.Instance = value
		case fields[i] == "draining":
			i++
			r.State = string(Draining)
			r.RemainingMS, _ = strconv.ParseInt(fields[i], 10, 64)
		case fields[i] == "endall":
			i++
			s.endAll(r, fields[i])
		case fields[i] == "lapsed":
			r.State = string(Lapsed)
		case fields[i] == "active":
			i++
			r.Active = append(r.Active, parseActive(fields[i]))
		case fields[i] == "held":
			i++
			ref := parseActive(fields[i])
			r.Held = append(r.Held, RunRef{ref.Task, ref.Attempt})
		case fields[i] == "dropped":
			i++
			ref := parseActive(fields[i])
			r.Dropped = append(r.Dropped, RunRef{ref.Task, ref.Attempt})
		case fields[i] == "end":
			i++
			parts := strings.Split(fields[i], "/")
			number, _ := strconv.ParseInt(parts[0], 10, 64)
			attempt, _ := strconv.ParseInt(parts[2], 10, 64)
			end := EndedRun{Number: number, Task: parts[1], Attempt: attempt, How: parts[3]}
			if len(parts) > 4 {
				end.Saved = parts[4]
			}
			r.Finished = append(r.Finished, end)
		}
	}
	return r
}

// endAll has all runs of a reporting worker end in one way.
func (s *stage) endAll(r *Report, how string) {
	w := s.book.workers[RefOf(r.Instance, r.Side)]
	if w == nil {
		return
	}
	number := w.seen
	for key := range w.Runs {
		number++
		r.Finished = append(r.Finished, EndedRun{Number: number, Task: key.Task, Attempt: key.Attempt, How: how})
	}
}

func parseActive(text string) ActiveRun {
	text, saved, _ := strings.Cut(text, "#")
	task, attempt, _ := strings.Cut(text, "/")
	n, _ := strconv.ParseInt(attempt, 10, 64)
	return ActiveRun{Task: task, Attempt: n, Saved: saved}
}

func (s *stage) orders(now time.Duration, name, want, row string) {
	s.t.Helper()
	var words []string
	for _, w := range s.book.workers {
		if w.Instance != "i-"+name {
			continue
		}
		orders := s.book.Orders(now, w, s.noted[name])
		if orders == nil {
			continue
		}
		for _, start := range orders.Starts {
			word := fmt.Sprintf("start %s/%d", start.Task, start.Attempt)
			if start.Saved != "" {
				word += "#" + start.Saved
			}
			words = append(words, word)
		}
		for _, stop := range orders.Stops {
			words = append(words, fmt.Sprintf("stop %s/%d", stop.Task, stop.Attempt))
		}
		if orders.Noted > s.noted[name] {
			s.noted[name] = orders.Noted
			words = append(words, fmt.Sprintf("noted %d", orders.Noted))
		}
	}
	sort.Strings(words)
	got := strings.Join(words, " ")
	if got == "" {
		got = "nothing"
	}
	if matched, err := path.Match(want, got); err != nil || !matched {
		s.t.Errorf("%q: got %q", row, got)
	}
}

// Traps 2 and 5: a start is ordered only once it is durable, and a job is shown only then.
func TestNothingHappensBeforeItIsDurable(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  client j = unknown
	20  orders a = nothing
	30  disk commit
	30  client j = running
	30  orders a = start j.0.0.0/1
	60  worker a cpu=4000 active j.0.0.0/1
	200 worker a cpu=4000 end 1/j.0.0.0/1/done
	210 client j = running
	210 orders a = nothing
	220 disk commit
	220 client j = completed
	220 orders a = noted 1`)
}

// Trap 4: an end that comes again changes nothing; a task that has ended done never starts again.
func TestNotedEndsStand(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 2x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1 start j.0.0.1/1
	60  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	70  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	80  disk commit
	90  failover
	100 worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	110 disk commit
	110 orders a = noted 1
	120 worker a cpu=4000 end 1/j.0.0.0/1/done end 2/j.0.0.1/1/done
	130 disk commit
	140 client j = completed`)
}

// Trap 5: an owner that comes back takes every start that it wrote down for one that may have been sent, sends the
// same one again, and starts the task elsewhere only once the hold has surely lapsed.
func TestNewOwnerWaitsForWhatMayRun(t *testing.T) {
	play(t, `
	0     worker a cpu=4000
	10    client submit j 1x cpu=500 est=100
	20    disk commit
	30    failover
	40    worker b cpu=4000
	50    orders b = nothing
	12000 tick
	12000 orders b = nothing
	13020 worker b cpu=4000
	13040 tick
	13040 disk commit
	13050 orders b = start j.0.0.0/2`)
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  failover
	40  worker a cpu=4000
	50  orders a = start j.0.0.0/1`)
}

// A start that was not durable when the owner died was never sent; the next owner decides anew.
func TestUnwrittenStartIsForgotten(t *testing.T) {
	play(t, `
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000
	40  failover
	50  worker b cpu=4000
	60  disk commit
	70  orders b = start j.0.0.0/1`)
}

func TestLapsedWorkersTasksGoElsewhere(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 keep
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1#saved
	70   worker b cpu=4000
	4990 worker b cpu=4000
	5000 worker a cpu=4000 lapsed
	5010 disk commit
	5020 orders b = start j.0.0.0/2#saved`)
}

func TestWorkerUnderANewNameReplacesTheCrashedOne(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1
	900  worker a instance=i-a2 cpu=4000
	910  disk commit
	920  orders a2 = start j.0.0.0/2`)
}

// A worker that announced its end may still be at work when its successor comes.
func TestDrainingWorkerIsNotTakenForDead(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	60   worker a cpu=4000 active j.0.0.0/1 draining 5000
	900  worker a instance=i-a2 cpu=4000
	910  disk commit
	920  orders a2 = nothing`)
}

// Trap 9: what cannot end in time moves, with its checkpoint; what can stays.
func TestDrainMovesWhatCannotEnd(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit long 1x cpu=500 est=60000 keep
	10  client submit short 1x cpu=500 est=100
	20  disk commit
	30  orders a = start long.0.0.0/1 start short.0.0.0/1
	60  worker a cpu=4000 active long.0.0.0/1 active short.0.0.0/1
	70  worker b cpu=4000
	80  worker a cpu=4000 active long.0.0.0/1 active short.0.0.0/1 draining 2000
	90  orders a = stop long.0.0.0/1
	300 worker a cpu=4000 draining 1800 end 1/long.0.0.0/1/stopped/s1 end 2/short.0.0.0/1/done
	310 disk commit
	320 orders b = start long.0.0.0/2#s1
	320 client short = completed`)
}

// ORDER: a step starts once all tasks of the steps before it have ended done.
func TestStepsWaitForThoseBefore(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 2x cpu=500 est=100 | 1x cpu=500 est=100 after=0
	20  disk commit
	30  orders a = start j.0.0.0/1 start j.0.0.1/1
	60  worker a cpu=4000 active j.0.0.1/1 end 1/j.0.0.0/1/done
	70  disk commit
	80  orders a = noted 1
	90  worker a cpu=4000 end 2/j.0.0.1/1/done
	100 disk commit
	110 orders a = noted 2 start j.0.1.0/1`)
}

// BUDGET: a job whose task failed as often as the queue allows is failed; other ends do not count.
func TestFailuresCount(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  worker a cpu=4000 end 1/j.0.0.0/1/failed
	40  disk commit
	50  worker a cpu=4000 end 2/j.0.0.0/2/stopped
	60  disk commit
	70  client j = running
	80  worker a cpu=4000 end 3/j.0.0.0/3/failed
	90  disk commit
	90  client j = failed
	95  orders a = noted 3`)
}

// Trap 8: a gang starts everywhere or nowhere.
func TestGangStartsWhole(t *testing.T) {
	play(t, `
	0   worker a cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	20  disk commit
	30  orders a = nothing
	40  worker b cpu=4000 gpu=8
	50  disk commit
	60  orders a = start j.0.0.?/1
	60  orders b = start j.0.0.?/1`)
}

// Two gangs that both want all workers do not hold half each.
func TestGangsDoNotBlockEachOther(t *testing.T) {
	s := play(t, `
	0   worker a cpu=4000 gpu=8
	0   worker b cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	10  client submit k 2x cpu=500 gpu=8 gang est=100
	20  disk commit`)
	running := map[string]int{}
	for _, w := range s.book.workers {
		for key := range w.Runs {
			running[key.Task[:1]]++
		}
	}
	if len(running) != 1 {
		t.Errorf("runs by job: %v", running)
	}
}

// When one member of a gang ends badly the others are stopped, and all start again together; a failure counts once.
func TestGangStartsAgainWhole(t *testing.T) {
	play(t, `
	0   worker a cpu=4000 gpu=8
	0   worker b cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	20  disk commit
	60  worker a cpu=4000 gpu=8 endall failed
	60  worker b cpu=4000 gpu=8 endall failed
	70  disk commit
	80  client j = running
	90  orders a = noted 1 start j.0.0.?/2
	90  orders b = noted 1 start j.0.0.?/2`)
}

func TestOneGoodEndStandsForTheGang(t *testing.T) {
	play(t, `
	0   worker a cpu=4000 gpu=8
	0   worker b cpu=4000 gpu=8
	10  client submit j 2x cpu=500 gpu=8 gang est=100
	20  disk commit
	60  worker a cpu=4000 gpu=8 endall done
	70  disk commit
	70  client j = completed`)
}

// Trap 10: a cancel stops what runs and takes back what was not sent.
func TestCancelStops(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	40  worker a cpu=4000 active j.0.0.0/1
	50  client cancel j
	50  client j = running
	60  disk commit
	60  client j = cancelled
	70  orders a = stop j.0.0.0/1
	80  worker a cpu=4000 end 1/j.0.0.0/1/stopped
	90  disk commit
	95  orders a = noted 1`)
}

func TestCancelOutlivesTheOwner(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	50  client cancel j
	60  disk commit
	70  failover
	80  worker a cpu=4000 active j.0.0.0/1
	90  orders a = stop j.0.0.0/1
	95  client j = cancelled`)
}

// Trap 11: only start_at_ms reads the time of day.
func TestTimesBecomeDue(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100 at=1000 every=500 repeat=2
	20   disk commit
	990  tick
	990  orders a = nothing
	990  worker a cpu=4000
	1000 tick
	1000 disk commit
	1010 orders a = start j.0.0.0/1
	1100 worker a cpu=4000 end 1/j.0.0.0/1/done
	1490 worker a cpu=4000 end 1/j.0.0.0/1/done
	1500 tick
	1500 disk commit
	1510 client j = running
	1510 orders a = noted 1 start j.1.0.0/1
	1600 worker a cpu=4000 end 2/j.1.0.0/1/done
	1610 disk commit
	1610 client j = completed`)
}

func TestLastingTasksStartAgainHoweverTheyEnd(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 lasts est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	60  worker a cpu=4000 end 1/j.0.0.0/1/failed
	70  disk commit
	80  worker a cpu=4000 end 2/j.0.0.0/2/done
	90  disk commit
	100 worker a cpu=4000 end 3/j.0.0.0/3/failed
	110 disk commit
	120 client j = running
	130 orders a = noted 3 start j.0.0.0/4`)
}

// ROUTE: the label in constraints, the rack of the data, and at most so many of a step on one worker.
func TestPlacementKeepsConstraints(t *testing.T) {
	s := play(t, `
	0   worker a cpu=4000 rack=r1
	0   worker b cpu=4000 rack=r2
	10  client submit near 4x cpu=100 near=r2 est=100
	10  client submit apart 2x cpu=100 apart=1 est=100
	10  client submit label 3x cpu=100 label=r1 est=100
	20  disk commit`)
	where := map[string][]string{}
	for _, w := range s.book.workers {
		for key := range w.Runs {
			name, _, _ := strings.Cut(key.Task, ".")
			where[name] = append(where[name], w.Instance)
		}
	}
	if slices.Contains(where["near"], "i-a") || len(where["near"]) != 4 {
		t.Errorf("near its data: %v", where["near"])
	}
	if len(where["apart"]) != 2 || where["apart"][0] == where["apart"][1] {
		t.Errorf("apart: %v", where["apart"])
	}
	if slices.Contains(where["label"], "i-b") || len(where["label"]) != 3 {
		t.Errorf("with the label: %v", where["label"])
	}
}

// Trap 7: nothing is placed beyond the announced capacity, also while the admission limit would allow it.
func TestCapacityIsKept(t *testing.T) {
	s := play(t, `
	0   worker a cpu=1000
	10  client submit j 5x cpu=300 est=100
	20  disk commit
	30  tick`)
	for _, w := range s.book.workers {
		if w.used.CPU > 1000 || len(w.Runs) != 3 {
			t.Errorf("%d runs with %d", len(w.Runs), w.used.CPU)
		}
	}
}

// An order that the side agent gave back is placed anew.
func TestDroppedOrderIsPlacedAnew(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	40  worker b cpu=4000
	50  worker a cpu=4000 draining 3000 dropped j.0.0.0/1
	60  disk commit
	70  orders b = start j.0.0.0/2`)
}

// An order that was not seen at the worker is sent again, as the same start.
func TestUnseenOrderIsSentAgain(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit j 1x cpu=500 est=100
	20  disk commit
	30  orders a = start j.0.0.0/1
	100 orders a = nothing
	400 orders a = start j.0.0.0/1
	500 worker a cpu=4000 held j.0.0.0/1
	900 orders a = nothing
	950 worker a life=2 cpu=4000
	960 orders a = start j.0.0.0/1`)
}

// A run that nothing wants is stopped.
func TestStrayRunIsStopped(t *testing.T) {
	play(t, `
	0   worker a cpu=4000 active x.0.0.0/1
	10  orders a = stop x.0.0.0/1`)
}

// A good end that arrives after its worker was given up still counts while the task waits.
func TestLateGoodEndCounts(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	20   disk commit
	30   worker a cpu=4000 active j.0.0.0/1
	5000 worker a cpu=4000 lapsed
	5010 disk commit
	5020 worker a cpu=0 life=2 end 1/j.0.0.0/1/done
	5030 disk commit
	5040 client j = completed`)
}

// Work that no worker can take claims no share of the room, so that others are not held back for it.
// Found by a hunt: mix --seed 122610384008 of a deployment whose only worker of a kind had left (LOST).
func TestUnplaceableWorkHoldsNobodyBack(t *testing.T) {
	s := newStage(t)
	s.step(0, strings.Fields("worker a cpu=4000"), "")
	s.step(1*time.Millisecond, strings.Fields("client submit stuck 400x cpu=1000 label=none est=1000"), "")
	for ms := 100; ms < 2000; ms += 100 {
		now := time.Duration(ms) * time.Millisecond
		s.step(now, strings.Fields("worker a cpu=4000"), "")
		s.step(now, []string{"tick"}, "")
		if ms == 500 {
			s.step(now, strings.Fields("client submit low 8x cpu=1000 est=60000"), "")
		}
	}
	for _, w := range s.book.workers {
		if len(w.Runs) != 4 {
			t.Errorf("%d runs on an idle worker with room for 4", len(w.Runs))
		}
	}
}

// The first priority takes the room of less urgent work that saves checkpoints, once it has waited for a while.
func TestFirstPriorityPreempts(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit low 4x cpu=1000 est=60000 keep
	20  disk commit
	30  orders a = start low.0.0.0/1 start low.0.0.1/1 start low.0.0.2/1 start low.0.0.3/1
	40  worker a cpu=4000 active low.0.0.0/1 active low.0.0.1/1 active low.0.0.2/1 active low.0.0.3/1
	50  client submit j 1x cpu=1000 est=500
	60  disk commit
	70  orders a = nothing
	300 tick
	310 orders a = stop low.0.0.?/1`)
}

// Work without checkpoints is not preempted.
func TestUnsavedWorkIsNotPreempted(t *testing.T) {
	play(t, `
	0   worker a cpu=4000
	10  client submit low 4x cpu=1000 est=60000
	20  disk commit
	40  worker a cpu=4000 active low.0.0.0/1 active low.0.0.1/1 active low.0.0.2/1 active low.0.0.3/1
	50  client submit j 1x cpu=1000 est=500
	60  disk commit
	300 tick
	310 orders a = nothing`)
}

// Found by incident inc-a454: starts that were assigned to a worker behind a cut waited there for its end.
func TestSilentAgentGetsNoStarts(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	1000 client submit j 1x cpu=500 est=100
	1010 disk commit
	1020 orders a = nothing
	1030 worker b cpu=4000
	1040 disk commit
	1050 orders b = start j.0.0.0/1`)
}

// A limit that was cut below what runs rises again, also where the runs last. Found by scale-1 of the second site, which
// in some plays left one of five workers at a tenth from second 11 to the end.
func TestLimitRisesBelowWhatRuns(t *testing.T) {
	s := newStage(t)
	s.step(0, strings.Fields("worker a cpu=4000"), "")
	s.step(1*time.Millisecond, strings.Fields("client submit stays 2x cpu=1000 lasts est=1000"), "")
	for _, w := range s.book.workers {
		for range 20 {
			w.hurt()
			w.cut = false
		}
	}
	for ms := 100; ms <= 4000; ms += 100 {
		now := time.Duration(ms) * time.Millisecond
		s.step(now, strings.Fields("worker a cpu=4000 active stays.0.0.0/1 active stays.0.0.1/1"), "")
		s.step(now, []string{"tick"}, "")
	}
	for _, w := range s.book.workers {
		if w.sigma < 1 {
			t.Errorf("limit %v after 4 s of clean rounds", w.sigma)
		}
	}
}

// In a large shard a placement looks at a few workers from a random place on, but finds the only one that will do.
func TestLargeShardFindsTheOnlyWorker(t *testing.T) {
	s := newStage(t)
	for i := range 300 {
		rack := "r1"
		if i == 217 {
			rack = "r2"
		}
		s.step(0, strings.Fields(fmt.Sprintf("worker w%d cpu=4000 rack=%s", i, rack)), "")
	}
	s.step(1*time.Millisecond, strings.Fields("client submit label 2x cpu=100 label=r2 est=100"), "")
	s.step(1*time.Millisecond, strings.Fields("client submit near 2x cpu=100 near=r2 est=100"), "")
	s.step(1*time.Millisecond, strings.Fields("client submit any 100x cpu=100 est=100"), "")
	for ms := 100; ms <= 500; ms += 100 {
		s.step(time.Duration(ms)*time.Millisecond, []string{"tick"}, "")
	}
	at := map[string]int{}
	for _, w := range s.book.workers {
		for key := range w.Runs {
			name, _, _ := strings.Cut(key.Task, ".")
			at[name+" "+w.rack()]++
		}
	}
	if at["label r2"] != 2 || at["near r2"] != 2 || at["any r1"]+at["any r2"] != 100 {
		t.Errorf("placed %v", at)
	}
}

// A task waits for room near its data for a part of what running far away would cost, and then runs there. Found on the
// grown bpwl-portal, where an eighth of all tasks ran three times as long away from their data.
func TestTaskWaitsForRoomNearItsData(t *testing.T) {
	play(t, `
	0    worker a cpu=1000 rack=r1
	0    worker b cpu=4000 rack=r2
	10   client submit full 1x cpu=1000 label=r1 est=60000
	20   client submit j 1x cpu=500 near=r1 est=1000
	30   disk commit
	40   orders b = nothing
	100  worker a cpu=1000 rack=r1 active full.0.0.0/1
	200  worker b cpu=4000 rack=r2
	200  tick
	210  disk commit
	220  orders b = nothing
	300  worker b cpu=4000 rack=r2
	300  tick
	310  disk commit
	320  orders b = start j.0.0.0/1`)
}

// It waits for no rack that has no worker for it, and never for long.
func TestTaskDoesNotWaitForAnEmptyRack(t *testing.T) {
	play(t, `
	0    worker b cpu=4000 rack=r2
	20   client submit j 1x cpu=500 near=r1 est=60000
	30   disk commit
	40   orders b = start j.0.0.0/1`)
	play(t, `
	0    worker a cpu=1000 rack=r1
	0    worker b cpu=4000 rack=r2
	10   client submit full 1x cpu=1000 label=r1 est=60000
	20   client submit j 1x cpu=500 near=r1 est=60000
	30   disk commit
	1000 worker b cpu=4000 rack=r2
	1500 worker b cpu=4000 rack=r2
	1500 tick
	1510 orders b = nothing
	1600 worker b cpu=4000 rack=r2
	1600 tick
	1610 disk commit
	1620 orders b = start j.0.0.0/1`)
}

// A gang that wants one rack waits for it a little, and then starts over more than one.
func TestGangWaitsForItsRack(t *testing.T) {
	play(t, `
	0    worker a cpu=4000 gpu=8 rack=r1
	0    worker b cpu=4000 gpu=8 rack=r2
	10   client submit j 2x cpu=500 gpu=8 gang tight est=1000
	20   disk commit
	30   orders a = nothing
	100  worker a cpu=4000 gpu=8 rack=r1
	100  worker b cpu=4000 gpu=8 rack=r2
	200  tick
	210  orders a = nothing
	300  tick
	310  disk commit
	320  orders a = start j.0.0.?/1`)
}

// The same ID comes again: before its 2xx, seconds after it, after a failover and after the job's end. It stays one job.
func TestSameIDStaysOneJob(t *testing.T) {
	play(t, `
	0    worker a cpu=4000
	10   client submit j 1x cpu=500 est=100
	15   client submit j 1x cpu=500 est=100
	20   disk commit
	30   orders a = start j.0.0.0/1
	40   worker a cpu=4000 active j.0.0.0/1
	3000 client submit j 1x cpu=500 est=100
	3010 disk commit
	3020 orders a = nothing
	3100 failover
	3110 client submit j 1x cpu=500 est=100
	3120 worker a cpu=4000 active j.0.0.0/1
	3130 disk commit
	3140 orders a = nothing
	3200 worker a cpu=4000 end 1/j.0.0.0/1/done
	3210 disk commit
	3215 orders a = noted 1
	3220 client j = completed
	6000 client submit j 1x cpu=500 est=100
	6010 disk commit
	6020 orders a = nothing
	6030 client j = completed`)
}

// What GET of a queue tells: accepted jobs of which no task has begun, also after a takeover.
func TestPendingCountsWhatHasNotBegun(t *testing.T) {
	play(t, `
	0   worker a cpu=1000
	10  client submit j 2x cpu=1000 est=100
	10  client submit k 1x cpu=1000 est=100
	10  client submit later 1x cpu=1000 est=100 at=60000
	20  disk commit
	20  pending q = 3
	50  worker a cpu=1000 held j.0.0.0/1
	50  pending q = 3
	90  worker a cpu=1000 active j.0.0.0/1
	90  pending q = 2
	200 worker a cpu=1000 end 1/j.0.0.0/1/failed
	200 pending q = 2
	210 disk commit
	220 failover
	220 pending q = 2
	230 worker a cpu=1000
	240 client cancel k
	240 pending q = 1
	250 worker a cpu=1000 endall done
	260 client cancel later
	260 pending q = 0`)
}

// A route that was dropped stays unknown when a new owner finds jobs of it: whoever has an older configuration hands in
// nothing more. Its jobs are still finished.
func TestDroppedQueueStaysUnknownAfterATakeover(t *testing.T) {
	s := play(t, `
	0  worker a cpu=1000
	10 client submit low1 1x cpu=100 est=100
	20 disk commit`)
	testQueues, all := testQueues[:1], testQueues
	s.book.Configure(testQueues)
	if s.book.Knows("low") {
		t.Error("a queue that was dropped is known")
	}
	s.configs = testQueues
	for now, row := range []string{"failover", "worker a cpu=1000 active low1.0.0.0/1", "worker a cpu=1000 end 1/low1.0.0.0/1/done",
		"disk commit", "client low1 = completed"} {
		s.step(time.Duration(30+now)*time.Millisecond, strings.Fields(row), row)
	}
	if s.book.Knows("low") {
		t.Error("a queue that was dropped is known again after a takeover")
	}
	s.book.Configure(all)
	if !s.book.Knows("low") {
		t.Error("a queue that a configuration names is not known")
	}
}
