package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/platform"
	"greengagedyke/standin/block"
	"greengagedyke/standin/flowtest"
	"greengagedyke/standin/store"
)

const (
	// The third octets of the addresses, by use. The store's address ends in 0.2.
	balancerSubnet = 1 + iota
	sidecarSubnet
	callerSubnet
	proxySubnet

	serviceName      = "rota-core"
	otherServiceName = "sheet-render"
	zoneName         = "tx-central-a"

	balancerCount = 5
	sidecarCount  = 10

	// readyTimeout is how long the site may take until its balancers are ready.
	readyTimeout = 15 * time.Second
	// requestTimeout is the deadline of the unsafe requests of deskline-tx.
	requestTimeout = 1200 * time.Millisecond
)

// The ports are the same on all machines, and free when the site starts.
var packetsPort, readyPort, controlPort, outboundPort, appPort, tunnelPort, metricsPort, storePort uint16

// pickPorts sets the ports to free ones of the block.
func pickPorts(b block.AddressBlock) error {
	for _, p := range []*uint16{&packetsPort, &readyPort, &controlPort, &outboundPort, &appPort, &tunnelPort, &metricsPort, &storePort} {
		ln, err := net.Listen("tcp4", b.Addr(0, 3, 0).String())
		if err != nil {
			return errors.Wrap(err, "pickPorts")
		}
		defer ln.Close() // after all are picked, so that they differ
		*p = ln.Addr().(*net.TCPAddr).AddrPort().Port()
	}
	return nil
}

// serviceAddr is the address to which callers open flows.
var serviceAddr = netip.MustParseAddrPort("198.18.0.1:443")

// site is a small deployment: the project's balancers and sidecars as processes, between stand-ins.
type site struct {
	record  *record
	dir     string
	block   block.AddressBlock
	store   *store.Store
	router  *flowtest.Router
	callers *flowtest.Callers
	// stopCallers ends the callers.
	stopCallers func()
	balancers   [balancerCount]*process
	sidecars    [sidecarCount]*process
	backends    [sidecarCount]*backend
	// services are the services of the backends beside the sidecars.
	services [sidecarCount]string
	// proxy is between the first sidecar and its backend's heartbeats; nil if there is none.
	proxy *proxy
	// closers end the stand-ins, in reverse order.
	closers []func()
}

// newSite starts the store with a configuration, the balancers and the sidecars. It starts no backend.
func newSite(r *record) (*site, error) {
	dir, err := os.MkdirTemp("", "review-*")
	if err != nil {
		return nil, errors.Wrap(err, "newSite")
	}
	s := &site{
		record: r, dir: dir, services: [sidecarCount]string{7: otherServiceName, 8: otherServiceName, 9: otherServiceName},
		stopCallers: func() {}, closers: []func(){func() { os.RemoveAll(dir) }},
	}
	for i := range 7 {
		s.services[i] = serviceName
	}
	var release, stop func()
	if s.block, release, err = block.Reserve(); err != nil {
		return s, err
	}
	s.closers = append(s.closers, release)
	if err := pickPorts(s.block); err != nil {
		return s, err
	}
	if s.store, _, stop, err = store.Start(s.block.Addr(0, 2, storePort)); err != nil {
		return s, err
	}
	s.closers = append(s.closers, stop)
	if err := s.configure(1, platform.ServiceRoute{Addr: serviceAddr, Service: serviceName}); err != nil {
		return s, err
	}
	for i := range s.balancers {
		if err := s.startBalancer(i); err != nil {
			return s, err
		}
	}
	for i := range s.sidecars {
		if err := s.startSidecar(i); err != nil {
			return s, err
		}
	}
	return s, s.startCallers()
}

// startProxy starts the proxy between the first sidecar and its backend's heartbeats.
func (s *site) startProxy() error {
	p, stop, err := startProxy(s.block.Addr(proxySubnet, 1, controlPort), s.sidecarAddr(target, controlPort))
	if err != nil {
		return err
	}
	s.proxy = p
	s.closers = append(s.closers, stop)
	return nil
}

// awaitSidecar waits until a sidecar receives heartbeats.
func (s *site) awaitSidecar(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !platform.CheckReady(ctx, s.sidecarAddr(i, readyPort)) {
		if ctx.Err() != nil {
			return errors.New("a sidecar does not start")
		}
		sleep(ctx, 10*time.Millisecond)
	}
	sleep(ctx, 100*time.Millisecond)
	return nil
}

// idleTimeout is that of the example of the pages, in milliseconds. Flows that are idle for longer do not
// count; no flow of a case is.
const idleTimeout = 15000

// configure writes a configuration as the operator does, with the limits of the example of the pages.
func (s *site) configure(version int, routes ...platform.ServiceRoute) error {
	encoded := platform.EncodeOperatorConfiguration(version, routes...)
	var configuration map[string]any
	if err := json.Unmarshal(encoded.Data, &configuration); err != nil {
		return errors.Wrap(err, "site.configure")
	}
	configuration["limits"] = map[string]int{
		"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": idleTimeout,
	}
	var err error
	if encoded.Data, err = json.Marshal(configuration); err != nil {
		return errors.Wrap(err, "site.configure")
	}
	_, _, err = s.store.Write(platform.Transaction{Puts: []platform.Put{encoded}})
	for _, r := range routes {
		s.record.write("configuration %d, acknowledged: %s to %s", version, r.Addr, r.Service)
	}
	return err
}

// startCallers starts the router and the callers.
func (s *site) startCallers() error {
	var targets []flowtest.RouterTarget
	for i := range s.balancers {
		targets = append(targets, flowtest.RouterTarget{Packets: s.balancerAddr(i, packetsPort), Ready: s.balancerAddr(i, readyPort)})
	}
	var stopRouter func()
	s.router, stopRouter = flowtest.StartRouter(targets)
	s.closers = append(s.closers, stopRouter, func() { s.stopCallers() })
	return s.restartCallers()
}

// restartCallers starts the callers, after ending those before. They use the same ports, from the
// first one on.
func (s *site) restartCallers() error {
	s.stopCallers()
	callers, stop, err := flowtest.StartCallers(s.block.Addr(callerSubnet, 1, packetsPort), s.router)
	if err != nil {
		return err
	}
	s.callers, s.stopCallers = callers, stop
	return nil
}

func (s *site) balancerAddr(i int, port uint16) netip.AddrPort {
	return s.block.Addr(balancerSubnet, i+1, port)
}

func (s *site) sidecarAddr(i int, port uint16) netip.AddrPort {
	return s.block.Addr(sidecarSubnet, i+1, port)
}

// seeds returns the control addresses of the balancers' machines.
func (s *site) seeds() []string {
	var list []string
	for i := range 3 { // the pages name at most three
		list = append(list, s.balancerAddr(i, controlPort).String())
	}
	return list
}

// startBalancer starts a balancer with the settings of deploy/balancer.json.
func (s *site) startBalancer(i int) error {
	name := fmt.Sprintf("front-%s-%d", zoneName, i+1)
	p, err := startProcess(s.dir, name, "balancer", map[string]any{
		"identity": name, "failure-domain": zoneName,
		"packets-address": s.balancerAddr(i, packetsPort), "tunnel-address": s.balancerAddr(i, tunnelPort),
		"ready-address": s.balancerAddr(i, readyPort), "store-address": s.block.Addr(0, 2, storePort), "peers": s.seeds(),
		"metrics-address": s.balancerAddr(i, metricsPort),
	})
	if err != nil {
		return err
	}
	s.balancers[i] = p
	s.record.write("%s starts", name)
	return nil
}

// startSidecar starts a sidecar.
func (s *site) startSidecar(i int) error {
	name := s.sidecarName(i)
	p, err := startProcess(s.dir, name, "sidecar", s.sidecarSettings(i))
	if err != nil {
		return err
	}
	s.sidecars[i] = p
	s.record.write("%s starts, beside a backend of %s", name, s.services[i])
	return nil
}

func (s *site) sidecarName(i int) string { return fmt.Sprintf("side-%s-%d", zoneName, i+1) }

// sidecarSettings returns the settings of deploy/sidecar.json for a sidecar.
func (s *site) sidecarSettings(i int) map[string]any {
	return map[string]any{
		"identity": s.sidecarName(i), "failure-domain": zoneName, "service": s.services[i],
		"tunnel-address": s.sidecarAddr(i, packetsPort), "outbound-address": s.sidecarAddr(i, outboundPort),
		"upstream-address": s.sidecarAddr(i, appPort), "health-address": s.sidecarAddr(i, appPort),
		"heartbeat-address": s.sidecarAddr(i, controlPort), "ready-address": s.sidecarAddr(i, readyPort),
		"store-address": s.block.Addr(0, 2, storePort), "peers": s.seeds(), "balancer-port": tunnelPort,
		"heartbeat-patience": "2s", "flow-limit": "60s", "metrics-address": s.sidecarAddr(i, metricsPort),
	}
}

// stopSidecar stops a sidecar as planned: SIGTERM, and SIGKILL after the grace.
func (s *site) stopSidecar(i int) {
	s.record.write("%s gets SIGTERM", s.sidecars[i].name)
	s.sidecars[i].stop()
	s.record.write("%s has ended", s.sidecars[i].name)
	s.sidecars[i] = nil
}

// startBackend starts the backend beside a sidecar.
func (s *site) startBackend(i int, id string, born time.Time) error {
	control := s.sidecarAddr(i, controlPort)
	if i == target && s.proxy != nil {
		control = s.block.Addr(proxySubnet, 1, controlPort)
	}
	b, err := startBackend(s.record, s.services[i], id, born, s.sidecarAddr(i, appPort), s.sidecarAddr(i, outboundPort), control)
	if err != nil {
		return err
	}
	s.backends[i] = b
	return nil
}

// awaitReady waits until all balancers are ready.
func (s *site) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for i := range s.balancers {
		for !platform.CheckReady(ctx, s.balancerAddr(i, readyPort)) {
			if ctx.Err() != nil {
				return errors.New("the balancers are not ready")
			}
			sleep(ctx, 50*time.Millisecond)
		}
	}
	return nil
}

// openAt opens flows and returns those that a backend holds, at least count of them. Each flow has
// served one request. The other flows are closed.
func (s *site) openAt(ctx context.Context, i, count int, within time.Duration) ([]*flowtest.Flow, error) {
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	var held []*flowtest.Flow
	for n := 0; len(held) < count; n++ {
		if ctx.Err() != nil {
			return nil, errors.New("too few flows opened at the backend")
		}
		f, err := s.callers.Open(ctx, serviceAddr)
		if err != nil {
			continue
		}
		if _, err := s.request(ctx, f, fmt.Sprintf("warm-%d", n)); err != nil {
			continue
		}
		if s.backends[i].holds(f.Key()) {
			s.record.write("flow %s is open at backend %s", f.Key(), s.backends[i].id)
			held = append(held, f)
			continue
		}
		f.Close()
	}
	return held, nil
}

// request sends a request on a flow and waits for the answer until the deadline of the requests.
func (s *site) request(ctx context.Context, f *flowtest.Flow, id string) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	s.record.write("caller sends %s on %s", id, f.Key())
	answer, err := f.Do(ctx, id)
	switch {
	case errors.Is(err, flowtest.ErrReset):
		s.record.write("caller gets a RESET of %s instead of the answer to %s", f.Key(), id)
	case err != nil:
		s.record.write("caller gets no answer to %s within %v", id, requestTimeout)
	default:
		s.record.write("caller gets %q", answer)
	}
	return answer, err
}

// checkFlows sends a request on each flow. It returns how many flows were reset though their backend
// lives, holds them and has sent no reset. That breaks the rule FLOW.
func (s *site) checkFlows(ctx context.Context, i int, flows []*flowtest.Flow) int {
	broken := 0
	for n, f := range flows {
		_, err := s.request(ctx, f, fmt.Sprintf("swap-%d", n))
		if errors.Is(err, flowtest.ErrReset) && s.backends[i].holds(f.Key()) {
			broken++
			s.record.write("FLOW: backend %s lives and holds %s, and has sent no reset", s.backends[i].id, f.Key())
		}
	}
	return broken
}

// close ends all processes and stand-ins.
func (s *site) close() {
	for _, p := range append(s.balancers[:], s.sidecars[:]...) {
		if p != nil {
			p.kill()
		}
	}
	for _, b := range s.backends {
		if b != nil {
			b.crash()
		}
	}
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}
