// Package rendezvous chooses members for keys by highest random weight hashing (Thaler and Ravishankar,
// 1998): all who know the same members choose alike, and a member that comes or goes moves only its own keys.
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

// Rank returns the members in the order of their weight for a key, the heaviest first.
func Rank(key string, members []string) []string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(Weight(key, b), Weight(key, a)), cmp.Compare(a, b))
	})
	return ranked
}

// First returns the member with the greatest weight for a key, or "" where there is none.
func First(key string, members []string) string {
	if len(members) == 0 {
		return ""
	}
	return Rank(key, members)[0]
}

// Monitors returns the members that one of them watches: the few heaviest others for its own name.
func Monitors(self string, members []string, count int) []string {
	var others []string
	for _, member := range members {
		if member != self {
			others = append(others, member)
		}
	}
	ranked := Rank(self, others)
	return ranked[:min(count, len(ranked))]
}
