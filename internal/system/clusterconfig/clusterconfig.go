// Package clusterconfig holds the configuration that operators give the system: its types, its validation, patches of named
// items, and the table that finds the route of a request.
package clusterconfig

//go:generate go run github.com/mailru/easyjson/easyjson -all clusterconfig.go

// Config is a complete configuration. Keys for which there is no field here are kept in its text.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route is a queue: which requests it takes and how its jobs are scheduled.
type Route struct {
	Name            string  `json:"name"`              // of the queue
	Host            string  `json:"host"`              // of the requests, without a port; case is ignored
	PathPrefix      string  `json:"path_prefix"`       // of the requests; the longest that matches counts
	Type            string  `json:"type,omitempty"`    // has no effect
	TimeoutMS       int64   `json:"timeout_ms"`        // of one request
	TargetLatencyMS float64 `json:"target_latency_ms"` // latency target of a job
	Priority        int64   `json:"priority"`          // 0 is served first
	Service         string  `json:"service"`           // whose workers run the jobs; also the shard
	Retries         int64   `json:"retries"`           // failures of a task that fail its job, 1 at least
	Extension       float64 `json:"extension"`         // factor on the expected time of a job's critical path in its deadline
}

// Service is a group of workers that run the same jobs; its name is that of its shard. The other fields have no effect.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int64  `json:"max_connections,omitempty"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls"`
	Preconditions  bool   `json:"preconditions"`
}

// Limits bound clients' requests, in bytes and milliseconds. Only MaxBodyBytes has an effect; 0 stands for 256 KiB.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Patch changes named items of a configuration.
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
