package control

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"greengagedyke/member"
	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/standin/usage"
	"greengagedyke/timeline"
)

// process is the part of a balancer or sidecar that runs this package.
type process struct {
	node        *Node
	announcer   *Announcer
	credentials *session.Credentials
	addr        netip.AddrPort
	stop        func()
}

// fleet is a set of processes that communicate over loopback TCP.
type fleet struct {
	t         testing.TB
	balancers []*process
	sidecars  []*process
	// started is the number of processes started so far, from which identities are made.
	started int
}

// failureDomainCount is the number of failure domains that processes are spread over.
const failureDomainCount = 11

func newRing() *timeline.Ring { return timeline.NewRing("process", timeline.NewClock(time.Now)) }

// start runs a process until its stop function is called.
func (f *fleet) start(role member.Role, svc string, seeds []netip.AddrPort) *process {
	f.t.Helper()
	c, err := session.NewCredentials([]byte("0123456789abcdef"))
	if err != nil {
		f.t.Fatal(err)
	}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.started++
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	log := slog.New(slog.DiscardHandler)
	p := &process{credentials: c, addr: addr}
	p.node = NewNode(log, member.Record{
		Role: role, Identity: fmt.Sprintf("process-%d", f.started), Service: svc, Tunnel: addr, Control: addr,
		FailureDomain: fmt.Sprintf("domain-%d", f.started%failureDomainCount), Slots: 2, State: member.StateReady, Weight: 1,
		Incarnation: uint64(time.Now().UnixNano()),
	}, newRing())
	p.announcer = NewAnnouncer(log, p.node, c, seeds)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	announced := make(chan struct{})
	go func() {
		session.Serve(ctx, log, ln, c, p.node.Handle)
		done <- struct{}{}
	}()
	go p.announcer.Run(ctx, announced)
	go func() {
		p.applyAndDetect(ctx)
		done <- struct{}{}
	}()
	p.stop = func() {
		cancel()
		<-done
		<-done
		<-announced
	}
	return p
}

// applyAndDetect puts each configuration in force and detects silent processes until ctx ends.
func (p *process) applyAndDetect(ctx context.Context) {
	t := time.NewTicker(100 * time.Millisecond)
	defer t.Stop()
	for {
		changed := p.node.Changed()
		p.node.SetInForce(p.node.Configuration().Revision)
		p.node.DetectSilent(time.Now())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-t.C:
		}
	}
}

// newFleet starts the processes, with the first balancer as the seed of all others.
func newFleet(t testing.TB, balancers, sidecars, services int) *fleet {
	f := &fleet{t: t}
	first := f.start(member.RoleBalancer, "", nil)
	f.balancers = append(f.balancers, first)
	seeds := []netip.AddrPort{first.addr}
	for len(f.balancers) < balancers {
		f.balancers = append(f.balancers, f.start(member.RoleBalancer, "", seeds))
	}
	for i := range sidecars {
		f.sidecars = append(f.sidecars, f.start(member.RoleSidecar, fmt.Sprintf("service-%d", i%services), seeds))
	}
	t.Cleanup(f.stop)
	return f
}

func (f *fleet) stop() {
	for _, p := range append(f.sidecars, f.balancers...) {
		p.stop()
	}
}

// waitFor polls ok until it holds and returns how long that took. The test fails after limit.
func (f *fleet) waitFor(what string, limit time.Duration, ok func() bool) time.Duration {
	f.t.Helper()
	began := time.Now()
	for !ok() {
		if time.Since(began) > limit {
			f.t.Fatalf("%s: not reached within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

// converged reports whether every balancer has the records of all other processes.
func (f *fleet) converged() bool {
	want := len(f.balancers) + len(f.sidecars) - 1
	for _, b := range f.balancers {
		if len(b.node.Members()) != want {
			return false
		}
	}
	return true
}

// configuration returns a configuration whose services differ between revisions.
func configuration(revision uint64, services int) *service.Configuration {
	cfg := &service.Configuration{Revision: revision}
	for i := range services {
		cfg.Services = append(cfg.Services, service.Service{
			Name:    fmt.Sprintf("service-%d", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 9, byte(i >> 8), byte(i)}), 443),
			Routes:  service.Routes{{PathPrefix: "/", Class: service.ClassIdempotent, Priority: int(revision % 10)}},
		})
	}
	return cfg
}

// inForce reports whether all processes act on revision or a later one.
func (f *fleet) inForce(revision uint64) bool {
	for _, p := range append(f.sidecars, f.balancers...) {
		if p.node.InForce() < revision {
			return false
		}
	}
	return true
}

// change gives one balancer a revision that differs in the first service only, and returns the
// time until it is in force everywhere.
func (f *fleet) change(revision uint64, services int) time.Duration {
	old := f.balancers[0].node.Configuration()
	cfg := configuration(revision, services)
	for i := 1; i < len(cfg.Services) && i < len(old.Services); i++ {
		cfg.Services[i] = old.Services[i]
	}
	f.balancers[int(revision)%len(f.balancers)].node.Adopt(cfg)
	return f.waitFor("in force", inForceLimit, func() bool { return f.inForce(revision) })
}

// inForceLimit is the time in which an accepted configuration must be in force.
const inForceLimit = 9 * time.Second

func TestConfigurationReachesAllProcesses(t *testing.T) {
	f := newFleet(t, 8, 24, 4)
	f.waitFor("convergence", 20*time.Second, f.converged)
	for revision := uint64(1); revision <= 5; revision++ {
		f.change(revision, 4)
	}
	for _, s := range f.sidecars {
		cfg := s.node.Configuration()
		if svc := cfg.Service(s.node.Self().Service); svc == nil || len(cfg.Services) != 1 {
			t.Fatalf("the configuration at %s has %d services, want only %s", s.node.Self().Identity, len(cfg.Services), s.node.Self().Service)
		}
	}
	f.waitFor("report", 20*time.Second, func() bool {
		s := f.balancers[3].node.Collect(t.Context(), f.balancers[3].credentials, 5)
		return s.InForce == 32 && s.Total == 32 && len(s.Silent) == 0
	})
}

// A process that joins while the store is down gets the configuration and the membership from its
// peers.
func TestJoiningProcessIsUpdatedByPeers(t *testing.T) {
	f := newFleet(t, 3, 3, 1)
	f.waitFor("convergence", 20*time.Second, f.converged)
	f.change(7, 1)
	joined := f.start(member.RoleBalancer, "", []netip.AddrPort{f.balancers[1].addr})
	f.balancers = append(f.balancers, joined)
	f.waitFor("configuration of the joined balancer", inForceLimit, func() bool { return joined.node.InForce() == 7 })
	f.waitFor("convergence", 20*time.Second, f.converged)
}

// A balancer and a sidecar are lost at once: the remaining balancers agree on which processes are
// lost, and keep using the others.
func TestLostProcessesAreDetected(t *testing.T) {
	f := newFleet(t, 5, 12, 2)
	f.waitFor("convergence", 20*time.Second, f.converged)
	f.balancers[4].stop()
	f.sidecars[0].stop()
	gone := map[string]bool{f.balancers[4].node.Self().Identity: true, f.sidecars[0].node.Self().Identity: true}
	lost := append(f.balancers[4:], f.sidecars[0])
	f.balancers, f.sidecars = f.balancers[:4], f.sidecars[1:]
	var wrong []string
	defer func() {
		if t.Failed() {
			t.Log(strings.Join(wrong, "\n"))
		}
	}()
	f.waitFor("detection of the lost processes", 30*time.Second, func() bool {
		wrong = nil
		for _, b := range f.balancers {
			for _, o := range b.node.Members() {
				if o.Alive() == gone[o.Identity] {
					wrong = append(wrong, fmt.Sprintf("record at %s of %s: sequence %d, announced to %d, witnesses %v",
						b.node.Self().Identity, o.Identity, o.Sequence, o.AnnouncedTo, o.Witnesses))
				}
			}
		}
		return len(wrong) == 0
	})
	if len(lost) != 2 {
		t.Fatalf("%d processes were stopped, want 2", len(lost))
	}
}

// BenchmarkControl reports the traffic, processor time and memory of the protocol, and the time
// until a change is in force, for several fleet sizes. Run it with -benchtime 1x.
func BenchmarkControl(b *testing.B) {
	for _, size := range []struct{ balancers, sidecars, services int }{{2, 10, 2}, {5, 30, 4}, {17, 100, 14}, {50, 300, 42}} {
		b.Run(fmt.Sprintf("balancers=%d/sidecars=%d", size.balancers, size.sidecars), func(b *testing.B) {
			f := newFleet(b, size.balancers, size.sidecars, size.services)
			joined := f.waitFor("convergence", time.Minute, f.converged)
			f.change(1, size.services)
			for b.Loop() {
				f.reportCosts(b, size.services)
			}
			b.ReportMetric(joined.Seconds(), "join-s")
		})
	}
}

// BenchmarkDesignSize reports the processor time that the protocol takes on one of 550 balancers
// with 3,200 sidecars: an announcement that changes nothing, one that changes a record, the
// choice of peers after a change of the view, and a new configuration.
func BenchmarkDesignSize(b *testing.B) {
	const balancers, sidecars, services = 550, 3200, 450
	empty := usage.Heap()
	n := NewNode(slog.New(slog.DiscardHandler), testRecord(0, member.RoleBalancer, ""), newRing())
	for i := 1; i < balancers; i++ {
		n.view.Merge(member.ObservedRecord{Record: testRecord(i, member.RoleBalancer, "")}, time.Now())
	}
	for i := range sidecars {
		n.view.Merge(member.ObservedRecord{Record: testRecord(balancers+i, member.RoleSidecar, fmt.Sprintf("service-%d", i%services))}, time.Now())
	}
	n.adopt(configuration(1, services))
	from := testRecord(1, member.RoleBalancer, "")
	c := n.confirm(&Announcement{Self: encodeMember(&member.ObservedRecord{Record: from})})
	unchanged := &Announcement{Self: briefMember(&from), Epoch: c.Epoch, Version: c.Version, Revision: 1, Digest: c.Digest}
	heapUsed := usage.Heap() - empty
	b.Run("confirm-quiet", func(b *testing.B) {
		for b.Loop() {
			n.confirm(unchanged)
		}
		b.ReportMetric(float64(heapUsed), "heap-B")
	})
	b.Run("confirm-change", func(b *testing.B) {
		changed := testRecord(balancers+7, member.RoleSidecar, "service-7")
		for b.Loop() {
			changed.Sequence++
			n.confirm(&Announcement{Self: encodeMember(&member.ObservedRecord{Record: changed}), Epoch: c.Epoch, Version: n.view.Version(), Revision: 1})
		}
	})
	a := NewAnnouncer(slog.New(slog.DiscardHandler), n, nil, nil)
	b.Run("pick-peers", func(b *testing.B) {
		for b.Loop() {
			a.targets()
		}
	})
	b.Run("change-of-configuration", func(b *testing.B) {
		revision := uint64(1)
		for b.Loop() {
			revision++
			cfg := configuration(revision, services)
			copy(cfg.Services[1:], n.history.Current().Services[1:])
			n.adopt(cfg)
		}
	})
}

// testRecord returns the record of process i, with an address and failure domain derived from i.
func testRecord(i int, role member.Role, svc string) member.Record {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(role), byte(i >> 8), byte(i)}), 7000)
	return member.Record{
		Role: role, Identity: fmt.Sprintf("process-%d", i), Service: svc, Tunnel: addr, Control: addr,
		FailureDomain: fmt.Sprintf("domain-%d", i%failureDomainCount), State: member.StateReady, Weight: 1, Incarnation: 1, AnnouncedTo: 3,
	}
}

// reportCosts reports the costs of a converged fleet, first idle and then during some changes.
func (f *fleet) reportCosts(b *testing.B, services int) {
	const window = 6 * time.Second
	const changes = 10
	time.Sleep(2 * time.Second)
	bytes, cpu := f.traffic(), usage.CPUTime()
	time.Sleep(window)
	n := float64(len(f.balancers))
	all := n + float64(len(f.sidecars))
	idle := float64(f.traffic()-bytes) / n / window.Seconds()
	idleCPU := (usage.CPUTime() - cpu).Seconds() / all / window.Seconds()
	bytes = f.traffic()
	began := time.Now()
	var slowest time.Duration
	first := f.balancers[0].node.Configuration().Revision
	for i := range changes {
		slowest = max(slowest, f.change(first+uint64(i)+1, services))
	}
	time.Sleep(time.Second)
	extra := float64(f.traffic()-bytes)/n - idle*time.Since(began).Seconds()
	b.ReportMetric(idle, "idle-B/s/balancer")
	b.ReportMetric(100*idleCPU, "idle-%core/process")
	b.ReportMetric(extra/changes, "B/change/balancer")
	b.ReportMetric(slowest.Seconds(), "in-force-s")
	b.ReportMetric(float64(usage.Heap())/all, "heap-B/process")
}

// traffic returns the number of bytes that all balancers have sent and received in sessions.
func (f *fleet) traffic() int64 {
	var sum int64
	for _, p := range f.balancers {
		t := p.credentials.Traffic()
		sum += t.Sent.Load() + t.Received.Load()
	}
	return sum
}
