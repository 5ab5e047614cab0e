package scheduler

import (
	"runtime"
	"runtime/debug"

	"sedgevale/internal/dispatchconfig"
)

const (
	// Each event loop and planner may be blocked in a system call; with a processor for
	// each the others go on at once. One processor was measured to do nearly as well;
	// see NOTES.md.
	minProcessors = 8
	// memoryFraction of the configured memory is the Go runtime's soft limit.
	memoryFraction = 0.75
	// reservedOpsDescriptors are kept for operators' calls.
	reservedOpsDescriptors = 32
	// fixedDescriptors of a process are not connections: event loops, listeners, files.
	fixedDescriptors = 32
)

// ConfigureRuntime sets the Go runtime up for the machine, by the configuration's limits. It
// is for programs that are nothing but a scheduler.
func ConfigureRuntime(c *dispatchconfig.Config) {
	limitMemory(c, 1)
	if runtime.GOMAXPROCS(0) < minProcessors {
		runtime.GOMAXPROCS(minProcessors)
	}
}

// limitMemory sets the runtime's soft limit to the share of one of several processes.
func limitMemory(c *dispatchconfig.Config, processes int) {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(c.Limits.MemoryMB) / float64(processes) * (1 << 20)))
	}
}

// limitDescriptors applies a configuration's limit of descriptors, less those reserved for
// operators' calls.
func (s *Scheduler) limitDescriptors(c *dispatchconfig.Config) {
	n := c.Limits.Sockets
	if n > 0 && c.Ops != "" {
		n = max(1, n-reservedOpsDescriptors)
	}
	s.descriptors.SetLimit(n)
}

// descriptorsInUse returns how many descriptors this process holds.
func (s *Scheduler) descriptorsInUse() int { return s.descriptors.InUse() + fixedDescriptors }

// rebalanceResources keeps this process to its share of the machine: all that its siblings
// leave of the descriptors, and an even part of the memory.
func (s *Scheduler) rebalanceResources() {
	siblings, used := s.siblingList(), 0
	for _, other := range siblings {
		used += other.descriptorsInUse()
	}
	s.descriptors.SetOtherProcesses(used)
	if s.options.OnProcessCount != nil {
		s.options.OnProcessCount(1 + len(siblings))
	}
}
