package main

import (
	"strings"
	"testing"

	"sedgevale/internal/peers"
)

// memberStatus returns the status of a member that was heard from 12 ms ago.
func memberStatus(number int, state string, revision uint32, digest string, behind int64, differs bool) peers.MemberStatus {
	return peers.MemberStatus{Number: number, State: state, HeardMS: 12, Revision: revision, Digest: digest, BehindMS: behind, Differs: differs}
}

// After a change of the configuration, operators must see which members have not applied it, and for how long.
func TestPrintPeers(t *testing.T) {
	s := peers.Status{Self: 0, FailureDetection: true, Newest: 41, Members: []peers.MemberStatus{
		memberStatus(0, "self", 41, "1a2b3c4d", -1, false), memberStatus(1, "alive", 41, "1a2b3c4d", -1, false),
		memberStatus(2, "gone", 0, "", -1, false), memberStatus(3, "alive", 38, "00000007", 12_345, false), memberStatus(4, "alive", 0, "", -1, false),
		memberStatus(5, "unknown", 0, "", -1, false), memberStatus(6, "doubted", 41, "99999999", -1, true), memberStatus(7, "alive", 0, "00000009", 70_000, false)}}
	var out strings.Builder
	if err := printPeers(&out, s, false); err != nil {
		t.Fatal(err)
	}
	want := `scheduler 0 of 8; 0 boxes, 0 of them its part; 0 datagrams (0 bytes) sent, 0 received, 0 refused

revision 41 in force at 2 of 6; behind: 3 (12s), 7 (1m10s); differs: 6; not known: 4

NUMBER  STATE    HEARD     LOSS  REVISION     IN FORCE
0       self     12ms ago  0%    41 1a2b3c4d  
1       alive    12ms ago  0%    41 1a2b3c4d  
2       gone     12ms ago  0%    -            
3       alive    12ms ago  0%    38 00000007  behind 12s
4       alive    12ms ago  0%    ?            
5       unknown  12ms ago  0%    -            
6       doubted  12ms ago  0%    41 99999999  differs
7       alive    12ms ago  0%    0 00000009   behind 1m10s
`
	if got, _, _ := strings.Cut(out.String(), "\nBOX"); got != want {
		t.Errorf("got\n%s\nwant\n%s", got, want)
	}
	s.FailureDetection = false
	out.Reset()
	if err := printPeers(&out, s, false); err != nil || strings.Contains(out.String(), "in force at") {
		t.Errorf("the rollout is printed although failure detection is off: error %v\n%s", err, &out)
	}
}
