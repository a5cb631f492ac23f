package flow

import (
	"testing"
	"time"
)

// Each bucket ranks different members, as many of the own failure domain as there are
// ranks for them, and a member that joins takes ranks only where its score is high.
func TestRanking(t *testing.T) {
	own, other := DomainID("a"), DomainID("b")
	for _, tt := range []struct{ own, others, wantOwn, wantDepth int }{
		{0, 0, 0, 0},
		{3, 0, 3, 3},
		{0, 3, 0, 3},
		{2, 3, 2, 5},
		{9, 36, ownRanks, RankingDepth},
		{2, 36, 2, RankingDepth},
		{36, 1, RankingDepth - 1, RankingDepth},
	} {
		var members []*Member
		for i := range tt.own + tt.others {
			m := &Member{Addr: member(i), Load: Load{DomainID: other}}
			if i < tt.own {
				m.Load.DomainID = own
			}
			m.seed = memberSeed(m)
			members = append(members, m)
		}
		r := newRanking(members, own)
		if r.depth != tt.wantDepth {
			t.Errorf("%+v: depth %d", tt, r.depth)
		}
		for hash := range uint64(rankingBuckets) {
			seen := map[*Member]bool{}
			for rank := range r.depth {
				m := r.at(hash, rank)
				seen[m] = true
				if got := m.Load.DomainID == own; got != (rank < tt.wantOwn) {
					t.Fatalf("%+v: rank %d of the own domain: %v", tt, rank, got)
				}
			}
			if len(seen) != r.depth {
				t.Fatalf("%+v: %d different members of %d", tt, len(seen), r.depth)
			}
		}
	}
}

func BenchmarkRanking(b *testing.B) {
	s := testBalancer(3200, time.Unix(0, 0))
	b.ReportAllocs()
	for range b.N {
		clear(s.ranks)
		s.ranking(TagOf(testName))
	}
}
