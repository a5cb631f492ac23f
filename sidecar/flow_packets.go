package sidecar

import (
	"net/netip"
	"slices"

	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
)

// readTunnel handles datagrams from balancers and siblings until the socket is closed.
func (f *FlowSidecar) readTunnel() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.tunnel, f.counters.NotSent, func(b []byte, from netip.AddrPort) {
		f.counters.Received.Inc(1)
		if err := f.handleDatagram(b, from, out); err != nil {
			f.counters.CountRefused(err)
		}
	})
}

// handleDatagram handles a datagram from a balancer or sibling. out is a buffer for datagrams to
// send.
func (f *FlowSidecar) handleDatagram(b []byte, from netip.AddrPort, out []byte) error {
	kind, body, err := peer.KindOf(b)
	if err != nil {
		return err
	}
	switch kind {
	case peer.KindPacket:
		return f.handlePacket(body, out)
	case peer.KindBalancers:
		l, err := peer.ParseBalancers(body)
		if err != nil {
			return err
		}
		f.handleEvacuations(l.Evacuations, from)
		f.addBalancers(l.Infos)
		return nil
	case peer.KindQuery:
		return f.answerQuery(body)
	case peer.KindProbes:
		return f.handleProbes(body, out)
	default:
		return peer.ErrForeign
	}
}

// answerQuery answers a balancer's query about flows, and relays the query to the siblings that the
// query lists. A query without questions is answered with a report.
func (f *FlowSidecar) answerQuery(body []byte) error {
	q, err := peer.ParseQuery(body)
	if err != nil {
		return err
	}
	relayed := *q
	relayed.RelayTo = nil
	message := peer.AppendQuery(nil, &relayed)
	for _, addr := range q.RelayTo {
		f.send(message, addr)
	}
	now := f.clock.Sync()
	if len(q.Questions) == 0 {
		f.sendReport(now, []netip.AddrPort{q.Origin})
		return nil
	}
	f.mu.Lock()
	answer := f.sidecar.Answer(q, now)
	f.mu.Unlock()
	f.send(peer.AppendAnswer(nil, answer), q.Origin)
	f.log.Debug("flow-query", "origin", q.Origin.String(), "flows", len(q.Questions), "relayed", len(q.RelayTo))
	return nil
}

// handleProbes probes the upstream with the packets of a message, and relays them to the siblings
// that the message lists.
func (f *FlowSidecar) handleProbes(body, out []byte) error {
	probes, err := peer.ParseProbes(body)
	if err != nil {
		return err
	}
	if len(probes.RelayTo) > 0 {
		message := peer.AppendProbes(nil, &peer.Probes{Packets: probes.Packets})
		for _, addr := range probes.RelayTo {
			f.send(message, addr)
		}
	}
	for _, packet := range probes.Packets {
		kind, body, err := peer.KindOf(packet)
		if err == nil && kind != peer.KindPacket {
			err = peer.ErrForeign
		}
		if err == nil {
			err = f.handlePacket(body, out)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// handlePacket handles a caller's packet that a balancer or a sibling has forwarded.
func (f *FlowSidecar) handlePacket(body, out []byte) error {
	var received flow.TunnelPacket
	raw, err := peer.ParsePacket(body, &received)
	if err != nil {
		return err
	}
	if err := f.codec.Parse(raw, true, &received.Packet); err != nil {
		return err
	}
	now := f.clock.Now()
	received.Raw = raw
	opening := received.Packet.Opening()
	if opening {
		now = f.clock.Sync()
		received.Raw = slices.Clone(raw)
		// A retransmission may have opened the flow elsewhere while this process was paused.
		received.Offered = received.Offered || f.pauses.Recent(now)
	}
	f.mu.Lock()
	verdict := f.sidecar.FromTunnel(&received, now)
	pending := f.sidecar.OpeningPending()
	f.mu.Unlock()
	f.applyVerdict(raw, &received.Packet, &received, &verdict, out)
	if pending && opening {
		daemon.Signal(f.openingSent)
	}
	return nil
}

// readOutbound handles packets from the upstream until the socket is closed.
func (f *FlowSidecar) readOutbound() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.outbound, f.counters.NotSent, func(b []byte, _ netip.AddrPort) {
		f.handleUpstreamPacket(b, out)
	})
}

// handleUpstreamPacket handles a packet of the upstream, or one that the upstream returned to be
// forwarded elsewhere.
func (f *FlowSidecar) handleUpstreamPacket(raw, out []byte) {
	var p flow.Packet
	bounced := f.codec.Bounced(raw)
	if err := f.codec.Parse(raw, bounced, &p); err != nil {
		f.counters.CountRefused(err)
		return
	}
	if bounced {
		f.codec.Unbounce(raw)
	}
	now := f.clock.Now()
	f.mu.Lock()
	verdict := f.sidecar.FromUpstream(&p, now)
	f.sidecar.ReleaseQueued(now, f.sendToUpstream)
	f.signalFlowCheck(now)
	f.mu.Unlock()
	if verdict.Returned != nil {
		raw = verdict.Returned.Raw
	}
	f.applyVerdict(raw, &p, verdict.Returned, &verdict, out)
}

// sendToUpstream sends a packet to the upstream and counts a failure.
func (f *FlowSidecar) sendToUpstream(raw []byte) {
	if _, err := f.outbound.WriteToUDPAddrPort(raw, f.cfg.Upstream); err != nil {
		f.counters.NotSent.Inc(1)
	}
}

// applyVerdict carries out the decision about packet p, whose bytes are raw, and logs it. received
// is the packet as it came from the tunnel, with the path that ActionForward needs; nil for the
// upstream's own packets. out is a buffer for the datagram to send.
func (f *FlowSidecar) applyVerdict(raw []byte, p *flow.Packet, received *flow.TunnelPacket, verdict *flow.SidecarVerdict, out []byte) {
	f.counters.Reasons[verdict.Reason].Inc(1)
	var err error
	switch verdict.Action {
	case flow.ActionUpstream:
		f.sendToUpstream(raw)
	case flow.ActionCaller:
		_, err = f.tunnel.WriteToUDPAddrPort(raw, f.callerTunnelAddr(p))
	case flow.ActionReset:
		_, err = f.tunnel.WriteToUDPAddrPort(f.codec.AppendReset(out, p.Key, p.Ack), f.callerTunnelAddr(p))
	case flow.ActionForward:
		datagram := peer.AppendPacket(out, &received.Path, verdict.Hop, received.Origin, received.Offered)
		_, err = f.tunnel.WriteToUDPAddrPort(append(datagram, raw...), verdict.To)
	}
	if err != nil {
		f.counters.NotSent.Inc(1)
	}
	if verdict.Notify.IsValid() {
		f.notifyBalancer(p.Key, verdict)
	}
	if verdict.Reason != flow.ReasonKnown && !(verdict.Reason == flow.ReasonProbe || verdict.NotHeld) {
		attrs := []any{"flow", p.Key.String(), "reason", verdict.Reason.String(), "action", verdict.Action.String(), "opening", p.Opening()}
		if verdict.Action == flow.ActionForward {
			attrs = append(attrs, "hop", verdict.Hop, "to", verdict.To.String())
		}
		f.log.Info("packet-decision", attrs...)
	}
}

// notifyBalancer reports to the balancer verdict.Notify that this sidecar's upstream holds the
// flow, or that the packet was not delivered.
func (f *FlowSidecar) notifyBalancer(k flow.Key, verdict *flow.SidecarVerdict) {
	if verdict.NotDelivered && verdict.NotHeld {
		f.notHeld.add(k, verdict.Notify)
		return
	}
	if verdict.NotDelivered {
		f.send(peer.AppendNotDelivered(nil, false, k), verdict.Notify)
		return
	}
	f.send(peer.AppendFlowHeld(nil, k), verdict.Notify)
}

// callerTunnelAddr returns the UDP address to which packets for the caller of p are sent: the
// caller's IP address with this sidecar's tunnel port, since callers receive packets at that UDP port
// too. The port in p.Key is not a UDP port; it is only in the packet's header.
func (f *FlowSidecar) callerTunnelAddr(p *flow.Packet) netip.AddrPort {
	return netip.AddrPortFrom(p.Key.Caller().Addr(), f.cfg.Tunnel.Port())
}
