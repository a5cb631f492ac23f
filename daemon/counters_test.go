package daemon

import (
	"testing"

	"github.com/rcrowley/go-metrics"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
)

// Each datagram that cannot be read is counted by its reason.
func TestRefuse(t *testing.T) {
	r := metrics.NewRegistry()
	c := NewCounters(r)
	var p flow.Packet
	for _, b := range [][]byte{nil, make([]byte, 40), make([]byte, 36)} {
		c.CountRefused(platform.PacketCodec{}.Parse(b, true, &p))
	}
	_, _, err := peer.KindOf([]byte("x"))
	c.CountRefused(err)
	for _, name := range []string{"truncated", "oversized", "foreign", "peer-foreign"} {
		if n := metrics.GetOrRegisterCounter("datagrams.refused."+name, r).Count(); n != 1 {
			t.Errorf("%s: %d", name, n)
		}
	}
}
