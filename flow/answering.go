package flow

import "time"

// FromUpstream decides about a packet of the own upstream.
func (h *Sidecar) FromUpstream(p *Packet, now time.Time) SidecarVerdict {
	if p.Flags.Has(FlagBounced) {
		return h.bounced(p)
	}
	r := SidecarVerdict{Action: ActionCaller, Reason: ReasonKnown}
	f, ok := h.flows[p.Key]
	if !ok || f.incarnation != h.incarnation {
		if p.Flags.Has(FlagReset) {
			// An upstream that starts resets packets that it is asked about.
			return h.strayed(p)
		}
		f = &held{first: p.Sequence - 1, answered: true, learnt: true, chosen: !p.Flags.Has(FlagOpen), incarnation: h.incarnation}
		h.flows[p.Key] = f
		r.Notify = h.strangers[p.Key].origin
		delete(h.strangers, p.Key)
	}
	if p.Length > 0 || p.Flags.Has(FlagOpen) {
		h.lives(now)
	}
	f.used = now
	if p.Flags.Has(FlagOpen) && !f.answered {
		f.first = p.Sequence
		f.answered = true
		r.Notify = f.opening.Origin
	}
	h.noteAnswer(f, p, now)
	return r
}

// lives notes that the upstream serves. Packets that it returns, resets or acknowledges say
// nothing: the VM may do that for flows of a process that has ended.
func (h *Sidecar) lives(now time.Time) {
	h.spoke = now
	h.looks = 0
	h.absent = false
	h.deaf = time.Time{}
}

// noteAnswer follows a flow by a packet of the upstream.
func (h *Sidecar) noteAnswer(f *held, p *Packet, now time.Time) {
	if f.pending {
		f.pending = false
		h.pending--
		h.monitor.answered()
		h.observe(LatencyOpen, now.Sub(f.offered))
	}
	f.acknowledge(p)
	if end := p.Sequence + uint32(p.Length) - f.first; end > f.sent && end < 1<<31 {
		f.sent = end
	}
	if p.Length > 0 || p.Flags.Has(FlagEnd) {
		h.learn(f, now)
		h.settle(f)
	}
	if p.Flags.Has(FlagEnd) {
		f.ended |= upstreamEnded
	}
	if p.Flags.Has(FlagReset) {
		f.ended = bothEnded
		h.settle(f)
	}
}

// acknowledge notes which of the caller's bytes the upstream has: when they come again,
// they are no request.
func (f *held) acknowledge(p *Packet) {
	if p.Flags.Has(FlagAck) && (!f.data || int32(p.Ack-f.next) > 0) {
		f.next = p.Ack
		f.data = true
	}
}

// learn takes in how long the upstream took for a request.
func (h *Sidecar) learn(f *held, now time.Time) {
	if f.waits && !f.begun.IsZero() {
		h.observe(LatencyAnswer, now.Sub(f.begun))
		h.service += time.Duration(serviceGain * float64(now.Sub(f.begun)-h.service))
	}
}

// bounced decides about a packet that the upstream returned.
func (h *Sidecar) bounced(p *Packet) SidecarVerdict {
	f, ok := h.flows[p.Key]
	switch {
	case !ok:
		return h.strayed(p)
	case p.Opening() && f.pending:
		a := f.opening
		h.forget(p.Key, f)
		r := pass(&a, ReasonBounced)
		r.Returned = &a
		return r
	case p.Opening() || f.ended != 0 || !f.answered || !f.covers(p.Ack):
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonBounced}
	}
	// The upstream answered this flow and no longer holds it: it is a new process.
	h.forget(p.Key, f)
	if p.Flags.Has(FlagReset) {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonUpstreamLost}
	}
	return SidecarVerdict{Action: ActionReset, Reason: ReasonUpstreamLost}
}

// strayed sends the packet of a flow that the upstream was asked about on.
func (h *Sidecar) strayed(p *Packet) SidecarVerdict {
	s, ok := h.strangers[p.Key]
	if !ok || s.denied || p.Opening() {
		return SidecarVerdict{Action: ActionDrop, Reason: ReasonBounced}
	}
	h.strangers[p.Key] = stranger{at: s.at, denied: true}
	return missed(s.origin, ReasonUnknownFlow, true)
}
