package registry_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/netip"
	"slices"
	"strings"
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

// newRegistry returns a Registry with a new store.
func newRegistry(t *testing.T) (*registry.Registry, *store.Store) {
	t.Helper()
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	client, closeClient := platform.New(slog.New(slog.DiscardHandler), addr, metrics.NewRegistry())
	t.Cleanup(closeClient)
	return registry.New(slog.New(slog.NewTextHandler(io.Discard, nil)), client), s
}

// keepRegistered keeps the address self registered until the returned function is called. revoke is
// the result of revokeOnStop.
func keepRegistered(t *testing.T, reg *registry.Registry, role registry.Role, revoke bool) func() {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		reg.KeepRegistered(ctx, role, self, func() bool { return revoke })
	}()
	stop := func() { cancel(); <-done }
	t.Cleanup(stop)
	return stop
}

// An address is registered again after the store was unavailable and the lease has expired.
func TestKeepRegistered(t *testing.T) {
	reg, s := newRegistry(t)
	keepRegistered(t, reg, registry.RoleBalancer, false)
	await(t, reg, true, func(a registry.Addresses) []netip.AddrPort { return a.Balancers })
	s.SetFaults(store.Faults{Down: true})
	s.EndLeases()
	s.SetFaults(store.Faults{})
	await(t, reg, true, func(a registry.Addresses) []netip.AddrPort { return a.Balancers })
}

// The address of a stopped sidecar stays in the store, since its upstream may still hold flows. It is
// removed only if the upstream has ended as well.
func TestStoppedSidecar(t *testing.T) {
	sidecars := func(a registry.Addresses) []netip.AddrPort { return a.Sidecars }
	for _, revoke := range []bool{false, true} {
		reg, _ := newRegistry(t)
		stop := keepRegistered(t, reg, registry.RoleSidecar, revoke)
		await(t, reg, true, sidecars)
		stop()
		await(t, reg, !revoke, sidecars)
	}
}

// registeredWithin is how long a lost registration may take to come back: the 10 s until the lease is
// renewed, and 2 s for the new registration.
const registeredWithin = 12 * time.Second

// await polls the store until the address self is registered, or not registered if want is false.
func await(t *testing.T, reg *registry.Registry, want bool, list func(registry.Addresses) []netip.AddrPort) {
	t.Helper()
	for end := time.Now().Add(registeredWithin); time.Now().Before(end); time.Sleep(300 * time.Millisecond) {
		ctx, cancel := context.WithCancel(t.Context())
		var found registry.Addresses
		reg.PollAddresses(ctx, func(a registry.Addresses) { found = a; cancel() })
		if slices.Contains(list(found), self) == want {
			return
		}
	}
	t.Fatalf("got address registered %v after %v, want %v", !want, registeredWithin, want)
}

// A balancer expires a fixed time after its last message, even if others go on relaying older infos
// about the balancer.
func TestKnownBalancers(t *testing.T) {
	now := time.Unix(100, 0)
	k := registry.NewKnownBalancers(self)
	if k.Observe(self, now, now) || !k.Observe(other, now, now) || k.Observe(other, now, now) {
		t.Error("got a wrong result of Observe: want true only for the first observation of another balancer")
	}
	lastSeen := now.Add(30 * time.Second)
	for range 30 {
		now = now.Add(time.Second)
		k.Observe(other, lastSeen.Add(-20*time.Second), now)
	}
	if expired := k.Expire(now); expired != nil || len(k.List()) != 1 || k.Age(other, now) != 20*time.Second {
		t.Errorf("got expired %v, known %v, age %v, want none expired, one known, age 20 s", expired, k.List(), k.Age(other, now))
	}
	if expired := k.Expire(now.Add(30 * time.Second)); !slices.Equal(expired, []netip.AddrPort{other}) || len(k.List()) != 0 {
		t.Errorf("got expired %v, known %v, want expired %v, none known", expired, k.List(), other)
	}
	if k.Observe(other, lastSeen, now.Add(time.Hour)) {
		t.Error("an observation from an hour ago added a balancer")
	}
}

// A sample has the requested size, and every known balancer is sampled sooner or later.
func TestSample(t *testing.T) {
	now := time.Unix(100, 0)
	k := registry.NewKnownBalancers(self)
	seen := map[netip.AddrPort]bool{}
	for i := range byte(10) {
		k.Observe(netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 1, i}), 7720), now, now)
	}
	for range 200 {
		sample := k.Sample(3)
		if len(sample) != 3 {
			t.Fatalf("got %d balancers, want 3", len(sample))
		}
		for _, addr := range sample {
			seen[addr] = true
		}
	}
	if len(seen) != 10 {
		t.Errorf("got %d balancers in 200 samples, want all 10", len(seen))
	}
}

// A restarted process reuses its lease without a write to the store. Once the lease has expired, the
// process registers its address again.
func TestRestartedProcessReusesLease(t *testing.T) {
	balancers := func(a registry.Addresses) []netip.AddrPort { return a.Balancers }
	reg, s := newRegistry(t)
	stop := keepRegistered(t, reg, registry.RoleBalancer, false)
	await(t, reg, true, balancers)
	stop()
	before := s.Revision()
	stop = keepRegistered(t, reg, registry.RoleBalancer, false)
	time.Sleep(300 * time.Millisecond)
	if got := s.Revision(); got != before {
		t.Errorf("got revision %d after a restart, want %d", got, before)
	}
	stop()
	s.EndLeases()
	keepRegistered(t, reg, registry.RoleBalancer, false)
	await(t, reg, true, balancers)
}

// Another writer left odd entries among those of the processes. They name no address that a process
// registered, and the others are still read: issue 27, reports of other operators, and issue 30.
func TestOddEntries(t *testing.T) {
	reg, s := newRegistry(t)
	keepRegistered(t, reg, registry.RoleSidecar, false)
	for _, key := range []string{
		"", "x", "10.0.0.1", "10.0.0.1:65536", "10.0.0.1:-1", "10.0.0.1:0", "0.0.0.0:1", "224.0.0.1:1", "[::1]:1", "256.0.0.1:1",
		"10.0.0.1:99999999999999999999", "a/b/c/d", "10.0.0.1:1/x", "\x00\xff",
	} {
		for i, data := range []string{"", "\xff", strings.Repeat("[", 20_000), "99999999999999999999", "-1", `{"era":{}}`} {
			puts := []platform.Put{{Key: "greengagedyke/sidecars/" + key, Data: []byte(data)}}
			if data != "" {
				puts = append(puts, platform.Put{Key: fmt.Sprintf("greengagedyke/sidecars/10.0.0.2:%d", i), Data: []byte(data)})
			}
			if _, _, err := s.Write(platform.Transaction{Puts: puts}); err != nil {
				t.Fatal(err)
			}
		}
	}
	await(t, reg, true, func(a registry.Addresses) []netip.AddrPort {
		if len(a.Sidecars) > 1 {
			t.Fatalf("got sidecars %v, want no others than %v", a.Sidecars, self)
		}
		return a.Sidecars
	})
}

// The time between calls to an unavailable store grows.
func TestBackoff(t *testing.T) {
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	s.SetFaults(store.Faults{Down: true})
	metricsRegistry := metrics.NewRegistry()
	client, closeClient := platform.New(slog.New(slog.DiscardHandler), addr, metricsRegistry)
	t.Cleanup(closeClient)
	keepRegistered(t, registry.New(slog.New(slog.DiscardHandler), client), registry.RoleBalancer, false)
	time.Sleep(3 * time.Second)
	// The times between calls are 0.25 to 0.5 s, 0.5 to 1 s, 1 to 2 s and 2 to 4 s.
	if n := metrics.GetOrRegisterCounter("platform.calls", metricsRegistry).Count(); n < 3 || n > 4 {
		t.Errorf("got %d calls in 3 s, want 3 or 4", n)
	}
}

// After the store came back from an older copy, the ID of a lost lease may be granted again. The
// process that lost the lease registers again, and does not revoke the other process's lease.
func TestLeaseGrantedAgainAfterRestore(t *testing.T) {
	balancers := func(a registry.Addresses) []netip.AddrPort { return a.Balancers }
	reg, s := newRegistry(t)
	time.Sleep(50 * time.Millisecond)
	taken := time.Now()
	stop := keepRegistered(t, reg, registry.RoleBalancer, true)
	await(t, reg, true, balancers)
	s.Restore(time.Since(taken))
	lease, _ := s.Grant(time.Minute) // as for another process; the ID is the same as before
	if _, _, err := s.Write(platform.Transaction{Puts: []platform.Put{{Key: "greengagedyke/sidecars/" + other.String(), Lease: lease}}}); err != nil {
		t.Fatal(err)
	}
	await(t, reg, true, balancers)
	stop()
	await(t, reg, false, balancers)
	if err := s.KeepAlive(lease); err != nil {
		t.Errorf("got %v for the lease of the other process, want it unchanged", err)
	}
}

// A process that stops before it has noticed that its lease was lost and granted again does not
// revoke the lease of the other process.
func TestStopRevokesLeaseOfAnother(t *testing.T) {
	reg, s := newRegistry(t)
	time.Sleep(50 * time.Millisecond)
	taken := time.Now()
	stop := keepRegistered(t, reg, registry.RoleSidecar, true)
	await(t, reg, true, func(a registry.Addresses) []netip.AddrPort { return a.Sidecars })
	s.Restore(time.Since(taken))
	lease, _ := s.Grant(time.Minute)
	stop()
	if err := s.KeepAlive(lease); err != nil {
		t.Errorf("got %v for the lease of the other process, want it unchanged", err)
	}
}

// The store came back from an older copy that lacks a sidecar, which is down for the moment. All others
// register in the new era, but the list does not count as complete while a running process may be
// missing: soak seed 4110, docs/incidents/restored-store.md.
func TestRestoredListCountsAsComplete(t *testing.T) {
	t.Parallel()
	reg, s := newRegistry(t)
	read := func() (found registry.Addresses) {
		ctx, cancel := context.WithCancel(t.Context())
		reg.PollAddresses(ctx, func(a registry.Addresses) { found = a; cancel() })
		return found
	}
	keepRegistered(t, reg, registry.RoleSidecar, false)
	await(t, reg, true, func(a registry.Addresses) []netip.AddrPort { return a.Sidecars })
	if a := read(); !a.Complete {
		t.Errorf("got %+v before the restore, want it complete", a)
	}
	time.Sleep(50 * time.Millisecond)
	s.Restore(20 * time.Millisecond)
	restored := time.Now()
	for end := restored.Add(2 * registeredWithin); ; time.Sleep(300 * time.Millisecond) {
		a := read()
		if len(a.Sidecars) != 1 {
			t.Fatalf("got sidecars %v, want one", a.Sidecars)
		}
		if a.Complete && time.Since(restored) < registeredWithin {
			t.Fatalf("the list is complete %v after the restore, want %v to pass", time.Since(restored), registeredWithin)
		}
		if a.Complete {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("the list is not complete after %v", 2*registeredWithin)
		}
	}
}

// A registration whose answer was lost and that is executed only later does not replace the lease of
// the registration after it, which is the one that is renewed.
func TestLateRegistrationReplacesLease(t *testing.T) {
	reg, s := newRegistry(t)
	const late = 2 * time.Second
	s.SetFaults(store.Faults{LoseAnswers: 1, Late: late})
	keepRegistered(t, reg, registry.RoleSidecar, false)
	await(t, reg, true, func(a registry.Addresses) []netip.AddrPort { return a.Sidecars })
	key := "greengagedyke/sidecars/" + self.String()
	before, err := s.Get(key)
	if err != nil {
		t.Fatal(err)
	}
	time.Sleep(late)
	if after, err := s.Get(key); err != nil || after.Lease != before.Lease {
		t.Errorf("got lease %d, %v after the late write, want %d", after.Lease, err, before.Lease)
	}
}
