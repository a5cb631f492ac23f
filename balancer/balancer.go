package balancer

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"slices"
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
	// updateInterval is the time between checks for members that stopped announcing themselves.
	updateInterval = 250 * time.Millisecond
	// storeRetryInterval is the time between attempts to read a failing store, and between checks
	// whether this balancer is one of those that read the store.
	storeRetryInterval = time.Second
	// drainTime is how long a leaving balancer keeps forwarding, so that sidecars have time to
	// switch to answering through other balancers.
	drainTime = 1500 * time.Millisecond
)

// Balancer forwards QUIC datagrams from callers to sidecars, and exchanges configuration and
// membership with the other processes.
type Balancer struct {
	cfg       *Settings
	log       *slog.Logger
	node      *control.Node
	announcer *control.Announcer
	forwarder *fabric.Forwarder
	keys      keys.Set
	// applied is the configuration that apply handled last.
	applied *service.Configuration
	// tables holds the first-flight table of each service by the service's name.
	tables map[string]cachedTable
	// viewVersion is the version of the membership view that apply handled last.
	viewVersion uint64
	// applyFailed is set if the last attempt to apply the bindings failed; apply then retries.
	applyFailed bool
}

// cachedTable is the first-flight table of a service, with the sidecars that it was built from. The
// table assigns a sidecar to each connection ID that a caller may choose for a new connection.
type cachedTable struct {
	candidates service.Candidates
	table      *service.Table
	// evacuated is set if there are sidecars that accept new connections, but only in evacuated failure
	// domains.
	evacuated bool
}

// Run runs a balancer until ctx ends. The balancer then announces that it is leaving and keeps
// forwarding for drainTime, or until abort ends.
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
	b.node = control.NewNode(b.log, b.selfRecord(), ring)
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
	client, closeClient := platform.New(b.log, b.cfg.Store, registry)
	defer closeClient()
	store := operator.NewConfigurationStore(client)
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer daemon.StartAll(runCtx, stop,
		func(ctx context.Context) { session.Serve(ctx, b.log, sessions, credentials, b.node.Handle) },
		func(ctx context.Context) { b.watchStore(ctx, store) },
		func(ctx context.Context) {
			b.serveAPI(ctx, api, operator.New(b.log, store, b.node, b.queries(credentials), b.cfg.APIToken))
		},
		b.announce,
		b.applyChanges,
	)()
	b.log.Info("balancer-started", "tunnel", forwarder.LocalAddr().String())
	<-ctx.Done()
	b.leave(abort)
	return nil
}

// selfRecord returns the record that this balancer announces.
func (b *Balancer) selfRecord() member.Record {
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

// announce sends announcements until ctx ends.
func (b *Balancer) announce(ctx context.Context) {
	done := make(chan struct{})
	b.announcer.Run(ctx, done)
}

// queries returns the operator queries whose answers are collected from all processes.
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

// leave announces StateLeaving, keeps forwarding for drainTime or until abort ends, and announces
// StateGone. It returns at once if abort has ended already.
func (b *Balancer) leave(abort context.Context) {
	if abort.Err() != nil {
		return
	}
	b.log.Info("balancer-leaving")
	b.node.UpdateSelf(func(r *member.Record) { r.State = member.StateLeaving })
	daemon.Sleep(abort, drainTime)
	b.node.UpdateSelf(func(r *member.Record) { r.State = member.StateGone })
	b.announcer.Announce(abort)
}

// serveAPI serves the resource API until ctx ends.
func (b *Balancer) serveAPI(ctx context.Context, ln net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		b.log.Error("api-failed", "error", err.Error())
	}
}

// watchStore makes the node adopt every configuration that is written to the store, until ctx ends. It
// writes the node's configuration to a store that has lost it. Only some balancers of each failure
// domain, its store readers, watch the store.
func (b *Balancer) watchStore(ctx context.Context, store *operator.ConfigurationStore) {
	var stored uint64 // the revision in the store
	for ctx.Err() == nil {
		if !b.node.IsStoreReader() {
			daemon.Sleep(ctx, storeRetryInterval)
			continue
		}
		cfg, err := store.Watch(ctx)
		switch {
		case err == nil:
			b.node.Adopt(cfg)
			stored = cfg.Revision
		case errors.Is(err, platform.ErrUnchanged):
		default:
			b.log.Debug("store-unavailable", "error", err.Error())
			daemon.Sleep(ctx, storeRetryInterval)
			continue
		}
		// Also without a change: another process may have passed a lost configuration on meanwhile.
		b.writeLost(ctx, store, stored)
	}
}

// writeLost writes the node's configuration to the store again if the store came back from a copy
// without it. stored is the revision in the store. writeLost tries until it succeeds, another process
// has written a configuration, or ctx ends.
func (b *Balancer) writeLost(ctx context.Context, store *operator.ConfigurationStore, stored uint64) {
	for ctx.Err() == nil {
		cfg := b.node.Configuration()
		if stored >= cfg.Revision || !store.RestoredSince(cfg.Revision) {
			return
		}
		err := store.WriteAgain(ctx, cfg, stored)
		b.log.Warn("configuration-written-again", "revision", cfg.Revision, "stored", stored, "error", daemon.ErrorText(err))
		if err == nil || errors.As(err, new(*platform.ConflictError)) {
			return
		}
		daemon.Sleep(ctx, storeRetryInterval)
	}
}

// applyChanges applies changes of configuration and membership until ctx ends.
func (b *Balancer) applyChanges(ctx context.Context) {
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

// apply passes the known configuration and membership to the forwarder if either has changed, or
// if the last attempt failed.
func (b *Balancer) apply() {
	cfg := b.node.Configuration()
	if cfg == b.applied && b.node.Version() == b.viewVersion && !b.applyFailed {
		return
	}
	if cfg != b.applied && !b.updateKeys(cfg) {
		return
	}
	services, version := b.node.Services()
	changed := cfg != b.applied || b.applyFailed
	var bindings fabric.Bindings
	for i := range cfg.Services {
		svc := &cfg.Services[i]
		table, rebuilt := b.tableFor(svc, services[svc.Name], cfg.EvacuatedDomains)
		changed = changed || rebuilt
		bindings = append(bindings, fabric.Binding{
			Address: b.bindAddress(svc),
			Decider: &fabric.Decider{Tag: svc.Tag(), Codec: b.keys.Codec, Table: table.table, Evacuated: table.evacuated},
			Sealer:  b.keys.Sealer,
		})
	}
	b.applied = cfg
	b.viewVersion = version
	if !changed {
		return
	}
	err := b.forwarder.Apply(bindings, b.keys.Sealer)
	b.node.SetEvacuated(cfg.EvacuatedDomains, cfg.Revision) // also if an address could not be bound
	b.applyFailed = err != nil
	if err != nil {
		b.log.Error("configuration-not-in-force", "revision", cfg.Revision, "error", err.Error())
		return
	}
	if b.node.InForce() != cfg.Revision {
		b.node.SetInForce(cfg.Revision)
		b.log.Info("configuration-in-force", "revision", cfg.Revision, "services", len(cfg.Services))
	}
}

// updateKeys derives the keys for a configuration and reports whether that succeeded.
func (b *Balancer) updateKeys(cfg *service.Configuration) bool {
	set, err := keys.New(b.cfg.Secret, cfg)
	if err != nil {
		b.log.Error("keys-refused", "revision", cfg.Revision, "error", err.Error())
		return false
	}
	b.keys = set
	return true
}

// bindAddress returns the address on which this balancer receives a service's datagrams.
func (b *Balancer) bindAddress(svc *service.Service) netip.AddrPort {
	if b.cfg.ServiceIP.IsValid() {
		return netip.AddrPortFrom(b.cfg.ServiceIP, svc.Address.Port())
	}
	return svc.Address
}

// tableFor returns the first-flight table of a service and reports whether it was rebuilt. It is
// rebuilt only if the sidecars that accept new connections, or their weights, have changed.
func (b *Balancer) tableFor(svc *service.Service, members []member.ObservedRecord, evacuatedDomains []string) (cachedTable, bool) {
	candidates, evacuated := candidatesOf(svc, members, evacuatedDomains)
	old, ok := b.tables[svc.Name]
	if evacuated != old.evacuated {
		b.log.Warn("service-evacuated", "service", svc.Name, "evacuated", evacuated)
	}
	if ok && candidates.Equal(old.candidates) && evacuated == old.evacuated {
		return old, false
	}
	t := cachedTable{candidates: candidates, table: service.NewTable(candidates), evacuated: evacuated}
	b.tables[svc.Name] = t
	return t, true
}

// candidatesOf returns the sidecars of a service that may get new connections. If there are none
// because all of them are in evacuated failure domains, evacuated is set.
func candidatesOf(svc *service.Service, members []member.ObservedRecord, evacuatedDomains []string) (candidates service.Candidates, evacuated bool) {
	for _, o := range members {
		if o.State != member.StateReady || o.Weight <= 0 || !svc.Upstreams.Allows(o.Identity, o.FailureDomain) {
			continue
		}
		if slices.Contains(evacuatedDomains, o.FailureDomain) {
			evacuated = true
			continue
		}
		candidates = append(candidates, service.Candidate{Addr: o.Tunnel, Incarnation: o.Incarnation, Weight: o.Weight})
	}
	return candidates, evacuated && len(candidates) == 0
}
