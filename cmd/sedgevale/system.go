package main

import (
	"sedgevale/internal/system/core"
	"sedgevale/internal/system/edge"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/side"
)

// roleFlags are the flags of every role of the system.
type roleFlags struct {
	Verbose bool `help:"Log more."`
}

type edgeCmd struct{ roleFlags }

func (c edgeCmd) Run() error { return node.Run(edge.Run, c.Verbose) }

type sideCmd struct{ roleFlags }

func (c sideCmd) Run() error { return node.Run(side.Run, c.Verbose) }

type coreCmd struct{ roleFlags }

func (c coreCmd) Run() error { return node.Run(core.Run, c.Verbose) }
