package simulation

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	catchUp     = 4 * time.Second // after which a machine that came back or is new counts again
	troubleFor  = 40 * time.Second
	recoverFor  = 30 * time.Second
	overlapJobs = 40
)

var overlapShapes = []shape{{3, 1}, {4, 1}, {5, 1}, {5, 2}, {7, 2}}

// TestSystemThroughOverlappingFaults plays systems through faults that do not wait for each other: as many core machines
// at a time as the deployment bears are in trouble, cut off, restarted, replaced or without their disks, while two
// operators change the configuration, workers and edges fail, connections are reset and seeds turn over.
func TestSystemThroughOverlappingFaults(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { playOverlapping(t, seed) })
		})
	}
}

func playOverlapping(t *testing.T, seed uint64) {
	w := newShapedWorld(t, seed, overlapShapes[seed%uint64(len(overlapShapes))])
	defer func() {
		if t.Failed() {
			t.Logf("seed %d, %+v\n%s", seed, w.shape, strings.Join(w.timeline, "\n"))
		}
	}()
	time.Sleep(2 * time.Second)
	h := &history{begun: time.Now()}
	if w.send(0, order{version: 1}, h) != orderTaken {
		t.Error("the first configuration was not taken")
	}
	ids := w.submitSome(overlapJobs)
	stop := make(chan struct{})
	var troubles sync.WaitGroup
	begin := func(loop func()) {
		troubles.Add(1)
		w.running.Add(1)
		go func() {
			defer w.running.Done()
			defer troubles.Done()
			loop()
		}()
	}
	inTrouble := newTroubled(w.shape.tolerance)
	for range w.shape.tolerance {
		begin(func() { w.coreTroubles(inTrouble, stop) })
	}
	begin(func() { w.outerTroubles(stop) })
	begin(func() { w.networkTroubles(stop) })
	for client := range 2 {
		w.running.Add(1)
		go w.operate(client+1, h, stop)
	}
	time.Sleep(troubleFor)
	close(stop)
	troubles.Wait()
	time.Sleep(recoverFor)
	if _, ok := w.readConfiguration(0, h, 3*time.Second); !ok {
		t.Error("CONFIG: it cannot be read at the end")
	}
	if !h.linearizable() {
		t.Errorf("CONFIG: the operators' calls are not those of one register: %+v", h.calls)
	}
	w.judgeJobs(t, ids)
	t.Logf("%d calls of operators", len(h.calls))
	w.stop()
	time.Sleep(10 * time.Second)
}

// troubled is the core machines that are in trouble. It waits by channels: what waits for a mutex stops the virtual clock.
type troubled struct {
	mu     sync.Mutex
	names  map[string]bool
	tokens chan bool // one for each machine that may be in trouble at a time
	all    chan bool // for whoever takes all tokens
}

func newTroubled(most int) *troubled {
	t := &troubled{names: map[string]bool{}, tokens: make(chan bool, most), all: make(chan bool, 1)}
	for range most {
		t.tokens <- true
	}
	t.all <- true
	return t
}

// whenCalm does something to all machines while none is in trouble, but for those that catch up; then all catch up.
func (t *troubled) whenCalm(do func()) {
	<-t.all
	for range cap(t.tokens) {
		<-t.tokens
	}
	do()
	time.Sleep(catchUp)
	for range cap(t.tokens) {
		t.tokens <- true
	}
	t.all <- true
}

// pick returns a core machine that is not in trouble yet.
func (t *troubled) pick(w *world) string {
	names := w.coreNames()
	t.mu.Lock()
	defer t.mu.Unlock()
	for {
		name := names[w.number(len(names))]
		if !t.names[name] {
			t.names[name] = true
			return name
		}
	}
}

func (t *troubled) release(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.names, name)
}

// until reports whether a pause has passed before the end.
func until(stop <-chan struct{}, pause time.Duration) bool {
	select {
	case <-stop:
		return false
	case <-time.After(pause):
		return true
	}
}

// coreTroubles brings one core machine after another into trouble, and lets each catch up.
func (w *world) coreTroubles(in *troubled, stop <-chan struct{}) {
	for until(stop, time.Duration(w.number(1500))*time.Millisecond) {
		name := in.pick(w)
		<-in.tokens
		w.coreTrouble(name)
		in.tokens <- true
		if w.number(6) == 0 {
			in.whenCalm(func() { w.powerOff(name) })
		}
		time.Sleep(catchUp)
		in.release(name)
	}
}

// coreTrouble brings one core machine into trouble.
func (w *world) coreTrouble(name string) {
	wait := time.Duration(100+w.number(4000)) * time.Millisecond
	switch w.number(9) {
	case 0:
		w.kill(name)
		time.Sleep(wait)
		w.start(name)
	case 1:
		w.kill(name)
		w.wipe(name)
		time.Sleep(wait)
		w.start(name)
	case 2:
		w.cut(name, true, w.number(2) == 0)
		time.Sleep(wait + time.Duration(w.number(2))*8*time.Second)
		w.cut(name, false, false)
	case 3:
		w.cutFromSome(name, wait)
	case 4: // cut off, then its disk is lost, then it comes back
		w.cut(name, true, false)
		time.Sleep(wait / 2)
		w.kill(name)
		w.wipe(name)
		time.Sleep(wait / 2)
		w.start(name)
		time.Sleep(wait / 2)
		w.cut(name, false, false)
	case 5:
		w.replaceLost(name)
	case 6:
		w.replacePlanned(name)
	case 7:
		w.terminate(name)
		time.Sleep(wait / 8)
		w.start(name)
	default: // killed again and again, as it starts and joins
		for range 3 {
			w.kill(name)
			if w.number(3) == 0 {
				w.wipe(name)
			}
			time.Sleep(wait / 4)
			w.start(name)
			time.Sleep(time.Duration(w.number(900)) * time.Millisecond)
		}
	}
}

// cutFromSome cuts a core machine off from some of the others, one way or both.
func (w *world) cutFromSome(name string, wait time.Duration) {
	var others []string
	for _, other := range w.coreNames() {
		if other != name && w.number(2) == 0 {
			others = append(others, other)
		}
	}
	oneWay := w.number(2) == 0
	w.note(name, "cut %d", len(others))
	for _, other := range others {
		w.cutLink(w.machine(name).ip, w.machine(other).ip, true, oneWay)
	}
	time.Sleep(wait)
	for _, other := range others {
		w.cutLink(w.machine(name).ip, w.machine(other).ip, false, false)
	}
	w.note(name, "heal")
}

// replaceLost has another machine come for one that is gone.
func (w *world) replaceLost(name string) {
	w.kill(name)
	w.setGone(name)
	time.Sleep(time.Duration(w.number(2000)) * time.Millisecond)
	if w.number(2) == 0 {
		w.turnSeeds()
	}
	w.start(w.addCore(false))
}

// replacePlanned has another machine come first.
func (w *world) replacePlanned(name string) {
	if w.number(2) == 0 {
		w.turnSeeds()
	}
	w.start(w.addCore(false))
	time.Sleep(time.Second)
	w.setGone(name)
	w.terminate(name)
}

func (w *world) setGone(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gone[name] = true
}

// powerOff has all other core machines lose power for a moment, at the very end of a trouble.
func (w *world) powerOff(besides string) {
	var names []string
	for _, name := range w.coreNames() {
		if name != besides && w.alive(name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		w.kill(name)
		if w.number(2) == 0 {
			w.tear(name)
		}
	}
	time.Sleep(time.Duration(100+w.number(900)) * time.Millisecond)
	for _, name := range names {
		w.start(name)
	}
}

func (w *world) alive(name string) bool { return !w.machine(name).host.isDead() }

// outerTroubles has workers, side agents and edges fail.
func (w *world) outerTroubles(stop <-chan struct{}) {
	for until(stop, time.Duration(500+w.number(2500))*time.Millisecond) {
		name := fmt.Sprint("side", w.number(sides))
		wait := time.Duration(100+w.number(3000)) * time.Millisecond
		w.outerTrouble(outerKind(w.number(int(outerKinds))), name, wait, w.number(2) == 0)
	}
}

// networkTroubles resets connections and turns the seeds over.
func (w *world) networkTroubles(stop <-chan struct{}) {
	for until(stop, time.Duration(1000+w.number(4000))*time.Millisecond) {
		if w.number(3) == 0 {
			w.turnSeeds()
			continue
		}
		m := w.anyCore()
		w.note(m.name, "reset")
		w.fabric.reset(m.ip, func() bool { return w.number(2) == 0 })
	}
}
