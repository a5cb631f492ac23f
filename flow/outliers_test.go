package flow

import (
	"testing"
	"time"

	"greengagedyke/outlier"
)

// The sidecar sees what its upstream does with requests, whatever the heartbeats say: answers, resets
// and ends before an answer, requests and opening packets without one.
func TestSidecarRecordsOutcomes(t *testing.T) {
	for _, tt := range []struct {
		name       string
		warmupLeft time.Duration
		then       func(s *Sidecar, now time.Time)
		known      bool
		failed     bool
		answerTime time.Duration
	}{
		{"answer", 0, func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagAck, 501, 80), now) }, true, false, 40 * time.Millisecond},
		{"answer while warming up", time.Minute, func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagAck, 501, 80), now) }, true, false, 0},
		{"reset", 0, func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagReset, 501, 0), now) }, true, true, 0},
		{"end without an answer", 0, func(s *Sidecar, now time.Time) { s.FromUpstream(fromUpstream(FlagEnd|FlagAck, 501, 0), now) }, true, true, 0},
		{"request without an answer", 0, func(s *Sidecar, now time.Time) { s.Expire(now.Add(overdueAfter)) }, true, true, 0},
		{"end after the caller's", 0, func(s *Sidecar, now time.Time) {
			s.FromTunnel(callerPacket(Packet{Flags: FlagAck | FlagEnd, Sequence: 151, Ack: 501}), now)
			s.Expire(now.Add(overdueAfter))
			s.FromUpstream(fromUpstream(FlagEnd|FlagAck, 501, 0), now)
		}, false, false, 0},
		{"opening packet without an answer", 0, func(s *Sidecar, now time.Time) {
			tp := openingTunnelPacket()
			tp.Packet.Key = keyOf(1)
			s.FromTunnel(tp, now)
			s.ForwardUnanswered(now.Add(openingAnswerTimeout), func(*TunnelPacket, SidecarVerdict) {})
		}, true, true, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s, now := testSidecar(t, time.Second)
			sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 2, WarmupLeft: tt.warmupLeft}, now)
			openFlow(t, s, now)
			if e := s.Load(now).Evidence; e.Known {
				t.Errorf("got evidence %+v of a request that is not overdue", e)
			}
			now = now.Add(40 * time.Millisecond)
			tt.then(s, now)
			e := s.Load(now).Evidence
			if e.Known != tt.known || e.FailureShare > 0 != tt.failed || e.AnswerTime != tt.answerTime {
				t.Errorf("got %+v, want known %v, failed %v, answer time %v", e, tt.known, tt.failed, tt.answerTime)
			}
			sendHeartbeat(t, s, Heartbeat{ID: "i-1", StartedAt: s.monitor.Last().StartedAt, Sequence: 3}, now)
			if s.Load(now).Evidence.Known != tt.known {
				t.Error("a heartbeat of the same upstream changed the evidence")
			}
		})
	}
}

// reportFailures makes four members report for 2 s, and returns the time after that. Requests of member 0
// fail; by its load, it is the best.
func reportFailures(b *Balancer, now time.Time) time.Time {
	for sequence := range uint32(8) {
		now = now.Add(evaluateInterval)
		for i := range 4 {
			l := Load{Incarnation: 1, Sequence: sequence + 2, Tag: TagOf(testServiceName), DomainID: DomainID("a"), State: StateReady, Slots: 2, Busy: 9}
			l.Evidence = outlier.Evidence{Known: true, AnswerTime: 30 * time.Millisecond}
			if i == 0 {
				l.Busy = 0
				l.Evidence.FailureShare = 0.6
			}
			b.HandleReport(memberAddr(i), l, now)
		}
	}
	return now
}

// A balancer that detects outliers sends no new flows to one, and names it last among the fallbacks, as
// long as others take them; open flows stay, and its state as reported does not matter. Without the
// setting, it is used as before.
func TestOutlierGetsNoNewFlows(t *testing.T) {
	for _, detect := range []bool{false, true} {
		now := time.Unix(100, 0)
		b := testBalancer(4, now)
		if detect {
			b.DetectOutliers()
		}
		b.HandleFlowHeld(keyOf(500), memberAddr(0), now)
		now = reportFailures(b, now)
		sent := 0
		for i := range 100 {
			p := openingPacket(0)
			p.Key = keyOf(i)
			v := b.Decide(p, now)
			if v.Path.To == memberAddr(0) {
				sent++
			} else if detect && v.Path.Fallbacks[v.Path.FallbackCount-1] != memberAddr(0) {
				t.Errorf("fallbacks %v, want the ejected member last", v.Path.Fallbacks[:v.Path.FallbackCount])
			}
		}
		if detect != (sent == 0) {
			t.Errorf("detection %v: member 0 got %d of 100 new flows", detect, sent)
		}
		p := dataPacket()
		p.Key = keyOf(500)
		if v := b.Decide(p, now); v.Path.To != memberAddr(0) {
			t.Errorf("detection %v: a packet of an open flow goes to %v, want %v", detect, v.Path.To, memberAddr(0))
		}
		changes := b.TakeOutlierChanges()
		if detect && (len(changes) != 1 || changes[0].Addr != memberAddr(0) || !changes[0].Ejected) || !detect && changes != nil {
			t.Errorf("detection %v: got changes %+v", detect, changes)
		}
	}
}
