package core

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"sedgevale/coord/membership"
	"sedgevale/internal/system/node"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
	"sedgevale/internal/system/settings"
	"sedgevale/internal/taskgroup"
	"sedgevale/internal/testkit"
	"sedgevale/jobs"
)

// dialUnreachable is a dial function that blocks until the context ends, as with an unreachable peer.
func dialUnreachable(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A round of calls returns when its context ends, rather than when the last call times out.
func TestRoundsEndWithTheirContext(t *testing.T) {
	const timeout = 100 * time.Millisecond
	rounds := map[string]func(*Core, context.Context) error{
		"propose": func(c *Core, ctx context.Context) error {
			_, err := c.propose(ctx, "r", func(current []byte) ([]byte, error) { return current, nil })
			return err
		},
		"read": func(c *Core, ctx context.Context) error { return c.read(ctx, "r") },
		"seal": func(c *Core, ctx context.Context) error {
			_, err := c.fenceQuorum(ctx, c.store.currentMembership(), "s", 1)
			return err
		},
		"states": func(c *Core, ctx context.Context) error {
			_, err := c.quorumStates(ctx, c.store.currentMembership())
			return err
		},
	}
	for name, round := range rounds {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := &Core{
					address: "d:1", logger: logr.Discard(), store: newStore("d:1"), client: rpc.NewClient(dialUnreachable), proposer: "p",
					learned: map[string]chosenValue{}, goroutines: taskgroup.New(t.Context()),
				}
				c.store.membership = membership.Bootstrap(3, []string{"a:1", "b:1", "c:1"})
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				start := time.Now()
				if err := round(c, ctx); result.CodeOf(err) != result.Unavailable || time.Since(start) != timeout {
					t.Errorf("error %v after %v, want code %d after %v", err, time.Since(start), result.Unavailable, timeout)
				}
				c.goroutines.Shutdown()
				c.client.Close() // cancels the pending dials
				if time.Since(start) != timeout {
					t.Errorf("calls of the round continued for %v after its end", time.Since(start)-timeout)
				}
			})
		})
	}
}

// When Run returns, none of the scheduler's goroutines is left, even if the peers have not responded.
func TestRunLeavesNoGoroutine(t *testing.T) {
	for name, cause := range map[string]error{"killed": node.ErrKilled, "terminated": context.Canceled} {
		t.Run(name, func(t *testing.T) {
			s := &settings.Settings{
				Node: "n", IP: "127.0.0.1", PortRange: []int{7000, 7010}, DataDir: t.TempDir(), Bootstrap: true,
				Seeds: []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}, FaultTolerance: settings.FaultTolerance{Machines: 1},
				BindAddrs: settings.BindAddrs{ControlPlane: "control"}, Bounds: settings.Bounds{GraceS: 0.2, MaxLeaseMS: 1000},
			}
			process := node.NewProcess(s, logr.Discard(), dialUnreachable, func(string) (net.Listener, error) {
				return new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
			})
			defer process.Close()
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(300*time.Millisecond, func() { cancel(cause) }) // calls to the peers are in flight by then
			if err := Run(ctx, process); err != nil {
				t.Fatal(err)
			}
			for _, stack := range testkit.Goroutines("core.(*Core)", "statefile.(*Log)") {
				t.Errorf("goroutine still running after Run returned:\n%s", stack)
			}
		})
	}
}

// Only an invalid body is reported as a client error.
func TestCodesOfRejectedJobs(t *testing.T) {
	for _, test := range []struct {
		err  error
		want result.Code
	}{
		{&jobs.InvalidJobError{Cause: errors.New("stages: none")}, result.Invalid},
		{fmt.Errorf("wrapped: %w", &jobs.InvalidJobError{Cause: errors.New("stages: none")}), result.Invalid},
		{errors.New("record of the job: no schema"), result.Unavailable},
	} {
		if got := submitError("a", test.err); result.CodeOf(got) != test.want || !strings.Contains(got.Error(), "job a: "+test.err.Error()) {
			t.Errorf("submitError for %v: %v, want code %d", test.err, got, test.want)
		}
	}
	scheduler := jobs.New(jobs.Options{}, rand.New(rand.NewPCG(1, 1)))
	_, err := scheduler.Submit(0, 0, &jobs.Submission{ID: "a", Queue: "q", Body: []byte(`{"spec":`)})
	var invalid *jobs.InvalidJobError
	if !errors.As(err, &invalid) {
		t.Errorf("body that is not JSON: error %v, want a jobs.InvalidJobError", err)
	}
}
