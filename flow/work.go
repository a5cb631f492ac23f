package flow

import (
	"math"
	"net/netip"
	"time"

	"greengagedyke/pace"
	"greengagedyke/service"
)

// RouteID identifies a route in reports: a hash of the address that its flows are opened to.
type RouteID uint32

// routeID returns the ID of the route to an address.
func routeID(to netip.AddrPort) RouteID {
	ip := to.Addr().As4()
	id := uint64(to.Port())
	for _, b := range ip {
		id = id<<8 | uint64(b)
	}
	return RouteID(service.SplitMix64(id))
}

// RouteCost is how long an upstream is expected to take for a request of a route.
type RouteCost struct {
	// Route is 0 in an entry that is not used.
	Route RouteID
	Cost  time.Duration
}

// RouteCostCount is the number of routes with a cost in a report: those of the most requests.
const RouteCostCount = 4

// describeRequest records what the cost of a request depends on. p is its first packet.
func (f *flowState) describeRequest(p *Packet) {
	f.route = p.Key.Service()
	f.size = pace.SizeOf(p.Length)
}

// slots returns the number of requests that the upstream processes at once; 0 if unknown.
func (s *Sidecar) slots() int { return s.monitor.Last().Slots }

// observeAnswer learns from the time that the upstream took until the first byte of an answer.
// The packet that ends a flow without an answer shows nothing.
func (s *Sidecar) observeAnswer(f *flowState, p *Packet, now time.Time) {
	if !f.awaitingAnswer || p.Length == 0 || f.slotSince.IsZero() {
		return
	}
	took := now.Sub(f.slotSince)
	expected := s.pace.Expect(f.route, f.size, now)
	s.observe(LatencyCostError, max(took-expected, expected-took))
	s.pace.Observe(f.route, f.size, took, now)
}

// observeUnfinished learns from a request that the upstream did not answer in time.
func (s *Sidecar) observeUnfinished(f *flowState, now time.Time) {
	if !f.slotSince.IsZero() {
		s.pace.ObserveUnfinished(f.route, f.size, now.Sub(f.slotSince), now)
	}
}

// work returns how long the upstream is expected to need for the requests that it has, those that are
// queued, and those of flows that were opened and whose first request has not arrived.
func (s *Sidecar) work(now time.Time) time.Duration {
	s.commitments.Expire(now)
	return s.runningWork(now) + s.queue.Work() + s.commitments.Work()
}

// runningWork returns how long the upstream is expected to need for the requests that it has.
func (s *Sidecar) runningWork(now time.Time) time.Duration {
	s.running.start(s.slots(), now)
	var total time.Duration
	for _, f := range s.running.active {
		total += s.pace.Remaining(f.route, f.size, now.Sub(f.slotSince), now)
	}
	for _, f := range s.running.waiting {
		total += s.pace.Expect(f.route, f.size, now)
	}
	return total
}

// addWork sets the fields of a report that say how much work the upstream has and how long it takes
// for a request.
func (s *Sidecar) addWork(l *Load, now time.Time) {
	l.Work = s.work(now)
	l.ServiceTime = s.pace.Pace(now)
	for _, f := range s.flows {
		if f.ended == 0 && !f.lost && l.OpenFlows < math.MaxUint16 {
			l.OpenFlows++
		}
	}
	var weights [RouteCostCount]float64
	s.pace.Costs(now, func(to netip.AddrPort, weight float64, d time.Duration) {
		lightest := 0
		for i := range weights {
			if weights[i] < weights[lightest] {
				lightest = i
			}
		}
		if weight > weights[lightest] {
			weights[lightest] = weight
			l.RouteCosts[lightest] = RouteCost{Route: routeID(to), Cost: d}
		}
	})
}
