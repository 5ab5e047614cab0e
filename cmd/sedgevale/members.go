package main

import (
	"fmt"
	"os"

	"sedgevale/internal/system/core"
)

// membersCmd shows the state of the core as one of its schedulers reports it.
type membersCmd struct{ coreFlags }

// Run prints the membership, the peers and the shard owners.
func (c membersCmd) Run() error {
	m := &core.MembersResponse{}
	if err := c.call(core.MethodMembers, &core.MembersRequest{}, m); err != nil {
		return err
	}
	fmt.Printf("%s: configuration %d, confirmed by a quorum: %t\n\n", m.Address, m.ConfigVersion, m.ConfigFresh)
	t := newTable(os.Stdout)
	t.row("EPOCH %d\nSEAT\tDISK\tADDRESS\tSINCE\tVOTER", m.Membership.Epoch)
	for i, member := range m.Membership.Seats {
		t.row("%d\t%s\t%s\t%d\t%t", i, member.ID, member.Address, member.JoinEpoch, member.Voter)
	}
	t.row("\nPEER\tZONE\tHEARD\tDISK\tEPOCH\tLEAVING")
	for _, p := range m.Peers {
		lastAnswer := "never"
		if p.LastHeartbeatAgeMS >= 0 {
			lastAnswer = fmt.Sprintf("%d ms ago", p.LastHeartbeatAgeMS)
		}
		t.row("%s\t%s\t%s\t%s\t%d\t%t", p.Address, p.Zone, lastAnswer, p.Member, p.Epoch, p.Draining)
	}
	t.row("\nSHARD\tOWNER\tTOKEN")
	for _, o := range m.Owners {
		t.row("%s\t%s\t%d", o.Shard, o.Address, o.Token)
	}
	return t.flush()
}
