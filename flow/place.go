package flow

import (
	"net/netip"
	"time"
)

// takes reports whether a member may get new flows.
func (m *Member) takes(now time.Time) bool {
	return m.Load.State == StateReady && !m.silent(now)
}

// place chooses the sidecar for an opening packet. A copy goes to another sidecar
// than the packet before it, which did not answer.
func (s *Balancer) place(p *Packet, ranks *ranking, path Path, hash uint64, known location, now time.Time) BalancerVerdict {
	v := BalancerVerdict{Action: ActionForward, Reason: ReasonPlaced, Path: path}
	if known.addr.IsValid() {
		v.Reason = ReasonPlacedAgain
		if m, ok := s.members[known.addr]; ok && m.unanswered.IsZero() {
			m.unanswered = now
		}
	}
	best := s.best(ranks, hash, known.addr, now)
	if best == nil {
		return s.withoutMember(p, now)
	}
	v.Path.To = best.Addr
	for rank := range ranks.depth {
		m := ranks.at(hash, rank)
		if m != best && m.takes(now) {
			v.Path.add(m.Addr)
		}
	}
	best.SentSinceReport++
	if best.unanswered.IsZero() {
		best.unanswered = now
	}
	s.flows.put(p.Key, location{addr: best.Addr}, now)
	return v
}

// best returns the member of the lowest cost among the ranked ones, nil if none takes
// new flows.
func (s *Balancer) best(ranks *ranking, hash uint64, not netip.AddrPort, now time.Time) *Member {
	var best, last *Member
	var lowest float64
	for rank := range ranks.depth {
		m := ranks.at(hash, rank)
		if !m.takes(now) {
			continue
		}
		if m.Addr == not {
			last = m
			continue
		}
		cost := m.cost(s.domain, now)
		if best == nil || cost < lowest {
			best, lowest = m, cost
		}
	}
	if best == nil {
		return last
	}
	return best
}

// The cost of a member in requests a slot that would be ahead of a new one.
const (
	costFlow       = 0.02 // an open flow, idle or not
	costElsewhere  = 0.8  // another failure domain
	costCold       = 1.0  // an upstream that is still slow after its start
	costUnanswered = 10.0
)

func (m *Member) cost(domain uint32, now time.Time) float64 {
	slots := float64(max(1, m.Load.Slots))
	cost := (float64(m.Load.Busy+m.SentSinceReport) + costFlow*float64(m.Load.Flows)) / slots
	if m.Load.DomainID != domain {
		cost += costElsewhere
	}
	if m.Load.WarmupLeft > now.Sub(m.ReportedAt) {
		cost += costCold
	}
	if !m.unanswered.IsZero() && now.Sub(m.unanswered) > unansweredAfter {
		cost += costUnanswered
	}
	return cost
}
