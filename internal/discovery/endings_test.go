package discovery

import (
	"log/slog"
	"testing"
	"time"

	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// Guards against a silence that is noticed too late. What a watch misses counts as told 6 s
// after it fell silent, and what discovery has 6 s after it could be reached, or 4 s after
// new settings; so a call for the whole list, which need not wait, is given up sooner than one
// that may. What is left of the 6 s is the module's wait, and the next call.
func TestSilenceIsNoticed(t *testing.T) {
	const next = 300*time.Millisecond + connectWait + time.Second // the first wait, connecting, discovery's own limit
	if most := watchWait + answerWait + next; most > 6*time.Second {
		t.Errorf("a watch that falls silent is made good after %v", most)
	}
	if most := connectWait + answerWait + next; most > 4*time.Second {
		t.Errorf("a move to an address that does not answer at first is made good after %v", most)
	}
	log := slog.New(slog.DiscardHandler)
	for name, c := range map[string]struct {
		ask   func(w *Watcher, addr string)
		least time.Duration
		most  time.Duration
	}{
		"watch": {func(w *Watcher, _ string) { w.Watch() }, watchWait, watchWait + answerWait},
		"move":  {func(w *Watcher, addr string) { w.Move(addr) }, answerWait, answerWait},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, asked := serve(t, make(chan string)) // takes calls and says nothing
			loop, err := evloop.New(log)
			if err != nil {
				t.Fatal(err)
			}
			defer loop.Stop()
			at := ""
			if name == "watch" {
				at = addr
			}
			broken := make(chan bool, 4)
			w := NewWatcher(loop, at, List{Revision: 5}, func(List) { t.Error("told something") }, func() { broken <- true }, log)
			c.ask(w, addr)
			testkit.Await(t, "the call", asked)
			began := time.Now()
			testkit.Await(t, "word of the silence", broken)
			const slack = time.Second // for a machine that is busy
			if took := time.Since(began); took < c.least-slack/10 || took > c.most+slack {
				t.Errorf("noticed after %v, not %v", took, c.most)
			}
		})
	}
}
