package dispatchconfig_test

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/BurntSushi/toml"

	"sedgevale/internal/dispatchconfig"
	"sedgevale/internal/testkit"
)

var updateGolden = flag.Bool("update", false, "update the golden files")

// Tests that the keys of the operator's file and of the platform's file, and the fields that they
// belong to, do not change.
func TestConfigurationKeys(t *testing.T) {
	var file dispatchconfig.File
	testkit.Fill(&file)
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(file); err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "testdata/operator.toml", text.Bytes())
	var config dispatchconfig.Config
	testkit.Fill(&config)
	platform, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	compareGolden(t, "testdata/platform.json", platform)
}

// compareGolden compares got with a golden file.
func compareGolden(t *testing.T, path string, got []byte) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s: error %v, or different content; got\n%s", path, err, got)
	}
}
