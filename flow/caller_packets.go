package flow

import (
	"net/netip"
	"slices"
	"time"
)

// FromTunnel returns the decision about a caller's packet that a balancer or a sibling has sent to
// this sidecar.
func (s *Sidecar) FromTunnel(tp *TunnelPacket, now time.Time) SidecarVerdict {
	if tp.Packet.Opening() {
		return s.open(tp, now)
	}
	f, ok := s.flows[tp.Packet.Key]
	switch {
	case !ok:
		return s.handleUnknownFlow(tp, now)
	case f.answered && tp.Packet.Flags.Has(FlagAck) && !f.ackMatches(tp.Packet.Ack):
		return notDelivered(tp.Origin, ReasonNotOurs, f.lost)
	case f.lost || s.upstreamCrashed(now):
		return s.handleOrphan(tp, f)
	}
	f.policy = tp.Path.Policy
	f.established = f.established || f.answered && tp.Packet.Flags.Has(FlagAck)
	v := SidecarVerdict{Action: ActionUpstream, Reason: ReasonKnown}
	if tp.Path.Confirm {
		v.Notify = tp.Origin
	}
	if s.enqueue(f, tp, now) {
		v.Action = ActionQueue
		v.Reason = ReasonQueued
		return v
	}
	s.trackCallerPacket(f, &tp.Packet, now)
	f.recordDelivered(tp.Raw)
	return v
}

// outstanding returns the number of requests that the upstream has or that are queued.
func (s *Sidecar) outstanding() int { return s.busy + s.queue.Len() }

// enqueue puts a data packet into the queue if it begins or continues a request that has to wait.
// It reports whether the upstream must not get the packet now. If the queue is full, a new request
// goes to the upstream at once, and a packet of a queued request is dropped.
func (s *Sidecar) enqueue(f *flowState, tp *TunnelPacket, now time.Time) bool {
	f.lastUsed = now
	if tp.Packet.Length == 0 || f.awaitingAnswer || f.ended != 0 || f.isRetransmission(&tp.Packet) && !f.queued {
		return false
	}
	if s.leaving && !f.queued {
		return false
	}
	if !f.queued && (s.busy < s.requestLimit() || s.monitor.Last().Slots == 0) && s.queue.Len() == 0 {
		return false
	}
	if !f.queued {
		f.describeRequest(&tp.Packet)
	}
	cost := s.pace.Expect(f.route, f.size, now)
	if !s.queue.add(&tp.Packet, tp.Raw, f.policy, openingAge(f.retransmissions), cost, now) {
		return f.queued
	}
	s.commitments.Remove(tp.Packet.Key)
	f.queued = true
	f.retransmissions = 0
	f.advance(&tp.Packet)
	return true
}

// isRetransmission reports whether a packet has no bytes after nextSequence.
func (f *flowState) isRetransmission(p *Packet) bool {
	return f.nextKnown && int32(p.Sequence+uint32(p.Length)-f.nextSequence) <= 0
}

// advance moves nextSequence to the end of a packet's data.
func (f *flowState) advance(p *Packet) {
	if p.Length > 0 && !f.isRetransmission(p) {
		f.nextSequence = p.Sequence + uint32(p.Length)
		f.nextKnown = true
	}
}

// requestLimit returns the number of requests that the upstream may have at once.
func (s *Sidecar) requestLimit() int { return s.monitor.Last().Slots + spareRequests }

// openingAge estimates how long a caller has waited after a number of retransmissions of its opening
// packet. Callers retransmit it 200 ms and 600 ms after the first transmission.
func openingAge(retransmissions uint32) time.Duration {
	switch retransmissions {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// ReleaseQueued calls deliver with the packets of the requests that the upstream has capacity for
// now.
func (s *Sidecar) ReleaseQueued(now time.Time, deliver func(raw []byte)) {
	// A sidecar that is stopping releases all requests.
	for s.leaving || s.busy < s.requestLimit() {
		req, ok := s.queue.pop(now, s.monitor.Last().Slots)
		if !ok {
			return
		}
		f, ok := s.flows[req.Key]
		if !ok || !f.queued {
			continue
		}
		f.queued = false
		s.observe(LatencyWait, now.Sub(req.Arrived))
		s.beginRequest(f, now)
		for _, p := range req.Payload {
			deliver(p.raw)
			f.recordDelivered(p.raw)
		}
	}
}

// beginRequest records that the upstream gets a request.
func (s *Sidecar) beginRequest(f *flowState, now time.Time) {
	f.awaitingAnswer = true
	f.requestStart = now
	f.retransmissions = 0
	s.busy++
	s.running.begin(f, s.slots(), now)
}

// ackMatches reports whether a caller's acknowledgement number is in the range of what the upstream
// sent. It is not if the caller uses another upstream that answered the same opening packet, with
// other sequence numbers. In a learned flow, bytes before firstSequence may be acknowledged as well.
func (f *flowState) ackMatches(ack uint32) bool {
	slack := uint32(0)
	if f.learned {
		slack = ackSlack
	}
	return ack-f.firstSequence-1+slack <= f.sentLength+slack+ackSlack
}

// trackCallerPacket updates a flow's state for a caller's packet that goes to the upstream.
func (s *Sidecar) trackCallerPacket(f *flowState, p *Packet, now time.Time) {
	f.lastUsed = now
	if p.Length > 0 && !f.awaitingAnswer && f.ended == 0 && !f.isRetransmission(p) {
		s.commitments.Remove(p.Key)
		f.describeRequest(p)
		s.beginRequest(f, now)
	}
	f.advance(p)
	if p.Flags.Has(FlagEnd) {
		f.ended |= callerEnded
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

// dropQueued removes a flow's request from the queue, if it is there.
func (s *Sidecar) dropQueued(k Key, f *flowState) {
	if f.queued {
		f.queued = false
		s.queue.remove(k)
	}
}

// finishRequest records that a flow's request, if there is one, no longer waits for an answer.
func (s *Sidecar) finishRequest(f *flowState) {
	if f.awaitingAnswer {
		f.awaitingAnswer = false
		s.busy--
		s.running.end(f)
	}
}

// forwardToSibling returns the decision to forward an opening packet to the next sidecar of its
// path, or to refuse the flow if there is none.
func forwardToSibling(tp *TunnelPacket, reason Reason) SidecarVerdict {
	if tp.Hop < tp.Path.FallbackCount {
		return SidecarVerdict{Action: ActionForward, Reason: reason, To: tp.Path.Fallbacks[tp.Hop], Hop: tp.Hop + 1}
	}
	return SidecarVerdict{Action: tp.refusal(), Reason: reason}
}

// notDelivered returns the decision to drop a packet and to notify the balancer. notHeld means that
// the upstream does not hold the flow.
func notDelivered(balancer netip.AddrPort, reason Reason, notHeld bool) SidecarVerdict {
	return SidecarVerdict{Action: ActionDrop, Reason: reason, Notify: balancer, NotDelivered: true, NotHeld: notHeld}
}

// refusal returns the action for an opening packet that no sidecar accepts. The flow is reset only
// if no upstream can still answer: the packet is the first transmission, and no upstream got it.
func (tp *TunnelPacket) refusal() Action {
	if tp.Packet.Retransmissions() == 0 && !tp.Offered {
		return ActionReset
	}
	return ActionDrop
}

// replacedBy reports whether an opening packet is that of a new flow: the former one has ended, and its
// caller uses the port again.
func (f *flowState) replacedBy(p *Packet) bool {
	return f.ended != 0 && (f.learned || f.opening.Packet.Sequence != p.Sequence)
}

// markOffered sets Offered for an opening packet of which the upstream, or the one before it, got an
// earlier copy. The network may deliver a first transmission twice.
func (s *Sidecar) markOffered(tp *TunnelPacket) {
	f, ok := s.flows[tp.Packet.Key]
	if ok && !f.learned && f.opening.Packet.Sequence == tp.Packet.Sequence {
		tp.Offered = true
	}
}

// decline returns the decision about an opening packet that the upstream must not get.
func (s *Sidecar) decline(tp *TunnelPacket, reason Reason) SidecarVerdict {
	s.markOffered(tp)
	return forwardToSibling(tp, reason)
}

// open returns the decision about an opening packet.
func (s *Sidecar) open(tp *TunnelPacket, now time.Time) SidecarVerdict {
	if tp.Path.Tag != s.tag {
		return s.decline(tp, ReasonOtherService)
	}
	switch s.State(now) {
	case StateReady:
	case StateEvacuated:
		return s.openEvacuated(tp, now)
	default:
		return s.decline(tp, ReasonUpstreamClosed)
	}
	f, ok := s.flows[tp.Packet.Key]
	delivered := ok && !f.lost && !f.replacedBy(&tp.Packet)
	if !delivered {
		s.markOffered(tp)
	}
	s.warmup.learnRate(tp.Path.WarmupRate, now)
	if s.warmupExhausted(now) {
		if !delivered {
			f = nil
		}
		return handleExhausted(tp, f)
	}
	if delivered {
		f.lastUsed = now
		s.warmup.record(now)
		return SidecarVerdict{Action: ActionUpstream, Reason: ReasonPlacedAgain}
	}
	if v, ok := s.turnAway(tp, now); ok {
		return v
	}
	if ok {
		s.removeFlow(tp.Packet.Key, f)
	}
	s.flows[tp.Packet.Key] = &flowState{
		opening: *tp, offeredAt: now, pending: true, lastUsed: now,
		retransmissions: tp.Packet.Retransmissions(), policy: tp.Path.Policy,
	}
	s.pendingOpenings++
	s.admit(tp, now)
	s.warmup.record(now)
	return SidecarVerdict{Action: ActionUpstream, Reason: ReasonPlaced}
}

// overloaded reports whether so many requests wait that the next fallback may be faster, by the expected
// times if the balancer placed the flow by these. There must be a fallback.
func (s *Sidecar) overloaded(tp *TunnelPacket, now time.Time) bool {
	if next := tp.Path.FallbackTimes[tp.Hop]; next > 0 {
		return s.waitsTooLong(tp, next, now)
	}
	slots := max(1, s.monitor.Last().Slots)
	return s.outstanding() >= slots*(1+queuedPerSlot)
}

// upstreamCrashed reports whether the upstream counts as crashed and so holds no flows: it is absent,
// or for crashedAfter, while this process was running, it has sent neither a heartbeat nor data and no
// check has found that it listens. Heartbeats are not lost on a network, since the upstream runs in the
// same VM.
func (s *Sidecar) upstreamCrashed(now time.Time) bool {
	if s.absent {
		return true
	}
	lastActive := s.started
	for _, t := range []time.Time{s.monitor.receivedAt, s.lastServed, s.listenedAt} {
		if t.After(lastActive) {
			lastActive = t
		}
	}
	return now.Sub(lastActive) > crashedAfter && s.expireCalls >= crashedExpireCalls
}

// handleUnknownFlow returns the decision about a packet of a flow that this process has no record
// of. If the upstream may hold the flow, because it started before this process, the packet is sent
// to the upstream as a probe.
func (s *Sidecar) handleUnknownFlow(tp *TunnelPacket, now time.Time) SidecarVerdict {
	switch s.unknownFlowResult(tp.Packet.Key, now) {
	case LookupResultNotHeld:
		return notDelivered(tp.Origin, ReasonUnknownFlow, true)
	case LookupResultUncertain:
		return notDelivered(tp.Origin, ReasonUnknownFlow, false)
	}
	s.probes[tp.Packet.Key] = probe{sentAt: now, origin: tp.Origin, raw: slices.Clone(tp.Raw)}
	return SidecarVerdict{Action: ActionUpstream, Reason: ReasonProbe}
}

// handleOrphan returns the decision about a packet of a flow that is lost or whose upstream has
// crashed. The flow is reset if that upstream had answered it.
func (s *Sidecar) handleOrphan(tp *TunnelPacket, f *flowState) SidecarVerdict {
	if !f.answered || !tp.Packet.Flags.Has(FlagAck) {
		return notDelivered(tp.Origin, ReasonUnknownFlow, true)
	}
	if tp.Packet.Flags.Has(FlagReset) {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonUpstreamLost}
	}
	return SidecarVerdict{Action: ActionReset, Reason: ReasonUpstreamLost}
}
