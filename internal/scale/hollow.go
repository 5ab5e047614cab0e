package scale

import (
	"container/heap"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"sedgevale/internal/peers"
)

// place is a worker under the id that it has now.
type place struct {
	id string
	w  *worker
}

// hollow is a hollow scheduler: a peers.Node on a socket of its own, as internal/peerlink has one, and tasks that are
// out in its books alone.
type hollow struct {
	number  int
	conn    *net.UDPConn
	peers   []netip.AddrPort
	numbers map[netip.AddrPort]int
	sent    []atomic.Int64 // bytes, by real process that they go to
	got     []atomic.Int64 // bytes, by real process that they come from
	meter   *meter
	plan    Plan
	long    time.Duration
	short   time.Duration
	began   time.Time
	starts  *atomic.Int64 // of all hollow ones
	running atomic.Int64
	stuck   atomic.Int64 // tasks that found no free slot

	mu     sync.Mutex
	rand   *rand.Rand
	node   *peers.Node
	ready  []place // that take new tasks
	part   []place // of ready, the scheduler's part
	out    map[string]*books
	due    tasks
	parted bool // part is to be made anew
}

// books are what a hollow scheduler has out at one worker.
type books struct {
	place
	slots, long int
}

type task struct {
	end  time.Duration // on the hollow scheduler's clock
	at   *books        // nil: it is to start
	long bool
}

// tasks is a heap by the time of their ends.
type tasks []task

func (t tasks) Len() int           { return len(t) }
func (t tasks) Less(i, j int) bool { return t[i].end < t[j].end }
func (t tasks) Swap(i, j int)      { t[i], t[j] = t[j], t[i] }
func (t *tasks) Push(v any)        { *t = append(*t, v.(task)) }
func (t *tasks) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// newHollow returns one that does nothing yet, on a socket of its own.
func newHollow(f *File, size Size, number int, m *meter, starts *atomic.Int64) (*hollow, error) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(loopback(addrsOfSchedulers + number))})
	if err != nil {
		return nil, fmt.Errorf("hollow scheduler %d: %w", number, err)
	}
	return &hollow{number: number, conn: conn, numbers: map[netip.AddrPort]int{}, sent: make([]atomic.Int64, f.Real), got: make([]atomic.Int64, f.Real),
		meter: m, plan: f.plan(size), long: seconds(f.LongS), short: seconds(f.ShortMS / 1000), starts: starts, out: map[string]*books{},
		rand: rand.New(rand.NewPCG(f.Seed, uint64(number)))}, nil
}

// join has it know the others, and the site that they have in common.
func (h *hollow) join(f *File, all []netip.AddrPort, site uint64) {
	h.peers, h.began = all, time.Now()
	for i, a := range all {
		h.numbers[a] = i
	}
	h.node = peers.New(peers.Options{Self: h.number, Members: len(all), Site: site, Hearers: f.Hearers, Least: f.Least,
		Incarnation: uint16(time.Now().UnixMilli() / 128), Watch: rand.New(rand.NewPCG(f.Seed, uint64(h.number)))})
}

func (h *hollow) now() time.Duration { return time.Since(h.began) }

// run works until the context ends; then the socket is closed.
func (h *hollow) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { h.conn.Close() })
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() { h.read() })
	wg.Go(func() { h.tick(ctx) })
	wg.Go(func() { h.work(ctx) })
	wg.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, b := range h.out {
		for range b.slots {
			b.w.release()
		}
	}
	h.out = map[string]*books{}
}

func (h *hollow) read() {
	buf := make([]byte, peers.MaxDatagram+1)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // as of a peer whose port is closed
			continue
		}
		number, known := h.numbers[netip.AddrPortFrom(from.Addr().Unmap(), from.Port())]
		if !known {
			number = -1
		}
		if known && number < len(h.got) {
			h.got[number].Add(int64(n))
		}
		h.mu.Lock()
		if now := h.now(); h.node.Receive(now, number, buf[:n]) == nil {
			h.node.Flush(now, h.send)
			h.node.News(func(string, int, int) {}) // nobody decides by it here
		}
		h.mu.Unlock()
	}
}

func (h *hollow) send(to int, datagram []byte) {
	if to < len(h.sent) {
		h.sent[to].Add(int64(len(datagram)))
	}
	_, _ = h.conn.WriteToUDPAddrPort(datagram, h.peers[to]) // what is lost is told again
}

func (h *hollow) tick(ctx context.Context) {
	h.meter.every(ctx, peers.TickEvery, func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		now := h.now()
		h.node.Tick(now)
		h.node.Flush(now, h.send)
		h.node.News(func(string, int, int) {})
		h.node.Changes(func(peers.Change) {})
	})
}

// work starts and ends tasks, each at its time.
func (h *hollow) work(ctx context.Context) {
	h.mu.Lock()
	for range h.plan.Running {
		h.start(true)
	}
	heap.Push(&h.due, task{end: h.now()})
	h.mu.Unlock()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		h.mu.Lock()
		now := h.now()
		for h.due[0].end <= now {
			t := heap.Pop(&h.due).(task)
			switch {
			case t.at == nil && t.long:
				h.start(true)
			case t.at == nil:
				h.start(false)
				heap.Push(&h.due, task{end: t.end + h.exp(1/h.plan.ShortPerS*float64(time.Second))})
			case h.out[t.at.id] == t.at: // else the worker has gone with it
				h.end(t.at, t.long)
				if t.long {
					h.start(true)
				}
			}
		}
		h.node.Flush(now, h.send)
		timer.Reset(h.due[0].end - now)
		h.mu.Unlock()
	}
}

func (h *hollow) exp(mean float64) time.Duration {
	return time.Duration(min(10, h.rand.ExpFloat64()) * mean)
}

// tries are how many workers are looked at for a task; the last of them are taken from the whole list.
const tries = 24

// start places a task on a worker with a free slot. A long one is tried again where there is none.
func (h *hollow) start(long bool) {
	if h.parted {
		h.remake()
	}
	for i := range tries {
		from := h.part
		if i >= tries*2/3 || len(from) == 0 {
			from = h.ready
		}
		if len(from) == 0 {
			break
		}
		at := from[h.rand.IntN(len(from))]
		b := h.out[at.id]
		if b != nil && b.slots >= mostSlots || !at.w.occupy() {
			continue
		}
		if b == nil {
			b = &books{place: at}
			h.out[at.id] = b
		}
		b.slots++
		mean := h.short
		if long {
			mean = h.long
			b.long++
			h.running.Add(1)
		}
		h.starts.Add(1)
		h.node.Out(h.now(), at.id, peers.Out{Slots: b.slots}, false)
		heap.Push(&h.due, task{h.now() + h.exp(float64(mean)), b, long})
		return
	}
	h.stuck.Add(1)
	if long {
		heap.Push(&h.due, task{end: h.now() + retry, long: true})
	}
}

// retry is when a long task that found no free slot is tried again.
const retry = 100 * time.Millisecond

func (h *hollow) end(b *books, long bool) {
	b.slots--
	if long {
		b.long--
		h.running.Add(-1)
	}
	b.w.release()
	h.node.Out(h.now(), b.id, peers.Out{Slots: b.slots}, false)
	if b.slots == 0 {
		delete(h.out, b.id)
	}
}

// list brings the workers as discovery has them: all ids, and who takes new tasks.
func (h *hollow) list(ids []string, ready []place, fresh bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ready, h.parted = ready, true
	if !fresh { // the same ids have the same audiences
		return
	}
	h.node.Boxes(ids)
	listed := make(map[string]bool, len(ids))
	for _, id := range ids {
		listed[id] = true
	}
	lost := 0
	for id, b := range h.out {
		if !listed[id] {
			lost += b.long
			for range b.slots {
				b.w.release()
			}
			h.node.Out(h.now(), id, peers.Out{}, false)
			delete(h.out, id)
		}
	}
	for range lost {
		h.running.Add(-1)
		h.start(true)
	}
}

// remake finds the workers of the scheduler's part; it keeps to it from the start.
func (h *hollow) remake() {
	h.parted = false
	ids, _ := h.node.Part()
	if ids == nil {
		h.part = h.ready
		return
	}
	mine := make(map[string]bool, len(ids))
	for _, id := range ids {
		mine[id] = true
	}
	h.part = nil
	for _, p := range h.ready {
		if mine[p.id] {
			h.part = append(h.part, p)
		}
	}
}
