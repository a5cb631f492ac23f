package balancer

import (
	"context"
	"net/netip"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
)

// searchInterval is the time between looks at the flows that are looked up: those that
// arrive meanwhile are asked about together.
const searchInterval = 10 * time.Millisecond

// runLookups does what is due for flows that are looked up, until ctx ends.
func (f *FlowBalancer) runLookups(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.searching:
		}
		for more := true; more && ctx.Err() == nil; {
			f.mu.Lock()
			out := f.balancer.RunLookups(f.clock.Now())
			more = f.balancer.LookupsPending()
			f.mu.Unlock()
			f.carryOut(&out)
			daemon.Sleep(ctx, searchInterval)
		}
	}
}

// carryOut sends what lookups ask for.
func (f *FlowBalancer) carryOut(out *flow.LookupActions) {
	for _, a := range out.Queries {
		a.Query.Origin = f.cfg.Tunnel
		f.send(peer.AppendQuery(nil, a.Query), a.To)
	}
	f.deliver(out.Packets)
	f.introduce(out.Introduce)
	for i := range out.Lost {
		f.lost(&out.Lost[i])
	}
	for i := range out.Stalled {
		d := &out.Stalled[i]
		f.log.Info("lookup-stalled", "flow", d.Key.String(), "waiting-for", d.Waiting, "unsure", d.Uncertain,
			"one-of-them", d.Member.String(), "members", d.Gap.String(), "after-ms", d.Elapsed.Milliseconds())
	}
}

func (f *FlowBalancer) deliver(list []flow.OutgoingPacket) {
	for i := range list {
		f.forward(&list[i].Path, list[i].Raw, nil)
	}
}

// lost tells the caller of a flow that nobody holds any longer.
func (f *FlowBalancer) lost(l *flow.LostFlow) {
	f.counters.Reasons[flow.ReasonFlowLost].Inc(1)
	attrs := []any{"flow", l.Key.String(), "after-ms", l.Elapsed.Milliseconds(), "reset", !l.ResetByCaller}
	if l.EndedBy.IsValid() {
		attrs = append(attrs, "ended-by", l.EndedBy.String())
	} else {
		attrs = append(attrs, "asked", l.Asked, "gone", l.Unreachable, "younger", l.StartedLater)
	}
	f.log.Info("flow-lost", attrs...)
	if !l.ResetByCaller {
		f.reset(l.Key, l.Ack)
	}
}

// flowHeld takes in that a sidecar holds a flow.
func (f *FlowBalancer) flowHeld(k flow.Key, from netip.AddrPort) {
	f.mu.Lock()
	packets := f.balancer.HandleFlowHeld(k, from, f.clock.Now())
	f.mu.Unlock()
	f.deliver(packets)
}

// notDelivered takes in that a sidecar did not deliver a packet.
func (f *FlowBalancer) notDelivered(k flow.Key, denied bool, from netip.AddrPort) {
	f.mu.Lock()
	f.balancer.HandleNotDelivered(k, from, denied, f.clock.Now())
	f.mu.Unlock()
	f.log.Debug("flow-missed", "flow", k.String(), "by", from.String(), "denied", denied)
}

// answered takes in what a sidecar says about flows that are looked up.
func (f *FlowBalancer) answered(a *flow.Answer, from netip.AddrPort) {
	f.mu.Lock()
	out := f.balancer.HandleAnswer(from, a, f.clock.Now())
	f.mu.Unlock()
	f.carryOut(&out)
}
