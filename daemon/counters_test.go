package daemon

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

// Each datagram that cannot be parsed is counted under the reason.
func TestCountRefused(t *testing.T) {
	r := metrics.NewRegistry()
	c := NewCounters(r)
	var p flow.Packet
	for _, datagram := range [][]byte{nil, make([]byte, 40), make([]byte, 36)} {
		c.CountRefused(platform.PacketCodec{}.Parse(datagram, true, &p))
	}
	_, _, err := peer.KindOf([]byte("x"))
	c.CountRefused(err)
	for _, name := range []string{"truncated", "oversized", "foreign", "peer-foreign"} {
		if n := metrics.GetOrRegisterCounter("datagrams.refused."+name, r).Count(); n != 1 {
			t.Errorf("got %d datagrams refused as %s, want 1", n, name)
		}
	}
}
