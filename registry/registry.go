package registry

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/daemon"
	"greengagedyke/platform"
)

// Role is what a process does; its addresses stand under a prefix of their own.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancers/"
	RoleSidecar  Role = "sidecars/"
)

const (
	prefix = "greengagedyke/"
	// leaseTime is how long an address stays in the store after its process ended.
	leaseTime    = 30 * time.Second
	keepInterval = 10 * time.Second
	// firstPause and lastPause are the times between calls to a store that fails; they
	// double, and vary so that processes do not call together.
	firstPause = 500 * time.Millisecond
	lastPause  = 4 * time.Second
	// readInterval is the time between reads of all addresses.
	readInterval = 15 * time.Second
	// revokeTimeout bounds the last call of a process that stops.
	revokeTimeout = 300 * time.Millisecond
)

// Store is what the registry needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Value, uint64, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Value, error)
	GetStale(ctx context.Context, key string) (platform.Value, error)
	Write(ctx context.Context, w platform.Transaction) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, time.Duration, error)
	KeepAlive(ctx context.Context, lease platform.Lease) error
	Revoke(ctx context.Context, lease platform.Lease) error
}

// Registry keeps an address in the store and reads those of others.
type Registry struct {
	log   *slog.Logger
	store Store
}

// New returns a registry in a store.
func New(log *slog.Logger, store Store) *Registry { return &Registry{log: log, store: store} }

// KeepRegistered holds an address in the store under a lease until ctx ends. It stands there for
// the rest of the lease, unless gone reports that nobody has to look for it.
func (r *Registry) KeepRegistered(ctx context.Context, role Role, addr netip.AddrPort, gone func() bool) {
	up := true
	var p pause
	for ctx.Err() == nil {
		lease, err := r.register(ctx, role, addr)
		if err == nil {
			r.log.Info("registered", "address", addr.String(), "lease", uint64(lease))
			p.reset()
			err = r.renew(ctx, lease)
		}
		if ctx.Err() != nil && lease != 0 && gone() {
			r.revoke(ctx, lease)
		}
		if ctx.Err() != nil {
			return
		}
		if up || errors.Is(err, platform.ErrNoLease) {
			r.log.Warn("registration-lost", "address", addr.String(), "error", err.Error())
		}
		up = err == nil || errors.Is(err, platform.ErrNoLease)
		if !up {
			p.wait(ctx)
		}
	}
}

// pause is the time between calls to a store that fails.
type pause struct {
	next time.Duration
}

func (p *pause) reset() { p.next = 0 }

// duration is the time until the next call, between the half and the whole of the step.
func (p *pause) duration() time.Duration {
	p.next = min(max(firstPause, 2*p.next), lastPause)
	return p.next/2 + rand.N(p.next/2)
}

func (p *pause) wait(ctx context.Context) { daemon.Sleep(ctx, p.duration()) }

// revoke takes an address out of the store.
func (r *Registry) revoke(ctx context.Context, lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		r.log.Warn("registration-not-ended", "lease", uint64(lease), "error", err.Error())
	}
}

// register puts an address into the store. If it stands there from a process before, its
// lease is taken over: after a loss of power all processes come back at once.
func (r *Registry) register(ctx context.Context, role Role, addr netip.AddrPort) (platform.Lease, error) {
	key := prefix + string(role) + addr.String()
	former, err := r.store.GetStale(ctx, key)
	switch {
	case err != nil && !errors.Is(err, platform.ErrNotFound):
		return 0, err
	case err == nil && former.Lease != 0 && r.store.KeepAlive(ctx, former.Lease) == nil:
		return former.Lease, nil
	}
	lease, _, err := r.store.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Write(ctx, platform.Transaction{
		Puts: []platform.Put{{Key: key, Data: []byte{}, Lease: lease}},
	})
	return lease, err
}

// renew renews the lease until it has ended.
func (r *Registry) renew(ctx context.Context, lease platform.Lease) error {
	interval := keepInterval
	var p pause
	for {
		daemon.Sleep(ctx, interval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := r.store.KeepAlive(ctx, lease)
		switch {
		case errors.Is(err, platform.ErrNoLease):
			return err
		case err != nil:
			interval = p.duration()
		default:
			interval = keepInterval
			p.reset()
		}
	}
}

// Addresses are the addresses that the store holds.
type Addresses struct {
	Balancers []netip.AddrPort
	Sidecars  []netip.AddrPort
}

// ReadBalancers calls found once with the addresses of balancers, as soon as the store
// answers. They may be some seconds old.
func (r *Registry) ReadBalancers(ctx context.Context, found func([]netip.AddrPort)) {
	r.read(ctx, func(ctx context.Context) ([]platform.Value, error) {
		return r.store.ListStale(ctx, prefix+string(RoleBalancer))
	}, func(f Addresses) { found(f.Balancers) })
}

// PollAddresses calls found with all addresses at once and then regularly, until ctx ends; the
// later ones may be some seconds old. In between balancers tell one another.
func (r *Registry) PollAddresses(ctx context.Context, found func(Addresses)) {
	r.read(ctx, func(ctx context.Context) ([]platform.Value, error) {
		list, _, err := r.store.List(ctx, prefix)
		return list, err
	}, found)
	for daemon.Sleep(ctx, readInterval); ctx.Err() == nil; daemon.Sleep(ctx, readInterval) {
		r.read(ctx, func(ctx context.Context) ([]platform.Value, error) {
			return r.store.ListStale(ctx, prefix)
		}, found)
	}
}

func (r *Registry) read(ctx context.Context, list func(context.Context) ([]platform.Value, error), found func(Addresses)) {
	var p pause
	for ctx.Err() == nil {
		values, err := list(ctx)
		if err == nil {
			found(foundIn(values))
			return
		}
		r.log.Warn("registry-not-read", "error", err.Error())
		p.wait(ctx)
	}
}

func foundIn(list []platform.Value) Addresses {
	return Addresses{Balancers: addresses(list, RoleBalancer), Sidecars: addresses(list, RoleSidecar)}
}

func addresses(list []platform.Value, role Role) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, v := range list {
		text, ok := strings.CutPrefix(v.Key, prefix+string(role))
		addr, err := netip.ParseAddrPort(text)
		if ok && err == nil && !v.Deleted {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
