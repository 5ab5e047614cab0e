package simulation

import (
	"fmt"
	"runtime"
	"testing"
	"testing/synctest"
	"time"
)

const (
	partitionPhase           = 40 * time.Second
	maxGoroutinesInPartition = 600 // additional goroutines of all eight processes at the end of the partition
	maxGoroutinesAfterHeal   = 150 // additional goroutines of all eight processes after the partition
)

// TestLongPartitionLeaksNoGoroutines checks that goroutines do not accumulate during a long partition of all machines,
// which requires that every wait has a timeout, and that the edge scheduler is ready again after the partition.
func TestLongPartitionLeaksNoGoroutines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1)
		time.Sleep(2 * time.Second)
		if !c.putConfiguration(1, 0) {
			t.Error("the initial configuration was not applied")
		}
		time.Sleep(3 * time.Second)
		before := runtime.NumGoroutine()
		for i := range coreCount {
			c.partition(fmt.Sprint("core", i), true, false)
		}
		for i := range sideCount {
			c.partition(fmt.Sprint("side", i), true, false)
		}
		c.partition("edge0", true, false)
		for i := range 100 {
			c.background.Add(1)
			go c.submitJob(fmt.Sprintf("%016x", i+1), 1)
			time.Sleep(partitionPhase / 100)
		}
		during := runtime.NumGoroutine() - before
		for _, name := range c.columns {
			c.partition(name, false, false)
		}
		time.Sleep(30 * time.Second)
		after := runtime.NumGoroutine() - before
		t.Logf("%d goroutines before the partition, %d more at its end, %d more after it", before, during, after)
		if during > maxGoroutinesInPartition || after > maxGoroutinesAfterHeal {
			t.Errorf("%d additional goroutines at the end of the partition (limit %d), %d after it (limit %d)", during, maxGoroutinesInPartition, after, maxGoroutinesAfterHeal)
		}
		if status, _ := c.call("GET", "10.0.1.1:91", "/sedgevale/readyz", "", "", ""); status != 200 {
			t.Errorf("readiness status %d after the partition, want 200", status)
		}
		c.stop()
		time.Sleep(5 * time.Second)
	})
}

// partition partitions a machine from all core machines, or heals the partition. If oneWay is set, only traffic from the
// machine is blocked.
func (c *cluster) partition(name string, active, oneWay bool) {
	m := c.machine(name)
	for _, other := range c.coreNames() {
		if other != name {
			c.partitionLink(m.ip, c.machine(other).ip, active, oneWay)
		}
	}
	c.record(name, "%s", map[bool]string{true: "partition", false: "heal"}[active])
}

// partitionLink blocks traffic from one address to another, and in the opposite direction unless oneWay is set. If
// active is false, it unblocks both directions.
func (c *cluster) partitionLink(from, to string, active, oneWay bool) {
	c.network.partition(from, to, active)
	if !oneWay || !active {
		c.network.partition(to, from, active)
	}
}

// partitionWorker partitions a worker from its side machine, or heals the partition.
func (c *cluster) partitionWorker(name string, active bool) {
	m := c.machine(name)
	c.network.partition("w"+m.ip, m.ip, active)
	c.network.partition(m.ip, "w"+m.ip, active)
	c.record(name, "%s", map[bool]string{true: "w-partition", false: "w-heal"}[active])
}

// partitionInbound blocks traffic to a core machine from all other core machines, or unblocks it.
func (c *cluster) partitionInbound(name string, active bool) {
	for _, other := range c.coreNames() {
		if other != name {
			c.partitionLink(c.machine(other).ip, c.machine(name).ip, active, true)
		}
	}
}

// partitionFrom partitions a core machine from the given others, or heals the partition.
func (c *cluster) partitionFrom(name string, active bool, others ...string) {
	c.record(name, "%s", map[bool]string{true: "partition", false: "heal"}[active])
	for _, other := range others {
		c.partitionLink(c.machine(name).ip, c.machine(other).ip, active, false)
	}
}

// partitionFromSome partitions a core machine from random others for the given time, in one direction or both.
func (c *cluster) partitionFromSome(name string, wait time.Duration) {
	var others []string
	for _, other := range c.coreNames() {
		if other != name && c.intN(2) == 0 {
			others = append(others, other)
		}
	}
	oneWay := c.intN(2) == 0
	c.record(name, "partition %d", len(others))
	for _, other := range others {
		c.partitionLink(c.machine(name).ip, c.machine(other).ip, true, oneWay)
	}
	time.Sleep(wait)
	for _, other := range others {
		c.partitionLink(c.machine(name).ip, c.machine(other).ip, false, false)
	}
	c.record(name, "heal")
}
