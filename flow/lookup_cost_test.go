package flow

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

// The packets buffered for a lookup are bounded, and a retransmitted packet is stored once.
func TestBufferedPacketsAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(1, now)
	for i := range 2 * lookupPacketLimit {
		p := dataPacket()
		p.Sequence += uint32(i / 2 * 10)
		startLookup(t, b, p, now)
	}
	out := runLookups(b, now, lookupStep, func(netip.AddrPort, *Question) (LookupResult, bool) { return LookupResultHeld, true })
	if len(out.Packets) != lookupPacketLimit {
		t.Errorf("got %d packets, want %d", len(out.Packets), lookupPacketLimit)
	}
}

// The number of lookups is bounded, and a lookup ends some time after the caller's last packet.
func TestLookupsAreBounded(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(2, now)
	for i := range lookupLimit + 5 {
		p := dataPacket()
		p.Key = keyOf(i)
		v := b.Decide(p, now)
		if want := i < lookupLimit; v.Buffer != want {
			t.Fatalf("flow %d: got buffer %v, want %v", i, v.Buffer, want)
		}
	}
	silent := func(netip.AddrPort, *Question) (LookupResult, bool) { return LookupResultNotHeld, false }
	runLookups(b, now, lookupTimeout+20*time.Millisecond, silent)
	if b.LookupsPending() || len(b.queries) != 0 {
		t.Errorf("got %d lookups and %d queries, want none", len(b.lookups), len(b.queries))
	}
}

// Routers switch all flows to another balancer at once, and no sidecar holds them. The bytes of
// queries are bounded, since they would fill the link of a small VM and leave no room for answers.
func TestQueryTrafficIsBounded(t *testing.T) {
	const flows = 1000
	for _, n := range []int{47, 150, 3200} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			now := time.Unix(100, 0)
			b := testBalancer(n, now)
			now = now.Add(settledAfter + time.Millisecond)
			for i := range flows {
				p := dataPacket()
				p.Key = keyOf(i)
				startLookup(t, b, p, now)
			}
			// Callers retransmit their packets until they are reset.
			var out LookupActions
			const rounds, every = 8, time.Second
			for round := range rounds {
				more := runLookups(b, now.Add(time.Duration(round)*every), every-lookupStep, noneHeld)
				out.Lost = append(out.Lost, more.Lost...)
				out.Queries = append(out.Queries, more.Queries...)
				for _, l := range b.lookups {
					l.lastPacket = now.Add(time.Duration(round+1) * every)
				}
			}
			if len(out.Lost) != flows {
				t.Errorf("got %d lost flows, want %d", len(out.Lost), flows)
			}
			bytes := 0
			for _, q := range out.Queries {
				bytes += querySize + 6*len(q.Query.RelayTo) + questionSize*len(q.Query.Questions)
			}
			ranked := flows * RankingDepth * (querySize + questionSize)
			if most := ranked + queryBurst + 8*queryRate; bytes > most {
				t.Errorf("got %d bytes of queries, want at most %d", bytes, most)
			}
		})
	}
}

// The path search is the earlier lookup that queries replaced; BenchmarkLookup compares both. The
// path search sent a flow's packet along paths of sidecars: first one path of the ranked members,
// then up to pathSearchPaths paths of up to pathSearchMaxHops members, so that it reached at most
// 144. The last sidecar of each path answered that none held the flow. The sizes of a header, an
// address, an answer and a packet are in bytes.
const (
	pathSearchPaths       = 16
	pathSearchHops        = 4
	pathSearchMaxHops     = 9
	pathSearchHeader      = 21
	addrSize              = 6
	pathSearchAnswer      = 15
	pathSearchPacket      = 136 // a packet with a request of 100 bytes
	pathSearchRankedAbove = 16  // members above which the ranked ones came first
)

// pathSearchPathCost returns the datagrams and bytes of one path of n sidecars.
func pathSearchPathCost(n int) (messages, bytes int) {
	for hop := range n {
		bytes += pathSearchHeader + addrSize*(n-1-hop) + pathSearchPacket
	}
	return n + 1, bytes + pathSearchAnswer
}

// pathSearchCost returns the datagrams and bytes of the path search for one lost flow, and whether
// the caller was reset.
func pathSearchCost(n int) (messages, bytes int, callerReset bool) {
	if n > pathSearchRankedAbove {
		messages, bytes = pathSearchPathCost(RankingDepth)
	}
	reached := min(n, pathSearchPaths*pathSearchMaxHops)
	hops := max(pathSearchHops, (reached+pathSearchPaths-1)/pathSearchPaths)
	for left := reached; left > 0; left -= hops {
		m, b := pathSearchPathCost(min(hops, left))
		messages, bytes = messages+m, bytes+b
	}
	return messages, bytes, n <= pathSearchPaths*pathSearchMaxHops
}

// queryCost returns the datagrams and bytes of a query, its relayed copies and all answers.
func queryCost(q *OutgoingQuery) (messages, bytes int) {
	const answerHead = 10
	queried := 1 + len(q.Query.RelayTo)
	question := querySize + questionSize*len(q.Query.Questions)
	return 2 * queried, queried*(question+answerHead+len(q.Query.Questions)) + addrSize*len(q.Query.RelayTo)
}

// BenchmarkLookup reports the datagrams, bytes and time per flow for many lost flows that are looked
// up at once, and the datagrams and bytes of the path search.
func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{7, 150, 3200} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			const flows = questionLimit
			messages, bytes := 0, 0
			now := time.Unix(100, 0)
			lb := testBalancer(n, now)
			for b.Loop() {
				now = now.Add(time.Minute)
				for i := range lb.members {
					lb.members[i].ReportedAt = now
				}
				lb.SetPeerMemberCount(testPeer, n, now)
				for i := range flows {
					p := dataPacket()
					p.Key = keyOf(i)
					lb.Decide(p, now)
					lb.BufferPacket(p, []byte("packet"))
				}
				out := runLookups(lb, now, 100*time.Millisecond, noneHeld)
				if len(out.Lost) != flows {
					b.Fatalf("got %d lost flows, want %d", len(out.Lost), flows)
				}
				for _, q := range out.Queries {
					m, b := queryCost(&q)
					messages, bytes = messages+m, bytes+b
				}
			}
			perFlow := float64(b.N * flows)
			b.ReportMetric(float64(messages)/perFlow, "messages/flow")
			b.ReportMetric(float64(bytes)/perFlow, "bytes/flow")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/perFlow, "us/flow")
			pathSearchMessages, pathSearchBytes, callerReset := pathSearchCost(n)
			b.ReportMetric(float64(pathSearchMessages), "former-messages/flow")
			b.ReportMetric(float64(pathSearchBytes), "former-bytes/flow")
			if !callerReset {
				b.Log("the path search never resets the caller, however often it retransmits")
			}
		})
	}
}
