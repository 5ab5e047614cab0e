package simulation

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"testing/synctest"
	"time"
)

var (
	seedCount = flag.Int("seeds", 3, "number of seeds to run")
	firstSeed = flag.Uint64("first", 1, "first seed")
)

// TestSystemThroughFaults injects random faults one at a time, and checks from the events at workers and the responses to
// clients and operators that nothing acknowledged is lost, no task runs twice, no configuration is reverted, and all jobs
// complete.
func TestSystemThroughFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runFaults(t, seed) })
		})
	}
}

func runFaults(t *testing.T, seed uint64) {
	c := newCluster(t, seed)
	defer c.logTimeline(t, seed)
	time.Sleep(2 * time.Second)
	if !c.putConfiguration(1, 0) {
		t.Error("the initial configuration was not applied")
	}
	ids, _ := c.submitJobs(60)
	for round := range 5 {
		c.injectFault()
		c.putConfiguration(int64(2+round), c.acknowledgedVersion)
		time.Sleep(5 * time.Second) // the faulty machine catches up before the next fault
	}
	time.Sleep(25 * time.Second)
	c.checkFinalState(t, ids)
	c.stop()
	time.Sleep(5 * time.Second) // until calls in flight time out
}

// injectFault injects one random fault and heals it.
func (c *cluster) injectFault() {
	core := "core" + strconv.Itoa(c.intN(coreCount))
	sideName := "side" + strconv.Itoa(c.intN(sideCount))
	wait := time.Duration(100+c.intN(4000)) * time.Millisecond
	switch c.intN(10) {
	case 0: // restart
		c.kill(core)
		time.Sleep(wait)
		c.start(core)
	case 1: // disk lost
		c.kill(core)
		c.wipeDisk(core)
		time.Sleep(wait)
		c.start(core)
	case 2: // partition
		c.partition(core, true, c.intN(2) == 0)
		time.Sleep(wait)
		c.partition(core, false, false)
	case 3: // power failure of all core machines
		for i := range coreCount {
			c.kill("core" + strconv.Itoa(i))
			c.tearLog("core" + strconv.Itoa(i))
		}
		time.Sleep(wait)
		for i := range coreCount {
			c.start("core" + strconv.Itoa(i))
		}
	case 4, 5, 6, 7, 9:
		c.injectPeripheralFault(peripheralFault(c.intN(int(peripheralFaults))), sideName, wait, false)
	case 8: // power failure of a core and a side machine
		c.kill(core)
		c.tearLog(core)
		c.kill(sideName)
		time.Sleep(wait)
		c.start(sideName)
		c.start(core)
	}
}
