// Package demo runs whole deployments in one process over loopback sockets:
// store, fabric, balancers, upstreams, sidecars and callers.
package demo

import (
	"context"
	"crypto/x509"
	"fmt"
	"log/slog"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"greengagedyke/balancer"
	"greengagedyke/operator"
	"greengagedyke/service"
	"greengagedyke/sidecar"
	"greengagedyke/standin/block"
	"greengagedyke/standin/certificate"
	"greengagedyke/standin/fabric"
	"greengagedyke/standin/load"
	"greengagedyke/standin/proxy"
	"greengagedyke/standin/store"
	"greengagedyke/standin/upstream"
)

// ServiceSpec describes one service of a deployment.
type ServiceSpec struct {
	Name      string
	Upstreams int
	// Load describes the service's callers; its address is filled in.
	Load load.Options
}

// SiteSpec describes a deployment.
type SiteSpec struct {
	Name           string
	FailureDomains []string
	Services       []ServiceSpec
	Slots          int
	Balancers      int
	// Upstream describes how long work takes; its addresses are filled in.
	Upstream upstream.Options
	Baseline sidecar.Baseline
	// Handshakes is the number of handshakes a second that go without address
	// validation at each sidecar; 0 for the default.
	Handshakes int
	// Proxied puts a fault-injecting proxy in front of each sidecar's siblings.
	Proxied bool
}

const (
	storePort    = 9000
	tunnelPort   = 7000
	controlPort  = 7001
	proxyPort    = 7003
	apiPort      = 7002
	upstreamPort = 8000
	servicePort  = 4430
	apiToken     = "demo-token"
	secret       = "demo-secret-that-is-long-enough"
)

// process is a balancer or sidecar that runs in this process.
type process struct {
	stop  context.CancelFunc // asks it to leave
	abort context.CancelFunc // ends it at once
	done  chan error
}

func (p *process) wait() error { return <-p.done }

// Site is a running deployment.
type Site struct {
	SiteSpec
	log   *slog.Logger
	block block.AddressBlock
	dir   string
	roots *x509.CertPool

	Store  *store.Store
	Fabric *fabric.Fabric
	API    *operator.Client

	mu        sync.Mutex
	cleanups  []func()
	balancers map[int]*process
	sidecars  map[string]*process
	Upstreams map[string]*upstream.Upstream
	Loads     map[string]*load.Load
	// Proxies are the proxies between siblings, by the identity of the sidecar behind.
	Proxies map[string]*proxy.Proxy
	// Registries hold the metrics of processes, by identity.
	Registries map[string]metrics.Registry
}

// NewSite starts a deployment and applies its services through a balancer's API.
// The clean-up function ends everything.
func NewSite(ctx context.Context, log *slog.Logger, spec SiteSpec) (*Site, func(), error) {
	s := &Site{
		SiteSpec:   spec,
		log:        log,
		balancers:  map[int]*process{},
		sidecars:   map[string]*process{},
		Upstreams:  map[string]*upstream.Upstream{},
		Loads:      map[string]*load.Load{},
		Proxies:    map[string]*proxy.Proxy{},
		Registries: map[string]metrics.Registry{},
	}
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, nil, errors.Wrapf(err, "demo.NewSite: %s", spec.Name)
	}
	return s, s.close, nil
}

func (s *Site) onClose(f func()) { s.cleanups = append(s.cleanups, f) }

func (s *Site) close() {
	for _, l := range s.Loads {
		l.Wait()
	}
	s.mu.Lock()
	processes := []*process{}
	for _, p := range s.balancers {
		processes = append(processes, p)
	}
	for _, p := range s.sidecars {
		processes = append(processes, p)
	}
	s.mu.Unlock()
	for _, p := range processes {
		p.abort()
		p.stop()
	}
	for _, p := range processes {
		_ = p.wait() // the end was asked for
	}
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// Kinds of addresses within a site's block.
const (
	kindStore = iota
	kindBalancer
	kindSidecar
	kindUpstream
	kindService
)

func (s *Site) start(ctx context.Context) error {
	claimed, release, err := block.Reserve()
	if err != nil {
		return err
	}
	s.block = claimed
	s.onClose(release)
	st, _, stopStore, err := store.Start(s.block.Addr(kindStore, 1, storePort))
	if err != nil {
		return err
	}
	s.Store = st
	s.onClose(stopStore)
	if err := s.makeCertificates(); err != nil {
		return err
	}
	f, stop := fabric.New()
	s.Fabric = f
	s.onClose(stop)
	for i := 1; i <= s.Balancers; i++ {
		s.StartBalancer(i)
	}
	s.API = operator.NewClient(s.block.Addr(kindBalancer, 1, apiPort), apiToken, http.DefaultTransport)
	if err := s.apply(ctx); err != nil {
		return err
	}
	n := 0
	for _, svc := range s.Services {
		for i := 1; i <= svc.Upstreams; i++ {
			n++
			if err := s.startUpstream(svc.Name, i, n); err != nil {
				return err
			}
		}
	}
	return s.startCallers(ctx)
}

func (s *Site) makeCertificates() error {
	dir, err := os.MkdirTemp("", "greengagedyke-demo-")
	if err != nil {
		return err
	}
	s.dir = dir
	s.onClose(func() { os.RemoveAll(dir) })
	s.roots, err = certificate.Write(s.certificateFile(), s.keyFile(), serverName)
	return err
}

const serverName = "service.example"

func (s *Site) certificateFile() string { return filepath.Join(s.dir, "certificate.pem") }
func (s *Site) keyFile() string         { return filepath.Join(s.dir, "key.pem") }

// ServiceAddress is the address of the n-th service, counted from 0.
func (s *Site) ServiceAddress(n int) netip.AddrPort {
	return s.block.Addr(kindService, n+1, servicePort+uint16(n))
}

func (s *Site) apply(ctx context.Context) error {
	var services service.Services
	for n, spec := range s.Services {
		if err := s.Fabric.Serve(s.ServiceAddress(n)); err != nil {
			return err
		}
		services = append(services, service.Service{Name: spec.Name, Address: s.ServiceAddress(n), Routes: Routes(spec.Load.Deadlines)})
	}
	for {
		_, err := s.API.Apply(ctx, services)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return err
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// Routes are the routes of the stand-in upstream.
func Routes(deadlines map[load.Kind]time.Duration) service.Routes {
	return service.Routes{
		{Method: "GET", PathPrefix: "/feed", Class: service.ClassFlow},
		{Method: "POST", PathPrefix: "/swap", Class: service.ClassNonIdempotent, Priority: 0, Deadline: service.Duration(deadlines[load.KindSwap])},
		{Method: "GET", PathPrefix: "/short", Class: service.ClassIdempotent, Priority: 1, Deadline: service.Duration(deadlines[load.KindShort])},
		{Method: "GET", PathPrefix: "/download", Class: service.ClassIdempotent, Long: true, Priority: 2, Deadline: service.Duration(deadlines[load.KindDownload])},
	}
}

func (s *Site) domain(n int) string { return s.FailureDomains[n%len(s.FailureDomains)] }

// StartBalancer starts the n-th balancer, counted from 1, and lets the fabric use it.
func (s *Site) StartBalancer(n int) {
	var peers []netip.AddrPort
	for i := 1; i <= s.Balancers; i++ {
		if i != n {
			peers = append(peers, s.block.Addr(kindBalancer, i, controlPort))
		}
	}
	cfg := &balancer.Settings{
		Identity:      fmt.Sprintf("balancer-%d", n),
		FailureDomain: s.domain(n),
		Secret:        []byte(secret),
		APIToken:      apiToken,
		Tunnel:        s.block.Addr(kindBalancer, n, tunnelPort),
		Control:       s.block.Addr(kindBalancer, n, controlPort),
		API:           s.block.Addr(kindBalancer, n, apiPort),
		ServiceIP:     s.block.IP(kindBalancer, n),
		Store:         s.block.Addr(kindStore, 1, storePort),
		Peers:         peers,
	}
	registry := metrics.NewRegistry()
	p := s.run(func(ctx, abort context.Context) error {
		return balancer.Run(ctx, abort, s.log, cfg, registry)
	})
	s.mu.Lock()
	s.balancers[n] = p
	s.Registries[cfg.Identity] = registry
	s.mu.Unlock()
	s.spray()
}

// KillBalancer ends the n-th balancer as a crash would; the fabric notices later.
func (s *Site) KillBalancer(n int, notice time.Duration) error {
	s.mu.Lock()
	p := s.balancers[n]
	delete(s.balancers, n)
	s.mu.Unlock()
	p.abort()
	p.stop()
	err := p.wait()
	time.Sleep(notice)
	s.spray()
	return err
}

func (s *Site) spray() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ips []netip.Addr
	for n := range s.balancers {
		ips = append(ips, s.block.IP(kindBalancer, n))
	}
	s.Fabric.SetBalancers(ips)
}

func (*Site) run(f func(ctx, abort context.Context) error) *process {
	ctx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	p := &process{stop: stop, abort: abort, done: make(chan error, 1)}
	go func() { p.done <- f(ctx, abortCtx) }()
	return p
}

func identity(svc string, i int) string { return fmt.Sprintf("%s-%d", svc, i) }

func (s *Site) startUpstream(svc string, i, n int) error {
	o := s.Upstream
	o.Addr = s.block.Addr(kindUpstream, n, upstreamPort)
	o.Service = svc
	o.Identity = identity(svc, i)
	o.Slots = s.Slots
	u, _, stop, err := upstream.Start(o)
	if err != nil {
		return err
	}
	s.onClose(stop)
	s.Upstreams[o.Identity] = u
	return s.StartSidecar(svc, i, n)
}

// StartSidecar starts the i-th sidecar of a service, on the n-th sidecar address of
// the site.
func (s *Site) StartSidecar(svc string, i, n int) error {
	var balancers []netip.AddrPort
	for b := 1; b <= s.Balancers; b++ {
		balancers = append(balancers, s.block.Addr(kindBalancer, b, controlPort))
	}
	cfg := &sidecar.Settings{
		Identity:        identity(svc, i),
		FailureDomain:   s.domain(n),
		Secret:          []byte(secret),
		Service:         svc,
		Tunnel:          s.block.Addr(kindSidecar, n, tunnelPort),
		Sibling:         s.block.Addr(kindSidecar, n, controlPort),
		Upstream:        s.block.Addr(kindUpstream, n, upstreamPort),
		Slots:           s.Slots,
		Balancers:       balancers,
		CertificateFile: s.certificateFile(),
		KeyFile:         s.keyFile(),
		Baseline:        s.Baseline,
		Handshakes:      s.Handshakes,
	}
	cfg.Defaults()
	if s.Proxied {
		cfg.SiblingPublic = s.block.Addr(kindSidecar, n, proxyPort)
		if err := s.startProxy(cfg); err != nil {
			return err
		}
	}
	registry := metrics.NewRegistry()
	p := s.run(func(ctx, abort context.Context) error {
		return sidecar.Run(ctx, abort, s.log, cfg, registry)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sidecars[cfg.Identity] = p
	s.Registries[cfg.Identity] = registry
	return nil
}

func (s *Site) startProxy(cfg *sidecar.Settings) error {
	if s.Proxies[cfg.Identity] != nil {
		return nil
	}
	p, _, stop, err := proxy.TCP(cfg.SiblingPublic, cfg.Sibling)
	if err != nil {
		return err
	}
	s.onClose(stop)
	s.Proxies[cfg.Identity] = p
	return nil
}

// KillSidecar ends a sidecar as a crash would.
func (s *Site) KillSidecar(identity string) error {
	s.mu.Lock()
	p := s.sidecars[identity]
	delete(s.sidecars, identity)
	s.mu.Unlock()
	p.abort()
	p.stop()
	return p.wait()
}

// Count is the value of a process's counter.
func (s *Site) Count(identity, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.Registries[identity].Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// DrainSidecar asks a sidecar to leave and returns a channel with its end.
func (s *Site) DrainSidecar(identity string) <-chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.sidecars[identity]
	delete(s.sidecars, identity)
	p.stop()
	s.onClose(p.abort)
	return p.done
}

// startCallers waits until every process has the configuration in force, and
// prepares the callers.
func (s *Site) startCallers(ctx context.Context) error {
	want := s.Balancers
	for _, svc := range s.Services {
		want += svc.Upstreams
	}
	if err := s.awaitInForce(ctx, want); err != nil {
		return err
	}
	for n, spec := range s.Services {
		o := spec.Load
		o.Address = s.ServiceAddress(n)
		o.Service = spec.Name
		o.Roots = s.roots
		o.ServerName = serverName
		l, stop := load.New(o)
		s.onClose(stop)
		s.Loads[spec.Name] = l
	}
	return nil
}

func (s *Site) awaitInForce(ctx context.Context, want int) error {
	for {
		status, err := s.API.Status(ctx)
		if err == nil && status.InForce == want && status.ReadyCount() == want {
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ctx.Err(), "in force on %d of %d", status.InForce, want)
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// Audits returns what the upstreams of a service ran.
func (s *Site) Audits(svc string) []upstream.Audit {
	var audits []upstream.Audit
	for _, u := range s.Upstreams {
		if u.Service == svc {
			audits = append(audits, u.Audit())
		}
	}
	return audits
}
