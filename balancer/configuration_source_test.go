package balancer

import (
	"context"
	"log/slog"
	"net/netip"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/clock"
	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
	"greengagedyke/standin/store"
)

// sourceSite is a configurationSource with its store.
type sourceSite struct {
	t        *testing.T
	store    *store.Store
	source   *configurationSource
	registry metrics.Registry
	// version is the newest version that was applied.
	version atomic.Uint64
	// evacuated are the evacuations that were read last.
	evacuated atomic.Pointer[platform.EvacuatedDomains]
}

func newSourceSite(t *testing.T) *sourceSite {
	t.Helper()
	s, addr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	site := &sourceSite{t: t, store: s, registry: metrics.NewRegistry()}
	client, closeClient := platform.New(slog.New(slog.DiscardHandler), addr, site.registry)
	t.Cleanup(closeClient)
	self := netip.MustParseAddrPort("10.0.0.99:1")
	site.source = newConfigurationSource(slog.New(slog.DiscardHandler), client, self, clock.New(), site.apply, site.observe)
	return site
}

func (s *sourceSite) apply(cfg *flow.Configuration) bool {
	if cfg.Version <= s.version.Load() {
		return false
	}
	s.version.Store(cfg.Version)
	return true
}

func (s *sourceSite) observe(e platform.EvacuatedDomains) { s.evacuated.Store(&e) }

// write stores a configuration.
func (s *sourceSite) write(version int) {
	s.t.Helper()
	service := platform.ServiceRoute{Addr: netip.MustParseAddrPort("198.18.0.1:443"), Service: "core"}
	if _, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeOperatorConfiguration(version, service)}}); err != nil {
		s.t.Fatal(err)
	}
}

// watch runs the source until the test ends.
func (s *sourceSite) watch() {
	ctx, cancel := context.WithCancel(s.t.Context())
	done := make(chan struct{})
	go func() { s.source.watch(ctx); close(done) }()
	s.t.Cleanup(func() { cancel(); <-done })
}

// observeOthers passes gossip of other balancers to the source. They are so many that the source's
// balancer is not a watcher if all of them reach the store.
func (s *sourceSite) observeOthers(reached bool) {
	for i := range byte(activeCount + standbyCount) {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, i}), 1)
		l := &peer.Balancers{Version: s.version.Load(), Infos: []peer.BalancerInfo{{Addr: addr, StoreReachable: reached}}}
		s.source.observePeer(addr, l, s.version.Load())
	}
}

// await waits until a version has been applied.
func (s *sourceSite) await(version uint64) {
	s.t.Helper()
	for end := time.Now().Add(2 * time.Second); s.version.Load() < version; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("got version %d after 2 s, want %d", s.version.Load(), version)
		}
	}
}

// A balancer that is not a watcher does not call the store while the watchers reach it. When they
// lose the store, it reads the store at once.
func TestIdleBalancerDoesNotCallStore(t *testing.T) {
	s := newSourceSite(t)
	s.write(1)
	s.observeOthers(true)
	s.watch()
	s.await(1)
	time.Sleep(100 * time.Millisecond)
	calls := metrics.GetOrRegisterCounter("platform.calls", s.registry)
	before := calls.Count()
	s.write(2)
	time.Sleep(300 * time.Millisecond)
	if n := calls.Count() - before; n != 0 || s.version.Load() != 1 {
		t.Errorf("got %d calls and version %d while others watch, want no calls and version 1", n, s.version.Load())
	}
	s.observeOthers(false)
	s.await(2)
}

// A change that is written after the store came back from an older copy is applied, even if the store
// has passed the revision of the old watch by the time the balancer reaches the store again.
func TestChangeAfterRestoreIsMissed(t *testing.T) {
	s := newSourceSite(t)
	s.write(1)
	time.Sleep(100 * time.Millisecond) // so that the copy contains version 1
	taken := time.Now()
	s.writeOther(5)
	s.write(2)
	s.watch()
	s.await(2)
	s.store.SetFaults(store.Faults{Down: true})
	s.store.Restore(time.Since(taken))
	s.write(2)
	s.write(3)
	s.writeOther(10)
	s.store.SetFaults(store.Faults{})
	s.await(3)
}

// writeOther stores n values that are no configurations.
func (s *sourceSite) writeOther(n int) {
	s.t.Helper()
	for i := range n {
		if _, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{{Key: "other/" + strconv.Itoa(i)}}}); err != nil {
			s.t.Fatal(err)
		}
	}
}
