// Package discovery is a client of the platform's service discovery: it watches the list of workers by long polls, and decodes
// and converts it for the dispatcher.
package discovery

import (
	"encoding/json"
	"fmt"
	"time"

	"sedgevale/dispatcher"
)

// List is the list of workers at a revision. If Complete is false, it has only the entries that have changed.
type List struct {
	Revision int64    `json:"revision" toml:"revision,omitempty"`
	Complete bool     `json:"complete" toml:"complete,omitempty"`
	Members  []Member `json:"members" toml:"members,omitempty"`
}

// Member is an entry of the list, a worker. Size is its relative capacity, and UpSince is the Unix time in milliseconds at which
// it started.
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

// phases maps the phases of the platform to worker states.
var phases = map[string]dispatcher.WorkerState{
	"ready": dispatcher.Active, "draining": dispatcher.Draining, "gone": dispatcher.Removed,
}

// Parse decodes and validates a list in JSON.
func Parse(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return l, fmt.Errorf("list of workers: %w", err)
	}
	return l, l.Validate()
}

// Validate returns an error for the first entry without an id, or with an invalid phase or cell.
func (l *List) Validate() error {
	for i, m := range l.Members {
		if _, ok := phases[m.Phase]; m.ID == "" || !ok || m.Cell < 0 {
			return fmt.Errorf("list of workers: entry %d (%q) lacks an id, or its phase or cell is unknown", i, m.ID)
		}
	}
	return nil
}

// Names are the names of zones (localities) and of kinds of workers (flavors) in the settings. A WorkerInfo refers to them by
// index.
type Names struct{ Zones, Kinds []string }

// WorkerInfos converts a list for the dispatcher. toClock converts a Unix time in milliseconds to the dispatcher's clock.
func (n Names) WorkerInfos(l List, toClock func(unixMilli int64) time.Duration) []dispatcher.WorkerInfo {
	entries := make([]dispatcher.WorkerInfo, 0, len(l.Members))
	for _, m := range l.Members {
		entries = append(entries, dispatcher.WorkerInfo{Name: m.ID, Zone: indexOf(n.Zones, m.Locality),
			Kind: indexOf(n.Kinds, m.Flavor), Cell: m.Cell, State: phases[m.Phase], Weight: m.Size,
			StartedAt: toClock(m.UpSince)})
	}
	return entries
}

// indexOf returns the index of a name. It returns the length of names for an unknown name, so that no class with constraints on
// zones or kinds matches such a worker.
func indexOf(names []string, name string) int {
	for i := range names {
		if names[i] == name {
			return i
		}
	}
	return len(names)
}

// Ready reports whether the worker accepts new requests, that is, whether it is not draining or removed.
func (m *Member) Ready() bool { return phases[m.Phase] == dispatcher.Active }

// Apply returns the list after an update, which has all entries if full is set, and otherwise the changed ones. The result
// shares no memory with l.
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
