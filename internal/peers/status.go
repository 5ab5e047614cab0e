package peers

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is what a Node believes, for operators. Times are in milliseconds.
type Status struct {
	Self    int            `json:"self"`
	Watched bool           `json:"watched"` // who is there is watched; else states are of what was heard alone
	Members []MemberStatus `json:"members"` // by number
	Newest  uint32         `json:"newest"`  // the highest revision of the configuration in force at one that is there
	Boxes   []BoxStatus    `json:"boxes"`   // by id
	Counts  Counts         `json:"counts"`
}

// MemberStatus is what is believed of a member.
type MemberStatus struct {
	Number  int     `json:"number"`
	State   string  `json:"state"`
	Run     uint16  `json:"run"`
	HeardMS int64   `json:"heard_ms"` // ago; -1: never
	Loss    float64 `json:"loss"`     // share of its datagrams that did not come, lately

	// What it has in force, if it is there and has told.
	Revision uint32 `json:"revision"`
	Digest   string `json:"digest"`    // empty: not known
	BehindMS int64  `json:"behind_ms"` // for how long a later revision has been in force somewhere; -1: it is not behind
	Differs  bool   `json:"differs"`   // it has the newest, but other content than most
}

// BoxStatus is what is known of a box.
type BoxStatus struct {
	ID       string   `json:"id"`
	Audience []uint16 `json:"audience"`
	Ours     Out      `json:"ours"`   // what we have out there
	Others   Out      `json:"others"` // what others have told, as a sum
	Tellers  int      `json:"tellers"`
	OldestMS int64    `json:"oldest_ms"` // age of the oldest of that; 0 where there is none
}

// Status returns what is believed now.
func (n *Node) Status(now time.Duration) Status {
	s := Status{Self: n.opt.Self, Watched: n.watch.rand != nil, Counts: n.Counts}
	s.Newest = n.newest()
	n.table.climb(now, s.Newest)
	differ := n.differing(s.Newest)
	for i := range n.members {
		m, v := &n.members[i], n.watch.views[i]
		one := MemberStatus{Number: i, State: v.state.String(), Run: v.run, HeardMS: -1, Loss: m.loss, BehindMS: -1}
		if m.known {
			one.HeardMS = (now - m.heardAt).Milliseconds()
			if !s.Watched {
				one.Run, one.State = m.incarnation, "heard"
			}
		}
		if i == n.opt.Self {
			one.State, one.HeardMS, one.Run = "self", 0, n.opt.Incarnation
		}
		if w := n.inForce(i); w != nil {
			one.Revision, one.Digest, one.Differs = w.Number, fmt.Sprintf("%08x", w.Digest), differ[i]
			if w.Number < s.Newest {
				one.BehindMS = n.table.behind(now, w.Number).Milliseconds()
			}
		}
		s.Members = append(s.Members, one)
	}
	for _, b := range n.order {
		if !b.listed && len(b.words) == 0 {
			continue
		}
		one := BoxStatus{ID: b.id, Audience: b.audience, Ours: b.out, Tellers: len(b.words)}
		for _, w := range b.words {
			one.Others.Slots += w.out.Slots
			one.Others.Waiting += w.out.Waiting
			one.OldestMS = max(one.OldestMS, (now - w.at).Milliseconds())
		}
		s.Boxes = append(s.Boxes, one)
	}
	slices.SortFunc(s.Boxes, func(a, b BoxStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
