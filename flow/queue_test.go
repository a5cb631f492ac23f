package flow

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"greengagedyke/schedule"
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
func replay(p workload, slots int, next func(q *Queue, now time.Time) (Key, bool)) replayResult {
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
			q.add(&Packet{Key: k, Length: 1}, nil, p[sent].policy, 0, 20*time.Millisecond, now)
		}
		for i := range ends {
			if ends[i].After(now) {
				continue
			}
			k, ok := next(&q, now)
			if !ok {
				break
			}
			req := requests[k]
			ends[i] = now.Add(req.serviceTime)
			latency := ends[i].Sub(start.Add(req.arrival))
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
func byPolicy(q *Queue, now time.Time) (Key, bool) {
	req, ok := q.pop(now, 2)
	return req.Key, ok
}

// byArrival returns a function that removes the oldest request, as an upstream without a sidecar's
// queue would.
func byArrival(p workload) func(q *Queue, now time.Time) (Key, bool) {
	first := 0
	return func(q *Queue, now time.Time) (Key, bool) {
		for first < len(p) && q.requests.Payload(keyOf(first)) != nil {
			k, req := keyOf(first), p[first]
			q.remove(k)
			first++
			if now.Sub(time.Unix(0, 0).Add(req.arrival)) <= req.policy.Timeout {
				return k, true
			}
		}
		return Key{}, false
	}
}

// When all callers return after an outage, serving requests by arrival makes all of them late until
// the burst is over. Serving them by policy must do better.
func TestQueueAfterAnOutage(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	p := afterOutage(rng, 60, 75)
	policy, arrival := replay(p, 2, byPolicy), replay(p, 2, byArrival(p))
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

// heldRequest is a request that a test has put into a queue.
type heldRequest struct {
	policy  RequestPolicy
	arrived time.Time
	service time.Duration
}

// left returns the time from now until the latest start with which the caller gets an answer within
// a limit.
func (h *heldRequest) left(limit time.Duration, now time.Time) time.Duration {
	return h.arrived.Add(limit - h.service).Sub(now)
}

// late reports whether the request misses its latency target, or half its timeout if it has none.
func (h *heldRequest) late(now time.Time) bool {
	return h.left(h.target(), now) < 0
}

func (h *heldRequest) target() time.Duration {
	if h.policy.LatencyTarget == 0 {
		return h.timeout() / 2
	}
	return h.policy.LatencyTarget
}

func (h *heldRequest) timeout() time.Duration {
	if h.policy.Timeout == 0 {
		return defaultTimeout
	}
	return h.policy.Timeout
}

// The queue returns each request once, never one that can't be answered before its caller gives up,
// and never one that misses its latency target while another can meet its own; unless the deadlines
// of the late ones are near, and the other, if it is of a higher priority, is in time after it.
func TestQueueInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1000, 0)
		var q Queue
		held := map[Key]heldRequest{}
		n := 0
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "hold") {
				policy := rapid.SampledFrom([]RequestPolicy{boardPolicy, swapPolicy, {}}).Draw(t, "terms")
				service := time.Duration(rapid.IntRange(0, 50).Draw(t, "service")) * time.Millisecond
				q.add(&Packet{Key: keyOf(n), Length: 1}, []byte{1}, policy, 0, service, now)
				held[keyOf(n)] = heldRequest{policy: policy, arrived: now, service: service}
				n++
				continue
			}
			req, ok := q.pop(now, 1)
			if !ok {
				if q.Len() != 0 {
					t.Fatalf("got no request of %d", q.Len())
				}
				continue
			}
			got, ok := held[req.Key]
			if !ok {
				t.Fatal("got the same request twice")
			}
			if got.left(got.timeout(), now) < 0 {
				t.Fatal("got a request that can't be answered before its caller gives up")
			}
			if got.late(now) {
				checkLateFirst(t, held, got, now)
			}
			delete(held, req.Key)
		}
	})
}

// checkLateFirst checks that a late request, with an upstream of one slot, is rightly served first.
func checkLateFirst(t *rapid.T, held map[Key]heldRequest, got heldRequest, now time.Time) {
	var work, longest time.Duration
	for _, h := range held {
		work += h.service
		longest = max(longest, h.service)
	}
	for _, other := range held {
		if other.late(now) {
			continue
		}
		if other.policy.Priority < got.policy.Priority && other.left(other.target(), now) < got.service {
			t.Fatal("got a late request before one of a higher priority that is late after it")
		}
		if got.left(got.timeout(), now) > 2*(work+longest)+got.timeout()/10 {
			t.Fatal("got a late request, whose deadline is not near, before one that can be in time")
		}
	}
}

// Packets that are retransmitted while their request is queued are stored once.
func TestQueueStoresEachPacketOnce(t *testing.T) {
	var q Queue
	now := time.Unix(0, 0)
	for _, sequence := range []uint32{100, 1300, 100} {
		q.add(&Packet{Key: testKey, Sequence: sequence, Length: 1200}, []byte{byte(sequence)}, boardPolicy, 0, 0, now)
	}
	req, _ := q.pop(now, 1)
	if len(req.Payload) != 2 || q.Len() != 0 {
		t.Errorf("got %d packets, %d requests left; want 2 and 0", len(req.Payload), q.Len())
	}
}

// A report's work covers the requests that the upstream has, those that are queued, and flows whose
// first request has not arrived, the last for schedule.CommitmentTimeout.
func TestReportedWork(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	opening := openingTunnelPacket()
	opening.Packet.Key = keyOf(9)
	wantVerdict(t, s.FromTunnel(opening, now), ActionUpstream, ReasonPlaced)
	for i := range 4 {
		openAndRequest(t, s, i, now)
	}
	if got := s.Load(now); got.Work != 5*defaultServiceTime || got.ServiceTime != defaultServiceTime {
		t.Errorf("got %v with %v for a request, want %v: 3 at the upstream, 1 queued, 1 expected", got.Work, got.ServiceTime, 5*defaultServiceTime)
	}
	now = now.Add(schedule.CommitmentTimeout + time.Millisecond)
	if got, want := s.Load(now).Work, s.runningWork(now)+defaultServiceTime; got != want || s.commitments.Len() != 0 {
		t.Errorf("got %v and %d expected requests, want %v and none: 3 at the upstream, 1 queued", got, s.commitments.Len(), want)
	}
	s.Expire(now.Add(defaultTimeout))
	if got := s.DroppedRequests(); got != 1 || s.queue.Len() != 0 {
		t.Errorf("got %d dropped and %d queued, want the queued one dropped", got, s.queue.Len())
	}
}
