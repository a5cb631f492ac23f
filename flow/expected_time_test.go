package flow

import (
	"encoding/binary"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"
)

// placementReplay replays requests of two routes, 5 ms and 100 ms at the usual pace, against real
// balancers and sidecars. Time advances in steps of a millisecond. A request follows its opening packet
// after replayRoundTrip; other datagrams arrive at once.
type placementReplay struct {
	balancers []*Balancer
	upstreams []*replayUpstream
	rng       *rand.Rand
	now       time.Time
	requests  []replayRequest
	// onWay are the requests whose flow is open and that have not arrived, by arrival.
	onWay []sentRequest
	// choose returns the rank of the member for a new flow; nil for the balancer's decision.
	choose func(b *Balancer, r *ranking, now time.Time) int
}

// replayUpstream is an upstream that processes requests in order of arrival, in replaySlots slots.
type replayUpstream struct {
	addr     netip.AddrPort
	sidecar  *Sidecar
	slowness float64
	sequence uint32
	waiting  []int
	ends     map[int]time.Time
}

// sentRequest is a request on its way to an upstream.
type sentRequest struct {
	id      int
	packet  TunnelPacket
	arrival time.Time
	to      *replayUpstream
}

// replayRequest is a request on a flow of its own.
type replayRequest struct {
	key     Key
	start   time.Time
	latency time.Duration
	cost    time.Duration
}

const (
	replaySlots       = 2
	replayReportEvery = 250 // steps
	replayRoundTrip   = 10 * time.Millisecond
)

var replayRoutes = []struct {
	address netip.AddrPort
	cost    time.Duration
	target  time.Duration
}{
	{netip.MustParseAddrPort("198.18.0.1:443"), 5 * time.Millisecond, 50 * time.Millisecond},
	{netip.MustParseAddrPort("198.18.0.1:444"), 100 * time.Millisecond, 300 * time.Millisecond},
}

// newPlacementReplay returns a replay of upstreams of which the first slow ones take six times as
// long.
func newPlacementReplay(balancers, upstreams, slow int, placement Placement) *placementReplay {
	r := &placementReplay{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	routes := map[netip.AddrPort]*Route{}
	for _, route := range replayRoutes {
		routes[route.address] = routeTo(testServiceName)
		routes[route.address].LatencyTarget = route.target
	}
	for range balancers {
		b := NewBalancer("a", r.now)
		b.SetPlacement(placement, DefaultOtherDomainTime)
		for i := range balancers - 1 {
			b.SetPeerMemberCount(netip.AddrPortFrom(testPeer.Addr(), uint16(i+1)), upstreams, r.now)
		}
		b.Configure(&Configuration{Version: 1, Routes: routes})
		r.balancers = append(r.balancers, b)
	}
	for i := range upstreams {
		u := &replayUpstream{addr: memberAddr(i), slowness: 1, ends: map[int]time.Time{}}
		if i < slow {
			u.slowness = 6
		}
		u.sidecar = NewSidecar(NewHeartbeatMonitor(time.Hour), testServiceName, time.Minute, r.now)
		u.sidecar.Heartbeat(Heartbeat{ID: "i", Service: testServiceName, Sequence: 1, State: StateReady, Slots: replaySlots}, r.now)
		r.upstreams = append(r.upstreams, u)
		r.report(u)
	}
	return r
}

// report sends the report of an upstream's sidecar to all balancers.
func (r *placementReplay) report(u *replayUpstream) {
	l := u.sidecar.Load(r.now)
	u.sequence++
	l.Incarnation, l.Sequence, l.DomainID = 1, u.sequence, DomainID("a")
	for _, b := range r.balancers {
		b.HandleReport(u.addr, l, r.now)
	}
}

// run replays requests at a rate for a time and returns those that began after the first fifth.
func (r *placementReplay) run(perSecond float64, total time.Duration) []replayRequest {
	due := 0.0
	steps := int(total / time.Millisecond)
	for step := range steps {
		r.now = r.now.Add(time.Millisecond)
		for i, u := range r.upstreams {
			r.step(u)
			if (step+i*37)%replayReportEvery == 0 {
				r.report(u)
			}
			if step%1000 == 0 {
				u.sidecar.Expire(r.now)
			}
		}
		r.arrive()
		for due += perSecond / 1000; due >= 1; due-- {
			r.open()
		}
	}
	for i := range r.requests {
		if r.requests[i].latency == 0 {
			r.requests[i].latency = r.now.Sub(r.requests[i].start)
		}
	}
	begin := slices.IndexFunc(r.requests, func(q replayRequest) bool { return q.start.After(r.now.Add(-total * 4 / 5)) })
	return r.requests[begin:]
}

// open opens a flow at one of the balancers and sends its request.
func (r *placementReplay) open() {
	id := len(r.requests)
	route := replayRoutes[0]
	if r.rng.IntN(5) == 0 {
		route = replayRoutes[1]
	}
	caller := keyOf(id).Caller()
	p := Packet{Key: NewKey(caller, route.address), FromCaller: true, Flags: FlagOpen, Sequence: 100}
	r.requests = append(r.requests, replayRequest{key: p.Key, start: r.now, cost: route.cost})
	b := r.balancers[r.rng.IntN(len(r.balancers))]
	tp := TunnelPacket{Packet: p, Path: r.path(b, &p)}
	u := r.upstreamAt(tp.Path.To)
	for v := u.sidecar.FromTunnel(&tp, r.now); v.Action == ActionForward; v = u.sidecar.FromTunnel(&tp, r.now) {
		u = r.upstreamAt(v.To)
		tp.Hop = v.Hop
	}
	u.sidecar.FromUpstream(&Packet{Key: p.Key, Flags: FlagOpen | FlagAck, Sequence: 500, Ack: 101}, r.now)
	b.HandleFlowHeld(p.Key, u.addr, r.now)
	request := TunnelPacket{Packet: p, Path: tp.Path, Raw: binary.BigEndian.AppendUint32(nil, uint32(id))}
	request.Packet.Flags, request.Packet.Sequence, request.Packet.Ack, request.Packet.Length = FlagAck|FlagEnd, 101, 501, 200
	r.onWay = append(r.onWay, sentRequest{id, request, r.now.Add(replayRoundTrip), u})
}

// arrive delivers the requests that are due.
func (r *placementReplay) arrive() {
	for len(r.onWay) > 0 && !r.onWay[0].arrival.After(r.now) {
		q := &r.onWay[0]
		if v := q.to.sidecar.FromTunnel(&q.packet, r.now); v.Action == ActionUpstream {
			q.to.waiting = append(q.to.waiting, q.id)
		}
		r.onWay = r.onWay[1:]
	}
}

// path returns the path of an opening packet.
func (r *placementReplay) path(b *Balancer, p *Packet) Path {
	if r.choose == nil {
		return b.Decide(p, r.now).Path
	}
	rk := b.ranking(TagOf(testServiceName))
	hash := p.Key.Hash()
	chosen := rk.at(hash, r.choose(b, rk, r.now))
	path := Path{To: chosen.Addr, Tag: TagOf(testServiceName), Policy: b.cfg.Routes[p.Key.Service()].RequestPolicy}
	chosen.SentSinceReport++
	for rank := range rk.depth {
		if m := rk.at(hash, rank); m != chosen {
			path.add(m.Addr)
		}
	}
	return path
}

// upstreamAt returns the upstream whose sidecar has an address.
func (r *placementReplay) upstreamAt(addr netip.AddrPort) *replayUpstream {
	ip := addr.Addr().As4()
	return r.upstreams[int(ip[2])<<8|int(ip[3])]
}

// step ends the requests that are due and starts waiting ones.
func (r *placementReplay) step(u *replayUpstream) {
	for _, id := range slices.Sorted(maps.Keys(u.ends)) {
		if u.ends[id].After(r.now) {
			continue
		}
		delete(u.ends, id)
		q := &r.requests[id]
		q.latency = r.now.Sub(q.start)
		u.sidecar.FromUpstream(&Packet{Key: q.key, Flags: FlagAck | FlagEnd, Sequence: 501, Ack: 301, Length: 100}, r.now)
	}
	u.sidecar.ReleaseQueued(r.now, func(raw []byte) { u.waiting = append(u.waiting, int(binary.BigEndian.Uint32(raw))) })
	for len(u.waiting) > 0 && len(u.ends) < replaySlots {
		id := u.waiting[0]
		u.waiting = u.waiting[1:]
		u.ends[id] = r.now.Add(time.Duration(float64(r.requests[id].cost) * u.slowness))
	}
}

// placementResult sums up a replay.
type placementResult struct {
	median, p99 time.Duration
	// inTime is the share of the requests that were answered within the target of their route.
	inTime float64
	// answered is the share of the requests that were answered before the timeout.
	answered float64
}

func (r placementResult) String() string {
	return fmt.Sprintf("median %4d ms, p99 %5d ms, in time %.3f, answered %.3f",
		r.median.Milliseconds(), r.p99.Milliseconds(), r.inTime, r.answered)
}

func summarizeReplay(requests []replayRequest) placementResult {
	var latencies []time.Duration
	inTime, answered := 0, 0
	for _, q := range requests {
		latencies = append(latencies, q.latency)
		if q.latency <= boardPolicy.Timeout {
			answered++
		}
		for _, route := range replayRoutes {
			if q.key.Service() == route.address && q.latency <= route.target {
				inTime++
			}
		}
	}
	slices.Sort(latencies)
	n := len(latencies)
	return placementResult{latencies[n/2], latencies[n*99/100], float64(inTime) / float64(n), float64(answered) / float64(n)}
}

// placementModes are the ways to place flows that are compared.
var placementModes = []struct {
	name      string
	placement Placement
	choose    func(b *Balancer, r *ranking, now time.Time) int
}{
	{"hash only", PlaceByRequests, func(*Balancer, *ranking, time.Time) int { return 0 }},
	{"random of two", PlaceByRequests, func(b *Balancer, r *ranking, now time.Time) int {
		i, j := rand.IntN(r.depth), rand.IntN(r.depth)
		if r.at(0, j).cost(b.domain, now) < r.at(0, i).cost(b.domain, now) {
			return j
		}
		return i
	}},
	{"least requests", PlaceByRequests, nil},
	{"expected time", PlaceByExpectedTime, nil},
}

// Requests of two routes, of 5 ms and 100 ms, arrive at 23 balancers whose reports are up to 250 ms
// old. All upstreams have the same pace, or a fifth of them takes six times as long. Placing by
// expected time must serve no fewer callers in time than placing by requests, and more on uneven
// upstreams, where nobody may wait for a slow one either. Loads above 1 are only logged: there the
// order of the queue decides.
func TestPlacementByExpectedTime(t *testing.T) {
	const balancers, upstreams = 23, 20
	for _, slow := range []int{0, upstreams / 5} {
		capacity := (float64(upstreams-slow) + float64(slow)/6) * replaySlots / 0.024
		for _, load := range []float64{0.5, 0.75, 0.9, 1.5} {
			t.Run(fmt.Sprintf("slow=%d/load=%.2f", slow, load), func(t *testing.T) {
				t.Parallel()
				results := map[string]placementResult{}
				for _, mode := range placementModes {
					r := newPlacementReplay(balancers, upstreams, slow, mode.placement)
					r.choose = mode.choose
					results[mode.name] = summarizeReplay(r.run(capacity*load, 8*time.Second))
					t.Logf("%-14s %v", mode.name, results[mode.name])
				}
				got, before := results["expected time"], results["least requests"]
				if load < 1 && got.inTime < before.inTime-0.01 {
					t.Errorf("in time: %.3f, want no less than by requests, %.3f", got.inTime, before.inTime)
				}
				if slow > 0 && load < 0.9 && (got.inTime < before.inTime+0.05 || got.p99 > before.p99/2) {
					t.Errorf("got %v; want 0.05 more in time and half the p99 of %v", got, before)
				}
			})
		}
	}
}

// A cheap request goes to an idle slow upstream, an expensive one waits for a busy fast one.
func TestCheapAndDearRequests(t *testing.T) {
	now := time.Unix(100, 0)
	b := testBalancer(0, now)
	b.SetPlacement(PlaceByExpectedTime, DefaultOtherDomainTime)
	cheap, dear := routeID(replayRoutes[0].address), routeID(replayRoutes[1].address)
	for i, work := range []time.Duration{80 * time.Millisecond, 0} {
		slowness := time.Duration(1 + 5*i)
		b.HandleReport(memberAddr(i), Load{
			Incarnation: 1, Sequence: 1, Tag: TagOf(testServiceName), DomainID: DomainID("a"), State: StateReady, Slots: 2,
			Work: work, ServiceTime: slowness * 24 * time.Millisecond,
			RouteCosts: [RouteCostCount]RouteCost{{cheap, slowness * 5 * time.Millisecond}, {dear, slowness * 100 * time.Millisecond}},
		}, now)
	}
	for id, want := range map[RouteID]netip.AddrPort{cheap: memberAddr(1), dear: memberAddr(0)} {
		if got := b.cheapest(b.ranking(TagOf(testServiceName)), 0, netip.AddrPort{}, id, 0, now); got.Addr != want {
			t.Errorf("route %d: placed at %v, want %v", id, got.Addr, want)
		}
	}
}

// The time that a request waits inside the upstream does not count as service time: with two slots, the
// third request has one only from the first answer on.
func TestServiceTimeWithoutWaiting(t *testing.T) {
	start := time.Unix(100, 0)
	var r running
	flows := []*flowState{{}, {}, {}}
	for i, f := range flows {
		r.begin(f, 2, start.Add(time.Duration(i)))
	}
	r.end(flows[0])
	r.start(2, start.Add(30*time.Millisecond))
	if got := flows[2].slotSince.Sub(start); got != 30*time.Millisecond {
		t.Errorf("third request has a slot after %v, want 30ms", got)
	}
}
