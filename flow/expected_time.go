package flow

import (
	"slices"
	"time"
)

// Placement says how the sidecar for a new flow is chosen.
type Placement uint8

const (
	// PlaceByRequests chooses the sidecar with the fewest requests and flows per slot.
	PlaceByRequests Placement = iota
	// PlaceByExpectedTime chooses the sidecar that is expected to answer first. It is meant
	// for requests that look alike and cost different amounts of work, and for upstreams of unequal
	// pace.
	PlaceByExpectedTime
	// PlaceAdaptively is PlaceByExpectedTime for services whose upstreams differ in pace, and
	// PlaceByRequests for others.
	PlaceAdaptively
)

// placementNames are the names of the placements in settings.
var placementNames = [...]string{"requests", "expected-time", "adaptive"}

// String returns the placement's name in settings.
func (p Placement) String() string { return placementNames[p] }

// ParsePlacement returns the placement with a name in settings. The empty name is PlaceByRequests.
func ParsePlacement(name string) (p Placement, ok bool) {
	i := slices.Index(placementNames[:], name)
	return Placement(max(0, i)), i >= 0 || name == ""
}

// DefaultOtherDomainTime is how much sooner a sidecar of another failure domain usually has to answer
// to get a new flow.
const DefaultOtherDomainTime = 15 * time.Millisecond

const (
	// candidateLimit is the number of ranked members of the own failure domain, and of others, that
	// are compared. With more, all balancers would send their flows to the same few members until
	// these report again.
	candidateLimit = 3
	// unansweredTime is added for a member that left an opening packet unanswered. It is more than
	// callers wait until they send the packet again.
	unansweredTime = time.Second
	// usualWorkGain is the weight of a report in the moving average Member.usualWork.
	usualWorkGain = 1.0 / 8
	// waitLimit is how long a request may wait for a slot before its flow goes to a sibling, as a
	// multiple of the time that a request takes.
	waitLimit = 2.5
	// forwardRatio bounds the time to an answer that is expected at a sibling, as a multiple of the time
	// expected here, for a flow to be forwarded there. The sibling's time is that of its last report.
	forwardRatio = 2
)

// SetPlacement changes how new flows are placed. otherDomainTime is how much sooner a member of another
// failure domain has to answer; only placement by expected time uses it.
func (b *Balancer) SetPlacement(p Placement, otherDomainTime time.Duration) {
	b.placement = p
	b.otherDomainTime = otherDomainTime
}

// recordWork updates what is known of the member's work for a report that is about to replace the one
// before it.
func (m *Member) recordWork(l *Load) {
	m.sentWork = 0
	m.usualWork += time.Duration(usualWorkGain * float64(l.Work-m.usualWork))
}

// requestTime returns how long the member is expected to take for a request of a route.
func (m *Member) requestTime(id RouteID) time.Duration {
	for i := range m.Load.RouteCosts {
		if c := &m.Load.RouteCosts[i]; c.Route == id {
			return c.Cost
		}
	}
	return m.Load.ServiceTime
}

// expectedWork returns the work that the member is expected to have by now. Reported work is done after
// a time and other work arrives, so an older report says less than what is usual.
func (m *Member) expectedWork(reportAge time.Duration) time.Duration {
	slots := time.Duration(max(1, m.Load.Slots))
	turnover := float64(max(m.Load.Work/slots, m.Load.ServiceTime, time.Millisecond))
	current := turnover / (turnover + float64(max(0, reportAge)))
	return m.usualWork + time.Duration(current*float64(m.Load.Work-m.usualWork))
}

// expectedTime returns how long a caller is expected to wait for the answer to a request of a route
// that is sent to the member now, plus a penalty for each other reason to avoid the member. The
// other balancers are expected to have sent it as much work as this one since it reported.
func (b *Balancer) expectedTime(m *Member, id RouteID, now time.Time) time.Duration {
	sent := time.Duration(1+len(b.peers)) * m.sentWork
	return b.reportedTime(m, id, now) + sent/time.Duration(max(1, m.Load.Slots))
}

// reportedTime is expectedTime without the work that was sent to the member since its report.
func (b *Balancer) reportedTime(m *Member, id RouteID, now time.Time) time.Duration {
	request := m.requestTime(id)
	age := now.Sub(m.ReportedAt)
	ahead := m.expectedWork(age)
	ahead += time.Duration(costFlow * float64(m.Load.OpenFlows) * float64(m.Load.ServiceTime))
	t := ahead/time.Duration(max(1, m.Load.Slots)) + request
	if m.Load.DomainID != b.domain {
		t += b.otherDomainTime
	}
	if m.Load.WarmupLeft > age {
		t += request
	}
	if !m.unansweredSince.IsZero() && now.Sub(m.unansweredSince) > unansweredAfter {
		t += unansweredTime
	}
	return t
}

// candidates counts the members that were compared for a flow.
type candidates struct{ local, remote int }

// add reports whether a member is to be compared too.
func (c *candidates) add(local bool) bool {
	n := &c.remote
	if local {
		n = &c.local
	}
	*n++
	return *n <= candidateLimit
}

// orderFallbacks sorts the first n fallbacks of a path by their expected times to an answer, and adds the
// reported times, so that a sidecar that has too much work sends the flow on only if a sibling is quicker.
// Reported times leave out what was sent since the reports: a balancer knows that of itself alone, and an
// estimate that is too high keeps flows at the sidecar that has too much work.
func (b *Balancer) orderFallbacks(path *Path, n int, id RouteID, now time.Time) {
	addrs, times := path.Fallbacks[:n], path.FallbackTimes[:n]
	var order [RankingDepth]time.Duration
	for i, addr := range addrs {
		m := b.members[addr]
		t, reported := b.expectedTime(m, id, now), b.reportedTime(m, id, now)
		at := i
		for ; at > 0 && order[at-1] > t; at-- {
			addrs[at], times[at], order[at] = addrs[at-1], times[at-1], order[at-1]
		}
		addrs[at], times[at], order[at] = addr, reported, t
	}
}

// waitsTooLong reports whether the first request of a new flow is expected to wait for a slot for so
// long that the next fallback, whose answer is expected after next, is quicker. It uses the sidecar's
// present work, while the balancer chose by a report.
func (s *Sidecar) waitsTooLong(tp *TunnelPacket, next time.Duration, now time.Time) bool {
	slots := max(1, s.slots())
	if s.outstanding()+s.commitments.Len() < slots {
		return false
	}
	limit := time.Duration(waitLimit * float64(s.pace.Pace(now)))
	if target := tp.Path.Policy.LatencyTarget; target > 0 {
		limit = min(limit, target)
	}
	wait := s.work(now) / time.Duration(slots)
	expected := wait + s.pace.ExpectRoute(tp.Packet.Key.Service(), now)
	return wait > limit && next < forwardRatio*expected
}
