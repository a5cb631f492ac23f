package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// pattern is a load that is replayed against a queue: requests that come at given
// times, each with its policy and the work that it needs.
type pattern []offer

type offer struct {
	at    time.Duration
	terms RequestPolicy
	work  time.Duration
}

var (
	boards = RequestPolicy{Priority: 2, LatencyTarget: 120 * time.Millisecond, Timeout: time.Second}
	swaps  = RequestPolicy{Priority: 1, LatencyTarget: 150 * time.Millisecond, Timeout: 1200 * time.Millisecond}
)

// release is what callers do after an outage: many at once, and the usual flow behind.
func release(rng *rand.Rand, crowd, perSecond int) pattern {
	var p pattern
	add := func(at time.Duration) {
		terms := boards
		if rng.IntN(5) == 0 {
			terms = swaps
		}
		work := time.Duration((0.5 + rng.Float64()) * float64(20*time.Millisecond))
		p = append(p, offer{at: at, terms: terms, work: work})
	}
	for range crowd {
		add(time.Duration(rng.IntN(50)) * time.Millisecond)
	}
	for i := range perSecond * 2 {
		add(time.Duration(i) * time.Second / time.Duration(perSecond))
	}
	slices.SortFunc(p, func(a, b offer) int { return int(a.at - b.at) })
	return p
}

// outcome counts requests that met their objective, and those that were served at all.
type outcome struct {
	inTime, served, swapsInTime int
}

// worth counts a request in time twice as much as a late one, and a swap twice as much
// as a board.
func (o outcome) worth() int { return o.served + o.inTime + 2*o.swapsInTime }

// replay serves a pattern with a number of slots. pick chooses the next request.
func replay(p pattern, slots int, pick func(q *Queue, now time.Time) *waiting) outcome {
	start := time.Unix(0, 0)
	var out outcome
	var q Queue
	ends := make([]time.Time, slots)
	work := map[Key]offer{}
	next := 0
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
		for ; next < len(p) && !start.Add(p[next].at).After(now); next++ {
			k := keyOf(next)
			work[k] = p[next]
			q.hold(&Packet{Key: k, Length: 1}, nil, p[next].terms, 0, now)
		}
		for i := range ends {
			if ends[i].After(now) {
				continue
			}
			w := pick(&q, now)
			if w == nil {
				break
			}
			ends[i] = now.Add(work[w.key].work)
			took := ends[i].Sub(w.arrived)
			out.served++
			if took <= w.terms.LatencyTarget {
				out.inTime++
				if w.terms.Priority == swaps.Priority {
					out.swapsInTime++
				}
			}
		}
	}
	return out
}

func keyOf(i int) Key {
	return NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(i>>16), byte(i >> 8), byte(i)}), 1), testService)
}

func byPolicy(q *Queue, now time.Time) *waiting { return q.next(now, 20*time.Millisecond) }

// byArrival is what an upstream's own queue does.
func byArrival(q *Queue, now time.Time) *waiting {
	for len(q.list) > 0 {
		w := q.list[0]
		q.list = q.list[1:]
		if !w.expired(now) {
			return w
		}
	}
	return nil
}

// When all callers come back after an outage, first come first served makes everyone
// late until the crowd is gone.
func TestQueueAfterAnOutage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := release(rng, 60, 75)
	policy, arrival := replay(p, 2, byPolicy), replay(p, 2, byArrival)
	t.Logf("%d requests; by policy %+v, by arrival %+v", len(p), policy, arrival)
	if policy.inTime < arrival.inTime*5/4 {
		t.Errorf("in time: %d by policy, %d by arrival; want a quarter more", policy.inTime, arrival.inTime)
	}
	if policy.worth() < arrival.worth()*5/4 {
		t.Errorf("worth: %d by policy, %d by arrival; want a quarter more", policy.worth(), arrival.worth())
	}
	if policy.swapsInTime < arrival.swapsInTime {
		t.Errorf("swaps in time: %d by policy, %d by arrival", policy.swapsInTime, arrival.swapsInTime)
	}
}

// Without a crest the order hardly matters, and nothing is lost.
func TestQueueOnACalmDay(t *testing.T) {
	p := release(rand.New(rand.NewPCG(3, 4)), 0, 50)
	if got := replay(p, 2, byPolicy); got.served != len(p) || got.inTime < len(p)*99/100 {
		t.Errorf("%+v of %d requests", got, len(p))
	}
}

// The queue hands over each request once, never one whose caller has given up, and
// never a late one while another can be in time.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var q Queue
		seen := map[Key]bool{}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "hold") {
				terms := rapid.SampledFrom([]RequestPolicy{boards, swaps, {}}).Draw(t, "terms")
				q.hold(&Packet{Key: keyOf(n), Length: 1}, []byte{1}, terms, 0, now)
				n++
				continue
			}
			service := time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond
			w := q.next(now, service)
			if w == nil {
				if q.Len() != 0 {
					t.Fatalf("nothing handed over of %d", q.Len())
				}
				continue
			}
			if seen[w.key] {
				t.Fatal("handed over twice")
			}
			seen[w.key] = true
			if w.expired(now) {
				t.Fatal("handed over after the caller gave up")
			}
			for _, other := range q.list {
				if w.late(now, service) && !other.late(now, service) {
					t.Fatal("a late request went ahead of one that can be in time")
				}
			}
		}
	})
}

// Packets of a request that is sent again while it waits are kept once.
func TestQueueKeepsEachPacketOnce(t *testing.T) {
	var q Queue
	now := time.Unix(0, 0)
	for _, sequence := range []uint32{100, 1300, 100} {
		q.hold(&Packet{Key: testKey, Sequence: sequence, Length: 1200}, []byte{byte(sequence)}, boards, 0, now)
	}
	w := q.next(now, 0)
	if len(w.packets) != 2 || q.Len() != 0 {
		t.Errorf("%d packets, %d requests left; want 2 and 0", len(w.packets), q.Len())
	}
}
