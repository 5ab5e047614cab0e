// Package resourcequota bounds what a process holds for its peers before their requests are admitted: the connections, and the
// bytes of requests and answers in memory. All servers of a process share one Quota.
package resourcequota

import (
	"math"

	"golang.org/x/sys/unix"
)

// Limits bound what a process holds for its peers. All sizes are in bytes.
type Limits struct {
	RequestBytes    int64 `json:"request_bytes"`    // memory for requests and large answers
	SmallBytes      int64 `json:"small_bytes"`      // part of RequestBytes that requests of more than SmallRequest cannot use
	ConnectionBytes int64 `json:"connection_bytes"` // memory for connections, each of which costs what its port's Receive says
	Connections     int   `json:"connections"`      // open connections
}

// SmallRequest is the largest memory of a request, in bytes, that may use the part of the quota reserved for small requests.
const SmallRequest = 64 << 10

// Shares of a machine's memory and descriptors. A quarter of the memory for requests and a quarter for connections leave half to
// the state of the process and to the collector.
const (
	requestShare    = 4 // divisor of the memory
	smallShare      = 4 // divisor of RequestBytes
	connectionShare = 4 // divisor of the memory
	portShare       = 4 // one port leaves a quarter of the connections to the others

	reservedDescriptors = 200 // for files and for what is not a connection
	dialShare           = 2   // divisor of the other descriptors: those for connections that the process opens to serve requests
	minConnections      = 16
)

// LimitsFor derives limits from the memory in bytes and the descriptors that the process may use. A value of 0 or less means that
// of the machine.
func LimitsFor(memory int64, descriptors int) Limits {
	if memory <= 0 {
		memory = machineMemory()
	}
	if descriptors <= 0 {
		descriptors = processDescriptors()
	}
	sockets := max(0, descriptors-reservedDescriptors)
	request := memory / requestShare
	return Limits{
		RequestBytes: request, SmallBytes: request / smallShare, ConnectionBytes: memory / connectionShare,
		Connections: max(minConnections, sockets-sockets/dialShare),
	}
}

// defaultMemory is assumed in bytes if the machine does not tell its memory.
const defaultMemory = 256 << 20

// machineMemory returns the memory of the machine in bytes.
func machineMemory() int64 {
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err != nil || info.Totalram == 0 {
		return defaultMemory
	}
	return int64(info.Totalram) * int64(info.Unit)
}

// processDescriptors returns the soft limit of descriptors of the process.
func processDescriptors() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		return math.MaxInt32
	}
	return int(limit.Cur)
}

// SetRequestBytes sets the memory for requests, of which the same share as by default is reserved for small ones.
func (l *Limits) SetRequestBytes(bytes int64) {
	l.RequestBytes = bytes
	l.SmallBytes = bytes / smallShare
}
