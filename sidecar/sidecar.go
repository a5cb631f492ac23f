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
	// leaveNotice is how long a leaving sidecar waits for balancers to stop sending
	// it first flights before it asks its callers to go elsewhere.
	leaveNotice = 1500 * time.Millisecond
	// updateInterval is the time between looks at members that fell silent.
	updateInterval = 250 * time.Millisecond
	// warmUp is the time in which a new upstream's share of connections grows.
	warmUp      = 2 * time.Second
	warmUpSteps = 4
)

// Sidecar is a running sidecar.
type Sidecar struct {
	cfg         *Settings
	log         *slog.Logger
	registry    metrics.Registry
	node        *control.Node
	announcer   *control.Announcer
	credentials *session.Credentials
	slots       *upstream.Slots
	upstream    *upstream.Client
	siblings    *Siblings
	dispatcher  *Dispatcher
	conn        *tunnel.Conn
	front       *caller.Server
	ids         *connectionIDs
	leaving     atomic.Bool
	ring        *timeline.Ring
	// applied is the configuration whose keys are in use.
	applied *service.Configuration
}

// Run runs a sidecar. When ctx ends, the sidecar leaves: it takes no new work and
// returns once its feeds and requests have ended, or when abort ends.
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
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	s.ring = timeline.NewRing(s.cfg.Identity, timeline.NewClock(time.Now))
	s.node = control.NewNode(s.log, s.record(), s.ring)
	s.announcer = control.NewAnnouncer(s.log, s.node, s.credentials, s.cfg.Balancers)
	stopAnnouncer := waitFor(life, end, s.announcer.Run)
	defer stopAnnouncer()
	if err := s.awaitConfiguration(ctx); err != nil {
		return err
	}
	stop, err := s.build(life, end, &certificate)
	if err != nil {
		return err
	}
	defer stop()
	defer waitFor(life, end, func(ctx context.Context, done chan<- struct{}) {
		defer close(done)
		session.Serve(ctx, s.log, ln, s.credentials, s.server().Handle)
	})()
	defer waitFor(life, end, s.follow)()
	s.log.Info("sidecar-started", "service", s.cfg.Service, "tunnel", s.conn.LocalAddr().String())
	<-ctx.Done()
	return s.leave(abort)
}

// waitFor starts a goroutine that reports its end on a channel, and returns a
// function that ends it and waits.
func waitFor(ctx context.Context, end func(), run func(context.Context, chan<- struct{})) func() {
	done := make(chan struct{})
	go run(ctx, done)
	return func() {
		end()
		<-done
	}
}

func (s *Sidecar) record() member.Record {
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

// awaitConfiguration waits until a balancer has told about the own service.
func (s *Sidecar) awaitConfiguration(ctx context.Context) error {
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

func (s *Sidecar) service() *service.Service {
	return s.node.Configuration().Service(s.cfg.Service)
}

func (s *Sidecar) build(ctx context.Context, end func(), certificate *tls.Certificate) (func(), error) {
	set, err := keys.New(s.cfg.Secret, s.node.Configuration())
	if err != nil {
		return nil, err
	}
	self := s.node.Self()
	local := tunnel.Endpoint{ServiceTag: service.Tag(s.cfg.Service), Incarnation: uint16(self.Incarnation)}
	conn, closeConn, err := tunnel.Listen(s.log, s.cfg.Tunnel, local, set.Sealer, tunnel.NewCounters(s.registry))
	if err != nil {
		return nil, err
	}
	s.conn = conn
	s.slots = upstream.NewSlots(s.cfg.Slots)
	if s.cfg.Baseline == BaselineFIFO {
		s.slots.SetFIFO()
	}
	client, closeClient := upstream.New(s.cfg.Upstream, s.slots)
	s.upstream = client
	s.siblings = newSiblings(s.log, self, s.credentials)
	s.dispatcher = s.newDispatcher(self)
	s.ids = newConnectionIDs(s.cfg.Tunnel, local, set.Codec)
	front, closeFront, err := caller.New(caller.Options{
		Log:         s.log,
		Conn:        conn,
		IDs:         s.ids,
		TLS:         &tls.Config{Certificates: []tls.Certificate{*certificate}, MinVersion: tls.VersionTLS13},
		ResetSecret: s.cfg.Secret,
		Routes:      s.routes,
		Dispatcher:  s.dispatcher,
		Identity:    s.cfg.Identity,
		Handshakes:  s.cfg.Handshakes,
		Registry:    s.registry,
	})
	if err != nil {
		closeConn()
		closeClient()
		return nil, err
	}
	s.front = front
	stopSlots := waitFor(ctx, end, s.slots.Run)
	stopHealth := waitFor(ctx, end, func(ctx context.Context, done chan<- struct{}) {
		client.RunHealth(ctx, s.cfg.HealthPath, done)
	})
	stopNotify := waitFor(ctx, end, func(ctx context.Context, done chan<- struct{}) {
		s.siblings.runNotify(ctx, s.slots.Load, done)
	})
	return func() {
		closeFront()
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
		holder:        holderName(self.Identity, self.Incarnation),
		siblings:      s.siblings,
		slots:         s.slots,
		upstream:      s.upstream,
		ring:          s.ring,
		keyedRequests: newKeyedRequests(s.upstream, s.siblings),
		baseline:      s.cfg.Baseline,
		leaving:       s.leaving.Load,
		lost:          func() bool { return s.node.HasLost(s.cfg.Service) },
		left: func(holder string) bool {
			identity, incarnation, ok := parseHolder(holder)
			return ok && s.node.HasLeft(identity, incarnation)
		},
		slotCount: s.cfg.Slots,
	}
}

func (s *Sidecar) server() *sibling.Server {
	self := s.node.Self()
	target := sibling.Target{ServiceTag: service.Tag(self.Service), Incarnation: self.Incarnation}
	return sibling.NewServer(s.log, self.Identity, s.dispatcher.holder, target, s.slots, s.upstream, s.dispatcher.keyedRequests, s.ring, s.registry)
}

func (s *Sidecar) routes() service.Routes {
	if svc := s.service(); svc != nil {
		return svc.Routes
	}
	return nil
}

// follow puts changes of configuration and membership in force until ctx ends.
func (s *Sidecar) follow(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	started := time.Now()
	for {
		changed := s.node.Changed()
		s.update(started)
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

func (s *Sidecar) update(started time.Time) {
	s.updateKeys()
	s.announceState(started)
	s.siblings.update(s.node.Service(s.cfg.Service), !s.leaving.Load() && s.upstream.Healthy())
	s.conn.SetBalancers(nearest(s.cfg.Identity, s.node.Balancers()))
}

func (s *Sidecar) updateKeys() {
	cfg := s.node.Configuration()
	if cfg == s.applied {
		return
	}
	s.applied = cfg
	set, err := keys.New(s.cfg.Secret, cfg)
	if err != nil {
		s.log.Error("keys-refused", "revision", cfg.Revision, "error", err.Error())
		return
	}
	s.conn.SetSealer(set.Sealer)
	s.ids.setCodec(set.Codec)
	s.node.SetInForce(cfg.Revision)
}

// announceState tells balancers whether the upstream may get new connections, and
// lets a new one's share grow slowly.
func (s *Sidecar) announceState(started time.Time) {
	if s.leaving.Load() {
		return
	}
	weight := warmWeight(time.Since(started))
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

func warmWeight(age time.Duration) float64 {
	step := 1 + int(age*warmUpSteps/warmUp)
	return float64(min(step, warmUpSteps)) / warmUpSteps
}

// maxReplyPaths is the number of balancers through which one sidecar answers.
const maxReplyPaths = 8

// nearest returns the tunnel addresses of the balancers that this sidecar answers
// through: all if they are few, else those that its identity's hash picks.
func nearest(identity string, balancers []member.ObservedRecord) []netip.AddrPort {
	list := service.TopRendezvous(identity, balancers, maxReplyPaths, func(o member.ObservedRecord) string { return o.Identity })
	var addrs []netip.AddrPort
	for _, b := range list {
		if b.State == member.StateReady {
			addrs = append(addrs, b.Tunnel)
		}
	}
	return addrs
}

// leave takes no new work, asks callers to go elsewhere, waits until the requests
// and feeds that are open have ended, and hands over what it knows of keys. One that
// is aborted does not say that it has left, so that others count it as lost.
func (s *Sidecar) leave(abort context.Context) error {
	if abort.Err() != nil {
		return nil
	}
	s.log.Info("sidecar-leaving")
	s.leaving.Store(true)
	s.node.UpdateSelf(func(r *member.Record) { r.State = member.StateLeaving })
	s.announcer.Announce()
	s.slots.SetLeaving()
	select {
	case <-time.After(leaveNotice):
	case <-abort.Done():
	}
	if err := s.front.Drain(abort); err != nil {
		s.log.Warn("sidecar-drain-aborted", "error", err.Error())
		return nil
	}
	s.slots.WaitIdle(abort)
	if err := s.dispatcher.handOver(abort); err != nil {
		s.log.Warn("sidecar-handover-failed", "error", err.Error())
		return nil
	}
	s.node.UpdateSelf(func(r *member.Record) { r.State = member.StateGone })
	s.announcer.Announce()
	s.log.Info("sidecar-ended")
	return nil
}

// connectionIDs makes connection IDs that lead back to this sidecar.
type connectionIDs struct {
	route quiclb.Route
	next  atomic.Uint32
	codec atomic.Pointer[quiclb.Codec]
}

func newConnectionIDs(addr netip.AddrPort, local tunnel.Endpoint, codec *quiclb.Codec) *connectionIDs {
	c := &connectionIDs{route: quiclb.Route{Addr: addr, ServiceTag: local.ServiceTag, Incarnation: local.Incarnation}}
	c.next.Store(rand.Uint32())
	c.codec.Store(codec)
	return c
}

func (c *connectionIDs) setCodec(codec *quiclb.Codec) { c.codec.Store(codec) }

// ConnectionID implements caller.ConnectionIDs.
func (c *connectionIDs) ConnectionID(dst []byte) {
	r := c.route
	r.Nonce = c.next.Add(1)
	c.codec.Load().Encode(dst, r)
}
