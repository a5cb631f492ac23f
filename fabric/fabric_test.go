package fabric

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/net/ipv4"

	"greengagedyke/quiclb"
	"greengagedyke/service"
	"greengagedyke/tunnel"
)

var secret = []byte("0123456789abcdef")

// payloadLen is the length in bytes of a caller's datagram.
const payloadLen = 1200

func newCodec(t testing.TB) *quiclb.Codec {
	t.Helper()
	c, err := quiclb.NewCodec(quiclb.Key{ID: 1, Secret: secret})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// candidates returns n sidecars of equal weight, at 10.1.0.0:7000 and the following addresses.
func candidates(n int) service.Candidates {
	var list service.Candidates
	for i := range n {
		ip := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		list = append(list, service.Candidate{Addr: netip.AddrPortFrom(ip, 7000), Incarnation: 1, Weight: 1})
	}
	return list
}

func newDecider(t testing.TB, upstreams int) *Decider {
	t.Helper()
	return &Decider{Tag: service.Tag("rota-core"), Codec: newCodec(t), Table: service.NewTable(candidates(upstreams))}
}

// establishedPacket returns a packet with a connection ID issued by the sidecar at to.
func establishedPacket(c *quiclb.Codec, tag uint32, to netip.AddrPort, nonce uint32) []byte {
	p := make([]byte, payloadLen)
	p[0] = 0x40
	c.Encode(p[1:], quiclb.Route{Addr: to, ServiceTag: tag, Incarnation: 1, Nonce: nonce})
	return p
}

// firstFlightPacket returns an Initial packet with a connection ID of the caller's choice.
func firstFlightPacket(id uint64) []byte {
	p := make([]byte, payloadLen)
	p[0] = 0xc0
	p[4] = 1
	p[5] = 8
	binary.BigEndian.PutUint64(p[6:], id)
	return p
}

func TestDecide(t *testing.T) {
	d := newDecider(t, 7)
	to := netip.MustParseAddrPort("10.1.0.3:7000")
	foreign := establishedPacket(d.Codec, service.Tag("sheet-render"), to, 1)
	handshake := firstFlightPacket(1)
	handshake[0] = 0xe0
	tests := []struct {
		name   string
		packet []byte
		drop   DropReason
	}{
		{"established", establishedPacket(d.Codec, d.Tag, to, 1), DropReasonNone},
		{"first-flight", firstFlightPacket(7), DropReasonNone},
		{"other-service", foreign, DropReasonForeign},
		{"unknown-id", append([]byte{0x40}, make([]byte, 60)...), DropReasonForeign},
		{"handshake-of-no-connection", handshake, DropReasonForeign},
		{"truncated", []byte{0x40, 1}, DropReasonTruncated},
		{"malformed", make([]byte, 100), DropReasonMalformed},
		{"oversized", make([]byte, tunnel.MaxPayload+1), DropReasonOversized},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var scratch Scratch
			got, drop := d.Decide(&scratch, tt.packet)
			if drop != tt.drop {
				t.Fatalf("got drop reason %s, want %s", drop, tt.drop)
			}
			if tt.name == "established" && got.Sidecar != to {
				t.Errorf("got sidecar %s, want %s", got.Sidecar, to)
			}
		})
	}
	empty := newDecider(t, 0)
	var scratch Scratch
	if _, drop := empty.Decide(&scratch, firstFlightPacket(7)); drop != DropReasonNoUpstream {
		t.Errorf("first flight without candidates: got drop reason %s, want %s", drop, DropReasonNoUpstream)
	}
	if got, _ := empty.Decide(&scratch, establishedPacket(empty.Codec, empty.Tag, to, 1)); got.Sidecar != to {
		t.Errorf("established flow without candidates: got sidecar %s, want %s", got.Sidecar, to)
	}
}

func TestDecideDoesNotAllocate(t *testing.T) {
	d := newDecider(t, 7)
	packets := [][]byte{establishedPacket(d.Codec, d.Tag, netip.MustParseAddrPort("10.1.0.3:7000"), 1), firstFlightPacket(1)}
	var scratch Scratch
	for _, p := range packets {
		if n := testing.AllocsPerRun(100, func() { d.Decide(&scratch, p) }); n != 0 {
			t.Errorf("got %v allocations per datagram, want 0", n)
		}
	}
}

func BenchmarkDecide(b *testing.B) {
	for _, upstreams := range []int{7, 3200} {
		for _, flows := range []int{1, 400_000} {
			d := newDecider(b, upstreams)
			to := candidates(upstreams)
			ids := make([][]byte, flows)
			for i := range ids {
				ids[i] = establishedPacket(d.Codec, d.Tag, to[i%upstreams].Addr, uint32(i))[:64]
			}
			b.Run(fmt.Sprintf("established/upstreams=%d/flows=%d", upstreams, flows), func(b *testing.B) {
				b.ReportAllocs()
				var scratch Scratch
				for i := 0; b.Loop(); i++ {
					d.Decide(&scratch, ids[i%flows])
				}
			})
		}
		d := newDecider(b, upstreams)
		packet := firstFlightPacket(0)
		b.Run(fmt.Sprintf("first-flight/upstreams=%d", upstreams), func(b *testing.B) {
			b.ReportAllocs()
			var scratch Scratch
			for i := uint64(0); b.Loop(); i++ {
				binary.BigEndian.PutUint64(packet[6:], i)
				d.Decide(&scratch, packet)
			}
		})
	}
}

func BenchmarkSeal(b *testing.B) {
	s, err := tunnel.NewSealer(tunnel.Key{ID: 1, Secret: secret})
	if err != nil {
		b.Fatal(err)
	}
	datagram := make([]byte, tunnel.HeaderLen+payloadLen)
	h := tunnel.Header{Kind: tunnel.KindInbound, Caller: netip.MustParseAddrPort("10.1.0.3:7000")}
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Seal(datagram, &h); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkForward compares the throughput of the forwarder with that of a plain relay that uses
// the same batches. Rounds of both alternate.
func BenchmarkForward(b *testing.B) {
	const rounds = 10
	var forward, relay time.Duration
	var allocated uint64
	for range b.N {
		for range rounds {
			relay += runRound(b, startRelay)
			before := allocations()
			forward += runRound(b, startForwarder)
			allocated += allocations() - before
		}
	}
	n := float64(b.N * rounds * datagramsPerRound)
	// This includes the allocations made at the start of the forwarder in each round.
	b.ReportMetric(float64(allocated)/n, "allocs/datagram")
	b.ReportMetric(n/forward.Seconds(), "forwarder-datagrams/s")
	b.ReportMetric(n/relay.Seconds(), "relay-datagrams/s")
	b.ReportMetric(relay.Seconds()/forward.Seconds(), "forwarder/relay")
}

// allocations returns the number of heap objects that the process has allocated.
func allocations() uint64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.Mallocs
}

const (
	datagramsPerRound = 40_000
	// maxInFlight limits the datagrams sent but not received, so that no socket buffer overflows.
	maxInFlight = 512
)

// startRelayFunc starts a relay that forwards datagrams from the returned address to sink, and
// returns a function that stops it.
type startRelayFunc func(b *testing.B, sink netip.AddrPort) (netip.AddrPort, func())

// startForwarder is a startRelayFunc that starts a Forwarder. It ignores sink, since the
// connection IDs of the datagrams contain that address.
func startForwarder(b *testing.B, sink netip.AddrPort) (netip.AddrPort, func()) {
	s, err := tunnel.NewSealer(tunnel.Key{ID: 1, Secret: secret})
	if err != nil {
		b.Fatal(err)
	}
	f, stop, err := New(slog.New(slog.DiscardHandler), NewCounters(metrics.NewRegistry()), netip.MustParseAddrPort("127.0.0.1:0"), s)
	if err != nil {
		b.Fatal(err)
	}
	addr := freeAddr(b)
	d := newDecider(b, 7)
	if err := f.Apply(Bindings{{Address: addr, Decider: d, Sealer: s}}, s); err != nil {
		b.Fatal(err)
	}
	return addr, stop
}

// freeAddr returns a local address whose port is unused.
func freeAddr(b *testing.B) netip.AddrPort {
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startRelay is a startRelayFunc that starts a relay without decisions and tunnel headers.
func startRelay(b *testing.B, sink netip.AddrPort) (netip.AddrPort, func()) {
	in, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	out, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	buf := mustBatch(b, in, payloadLen)
	done := make(chan struct{})
	go func() {
		defer close(done)
		writer := ipv4.NewPacketConn(out)
		for {
			n, err := buf.receiver.receive()
			if err != nil {
				return
			}
			for i := range n {
				buf.setMessage(i, buf.buffers[i][:buf.receiver.length(i)], sink)
			}
			for sent := 0; sent < n; {
				m, err := writer.WriteBatch(buf.messages[sent:n], 0)
				if err != nil {
					return
				}
				sent += m
			}
		}
	}()
	return in.LocalAddr().(*net.UDPAddr).AddrPort(), func() {
		in.Close()
		out.Close()
		<-done
	}
}

func mustBatch(b *testing.B, conn *net.UDPConn, size int) *batch {
	buf, err := newBatch(conn, 0, size)
	if err != nil {
		b.Fatal(err)
	}
	return buf
}

// runRound starts a relay and returns the time that it needs for datagramsPerRound datagrams.
func runRound(b *testing.B, start startRelayFunc) time.Duration {
	sink, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	sinkAddr := sink.LocalAddr().(*net.UDPAddr).AddrPort()
	addr, stop := start(b, sinkAddr)
	defer stop()
	var received atomic.Int64
	buf := mustBatch(b, sink, tunnel.MaxDatagram)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			n, err := buf.receiver.receive()
			if err != nil {
				return
			}
			received.Add(int64(n))
		}
	}()
	elapsed := sendRound(b, addr, sinkAddr, &received)
	sink.Close()
	<-done
	return elapsed
}

// sendRound sends datagramsPerRound datagrams to addr and returns the time until all of them are
// counted in received.
func sendRound(b *testing.B, addr, sink netip.AddrPort, received *atomic.Int64) time.Duration {
	conn, err := listen(netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close()
	writer := ipv4.NewPacketConn(conn)
	buf := mustBatch(b, nil, payloadLen)
	packet := establishedPacket(newCodec(b), service.Tag("rota-core"), sink, 1)
	for i := range buf.messages {
		buf.setMessage(i, packet, addr)
	}
	start := time.Now()
	deadline := start.Add(20 * time.Second)
	sent := 0
	for sent < datagramsPerRound || received.Load() < datagramsPerRound {
		if time.Now().After(deadline) {
			b.Fatalf("received %d of %d datagrams before the deadline", received.Load(), datagramsPerRound)
		}
		if sent == datagramsPerRound || int64(sent)-received.Load() > maxInFlight {
			continue
		}
		n, err := writer.WriteBatch(buf.messages[:min(batchSize, datagramsPerRound-sent)], 0)
		if err != nil {
			b.Fatal(err)
		}
		sent += n
	}
	return time.Since(start)
}
