//go:build overload

package overloadtest

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"sedgevale/internal/system/api"
	"sedgevale/internal/system/clusterconfig"
	"sedgevale/internal/system/result"
	"sedgevale/internal/system/rpc"
)

// Sizes of the largest legal bodies.
const (
	heartbeatBytes = 8 << 20
	messageBytes   = 32 << 20 // of the internal protocol
)

// largeConfigurationRoutes make a configuration of about 1 MiB.
const largeConfigurationRoutes = 6000

var (
	caseCount = flag.Int("cases", 0, "number of cases of each test, drawn at random; 0 for all")
	caseSeed  = flag.Uint64("seed", 1, "seed of the draw")
)

// crowdCase is a crowd at one port.
type crowdCase struct {
	name string
	run  func(*testing.T)
}

// runCases runs the cases that the flags select, one at a time.
func runCases(t *testing.T, cases []crowdCase) {
	t.Helper()
	if *caseCount > 0 {
		draw := rand.New(rand.NewPCG(*caseSeed, 0))
		draw.Shuffle(len(cases), func(i, j int) { cases[i], cases[j] = cases[j], cases[i] })
		cases = cases[:min(*caseCount, len(cases))]
	}
	for _, c := range cases {
		t.Run(c.name, c.run)
	}
}

// checkCrowd lets a crowd misbehave at a process, and sends an ordinary request while it does and another one afterwards.
func checkCrowd(t *testing.T, p *process, b behavior, g target, ordinary func() (int, error)) {
	t.Helper()
	eventually(t, "an ordinary request before the crowd", ordinary)
	c := startCrowd(t, b, g)
	eventually(t, "an ordinary request beside the crowd", ordinary)
	c.stop()
	eventually(t, "an ordinary request after the crowd", ordinary)
	p.check()
}

// all returns all behaviors.
func all() []behavior { return append(append([]behavior{}, bodyBehaviors...), headBehaviors...) }

func TestCrowdAtEdge(t *testing.T) {
	startCore(t, 1)
	var cases []crowdCase
	for _, b := range all() {
		cases = append(cases, crowdCase{"frontend/" + b.name, func(t *testing.T) {
			edge := startRole(t, "edge", edgeIP)
			request := "POST " + pathPrefix + "00000000000000aa"
			checkCrowd(t, edge, b, target{at(edgeIP, clientPort), host, request, jobBodyBytes}, submitJob())
		}})
	}
	for _, b := range headBehaviors {
		cases = append(cases, crowdCase{"readiness/" + b.name, func(t *testing.T) {
			edge := startRole(t, "edge", edgeIP)
			g := target{address: at(edgeIP, readinessPort), host: host, request: "GET /sedgevale/readyz"}
			checkCrowd(t, edge, b, g, submitJob())
		}})
	}
	runCases(t, cases)
}

func TestCrowdAtCore(t *testing.T) {
	var cases []crowdCase
	for _, b := range all() {
		cases = append(cases, crowdCase{"control plane/" + b.name, func(t *testing.T) {
			core := startCore(t, 1)
			g := target{at(coreIP, controlPort), host, "PUT /sedgevale/config", clusterconfig.MaxBytes}
			checkCrowd(t, core, b, g, readConfiguration)
		}})
	}
	cases = append(cases, crowdCase{"control plane/answers of 1 MiB without reading", func(t *testing.T) {
		core := startCore(t, largeConfigurationRoutes)
		g := target{address: at(coreIP, controlPort), host: host, request: "GET /sedgevale/config", body: 1 << 20}
		b := behavior{"answers", bySize, false, sendPipelined}
		checkCrowd(t, core, b, g, readConfiguration)
	}})
	for _, b := range all() {
		cases = append(cases, crowdCase{"internal/" + b.name, func(t *testing.T) {
			core := startCore(t, 1)
			g := target{at(coreIP, portRangeStart), host, "POST /rpc/" + api.MethodSubmit, messageBytes}
			checkCrowd(t, core, b, g, countPending)
		}})
	}
	for _, b := range headBehaviors {
		cases = append(cases, crowdCase{"metrics/" + b.name, func(t *testing.T) {
			core := startCore(t, 1)
			g := target{address: at(coreIP, portRangeEnd), host: host, request: "GET /metrics"}
			checkCrowd(t, core, b, g, readConfiguration)
		}})
	}
	runCases(t, cases)
}

// countPending calls a method of the internal protocol.
func countPending() (int, error) {
	client := rpc.NewClient(rpc.DialTCP())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	request := &api.PendingRequest{Shard: service, Queue: "route0"}
	err := client.Call(ctx, at(coreIP, portRangeStart), api.MethodPending, request, &api.PendingResponse{})
	if err != nil {
		return 0, err
	}
	return http.StatusOK, nil
}

func TestCrowdAtSide(t *testing.T) {
	startCore(t, 1)
	var cases []crowdCase
	for _, b := range all() {
		cases = append(cases, crowdCase{"control plane/" + b.name, func(t *testing.T) {
			side := startRole(t, "side", sideIP)
			g := target{at(sideIP, controlPort), host, "PUT /sedgevale/instances/i-2", heartbeatBytes}
			checkCrowd(t, side, b, g, sendHeartbeat())
		}})
	}
	for _, b := range all() {
		cases = append(cases, crowdCase{"internal/" + b.name, func(t *testing.T) {
			side := startRole(t, "side", sideIP)
			g := target{at(sideIP, portRangeStart), host, "POST /rpc/" + api.MethodOrders, messageBytes}
			checkCrowd(t, side, b, g, sendOrders)
		}})
	}
	runCases(t, cases)
}

// TestLargestOrdersAtSide sends complete messages of the largest size that the port takes since it has a limit of its own.
func TestLargestOrdersAtSide(t *testing.T) {
	startCore(t, 1)
	side := startRole(t, "side", sideIP)
	b := behavior{"complete", bySize, true, sendComplete}
	g := target{at(sideIP, portRangeStart), host, "POST /rpc/" + api.MethodOrders, messageBytes / 2}
	checkCrowd(t, side, b, g, sendOrders)
}

// sendOrders calls a side scheduler, which rejects orders for a worker that it does not know.
func sendOrders() (int, error) {
	client := rpc.NewClient(rpc.DialTCP())
	defer client.Close()
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	err := client.Call(ctx, at(sideIP, portRangeStart), api.MethodOrders, &api.OrdersRequest{Token: 1}, &api.Empty{})
	if err == nil {
		return 0, errors.New("orders for an unknown worker were taken")
	}
	if result.CodeOf(err) != result.WrongInstance {
		return 0, fmt.Errorf("%w, want the rejection of an unknown worker", err)
	}
	return http.StatusOK, nil
}

// TestCrowdComesBack checks that refusals do not outlast the crowd: a single request of the largest size is served in calm.
func TestCrowdComesBack(t *testing.T) {
	startCore(t, 1)
	edge := startRole(t, "edge", edgeIP)
	g := target{at(edgeIP, clientPort), host, "POST " + pathPrefix + "00000000000000bb", jobBodyBytes}
	c := startCrowd(t, bodyBehaviors[0], g)
	c.stop()
	number := time.Now().UnixNano()
	eventually(t, "a job of the largest size", func() (int, error) {
		number++
		job := `{"spec":"x","stages":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":500}]}`
		body := job + string(padding[:jobBodyBytes-len(job)])
		return do(http.MethodPost, g.address, fmt.Sprintf("%s%016x", pathPrefix, number), body)
	})
	edge.check()
}
