package soak

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/balancer"
	"greengagedyke/flow"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/sidecar"
	"greengagedyke/standin/block"
	"greengagedyke/standin/flowtest"
	"greengagedyke/standin/proxy"
	"greengagedyke/standin/store"
)

const (
	// The third octets of the addresses in the block, by use. With the third octet 0, the last octet
	// is 2 for the store, 3 for the proxies to the store and 4 for the proxies for heartbeats.
	balancerSubnet = 1 + iota
	sidecarSubnet
	callerSubnet
	proxySubnet

	packetsPort  = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	upstreamPort = 8165
	tunnelPort   = 7720
	storePort    = 9000

	coreService  = "rota-core"
	sheetService = "sheet-render"
	// minUpstreamsPerService is the smallest allowed number of upstreams of a service.
	minUpstreamsPerService = 2
	// failureDomainCount is the number of failure domains that the processes are spread over.
	failureDomainCount = 3

	// requestWork is how long a request occupies a slot of most upstreams, slowRequestWork one of each
	// slowUpstreamInterval-th.
	requestWork, slowRequestWork = 20 * time.Millisecond, 40 * time.Millisecond
	slowUpstreamInterval         = 4
	// upstreamWarmup is how long each upstream warms up after its start.
	upstreamWarmup = 4 * time.Second
	// warmupRate is the number of new flows a second that a warming upstream takes.
	warmupRate = 8
)

// domainName returns the failure domain of the balancer or sidecar with index i.
func domainName(i int) string { return fmt.Sprintf("domain-%d", i%failureDomainCount) }

// The addresses that callers open flows to. boardAddr and swapAddr belong to coreService,
// sheetAddr to sheetService. The service of movingAddr changes with the configuration.
var (
	boardAddr  = netip.MustParseAddrPort("198.18.0.1:8443")
	swapAddr   = netip.MustParseAddrPort("198.18.0.1:8080")
	sheetAddr  = netip.MustParseAddrPort("198.18.0.2:8443")
	movingAddr = netip.MustParseAddrPort("198.18.0.3:8443")

	serviceAddrs = []netip.AddrPort{boardAddr, swapAddr, sheetAddr, movingAddr}
)

// balancerProcess is a balancer with the proxies on its network paths.
type balancerProcess struct {
	*process
	// callerPath forwards packets between the callers, which send to callerPathAddr, and the
	// balancer.
	callerPath     *proxy.Proxy
	callerPathAddr netip.AddrPort
	// storePath forwards connections from the balancer to the store.
	storePath *proxy.Proxy
}

// sidecarProcess is a sidecar with its upstream and the proxies on its network paths.
type sidecarProcess struct {
	*process
	// service is the service of the upstream, pace how fast it works.
	service string
	pace    flowtest.Pace
	// failureDomain is where the sidecar and its upstream run.
	failureDomain string
	// storePath forwards connections from the sidecar to the store.
	storePath *proxy.Proxy
	// heartbeatPath forwards heartbeats, which the upstream sends to heartbeatAddr, to the sidecar.
	heartbeatPath *proxy.Proxy
	// upstreamAddr is the upstream's address, for packets and health checks.
	upstreamAddr netip.AddrPort
	// outboundAddr is the sidecar's address for packets of the upstream.
	outboundAddr  netip.AddrPort
	heartbeatAddr netip.AddrPort
	// replaceMu is held while tryReplaceUpstream runs.
	replaceMu sync.Mutex

	mu sync.Mutex
	// upstream is the upstream that was started last.
	upstream *flowtest.Upstream
	// closeUpstream stops upstream.
	closeUpstream func()
	// endedUpstreams are those that were replaced.
	endedUpstreams []*flowtest.Upstream
	// upstreamStarts counts the upstreams that were started at upstreamAddr.
	upstreamStarts int
}

// site is the system under test: the processes, and the stand-ins and proxies around them.
type site struct {
	opts      *Options
	block     block.AddressBlock
	store     *store.Store
	callers   *flowtest.Callers
	router    *flowtest.Router
	balancers []*balancerProcess
	sidecars  []*sidecarProcess
	// processes are the processes of all balancers and sidecars, in the order of their first start.
	processes []*process
	// cleanups release everything but the processes. They run in reverse order.
	cleanups []func()
	recorder *recorder

	mu sync.Mutex
	// evacuations are those that the store has acknowledged, oldest first.
	evacuations []evacuation
	// storeFaults are the times of the store's faults that have ended.
	storeFaults []span
	// onBurst makes callers open more flows to an address for a time.
	onBurst func(addr netip.AddrPort, d time.Duration)
	// configurations are the configurations that the store has acknowledged, oldest first.
	configurations []configuration
	// configureMu is held while the operator writes.
	configureMu sync.Mutex
}

// configuration is a configuration that the store has acknowledged.
type configuration struct {
	// version is the version number that the configuration contains. Each call of moveRoute
	// increases it by three.
	version int
	// movingService is the service that movingAddr is routed to.
	movingService string
	// begunAt is when the write began, writtenAt when the store acknowledged it.
	begunAt, writtenAt time.Time
}

// newSite starts a site in a free address block. Its method close stops it.
func newSite(o *Options, r *recorder) (*site, error) {
	b, release, err := block.Reserve()
	if err != nil {
		return nil, err
	}
	s := &site{opts: o, block: b, recorder: r, cleanups: []func(){release}}
	if err := s.start(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// start starts the store, the balancers, the sidecars with their upstreams, the router and the callers.
func (s *site) start() error {
	var err error
	var stop func()
	s.store, _, stop, err = store.Start(s.block.Addr(0, 2, storePort))
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, stop)
	if err := s.configure(1, coreService); err != nil {
		return err
	}
	var targets []flowtest.RouterTarget
	for i := range s.opts.Balancers {
		b, err := s.startBalancer(i)
		if err != nil {
			return err
		}
		s.balancers = append(s.balancers, b)
		targets = append(targets, flowtest.RouterTarget{Packets: b.callerPathAddr, Ready: s.block.Addr(balancerSubnet, i+1, readyPort)})
	}
	for i := range s.opts.Sidecars {
		p, err := s.startSidecar(i)
		if err != nil {
			return err
		}
		s.sidecars = append(s.sidecars, p)
	}
	s.router, stop = flowtest.StartRouter(targets)
	s.cleanups = append(s.cleanups, stop)
	s.callers, stop, err = flowtest.StartCallers(s.block.Addr(callerSubnet, 1, packetsPort), s.router)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, stop)
	return nil
}

// close stops all processes at the same time, then everything else in reverse order of its start.
func (s *site) close() {
	s.stopProcesses()
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// newStorePath starts a proxy to the store for one process and returns it with its address.
func (s *site) newStorePath() (*proxy.Proxy, netip.AddrPort, error) {
	p, addr, stop, err := proxy.TCP(netip.AddrPortFrom(s.block.IP(0, 3), 0), s.block.Addr(0, 2, storePort))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s.cleanups = append(s.cleanups, stop)
	return p, addr, nil
}

// startBalancer starts the balancer with index i and its proxies.
func (s *site) startBalancer(i int) (*balancerProcess, error) {
	storePath, storeAddr, err := s.newStorePath()
	if err != nil {
		return nil, err
	}
	cfg := &balancer.FlowSettings{
		Identity:      fmt.Sprintf("balancer-%d", i),
		FailureDomain: domainName(i),
		Packets:       s.block.Addr(balancerSubnet, i+1, packetsPort),
		Ready:         s.block.Addr(balancerSubnet, i+1, readyPort),
		Tunnel:        s.block.Addr(balancerSubnet, i+1, tunnelPort),
		Store:         storeAddr,
		Peers:         s.seedPeers(),
	}
	if s.opts.allOptions() {
		cfg.DetectOutliers = true
		cfg.Placement = flow.PlaceByExpectedTime.String()
	}
	callerPath, callerPathAddr, stop, err := proxy.UDP(s.block.Addr(proxySubnet, i+1, packetsPort), cfg.Packets)
	if err != nil {
		return nil, err
	}
	s.cleanups = append(s.cleanups, stop)
	p, err := s.launch("balancer", cfg.Identity, cfg)
	if err != nil {
		return nil, err
	}
	return &balancerProcess{process: p, callerPath: callerPath, callerPathAddr: callerPathAddr, storePath: storePath}, nil
}

// seedPeers returns the addresses of the first two balancers. All processes have them as peers in
// their settings and discover the other balancers through them.
func (s *site) seedPeers() []netip.AddrPort {
	return []netip.AddrPort{s.block.Addr(balancerSubnet, 1, controlPort), s.block.Addr(balancerSubnet, 2, controlPort)}
}

// startSidecar starts the sidecar with index i, its proxies and its upstream. The first third of
// the sidecars, but at least minUpstreamsPerService, serve sheetService.
func (s *site) startSidecar(i int) (*sidecarProcess, error) {
	storePath, storeAddr, err := s.newStorePath()
	if err != nil {
		return nil, err
	}
	p := &sidecarProcess{
		service:       coreService,
		pace:          flowtest.Pace{Work: requestWork, Warmup: upstreamWarmup},
		failureDomain: domainName(i),
		storePath:     storePath,
		upstreamAddr:  s.block.Addr(sidecarSubnet, i+1, upstreamPort),
		outboundAddr:  s.block.Addr(sidecarSubnet, i+1, outboundPort),
	}
	if i%slowUpstreamInterval == 0 {
		p.pace.Work = slowRequestWork
	}
	if i < max(minUpstreamsPerService, s.opts.Sidecars/3) {
		p.service = sheetService
	}
	cfg := &sidecar.FlowSettings{
		Identity:      fmt.Sprintf("sidecar-%d", i),
		FailureDomain: p.failureDomain,
		Service:       p.service,
		Tunnel:        s.block.Addr(sidecarSubnet, i+1, packetsPort),
		Outbound:      p.outboundAddr,
		Upstream:      p.upstreamAddr,
		Health:        p.upstreamAddr,
		Heartbeats:    s.block.Addr(sidecarSubnet, i+1, controlPort),
		Ready:         s.block.Addr(sidecarSubnet, i+1, readyPort),
		Store:         storeAddr,
		Peers:         s.seedPeers(),
		BalancerPort:  tunnelPort,
		Patience:      service.Duration(heartbeatPatience),
		FlowLimit:     service.Duration(time.Minute),
	}
	if s.opts.allOptions() {
		cfg.Admission = true
	}
	var stop func()
	p.heartbeatPath, p.heartbeatAddr, stop, err = proxy.TCP(netip.AddrPortFrom(s.block.IP(0, 4), 0), cfg.Heartbeats)
	if err != nil {
		return nil, err
	}
	s.cleanups = append(s.cleanups, stop)
	if p.process, err = s.launch("sidecar", cfg.Identity, cfg); err != nil {
		return nil, err
	}
	if err := p.startUpstream(); err != nil {
		return nil, err
	}
	s.cleanups = append(s.cleanups, p.stopUpstream)
	return p, nil
}

// heartbeatPatience is the age from which a sidecar treats its upstream's last heartbeat as expired.
const heartbeatPatience = 2 * time.Second

// launch writes cfg to a settings file, creates a log file, and starts a process with both. The
// files are named after identity; role is the subcommand.
func (s *site) launch(role, identity string, cfg any) (*process, error) {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, errors.Wrapf(err, "soak: settings of %s", identity)
	}
	file := filepath.Join(s.opts.Dir, identity+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return nil, errors.Wrapf(err, "soak: settings of %s", identity)
	}
	log, err := os.Create(filepath.Join(s.opts.Dir, identity+".log"))
	if err != nil {
		return nil, errors.Wrapf(err, "soak: log of %s", identity)
	}
	s.cleanups = append(s.cleanups, func() { log.Close() })
	p := &process{binary: s.opts.Binary, args: []string{role, "--flows", "-s", file}, log: log}
	p.onUnexpectedExit = func(err error) { s.recorder.addViolation("process-ended", "%s exited unexpectedly: %v", identity, err) }
	if err := p.start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, nil
}

// stopProcesses terminates all processes at the same time and waits until they have exited.
func (s *site) stopProcesses() {
	var wg sync.WaitGroup
	for _, p := range s.processes {
		wg.Go(func() {
			p.faultMu.Lock()
			defer p.faultMu.Unlock()
			if err := p.terminate(); err != nil {
				s.recorder.addViolation("planned-stop", "%v", err)
			}
		})
	}
	wg.Wait()
}

// startUpstream starts an upstream at upstreamAddr, with an ID that no earlier one had.
func (p *sidecarProcess) startUpstream() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.upstreamStarts++
	id := fmt.Sprintf("%s-%d", p.upstreamAddr.Addr(), p.upstreamStarts)
	u, stop, err := flowtest.StartUpstream(p.service, id, time.Now(), p.upstreamAddr, p.outboundAddr, p.heartbeatAddr, p.pace)
	if err != nil {
		return err
	}
	p.upstream, p.closeUpstream = u, stop
	return nil
}

// stopUpstream stops the current upstream without notice. Its flows are lost.
func (p *sidecarProcess) stopUpstream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeUpstream()
}

// currentUpstream returns the upstream that was started last.
func (p *sidecarProcess) currentUpstream() *flowtest.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream
}

// replaceUpstream stops the upstream of p without notice and starts another one at its address.
func (s *site) replaceUpstream(p *sidecarProcess) error {
	u := p.currentUpstream()
	p.stopUpstream()
	p.mu.Lock()
	p.endedUpstreams = append(p.endedUpstreams, u)
	p.mu.Unlock()
	return p.startUpstream()
}

// upstreams returns all upstreams of the run, including those that were replaced.
func (s *site) upstreams() []*flowtest.Upstream {
	var list []*flowtest.Upstream
	for _, p := range s.sidecars {
		list = append(list, p.upstreams()...)
	}
	return list
}

// upstreams returns all upstreams of the sidecar, including those that were replaced.
func (p *sidecarProcess) upstreams() []*flowtest.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(slices.Clone(p.endedUpstreams), p.upstream)
}

// configure writes an operator configuration to the store and adds it to configurations.
func (s *site) configure(version int, movingService string) error {
	begunAt := time.Now()
	if err := s.writeConfiguration(version, movingService); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.configurations = append(s.configurations, configuration{version: version, movingService: movingService, begunAt: begunAt, writtenAt: time.Now()})
	return nil
}

// writeConfiguration writes an operator configuration directly into the store, without the network.
func (s *site) writeConfiguration(version int, movingService string) error {
	_, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeOperatorConfiguration(version,
		platform.ServiceRoute{Addr: boardAddr, Service: coreService, WarmupRate: warmupRate},
		platform.ServiceRoute{Addr: swapAddr, Service: coreService, WarmupRate: warmupRate},
		platform.ServiceRoute{Addr: sheetAddr, Service: sheetService, WarmupRate: warmupRate},
		platform.ServiceRoute{Addr: movingAddr, Service: movingService, WarmupRate: warmupRate},
	)}})
	return errors.Wrapf(err, "soak: write of configuration version %d", version)
}

// newestConfiguration returns the configuration that was written last.
func (s *site) newestConfiguration() configuration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.configurations[len(s.configurations)-1]
}
