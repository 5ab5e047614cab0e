//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// staleOrder sends an order whose version is not above the current one: the text of an earlier change, on top of the current version.
func staleOrder(log *record, trouble bool) int {
	c, err := newCluster(log, 3, 1, 0)
	if err != nil {
		log.say("can't run: %v", err)
		return invalid
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		log.say("can't run: %v", err)
		return invalid
	}
	calls := &caller{log}
	if !calls.configure(c.cores, configuration(5, route(queue, prefix, 4)), 15*time.Second) {
		log.say("can't run: the system doesn't start")
		return invalid
	}
	add := fmt.Sprintf(`{"version":7,"upsert":{"routes":[%s]}}`, route("r-hh2b9wu", "/pufi791/", 2))
	remove := `{"version":9,"remove":{"routes":["r-hh2b9wu"]}}`
	if status, _ := calls.operator(c.cores[0], http.MethodPatch, "5", add); status != http.StatusOK {
		log.say("can't run: version 7 is not taken: %d", status)
		return invalid
	}
	if status, _ := calls.operator(c.cores[1], http.MethodPatch, "7", remove); status != http.StatusOK {
		log.say("can't run: version 9 is not taken: %d", status)
		return invalid
	}
	acknowledged := false
	if trouble {
		// Invalid: version 7 is not above the current version 9. It wants a 4xx (a 5xx or no answer would be no acknowledgement).
		status, _ := calls.operator(c.cores[2], http.MethodPatch, "9", add)
		acknowledged = status/100 == 2
		log.say("the order of version 7 on top of version 9 gets %d", status)
	}
	time.Sleep(2 * time.Second) // config_apply_ms
	status, text := calls.operator(c.cores[0], http.MethodGet, "", "")
	var read struct {
		Version int
		Routes  []struct{ Name string }
	}
	if status != http.StatusOK || json.Unmarshal([]byte(text), &read) != nil {
		log.say("can't judge: the configuration can't be read")
		return invalid
	}
	client, _ := calls.client(c.edges[0], http.MethodGet, "/pufi791/", "")
	log.say("the configuration read back is version %d with %d route(s); a client of the route that was added gets %d", read.Version, len(read.Routes), client)
	if acknowledged {
		return broken
	}
	return held
}
