package resourcequota

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

const mib = 1 << 20

func testLimits() Limits {
	return Limits{RequestBytes: 8 * mib, SmallBytes: 2 * mib, ConnectionBytes: 100 * mib, Connections: 100}
}

// reservation returns a Reservation that counts its interruptions.
func reservation(b *Quota) (h *Reservation, interrupted *int) {
	interrupted = new(int)
	return b.Reserve(func() { *interrupted++ }), interrupted
}

func grow(t *testing.T, h *Reservation, bytes int64, want error) {
	t.Helper()
	if err := h.Grow(bytes); !errors.Is(err, want) {
		t.Fatalf("Grow(%d): %v, want %v", bytes, err, want)
	}
}

func TestLimitsFor(t *testing.T) {
	tests := []struct {
		memory      int64
		descriptors int
		want        Limits
	}{
		{280 * mib, 4096, Limits{70 * mib, 35 * mib / 2, 70 * mib, 1948}},
		{96 * mib, 1024, Limits{24 * mib, 6 * mib, 24 * mib, 412}},
		{96 * mib, 100, Limits{24 * mib, 6 * mib, 24 * mib, 16}},
	}
	for _, test := range tests {
		if got := LimitsFor(test.memory, test.descriptors); got != test.want {
			t.Errorf("LimitsFor(%d, %d) = %+v, want %+v", test.memory, test.descriptors, got, test.want)
		}
	}
	if l := LimitsFor(0, 0); l.RequestBytes <= 0 || l.Connections <= 0 {
		t.Errorf("limits of this machine: %+v", l)
	}
}

// Large requests leave SmallBytes to small ones, also when a single one of them exceeds the whole quota.
func TestSmallRequestsKeepTheirPart(t *testing.T) {
	for _, large := range []int64{6 * mib, 20 * mib} {
		b := New(testLimits())
		first, _ := reservation(b)
		grow(t, first, large, nil)
		second, _ := reservation(b)
		grow(t, second, mib, ErrBusy)
		small, _ := reservation(b)
		grow(t, small, SmallRequest, nil)
		grow(t, small, 1, ErrBusy) // it would be large
		first.Release()
		grow(t, second, 6*mib, nil)
	}
}

// Only a request that has been incomplete for stallTimeout is interrupted, the oldest first and no more than needed.
func TestStalledRequestsMakeRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLimits())
		complete, completeInterrupted := reservation(b)
		grow(t, complete, mib, nil)
		if complete.Complete() {
			t.Error("the complete request counts as interrupted")
		}
		oldest, oldestInterrupted := reservation(b)
		grow(t, oldest, 3*mib, nil)
		time.Sleep(stallTimeout / 2)
		younger, youngerInterrupted := reservation(b)
		grow(t, younger, 2*mib, nil)
		next, _ := reservation(b)
		grow(t, next, 2*mib, ErrBusy)
		time.Sleep(stallTimeout/2 + time.Millisecond)
		go func() {
			time.Sleep(roomTimeout / 2)
			if !oldest.Complete() {
				t.Error("the oldest request does not know that it was interrupted")
			}
			oldest.Release()
		}()
		grow(t, next, 2*mib, nil)
		if *completeInterrupted != 0 || *oldestInterrupted != 1 || *youngerInterrupted != 0 {
			t.Errorf("interrupted: complete %d, oldest %d, younger %d; want 0, 1, 0", *completeInterrupted, *oldestInterrupted, *youngerInterrupted)
		}
	})
}

// A request that was interrupted and does not end leaves the others refused after roomTimeout.
func TestWaitForRoomEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(testLimits())
		stuck, _ := reservation(b)
		grow(t, stuck, 6*mib, nil)
		time.Sleep(2 * stallTimeout)
		next, _ := reservation(b)
		began := time.Now()
		grow(t, next, mib, ErrBusy)
		if waited := time.Since(began); waited != roomTimeout {
			t.Errorf("waited %v, want %v", waited, roomTimeout)
		}
		if u := b.Usage(); u.Refused != 1 || u.Stalled != 1 {
			t.Errorf("usage %+v, want one refused and one stalled request", u)
		}
	})
}

// The quota's sums are those of its reservations, and only a single large request exceeds the limits.
func TestQuotaThroughRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(testLimits())
		reservations := map[*Reservation]int64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h, _ := reservation(b)
			if len(reservations) > 0 && rapid.Bool().Draw(t, "known") {
				for h = range reservations {
					break
				}
			}
			if rapid.IntRange(0, 3).Draw(t, "release") == 0 {
				h.Release()
				delete(reservations, h)
			} else if bytes := rapid.Int64Range(1, 4*mib).Draw(t, "bytes"); h.TryGrow(bytes) == nil {
				reservations[h] += bytes
			}
			var used, large int64
			largest := 0
			for _, bytes := range reservations {
				used += bytes
				if bytes > SmallRequest {
					large += bytes
					largest++
				}
			}
			if b.used != used || b.large != large {
				t.Fatalf("the quota counts %d bytes, %d large; its reservations have %d, %d", b.used, b.large, used, large)
			}
			if largest > 1 && large > b.limits.RequestBytes-b.limits.SmallBytes {
				t.Fatalf("%d large requests have %d bytes", largest, large)
			}
		}
	})
}

func TestNilReservation(t *testing.T) {
	var h *Reservation
	grow(t, h, mib, nil)
	if h.Complete() || h.TryGrow(mib) != nil {
		t.Error("a nil Reservation refuses or was interrupted")
	}
	h.Release()
}
