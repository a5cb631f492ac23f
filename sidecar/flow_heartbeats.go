package sidecar

import (
	"time"

	"github.com/pkg/errors"

	"greengagedyke/daemon"
	"greengagedyke/flow"
)

// Heartbeat implements platform.HeartbeatReceiver.
func (f *FlowSidecar) Heartbeat(h flow.Heartbeat) error {
	f.counters.Reports.Inc(1)
	if h.Address != f.cfg.Upstream {
		f.log.Warn("heartbeat-refused", "upstream", h.ID, "address", h.Address.String(), "expected", f.cfg.Upstream.String())
		return errors.Errorf("heartbeat: no upstream runs at %v here", h.Address)
	}
	if ok, err := f.cfg.serves(h.Service); !ok {
		f.log.Warn("heartbeat-refused", "upstream", h.ID, "service", h.Service, "serves", f.cfg.Service, "error", daemon.ErrorText(err))
		return errors.Errorf("heartbeat: no upstream of service %q runs here", h.Service)
	}
	now := f.clock.Sync()
	f.mu.Lock()
	before := f.sidecar.State(now)
	outcome := f.sidecar.Heartbeat(h, now)
	after := f.sidecar.State(now)
	f.signalFlowCheck(now)
	f.mu.Unlock()
	if outcome == flow.HeartbeatStarted {
		f.resetOrphans(now)
	}
	if outcome != flow.HeartbeatAccepted || before != after {
		f.log.Info("heartbeat", "upstream", h.ID, "outcome", outcome.String(), "reported-state", h.State.String(),
			"sequence", h.Sequence, "born", h.StartedAt, "state-before", before.String(), "state", after.String())
	}
	if before != after {
		daemon.Signal(f.reportNow)
	}
	return nil
}

// End implements platform.HeartbeatReceiver.
func (f *FlowSidecar) End(id string) {
	now := f.clock.Sync()
	f.mu.Lock()
	isCurrent := f.sidecar.End(id, now)
	f.mu.Unlock()
	f.log.Info("upstream-ending", "upstream", id, "current", isCurrent)
	daemon.Signal(f.reportNow)
	time.AfterFunc(flow.EndGrace, func() { daemon.Signal(f.listenNow) })
}

// Refused implements platform.HeartbeatReceiver.
func (f *FlowSidecar) Refused(id string, reason error) {
	f.log.Warn("heartbeat-refused", "upstream", id, "error", reason.Error())
}
