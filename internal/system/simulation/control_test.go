package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// These are the days on which systems of this kind fail, one by one, with the timeline of each.

// playControl runs a system of a shape with a first configuration and prints the timeline of a run that fails.
func playControl(t *testing.T, shape shape, play func(t *testing.T, w *world)) {
	synctest.Test(t, func(t *testing.T) {
		w := newShapedWorld(t, 1, shape)
		defer func() {
			if t.Failed() {
				t.Log("\n" + strings.Join(w.timeline, "\n"))
			}
		}()
		time.Sleep(3 * time.Second)
		if !w.configure(1, 0) {
			t.Error("the first configuration was not taken")
		}
		time.Sleep(2 * time.Second)
		play(t, w)
		w.ledger.mu.Lock()
		for _, wrong := range w.ledger.wrong {
			t.Error(wrong)
		}
		w.ledger.mu.Unlock()
		w.stop()
		time.Sleep(10 * time.Second)
	})
}

// ask reads the configuration from one core machine and returns the status and the version.
func (w *world) ask(name string) (status int, version int64) {
	status, text := w.call(http.MethodGet, w.machine(name).ip+":80", "/sedgevale/config", "", "", "")
	if status == http.StatusOK {
		_, _ = fmt.Sscanf(text, `{"version":%d,`, &version)
	}
	return status, version
}

// put sends a change to one core machine once.
func (w *world) put(name string, match, version int64, note string) int {
	status, _ := w.call(http.MethodPut, w.machine(name).ip+":80", "/sedgevale/config", "", strconv.FormatInt(match, 10),
		configurationText(version, note))
	return status
}

// change has another core machine than the one named take the next version.
func (w *world) changeBy(name string) bool {
	status := w.put(name, w.version, w.version+1, "")
	if status == http.StatusOK {
		w.version++
	}
	return status == http.StatusOK
}

// Point 1: a control machine that is cut off for twenty seconds hands out nothing old, refuses nothing with a verdict and
// confirms nothing, however it is cut; and is of use again within a second.
func TestCutOffMachineSaysNothing(t *testing.T) {
	cuts := map[string]func(w *world, is bool){
		"wholly":     func(w *world, is bool) { w.cut("core0", is, false) },
		"one way":    func(w *world, is bool) { w.cut("core0", is, true) },
		"other way":  func(w *world, is bool) { w.cutTo("core0", is) },
		"from seats": func(w *world, is bool) { w.cutFrom("core0", is, "core1", "core2") },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playControl(t, shape{cores: 4, tolerance: 1}, func(t *testing.T, w *world) {
				cut(w, true)
				time.Sleep(time.Second)
				if !w.changeBy("core1") {
					t.Error("the others do not take a change")
				}
				for range 8 {
					if status, version := w.ask("core0"); status == http.StatusOK && version != w.version {
						t.Errorf("it hands out version %d, %d is in force", version, w.version)
					}
					for _, match := range []int64{w.version - 1, w.version} {
						if status := w.put("core0", match, w.version+1, "cut"); status < 500 && status != 0 {
							t.Errorf("it answers an order on %d with %d", match, status)
						}
					}
					time.Sleep(time.Second)
				}
				cut(w, false)
				time.Sleep(time.Second)
				if status, version := w.ask("core0"); status != http.StatusOK || version != w.version {
					t.Errorf("a second after its return it answers %d with version %d, %d is in force", status, version, w.version)
				}
			})
		})
	}
}

// cutTo cuts what goes to a core machine from all others.
func (w *world) cutTo(name string, is bool) {
	for _, other := range w.coreNames() {
		if other != name {
			w.cutLink(w.machine(other).ip, w.machine(name).ip, is, true)
		}
	}
}

// cutFrom cuts a core machine off from some others.
func (w *world) cutFrom(name string, is bool, others ...string) {
	w.note(name, "%s", map[bool]string{true: "cut", false: "heal"}[is])
	for _, other := range others {
		w.cutLink(w.machine(name).ip, w.machine(other).ip, is, false)
	}
}

// Point 2: two operators pick one number for different changes, and send them again and again, to any machine, as if each
// answer were lost: one of them is acknowledged, always the same, and the other never.
func TestTwoOperatorsOneNumber(t *testing.T) {
	playControl(t, shape{cores: 4, tolerance: 1}, func(t *testing.T, w *world) {
		for round := range 12 {
			version := w.version
			taken := make(chan string, 40)
			var sent sync.WaitGroup
			for _, note := range []string{"one", "two"} {
				for core := range 4 {
					sent.Add(1)
					go func() {
						defer sent.Done()
						for range 3 {
							status := w.put(fmt.Sprint("core", core), version, version+1, note)
							if status == http.StatusOK {
								taken <- note
							}
						}
					}()
				}
			}
			sent.Wait()
			close(taken)
			notes := map[string]int{}
			for note := range taken {
				notes[note]++
			}
			if len(notes) != 1 {
				t.Fatalf("round %d: acknowledged %v", round, notes)
			}
			w.version++
			for note, other := range map[string]string{"one": "two", "two": "one"} {
				if notes[note] > 0 && (w.put("core3", version, version+1, note) != http.StatusOK ||
					w.put("core2", version, version+1, other) != http.StatusPreconditionFailed) {
					t.Errorf("round %d: sent again, the answers differ", round)
				}
			}
		}
	})
}

// Point 3, finding 1: a replacement that is half made, and then one loss. The first is cut off and a spare seeks its seat, but
// the link between the spare and the third is cut. The first comes back, then the third is lost.
func TestHalfMadeReplacementBearsALoss(t *testing.T) {
	playControl(t, shape{cores: 4, tolerance: 1}, func(t *testing.T, w *world) {
		w.cut("core0", true, false)
		w.cutFrom("core3", true, "core2")
		time.Sleep(8 * time.Second)
		w.cut("core0", false, false)
		w.cutFrom("core3", true, "core2")
		time.Sleep(catchUp)
		w.kill("core2")
		time.Sleep(catchUp)
		if !w.configure(2, 1) {
			t.Error("three machines are up and see each other, but for one link, and no change is taken")
		}
	})
}

// Point 3: replacements one after another, planned and not, each followed by the loss of another disk as soon as the
// machine that came counts, with and without machines in reserve. All jobs are done in the end.
func TestLossesAfterReplacements(t *testing.T) {
	for _, one := range []shape{{3, 1}, {5, 1}, {5, 2}} {
		t.Run(fmt.Sprintf("%d machines bear %d", one.cores, one.tolerance), func(t *testing.T) {
			t.Parallel()
			playControl(t, one, func(t *testing.T, w *world) {
				ids := w.submitSome(30)
				for round := range 3 {
					w.turnSeeds()
					w.replacePlanned(w.coreNames()[0])
					time.Sleep(catchUp - time.Second)
					w.loseDisk(w.coreNames()[0])
					time.Sleep(catchUp)
					w.replaceLost(w.coreNames()[0])
					time.Sleep(catchUp)
					w.loseDisk(w.coreNames()[round%2])
					w.powerOff("")
					time.Sleep(catchUp)
					if !w.configure(int64(2+round), int64(1+round)) {
						t.Fatalf("round %d: no change is taken", round)
					}
				}
				time.Sleep(20 * time.Second)
				w.judgeJobs(t, ids)
			})
		})
	}
}

func (w *world) loseDisk(name string) {
	w.kill(name)
	w.wipe(name)
	time.Sleep(time.Second)
	w.start(name)
}

// Point 3, finding 4: a member that leaves does not end before what it holds stands elsewhere. Another one loses its disk in
// the moment in which it ends.
func TestLeavingMemberHandsOver(t *testing.T) {
	playControl(t, shape{cores: 5, tolerance: 1}, func(t *testing.T, w *world) {
		ids := w.submitSome(30)
		for round := range 4 {
			name := w.coreNames()[round]
			other := w.coreNames()[(round+1)%5]
			w.terminate(name)
			w.loseDisk(other)
			w.start(name)
			time.Sleep(catchUp)
			if !w.configure(int64(2+round), int64(1+round)) {
				t.Fatalf("round %d: no change is taken", round)
			}
		}
		time.Sleep(20 * time.Second)
		w.judgeJobs(t, ids)
	})
}

// Point 4: a member that missed hundreds of changes, and whose log is torn, hands out nothing old when it is back, and is in
// step within the time that a machine has for that. Then the others lose power and one its disk: what was
// acknowledged is there.
func TestMemberAfterHundredsOfChanges(t *testing.T) {
	playControl(t, shape{cores: 3, tolerance: 1}, func(t *testing.T, w *world) {
		w.kill("core0")
		w.tear("core0")
		for range 1500 {
			if !w.changeBy("core1") && !w.changeBy("core2") {
				t.Fatal("no change is taken by two of three")
			}
		}
		w.start("core0")
		for began := time.Now(); time.Since(began) < catchUp; time.Sleep(100 * time.Millisecond) {
			if status, version := w.ask("core0"); status == http.StatusOK && version != w.version {
				t.Errorf("it hands out version %d, %d is in force", version, w.version)
			}
		}
		if status, version := w.ask("core0"); status != http.StatusOK || version != w.version {
			t.Errorf("after %v it answers %d with version %d, %d is in force", catchUp, status, version, w.version)
		}
		w.loseDisk("core1")
		w.powerOff("")
		time.Sleep(catchUp)
		if status, version := w.ask("core0"); status != http.StatusOK || version != w.version {
			t.Errorf("after the loss of a disk and of power it answers %d with version %d, %d is in force", status, version, w.version)
		}
	})
}

// A planned end answers what was read: an operator's call that is under way when the machine is told to end gets its
// answer, also where nobody is there that the machine would wait for.
func TestPlannedEndAnswersOperators(t *testing.T) {
	playControl(t, usualShape, func(t *testing.T, w *world) {
		others := w.coreNames()[1:]
		w.cutFrom("core0", true, others...)
		time.Sleep(4 * time.Second)
		answered := make(chan int)
		go func() {
			status, _ := w.ask("core0")
			answered <- status
		}()
		time.Sleep(100 * time.Millisecond)
		w.terminate("core0")
		if status := <-answered; status == 0 {
			t.Error("a call that was read got no answer")
		}
		w.cutFrom("core0", false, others...)
	})
}
