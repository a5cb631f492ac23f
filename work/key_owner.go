package work

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeyOwner is a member that may be asked about a key.
type KeyOwner struct {
	Identity string
	// Incarnation orders members by the time of their start.
	Incarnation uint64
}

func (h *KeyOwner) score(key string) uint64 {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(h.Identity)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// KeyOwners returns the members that may hold a key: the member with the highest score
// of those that were there at any time. A member that joined takes over only the
// keys for which it has the highest score, so the owners are the members that beat
// all older ones: about the logarithm of their number. The last is the owner now.
func KeyOwners(key string, members []KeyOwner) []KeyOwner {
	byAge := slices.Clone(members)
	slices.SortFunc(byAge, func(a, b KeyOwner) int {
		if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
	var owners []KeyOwner
	var best uint64
	for _, m := range byAge {
		if score := m.score(key); len(owners) == 0 || score > best {
			best = score
			owners = append(owners, m)
		}
	}
	return owners
}
