package haproxy_test

import (
	"encoding/json"
	"testing"

	"sedgevale/internal/haproxy"
	"sedgevale/internal/testkit"
)

// TestReportJSONKeys checks the JSON key of each field of a report entry.
func TestReportJSONKeys(t *testing.T) {
	var entry haproxy.Entry
	testkit.Fill(&entry)
	text, err := json.Marshal(entry)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"file":"s1","line":3,"section":"s3","directive":"s4","verdict":"s5","reason":"s6"}`; got != want {
		t.Errorf("entry: got\n%q\nwant\n%q", got, want)
	}
}
