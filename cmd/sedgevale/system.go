package main

import (
	"sedgevale/internal/system/core"
	"sedgevale/internal/system/edge"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/side"
)

// roleFlags are the flags of every role of the system.
type roleFlags struct {
	Verbose     bool `arg:"--verbose" help:"Log more."`
	Metrics     bool `arg:"--metrics" help:"Serve Prometheus metrics at the last port of port_range."`
	MetricsPort int  `arg:"--metrics-port" help:"Serve Prometheus metrics at this port."`
}

func (f roleFlags) options() node.Options {
	return node.Options{Verbose: f.Verbose, Metrics: f.Metrics, MetricsPort: f.MetricsPort}
}

type edgeCmd struct{ roleFlags }

func (c edgeCmd) Run() error { return node.Run(edge.Run, c.options()) }

type sideCmd struct{ roleFlags }

func (c sideCmd) Run() error { return node.Run(side.Run, c.options()) }

type coreCmd struct{ roleFlags }

func (c coreCmd) Run() error { return node.Run(core.Run, c.options()) }
