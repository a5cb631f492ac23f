// Package demo runs complete deployments in one process over loopback sockets: balancers and
// sidecars between stand-ins for the store, the fabric, upstreams and callers.
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
	Name string
	// Upstreams is the number of upstreams, each with a sidecar.
	Upstreams int
	// Load holds the options of the callers. NewSite sets the address, service, roots and server name
	// in them.
	Load load.Options
}

// SiteSpec describes a deployment.
type SiteSpec struct {
	Name string
	// FailureDomains are the names of the failure domains, which balancers and sidecars get in turn.
	FailureDomains []string
	Services       []ServiceSpec
	// Slots is the number of requests that each upstream runs at a time.
	Slots int
	// Balancers is the number of balancers at the start.
	Balancers int
	// Upstream holds the options of all upstreams. NewSite sets the address, service, identity and
	// slots in them.
	Upstream upstream.Options
	// Baseline replaces the scheduling of the sidecars by a simpler one, unless it is BaselineNone.
	Baseline sidecar.Baseline
	// UnvalidatedHandshakes is the number of handshakes per second that each sidecar accepts without
	// address validation; 0 for the default.
	UnvalidatedHandshakes int
	// Proxied puts a fault-injecting proxy in front of each sidecar's sibling address.
	Proxied bool
}

// Ports, API token and secret of all deployments. Processes of one kind use the same port on
// different IP addresses.
const (
	storePort    = 9000
	tunnelPort   = 7000
	controlPort  = 7001 // of a balancer's control address and of a sidecar's sibling address
	proxyPort    = 7003 // of the proxy in front of a sidecar's sibling address
	apiPort      = 7002
	upstreamPort = 8000
	servicePort  = 4430 // of the first service; each further service has the next port
	apiToken     = "demo-token"
	secret       = "demo-secret-that-is-long-enough"
)

// instance is a balancer or sidecar that runs in a goroutine of this process.
type instance struct {
	stop  context.CancelFunc // starts a graceful shutdown
	abort context.CancelFunc // ends the instance at once
	done  chan error         // receives the instance's error, or nil, once it has ended
}

// wait waits for the instance to end and returns its error. It may be called once.
func (inst *instance) wait() error { return <-inst.done }

// Site is a running deployment.
type Site struct {
	SiteSpec
	log   *slog.Logger
	block block.AddressBlock
	dir   string         // holds the certificate and its key
	roots *x509.CertPool // callers trust these certificates

	Store  *store.Store
	Fabric *fabric.Fabric
	// API is a client of the first balancer.
	API *operator.Client

	mu        sync.Mutex           // guards balancers, sidecars and Registries
	cleanups  []func()             // run in reverse order by close
	balancers map[int]*instance    // running balancers by number, counted from 1
	sidecars  map[string]*instance // running sidecars by identity
	// Upstreams are the upstreams by identity. A sidecar has the identity of its upstream.
	Upstreams map[string]*upstream.Upstream
	// Loads are the callers by name of the service.
	Loads map[string]*load.Load
	// Proxies are the proxies in front of sibling addresses, by identity of the sidecar.
	Proxies map[string]*proxy.Proxy
	// Registries hold the metrics of balancers and sidecars, by identity.
	Registries map[string]metrics.Registry
}

// NewSite starts a deployment, applies its services through the first balancer's API and waits until
// all processes have them in force. The returned function stops the deployment.
func NewSite(ctx context.Context, log *slog.Logger, spec SiteSpec) (*Site, func(), error) {
	s := &Site{
		SiteSpec:   spec,
		log:        log,
		balancers:  map[int]*instance{},
		sidecars:   map[string]*instance{},
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

// addCleanup registers a function that close calls.
func (s *Site) addCleanup(f func()) { s.cleanups = append(s.cleanups, f) }

// close closes the callers' feeds and waits for their open requests, aborts all balancers and sidecars,
// and runs the clean-up functions.
func (s *Site) close() {
	for _, l := range s.Loads {
		l.Wait()
	}
	s.mu.Lock()
	instances := []*instance{}
	for _, inst := range s.balancers {
		instances = append(instances, inst)
	}
	for _, inst := range s.sidecars {
		instances = append(instances, inst)
	}
	s.mu.Unlock()
	for _, inst := range instances {
		inst.abort()
		inst.stop()
	}
	for _, inst := range instances {
		_ = inst.wait() // errors after an abort are expected
	}
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

// Kinds of addresses in a site's block. The kind is the third byte of the IP address.
const (
	kindStore = iota
	kindBalancer
	kindSidecar
	kindUpstream
	kindService
)

// start starts the stand-ins, balancers and sidecars, applies the services and creates the callers.
func (s *Site) start(ctx context.Context) error {
	reserved, release, err := block.Reserve()
	if err != nil {
		return err
	}
	s.block = reserved
	s.addCleanup(release)
	st, _, stopStore, err := store.Start(s.block.Addr(kindStore, 1, storePort))
	if err != nil {
		return err
	}
	s.Store = st
	s.addCleanup(stopStore)
	if err := s.writeCertificate(); err != nil {
		return err
	}
	f, stop := fabric.New()
	s.Fabric = f
	s.addCleanup(stop)
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
	return s.prepareCallers(ctx)
}

// writeCertificate writes a self-signed certificate for all services into a temporary directory.
func (s *Site) writeCertificate() error {
	dir, err := os.MkdirTemp("", "greengagedyke-demo-")
	if err != nil {
		return err
	}
	s.dir = dir
	s.addCleanup(func() { os.RemoveAll(dir) })
	s.roots, err = certificate.Write(s.certificateFile(), s.keyFile(), serverName)
	return err
}

// serverName is the name in the certificate that all sidecars use.
const serverName = "service.example"

func (s *Site) certificateFile() string { return filepath.Join(s.dir, "certificate.pem") }
func (s *Site) keyFile() string         { return filepath.Join(s.dir, "key.pem") }

// ServiceAddress returns the address of the n-th service, counted from 0.
func (s *Site) ServiceAddress(n int) netip.AddrPort {
	return s.block.Addr(kindService, n+1, servicePort+uint16(n))
}

// apply makes the fabric listen on the services' addresses, and sends the services' declarations to the
// first balancer until it accepts them or ctx is done.
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

// Routes returns the routes to declare for a service whose upstreams are stand-ins. deadlines holds the
// deadline of each kind of request.
func Routes(deadlines map[load.Kind]time.Duration) service.Routes {
	return service.Routes{
		{Method: "GET", PathPrefix: "/feed", Class: service.ClassFlow},
		{Method: "POST", PathPrefix: "/swap", Class: service.ClassNonIdempotent, Priority: 0, Deadline: service.Duration(deadlines[load.KindSwap])},
		{Method: "GET", PathPrefix: "/short", Class: service.ClassIdempotent, Priority: 1, Deadline: service.Duration(deadlines[load.KindShort])},
		{Method: "GET", PathPrefix: "/download", Class: service.ClassIdempotent, Long: true, Priority: 2, Deadline: service.Duration(deadlines[load.KindDownload])},
	}
}

// failureDomain returns the failure domain of the n-th balancer or sidecar.
func (s *Site) failureDomain(n int) string { return s.FailureDomains[n%len(s.FailureDomains)] }

// StartBalancer starts the n-th balancer, counted from 1, and adds it to the fabric.
func (s *Site) StartBalancer(n int) {
	var peers []netip.AddrPort
	for i := 1; i <= s.Balancers; i++ {
		if i != n {
			peers = append(peers, s.block.Addr(kindBalancer, i, controlPort))
		}
	}
	cfg := &balancer.Settings{
		Identity:      fmt.Sprintf("balancer-%d", n),
		FailureDomain: s.failureDomain(n),
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
	inst := s.startInstance(func(ctx, abort context.Context) error {
		return balancer.Run(ctx, abort, s.log, cfg, registry)
	})
	s.mu.Lock()
	s.balancers[n] = inst
	s.Registries[cfg.Identity] = registry
	s.mu.Unlock()
	s.updateFabric()
}

// KillBalancer ends the n-th balancer as a crash would and returns its error. The fabric goes on
// sending datagrams to it for detectionTime.
func (s *Site) KillBalancer(n int, detectionTime time.Duration) error {
	s.mu.Lock()
	inst := s.balancers[n]
	delete(s.balancers, n)
	s.mu.Unlock()
	inst.abort()
	inst.stop()
	err := inst.wait()
	time.Sleep(detectionTime)
	s.updateFabric()
	return err
}

// updateFabric makes the fabric forward datagrams to the running balancers only.
func (s *Site) updateFabric() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ips []netip.Addr
	for n := range s.balancers {
		ips = append(ips, s.block.IP(kindBalancer, n))
	}
	s.Fabric.SetBalancers(ips)
}

// startInstance runs f in a goroutine. The stop function of the returned instance cancels the ctx
// passed to f, its abort function the abort passed to f.
func (*Site) startInstance(f func(ctx, abort context.Context) error) *instance {
	ctx, stop := context.WithCancel(context.Background())
	abortCtx, abort := context.WithCancel(context.Background())
	inst := &instance{stop: stop, abort: abort, done: make(chan error, 1)}
	go func() { inst.done <- f(ctx, abortCtx) }()
	return inst
}

// upstreamIdentity returns the identity of the i-th upstream of a service and of its sidecar.
func upstreamIdentity(svc string, i int) string { return fmt.Sprintf("%s-%d", svc, i) }

// startUpstream starts the i-th upstream of a service and its sidecar, on the n-th upstream and
// sidecar addresses of the site.
func (s *Site) startUpstream(svc string, i, n int) error {
	o := s.Upstream
	o.Addr = s.block.Addr(kindUpstream, n, upstreamPort)
	o.Service = svc
	o.Identity = upstreamIdentity(svc, i)
	o.Slots = s.Slots
	u, _, stop, err := upstream.Start(o)
	if err != nil {
		return err
	}
	s.addCleanup(stop)
	s.Upstreams[o.Identity] = u
	return s.StartSidecar(svc, i, n)
}

// StartSidecar starts the i-th sidecar of a service on the n-th sidecar address of the site, both
// counted from 1.
func (s *Site) StartSidecar(svc string, i, n int) error {
	var balancers []netip.AddrPort
	for b := 1; b <= s.Balancers; b++ {
		balancers = append(balancers, s.block.Addr(kindBalancer, b, controlPort))
	}
	cfg := &sidecar.Settings{
		Identity:        upstreamIdentity(svc, i),
		FailureDomain:   s.failureDomain(n),
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
		Handshakes:      s.UnvalidatedHandshakes,
	}
	cfg.Defaults()
	if s.Proxied {
		cfg.SiblingPublic = s.block.Addr(kindSidecar, n, proxyPort)
		if err := s.startProxy(cfg); err != nil {
			return err
		}
	}
	registry := metrics.NewRegistry()
	inst := s.startInstance(func(ctx, abort context.Context) error {
		return sidecar.Run(ctx, abort, s.log, cfg, registry)
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sidecars[cfg.Identity] = inst
	s.Registries[cfg.Identity] = registry
	return nil
}

// startProxy starts the proxy in front of a sidecar's sibling address if there is none yet.
func (s *Site) startProxy(cfg *sidecar.Settings) error {
	if s.Proxies[cfg.Identity] != nil {
		return nil
	}
	p, _, stop, err := proxy.TCP(cfg.SiblingPublic, cfg.Sibling)
	if err != nil {
		return err
	}
	s.addCleanup(stop)
	s.Proxies[cfg.Identity] = p
	return nil
}

// KillSidecar ends a sidecar as a crash would and returns its error.
func (s *Site) KillSidecar(identity string) error {
	s.mu.Lock()
	inst := s.sidecars[identity]
	delete(s.sidecars, identity)
	s.mu.Unlock()
	inst.abort()
	inst.stop()
	return inst.wait()
}

// Count returns the value of a process's counter, or 0 if it has no counter of that name.
func (s *Site) Count(identity, name string) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.Registries[identity].Get(name).(metrics.Counter)
	if !ok {
		return 0
	}
	return c.Count()
}

// DrainSidecar starts the graceful shutdown of a sidecar. The returned channel receives the sidecar's
// error, or nil, once it has ended.
func (s *Site) DrainSidecar(identity string) <-chan error {
	s.mu.Lock()
	defer s.mu.Unlock()
	inst := s.sidecars[identity]
	delete(s.sidecars, identity)
	inst.stop()
	s.addCleanup(inst.abort)
	return inst.done
}

// prepareCallers waits until every process has the configuration in force, and creates the callers.
// They send nothing yet.
func (s *Site) prepareCallers(ctx context.Context) error {
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
		s.addCleanup(stop)
		s.Loads[spec.Name] = l
	}
	return nil
}

// awaitInForce waits until exactly want processes are ready and have the configuration in force. It
// returns an error if ctx is done before.
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

// Audits returns the audits of a service's upstreams.
func (s *Site) Audits(svc string) []upstream.Audit {
	var audits []upstream.Audit
	for _, u := range s.Upstreams {
		if u.Service == svc {
			audits = append(audits, u.Audit())
		}
	}
	return audits
}
