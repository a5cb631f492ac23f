package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// workload is a list of requests to replay against a queue, by arrival.
type workload []timedRequest

// timedRequest is a request with the time that the upstream takes for it.
type timedRequest struct {
	arrival     time.Duration
	policy      RequestPolicy
	serviceTime time.Duration
}

var (
	boardPolicy = RequestPolicy{Priority: 2, LatencyTarget: 120 * time.Millisecond, Timeout: time.Second}
	swapPolicy  = RequestPolicy{Priority: 1, LatencyTarget: 150 * time.Millisecond, Timeout: 1200 * time.Millisecond}
)

// afterOutage returns what callers send after an outage: a burst of requests, and the usual rate
// for two seconds.
func afterOutage(rng *rand.Rand, burst, perSecond int) workload {
	var p workload
	add := func(at time.Duration) {
		policy := boardPolicy
		if rng.IntN(5) == 0 {
			policy = swapPolicy
		}
		work := time.Duration((0.5 + rng.Float64()) * float64(20*time.Millisecond))
		p = append(p, timedRequest{arrival: at, policy: policy, serviceTime: work})
	}
	for range burst {
		add(time.Duration(rng.IntN(50)) * time.Millisecond)
	}
	for i := range perSecond * 2 {
		add(time.Duration(i) * time.Second / time.Duration(perSecond))
	}
	slices.SortFunc(p, func(a, b timedRequest) int { return int(a.arrival - b.arrival) })
	return p
}

// replayResult counts the requests that met their latency target and those that were served.
type replayResult struct {
	inTime, served, swapsInTime int
}

// score counts a late request once, a board request in time twice, and a swap request in time four
// times.
func (r replayResult) score() int { return r.served + r.inTime + 2*r.swapsInTime }

// replay serves a workload with a number of slots. next removes the next request from the queue.
func replay(p workload, slots int, next func(q *Queue, now time.Time) *queuedRequest) replayResult {
	start := time.Unix(0, 0)
	var out replayResult
	var q Queue
	ends := make([]time.Time, slots)
	requests := map[Key]timedRequest{}
	sent := 0
	for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
		for ; sent < len(p) && !start.Add(p[sent].arrival).After(now); sent++ {
			k := keyOf(sent)
			requests[k] = p[sent]
			q.add(&Packet{Key: k, Length: 1}, nil, p[sent].policy, 0, now)
		}
		for i := range ends {
			if ends[i].After(now) {
				continue
			}
			req := next(&q, now)
			if req == nil {
				break
			}
			ends[i] = now.Add(requests[req.key].serviceTime)
			latency := ends[i].Sub(req.arrived)
			out.served++
			if latency <= req.policy.LatencyTarget {
				out.inTime++
				if req.policy.Priority == swapPolicy.Priority {
					out.swapsInTime++
				}
			}
		}
	}
	return out
}

// keyOf returns the key of the i-th caller's flow to the test service.
func keyOf(i int) Key {
	return NewKey(netip.AddrPortFrom(netip.AddrFrom4([4]byte{100, 64 + byte(i>>16), byte(i >> 8), byte(i)}), 1), testService)
}

// byPolicy removes the request that Queue orders first.
func byPolicy(q *Queue, now time.Time) *queuedRequest { return q.pop(now, 20*time.Millisecond) }

// byArrival removes the oldest request, as an upstream without a sidecar's queue would.
func byArrival(q *Queue, now time.Time) *queuedRequest {
	for len(q.requests) > 0 {
		req := q.requests[0]
		q.requests = q.requests[1:]
		if !req.expired(now) {
			return req
		}
	}
	return nil
}

// When all callers return after an outage, serving requests by arrival makes all of them late until
// the burst is over. Serving them by policy must do better.
func TestQueueAfterAnOutage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := afterOutage(rng, 60, 75)
	policy, arrival := replay(p, 2, byPolicy), replay(p, 2, byArrival)
	t.Logf("%d requests; by policy %+v, by arrival %+v", len(p), policy, arrival)
	if policy.inTime < arrival.inTime*5/4 {
		t.Errorf("in time: %d by policy, %d by arrival; want a quarter more", policy.inTime, arrival.inTime)
	}
	if policy.score() < arrival.score()*5/4 {
		t.Errorf("score: %d by policy, %d by arrival; want a quarter more", policy.score(), arrival.score())
	}
	if policy.swapsInTime < arrival.swapsInTime {
		t.Errorf("swaps in time: %d by policy, %d by arrival; want no fewer", policy.swapsInTime, arrival.swapsInTime)
	}
}

// Without overload, all requests are served, and nearly all in time.
func TestQueueWithoutOverload(t *testing.T) {
	p := afterOutage(rand.New(rand.NewPCG(3, 4)), 0, 50)
	if got := replay(p, 2, byPolicy); got.served != len(p) || got.inTime < len(p)*99/100 {
		t.Errorf("got %+v of %d requests, want all served and 99%% in time", got, len(p))
	}
}

// The queue returns each request once, never one whose caller has given up, and never one that
// misses its latency target while another can meet its own.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var q Queue
		seen := map[Key]bool{}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "hold") {
				policy := rapid.SampledFrom([]RequestPolicy{boardPolicy, swapPolicy, {}}).Draw(t, "terms")
				q.add(&Packet{Key: keyOf(n), Length: 1}, []byte{1}, policy, 0, now)
				n++
				continue
			}
			service := time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond
			req := q.pop(now, service)
			if req == nil {
				if q.Len() != 0 {
					t.Fatalf("got no request of %d", q.Len())
				}
				continue
			}
			if seen[req.key] {
				t.Fatal("got the same request twice")
			}
			seen[req.key] = true
			if req.expired(now) {
				t.Fatal("got a request whose caller has given up")
			}
			for _, other := range q.requests {
				if req.late(now, service) && !other.late(now, service) {
					t.Fatal("got a late request before one that can be in time")
				}
			}
		}
	})
}

// Packets that are retransmitted while their request is queued are stored once.
func TestQueueStoresEachPacketOnce(t *testing.T) {
	var q Queue
	now := time.Unix(0, 0)
	for _, sequence := range []uint32{100, 1300, 100} {
		q.add(&Packet{Key: testKey, Sequence: sequence, Length: 1200}, []byte{byte(sequence)}, boardPolicy, 0, now)
	}
	req := q.pop(now, 0)
	if len(req.packets) != 2 || q.Len() != 0 {
		t.Errorf("got %d packets, %d requests left; want 2 and 0", len(req.packets), q.Len())
	}
}
