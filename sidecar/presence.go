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
	// lookInterval is the time between looks for an upstream that is missing.
	lookInterval = 250 * time.Millisecond
	// lookTimeout bounds one look.
	lookTimeout = 200 * time.Millisecond
)

// lookForUpstream looks whether an upstream that is missing still listens, until ctx ends:
// connections are refused once it does not run.
func (f *FlowSidecar) lookForUpstream(ctx context.Context) {
	if !f.cfg.Health.IsValid() {
		return
	}
	for ; ctx.Err() == nil; daemon.Sleep(ctx, lookInterval) {
		looked := f.clock.Sync()
		f.mu.Lock()
		missing := f.sidecar.NeedsListenCheck(looked)
		f.mu.Unlock()
		if !missing {
			continue
		}
		conn, err := net.DialTimeout("tcp4", f.cfg.Health.String(), lookTimeout)
		if err == nil {
			conn.Close()
		} else if !errors.Is(err, unix.ECONNREFUSED) {
			continue // this says nothing
		}
		now := f.clock.Now()
		f.mu.Lock()
		absent := f.sidecar.RecordListening(err == nil, looked)
		state := f.sidecar.State(now)
		f.mu.Unlock()
		if !absent {
			continue
		}
		f.resetOrphans(now)
		f.log.Info("upstream-absent", "address", f.cfg.Health.String(), "state", state.String())
		daemon.Signal(f.changed)
	}
}

// resetOrphans resets the flows of an upstream that was replaced or has crashed.
func (f *FlowSidecar) resetOrphans(now time.Time) {
	type lost struct {
		key flow.Key
		ack uint32
	}
	var list []lost
	f.mu.Lock()
	f.sidecar.ForEachOrphan(now, func(k flow.Key, ack uint32) { list = append(list, lost{k, ack}) })
	f.mu.Unlock()
	if len(list) == 0 {
		return
	}
	for _, l := range list {
		p := flow.Packet{Key: l.key, Ack: l.ack}
		if _, err := f.tunnel.WriteToUDPAddrPort(f.codec.AppendReset(nil, p.Key, p.Ack), f.callerAddr(&p)); err != nil {
			f.counters.NotSent.Inc(1)
		}
	}
	f.counters.Reasons[flow.ReasonUpstreamLost].Inc(int64(len(list)))
	f.log.Info("flows-lost-with-upstream", "count", len(list), "first", list[0].key.String())
}
