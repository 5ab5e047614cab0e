package simulation

import (
	"sync"
	"time"
)

// faultBudget limits how many core machines are faulty at a time. It waits on channels, since a goroutine that waits for a
// mutex stops the virtual clock.
type faultBudget struct {
	mu        sync.Mutex
	faulty    map[string]bool
	permits   chan bool // one permit for each machine that may be faulty at a time
	exclusive chan bool // held while all permits are acquired
}

func newFaultBudget(n int) *faultBudget {
	b := &faultBudget{faulty: map[string]bool{}, permits: make(chan bool, n), exclusive: make(chan bool, 1)}
	for range n {
		b.permits <- true
	}
	b.exclusive <- true
	return b
}

// withoutFaults runs an action while no machine is faulty, although some may be catching up. Then it waits for all machines
// to catch up.
func (b *faultBudget) withoutFaults(action func()) {
	<-b.exclusive
	for range cap(b.permits) {
		<-b.permits
	}
	action()
	time.Sleep(catchUpTimeout)
	for range cap(b.permits) {
		b.permits <- true
	}
	b.exclusive <- true
}

// pick selects a random core machine that is not faulty, and marks it as faulty.
func (b *faultBudget) pick(c *cluster) string {
	names := c.coreNames()
	b.mu.Lock()
	defer b.mu.Unlock()
	for {
		name := names[c.intN(len(names))]
		if !b.faulty[name] {
			b.faulty[name] = true
			return name
		}
	}
}

func (b *faultBudget) release(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.faulty, name)
}

// injectCoreFaults injects faults on one core machine after another until stop is closed, and waits for each to catch up.
func (c *cluster) injectCoreFaults(budget *faultBudget, stop <-chan struct{}) {
	for waitUnlessStopped(stop, time.Duration(c.intN(1500))*time.Millisecond) {
		name := budget.pick(c)
		<-budget.permits
		c.injectCoreFault(name)
		budget.permits <- true
		if c.intN(6) == 0 {
			budget.withoutFaults(func() { c.powerCycle(name) })
		}
		time.Sleep(catchUpTimeout)
		budget.release(name)
	}
}

// injectCoreFault injects a random fault on a core machine and heals it.
func (c *cluster) injectCoreFault(name string) {
	wait := time.Duration(100+c.intN(4000)) * time.Millisecond
	switch c.intN(9) {
	case 0: // restart
		c.kill(name)
		time.Sleep(wait)
		c.start(name)
	case 1: // disk lost
		c.kill(name)
		c.wipeDisk(name)
		time.Sleep(wait)
		c.start(name)
	case 2: // partition
		c.partition(name, true, c.intN(2) == 0)
		time.Sleep(wait + time.Duration(c.intN(2))*8*time.Second)
		c.partition(name, false, false)
	case 3: // partial partition
		c.partitionFromSome(name, wait)
	case 4: // disk lost during a partition
		c.partition(name, true, false)
		time.Sleep(wait / 2)
		c.kill(name)
		c.wipeDisk(name)
		time.Sleep(wait / 2)
		c.start(name)
		time.Sleep(wait / 2)
		c.partition(name, false, false)
	case 5: // unplanned replacement
		c.replaceLost(name)
	case 6: // planned replacement
		c.replacePlanned(name)
	case 7: // graceful restart
		c.terminate(name)
		time.Sleep(wait / 8)
		c.start(name)
	default: // crash loop during start and join
		for range 3 {
			c.kill(name)
			if c.intN(3) == 0 {
				c.wipeDisk(name)
			}
			time.Sleep(wait / 4)
			c.start(name)
			time.Sleep(time.Duration(c.intN(900)) * time.Millisecond)
		}
	}
}

// loseDisk kills a core machine and restarts it with an empty disk.
func (c *cluster) loseDisk(name string) {
	c.kill(name)
	c.wipeDisk(name)
	time.Sleep(time.Second)
	c.start(name)
}

// replaceLost kills a core machine permanently and starts a new one in its place.
func (c *cluster) replaceLost(name string) {
	c.kill(name)
	c.decommission(name)
	time.Sleep(time.Duration(c.intN(2000)) * time.Millisecond)
	if c.intN(2) == 0 {
		c.rotateSeeds()
	}
	c.start(c.addCore(false))
}

// replacePlanned starts a new core machine, and then shuts down the one that it replaces.
func (c *cluster) replacePlanned(name string) {
	if c.intN(2) == 0 {
		c.rotateSeeds()
	}
	c.start(c.addCore(false))
	time.Sleep(time.Second)
	c.decommission(name)
	c.terminate(name)
}

// decommission removes a core machine from coreNames permanently.
func (c *cluster) decommission(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.decommissioned[name] = true
}

// powerCycle simulates a short power failure of all core machines except one. Randomly chosen logs are left torn.
func (c *cluster) powerCycle(except string) {
	var names []string
	for _, name := range c.coreNames() {
		if name != except && c.alive(name) {
			names = append(names, name)
		}
	}
	for _, name := range names {
		c.kill(name)
		if c.intN(2) == 0 {
			c.tearLog(name)
		}
	}
	time.Sleep(time.Duration(100+c.intN(900)) * time.Millisecond)
	for _, name := range names {
		c.start(name)
	}
}

func (c *cluster) alive(name string) bool { return !c.machine(name).host.isDead() }
