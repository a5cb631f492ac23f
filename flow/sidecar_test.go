package flow

import (
	"net/netip"
	"testing"
	"time"
)

var (
	testCaller  = netip.MustParseAddrPort("100.64.0.7:40001")
	testService = netip.MustParseAddrPort("198.18.0.1:443")
	testKey     = NewKey(testCaller, testService)
	testOrigin  = netip.MustParseAddrPort("10.0.0.1:7720")
	testSibling = netip.MustParseAddrPort("10.0.0.9:8172")
)

const testServiceName = "rota-core"

// testSidecar returns a sidecar with a ready upstream, and the time of its heartbeat. The upstream
// started upstreamStart after the sidecar, or before it if negative. If it started after it, the
// sidecar has found before that nothing listens.
func testSidecar(t *testing.T, upstreamStart time.Duration) (*Sidecar, time.Time) {
	t.Helper()
	start := time.Unix(1000, 0)
	s := NewSidecar(NewHeartbeatMonitor(2*time.Second), testServiceName, time.Minute, start)
	if upstreamStart > 0 {
		makeAbsent(s, start)
	}
	now := start.Add(max(0, upstreamStart))
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: start.Add(upstreamStart), Sequence: 1}, now)
	return s, now
}

// sendHeartbeat passes a heartbeat of the test service, with two slots, to the sidecar and checks
// that the heartbeat is accepted. A heartbeat without a state gets StateReady.
func sendHeartbeat(t *testing.T, s *Sidecar, hb Heartbeat, now time.Time) {
	t.Helper()
	hb.Service = testServiceName
	hb.Slots = 2
	if hb.State == StateWaiting {
		hb.State = StateReady
	}
	if got := s.Heartbeat(hb, now); got != HeartbeatStarted && got != HeartbeatAccepted {
		t.Fatalf("heartbeat: got %v, want it accepted", got)
	}
}

// callerPacket returns a caller's packet of the test flow, with one sibling as fallback.
func callerPacket(p Packet) *TunnelPacket {
	tp := &TunnelPacket{Packet: p, Origin: testOrigin, Path: Path{Tag: TagOf(testServiceName)}}
	tp.Packet.Key = testKey
	tp.Packet.FromCaller = true
	tp.Path.add(testSibling)
	return tp
}

func openingTunnelPacket() *TunnelPacket { return callerPacket(Packet{Flags: FlagOpen, Sequence: 100}) }

func dataTunnelPacket(ack uint32) *TunnelPacket {
	tp := callerPacket(Packet{Flags: FlagAck, Sequence: 101, Ack: ack, Length: 50})
	tp.Raw = []byte("data")
	return tp
}

func fromUpstream(flags Flags, sequence uint32, length int) *Packet {
	return &Packet{Key: testKey, Flags: flags, Sequence: sequence, Ack: 101, Length: length}
}

func wantVerdict(t *testing.T, v SidecarVerdict, action Action, reason Reason) {
	t.Helper()
	if v.Action != action || v.Reason != reason {
		t.Errorf("got %v, %v; want %v, %v", v.Action, v.Reason, action, reason)
	}
}

// wantNotHeld checks that the balancer is notified that the upstream does not hold the flow.
func wantNotHeld(t *testing.T, v SidecarVerdict) {
	t.Helper()
	wantVerdict(t, v, ActionDrop, ReasonUnknownFlow)
	if !v.NotDelivered || !v.NotHeld || v.Notify != testOrigin {
		t.Errorf("got %+v, want %v notified that the flow is not held", v, testOrigin)
	}
}

// querySidecar returns a sidecar's answer about one flow.
func querySidecar(s *Sidecar, k Key, ack uint32, now time.Time) LookupResult {
	return s.Answer(&Query{Questions: []Question{{Key: k, Ack: ack}}}, now).Results[0]
}

// openFlow opens the test flow and sends a request on it. The upstream's first sequence number is
// 500.
func openFlow(t *testing.T, s *Sidecar, now time.Time) {
	t.Helper()
	wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now), ActionUpstream, ReasonPlaced)
	v := s.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now)
	wantVerdict(t, v, ActionCaller, ReasonKnown)
	if v.Notify != testOrigin {
		t.Errorf("notified %v, want the balancer %v", v.Notify, testOrigin)
	}
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonKnown)
}

func TestOpeningGoesToAReadyUpstream(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
}

// Two upstreams may have answered an opening packet. The caller's acknowledgement number shows
// which one holds the flow. The other one's sidecar notifies the balancer, which queries other
// members.
func TestAcknowledgementOfAnotherUpstreamIsNotDelivered(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	v := s.FromTunnel(dataTunnelPacket(501+1<<30), now)
	wantVerdict(t, v, ActionDrop, ReasonNotOurs)
	if v.Notify != testOrigin || !v.NotDelivered {
		t.Errorf("notified %v, not delivered %v; want %v, true", v.Notify, v.NotDelivered, testOrigin)
	}
}

func TestPacketForAnotherServiceIsNotDelivered(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	tp := openingTunnelPacket()
	tp.Path.Tag = TagOf("sheet-render")
	wantVerdict(t, s.FromTunnel(tp, now), ActionForward, ReasonOtherService)
}

// An opening packet that is refused resets the flow only if it is the first transmission and no
// upstream may still answer it.
func TestRefusal(t *testing.T) {
	for _, tt := range []struct {
		name    string
		earlier uint32
		offered bool
		want    Action
	}{
		{"first transmission", 0, false, ActionReset},
		{"retransmission", 1, false, ActionDrop},
		{"an upstream may answer", 0, true, ActionDrop},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := testSidecar(t, time.Second)
			tp := openingTunnelPacket()
			tp.Path.FallbackCount = 0
			tp.Path.Tag = TagOf("sheet-render")
			tp.Packet.Ack = tt.earlier
			tp.Offered = tt.offered
			wantVerdict(t, s.FromTunnel(tp, now), tt.want, ReasonOtherService)
		})
	}
}

func TestUnansweredOpeningGoesToASibling(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now), ActionUpstream, ReasonPlaced)
	sent := 0
	s.ForwardUnanswered(now.Add(openingAnswerTimeout+1), func(tp *TunnelPacket, v SidecarVerdict) {
		sent++
		wantVerdict(t, v, ActionForward, ReasonUnanswered)
		if !tp.Offered {
			t.Error("the sibling may reset a flow that the upstream may still open")
		}
	})
	if sent != 1 || s.OpeningPending() {
		t.Errorf("sent %d, pending %v; want 1, false", sent, s.OpeningPending())
	}
	wantVerdict(t, s.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now), ActionCaller, ReasonKnown)
}

func TestBouncedOpeningGoesToASibling(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	s.FromTunnel(openingTunnelPacket(), now)
	p := openingTunnelPacket().Packet
	p.Flags |= FlagBounced
	wantVerdict(t, s.FromUpstream(&p, now), ActionForward, ReasonBounced)
}

// A sidecar that started after its upstream sends the upstream a packet of each flow without a
// record as a probe. If the upstream returns the probe, later packets are not sent to it. A sidecar
// that has seen all of its upstream's flows sends no probes.
func TestProbe(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonProbe)
	p := dataTunnelPacket(501).Packet
	p.Flags |= FlagBounced
	wantNotHeld(t, s.FromUpstream(&p, now))
	wantNotHeld(t, s.FromTunnel(dataTunnelPacket(501), now))
	s, now = testSidecar(t, time.Second)
	wantNotHeld(t, s.FromTunnel(dataTunnelPacket(501), now))
}

// A newly started upstream answers a probe with a reset, since it does not hold the flow. The flow
// may be open elsewhere, so the reset does not go to the caller: the balancer is notified.
func TestResetOfAnUnknownFlowIsNotDelivered(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonProbe)
	wantNotHeld(t, s.FromUpstream(fromUpstream(FlagReset, 0, 0), now))
	wantVerdict(t, s.FromUpstream(fromUpstream(FlagReset, 0, 0), now), ActionDrop, ReasonBounced)
}

// After a restart, a sidecar learns the flows that its upstream holds from the upstream's packets.
func TestFlowIsLearnedFromTheUpstream(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	wantVerdict(t, s.FromUpstream(fromUpstream(FlagAck, 900, 10), now), ActionCaller, ReasonKnown)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(910), now), ActionUpstream, ReasonKnown)
}

// The upstream answers a probe, so it holds the flow. The balancer that sent the packet is
// notified.
func TestProbeThatFindsTheFlow(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonProbe)
	v := s.FromUpstream(fromUpstream(FlagAck, 501, 0), now)
	wantVerdict(t, v, ActionCaller, ReasonKnown)
	if v.Notify != testOrigin || v.NotDelivered {
		t.Errorf("notified %v, not delivered %v; want %v, false", v.Notify, v.NotDelivered, testOrigin)
	}
}

// After a restart, the first packet that a sidecar receives from its upstream may follow data that
// the caller has not acknowledged yet. The later acknowledgement of that data is accepted.
func TestLearnedFlowAcceptsEarlierAcks(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	s.FromUpstream(fromUpstream(FlagAck, 2100, 1200), now)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(900), now), ActionUpstream, ReasonKnown)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(900+1<<30), now), ActionDrop, ReasonNotOurs)
}

// A sidecar that has a record of a flow, but got a packet with an acknowledgement number that does
// not match, answers that it is uncertain, not that its upstream does not hold the flow.
func TestMismatchedAckIsUncertain(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	tp := dataTunnelPacket(501 + 1<<30)
	v := s.FromTunnel(tp, now)
	wantVerdict(t, v, ActionDrop, ReasonNotOurs)
	if v.NotHeld {
		t.Error("the balancer is notified that the flow is not held")
	}
	if got := querySidecar(s, testKey, tp.Packet.Ack, now); got != LookupResultUncertain {
		t.Errorf("got answer %v, want %v", got, LookupResultUncertain)
	}
}

func TestBusyCountsWaitingRequests(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	if got := s.Load(now).Busy; got != 1 {
		t.Errorf("got busy %d while a request waits, want 1", got)
	}
	s.FromUpstream(fromUpstream(FlagAck, 501, 100), now)
	if got := s.Load(now).Busy; got != 0 {
		t.Errorf("got busy %d after the answer, want 0", got)
	}
}

// openAndRequest opens the i-th flow and returns the decision about a request on it.
func openAndRequest(t *testing.T, s *Sidecar, i int, now time.Time) SidecarVerdict {
	t.Helper()
	tp := openingTunnelPacket()
	tp.Packet.Key = keyOf(i)
	wantVerdict(t, s.FromTunnel(tp, now), ActionUpstream, ReasonPlaced)
	p := fromUpstream(FlagOpen|FlagAck, 500, 0)
	p.Key = keyOf(i)
	wantVerdict(t, s.FromUpstream(p, now), ActionCaller, ReasonKnown)
	d := dataTunnelPacket(501)
	d.Packet.Key = keyOf(i)
	d.Raw = []byte{byte(i)}
	return s.FromTunnel(d, now)
}

// answerRequest passes the first packet of the upstream's answer on the i-th flow to the sidecar.
func answerRequest(s *Sidecar, i int, now time.Time) {
	p := fromUpstream(FlagAck, 501, 100)
	p.Key = keyOf(i)
	s.FromUpstream(p, now)
}

// An upstream with two slots gets three requests at once: one for each slot and one more, as
// spareRequests says. A fourth one is queued until the answer to one of the three begins.
func TestRequestsWaitForSlots(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	for i := range 3 {
		wantVerdict(t, openAndRequest(t, s, i, now), ActionUpstream, ReasonKnown)
	}
	wantVerdict(t, openAndRequest(t, s, 3, now), ActionQueue, ReasonQueued)
	var got []byte
	deliver := func(raw []byte) { got = append(got, raw...) }
	s.ReleaseQueued(now, deliver)
	if got != nil {
		t.Fatal("a request was released before an answer")
	}
	answerRequest(s, 0, now)
	s.ReleaseQueued(now, deliver)
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("released %v, want request 3", got)
	}
	if s.Load(now).Busy != 3 {
		t.Errorf("got busy %d, want 3", s.Load(now).Busy)
	}
}

// A sidecar that is stopping releases all queued requests, and queues no more.
func TestLeavingSidecarReleasesItsQueue(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	for i := range 4 {
		openAndRequest(t, s, i, now)
	}
	s.Leave()
	var got []byte
	s.ReleaseQueued(now, func(raw []byte) { got = append(got, raw...) })
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("released %v, want request 3", got)
	}
	answerRequest(s, 0, now)
	d := dataTunnelPacket(601)
	d.Packet.Key = keyOf(0)
	d.Packet.Sequence = 151
	wantVerdict(t, s.FromTunnel(d, now), ActionUpstream, ReasonKnown)
}

// A request that is retransmitted after its answer began is not counted as a new one.
func TestRetransmittedBytesAreNoRequest(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	wantVerdict(t, openAndRequest(t, s, 0, now), ActionUpstream, ReasonKnown)
	answerRequest(s, 0, now)
	d := dataTunnelPacket(501)
	d.Packet.Key = keyOf(0)
	wantVerdict(t, s.FromTunnel(d, now), ActionUpstream, ReasonKnown)
	if got := s.Load(now).Busy; got != 0 {
		t.Errorf("got busy %d, want 0", got)
	}
}

// A sidecar confirms a flow if the balancer asks for it, so that the balancer does not look the
// flow up for each packet.
func TestFlowIsConfirmedOnRequest(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	if v := s.FromTunnel(dataTunnelPacket(501), now); v.Notify.IsValid() {
		t.Errorf("notified %v without being asked", v.Notify)
	}
	tp := dataTunnelPacket(501)
	tp.Path.Confirm = true
	if v := s.FromTunnel(tp, now); v.Notify != testOrigin || v.NotDelivered {
		t.Errorf("notified %v, not delivered %v; want %v, false", v.Notify, v.NotDelivered, testOrigin)
	}
}

// After a sidecar's restart, a request reaches the upstream as a probe and is answered. When the
// caller retransmits the request, it takes no slot, since no further answer will come.
func TestRepeatedRequestOfALearnedFlowTakesNoSlot(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonProbe)
	answer := fromUpstream(FlagAck, 501, 100)
	answer.Ack = 151
	wantVerdict(t, s.FromUpstream(answer, now), ActionCaller, ReasonKnown)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonKnown)
	if got := s.Load(now).Busy; got != 0 {
		t.Errorf("got busy %d after an answered request, want 0", got)
	}
	next := dataTunnelPacket(601)
	next.Packet.Sequence = 151
	wantVerdict(t, s.FromTunnel(next, now), ActionUpstream, ReasonKnown)
	if got := s.Load(now).Busy; got != 1 {
		t.Errorf("got busy %d with a new request, want 1", got)
	}
}
