package core

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"sedgevale/internal/system/clusterconfig"
)

// formerRoutesDigest returns a hash of former routes, which is not 0.
func formerRoutesDigest(former []clusterconfig.FormerRoute) int64 {
	hash := xxhash.New()
	for _, route := range former {
		_, _ = hash.WriteString(route.Endpoint + " " + route.Service + " " + strconv.FormatInt(route.Until, 10) + "\n")
	}
	return int64(hash.Sum64() | 1)
}

// shards returns the names of all shards in which jobs may be stored: those of the configured services, and of services that
// earlier configurations sent queues to.
func (s *configState) shards() []string {
	var names []string
	known := map[string]bool{}
	add := func(name string) {
		if !known[name] {
			known[name] = true
			names = append(names, name)
		}
	}
	for i := range s.config.Services {
		add(s.config.Services[i].Name)
	}
	for _, route := range s.record.Former {
		add(route.Service)
	}
	return names
}
