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

// Role is the kind of a registered process. Its value is part of the store key of an address.
type Role string

// The roles.
const (
	RoleBalancer Role = "balancers/"
	RoleSidecar  Role = "sidecars/"
)

const (
	keyPrefix = "greengagedyke/"
	// leaseTTL is how long an address stays in the store after the last renewal of its lease.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between renewals of a lease.
	renewInterval = 10 * time.Second
	// minBackoff is the largest delay before the first repeat of a failed call. The largest delay
	// doubles with each repeat. The actual delay is a random time between half and all of it, so that
	// processes do not call the store at the same time.
	minBackoff = 500 * time.Millisecond
	// maxBackoff is the delay up to which the largest delay doubles.
	maxBackoff = 4 * time.Second
	// pollInterval is the time between reads of all addresses from the store.
	pollInterval = 15 * time.Second
	// revokeTimeout limits the call that revokes the lease of a stopping process.
	revokeTimeout = 300 * time.Millisecond
)

// Store is the part of the platform's store that a Registry uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Value, platform.Position, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Value, error)
	GetStale(ctx context.Context, key string) (platform.Value, error)
	Write(ctx context.Context, t platform.Transaction) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, time.Duration, error)
	KeepAlive(ctx context.Context, lease platform.Lease) error
	Revoke(ctx context.Context, lease platform.Lease) error
}

// Registry registers addresses in the store and reads those of other processes.
type Registry struct {
	log   *slog.Logger
	store Store
}

// New returns a Registry that uses store.
func New(log *slog.Logger, store Store) *Registry { return &Registry{log: log, store: store} }

// KeepRegistered keeps an address in the store under a lease until ctx ends. If revokeOnStop then
// returns true, the address is removed at once; otherwise, it stays until the lease expires.
func (r *Registry) KeepRegistered(ctx context.Context, role Role, addr netip.AddrPort, revokeOnStop func() bool) {
	reachable := true
	var b backoff
	for ctx.Err() == nil {
		lease, err := r.register(ctx, role, addr)
		if err == nil {
			r.log.Info("registered", "address", addr.String(), "lease", uint64(lease))
			b.reset()
			err = r.renew(ctx, lease)
		}
		if ctx.Err() != nil && lease != 0 && revokeOnStop() {
			r.revoke(ctx, lease)
		}
		if ctx.Err() != nil {
			return
		}
		if reachable || errors.Is(err, platform.ErrNoLease) {
			r.log.Warn("registration-lost", "address", addr.String(), "error", err.Error())
		}
		reachable = err == nil || errors.Is(err, platform.ErrNoLease)
		if !reachable {
			b.wait(ctx)
		}
	}
}

// backoff computes the time between calls to a failing store.
type backoff struct {
	// step is the largest value of the last delay; 0 after a reset.
	step time.Duration
}

// reset makes the next delay start from minBackoff again.
func (b *backoff) reset() { b.step = 0 }

// nextDelay doubles step and returns a random time between half and all of it.
func (b *backoff) nextDelay() time.Duration {
	b.step = min(max(minBackoff, 2*b.step), maxBackoff)
	return b.step/2 + rand.N(b.step/2)
}

// wait sleeps for the next delay, or until ctx ends.
func (b *backoff) wait(ctx context.Context) { daemon.Sleep(ctx, b.nextDelay()) }

// revoke ends a lease, which removes its address from the store. ctx may have ended already.
func (r *Registry) revoke(ctx context.Context, lease platform.Lease) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.store.Revoke(ctx, lease); err != nil {
		r.log.Warn("registration-not-revoked", "lease", uint64(lease), "error", err.Error())
	}
}

// register writes an address to the store and returns its lease. If the address is still in the store
// from before a restart, register renews its lease without a write. This limits the load on the store
// when all processes restart at once after a power loss.
func (r *Registry) register(ctx context.Context, role Role, addr netip.AddrPort) (platform.Lease, error) {
	key := keyPrefix + string(role) + addr.String()
	previous, err := r.store.GetStale(ctx, key)
	switch {
	case err != nil && !errors.Is(err, platform.ErrNotFound):
		return 0, err
	case err == nil && previous.Lease != 0 && r.store.KeepAlive(ctx, previous.Lease) == nil:
		return previous.Lease, nil
	}
	lease, _, err := r.store.Grant(ctx, leaseTTL)
	if err != nil {
		return 0, err
	}
	_, err = r.store.Write(ctx, platform.Transaction{
		Puts: []platform.Put{{Key: key, Data: []byte{}, Lease: lease}},
	})
	return lease, err
}

// renew renews the lease regularly. It returns platform.ErrNoLease when the lease has expired, or
// the error of ctx when ctx has ended.
func (r *Registry) renew(ctx context.Context, lease platform.Lease) error {
	interval := renewInterval
	var b backoff
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
			interval = b.nextDelay()
		default:
			interval = renewInterval
			b.reset()
		}
	}
}

// Addresses are the registered addresses by role.
type Addresses struct {
	Balancers []netip.AddrPort
	Sidecars  []netip.AddrPort
}

// ReadBalancers calls handle once with the registered balancers, as soon as the store answers. The
// addresses may be some seconds out of date.
func (r *Registry) ReadBalancers(ctx context.Context, handle func([]netip.AddrPort)) {
	r.read(ctx, func(ctx context.Context) ([]platform.Value, error) {
		return r.store.ListStale(ctx, keyPrefix+string(RoleBalancer))
	}, func(a Addresses) { handle(a.Balancers) })
}

// PollAddresses reads all registered addresses at the start and then every pollInterval until ctx
// ends, and passes them to handle. All but the first addresses may be some seconds out of date.
// Between polls, balancers learn of new processes through gossip.
func (r *Registry) PollAddresses(ctx context.Context, handle func(Addresses)) {
	r.read(ctx, func(ctx context.Context) ([]platform.Value, error) {
		list, _, err := r.store.List(ctx, keyPrefix)
		return list, err
	}, handle)
	for daemon.Sleep(ctx, pollInterval); ctx.Err() == nil; daemon.Sleep(ctx, pollInterval) {
		r.read(ctx, func(ctx context.Context) ([]platform.Value, error) {
			return r.store.ListStale(ctx, keyPrefix)
		}, handle)
	}
}

// read calls list until it succeeds or ctx ends, and passes the addresses to handle.
func (r *Registry) read(ctx context.Context, list func(context.Context) ([]platform.Value, error), handle func(Addresses)) {
	var b backoff
	for ctx.Err() == nil {
		values, err := list(ctx)
		if err == nil {
			handle(parseAddresses(values))
			return
		}
		r.log.Warn("registry-not-read", "error", err.Error())
		b.wait(ctx)
	}
}

// parseAddresses extracts the addresses of both roles from the store's values.
func parseAddresses(list []platform.Value) Addresses {
	return Addresses{Balancers: addressesOf(list, RoleBalancer), Sidecars: addressesOf(list, RoleSidecar)}
}

// addressesOf extracts the addresses of one role. It skips deleted values and malformed keys.
func addressesOf(list []platform.Value, role Role) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, v := range list {
		text, ok := strings.CutPrefix(v.Key, keyPrefix+string(role))
		addr, err := netip.ParseAddrPort(text)
		if ok && err == nil && !v.Deleted {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}
