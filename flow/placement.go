package flow

import (
	"net/netip"
	"time"
)

// acceptsFlows reports whether the member may get new flows.
func (m *Member) acceptsFlows(now time.Time) bool {
	return m.Load.State == StateReady && !m.silent(now)
}

// serves reports whether the member accepts new flows, or would if its failure domain were not
// evacuated.
func (m *Member) serves(now time.Time) bool {
	return (m.Load.State == StateReady || m.Load.State == StateEvacuated) && !m.silent(now)
}

// place chooses the sidecar for an opening packet. A retransmission goes to another sidecar than
// the packet before it, which was not answered, unless no other sidecar accepts new flows.
func (b *Balancer) place(p *Packet, r *ranking, path Path, hash uint64, loc location, now time.Time) BalancerVerdict {
	v := BalancerVerdict{Action: ActionForward, Reason: ReasonPlaced, Path: path}
	if loc.addr.IsValid() {
		v.Reason = ReasonPlacedAgain
		if m, ok := b.members[loc.addr]; ok && m.unansweredSince.IsZero() {
			m.unansweredSince = now
		}
	}
	id := routeID(p.Key.Service())
	best := b.cheapest(r, hash, loc.addr, id, path.WarmupRate, now)
	if best == nil {
		return b.refuseNoUpstream(p, path.Tag, now)
	}
	v.Path.To = best.Addr
	n := b.addFallbacks(&v.Path, r, hash, best, now)
	if b.placesByTime(path.Tag) {
		v.Expected = b.expectedTime(best, id, now)
		b.orderFallbacks(&v.Path, n, id, now)
	}
	best.SentSinceReport++
	best.sentWork += best.requestTime(id)
	best.outlier.Sent()
	if best.unansweredSince.IsZero() {
		best.unansweredSince = now
	}
	b.locations.put(p.Key, location{addr: best.Addr}, now)
	return v
}

// addFallbacks adds the ranked members that accept new flows to a path, but for the chosen one. Those
// of last resort come last; addFallbacks returns the number of the others.
func (b *Balancer) addFallbacks(path *Path, r *ranking, hash uint64, chosen *Member, now time.Time) int {
	var later [RankingDepth]*Member
	n := 0
	for rank := range r.depth {
		m := r.at(hash, rank)
		switch {
		case m == chosen || !m.acceptsFlows(now):
		case m.lastResort(path.WarmupRate, now):
			later[n] = m
			n++
		default:
			path.add(m.Addr)
		}
	}
	usual := path.FallbackCount
	for _, m := range later[:n] {
		path.add(m.Addr)
	}
	return usual
}

// cheapest returns the member with the lowest cost among the ranked ones that accept new flows; nil
// if there is none. Only if there are no others, it returns one of last resort, or else the one at
// avoid.
func (b *Balancer) cheapest(r *ranking, hash uint64, avoid netip.AddrPort, id RouteID, warmupRate uint16, now time.Time) *Member {
	var best, resort, last *Member
	var lowest float64
	var compared candidates
	byTime := b.placesByTime(r.members[0].Load.Tag)
	for rank := range r.depth {
		m := r.at(hash, rank)
		if !m.acceptsFlows(now) {
			continue
		}
		if m.Addr == avoid {
			last = m
			continue
		}
		if m.lastResort(warmupRate, now) {
			if resort == nil {
				resort = m
			}
			continue
		}
		if byTime && !compared.add(m.Load.DomainID == b.domain) {
			continue
		}
		cost := b.cost(m, id, byTime, now)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	switch {
	case best != nil:
		return best
	case resort != nil:
		return resort
	}
	return last
}

// cost returns the cost of sending a new flow of a route to the member: the expected time to an answer if
// byTime is set, else the requests that are ahead per slot.
func (b *Balancer) cost(m *Member, id RouteID, byTime bool, now time.Time) float64 {
	if byTime {
		return float64(b.expectedTime(m, id, now))
	}
	return m.cost(b.domain, now)
}

// The cost of a member is the number of requests per slot that are ahead of a new one, plus these
// costs in the same unit.
const (
	costFlow        = 0.02 // each open flow, idle or not, per slot
	costOtherDomain = 0.8  // the member is in another failure domain
	costWarmup      = 1.0  // the upstream is still slow after its start
	costUnanswered  = 10.0 // an opening packet went unanswered for unansweredAfter
)

// cost returns the cost of sending a new flow to the member from a failure domain.
func (m *Member) cost(domain uint32, now time.Time) float64 {
	slots := float64(max(1, m.Load.Slots))
	cost := (float64(m.Load.Busy+m.SentSinceReport) + costFlow*float64(m.Load.Flows)) / slots
	if m.Load.DomainID != domain {
		cost += costOtherDomain
	}
	if m.Load.WarmupLeft > now.Sub(m.ReportedAt) {
		cost += costWarmup
	}
	if !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) > unansweredAfter {
		cost += costUnanswered
	}
	return cost
}
