package balancer

import (
	"context"
	"net/netip"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
)

// lookupInterval is the time between runs of pending lookups. Flows that are added between two
// runs share their queries.
const lookupInterval = 10 * time.Millisecond

// runLookups advances pending lookups until ctx ends. A lookup queries sidecars to find the one whose
// upstream holds a flow.
func (f *FlowBalancer) runLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.lookupAdded:
		}
		for more := true; more && ctx.Err() == nil; {
			f.mu.Lock()
			out := f.balancer.RunLookups(f.clock.Now())
			more = f.balancer.LookupsPending()
			f.mu.Unlock()
			f.performActions(&out)
			daemon.Sleep(ctx, lookupInterval)
		}
	}
}

// performActions sends the buffered packets, queries and introductions that lookups produce, resets
// lost flows, and logs lost flows and stalled lookups.
func (f *FlowBalancer) performActions(out *flow.LookupActions) {
	f.forwardBuffered(out.Packets)
	for i := range out.Probes {
		f.sendProbes(&out.Probes[i])
	}
	for _, q := range out.Queries { // after the packets, so that the answers take those into account
		q.Query.Origin = f.cfg.Tunnel
		f.send(peer.AppendQuery(nil, q.Query), q.To)
	}
	f.introduce(out.Introduce)
	for i := range out.Lost {
		f.handleLostFlow(&out.Lost[i])
	}
	for i := range out.Stalled {
		stalled := &out.Stalled[i]
		f.log.Info("lookup-stalled", "flow", stalled.Key.String(), "waiting-for", stalled.Waiting, "uncertain", stalled.Uncertain,
			"one-of-them", stalled.Member.String(), "members", stalled.Gap.String(), "after-ms", stalled.Elapsed.Milliseconds())
	}
}

// forwardBuffered forwards packets that were buffered during a lookup.
func (f *FlowBalancer) forwardBuffered(list []flow.OutgoingPacket) {
	for i := range list {
		f.forward(&list[i].Path, list[i].Raw, nil, false)
	}
}

// sendProbes sends packets with which sidecars are to probe their upstreams.
func (f *FlowBalancer) sendProbes(p *flow.OutgoingProbes) {
	message := peer.Probes{RelayTo: p.RelayTo}
	for i := range p.Packets {
		packet := peer.AppendPacket(nil, &p.Packets[i].Path, 0, f.cfg.Tunnel, false)
		message.Packets = append(message.Packets, append(packet, p.Packets[i].Raw...))
	}
	f.send(peer.AppendProbes(nil, &message), p.To)
}

// handleLostFlow counts and logs a flow that no sidecar holds, and resets it unless the caller has
// reset it.
func (f *FlowBalancer) handleLostFlow(l *flow.LostFlow) {
	f.counters.Reasons[flow.ReasonFlowLost].Inc(1)
	attrs := []any{"flow", l.Key.String(), "after-ms", l.Elapsed.Milliseconds(), "reset", !l.ResetByCaller}
	if l.EndedBy.IsValid() {
		attrs = append(attrs, "ended-by", l.EndedBy.String())
	} else {
		attrs = append(attrs, "asked", l.Queried, "gone", l.Unreachable, "started-later", l.StartedLater)
	}
	f.log.Info("flow-lost", attrs...)
	if !l.ResetByCaller {
		f.sendReset(l.Key, l.Ack)
	}
}

// flowHeld handles a sidecar's message that its upstream holds a flow.
func (f *FlowBalancer) flowHeld(k flow.Key, from netip.AddrPort) {
	f.mu.Lock()
	packets := f.balancer.HandleFlowHeld(k, from, f.clock.Now())
	f.mu.Unlock()
	f.forwardBuffered(packets)
}

// notDelivered handles a sidecar's message that it did not deliver packets of flows. notHeld is set if
// the sidecar's upstream certainly does not hold them.
func (f *FlowBalancer) notDelivered(keys []flow.Key, notHeld bool, from netip.AddrPort) {
	f.mu.Lock()
	now := f.clock.Now()
	for _, k := range keys {
		f.balancer.HandleNotDelivered(k, from, notHeld, now)
	}
	f.mu.Unlock()
	f.log.Debug("flow-not-delivered", "flow", keys[0].String(), "count", len(keys), "by", from.String(), "not-held", notHeld)
}

// handleAnswer handles a sidecar's answer to a query.
func (f *FlowBalancer) handleAnswer(a *flow.Answer, from netip.AddrPort) {
	f.mu.Lock()
	out := f.balancer.HandleAnswer(from, a, f.clock.Now())
	f.mu.Unlock()
	f.performActions(&out)
}
