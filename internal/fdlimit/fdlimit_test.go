package fdlimit

import "testing"

// Guards against idle clients for which connections to workers are closed: new ones cost the workers capacity.
func TestClientsGoFirst(t *testing.T) {
	b := New(Reserve + 10)
	clients, workers := 0, 0
	b.OnLow(func(n int) { clients += n })
	b.OnCritical(func(n int) { workers += n })
	for range 10 {
		if !b.Acquire() {
			t.Fatal("rejected within the limit")
		}
	}
	if clients+workers != 0 {
		t.Errorf("%d and %d closed within the limit", clients, workers)
	}
	b.Acquire()
	b.Acquire()
	if clients != 1+2 || workers != 0 {
		t.Errorf("just over the limit %d of clients are closed, %d of workers", clients, workers)
	}
	for b.Acquire() {
	}
	if workers == 0 || b.InUse() >= Reserve+10 {
		t.Errorf("%d of workers closed, %d used of %d", workers, b.InUse(), Reserve+10)
	}
	b.SetLimit(1000)
	if !b.Acquire() {
		t.Error("a higher limit has no effect")
	}
}

// Guards against two processes of one scheduler that each use the full limit.
func TestOthersShareTheLimit(t *testing.T) {
	b := New(Reserve + 100)
	closed := 0
	b.OnLow(func(n int) { closed = n })
	b.SetOtherProcesses(95)
	for range 5 {
		if !b.Acquire() {
			t.Error("rejected within the limit")
		}
	}
	if closed != 0 {
		t.Errorf("%d closed within the limit", closed)
	}
	if b.Acquire(); closed != 1 {
		t.Errorf("one over the limit %d are closed", closed)
	}
	idle := b.MaxIdleClients()
	b.SetOtherProcesses(0)
	if b.MaxIdleClients() <= idle {
		t.Errorf("%d idle clients may stay without the other process, %d with it", b.MaxIdleClients(), idle)
	}
	for range 95 - 1 {
		if closed = 0; !b.Acquire() || closed != 0 {
			t.Fatal("rejected though the other process has ended")
		}
	}
}
