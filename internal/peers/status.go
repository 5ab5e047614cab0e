package peers

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Status is the state of a Node as shown to operators. Times are in milliseconds.
type Status struct {
	Self             int            `json:"self"`
	FailureDetection bool           `json:"watched"` // if false, the states of the members derive from received datagrams alone
	Members          []MemberStatus `json:"members"` // sorted by number
	Newest           uint32         `json:"newest"`  // the highest configuration revision in force at any present member
	Workers          []WorkerStatus `json:"boxes"`   // sorted by ID
	Counts           Counts         `json:"counts"`
}

// MemberStatus is the state of a member.
type MemberStatus struct {
	Number     int     `json:"number"`
	State      string  `json:"state"`
	Generation uint16  `json:"run"`
	HeardMS    int64   `json:"heard_ms"` // time since the last datagram was received; -1: never
	Loss       float64 `json:"loss"`     // recent fraction of the member's datagrams that were lost

	// The configuration in force at the member, if the member is present and its revision is known.
	Revision uint32 `json:"revision"`
	Digest   string `json:"digest"`    // empty: unknown
	BehindMS int64  `json:"behind_ms"` // how long a later revision has been in force at another member; -1: not behind
	Differs  bool   `json:"differs"`   // the member has the newest revision, but not the most frequent digest
}

// WorkerStatus is the load that the schedulers of the site put on a worker.
type WorkerStatus struct {
	ID          string   `json:"id"`
	Subscribers []uint16 `json:"audience"`
	Ours        Load     `json:"ours"`   // load of this scheduler
	Others      Load     `json:"others"` // sum of the loads that other schedulers report
	Reporters   int      `json:"tellers"`
	OldestMS    int64    `json:"oldest_ms"` // age of the oldest report; 0: no report
}

// Status returns the state of the Node at the time now.
func (n *Node) Status(now time.Duration) Status {
	s := Status{Self: n.options.Self, FailureDetection: n.detector.rand != nil, Counts: n.Counts}
	s.Newest = n.newestRevision()
	differs := n.differingDigests(s.Newest)
	for i := range n.members {
		m, view := &n.members[i], n.detector.views[i]
		status := MemberStatus{Number: i, State: view.state.String(), Generation: view.generation, HeardMS: -1, Loss: m.lossRate, BehindMS: -1}
		if m.known {
			status.HeardMS = (now - m.lastReceivedAt).Milliseconds()
			if !s.FailureDetection {
				status.Generation, status.State = m.generation, "heard"
			}
		}
		if i == n.options.Self {
			status.State, status.HeardMS, status.Generation = "self", 0, n.options.Generation
		}
		if entry := n.activeEntry(i); entry != nil {
			status.Revision, status.Digest, status.Differs = entry.Number, fmt.Sprintf("%08x", entry.Digest), differs[i]
			if entry.Number < s.Newest {
				status.BehindMS = n.revisionTable.lagOf(now, entry.Number).Milliseconds()
			}
		}
		s.Members = append(s.Members, status)
	}
	for _, worker := range n.orderedWorkers {
		if !worker.listed && len(worker.reports) == 0 {
			continue
		}
		status := WorkerStatus{ID: worker.id, Subscribers: worker.subscribers, Ours: worker.load, Reporters: len(worker.reports)}
		for _, r := range worker.reports {
			status.Others.Slots += r.load.Slots
			status.Others.Waiting += r.load.Waiting
			status.OldestMS = max(status.OldestMS, (now - r.receivedAt).Milliseconds())
		}
		s.Workers = append(s.Workers, status)
	}
	slices.SortFunc(s.Workers, func(a, b WorkerStatus) int { return cmp.Compare(a.ID, b.ID) })
	return s
}
