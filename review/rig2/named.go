package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"greengagedyke/platform"
	"greengagedyke/service"
)

// The times of the case. The balancer is started again balancerDelay after its end, and the sidecar, which is
// stopped stopDelay after the end of the balancer, sidecarDelay after its own end. Callers send their next
// requests nextDelay after the start of the balancer.
const (
	namedFlows    = 300
	openPause     = time.Millisecond
	calmTime      = 500 * time.Millisecond
	balancerDelay = 650 * time.Millisecond
	stopDelay     = 250 * time.Millisecond
	sidecarDelay  = 1600 * time.Millisecond
	nextDelay     = 700 * time.Millisecond
	readyInterval = 500 * time.Millisecond
)

// router selects balancers as the platform's routers do: by a steady hash over those that are in rotation.
type router struct {
	mu       sync.Mutex
	addrs    []netip.AddrPort
	misses   []int
	readyOf  []netip.AddrPort
	stopChan chan struct{}
}

// startRouter starts a router that asks the balancers for readiness twice a second.
func (s *site) startRouter() *router {
	r := &router{misses: make([]int, balancerCount), stopChan: make(chan struct{})}
	for i := range balancerCount {
		r.addrs = append(r.addrs, netip.MustParseAddrPort(s.addr(balancerHost+i, s.ports.packets)))
		r.readyOf = append(r.readyOf, netip.MustParseAddrPort(s.addr(balancerHost+i, s.ports.ready)))
		go r.poll(i)
	}
	return r
}

// poll asks a balancer for readiness until the router is stopped.
func (r *router) poll(i int) {
	for {
		ctx, cancel := context.WithTimeout(context.Background(), readyInterval)
		ready := platform.CheckReady(ctx, r.readyOf[i])
		cancel()
		r.mu.Lock()
		r.misses[i]++
		if ready {
			r.misses[i] = 0
		}
		r.mu.Unlock()
		select {
		case <-r.stopChan:
			return
		case <-time.After(readyInterval):
		}
	}
}

// route returns the balancer for a flow: out of rotation is one that has missed twice.
func (r *router) route(key string) netip.AddrPort {
	r.mu.Lock()
	defer r.mu.Unlock()
	best := -1
	var highest uint64
	for i := range r.addrs {
		if score := service.RendezvousScore(r.addrs[i].String(), key); r.misses[i] < 2 && (best < 0 || score > highest) {
			best, highest = i, score
		}
	}
	return r.addrs[max(0, best)]
}

// runNamed runs the case of a planned restart of a balancer while a sidecar is being restarted as planned. It
// reports whether the rule was broken.
func runNamed() (bool, error) {
	s, err := newSite("kochi-a", "kochi-b", "tvm-a", "kzd-a")
	if err != nil {
		return false, err
	}
	defer s.stop()
	address := netip.MustParseAddrPort("127.198.18.1:8443")
	if _, _, err := s.startAll(address, "registry-core"); err != nil {
		return false, err
	}
	c, err := s.startCallers(callerHost, balancerCount)
	if err != nil {
		return false, err
	}
	time.Sleep(startTime)
	c.router = s.startRouter()
	defer close(c.router.stopChan)
	flows := c.openIdle(address)
	time.Sleep(calmTime)
	if os.Getenv("TROUBLE") != "0" {
		if err := s.restartAsPlanned(); err != nil {
			return false, err
		}
	}
	time.Sleep(nextDelay)
	for _, f := range flows {
		c.users.Add(1)
		go func() {
			defer c.users.Done()
			c.next(f)
		}()
	}
	c.users.Wait()
	s.printRequests(c)
	return s.judgeResets(c), nil
}

// openIdle opens flows with one request each.
func (c *callers) openIdle(address netip.AddrPort) []*callerFlow {
	var flows []*callerFlow
	for range namedFlows {
		f := c.newFlow(address)
		if f.open() && f.do("first request on "+f.key.String()) {
			c.count("answered", f)
			flows = append(flows, f)
		}
		time.Sleep(openPause)
	}
	fmt.Println(time.Now().Format(timeFormat), len(flows), "flows are open and idle")
	return flows
}

// next sends the next request on a flow and closes the flow.
func (c *callers) next(f *callerFlow) {
	outcome := "answered"
	if !f.do("next request on " + f.key.String()) {
		outcome = "no answer by the deadline"
	}
	if f.reset {
		outcome = "reset"
	}
	c.count(outcome, f)
	f.close()
}

// restartAsPlanned stops and starts a balancer and, meanwhile, a sidecar. It returns when the balancer has been
// started.
func (s *site) restartAsPlanned() error {
	balancer, sidecar := s.named("front-0"), s.named("side-0")
	fmt.Println(time.Now().Format(timeFormat), "SIGTERM to front-0")
	balancer.signal(syscall.SIGTERM)
	<-balancer.done
	ended := time.Now()
	fmt.Println(ended.Format(timeFormat), "front-0 has ended")
	go func() {
		time.Sleep(stopDelay)
		fmt.Println(time.Now().Format(timeFormat), "SIGTERM to side-0")
		sidecar.signal(syscall.SIGTERM)
		<-sidecar.done
		fmt.Println(time.Now().Format(timeFormat), "side-0 has ended")
		time.Sleep(sidecarDelay)
		fmt.Println(time.Now().Format(timeFormat), "side-0 starts again")
		_, _ = s.startRole("sidecar", "side-0", s.zone(0), "registry-core", sidecarHost)
	}()
	time.Sleep(time.Until(ended.Add(balancerDelay)))
	fmt.Println(time.Now().Format(timeFormat), "front-0 starts again")
	_, err := s.startRole("balancer", "front-0", s.zone(0), "", balancerHost)
	return err
}

// judgeResets reports whether a flow was reset. All backends live and are not disturbed, they send no resets,
// and there is planned work alone.
func (s *site) judgeResets(c *callers) bool {
	opened := map[string]string{}
	for _, e := range s.allEvents() {
		if e.Kind == eventOpened {
			opened[e.Flow] = e.Backend
		}
	}
	broken := 0
	for k, f := range c.ended {
		if !f.reset || opened[k] == "" {
			continue
		}
		broken++
		fmt.Println(f.resetAt.Format(timeFormat), "flow", k, "is open at", opened[k], "which lives; its caller gets a reset")
	}
	fmt.Println("flows that FLOW (a) counts:", broken)
	return broken > 0
}
