package sidecar

import (
	"context"
	"time"

	"greengagedyke/daemon"
)

// signalFlowCheck wakes runFlowChecks if the upstream has to be asked about all flows. The caller
// holds mu.
func (f *FlowSidecar) signalFlowCheck(now time.Time) {
	if _, due := f.sidecar.FlowCheckIn(now); due {
		daemon.Signal(f.flowCheckDue)
	}
}

// runFlowChecks asks the upstream which flows it holds, whenever something suggests that it was
// replaced, until ctx ends.
func (f *FlowSidecar) runFlowChecks(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.flowCheckDue:
		}
		f.checkFlows(ctx)
	}
}

// checkFlows carries out all rounds of a check.
func (f *FlowSidecar) checkFlows(ctx context.Context) {
	for {
		now := f.clock.Now()
		f.mu.Lock()
		wait, due := f.sidecar.FlowCheckIn(now)
		sent := 0
		if due && wait == 0 {
			f.sidecar.CheckFlows(now, func(raw []byte) { f.sendToUpstream(raw); sent++ })
		}
		f.mu.Unlock()
		if !due {
			return
		}
		if sent > 0 {
			f.log.Info("flow-check", "flows", sent)
		}
		daemon.Sleep(ctx, wait)
		if ctx.Err() != nil {
			return
		}
	}
}
