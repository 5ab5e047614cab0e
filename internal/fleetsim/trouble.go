package fleetsim

import (
	"time"

	"sedgevale"
	"sedgevale/internal/dispatchconfig"
)

// trouble begins something that happens.
func (w *world) trouble(t *Trouble) {
	last := dispatchconfig.Seconds(t.ForS)
	switch t.Kind {
	case "kill":
		for _, n := range w.someNodes(t.Share) {
			n.die()
			w.after(last, n.start)
		}
	case "freeze":
		for _, n := range w.someNodes(t.Share) {
			n.frozen = w.now + last
		}
	case "split":
		w.halves = true
		w.after(last, func() { w.halves = false })
	case "replace":
		some := w.someBoxes(t.Share)
		for i, at := range some {
			w.after(last*time.Duration(i)/time.Duration(len(some)), func() { w.replace(at) })
		}
	case "slow":
		for _, at := range w.someBoxes(t.Share) {
			w.boxes[at].factor = t.Factor
			w.after(last, func() { w.boxes[at].factor = 1 })
		}
	case "fail":
		for _, at := range w.someBoxes(t.Share) {
			w.boxes[at].fails = t.Factor
			w.after(last, func() { w.boxes[at].fails = 0 })
		}
	}
}

func (w *world) someNodes(share float64) (some []*node) {
	for _, i := range w.rand.Perm(len(w.nodes))[:max(1, int(share*float64(len(w.nodes))))] {
		some = append(some, w.nodes[i])
	}
	return some
}

// someBoxes draws of those that are there.
func (w *world) someBoxes(share float64) (some []int) {
	for _, i := range w.rand.Perm(len(w.boxes)) {
		if w.members[i].State == sedgevale.Active {
			some = append(some, i)
		}
	}
	return some[:max(1, int(share*float64(len(some))))]
}

func (n *node) die() {
	n.up = false
	n.run++
	for _, j := range n.jobs {
		if !j.over {
			n.w.lost(j)
		}
	}
}

// replace has a box drain, and a cold one of its kind start; the list tells both a little later.
func (w *world) replace(at int) {
	old := w.boxes[at]
	w.members[at].State = sedgevale.Leaving
	w.addBox(old.cores, old.speed, w.now)
	w.tellList()
	w.after(6*time.Second, func() {
		w.members[at].State = sedgevale.Left
		old.gone = true
		w.tellList()
	})
}

// tellList has every scheduler hear of the list as it is, each a little later.
func (w *world) tellList() {
	for _, n := range w.nodes {
		n.later(ms(20+180*w.net.Float64()), func() { n.list(sedgevale.ListPatch) })
	}
}
