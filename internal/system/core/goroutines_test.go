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

// dialNobody waits for an answer that never comes.
func dialNobody(ctx context.Context, _, _ string) (net.Conn, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// A round ends with its context, and not when the last call times out.
func TestRoundsEndWithTheirContext(t *testing.T) {
	const timeout = 100 * time.Millisecond
	rounds := map[string]func(*Core, context.Context) error{
		"propose": func(c *Core, ctx context.Context) error {
			_, err := c.propose(ctx, "r", func(current []byte) ([]byte, error) { return current, nil })
			return err
		},
		"read": func(c *Core, ctx context.Context) error { return c.read(ctx, "r") },
		"seal": func(c *Core, ctx context.Context) error {
			_, err := c.sealQuorum(ctx, c.store.currentMembership(), "s", 1)
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
					address: "d:1", logger: logr.Discard(), store: newStore("d:1"), client: rpc.NewClient(dialNobody), proposer: "p",
					learned: map[string]chosenValue{}, goroutines: taskgroup.New(t.Context()),
				}
				c.store.membership = membership.Bootstrap(3, []string{"a:1", "b:1", "c:1"})
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				began := time.Now()
				if err := round(c, ctx); result.CodeOf(err) != result.Unavailable || time.Since(began) != timeout {
					t.Errorf("%v after %v", err, time.Since(began))
				}
				c.goroutines.Shutdown()
				c.client.Close() // ends the dials
				if time.Since(began) != timeout {
					t.Errorf("the calls of the round went on until %v after it", time.Since(began)-timeout)
				}
			})
		})
	}
}

// Once Run has returned none of this scheduler's goroutines is left, though its peers have not answered.
func TestRunLeavesNoGoroutine(t *testing.T) {
	for name, cause := range map[string]error{"killed": node.ErrKilled, "terminated": context.Canceled} {
		t.Run(name, func(t *testing.T) {
			s := &settings.Settings{
				Node: "n", IP: "127.0.0.1", PortRange: []int{7000, 7010}, DataDir: t.TempDir(), Bootstrap: true,
				Seeds: []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}, FaultTolerance: settings.FaultTolerance{Machines: 1},
				BindAddrs: settings.BindAddrs{ControlPlane: "control"}, Bounds: settings.Bounds{GraceS: 0.2, MaxLeaseMS: 1000},
			}
			process := node.NewProcess(s, logr.Discard(), dialNobody, func(string) (net.Listener, error) {
				return new(net.ListenConfig).Listen(context.Background(), "tcp4", "127.0.0.1:0")
			})
			defer process.Close()
			ctx, cancel := context.WithCancelCause(t.Context())
			time.AfterFunc(300*time.Millisecond, func() { cancel(cause) }) // by then calls to the peers are in flight
			if err := Run(ctx, process); err != nil {
				t.Fatal(err)
			}
			for _, stack := range testkit.Goroutines("core.(*Core)", "statefile.(*Log)") {
				t.Errorf("left running:\n%s", stack)
			}
		})
	}
}

// Only a body that is invalid is answered as the client's fault.
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
			t.Errorf("%v: %v", test.err, got)
		}
	}
	scheduler := jobs.New(jobs.Options{}, rand.New(rand.NewPCG(1, 1)))
	_, err := scheduler.Submit(0, 0, "a", "q", []byte(`{"spec":`))
	var invalid *jobs.InvalidJobError
	if !errors.As(err, &invalid) {
		t.Errorf("a body that is no JSON: %v", err)
	}
}
