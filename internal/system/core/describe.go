package core

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"sedgevale/internal/avrocodec"
	"sedgevale/internal/system/statefile"
)

// Describe writes a textual summary of the state directory of a stopped core scheduler. It does not modify the directory.
func Describe(dir string, out io.Writer) error {
	s := newStore("")
	var text strings.Builder
	if _, err := statefile.Replay(dir, s.replay); err != nil {
		return err
	}
	fmt.Fprintf(&text, "disk %s of %s, life %d, joined in epoch %d\n", s.identity.ID, s.identity.Address, s.identity.Incarnation, s.identity.JoinEpoch)
	fmt.Fprintf(&text, "epoch %d of deployment %s\n", s.membership.Epoch, s.membership.Deployment)
	for i, member := range s.membership.Seats {
		fmt.Fprintf(&text, "seat %d: disk %s at %s since epoch %d, voter %t\n", i, member.ID, member.Address, member.JoinEpoch, member.Voter)
	}
	for _, name := range slices.Sorted(maps.Keys(s.registers)) {
		a := s.registers[name]
		fmt.Fprintf(&text, "register %s: promised %d, accepted %d by %s, %d bytes%s\n", name, a.Promised.Counter,
			a.Accepted.Counter, a.Accepted.Proposer, len(a.Value), versionOf(name, a.Value))
	}
	for _, name := range slices.Sorted(maps.Keys(s.replicas)) {
		r := s.replicas[name]
		fmt.Fprintf(&text, "shard %s: token %d, in step with %d, votes %t, %d records\n", name, r.FencingToken, r.InSyncToken, r.Voter, r.Records.Len())
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// versionOf formats the version and the number of former routes in a value of the configuration register. It returns "" for other
// registers.
func versionOf(name string, value []byte) string {
	var record configRecord
	if name != configRegister || avrocodec.Decode(value, &record) != nil {
		return ""
	}
	if len(record.Former) > 0 {
		return fmt.Sprintf(", configuration %d, %d former routes", record.Version, len(record.Former))
	}
	return fmt.Sprintf(", configuration %d", record.Version)
}
