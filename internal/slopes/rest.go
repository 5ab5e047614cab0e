package slopes

import (
	"math/rand/v2"
	"slices"
	"time"

	"sedgevale/internal/peers"
)

// Told is what schedulers of a site told each other for a while.
type Told struct {
	Schedulers int
	Words      float64 // a scheduler's boxes with tasks, times the others that hear of each
	Entries    float64 // told a second by a scheduler, on average
	Datagrams  float64 // sent a second by a scheduler
	Sent       float64 // bytes a second by a scheduler
	MostSent   float64 // by the one that sent most
	Received   float64
	Watch      float64       // bytes a second of the watch on who is there
	Other      float64       // of what is neither that nor about tasks
	Signals    time.Duration // processor time a second of a scheduler
}

// rest is a site whose tasks do not change: real Nodes alone, each with its tasks spread at random over its part, as a
// Dispatcher that keeps to its part spreads them.
type rest struct {
	clock
	nodes    []*peers.Node
	sent     []int
	received []int
	told     Told
	spent    time.Duration
	watch    int
	other    int
	words    int
}

// Rest plays a site where running tasks, over all schedulers together, do not change, for so long after a warm-up.
func Rest(l Load, running int, length time.Duration) Told {
	r := &rest{sent: make([]int, l.Schedulers), received: make([]int, l.Schedulers)}
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	ids := workerIDs(rng, l.Workers)
	for i := range l.Schedulers {
		n := l.node(i)
		n.Boxes(ids)
		part, _ := n.Part()
		if part == nil {
			part = ids
		}
		slots := map[string]int{}
		for k := i; k < running; k += l.Schedulers {
			slots[part[rng.IntN(len(part))]]++
		}
		for _, id := range part {
			if slots[id] > 0 {
				n.Out(0, id, peers.Out{Slots: slots[id]}, false)
			}
		}
		for _, b := range n.Status(0).Boxes {
			if b.Ours != (peers.Out{}) {
				r.words += len(b.Audience)
				if slices.Contains(b.Audience, uint16(i)) {
					r.words--
				}
			}
		}
		r.nodes = append(r.nodes, n)
		r.after(time.Duration(rng.Int64N(int64(peers.TickEvery))), event{kind: dueTick, to: int32(i)})
	}
	const warm = 5 * time.Second // all have heard of all, and what is repeated is as it stays
	r.run(warm)
	clear(r.sent)
	clear(r.received)
	r.told, r.spent, r.watch, r.other = Told{}, 0, 0, 0
	r.run(warm + length)
	t, per := r.told, 1/length.Seconds()/float64(l.Schedulers)
	for i := range r.sent {
		t.Sent += float64(r.sent[i]) * per
		t.Received += float64(r.received[i]) * per
	}
	t.MostSent = float64(slices.Max(r.sent)) / length.Seconds()
	t.Schedulers, t.Entries, t.Datagrams = l.Schedulers, t.Entries*per, t.Datagrams*per
	t.Words = float64(r.words) / float64(l.Schedulers)
	t.Watch, t.Other = float64(r.watch)*per, float64(r.other)*per
	t.Signals = time.Duration(float64(r.spent) * per)
	return t
}

func (r *rest) run(until time.Duration) {
	for {
		e, ok := r.next(until)
		if !ok {
			return
		}
		n := r.nodes[e.to]
		from := time.Now()
		if e.kind == dueTick {
			r.after(peers.TickEvery, event{kind: dueTick, to: e.to})
			n.Tick(r.now)
		} else {
			r.received[e.to] += len(e.data)
			_ = n.Receive(r.now, int(e.job), e.data) // what is refused is counted by the Node
		}
		n.News(func(string, int, int) {})
		n.Flush(r.now, func(to int, datagram []byte) {
			entries := entriesOf(datagram)
			r.told.Entries += float64(entries)
			r.told.Datagrams++
			switch kind := datagram[0] & 15; {
			case kind > lastWatch:
				r.other += len(datagram)
			case kind > kindHeld:
				r.watch += len(datagram)
			}
			r.sent[e.to] += len(datagram)
			r.after(way, event{kind: dueDatagram, to: int32(to), job: e.to, data: slices.Clone(datagram)})
		})
		r.spent += time.Since(from)
	}
}

// A datagram that tells of tasks has a head of 5 bytes, with its kind in the low bits of the first, entries of 4 and a
// check of 3 (internal/peers/wire.go).
const (
	headAndCheck = 8
	entrySize    = 4
	kindHeld     = 1
	lastWatch    = 5
)

// entriesOf returns how many boxes a datagram tells of: none if it is of the watch on who is there.
func entriesOf(datagram []byte) int {
	if datagram[0]&15 != kindHeld {
		return 0
	}
	return (len(datagram) - headAndCheck) / entrySize
}
