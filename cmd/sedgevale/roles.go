package main

import (
	"sedgevale/internal/system/core"
	"sedgevale/internal/system/edge"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/side"
)

// roleFlags are the flags that the commands of all roles have.
type roleFlags struct {
	Verbose     bool `arg:"--verbose" help:"Log at DEBUG level."`
	Metrics     bool `arg:"--metrics" help:"Serve Prometheus metrics at the last port of port_range."`
	MetricsPort int  `arg:"--metrics-port" help:"Serve Prometheus metrics at this port."`
}

func (f roleFlags) options() node.Options {
	return node.Options{Verbose: f.Verbose, Metrics: f.Metrics, MetricsPort: f.MetricsPort}
}

// edgeCmd runs the scheduler of an edge machine, which clients call.
type edgeCmd struct{ roleFlags }

// Run runs the scheduler until SIGTERM or SIGINT.
func (c edgeCmd) Run() error { return node.Run(edge.Run, c.options()) }

// sideCmd runs the scheduler of a side machine, beside a worker.
type sideCmd struct{ roleFlags }

// Run runs the scheduler until SIGTERM or SIGINT.
func (c sideCmd) Run() error { return node.Run(side.Run, c.options()) }

// coreCmd runs the scheduler of a core machine, which keeps the system's state.
type coreCmd struct{ roleFlags }

// Run runs the scheduler until SIGTERM or SIGINT.
func (c coreCmd) Run() error { return node.Run(core.Run, c.options()) }
