package scale

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"sedgevale/internal/standin"
)

// small is a site of hollow parts alone, whose list may be changed.
func small(t *testing.T) (*File, *Workers, *site) {
	t.Helper()
	f := tiny(t, "zones = 4\n")
	w, err := newWorkers(f, f.Workers)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(w.Close)
	if err := w.begin(f.Slots); err != nil {
		t.Fatal(err)
	}
	s, err := newSite(f, f.Size, w)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return f, w, s
}

// listed returns what discovery lists, as "ID phase".
func (s *site) listed() (all []string) {
	for _, m := range s.discovery.Members() {
		if m.Phase != "gone" {
			all = append(all, m.ID+" "+m.Phase)
		}
	}
	slices.Sort(all)
	return all
}

// Guards what the list says of each kind of change, of discovery and to the hollow schedulers alike: a worker drains
// before it serves again, another takes the place of one that is replaced or has failed, and a zone goes as a whole.
func TestListChanges(t *testing.T) {
	_, w, s := small(t)
	s.drainFor, s.replaceIn = time.Millisecond, time.Millisecond
	var steps []string
	s.tell = func(ids []string, ready []place, fresh bool) {
		var serve []string
		for _, p := range ready {
			serve = append(serve, p.id)
		}
		text := strings.Join(s.listed(), " ")
		if len(ids) != len(s.listed()) || strings.Count(text, " ready") != len(ready) {
			t.Errorf("hollow schedulers are told %v, of them ready %v; discovery lists %v", ids, serve, text)
		}
		if fresh {
			text += " (other ids)"
		}
		steps = append(steps, text)
	}
	says := func(i int, parts ...string) {
		t.Helper()
		if i >= len(steps) {
			t.Fatalf("only %d changes", len(steps))
		}
		for _, p := range parts {
			if without, found := strings.CutPrefix(p, "not "); found == strings.Contains(steps[i], without) {
				t.Errorf("change %d: %s; want %s", i, steps[i], p)
			}
		}
	}
	life := w.all[0].life
	s.restart(t.Context(), []int{0}, false)
	says(0, "w0 draining", "w7 ready", "not other ids")
	says(1, "w0 ready", "not other ids")
	if life.Err() == nil || w.all[0].life.Err() != nil {
		t.Error("a restart does not cut what ran there, or what comes after it")
	}
	s.restart(t.Context(), []int{1}, true)
	says(2, "w1 draining", "not other ids")
	says(3, "w1.1 ready", "not w1 ", "other ids")
	s.fail(t.Context(), 1)
	says(4, "not w1.1", "not w1 ", "other ids")
	says(5, "w1.2 ready", "other ids")
	s.replaceZone(t.Context())
	says(6, "w3 draining", "w7 draining", "w2 ready", "not other ids")
	says(7, "w3.3 ready", "w7.4 ready", "not w3 ", "not w7 ", "other ids")
	if len(steps) != 8 || s.changes.Load() != 8 {
		t.Errorf("%d changes told, %d counted, want 8", len(steps), s.changes.Load())
	}
	if slices.Contains(s.busy, true) {
		t.Errorf("workers are still reserved: %v", s.busy)
	}
	cold := slices.IndexFunc(s.discovery.Members(), func(m standin.Member) bool { return m.ID == "w7.4" })
	if age := time.Now().UnixMilli() - s.discovery.Members()[cold].UpSince; age < 0 || age > 60_000 {
		t.Errorf("a new worker has started %d ms ago", age)
	}
}

// Guards the hollow schedulers' books: they hold their part of the tasks while workers go, take no more slots than there
// are, tell each other on their sockets, and give all back.
func TestHollowSchedulersHoldTheirTasks(t *testing.T) {
	f, w, s := small(t)
	f.LongS = 5
	var starts atomic.Int64
	m := &meter{clock: time.Now}
	var all []*hollow
	addrs := make([]netip.AddrPort, f.Schedulers)
	for i := range addrs {
		h, err := newHollow(f, f.Size, i, m, &starts)
		if err != nil {
			t.Fatal(err)
		}
		all, addrs[i] = append(all, h), h.conn.LocalAddr().(*net.UDPAddr).AddrPort()
	}
	s.mu.Lock()
	ids, ready := s.now()
	for _, h := range all {
		h.join(f, addrs, 7)
		h.list(ids, ready, true)
	}
	s.tell = func(ids []string, ready []place, fresh bool) {
		for _, h := range all {
			h.list(ids, ready, fresh)
		}
	}
	s.mu.Unlock()
	ctx, stop := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for _, h := range all {
		wg.Go(func() { h.run(ctx) })
	}
	running := func() (n int64) {
		for _, h := range all {
			n += h.running.Load()
		}
		return n
	}
	until(t, "all tasks are out", func() bool { return running() == int64(f.Running) })
	until(t, "each hears the others", func() bool {
		return !slices.ContainsFunc(all, func(h *hollow) bool {
			h.mu.Lock()
			defer h.mu.Unlock()
			return h.node.Counts.Heard != len(all)-1
		})
	})
	s.set(true, []int{0, 1, 2}, func(m *standin.Member) { m.Phase = "gone" })
	if n := running(); n != int64(f.Running) {
		t.Errorf("%d tasks are out once three workers are gone, want %d", n, f.Running)
	}
	if n := w.all[0].inUse() + w.all[1].inUse() + w.all[2].inUse(); n != 0 {
		t.Errorf("%d slots are taken at workers that are gone", n)
	}
	for i, one := range w.all {
		if n := one.inUse(); n > f.Slots {
			t.Errorf("%d slots are taken at worker %d, of %d", n, i, f.Slots)
		}
	}
	before := starts.Load()
	until(t, "tasks go on starting", func() bool { return starts.Load() > before+5 })
	if sent := all[1].sent[0].Load(); sent == 0 || all[0].got[0].Load() != 0 {
		t.Errorf("%d bytes are sent to the first, %d of its own are counted as got", sent, all[0].got[0].Load())
	}
	stop()
	wg.Wait()
	for i, one := range w.all {
		if n := one.inUse(); n != 0 {
			t.Errorf("%d slots are still taken at worker %d", n, i)
		}
	}
}
