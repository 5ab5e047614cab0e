//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["large-state"] = largeState }

const (
	storedJobs   = 15500 // of at most 20,000 unfinished ones
	submitters   = 48
	specBytes    = 4000 // "a text of up to 4,000 bytes"
	coreDownTime = 800 * time.Millisecond
	recoverBound = 12 * time.Second // recover_s
	askTime      = 7 * time.Second  // more than contact_ms
	askedJobs    = 20
)

// scheduledBody returns a job that is due in three hours, whose text has the greatest length.
func scheduledBody() string {
	stage := `{"count":13,"cpu":520,"mem_mb":1500,"estimate_ms":3600,"checkpoints":true,"affinity_to":"r1-1"}`
	return fmt.Sprintf(`{"spec":%q,"stages":[%s,%s],"repeat":1,"start_at_ms":%d,"interval_ms":1000}`, strings.Repeat("s", specBytes), stage,
		strings.Replace(stage, "}", `,"depends_on":[0]}`, 1), time.Now().Add(3*time.Hour).UnixMilli())
}

// largeState: clients hand in scheduled jobs with long texts, until a shard holds over 64 MiB. Then all processes of the core are killed at
// the same moment and are back within a second, with their disks. The configuration must be read back, and the jobs must be known.
func largeState(c *cluster, trouble bool) error {
	c.coreMemoryMB, c.coreDiskMB = 664, 320 // those of bpwl-portal-large
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.putConfig(0, configuration(1, []route{newRoute("r-1", "/pule252/", "towerdesk", 2)})); err != nil {
		return err
	}
	for _, side := range c.sides {
		c.newWorker(side, "towerdesk", 16000, func(string, int64) (time.Duration, string) { return time.Second, "done" })
	}
	time.Sleep(3 * time.Second)
	begin := time.Now()
	accepted := c.submitMany()
	c.record.note("clients: %d of %d jobs of %d bytes were accepted in %v", len(accepted), storedJobs, len(scheduledBody()), time.Since(begin).Round(time.Second))
	if len(accepted) < storedJobs*99/100 {
		return fmt.Errorf("only %d jobs were accepted", len(accepted))
	}
	time.Sleep(time.Second)
	for _, p := range c.cores {
		c.record.note("%s: peak memory %s, %d bytes on disk", p.name, p.peakMemory(), c.diskUse(p))
	}
	if trouble {
		for _, p := range c.cores {
			c.kill(p)
		}
		time.Sleep(coreDownTime)
		for _, p := range c.cores {
			if err := c.start(p, false); err != nil {
				return err
			}
		}
		c.record.note("all core processes are started again")
	}
	ends := c.keepRunning(recoverBound, map[*process]time.Time{})
	c.record.note("ends by themselves, by process: %v", ends)
	readBack := c.readBack()
	unknown := 0
	for i := range askedJobs {
		id := accepted[i*len(accepted)/askedJobs]
		status := 0
		for attempt := 0; attempt < 2 && status != http.StatusOK; attempt++ {
			status, _ = c.job(clientDeadline/3, http.MethodGet, c.edges[attempt%edgeCount], "/pule252/", id, "")
		}
		if status != http.StatusOK {
			unknown++
		}
	}
	if !readBack || unknown > 0 {
		return brokenf("LOST: the acknowledged configuration is read back: %t; %d of %d accepted jobs that were asked for have no state", readBack, unknown, askedJobs)
	}
	return nil
}

// submitMany hands storedJobs jobs in and returns the IDs of those that were accepted.
func (c *cluster) submitMany() []string {
	var mu sync.Mutex
	var accepted []string
	var group sync.WaitGroup
	numbers := make(chan int)
	for n := range submitters {
		group.Go(func() {
			client := &http.Client{Timeout: clientDeadline, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for range numbers {
				id, body := newJobID(), scheduledBody()
				for attempt := range 8 {
					edge := c.edges[(n+attempt)%edgeCount]
					if post(client, "http://"+address(edge.ip, c.ports.frontend)+"/pule252/"+id, body) == http.StatusOK {
						mu.Lock()
						accepted = append(accepted, id)
						mu.Unlock()
						break
					}
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	begin := time.Now()
	for n := range storedJobs {
		if time.Since(begin) > 75*time.Second {
			break
		}
		numbers <- n
	}
	close(numbers)
	group.Wait()
	return accepted
}

// post sends one request and returns the status, or 0.
func post(client *http.Client, url, body string) int {
	request, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// readBack reports whether the operator reads the configuration back at any core machine.
func (c *cluster) readBack() bool {
	for deadline := time.Now().Add(askTime); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		for _, core := range c.cores {
			status, text := call(time.Second, http.MethodGet, address(core.ip, c.ports.control), "", "/sedgevale/config", "")
			c.record.note("operator: GET configuration at %s -> %d %s", core.name, status, shorten(text))
			if status == http.StatusOK && strings.Contains(text, `"version":1`) {
				return true
			}
		}
	}
	return false
}
