package core

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"sedgevale/coord/membership"
	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/statefile"
)

// storedStates holds the data directories of core machines under statefile/testdata and the expected output of Describe for
// each, after the disk was opened once more.
var storedStates = map[string]struct {
	address, text string
}{
	"takeover": {"10.0.0.1:7000", `disk first@10.0.0.1:7000 of 10.0.0.1:7000, life 2, joined in epoch 1
epoch 1 of deployment 5ffb1b45c00c95ae
seat 0: disk first@10.0.0.1:7000 at 10.0.0.1:7000 since epoch 1, voter true
seat 1: disk first@10.0.0.2:7000 at 10.0.0.2:7000 since epoch 1, voter true
seat 2: disk first@10.0.0.3:7000 at 10.0.0.3:7000 since epoch 1, voter true
register config: promised 3, accepted 3 by first@10.0.0.2:7000#1, 363 bytes, configuration 2
register owner/svc: promised 4, accepted 4 by first@10.0.0.3:7000#1, 15 bytes
shard svc: token 2, in step with 2, votes true, 12 records
`},
	"generation": {"10.0.0.1:7000", `disk first@10.0.0.1:7000 of 10.0.0.1:7000, life 4, joined in epoch 1
epoch 3 of deployment 5ffb1b45c00c95ae
seat 0: disk first@10.0.0.1:7000 at 10.0.0.1:7000 since epoch 1, voter true
seat 1: disk a2c64c348226527e at 10.0.0.2:7000 since epoch 2, voter true
seat 2: disk first@10.0.0.3:7000 at 10.0.0.3:7000 since epoch 1, voter true
register config: promised 7, accepted 7 by a2c64c348226527e#1, 373 bytes, configuration 3
register membership: promised 6, accepted 6 by a2c64c348226527e#1, 128 bytes
register owner/svc: promised 4, accepted 4 by first@10.0.0.3:7000#1, 15 bytes
shard svc: token 2, in step with 2, votes true, 16 records
`},
	"rejoined": {"10.0.0.2:7000", `disk a2c64c348226527e of 10.0.0.2:7000, life 2, joined in epoch 2
epoch 3 of deployment 5ffb1b45c00c95ae
seat 0: disk first@10.0.0.1:7000 at 10.0.0.1:7000 since epoch 1, voter true
seat 1: disk a2c64c348226527e at 10.0.0.2:7000 since epoch 2, voter true
seat 2: disk first@10.0.0.3:7000 at 10.0.0.3:7000 since epoch 1, voter true
register config: promised 7, accepted 7 by a2c64c348226527e#1, 373 bytes, configuration 3
register membership: promised 5, accepted 5 by a2c64c348226527e#1, 128 bytes
register owner/svc: promised 4, accepted 4 by first@10.0.0.3:7000#1, 15 bytes
shard svc: token 2, in step with 2, votes true, 16 records
`},
}

const storedDirectory = "../statefile/testdata/"

// A core scheduler that starts with the data directory of an earlier release restores its registers, seats and shards.
func TestStoredStateIsRestored(t *testing.T) {
	for name, want := range storedStates {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			if err := os.CopyFS(dir, os.DirFS(storedDirectory+name)); err != nil {
				t.Fatal(err)
			}
			opened, err := openStore(dir, want.address, membership.Bootstrap(3, []string{"elsewhere"}), false)
			if err != nil {
				t.Fatal(err)
			}
			if err := opened.log.Close(t.Context()); err != nil {
				t.Error(err)
			}
			var text strings.Builder
			if err := Describe(dir, &text); err != nil || text.String() != want.text {
				t.Errorf("error %v, restored state\n%s\nwant\n%s", err, text.String(), want.text)
			}
			if !opened.identity.Restored {
				t.Error("the disk's identity is not marked as restored")
			}
			type storedOwner struct {
				Address string
				Token   int64
			}
			var owner storedOwner
			if err := avrocodec.Decode(opened.registers["owner/svc"].Value, &owner); err != nil || owner != (storedOwner{"10.0.0.3:7000", 2}) {
				t.Errorf("stored owner of the shard is %+v, error %v", owner, err)
			}
			var record ownerRecord
			if err := avrocodec.Decode(opened.registers["owner/svc"].Value, &record); err != nil || record.Address != owner.Address || record.Token != 2 {
				t.Errorf("ownerRecord decoded as %+v, error %v", record, err)
			}
			checkStoredConfig(t, name, opened.registers["config"].Value)
		})
	}
}

// checkStoredConfig checks the value of the configuration register.
func checkStoredConfig(t *testing.T, name string, value []byte) {
	t.Helper()
	var record configRecord
	if err := avrocodec.Decode(value, &record); err != nil {
		t.Fatal(err)
	}
	version, changes := int64(3), 3
	if name == "takeover" {
		version, changes = 2, 2
	}
	if record.Version != version || len(record.History) != changes || record.History[1].Base != 1 ||
		record.History[1].Digest != -1703480582370182761 || !bytes.HasPrefix(record.Text, []byte(`{"version":`)) || !bytes.HasSuffix(record.Text, []byte(`"services":[{"name":"svc"}]}`)) {
		t.Errorf("configRecord decoded as %+v", record)
	}
}

// Re-encoding a stored entry yields the same bytes: no field of entry was moved, removed, added or given another type.
func TestStoredEntriesAreReencodedIdentically(t *testing.T) {
	for name := range storedStates {
		count := 0
		_, err := statefile.Replay(storedDirectory+name, func(payload []byte) error {
			count++
			var decoded entry
			if err := avrocodec.Decode(payload, &decoded); err != nil {
				return err
			}
			encoded, err := avrocodec.Encode(&decoded)
			if err == nil && !bytes.Equal(encoded, payload) {
				t.Errorf("%s: entry %d of kind %d encoded as %x, want %x", name, count, decoded.Kind, encoded, payload)
			}
			return err
		})
		if err != nil || count == 0 {
			t.Errorf("%s: replayed %d entries, error %v", name, count, err)
		}
	}
}
