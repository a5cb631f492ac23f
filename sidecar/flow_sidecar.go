package sidecar

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"slices"
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
	f.sidecar.Observe(func(m flow.Latency, d time.Duration) { histograms[m].Record(d) })
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

// reportAndExpire regularly sends reports to the balancers and deletes old flows and balancers,
// until ctx ends.
func (f *FlowSidecar) reportAndExpire(ctx context.Context) {
	lastExpiry := f.clock.Now()
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
		f.mu.Unlock()
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

// readTunnel handles datagrams from balancers and siblings until the socket is closed.
func (f *FlowSidecar) readTunnel() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.tunnel, f.counters.NotSent, func(b []byte, _ netip.AddrPort) {
		f.counters.Received.Inc(1)
		if err := f.handleDatagram(b, out); err != nil {
			f.counters.CountRefused(err)
		}
	})
}

// handleDatagram handles a datagram from a balancer or sibling. out is a buffer for datagrams to
// send.
func (f *FlowSidecar) handleDatagram(b, out []byte) error {
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
