// Package clusterconfig holds the configuration that operators give the system: its types, what makes one
// valid, how named items are changed, and which route a request takes.
package clusterconfig

//go:generate easyjson -all clusterconfig.go

// Config is a whole configuration.
type Config struct {
	Version  int64     `json:"version"`
	Routes   []Route   `json:"routes"`
	Services []Service `json:"services"`
	Limits   Limits    `json:"limits"`
}

// Route is a queue: which requests go into it and how its jobs are treated. Times are in milliseconds.
type Route struct {
	Name            string  `json:"name"`
	Host            string  `json:"host"`
	PathPrefix      string  `json:"path_prefix"`
	Type            string  `json:"type,omitempty"`
	TimeoutMS       int64   `json:"timeout_ms"`
	TargetLatencyMS float64 `json:"target_latency_ms"`
	Priority        int64   `json:"priority"`
	Service         string  `json:"service"`
	Retries         int64   `json:"retries"`
	Extension       float64 `json:"extension"`
}

// Service is a kind of workers.
type Service struct {
	Name           string `json:"name"`
	HealthPath     string `json:"health_path,omitempty"`
	MaxConnections int64  `json:"max_connections,omitempty"`
	Protocol       string `json:"protocol,omitempty"`
	TLS            bool   `json:"tls"`
	Preconditions  bool   `json:"preconditions"`
}

// Limits bound what clients send.
type Limits struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// Patch changes named items.
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

// Names are names of items to remove.
type Names struct {
	Routes   []string `json:"routes"`
	Services []string `json:"services"`
}
