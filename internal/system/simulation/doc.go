// Package simulation contains the integration tests of whole clusters on a virtual clock: the real schedulers of all roles
// run on a simulated network with fake workers, clients and operators, while faults are injected: network partitions,
// process and worker crashes, lost disks and power failures. A failed test prints a timeline with one column per scheduler.
package simulation
