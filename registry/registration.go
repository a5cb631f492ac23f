package registry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/daemon"
	"greengagedyke/platform"
)

const (
	// leaseTTL is how long an address stays in the store after the last renewal of its lease.
	leaseTTL = 30 * time.Second
	// renewInterval is the time between renewals of a lease.
	renewInterval = 10 * time.Second
	// newEraDelay is the largest random delay before a lease is checked after a new era of the store
	// began, so that processes do not call the store at the same time.
	newEraDelay = 2 * time.Second
	// restoredTTL is how long the store has the mark that it was restored. By then, each running process
	// has noticed that and registered again.
	restoredTTL = renewInterval + newEraDelay
	// revokeTimeout limits the calls that revoke the lease of a stopping process.
	revokeTimeout = 300 * time.Millisecond
)

// registration is an address in the store and the lease that keeps it there.
type registration struct {
	key   string
	lease platform.Lease
	// era is the store's era in which the value under key was last known to have the lease. The ID of
	// a lease means nothing in a later era: it may have been granted again to another process.
	era uint64
}

// KeepRegistered keeps an address in the store under a lease until ctx ends. If revokeOnStop then
// returns true, the address is removed at once; otherwise, it stays until the lease expires.
func (r *Registry) KeepRegistered(ctx context.Context, role Role, addr netip.AddrPort, revokeOnStop func() bool) {
	reachable := true
	var b backoff
	var last registration // what was registered last
	for ctx.Err() == nil {
		reg := &registration{key: keyPrefix + string(role) + addr.String()}
		err := r.markNewEra(ctx, &last)
		if err == nil {
			err = r.register(ctx, reg)
		}
		if err == nil {
			last = *reg
			r.log.Info("registered", "address", addr.String(), "lease", uint64(reg.lease), "era", reg.era)
			b.reset()
			err = r.renew(ctx, reg)
		}
		if ctx.Err() != nil && reg.lease != 0 && revokeOnStop() {
			r.revoke(ctx, reg)
		}
		if ctx.Err() != nil {
			return
		}
		if reachable || errors.Is(err, platform.ErrNoLease) {
			r.log.Warn("registration-lost", "address", addr.String(), "era", r.store.Era(), "error", err.Error())
		}
		reachable = err == nil || errors.Is(err, platform.ErrNoLease)
		if !reachable {
			b.wait(ctx)
		}
	}
}

// revoke ends a lease, which removes its address from the store, if the lease still belongs to the
// address. ctx may have ended already.
func (r *Registry) revoke(ctx context.Context, reg *registration) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	_, err := r.readOwn(ctx, reg)
	if err == nil {
		err = r.store.Revoke(ctx, reg.lease)
	}
	if err != nil {
		r.log.Warn("registration-not-revoked", "lease", uint64(reg.lease), "error", err.Error())
	}
}

// register writes the address to the store under a new lease. If the address is still in the store
// from before a restart, register renews its lease without a write. This limits the load on the store
// when all processes restart at once after a power loss.
func (r *Registry) register(ctx context.Context, reg *registration) error {
	revision, err := r.takeOver(ctx, reg)
	if err != nil || reg.lease != 0 {
		return err
	}
	if reg.lease, _, err = r.store.Grant(ctx, leaseTTL); err != nil {
		return err
	}
	reg.era = r.store.Era()
	// The condition stops a write whose answer was lost from taking effect after a later one.
	_, err = r.store.Write(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: reg.key, Revision: revision}},
		Puts:       []platform.Put{{Key: reg.key, Data: encodeEra(reg.era), Lease: reg.lease}},
	})
	if err == nil && r.store.Era() != reg.era {
		return errors.WithMessage(platform.ErrNoLease, "the store was restored during a registration")
	}
	return err
}

// takeOver renews the lease that the address still has in the store, and sets the lease and era of
// reg. If that fails, the lease stays 0, and takeOver returns the revision of the address's value, 0 if
// there is none.
func (r *Registry) takeOver(ctx context.Context, reg *registration) (uint64, error) {
	previous, err := r.store.GetStale(ctx, reg.key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	era, ok := decodeEra(previous.Data)
	if !ok {
		return r.currentRevision(ctx, reg.key) // another writer's value, to be replaced
	}
	found := registration{key: reg.key, lease: previous.Lease, era: era}
	if err := r.markNewEra(ctx, &found); err != nil {
		return 0, err
	}
	err = r.store.KeepAlive(ctx, found.lease)
	if err == nil {
		err = r.confirm(ctx, &found)
	}
	if errors.Is(err, platform.ErrNoLease) {
		return r.currentRevision(ctx, reg.key)
	}
	if err == nil {
		*reg = found
	}
	return 0, err
}

// currentRevision returns the revision of a value, 0 if there is none.
func (r *Registry) currentRevision(ctx context.Context, key string) (uint64, error) {
	v, err := r.store.Get(ctx, key)
	if errors.Is(err, platform.ErrNotFound) {
		return 0, nil
	}
	return v.Revision, err
}

// confirm makes sure that the address is in the store under the lease, if a new era began since that
// was last known. The written value then names the new era, and the store
// has a mark that it was restored. It returns platform.ErrNoLease if the
// address is not there.
func (r *Registry) confirm(ctx context.Context, reg *registration) error {
	era := r.store.Era()
	if reg.era == era {
		return nil
	}
	if err := r.markNewEra(ctx, reg); err != nil {
		return err
	}
	v, err := r.readOwn(ctx, reg)
	if err != nil {
		return err
	}
	_, err = r.store.Write(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: reg.key, Revision: v.Revision}},
		Puts:       []platform.Put{{Key: reg.key, Data: encodeEra(era), Lease: reg.lease}},
	})
	if err != nil {
		return err
	}
	reg.era = era
	return nil
}

// markNewEra writes a mark that the store was restored if a new era has begun since reg was made, unless
// there is such a mark. The mark stays for restoredTTL. Processes that start meanwhile know from it that
// the store may have lost addresses.
func (r *Registry) markNewEra(ctx context.Context, reg *registration) error {
	era := r.store.Era()
	if reg.lease == 0 || reg.era == era {
		return nil
	}
	_, err := r.store.Get(ctx, restoredKey)
	if err == nil || !errors.Is(err, platform.ErrNotFound) {
		return err
	}
	lease, _, err := r.store.Grant(ctx, restoredTTL)
	if err != nil {
		return err
	}
	_, err = r.store.Write(ctx, platform.Transaction{
		Conditions: []platform.Condition{{Key: restoredKey}},
		Puts:       []platform.Put{{Key: restoredKey, Data: encodeEra(era), Lease: lease}},
	})
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return nil // another process was first
	}
	return err
}

// readOwn returns the value of the address. It returns platform.ErrNoLease if there is none or it has
// another lease.
func (r *Registry) readOwn(ctx context.Context, reg *registration) (platform.Value, error) {
	v, err := r.store.Get(ctx, reg.key)
	if errors.Is(err, platform.ErrNotFound) || err == nil && v.Lease != reg.lease {
		return v, errors.WithMessage(platform.ErrNoLease, "the address is not in the store under its lease")
	}
	return v, err
}

// renew renews the lease regularly, and confirms the registration in each new era. It returns
// platform.ErrNoLease when the lease has expired or the address is gone, or the error of ctx when ctx
// has ended.
func (r *Registry) renew(ctx context.Context, reg *registration) error {
	interval := renewInterval
	var b backoff
	for {
		r.sleep(ctx, interval)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		err := r.store.KeepAlive(ctx, reg.lease)
		if err == nil {
			err = r.confirm(ctx, reg)
		}
		switch {
		case errors.Is(err, platform.ErrNoLease):
			return err
		case err != nil:
			interval = b.nextDelay()
		case reg.era != r.store.Era():
			interval = rand.N(newEraDelay)
		default:
			interval = renewInterval
			b.reset()
		}
	}
}

// sleep waits for d or until ctx ends. If a new era of the store begins meanwhile, it waits at most
// newEraDelay longer.
func (r *Registry) sleep(ctx context.Context, d time.Duration) {
	era := r.store.Era()
	eraCtx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	stop := r.store.OnNewEra(cancel)
	defer stop()
	<-eraCtx.Done()
	if r.store.Era() != era {
		daemon.Sleep(ctx, rand.N(newEraDelay))
	}
}

// encodeEra returns the value of an address that was registered in an era.
func encodeEra(era uint64) []byte { return strconv.AppendUint(nil, era, 10) }

// decodeEra returns the era in which an address was registered: 0 if its value is empty. It returns
// false for a value that no process writes.
func decodeEra(data []byte) (uint64, bool) {
	if len(data) == 0 {
		return 0, true
	}
	era, err := strconv.ParseUint(string(data), 10, 64)
	return era, err == nil
}
