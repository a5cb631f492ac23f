package sidecar

import (
	"net/netip"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/flow"
)

// handleEvacuations processes the evacuations that a balancer's gossip names. If that of this failure
// domain has begun or ended, the balancers get a report at once.
func (f *FlowSidecar) handleEvacuations(e flow.Evacuations, from netip.AddrPort) {
	if e.IsZero() {
		return
	}
	now := f.clock.Now()
	f.mu.Lock()
	changed, held := f.sidecar.HandleEvacuations(e, now)
	evacuated := f.sidecar.Evacuated(now)
	flows := f.sidecar.Load(now).Flows
	f.mu.Unlock()
	if held {
		time.AfterFunc(flow.EvacuationHold, func() { daemon.Signal(f.reportNow) })
	}
	if !changed {
		return
	}
	event := "failure-domain-restored"
	if evacuated {
		event = "failure-domain-evacuated"
	}
	f.log.Info(event, "failure-domain", f.cfg.FailureDomain, "flows", flows, "era", e.Era, "revision", e.Revision, "from", from.String())
	daemon.Signal(f.reportNow)
}
