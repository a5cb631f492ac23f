package flow

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"greengagedyke/outlier"
)

const (
	// overdueAfter is the shortest time after which a request without an answer counts as failed. If the
	// latency target is longer, that applies.
	overdueAfter = 500 * time.Millisecond
	// evaluateInterval is the time between comparisons of the members of a service.
	evaluateInterval = 250 * time.Millisecond
)

// recordOutcome records what a packet of the upstream shows about the newest request of a flow. The end
// of a flow that its caller has ended first is no failure.
func (s *Sidecar) recordOutcome(f *flowState, p *Packet, now time.Time) {
	ends := p.Flags.Has(FlagReset) || p.Flags.Has(FlagEnd)
	switch {
	case f.awaitingAnswer && p.Length > 0 && s.warmupLeft(now) > 0:
		s.outcomes.Answered(0, now) // the time says nothing about the upstream once it has warmed up
	case f.awaitingAnswer && p.Length > 0:
		s.outcomes.Answered(now.Sub(f.requestStart), now)
	case f.awaitingAnswer && ends && f.ended == 0, f.pending && p.Flags.Has(FlagReset):
		s.outcomes.Failed(now)
	}
}

// recordOverdue records a flow's request if it has no answer after the time within which callers want
// one, and the caller still waits.
func (s *Sidecar) recordOverdue(f *flowState, now time.Time) {
	if f.awaitingAnswer && f.ended == 0 && now.Sub(f.requestStart) > max(overdueAfter, f.policy.LatencyTarget) {
		s.outcomes.Failed(now)
	}
}

// outliers is the state of a balancer that detects outliers.
type outliers struct {
	// spread differs between balancers, so that they try ejected members at different times.
	spread float64
	// evaluated is when the members of each service were last compared.
	evaluated map[Tag]time.Time
	changes   []OutlierChange
}

// OutlierChange says that a member was ejected or readmitted. Change.Member is not used.
type OutlierChange struct {
	Addr netip.AddrPort
	outlier.Change
}

// DetectOutliers makes the balancer leave out members whose upstreams are clearly worse than those of
// the other members, as package outlier describes.
func (b *Balancer) DetectOutliers() {
	b.outliers = &outliers{spread: rand.Float64(), evaluated: map[Tag]time.Time{}}
}

// TakeOutlierChanges returns the members that were ejected or readmitted since the last call.
func (b *Balancer) TakeOutlierChanges() []OutlierChange {
	if b.outliers == nil {
		return nil
	}
	changes := b.outliers.changes
	b.outliers.changes = nil
	return changes
}

// updateOutliers takes the evidence in a member's newest report into account.
func (b *Balancer) updateOutliers(m *Member, now time.Time) {
	o := b.outliers
	if o == nil {
		return
	}
	m.outlier.Report(m.Load.Evidence)
	tag := m.Load.Tag
	if now.Sub(o.evaluated[tag]) < evaluateInterval {
		return
	}
	o.evaluated[tag] = now
	var members []*Member
	var compared []*outlier.Member
	for _, m := range b.members {
		if m.Load.Tag == tag {
			m.outlier.SetAccepting(m.acceptsFlows(now))
			members = append(members, m)
			compared = append(compared, &m.outlier)
		}
	}
	for _, c := range outlier.Evaluate(compared, o.spread, now) {
		o.changes = append(o.changes, OutlierChange{Addr: members[c.Member].Addr, Change: c})
	}
}

// lastResort reports whether the member gets a new flow only if no other takes it: its upstream takes no
// more while it warms up, or is an outlier.
func (m *Member) lastResort(warmupRate uint16, now time.Time) bool {
	return m.outlier.Blocked() || !m.hasWarmupRoom(warmupRate, now)
}
