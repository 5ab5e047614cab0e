package scheduler

import (
	"runtime"
	"runtime/debug"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/httpd"
	"sedgevale/internal/resourcequota"
)

const (
	// minProcessors is the minimum GOMAXPROCS. Each event loop and planner may block in a
	// system call; with a processor for each, the others continue without delay. One
	// processor performs nearly as well; see NOTES.md.
	minProcessors = 8
	// memoryFraction is the Go runtime's soft memory limit as a fraction of the configured
	// memory. The rest is for the program itself and for what the kernel holds of connections.
	memoryFraction = 0.5
	// reservedOpsDescriptors is the number of file descriptors reserved for operators' requests.
	reservedOpsDescriptors = 32
	// fixedDescriptors is the number of a process's descriptors that are not connections: event
	// loops, listeners and files.
	fixedDescriptors = 32
)

// ConfigureRuntime configures the Go runtime according to the configuration's limits. It is
// meant for programs that only run a scheduler.
func ConfigureRuntime(c *dispatchconfig.Config) {
	limitMemory(c, 1)
	if runtime.GOMAXPROCS(0) < minProcessors {
		runtime.GOMAXPROCS(minProcessors)
	}
}

// limitMemory sets the runtime's soft memory limit of one of several processes that share the
// configured memory equally.
func limitMemory(c *dispatchconfig.Config, processes int) {
	if c.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryFraction * float64(c.Limits.MemoryMB) / float64(processes) * (1 << 20)))
	}
}

// newQuota returns the bounds of the memory for clients.
func newQuota(c *dispatchconfig.Config) *httpd.Quota {
	bounds := httpd.NewQuota(int64(c.Limits.MemoryMB)<<20, c.Limits.Sockets)
	bounds.Memory.SetLimits(quotaLimits(c, 1))
	return bounds
}

// quotaLimits returns the limits of the memory for clients of one of several processes that share the configured memory equally.
func quotaLimits(c *dispatchconfig.Config, processes int) resourcequota.Limits {
	limits := resourcequota.LimitsFor(int64(c.Limits.MemoryMB)<<20/int64(processes), c.Limits.Sockets)
	if c.ResourceQuota.RequestMB > 0 {
		limits.SetRequestBytes(int64(c.ResourceQuota.RequestMB) << 20 / int64(processes))
	}
	return limits
}

// limitDescriptors applies a configuration's limit of file descriptors, less those reserved for
// operators' requests.
func (s *Scheduler) limitDescriptors(c *dispatchconfig.Config) {
	n := c.Limits.Sockets
	if n > 0 && c.Ops != "" {
		n = max(1, n-reservedOpsDescriptors)
	}
	s.descriptors.SetLimit(n)
}

// descriptorsInUse returns the number of file descriptors that this process uses.
func (s *Scheduler) descriptorsInUse() int { return s.descriptors.InUse() + fixedDescriptors }

// rebalanceResources adapts this process's limits to its siblings: it may use the descriptors
// that they do not use, and OnProcessCount is called to divide the memory equally.
func (s *Scheduler) rebalanceResources() {
	siblings, used := s.siblingList(), 0
	for _, sib := range siblings {
		used += sib.descriptorsInUse()
	}
	s.descriptors.SetOtherProcesses(used)
	s.quota.Memory.SetLimits(quotaLimits(s.current.Load(), 1+len(siblings)))
	if s.options.OnProcessCount != nil {
		s.options.OnProcessCount(1 + len(siblings))
	}
}
