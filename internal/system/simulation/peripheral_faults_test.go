package simulation

import (
	"context"
	"fmt"
	"time"
)

// peripheralFault is a kind of fault outside the core.
type peripheralFault int

const (
	sideKilled peripheralFault = iota
	sidePartitioned
	workerCrashed
	workerPartitioned
	edgeKilled
	workerDrained
	peripheralFaults // number of kinds
)

// injectPeripheralFault injects a fault on a side machine, its worker or the edge machine, and heals it after wait.
func (c *cluster) injectPeripheralFault(kind peripheralFault, name string, wait time.Duration, oneWay bool) {
	switch kind {
	case sideKilled:
		c.kill(name)
		time.Sleep(wait)
		c.start(name)
	case sidePartitioned:
		c.partition(name, true, oneWay)
		time.Sleep(wait)
		c.partition(name, false, false)
	case workerCrashed:
		c.workers[name].crash()
		c.record(name, "crash")
		time.Sleep(wait)
		c.startWorker(name)
	case workerPartitioned:
		c.partitionWorker(name, true)
		time.Sleep(wait + 3*time.Second)
		c.partitionWorker(name, false)
	case edgeKilled:
		c.kill("edge0")
		time.Sleep(wait)
		c.start("edge0")
	case workerDrained:
		c.drainWorker(name, wait)
		c.startWorker(name)
	}
}

// drainWorker lets the worker of a side machine drain, deregister and end.
func (c *cluster) drainWorker(name string, remaining time.Duration) {
	worker := c.workers[name]
	c.record(name, "drain")
	worker.Drain(remaining)
	time.Sleep(remaining + time.Duration(c.intN(2000))*time.Millisecond)
	worker.Deregister(context.Background())
	worker.crash()
	c.record(name, "left")
}

// injectPeripheralFaults injects random peripheral faults until stop is closed.
func (c *cluster) injectPeripheralFaults(stop <-chan struct{}) {
	for waitUnlessStopped(stop, time.Duration(500+c.intN(2500))*time.Millisecond) {
		name := fmt.Sprint("side", c.intN(sideCount))
		wait := time.Duration(100+c.intN(3000)) * time.Millisecond
		c.injectPeripheralFault(peripheralFault(c.intN(int(peripheralFaults))), name, wait, c.intN(2) == 0)
	}
}

// injectNetworkFaults resets connections and rotates the seeds until stop is closed.
func (c *cluster) injectNetworkFaults(stop <-chan struct{}) {
	for waitUnlessStopped(stop, time.Duration(1000+c.intN(4000))*time.Millisecond) {
		if c.intN(3) == 0 {
			c.rotateSeeds()
			continue
		}
		m := c.anyCore()
		c.record(m.name, "reset")
		c.network.reset(m.ip, func() bool { return c.intN(2) == 0 })
	}
}
