package work

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Home is a member that may be asked about a key.
type Home struct {
	Identity string
	// Incarnation orders members by the time of their start.
	Incarnation uint64
}

func (h *Home) score(key string) uint64 {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(h.Identity)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// Homes returns the members that may hold a key: the member with the highest score
// of those that were there at any time. A member that joined takes over only the
// keys for which it has the highest score, so the homes are the members that beat
// all older ones: about the logarithm of their number. The last is the home now.
func Homes(key string, members []Home) []Home {
	byAge := slices.Clone(members)
	slices.SortFunc(byAge, func(a, b Home) int {
		if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
	var homes []Home
	var best uint64
	for _, m := range byAge {
		if score := m.score(key); len(homes) == 0 || score > best {
			best = score
			homes = append(homes, m)
		}
	}
	return homes
}
