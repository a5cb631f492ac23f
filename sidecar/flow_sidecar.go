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
	// overdueInterval is the time between looks at unanswered opening packets.
	overdueInterval = 20 * time.Millisecond
	expireInterval  = time.Second
	// reportInterval is the time between reports to the balancers; with many of them
	// it grows by reportShare for each.
	reportInterval = 250 * time.Millisecond
	reportShare    = 25 * time.Millisecond
	// leaveDelay is how long a stopped sidecar goes on to forward.
	leaveDelay = 300 * time.Millisecond
)

// FlowSidecar is a running sidecar of flows that carry no name of their own.
type FlowSidecar struct {
	cfg      *FlowSettings
	log      *slog.Logger
	clock    *clock.Clock
	tunnel   *net.UDPConn
	outbound *net.UDPConn
	known    *registry.KnownBalancers
	codec    platform.PacketCodec
	counters *daemon.Counters
	start    uint64
	// offered is signalled when an opening packet waits for the upstream's answer.
	offered chan struct{}
	// changed is signalled when balancers should get a report at once.
	changed chan struct{}

	mu       sync.Mutex
	sidecar  *flow.Sidecar
	sequence uint32
	reported flow.State
}

// RunFlows runs a sidecar of flows without a name of their own. When ctx ends, it
// takes no new flows, and ends shortly after, or when abort ends.
func RunFlows(ctx, abort context.Context, log *slog.Logger, cfg *FlowSettings, r metrics.Registry) error {
	c := clock.New()
	monitor := flow.NewHeartbeatMonitor(time.Duration(cfg.Patience))
	f := &FlowSidecar{
		cfg:      cfg,
		log:      log,
		clock:    c,
		known:    registry.NewKnownBalancers(netip.AddrPort{}),
		counters: daemon.NewCounters(r),
		start:    uint64(time.Now().UnixNano()),
		offered:  make(chan struct{}, 1),
		changed:  make(chan struct{}, 1),
		sidecar:  flow.NewSidecar(monitor, cfg.Service, time.Duration(cfg.FlowLimit), c.Now(), time.Now()),
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
	ready, err := net.Listen("tcp4", f.cfg.Ready.String())
	if err != nil {
		return err
	}
	defer ready.Close()
	beats, err := net.Listen("tcp4", f.cfg.Heartbeats.String())
	if err != nil {
		return err
	}
	defer beats.Close()
	client, closeClient := platform.New(f.cfg.Store, r)
	defer closeClient()
	reg := registry.New(f.log, client)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	f.log.Info("sidecar-started", "identity", f.cfg.Identity, "service", f.cfg.Service)
	f.addBalancers(peer.BalancerInfos(daemon.TunnelAddrs(f.cfg.Peers, f.cfg.BalancerPort)))
	takesWork := func() bool { return ctx.Err() == nil }
	wait := daemon.StartAll(life, end,
		func(ctx context.Context) { daemon.ServeHTTP(ctx, f.log, ready, platform.ReadyHandler(takesWork)) },
		func(ctx context.Context) { daemon.ServeHTTP(ctx, f.log, beats, platform.HeartbeatHandler(f)) },
		func(ctx context.Context) {
			reg.ReadBalancers(ctx, func(l []netip.AddrPort) { f.addBalancers(peer.BalancerInfos(l)) })
		},
		func(ctx context.Context) {
			reg.KeepRegistered(ctx, registry.RoleSidecar, f.cfg.Tunnel, f.upstreamEnded)
		},
		f.tick,
		f.watchOverdue,
		f.lookForUpstream,
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

func (f *FlowSidecar) leave(abort context.Context) {
	f.log.Info("sidecar-leaving", "identity", f.cfg.Identity)
	f.mu.Lock()
	f.sidecar.Leave()
	f.sidecar.ReleaseQueued(f.clock.Now(), f.toUpstream)
	f.mu.Unlock()
	daemon.Signal(f.changed)
	daemon.Sleep(abort, leaveDelay)
}

// upstreamEnded reports whether the upstream has ended, so that nobody has to look for
// its flows here.
func (f *FlowSidecar) upstreamEnded() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.sidecar.UpstreamEnded(f.clock.Now())
}

// addBalancers takes in balancers that somebody named, and reports to new ones at once.
func (f *FlowSidecar) addBalancers(list []peer.BalancerInfo) {
	now := f.clock.Now()
	fresh := f.known.Merge(list, now)
	if len(fresh) == 0 {
		return
	}
	f.log.Info("balancers-found", "count", len(fresh), "first", fresh[0].String(), "known", len(f.known.List()))
	f.report(now, fresh)
}

// Heartbeat implements platform.HeartbeatReceiver.
func (f *FlowSidecar) Heartbeat(b flow.Heartbeat) error {
	f.counters.Reports.Inc(1)
	if ok, err := f.cfg.serves(b.Service); !ok {
		f.log.Warn("heartbeat-refused", "upstream", b.ID, "service", b.Service, "serves", f.cfg.Service, "error", daemon.ErrorText(err))
		return errors.Errorf("heartbeat: no upstream of service %q runs here", b.Service)
	}
	now := f.clock.Sync()
	f.mu.Lock()
	before := f.sidecar.State(now)
	outcome := f.sidecar.Heartbeat(b, now)
	after := f.sidecar.State(now)
	opens := f.sidecar.ReadyIn(now)
	f.mu.Unlock()
	if outcome == flow.HeartbeatStarted {
		f.resetOrphans(now)
	}
	if opens > 0 {
		time.AfterFunc(opens, func() { daemon.Signal(f.changed) })
	}
	if outcome != flow.HeartbeatAccepted || before != after {
		f.log.Info("heartbeat", "upstream", b.ID, "outcome", outcome.String(), "says", b.State.String(),
			"sequence", b.Sequence, "born", b.StartedAt, "state-before", before.String(), "state", after.String())
	}
	if before != after {
		daemon.Signal(f.changed)
	}
	if outcome == flow.HeartbeatFormer {
		return errors.New("heartbeat of an incarnation that was replaced")
	}
	return nil
}

// End implements platform.HeartbeatReceiver.
func (f *FlowSidecar) End(id string) {
	now := f.clock.Sync()
	f.mu.Lock()
	own := f.sidecar.End(id, now)
	f.mu.Unlock()
	f.log.Info("upstream-ends", "upstream", id, "own", own)
	daemon.Signal(f.changed)
}

// Refuse implements platform.HeartbeatReceiver.
func (f *FlowSidecar) Refuse(id string, reason error) {
	f.log.Warn("heartbeat-refused", "upstream", id, "error", reason.Error())
}

// tick reports to the balancers and forgets old flows until ctx ends.
func (f *FlowSidecar) tick(ctx context.Context) {
	expired := f.clock.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.changed:
		case <-time.After(f.interval()):
		}
		now := f.clock.Sync()
		f.report(now, f.known.List())
		if now.Sub(expired) < expireInterval {
			continue
		}
		expired = now
		f.mu.Lock()
		f.sidecar.Expire(now)
		f.sidecar.ReleaseQueued(now, f.toUpstream)
		f.mu.Unlock()
		f.resetOrphans(now)
		for _, addr := range f.known.Expire(now) {
			f.log.Info("balancer-forgotten", "address", addr.String())
		}
	}
}

// interval is the time between reports.
func (f *FlowSidecar) interval() time.Duration {
	return max(reportInterval, reportShare*time.Duration(len(f.known.List())))
}

// report tells balancers the state and load of the upstream.
func (f *FlowSidecar) report(now time.Time, to []netip.AddrPort) {
	interval := f.interval()
	f.mu.Lock()
	f.sequence++
	l := f.sidecar.Load(now)
	l.Interval = interval
	l.Incarnation = f.start
	l.Sequence = f.sequence
	l.DomainID = flow.DomainID(f.cfg.FailureDomain)
	changed := l.State != f.reported
	f.reported = l.State
	f.mu.Unlock()
	if changed {
		f.log.Info("upstream-state", "state", l.State.String(), "busy", l.Busy, "flows", l.Flows)
	}
	message := peer.AppendLoad(nil, &l)
	for _, addr := range to {
		f.send(message, addr)
	}
}

func (f *FlowSidecar) send(b []byte, to netip.AddrPort) {
	if _, err := f.tunnel.WriteToUDPAddrPort(b, to); err != nil {
		f.counters.NotSent.Inc(1)
	}
}

// watchOverdue sends on opening packets that the upstream does not answer, until ctx
// ends.
func (f *FlowSidecar) watchOverdue(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.offered:
		}
		for f.overdue() {
			select {
			case <-ctx.Done():
				return
			case <-time.After(overdueInterval):
			}
		}
	}
}

// overdue reports whether opening packets still wait.
func (f *FlowSidecar) overdue() bool {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sidecar.ForwardUnanswered(now, func(a *flow.TunnelPacket, r flow.SidecarVerdict) {
		f.act(a.Raw, &a.Packet, a, &r, nil)
	})
	return f.sidecar.OpeningPending()
}

// readTunnel handles what balancers and siblings send until the socket is closed.
func (f *FlowSidecar) readTunnel() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.tunnel, f.counters.NotSent, func(b []byte, _ netip.AddrPort) {
		f.counters.Received.Inc(1)
		if err := f.datagram(b, out); err != nil {
			f.counters.CountRefused(err)
		}
	})
}

func (f *FlowSidecar) datagram(b, out []byte) error {
	kind, body, err := peer.KindOf(b)
	if err != nil {
		return err
	}
	switch kind {
	case peer.KindPacket:
		return f.packet(body, out)
	case peer.KindBalancers:
		l, err := peer.ParseBalancers(body)
		if err != nil {
			return err
		}
		f.addBalancers(l.Infos)
		return nil
	case peer.KindQuery:
		return f.query(body)
	default:
		return peer.ErrForeign
	}
}

// query answers a balancer that looks flows up, and passes its questions on. One that asks
// for no flow gets a report.
func (f *FlowSidecar) query(body []byte) error {
	a, err := peer.ParseQuery(body)
	if err != nil {
		return err
	}
	passed := *a
	passed.RelayTo = nil
	message := peer.AppendQuery(nil, &passed)
	for _, addr := range a.RelayTo {
		f.send(message, addr)
	}
	now := f.clock.Sync()
	if len(a.Questions) == 0 {
		f.report(now, []netip.AddrPort{a.Origin})
		return nil
	}
	f.mu.Lock()
	answer := f.sidecar.Answer(a, now)
	f.mu.Unlock()
	f.send(peer.AppendAnswer(nil, answer), a.Origin)
	f.log.Debug("flows-asked", "by", a.Origin.String(), "flows", len(a.Questions), "passed-on", len(a.RelayTo))
	return nil
}

// packet handles a caller's packet.
func (f *FlowSidecar) packet(body, out []byte) error {
	var a flow.TunnelPacket
	raw, err := peer.ParsePacket(body, &a)
	if err != nil {
		return err
	}
	if err := f.codec.Parse(raw, true, &a.Packet); err != nil {
		return err
	}
	now := f.clock.Now()
	a.Raw = raw
	opening := a.Packet.Opening()
	if opening {
		now = f.clock.Sync()
		a.Raw = slices.Clone(raw)
	}
	f.mu.Lock()
	r := f.sidecar.FromTunnel(&a, now)
	pending := f.sidecar.OpeningPending()
	f.mu.Unlock()
	f.act(raw, &a.Packet, &a, &r, out)
	if pending && opening {
		daemon.Signal(f.offered)
	}
	return nil
}

// readOutbound handles what the upstream sends until the socket is closed.
func (f *FlowSidecar) readOutbound() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.outbound, f.counters.NotSent, func(b []byte, _ netip.AddrPort) {
		f.fromUpstream(b, out)
	})
}

func (f *FlowSidecar) fromUpstream(raw, out []byte) {
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
	r := f.sidecar.FromUpstream(&p, now)
	f.sidecar.ReleaseQueued(now, f.toUpstream)
	f.mu.Unlock()
	if r.Returned != nil {
		raw = r.Returned.Raw
	}
	f.act(raw, &p, r.Returned, &r, out)
}

func (f *FlowSidecar) toUpstream(raw []byte) {
	if _, err := f.outbound.WriteToUDPAddrPort(raw, f.cfg.Upstream); err != nil {
		f.counters.NotSent.Inc(1)
	}
}

// act carries out a decision about a packet.
func (f *FlowSidecar) act(raw []byte, p *flow.Packet, a *flow.TunnelPacket, r *flow.SidecarVerdict, out []byte) {
	f.counters.Reasons[r.Reason].Inc(1)
	var err error
	switch r.Action {
	case flow.ActionUpstream:
		f.toUpstream(raw)
	case flow.ActionCaller:
		_, err = f.tunnel.WriteToUDPAddrPort(raw, f.callerAddr(p))
	case flow.ActionReset:
		_, err = f.tunnel.WriteToUDPAddrPort(f.codec.AppendReset(out, p.Key, p.Ack), f.callerAddr(p))
	case flow.ActionForward:
		head := peer.AppendPacket(out, &a.Path, r.Hop, a.Origin, a.Offered)
		_, err = f.tunnel.WriteToUDPAddrPort(append(head, raw...), r.To)
	}
	if err != nil {
		f.counters.NotSent.Inc(1)
	}
	if r.Notify.IsValid() {
		f.tell(p.Key, r)
	}
	if r.Reason != flow.ReasonKnown {
		attrs := []any{"flow", p.Key.String(), "reason", r.Reason.String(), "action", r.Action.String(), "opening", p.Opening()}
		if r.Action == flow.ActionForward {
			attrs = append(attrs, "hop", r.Hop, "to", r.To.String())
		}
		f.log.Info("packet-ruled", attrs...)
	}
}

func (f *FlowSidecar) tell(k flow.Key, r *flow.SidecarVerdict) {
	if r.NotDelivered {
		f.send(peer.AppendNotDelivered(nil, k, r.NotHeld), r.Notify)
		return
	}
	f.send(peer.AppendFlowHeld(nil, k), r.Notify)
}

func (f *FlowSidecar) callerAddr(p *flow.Packet) netip.AddrPort {
	return netip.AddrPortFrom(p.Key.Caller().Addr(), f.cfg.Tunnel.Port())
}
