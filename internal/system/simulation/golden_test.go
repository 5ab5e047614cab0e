package simulation

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// exchange is a request to a scheduler and the expected response.
type exchange struct{ method, url, match, body, want string }

// responseTo sends a request and returns the response's status, header fields (sorted, without the date) and body as text.
func (c *cluster) responseTo(t *testing.T, e exchange) string {
	t.Helper()
	h := c.network.host("10.9.9.9")
	client := &http.Client{Transport: &http.Transport{DialContext: h.dial, DisableKeepAlives: true}}
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, e.method, "http://"+e.url, strings.NewReader(e.body))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "h"
	if e.match != "" {
		request.Header.Set("If-Match", e.match)
	}
	response, err := client.Do(request)
	if err != nil {
		return "no response: " + err.Error()
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	if err := response.Body.Close(); err != nil {
		t.Fatal(err)
	}
	var fields []string
	for name, values := range response.Header {
		if name != "Date" {
			fields = append(fields, name+": "+strings.Join(values, ", "))
		}
	}
	sort.Strings(fields)
	return fmt.Sprintf("%d|%s|%s", response.StatusCode, strings.Join(fields, "|"), body)
}

// checkResponses sends the requests in order and checks the responses.
func (c *cluster) checkResponses(t *testing.T, exchanges []exchange) {
	t.Helper()
	for _, e := range exchanges {
		if got := c.responseTo(t, e); got != e.want {
			t.Errorf("%s %s, If-Match %q, body %s: response\n%q\nwant\n%q", e.method, e.url, e.match, e.body, got, e.want)
		}
	}
}

// fullConfigurationFormat is the format of a configuration with all keys; its argument is the version.
const fullConfigurationFormat = `{"version":%d,"note":"kept as it came","routes":[{"name":"q","host":"h","path_prefix":"/q/","type":"batch","timeout_ms":3000,` +
	`"target_latency_ms":1000,"priority":1,"service":"svc","retries":2,"extension":2.5}],"services":[{"name":"svc","health_path":"/h",` +
	`"max_connections":5,"protocol":"http","tls":false,"preconditions":true}],` +
	`"limits":{"max_header_bytes":4096,"max_body_bytes":200,"header_timeout_ms":1000,"idle_timeout_ms":1000}}`

const (
	configURL = "10.0.0.1:80/sedgevale/config"
	jobURL    = "10.0.1.1:90/q/00000000000000A1"
	workerURL = "10.0.2.1:80/sedgevale/instances/i-9"
)

func fullConfiguration(version int) string { return fmt.Sprintf(fullConfigurationFormat, version) }

// TestHTTPResponses pins the HTTP responses of the schedulers to operators, clients, workers and readiness probes, byte
// by byte.
func TestHTTPResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newClusterOf(t, 1, topology{cores: 3, tolerance: 1})
		for i := range sideCount {
			c.workers[fmt.Sprint("side", i)].crash()
		}
		time.Sleep(3 * time.Second)
		c.checkResponses(t, []exchange{
			{"GET", configURL, "", "", "503|Content-Length: 28|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1003] no configuration yet\n"},
			{"GET", "10.0.1.1:91/sedgevale/readyz", "", "", "503|Content-Length: 0|"},
			{"GET", jobURL, "", "", "503|Content-Length: 21|Content-Type: text/plain; charset=utf-8|Retry-After: 1|X-Content-Type-Options: nosniff|no configuration yet\n"},
			{"PATCH", configURL, "0", `{"version":1}`, "412|Content-Length: 46|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1010] If-Match: version 0 is current, 0 came\n"},
			{"PUT", configURL, "0", fullConfiguration(1), "200|Content-Length: 0|"},
		})
		time.Sleep(3 * time.Second)
		c.checkResponses(t, operatorExchanges)
		time.Sleep(3 * time.Second)
		c.checkResponses(t, clientExchanges)
		c.checkResponses(t, workerExchanges)
		c.stop()
		time.Sleep(10 * time.Second)
	})
}

// operatorExchanges are an operator's requests, beginning with configuration version 1.
var operatorExchanges = []exchange{
	{"GET", configURL, "", "", `200|Content-Length: 430|Content-Type: application/json|{"version":1,"note":"kept as it came","routes":[{"name":"q","host":"h","path_prefix":"/q/","type":"batch","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"svc","retries":2,"extension":2.5}],"services":[{"name":"svc","health_path":"/h","max_connections":5,"protocol":"http","tls":false,"preconditions":true}],"limits":{"max_header_bytes":4096,"max_body_bytes":200,"header_timeout_ms":1000,"idle_timeout_ms":1000}}`},
	{"PUT", configURL, "0", fullConfiguration(1), "200|Content-Length: 0|"},
	{"PUT", configURL, "0", fullConfiguration(2), "412|Content-Length: 46|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1010] If-Match: version 1 is current, 0 came\n"},
	{"PUT", configURL, "1", fullConfiguration(1), "400|Content-Length: 33|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1011] version: 1 is not above 1\n"},
	{"PUT", configURL, "one", fullConfiguration(2), "400|Content-Length: 37|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1011] If-Match: \"one\" is no version\n"},
	{"PUT", configURL, "1", `{"version":2`, "400|Content-Length: 54|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1011] configuration: the body is no whole JSON value\n"},
	{"PUT", configURL, "1", `{"version":2,"routes":[{"name":"q","service":"other"}]}`, "400|Content-Length: 67|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1011] configuration: routes[0] \"q\": service: \"other\" is not known\n"},
	{"PUT", configURL, "1", `{"version":2,"services":[{"name":"s"},{"name":"s"}]}`, "400|Content-Length: 59|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1011] configuration: services[1].name: \"s\" is there twice\n"},
	{"PATCH", configURL, "1", `{"version":2,"upsert":{"routes":[{"name":"r","host":"h","path_prefix":"/r/","timeout_ms":2000,"service":"svc"}]}}`, "200|Content-Length: 0|"},
	{"PATCH", configURL, "1", `{"version":2,"upsert":{"routes":[{"name":"r","host":"h","path_prefix":"/r/","timeout_ms":2000,"service":"svc"}]}}`, "200|Content-Length: 0|"},
	{"PUT", configURL, "0", fullConfiguration(1), "200|Content-Length: 0|"},
	{"PATCH", configURL, "1", `{"version":3}`, "412|Content-Length: 46|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1010] If-Match: version 2 is current, 1 came\n"},
	{"PATCH", configURL, "2", `{"version":3,"remove":{"services":["svc"]}}`, "400|Content-Length: 65|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|[1011] configuration: routes[0] \"q\": service: \"svc\" is not known\n"},
	{"GET", "10.0.0.2:80/sedgevale/config", "", "", `200|Content-Length: 508|Content-Type: application/json|{"version":2,"note":"kept as it came","routes":[{"name":"q","host":"h","path_prefix":"/q/","type":"batch","timeout_ms":3000,"target_latency_ms":1000,"priority":1,"service":"svc","retries":2,"extension":2.5},{"name":"r","host":"h","path_prefix":"/r/","timeout_ms":2000,"service":"svc"}],"services":[{"name":"svc","health_path":"/h","max_connections":5,"protocol":"http","tls":false,"preconditions":true}],"limits":{"max_header_bytes":4096,"max_body_bytes":200,"header_timeout_ms":1000,"idle_timeout_ms":1000}}`},
	{"DELETE", configURL, "2", "", "405|Allow: GET, HEAD, PATCH, PUT|Content-Length: 19|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|Method Not Allowed\n"},
	{"GET", "10.0.0.1:80/other", "", "", "404|Content-Length: 19|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|404 page not found\n"},
}

// clientExchanges are a readiness probe and a client's requests with configuration version 2.
var clientExchanges = []exchange{
	{"GET", "10.0.1.1:91/sedgevale/readyz", "", "", "200|Content-Length: 0|"},
	{"GET", "10.0.1.1:90/q/", "", "", "200|Content-Length: 14|Content-Type: application/json|{\"pending\":0}\n"},
	{"POST", jobURL, "", `{"spec":"x","stages":[{"count":1,"cpu":1}]}`, "200|Content-Length: 0|"},
	{"POST", jobURL, "", `{"spec":"x","stages":[{"count":1,"cpu":1}]}`, "200|Content-Length: 0|"},
	{"GET", jobURL, "", "", "200|Content-Length: 19|Content-Type: application/json|{\"state\":\"queued\"}\n"},
	{"GET", "10.0.1.1:90/q/", "", "", "200|Content-Length: 14|Content-Type: application/json|{\"pending\":1}\n"},
	{"DELETE", jobURL, "", "", "200|Content-Length: 0|"},
	{"GET", jobURL, "", "", "200|Content-Length: 22|Content-Type: application/json|{\"state\":\"cancelled\"}\n"},
	{"GET", "10.0.1.1:90/q/", "", "", "200|Content-Length: 14|Content-Type: application/json|{\"pending\":0}\n"},
	{"GET", "10.0.1.1:90/q/00000000000000ff", "", "", "410|Content-Length: 12|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|no such job\n"},
	{"DELETE", "10.0.1.1:90/q/00000000000000ff", "", "", "410|Content-Length: 12|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|no such job\n"},
	{"POST", "10.0.1.1:90/q/short", "", "{}", "400|Content-Length: 57|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|path: an ID of 16 hex digits is wanted behind the prefix\n"},
	{"POST", "10.0.1.1:90/other", "", "{}", "404|Content-Length: 14|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|no such route\n"},
	{"PUT", jobURL, "", "{}", "405|Content-Length: 38|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|method: POST, GET or DELETE is wanted\n"},
	{"POST", "10.0.1.1:90/q/00000000000000a2", "", "{", "400|Content-Length: 9|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|job: EOF\n"},
	{"POST", "10.0.1.1:90/q/00000000000000a2", "", `{"stages":[]}`, "400|Content-Length: 39|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|job: stages: 0 of them, 1 to 64 wanted\n"},
	{"POST", "10.0.1.1:90/q/00000000000000a2", "", `{"spec":"` + strings.Repeat("x", 200) + `"}`, "413|Content-Length: 26|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|body: more than 200 bytes\n"},
}

// workerExchanges are heartbeats of a new worker, the first of which get no lease, and its deregistration.
var workerExchanges = []exchange{
	{"PUT", workerURL, "", `{"service":"svc","state":"ready","sequence":1,"capacity":{"cpu":10,"mem_mb":10,"gpu":0}}`, `200|Content-Length: 21|Content-Type: application/json|{"retry_after_ms":25}`},
	{"PUT", workerURL, "", `{"service":"svc","state":"ready","sequence":1}`, "409|Content-Length: 40|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|sequence: a later heartbeat came before\n"},
	{"PUT", workerURL, "", `{"service":`, "400|Content-Length: 15|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|heartbeat: EOF\n"},
	{"GET", workerURL, "", "", "405|Allow: DELETE, PUT|Content-Length: 19|Content-Type: text/plain; charset=utf-8|X-Content-Type-Options: nosniff|Method Not Allowed\n"},
	{"DELETE", workerURL, "", "", "200|Content-Length: 0|"},
}
