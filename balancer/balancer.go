package balancer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/control"
	"greengagedyke/daemon"
	"greengagedyke/fabric"
	"greengagedyke/keys"
	"greengagedyke/member"
	"greengagedyke/operator"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/timeline"
)

const (
	// updateInterval is the time between looks at members that fell silent.
	updateInterval = 250 * time.Millisecond
	// storePause is the time between attempts to read a store that fails.
	storePause = time.Second
	// leaveNotice is how long a balancer that ends goes on to forward, so that
	// sidecars stop to answer through it.
	leaveNotice = 1500 * time.Millisecond
)

// Balancer is a running balancer.
type Balancer struct {
	cfg       *Settings
	log       *slog.Logger
	node      *control.Node
	announcer *control.Announcer
	forwarder *fabric.Forwarder
	keys      keys.Set
	applied   *service.Configuration
	tables    map[string]cachedTable
	// version is the version of the membership that is in force.
	version uint64
	// failed is set while a binding could not be put in force.
	failed bool
}

type cachedTable struct {
	candidates service.Candidates
	table      *service.Table
}

// Run runs a balancer. When ctx ends, the balancer leaves: it forwards until the
// sidecars answer through others, or until abort ends.
func Run(ctx, abort context.Context, log *slog.Logger, cfg *Settings, registry metrics.Registry) error {
	b := &Balancer{cfg: cfg, log: log.With("identity", cfg.Identity), tables: map[string]cachedTable{}}
	return errors.Wrap(b.run(ctx, abort, registry), "balancer.Run")
}

func (b *Balancer) run(ctx, abort context.Context, registry metrics.Registry) error {
	credentials, err := session.NewCredentials(b.cfg.Secret)
	if err != nil {
		return err
	}
	if b.keys, err = keys.New(b.cfg.Secret, &service.Configuration{}); err != nil {
		return err
	}
	forwarder, closeForwarder, err := fabric.New(b.log, fabric.NewCounters(registry), b.cfg.Tunnel, b.keys.Sealer)
	if err != nil {
		return err
	}
	defer closeForwarder()
	b.forwarder = forwarder
	ring := timeline.NewRing(b.cfg.Identity, timeline.NewClock(time.Now))
	b.node = control.NewNode(b.log, b.record(), ring)
	b.announcer = control.NewAnnouncer(b.log, b.node, credentials, b.cfg.Peers)
	sessions, err := net.Listen("tcp4", b.cfg.Control.String())
	if err != nil {
		return err
	}
	defer sessions.Close()
	api, err := net.Listen("tcp4", b.cfg.API.String())
	if err != nil {
		return err
	}
	defer api.Close()
	client, closeClient := platform.New(b.cfg.Store, registry)
	defer closeClient()
	store := platform.NewConfigurationStore(client)
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer daemon.StartAll(life, end,
		func(ctx context.Context) { session.Serve(ctx, b.log, sessions, credentials, b.node.Handle) },
		func(ctx context.Context) { b.watchStore(ctx, store) },
		func(ctx context.Context) {
			b.serveAPI(ctx, api, operator.New(b.log, store, b.node, b.queries(credentials), b.cfg.APIToken))
		},
		b.announce,
		b.follow,
	)()
	b.log.Info("balancer-started", "tunnel", forwarder.LocalAddr().String())
	<-ctx.Done()
	b.leave(abort)
	return nil
}

func (b *Balancer) record() member.Record {
	return member.Record{
		Role:          member.RoleBalancer,
		Identity:      b.cfg.Identity,
		Tunnel:        b.cfg.Tunnel,
		Control:       b.cfg.Control,
		FailureDomain: b.cfg.FailureDomain,
		State:         member.StateReady,
		Incarnation:   uint64(time.Now().UnixNano()),
	}
}

func (b *Balancer) announce(ctx context.Context) {
	done := make(chan struct{})
	b.announcer.Run(ctx, done)
}

// queries are what operators ask all processes.
func (b *Balancer) queries(credentials *session.Credentials) operator.Queries {
	return operator.Queries{
		RevisionStatus: func(ctx context.Context, revision uint64) control.Summary {
			return b.node.Collect(ctx, credentials, revision)
		},
		Events: func(ctx context.Context, f timeline.Filter) (timeline.Events, []string, error) {
			return b.node.Timeline(ctx, credentials, f)
		},
	}
}

// leave tells sidecars to answer through other balancers, and forwards until they do.
func (b *Balancer) leave(abort context.Context) {
	if abort.Err() != nil {
		return
	}
	b.log.Info("balancer-leaving")
	b.node.UpdateSelf(func(r *member.Record) { r.State = member.StateLeaving })
	daemon.Sleep(abort, leaveNotice)
	b.node.UpdateSelf(func(r *member.Record) { r.State = member.StateGone })
	b.announcer.Announce()
}

func (b *Balancer) serveAPI(ctx context.Context, ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		b.log.Error("api-failed", "error", err.Error())
	}
}

// watchStore takes in every configuration that the store holds, until ctx ends.
func (b *Balancer) watchStore(ctx context.Context, store *platform.ConfigurationStore) {
	for ctx.Err() == nil {
		if !b.node.IsStoreReader() {
			daemon.Sleep(ctx, storePause)
			continue
		}
		cfg, err := store.Watch(ctx, b.node.Configuration().Revision)
		switch {
		case err == nil:
			b.node.Adopt(cfg)
		case errors.Is(err, platform.ErrUnchanged):
		default:
			b.log.Debug("store-unavailable", "error", err.Error())
			daemon.Sleep(ctx, storePause)
		}
	}
}

// follow puts changes of configuration and membership in force until ctx ends.
func (b *Balancer) follow(ctx context.Context) {
	t := time.NewTicker(updateInterval)
	defer t.Stop()
	for {
		changed := b.node.Changed()
		b.node.DetectSilent(time.Now())
		b.apply()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

// apply puts the known configuration and membership in force if anything changed.
func (b *Balancer) apply() {
	cfg := b.node.Configuration()
	if cfg == b.applied && b.node.Version() == b.version && !b.failed {
		return
	}
	if cfg != b.applied && !b.renewKeys(cfg) {
		return
	}
	services, version := b.node.Services()
	changed := cfg != b.applied || b.failed
	var bindings fabric.Bindings
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		table, renewed := b.table(svc, services[svc.Name])
		changed = changed || renewed
		bindings = append(bindings, fabric.Binding{
			Address: b.bindAddress(svc),
			Decider: &fabric.Decider{Tag: svc.Tag(), Codec: b.keys.Codec, Table: table},
			Sealer:  b.keys.Sealer,
		})
	}
	b.applied = cfg
	b.version = version
	if !changed {
		return
	}
	err := b.forwarder.Apply(bindings, b.keys.Sealer)
	b.failed = err != nil
	if err != nil {
		b.log.Error("configuration-not-in-force", "revision", cfg.Revision, "error", err.Error())
		return
	}
	if b.node.InForce() != cfg.Revision {
		b.node.SetInForce(cfg.Revision)
		b.log.Info("configuration-in-force", "revision", cfg.Revision, "services", len(cfg.Services))
	}
}

func (b *Balancer) renewKeys(cfg *service.Configuration) bool {
	set, err := keys.New(b.cfg.Secret, cfg)
	if err != nil {
		b.log.Error("keys-refused", "revision", cfg.Revision, "error", err.Error())
		return false
	}
	b.keys = set
	return true
}

func (b *Balancer) bindAddress(svc *service.Service) netip.AddrPort {
	if b.cfg.ServiceIP.IsValid() {
		return netip.AddrPortFrom(b.cfg.ServiceIP, svc.Address.Port())
	}
	return svc.Address
}

// table returns the first-flight table of a service, computed again only when its
// candidates have changed.
func (b *Balancer) table(svc *service.Service, members []member.ObservedRecord) (*service.Table, bool) {
	var candidates service.Candidates
	for _, o := range members {
		if o.State != member.StateReady || o.Weight <= 0 || !svc.Upstreams.Allows(o.Identity, o.FailureDomain) {
			continue
		}
		candidates = append(candidates, service.Candidate{Addr: o.Tunnel, Incarnation: o.Incarnation, Weight: o.Weight})
	}
	old, ok := b.tables[svc.Name]
	if ok && candidates.Equal(old.candidates) {
		return old.table, false
	}
	table := service.NewTable(candidates)
	b.tables[svc.Name] = cachedTable{candidates: candidates, table: table}
	return table, true
}
