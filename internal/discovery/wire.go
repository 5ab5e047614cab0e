// Package discovery keeps a watch on the list of workers.
package discovery

import (
	"encoding/json"
	"fmt"
	"time"

	"sedgevale"
)

// List is the list of workers, whole or the part that has changed.
type List struct {
	Revision int64    `json:"revision" toml:"revision,omitempty"`
	Complete bool     `json:"complete" toml:"complete,omitempty"`
	Members  []Member `json:"members" toml:"members,omitempty"`
}

// Member is an entry of the list.
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

var phases = map[string]sedgevale.WorkerState{
	"ready": sedgevale.Active, "draining": sedgevale.Leaving, "gone": sedgevale.Left,
}

// Parse reads a list.
func Parse(b []byte) (List, error) {
	var l List
	if err := json.Unmarshal(b, &l); err != nil {
		return l, fmt.Errorf("list of workers: %w", err)
	}
	return l, l.Check()
}

// Check returns an error for a list that cannot be acted on.
func (l *List) Check() error {
	for i, m := range l.Members {
		if _, ok := phases[m.Phase]; m.ID == "" || !ok || m.Cell < 0 {
			return fmt.Errorf("list of workers: entry %d (%q) lacks an id, or its phase or cell is unknown", i, m.ID)
		}
	}
	return nil
}

// Names are what the list's places and kinds are called in the settings.
type Names struct{ Zones, Kinds []string }

// Entries turns a list into the module's form. When maps Unix times onto the
// module's clock.
func (n Names) Entries(l List, when func(unixMilli int64) time.Duration) []sedgevale.WorkerInfo {
	entries := make([]sedgevale.WorkerInfo, 0, len(l.Members))
	for _, m := range l.Members {
		entries = append(entries, sedgevale.WorkerInfo{Worker: m.ID, Zone: place(n.Zones, m.Locality),
			Kind: place(n.Kinds, m.Flavor), Cell: m.Cell, State: phases[m.Phase], Weight: m.Size,
			StartedAt: when(m.UpSince)})
	}
	return entries
}

// place returns a name's index; an unknown one comes after all that are known,
// so that no class is sent there by mistake.
func place(names []string, name string) int {
	for i := range names {
		if names[i] == name {
			return i
		}
	}
	return len(names)
}

// Ready reports whether the worker takes new jobs.
func (m *Member) Ready() bool { return phases[m.Phase] == sedgevale.Active }

// With returns the list as it is after a change, or after a whole list. It shares
// nothing with what was there before.
func (l List) With(change List, whole bool) List {
	if whole {
		l.Members = nil
	}
	changed := make(map[string]bool, len(change.Members))
	for i := range change.Members {
		changed[change.Members[i].ID] = true
	}
	out := List{Revision: change.Revision, Complete: true}
	for _, m := range l.Members {
		if !changed[m.ID] {
			out.Members = append(out.Members, m)
		}
	}
	for _, m := range change.Members {
		if phases[m.Phase] != sedgevale.Left {
			out.Members = append(out.Members, m)
		}
	}
	return out
}
