package flow

import (
	"net/netip"
	"testing"
	"time"
)

func TestLeavingUpstreamKeepsItsFlowsAndGetsNoNewOnes(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 2, State: StateLeaving}, now)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonKnown)
	tp := openingTunnelPacket()
	tp.Packet.Key = NewKey(netip.MustParseAddrPort("100.64.0.8:1"), testService)
	wantVerdict(t, s.FromTunnel(tp, now), ActionForward, ReasonUpstreamClosed)
}

// After a heartbeat with StateLeaving, an older one that arrives late does not make the upstream
// ready again.
func TestLateHeartbeatDoesNotReopen(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	started := s.monitor.Last().StartedAt
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: started, Sequence: 7, State: StateLeaving}, now)
	for _, hb := range []Heartbeat{
		{ID: "i-1", StartedAt: started, Sequence: 6, State: StateReady, Service: testServiceName},
		{ID: "i-0", StartedAt: started.Add(-time.Hour), Sequence: 99, State: StateReady, Service: testServiceName},
		{ID: "i-0", StartedAt: started.Add(time.Hour), Sequence: 99, State: StateReady, Service: testServiceName},
	} {
		if got := s.Heartbeat(hb, now); got == HeartbeatAccepted || got == HeartbeatStarted {
			t.Errorf("heartbeat %d of %v: got %v, want it ignored", hb.Sequence, hb.ID, got)
		}
	}
	wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now), ActionForward, ReasonUpstreamClosed)
}

// An upstream without recent heartbeats gets no new flows: its address may belong to another
// service.
func TestUpstreamWithoutHeartbeatsGetsNoNewFlows(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now.Add(2100*time.Millisecond)), ActionForward, ReasonUpstreamClosed)
}

// A caller's opening packets reached two upstreams, and one of them holds the flow. If the other
// one is replaced, the flow goes on.
func TestReplacedUpstreamWithoutTheFlow(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now), ActionUpstream, ReasonPlaced)
	s.FromUpstream(fromUpstream(FlagOpen|FlagAck, 500, 0), now)
	if got := replaceUpstream(s, isTestKey, now); len(got) != 0 {
		t.Errorf("got resets %v, want none", got)
	}
	makeAbsent(s, now)
	sendHeartbeat(t, s, Heartbeat{ID: "i-2", StartedAt: now.Add(time.Minute), Sequence: 2}, now.Add(EndGrace))
	v := s.FromTunnel(dataTunnelPacket(501+1<<30), now)
	wantVerdict(t, v, ActionDrop, ReasonNotOurs)
	if !v.NotHeld || querySidecar(s, testKey, 501+1<<30, now) != LookupResultNotHeld {
		t.Errorf("got %+v, want %v notified that the flow is not held", v, testOrigin)
	}
}

// The requests of an upstream that was replaced no longer count as busy.
func TestReplacedUpstreamStartsIdle(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	for i := range 4 {
		openAndRequest(t, s, i, now)
	}
	if got := replaceUpstream(s, func(raw []byte) Key { return keyOf(int(raw[0])) }, now); len(got) != 4 {
		t.Errorf("got resets %v, want all 4 flows", got)
	}
	if got := s.Load(now).Busy; got != 0 {
		t.Errorf("got busy %d, want 0", got)
	}
	wantVerdict(t, openAndRequest(t, s, 9, now), ActionUpstream, ReasonKnown)
}

// A sidecar starts after its upstream has crashed, and so receives nothing from it. After a while,
// it answers that no flow is held, so that lookups do not wait for it.
func TestCrashedUpstreamHoldsNoFlows(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSidecar(NewHeartbeatMonitor(2*time.Second), testServiceName, time.Minute, now)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonProbe)
	early := now.Add(probeInterval / 2)
	if v := s.FromTunnel(dataTunnelPacket(501), early); v.NotHeld || querySidecar(s, testKey, 501, early) != LookupResultUncertain {
		t.Error("answered that the flow is not held while the upstream may still answer the probe")
	}
	if got := querySidecar(s, testKey, 501, now.Add(crashedAfter/2)); got != LookupResultNeedsProbe {
		t.Errorf("got answer %v while the upstream may still run, want %v", got, LookupResultNeedsProbe)
	}
	late := now.Add(crashedAfter + 1)
	if got := querySidecar(s, testKey, 501, late); got == LookupResultNotHeld {
		t.Error("a sidecar that was paused answered that the flow is not held")
	}
	for range crashedExpireCalls {
		s.Expire(now)
	}
	wantNotHeld(t, s.FromTunnel(dataTunnelPacket(501), late))
	if got := querySidecar(s, testKey, 501, late); got != LookupResultNotHeld {
		t.Errorf("got answer %v for a crashed upstream, want %v", got, LookupResultNotHeld)
	}
	s.FromUpstream(fromUpstream(FlagAck, 900, 10), now.Add(crashedAfter+2))
	other := dataTunnelPacket(501)
	other.Packet.Key = NewKey(netip.MustParseAddrPort("100.64.0.9:7"), testService)
	wantVerdict(t, s.FromTunnel(other, now.Add(crashedAfter+3)), ActionUpstream, ReasonProbe)
}

// An upstream is replaced, and the new one opens a flow before its first heartbeat arrives. The
// flow belongs to the new upstream.
func TestFlowOpenedBeforeTheFirstHeartbeat(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	started := now.Add(10 * time.Second)
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 8}, started)
	opened := started.Add(200 * time.Millisecond)
	openFlow(t, s, opened)
	s.Heartbeat(Heartbeat{ID: "i-2", Service: testServiceName, StartedAt: started.Add(100 * time.Millisecond), Sequence: 1, State: StateReady}, opened.Add(100*time.Millisecond))
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), opened.Add(200*time.Millisecond)), ActionUpstream, ReasonKnown)
}

// A sidecar that has seen all flows of its upstream reports the largest age that they can have.
// Otherwise, it reports 0.
func TestMaxFlowAge(t *testing.T) {
	const age = 10 * time.Second
	for _, tt := range []struct {
		name          string
		upstreamStart time.Duration
		absent        bool
		want          time.Duration
	}{
		{"started before the sidecar", -time.Second, false, 0},
		{"started after it", time.Second, false, age + time.Second - EndGrace},
		{"started together with it", 0, false, 0},
		{"was absent", -time.Second, true, age / 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := testSidecar(t, tt.upstreamStart)
			if tt.absent {
				makeAbsent(s, now.Add(age/2-EndGrace))
				sendHeartbeat(t, s, Heartbeat{ID: "i-2", StartedAt: now.Add(age - time.Second), Sequence: 1}, now.Add(age))
			}
			if got := s.Answer(&Query{}, now.Add(age)).MaxFlowAge; got != tt.want {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}

// An upstream has crashed and does not restart. Its flows are reset once its heartbeats have been
// missing for a while, but not by a sidecar that was paused and may have missed them.
func TestCrashedUpstreamEndsItsFlows(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	late := now.Add(crashedAfter + 1)
	s.Expire(late)
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), late), ActionUpstream, ReasonKnown)
	for range crashedExpireCalls {
		s.Expire(late)
	}
	if got := querySidecar(s, testKey, 501, late); got != LookupResultEnded {
		t.Errorf("got answer %v, want %v", got, LookupResultEnded)
	}
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), late), ActionReset, ReasonUpstreamLost)
}

// The time of day is set between the start of an upstream and that of its sidecar's process, or a
// heartbeat of another upstream comes first. Neither start times nor sequence numbers show that this
// process has seen all flows, so the upstream is probed for others: issue 27, review/4 and review/3.
func TestFirstHeartbeatProvesNothing(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, -10 * time.Millisecond, 0, 2400 * time.Millisecond, time.Hour} {
		for _, sequence := range []uint64{0, 1, 2, 3, 400} {
			now := time.Unix(1000, 0)
			s := NewSidecar(NewHeartbeatMonitor(2*time.Second), testServiceName, time.Minute, now)
			s.RecordListening(true, now)
			sendHeartbeat(t, s, Heartbeat{ID: "i-0", StartedAt: now.Add(offset), Sequence: sequence}, now)
			later := now.Add(2 * time.Second)
			s.Heartbeat(Heartbeat{ID: "i-1", Service: testServiceName, StartedAt: now.Add(-time.Second), Sequence: 2, State: StateReady}, later)
			wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), later), ActionUpstream, ReasonProbe)
			if got := querySidecar(s, keyOf(7), 501, later); got != LookupResultNeedsProbe {
				t.Errorf("started %v after the sidecar, sequence %d: got answer %v, want %v", offset, sequence, got, LookupResultNeedsProbe)
			}
			if got := s.Answer(&Query{}, later).MaxFlowAge; got != 0 {
				t.Errorf("started %v after the sidecar, sequence %d: got largest age %v, want 0", offset, sequence, got)
			}
		}
	}
}

// Nothing listens at the upstream's address for EndGrace, so the upstream counts as absent: its
// flows have ended, and it gets no new ones. A heartbeat makes it ready again.
func TestAbsentUpstream(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	openFlow(t, s, now)
	if s.NeedsListenCheck(now) {
		t.Error("a listen check is due right after a heartbeat")
	}
	late := now.Add(heartbeatMissingAfter + time.Millisecond)
	if !s.NeedsListenCheck(late) {
		t.Error("no listen check is due though heartbeats are missing")
	}
	s.RecordListening(false, now.Add(-time.Second)) // ignored, since a heartbeat arrived after it
	s.RecordListening(false, late)
	late = late.Add(EndGrace - time.Millisecond)
	if s.RecordListening(false, late) {
		t.Error("absent before EndGrace has passed")
	}
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), late), ActionUpstream, ReasonKnown)
	s.RecordListening(true, late)
	s.RecordListening(false, late)
	late = late.Add(EndGrace)
	if !s.RecordListening(false, late) {
		t.Error("not absent after EndGrace")
	}
	if l := s.Load(late); l.State != StateWaiting || !l.UpstreamEnded {
		t.Errorf("got %v, ended %v; want %v, true", l.State, l.UpstreamEnded, StateWaiting)
	}
	if got := querySidecar(s, testKey, 501, late); got != LookupResultEnded {
		t.Errorf("got answer %v about a flow of the upstream, want %v", got, LookupResultEnded)
	}
	if got := querySidecar(s, keyOf(7), 501, late); got != LookupResultNotHeld {
		t.Errorf("got answer %v about another flow, want %v", got, LookupResultNotHeld)
	}
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), late), ActionReset, ReasonUpstreamLost)
	sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 2}, late)
	if got := s.State(late); got != StateReady {
		t.Errorf("got %v after a heartbeat, want %v", got, StateReady)
	}
}

// orphanedFlows returns the flows that ForEachOrphan reports, with their acknowledgement numbers.
func orphanedFlows(s *Sidecar, now time.Time) map[Key]uint32 {
	acks := map[Key]uint32{}
	s.ForEachOrphan(now, func(k Key, ack uint32) { acks[k] = ack })
	return acks
}

// An upstream crashes and is replaced while the callers of its flows are idle. The callers are reset,
// once, so that they send their next request on a new flow. A caller whose flow another upstream may
// hold is not reset.
func TestOrphanedFlows(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	s.FromUpstream(fromUpstream(FlagAck, 501, 100), now)
	unchosen := openingTunnelPacket()
	unchosen.Packet.Key = keyOf(1)
	s.FromTunnel(unchosen, now)
	s.FromUpstream(&Packet{Key: keyOf(1), Flags: FlagOpen | FlagAck, Sequence: 900}, now)
	if got := orphanedFlows(s, now); len(got) != 0 {
		t.Errorf("got orphans %v before the upstream was replaced, want none", got)
	}
	makeAbsent(s, now)
	now = now.Add(EndGrace)
	sendHeartbeat(t, s, Heartbeat{ID: "i-2", StartedAt: now.Add(time.Minute), Sequence: 1}, now)
	if got := orphanedFlows(s, now); len(got) != 1 || got[testKey] != 601 {
		t.Errorf("got orphans %v, want %v with acknowledgement number 601", got, testKey)
	}
	if got := orphanedFlows(s, now); len(got) != 0 {
		t.Errorf("got orphans %v a second time, want none", got)
	}
}

// An upstream that has announced its end and no longer listens may still serve its flows. They are
// reset only once there was no data or heartbeat for EndGrace.
func TestEndingUpstreamKeepsServing(t *testing.T) {
	s, now := testSidecar(t, -time.Second)
	s.End("i-1", now)
	if s.Load(now).UpstreamEnded || !s.Load(now.Add(EndGrace+1)).UpstreamEnded {
		t.Error("not reported as ended exactly from EndGrace on, without listen checks")
	}
	s, now = testSidecar(t, time.Second)
	openFlow(t, s, now)
	s.End("i-1", now)
	countOrphans := func(at time.Time) int {
		if s.NeedsListenCheck(at) {
			s.RecordListening(false, at)
		}
		return len(orphanedFlows(s, at))
	}
	if n := countOrphans(now) + countOrphans(now.Add(EndGrace-time.Millisecond)); n != 0 {
		t.Errorf("got %d orphans before EndGrace has passed, want none", n)
	}
	lastServed := now.Add(EndGrace - time.Millisecond)
	s.FromUpstream(fromUpstream(FlagAck, 501, 100), lastServed)
	if n := countOrphans(now.Add(EndGrace)) + countOrphans(now.Add(EndGrace+time.Millisecond)); n != 0 {
		t.Errorf("got %d orphans though the upstream has just sent data, want none", n)
	}
	if n := countOrphans(now.Add(2*EndGrace + time.Millisecond)); n != 1 {
		t.Errorf("got %d orphans, want 1", n)
	}
}

// After a power loss, an upstream does not restart, but its VM still acknowledges, resets and
// returns packets of the upstream's flows. The upstream counts as absent nevertheless.
func TestUpstreamThatSendsNoDataIsAbsent(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSidecar(NewHeartbeatMonitor(2*time.Second), testServiceName, time.Minute, now)
	s.RecordListening(false, now)
	for _, p := range []*Packet{
		fromUpstream(FlagAck, 900, 0), fromUpstream(FlagReset, 0, 0), fromUpstream(FlagAck|FlagBounced, 900, 10),
	} {
		now = now.Add(EndGrace / 3)
		s.FromUpstream(p, now)
	}
	if !s.RecordListening(false, now.Add(time.Millisecond)) {
		t.Error("not absent after EndGrace")
	}
	now = now.Add(time.Second)
	s.FromUpstream(fromUpstream(FlagAck, 900, 10), now)
	if s.State(now) == StateWaiting && s.UpstreamEnded(now) {
		t.Error("absent though it has just sent data")
	}
}
