package registry

import (
	"context"
	"log/slog"
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
	leaseTime    = 10 * time.Second
	keepInterval = 3 * time.Second
	// retryPause is the time between calls to a store that fails.
	retryPause = 500 * time.Millisecond
	// readInterval is the time between reads of all addresses.
	readInterval = 15 * time.Second
	// revokeTimeout bounds the last call of a process that stops.
	revokeTimeout = 300 * time.Millisecond
)

// Store is what the registry needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Value, uint64, error)
	Write(ctx context.Context, w platform.Write) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, time.Duration, error)
	Keep(ctx context.Context, lease platform.Lease) error
	Revoke(ctx context.Context, lease platform.Lease) error
}

// Registry keeps an address in the store and reads those of others.
type Registry struct {
	log   *slog.Logger
	store Store
}

// New returns a registry in a store.
func New(log *slog.Logger, store Store) *Registry { return &Registry{log: log, store: store} }

// Keep holds an address in the store under a lease until ctx ends. It stands there for
// the rest of the lease, unless gone reports that nobody has to look for it.
func (r *Registry) Keep(ctx context.Context, role Role, addr netip.AddrPort, gone func() bool) {
	up := true
	for ctx.Err() == nil {
		lease, err := r.register(ctx, role, addr)
		if err == nil {
			r.log.Info("registered", "address", addr.String(), "lease", uint64(lease))
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
			daemon.Pause(ctx, retryPause)
		}
	}
}

// revoke takes an address out of the store.
func (r *Registry) revoke(ctx context.Context, lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		r.log.Warn("registration-not-ended", "lease", uint64(lease), "error", err.Error())
	}
}

func (r *Registry) register(ctx context.Context, role Role, addr netip.AddrPort) (platform.Lease, error) {
	lease, _, err := r.store.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Write(ctx, platform.Write{
		Puts: []platform.Put{{Key: prefix + string(role) + addr.String(), Data: []byte{}, Lease: lease}},
	})
	return lease, err
}

// renew renews the lease until it has ended.
func (r *Registry) renew(ctx context.Context, lease platform.Lease) error {
	interval := keepInterval
	for {
		daemon.Pause(ctx, interval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := r.store.Keep(ctx, lease)
		switch {
		case errors.Is(err, platform.ErrNoLease):
			return err
		case err != nil:
			interval = retryPause
		default:
			interval = keepInterval
		}
	}
}

// Found are the addresses that the store holds.
type Found struct {
	Balancers []netip.AddrPort
	Sidecars  []netip.AddrPort
}

// ReadBalancers calls found once with the addresses of balancers, as soon as the store
// answers.
func (r *Registry) ReadBalancers(ctx context.Context, found func([]netip.AddrPort)) {
	r.read(ctx, prefix+string(RoleBalancer), func(f Found) { found(f.Balancers) })
}

// Follow calls found with all addresses at once and then regularly, until ctx ends. In
// between balancers tell one another.
func (r *Registry) Follow(ctx context.Context, found func(Found)) {
	for ctx.Err() == nil {
		r.read(ctx, prefix, found)
		daemon.Pause(ctx, readInterval)
	}
}

func (r *Registry) read(ctx context.Context, prefix string, found func(Found)) {
	for ctx.Err() == nil {
		list, _, err := r.store.List(ctx, prefix)
		if err == nil {
			found(foundIn(list))
			return
		}
		r.log.Warn("registry-not-read", "error", err.Error())
		daemon.Pause(ctx, retryPause)
	}
}

func foundIn(list []platform.Value) Found {
	return Found{Balancers: addresses(list, RoleBalancer), Sidecars: addresses(list, RoleSidecar)}
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
