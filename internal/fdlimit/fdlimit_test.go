package fdlimit

import "testing"

// TestClientsGoFirst guards against closing connections to workers while there are idle clients: new connections cost the workers
// capacity.
func TestClientsGoFirst(t *testing.T) {
	limiter := New(Reserve + 10)
	clients, workers := 0, 0
	limiter.OnLow(func(n int) { clients += n })
	limiter.OnCritical(func(n int) { workers += n })
	for range 10 {
		if !limiter.Acquire() {
			t.Fatal("a connection within the limit was rejected")
		}
	}
	if clients+workers != 0 {
		t.Errorf("%d client and %d worker connections closed within the limit", clients, workers)
	}
	limiter.Acquire()
	limiter.Acquire()
	if clients != 1+2 || workers != 0 {
		t.Errorf("just over the limit: %d client and %d worker connections closed, want 3 and 0", clients, workers)
	}
	for limiter.Acquire() {
	}
	if workers == 0 || limiter.InUse() >= Reserve+10 {
		t.Errorf("%d worker connections closed, %d descriptors of %d in use", workers, limiter.InUse(), Reserve+10)
	}
	limiter.SetLimit(1000)
	if !limiter.Acquire() {
		t.Error("raising the limit has no effect")
	}
}

// TestOthersShareTheLimit guards against two processes of one scheduler that each use the full limit.
func TestOthersShareTheLimit(t *testing.T) {
	limiter := New(Reserve + 100)
	closed := 0
	limiter.OnLow(func(n int) { closed = n })
	limiter.SetOtherProcesses(95)
	for range 5 {
		if !limiter.Acquire() {
			t.Error("a connection within the limit was rejected")
		}
	}
	if closed != 0 {
		t.Errorf("%d connections closed within the limit", closed)
	}
	if limiter.Acquire(); closed != 1 {
		t.Errorf("one over the limit: %d connections closed, want 1", closed)
	}
	idle := limiter.MaxIdleClients()
	limiter.SetOtherProcesses(0)
	if limiter.MaxIdleClients() <= idle {
		t.Errorf("%d idle clients are allowed without the other process, %d with it", limiter.MaxIdleClients(), idle)
	}
	for range 95 - 1 {
		if closed = 0; !limiter.Acquire() || closed != 0 {
			t.Fatal("a connection was rejected or closed although the other process has ended")
		}
	}
}
