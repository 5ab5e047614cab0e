package scheduler

import (
	"sedgevale/internal/discovery"
	"sedgevale/internal/dispatchconfig"
)

// Aliases of the configuration types, for programs that embed a Scheduler.
type (
	// Config is the complete configuration of a Scheduler.
	Config = dispatchconfig.Config
	// Limits bound the memory and the file descriptors of the process.
	Limits = dispatchconfig.Limits
	// SSE configures the event streams.
	SSE = dispatchconfig.SSE
	// Journal configures the journal of attempts.
	Journal = dispatchconfig.Journal
	// Web configures the reverse proxy.
	Web = dispatchconfig.Web
	// Settings are the settings of the decision module.
	Settings = dispatchconfig.Settings
	// Class is a request class.
	Class = dispatchconfig.Class
	// List is a list of workers.
	List = discovery.List
	// Member is a worker in a List.
	Member = discovery.Member
)

// FromEnv reads the platform's configuration, which the environment variable EDGE_CONFIG
// names.
func FromEnv() (*Config, error) { return dispatchconfig.FromEnv() }

// ReadFile reads and checks an operator's configuration file.
func ReadFile(path string) (*Config, error) { return dispatchconfig.ReadOperator(path) }
