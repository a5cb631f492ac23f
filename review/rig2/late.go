package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"time"

	"greengagedyke/flow"
	"greengagedyke/platform"
)

// The sheet's bounds, and the times of the case, from its start. The former backend's last two heartbeats are
// sent into a partition, the second one when the first has had no answer for a second. What is sent into it
// is sent again after 1, 3, 7 and 15 s, as TCP does with the shortest first timeout of RFC 6298.
const (
	drainTime       = 3 * time.Second
	beatTime        = 1200 * time.Millisecond
	warmTime        = 6 * time.Second
	firstLate       = 50 * time.Millisecond
	secondLate      = 1060 * time.Millisecond
	retransmitAfter = 15 * time.Second
	crashAt         = 1500 * time.Millisecond
	restartAt       = 6500 * time.Millisecond
	registerAt      = 8200 * time.Millisecond  // the partition ended at 8.1 s
	drainAt         = 12630 * time.Millisecond // more than stableWindow later
	endAt           = 18 * time.Second
	lateFlowTime    = 2 * time.Millisecond
)

// lateCase is the case of heartbeats of a former backend that arrive late. Its process sends the heartbeats
// of the backend beside the first sidecar.
type lateCase struct {
	site    *site
	control netip.AddrPort
	start   time.Time
	process *process
	// drained is when the sidecar acknowledged that the backend is draining.
	drained time.Time
}

// runLate runs the case. It reports whether the rule was broken.
func runLate() (bool, error) {
	s, err := newSite("tx-central-a", "tx-central-b", "tx-central-c")
	if err != nil {
		return false, err
	}
	defer s.stop()
	service := netip.MustParseAddrPort("127.198.18.1:8443")
	s.silent = "backend-0"
	_, backends, err := s.startAll(service, "rota-core")
	if err != nil {
		return false, err
	}
	c, err := s.startCallers(callerHost, balancerCount)
	if err != nil {
		return false, err
	}
	l := &lateCase{site: s, control: netip.MustParseAddrPort(s.addr(sidecarHost, s.ports.control)), process: backends[0]}
	former := l.newHeartbeat("former")
	l.start = time.Now().Add(warmTime)
	for at := -warmTime; at < 0; at += beatTime {
		l.beat(at, &former)
	}
	done := make(chan struct{})
	go func() {
		c.openMany(service, lateFlowTime, endAt)
		close(done)
	}()
	if os.Getenv("TROUBLE") == "0" {
		l.drainOnly(&former)
	} else if err := l.playTrouble(&former); err != nil {
		return false, err
	}
	<-done
	c.users.Wait()
	s.printRequests(c)
	return l.judge(), nil
}

// newHeartbeat returns the first heartbeat of a backend that starts now.
func (l *lateCase) newHeartbeat(id string) flow.Heartbeat {
	return flow.Heartbeat{
		ID: id, Service: "rota-core", Address: netip.MustParseAddrPort(l.site.addr(sidecarHost, l.site.ports.app)),
		FailureDomain: l.site.zone(0), State: flow.StateReady, StartedAt: time.Now(), Slots: 3,
	}
}

// beat sends the next heartbeat of a backend at a time.
func (l *lateCase) beat(at time.Duration, h *flow.Heartbeat) {
	h.Sequence++
	l.deliver(at, *h)
}

// deliver sends a heartbeat at a time.
func (l *lateCase) deliver(at time.Duration, h flow.Heartbeat) {
	time.Sleep(time.Until(l.start.Add(at)))
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := platform.SendHeartbeat(ctx, l.control, h)
	if err == nil && h.State == flow.StateLeaving && l.drained.IsZero() {
		l.drained = time.Now()
	}
	fmt.Printf("%s heartbeat of %s, sequence %d, %s: %v\n", time.Now().Format(timeFormat), h.ID, h.Sequence, h.State, err)
}

// drain sends draining heartbeats at regular times until the end.
func (l *lateCase) drain(h *flow.Heartbeat) {
	h.State = flow.StateLeaving
	for at := drainAt; at < endAt; at += beatTime {
		l.beat(at, h)
	}
}

// drainOnly is the case without the disruption: all heartbeats of one backend arrive at once.
func (l *lateCase) drainOnly(h *flow.Heartbeat) {
	for at := firstLate; at < drainAt; at += beatTime {
		l.beat(at, h)
	}
	l.drain(h)
}

// playTrouble is the case with the disruption.
func (l *lateCase) playTrouble(former *flow.Heartbeat) error {
	for _, at := range []time.Duration{firstLate, secondLate} {
		former.Sequence++
		late := *former
		go l.deliver(at+retransmitAfter, late)
	}
	time.Sleep(time.Until(l.start.Add(crashAt)))
	l.site.killBackend("backend-0", l.process)
	time.Sleep(time.Until(l.start.Add(restartAt)))
	l.site.silent = "present"
	present := l.newHeartbeat("present")
	if _, err := l.site.startBackend("present", l.site.zone(0), "rota-core", sidecarHost); err != nil {
		return err
	}
	for at := registerAt; at < drainAt; at += beatTime {
		l.beat(at, &present)
	}
	l.drain(&present)
	return nil
}

// judge reports whether the backend got an opening packet, and ran a request of its flow, later than drainTime
// after it was acknowledged that the backend is draining.
func (l *lateCase) judge() bool {
	name := "backend-0"
	if os.Getenv("TROUBLE") != "0" {
		name = "present"
	}
	bound := l.drained.Add(drainTime)
	fmt.Println("draining acknowledged at", l.drained.Format(timeFormat), "bound", bound.Format(timeFormat))
	openings, late, runs := 0, map[string]bool{}, 0
	for _, e := range l.site.allEvents() {
		if e.Backend != name {
			continue
		}
		switch {
		case e.Kind == eventOpening && e.At.After(bound):
			openings++
			late[e.Flow] = true
			fmt.Println(e.At.Format(timeFormat), "opening packet of", e.Flow, "reaches", name)
		case e.Kind == eventRun && late[e.Flow]:
			runs++
		}
	}
	fmt.Println("opening packets after the bound:", openings, "requests of their flows that ran:", runs)
	return runs > 0
}
