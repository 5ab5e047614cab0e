package simulation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seeds = flag.Int("seeds", 3, "how many seeds are played")
	first = flag.Uint64("first", 1, "the first seed")
)

// TestSystemThroughFaults plays systems through random faults and judges them by what workers and callers saw:
// nothing that was acknowledged is lost, no task runs twice, no configuration goes back, and all is done in the end.
func TestSystemThroughFaults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playFaults(t, seed) })
		})
	}
}

func playFaults(t *testing.T, seed uint64) {
	w := newWorld(t, seed)
	defer func() {
		if t.Failed() {
			t.Logf("seed %d\n%s", seed, strings.Join(w.timeline, "\n"))
		}
	}()
	time.Sleep(2 * time.Second)
	if !w.configure(1, 0) {
		t.Error("the first configuration was not taken")
	}
	ids := w.submitSome(60)
	for round := range 5 {
		w.fault()
		w.configure(int64(2+round), w.version)
		time.Sleep(5 * time.Second) // the next machine is lost only after the last has caught up
	}
	time.Sleep(25 * time.Second)
	w.judge(t, ids)
	w.stop()
	time.Sleep(5 * time.Second) // calls that are still under way give up
}

// submitSome hands jobs in over half a minute.
func (w *world) submitSome(count int) []string {
	var ids []string
	random := rand.New(rand.NewPCG(w.random.Uint64(), 2))
	for i := range count {
		id := fmt.Sprintf("%016x", i+1)
		ids = append(ids, id)
		width := 1 + random.IntN(5)
		delay := time.Duration(random.IntN(30000)) * time.Millisecond
		w.running.Add(1)
		go func() {
			time.Sleep(delay)
			w.submit(id, width)
		}()
	}
	return ids
}

// fault brings one trouble about and ends it.
func (w *world) fault() {
	core := "core" + strconv.Itoa(w.random.IntN(cores))
	sideName := "side" + strconv.Itoa(w.random.IntN(sides))
	wait := time.Duration(100+w.random.IntN(4000)) * time.Millisecond
	switch w.random.IntN(10) {
	case 0:
		w.kill(core)
		time.Sleep(wait)
		w.start(core)
	case 1:
		w.kill(core)
		w.wipe(core)
		time.Sleep(wait)
		w.start(core)
	case 2:
		w.cut(core, true, w.random.IntN(2) == 0)
		time.Sleep(wait)
		w.cut(core, false, false)
	case 3:
		for i := range cores {
			w.kill("core" + strconv.Itoa(i))
			w.tear("core" + strconv.Itoa(i))
		}
		time.Sleep(wait)
		for i := range cores {
			w.start("core" + strconv.Itoa(i))
		}
	case 4, 5, 6, 7, 9:
		w.outerTrouble(outerKind(w.random.IntN(int(outerKinds))), sideName, wait, false)
	case 8:
		w.kill(core)
		w.tear(core)
		w.kill(sideName)
		time.Sleep(wait)
		w.start(sideName)
		w.start(core)
	}
}

// outerKind is a trouble outside the core.
type outerKind int

const (
	sideKilled outerKind = iota
	sideCut
	workerCrashed
	workerCut
	edgeKilled
	outerKinds
)

// outerTrouble brings a side machine, its worker or the edge into trouble for some time.
func (w *world) outerTrouble(kind outerKind, name string, wait time.Duration, oneWay bool) {
	switch kind {
	case sideKilled:
		w.kill(name)
		time.Sleep(wait)
		w.start(name)
	case sideCut:
		w.cut(name, true, oneWay)
		time.Sleep(wait)
		w.cut(name, false, false)
	case workerCrashed:
		w.workers[name]()
		w.note(name, "crash")
		time.Sleep(wait)
		w.startWorker(name)
	case workerCut:
		w.cutWorker(name, true)
		time.Sleep(wait + 3*time.Second)
		w.cutWorker(name, false)
	case edgeKilled:
		w.kill("edge0")
		time.Sleep(wait)
		w.start("edge0")
	}
}

// judge looks at the end whether all that was accepted is done.
func (w *world) judge(t *testing.T, ids []string) {
	t.Helper()
	status, text := w.call("GET", "10.0.0.2:80", "/sedgevale/config", "", "", "")
	if status != 200 || !strings.Contains(text, fmt.Sprintf(`"version":%d,`, w.version)) {
		t.Errorf("CONFIG: version %d was acknowledged, read back %d %s", w.version, status, text)
	}
	w.judgeJobs(t, ids)
}

// judgeJobs looks whether all jobs are done, and nothing was done twice.
func (w *world) judgeJobs(t *testing.T, ids []string) {
	t.Helper()
	done := 0
	for _, id := range ids {
		if !w.accepted[id] {
			t.Errorf("job %s was never accepted", id)
			continue
		}
		if state := w.state(id); state != "completed" {
			t.Errorf("job %s is %s", id, state)
			continue
		}
		done++
	}
	w.ledger.mu.Lock()
	defer w.ledger.mu.Unlock()
	for _, wrong := range w.ledger.wrong {
		t.Error(wrong)
	}
	t.Logf("%d jobs done, %d tasks started, version %d", done, len(w.ledger.starts), w.version)
}
