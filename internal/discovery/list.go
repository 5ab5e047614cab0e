// Package discovery is the client of the platform's service discovery: the list of workers and a watch on its changes.
package discovery

import (
	"encoding/json"
	"fmt"
	"time"

	"sedgevale/dispatcher"
)

// List is the list of workers as of a revision: all of them, or the entries that have changed.
type List struct {
	Revision int64    `json:"revision" toml:"revision,omitempty"`
	Complete bool     `json:"complete" toml:"complete,omitempty"`
	Members  []Member `json:"members" toml:"members,omitempty"`
}

// Member is a worker in the list. Size is its relative capacity, UpSince the Unix time in milliseconds at which it started.
type Member struct {
	ID       string  `json:"id" toml:"id,omitempty"`
	HostPort string  `json:"host_port" toml:"host_port,omitempty"`
	Locality string  `json:"locality" toml:"locality,omitempty"`
	Flavor   string  `json:"flavor" toml:"flavor,omitempty"`
	Cell     int     `json:"cell" toml:"cell,omitempty"`
	Phase    string  `json:"phase" toml:"phase,omitempty"`
	Size     float64 `json:"size" toml:"size,omitempty"`
	UpSince  int64   `json:"up_since_ms" toml:"up_since_ms,omitempty"`
}

var phases = map[string]dispatcher.WorkerState{
	"ready": dispatcher.Active, "draining": dispatcher.Draining, "gone": dispatcher.Removed,
}

// Parse decodes and validates a list.
func Parse(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return l, fmt.Errorf("list of workers: %w", err)
	}
	return l, l.Validate()
}

// Validate validates a list. The error names the first invalid entry.
func (l *List) Validate() error {
	for i, m := range l.Members {
		if _, ok := phases[m.Phase]; m.ID == "" || !ok || m.Cell < 0 {
			return fmt.Errorf("list of workers: entry %d (%q) lacks an id, or its phase or cell is unknown", i, m.ID)
		}
	}
	return nil
}

// Names are the names of zones (localities) and kinds of workers (flavors) in the settings; a WorkerInfo has their indexes.
type Names struct{ Zones, Kinds []string }

// WorkerInfos converts a list for the dispatcher. When maps Unix times in milliseconds onto the dispatcher's clock.
func (n Names) WorkerInfos(l List, toClock func(unixMilli int64) time.Duration) []dispatcher.WorkerInfo {
	entries := make([]dispatcher.WorkerInfo, 0, len(l.Members))
	for _, m := range l.Members {
		entries = append(entries, dispatcher.WorkerInfo{Worker: m.ID, Zone: indexOf(n.Zones, m.Locality),
			Kind: indexOf(n.Kinds, m.Flavor), Cell: m.Cell, State: phases[m.Phase], Weight: m.Size,
			StartedAt: toClock(m.UpSince)})
	}
	return entries
}

// indexOf returns the index of a name. An unknown name has the index after all known ones, so that no class of requests is
// sent there by mistake.
func indexOf(names []string, name string) int {
	for i := range names {
		if names[i] == name {
			return i
		}
	}
	return len(names)
}

// Ready reports whether the worker accepts new requests.
func (m *Member) Ready() bool { return phases[m.Phase] == dispatcher.Active }

// Apply returns the list after an update, which is a full list or the changed entries. It shares no memory with l.
func (l List) Apply(update List, full bool) List {
	if full {
		l.Members = nil
	}
	changed := make(map[string]bool, len(update.Members))
	for i := range update.Members {
		changed[update.Members[i].ID] = true
	}
	out := List{Revision: update.Revision, Complete: true}
	for _, m := range l.Members {
		if !changed[m.ID] {
			out.Members = append(out.Members, m)
		}
	}
	for _, m := range update.Members {
		if phases[m.Phase] != dispatcher.Removed {
			out.Members = append(out.Members, m)
		}
	}
	return out
}
