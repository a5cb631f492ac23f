package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/clock"
	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
	"greengagedyke/registry"
)

const (
	// unansweredCheckInterval is the time between checks for opening packets that the upstream
	// has not answered in time.
	unansweredCheckInterval = 20 * time.Millisecond
	// expireInterval is the time between deletions of old flows and balancers.
	expireInterval = time.Second
	// minReportInterval is the shortest time between regular reports to the balancers.
	minReportInterval = 250 * time.Millisecond
	// reportIntervalPerBalancer is multiplied by the number of known balancers to get the time
	// between reports, so that more balancers do not increase the rate of messages.
	reportIntervalPerBalancer = 25 * time.Millisecond
	// leaveDelay is how long a leaving sidecar continues to forward packets.
	leaveDelay = 300 * time.Millisecond
)

// FlowSidecar is a running sidecar for flows. It sends and receives the datagrams about which
// flow.Sidecar decides.
type FlowSidecar struct {
	cfg   *FlowSettings
	log   *slog.Logger
	clock *clock.Clock
	// tunnel is the socket for datagrams from and to balancers and siblings, and for packets to
	// callers.
	tunnel *net.UDPConn
	// outbound is the socket for packets from and to the upstream.
	outbound  *net.UDPConn
	balancers *registry.KnownBalancers
	codec     platform.PacketCodec
	counters  *daemon.Counters
	// incarnation identifies this process in reports: the time of its start in nanoseconds.
	incarnation uint64
	// openingSent is signaled when an opening packet waits for the upstream's answer.
	openingSent chan struct{}
	// notHeld are flows that balancers are to be notified about.
	notHeld *notHeldFlows
	// flowCheckDue is signaled when the upstream has to be asked about all flows.
	flowCheckDue chan struct{}
	// listenNow is signaled to check at once whether the upstream listens.
	listenNow chan struct{}
	// reportNow is signaled to send a report to the balancers at once.
	reportNow chan struct{}
	pauses    clock.Pauses

	mu      sync.Mutex
	sidecar *flow.Sidecar
	// sequence is the sequence number of the last report.
	sequence uint32
	// reportedState is the upstream's state in the last report.
	reportedState flow.State
}

// RunFlows runs a sidecar for flows. When ctx ends, the sidecar takes no new flows, and returns
// after leaveDelay or when abort ends.
func RunFlows(ctx, abort context.Context, log *slog.Logger, cfg *FlowSettings, r metrics.Registry) error {
	c := clock.New()
	monitor := flow.NewHeartbeatMonitor(time.Duration(cfg.Patience))
	f := &FlowSidecar{
		cfg:         cfg,
		log:         log,
		clock:       c,
		balancers:   registry.NewKnownBalancers(netip.AddrPort{}),
		counters:    daemon.NewCounters(r),
		incarnation: uint64(time.Now().UnixNano()),
		openingSent: make(chan struct{}, 1),
		reportNow:   make(chan struct{}, 1),
		listenNow:   make(chan struct{}, 1),
		sidecar:     flow.NewSidecar(monitor, cfg.Service, time.Duration(cfg.FlowLimit), c.Now()),

		notHeld:      newNotHeldFlows(),
		flowCheckDue: make(chan struct{}, 1),
	}
	var histograms [flow.LatencyCount]*daemon.Histogram
	for m := range histograms {
		histograms[m] = daemon.NewHistogram(flow.Latency(m).String(), r)
	}
	f.sidecar.SetFailureDomain(cfg.FailureDomain)
	if cfg.Admission {
		f.sidecar.EnableAdmission()
	}
	f.sidecar.Observe(func(m flow.Latency, d time.Duration) { histograms[m].Record(d) })
	metrics.NewRegisteredFunctionalGauge("request.dropped", r, func() int64 {
		f.mu.Lock()
		defer f.mu.Unlock()
		return int64(f.sidecar.DroppedRequests())
	})
	return errors.Wrap(f.run(ctx, abort, r), "sidecar.RunFlows")
}

func (f *FlowSidecar) run(ctx, abort context.Context, r metrics.Registry) error {
	var closeSockets func()
	var err error
	f.tunnel, f.outbound, closeSockets, err = daemon.ListenPair(f.cfg.Tunnel, f.cfg.Outbound)
	if err != nil {
		return err
	}
	defer closeSockets()
	readiness, err := net.Listen("tcp4", f.cfg.Ready.String())
	if err != nil {
		return err
	}
	defer readiness.Close()
	heartbeats, err := net.Listen("tcp4", f.cfg.Heartbeats.String())
	if err != nil {
		return err
	}
	defer heartbeats.Close()
	client, closeClient := platform.New(f.log, f.cfg.Store, r)
	defer closeClient()
	reg := registry.New(f.log, client)
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.log.Info("sidecar-started", "identity", f.cfg.Identity, "service", f.cfg.Service)
	f.addBalancers(peer.BalancerInfos(daemon.TunnelAddrs(f.cfg.Peers, f.cfg.BalancerPort)))
	isReady := func() bool { return ctx.Err() == nil }
	wait := daemon.StartAll(taskCtx, cancel,
		func(ctx context.Context) { daemon.ServeHTTP(ctx, f.log, readiness, platform.ReadyHandler(isReady)) },
		func(ctx context.Context) { daemon.ServeHTTP(ctx, f.log, heartbeats, platform.HeartbeatHandler(f)) },
		func(ctx context.Context) {
			reg.ReadBalancers(ctx, func(l []netip.AddrPort) { f.addBalancers(peer.BalancerInfos(l)) })
		},
		func(ctx context.Context) {
			reg.KeepRegistered(ctx, registry.RoleSidecar, f.cfg.Tunnel, f.upstreamEnded)
		},
		f.reportAndExpire,
		f.watchUnanswered,
		func(ctx context.Context) { f.pauses.Run(ctx, f.clock) },
		f.runListenCheck,
		f.runFlowChecks,
		func(ctx context.Context) { f.notHeld.run(ctx, f.send) },
		func(context.Context) { f.readTunnel() },
		func(context.Context) { f.readOutbound() },
	)
	<-ctx.Done()
	f.leave(abort)
	closeSockets()
	wait()
	f.log.Info("sidecar-stopped", "identity", f.cfg.Identity)
	return nil
}

// leave reports to the balancers that this sidecar takes no new flows, and waits for leaveDelay or
// until abort ends.
func (f *FlowSidecar) leave(abort context.Context) {
	f.log.Info("sidecar-leaving", "identity", f.cfg.Identity)
	f.mu.Lock()
	f.sidecar.Leave()
	f.sidecar.ReleaseQueued(f.clock.Now(), f.sendToUpstream)
	f.mu.Unlock()
	daemon.Signal(f.reportNow)
	daemon.Sleep(abort, leaveDelay)
}

// upstreamEnded reports whether the upstream has ended and holds no flows any more, so that the
// registration of this sidecar can be removed at once.
func (f *FlowSidecar) upstreamEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sidecar.UpstreamEnded(f.clock.Now())
}

// addBalancers adds balancers to the known ones, and sends a report to the new ones at once.
func (f *FlowSidecar) addBalancers(list []peer.BalancerInfo) {
	now := f.clock.Now()
	added := f.balancers.Merge(list, now)
	if len(added) == 0 {
		return
	}
	f.log.Info("balancers-found", "count", len(added), "first", added[0].String(), "known", len(f.balancers.List()))
	f.sendReport(now, added)
}

// reportAndExpire regularly sends reports to the balancers and deletes old flows and balancers,
// until ctx ends.
func (f *FlowSidecar) reportAndExpire(ctx context.Context) {
	lastExpiry := f.clock.Now()
	lastDropped := uint64(0)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.reportNow:
		case <-time.After(f.reportInterval()):
		}
		now := f.clock.Sync()
		f.sendReport(now, f.balancers.List())
		if now.Sub(lastExpiry) < expireInterval {
			continue
		}
		lastExpiry = now
		f.mu.Lock()
		f.sidecar.Expire(now)
		f.sidecar.ReleaseQueued(now, f.sendToUpstream)
		dropped := f.sidecar.DroppedRequests()
		f.mu.Unlock()
		if dropped > lastDropped {
			f.log.Info("requests-dropped", "count", dropped-lastDropped)
			lastDropped = dropped
		}
		f.resetOrphans(now)
		for _, addr := range f.balancers.Expire(now) {
			f.log.Info("balancer-forgotten", "address", addr.String())
		}
	}
}

// reportInterval returns the time between reports to the known balancers.
func (f *FlowSidecar) reportInterval() time.Duration {
	return max(minReportInterval, reportIntervalPerBalancer*time.Duration(len(f.balancers.List())))
}

// sendReport sends the state and load of the upstream to balancers.
func (f *FlowSidecar) sendReport(now time.Time, to []netip.AddrPort) {
	interval := f.reportInterval()
	f.mu.Lock()
	f.sequence++
	load := f.sidecar.Load(now)
	load.Interval = interval
	load.Incarnation = f.incarnation
	load.Sequence = f.sequence
	load.DomainID = flow.DomainID(f.cfg.FailureDomain)
	changed := load.State != f.reportedState
	f.reportedState = load.State
	f.mu.Unlock()
	if changed {
		f.log.Info("upstream-state", "state", load.State.String(), "busy", load.Busy, "flows", load.Flows)
	}
	message := peer.AppendLoad(nil, &load)
	for _, addr := range to {
		f.send(message, addr)
	}
}

// send sends a datagram through the tunnel socket and counts a failure.
func (f *FlowSidecar) send(b []byte, to netip.AddrPort) {
	if _, err := f.tunnel.WriteToUDPAddrPort(b, to); err != nil {
		f.counters.NotSent.Inc(1)
	}
}

// watchUnanswered forwards opening packets that the upstream does not answer in time to siblings,
// until ctx ends.
func (f *FlowSidecar) watchUnanswered(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.openingSent:
		}
		for f.forwardUnanswered() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(unansweredCheckInterval):
			}
		}
	}
}

// forwardUnanswered forwards the opening packets that the upstream has not answered in time, and
// reports whether others still wait for an answer.
func (f *FlowSidecar) forwardUnanswered() bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sidecar.ForwardUnanswered(now, func(opening *flow.TunnelPacket, verdict flow.SidecarVerdict) {
		f.applyVerdict(opening.Raw, &opening.Packet, opening, &verdict, nil)
	})
	return f.sidecar.OpeningPending()
}
