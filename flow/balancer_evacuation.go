package flow

import (
	"net/netip"
	"time"
)

// HandleEvacuations processes evacuations that the store or another balancer named, and returns what
// has changed.
func (b *Balancer) HandleEvacuations(e Evacuations, now time.Time) EvacuationChange {
	change := b.evacuations.observe(&e, now)
	if len(change.Evacuated)+len(change.Restored) > 0 {
		clear(b.placementRankings)
	}
	return change
}

// ExpireEvacuations ends evacuations that were held after the store was restored, and returns their
// domains. It has to be called about once a second.
func (b *Balancer) ExpireEvacuations(now time.Time) []uint32 {
	restored := b.evacuations.expire(now)
	if len(restored) > 0 {
		clear(b.placementRankings)
	}
	return restored
}

// Evacuations returns the newest evacuations, to be passed on to other processes. It returns the zero
// value if no process is known to have had an evacuated domain.
func (b *Balancer) Evacuations() Evacuations { return b.evacuations.sharedEvacuations() }

// EvacuatedDomains returns the number of flows in each evacuated domain, by the domain's ID, as the
// members there report; nil if no domain is evacuated.
func (b *Balancer) EvacuatedDomains() map[uint32]int {
	if len(b.evacuations.evacuated) == 0 {
		return nil
	}
	flows := make(map[uint32]int, len(b.evacuations.evacuated))
	for id := range b.evacuations.evacuated {
		flows[id] = 0
	}
	for _, m := range b.members {
		if b.evacuations.evacuated[m.Load.DomainID] {
			flows[m.Load.DomainID] += int(m.Load.Flows)
		}
	}
	return flows
}

// MembersIn returns the addresses of the members in the failure domains with the given IDs, in no
// particular order.
func (b *Balancer) MembersIn(domainIDs map[uint32]bool) []netip.AddrPort {
	var list []netip.AddrPort
	for addr, m := range b.members {
		if domainIDs[m.Load.DomainID] {
			list = append(list, addr)
		}
	}
	return list
}

// EvacuationUnknown reports whether a sidecar's report shows that the sidecar does not know the newest
// evacuations.
func (b *Balancer) EvacuationUnknown(l *Load) bool {
	evacuated := b.evacuations.evacuated[l.DomainID]
	if l.State == StateEvacuated {
		b.evacuations.shared = true
	}
	return l.State == StateReady && evacuated || l.State == StateEvacuated && !evacuated
}

// placementRanking returns the ranking of the members of a service that are in no evacuated failure
// domain; nil if there are none. Lookups of open flows use the full ranking.
func (b *Balancer) placementRanking(tag Tag) *ranking {
	if len(b.evacuations.evacuated) == 0 {
		return b.ranking(tag)
	}
	if r, ok := b.placementRankings[tag]; ok {
		return r
	}
	var list []*Member
	for _, m := range b.members {
		if m.Load.Tag == tag && !b.evacuations.evacuated[m.Load.DomainID] {
			list = append(list, m)
		}
	}
	if list == nil {
		return nil
	}
	b.placementRankings[tag] = newRanking(list, b.domain)
	return b.placementRankings[tag]
}

// dropRankings discards the rankings of a service whose members have changed.
func (b *Balancer) dropRankings(tag Tag) {
	delete(b.rankings, tag)
	delete(b.placementRankings, tag)
}

// noUpstreamReason returns why no member of a service accepts a flow.
func (b *Balancer) noUpstreamReason(tag Tag, now time.Time) Reason {
	for _, m := range b.members {
		if m.Load.Tag == tag && m.serves(now) && (m.Load.State == StateEvacuated || b.evacuations.evacuated[m.Load.DomainID]) {
			return ReasonEvacuated
		}
	}
	return ReasonNoUpstream
}

// forwardKnownOpening forwards the opening packet of a flow that a sidecar has confirmed. Only the
// sidecar can tell whether the packet repeats that of the open flow or the caller uses its port again, so
// the packet also has the path of a new flow. It has none if the sidecar accepts no new flows, unless
// that is for an evacuation: a sidecar that is leaving sends repeated packets to siblings, too.
func (b *Balancer) forwardKnownOpening(p *Packet, loc location, route *Route, hash uint64, now time.Time) BalancerVerdict {
	v := b.forwardKnown(p, loc, route, now)
	if service := route.PickService(hash); service != nil {
		v.Path.WarmupRate = service.WarmupRate
	}
	m := b.members[loc.addr]
	if !b.evacuations.evacuated[m.Load.DomainID] && !m.acceptsFlows(now) {
		return v
	}
	if r := b.placementRanking(m.Load.Tag); r != nil {
		b.addFallbacks(&v.Path, r, hash, m, now)
	}
	return v
}
