package registry

import (
	"context"
	"log/slog"
	"net/netip"
	"strings"
	"time"

	"greengagedyke/daemon"
	"greengagedyke/peer"
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
	// restoredKey is the key of the mark that the store was restored from an older copy recently.
	restoredKey = keyPrefix + "restored"
	// pollInterval is the time between reads of all addresses from the store.
	pollInterval = 15 * time.Second
)

// Store is the part of the platform's store that a Registry uses.
type Store interface {
	List(ctx context.Context, prefix string) ([]platform.Value, platform.Position, error)
	ListStale(ctx context.Context, prefix string) ([]platform.Value, error)
	Get(ctx context.Context, key string) (platform.Value, error)
	GetStale(ctx context.Context, key string) (platform.Value, error)
	Write(ctx context.Context, t platform.Transaction) (uint64, error)
	Grant(ctx context.Context, ttl time.Duration) (platform.Lease, time.Duration, error)
	KeepAlive(ctx context.Context, lease platform.Lease) error
	Revoke(ctx context.Context, lease platform.Lease) error
	// Era returns the newest era of the store that a response has named.
	Era() uint64
	// OnNewEra calls f when a newer era begins, until stop is called.
	OnNewEra(f func()) (stop func() bool)
}

// Registry registers addresses in the store and reads those of other processes.
type Registry struct {
	log   *slog.Logger
	store Store
}

// New returns a Registry that uses store.
func New(log *slog.Logger, store Store) *Registry { return &Registry{log: log, store: store} }

// Addresses are the registered addresses by role.
type Addresses struct {
	Balancers []netip.AddrPort
	Sidecars  []netip.AddrPort
	// Complete is set if all sidecars were registered in the store's current era, and no process has
	// found recently that the store was restored. Otherwise the store was restored from an older copy,
	// and sidecars that it has lost may not be registered again yet.
	Complete bool
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
			handle(parseAddresses(values, r.store.Era()))
			return
		}
		r.log.Warn("registry-not-read", "error", err.Error())
		b.wait(ctx)
	}
}

// parseAddresses extracts the addresses of both roles from the store's values. era is the store's era.
func parseAddresses(list []platform.Value, era uint64) Addresses {
	a := Addresses{Complete: true}
	for _, v := range list {
		if v.Key == restoredKey {
			a.Complete = false
		}
		if addr, ok := addressOf(&v, RoleBalancer); ok {
			a.Balancers = append(a.Balancers, addr)
		}
		if addr, ok := addressOf(&v, RoleSidecar); ok {
			a.Sidecars = append(a.Sidecars, addr)
			registered, _ := decodeEra(v.Data)
			a.Complete = a.Complete && registered == era
		}
	}
	return a
}

// addressOf extracts the address of one role from a value. It returns false for other values, deleted
// ones and those of other writers: their keys name no address that a process can have, or their values
// cannot be read.
func addressOf(v *platform.Value, role Role) (netip.AddrPort, bool) {
	text, ok := strings.CutPrefix(v.Key, keyPrefix+string(role))
	addr, err := netip.ParseAddrPort(text)
	_, readable := decodeEra(v.Data)
	return addr, ok && err == nil && !v.Deleted && readable && peer.IsUnicast(addr)
}
