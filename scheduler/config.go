package scheduler

import (
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
)

// The configuration of a Scheduler, for programs that embed one.
type (
	// Config is the whole configuration.
	Config = dispatchconfig.Config
	// Limits bound the process's memory and descriptors.
	Limits = dispatchconfig.Limits
	// SSE configures the event streams.
	SSE = dispatchconfig.SSE
	// Journal configures the journal of attempts.
	Journal = dispatchconfig.Journal
	// Web configures the reverse proxy.
	Web = dispatchconfig.Web
	// Settings are those of the decision module.
	Settings = dispatchconfig.Settings
	// Class is a class of requests.
	Class = dispatchconfig.Class
	// List is a list of workers.
	List = discovery.List
	// Member is a worker in a List.
	Member = discovery.Member
)

// FromEnv reads the platform's configuration, which the environment variable EDGE_CONFIG
// names.
func FromEnv() (*Config, error) { return dispatchconfig.FromEnv() }

// ReadFile reads and checks an operator's file.
func ReadFile(path string) (*Config, error) { return dispatchconfig.ReadOperator(path) }
