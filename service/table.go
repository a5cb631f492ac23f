package service

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableBuckets is the number of buckets of a first-flight table. It is a power
// of two and leaves 40 buckets an upstream at the allowed 100 upstreams.
const tableBuckets = 4096

// Candidate is an upstream that may receive first flights.
type Candidate struct {
	Addr        netip.AddrPort
	Incarnation uint64
	// Weight is the share of new connections relative to other candidates.
	Weight float64
}

// Candidates are the upstreams of one service that may receive first flights.
type Candidates []Candidate

// Table maps a caller-chosen connection ID to an upstream by weighted rendezvous
// hashing. The winner of each bucket is computed in advance, so a lookup costs
// the same for any number of upstreams, and balancers with the same candidates
// agree without talking. It is immutable.
type Table struct {
	candidates Candidates
	buckets    [tableBuckets]uint16
}

// NewTable computes the winners for candidates. A table of no candidates is valid.
func NewTable(candidates Candidates) *Table {
	t := &Table{candidates: candidates}
	if len(candidates) == 0 {
		return t
	}
	seeds := make([]uint64, len(candidates))
	for i, c := range candidates {
		seeds[i] = candidateSeed(c.Addr)
	}
	for b := range t.buckets {
		t.buckets[b] = uint16(winner(candidates, seeds, uint64(b)))
	}
	return t
}

func candidateSeed(addr netip.AddrPort) uint64 {
	var key [6]byte
	ip := addr.Addr().As4()
	copy(key[:4], ip[:])
	binary.BigEndian.PutUint16(key[4:], addr.Port())
	return xxhash.Sum64(key[:])
}

// The score -w/ln(u) with u uniform in (0,1) gives each candidate its weight's
// share, and moves only the buckets of a candidate whose weight changes.
func winner(candidates Candidates, seeds []uint64, bucket uint64) int {
	best := 0
	bestScore := math.Inf(-1)
	for i := range candidates {
		u := (float64(SplitMix64(seeds[i]^SplitMix64(bucket))>>11) + 0.5) / (1 << 53)
		score := -candidates[i].Weight / math.Log(u)
		if score > bestScore {
			best = i
			bestScore = score
		}
	}
	return best
}

// SplitMix64 is the finalizer of SplitMix64: it spreads numbers that are close together.
func SplitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Lookup returns the candidate for a connection ID; false when there is none.
func (t *Table) Lookup(connectionID []byte) (*Candidate, bool) {
	if len(t.candidates) == 0 {
		return nil, false
	}
	b := xxhash.Sum64(connectionID) % tableBuckets
	return &t.candidates[t.buckets[b]], true
}

// RendezvousScore is the score of a member for a key; the highest of all members wins.
func RendezvousScore(identity, key string) uint64 {
	return SplitMix64(xxhash.Sum64String(identity) ^ xxhash.Sum64String(key))
}

// TopRendezvous returns the n items with the highest scores for a key, or all if
// there are no more, in order of score.
func TopRendezvous[T any](key string, items []T, n int, identity func(T) string) []T {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b T) int {
		return cmp.Compare(RendezvousScore(identity(b), key), RendezvousScore(identity(a), key))
	})
	return sorted[:min(n, len(sorted))]
}

// Equal reports whether both have the same upstreams with the same weights.
func (cs Candidates) Equal(other Candidates) bool { return slices.Equal(cs, other) }
