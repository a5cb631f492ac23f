// Package pace learns how long an upstream is likely to take for a request, from the route of the
// request, the size of what the caller sent, and how long such requests took before. It is meant
// for requests that look alike and cost very different amounts of work, and for upstreams of unequal
// pace. It does no I/O and reads no clock.
package pace

import (
	"net/netip"
	"time"
)

// Size is a class of requests by the number of bytes in their first packet.
type Size uint8

// The classes.
const (
	// SizeSmall is a request without a body, or with a short one.
	SizeSmall Size = iota
	// SizeMedium is a request with a body in its first packet.
	SizeMedium
	// SizeLarge is a request that fills its first packet, so that more may follow.
	SizeLarge
	sizeCount
)

// The numbers of bytes at which the classes SizeMedium and SizeLarge begin.
const (
	mediumSize = 512
	largeSize  = 1100
)

// SizeOf returns the class of a request by the number of bytes in its first packet.
func SizeOf(bytes int) Size {
	switch {
	case bytes < mediumSize:
		return SizeSmall
	case bytes < largeSize:
		return SizeMedium
	}
	return SizeLarge
}

// routeLimit is the number of routes that an Estimator remembers.
const routeLimit = 64

// route holds what is known about the requests of one route.
type route struct {
	sizes    [sizeCount]histogram
	lastSeen time.Time
}

// Estimator learns how long one upstream takes for requests. The expectation for a route without
// recent requests is the pace of the upstream over all routes; without any recent requests, it is the
// initial duration. It is not safe for concurrent use.
type Estimator struct {
	initial time.Duration
	all     histogram
	routes  map[netip.AddrPort]*route
}

// New returns an Estimator that expects initial for each request until it has observed some.
func New(initial time.Duration) *Estimator {
	return &Estimator{initial: initial, routes: map[netip.AddrPort]*route{}}
}

// Observe records that a request took d.
func (e *Estimator) Observe(to netip.AddrPort, size Size, d time.Duration, now time.Time) {
	d = max(0, d)
	e.all.add(d, e.initial.Seconds(), now)
	r, ok := e.routes[to]
	if !ok {
		if len(e.routes) >= routeLimit {
			e.forgetOldest()
		}
		r = &route{}
		e.routes[to] = r
	}
	r.lastSeen = now
	r.sizes[size].add(d, e.pace(now), now)
}

// ObserveUnfinished records that a request was given up after elapsed without an answer. It only
// counts if the request was expected to take less, since it shows no more than a lower bound.
func (e *Estimator) ObserveUnfinished(to netip.AddrPort, size Size, elapsed time.Duration, now time.Time) {
	if elapsed > e.Expect(to, size, now) {
		e.Observe(to, size, elapsed, now)
	}
}

// forgetOldest removes the route that was observed least recently.
func (e *Estimator) forgetOldest() {
	var oldest netip.AddrPort
	var r *route
	for to, other := range e.routes {
		if r == nil || other.lastSeen.Before(r.lastSeen) {
			oldest, r = to, other
		}
	}
	delete(e.routes, oldest)
}

// pace returns the expected duration of any request in seconds.
func (e *Estimator) pace(now time.Time) float64 { return e.all.expect(e.initial.Seconds(), now) }

// Pace returns the expected duration of a request of any route.
func (e *Estimator) Pace(now time.Time) time.Duration { return seconds(e.pace(now)) }

// Expect returns the expected duration of a request.
func (e *Estimator) Expect(to netip.AddrPort, size Size, now time.Time) time.Duration {
	r, ok := e.routes[to]
	if !ok {
		return e.Pace(now)
	}
	return seconds(r.sizes[size].expect(e.pace(now), now))
}

// Remaining returns how much longer a request is expected to take that has taken elapsed already. It
// is above 0, also for a request that has taken longer than expected.
func (e *Estimator) Remaining(to netip.AddrPort, size Size, elapsed time.Duration, now time.Time) time.Duration {
	elapsed = max(0, elapsed)
	if r, ok := e.routes[to]; ok {
		return seconds(r.sizes[size].remaining(elapsed.Seconds(), e.pace(now), now))
	}
	return seconds(e.all.remaining(elapsed.Seconds(), e.initial.Seconds(), now))
}

// ExpectRoute returns the expected duration of a request of a route, over all sizes.
func (e *Estimator) ExpectRoute(to netip.AddrPort, now time.Time) time.Duration {
	r, ok := e.routes[to]
	if !ok {
		return e.Pace(now)
	}
	_, d := r.cost(e.pace(now), now)
	return d
}

// cost returns the recent number of a route's requests and their expected duration, over all sizes.
// prior is the pace of the upstream in seconds.
func (r *route) cost(prior float64, now time.Time) (float64, time.Duration) {
	weight, sum := 0.0, 0.0
	for i := range r.sizes {
		w := r.sizes[i].weight * r.sizes[i].age(now)
		weight += w
		sum += w * r.sizes[i].mean
	}
	return weight, seconds((sum + priorWeight*prior) / (weight + priorWeight))
}

// Costs calls yield with each known route, its recent number of requests and their expected duration,
// over all sizes.
func (e *Estimator) Costs(now time.Time, yield func(to netip.AddrPort, weight float64, d time.Duration)) {
	prior := e.pace(now)
	for to, r := range e.routes {
		weight, d := r.cost(prior, now)
		yield(to, weight, d)
	}
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
