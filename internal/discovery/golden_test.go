package discovery_test

import (
	"bytes"
	"encoding/json"
	"testing"

	"github.com/BurntSushi/toml"

	"sedgevale/internal/discovery"
	"sedgevale/internal/testkit"
)

// Guards the keys of a list of workers in JSON and TOML, which the platform and operators' files use.
func TestListEncoding(t *testing.T) {
	var list discovery.List
	testkit.Fill(&list)
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(text), `{"revision":2,"complete":true,"members":[{"id":"s3","host_port":"s4","locality":"s5","flavor":"s6","cell":8,"phase":"s8","size":9.5,"up_since_ms":11}]}`; got != want {
		t.Errorf("encoded as JSON: got\n%q\nwant\n%q", got, want)
	}
	var file bytes.Buffer
	if err := toml.NewEncoder(&file).Encode(list); err != nil {
		t.Fatal(err)
	}
	if got, want := file.String(), "revision = 2\ncomplete = true\n\n[[members]]\n  id = \"s3\"\n  host_port = \"s4\"\n  locality = \"s5\"\n  flavor = \"s6\"\n  cell = 8\n  phase = \"s8\"\n  size = 9.5\n  up_since_ms = 11\n"; got != want {
		t.Errorf("encoded as TOML: got\n%q\nwant\n%q", got, want)
	}
}
