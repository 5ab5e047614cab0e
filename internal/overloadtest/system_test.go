//go:build overload

package overloadtest

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"sedgevale/internal/system/settings"
)

// Addresses and names of the system under test: one core machine, one edge machine and one side machine.
const (
	coreIP = "127.0.50.1"
	edgeIP = "127.0.51.1"
	sideIP = "127.0.52.1"

	controlPort    = 28144
	clientPort     = 28149
	readinessPort  = 28141
	portRangeStart = 28160
	portRangeEnd   = 28169

	host       = "jobs.example"
	pathPrefix = "/overload/"
	service    = "overload"
)

// Ordinary requests are repeated while they are refused, as clients do. The bound only ends a test that would never end.
const (
	ordinaryAttempts = 60
	ordinaryBackoff  = 500 * time.Millisecond
	ordinaryTimeout  = 5 * time.Second
)

func at(ip string, port int) string { return net.JoinHostPort(ip, strconv.Itoa(port)) }

// startRole starts a scheduler of the system.
func startRole(t *testing.T, role, ip string) *process {
	t.Helper()
	dir := t.TempDir()
	s := settings.Settings{
		Node: role + "-1", Role: role, MachineClass: role, IP: ip, Zone: "loopback", Region: "loopback",
		PortRange: []int{portRangeStart, portRangeEnd}, Seeds: []string{at(coreIP, controlPort)}, Bootstrap: true, DataDir: dir,
		Service: service, HeartbeatMS: 1500,
		Limits: settings.Limits{MemoryMB: memoryLimitMB, FileDescriptors: descriptorLimit},
		BindAddrs: settings.BindAddrs{
			Frontend: at(ip, clientPort), Readiness: at(ip, readinessPort), ControlPlane: at(ip, controlPort),
		},
	}
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(path, text, 0o644); err != nil {
		t.Fatal(err)
	}
	return startProcess(t, ip, []string{settings.PathEnvVar + "=" + path}, role, "--metrics")
}

// configuration returns a configuration of one service with a number of routes, the first of which serves pathPrefix.
func configuration(routes int) string {
	var b strings.Builder
	b.WriteString(`{"version":1,"routes":[`)
	for i := range routes {
		prefix := pathPrefix
		if i > 0 {
			prefix = fmt.Sprintf("/route%d/", i)
			b.WriteString(",")
		}
		fmt.Fprintf(&b, `{"name":"route%d","host":%q,"path_prefix":%q,"timeout_ms":3000,"target_latency_ms":1000,"priority":0,`+
			`"service":%q,"retries":3,"extension":2}`, i, host, prefix, service)
	}
	fmt.Fprintf(&b, `],"services":[{"name":%q}],"limits":{"max_body_bytes":%d}}`, service, jobBodyBytes)
	return b.String()
}

// jobBodyBytes is the limit of a job's body that the pages of the deployments name.
const jobBodyBytes = 262144

// do sends one request and returns the status of the answer.
func do(method, address, path, body string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), ordinaryTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Host = host
	request.Header.Set("If-Match", "0")
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, errors.Join(err, response.Body.Close())
}

// eventually repeats an ordinary request until its status is 200, and fails the test if it never is.
func eventually(t *testing.T, what string, request func() (int, error)) {
	t.Helper()
	var status int
	var err error
	for range ordinaryAttempts {
		status, err = request()
		if err == nil && status == http.StatusOK {
			return
		}
		time.Sleep(ordinaryBackoff)
	}
	t.Errorf("%s: status %d, error %v after %d attempts", what, status, err, ordinaryAttempts)
}

// startCore starts a core scheduler and configures the system.
func startCore(t *testing.T, routes int) *process {
	t.Helper()
	core := startRole(t, "core", coreIP)
	eventually(t, "the first configuration", func() (int, error) {
		return do(http.MethodPut, at(coreIP, controlPort), "/sedgevale/config", configuration(routes))
	})
	return core
}

// Ordinary requests to each port.
func submitJob() func() (int, error) {
	number := time.Now().UnixNano()
	return func() (int, error) {
		number++
		body := `{"spec":"x","stages":[{"count":1,"cpu":500,"mem_mb":64,"estimate_ms":500}]}`
		return do(http.MethodPost, at(edgeIP, clientPort), fmt.Sprintf("%s%016x", pathPrefix, number), body)
	}
}

func readConfiguration() (int, error) {
	return do(http.MethodGet, at(coreIP, controlPort), "/sedgevale/config", "")
}

func sendHeartbeat() func() (int, error) {
	sequence := 0
	return func() (int, error) {
		sequence++
		body := fmt.Sprintf(`{"service":%q,"address":"127.0.52.1:1","state":"ready","capacity":{"cpu":1000,"mem_mb":1000},"sequence":%d}`,
			service, sequence)
		return do(http.MethodPut, at(sideIP, controlPort), "/sedgevale/instances/i-1", body)
	}
}
