package soak

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/balancer"
	"greengagedyke/platform"
	"greengagedyke/service"
	"greengagedyke/sidecar"
	"greengagedyke/standin/block"
	"greengagedyke/standin/flowtest"
	"greengagedyke/standin/proxy"
	"greengagedyke/standin/store"
)

const (
	kindBalancer = 1 + iota
	kindSidecar
	kindCaller
	kindProxy

	packetsPort  = 8172
	readyPort    = 8167
	controlPort  = 8166
	outboundPort = 8162
	appPort      = 8165
	tunnelPort   = 7720
	storePort    = 9000

	core  = "rota-core"
	sheet = "sheet-render"
	// minUpstreams is the number of upstreams that a service has at least.
	minUpstreams = 2
	// domains is the number of failure domains.
	domains = 3
)

// The addresses of services. The service of movingAddr changes with the configuration.
var (
	boardAddr  = netip.MustParseAddrPort("198.18.0.1:8443")
	swapAddr   = netip.MustParseAddrPort("198.18.0.1:8080")
	sheetAddr  = netip.MustParseAddrPort("198.18.0.2:8443")
	movingAddr = netip.MustParseAddrPort("198.18.0.3:8443")

	serviceAddrs = []netip.AddrPort{boardAddr, swapAddr, sheetAddr, movingAddr}
)

// entry is a balancer with its path from the callers.
type entry struct {
	*process
	// path leads from addr to the balancer.
	path *proxy.Proxy
	addr netip.AddrPort
	// store is the path from the process to the store.
	store *proxy.Proxy
}

// place is a sidecar with its upstream.
type place struct {
	*process
	service    string
	store      *proxy.Proxy
	heartbeats *proxy.Proxy
	app        netip.AddrPort
	outbound   netip.AddrPort
	control    netip.AddrPort
	// replacing is held while the upstream is replaced.
	replacing sync.Mutex

	mu           sync.Mutex
	upstream     *flowtest.Upstream
	stopUpstream func()
	started      int
}

// site is the system with its surroundings.
type site struct {
	opts    *Options
	block   block.AddressBlock
	store   *store.Store
	callers *flowtest.Callers
	router  *flowtest.Router
	entries []*entry
	places  []*place
	// processes are those that run, cleanups end the rest of the site.
	processes []*process
	cleanups  []func()
	record    *record

	mu sync.Mutex
	// past are the upstreams that have ended.
	past []*flowtest.Upstream
	// versions are the configurations in the order of their writes; configuring is held
	// while one is written.
	versions    []version
	configuring sync.Mutex
}

// version is a configuration that the store has acknowledged.
type version struct {
	number int
	moving string
	at     time.Time
}

func newSite(o *Options, r *record) (*site, error) {
	b, release, err := block.Reserve()
	if err != nil {
		return nil, err
	}
	s := &site{opts: o, block: b, record: r, cleanups: []func(){release}}
	if err := s.open(); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func (s *site) open() error {
	var err error
	var stop func()
	s.store, _, stop, err = store.Start(s.block.Addr(0, 2, storePort))
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, stop)
	if err := s.configure(1, core); err != nil {
		return err
	}
	var list []flowtest.RouterTarget
	for i := range s.opts.Balancers {
		e, err := s.newEntry(i)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		list = append(list, flowtest.RouterTarget{Packets: e.addr, Ready: s.block.Addr(kindBalancer, i+1, readyPort)})
	}
	for i := range s.opts.Sidecars {
		p, err := s.newPlace(i)
		if err != nil {
			return err
		}
		s.places = append(s.places, p)
	}
	s.router, stop = flowtest.StartRouter(list)
	s.cleanups = append(s.cleanups, stop)
	s.callers, stop, err = flowtest.StartCallers(s.block.Addr(kindCaller, 1, packetsPort), s.router)
	if err != nil {
		return err
	}
	s.cleanups = append(s.cleanups, stop)
	return nil
}

// close ends everything that the site started, in reverse order.
func (s *site) close() {
	s.endProcesses()
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// storePath is a path to the store for one process.
func (s *site) storePath() (*proxy.Proxy, netip.AddrPort, error) {
	p, addr, stop, err := proxy.TCP(netip.AddrPortFrom(s.block.IP(0, 3), 0), s.block.Addr(0, 2, storePort))
	if err != nil {
		return nil, netip.AddrPort{}, err
	}
	s.cleanups = append(s.cleanups, stop)
	return p, addr, nil
}

func (s *site) newEntry(i int) (*entry, error) {
	toStore, storeAddr, err := s.storePath()
	if err != nil {
		return nil, err
	}
	cfg := &balancer.FlowSettings{
		Identity:      fmt.Sprintf("balancer-%d", i),
		FailureDomain: fmt.Sprintf("domain-%d", i%domains),
		Packets:       s.block.Addr(kindBalancer, i+1, packetsPort),
		Ready:         s.block.Addr(kindBalancer, i+1, readyPort),
		Tunnel:        s.block.Addr(kindBalancer, i+1, tunnelPort),
		Store:         storeAddr,
		Peers:         s.seeds(),
	}
	path, addr, stop, err := proxy.UDP(s.block.Addr(kindProxy, i+1, packetsPort), cfg.Packets)
	if err != nil {
		return nil, err
	}
	s.cleanups = append(s.cleanups, stop)
	p, err := s.launch("balancer", cfg.Identity, cfg)
	if err != nil {
		return nil, err
	}
	return &entry{process: p, path: path, addr: addr, store: toStore}, nil
}

// seeds are the VMs of balancers that settings name.
func (s *site) seeds() []netip.AddrPort {
	return []netip.AddrPort{s.block.Addr(kindBalancer, 1, controlPort), s.block.Addr(kindBalancer, 2, controlPort)}
}

func (s *site) newPlace(i int) (*place, error) {
	toStore, storeAddr, err := s.storePath()
	if err != nil {
		return nil, err
	}
	p := &place{
		service:  core,
		store:    toStore,
		app:      s.block.Addr(kindSidecar, i+1, appPort),
		outbound: s.block.Addr(kindSidecar, i+1, outboundPort),
	}
	if i < max(minUpstreams, s.opts.Sidecars/3) {
		p.service = sheet
	}
	cfg := &sidecar.FlowSettings{
		Identity:      fmt.Sprintf("sidecar-%d", i),
		FailureDomain: fmt.Sprintf("domain-%d", i%domains),
		Service:       p.service,
		Tunnel:        s.block.Addr(kindSidecar, i+1, packetsPort),
		Outbound:      p.outbound,
		Upstream:      p.app,
		Health:        p.app,
		Heartbeats:    s.block.Addr(kindSidecar, i+1, controlPort),
		Ready:         s.block.Addr(kindSidecar, i+1, readyPort),
		Store:         storeAddr,
		Peers:         s.seeds(),
		BalancerPort:  tunnelPort,
		Patience:      service.Duration(patience),
		FlowLimit:     service.Duration(time.Minute),
	}
	var stop func()
	p.heartbeats, p.control, stop, err = proxy.TCP(netip.AddrPortFrom(s.block.IP(0, 4), 0), cfg.Heartbeats)
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
	s.cleanups = append(s.cleanups, p.endUpstream)
	return p, nil
}

// patience is the age from which an upstream's word no longer holds.
const patience = 2 * time.Second

// launch writes settings and starts a process with them.
func (s *site) launch(role, identity string, cfg any) (*process, error) {
	data, err := json.MarshalIndent(cfg, "", "  ")
	if err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	file := filepath.Join(s.opts.Dir, identity+".json")
	if err := os.WriteFile(file, data, 0o644); err != nil {
		return nil, errors.Wrap(err, "soak: settings")
	}
	log, err := os.Create(filepath.Join(s.opts.Dir, identity+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "soak: log")
	}
	s.cleanups = append(s.cleanups, func() { log.Close() })
	p := &process{binary: s.opts.Binary, args: []string{role, "--flows", "-s", file}, log: log}
	p.crashed = func(err error) { s.record.violate("process-ended", "%s ended by itself: %v", identity, err) }
	if err := p.start(); err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return p, nil
}

// endProcesses stops all processes at the same time.
func (s *site) endProcesses() {
	var wg sync.WaitGroup
	for _, p := range s.processes {
		wg.Go(func() {
			p.busy.Lock()
			defer p.busy.Unlock()
			if err := p.end(); err != nil {
				s.record.violate("planned-stop", "%v", err)
			}
		})
	}
	wg.Wait()
}

// startUpstream starts a new incarnation of the upstream.
func (p *place) startUpstream() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.started++
	id := fmt.Sprintf("%s-%d", p.app.Addr(), p.started)
	u, stop, err := flowtest.StartUpstream(p.service, id, p.app, p.outbound, p.control)
	if err != nil {
		return err
	}
	p.upstream, p.stopUpstream = u, stop
	return nil
}

// endUpstream ends the upstream; its flows are gone.
func (p *place) endUpstream() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopUpstream()
}

func (p *place) current() *flowtest.Upstream {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.upstream
}

// replaceUpstream ends the upstream and starts another one at its address.
func (s *site) replaceUpstream(p *place) error {
	u := p.current()
	p.endUpstream()
	s.mu.Lock()
	s.past = append(s.past, u)
	s.mu.Unlock()
	return p.startUpstream()
}

// upstreams are all upstreams that ever ran.
func (s *site) upstreams() []*flowtest.Upstream {
	s.mu.Lock()
	list := append([]*flowtest.Upstream(nil), s.past...)
	s.mu.Unlock()
	for _, p := range s.places {
		list = append(list, p.current())
	}
	return list
}

// configure writes a configuration.
func (s *site) configure(number int, moving string) error {
	_, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeOperatorConfiguration(number,
		platform.ServiceRoute{Addr: boardAddr, Service: core},
		platform.ServiceRoute{Addr: swapAddr, Service: core},
		platform.ServiceRoute{Addr: sheetAddr, Service: sheet},
		platform.ServiceRoute{Addr: movingAddr, Service: moving},
	)}})
	if err != nil {
		return errors.Wrap(err, "soak: configuration")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.versions = append(s.versions, version{number: number, moving: moving, at: time.Now()})
	return nil
}

func (s *site) newestVersion() version {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versions[len(s.versions)-1]
}
