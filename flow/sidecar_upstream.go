package flow

import (
	"time"

	"greengagedyke/outlier"
	"greengagedyke/pace"
)

// Heartbeat processes a heartbeat of the upstream. A heartbeat of another incarnation than the last
// one ends no flow by itself: it makes CheckFlows ask the upstream.
func (s *Sidecar) Heartbeat(hb Heartbeat, now time.Time) HeartbeatOutcome {
	first := s.monitor.receivedAt.IsZero()
	crashed := s.upstreamCrashed(now)
	outcome := s.monitor.Heartbeat(hb, crashed || s.monitor.ending, now)
	if outcome == HeartbeatStarted {
		s.outcomes = outlier.Recorder{}
	}
	if tag := TagOf(hb.Service); outcome == HeartbeatStarted && tag != s.tag {
		s.tag = tag
		s.warmup.rate = 0 // it was the rate of the other service
	}
	if outcome == HeartbeatStarted {
		s.pace = pace.New(defaultServiceTime)
	}
	if outcome == HeartbeatStarted && crashed {
		s.loseAllFlows()
	}
	if !first && (outcome == HeartbeatStarted || outcome == HeartbeatUnproven) {
		clear(s.probes) // their answers may be of the former upstream
		s.check.request(now)
	}
	if outcome == HeartbeatStarted || outcome == HeartbeatAccepted {
		s.expireCalls = 0
		s.absent = false
		s.notListeningSince = time.Time{}
	}
	return outcome
}

// End records that an upstream has announced its end, and reports whether id is that of this
// sidecar's upstream.
func (s *Sidecar) End(id string, now time.Time) bool {
	if !s.monitor.End(id) {
		return false
	}
	s.endedAt = now
	return true
}

// UpstreamEnded reports whether the upstream no longer holds flows: it is absent or has crashed. If
// it cannot be checked whether the upstream listens, it has also ended when it announced its end more
// than EndGrace ago.
func (s *Sidecar) UpstreamEnded(now time.Time) bool {
	return s.upstreamCrashed(now) || !s.listenChecks && s.monitor.ending && now.Sub(s.endedAt) > EndGrace
}

// NeedsListenCheck reports whether a check is due that the upstream listens: it has sent no recent
// heartbeat, has announced its end, or leaves opening packets unanswered.
func (s *Sidecar) NeedsListenCheck(now time.Time) bool {
	return !s.absent && (s.monitor.ending || now.Sub(s.monitor.receivedAt) > heartbeatMissingAfter || s.monitor.unansweredOpenings > 0)
}

// RecordListening records whether something listened at the upstream's address at a time. If
// nothing has for EndGrace, and neither a heartbeat nor data arrived, the upstream is absent: it
// holds no flows, and this process will see all flows of the next one. After an announced end, EndGrace
// begins with the announcement. RecordListening reports whether the upstream has become absent.
func (s *Sidecar) RecordListening(listens bool, at time.Time) bool {
	s.listenChecks = true
	if listens {
		s.listenedAt = at
		s.expireCalls = 0
	} else {
		s.notListeningAt = at
	}
	switch {
	case listens || s.monitor.receivedAt.After(at) || s.lastServed.After(at):
		s.notListeningSince = time.Time{}
		return false
	case s.notListeningSince.IsZero():
		s.notListeningSince = at
	}
	if s.absent || at.Sub(s.silentSince()) < EndGrace {
		return false
	}
	s.absent = true
	if !s.knowsAllFlows {
		s.knowsAllFlows = true
		s.noFlowsBefore = at
	}
	return true
}

// silentSince returns the time since which the upstream has neither listened nor served, as far as
// checks and its announced end show.
func (s *Sidecar) silentSince() time.Time {
	if s.monitor.ending && s.endedAt.Before(s.notListeningSince) && !s.endedAt.Before(s.lastServed) {
		return s.endedAt
	}
	return s.notListeningSince
}
