// Package clusterconfig defines the cluster configuration that operators manage: its types, validation, patches and diffs
// of its JSON text, and the routing table.
package clusterconfig

//go:generate go run github.com/mailru/easyjson/easyjson -all clusterconfig.go

// MaxBytes is the maximum length of a configuration's text, also as the result of a patch. Each core machine holds several
// versions in memory and sends and stores each as one message and one log entry.
const MaxBytes = 4 << 20

// Config is a complete configuration. Keys without a field here are preserved in the JSON text only.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route defines a queue: the requests that it matches and how its jobs are scheduled.
type Route struct {
	Name            string  `json:"name"`              // name of the queue
	Host            string  `json:"host"`              // host to match, without a port; case-insensitive
	PathPrefix      string  `json:"path_prefix"`       // path prefix to match; the longest match is selected
	Type            string  `json:"type,omitempty"`    // has no effect
	TimeoutMS       int64   `json:"timeout_ms"`        // timeout of one request in milliseconds
	TargetLatencyMS float64 `json:"target_latency_ms"` // latency target of a job in milliseconds
	Priority        int64   `json:"priority"`          // 0 is served first
	Service         string  `json:"service"`           // service whose workers run the jobs; also the name of the shard
	Retries         int64   `json:"retries"`           // number of failures of one task at which its job fails; 0 counts as 1
	Extension       float64 `json:"extension"`         // factor on the critical path's expected duration in a job's deadline
}

// Service is a group of workers that run the same jobs. Its name is also the name of its shard. The other fields have no
// effect.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int64  `json:"max_connections,omitempty"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls"`
	Preconditions  bool   `json:"preconditions"`
}

// Limits are limits on client requests, in bytes and milliseconds. Only MaxBodyBytes has an effect; 0 means 256 KiB.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Patch is a change of named items of a configuration, and of its limits.
type Patch struct {
	Version int64  `json:"version"`
	Upsert  Items  `json:"upsert"`
	Remove  Names  `json:"remove"`
	Limits  Limits `json:"limits"`
}

// Items are items to add, or to replace by name.
type Items struct {
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
}

// Names are the names of items to remove.
type Names struct {
	Routes   []string `json:"routes"`
	Services []string `json:"services"`
}
