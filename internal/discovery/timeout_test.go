package discovery

import (
	"log/slog"
	"testing"
	"time"

	"sedgevale/internal/evloop"
	"sedgevale/internal/testkit"
)

// Guards against late detection of a silent connection. An update must be received within 6 s after the connection went
// silent, within 6 s after discovery is reachable again, and within 4 s after a change of the address. A call for the full
// list is not a long poll, so it has the shorter timeout. The rest of the 6 s is for the dispatcher's retry delay and the
// next call.
func TestSilentConnectionIsDetected(t *testing.T) {
	const next = 300*time.Millisecond + dialTimeout + time.Second // the dispatcher's first retry delay, the dial, and the response time of discovery
	if maxDelay := watchTimeout + responseTimeout + next; maxDelay > 6*time.Second {
		t.Errorf("a silent watch may be replaced only after %v, 6 s are allowed", maxDelay)
	}
	if maxDelay := dialTimeout + responseTimeout + next; maxDelay > 4*time.Second {
		t.Errorf("a change to an address that does not respond at first may take %v, 4 s are allowed", maxDelay)
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
			addr, targets := serve(t, make(chan string)) // a server that accepts calls and does not respond
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
			testkit.Await(t, "the call", targets)
			began := time.Now()
			testkit.Await(t, "the failure", failures)
			const slack = time.Second // tolerance for a busy machine
			if took := time.Since(began); took < c.min-slack/10 || took > c.max+slack {
				t.Errorf("the failure was detected after %v, want %v to %v", took, c.min, c.max)
			}
		})
	}
}
