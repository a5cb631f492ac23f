package registry_test

import (
	"context"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/platform"
	"greengagedyke/registry"
	"greengagedyke/standin/store"
)

var (
	self  = netip.MustParseAddrPort("10.0.0.1:7720")
	other = netip.MustParseAddrPort("10.0.0.2:7720")
)

// newRegistry returns a registry in a new store.
func newRegistry(t *testing.T) (*registry.Registry, *store.Store) {
	t.Helper()
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := platform.New(addr, metrics.NewRegistry())
	t.Cleanup(closeClient)
	return registry.New(slog.New(slog.NewTextHandler(io.Discard, nil)), client), s
}

// keep holds an address until the returned function is called.
func keep(t *testing.T, reg *registry.Registry, role registry.Role, gone bool) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reg.KeepRegistered(ctx, role, self, func() bool { return gone })
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// An address stands in the store, and comes back after the store was away and its
// leases have lapsed.
func TestKeep(t *testing.T) {
	reg, s := newRegistry(t)
	keep(t, reg, registry.RoleBalancer, false)
	await(t, reg, true, func(f registry.Addresses) []netip.AddrPort { return f.Balancers })
	s.SetFaults(store.Faults{Down: true})
	s.EndLeases()
	s.SetFaults(store.Faults{})
	await(t, reg, true, func(f registry.Addresses) []netip.AddrPort { return f.Balancers })
}

// The address of a sidecar that stops stays in the store, since its upstream may hold
// flows, unless the upstream has ended as well.
func TestStoppedSidecar(t *testing.T) {
	sidecars := func(f registry.Addresses) []netip.AddrPort { return f.Sidecars }
	for _, gone := range []bool{false, true} {
		reg, _ := newRegistry(t)
		stop := keep(t, reg, registry.RoleSidecar, gone)
		await(t, reg, true, sidecars)
		stop()
		await(t, reg, !gone, sidecars)
	}
}

// await reads until the own address stands in the store, or no longer does.
func await(t *testing.T, reg *registry.Registry, wanted bool, among func(registry.Addresses) []netip.AddrPort) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		ctx, cancel := context.WithCancel(t.Context())
		var found registry.Addresses
		reg.PollAddresses(ctx, func(f registry.Addresses) { found = f; cancel() })
		if slices.Contains(among(found), self) == wanted {
			return
		}
	}
	t.Fatalf("the address is in the store: %v", !wanted)
}

// A balancer stays known as long as its own word is heard, by whomever; that others
// mention it does not keep it.
func TestKnown(t *testing.T) {
	now := time.Unix(100, 0)
	k := registry.NewKnownBalancers(self)
	if k.Observe(self, now, now) || !k.Observe(other, now, now) || k.Observe(other, now, now) {
		t.Error("which balancers are new")
	}
	heard := now.Add(30 * time.Second)
	for range 30 {
		now = now.Add(time.Second)
		k.Observe(other, heard.Add(-20*time.Second), now)
	}
	if lost := k.Expire(now); lost != nil || len(k.List()) != 1 || k.Age(other, now) != 20*time.Second {
		t.Errorf("lost %v, known %v, age %v", lost, k.List(), k.Age(other, now))
	}
	if lost := k.Expire(now.Add(30 * time.Second)); !slices.Equal(lost, []netip.AddrPort{other}) || len(k.List()) != 0 {
		t.Errorf("lost %v, known %v", lost, k.List())
	}
	if k.Observe(other, heard, now.Add(time.Hour)) {
		t.Error("an old word made a balancer known")
	}
}

// Some are at most as many as asked for, and any of those that are known.
func TestSome(t *testing.T) {
	now := time.Unix(100, 0)
	k := registry.NewKnownBalancers(self)
	seen := map[netip.AddrPort]bool{}
	for i := range byte(10) {
		k.Observe(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, i}), 7720), now, now)
	}
	for range 200 {
		some := k.Sample(3)
		if len(some) != 3 {
			t.Fatalf("%d balancers", len(some))
		}
		for _, addr := range some {
			seen[addr] = true
		}
	}
	if len(seen) != 10 {
		t.Errorf("only %d of 10 were ever picked", len(seen))
	}
}

// A process that is killed and starts again takes its lease over: the store sees no write.
// Once the lease has ended, the address is put there anew.
func TestRestartedProcessKeepsItsLease(t *testing.T) {
	balancers := func(f registry.Addresses) []netip.AddrPort { return f.Balancers }
	reg, s := newRegistry(t)
	stop := keep(t, reg, registry.RoleBalancer, false)
	await(t, reg, true, balancers)
	stop()
	before := s.Revision()
	stop = keep(t, reg, registry.RoleBalancer, false)
	time.Sleep(300 * time.Millisecond)
	if got := s.Revision(); got != before {
		t.Errorf("revision %d after a restart, want %d", got, before)
	}
	stop()
	s.EndLeases()
	keep(t, reg, registry.RoleBalancer, false)
	await(t, reg, true, balancers)
}

// Processes that find the store away call it more and more rarely.
func TestPausesGrow(t *testing.T) {
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	s.SetFaults(store.Faults{Down: true})
	metered := metrics.NewRegistry()
	client, closeClient := platform.New(addr, metered)
	t.Cleanup(closeClient)
	keep(t, registry.New(slog.New(slog.DiscardHandler), client), registry.RoleBalancer, false)
	time.Sleep(3 * time.Second)
	// The pauses are 0.25 to 0.5 s, 0.5 to 1 s, 1 to 2 s, 2 to 4 s.
	if n := metrics.GetOrRegisterCounter("platform.calls", metered).Count(); n < 3 || n > 4 {
		t.Errorf("%d calls in 3 s, want 3 or 4", n)
	}
}
