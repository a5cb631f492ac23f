package flow

import (
	"net/netip"
	"time"
)

// FromTunnel decides about a caller's packet.
func (h *Sidecar) FromTunnel(a *TunnelPacket, now time.Time) SidecarVerdict {
	if a.Packet.Opening() {
		return h.open(a, now)
	}
	f, ok := h.flows[a.Packet.Key]
	switch {
	case !ok:
		return h.unknown(a, now)
	case f.answered && a.Packet.Flags.Has(FlagAck) && !f.covers(a.Packet.Ack):
		return missed(a.Origin, ReasonNotOurs, f.incarnation != h.incarnation)
	case f.incarnation != h.incarnation || h.upstreamDead(now):
		return h.orphan(a, f)
	}
	f.terms = a.Path.Policy
	f.chosen = f.chosen || f.answered && a.Packet.Flags.Has(FlagAck)
	r := SidecarVerdict{Action: ActionUpstream, Reason: ReasonKnown}
	if a.Path.Confirm {
		r.Notify = a.Origin
	}
	if h.holds(f, a, now) {
		r.Action = ActionQueue
		r.Reason = ReasonQueued
		return r
	}
	h.note(f, &a.Packet, now)
	return r
}

// work is the number of requests that the upstream has or that wait for it.
func (h *Sidecar) work() int { return h.busy + h.queue.Len() }

// holds puts a packet with data into the queue if it begins or continues a request
// that has to wait.
func (h *Sidecar) holds(f *held, a *TunnelPacket, now time.Time) bool {
	f.used = now
	if a.Packet.Length == 0 || f.waits || f.ended != 0 || f.repeats(&a.Packet) && !f.queued {
		return false
	}
	if h.leaving && !f.queued {
		return false
	}
	if !f.queued && (h.busy < h.limit() || h.monitor.Last().Slots == 0) && h.queue.Len() == 0 {
		return false
	}
	if !h.queue.hold(&a.Packet, a.Raw, f.terms, openingAge(f.copies), now) {
		return f.queued
	}
	f.queued = true
	f.copies = 0
	f.advance(&a.Packet)
	return true
}

// repeats reports whether a packet carries only bytes that came before.
func (f *held) repeats(p *Packet) bool {
	return f.data && int32(p.Sequence+uint32(p.Length)-f.next) <= 0
}

// advance notes the bytes of a packet.
func (f *held) advance(p *Packet) {
	if p.Length > 0 && !f.repeats(p) {
		f.next = p.Sequence + uint32(p.Length)
		f.data = true
	}
}

// limit is the number of requests that the upstream has at once.
func (h *Sidecar) limit() int { return h.monitor.Last().Slots + spareRequests }

// openingAge is how long a caller has waited who sent copies of its opening packet.
func openingAge(copies uint32) time.Duration {
	switch copies {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// ReleaseQueued hands over the packets of requests that need not wait any longer.
func (h *Sidecar) ReleaseQueued(now time.Time, deliver func(raw []byte)) {
	// A sidecar that leaves keeps nothing back.
	for h.leaving || h.busy < h.limit() {
		w := h.queue.next(now, h.service)
		if w == nil {
			return
		}
		f, ok := h.flows[w.key]
		if !ok || !f.queued {
			continue
		}
		f.queued = false
		h.observe(LatencyWait, now.Sub(w.arrived))
		h.begin(f, now)
		for _, p := range w.packets {
			deliver(p.raw)
		}
	}
}

// begin notes that the upstream gets a request.
func (h *Sidecar) begin(f *held, now time.Time) {
	f.waits = true
	f.begun = now
	f.copies = 0
	h.busy++
}

// covers reports whether an acknowledgement fits what the upstream sent: two upstreams
// may have answered the same opening packet, with different numbers. Of a flow that was
// learnt later, earlier bytes may be acknowledged as well.
func (f *held) covers(ack uint32) bool {
	before := uint32(0)
	if f.learnt {
		before = ackSlack
	}
	return ack-f.first-1+before <= f.sent+before+ackSlack
}

// note follows a flow by a caller's packet.
func (h *Sidecar) note(f *held, p *Packet, now time.Time) {
	f.used = now
	if p.Length > 0 && !f.waits && f.ended == 0 && !f.repeats(p) {
		h.begin(f, now)
	}
	f.advance(p)
	if p.Flags.Has(FlagEnd) {
		f.ended |= callerEnded
	}
	if p.Flags.Has(FlagReset) {
		f.ended = bothEnded
		h.settle(f)
		h.unqueue(p.Key, f)
	}
}

// unqueue forgets a request that nobody waits for any longer.
func (h *Sidecar) unqueue(k Key, f *held) {
	if f.queued {
		f.queued = false
		h.queue.drop(k)
	}
}

// settle notes that no request of the flow waits any longer.
func (h *Sidecar) settle(f *held) {
	if f.waits {
		f.waits = false
		h.busy--
	}
}

// pass sends an opening packet on to the next sidecar of its path.
func pass(a *TunnelPacket, reason Reason) SidecarVerdict {
	if a.Hop < a.Path.FallbackCount {
		return SidecarVerdict{Action: ActionForward, Reason: reason, To: a.Path.Fallbacks[a.Hop], Hop: a.Hop + 1}
	}
	return SidecarVerdict{Action: a.refusal(), Reason: reason}
}

// missed tells the balancer of a packet whose flow is not known here.
func missed(balancer netip.AddrPort, reason Reason, denied bool) SidecarVerdict {
	return SidecarVerdict{Action: ActionDrop, Reason: reason, Notify: balancer, NotDelivered: true, NotHeld: denied}
}

// refusal ends the attempt of a caller at once if no copy of the opening packet was
// placed before.
func (a *TunnelPacket) refusal() Action {
	if a.Packet.Retransmissions() == 0 && !a.Offered {
		return ActionReset
	}
	return ActionDrop
}

func (h *Sidecar) open(a *TunnelPacket, now time.Time) SidecarVerdict {
	if a.Path.Tag != h.tag {
		return pass(a, ReasonOtherService)
	}
	if h.State(now) != StateReady {
		return pass(a, ReasonUpstreamClosed)
	}
	f, ok := h.flows[a.Packet.Key]
	if ok && f.incarnation == h.incarnation {
		f.used = now
		return SidecarVerdict{Action: ActionUpstream, Reason: ReasonPlacedAgain}
	}
	if a.Hop < a.Path.FallbackCount && a.Hop < 2 && h.crowded() {
		return pass(a, ReasonUpstreamBusy)
	}
	if ok {
		h.forget(a.Packet.Key, f)
	}
	h.flows[a.Packet.Key] = &held{
		opening: *a, offered: now, pending: true, used: now, incarnation: h.incarnation,
		copies: a.Packet.Retransmissions(), terms: a.Path.Policy,
	}
	h.pending++
	return SidecarVerdict{Action: ActionUpstream, Reason: ReasonPlaced}
}

// crowded reports whether so much work waits that a sibling may be faster.
func (h *Sidecar) crowded() bool {
	slots := max(1, h.monitor.Last().Slots)
	return h.work() >= slots*(1+queueAhead)
}

// upstreamDead reports whether the upstream has crashed, and holds no flows: nothing
// listens at its address, or it has been silent for long, though it sends its heartbeats
// to this VM.
func (h *Sidecar) upstreamDead(now time.Time) bool {
	if h.absent {
		return true
	}
	heard := h.started
	if h.monitor.heard.After(heard) {
		heard = h.monitor.heard
	}
	if h.spoke.After(heard) {
		heard = h.spoke
	}
	return now.Sub(heard) > deadAfter && h.looks >= deadLooks
}

// unknown decides about a packet of a flow that this process does not know. After a
// start of its own, the upstream may hold it all the same.
func (h *Sidecar) unknown(a *TunnelPacket, now time.Time) SidecarVerdict {
	switch h.unknownHolding(a.Packet.Key, now) {
	case LookupResultNotHeld:
		return missed(a.Origin, ReasonUnknownFlow, true)
	case LookupResultUncertain:
		return missed(a.Origin, ReasonUnknownFlow, false)
	}
	h.strangers[a.Packet.Key] = stranger{at: now, origin: a.Origin}
	return SidecarVerdict{Action: ActionUpstream, Reason: ReasonProbe}
}

// orphan ends a flow whose upstream was replaced, if that one had answered it.
func (h *Sidecar) orphan(a *TunnelPacket, f *held) SidecarVerdict {
	if !f.answered || !a.Packet.Flags.Has(FlagAck) {
		return missed(a.Origin, ReasonUnknownFlow, true)
	}
	if a.Packet.Flags.Has(FlagReset) {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonUpstreamLost}
	}
	return SidecarVerdict{Action: ActionReset, Reason: ReasonUpstreamLost}
}
