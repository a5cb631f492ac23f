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

const (
	prefix = "greengagedyke/balancers/"
	// leaseTime is how long an address stays in the store after its process ended.
	leaseTime    = 10 * time.Second
	keepInterval = 3 * time.Second
	// retryPause is the time between calls to a store that fails.
	retryPause = 500 * time.Millisecond
	// readInterval is the time between reads of all addresses.
	readInterval = 15 * time.Second
)

// Store is what the registry needs of the platform's store.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Value, uint64, error)
	Write(ctx context.Context, w platform.Write) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, time.Duration, error)
	Keep(ctx context.Context, lease platform.Lease) error
}

// Registry keeps an address in the store and reads those of others.
type Registry struct {
	log   *slog.Logger
	store Store
	// found is called with the addresses that the store holds.
	found func(addrs []netip.AddrPort)
}

// New returns a registry. found is called with addresses that stand in the store.
func New(log *slog.Logger, store Store, found func([]netip.AddrPort)) *Registry {
	return &Registry{log: log, store: store, found: found}
}

// Keep holds an address in the store under a lease until ctx ends.
func (r *Registry) Keep(ctx context.Context, addr netip.AddrPort) {
	up := true
	for ctx.Err() == nil {
		lease, err := r.register(ctx, addr)
		if err == nil {
			r.log.Info("balancer-registered", "address", addr.String(), "lease", uint64(lease))
			err = r.renew(ctx, lease)
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

func (r *Registry) register(ctx context.Context, addr netip.AddrPort) (platform.Lease, error) {
	lease, _, err := r.store.Grant(ctx, leaseTime)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Write(ctx, platform.Write{
		Puts: []platform.Put{{Key: prefix + addr.String(), Data: []byte{}, Lease: lease}},
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

// Read calls found once with the addresses in the store, as soon as it answers.
func (r *Registry) Read(ctx context.Context) {
	for ctx.Err() == nil {
		list, _, err := r.store.List(ctx, prefix)
		if err == nil {
			r.found(addresses(list))
			return
		}
		r.log.Warn("balancers-not-read", "error", err.Error())
		daemon.Pause(ctx, retryPause)
	}
}

// Follow calls found with the addresses in the store at once and then regularly, until
// ctx ends. In between balancers tell one another.
func (r *Registry) Follow(ctx context.Context) {
	for ctx.Err() == nil {
		r.Read(ctx)
		daemon.Pause(ctx, readInterval)
	}
}

func addresses(list []platform.Value) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, v := range list {
		addr, err := netip.ParseAddrPort(strings.TrimPrefix(v.Key, prefix))
		if err == nil && !v.Deleted {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
