package peers

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is the state of a Node, for operators. Times are in milliseconds.
type Status struct {
	Self             int            `json:"self"`
	FailureDetection bool           `json:"watched"` // there is failure detection; otherwise states are of received datagrams alone
	Members          []MemberStatus `json:"members"` // by number
	Newest           uint32         `json:"newest"`  // the highest revision of the configuration in force at a member that is present
	Workers          []WorkerStatus `json:"boxes"`   // by id
	Counts           Counts         `json:"counts"`
}

// MemberStatus is the state of a member.
type MemberStatus struct {
	Number     int     `json:"number"`
	State      string  `json:"state"`
	Generation uint16  `json:"run"`
	HeardMS    int64   `json:"heard_ms"` // ago; -1: never
	Loss       float64 `json:"loss"`     // recent share of its datagrams that were lost

	// The configuration that it has in force, if it is present and that is known.
	Revision uint32 `json:"revision"`
	Digest   string `json:"digest"`    // empty: not known
	BehindMS int64  `json:"behind_ms"` // for how long a later revision has been in force somewhere; -1: it is not behind
	Differs  bool   `json:"differs"`   // it has the newest revision with another content than most
}

// WorkerStatus is the load on a worker.
type WorkerStatus struct {
	ID          string   `json:"id"`
	Subscribers []uint16 `json:"audience"`
	Ours        Load     `json:"ours"`   // by this scheduler
	Others      Load     `json:"others"` // the sum of what others report
	Reporters   int      `json:"tellers"`
	OldestMS    int64    `json:"oldest_ms"` // age of the oldest report; 0 where there is none
}

// Status returns the state at a time.
func (n *Node) Status(now time.Duration) Status {
	s := Status{Self: n.options.Self, FailureDetection: n.detector.rand != nil, Counts: n.Counts}
	s.Newest = n.newestRevision()
	differ := n.differingDigests(s.Newest)
	for i := range n.members {
		m, v := &n.members[i], n.detector.views[i]
		one := MemberStatus{Number: i, State: v.state.String(), Generation: v.generation, HeardMS: -1, Loss: m.lossRate, BehindMS: -1}
		if m.known {
			one.HeardMS = (now - m.lastReceivedAt).Milliseconds()
			if !s.FailureDetection {
				one.Generation, one.State = m.generation, "heard"
			}
		}
		if i == n.options.Self {
			one.State, one.HeardMS, one.Generation = "self", 0, n.options.Generation
		}
		if entry := n.activeEntry(i); entry != nil {
			one.Revision, one.Digest, one.Differs = entry.Number, fmt.Sprintf("%08x", entry.Digest), differ[i]
			if entry.Number < s.Newest {
				one.BehindMS = n.revisionTable.lagOf(now, entry.Number).Milliseconds()
			}
		}
		s.Members = append(s.Members, one)
	}
	for _, worker := range n.order {
		if !worker.listed && len(worker.reports) == 0 {
			continue
		}
		one := WorkerStatus{ID: worker.id, Subscribers: worker.subscribers, Ours: worker.load, Reporters: len(worker.reports)}
		for _, r := range worker.reports {
			one.Others.Slots += r.load.Slots
			one.Others.Waiting += r.load.Waiting
			one.OldestMS = max(one.OldestMS, (now - r.at).Milliseconds())
		}
		s.Workers = append(s.Workers, one)
	}
	slices.SortFunc(s.Workers, func(a, b WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
