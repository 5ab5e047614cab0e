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

// storedStates are the data directories of core machines under statefile/testdata and what is said of each. The line of
// a disk is that after one more start.
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

// A core scheduler that starts on a directory of an earlier release holds the same registers, seats and shards.
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
				t.Errorf("error %v, the state is\n%s\nwant\n%s", err, text.String(), want.text)
			}
			if !opened.identity.Restored {
				t.Error("the disk counts as one that has not been restored")
			}
			type storedOwner struct {
				Address string
				Token   int64
			}
			var owner storedOwner
			if err := avrocodec.Decode(opened.registers["owner/svc"].Value, &owner); err != nil || owner != (storedOwner{"10.0.0.3:7000", 2}) {
				t.Errorf("the shard is owned by %+v, error %v", owner, err)
			}
			var record ownerRecord
			if err := avrocodec.Decode(opened.registers["owner/svc"].Value, &record); err != nil || record.Address != owner.Address || record.Token != 2 {
				t.Errorf("the owner is read as %+v, error %v", record, err)
			}
			checkStoredConfig(t, name, opened.registers["config"].Value)
		})
	}
}

// checkStoredConfig checks the value of the configuration's register.
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
		t.Errorf("the configuration is read as %+v", record)
	}
}

// Each entry is written again as it was: no field was moved, dropped, added or given another type.
func TestStoredEntriesAreWrittenAgainAlike(t *testing.T) {
	for name := range storedStates {
		count := 0
		_, err := statefile.Replay(storedDirectory+name, func(payload []byte) error {
			count++
			var one entry
			if err := avrocodec.Decode(payload, &one); err != nil {
				return err
			}
			again, err := avrocodec.Encode(&one)
			if err == nil && !bytes.Equal(again, payload) {
				t.Errorf("%s: entry %d of kind %d is written as %x, was %x", name, count, one.Kind, again, payload)
			}
			return err
		})
		if err != nil || count == 0 {
			t.Errorf("%s: %d entries, error %v", name, count, err)
		}
	}
}
