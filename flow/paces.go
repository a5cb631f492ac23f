package flow

import (
	"slices"
	"time"
)

const (
	// paceInterval is the time between comparisons of the upstreams of a service.
	paceInterval = 250 * time.Millisecond
	// paceLearningTime is how long after its start a balancer takes upstreams for uneven. After a loss of
	// all power, the paces are not known yet when all callers return.
	paceLearningTime = 3 * time.Second
	// minCompared is the smallest number of upstreams that are compared.
	minCompared = 4
	// The upstreams of a service differ in pace once the 80th percentile of their service times is
	// unevenRatio times the 20th, until it is less than evenRatio times the 20th.
	unevenRatio = 1.6
	evenRatio   = 1.3
)

// paceComparison says whether the upstreams of a service differ in pace.
type paceComparison struct {
	at     time.Time
	uneven bool
}

// placesByTime reports whether the new flows of a service are placed by the expected time to an answer.
func (b *Balancer) placesByTime(tag Tag) bool {
	if b.placement != PlaceAdaptively {
		return b.placement == PlaceByExpectedTime
	}
	c, ok := b.paces[tag]
	return !ok || c.uneven
}

// comparePaces compares the upstreams of a service by the time that they take for a request, for
// PlaceAdaptively.
func (b *Balancer) comparePaces(tag Tag, now time.Time) {
	if b.placement != PlaceAdaptively || now.Sub(b.started) < paceLearningTime {
		return
	}
	c, ok := b.paces[tag]
	if !ok {
		c = &paceComparison{}
		b.paces[tag] = c
	}
	if now.Sub(c.at) < paceInterval {
		return
	}
	c.at = now
	var times []time.Duration
	for _, m := range b.members {
		if m.Load.Tag == tag && m.acceptsFlows(now) {
			times = append(times, m.Load.ServiceTime)
		}
	}
	if len(times) < minCompared {
		return
	}
	slices.Sort(times)
	fast, slow := times[len(times)/5], times[len(times)-1-len(times)/5]
	ratio := float64(slow) / float64(max(fast, time.Millisecond))
	c.uneven = ratio >= unevenRatio || c.uneven && ratio >= evenRatio
}
