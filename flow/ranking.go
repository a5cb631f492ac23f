package flow

import (
	"encoding/binary"

	"greengagedyke/service"
)

const (
	// rankingBuckets is the number of buckets that flows are divided into by hash, a power of two.
	rankingBuckets = 1024
	// localRanks is the number of first ranks that go to members of the balancer's failure domain.
	localRanks = 5
	// RankingDepth is the number of members that are ranked in each bucket.
	RankingDepth = 8
)

// ranking orders the members of a service for each flow by rendezvous hashing. The order in each
// bucket is computed when the membership changes, so that finding a rank takes the same time for any
// number of members. Balancers of a failure domain with the same members compute the same ranking.
type ranking struct {
	members []*Member
	// depth is the number of ranks in each bucket: RankingDepth, or less with fewer members.
	depth int
	// buckets holds the indexes in members, by bucket and rank.
	buckets [][RankingDepth]uint16
}

// newRanking ranks members for a balancer in a failure domain. Members of that domain get the first
// localRanks ranks, and more if there are too few others.
func newRanking(members []*Member, domain uint32) *ranking {
	r := &ranking{members: members, depth: min(len(members), RankingDepth)}
	local := 0
	for _, m := range members {
		if m.Load.DomainID == domain {
			local++
		}
	}
	local = min(local, max(localRanks, r.depth-(len(members)-local)))
	r.buckets = make([][RankingDepth]uint16, rankingBuckets)
	for b := range r.buckets {
		r.fill(b, 0, local, func(m *Member) bool { return m.Load.DomainID == domain })
		r.fill(b, local, r.depth, func(m *Member) bool { return m.Load.DomainID != domain })
	}
	return r
}

// fill gives the ranks from first up to but not including end of a bucket to the eligible members
// with the highest scores, by insertion sort.
func (r *ranking) fill(b, first, end int, eligible func(*Member) bool) {
	var scores [RankingDepth]uint64
	n := first
	seed := service.SplitMix64(uint64(b))
	for i, m := range r.members {
		score := service.SplitMix64(m.seed ^ seed)
		if first == end || !eligible(m) || n == end && score <= scores[n-1] {
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

// at returns the member with a rank for a flow, given the flow's hash. rank must be below depth.
func (r *ranking) at(hash uint64, rank int) *Member {
	return r.members[r.buckets[hash%rankingBuckets][rank]]
}

// memberSeed returns the seed of a member: a hash of its address and port.
func memberSeed(m *Member) uint64 {
	var b [8]byte
	ip := m.Addr.Addr().As4()
	copy(b[:4], ip[:])
	binary.BigEndian.PutUint16(b[4:], m.Addr.Port())
	return service.SplitMix64(binary.BigEndian.Uint64(b[:]))
}
