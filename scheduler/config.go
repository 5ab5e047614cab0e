package scheduler

import (
	"sedgevale/internal/config"
	"sedgevale/internal/discovery"
)

// What a scheduler is told, for programs that embed one.
type (
	Config   = config.Config
	Limits   = config.Limits
	SSE      = config.SSE
	Journal  = config.Journal
	Web      = config.Web
	Settings = config.Settings
	Class    = config.Class
	List     = discovery.List
	Member   = discovery.Member
)

// FromEnv reads the platform's configuration, which EDGE_CONFIG names.
func FromEnv() (*Config, error) { return config.FromEnv() }

// ReadFile reads and checks an operator's file.
func ReadFile(path string) (*Config, error) { return config.ReadOperator(path) }
