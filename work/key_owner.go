package work

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// KeyOwner is a sidecar that may store the claim of an idempotency key.
type KeyOwner struct {
	Identity string
	// Incarnation is higher for a sidecar that started later.
	Incarnation uint64
}

// score returns the rendezvous hash of the sidecar and a key.
func (o *KeyOwner) score(key string) uint64 {
	d := xxhash.New()
	// Writing to a hash never fails.
	_, _ = d.WriteString(o.Identity)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(key)
	return d.Sum64()
}

// KeyOwners returns the members that may store the claim of a key, by rendezvous hashing: a key
// belongs to the member with the highest score. A member that joins takes over only the keys for
// which it has the highest score, and earlier claims stay where they were made. So the owners are
// the members whose score exceeds those of all members started before them, about ln(n) of n
// members. The last one is the current owner, to which new claims go.
func KeyOwners(key string, members []KeyOwner) []KeyOwner {
	byStart := slices.Clone(members)
	slices.SortFunc(byStart, func(a, b KeyOwner) int {
		if c := cmp.Compare(a.Incarnation, b.Incarnation); c != 0 {
			return c
		}
		return cmp.Compare(a.Identity, b.Identity)
	})
	var owners []KeyOwner
	var highest uint64
	for _, m := range byStart {
		if score := m.score(key); len(owners) == 0 || score > highest {
			highest = score
			owners = append(owners, m)
		}
	}
	return owners
}
