package flow

import (
	"testing"
	"time"
)

// replaceUpstream makes i-2 the upstream at the address of i-1, which crashes: the sidecar receives a
// heartbeat of i-2, and i-2 returns the packets of flows that it does not hold. key returns the flow of
// a packet. It returns the flows that were reset, with their acknowledgement numbers.
func replaceUpstream(s *Sidecar, key func(raw []byte) Key, now time.Time) map[Key]uint32 {
	reset := map[Key]uint32{}
	bounce := func(raw []byte) {
		p := dataTunnelPacket(501).Packet
		p.Key = key(raw)
		p.Flags |= FlagBounced
		if s.FromUpstream(&p, now).Action == ActionReset {
			reset[p.Key] = p.Ack
		}
	}
	s.Heartbeat(Heartbeat{ID: "i-2", Service: testServiceName, StartedAt: now.Add(time.Minute), Sequence: 1, State: StateReady, Slots: 2}, now)
	var sent [][]byte
	s.CheckFlows(now, func(raw []byte) { sent = append(sent, raw) })
	for _, raw := range sent {
		bounce(raw)
	}
	s.ReleaseQueued(now, bounce)
	return reset
}

// isTestKey returns the test flow for each packet.
func isTestKey([]byte) Key { return testKey }

// Flows of an upstream that was replaced have ended. Their callers are reset.
func TestReplacedUpstreamEndsItsFlows(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	if got := replaceUpstream(s, isTestKey, now); len(got) != 1 || got[testKey] != 501 {
		t.Errorf("got resets %v, want %v with acknowledgement number 501", got, testKey)
	}
	wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionReset, ReasonUpstreamLost)
	if got := querySidecar(s, testKey, 501, now); got != LookupResultEnded {
		t.Errorf("got answer %v about a flow that ended with its upstream, want %v", got, LookupResultEnded)
	}
}

// otherIncarnations are heartbeats that another sender wrote, or that a former incarnation sent and
// that arrive late.
func otherIncarnations(now time.Time) []Heartbeat {
	var list []Heartbeat
	for _, offset := range []time.Duration{-time.Hour, 0, time.Hour} {
		list = append(list,
			Heartbeat{ID: "i-other", StartedAt: now.Add(offset), Sequence: 1},
			Heartbeat{ID: "i-other", StartedAt: now.Add(offset), Sequence: 1 << 60},
			Heartbeat{ID: "i-1", StartedAt: now.Add(offset), Sequence: 1}) // a restart under the same ID
	}
	return list
}

// One heartbeat of another sender, or a late one of a former upstream, ends no flow of an upstream
// that lives: issue 27, review/2.
func TestHeartbeatOfAnotherSenderEndsNoFlow(t *testing.T) {
	for _, other := range otherIncarnations(time.Unix(1002, 0)) {
		s, now := testSidecar(t, time.Second)
		openFlow(t, s, now)
		other.Service, other.State, other.Slots = testServiceName, StateReady, 2
		s.Heartbeat(other, now)
		for range 2 * checkRounds {
			s.CheckFlows(now, func([]byte) { s.FromUpstream(fromUpstream(FlagAck, 501, 0), now) })
			now = now.Add(checkInterval)
			if got := orphanedFlows(s, now); len(got) != 0 {
				t.Fatalf("%+v: got orphans %v, want none", other, got)
			}
		}
		if got := querySidecar(s, testKey, 501, now); got != LookupResultHeld {
			t.Errorf("%+v: got answer %v, want %v", other, got, LookupResultHeld)
		}
		wantVerdict(t, s.FromTunnel(dataTunnelPacket(501), now), ActionUpstream, ReasonKnown)
	}
}

// After such a heartbeat, the living upstream is not locked out: its own heartbeats are accepted, and
// it gets new flows.
func TestHeartbeatOfAnotherSenderLocksNobodyOut(t *testing.T) {
	for _, other := range otherIncarnations(time.Unix(1002, 0)) {
		s, now := testSidecar(t, time.Second)
		own := s.monitor.Last()
		other.Service, other.State = "other-service", StateLeaving
		s.Heartbeat(other, now)
		if got := s.State(now); got == StateReady {
			t.Errorf("%+v: got %v while it is not known which upstream runs", other, got)
		}
		own.Sequence++
		sendHeartbeat(t, s, own, now.Add(time.Second))
		wantVerdict(t, s.FromTunnel(openingTunnelPacket(), now.Add(time.Second)), ActionUpstream, ReasonPlaced)
	}
}

// An upstream that replaced another one unnoticed, with any start time, is accepted once it goes on
// sending heartbeats while the former one sends none. Late heartbeats that arrive together do not
// suffice.
func TestNewUpstreamIsAcceptedInTheEnd(t *testing.T) {
	for _, offset := range []time.Duration{-time.Hour, time.Hour} {
		s, now := testSidecar(t, time.Second)
		next := Heartbeat{ID: "i-2", Service: testServiceName, StartedAt: now.Add(offset), State: StateReady}
		for i, tt := range []struct {
			after time.Duration
			want  HeartbeatOutcome
		}{{0, HeartbeatUnproven}, {1, HeartbeatUnproven}, {claimPeriod - 1, HeartbeatUnproven}, {claimPeriod, HeartbeatStarted}} {
			next.Sequence = uint64(i)
			if got := s.Heartbeat(next, now.Add(tt.after)); got != tt.want {
				t.Errorf("%v after the first heartbeat: got %v, want %v", tt.after, got, tt.want)
			}
		}
	}
}

// makeAbsent makes a sidecar find that its upstream does not listen, from now to EndGrace later.
func makeAbsent(s *Sidecar, now time.Time) {
	s.RecordListening(false, now)
	s.RecordListening(false, now.Add(EndGrace))
}

// The heartbeats of an upstream that listens are missing for a while. It is not taken for crashed,
// also not by a sidecar that was paused since its last check.
func TestListeningUpstreamIsNotCrashed(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	for range 2 * crashedAfter / time.Second {
		now = now.Add(time.Second)
		s.Expire(now)
		s.RecordListening(true, now)
	}
	for _, at := range []time.Time{now.Add(crashedAfter), now.Add(2 * crashedAfter)} {
		if got := orphanedFlows(s, at); len(got) != 0 || s.UpstreamEnded(at) {
			t.Errorf("got orphans %v, ended %v, want none, false", got, s.UpstreamEnded(at))
		}
	}
}

// An announced end is believed only once nothing listens any more: the announcement may be of another
// sender.
func TestAnnouncedEndIsChecked(t *testing.T) {
	s, now := testSidecar(t, time.Second)
	openFlow(t, s, now)
	s.RecordListening(true, now)
	s.End("i-1", now)
	late := now.Add(EndGrace + 1)
	if !s.NeedsListenCheck(late) {
		t.Error("no listen check is due after an announced end")
	}
	s.RecordListening(true, late)
	if s.UpstreamEnded(late) {
		t.Error("an upstream that listens is reported as ended")
	}
	if s.RecordListening(false, late); !s.UpstreamEnded(late) {
		t.Error("not reported as ended though nothing listens EndGrace after the announcement")
	}
}

// The end of an upstream is announced by another sender. Once the upstream goes on sending heartbeats, it
// gets new flows again. One that had been leaving gets none.
func TestAnnouncedEndOfARunningUpstream(t *testing.T) {
	for _, tt := range []struct{ before, want State }{{StateReady, StateReady}, {StateLeaving, StateLeaving}} {
		s, now := testSidecar(t, time.Second)
		hb := s.monitor.Last()
		hb.Sequence++
		hb.State = tt.before
		sendHeartbeat(t, s, hb, now)
		s.End("i-1", now)
		if got := s.State(now); got != StateLeaving {
			t.Errorf("%v before: got %v after the announcement, want %v", tt.before, got, StateLeaving)
		}
		hb.Sequence++
		hb.State = StateReady
		sendHeartbeat(t, s, hb, now.Add(time.Second))
		if got := s.State(now.Add(time.Second)); got != tt.want {
			t.Errorf("%v before: got %v after the next heartbeat, want %v", tt.before, got, tt.want)
		}
	}
}

// Flows may be idle for longer than the default. A sidecar that has run for a while goes on probing its
// upstream until a flow that it has not seen would have been idle for too long.
func TestIdleFlowIsProbedUntilTheTimeout(t *testing.T) {
	for _, idle := range []time.Duration{time.Minute, 10 * time.Minute} {
		now := time.Unix(1000, 0)
		s := NewSidecar(NewHeartbeatMonitor(2*time.Second), testServiceName, idle, now)
		s.RecordListening(true, now.Add(idle))
		if got := querySidecar(s, testKey, 501, now.Add(idle)); got != LookupResultNeedsProbe {
			t.Errorf("idle timeout %v: got %v within it, want %v", idle, got, LookupResultNeedsProbe)
		}
		late := now.Add(idle + probeSlack + 1)
		s.RecordListening(true, late)
		if got := querySidecar(s, testKey, 501, late); got != LookupResultNotHeld {
			t.Errorf("idle timeout %v: got %v after it, want %v", idle, got, LookupResultNotHeld)
		}
	}
}
