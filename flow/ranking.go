package flow

import (
	"encoding/binary"

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
		if m.Load.DomainID == domain {
			own++
		}
	}
	own = min(own, max(ownRanks, r.depth-(len(members)-own)))
	r.buckets = make([][RankingDepth]uint16, rankingBuckets)
	for b := range r.buckets {
		r.fill(b, 0, own, func(m *Member) bool { return m.Load.DomainID == domain })
		r.fill(b, own, r.depth, func(m *Member) bool { return m.Load.DomainID != domain })
	}
	return r
}

// fill gives the ranks from first to end of a bucket to the members with the highest
// scores, by insertion.
func (r *ranking) fill(b, first, end int, among func(*Member) bool) {
	var scores [RankingDepth]uint64
	n := first
	seed := service.SplitMix64(uint64(b))
	for i, m := range r.members {
		score := service.SplitMix64(m.seed ^ seed)
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

func memberSeed(m *Member) uint64 {
	var b [8]byte
	ip := m.Addr.Addr().As4()
	copy(b[:4], ip[:])
	binary.BigEndian.PutUint16(b[4:], m.Addr.Port())
	return service.SplitMix64(binary.BigEndian.Uint64(b[:]))
}
