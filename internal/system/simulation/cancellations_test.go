package simulation

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

const cancelledPath = "/q/00000000000000c1"

// cancellationScenarios are what happens between the answer to the cancellation of an unknown job and its submission, by name.
var cancellationScenarios = map[string]func(c *cluster){
	"nothing": func(*cluster) {},
	"the owner fails": func(c *cluster) {
		c.kill("core0")
		c.kill("core1")
		time.Sleep(time.Second)
		c.start("core0")
		c.start("core1")
		time.Sleep(catchUpTimeout)
	},
	"the core restarts": func(c *cluster) {
		c.restartCore(time.Second)
		time.Sleep(catchUpTimeout)
	},
	"the edge restarts": func(c *cluster) {
		c.kill("edge0")
		c.start("edge0")
	},
	"the route is moved": func(c *cluster) {
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
	},
	"the route is removed, added again elsewhere, and the core restarts": func(c *cluster) {
		c.putRoutes(routeP)
		c.putRoutes(clientRoute{"r", "/q/", otherService}, routeP)
		c.restartCore(time.Second)
		time.Sleep(catchUpTimeout)
	},
	"the route is moved and moved back": func(c *cluster) {
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
		c.client(http.MethodDelete, "/q/00000000000000c2", "")
		c.putRoutes(clientRoute{"q", "/q/", service}, routeP)
		c.checkRefused("/q/00000000000000c2")
	},
	"many unknown jobs are cancelled": func(c *cluster) {
		for n := range 500 {
			if status, text := c.client(http.MethodDelete, fmt.Sprintf("/q/%016x", 1<<32+n), ""); status != http.StatusGone {
				c.violation("UNASKED: the cancellation of an unknown job got status %d: %s", status, text)
			}
		}
	},
	"two minutes pass": func(*cluster) { time.Sleep(2 * time.Minute) },
}

// checkRefused checks that a job that was cancelled before is not accepted, and not shown.
func (c *cluster) checkRefused(path string) {
	if status, text := c.client(http.MethodPost, path, laterBody); status != http.StatusGone {
		c.violation("UNASKED: the submission of %s after its cancellation got status %d: %s", path, status, text)
	}
	if status, text := c.client(http.MethodGet, path, ""); status != http.StatusGone {
		c.violation("UNASKED: %s is shown with status %d: %s", path, status, text)
	}
}

// TestCancelledJobNeverStarts guards against the failure of review/13: a job started although its cancellation had been answered with
// 410, since a frozen edge scheduler forwarded its submission later. New jobs are accepted all the while.
func TestCancelledJobNeverStarts(t *testing.T) {
	for name, scenario := range cancellationScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, defaultTopology, func(_ *testing.T, c *cluster) {
				c.startOtherWorker()
				c.putRoutes(clientRoute{"q", "/q/", service}, routeP)
				if status, text := c.client(http.MethodDelete, cancelledPath, ""); status != http.StatusGone {
					c.violation("UNASKED: the cancellation of an unknown job got status %d: %s", status, text)
				}
				scenario(c)
				c.checkRefused(cancelledPath)
				c.submitAs("/q/00000000000000d1", laterBody)
				c.submitAs("/p/00000000000000c1", laterBody) // the ID under another path is another job
				time.Sleep(5 * time.Second)
				c.checkFound("at the end", "/q/00000000000000d1", laterBody, "completed")
				c.checkFound("at the end", "/p/00000000000000c1", laterBody, "completed")
			})
		})
	}
}
