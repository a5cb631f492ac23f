package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// settledAfter is how long after its start and the last join a balancer assumes that it knows
	// all members. The join of a member that cannot hold the flow in question does not count.
	settledAfter = time.Second
	// registeredSettledAfter replaces settledAfter once all members that the store lists have reported.
	registeredSettledAfter = 100 * time.Millisecond
	// introduceInterval is the time between introductions to a member that does not report.
	introduceInterval = 200 * time.Millisecond
	// peerTimeout is how long after its start and the last join a balancer waits for the member count
	// of another balancer before it assumes that there is no other.
	peerTimeout = 2 * time.Second
)

// peerMembers is the number of members that another balancer reported.
type peerMembers struct {
	count      int
	receivedAt time.Time
}

// gossipedMember is a member that another balancer named recently and that has not reported here.
type gossipedMember struct {
	// lastNamed is when another balancer last named the member; lastIntroduced is when this balancer
	// last sent the member an introduction.
	lastNamed, lastIntroduced time.Time
	// attempts counts the introductions, which the member has not answered.
	attempts attempts
}

// allowIntroduction reports whether this balancer has to introduce itself to the member now. If so,
// it records the introduction.
func (g *gossipedMember) allowIntroduction(now time.Time) bool {
	if now.Sub(g.lastIntroduced) <= introduceInterval {
		return false
	}
	g.lastIntroduced = now
	g.attempts.record(now)
	return true
}

// SetPeerMemberCount records how many members another balancer knows.
func (b *Balancer) SetPeerMemberCount(peer netip.AddrPort, n int, now time.Time) {
	b.peers[peer] = peerMembers{count: n, receivedAt: now}
}

// maxPeerMembers returns the largest number of members that another balancer has reported within
// peerCountAge, and whether any balancer has.
func (b *Balancer) maxPeerMembers(now time.Time) (count int, reported bool) {
	for _, p := range b.peers {
		if now.Sub(p.receivedAt) <= peerCountAge {
			count, reported = max(count, p.count), true
		}
	}
	return count, reported
}

// UnknownMembers returns those of the addresses that belong to no member.
func (b *Balancer) UnknownMembers(addrs []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addrs), func(addr netip.AddrPort) bool {
		_, known := b.members[addr]
		return known
	})
}

// HandleGossip processes the members that another balancer named, and returns those that this
// balancer has to introduce itself to now. Lookups give up no flow while a named member that has not
// reported here may hold it. Members that expired here recently are ignored.
func (b *Balancer) HandleGossip(addrs []netip.AddrPort, now time.Time) []netip.AddrPort {
	var introduce []netip.AddrPort
	for _, addr := range b.UnknownMembers(addrs) {
		if _, expired := b.expiredMembers[addr]; expired {
			continue
		}
		g, ok := b.gossiped[addr]
		if !ok {
			g = &gossipedMember{}
			b.gossiped[addr] = g
		}
		g.lastNamed = now
		if g.allowIntroduction(now) {
			introduce = append(introduce, addr)
		}
	}
	return introduce
}

// introductions returns the gossiped members that this balancer has to introduce itself to again.
func (b *Balancer) introductions(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for addr, g := range b.gossiped {
		if g.allowIntroduction(now) {
			list = append(list, addr)
		}
	}
	return list
}

// SetRegistered processes the list of members in the platform's store. Members that have not
// reported here are awaited, unless they expired recently. A list that is not complete does not
// prove that there are no other members.
func (b *Balancer) SetRegistered(addrs []netip.AddrPort, complete bool) {
	b.registered = complete && len(addrs) > 0
	clear(b.awaited)
	for _, addr := range b.UnknownMembers(addrs) {
		if _, expired := b.expiredMembers[addr]; !expired {
			b.awaited[addr] = true
		}
	}
}

// registeredReported reports whether the store has listed all members and all of them have reported.
// Members that join later hold no older flows.
func (b *Balancer) registeredReported() bool { return b.registered && len(b.awaited) == 0 }

// settled reports whether all members count as known, so that new flows may be refused.
func (b *Balancer) settled(now time.Time) bool {
	return b.membership(now).gap(now, now) == MembershipGapNone
}

// membershipEvidence is the evidence on whether this balancer knows all members.
type membershipEvidence struct {
	// gossipPending is set if a gossiped member has not answered and does not count as unreachable.
	//
	// peerKnowsMore is set if another balancer has reported more members than this one can account
	// for: its members, unreachable gossiped members, and members that expired recently.
	//
	// peerReported is set if another balancer has reported its number of members within peerCountAge.
	gossipPending, peerKnowsMore, peerReported bool
	// registeredReported is set if all members that the store lists have reported.
	registeredReported bool
	// started is when this balancer started.
	started time.Time
	// recentlyJoined are the members that joined within peerTimeout.
	recentlyJoined []*Member
}

// membership returns the evidence at a time.
func (b *Balancer) membership(now time.Time) *membershipEvidence {
	peerCount, reported := b.maxPeerMembers(now)
	e := &membershipEvidence{peerReported: reported, registeredReported: b.registeredReported(), started: b.started}
	unreachable := len(b.expiredMembers)
	for _, g := range b.gossiped {
		if g.attempts.exhausted(now) {
			unreachable++
		} else {
			e.gossipPending = true
		}
	}
	e.peerKnowsMore = len(b.members)+unreachable < peerCount
	for _, m := range b.members {
		if now.Sub(m.joined) <= peerTimeout {
			e.recentlyJoined = append(e.recentlyJoined, m)
		}
	}
	return e
}

// MembershipGap is a reason why a balancer may not know all members.
type MembershipGap uint8

// The reasons.
const (
	// MembershipGapNone means that all members count as known.
	MembershipGapNone MembershipGap = iota
	// MembershipGapNamed means that another balancer named a member that has not reported here.
	MembershipGapNamed
	// MembershipGapNoPeer means that no other balancer has reported its number of members yet.
	MembershipGapNoPeer
	// MembershipGapCounted means that another balancer reported more members than this balancer can
	// account for.
	MembershipGapCounted
	// MembershipGapJoining means that this balancer started or a member joined recently.
	MembershipGapJoining
)

// String returns the reason's name.
func (g MembershipGap) String() string {
	return [...]string{"known", "others-named", "no-balancer-heard", "others-counted", "joining"}[g]
}

// gap returns why this balancer may not know all members that can hold a flow. firstPacket is when
// the first packet of the flow's lookup arrived. If a member joined recently, others may still be
// unknown, unless the member's upstream started after firstPacket. After a power loss, when all
// processes are new, the store's list is the first source that is complete.
func (e *membershipEvidence) gap(firstPacket, now time.Time) MembershipGap {
	lastJoin := e.started
	for _, m := range e.recentlyJoined {
		if !m.noFlowsBefore.After(firstPacket) && m.joined.After(lastJoin) {
			lastJoin = m.joined
		}
	}
	elapsed := now.Sub(lastJoin)
	switch {
	case e.gossipPending:
		return MembershipGapNamed
	case !e.peerReported && elapsed <= peerTimeout:
		return MembershipGapNoPeer
	case !e.peerReported:
		return MembershipGapNone
	case e.peerKnowsMore:
		return MembershipGapCounted
	case elapsed <= registeredSettledAfter, elapsed <= settledAfter && !e.registeredReported:
		return MembershipGapJoining
	}
	return MembershipGapNone
}
