//go:build review

package main

// cases holds the scripted cases by name. Each file of a case adds its own.
var cases = map[string]func(c *cluster, trouble bool) error{}
