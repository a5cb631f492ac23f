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

const testName = "rota-core"

// testHolder returns a sidecar whose upstream is ready, and the time.
func testHolder(t *testing.T, upstreamBorn time.Duration) (*Sidecar, time.Time) {
	t.Helper()
	start := time.Unix(1000, 0)
	h := NewSidecar(NewHeartbeatMonitor(2*time.Second), testName, time.Minute, start, start)
	now := start.Add(max(0, upstreamBorn))
	beat(t, h, Heartbeat{ID: "i-1", StartedAt: start.Add(upstreamBorn), Sequence: 1}, now)
	return h, now.Add(startTogether)
}

func beat(t *testing.T, h *Sidecar, b Heartbeat, now time.Time) {
	t.Helper()
	b.Service = testName
	b.Slots = 2
	if b.State == StateWaiting {
		b.State = StateReady
	}
	if got := h.Heartbeat(b, now); got != HeartbeatStarted && got != HeartbeatAccepted {
		t.Fatalf("heartbeat: %v", got)
	}
}

// arrival is a caller's packet with one sibling left to try.
func arrival(p Packet) *TunnelPacket {
	a := &TunnelPacket{Packet: p, Origin: testOrigin, Path: Path{Tag: TagOf(testName)}}
	a.Packet.Key = testKey
	a.Packet.FromCaller = true
	a.Path.add(testSibling)
	return a
}

func opening() *TunnelPacket { return arrival(Packet{Flags: FlagOpen, Sequence: 100}) }

func data(ack uint32) *TunnelPacket {
	return arrival(Packet{Flags: FlagAck, Sequence: 101, Ack: ack, Length: 50})
}

func fromUpstream(flags Flags, sequence uint32, length int) *Packet {
	return &Packet{Key: testKey, Flags: flags, Sequence: sequence, Ack: 101, Length: length}
}

func want(t *testing.T, r SidecarVerdict, action Action, reason Reason) {
	t.Helper()
	if r.Action != action || r.Reason != reason {
		t.Errorf("got %v, %v; want %v, %v", r.Action, r.Reason, action, reason)
	}
}

// wantDenied checks that the balancer is told that the upstream does not hold the flow.
func wantDenied(t *testing.T, r SidecarVerdict) {
	t.Helper()
	want(t, r, ActionDrop, ReasonUnknownFlow)
	if !r.NotDelivered || !r.NotHeld || r.Notify != testOrigin {
		t.Errorf("got %+v, want a denial to %v", r, testOrigin)
	}
}

// askSidecar asks a sidecar about one flow.
func askSidecar(h *Sidecar, k Key, ack uint32, now time.Time) LookupResult {
	return h.Answer(&Query{Questions: []Question{{Key: k, Ack: ack}}}, now).Results[0]
}

// open opens the test flow; the upstream's first sequence number is 500.
func open(t *testing.T, h *Sidecar, now time.Time) {
	t.Helper()
	want(t, h.FromTunnel(opening(), now), ActionUpstream, ReasonPlaced)
	r := h.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now)
	want(t, r, ActionCaller, ReasonKnown)
	if r.Notify != testOrigin {
		t.Errorf("told %v, want the balancer %v", r.Notify, testOrigin)
	}
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonKnown)
}

func TestOpeningGoesToAReadyUpstream(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
}

// Two upstreams may have answered; the caller's acknowledgement tells which one holds
// the flow. The balancer is told that the packet was not delivered, and asks the others.
func TestAcknowledgementOfAnotherUpstreamIsNotDelivered(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	r := h.FromTunnel(data(501+1<<30), now)
	want(t, r, ActionDrop, ReasonNotOurs)
	if r.Notify != testOrigin || !r.NotDelivered {
		t.Errorf("told %v, missed %v", r.Notify, r.NotDelivered)
	}
}

func TestLeavingUpstreamKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	beat(t, h, Heartbeat{ID: "i-1", StartedAt: h.monitor.Last().StartedAt, Sequence: 2, State: StateLeaving}, now)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonKnown)
	a := opening()
	a.Packet.Key = NewKey(netip.MustParseAddrPort("100.64.0.8:1"), testService)
	want(t, h.FromTunnel(a, now), ActionForward, ReasonUpstreamClosed)
}

// An old heartbeat says that the upstream is ready; the newer one that it leaves holds.
func TestLateHeartbeatDoesNotReopen(t *testing.T) {
	h, now := testHolder(t, time.Second)
	born := now.Add(time.Second)
	beat(t, h, Heartbeat{ID: "i-1", StartedAt: born, Sequence: 7, State: StateLeaving}, now)
	for _, b := range []Heartbeat{
		{ID: "i-1", StartedAt: born, Sequence: 6, State: StateReady, Service: testName},
		{ID: "i-0", StartedAt: born.Add(-time.Hour), Sequence: 99, State: StateReady, Service: testName},
	} {
		if got := h.Heartbeat(b, now); got == HeartbeatAccepted || got == HeartbeatStarted {
			t.Errorf("%v was believed: %v", b.ID, got)
		}
	}
	want(t, h.FromTunnel(opening(), now), ActionForward, ReasonUpstreamClosed)
}

// An address without heartbeats may belong to another service.
func TestGateClosesWithoutHeartbeats(t *testing.T) {
	h, now := testHolder(t, time.Second)
	want(t, h.FromTunnel(opening(), now.Add(2100*time.Millisecond)), ActionForward, ReasonUpstreamClosed)
}

func TestPacketForAnotherServiceIsNotDelivered(t *testing.T) {
	h, now := testHolder(t, time.Second)
	a := opening()
	a.Path.Tag = TagOf("sheet-render")
	want(t, h.FromTunnel(a, now), ActionForward, ReasonOtherService)
}

// Only the first copy of an opening packet that no upstream has seen is refused aloud.
func TestRefusal(t *testing.T) {
	for _, tt := range []struct {
		name    string
		copies  uint32
		offered bool
		want    Action
	}{
		{"first copy", 0, false, ActionReset},
		{"second copy", 1, false, ActionDrop},
		{"an upstream may answer", 0, true, ActionDrop},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, now := testHolder(t, time.Second)
			a := opening()
			a.Path.FallbackCount = 0
			a.Path.Tag = TagOf("sheet-render")
			a.Packet.Ack = tt.copies
			a.Offered = tt.offered
			want(t, h.FromTunnel(a, now), tt.want, ReasonOtherService)
		})
	}
}

func TestUnansweredOpeningGoesToASibling(t *testing.T) {
	h, now := testHolder(t, time.Second)
	want(t, h.FromTunnel(opening(), now), ActionUpstream, ReasonPlaced)
	sent := 0
	h.ForwardUnanswered(now.Add(answerPatience+1), func(a *TunnelPacket, r SidecarVerdict) {
		sent++
		want(t, r, ActionForward, ReasonUnanswered)
		if !a.Offered {
			t.Error("the sibling may reset a flow that the upstream may still open")
		}
	})
	if sent != 1 || h.OpeningPending() {
		t.Errorf("%d sent, pending %v", sent, h.OpeningPending())
	}
	want(t, h.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now), ActionCaller, ReasonKnown)
}

func TestBouncedOpeningGoesToASibling(t *testing.T) {
	h, now := testHolder(t, time.Second)
	h.FromTunnel(opening(), now)
	p := opening().Packet
	p.Flags |= FlagBounced
	want(t, h.FromUpstream(&p, now), ActionForward, ReasonBounced)
}

// A sidecar that started after its upstream asks it about unknown flows, once each;
// one that knows all flows does not.
func TestProbe(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonProbe)
	p := data(501).Packet
	p.Flags |= FlagBounced
	wantDenied(t, h.FromUpstream(&p, now))
	wantDenied(t, h.FromTunnel(data(501), now))
	h, now = testHolder(t, time.Second)
	wantDenied(t, h.FromTunnel(data(501), now))
}

// An upstream that starts answers a probe with a reset: it does not hold the flow, which
// may be open elsewhere. The balancer, which has kept the packet, is told; the reset is not
// delivered.
func TestResetOfAnUnknownFlowIsNotDelivered(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonProbe)
	wantDenied(t, h.FromUpstream(fromUpstream(FlagReset, 0, 0), now))
	want(t, h.FromUpstream(fromUpstream(FlagReset, 0, 0), now), ActionDrop, ReasonBounced)
}

// After a restart, what the upstream sends shows the flows that it holds.
func TestFlowIsLearntFromTheUpstream(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	want(t, h.FromUpstream(fromUpstream(FlagAck, 900, 10), now), ActionCaller, ReasonKnown)
	want(t, h.FromTunnel(data(910), now), ActionUpstream, ReasonKnown)
}

// The upstream answers the packet that it was asked with: the balancer that sent it
// learns where the flow is.
func TestProbeThatFindsTheFlow(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonProbe)
	r := h.FromUpstream(fromUpstream(FlagAck, 501, 0), now)
	want(t, r, ActionCaller, ReasonKnown)
	if r.Notify != testOrigin || r.NotDelivered {
		t.Errorf("told %v, want the balancer %v", r.Notify, testOrigin)
	}
}

// The first packet that a restarted sidecar sees may be a later one than those that
// the caller acknowledges next.
func TestLearntFlowCoversEarlierBytes(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	h.FromUpstream(fromUpstream(FlagAck, 2100, 1200), now)
	want(t, h.FromTunnel(data(900), now), ActionUpstream, ReasonKnown)
	want(t, h.FromTunnel(data(900+1<<30), now), ActionDrop, ReasonNotOurs)
}

// A sidecar that knows a flow of the same name never helps to give it up.
func TestDoubtfulFlowIsNotReportedMissed(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	a := data(501 + 1<<30)
	r := h.FromTunnel(a, now)
	want(t, r, ActionDrop, ReasonNotOurs)
	if r.NotHeld {
		t.Error("denied")
	}
	if got := askSidecar(h, testKey, a.Packet.Ack, now); got != LookupResultUncertain {
		t.Errorf("answered %v", got)
	}
}

// Flows of an upstream that was replaced are gone; their callers are told at once.
func TestReplacedUpstreamEndsItsFlows(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	beat(t, h, Heartbeat{ID: "i-2", StartedAt: now.Add(time.Minute), Sequence: 1}, now)
	want(t, h.FromTunnel(data(501), now), ActionReset, ReasonUpstreamLost)
	if got := askSidecar(h, testKey, 501, now); got != LookupResultEnded {
		t.Errorf("answered %v about a flow that ended with its upstream", got)
	}
}

// A caller whose opening packets reached two upstreams has its flow at one of them. That
// the other one was replaced since does not end the flow.
func TestReplacedUpstreamThatWasNotChosen(t *testing.T) {
	h, now := testHolder(t, time.Second)
	want(t, h.FromTunnel(opening(), now), ActionUpstream, ReasonPlaced)
	h.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now)
	beat(t, h, Heartbeat{ID: "i-2", StartedAt: now.Add(time.Minute), Sequence: 1}, now)
	r := h.FromTunnel(data(501+1<<30), now)
	want(t, r, ActionDrop, ReasonNotOurs)
	if !r.NotHeld || askSidecar(h, testKey, 501+1<<30, now) != LookupResultNotHeld {
		t.Errorf("%+v: the flow is looked for at no other sidecar", r)
	}
}

func TestBusyCountsWaitingRequests(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	if got := h.Load(now).Busy; got != 1 {
		t.Errorf("busy %d while a request waits", got)
	}
	h.FromUpstream(fromUpstream(FlagAck, 501, 100), now)
	if got := h.Load(now).Busy; got != 0 {
		t.Errorf("busy %d after the answer", got)
	}
}

// request is a caller's request on a flow of its own, opened before.
func request(t *testing.T, h *Sidecar, i int, now time.Time) SidecarVerdict {
	t.Helper()
	a := opening()
	a.Packet.Key = keyOf(i)
	want(t, h.FromTunnel(a, now), ActionUpstream, ReasonPlaced)
	p := fromUpstream(FlagOpen|FlagAck, 500, 0)
	p.Key = keyOf(i)
	want(t, h.FromUpstream(p, now), ActionCaller, ReasonKnown)
	d := data(501)
	d.Packet.Key = keyOf(i)
	d.Raw = []byte{byte(i)}
	return h.FromTunnel(d, now)
}

// answer is the first packet of an upstream's answer.
func answer(h *Sidecar, i int, now time.Time) {
	p := fromUpstream(FlagAck, 501, 100)
	p.Key = keyOf(i)
	h.FromUpstream(p, now)
}

// An upstream of two slots gets three requests at once; the others wait for answers.
func TestRequestsWaitForSlots(t *testing.T) {
	h, now := testHolder(t, time.Second)
	for i := range 3 {
		want(t, request(t, h, i, now), ActionUpstream, ReasonKnown)
	}
	want(t, request(t, h, 3, now), ActionQueue, ReasonQueued)
	var got []byte
	deliver := func(raw []byte) { got = append(got, raw...) }
	h.ReleaseQueued(now, deliver)
	if got != nil {
		t.Fatal("released without a free slot")
	}
	answer(h, 0, now)
	h.ReleaseQueued(now, deliver)
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("released %v, want request 3", got)
	}
	if h.Load(now).Busy != 3 {
		t.Errorf("busy %d, want 3", h.Load(now).Busy)
	}
}

// A sidecar that is stopped hands over what waits, and holds nothing from then on.
func TestLeavingSidecarKeepsNothingBack(t *testing.T) {
	h, now := testHolder(t, time.Second)
	for i := range 4 {
		request(t, h, i, now)
	}
	h.Leave()
	var got []byte
	h.ReleaseQueued(now, func(raw []byte) { got = append(got, raw...) })
	if len(got) != 1 || got[0] != 3 {
		t.Errorf("handed over %v, want request 3", got)
	}
	answer(h, 0, now)
	d := data(601)
	d.Packet.Key = keyOf(0)
	d.Packet.Sequence = 151
	want(t, h.FromTunnel(d, now), ActionUpstream, ReasonKnown)
}

// A request that is sent again after its answer began is not taken for a new one.
func TestRepeatedBytesAreNoRequest(t *testing.T) {
	h, now := testHolder(t, time.Second)
	want(t, request(t, h, 0, now), ActionUpstream, ReasonKnown)
	answer(h, 0, now)
	d := data(501)
	d.Packet.Key = keyOf(0)
	want(t, h.FromTunnel(d, now), ActionUpstream, ReasonKnown)
	if got := h.Load(now).Busy; got != 0 {
		t.Errorf("busy %d, want 0", got)
	}
}

// What a replaced upstream was working on no longer counts.
func TestReplacedUpstreamStartsIdle(t *testing.T) {
	h, now := testHolder(t, time.Second)
	for i := range 4 {
		request(t, h, i, now)
	}
	beat(t, h, Heartbeat{ID: "i-2", StartedAt: now.Add(time.Minute), Sequence: 1}, now)
	if got := h.Load(now).Busy; got != 0 {
		t.Errorf("busy %d, want 0", got)
	}
	want(t, request(t, h, 9, now.Add(startTogether)), ActionUpstream, ReasonKnown)
}

// The likely holder confirms the flow if the balancer asks for that, so that it does not
// look the flow up for each packet.
func TestSearchedFlowIsConfirmed(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	if r := h.FromTunnel(data(501), now); r.Notify.IsValid() {
		t.Errorf("told %v of a flow that the balancer knows", r.Notify)
	}
	a := data(501)
	a.Path.Confirm = true
	if r := h.FromTunnel(a, now); r.Notify != testOrigin || r.NotDelivered {
		t.Errorf("told %v, want the balancer %v", r.Notify, testOrigin)
	}
}

// After a sidecar's restart, the caller repeats a request that the upstream got from the
// probe and has answered. It takes no slot, since no answer will come.
func TestRepeatedRequestOfALearntFlowTakesNoSlot(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonProbe)
	answer := fromUpstream(FlagAck, 501, 100)
	answer.Ack = 151
	want(t, h.FromUpstream(answer, now), ActionCaller, ReasonKnown)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonKnown)
	if got := h.Load(now).Busy; got != 0 {
		t.Errorf("busy %d with a request that was answered", got)
	}
	next := data(601)
	next.Packet.Sequence = 151
	want(t, h.FromTunnel(next, now), ActionUpstream, ReasonKnown)
	if got := h.Load(now).Busy; got != 1 {
		t.Errorf("busy %d with one new request", got)
	}
}

// A sidecar that started beside an upstream that has crashed in silence never hears it.
// After a while it denies the flows that it is asked for, and holds no search up.
func TestSilentUpstreamHoldsNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewSidecar(NewHeartbeatMonitor(2*time.Second), testName, time.Minute, now, now)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonProbe)
	early := now.Add(probeInterval / 2)
	if r := h.FromTunnel(data(501), early); r.NotHeld || askSidecar(h, testKey, 501, early) != LookupResultUncertain {
		t.Error("denied while the upstream may still answer")
	}
	if got := askSidecar(h, testKey, 501, now.Add(deadAfter/2)); got != LookupResultNeedsProbe {
		t.Errorf("answered %v while the upstream may still answer", got)
	}
	late := now.Add(deadAfter + 1)
	if got := askSidecar(h, testKey, 501, late); got == LookupResultNotHeld {
		t.Error("denied by a sidecar that was paused itself")
	}
	for range deadLooks {
		h.Expire(now)
	}
	wantDenied(t, h.FromTunnel(data(501), late))
	if got := askSidecar(h, testKey, 501, late); got != LookupResultNotHeld {
		t.Errorf("answered %v: a crashed upstream holds a search up", got)
	}
	h.FromUpstream(fromUpstream(FlagAck, 900, 10), now.Add(deadAfter+2))
	other := data(501)
	other.Packet.Key = NewKey(netip.MustParseAddrPort("100.64.0.9:7"), testService)
	want(t, h.FromTunnel(other, now.Add(deadAfter+3)), ActionUpstream, ReasonProbe)
}

// An upstream is replaced, and the new one opens a flow before its first heartbeat comes.
// The flow is the new upstream's.
func TestFlowOpenedBeforeTheFirstHeartbeat(t *testing.T) {
	h, now := testHolder(t, time.Second)
	started := now.Add(10 * time.Second)
	beat(t, h, Heartbeat{ID: "i-1", StartedAt: now.Add(time.Second), Sequence: 8}, started)
	opened := started.Add(200 * time.Millisecond)
	open(t, h, opened)
	beat(t, h, Heartbeat{ID: "i-2", StartedAt: started.Add(100 * time.Millisecond), Sequence: 1}, opened.Add(100*time.Millisecond))
	want(t, h.FromTunnel(data(501), opened.Add(200*time.Millisecond)), ActionUpstream, ReasonKnown)
}

// A sidecar answers how old its upstream's flows can be, if it has seen the upstream start.
func TestOldestFlow(t *testing.T) {
	const age = 10 * time.Second
	for _, tt := range []struct {
		name string
		born time.Duration
		next bool
		want time.Duration
	}{
		{"started before the sidecar", -time.Second, false, 0},
		{"started after it", time.Second, false, age + time.Second + 2*startTogether},
		{"started together with it", -startTogether / 2, false, age + 2*startTogether},
		{"replaced", -time.Second, true, age / 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, now := testHolder(t, tt.born)
			if tt.next {
				beat(t, h, Heartbeat{ID: "i-1", StartedAt: now.Add(tt.born), Sequence: 2}, now.Add(age/2))
				beat(t, h, Heartbeat{ID: "i-2", StartedAt: now.Add(age - time.Second), Sequence: 1}, now.Add(age))
			}
			if got := h.Answer(&Query{}, now.Add(age)).MaxFlowAge; got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// An upstream has crashed and does not come back: callers of its flows are told once its
// heartbeats have been missing for a while. A sidecar that was paused does not tell them.
func TestCrashedUpstreamEndsItsFlows(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	late := now.Add(deadAfter + 1)
	h.Expire(late)
	want(t, h.FromTunnel(data(501), late), ActionUpstream, ReasonKnown)
	for range deadLooks {
		h.Expire(late)
	}
	if got := askSidecar(h, testKey, 501, late); got != LookupResultEnded {
		t.Errorf("answered %v", got)
	}
	want(t, h.FromTunnel(data(501), late), ActionReset, ReasonUpstreamLost)
}

// The time of day was set back after the upstream had started, and the sidecar restarted:
// the upstream seems younger than the sidecar, but its heartbeats count from its start. The
// sidecar does not deny the flows that it has not seen.
func TestClockSetBackBeforeARestart(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewSidecar(NewHeartbeatMonitor(2*time.Second), testName, time.Minute, now, now)
	beat(t, h, Heartbeat{ID: "i-1", StartedAt: now.Add(time.Hour), Sequence: 400}, now)
	want(t, h.FromTunnel(data(501), now), ActionUpstream, ReasonProbe)
}

// An upstream that has just started takes new flows a moment later, also if the time of
// day was set since: so a sidecar that restarts in that moment knows that it holds none.
func TestNewUpstreamOpensAMomentLater(t *testing.T) {
	for _, born := range []time.Duration{0, time.Hour} {
		start := time.Unix(1000, 0)
		h := NewSidecar(NewHeartbeatMonitor(2*time.Second), testName, time.Minute, start, start)
		beat(t, h, Heartbeat{ID: "i-1", StartedAt: start.Add(born), Sequence: 1}, start)
		if got := h.State(start); got != StateWaiting || h.ReadyIn(start) != startTogether {
			t.Errorf("born after %v: %v, opens after %v", born, got, h.ReadyIn(start))
		}
		if got := h.State(start.Add(startTogether)); got != StateReady {
			t.Errorf("born after %v: %v", born, got)
		}
	}
}

// Nothing listens at the upstream's address: it has crashed. Callers of its flows are told
// at once, new flows go elsewhere, and what starts there later is known from its start.
func TestAbsentUpstream(t *testing.T) {
	h, now := testHolder(t, -time.Second)
	open(t, h, now)
	if h.NeedsListenCheck(now) {
		t.Error("missing though it has just sent a heartbeat")
	}
	late := now.Add(missingAfter + time.Millisecond)
	if !h.NeedsListenCheck(late) {
		t.Error("not missing")
	}
	h.RecordListening(false, now.Add(-time.Second)) // it was heard since
	h.RecordListening(false, late)
	late = late.Add(endAfter - time.Millisecond)
	if h.RecordListening(false, late) {
		t.Error("absent at once")
	}
	want(t, h.FromTunnel(data(501), late), ActionUpstream, ReasonKnown)
	h.RecordListening(true, late)
	h.RecordListening(false, late)
	late = late.Add(endAfter)
	if !h.RecordListening(false, late) {
		t.Error("not absent though nothing listens")
	}
	if l := h.Load(late); l.State != StateWaiting || !l.UpstreamEnded {
		t.Errorf("%v, ended %v", l.State, l.UpstreamEnded)
	}
	if got := askSidecar(h, testKey, 501, late); got != LookupResultEnded {
		t.Errorf("answered %v about its flow", got)
	}
	if got := askSidecar(h, keyOf(7), 501, late); got != LookupResultNotHeld {
		t.Errorf("answered %v about another flow", got)
	}
	want(t, h.FromTunnel(data(501), late), ActionReset, ReasonUpstreamLost)
	beat(t, h, Heartbeat{ID: "i-1", StartedAt: h.monitor.Last().StartedAt, Sequence: 2}, late)
	if got := h.State(late); got != StateReady {
		t.Errorf("%v after a heartbeat", got)
	}
}

// orphans lists the flows whose callers are to be told that the upstream is lost.
func orphans(h *Sidecar, now time.Time) map[Key]uint32 {
	told := map[Key]uint32{}
	h.ForEachOrphan(now, func(k Key, ack uint32) { told[k] = ack })
	return told
}

// An upstream is replaced while the callers of its flows are idle: they are told, once, so
// that their next request goes out on a new flow. A caller that may have chosen another
// upstream is not told, nor one whose flow has ended.
func TestOrphanedFlows(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	h.FromUpstream(fromUpstream(FlagAck, 501, 100), now)
	unchosen := opening()
	unchosen.Packet.Key = keyOf(1)
	h.FromTunnel(unchosen, now)
	h.FromUpstream(&Packet{Key: keyOf(1), Flags: FlagOpen | FlagAck, Sequence: 900}, now)
	if got := orphans(h, now); len(got) != 0 {
		t.Errorf("told %v while the upstream lives", got)
	}
	beat(t, h, Heartbeat{ID: "i-2", StartedAt: now.Add(time.Minute), Sequence: 1}, now)
	if got := orphans(h, now); len(got) != 1 || got[testKey] != 601 {
		t.Errorf("told %v, want one caller that has acknowledged 601", got)
	}
	if got := orphans(h, now); len(got) != 0 {
		t.Errorf("told %v again", got)
	}
}

// An upstream that said that it ends, and no longer listens, may still serve its flows for
// a moment. Only once there was no sign of life for a while are their callers told.
func TestEndedUpstreamServesOn(t *testing.T) {
	h, now := testHolder(t, time.Second)
	open(t, h, now)
	h.End("i-1", now)
	if h.Load(now).UpstreamEnded || !h.Load(now.Add(endAfter+1)).UpstreamEnded {
		t.Error("reported as ended too early or never")
	}
	look := func(at time.Time) int {
		if h.NeedsListenCheck(at) {
			h.RecordListening(false, at)
		}
		return len(orphans(h, at))
	}
	if n := look(now) + look(now.Add(endAfter-time.Millisecond)); n != 0 {
		t.Errorf("%d callers are told at once", n)
	}
	spoke := now.Add(endAfter - time.Millisecond)
	h.FromUpstream(fromUpstream(FlagAck, 501, 100), spoke)
	if n := look(now.Add(endAfter)) + look(now.Add(endAfter+time.Millisecond)); n != 0 {
		t.Errorf("%d callers are told though the upstream has just served one", n)
	}
	if n := look(now.Add(2*endAfter + time.Millisecond)); n != 1 {
		t.Errorf("%d callers are told", n)
	}
}

// After a loss of power an upstream does not come back, but something still acknowledges,
// resets and returns packets of its flows. It is absent all the same.
func TestRemainsOfAnUpstreamAreNoSignOfLife(t *testing.T) {
	now := time.Unix(1000, 0)
	h := NewSidecar(NewHeartbeatMonitor(2*time.Second), testName, time.Minute, now, now)
	h.RecordListening(false, now)
	for _, p := range []*Packet{
		fromUpstream(FlagAck, 900, 0), fromUpstream(FlagReset, 0, 0), fromUpstream(FlagAck|FlagBounced, 900, 10),
	} {
		now = now.Add(endAfter / 3)
		h.FromUpstream(p, now)
	}
	if !h.RecordListening(false, now.Add(time.Millisecond)) {
		t.Error("not absent")
	}
	now = now.Add(time.Second)
	h.FromUpstream(fromUpstream(FlagAck, 900, 10), now)
	if h.State(now) == StateWaiting && h.UpstreamEnded(now) {
		t.Error("absent though it serves")
	}
}
