package balancer

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
	"greengagedyke/standin/store"
)

// sidecarCount is the number of simulated sidecars.
const sidecarCount = 150

// lookupSite is a balancer among simulated sidecars, one of which holds a flow.
type lookupSite struct {
	t       *testing.T
	service netip.AddrPort
	caller  *net.UDPConn
	// packets is the balancer's address for callers' packets.
	packets netip.AddrPort
	// held is the flow that the last sidecar holds.
	held flow.Key
	// queries counts the queries and delivered counts the packets that the sidecars received.
	queries, delivered atomic.Int64
}

// listenUDP opens a UDP socket that is closed when the test ends.
func listenUDP(t *testing.T, addr string) *net.UDPConn {
	t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.MustParseAddrPort(addr)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func addrOf(conn *net.UDPConn) netip.AddrPort { return conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// freePort returns an unused TCP port.
func freePort(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// newLookupSite starts the store, the sidecars and the balancer.
func newLookupSite(t *testing.T) *lookupSite {
	t.Helper()
	s := &lookupSite{t: t, service: netip.MustParseAddrPort("198.18.0.1:443"), caller: listenUDP(t, "127.0.0.9:0")}
	s.packets = netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), addrOf(s.caller).Port())
	s.held = s.key(1)
	stored, storeAddr, stop, err := store.Start(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	puts := []platform.Put{platform.EncodeOperatorConfiguration(1, platform.ServiceRoute{Addr: s.service, Service: "core"})}
	for i := range sidecarCount {
		conn := listenUDP(t, "127.0.0.1:0")
		go s.runSidecar(i, conn)
		puts = append(puts, platform.Put{Key: "greengagedyke/sidecars/" + addrOf(conn).String(), Data: []byte{}})
	}
	if _, _, err := stored.Write(platform.Transaction{Puts: puts}); err != nil {
		t.Fatal(err)
	}
	s.start(storeAddr)
	return s
}

// start runs the balancer until the test ends.
func (s *lookupSite) start(storeAddr netip.AddrPort) {
	cfg := &FlowSettings{
		Identity: "balancer", FailureDomain: "a", Packets: s.packets,
		Tunnel: freePort(s.t), Ready: freePort(s.t), Store: storeAddr,
	}
	ctx, cancel := context.WithCancel(context.Background())
	abort, abortNow := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- RunFlows(ctx, abort, slog.New(slog.DiscardHandler), cfg, metrics.NewRegistry()) }()
	s.t.Cleanup(func() {
		cancel()
		abortNow()
		if err := <-done; err != nil {
			s.t.Error(err)
		}
	})
}

// key returns the flow from a port of the caller's IP address to the service.
func (s *lookupSite) key(port uint16) flow.Key {
	return flow.NewKey(netip.AddrPortFrom(addrOf(s.caller).Addr(), port), s.service)
}

// runSidecar simulates the i-th sidecar. Only the last sidecar holds the flow s.held.
func (s *lookupSite) runSidecar(i int, conn *net.UDPConn) {
	load := flow.Load{
		Incarnation: 1, Tag: flow.TagOf("core"), DomainID: uint32(i % 5), State: flow.StateReady, Slots: 2, Interval: time.Minute,
	}
	in := make([]byte, 64<<10)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(in)
		if err != nil {
			return
		}
		switch kind, body, _ := peer.KindOf(in[:n]); kind {
		case peer.KindBalancers:
			load.Sequence++
			_, _ = conn.WriteToUDPAddrPort(peer.AppendLoad(nil, &load), from)
		case peer.KindPacket:
			s.delivered.Add(1)
		case peer.KindQuery:
			s.answer(i, conn, body)
		}
	}
}

// answer simulates the i-th sidecar's handling of a query: it relays the query and answers it.
func (s *lookupSite) answer(i int, conn *net.UDPConn, body []byte) {
	q, err := peer.ParseQuery(body)
	if err != nil {
		return
	}
	s.queries.Add(1)
	relayed := *q
	relayed.RelayTo = nil
	for _, addr := range q.RelayTo {
		_, _ = conn.WriteToUDPAddrPort(peer.AppendQuery(nil, &relayed), addr)
	}
	a := &flow.Answer{ID: q.ID, Results: make([]flow.LookupResult, len(q.Questions))}
	for n := range q.Questions {
		if i == sidecarCount-1 && q.Questions[n].Key == s.held {
			a.Results[n] = flow.LookupResultHeld
		}
	}
	_, _ = conn.WriteToUDPAddrPort(peer.AppendAnswer(nil, a), q.Origin)
}

// send sends a packet of an open flow to the balancer.
func (s *lookupSite) send(k flow.Key) {
	var codec platform.PacketCodec
	p := &flow.Packet{Key: k, FromCaller: true, Flags: flow.FlagAck, Sequence: 100, Ack: 77, Length: 4}
	_, _ = s.caller.WriteToUDPAddrPort(codec.AppendPacket(nil, p, []byte("data")), s.packets)
}

// await sends packets of a flow until the caller receives a reset or done returns true.
func (s *lookupSite) await(k flow.Key, done func() bool) (reset bool) {
	s.t.Helper()
	var codec platform.PacketCodec
	in := make([]byte, 2048)
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end) && !done(); {
		s.send(k)
		_ = s.caller.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		n, _, err := s.caller.ReadFromUDPAddrPort(in)
		var p flow.Packet
		if err == nil && codec.Parse(in[:n], false, &p) == nil && p.Flags.Has(flow.FlagReset) && p.Key == k {
			return true
		}
	}
	return false
}

// A balancer that has just started finds a flow among 150 sidecars over real sockets, and resets a
// flow that no sidecar holds. Once all sidecars are known, a lookup takes few queries.
func TestLookupOverSockets(t *testing.T) {
	s := newLookupSite(t)
	if s.await(s.held, func() bool { return s.delivered.Load() > 0 }) || s.delivered.Load() == 0 {
		t.Fatal("got a reset or no delivered packet of a held flow")
	}
	never := func() bool { return false }
	if !s.await(s.key(2), never) {
		t.Fatal("got no reset of a lost flow")
	}
	before := s.queries.Load()
	start := time.Now()
	if !s.await(s.key(3), never) {
		t.Fatal("got no reset of another lost flow")
	}
	if took := time.Since(start); took > time.Second {
		t.Errorf("got a reset after %v, want at most 1 s", took)
	}
	if n := s.queries.Load() - before; n > 2*sidecarCount {
		t.Errorf("got %d queries for one flow, want at most two for each sidecar", n)
	}
}
