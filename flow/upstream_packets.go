package flow

import "time"

// FromUpstream returns the decision about a packet that the upstream sent.
func (s *Sidecar) FromUpstream(p *Packet, now time.Time) SidecarVerdict {
	if p.Flags.Has(FlagBounced) {
		return s.handleBounced(p, now)
	}
	v := SidecarVerdict{Action: ActionCaller, Reason: ReasonKnown}
	f, ok := s.flows[p.Key]
	if !ok || f.lost {
		if p.Flags.Has(FlagReset) {
			// A newly started upstream answers a probe with a reset.
			return s.probeNotHeld(p)
		}
		pr := s.probes[p.Key]
		f = &flowState{firstSequence: p.Sequence - 1, answered: true, learned: true, established: !p.Flags.Has(FlagOpen), delivered: pr.raw}
		s.flows[p.Key] = f
		v.Notify = pr.origin
		delete(s.probes, p.Key)
	}
	if p.Length > 0 || p.Flags.Has(FlagOpen) {
		s.recordServing(now)
	}
	f.lastUsed = now
	f.lastAnswer = now
	if p.Flags.Has(FlagOpen) && !f.answered {
		f.firstSequence = p.Sequence
		f.answered = true
		v.Notify = f.opening.Origin
	}
	s.trackUpstreamPacket(f, p, now)
	return v
}

// recordServing records that the upstream is serving, since it has sent data or opened a flow.
// Other packets do not show that: after a process has ended, its VM may still return, reset or
// acknowledge packets.
func (s *Sidecar) recordServing(now time.Time) {
	s.lastServed = now
	s.expireCalls = 0
	s.absent = false
	s.notListeningSince = time.Time{}
}

// trackUpstreamPacket updates a flow's state for a packet of the upstream.
func (s *Sidecar) trackUpstreamPacket(f *flowState, p *Packet, now time.Time) {
	s.recordOutcome(f, p, now)
	if f.pending {
		f.pending = false
		s.pendingOpenings--
		s.monitor.answered()
		s.observe(LatencyOpen, now.Sub(f.offeredAt))
	}
	f.acknowledge(p)
	if end := p.Sequence + uint32(p.Length) - f.firstSequence; end > f.sentLength && end < 1<<31 {
		f.sentLength = end
	}
	if p.Length > 0 || p.Flags.Has(FlagEnd) {
		s.recordAnswerTime(f, now)
		s.observeAnswer(f, p, now)
		s.finishRequest(f)
		s.running.start(s.slots(), now)
	}
	if p.Flags.Has(FlagEnd) {
		f.ended |= upstreamEnded
		s.commitments.Remove(p.Key)
	}
	if p.Flags.Has(FlagReset) {
		f.ended = bothEnded
		s.finishRequest(f)
		s.running.start(s.slots(), now)
		s.dropQueued(p.Key, f)
		s.commitments.Remove(p.Key)
	}
}

// acknowledge records which of the caller's bytes the upstream has received, so that a packet that
// repeats them is not taken for a new request.
func (f *flowState) acknowledge(p *Packet) {
	if p.Flags.Has(FlagAck) && (!f.nextKnown || int32(p.Ack-f.nextSequence) > 0) {
		f.nextSequence = p.Ack
		f.nextKnown = true
	}
}

// recordAnswerTime records how long a request waited for its answer.
func (s *Sidecar) recordAnswerTime(f *flowState, now time.Time) {
	if f.awaitingAnswer && !f.requestStart.IsZero() {
		s.observe(LatencyAnswer, now.Sub(f.requestStart))
	}
}

// handleBounced returns the decision about a caller's packet that the upstream returned.
func (s *Sidecar) handleBounced(p *Packet, now time.Time) SidecarVerdict {
	f, ok := s.flows[p.Key]
	switch {
	case !ok:
		return s.probeNotHeld(p)
	case p.Opening() && f.pending:
		tp := f.opening
		s.removeFlow(p.Key, f)
		v := forwardToSibling(&tp, ReasonBounced)
		v.Returned = &tp
		return v
	case p.Opening() || f.lost || f.ended != 0 || !f.answered || !f.ackMatches(p.Ack):
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonBounced}
	}
	// The upstream has answered the flow before and does not hold it now, so it may be a new process.
	s.loseFlow(p.Key, f)
	f.orphanReported = true
	s.check.request(now)
	if p.Flags.Has(FlagReset) {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonUpstreamLost}
	}
	return SidecarVerdict{Action: ActionReset, Reason: ReasonUpstreamLost}
}

// probeNotHeld returns the decision about a packet that shows that the upstream does not hold the
// flow. The balancer is notified if the flow is being probed.
func (s *Sidecar) probeNotHeld(p *Packet) SidecarVerdict {
	pr, ok := s.probes[p.Key]
	if !ok || pr.notHeld || p.Opening() {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonBounced}
	}
	s.probes[p.Key] = probe{sentAt: pr.sentAt, notHeld: true}
	return notDelivered(pr.origin, ReasonUnknownFlow, true)
}
