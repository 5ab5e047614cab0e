//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	growingChanges = 17
	growingRoutes  = 350 // routes that a change adds, as in the site's big_config
	fewRoutes      = 1   // routes that a change adds without trouble
	changeEvery    = 1500 * time.Millisecond
	ownJobs        = 20
	coreRecover    = 16 * time.Second // recover_s is 12
	configReadFor  = 6 * time.Second  // contact_ms is 3,000
	exitDelay      = 500 * time.Millisecond
)

// grownConfiguration lets the configuration grow by several hundred routes a change, kills all core processes at the same
// moment and starts them again at once, their disks kept; a process that ends by itself is started again too. Then the operator
// reads the newest acknowledged configuration back, and clients ask for their jobs. Without trouble each change adds one route.
func grownConfiguration(r *rig, trouble bool) error {
	const name, prefix = "huvo11a", "/lohu930/"
	if err := r.startCluster(5, 2, 2); err != nil {
		return err
	}
	first := configuration(3, []map[string]any{route("r-zji9n73", prefix, name, 3)}, []map[string]any{service(name)})
	if err := r.change("PUT", 0, first); err != nil {
		return err
	}
	for _, side := range r.sides {
		r.startWorker(name, side, 16000, &history{}, shortTask)
	}
	if err := r.waitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var paths []string
	for n := range ownJobs {
		path := fmt.Sprintf("%s%016x", prefix, 0x10ab34c100000000+n)
		if !r.submit(n, path, []byte(`{"spec":"statement","stages":[{"count":3,"cpu":500,"mem_mb":256,"estimate_ms":400}]}`)) {
			return fmt.Errorf("a job was not accepted")
		}
		paths = append(paths, path)
	}
	routes := fewRoutes
	if trouble {
		routes = growingRoutes
	}
	newest := r.growConfiguration(name, routes)
	r.logUse()
	for _, m := range r.cores {
		r.kill(m)
	}
	restarts := r.keepRunning()
	time.Sleep(coreRecover)
	version := r.readVersion(newest)
	unanswered := r.askPaths(paths)
	r.log.printf("core processes were started %d times after the kill, the first five included", restarts())
	var broken []string
	if version < newest {
		broken = append(broken, fmt.Sprintf("LOST: configuration %d was acknowledged, read back at all machines for %v: %d (0: none)", newest, configReadFor, version))
	}
	if unanswered > 0 {
		broken = append(broken, fmt.Sprintf("LOST: %d of %d accepted jobs got no state within %v", unanswered, ownJobs, answerWait))
	}
	if len(broken) > 0 {
		return fmt.Errorf("%w: %s", errBroken, strings.Join(broken, "; "))
	}
	return nil
}

// growConfiguration sends one change after the other until one is not acknowledged, and returns the newest acknowledged version.
func (r *rig) growConfiguration(serviceName string, routes int) int {
	version := 3
	for n := range growingChanges {
		var added []map[string]any
		for i := range routes {
			label := fmt.Sprintf("%03d-%04d", n, i)
			added = append(added, route("r-"+label, "/idle"+label+"/", serviceName, 3))
		}
		patch, _ := json.Marshal(map[string]any{"version": version + 2, "upsert": map[string]any{"routes": added}})
		if !r.sendChange(patch, version) {
			r.log.printf("the change to version %d got no acknowledgement", version+2)
			return version
		}
		version += 2
		time.Sleep(changeEvery)
	}
	return version
}

// sendChange sends a patch until it is acknowledged, for ack_ms at least.
func (r *rig) sendChange(patch []byte, base int) bool {
	for try := range 8 {
		core := r.cores[try%len(r.cores)]
		status, text := send(http.MethodPatch, core.control(), "/sedgevale/config", core.control(),
			map[string]string{"If-Match": fmt.Sprint(base)}, patch, 2*time.Second)
		r.log.printf("operator PATCH If-Match %d, %d bytes, at %s -> %s", base, len(patch), core.name, answer(status, text))
		if status == http.StatusOK {
			return true
		}
		time.Sleep(250 * time.Millisecond)
	}
	return false
}

// keepRunning starts all core processes, and each again that ends, as the platform does. It returns a function that stops this and
// returns the number of starts.
func (r *rig) keepRunning() func() int {
	quit := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	starts := 0
	for _, m := range r.cores {
		group.Go(func() {
			for {
				if err := r.start(m); err != nil {
					return
				}
				mu.Lock()
				starts++
				mu.Unlock()
				select {
				case <-quit:
					return
				case <-m.exited:
					r.log.printf("%s ended by itself: %s", m.name, m.process.ProcessState)
				}
				select {
				case <-quit:
					return
				case <-time.After(exitDelay):
				}
			}
		})
	}
	return func() int {
		close(quit)
		group.Wait()
		return starts
	}
}

// readVersion reads the configuration at all machines again and again and returns the highest version that came, or 0.
func (r *rig) readVersion(wanted int) int {
	highest := 0
	for deadline := time.Now().Add(configReadFor); time.Now().Before(deadline); time.Sleep(250 * time.Millisecond) {
		for _, m := range r.cores {
			status, text := send(http.MethodGet, m.control(), "/sedgevale/config", m.control(), nil, nil, time.Second)
			var decoded struct {
				Version int `json:"version"`
			}
			if status == http.StatusOK && json.Unmarshal([]byte(text), &decoded) == nil {
				highest = max(highest, decoded.Version)
			}
			r.log.printf("operator GET at %s -> %d, version %d, %s", m.name, status, decoded.Version, text[:min(len(text), 120)])
			if highest >= wanted {
				return highest
			}
		}
	}
	return highest
}

// askPaths asks for jobs, again and again at all edges, and returns how many got no state in time.
func (r *rig) askPaths(paths []string) int {
	var mu sync.Mutex
	unanswered := 0
	var group sync.WaitGroup
	for _, path := range paths {
		group.Go(func() {
			for deadline := time.Now().Add(answerWait); time.Now().Before(deadline); time.Sleep(retryWait) {
				for _, edge := range r.edges {
					if status, state := r.state(edge, path); status == http.StatusOK && state != "" {
						return
					}
				}
			}
			mu.Lock()
			unanswered++
			mu.Unlock()
		})
	}
	group.Wait()
	return unanswered
}
