package scheduler

import (
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
)

// What a scheduler is told, for programs that embed one.
type (
	Config   = dispatchconfig.Config
	Limits   = dispatchconfig.Limits
	SSE      = dispatchconfig.SSE
	Journal  = dispatchconfig.Journal
	Web      = dispatchconfig.Web
	Settings = dispatchconfig.Settings
	Class    = dispatchconfig.Class
	List     = discovery.List
	Member   = discovery.Member
)

// FromEnv reads the platform's configuration, which EDGE_CONFIG names.
func FromEnv() (*Config, error) { return dispatchconfig.FromEnv() }

// ReadFile reads and checks an operator's file.
func ReadFile(path string) (*Config, error) { return dispatchconfig.ReadOperator(path) }
