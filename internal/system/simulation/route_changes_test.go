package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"sedgevale/internal/system/core"
)

const (
	otherService       = "other"         // a second service, of the worker on the last side machine
	configApplyTimeout = 2 * time.Second // within which an acknowledged configuration is in force at all edge schedulers
)

// clientRoute is a route of the configuration: its name, path prefix and service.
type clientRoute struct{ name, prefix, service string }

// routesText returns a configuration with the given routes and both services.
func routesText(version int64, routes []clientRoute) string {
	var texts []string
	for _, route := range routes {
		texts = append(texts, fmt.Sprintf(`{"name":%q,"host":"h","path_prefix":%q,"timeout_ms":3000,"target_latency_ms":1000,"priority":0,`+
			`"service":%q,"retries":20,"extension":2}`, route.name, route.prefix, route.service))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":%q},{"name":%q}]}`, version, strings.Join(texts, ","), service, otherService)
}

// startOtherWorker replaces the worker of the last side machine by one of the other service.
func (c *cluster) startOtherWorker() {
	c.workerServices = map[string]string{"side2": otherService}
	c.workers["side2"].crash()
	c.startWorker("side2")
	time.Sleep(6 * time.Second) // the owner knows of the crash
}

// putRoutes replaces the routes of the configuration.
func (c *cluster) putRoutes(routes ...clientRoute) {
	c.putText(routesText(c.acknowledgedVersion+1, routes))
}

// putText replaces the configuration.
func (c *cluster) putText(text string) {
	for range 40 {
		status, answer := c.call(http.MethodPut, c.anyCore().ip+":80", "/sedgevale/config", "", strconv.FormatInt(c.acknowledgedVersion, 10), text)
		if status == http.StatusOK {
			c.acknowledgedVersion++
			return
		}
		if status >= 400 && status < 500 {
			c.violation("CONFIG: version %d got status %d: %s", c.acknowledgedVersion+1, status, answer)
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.violation("CONFIG: version %d was not acknowledged", c.acknowledgedVersion+1)
}

// client sends a request about a job to the edge scheduler, until the answer is neither silence nor a 5xx status, at most 40 times.
func (c *cluster) client(method, path, body string) (status int, text string) {
	for range 40 {
		if status, text = c.call(method, edgeAddress, path, "h", "", body); status > 0 && status < 500 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status, text
}

// setSubmitted says whether tasks of a job may start.
func (c *cluster) setSubmitted(id string, submitted bool) {
	c.checker.mu.Lock()
	defer c.checker.mu.Unlock()
	c.checker.submitted[id] = submitted
}

// submitAs submits a job until it is accepted.
func (c *cluster) submitAs(path, body string) {
	c.setSubmitted(path[len(path)-16:], true)
	if status, text := c.client(http.MethodPost, path, body); status != http.StatusOK {
		c.violation("SUBMIT: %s got status %d: %s", path, status, text)
	}
}

// checkFound checks that an accepted job is found under the path that it was submitted under, and that it is in one of some states.
func (c *cluster) checkFound(when, path, body string, states ...string) {
	if status, text := c.client(http.MethodPost, path, body); status != http.StatusOK {
		c.violation("%s: LOST: the repetition of %s got status %d: %s", when, path, status, text)
	}
	status, text := c.client(http.MethodGet, path, "")
	for _, state := range states {
		if status == http.StatusOK && strings.Contains(text, state) {
			return
		}
	}
	c.violation("%s: LOST: %s is shown with status %d: %s, want %v", when, path, status, text, states)
}

const (
	waitingBody = `{"spec":"x","stages":[{"count":2,"cpu":500,"estimate_ms":500}],"repeat":2,"start_at_ms":4102444800000}` // the year 2100
	laterBody   = `{"spec":"y","stages":[{"count":1,"cpu":500,"estimate_ms":500}]}`
)

// runRouteScenario runs a scenario on a cluster with the routes /q/ and /p/ of the first service, a job of /q/ that has completed, and
// one that waits until it is cancelled.
func runRouteScenario(t *testing.T, scenario func(c *cluster, check func(when string))) {
	runScenario(t, defaultTopology, func(_ *testing.T, c *cluster) {
		c.startOtherWorker()
		c.putRoutes(clientRoute{"q", "/q/", service}, routeP)
		c.submitAs("/q/00000000000000a1", jobBody(3))
		c.submitAs("/q/00000000000000a2", waitingBody)
		time.Sleep(8 * time.Second)
		state := "queued"
		check := func(when string) {
			c.checkFound(when, "/q/00000000000000a1", jobBody(3), "completed")
			c.checkFound(when, "/q/00000000000000a2", waitingBody, state)
		}
		check("before")
		scenario(c, check)
		if status, text := c.client(http.MethodDelete, "/q/00000000000000a2", ""); status != http.StatusOK {
			c.violation("UNASKED: the cancellation of a job got status %d: %s", status, text)
		}
		state = "cancelled"
		check("after the cancellation")
	})
}

// routeP is a route that the scenarios leave as it is.
var routeP = clientRoute{"p", "/p/", service}

// routeScenarios are changes of the route of a job, by name. They call check after each change.
var routeScenarios = map[string]func(c *cluster, check func(when string)){
	"moved": func(c *cluster, check func(string)) {
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
		check("moved")
		c.submitAs("/q/00000000000000b1", laterBody)
		time.Sleep(5 * time.Second)
		c.checkFound("moved", "/q/00000000000000b1", laterBody, "completed")
	},
	"moved under another name, and back": func(c *cluster, check func(string)) {
		c.putRoutes(clientRoute{"r", "/q/", otherService}, routeP)
		check("moved")
		c.submitAs("/q/00000000000000b1", laterBody)
		c.putRoutes(clientRoute{"s", "/q/", service}, routeP)
		check("moved back")
		c.checkFound("moved back", "/q/00000000000000b1", laterBody, "queued", "running", "completed")
		c.submitAs("/q/00000000000000b2", laterBody)
		time.Sleep(5 * time.Second)
		c.checkFound("moved back", "/q/00000000000000b2", laterBody, "completed")
	},
	"removed, and added again": func(c *cluster, check func(string)) {
		c.putRoutes(routeP)
		check("removed")
		if status, _ := c.client(http.MethodPost, "/q/00000000000000b1", laterBody); status != http.StatusNotFound {
			c.violation("CONFIG: a new job of a removed route got status %d", status)
		}
		c.putRoutes(clientRoute{"r", "/q/", otherService}, routeP)
		check("added again")
		c.putRoutes(routeP)
		c.putRoutes(clientRoute{"q", "/q/", service}, routeP)
		check("added again for the first service")
	},
	"its name given to another prefix": func(c *cluster, check func(string)) {
		c.putRoutes(clientRoute{"q", "/x/", service}, clientRoute{"r", "/q/", otherService})
		check("renamed")
		c.checkNotFound("/x/00000000000000a2")
	},
	"moved, the core restarts": func(c *cluster, check func(string)) {
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
		c.restartCore(time.Second)
		time.Sleep(catchUpTimeout)
		check("restarted")
	},
	"moved while the owner fails": func(c *cluster, check func(string)) {
		c.kill("core0")
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
		check("while it is down")
		c.start("core0")
		c.kill("core1")
		check("while another one is down")
		c.start("core1")
		time.Sleep(catchUpTimeout)
	},
	"its service removed, the core restarts": func(c *cluster, check func(string)) {
		c.putRoutes(clientRoute{"q", "/q/", otherService})
		c.putText(fmt.Sprintf(`{"version":%d,"routes":[],"services":[{"name":%q}]}`, c.acknowledgedVersion+1, otherService))
		c.restartCore(time.Second)
		time.Sleep(catchUpTimeout)
		check("restarted")
	},
	"moved, the edge restarts": func(c *cluster, check func(string)) {
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
		c.kill("edge0")
		c.start("edge0")
		check("restarted")
	},
	"sharing its service": func(c *cluster, check func(string)) {
		c.checkNotFound("/p/00000000000000a2")
		check("after the calls of the other queue")
	},
}

// TestChangedRouteKeepsItsJobs guards against the failure of review/11: a job was unknown, and ran again when it was posted again, once
// its endpoint had been given to another service.
func TestChangedRouteKeepsItsJobs(t *testing.T) {
	for name, scenario := range routeScenarios {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runRouteScenario(t, scenario)
		})
	}
}

// TestFormerRoutesAreForgotten checks that the register keeps the former route of an endpoint while a job of it is known, also through
// takeovers, and forgets it later.
func TestFormerRoutesAreForgotten(t *testing.T) {
	t.Parallel()
	runScenario(t, defaultTopology, func(_ *testing.T, c *cluster) {
		const path = "/q/00000000000000a2"
		c.startOtherWorker()
		c.putRoutes(clientRoute{"q", "/q/", service}, routeP)
		c.submitAs(path, waitingBody)
		c.putRoutes(clientRoute{"q", "/q/", otherService}, routeP)
		for range 4 {
			time.Sleep(time.Minute)
			c.restartCore(time.Second)
		}
		time.Sleep(catchUpTimeout)
		c.checkFormerRoutes(", 1 former routes")
		c.checkFound("after four minutes", path, waitingBody, "queued")
		if status, text := c.client(http.MethodDelete, path, ""); status != http.StatusOK {
			c.violation("UNASKED: the cancellation of a job got status %d: %s", status, text)
		}
		time.Sleep(4 * time.Minute)
		c.checkFormerRoutes("configuration 3\n")
		c.submitAs(path, laterBody)
		time.Sleep(5 * time.Second)
		c.checkFound("accepted again after it was forgotten", path, laterBody, "completed")
	})
}

// checkFormerRoutes checks that the description of the state of core0 contains a text.
func (c *cluster) checkFormerRoutes(want string) {
	c.kill("core0")
	var text strings.Builder
	if err := core.Describe(c.machine("core0").dir, &text); err != nil || !strings.Contains(text.String(), want) {
		c.violation("the state of core0 is %s, error %v, want %q in it", text.String(), err, want)
	}
	c.start("core0")
	time.Sleep(catchUpTimeout)
}

// checkNotFound checks that the path of another queue neither shows, cancels nor repeats a job, which runs under its own path.
func (c *cluster) checkNotFound(path string) {
	if status, text := c.client(http.MethodGet, path, ""); status != http.StatusGone {
		c.violation("MIXED: %s got status %d: %s", path, status, text)
	}
	if status, text := c.client(http.MethodDelete, path, ""); status != http.StatusGone {
		c.violation("LOST: the cancellation of %s got status %d: %s", path, status, text)
	}
	if status, text := c.client(http.MethodPost, path, waitingBody); status != http.StatusConflict {
		c.violation("MIXED: the submission of %s got status %d: %s", path, status, text)
	}
}

// TestRoutesChangeThroughFaults moves, removes and adds routes at random while jobs are submitted and faults are injected, and checks
// that each accepted job is found under its path, completes, and runs once, and that no job runs that was unknown when it was cancelled.
func TestRoutesChangeThroughFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runRouteChanges(t, seed) })
		})
	}
}

func runRouteChanges(t *testing.T, seed uint64) {
	c := newCluster(t, seed)
	defer c.logTimeline(t, seed)
	c.startOtherWorker()
	random := rand.New(rand.NewPCG(seed, 87))
	h := &routeHistory{cluster: c, random: random, services: map[string]string{"/a/": service, "/b/": service, "/c/": service}, bodies: map[string]string{}}
	h.putRoutes()
	stop := make(chan struct{})
	faults := make(chan struct{})
	go func() {
		defer close(faults)
		for waitUnlessStopped(stop, time.Duration(c.intN(4000))*time.Millisecond) {
			c.injectFault()
			time.Sleep(5 * time.Second)
		}
	}()
	for n := range 60 {
		if n%4 == 3 {
			h.services[h.anyPrefix()] = []string{service, otherService, ""}[random.IntN(3)]
			h.putRoutes()
		}
		h.submit(fmt.Sprintf("%016x", n+1))
		if n%3 == 0 {
			h.cancelUnknown(fmt.Sprintf("%016x", 1<<40+n))
		}
		h.submitCancelled()
		h.checkSome()
		time.Sleep(time.Duration(random.IntN(600)) * time.Millisecond)
	}
	close(stop)
	<-faults
	time.Sleep(30 * time.Second)
	for path, body := range h.bodies {
		c.checkFound("at the end", path, body, "completed")
	}
	c.checker.mu.Lock()
	for _, violation := range c.checker.violations {
		t.Error(violation)
	}
	c.checker.mu.Unlock()
	t.Logf("%d jobs accepted, configuration version %d", len(h.bodies), c.acknowledgedVersion)
	c.stop()
	time.Sleep(10 * time.Second)
}

// routeHistory is a random history of jobs and changes of their routes.
type routeHistory struct {
	cluster   *cluster
	random    *rand.Rand
	services  map[string]string // by path prefix; empty if there is no route
	paths     []string          // of the accepted jobs
	bodies    map[string]string // by path
	cancelled []string          // paths of jobs whose cancellation was answered with 410
}

func (h *routeHistory) anyPrefix() string { return []string{"/a/", "/b/", "/c/"}[h.random.IntN(3)] }

// putRoutes puts a configuration with routes for the services, under random names.
func (h *routeHistory) putRoutes() {
	var routes []clientRoute
	for _, prefix := range []string{"/a/", "/b/", "/c/"} {
		if h.services[prefix] != "" {
			routes = append(routes, clientRoute{fmt.Sprintf("%d%s", h.random.IntN(3), prefix), prefix, h.services[prefix]})
		}
	}
	h.cluster.putRoutes(routes...)
}

// submit submits a job under a random prefix. It must be accepted if there is a route.
func (h *routeHistory) submit(id string) {
	c, prefix, body := h.cluster, h.anyPrefix(), jobBody(1+h.random.IntN(3))
	c.setSubmitted(id, true)
	status, _ := c.client(http.MethodPost, prefix+id, body)
	if status == http.StatusNotFound && h.services[prefix] != "" {
		time.Sleep(configApplyTimeout)
		status, _ = c.client(http.MethodPost, prefix+id, body)
	}
	if status == http.StatusOK {
		h.paths = append(h.paths, prefix+id)
		h.bodies[prefix+id] = body
	} else if h.services[prefix] != "" {
		c.violation("SUBMIT: %s of a route that is there got status %d", prefix+id, status)
	}
}

// checkSome checks that some of the accepted jobs are found.
func (h *routeHistory) checkSome() {
	for _, path := range h.paths {
		if h.random.IntN(8) == 0 {
			h.cluster.checkFound("meanwhile", path, h.bodies[path], "queued", "running", "completed")
		}
	}
}

// cancelUnknown cancels a job that was not submitted, or whose submission is still on its way.
func (h *routeHistory) cancelUnknown(id string) {
	c, path := h.cluster, h.anyPrefix()+id
	submitted := make(chan int, 1)
	inFlight := h.random.IntN(2) == 0
	c.setSubmitted(id, inFlight)
	if inFlight {
		go func() {
			status, _ := c.call(http.MethodPost, edgeAddress, path, "h", "", jobBody(1))
			submitted <- status
		}()
		time.Sleep(time.Duration(h.random.IntN(4000)) * time.Microsecond)
	}
	status, _ := c.client(http.MethodDelete, path, "")
	if status == http.StatusGone {
		h.cancelled = append(h.cancelled, path)
		c.setSubmitted(id, false)
	}
	if inFlight && <-submitted == http.StatusOK && status == http.StatusGone {
		c.violation("UNASKED: %s was accepted, and its cancellation answered with 410", path)
	}
}

// submitCancelled submits a job whose cancellation was answered with 410. It must not be accepted.
func (h *routeHistory) submitCancelled() {
	if len(h.cancelled) == 0 {
		return
	}
	path := h.cancelled[h.random.IntN(len(h.cancelled))]
	if status, _ := h.cluster.client(http.MethodPost, path, jobBody(1)); status == http.StatusOK {
		h.cluster.violation("UNASKED: %s was accepted after its cancellation was answered with 410", path)
	}
}
