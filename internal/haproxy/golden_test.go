package haproxy_test

import (
	"encoding/json"
	"testing"

	"sedgevale/internal/haproxy"
	"sedgevale/internal/testkit"
)

// The keys of a line of the converter's report, each with the field that it stands for.
func TestKeysOfReport(t *testing.T) {
	var entry haproxy.Entry
	testkit.Fill(&entry)
	text, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"file":"s1","line":3,"section":"s3","directive":"s4","verdict":"s5","reason":"s6"}`; got != want {
		t.Errorf("an entry: got\n%q\nwant\n%q", got, want)
	}
}
