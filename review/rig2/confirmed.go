package main

import (
	"fmt"
	"net/netip"
	"os"
	"time"
)

// The case's size: that of mcrs-kochi, with one of its services.
const (
	balancerCount = 5
	backendCount  = 7
)

// The case's times. crashFor is how long a backend is down, crashInterval the time between crashes. Callers
// open flows at flowInterval, and at burstInterval for burstTime around each crash.
const (
	startTime     = 5 * time.Second
	crashCount    = 12
	crashFor      = 300 * time.Millisecond
	crashInterval = 5 * time.Second
	flowInterval  = 10 * time.Millisecond
	burstInterval = 300 * time.Microsecond
	burstBefore   = 50 * time.Millisecond
	burstTime     = 200 * time.Millisecond
)

// runConfirmed runs the case of a backend that restarts while opening packets are on their way to it. It
// reports whether the rule was broken.
func runConfirmed() (bool, error) {
	s, err := newSite("kochi-a", "kochi-b", "tvm-a", "kzd-a")
	if err != nil {
		return false, err
	}
	defer s.stop()
	service := netip.MustParseAddrPort("127.198.18.1:8443")
	names, backends, err := s.startAll(service, "registry-core")
	if err != nil {
		return false, err
	}
	c, err := s.startCallers(callerHost, balancerCount)
	if err != nil {
		return false, err
	}
	time.Sleep(startTime)
	for i := range crashCount {
		c.openMany(service, flowInterval, crashInterval)
		done := make(chan error, 1)
		go func() {
			time.Sleep(burstBefore)
			done <- s.crashBackend(names, backends, i)
		}()
		c.openMany(service, burstInterval, burstTime)
		if err := <-done; err != nil {
			return false, err
		}
	}
	c.users.Wait()
	s.printRequests(c)
	return s.judgeStrayed(c), nil
}

// startAll starts the store, the balancers, and the sidecars with their backends. It returns the names and
// processes of the backends.
func (s *site) startAll(address netip.AddrPort, service string) (names []string, backends []*process, err error) {
	if err := s.startStore(address, service); err != nil {
		return nil, nil, err
	}
	for i := range balancerCount {
		if _, err := s.startRole("balancer", fmt.Sprintf("front-%d", i), s.zone(i), "", balancerHost+i); err != nil {
			return nil, nil, err
		}
	}
	for i := range backendCount {
		if _, err := s.startRole("sidecar", fmt.Sprintf("side-%d", i), s.zone(i), service, sidecarHost+i); err != nil {
			return nil, nil, err
		}
		name := fmt.Sprintf("backend-%d", i)
		p, err := s.startBackend(name, s.zone(i), service, sidecarHost+i)
		if err != nil {
			return nil, nil, err
		}
		names, backends = append(names, name), append(backends, p)
	}
	return names, backends, nil
}

// crashBackend kills a backend and starts it again soon.
func (s *site) crashBackend(names []string, backends []*process, i int) error {
	if os.Getenv("TROUBLE") == "0" {
		return nil
	}
	n := i % len(backends)
	fmt.Println(time.Now().Format(timeFormat), "crash of", names[n], "for", crashFor)
	s.killBackend(names[n], backends[n])
	time.Sleep(crashFor)
	names[n] = fmt.Sprintf("backend-%d-again-%d", n, i)
	var err error
	backends[n], err = s.startBackend(names[n], s.zone(n), "registry-core", sidecarHost+n)
	return err
}

// openMany opens flows at an interval for some time. Their users go on after that.
func (c *callers) openMany(service netip.AddrPort, interval, length time.Duration) {
	start := time.Now()
	for n := 1; time.Since(start) < length; n++ {
		c.users.Add(1)
		go func() {
			defer c.users.Done()
			c.use(service, 2, 300*time.Millisecond)
		}()
		time.Sleep(time.Until(start.Add(time.Duration(n) * interval)))
	}
}
