// Package simulation tests small clusters on a virtual clock: the real daemons of all roles, on a simulated network with
// fake workers, clients and operators, under injected faults: partitions, crashes, lost disks, power failures, crashed
// workers. It holds only tests. A test that fails prints a timeline with one column for each scheduler.
package simulation
