package reverseproxy_test

import (
	"encoding/json"
	"testing"

	"sedgevale/internal/reverseproxy"
	"sedgevale/internal/testkit"
)

// TestServerStatusJSON checks the JSON key of each field of ServerStatus.
func TestServerStatusJSON(t *testing.T) {
	var status reverseproxy.ServerStatus
	testkit.Fill(&status)
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"server":"s1","addr":"s2","state":"s3","busy":5}`; got != want {
		t.Errorf("ServerStatus as JSON: got\n%q\nwant\n%q", got, want)
	}
}
