package fake

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Member is a worker in the list that discovery serves.
type Member struct {
	ID       string  `json:"id"`
	HostPort string  `json:"host_port"`
	Locality string  `json:"locality"`
	Flavor   string  `json:"flavor"`
	Cell     int     `json:"cell"`
	Phase    string  `json:"phase"`
	Size     float64 `json:"size"`
	UpSince  int64   `json:"up_since_ms"`
}

// Discovery serves the worker list, either in full or as a long-poll watch that returns changes.
type Discovery struct {
	mu         sync.Mutex // guards all below but server
	revision   int64
	members    []Member
	changed    map[string]int64 // revision of each member's last change, by member ID
	nextChange chan struct{}    // closed at the next change
	server     *http.Server
}

// maxWatch is the longest time that a watch waits for a change.
const maxWatch = time.Minute

// NewDiscovery returns a Discovery that is not listening yet.
func NewDiscovery(members ...Member) *Discovery {
	d := &Discovery{revision: 1, members: members, changed: map[string]int64{}, nextChange: make(chan struct{})}
	for _, m := range members {
		d.changed[m.ID] = 1
	}
	d.server = &http.Server{Handler: d}
	return d
}

// Listen serves on an address, such as "127.0.0.1:0" for a free port, and returns the bound address.
func (d *Discovery) Listen(addr string) (string, error) {
	return listen(d.server, addr)
}

// Close closes all connections immediately, which breaks open watches as an outage of discovery does.
func (d *Discovery) Close() error { return d.server.Close() }

// Set adds or updates a member. The phase "gone" removes it from the list.
func (d *Discovery) Set(m Member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.changed[m.ID] = d.revision
	if i := slices.IndexFunc(d.members, func(o Member) bool { return o.ID == m.ID }); i >= 0 {
		d.members[i] = m
	} else {
		d.members = append(d.members, m)
	}
	close(d.nextChange)
	d.nextChange = make(chan struct{})
}

// Members returns a copy of the current list.
func (d *Discovery) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Clone(d.members)
}

// ServeHTTP answers GET /v1/endpoints.
func (d *Discovery) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method != http.MethodGet || q.URL.Path != "/v1/endpoints" {
		http.NotFound(w, q)
		return
	}
	since, err := strconv.ParseInt(q.FormValue("since"), 10, 64)
	complete := err != nil
	wait, _ := strconv.Atoi(q.FormValue("timeout_ms")) // without the parameter, 0: the answer is immediate
	d.mu.Lock()
	newer, current := d.nextChange, d.revision
	d.mu.Unlock()
	if !complete && current <= since {
		timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxWatch))
		defer timer.Stop()
		select {
		case <-newer:
		case <-timer.C:
		case <-q.Context().Done():
			return
		}
	}
	d.mu.Lock()
	out := struct {
		Revision int64    `json:"revision"`
		Complete bool     `json:"complete"`
		Members  []Member `json:"members"`
	}{d.revision, complete, []Member{}}
	for _, m := range d.members {
		if complete && m.Phase != "gone" || !complete && d.changed[m.ID] > since {
			out.Members = append(out.Members, m)
		}
	}
	d.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(out) // fails only if the scheduler has disconnected
}
