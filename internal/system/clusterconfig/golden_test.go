package clusterconfig_test

import (
	"reflect"
	"testing"

	"sedgevale/internal/system/clusterconfig"
)

// TestConfigBytes pins the JSON keys of a configuration.
func TestConfigBytes(t *testing.T) {
	const text = `{"version":1,"routes":[{"name":"q","host":"h","path_prefix":"/p","type":"t","timeout_ms":2,"target_latency_ms":3.5,"priority":4,` +
		`"service":"s","retries":5,"extension":6.5}],"services":[{"name":"s","health_path":"/h","max_connections":7,"protocol":"p","tls":true,` +
		`"preconditions":true}],"limits":{"max_header_bytes":8,"max_body_bytes":9,"header_timeout_ms":10,"idle_timeout_ms":11}}`
	want := &clusterconfig.Config{
		Version: 1,
		Routes: []clusterconfig.Route{{
			Name: "q", Host: "h", PathPrefix: "/p", Type: "t", TimeoutMS: 2, TargetLatencyMS: 3.5, Priority: 4, Service: "s", Retries: 5, Extension: 6.5,
		}},
		Services: []clusterconfig.Service{{
			Name: "s", HealthPath: "/h", MaxConnections: 7, Protocol: "p", TLS: true, Preconditions: true,
		}},
		Limits: clusterconfig.Limits{MaxHeaderBytes: 8, MaxBodyBytes: 9, HeaderTimeoutMS: 10, IdleTimeoutMS: 11},
	}
	got, err := clusterconfig.Parse([]byte(text))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded configuration %+v, error %v", got, err)
	}
	if written, err := want.MarshalJSON(); err != nil || string(written) != text {
		t.Errorf("error %v, encoded configuration\n%s\nwant\n%s", err, written, text)
	}
}

// TestPatchBytes pins the JSON keys of a patch.
func TestPatchBytes(t *testing.T) {
	const text = `{"version":1,"upsert":{"routes":[{"name":"q","host":"","path_prefix":"","timeout_ms":0,"target_latency_ms":0,"priority":0,` +
		`"service":"","retries":0,"extension":0}],"services":[{"name":"s","tls":false,"preconditions":false}]},` +
		`"remove":{"routes":["r"],"services":["t"]},"limits":{"max_header_bytes":0,"max_body_bytes":2,"header_timeout_ms":0,"idle_timeout_ms":0}}`
	want := clusterconfig.Patch{
		Version: 1, Limits: clusterconfig.Limits{MaxBodyBytes: 2},
		Upsert: clusterconfig.Items{Routes: []clusterconfig.Route{{Name: "q"}}, Services: []clusterconfig.Service{{Name: "s"}}},
		Remove: clusterconfig.Names{Routes: []string{"r"}, Services: []string{"t"}},
	}
	var got clusterconfig.Patch
	if err := got.UnmarshalJSON([]byte(text)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded patch %+v, error %v", got, err)
	}
	if written, err := want.MarshalJSON(); err != nil || string(written) != text {
		t.Errorf("error %v, encoded patch\n%s\nwant\n%s", err, written, text)
	}
}
