package flow

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// settledAfter is how long no member that may hold older flows may have joined before
	// the members of the system count as known.
	settledAfter = time.Second
	// registeredAfter is the same time if all members that the store names are known.
	registeredAfter = 100 * time.Millisecond
	// introduceInterval is the time between introductions to a member that does not report.
	introduceInterval = 200 * time.Millisecond
	// peerPatience is how long a balancer that has heard no other one waits for one.
	peerPatience = 2 * time.Second
)

// peerMembers is how many members another balancer knew when it was heard.
type peerMembers struct {
	n     int
	heard time.Time
}

// gossip is a member that another balancer named lately and that did not report here yet.
type gossip struct {
	// named is when it was named last, introduced when this balancer introduced itself.
	named, introduced time.Time
	patience          patience
}

// due reports whether the balancer is to introduce itself now.
func (r *gossip) due(now time.Time) bool {
	if now.Sub(r.introduced) <= introduceInterval {
		return false
	}
	r.introduced = now
	r.patience.ask(now)
	return true
}

// SetPeerMemberCount notes how many members another balancer knows.
func (s *Balancer) SetPeerMemberCount(peer netip.AddrPort, n int, now time.Time) {
	s.peers[peer] = peerMembers{n: n, heard: now}
}

// peersKnow returns the largest number of members that another balancer knows, and
// whether any spoke lately.
func (s *Balancer) peersKnow(now time.Time) (most int, heard bool) {
	for _, p := range s.peers {
		if now.Sub(p.heard) <= peerAge {
			most, heard = max(most, p.n), true
		}
	}
	return most, heard
}

// UnknownMembers returns those of the members that are not known here.
func (s *Balancer) UnknownMembers(addrs []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addrs), func(addr netip.AddrPort) bool {
		_, known := s.members[addr]
		return known
	})
}

// HandleGossip takes in the members that another balancer knows, and returns those that this
// one should introduce itself to. Flows that they may hold are not given up, unless they
// fell silent here.
func (s *Balancer) HandleGossip(addrs []netip.AddrPort, now time.Time) []netip.AddrPort {
	var fresh []netip.AddrPort
	for _, addr := range s.UnknownMembers(addrs) {
		if _, silent := s.forgotten[addr]; silent {
			continue
		}
		r, ok := s.gossiped[addr]
		if !ok {
			r = &gossip{}
			s.gossiped[addr] = r
		}
		r.named = now
		if r.due(now) {
			fresh = append(fresh, addr)
		}
	}
	return fresh
}

// introductions are the members that others named and that are to be asked again for a
// report.
func (s *Balancer) introductions(now time.Time) []netip.AddrPort {
	var list []netip.AddrPort
	for addr, r := range s.gossiped {
		if r.due(now) {
			list = append(list, addr)
		}
	}
	return list
}

// SetRegistered takes in the members that stand in the platform's store. Those that did not
// report here yet are awaited.
func (s *Balancer) SetRegistered(addrs []netip.AddrPort) {
	s.registered = len(addrs) > 0
	clear(s.awaited)
	for _, addr := range s.UnknownMembers(addrs) {
		if _, silent := s.forgotten[addr]; !silent {
			s.awaited[addr] = true
		}
	}
}

// registeredKnown reports whether the store was read, and all members that it named have
// reported since: members that join later hold no older flows.
func (s *Balancer) registeredKnown() bool { return s.registered && len(s.awaited) == 0 }

// settled reports whether all members of the system are known.
func (s *Balancer) settled(now time.Time) bool {
	return s.membership(now).complete(now, now) == MembershipGapNone
}

// membership is what speaks for or against knowing all members at a time.
type membership struct {
	// named is set if another balancer named a member that is still waited for, counted
	// if one knows more members, heard if one spoke lately.
	named, counted, heard bool
	// registered is set if all members that the store named have reported.
	registered bool
	started    time.Time
	// recent are the members that joined lately.
	recent []*Member
}

func (s *Balancer) membership(now time.Time) *membership {
	most, heard := s.peersKnow(now)
	k := &membership{heard: heard, registered: s.registeredKnown(), started: s.started}
	lost := len(s.forgotten)
	for _, r := range s.gossiped {
		if r.patience.exhausted(now) {
			lost++
		} else {
			k.named = true
		}
	}
	k.counted = len(s.members)+lost < most
	for _, m := range s.members {
		if now.Sub(m.joined) <= peerPatience {
			k.recent = append(k.recent, m)
		}
	}
	return k
}

// MembershipGap says what is missing to the knowledge of all members.
type MembershipGap uint8

// What may be missing.
const (
	// MembershipGapNone means that nothing is missing.
	MembershipGapNone MembershipGap = iota
	// MembershipGapNamed means that another balancer named members that have not reported here.
	MembershipGapNamed
	// MembershipGapNoPeer means that no other balancer has spoken yet.
	MembershipGapNoPeer
	// MembershipGapCounted means that another balancer knows more members.
	MembershipGapCounted
	// MembershipGapJoining means that members joined lately.
	MembershipGapJoining
)

// String returns what is missing.
func (i MembershipGap) String() string {
	return [...]string{"known", "others-named", "no-balancer-heard", "others-counted", "joining"}[i]
}

// complete reports whether all members are known that may hold a flow of which a packet
// came at first. Members that joined lately are a sign that others are still unknown,
// unless their upstream started after the flow. After a loss of power, when all processes
// are new, the store says soonest which members there are.
func (k *membership) complete(first, now time.Time) MembershipGap {
	grown := k.started
	for _, m := range k.recent {
		if !m.since.After(first) && m.joined.After(grown) {
			grown = m.joined
		}
	}
	since := now.Sub(grown)
	switch {
	case k.named:
		return MembershipGapNamed
	case !k.heard && since <= peerPatience:
		return MembershipGapNoPeer
	case !k.heard:
		return MembershipGapNone
	case k.counted:
		return MembershipGapCounted
	case since <= registeredAfter, since <= settledAfter && !k.registered:
		return MembershipGapJoining
	}
	return MembershipGapNone
}
