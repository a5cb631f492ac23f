package balancer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
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
	// flowDrainTime is how long a stopping balancer keeps forwarding, so that the routers have time
	// to choose other balancers.
	flowDrainTime = 2500 * time.Millisecond
	// minSuspension is the shortest suspension of the VM that is handled.
	minSuspension = 400 * time.Millisecond
	// staleWindow is how long opening packets are dropped after a suspension. By then, packets that
	// were queued during the suspension have been read and new reports have arrived.
	staleWindow = 400 * time.Millisecond
	// maxConfirmationAge is how long a peer's confirmation of the local configuration is valid. Without
	// a valid confirmation, packets to an address without a route are dropped, and their flows are not
	// reset.
	maxConfirmationAge = 3 * time.Second
)

// FlowBalancer forwards callers' packets to sidecars. It identifies a flow by its addresses and ports
// instead of a connection ID.
type FlowBalancer struct {
	cfg   *FlowSettings
	log   *slog.Logger
	clock *clock.Clock
	// packets is the socket for callers' packets.
	packets *net.UDPConn
	// tunnel is the socket for datagrams from and to sidecars and other balancers.
	tunnel         *net.UDPConn
	knownBalancers *registry.KnownBalancers
	codec          platform.PacketCodec
	counters       *daemon.Counters
	// ejected and readmitted count the changes of outliers.
	ejected, readmitted metrics.Counter
	leaving             atomic.Bool
	// undecided buffers packets until this balancer has a configuration and knows all sidecars.
	undecided *undecided
	// lookupAdded is signalled when a packet is buffered for a lookup.
	lookupAdded chan struct{}
	source      *configurationSource
	evacuation  *evacuationGossip
	// seenSuspension is the VM's total time of suspension at the last suspension that stale detected.
	// Only the goroutine that reads packets uses it and staleUntil.
	seenSuspension time.Duration
	// staleUntil is the time until which opening packets are dropped as stale.
	staleUntil time.Time
	pauses     clock.Pauses

	mu       sync.Mutex
	balancer *flow.Balancer
}

// RunFlows runs a FlowBalancer until ctx ends. It then reports itself as not ready to the routers
// and keeps forwarding for flowDrainTime, or until abort ends.
func RunFlows(ctx, abort context.Context, log *slog.Logger, cfg *FlowSettings, r metrics.Registry) error {
	c := clock.New()
	f := &FlowBalancer{
		cfg:            cfg,
		log:            log,
		clock:          c,
		knownBalancers: registry.NewKnownBalancers(cfg.Tunnel),
		counters:       daemon.NewCounters(r),
		balancer:       flow.NewBalancer(cfg.FailureDomain, c.Now()),

		ejected:    metrics.GetOrRegisterCounter("outliers.ejected", r),
		readmitted: metrics.GetOrRegisterCounter("outliers.readmitted", r),

		undecided:   newUndecided(),
		lookupAdded: make(chan struct{}, 1),
		evacuation:  newEvacuationGossip(cfg.FailureDomain, r),
	}
	if cfg.DetectOutliers {
		f.balancer.DetectOutliers()
	}
	placement, _ := flow.ParsePlacement(cfg.Placement)
	f.balancer.SetPlacement(placement, time.Duration(cfg.OtherDomainTime))
	return errors.Wrap(f.run(ctx, abort, r), "balancer.RunFlows")
}

// run opens the sockets, starts the goroutines and waits until all have ended.
func (f *FlowBalancer) run(ctx, abort context.Context, r metrics.Registry) error {
	var closeSockets func()
	var err error
	f.packets, f.tunnel, closeSockets, err = daemon.ListenPair(f.cfg.Packets, f.cfg.Tunnel)
	if err != nil {
		return err
	}
	defer closeSockets()
	ready, err := net.Listen("tcp4", f.cfg.Ready.String())
	if err != nil {
		return err
	}
	defer ready.Close()
	configurations, err := net.Listen("tcp4", f.cfg.Tunnel.String())
	if err != nil {
		return err
	}
	defer configurations.Close()
	client, closeClient := platform.New(f.log, f.cfg.Store, r)
	defer closeClient()
	f.source = newConfigurationSource(f.log, client, f.cfg.Tunnel, f.clock, f.configure, f.storeEvacuations)
	reg := registry.New(f.log, client)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	f.addBalancers(peer.BalancerInfos(daemon.TunnelAddrs(f.cfg.Peers, f.cfg.Tunnel.Port())))
	f.log.Info("balancer-started", "identity", f.cfg.Identity, "failure-domain", f.cfg.FailureDomain,
		"placement", f.cfg.Placement)
	wait := daemon.StartAll(runCtx, stop,
		func(ctx context.Context) { daemon.ServeHTTP(ctx, f.log, ready, platform.ReadyHandler(f.ready)) },
		f.source.watch,
		func(ctx context.Context) { f.source.serve(ctx, configurations) },
		func(ctx context.Context) { reg.KeepRegistered(ctx, registry.RoleBalancer, f.cfg.Tunnel, revokeOnStop) },
		func(ctx context.Context) { reg.PollAddresses(ctx, f.handleRegistered) },
		f.tick,
		func(ctx context.Context) { f.pauses.Run(ctx, f.clock) },
		f.retryUndecided,
		f.runLookups,
		func(context.Context) { f.readPackets() },
		func(context.Context) { f.readTunnel() },
	)
	<-ctx.Done()
	f.leave(abort)
	closeSockets()
	wait()
	f.log.Info("balancer-stopped", "identity", f.cfg.Identity)
	return nil
}

// leave makes ready return false and keeps forwarding for flowDrainTime, or until abort ends.
func (f *FlowBalancer) leave(abort context.Context) {
	f.log.Info("balancer-leaving", "identity", f.cfg.Identity)
	f.leaving.Store(true)
	daemon.Sleep(abort, flowDrainTime)
}

// ready reports whether routers may send packets to this balancer: it is not leaving, has a
// configuration, and at least one sidecar takes new flows.
func (f *FlowBalancer) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, readySidecars := f.balancer.MemberCounts(f.clock.Now())
	return !f.leaving.Load() && f.balancer.Configuration().Version > 0 && readySidecars > 0
}

// configure applies a configuration if it is newer than the current one, and reports whether it
// was applied.
func (f *FlowBalancer) configure(cfg *flow.Configuration) bool {
	f.mu.Lock()
	applied := f.balancer.Configure(cfg)
	f.mu.Unlock()
	if applied {
		f.log.Info("configuration-in-force", "version", cfg.Version, "routes", len(cfg.Routes))
		f.gossipToBalancers()
	}
	return applied
}

// tick expires silent sidecars and balancers and sends gossip, every gossipInterval until ctx ends.
func (f *FlowBalancer) tick(ctx context.Context) {
	t := time.NewTicker(gossipInterval)
	defer t.Stop()
	suspended := f.clock.Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := f.clock.Sync()
		if total := f.clock.Suspended(); total-suspended > minSuspension {
			f.log.Warn("vm-was-suspended", "for-ms", (total - suspended).Milliseconds())
			suspended = total
			continue // reports may be missing only because this VM was suspended
		}
		f.mu.Lock()
		expired := f.balancer.Expire(now)
		f.mu.Unlock()
		for _, addr := range expired {
			f.log.Info("sidecar-forgotten", "address", addr.String())
		}
		for _, addr := range f.knownBalancers.Expire(now) {
			f.log.Info("balancer-forgotten", "address", addr.String())
		}
		f.tickEvacuations(now)
		f.gossipToBalancers()
		f.gossipToSidecars()
	}
}

// send sends a datagram through the tunnel socket.
func (f *FlowBalancer) send(b []byte, to netip.AddrPort) {
	if _, err := f.tunnel.WriteToUDPAddrPort(b, to); err != nil {
		f.counters.NotSent.Inc(1)
	}
}

// readPackets handles callers' packets until the socket is closed.
func (f *FlowBalancer) readPackets() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.packets, f.counters.NotSent, func(b []byte, _ netip.AddrPort) {
		f.counters.Received.Inc(1)
		f.handlePacket(b, out)
	})
}

// handlePacket decides about a caller's packet. Packets that cannot be decided about yet are
// added to undecided. out is scratch space for the forwarded datagram.
func (f *FlowBalancer) handlePacket(b, out []byte) {
	var p flow.Packet
	if err := f.codec.Parse(b, true, &p); err != nil {
		f.counters.CountRefused(err)
		return
	}
	now := f.clock.Now()
	if p.Opening() {
		now = f.clock.Sync()
		if f.stale(now) {
			f.counters.Reasons[flow.ReasonStale].Inc(1)
			return
		}
	}
	if f.decide(&p, b, out, now) {
		f.undecided.add(p.Key, b, now)
	}
}

// decide makes a decision about a packet and carries it out. It reports whether the decision may
// change once this balancer has a configuration and knows all sidecars.
func (f *FlowBalancer) decide(p *flow.Packet, b, out []byte, now time.Time) bool {
	f.mu.Lock()
	v := f.balancer.Decide(p, now)
	if v.Buffer {
		f.balancer.BufferPacket(p, b)
	}
	version := f.balancer.Configuration().Version
	f.mu.Unlock()
	f.counters.Reasons[v.Reason].Inc(1)
	if v.Action == flow.ActionReset && v.Reason == flow.ReasonNoRoute && !f.source.confirmed(now) {
		v.Action = flow.ActionDrop
	}
	if v.Buffer {
		daemon.Signal(f.lookupAdded)
	}
	// A retransmission may have opened the flow elsewhere while this process was paused.
	offered := p.Opening() && f.pauses.Recent(now)
	if offered && v.Action == flow.ActionReset {
		v.Action = flow.ActionDrop
	}
	switch v.Action {
	case flow.ActionForward:
		f.forward(&v.Path, b, out, offered)
	case flow.ActionReset:
		f.sendReset(p.Key, p.Ack)
	}
	if v.Reason != flow.ReasonKnown {
		f.logDecision(p, &v, version, now)
	}
	return v.Undecided
}

// stale reports whether an opening packet read at the time now may have been queued while the VM was
// suspended. The caller may have given up the flow since, or opened it through another balancer.
func (f *FlowBalancer) stale(now time.Time) bool {
	if suspended := f.clock.Suspended(); suspended-f.seenSuspension > minSuspension {
		f.seenSuspension = suspended
		f.staleUntil = now.Add(staleWindow)
	}
	return now.Before(f.staleUntil)
}

// forward sends the packet b along a path. offered is that of flow.TunnelPacket; out is scratch space
// for the datagram.
func (f *FlowBalancer) forward(p *flow.Path, b, out []byte, offered bool) {
	out = peer.AppendPacket(out, p, 0, f.cfg.Tunnel, offered)
	f.send(append(out, b...), p.To)
}

// logDecision logs a decision and the state of the chosen sidecar.
func (f *FlowBalancer) logDecision(p *flow.Packet, v *flow.BalancerVerdict, version uint64, now time.Time) {
	f.mu.Lock()
	m, _ := f.balancer.Member(v.Path.To)
	f.mu.Unlock()
	attrs := []any{"flow", p.Key.String(), "reason", v.Reason.String(), "action", v.Action.String(), "version", version}
	if p.Opening() {
		attrs = append(attrs, "retransmissions", p.Retransmissions())
	}
	if v.Action == flow.ActionForward {
		attrs = append(attrs, "to", v.Path.To.String(), "alternatives", v.Path.FallbackCount, "busy", m.Load.Busy,
			"flows", m.Load.Flows, "report-age-ms", now.Sub(m.ReportedAt).Milliseconds())
	}
	if v.Expected > 0 {
		attrs = append(attrs, "expected-ms", v.Expected.Milliseconds(), "work-ms", m.Load.Work.Milliseconds())
	}
	f.log.Info("packet-steered", attrs...)
}

// readTunnel handles datagrams from sidecars and other balancers until the socket is closed.
func (f *FlowBalancer) readTunnel() {
	daemon.ReadUDP(f.tunnel, f.counters.NotSent, func(b []byte, from netip.AddrPort) {
		if err := f.handleDatagram(b, from); err != nil {
			f.counters.CountRefused(err)
		}
	})
}

// handleDatagram parses a datagram from the tunnel and passes it to the handler of its kind.
func (f *FlowBalancer) handleDatagram(b []byte, from netip.AddrPort) error {
	kind, body, err := peer.KindOf(b)
	if err != nil {
		return err
	}
	switch kind {
	case peer.KindLoad:
		l, err := peer.ParseLoad(body)
		if err != nil {
			return err
		}
		f.handleReport(from, l)
	case peer.KindFlowHeld:
		k, err := peer.ParseFlowHeld(body)
		if err != nil {
			return err
		}
		f.flowHeld(k, from)
	case peer.KindNotDelivered:
		keys, notHeld, err := peer.ParseNotDelivered(body)
		if err != nil {
			return err
		}
		f.notDelivered(keys, notHeld, from)
	case peer.KindAnswer:
		a, err := peer.ParseAnswer(body)
		if err != nil {
			return err
		}
		f.handleAnswer(a, from)
	case peer.KindBalancers:
		l, err := peer.ParseBalancers(body)
		if err != nil {
			return err
		}
		f.handleBalancers(from, &l)
	case peer.KindSidecars:
		addrs, err := peer.ParseSidecars(body)
		if err != nil {
			return err
		}
		f.handleSidecars(addrs, from)
	default:
		return peer.ErrForeign
	}
	return nil
}

// handleReport records the load that a sidecar reports. If the sidecar is new or has changed its
// state or service, or does not know the newest evacuations, handleReport sends it a gossip message.
func (f *FlowBalancer) handleReport(from netip.AddrPort, l flow.Load) {
	f.counters.Reports.Inc(1)
	f.mu.Lock()
	before, _ := f.balancer.Member(from)
	changed := f.balancer.HandleReport(from, l, f.clock.Now())
	outliers := f.balancer.TakeOutlierChanges()
	f.mu.Unlock()
	f.logOutliers(outliers)
	if changed {
		f.log.Info("sidecar-state", "address", from.String(), "state", l.State.String(),
			"start", l.Incarnation, "sequence", l.Sequence)
	}
	if changed && !isEvacuationChange(before.Load.State, l.State) {
		f.send(f.balancersMessage(), from)
		return
	}
	f.answerReport(from, &l)
}

// sendReset sends a reset of flow k to the caller. ack is the Ack field of the caller's packet. The
// UDP datagram goes to the caller's IP address with the port of packets-address, since callers receive
// packets at that UDP port too. The ports in k are only in the packet's header.
func (f *FlowBalancer) sendReset(k flow.Key, ack uint32) {
	caller := netip.AddrPortFrom(k.Caller().Addr(), f.cfg.Packets.Port())
	if _, err := f.packets.WriteToUDPAddrPort(f.codec.AppendReset(nil, k, ack), caller); err != nil {
		f.counters.NotSent.Inc(1)
	}
}
