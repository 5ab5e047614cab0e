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

// The outcomes of an operator's order.
const (
	orderTaken   = iota
	orderRefused // another version is current, and the order has had no effect and never will
	orderUnclear // no clear answer came
)

// order is what an operator asks for, or a read of the configuration where read is set.
type order struct {
	read    bool
	match   int64
	version int64
	note    string // tells two orders of one version apart
}

type orderResult struct {
	outcome int
	version int64 // what was read
	note    string
}

// history is all calls of the operators, for a check of linearizability.
type history struct {
	mu    sync.Mutex
	calls []porcupine.Operation
	begun time.Time
}

func (h *history) add(client int, input order, output orderResult, call, back time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	operation := porcupine.Operation{
		ClientId: client, Input: input, Output: output, Call: call.Sub(h.begun).Nanoseconds(), Return: back.Sub(h.begun).Nanoseconds(),
	}
	if output.outcome == orderUnclear {
		operation.Return = time.Hour.Nanoseconds() // it may take effect at any time from its call on, or never
	}
	h.calls = append(h.calls, operation)
}

// configuration is the state of the register by the operators' rules.
type configuration struct {
	version int64
	note    string
}

// compareAndSwap is what a register of configurations may do.
var compareAndSwap = porcupine.NondeterministicModel{
	Init: func() []any { return []any{configuration{}} },
	Step: func(state, input, output any) []any {
		current, asked, got := state.(configuration), input.(order), output.(orderResult)
		next := configuration{asked.version, asked.note}
		matches := current.version == asked.match && asked.version > current.version
		switch {
		case asked.read && got == orderResult{version: current.version, note: current.note}:
			return []any{current}
		case asked.read:
			return nil
		case got.outcome == orderTaken && matches:
			return []any{next}
		case got.outcome == orderRefused && !matches:
			return []any{current}
		case got.outcome == orderUnclear && matches:
			return []any{current, next}
		case got.outcome == orderUnclear:
			return []any{current}
		}
		return nil
	},
	Equal: func(a, b any) bool { return a == b },
}

// linearizable reports whether the history can be explained by one register.
func (h *history) linearizable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	model := compareAndSwap.ToModel()
	return porcupine.CheckOperationsTimeout(model, h.calls, 20*time.Second) != porcupine.Illegal
}

// configurationText returns a configuration with a route for jobs.
func configurationText(version int64, note string) string {
	return fmt.Sprintf(`{"version":%d,"note":%q,"routes":[{"name":"q","host":"h","path_prefix":"/q/","timeout_ms":3000,`+
		`"target_latency_ms":1000,"priority":0,"service":%q,"retries":20,"extension":2}],"services":[{"name":%q}]}`,
		version, note, service, service)
}

// send sends a change to one core scheduler after another until there is a clear answer.
func (w *world) send(client int, asked order, h *history) int {
	began := time.Now()
	body := configurationText(asked.version, asked.note)
	result := orderResult{outcome: orderUnclear}
	for time.Since(began) < 15*time.Second {
		status, _ := w.call(http.MethodPut, w.anyCore().ip+":80", "/sedgevale/config", "", strconv.FormatInt(asked.match, 10), body)
		if status == http.StatusOK {
			result.outcome = orderTaken
			break
		}
		if status == http.StatusPreconditionFailed {
			result.outcome = orderRefused
			break
		}
		if status >= 400 && status < 500 {
			w.fail("CONFIG: version %d on %d was answered with %d", asked.version, asked.match, status)
			break
		}
		time.Sleep(time.Duration(50+w.number(300)) * time.Millisecond)
	}
	h.add(client, asked, result, began, time.Now())
	return result.outcome
}

// readConfiguration asks core schedulers until one answers.
func (w *world) readConfiguration(client int, h *history, patience time.Duration) (configuration, bool) {
	for began := time.Now(); time.Since(began) < patience; time.Sleep(200 * time.Millisecond) {
		sent := time.Now()
		status, text := w.call(http.MethodGet, w.anyCore().ip+":80", "/sedgevale/config", "", "", "")
		var got configuration
		if status != http.StatusOK || !strings.HasPrefix(text, "{") {
			continue
		}
		if _, err := fmt.Sscanf(text, `{"version":%d,"note":%q,`, &got.version, &got.note); err != nil {
			w.fail("CONFIG: read %q: %v", text, err)
			return got, false
		}
		h.add(client, order{read: true}, orderResult{version: got.version, note: got.note}, sent, time.Now())
		return got, true
	}
	return configuration{}, false
}

// operate has an operator change the configuration again and again until stop is closed. Two of them pick the same
// numbers.
func (w *world) operate(client int, h *history, stop <-chan struct{}) {
	defer w.running.Done()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(100+w.number(1500)) * time.Millisecond):
		}
		current, ok := w.readConfiguration(client, h, 2*time.Second)
		if !ok {
			continue
		}
		w.send(client, order{match: current.version, version: current.version + 1, note: fmt.Sprintf("%d-%d", client, n)}, h)
	}
}
