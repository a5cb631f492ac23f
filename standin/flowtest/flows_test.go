package flowtest_test

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/balancer"
	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
	"greengagedyke/sidecar"
	"greengagedyke/standin/block"
	"greengagedyke/standin/flowtest"
	"greengagedyke/standin/store"
)

const (
	kindBalancer = 1 + iota
	kindSidecar
	kindCaller

	packetsPort  = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	appPort      = 8165
	tunnelPort   = 7720
	storePort    = 9000
	core         = "rota-core"
	patience     = 10 * time.Second
)

var coreAddr = netip.MustParseAddrPort("198.18.0.1:443")

// daemon is a balancer or sidecar that runs in this process.
type daemon struct {
	stop, kill context.CancelFunc
	done       chan error
}

// site is a small deployment: two balancers and three sidecars with their upstreams.
type site struct {
	t         *testing.T
	block     block.AddressBlock
	store     *store.Store
	callers   *flowtest.Callers
	balancers [2]*daemon
	sidecars  [3]*daemon
	upstreams [3]*flowtest.Upstream
	stops     [3]func()
	logs      logs
}

func newSite(t *testing.T) *site {
	t.Helper()
	b, release, err := block.Reserve()
	check(t, err)
	t.Cleanup(release)
	s := &site{t: t, block: b}
	var stop func()
	s.store, _, stop, err = store.Start(b.Addr(0, 2, storePort))
	check(t, err)
	t.Cleanup(stop)
	s.configure(1, core)
	for i := range s.balancers {
		s.startBalancer(i)
	}
	for i := range s.sidecars {
		s.startSidecar(i)
		s.startUpstream(i, fmt.Sprintf("i-%d", i))
	}
	t.Cleanup(s.close)
	router, stopRouter := flowtest.StartRouter([]flowtest.RouterTarget{s.entry(0), s.entry(1)})
	t.Cleanup(stopRouter)
	s.callers, stop, err = flowtest.StartCallers(b.Addr(kindCaller, 1, packetsPort), router)
	check(t, err)
	t.Cleanup(stop)
	for i := range s.balancers {
		s.await("balancer ready", func() bool { return platform.CheckReady(t.Context(), s.entry(i).Ready) })
	}
	return s
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func (s *site) close() {
	for _, d := range append(s.balancers[:], s.sidecars[:]...) {
		d.end(s.t)
	}
	for _, stop := range s.stops {
		stop()
	}
	if s.t.Failed() {
		s.t.Log(s.logs.String())
	}
}

func (s *site) entry(i int) flowtest.RouterTarget {
	return flowtest.RouterTarget{
		Packets: s.block.Addr(kindBalancer, i+1, packetsPort),
		Ready:   s.block.Addr(kindBalancer, i+1, readyPort),
	}
}

// configure writes the operator's configuration with one route.
func (s *site) configure(version int, service string) {
	s.t.Helper()
	_, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeOperatorConfiguration(version, platform.ServiceRoute{Addr: coreAddr, Service: service})}})
	check(s.t, err)
}

func start(run func(ctx, abort context.Context) error) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	abort, kill := context.WithCancel(context.Background())
	d := &daemon{stop: stop, kill: kill, done: make(chan error, 1)}
	go func() { d.done <- run(ctx, abort) }()
	return d
}

// end stops a daemon without waiting for its planned stop.
func (d *daemon) end(t *testing.T) {
	d.kill()
	d.stop()
	if err := <-d.done; err != nil {
		t.Error(err)
	}
	d.done <- nil
}

// logger returns a logger whose lines are printed if the test fails.
func (s *site) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(&s.logs, nil))
}

// logs keeps log lines. It is safe for concurrent use.
type logs struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (l *logs) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

func (l *logs) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

func (s *site) startBalancer(i int) {
	cfg := &balancer.FlowSettings{
		Identity: fmt.Sprintf("balancer-%d", i), FailureDomain: "a",
		Packets: s.entry(i).Packets, Ready: s.entry(i).Ready,
		Tunnel: s.block.Addr(kindBalancer, i+1, tunnelPort),
		Store:  s.block.Addr(0, 2, storePort),
		Peers:  []netip.AddrPort{s.block.Addr(kindBalancer, 1, controlPort)},
	}
	log := s.logger().With("process", cfg.Identity)
	s.balancers[i] = start(func(ctx, abort context.Context) error {
		return balancer.RunFlows(ctx, abort, log, cfg, metrics.NewRegistry())
	})
}

func (s *site) startSidecar(i int) {
	cfg := &sidecar.FlowSettings{
		Identity: fmt.Sprintf("sidecar-%d", i), FailureDomain: "a", Service: core,
		Tunnel:       s.block.Addr(kindSidecar, i+1, packetsPort),
		Outbound:     s.block.Addr(kindSidecar, i+1, outboundPort),
		Upstream:     s.block.Addr(kindSidecar, i+1, appPort),
		Health:       s.block.Addr(kindSidecar, i+1, appPort),
		Heartbeats:   s.block.Addr(kindSidecar, i+1, controlPort),
		Ready:        s.block.Addr(kindSidecar, i+1, readyPort),
		Store:        s.block.Addr(0, 2, storePort),
		Peers:        []netip.AddrPort{s.block.Addr(kindBalancer, 1, controlPort)},
		BalancerPort: tunnelPort,
	}
	cfg.Defaults()
	check(s.t, cfg.Validate())
	log := s.logger().With("process", cfg.Identity)
	s.sidecars[i] = start(func(ctx, abort context.Context) error {
		return sidecar.RunFlows(ctx, abort, log, cfg, metrics.NewRegistry())
	})
}

func (s *site) startUpstream(i int, id string) {
	u, stop, err := flowtest.StartUpstream(core, id, s.block.Addr(kindSidecar, i+1, appPort),
		s.block.Addr(kindSidecar, i+1, outboundPort), s.block.Addr(kindSidecar, i+1, controlPort))
	check(s.t, err)
	s.upstreams[i] = u
	s.stops[i] = stop
}

func (s *site) await(what string, done func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%s: not within %v", what, patience)
		}
	}
}

// open opens n flows; the first flows of a site may need more than one attempt.
func (s *site) open(n int) []*flowtest.Flow {
	s.t.Helper()
	var flows []*flowtest.Flow
	s.await("flows open", func() bool {
		f, err := s.callers.Open(s.t.Context(), coreAddr)
		if err == nil {
			flows = append(flows, f)
		}
		return len(flows) == n
	})
	return flows
}

// ask sends a request on each flow and wants the right answer.
func (s *site) ask(flows []*flowtest.Flow, round string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	for i, f := range flows {
		request := fmt.Sprintf("%s-%d", round, i)
		got, err := f.Do(ctx, request)
		if err != nil || got != request {
			s.t.Errorf("%s: flow %d: got %q, %v", round, i, got, err)
		}
	}
}

// Flows survive a planned stop of a balancer, its return, and the loss of the other.
func TestFlowsSurviveBalancers(t *testing.T) {
	s := newSite(t)
	flows := s.open(12)
	s.ask(flows, "calm")
	s.balancers[0].stop()
	s.ask(flows, "while the first stops")
	check(t, <-s.balancers[0].done)
	s.ask(flows, "after the first stopped")
	s.startBalancer(0)
	s.await("balancer back", func() bool { return platform.CheckReady(t.Context(), s.entry(0).Ready) })
	s.balancers[1].end(t)
	s.ask(flows, "after the second was lost")
	s.startBalancer(1)
}

// A sidecar whose first report was lost, so that only one balancer hears it, is found by
// the other balancer before the first one stops.
func TestBalancersIntroduceThemselves(t *testing.T) {
	s := newSite(t)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.block.Addr(kindSidecar, 9, packetsPort)))
	check(t, err)
	t.Cleanup(func() { conn.Close() })
	l := flow.Load{Incarnation: 1, Sequence: 2, Tag: flow.TagOf(core), State: flow.StateWaiting}
	_, err = conn.WriteToUDPAddrPort(peer.AppendLoad(nil, &l), s.block.Addr(kindBalancer, 1, tunnelPort))
	check(t, err)
	check(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	b := make([]byte, 2000)
	for told := false; !told; {
		n, from, err := conn.ReadFromUDPAddrPort(b)
		if err != nil {
			t.Fatal("nobody told the sidecar of the second balancer: ", err)
		}
		kind, body, err := peer.KindOf(b[:n])
		check(t, err)
		if kind != peer.KindBalancers {
			t.Fatalf("kind %d from %v", kind, from)
		}
		list, err := peer.ParseBalancers(body)
		check(t, err)
		told = slices.ContainsFunc(list.Infos, func(m peer.BalancerInfo) bool { return m.Addr == s.block.Addr(kindBalancer, 2, tunnelPort) })
	}
}

// Flows survive the restart of all sidecars in turn: their upstreams still hold them.
func TestFlowsSurviveSidecars(t *testing.T) {
	s := newSite(t)
	flows := s.open(12)
	s.ask(flows, "calm")
	for i := range s.sidecars {
		s.sidecars[i].end(t)
		s.startSidecar(i)
		s.ask(flows, fmt.Sprintf("after sidecar %d", i))
	}
	s.open(3)
}

// A leaving upstream keeps its flows and gets no new one after it said so.
func TestLeavingUpstream(t *testing.T) {
	s := newSite(t)
	flows := s.open(9)
	s.upstreams[0].Leave()
	time.Sleep(time.Second)
	before := s.upstreams[0].Opened()
	flows = append(flows, s.open(9)...)
	if got := s.upstreams[0].Opened(); got != before {
		t.Errorf("%d new flows on an upstream that leaves", got-before)
	}
	s.ask(flows, "while it leaves")
}

// The callers of an upstream that was replaced are told at once; all other flows go on.
func TestReplacedUpstream(t *testing.T) {
	s := newSite(t)
	flows := s.open(12)
	s.ask(flows, "calm")
	lost := s.upstreams[0].Opened()
	s.stops[0]()
	s.startUpstream(0, "i-new")
	time.Sleep(500 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	resets := 0
	for _, f := range flows {
		began := time.Now()
		_, err := f.Do(ctx, "after")
		if errors.Is(err, flowtest.ErrReset) && time.Since(began) < time.Second {
			resets++
			continue
		}
		if err != nil {
			t.Error(err)
		}
	}
	if resets != lost {
		t.Errorf("%d flows reset, %d were on the replaced upstream", resets, lost)
	}
}

// All balancers and sidecars are killed while the store is away: open flows go on, and
// new ones as soon as it is back.
func TestStoreAwayAndAllKilled(t *testing.T) {
	s := newSite(t)
	flows := s.open(9)
	s.ask(flows, "calm")
	s.store.SetFaults(store.Faults{Down: true})
	s.ask(flows, "store away")
	for i := range s.balancers {
		s.balancers[i].end(t)
	}
	for i := range s.sidecars {
		s.sidecars[i].end(t)
		s.startSidecar(i)
	}
	for i := range s.balancers {
		s.startBalancer(i)
	}
	s.ask(flows, "all killed")
	s.store.SetFaults(store.Faults{})
	s.ask(append(flows, s.open(3)...), "store back")
}

// A new route is in force soon, also when the store has lost its history.
func TestConfigurationInForce(t *testing.T) {
	s := newSite(t)
	s.open(1)
	s.store.Compact()
	s.configure(5, "sheet-render")
	s.await("the route no longer leads to the first service", func() bool {
		_, err := s.callers.Open(t.Context(), coreAddr)
		return errors.Is(err, flowtest.ErrNotOpened)
	})
	s.configure(9, core)
	s.open(1)
}
