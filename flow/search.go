package flow

import (
	"maps"
	"net/netip"
	"slices"
	"time"
)

const (
	// searchHops is the number of sidecars on one path of a search, searchPaths the most
	// paths that one packet takes: with more members the paths grow longer.
	searchHops  = 4
	searchPaths = 16
	// wideSearch is the number of members from which the first search for a flow only
	// goes to the ranked ones, which hold nearly all.
	wideSearch = 16
	// narrowHops is the number of sidecars on the only path to the ranked members.
	narrowHops = 1 + RankingDepth
	// wideRate and wideBurst bound the searches that go to more than the ranked members,
	// in paths a second: each path takes the packet over the balancer's link.
	wideRate  = 700
	wideBurst = 1400
	// settledAfter is how long no member may have joined before the members of the
	// system count as known.
	settledAfter = time.Second
	// registeredAfter is the same time if all members that the store names are known.
	registeredAfter = 100 * time.Millisecond
	// introduceInterval is the time between introductions to a member that does not report.
	introduceInterval = 200 * time.Millisecond
	// peerPatience is how long a balancer that has heard no other one waits for one.
	peerPatience = 2 * time.Second
)

// search sends a packet of an unknown flow along all members, on several paths at
// once: those of the route's service first, then the others, since the route may have
// led there before. Each try starts further down, in case one is dead.
func (s *Steering) search(p *Packet, path Path, hash uint64, known location, now time.Time) Verdict {
	order, hops := s.searchOrder(path.Tag, hash, known, now)
	if len(order) == 0 {
		return Verdict{Action: ActionDrop, Reason: ReasonNoMember, Undecided: true}
	}
	settled := s.settled(now)
	n := (len(order) + hops - 1) / hops
	next := location{addr: known.addr, tries: known.tries + 1, ack: p.Ack}
	if len(order) == len(s.members) && settled {
		next.asked = uint8(n)
	}
	s.flows.put(p.Key, next, now)
	path.Search = next.tries
	paths := make([]Path, n)
	for i, addr := range order {
		p := &paths[i%n]
		if i < n {
			*p = path
			p.To = addr
			continue
		}
		p.add(addr)
	}
	return Verdict{Action: ActionForward, Reason: ReasonSearch, Path: paths[0], More: paths[1:], Undecided: !settled}
}

// searchOrder lists the members to ask, first those that serve the tag, and how many of
// them one path asks. It answers a rehash or a restart of all balancers, when all flows
// are searched at once: the ranked members come first, and the searches of all members
// are spread over time.
func (s *Steering) searchOrder(tag Tag, hash uint64, known location, now time.Time) (order []netip.AddrPort, hops int) {
	const most = narrowHops * searchPaths
	tries := int(known.tries)
	own := s.ranking(tag)
	if own != nil && len(s.members) > narrowHops && (tries == 0 && len(s.members) > wideSearch || !s.allowsWide(now)) {
		return own.ranked(hash, known.addr, tries), narrowHops
	}
	if own != nil {
		order = own.order(hash, known.addr, tries, most, now)
	}
	if len(s.members) > most {
		return order, wideHops(len(order))
	}
	for _, other := range s.tags() {
		if other != tag {
			order = append(order, s.ranking(other).order(hash, known.addr, tries, most, now)...)
		}
	}
	return order, wideHops(len(order))
}

// wideHops is the number of sidecars on each path of a search of n members.
func wideHops(n int) int { return max(searchHops, (n+searchPaths-1)/searchPaths) }

// allowsWide reports whether the balancer's link bears another search of all members.
func (s *Steering) allowsWide(now time.Time) bool {
	paths := min(searchPaths, (len(s.members)+searchHops-1)/searchHops)
	return s.wide.AllowN(now, paths)
}

// tags lists the services of all members, in order.
func (s *Steering) tags() []Tag {
	found := map[Tag]bool{}
	for _, m := range s.members {
		found[m.Load.Tag] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// Missed notes that the sidecars on one path of a search do not hold a flow. It
// reports whether nobody does: all members were asked and said so, and all members of
// the system are known. Then the caller may be told, with what it last acknowledged.
func (s *Steering) Missed(k Key, at netip.AddrPort, search uint8, now time.Time) (ack uint32, lost bool) {
	v, ok := s.flows.get(k)
	if !ok {
		return 0, false
	}
	if search == 0 {
		if v.addr == at {
			s.flows.put(k, location{tries: v.tries}, now)
		}
		return 0, false
	}
	if v.confirmed || v.tries != search || v.asked == 0 {
		return 0, false
	}
	v.missed++
	s.flows.put(k, v, now)
	if v.missed < v.asked || !s.settled(now) {
		return 0, false
	}
	s.flows.remove(k)
	return v.ack, true
}

// peerMembers is how many members another balancer knew when it was heard.
type peerMembers struct {
	n     int
	heard time.Time
}

// PeerMembers notes how many members another balancer knows.
func (s *Steering) PeerMembers(peer netip.AddrPort, n int, now time.Time) {
	s.peers[peer] = peerMembers{n: n, heard: now}
}

// peersKnow returns the largest number of members that another balancer knows, and
// whether any spoke lately.
func (s *Steering) peersKnow(now time.Time) (most int, heard bool) {
	for _, p := range s.peers {
		if now.Sub(p.heard) <= peerAge {
			most, heard = max(most, p.n), true
		}
	}
	return most, heard
}

// Unknown returns those of the members that are not known here.
func (s *Steering) Unknown(addrs []netip.AddrPort) []netip.AddrPort {
	return slices.DeleteFunc(slices.Clone(addrs), func(addr netip.AddrPort) bool {
		_, known := s.members[addr]
		return known
	})
}

// Rumour takes in the members that another balancer knows, and returns those that this
// one should introduce itself to. Flows that they may hold are not given up, unless they
// fell silent here.
func (s *Steering) Rumour(addrs []netip.AddrPort, now time.Time) []netip.AddrPort {
	var fresh []netip.AddrPort
	for _, addr := range s.Unknown(addrs) {
		if _, silent := s.forgotten[addr]; silent {
			continue
		}
		if at, ok := s.rumoured[addr]; !ok || now.Sub(at) > introduceInterval {
			s.rumoured[addr] = now
			fresh = append(fresh, addr)
		}
	}
	return fresh
}

// Registered takes in the members that stand in the platform's store. Those that did not
// report here yet are awaited.
func (s *Steering) Registered(addrs []netip.AddrPort) {
	s.registered = len(addrs) > 0
	clear(s.awaited)
	for _, addr := range s.Unknown(addrs) {
		if _, silent := s.forgotten[addr]; !silent {
			s.awaited[addr] = true
		}
	}
}

// registeredKnown reports whether the store was read, and all members that it named have
// reported since: members that join later hold no older flows.
func (s *Steering) registeredKnown() bool { return s.registered && len(s.awaited) == 0 }

// settled reports whether all members of the system are known. After a loss of power,
// when all processes are new, the store says soonest which ones there are.
func (s *Steering) settled(now time.Time) bool {
	since := now.Sub(s.grown)
	most, heard := s.peersKnow(now)
	switch {
	case len(s.rumoured) > 0:
		return false
	case !heard:
		return since > peerPatience
	case len(s.members) < most:
		return false
	case s.registeredKnown():
		return since > registeredAfter
	}
	return since > settledAfter
}
