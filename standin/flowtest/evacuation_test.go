package flowtest_test

import (
	"net"
	"net/netip"
	"strings"
	"testing"

	"greengagedyke/flow"
	"greengagedyke/peer"
	"greengagedyke/platform"
	"greengagedyke/standin/flowtest"
	"greengagedyke/standin/store"
)

// A balancer that starts during an evacuation, while the store is away, learns of it from the other
// one. No flow opens in the domain, also none whose path was chosen before; its open flows live on.
// Taken back, the domain gets flows again.
func TestBalancerStartedDuringEvacuation(t *testing.T) {
	s := newSite(t)
	s.sidecars[0].abort(t)
	s.domains[0] = "b"
	s.startSidecar(0)
	flows := s.openFlowIn(0)
	_, _, err := s.store.Write(platform.Transaction{Puts: []platform.Put{platform.EncodeEvacuation("b")}})
	requireNoError(t, err)
	s.await("the sidecar knows", func() bool {
		return strings.Contains(s.logs.String(), "process=sidecar-0 failure-domain=b")
	})
	opened := s.upstreams[0].OpenedCount()
	s.store.SetFaults(store.Faults{Down: true})
	learned := func() int { return strings.Count(s.logs.String(), "msg=failure-domain-evacuated process=balancer-0") }
	before := learned()
	s.balancers[0].abort(t)
	s.startBalancer(0)
	s.await("balancer back", func() bool { return platform.CheckReady(t.Context(), s.routerTarget(0).Ready) })
	s.balancers[1].abort(t)
	s.requestOnAll(append(flows, s.openFlows(12)...), "while the domain is evacuated")
	if learned() == before {
		t.Error("the balancer has not learned of the evacuation")
	}
	fallback := s.upstreams[1].OpenedCount()
	s.sendStalePath()
	s.await("the flow opens at the fallback", func() bool { return s.upstreams[1].OpenedCount() > fallback })
	if got := s.upstreams[0].OpenedCount(); got != opened {
		t.Errorf("%d flows were opened in the evacuated domain", got-opened)
	}
	s.store.SetFaults(store.Faults{})
	_, _, err = s.store.Write(platform.Transaction{Deletes: []string{platform.EncodeEvacuation("b").Key}})
	requireNoError(t, err)
	s.openFlowIn(0)
	s.startBalancer(1)
}

// openFlowIn opens flows until the i-th upstream has got one, and returns them.
func (s *site) openFlowIn(i int) []*flowtest.Flow {
	s.t.Helper()
	var flows []*flowtest.Flow
	opened := s.upstreams[i].OpenedCount()
	s.await("the upstream gets a flow", func() bool {
		flows = append(flows, s.openFlows(1)...)
		return s.upstreams[i].OpenedCount() > opened
	})
	return flows
}

// sendStalePath sends an opening packet to the first sidecar, with the second one as fallback, as a
// balancer would that does not know of an evacuation.
func (s *site) sendStalePath() {
	s.t.Helper()
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(s.block.Addr(balancerSubnet, 9, tunnelPort)))
	requireNoError(s.t, err)
	defer conn.Close()
	caller := netip.AddrPortFrom(s.block.Addr(callerSubnet, 9, packetsPort).Addr(), 40001)
	p := flow.Packet{Key: flow.NewKey(caller, coreAddr), FromCaller: true, Flags: flow.FlagOpen, Sequence: 7}
	path := flow.Path{Tag: flow.TagOf(coreService), FallbackCount: 1}
	path.Fallbacks[0] = s.block.Addr(sidecarSubnet, 2, packetsPort)
	head := peer.AppendPacket(nil, &path, 0, s.block.Addr(balancerSubnet, 9, tunnelPort), false)
	var codec platform.PacketCodec
	_, err = conn.WriteToUDPAddrPort(codec.AppendPacket(head, &p, nil), s.block.Addr(sidecarSubnet, 1, packetsPort))
	requireNoError(s.t, err)
}
