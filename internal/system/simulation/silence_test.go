package simulation

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

const (
	silenceFor     = 40 * time.Second
	mostMore       = 600 // goroutines more than at rest, of eight processes, while nobody answers
	mostMoreBehind = 150 // and after the silence
)

// Trap 12: behind a cut everything waits with a bound, so that no goroutine and no connection is kept for ever.
func TestLongSilenceIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 1)
		time.Sleep(2 * time.Second)
		if !w.configure(1, 0) {
			t.Error("the first configuration was not taken")
		}
		time.Sleep(3 * time.Second)
		before := runtime.NumGoroutine()
		for i := range cores {
			w.cut(fmt.Sprint("core", i), true, false)
		}
		for i := range sides {
			w.cut(fmt.Sprint("side", i), true, false)
		}
		w.cut("edge0", true, false)
		for i := range 100 {
			w.running.Add(1)
			go w.submit(fmt.Sprintf("%016x", i+1), 1)
			time.Sleep(silenceFor / 100)
		}
		during := runtime.NumGoroutine() - before
		for _, name := range w.order {
			w.cut(name, false, false)
		}
		time.Sleep(30 * time.Second)
		behind := runtime.NumGoroutine() - before
		t.Logf("at rest %d goroutines, %d more at the end of the silence, %d more after it", before, during, behind)
		if during > mostMore || behind > mostMoreBehind {
			t.Errorf("%d goroutines more during the silence, %d behind it", during, behind)
		}
		if status, _ := w.call("GET", "10.0.1.1:91", "/sedgevale/readyz", "", "", ""); status != 200 {
			t.Errorf("ready: %d after the silence", status)
		}
		w.stop()
		time.Sleep(5 * time.Second)
	})
}
