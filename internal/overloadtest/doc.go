// Package overloadtest starts real scheduler processes with low limits of memory and descriptors, lets a crowd of clients
// misbehave at one of their ports, and checks that the process lives, stays within its limits and still answers an ordinary
// request. It contains only tests, which need the build tag overload; they run one at a time, apart from other load.
package overloadtest
