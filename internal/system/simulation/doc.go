// Package simulation plays whole small systems on a virtual clock: the real daemons of all roles, with a network,
// workers, clients and an operator of its own, through cuts, kills, lost disks and crashed workers. It holds only
// tests. They print what happened as a timeline with one column for each scheduler.
package simulation
