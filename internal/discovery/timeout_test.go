package discovery

import (
	"log/slog"
	"testing"
	"time"

	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// Guards against a silent connection that is noticed too late. Updates count as received 6 s after the connection went
// silent, 6 s after discovery could be reached again, or 4 s after new settings; so a call for the full list, which is no
// long poll, has the shorter timeout. The rest of the 6 s is for the dispatcher's retry delay and the next call.
func TestSilentConnectionIsDetected(t *testing.T) {
	const next = 300*time.Millisecond + dialTimeout + time.Second // the first retry delay, connecting, discovery's own limit
	if most := watchTimeout + responseTimeout + next; most > 6*time.Second {
		t.Errorf("a watch that went silent is replaced after %v", most)
	}
	if most := dialTimeout + responseTimeout + next; most > 4*time.Second {
		t.Errorf("a move to an address that does not answer at first succeeds after %v", most)
	}
	log := slog.New(slog.DiscardHandler)
	for name, c := range map[string]struct {
		start func(w *Watcher, addr string)
		min   time.Duration
		max   time.Duration
	}{
		"watch": {func(w *Watcher, _ string) { w.Watch() }, watchTimeout, watchTimeout + responseTimeout},
		"move":  {func(w *Watcher, addr string) { w.SetAddr(addr) }, responseTimeout, responseTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			addr, asked := serve(t, make(chan string)) // accepts calls and does not answer
			loop, err := evloop.New(log)
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := loop.Stop(); err != nil {
					t.Error(err)
				}
			}()
			at := ""
			if name == "watch" {
				at = addr
			}
			failures := make(chan bool, 4)
			w := NewWatcher(loop, at, List{Revision: 5}, func(List) { t.Error("unexpected update") }, func() { failures <- true }, log)
			c.start(w, addr)
			testkit.Await(t, "the call", asked)
			began := time.Now()
			testkit.Await(t, "the failure", failures)
			const slack = time.Second // for a busy machine
			if took := time.Since(began); took < c.min-slack/10 || took > c.max+slack {
				t.Errorf("noticed after %v, not %v", took, c.max)
			}
		})
	}
}
