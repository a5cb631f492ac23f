package sidecar

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"greengagedyke/daemon"
	"greengagedyke/flow"
)

const (
	// listenCheckInterval is the time between connection attempts to the upstream's health
	// address, while heartbeats don't show that the upstream runs.
	listenCheckInterval = 250 * time.Millisecond
	// listenCheckTimeout limits one connection attempt.
	listenCheckTimeout = 200 * time.Millisecond
)

// runListenCheck checks whether the upstream still listens on its health address, whenever
// heartbeats don't show that it runs, until ctx ends. A refused connection means that no upstream
// is running.
func (f *FlowSidecar) runListenCheck(ctx context.Context) {
	if !f.cfg.Health.IsValid() {
		return
	}
	for ; ctx.Err() == nil; f.awaitListenCheck(ctx) {
		checkedAt := f.clock.Sync()
		f.mu.Lock()
		needed := f.sidecar.NeedsListenCheck(checkedAt)
		f.mu.Unlock()
		if !needed {
			continue
		}
		conn, err := net.DialTimeout("tcp4", f.cfg.Health.String(), listenCheckTimeout)
		if err == nil {
			conn.Close()
		} else if !errors.Is(err, unix.ECONNREFUSED) {
			continue // other errors don't show whether the upstream runs
		}
		now := f.clock.Now()
		f.mu.Lock()
		newlyAbsent := f.sidecar.RecordListening(err == nil, checkedAt)
		state := f.sidecar.State(now)
		f.mu.Unlock()
		if !newlyAbsent {
			continue
		}
		f.resetOrphans(now)
		f.log.Info("upstream-absent", "address", f.cfg.Health.String(), "state", state.String())
		daemon.Signal(f.reportNow)
	}
}

// awaitListenCheck waits for listenCheckInterval, or until listenNow is signaled or ctx ends.
func (f *FlowSidecar) awaitListenCheck(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-f.listenNow:
	case <-time.After(listenCheckInterval):
	}
}

// resetOrphans sends a reset to the caller of each established flow that neither side has
// ended and that is lost or whose upstream has crashed. Each flow is reset only once.
func (f *FlowSidecar) resetOrphans(now time.Time) {
	type orphan struct {
		key flow.Key
		ack uint32
	}
	var orphans []orphan
	f.mu.Lock()
	f.sidecar.ForEachOrphan(now, func(k flow.Key, ack uint32) { orphans = append(orphans, orphan{k, ack}) })
	f.mu.Unlock()
	if len(orphans) == 0 {
		return
	}
	for _, o := range orphans {
		packet := flow.Packet{Key: o.key, Ack: o.ack}
		if _, err := f.tunnel.WriteToUDPAddrPort(f.codec.AppendReset(nil, packet.Key, packet.Ack), f.callerTunnelAddr(&packet)); err != nil {
			f.counters.NotSent.Inc(1)
		}
	}
	f.counters.Reasons[flow.ReasonUpstreamLost].Inc(int64(len(orphans)))
	f.log.Info("flows-lost-with-upstream", "count", len(orphans), "first", orphans[0].key.String())
}
