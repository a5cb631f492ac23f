package flow

import (
	"testing"
	"time"
)

// Each bucket ranks different members: first members of the balancer's failure domain, at most
// localRanks if there are enough others, and then members of other domains.
func TestRanking(t *testing.T) {
	domain, otherDomain := DomainID("a"), DomainID("b")
	for _, tt := range []struct{ local, others, wantLocal, wantDepth int }{
		{0, 0, 0, 0},
		{3, 0, 3, 3},
		{0, 3, 0, 3},
		{2, 3, 2, 5},
		{9, 36, localRanks, RankingDepth},
		{2, 36, 2, RankingDepth},
		{36, 1, RankingDepth - 1, RankingDepth},
	} {
		var members []*Member
		for i := range tt.local + tt.others {
			m := &Member{Addr: memberAddr(i), Load: Load{DomainID: otherDomain}}
			if i < tt.local {
				m.Load.DomainID = domain
			}
			m.seed = memberSeed(m)
			members = append(members, m)
		}
		r := newRanking(members, domain)
		if r.depth != tt.wantDepth {
			t.Errorf("%+v: got depth %d, want %d", tt, r.depth, tt.wantDepth)
		}
		for hash := range uint64(rankingBuckets) {
			seen := map[*Member]bool{}
			for rank := range r.depth {
				m := r.at(hash, rank)
				seen[m] = true
				if got := m.Load.DomainID == domain; got != (rank < tt.wantLocal) {
					t.Fatalf("%+v: rank %d in the balancer's domain: got %v, want %v", tt, rank, got, rank < tt.wantLocal)
				}
			}
			if len(seen) != r.depth {
				t.Fatalf("%+v: got %d different members, want %d", tt, len(seen), r.depth)
			}
		}
	}
}

func BenchmarkRanking(b *testing.B) {
	lb := testBalancer(3200, time.Unix(0, 0))
	b.ReportAllocs()
	for range b.N {
		clear(lb.rankings)
		lb.ranking(TagOf(testServiceName))
	}
}
