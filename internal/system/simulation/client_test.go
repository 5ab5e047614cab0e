package simulation

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// call sends an HTTP request as a client or an operator. The status is 0 if no response arrives within three seconds.
func (c *cluster) call(method, address, path, hostName, match, body string) (int, string) {
	h := c.network.host("10.9.9.9")
	client := &http.Client{Transport: &http.Transport{DialContext: h.dial, DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	request, _ := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	request.Host = hostName
	if match != "" {
		request.Header.Set("If-Match", match)
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	text, err := io.ReadAll(response.Body)
	if errors.Join(err, response.Body.Close()) != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// getConfigurationFrom reads the configuration from one core machine. The version is 0 unless the status is 200.
func (c *cluster) getConfigurationFrom(name string) (status int, version int64) {
	status, text := c.call(http.MethodGet, c.machine(name).ip+":80", "/sedgevale/config", "", "", "")
	if status == http.StatusOK {
		_, _ = fmt.Sscanf(text, `{"version":%d,`, &version)
	}
	return status, version
}

// putConfigurationTo sends a configuration to one core machine, without retries, and returns the HTTP status.
func (c *cluster) putConfigurationTo(name string, baseVersion, version int64, marker string) int {
	status, _ := c.call(http.MethodPut, c.machine(name).ip+":80", "/sedgevale/config", "", strconv.FormatInt(baseVersion, 10),
		configurationText(version, marker))
	return status
}

// putNextVersion sends the version after the last acknowledged one to a core machine, and reports whether it was
// acknowledged.
func (c *cluster) putNextVersion(name string) bool {
	status := c.putConfigurationTo(name, c.acknowledgedVersion, c.acknowledgedVersion+1, "")
	if status == http.StatusOK {
		c.acknowledgedVersion++
	}
	return status == http.StatusOK
}

// putConfiguration replaces the base version of the configuration, and retries until the outcome is known. It returns false
// if the configuration was rejected or the outcome is still unknown after all attempts.
func (c *cluster) putConfiguration(version, baseVersion int64) bool {
	body := fmt.Sprintf(`{"version":%d,"routes":[{"name":"q","host":"h","path_prefix":"/q/","timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"retries":20,"extension":2}],"services":[{"name":%q}]}`,
		version, service, service)
	for range 40 {
		m := c.anyCore()
		status, _ := c.call(http.MethodPut, m.ip+":80", "/sedgevale/config", "", strconv.FormatInt(baseVersion, 10), body)
		switch {
		case status == http.StatusOK:
			c.acknowledgedVersion = version
			return true
		case status >= 400 && status < 500:
			c.violation("CONFIG: version %d on base %d got status %d", version, baseVersion, status)
			return false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// submitJobs submits jobs in the background at random times within 30 seconds, and returns their IDs and the widths of their first
// stages.
func (c *cluster) submitJobs(count int) (ids []string, widths map[string]int) {
	widths = map[string]int{}
	random := rand.New(rand.NewPCG(c.random.Uint64(), 2))
	for i := range count {
		id := fmt.Sprintf("%016x", i+1)
		ids = append(ids, id)
		width := 1 + random.IntN(5)
		widths[id] = width
		delay := time.Duration(random.IntN(30000)) * time.Millisecond
		c.background.Add(1)
		go func() {
			time.Sleep(delay)
			c.submitJob(id, width)
		}()
	}
	return ids, widths
}

// jobBody returns the body of a job with two stages.
func jobBody(width int) string {
	return fmt.Sprintf(`{"spec":"x","stages":[{"count":%d,"cpu":%d,"estimate_ms":500},{"count":1,"cpu":%d,"estimate_ms":500,"depends_on":[0]}]}`,
		width, taskCPU, taskCPU)
}

// submitJob submits a job, and retries until it is accepted, at most 30 times.
func (c *cluster) submitJob(id string, width int) {
	defer c.background.Done()
	c.checker.mu.Lock()
	c.checker.submitted[id] = true
	c.checker.mu.Unlock()
	for range 30 {
		status, _ := c.call(http.MethodPost, "10.0.1.1:90", "/q/"+id, "h", "", jobBody(width))
		if status == http.StatusOK {
			c.mu.Lock()
			c.acceptedJobs[id] = true
			c.mu.Unlock()
			return
		}
		time.Sleep(400 * time.Millisecond)
	}
}

// repeatJobs posts accepted jobs again until stop is closed, and other jobs with their IDs. A repetition must not be answered with a
// status that says that the job never runs; 503 says it of the call alone while no owner is known. Another job must not be accepted.
func (c *cluster) repeatJobs(ids []string, widths map[string]int, stop <-chan struct{}) {
	for waitUnlessStopped(stop, time.Duration(200+c.intN(1500))*time.Millisecond) {
		id := ids[c.intN(len(ids))]
		c.mu.Lock()
		accepted := c.acceptedJobs[id]
		c.mu.Unlock()
		if !accepted {
			continue
		}
		if status, _ := c.call(http.MethodPost, "10.0.1.1:90", "/q/"+id, "h", "", jobBody(widths[id])); status >= 400 && status < 500 {
			c.violation("REPEAT: the accepted job %s was posted again and got status %d", id, status)
		}
		if status, _ := c.call(http.MethodPost, "10.0.1.1:90", "/q/"+id, "h", "", jobBody(widths[id]+1)); status == http.StatusOK {
			c.violation("REPEAT: another job was accepted under the ID of job %s", id)
		}
	}
}

// jobState returns a job's state. It retries until there is a response, at most 10 times.
func (c *cluster) jobState(id string) string {
	for range 10 {
		status, text := c.call(http.MethodGet, "10.0.1.1:90", "/q/"+id, "h", "", "")
		switch status {
		case http.StatusOK:
			for _, s := range []string{"queued", "running", "completed", "failed", "cancelled"} {
				if strings.Contains(text, s) {
					return s
				}
			}
		case http.StatusGone:
			return "gone"
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "no answer"
}
