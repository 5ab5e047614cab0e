package simulation

import (
	"fmt"
	"testing"
	"time"
)

const (
	returnedJobs = 20
	// missedDeletions is longer than ended jobs are kept: 1.25 times the 120 s of the settings.
	missedDeletions = 170 * time.Second
)

// TestReturnedReplicaRevivesNoJob guards against the failure of review/3: a core machine that was away, or cut off from the owner
// alone, while jobs completed and were deleted brought them back at the takeover by the next owner, and their tasks ran again.
func TestReturnedReplicaRevivesNoJob(t *testing.T) {
	absences := map[string]struct {
		begin, end func(c *cluster, away, owner string)
	}{
		"killed": {
			begin: func(c *cluster, away, _ string) { c.kill(away) },
			end:   func(c *cluster, away, _ string) { c.start(away) },
		},
		"cut off from the owner": {
			begin: func(c *cluster, away, owner string) { c.partitionFrom(away, true, owner) },
			end:   func(c *cluster, away, owner string) { c.partitionFrom(away, false, owner) },
		},
	}
	for name, absence := range absences {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runScenario(t, topology{cores: 3, tolerance: 1}, func(t *testing.T, c *cluster) {
				owner := rendezvousOwner(c, c.coreNames())
				away := c.coreNames()[0]
				if away == owner {
					away = c.coreNames()[1]
				}
				var ids []string
				for i := range returnedJobs {
					ids = append(ids, fmt.Sprintf("%016x", i+1))
					c.background.Add(1)
					go c.submitJob(ids[i], 4)
				}
				time.Sleep(600 * time.Millisecond)
				absence.begin(c, away, owner)
				time.Sleep(20 * time.Second)
				c.checkJobs(t, ids)
				time.Sleep(missedDeletions)
				c.kill(owner)
				absence.end(c, away, owner)
				time.Sleep(15 * time.Second)
				for _, id := range ids {
					if state := c.jobState(id); state != "gone" {
						t.Errorf("job %s was completed and deleted, but has state %q under the new owner", id, state)
					}
				}
				c.start(owner)
			})
		})
	}
}
