package flow

import (
	"math"
	"slices"
	"time"
)

const (
	// warmupWindow is the span over which the flows that a warming upstream gets are counted.
	warmupWindow = time.Second
	// warmupRateAge is how long a rate applies after the last packet with it. Balancers whose
	// configuration is older may send no rate or a higher one meanwhile.
	warmupRateAge = 10 * time.Second
)

// warmupLimit bounds the new flows that an upstream gets while it warms up, in any warmupWindow. It
// is made for failure domains that take load again with upstreams that have just started: each
// balancer sends them a share of the flows, and none knows how many the others send. All opening
// packets for an upstream pass its sidecar, so they are counted there.
type warmupLimit struct {
	// countedSince is when this process began to count. It does not know of deliveries before that.
	countedSince time.Time
	// delivered holds the times of the opening packets that the upstream got in the last
	// warmupWindow, also while no limit applied.
	delivered []time.Time
	// rate is the lowest rate of the packets in the last warmupRateAge, in flows per warmupWindow; 0
	// if there was none. rateAt is when a packet last had it.
	rate   uint16
	rateAt time.Time
}

// learnRate records the rate in the path of a packet; 0 if it has none.
func (l *warmupLimit) learnRate(rate uint16, now time.Time) {
	outdated := now.Sub(l.rateAt) > warmupRateAge
	if outdated {
		l.rate = 0
	}
	if rate > 0 && (l.rate == 0 || rate <= l.rate) {
		l.rate = rate
		l.rateAt = now
	}
}

// limited reports whether a rate applies.
func (l *warmupLimit) limited(now time.Time) bool {
	return l.rate > 0 && now.Sub(l.rateAt) <= warmupRateAge
}

// record counts an opening packet that the upstream gets now.
func (l *warmupLimit) record(now time.Time) {
	l.discard(now)
	l.delivered = append(l.delivered, now)
}

// discard removes the deliveries that are older than warmupWindow.
func (l *warmupLimit) discard(now time.Time) {
	recent := slices.IndexFunc(l.delivered, func(at time.Time) bool { return now.Sub(at) <= warmupWindow })
	if recent < 0 {
		recent = len(l.delivered)
	}
	l.delivered = l.delivered[recent:]
}

// room returns how many opening packets a warming upstream takes now. Without a rate, that is
// MaxUint16: a balancer that knows the rate applies it. In the first warmupWindow of this process it
// is 0, since a former process may have delivered some.
func (l *warmupLimit) room(now time.Time) uint16 {
	if now.Sub(l.countedSince) <= warmupWindow {
		return 0
	}
	if !l.limited(now) {
		return math.MaxUint16
	}
	l.discard(now)
	return uint16(max(0, int(l.rate)-len(l.delivered)))
}

// warmupLeft returns how much longer the upstream counts as warming up. If it may have become slow
// without having said so, that is at least warmupWindow where a rate applies.
func (s *Sidecar) warmupLeft(now time.Time) time.Duration {
	left := max(0, s.monitor.Last().WarmupLeft-s.monitor.Age(now))
	if s.warmup.limited(now) && s.warmupUnknown() {
		return max(left, warmupWindow)
	}
	return left
}

// warmupUnknown reports whether no heartbeat tells yet that the upstream warms up: it may have been
// replaced, or the evacuation of its failure domain has ended.
func (s *Sidecar) warmupUnknown() bool {
	m := s.monitor
	if s.evacuationEndedAt.After(m.receivedAt) {
		return true
	}
	otherReported := m.claim.ID != "" && !m.claim.sameIncarnation(&m.last)
	return otherReported || !s.notListeningAt.Before(m.receivedAt) || s.check.requestedAt.After(m.receivedAt)
}

// warmupExhausted reports whether the upstream warms up and takes no opening packet now.
func (s *Sidecar) warmupExhausted(now time.Time) bool {
	return s.warmup.limited(now) && s.warmupLeft(now) > 0 && s.warmup.room(now) == 0
}

// handleExhausted returns the decision about an opening packet that the warming upstream does not take
// now. f is the flow if the upstream got an earlier copy of the packet, else nil. While an answer
// to that copy is expected, or the caller may have it, the packet is dropped, since another upstream
// would open the flow a second time.
func handleExhausted(tp *TunnelPacket, f *flowState) SidecarVerdict {
	if f != nil && (f.pending || f.answered) {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonWarmingUp}
	}
	tp.Offered = tp.Offered || f != nil
	return forwardToSibling(tp, ReasonWarmingUp)
}

// hasWarmupRoom reports whether the member's upstream takes a new flow under a warm-up rate; 0 means
// that there is none.
func (m *Member) hasWarmupRoom(rate uint16, now time.Time) bool {
	return rate == 0 || m.SentSinceReport < m.warmupRoom(rate, now)
}

// warmupRoom returns how many flows the upstream takes after the last report under a warm-up rate;
// MaxUint16 if it does not warm up. The deliveries that the report counted are over after warmupWindow.
func (m *Member) warmupRoom(rate uint16, now time.Time) uint16 {
	age := now.Sub(m.ReportedAt)
	if m.Load.WarmupLeft <= age {
		return math.MaxUint16
	}
	if age > warmupWindow {
		return rate
	}
	return min(m.Load.WarmupRoom, rate)
}
