package sidecar

import (
	"log/slog"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/clock"
	"greengagedyke/daemon"
	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

// An opening packet that a sidecar read after it was paused goes on marked as offered: its retransmission
// may have opened the flow elsewhere, so no sibling may reset it.
func TestPausedSidecarMarksOpenings(t *testing.T) {
	conn, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	self := netip.MustParseAddrPort(conn.LocalAddr().String())
	c := clock.New()
	f := &FlowSidecar{
		cfg: &FlowSettings{}, log: slog.New(slog.DiscardHandler), clock: c, counters: daemon.NewCounters(metrics.NewRegistry()), tunnel: conn,
		sidecar: flow.NewSidecar(flow.NewHeartbeatMonitor(time.Second), "core", time.Minute, c.Now()),
	}
	path := flow.Path{Tag: flow.TagOf("core"), FallbackCount: 1}
	path.Fallbacks[0] = self
	p := flow.Packet{Key: flow.NewKey(netip.MustParseAddrPort("100.64.0.7:40001"), netip.MustParseAddrPort("198.18.0.1:443")), FromCaller: true, Flags: flow.FlagOpen}
	var codec platform.PacketCodec
	_, body, err := peer.KindOf(codec.AppendPacket(peer.AppendPacket(nil, &path, 0, self, false), &p, nil))
	if err != nil {
		t.Fatal(err)
	}
	for ago, want := range map[time.Duration]bool{0: false, time.Second: true} {
		f.pauses = clock.Pauses{}
		f.pauses.Check(c.Now().Add(-ago))
		if err := f.handlePacket(body, nil); err != nil {
			t.Fatal(err)
		}
		buf := make([]byte, daemon.MaxDatagram)
		n, err := conn.Read(buf)
		if err != nil {
			t.Fatal(err)
		}
		_, forwarded, _ := peer.KindOf(buf[:n])
		var got flow.TunnelPacket
		if _, err := peer.ParsePacket(forwarded, &got); err != nil || got.Offered != want {
			t.Errorf("last check %v ago: got offered %v, %v, want %v", ago, got.Offered, err, want)
		}
	}
}
