package simulation

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"
)

// The outcomes of a configuration change.
const (
	changeApplied  = iota
	changeRejected // another version is current; the change is not and will not be applied
	changeUnknown  // the change may have been applied, or may still be
)

// configChange is an operator's request: a change of the configuration, or a read of it if read is set.
type configChange struct {
	read        bool
	baseVersion int64
	version     int64
	marker      string // distinguishes changes with the same version
}

type changeResult struct {
	outcome int
	version int64  // version that was read
	marker  string // marker that was read
}

// history records the calls of all operators, for the check of linearizability.
type history struct {
	mu      sync.Mutex
	calls   []porcupine.Operation
	started time.Time
}

func (h *history) add(client int, input configChange, output changeResult, call, returned time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	operation := porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: call.Sub(h.started).Nanoseconds(), Return: returned.Sub(h.started).Nanoseconds(),
	}
	if output.outcome == changeUnknown {
		operation.Return = time.Hour.Nanoseconds() // the change may be applied at any time after the call, or never
	}
	h.calls = append(h.calls, operation)
}

// registerState is the state of casRegister.
type registerState struct {
	version int64
	marker  string
}

// casRegister models the configuration as a compare-and-swap register. A change applies if its base version is current and
// its version is higher.
var casRegister = porcupine.NondeterministicModel{
	Init: func() []any { return []any{registerState{}} },
	Step: func(state, input, output any) []any {
		current, change, got := state.(registerState), input.(configChange), output.(changeResult)
		next := registerState{change.version, change.marker}
		matches := current.version == change.baseVersion && change.version > current.version
		switch {
		case change.read && got == changeResult{version: current.version, marker: current.marker}:
			return []any{current}
		case change.read:
			return nil
		case got.outcome == changeApplied && matches:
			return []any{next}
		case got.outcome == changeRejected && !matches:
			return []any{current}
		case got.outcome == changeUnknown && matches:
			return []any{current, next}
		case got.outcome == changeUnknown:
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable reports whether the history is linearizable. It returns true if the check does not finish within 20 seconds.
func (h *history) linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := casRegister.ToModel()
	return porcupine.CheckOperationsTimeout(model, h.calls, 20*time.Second) != porcupine.Illegal
}

// configurationText returns a configuration with a single route.
func configurationText(version int64, marker string) string {
	return fmt.Sprintf(`{"version":%d,"note":%q,"routes":[{"name":"q","host":"h","path_prefix":"/q/","timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"retries":20,"extension":2}],"services":[{"name":%q}]}`,
		version, marker, service, service)
}

// putUntilOutcomeKnown sends a change to random core machines until its outcome is known, for at most 15 seconds.
func (c *cluster) putUntilOutcomeKnown(client int, change configChange, h *history) int {
	began := time.Now()
	body := configurationText(change.version, change.marker)
	result := changeResult{outcome: changeUnknown}
	for time.Since(began) < 15*time.Second {
		status, _ := c.call(http.MethodPut, c.anyCore().ip+":80", "/sedgevale/config", "", strconv.FormatInt(change.baseVersion, 10), body)
		if status == http.StatusOK {
			result.outcome = changeApplied
			break
		}
		if status == http.StatusPreconditionFailed {
			result.outcome = changeRejected
			break
		}
		if status >= 400 && status < 500 {
			c.violation("CONFIG: version %d on base %d got status %d", change.version, change.baseVersion, status)
			break
		}
		time.Sleep(time.Duration(50+c.intN(300)) * time.Millisecond)
	}
	h.add(client, change, result, began, time.Now())
	return result.outcome
}

// readConfiguration reads the configuration. It retries with random core machines until the timeout.
func (c *cluster) readConfiguration(client int, h *history, timeout time.Duration) (registerState, bool) {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(200 * time.Millisecond) {
		sent := time.Now()
		status, text := c.call(http.MethodGet, c.anyCore().ip+":80", "/sedgevale/config", "", "", "")
		var got registerState
		if status != http.StatusOK || !strings.HasPrefix(text, "{") {
			continue
		}
		if _, err := fmt.Sscanf(text, `{"version":%d,"note":%q,`, &got.version, &got.marker); err != nil {
			c.violation("CONFIG: cannot decode the response %q: %v", text, err)
			return got, false
		}
		h.add(client, configChange{read: true}, changeResult{version: got.version, marker: got.marker}, sent, time.Now())
		return got, true
	}
	return registerState{}, false
}

// repeatApplied sends an applied change once more. It must be acknowledged again or left without a clear answer, however many changes
// came since.
func (c *cluster) repeatApplied(change configChange) {
	if status := c.putConfigurationTo(c.anyCore().name, change.baseVersion, change.version, change.marker); status >= 400 && status < 500 {
		c.violation("CONFIG: a repetition of version %d on base %d, which was acknowledged, got status %d", change.version, change.baseVersion, status)
	}
}

// sendOnCurrentBase sends the text of an applied change on top of the version that is current by now. That is another change, and
// invalid.
func (c *cluster) sendOnCurrentBase(change configChange, currentVersion int64) {
	if status := c.putConfigurationTo(c.anyCore().name, currentVersion, change.version, change.marker); status == http.StatusOK {
		c.violation("CONFIG: the text of version %d was acknowledged on base %d", change.version, currentVersion)
	}
}

// runOperator simulates an operator who changes the configuration repeatedly until stop is closed. Concurrent operators
// choose the same versions. Now and then one sends an earlier change again, or its text on top of the current version.
func (c *cluster) runOperator(client int, h *history, stop <-chan struct{}) {
	defer c.background.Done()
	var applied []configChange
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+c.intN(1500)) * time.Millisecond):
		}
		current, ok := c.readConfiguration(client, h, 2*time.Second)
		if !ok {
			continue
		}
		if len(applied) > 0 {
			c.repeatApplied(applied[c.intN(len(applied))])
			c.sendOnCurrentBase(applied[c.intN(len(applied))], current.version)
		}
		change := configChange{baseVersion: current.version, version: current.version + 1, marker: fmt.Sprintf("%d-%d", client, n)}
		if c.putUntilOutcomeKnown(client, change, h) == changeApplied {
			applied = append(applied, change)
		}
	}
}
