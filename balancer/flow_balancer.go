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
	// forwardAfterStop is how long a stopped balancer goes on to forward, until the
	// routers have chosen others.
	forwardAfterStop = 2500 * time.Millisecond
	// suspensionLimit is the suspension of the VM that is noticed, staleTime how long
	// the packets that waited meanwhile take to be read and new reports to arrive.
	suspensionLimit = 400 * time.Millisecond
	staleTime       = 400 * time.Millisecond
	// routeTrust is how old the last word of the store or a peer may be for an unknown
	// route to be refused.
	routeTrust = 3 * time.Second
)

// FlowBalancer is a running balancer of flows that carry no name of their own.
type FlowBalancer struct {
	cfg      *FlowSettings
	log      *slog.Logger
	clock    *clock.Clock
	packets  *net.UDPConn
	tunnel   *net.UDPConn
	known    *registry.KnownBalancers
	codec    platform.PacketCodec
	counters *daemon.Counters
	leaving  atomic.Bool
	// undecided are the packets to be decided about again.
	undecided *undecided
	// searching is signalled when a flow is looked up.
	searching chan struct{}
	source    *configurationSource
	// suspended is how long the VM has been suspended, and staleUntil when packets
	// that waited meanwhile have been read. Only the reader of packets uses them.
	suspended  time.Duration
	staleUntil time.Time

	mu       sync.Mutex
	balancer *flow.Balancer
}

// RunFlows runs a balancer of flows without a name of their own. When ctx ends, it
// tells the routers to go elsewhere and forwards until they do, or until abort ends.
func RunFlows(ctx, abort context.Context, log *slog.Logger, cfg *FlowSettings, r metrics.Registry) error {
	c := clock.New()
	f := &FlowBalancer{
		cfg:      cfg,
		log:      log,
		clock:    c,
		known:    registry.NewKnownBalancers(cfg.Tunnel),
		counters: daemon.NewCounters(r),
		balancer: flow.NewBalancer(cfg.FailureDomain, c.Now()),

		undecided: newUndecided(),
		searching: make(chan struct{}, 1),
	}
	return errors.Wrap(f.run(ctx, abort, r), "balancer.RunFlows")
}

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
	shared, err := net.Listen("tcp4", f.cfg.Tunnel.String())
	if err != nil {
		return err
	}
	defer shared.Close()
	client, closeClient := platform.New(f.cfg.Store, r)
	defer closeClient()
	f.source = newConfigurationSource(f.log, client, f.cfg.Tunnel, f.clock, f.configure)
	reg := registry.New(f.log, client)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	f.addBalancers(peer.BalancerInfos(daemon.TunnelAddrs(f.cfg.Peers, f.cfg.Tunnel.Port())))
	f.log.Info("balancer-started", "identity", f.cfg.Identity, "failure-domain", f.cfg.FailureDomain)
	wait := daemon.StartAll(life, end,
		func(ctx context.Context) { daemon.ServeHTTP(ctx, f.log, ready, platform.ReadyHandler(f.ready)) },
		f.source.watch,
		func(ctx context.Context) { f.source.serve(ctx, shared) },
		func(ctx context.Context) { reg.KeepRegistered(ctx, registry.RoleBalancer, f.cfg.Tunnel, stays) },
		func(ctx context.Context) { reg.PollAddresses(ctx, f.registered) },
		f.tick,
		f.decideAgain,
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

// leave forwards until the routers have chosen other balancers.
func (f *FlowBalancer) leave(abort context.Context) {
	f.log.Info("balancer-leaving", "identity", f.cfg.Identity)
	f.leaving.Store(true)
	daemon.Sleep(abort, forwardAfterStop)
}

// ready reports whether routers may send packets.
func (f *FlowBalancer) ready() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, takes := f.balancer.MemberCounts(f.clock.Now())
	return !f.leaving.Load() && f.balancer.Configuration().Version > 0 && takes > 0
}

// configure puts a configuration in force unless a newer one is.
func (f *FlowBalancer) configure(cfg *flow.Configuration) bool {
	f.mu.Lock()
	taken := f.balancer.Configure(cfg)
	f.mu.Unlock()
	if taken {
		f.log.Info("configuration-in-force", "version", cfg.Version, "routes", len(cfg.Routes))
		f.tellBalancers()
	}
	return taken
}

// tick does what is due regularly until ctx ends.
func (f *FlowBalancer) tick(ctx context.Context) {
	t := time.NewTicker(tellInterval)
	defer t.Stop()
	suspended := f.clock.Suspended()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := f.clock.Sync()
		if total := f.clock.Suspended(); total-suspended > suspensionLimit {
			f.log.Warn("vm-was-suspended", "for-ms", (total - suspended).Milliseconds())
			suspended = total
			continue // the others were not silent, this VM was
		}
		f.mu.Lock()
		lost := f.balancer.Expire(now)
		f.mu.Unlock()
		for _, addr := range lost {
			f.log.Info("sidecar-forgotten", "address", addr.String())
		}
		for _, addr := range f.known.Expire(now) {
			f.log.Info("balancer-forgotten", "address", addr.String())
		}
		f.tellBalancers()
		f.tellSidecars()
	}
}

func (f *FlowBalancer) send(b []byte, to netip.AddrPort) {
	if _, err := f.tunnel.WriteToUDPAddrPort(b, to); err != nil {
		f.counters.NotSent.Inc(1)
	}
}

// readPackets forwards callers' packets until the socket is closed.
func (f *FlowBalancer) readPackets() {
	out := make([]byte, 0, daemon.MaxDatagram+peer.MaxHead)
	daemon.ReadUDP(f.packets, f.counters.NotSent, func(b []byte, _ netip.AddrPort) {
		f.counters.Received.Inc(1)
		f.packet(b, out)
	})
}

func (f *FlowBalancer) packet(b, out []byte) {
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
	if f.steer(&p, b, out, now) {
		f.undecided.keep(p.Key, b, now)
	}
}

// steer decides about a packet and carries the decision out. It reports whether the
// packet has to be decided about again.
func (f *FlowBalancer) steer(p *flow.Packet, b, out []byte, now time.Time) bool {
	f.mu.Lock()
	v := f.balancer.Decide(p, now)
	if v.Buffer {
		f.balancer.BufferPacket(p, b)
	}
	version := f.balancer.Configuration().Version
	f.mu.Unlock()
	f.counters.Reasons[v.Reason].Inc(1)
	if v.Action == flow.ActionReset && v.Reason == flow.ReasonNoRoute && !f.source.fresh(now) {
		v.Action = flow.ActionDrop
	}
	if v.Buffer {
		daemon.Signal(f.searching)
	}
	switch v.Action {
	case flow.ActionForward:
		f.forward(&v.Path, b, out)
	case flow.ActionReset:
		f.reset(p.Key, p.Ack)
	}
	if v.Reason != flow.ReasonKnown {
		f.explain(p, &v, version, now)
	}
	return v.Undecided
}

// stale reports whether an opening packet may have waited while the VM was suspended:
// its caller has given up, or has opened the flow through another balancer.
func (f *FlowBalancer) stale(now time.Time) bool {
	if suspended := f.clock.Suspended(); suspended-f.suspended > suspensionLimit {
		f.suspended = suspended
		f.staleUntil = now.Add(staleTime)
	}
	return now.Before(f.staleUntil)
}

func (f *FlowBalancer) forward(p *flow.Path, b, out []byte) {
	out = peer.AppendPacket(out, p, 0, f.cfg.Tunnel, false)
	f.send(append(out, b...), p.To)
}

// explain logs a decision with what decided it.
func (f *FlowBalancer) explain(p *flow.Packet, v *flow.BalancerVerdict, version uint64, now time.Time) {
	f.mu.Lock()
	m, _ := f.balancer.Member(v.Path.To)
	f.mu.Unlock()
	attrs := []any{"flow", p.Key.String(), "reason", v.Reason.String(), "action", v.Action.String(), "version", version}
	if p.Opening() {
		attrs = append(attrs, "copies", p.Retransmissions())
	}
	if v.Action == flow.ActionForward {
		attrs = append(attrs, "to", v.Path.To.String(), "alternatives", v.Path.FallbackCount, "busy", m.Load.Busy,
			"flows", m.Load.Flows, "report-age-ms", now.Sub(m.ReportedAt).Milliseconds())
	}
	f.log.Info("packet-steered", attrs...)
}

// readTunnel takes in what sidecars and balancers say until the socket is closed.
func (f *FlowBalancer) readTunnel() {
	daemon.ReadUDP(f.tunnel, f.counters.NotSent, func(b []byte, from netip.AddrPort) {
		if err := f.datagram(b, from); err != nil {
			f.counters.CountRefused(err)
		}
	})
}

func (f *FlowBalancer) datagram(b []byte, from netip.AddrPort) error {
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
		f.report(from, l)
	case peer.KindFlowHeld:
		k, err := peer.ParseFlowHeld(body)
		if err != nil {
			return err
		}
		f.flowHeld(k, from)
	case peer.KindNotDelivered:
		k, denied, err := peer.ParseNotDelivered(body)
		if err != nil {
			return err
		}
		f.notDelivered(k, denied, from)
	case peer.KindAnswer:
		a, err := peer.ParseAnswer(body)
		if err != nil {
			return err
		}
		f.answered(a, from)
	case peer.KindBalancers:
		l, err := peer.ParseBalancers(body)
		if err != nil {
			return err
		}
		f.peer(from, &l)
	case peer.KindSidecars:
		addrs, err := peer.ParseSidecars(body)
		if err != nil {
			return err
		}
		f.gossip(addrs, from)
	default:
		return peer.ErrForeign
	}
	return nil
}

func (f *FlowBalancer) report(from netip.AddrPort, l flow.Load) {
	f.counters.Reports.Inc(1)
	f.mu.Lock()
	changed := f.balancer.HandleReport(from, l, f.clock.Now())
	f.mu.Unlock()
	if changed {
		f.log.Info("sidecar-state", "address", from.String(), "state", l.State.String(),
			"start", l.Incarnation, "sequence", l.Sequence)
	}
	if changed {
		f.send(f.balancersMessage(), from)
	}
}

// reset ends a flow of a caller.
func (f *FlowBalancer) reset(k flow.Key, ack uint32) {
	caller := netip.AddrPortFrom(k.Caller().Addr(), f.cfg.Packets.Port())
	if _, err := f.packets.WriteToUDPAddrPort(f.codec.AppendReset(nil, k, ack), caller); err != nil {
		f.counters.NotSent.Inc(1)
	}
}
