package flowtest_test

import (
	"bytes"
	"cmp"
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
	// The third octets of the addresses, by use. The store's address ends in 0.2.
	balancerSubnet = 1 + iota
	sidecarSubnet
	callerSubnet

	packetsPort  = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	upstreamPort = 8165
	tunnelPort   = 7720
	storePort    = 9000
	coreService  = "rota-core"
	// waitTimeout is how long a test waits for a state or an answer.
	waitTimeout = 10 * time.Second
)

// coreAddr is the address that callers open flows to.
var coreAddr = netip.MustParseAddrPort("198.18.0.1:443")

// daemon is a balancer or sidecar that runs in this process.
type daemon struct {
	// stop begins a planned stop; cancelAbort makes the daemon end at once.
	stop, cancelAbort context.CancelFunc
	// done receives the daemon's result when it has ended.
	done chan error
}

// site is a small deployment with two balancers, and three sidecars with an upstream each.
type site struct {
	t            *testing.T
	block        block.AddressBlock
	store        *store.Store
	callers      *flowtest.Callers
	balancers    [2]*daemon
	sidecars     [3]*daemon
	upstreams    [3]*flowtest.Upstream
	stopUpstream [3]func()
	// domains are the failure domains of the sidecars; empty for a.
	domains [3]string
	logs    logBuffer
	// detectOutliers is a setting of the balancers that are started from now on.
	detectOutliers bool
}

// newSite starts a site and waits until its balancers are ready.
func newSite(t *testing.T) *site {
	t.Helper()
	b, release, err := block.Reserve()
	requireNoError(t, err)
	t.Cleanup(release)
	s := &site{t: t, block: b}
	var stop func()
	s.store, _, stop, err = store.Start(b.Addr(0, 2, storePort))
	requireNoError(t, err)
	t.Cleanup(stop)
	s.configure(1, coreService)
	for i := range s.balancers {
		s.startBalancer(i)
	}
	for i := range s.sidecars {
		s.startSidecar(i)
		s.startUpstream(i, fmt.Sprintf("i-%d", i))
	}
	t.Cleanup(s.close)
	router, stopRouter := flowtest.StartRouter([]flowtest.RouterTarget{s.routerTarget(0), s.routerTarget(1)})
	t.Cleanup(stopRouter)
	s.callers, stop, err = flowtest.StartCallers(b.Addr(callerSubnet, 1, packetsPort), router)
	requireNoError(t, err)
	t.Cleanup(stop)
	for i := range s.balancers {
		s.await("balancer ready", func() bool { return platform.CheckReady(t.Context(), s.routerTarget(i).Ready) })
	}
	return s
}

func requireNoError(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// close stops all daemons and upstreams, and prints the logs if the test has failed.
func (s *site) close() {
	for _, d := range append(s.balancers[:], s.sidecars[:]...) {
		d.abort(s.t)
	}
	for _, stop := range s.stopUpstream {
		stop()
	}
	if s.t.Failed() {
		s.t.Log(s.logs.String())
	}
}

func (s *site) routerTarget(i int) flowtest.RouterTarget {
	return flowtest.RouterTarget{
		Packets: s.block.Addr(balancerSubnet, i+1, packetsPort),
		Ready:   s.block.Addr(balancerSubnet, i+1, readyPort),
	}
}

// configure writes an operator configuration that routes coreAddr to a service.
func (s *site) configure(version int, service string) {
	s.t.Helper()
	_, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeOperatorConfiguration(version, platform.ServiceRoute{Addr: coreAddr, Service: service})}})
	requireNoError(s.t, err)
}

func startDaemon(run func(ctx, abort context.Context) error) *daemon {
	ctx, stop := context.WithCancel(context.Background())
	abort, cancelAbort := context.WithCancel(context.Background())
	d := &daemon{stop: stop, cancelAbort: cancelAbort, done: make(chan error, 1)}
	go func() { d.done <- run(ctx, abort) }()
	return d
}

// abort ends a daemon at once, without a planned stop.
func (d *daemon) abort(t *testing.T) {
	d.cancelAbort()
	d.stop()
	if err := <-d.done; err != nil {
		t.Error(err)
	}
	d.done <- nil
}

// logger returns a logger that writes to the site's log buffer.
func (s *site) logger() *slog.Logger {
	return slog.New(slog.NewTextHandler(&s.logs, nil))
}

// logBuffer collects log lines. It is safe for concurrent use.
type logBuffer struct {
	mu    sync.Mutex
	lines bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.Write(b)
}

func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lines.String()
}

func (s *site) startBalancer(i int) {
	cfg := &balancer.FlowSettings{
		Identity: fmt.Sprintf("balancer-%d", i), FailureDomain: "a",
		Packets: s.routerTarget(i).Packets, Ready: s.routerTarget(i).Ready,
		Tunnel: s.block.Addr(balancerSubnet, i+1, tunnelPort),
		Store:  s.block.Addr(0, 2, storePort),
		Peers:  []netip.AddrPort{s.block.Addr(balancerSubnet, 1, controlPort)},

		DetectOutliers: s.detectOutliers,
	}
	log := s.logger().With("process", cfg.Identity)
	s.balancers[i] = startDaemon(func(ctx, abort context.Context) error {
		return balancer.RunFlows(ctx, abort, log, cfg, metrics.NewRegistry())
	})
}

func (s *site) startSidecar(i int) {
	cfg := &sidecar.FlowSettings{
		Identity: fmt.Sprintf("sidecar-%d", i), FailureDomain: cmp.Or(s.domains[i], "a"), Service: coreService,
		Tunnel:       s.block.Addr(sidecarSubnet, i+1, packetsPort),
		Outbound:     s.block.Addr(sidecarSubnet, i+1, outboundPort),
		Upstream:     s.block.Addr(sidecarSubnet, i+1, upstreamPort),
		Health:       s.block.Addr(sidecarSubnet, i+1, upstreamPort),
		Heartbeats:   s.block.Addr(sidecarSubnet, i+1, controlPort),
		Ready:        s.block.Addr(sidecarSubnet, i+1, readyPort),
		Store:        s.block.Addr(0, 2, storePort),
		Peers:        []netip.AddrPort{s.block.Addr(balancerSubnet, 1, controlPort)},
		BalancerPort: tunnelPort,
	}
	cfg.Defaults()
	requireNoError(s.t, cfg.Validate())
	log := s.logger().With("process", cfg.Identity)
	s.sidecars[i] = startDaemon(func(ctx, abort context.Context) error {
		return sidecar.RunFlows(ctx, abort, log, cfg, metrics.NewRegistry())
	})
}

func (s *site) startUpstream(i int, id string) {
	s.t.Helper()
	s.startUpstreamAt(i, id, time.Now())
}

// startUpstreamAt starts an upstream whose heartbeats give startedAt as its start.
func (s *site) startUpstreamAt(i int, id string, startedAt time.Time) {
	s.t.Helper()
	u, stop, err := flowtest.StartUpstream(coreService, id, startedAt, s.block.Addr(sidecarSubnet, i+1, upstreamPort),
		s.block.Addr(sidecarSubnet, i+1, outboundPort), s.block.Addr(sidecarSubnet, i+1, controlPort), flowtest.Pace{})
	requireNoError(s.t, err)
	s.upstreams[i] = u
	s.stopUpstream[i] = stop
}

// await waits until met returns true. It fails the test if that takes longer than waitTimeout.
func (s *site) await(condition string, met func() bool) {
	s.t.Helper()
	for end := time.Now().Add(waitTimeout); !met(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("condition %q not met within %v", condition, waitTimeout)
		}
	}
}

// openFlows opens n flows. It retries, since the first flows of a site may not open at once.
func (s *site) openFlows(n int) []*flowtest.Flow {
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

// requestOnAll sends a request on each flow and checks the answer.
func (s *site) requestOnAll(flows []*flowtest.Flow, round string) {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), waitTimeout)
	defer cancel()
	for i, f := range flows {
		request := fmt.Sprintf("%s-%d", round, i)
		got, err := f.Do(ctx, request)
		if err != nil || got != request {
			s.t.Errorf("%s: flow %d: got %q, %v, want %q", round, i, got, err, request)
		}
	}
}

// Open flows continue while a balancer stops as planned and starts again, and after the other
// balancer crashes.
func TestFlowsSurviveBalancerRestarts(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(12)
	s.requestOnAll(flows, "at the start")
	s.balancers[0].stop()
	s.requestOnAll(flows, "while the first stops")
	requireNoError(t, <-s.balancers[0].done)
	s.requestOnAll(flows, "after the first stopped")
	s.startBalancer(0)
	s.await("balancer back", func() bool { return platform.CheckReady(t.Context(), s.routerTarget(0).Ready) })
	s.balancers[1].abort(t)
	s.requestOnAll(flows, "after the second was lost")
	s.startBalancer(1)
}

// A sidecar whose report has reached only one balancer, since the report to the other one was lost,
// receives a message with the other balancer's address. Otherwise the sidecar would be unreachable
// once the first balancer stops.
func TestSidecarReceivesAllBalancers(t *testing.T) {
	s := newSite(t)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.block.Addr(sidecarSubnet, 9, packetsPort)))
	requireNoError(t, err)
	t.Cleanup(func() { conn.Close() })
	l := flow.Load{Incarnation: 1, Sequence: 2, Tag: flow.TagOf(coreService), State: flow.StateWaiting}
	_, err = conn.WriteToUDPAddrPort(peer.AppendLoad(nil, &l), s.block.Addr(balancerSubnet, 1, tunnelPort))
	requireNoError(t, err)
	requireNoError(t, conn.SetReadDeadline(time.Now().Add(2*time.Second)))
	buf := make([]byte, 2000)
	for found := false; !found; {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			t.Fatal("the sidecar did not receive the address of the second balancer: ", err)
		}
		kind, body, err := peer.KindOf(buf[:n])
		requireNoError(t, err)
		if kind != peer.KindBalancers {
			t.Fatalf("got message kind %d from %v, want %d", kind, from, peer.KindBalancers)
		}
		list, err := peer.ParseBalancers(body)
		requireNoError(t, err)
		found = slices.ContainsFunc(list.Infos, func(m peer.BalancerInfo) bool { return m.Addr == s.block.Addr(balancerSubnet, 2, tunnelPort) })
	}
}

// Open flows continue while all sidecars restart one after the other, since their upstreams still
// hold the flows.
func TestFlowsSurviveSidecarRestarts(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(12)
	s.requestOnAll(flows, "at the start")
	for i := range s.sidecars {
		s.sidecars[i].abort(t)
		s.startSidecar(i)
		s.requestOnAll(flows, fmt.Sprintf("after sidecar %d", i))
	}
	s.openFlows(3)
}

// A leaving upstream keeps its open flows and gets no new ones.
func TestLeavingUpstream(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(9)
	s.upstreams[0].Leave()
	time.Sleep(time.Second)
	openedBefore := s.upstreams[0].OpenedCount()
	flows = append(flows, s.openFlows(9)...)
	if got := s.upstreams[0].OpenedCount(); got != openedBefore {
		t.Errorf("got %d new flows on a leaving upstream, want none", got-openedBefore)
	}
	s.requestOnAll(flows, "while it leaves")
}

// After an upstream was replaced, each of its flows is reset within a second of the caller's next
// packet, and all other flows continue.
func TestReplacedUpstream(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(12)
	s.requestOnAll(flows, "at the start")
	lostCount := s.upstreams[0].OpenedCount()
	s.stopUpstream[0]()
	s.startUpstream(0, "i-new")
	time.Sleep(500 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	resets := 0
	for _, f := range flows {
		startedAt := time.Now()
		_, err := f.Do(ctx, "after")
		if errors.Is(err, flowtest.ErrReset) && time.Since(startedAt) < time.Second {
			resets++
			continue
		}
		if err != nil {
			t.Error(err)
		}
	}
	if resets != lostCount {
		t.Errorf("got %d reset flows, want the %d of the replaced upstream", resets, lostCount)
	}
}

// An upstream is replaced at once, so that no check finds it absent. The callers of its idle flows are
// reset all the same, without sending a packet.
func TestIdleCallersOfReplacedUpstream(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(12)
	s.requestOnAll(flows, "at the start")
	s.stopUpstream[0]()
	replaced := s.upstreams[0]
	s.startUpstream(0, "i-new")
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	for _, f := range flows {
		if replaced.Holds(f.Key()) && !f.AwaitReset(ctx) {
			t.Errorf("the caller of %v was not reset within a second", f.Key())
		}
	}
}

// A heartbeat of another sender, with any start time, ends no flow of an upstream that runs, and does
// not keep it from getting new flows: issue 27, review/2.
func TestHeartbeatOfAnotherSender(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(9)
	s.requestOnAll(flows, "at the start")
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		for i := range s.sidecars {
			hb := flow.Heartbeat{
				ID: "i-other", Service: coreService, State: flow.StateReady, StartedAt: time.Now().Add(offset), Sequence: 1, Slots: 2,
				Address: s.block.Addr(sidecarSubnet, i+1, upstreamPort), FailureDomain: "a",
			}
			requireNoError(t, platform.SendHeartbeat(t.Context(), s.block.Addr(sidecarSubnet, i+1, controlPort), hb))
		}
		time.Sleep(500 * time.Millisecond)
		s.requestOnAll(flows, fmt.Sprintf("after a heartbeat with start time %v", offset))
	}
	s.requestOnAll(s.openFlows(9), "on new flows")
}

// The time of day is ahead while upstreams start, and set right before their sidecars restart, within
// the first heartbeats. Open flows continue: issue 27, review/4.
func TestClockStepBeforeSidecarRestart(t *testing.T) {
	s := newSite(t)
	for i := range s.sidecars {
		s.stopUpstream[i]()
		s.startUpstreamAt(i, fmt.Sprintf("i-new-%d", i), time.Now().Add(2400*time.Millisecond))
	}
	flows := s.openFlows(9)
	s.requestOnAll(flows, "at the start")
	for i := range s.sidecars {
		s.sidecars[i].stop()
		requireNoError(t, <-s.sidecars[i].done)
		s.startSidecar(i)
	}
	time.Sleep(time.Second)
	s.requestOnAll(flows, "after the restarts")
}

// Open flows continue when all balancers and sidecars restart after a crash while the store is down.
// New flows open once the store is up again.
func TestStoreDownAndAllKilled(t *testing.T) {
	s := newSite(t)
	flows := s.openFlows(9)
	s.requestOnAll(flows, "at the start")
	s.store.SetFaults(store.Faults{Down: true})
	s.requestOnAll(flows, "store down")
	for i := range s.balancers {
		s.balancers[i].abort(t)
	}
	for i := range s.sidecars {
		s.sidecars[i].abort(t)
		s.startSidecar(i)
	}
	for i := range s.balancers {
		s.startBalancer(i)
	}
	s.requestOnAll(flows, "all killed")
	s.store.SetFaults(store.Faults{})
	s.requestOnAll(append(flows, s.openFlows(3)...), "store up")
}

// A new route takes effect in time, even if the store has compacted its history, so that a watch
// cannot resume.
func TestConfigurationInForce(t *testing.T) {
	s := newSite(t)
	s.openFlows(1)
	s.store.Compact()
	s.configure(5, "sheet-render")
	s.await("the route no longer leads to the first service", func() bool {
		_, err := s.callers.Open(t.Context(), coreAddr)
		return errors.Is(err, flowtest.ErrNotOpened)
	})
	s.configure(9, coreService)
	s.openFlows(1)
}
