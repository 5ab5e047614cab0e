package pool

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"sedgevale/internal/testkit"
)

func TestMain(m *testing.M) { testkit.Main(m, 300) }

func mustNew(t testing.TB, o Options) *Pool {
	t.Helper()
	p, err := New(o)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

const second = time.Second

// TestRoundRobinByWeight checks that the picks of each member are proportional to its weight and evenly
// spread.
func TestRoundRobinByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Options
		sum := 0
		for i := range rapid.IntRange(1, 6).Draw(t, "members") {
			w := rapid.IntRange(0, 20).Draw(t, "weight")
			o.Members = append(o.Members, Member{Name: fmt.Sprint(i), Weight: w})
			sum += w
		}
		p, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		if _, v := p.Pick(0, Hint{}); (v == Unavailable) != (sum == 0) {
			t.Fatalf("Pick returned %v with a total weight of %d", v, sum)
		}
		if sum == 0 {
			return
		}
		p, _ = New(o)
		got := make([]int, len(o.Members))
		rounds := rapid.IntRange(1, 5).Draw(t, "rounds")
		for n := 1; n <= rounds*sum; n++ {
			i, _ := p.Pick(second, Hint{})
			got[i]++
			for k, m := range o.Members { // the deviation is bounded by the number of members
				if want := float64(n*m.Weight) / float64(sum); math.Abs(float64(got[k])-want) > float64(len(o.Members)) {
					t.Fatalf("after %d picks member %d was picked %d times, want %.1f", n, k, got[k], want)
				}
			}
		}
		for k, m := range o.Members {
			if got[k] != rounds*m.Weight {
				t.Fatalf("member %d was picked %d of %d times with weight %d of %d", k, got[k], rounds*sum, m.Weight, sum)
			}
		}
	})
}

// TestBackups checks that backups, the first or all of them, are used exactly while no other member is up.
func TestBackups(t *testing.T) {
	for _, allBackups := range []bool{false, true} {
		p := mustNew(t, Options{AllBackups: allBackups, Members: []Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 1},
			{Name: "x", Weight: 1, Backup: true}, {Name: "y", Weight: 1, Backup: true}}})
		used := func() (names string) {
			seen := map[int]bool{}
			for range 20 {
				if i, v := p.Pick(second, Hint{}); v == Assigned {
					seen[i] = true
				}
			}
			for i := range p.members {
				if seen[i] {
					names += p.Name(i)
				}
			}
			return names
		}
		down := func(name string) { p.SetState(p.Index(name), Down, second) }
		up := func(name string) { p.SetState(p.Index(name), Up, second) }
		backups := "x"
		if allBackups {
			backups = "xy"
		}
		steps := []struct {
			do   func()
			want string
		}{
			{func() {}, "ab"}, {func() { down("a") }, "b"}, {func() { down("b") }, backups},
			{func() { down("x") }, "y"}, {func() { down("y") }, ""}, {func() { up("x") }, "x"},
			{func() { up("b") }, "b"}, {func() { up("a") }, "ab"},
		}
		for i, s := range steps {
			s.do()
			if got := used(); got != s.want {
				t.Errorf("all backups %v, step %d: %q, want %q", allBackups, i, got, s.want)
			}
		}
	}
}

// TestPersistence checks that a cookie leads to its member, also if that member is draining or has weight 0,
// unless the member is down or was already tried.
func TestPersistence(t *testing.T) {
	p := mustNew(t, Options{Members: []Member{{Name: "a", Weight: 1, Cookie: "A"}, {Name: "b", Weight: 0, Cookie: "B"}}})
	pick := func(h Hint) string {
		i, v := p.Pick(second, h)
		if v != Assigned {
			return fmt.Sprint(v)
		}
		return p.Name(i)
	}
	if got := pick(Hint{Cookie: "B"}); got != "b" {
		t.Errorf("the cookie of b leads to %s", got)
	}
	if got := pick(Hint{Cookie: "C"}); got != "a" {
		t.Errorf("an unknown cookie leads to %s", got)
	}
	p.SetState(1, Draining, second)
	if got := pick(Hint{Cookie: "B"}); got != "b" {
		t.Errorf("the cookie of b leads to %s while b is draining", got)
	}
	if got := pick(Hint{Cookie: "B", Tried: []int{1}}); got != "a" {
		t.Errorf("the cookie of b leads to %s after b was tried", got)
	}
	p.SetState(1, Down, second)
	if got := pick(Hint{Cookie: "B"}); got != "a" {
		t.Errorf("the cookie of b leads to %s while b is down", got)
	}
}

// TestHash checks that keys are distributed by weight and that only the keys of a member move when it goes
// down.
func TestHash(t *testing.T) {
	p := mustNew(t, Options{Balance: Hash, Members: []Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 2}, {Name: "c", Weight: 3}}})
	const n = 20000
	home, count := make([]int, n), make([]int, 3)
	for k := range n {
		home[k], _ = p.Pick(second, Hint{Key: fmt.Sprint("key-", k)})
		count[home[k]]++
	}
	for i, want := range []float64{1.0 / 6, 2.0 / 6, 3.0 / 6} {
		if got := float64(count[i]) / n; math.Abs(got-want) > 0.02 {
			t.Errorf("member %d has a share of %.3f, want %.3f", i, got, want)
		}
	}
	p.SetState(1, Down, second)
	for k := range n {
		if now, _ := p.Pick(second, Hint{Key: fmt.Sprint("key-", k)}); home[k] != 1 && now != home[k] {
			t.Fatalf("key %d moved from %d to %d", k, home[k], now)
		}
	}
}

// TestOtherAlgorithms checks the algorithms first, leastconn and random, and the slow start.
func TestOtherAlgorithms(t *testing.T) {
	p := mustNew(t, Options{Balance: First, Members: []Member{{Name: "a", Weight: 1, MaxConn: 2}, {Name: "b", Weight: 1}}})
	for i, want := range []int{0, 0, 1, 1} {
		got, _ := p.Pick(second, Hint{})
		if p.Acquire(got); got != want {
			t.Errorf("first: request %d was sent to member %d", i, got)
		}
	}
	p = mustNew(t, Options{Balance: LeastConn, Members: []Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}})
	for range 40 {
		i, _ := p.Pick(second, Hint{})
		p.Acquire(i)
	}
	if _, a := p.State(0); a != 10 {
		t.Errorf("leastconn: member with a quarter of the weight has %d of 40 requests, want 10", a)
	}
	p = mustNew(t, Options{Balance: Random, Members: []Member{{Name: "a", Weight: 1}, {Name: "b", Weight: 3}}})
	got := 0
	for k := range uint64(10000) {
		if i, _ := p.Pick(second, Hint{Rand: k * 0x9e3779b97f4a7c15}); i == 0 {
			got++
		}
	}
	if got < 2300 || got > 2700 {
		t.Errorf("random: member with a quarter of the weight has %d of 10000 requests", got)
	}
	p = mustNew(t, Options{SlowStart: 10 * second, Members: []Member{{Name: "a", Weight: 10}, {Name: "b", Weight: 10}}})
	p.SetState(0, Down, 100*second)
	p.SetState(0, Up, 100*second)
	share := func(now time.Duration) (n int) {
		for range 1000 {
			if i, _ := p.Pick(now, Hint{}); i == 0 {
				n++
			}
		}
		return n
	}
	if early, late := share(101*second), share(111*second); early > 120 || late < 490 {
		t.Errorf("slow start: member has %d of 1000 requests after 1 s, %d after 11 s", early, late)
	}
}

// TestQueue checks the limits of members and of the queue, the order of the queue, and the expiry of requests.
func TestQueue(t *testing.T) {
	p := mustNew(t, Options{MaxQueue: 2, QueueTimeout: 3 * second, Members: []Member{{Name: "a", Weight: 1, MaxConn: 1}}})
	i, v := p.Pick(second, Hint{})
	if v != Assigned {
		t.Fatal(v)
	}
	p.Acquire(i)
	if _, v := p.Pick(second, Hint{}); v != Busy {
		t.Fatalf("Pick with a full member: %v", v)
	}
	if !p.Enqueue(second, "one", Hint{}) || !p.Enqueue(2*second, "two", Hint{}) || p.Enqueue(2*second, "three", Hint{}) {
		t.Error("Enqueue does not respect MaxQueue")
	}
	if _, _, ok := p.NextQueued(2 * second); ok {
		t.Error("NextQueued returned a request while the member was full")
	}
	p.Release(i)
	if token, _, ok := p.NextQueued(2 * second); !ok || token != "one" {
		t.Errorf("NextQueued returned %v, want one", token)
	}
	if _, _, ok := p.NextQueued(2 * second); ok {
		t.Error("NextQueued returned a second request beyond MaxConn")
	}
	testQueueExpiry(t, p)
}

// testQueueExpiry continues TestQueue with one request in flight and "two" queued at 2 s.
func testQueueExpiry(t *testing.T, p *Pool) {
	t.Helper()
	if got := p.Expire(4 * second); len(got) != 0 {
		t.Errorf("requests expired before their deadline: %v", got)
	}
	if got := p.Expire(5 * second); !slices.Equal(got, []any{"two"}) || p.NextDeadline() != 0 {
		t.Errorf("expired requests: %v; next deadline: %v", got, p.NextDeadline())
	}
	p.Enqueue(6*second, "last", Hint{})
	p.SetState(0, Down, 6*second)
	if got := p.Expire(6 * second); !slices.Equal(got, []any{"last"}) {
		t.Errorf("requests expired while all members are down: %v", got)
	}
	p.Enqueue(7*second, "gone", Hint{})
	if !p.Dequeue("gone") || p.Dequeue("gone") {
		t.Error("Dequeue must succeed exactly once")
	}
}

// TestPoolModel checks over random sequences of events that no member exceeds its limit and that no request
// stays queued while a member has capacity.
func TestPoolModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var o Options
		o.MaxQueue = rapid.IntRange(1, 4).Draw(t, "queue")
		o.Balance = rapid.SampledFrom([]Balance{RoundRobin, LeastConn, First, Random}).Draw(t, "balance")
		for i := range rapid.IntRange(1, 4).Draw(t, "members") {
			o.Members = append(o.Members, Member{Name: fmt.Sprint(i), Weight: rapid.IntRange(0, 3).Draw(t, "weight"),
				Backup: rapid.Bool().Draw(t, "backup"), MaxConn: rapid.IntRange(0, 2).Draw(t, "maxconn")})
		}
		p, err := New(o)
		if err != nil {
			t.Fatal(err)
		}
		m := &poolModel{opt: o, pool: p, inFlight: make([]int, len(o.Members)), now: time.Second}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			m.step(t)
			if p.QueueLen() > o.MaxQueue {
				t.Fatalf("%d requests are queued", p.QueueLen())
			}
		}
	})
}

// poolModel tracks the requests in flight of each member independently of the pool.
type poolModel struct {
	opt      Options
	pool     *Pool
	inFlight []int
	now      time.Duration
}

// step draws and executes one event: a request, the end of a request, a change of state, or the dispatch of
// queued requests.
func (m *poolModel) step(t *rapid.T) {
	p := m.pool
	m.now += 10 * time.Millisecond
	k := rapid.IntRange(0, len(m.opt.Members)-1).Draw(t, "member")
	switch rapid.IntRange(0, 3).Draw(t, "step") {
	case 0:
		if i, v := p.Pick(m.now, Hint{Rand: rapid.Uint64().Draw(t, "rand")}); v == Assigned {
			p.Acquire(i)
			m.sent(t, i)
		} else if v == Busy {
			p.Enqueue(m.now, new(int), Hint{})
		}
	case 1:
		if m.inFlight[k] > 0 {
			m.inFlight[k]--
			p.Release(k)
		}
	case 2:
		p.SetState(k, rapid.SampledFrom([]State{Up, Down, Draining}).Draw(t, "state"), m.now)
	case 3:
		for {
			_, i, ok := p.NextQueued(m.now)
			if !ok {
				break
			}
			m.sent(t, i)
		}
		if _, v := p.Pick(m.now, Hint{}); v == Assigned && p.QueueLen() > 0 {
			t.Fatal("a request is queued although a member has capacity")
		}
	}
}

// sent records a request that was sent to a member and checks that the member was eligible.
func (m *poolModel) sent(t *rapid.T, i int) {
	to := m.opt.Members[i]
	if s, _ := m.pool.State(i); s != Up || to.Weight == 0 {
		t.Fatalf("request sent to member %d, which is %v with weight %d", i, s, to.Weight)
	}
	if m.inFlight[i]++; to.MaxConn > 0 && m.inFlight[i] > to.MaxConn {
		t.Fatalf("member %d has %d requests in flight, want at most %d", i, m.inFlight[i], to.MaxConn)
	}
	if !to.Backup {
		return
	}
	for k, other := range m.opt.Members {
		if s, _ := m.pool.State(k); s == Up && !other.Backup && other.Weight > 0 {
			t.Fatalf("backup %d is used although member %d is up", i, k)
		}
	}
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{4, 50} {
		var o Options
		for i := range n {
			o.Members = append(o.Members, Member{Name: fmt.Sprint(i), Weight: 1 + i%5})
		}
		p := mustNew(b, o)
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(second, Hint{})
			}
		})
	}
}
