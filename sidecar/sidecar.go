package sidecar

import (
	"context"
	"crypto/tls"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/caller"
	"greengagedyke/control"
	"greengagedyke/keys"
	"greengagedyke/member"
	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/sibling"
	"greengagedyke/timeline"
	"greengagedyke/tunnel"
	"greengagedyke/upstream"
)

const (
	// leaveNoticeDelay is how long a leaving sidecar waits for balancers to stop sending
	// it new connections, before it asks callers to reconnect elsewhere.
	leaveNoticeDelay = 1500 * time.Millisecond
	// updateInterval is the time between updates of what changes without a notification from
	// the node: members that time out, the upstream's health and the weight during warmup.
	updateInterval = 250 * time.Millisecond
	// warmupDuration is how long the weight of a newly started sidecar grows until the sidecar gets
	// its full share of new connections.
	warmupDuration = 2 * time.Second
	// warmupSteps is the number of equal steps in which the weight grows.
	warmupSteps = 4
)

// Sidecar is a running sidecar that serves requests over HTTP/3.
type Sidecar struct {
	cfg          *Settings
	log          *slog.Logger
	registry     metrics.Registry
	node         *control.Node
	announcer    *control.Announcer
	credentials  *session.Credentials
	slots        *upstream.Slots
	upstream     *upstream.Client
	siblings     *Siblings
	dispatcher   *Dispatcher
	conn         *tunnel.Conn
	callerServer *caller.Server
	ids          *connectionIDs
	leaving      atomic.Bool
	evacuated    atomic.Bool // the failure domain is evacuated
	events       *timeline.Ring
	// appliedConfiguration is the configuration that updateKeys handled last.
	appliedConfiguration *service.Configuration
}

// Run runs a sidecar. When ctx ends, the sidecar takes no new work and returns once all open
// requests and streams have ended, or when abort ends.
func Run(ctx, abort context.Context, log *slog.Logger, cfg *Settings, registry metrics.Registry) error {
	s := &Sidecar{cfg: cfg, log: log.With("identity", cfg.Identity), registry: registry}
	return errors.Wrap(s.run(ctx, abort), "sidecar.Run")
}

func (s *Sidecar) run(ctx, abort context.Context) error {
	certificate, err := tls.LoadX509KeyPair(s.cfg.CertificateFile, s.cfg.KeyFile)
	if err != nil {
		return err
	}
	if s.credentials, err = session.NewCredentials(s.cfg.Secret); err != nil {
		return err
	}
	ln, err := net.Listen("tcp4", s.cfg.Sibling.String())
	if err != nil {
		return err
	}
	defer ln.Close()
	taskCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.events = timeline.NewRing(s.cfg.Identity, timeline.NewClock(time.Now))
	s.node = control.NewNode(s.log, s.initialRecord(), s.events)
	s.announcer = control.NewAnnouncer(s.log, s.node, s.credentials, s.cfg.Balancers)
	stopAnnouncer := startTask(taskCtx, cancel, s.announcer.Run)
	defer stopAnnouncer()
	if err := s.waitForConfiguration(ctx); err != nil {
		return err
	}
	stop, err := s.start(taskCtx, cancel, &certificate)
	if err != nil {
		return err
	}
	defer stop()
	defer startTask(taskCtx, cancel, func(ctx context.Context, done chan<- struct{}) {
		defer close(done)
		session.Serve(ctx, s.log, ln, s.credentials, s.siblingServer().Handle)
	})()
	defer startTask(taskCtx, cancel, s.watchChanges)()
	s.log.Info("sidecar-started", "service", s.cfg.Service, "tunnel", s.conn.LocalAddr().String())
	<-ctx.Done()
	return s.leave(abort)
}

// startTask calls run in a goroutine. run has to return when ctx ends, and then to close its
// channel argument. startTask returns a function that calls cancel, which must cancel ctx, and
// waits for run.
func startTask(ctx context.Context, cancel func(), run func(context.Context, chan<- struct{})) func() {
	done := make(chan struct{})
	go run(ctx, done)
	return func() {
		cancel()
		<-done
	}
}

// initialRecord returns the member record that this process announces at its start.
func (s *Sidecar) initialRecord() member.Record {
	control := s.cfg.Sibling
	if s.cfg.SiblingPublic.IsValid() {
		control = s.cfg.SiblingPublic
	}
	return member.Record{
		Role:          member.RoleSidecar,
		Identity:      s.cfg.Identity,
		Service:       s.cfg.Service,
		Tunnel:        s.cfg.Tunnel,
		Control:       control,
		FailureDomain: s.cfg.FailureDomain,
		Slots:         s.cfg.Slots,
		State:         member.StateStarting,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
}

// waitForConfiguration waits until a configuration that contains this sidecar's service has
// arrived from a balancer.
func (s *Sidecar) waitForConfiguration(ctx context.Context) error {
	for {
		changed := s.node.Changed()
		if s.service() != nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// service returns the configuration of this sidecar's service; nil if there is none.
func (s *Sidecar) service() *service.Service {
	return s.node.Configuration().Service(s.cfg.Service)
}

// start creates the components of the sidecar and starts their background tasks. It returns a
// function that stops them.
func (s *Sidecar) start(ctx context.Context, cancel func(), certificate *tls.Certificate) (func(), error) {
	keySet, err := keys.New(s.cfg.Secret, s.node.Configuration())
	if err != nil {
		return nil, err
	}
	self := s.node.Self()
	local := tunnel.Endpoint{ServiceTag: service.Tag(s.cfg.Service), Incarnation: uint16(self.Incarnation)}
	conn, closeConn, err := tunnel.Listen(s.log, s.cfg.Tunnel, local, keySet.Sealer, tunnel.NewCounters(s.registry))
	if err != nil {
		return nil, err
	}
	s.conn = conn
	s.slots = upstream.NewSlots(s.cfg.Slots)
	if s.cfg.Baseline == BaselineFIFO {
		s.slots.SetFIFO()
	}
	s.applyEvacuations(s.node.Configuration())
	client, closeClient := upstream.New(s.cfg.Upstream, s.slots)
	s.upstream = client
	metrics.NewRegisteredFunctionalGauge("upstream.running", s.registry, client.Running)
	s.siblings = newSiblings(s.log, self, s.credentials)
	s.dispatcher = s.newDispatcher(self)
	s.ids = newConnectionIDs(s.cfg.Tunnel, local, keySet.Codec)
	callerServer, closeCallerServer, err := caller.New(caller.Options{
		Log:         s.log,
		Conn:        conn,
		IDs:         s.ids,
		TLS:         &tls.Config{Certificates: []tls.Certificate{*certificate}, MinVersion: tls.VersionTLS13},
		ResetSecret: s.cfg.Secret,
		Routes:      s.routes,
		Dispatcher:  s.dispatcher,
		Identity:    s.cfg.Identity,
		Handshakes:  s.cfg.Handshakes,
		Evacuated:   s.evacuated.Load,
		Registry:    s.registry,
	})
	if err != nil {
		closeConn()
		closeClient()
		return nil, err
	}
	s.callerServer = callerServer
	stopSlots := startTask(ctx, cancel, s.slots.Run)
	stopHealth := startTask(ctx, cancel, func(ctx context.Context, done chan<- struct{}) {
		client.RunHealth(ctx, s.cfg.HealthPath, done)
	})
	stopNotify := startTask(ctx, cancel, func(ctx context.Context, done chan<- struct{}) {
		s.siblings.runLoadNotices(ctx, s.slots.Load, done)
	})
	return func() {
		closeCallerServer()
		stopNotify()
		stopHealth()
		stopSlots()
		s.siblings.closeAll()
		closeClient()
		closeConn()
	}, nil
}

func (s *Sidecar) newDispatcher(self member.Record) *Dispatcher {
	return &Dispatcher{
		log:           s.log,
		identity:      self.Identity,
		holderName:    formatHolder(self.Identity, self.Incarnation),
		siblings:      s.siblings,
		slots:         s.slots,
		upstream:      s.upstream,
		events:        s.events,
		keyedRequests: newKeyedRequests(s.upstream, s.siblings),
		baseline:      s.cfg.Baseline,
		refusal:       s.refusal,
		memberLost:    func() bool { return s.node.HasLost(s.cfg.Service) },
		holderLeft: func(holder string) bool {
			identity, incarnation, ok := parseHolder(holder)
			return ok && s.node.HasLeft(identity, incarnation)
		},
		slotCount: s.cfg.Slots,
	}
}

// siblingServer returns the server for sessions from siblings.
func (s *Sidecar) siblingServer() *sibling.Server {
	self := s.node.Self()
	target := sibling.Target{ServiceTag: service.Tag(self.Service), Incarnation: self.Incarnation}
	return sibling.NewServer(s.log, self.Identity, s.dispatcher.holderName, target, s.slots, s.upstream, s.dispatcher.keyedRequests, s.events, s.registry)
}

// routes returns the routes of this sidecar's service in the current configuration.
func (s *Sidecar) routes() service.Routes {
	if svc := s.service(); svc != nil {
		return svc.Routes
	}
	return nil
}

// watchChanges applies changes of configuration, membership and health until ctx ends.
func (s *Sidecar) watchChanges(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	started := time.Now()
	for {
		changed := s.node.Changed()
		s.applyChanges(started)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

// applyChanges applies the current configuration, membership and health. started is the start of
// this sidecar.
func (s *Sidecar) applyChanges(started time.Time) {
	cfg := s.node.Configuration()
	s.applyEvacuations(cfg)
	s.siblings.updateMembers(s.node.Service(s.cfg.Service), cfg.EvacuatedDomains, s.refusal() == nil && s.upstream.Healthy())
	s.updateKeys(cfg)
	s.announceState(started)
	s.conn.SetBalancers(replyBalancers(s.cfg.Identity, s.node.Balancers()))
}

// updateKeys loads the keys of a configuration and reports its revision as in force. It tries this only
// once for each configuration.
func (s *Sidecar) updateKeys(cfg *service.Configuration) {
	if cfg == s.appliedConfiguration {
		return
	}
	s.appliedConfiguration = cfg
	keySet, err := keys.New(s.cfg.Secret, cfg)
	if err != nil {
		s.log.Error("keys-refused", "revision", cfg.Revision, "error", err.Error())
		return
	}
	s.conn.SetSealer(keySet.Sealer)
	s.ids.setCodec(keySet.Codec)
	s.node.SetInForce(cfg.Revision)
}

// announceState updates the announced state and weight: StateStarting and weight 0 while the
// upstream is unhealthy, otherwise StateReady and the warmup weight.
func (s *Sidecar) announceState(started time.Time) {
	if s.leaving.Load() {
		return
	}
	weight := warmupWeight(time.Since(started))
	state := member.StateReady
	if !s.upstream.Healthy() {
		state = member.StateStarting
		weight = 0
	}
	s.node.UpdateSelf(func(r *member.Record) {
		r.State = state
		r.Weight = weight
	})
}

// warmupWeight returns the weight for new connections, up to 1, of a sidecar of this age.
func warmupWeight(age time.Duration) float64 {
	step := 1 + int(age*warmupSteps/warmupDuration)
	return float64(min(step, warmupSteps)) / warmupSteps
}

// maxReplyBalancers is the largest number of balancers through which a sidecar sends replies.
const maxReplyBalancers = 8

// replyBalancers returns the tunnel addresses of the balancers through which this sidecar sends
// replies: of the maxReplyBalancers that rendezvous hashing of its identity selects, those that
// are ready.
func replyBalancers(identity string, balancers []member.ObservedRecord) []netip.AddrPort {
	list := service.TopRendezvous(identity, balancers, maxReplyBalancers, func(o member.ObservedRecord) string { return o.Identity })
	var addrs []netip.AddrPort
	for _, b := range list {
		if b.State == member.StateReady {
			addrs = append(addrs, b.Tunnel)
		}
	}
	return addrs
}

// leave stops taking new work, asks callers to reconnect elsewhere, waits until open requests and
// streams have ended, and hands the records of idempotency keys over to siblings. If it is aborted
// or the handover fails, it does not announce StateGone, so that other members treat this sidecar
// as lost.
func (s *Sidecar) leave(abort context.Context) error {
	if abort.Err() != nil {
		return nil
	}
	s.log.Info("sidecar-leaving")
	s.leaving.Store(true)
	s.node.UpdateSelf(func(r *member.Record) { r.State = member.StateLeaving })
	s.announcer.Announce(abort)
	s.slots.SetLeaving()
	select {
	case <-time.After(leaveNoticeDelay):
	case <-abort.Done():
	}
	if err := s.callerServer.Drain(abort); err != nil {
		s.log.Warn("sidecar-drain-aborted", "error", err.Error())
		return nil
	}
	s.slots.WaitIdle(abort)
	if err := s.dispatcher.handOver(abort); err != nil {
		s.log.Warn("sidecar-handover-failed", "error", err.Error())
		return nil
	}
	s.node.UpdateSelf(func(r *member.Record) { r.State = member.StateGone })
	s.announcer.Announce(abort)
	s.log.Info("sidecar-ended")
	return nil
}

// connectionIDs generates QUIC connection IDs by which balancers route packets to this sidecar.
type connectionIDs struct {
	route quiclb.Route
	nonce atomic.Uint32
	codec atomic.Pointer[quiclb.Codec]
}

func newConnectionIDs(addr netip.AddrPort, local tunnel.Endpoint, codec *quiclb.Codec) *connectionIDs {
	c := &connectionIDs{route: quiclb.Route{Addr: addr, ServiceTag: local.ServiceTag, Incarnation: local.Incarnation}}
	c.nonce.Store(rand.Uint32())
	c.codec.Store(codec)
	return c
}

func (c *connectionIDs) setCodec(codec *quiclb.Codec) { c.codec.Store(codec) }

// ConnectionID implements caller.ConnectionIDs.
func (c *connectionIDs) ConnectionID(dst []byte) {
	r := c.route
	r.Nonce = c.nonce.Add(1)
	c.codec.Load().Encode(dst, r)
}
