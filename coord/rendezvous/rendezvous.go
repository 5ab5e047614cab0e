// Package rendezvous assigns keys to members by highest random weight hashing: D. Thaler and C. Ravishankar, "Using
// Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions on Networking 6(1), 1998. Schedulers with the same set
// of members compute the same assignment, and adding or removing a member reassigns only that member's keys.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Weight returns the weight of a member for a key.
func Weight(key, member string) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(key)
	_, _ = hash.WriteString("\x00")
	_, _ = hash.WriteString(member)
	return hash.Sum64()
}

// Rank returns the members in descending order of weight for a key; ties are broken by name.
func Rank(key string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// Highest returns the member with the highest weight for a key, or "" if there are no members.
func Highest(key string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return Rank(key, members)[0]
}
