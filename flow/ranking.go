package flow

import (
	"cmp"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"greengagedyke/service"
)

const (
	// rankingBuckets is the number of buckets of a ranking, a power of two.
	rankingBuckets = 1024
	// ownRanks is the number of ranks that members of the own failure domain have before
	// all others.
	ownRanks = 5
	// RankingDepth is the number of members that a ranking orders in each bucket.
	RankingDepth = 8
)

// ranking orders the members of a service for each flow by rendezvous hashing. The
// order is computed when the membership changes, so a look-up costs the same for any
// number of members, and balancers that know the same members agree.
type ranking struct {
	members []*Member
	depth   int
	buckets [][RankingDepth]uint16
}

// newRanking ranks members for a balancer in a failure domain: those of the same domain
// have the first ownRanks ranks.
func newRanking(members []*Member, domain uint32) *ranking {
	r := &ranking{members: members, depth: min(len(members), RankingDepth)}
	own := 0
	for _, m := range members {
		if m.Load.Domain == domain {
			own++
		}
	}
	own = min(own, max(ownRanks, r.depth-(len(members)-own)))
	r.buckets = make([][RankingDepth]uint16, rankingBuckets)
	for b := range r.buckets {
		r.fill(b, 0, own, func(m *Member) bool { return m.Load.Domain == domain })
		r.fill(b, own, r.depth, func(m *Member) bool { return m.Load.Domain != domain })
	}
	return r
}

// fill gives the ranks from first to end of a bucket to the members with the highest
// scores, by insertion.
func (r *ranking) fill(b, first, end int, among func(*Member) bool) {
	var scores [RankingDepth]uint64
	n := first
	seed := service.Mix(uint64(b))
	for i, m := range r.members {
		score := service.Mix(m.seed ^ seed)
		if first == end || !among(m) || n == end && score <= scores[n-1] {
			continue
		}
		if n < end {
			n++
		}
		at := n - 1
		for at > first && scores[at-1] < score {
			scores[at] = scores[at-1]
			r.buckets[b][at] = r.buckets[b][at-1]
			at--
		}
		scores[at] = score
		r.buckets[b][at] = uint16(i)
	}
}

// at returns the member of a rank for a flow's hash; rank is below depth.
func (r *ranking) at(hash uint64, rank int) *Member {
	return r.members[r.buckets[hash%rankingBuckets][rank]]
}

// order returns members for a flow's hash: first the likely one, then by rank, and the
// silent ones at the end. Of more members than most it returns that many, the others
// at later tries.
func (r *ranking) order(hash uint64, likely netip.AddrPort, tries, most int, now time.Time) []netip.AddrPort {
	members := r.window(hash, tries, most)
	seed := service.Mix(hash % rankingBuckets)
	class := func(m *Member) int {
		switch {
		case m.Addr == likely:
			return 0
		case !m.silent(now):
			return 1
		}
		return 2
	}
	slices.SortFunc(members, func(a, b *Member) int {
		return cmp.Or(cmp.Compare(class(a), class(b)), cmp.Compare(service.Mix(b.seed^seed), service.Mix(a.seed^seed)))
	})
	addrs := make([]netip.AddrPort, len(members))
	for i, m := range members {
		addrs[i] = m.Addr
	}
	return addrs
}

// ranked returns the likely member and the ranked ones for a flow's hash. Each try starts
// with another of the ranked ones, in case one is dead.
func (r *ranking) ranked(hash uint64, likely netip.AddrPort, tries int) []netip.AddrPort {
	addrs := make([]netip.AddrPort, 0, RankingDepth+1)
	if likely.IsValid() {
		addrs = append(addrs, likely)
	}
	for i := range r.depth {
		if addr := r.at(hash, (i+tries)%r.depth).Addr; addr != likely {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// window returns at most a number of members: the best ranked ones, and a part of the
// others that moves with each try.
func (r *ranking) window(hash uint64, tries, most int) []*Member {
	if len(r.members) <= most {
		return slices.Clone(r.members)
	}
	members := make([]*Member, 0, most)
	for rank := range r.depth {
		members = append(members, r.at(hash, rank))
	}
	step := most - r.depth
	from := int(hash%uint64(len(r.members))) + tries*step
	for i := range step {
		m := r.members[(from+i)%len(r.members)]
		if !slices.Contains(members, m) {
			members = append(members, m)
		}
	}
	return members
}

func memberSeed(m *Member) uint64 {
	var b [8]byte
	ip := m.Addr.Addr().As4()
	copy(b[:4], ip[:])
	binary.BigEndian.PutUint16(b[4:], m.Addr.Port())
	return service.Mix(binary.BigEndian.Uint64(b[:]))
}
