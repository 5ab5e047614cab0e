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

var updateGolden = flag.Bool("update", false, "write the files of keys anew")

// The keys of an operator's file and of the platform's, each with the field that it stands for.
func TestKeysOfConfigurations(t *testing.T) {
	var file dispatchconfig.File
	testkit.Fill(&file)
	var text bytes.Buffer
	if err := toml.NewEncoder(&text).Encode(file); err != nil {
		t.Fatal(err)
	}
	compare(t, "testdata/operator.toml", text.Bytes())
	var config dispatchconfig.Config
	testkit.Fill(&config)
	platform, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		t.Fatal(err)
	}
	compare(t, "testdata/platform.json", platform)
}

func compare(t *testing.T, path string, got []byte) {
	t.Helper()
	if *updateGolden {
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%s: error %v, now it is\n%s", path, err, got)
	}
}
