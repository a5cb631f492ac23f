package flow

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// relayGroups groups members by failure domain. The first member of each group relays the message to
// the others. turn selects it, so that each query and each retry has another relay: one may have
// crashed, and relaying is work that members share. A silent member is selected only if all are.
func (b *Balancer) relayGroups(to []netip.AddrPort, turn uint32, now time.Time) [][]netip.AddrPort {
	domains := map[uint32][]netip.AddrPort{}
	for _, addr := range to {
		d := b.members[addr].Load.DomainID
		domains[d] = append(domains[d], addr)
	}
	var groups [][]netip.AddrPort
	for _, d := range slices.Sorted(maps.Keys(domains)) {
		slices.SortFunc(domains[d], func(x, y netip.AddrPort) int {
			return cmp.Or(b.relayOrder(x, now)-b.relayOrder(y, now), x.Compare(y))
		})
		for group := range slices.Chunk(domains[d], relayLimit+1) {
			candidates := len(group)
			if i := slices.IndexFunc(group, func(addr netip.AddrPort) bool { return b.relayOrder(addr, now) > 0 }); i > 0 {
				candidates = i
			}
			first := turn % uint32(candidates)
			group[0], group[first] = group[first], group[0]
			groups = append(groups, group)
		}
	}
	return groups
}

// relayOrder returns the sort key of a member for the choice of relays: silent members come last.
func (b *Balancer) relayOrder(addr netip.AddrPort, now time.Time) int {
	if b.members[addr].silent(now) {
		return 1
	}
	return 0
}
