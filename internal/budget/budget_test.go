package budget

import "testing"

// Guards against a crowd of idle clients that takes the connections to workers
// away: those cost the workers time to make again, which jobs then lack.
func TestClientsGoFirst(t *testing.T) {
	b := New(Reserve + 10)
	clients, workers := 0, 0
	b.OnShort(func(n int) { clients += n })
	b.OnDire(func(n int) { workers += n })
	for range 10 {
		if !b.Take() {
			t.Fatal("refused within the limit")
		}
	}
	if clients+workers != 0 {
		t.Errorf("%d and %d closed within the limit", clients, workers)
	}
	b.Take()
	b.Take()
	if clients != 1+2 || workers != 0 {
		t.Errorf("just over the limit %d of clients are closed, %d of workers", clients, workers)
	}
	for b.Take() {
	}
	if workers == 0 || b.Used() >= Reserve+10 {
		t.Errorf("%d of workers closed, %d used of %d", workers, b.Used(), Reserve+10)
	}
	b.Limit(1000)
	if !b.Take() {
		t.Error("a higher limit does not count")
	}
}
