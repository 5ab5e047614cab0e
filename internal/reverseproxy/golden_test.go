package reverseproxy_test

import (
	"encoding/json"
	"testing"

	"sedgevale/internal/reverseproxy"
	"sedgevale/internal/testkit"
)

// The JSON keys of ServerStatus, each with the field that it stands for.
func TestKeysOfStatus(t *testing.T) {
	var status reverseproxy.ServerStatus
	testkit.Fill(&status)
	text, err := json.Marshal(status)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"server":"s1","addr":"s2","state":"s3","busy":5}`; got != want {
		t.Errorf("the status: got\n%q\nwant\n%q", got, want)
	}
}
