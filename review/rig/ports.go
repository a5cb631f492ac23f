package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/platform"
)

const (
	// portCount is the number of ports from which callers open flows, one after the other.
	portCount = 10
	// roundCount is how often the callers come back after a change, each time after afterChange.
	roundCount = 3
	// afterChange is how long after the acknowledgement of a configuration the requests are sent. It
	// is above config_apply_ms, 3000, and stable_window_ms, 4000.
	afterChange = 6 * time.Second
)

var (
	// movedAddr is routed to another service by the second configuration, and droppedAddr not at all.
	movedAddr   = netip.MustParseAddrPort("198.18.0.2:443")
	droppedAddr = netip.MustParseAddrPort("198.18.0.3:443")
)

// portUsedAgain changes the configuration. Later, callers open new flows from ports that they used
// before; the flows from those ports were closed before the change.
func portUsedAgain(ctx context.Context, s *site, t trouble) (int, error) {
	if err := s.configure(2, route(serviceAddr, serviceName), route(movedAddr, serviceName), route(droppedAddr, serviceName)); err != nil {
		return 0, err
	}
	if err := s.startAll(ctx, -1); err != nil {
		return 0, err
	}
	sleep(ctx, stableWindow)
	addrs := []netip.AddrPort{movedAddr, droppedAddr}
	allowed := map[netip.AddrPort]string{movedAddr: serviceName, droppedAddr: serviceName}
	if n := s.requestFromEachPort(ctx, "before", addrs, allowed); n != 0 {
		return 0, errors.New("a request was run by the wrong service before the change")
	}
	if t == troubleAll {
		allowed = map[netip.AddrPort]string{movedAddr: otherServiceName}
		if err := s.configure(3, route(serviceAddr, serviceName), route(movedAddr, otherServiceName)); err != nil {
			return 0, err
		}
		s.record.write("the store has acknowledged the configuration, without a route for %s", droppedAddr)
	}
	broken := 0
	for round := range roundCount {
		sleep(ctx, afterChange)
		if err := s.restartCallers(); err != nil {
			return 0, err
		}
		broken += s.requestFromEachPort(ctx, fmt.Sprintf("after-%d", round), addrs, allowed)
	}
	s.record.write("from ports that were not used before:")
	return broken + s.requestFromEachPort(ctx, "new", addrs, allowed), nil
}

func route(addr netip.AddrPort, service string) platform.ServiceRoute {
	return platform.ServiceRoute{Addr: addr, Service: service}
}

// requestFromEachPort opens a flow from each of the callers' next ports, to the addresses by turns, sends
// one request on it and closes it. It returns how many requests were run by a service that allowed does
// not name for the address.
func (s *site) requestFromEachPort(ctx context.Context, name string, addrs []netip.AddrPort, allowed map[netip.AddrPort]string) int {
	broken := 0
	for i := range portCount {
		addr := addrs[i%len(addrs)]
		f, err := s.callers.Open(ctx, addr)
		if err != nil {
			s.record.write("flow %s does not open: %v", f.Key(), err)
			continue
		}
		answer, err := s.request(ctx, f, fmt.Sprintf("%s-%d", name, i))
		if err == nil && (allowed[addr] == "" || !strings.HasSuffix(answer, " by "+allowed[addr])) {
			broken++
			s.record.write("BROKEN: run by a service that is not allowed for %s (allowed: %q)", addr, allowed[addr])
		}
		f.Close()
	}
	return broken
}
