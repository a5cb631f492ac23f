package service

import (
	"cmp"
	"encoding/binary"
	"math"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// tableBuckets is the number of buckets of a table. It is a power of two, and leaves 40 buckets per
// upstream with the allowed 100 upstreams.
const tableBuckets = 4096

// Candidate is an upstream that may receive first flights, the packets that open a connection.
type Candidate struct {
	// Addr is the address of its sidecar for tunnel datagrams.
	Addr netip.AddrPort
	// Incarnation is the incarnation of its sidecar; see member.Record.
	Incarnation uint64
	// Weight is the share of new connections relative to the other candidates.
	Weight float64
}

// Candidates are the upstreams of one service that may receive first flights.
type Candidates []Candidate

// Table maps connection IDs that callers chose to upstreams, by weighted rendezvous hashing. The
// upstream of each bucket is computed in advance, so that a lookup takes the same time for any
// number of upstreams. Balancers with the same candidates get the same table without communicating.
// A table is immutable.
type Table struct {
	candidates Candidates
	// buckets are indexes into candidates, by the hash of the connection ID.
	buckets [tableBuckets]uint16
}

// NewTable returns the table for candidates, of which there may be none.
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
		t.buckets[b] = uint16(pickWinner(candidates, seeds, uint64(b)))
	}
	return t
}

// candidateSeed returns the hash of an IPv4 address and port that the scores of a candidate are
// derived from.
func candidateSeed(addr netip.AddrPort) uint64 {
	var key [6]byte
	ip := addr.Addr().As4()
	copy(key[:4], ip[:])
	binary.BigEndian.PutUint16(key[4:], addr.Port())
	return xxhash.Sum64(key[:])
}

// pickWinner returns the index of the candidate with the highest score for a bucket. The score is
// -w/ln(u), with w the weight and u a hash that is uniform in (0,1): each candidate wins a share of
// the buckets in proportion to its weight, and a change of one weight moves only buckets from or to
// that candidate.
func pickWinner(candidates Candidates, seeds []uint64, bucket uint64) int {
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

// SplitMix64 returns the output of the SplitMix64 generator for the state x. It is a hash that maps
// numbers close together far apart.
func SplitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Lookup returns the candidate for a connection ID; false if the table has no candidates.
func (t *Table) Lookup(connectionID []byte) (*Candidate, bool) {
	if len(t.candidates) == 0 {
		return nil, false
	}
	b := xxhash.Sum64(connectionID) % tableBuckets
	return &t.candidates[t.buckets[b]], true
}

// RendezvousScore returns the unweighted rendezvous hash of a member for a key. The member with the
// highest score is the first choice for the key.
func RendezvousScore(identity, key string) uint64 {
	return SplitMix64(xxhash.Sum64String(identity) ^ xxhash.Sum64String(key))
}

// TopRendezvous returns the n items with the highest RendezvousScore for a key, or all if there are
// fewer, with the highest first.
func TopRendezvous[T any](key string, items []T, n int, identity func(T) string) []T {
	sorted := slices.Clone(items)
	slices.SortFunc(sorted, func(a, b T) int {
		return cmp.Compare(RendezvousScore(identity(b), key), RendezvousScore(identity(a), key))
	})
	return sorted[:min(n, len(sorted))]
}

// Equal reports whether both lists have equal candidates in the same order.
func (cs Candidates) Equal(other Candidates) bool { return slices.Equal(cs, other) }
