package flow

import (
	"net/netip"
	"time"

	"greengagedyke/outlier"
	"greengagedyke/pace"
	"greengagedyke/schedule"
)

const (
	// openingAnswerTimeout is how long an upstream may take to answer an opening packet before a
	// sibling gets the packet.
	openingAnswerTimeout = 60 * time.Millisecond
	// probeMaxAge is how long a sidecar keeps a probe and its result.
	probeMaxAge = 65 * time.Second
	// closedFlowAge is how long a flow is kept after both directions have ended.
	closedFlowAge = 3 * time.Second
	// probeInterval is the time between probes for a flow that the upstream does not answer.
	probeInterval = 250 * time.Millisecond
	// probeSlack is how much longer than the idle timeout of flows a sidecar probes its upstream, after
	// its start, for flows that it has no record of.
	probeSlack = 5 * time.Second
	// crashedAfter is the time without a heartbeat or data from the upstream after which it counts
	// as crashed.
	crashedAfter = 4 * time.Second
	// heartbeatMissingAfter is the time without a heartbeat after which the sidecar begins to check
	// whether the upstream listens.
	heartbeatMissingAfter = time.Second
	// EndGrace is how long an upstream may go on serving its flows after it stopped listening or
	// announced its end.
	EndGrace = 500 * time.Millisecond
	// crashedExpireCalls is the number of calls of Expire during crashedAfter. With fewer, this
	// process was paused and may have missed heartbeats.
	crashedExpireCalls = 3
	// queuedPerSlot is the number of requests that may wait for each slot before opening packets go
	// to siblings.
	queuedPerSlot = 1
	// spareRequests is the number of requests that an upstream gets beyond its slots, so that no
	// slot idles while an answer and the next request are on their way.
	spareRequests = 1
	// defaultServiceTime is how long the upstream is expected to take for a request before it has
	// answered some.
	defaultServiceTime = 20 * time.Millisecond
	// probeLimit bounds the probes that a call of Expire keeps.
	probeLimit = 10_000
	// ackSlack is how many bytes a caller may acknowledge beyond what this process saw the upstream
	// send. In a learned flow, it is also how far before firstSequence the caller may acknowledge.
	ackSlack = 76_800
)

// TunnelPacket is a caller's packet that a sidecar received from a balancer or a sibling.
type TunnelPacket struct {
	Packet Packet
	// Path is the path that the balancer chose.
	Path Path
	// Hop is the number of sidecars that had the packet before this one.
	Hop int
	// Origin is the balancer that received the packet from the caller.
	Origin netip.AddrPort
	// Offered means that an upstream may still answer the opening packet, so that no sidecar may
	// reset the flow.
	Offered bool
	// Raw are the bytes of the packet.
	Raw []byte
}

// SidecarVerdict is a sidecar's decision about a packet.
type SidecarVerdict struct {
	Action Action
	Reason Reason
	// To is the sibling that gets a forwarded packet.
	To netip.AddrPort
	// Hop is the value of TunnelPacket.Hop in the forwarded packet.
	Hop int
	// Notify is the balancer to be notified that the upstream holds the flow or, if NotDelivered is
	// set, that the packet was not delivered. It is not valid if there is none.
	Notify       netip.AddrPort
	NotDelivered bool
	// NotHeld is set if the packet was not delivered because the upstream does not hold the flow.
	NotHeld bool
	// Returned is the opening packet, as it was received, if the upstream returned it.
	Returned *TunnelPacket
}

// The directions of a flow, as bits of flowState.ended.
const (
	callerEnded = 1 << iota
	upstreamEnded
	bothEnded = callerEnded | upstreamEnded
)

// flowState is a flow that the upstream holds, or may hold once it answers the opening packet.
type flowState struct {
	// firstSequence is the upstream's first sequence number, once answered is set. In a learned flow,
	// it is the one before the first packet received from the upstream.
	firstSequence uint32
	// answered is set once the upstream has answered the opening packet, or in a learned flow.
	answered bool
	// learned is set if this process has no record of the flow's opening packet and recorded the flow
	// when it received a packet from the upstream.
	//
	// established is set once the caller is known to use this upstream, since another one may have
	// answered the opening packet too.
	learned, established bool
	// sentLength is the distance from firstSequence to the end of what the upstream sent.
	sentLength uint32
	// opening is the opening packet; zero in a learned flow.
	opening TunnelPacket
	// offeredAt is when the upstream got the opening packet.
	offeredAt time.Time
	// pending is set while the opening packet waits for the upstream's answer, until
	// openingAnswerTimeout.
	pending bool
	// awaitingAnswer is set while a request waits for the first byte of the upstream's answer.
	awaitingAnswer bool
	// requestStart is when the upstream got the newest request.
	requestStart time.Time
	// slotSince is since when the newest request has a slot of the upstream; zero if it waits for one.
	slotSince time.Time
	// route and size are what the cost of the newest request depends on.
	route netip.AddrPort
	size  pace.Size
	// queued is set while a request waits in the queue.
	queued bool
	// retransmissions is the number of opening packets that came before the one that opened the
	// flow. It is 0 after the first request.
	retransmissions uint32
	policy          RequestPolicy
	// nextSequence is the sequence number after the last of the caller's bytes that arrived or were
	// acknowledged by the upstream. It is valid once nextKnown is set.
	nextSequence uint32
	nextKnown    bool
	// lastUsed is when a packet of the flow last arrived.
	lastUsed time.Time
	// ended has a bit for each direction that has ended.
	ended uint8
	// orphanReported is set once ForEachOrphan has reported the flow, so that its caller is sent a
	// reset only once.
	orphanReported bool
	// delivered is a copy of the newest packet of the caller that the upstream got. CheckFlows repeats
	// it. It is nil if there is none.
	delivered []byte
	// lastAnswer is when a packet of the upstream last arrived.
	lastAnswer time.Time
	// lost is set once the upstream is known not to hold the flow any more.
	lost bool
}

// probe is a packet of a flow without a record that was sent to the upstream to find out whether the
// upstream holds the flow.
type probe struct {
	sentAt time.Time
	// origin is the balancer to be notified of the upstream's answer; not valid after that.
	origin netip.AddrPort
	// notHeld is set once an answer has shown that the upstream does not hold the flow.
	notHeld bool
	// raw is a copy of the packet, until notHeld is set.
	raw []byte
}

// Latency is a kind of duration that a sidecar measures.
type Latency uint8

// The durations that are measured.
const (
	// LatencyOpen is the time from an opening packet to the upstream's answer.
	LatencyOpen Latency = iota
	// LatencyWait is the time that a request spends in the queue.
	LatencyWait
	// LatencyAnswer is the time from a request to the first byte of its answer.
	LatencyAnswer
	// LatencyCostError is the difference between the time that the upstream took for a request and
	// the time that was expected.
	LatencyCostError
	latencyCount
)

// LatencyCount is the number of latencies.
const LatencyCount = int(latencyCount)

// String returns the name of the latency's metric.
func (l Latency) String() string {
	return [...]string{"upstream.open", "request.wait", "upstream.answer", "request.cost-error"}[l]
}

// Sidecar decides what a sidecar does with the packets of callers and of its upstream, and answers
// balancers that look up flows. It is not safe for concurrent use.
type Sidecar struct {
	monitor *HeartbeatMonitor
	// tag identifies the service of the upstream.
	tag Tag
	// started is when this process started.
	started time.Time
	// knowsAllFlows is set if this process has seen all flows of the upstream: it has found that no
	// upstream was there. Heartbeats do not show that, since start times follow a clock that can be
	// set, and sequence numbers do not tell whether an earlier heartbeat was received.
	knowsAllFlows bool
	// noFlowsBefore is a time before which no flow of the upstream was opened, if knowsAllFlows is
	// set.
	noFlowsBefore time.Time
	// lastServed is when the upstream last sent data or opened a flow.
	lastServed time.Time
	// expireCalls is the number of calls of Expire since the upstream's last heartbeat or data, or since
	// a check last found that it listens.
	expireCalls int
	// absent is set once nothing has listened at the upstream's address for EndGrace, until its
	// next heartbeat or data.
	absent bool
	// listenedAt is when a check last found that the upstream listens.
	listenedAt time.Time
	// listenChecks is set once a check has found that the upstream listens, or that it does not.
	listenChecks bool
	// endedAt is when the upstream announced its end.
	endedAt time.Time
	// notListeningSince is when a check first found nothing listening at the upstream's address,
	// with no heartbeat or data since; otherwise zero.
	notListeningSince time.Time
	// notListeningAt is when a check last found that.
	notListeningAt time.Time
	check          flowCheck
	// flows holds the flows of the upstream and of the upstreams before it, until they expire.
	flows map[Key]*flowState
	// probes holds the newest probe for each flow that this process has no record of.
	probes map[Key]probe
	queue  Queue
	// commitments are the flows that were opened and whose first request has not arrived.
	commitments schedule.Commitments[Key]
	admission   admission
	warmup      warmupLimit
	// outcomes are those of the requests of the present upstream.
	outcomes outlier.Recorder
	// running tracks the requests that the upstream has, and pace how long it takes for requests.
	running running
	pace    *pace.Estimator
	// pendingOpenings is the number of flows with pending set.
	pendingOpenings int
	// busy is the number of flows with awaitingAnswer set. Unlike Load.Busy, it does not include
	// queued requests.
	busy int
	// leaving is set once this sidecar is stopping.
	leaving bool
	// domain is the ID of the sidecar's failure domain; 0 if it is unknown.
	domain      uint32
	evacuations evacuationTracker
	// evacuationEndedAt is when the newest evacuation of the domain ended; zero if none has.
	evacuationEndedAt time.Time
	// observe is called with each measured latency.
	observe func(Latency, time.Duration)
	// idleTimeout is how long a flow is kept without a packet.
	idleTimeout time.Duration
}

// NewSidecar returns a sidecar for the upstream of a service. The sidecar starts at now, on a
// monotonic clock. Flows without a packet for idleTimeout are removed.
func NewSidecar(monitor *HeartbeatMonitor, service string, idleTimeout time.Duration, now time.Time) *Sidecar {
	s := &Sidecar{
		monitor:     monitor,
		tag:         TagOf(service),
		started:     now,
		flows:       map[Key]*flowState{},
		probes:      map[Key]probe{},
		pace:        pace.New(defaultServiceTime),
		observe:     func(Latency, time.Duration) {},
		idleTimeout: idleTimeout,
		warmup:      warmupLimit{countedSince: now},
	}
	s.queue.onDrop = s.forgetDropped
	return s
}

// Observe makes the sidecar call observe with each latency that it measures.
func (s *Sidecar) Observe(observe func(Latency, time.Duration)) { s.observe = observe }

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

// Leave makes the sidecar accept no new flows and queue no new requests.
func (s *Sidecar) Leave() { s.leaving = true }

// State returns the state that is reported to balancers: StateLeaving if this sidecar is stopping,
// StateEvacuated if the upstream would accept new flows but its failure domain is evacuated, otherwise
// whether the upstream accepts new flows.
func (s *Sidecar) State(now time.Time) State {
	state := s.monitor.State(now)
	switch {
	case s.leaving:
		return StateLeaving
	case state == StateReady && s.absent:
		return StateWaiting
	case state == StateReady && s.Evacuated(now):
		return StateEvacuated
	}
	return state
}

// ForEachOrphan calls notify once for each established flow that is lost or whose upstream has
// crashed, unless a direction of the flow has ended. ack is the acknowledgement number expected from
// the flow's caller. The caller can then be reset before it sends its next request, which it could
// not repeat if the request were lost.
func (s *Sidecar) ForEachOrphan(now time.Time, notify func(k Key, ack uint32)) {
	crashed := s.upstreamCrashed(now)
	for k, f := range s.flows {
		if f.orphanReported || f.ended != 0 || !f.established || !f.lost && !crashed {
			continue
		}
		f.orphanReported = true
		notify(k, f.firstSequence+f.sentLength)
	}
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

// Load returns the sidecar's report, without Incarnation, Sequence, DomainID and Interval.
func (s *Sidecar) Load(now time.Time) Load {
	last := s.monitor.Last()
	l := Load{
		Tag:           s.tag,
		State:         s.State(now),
		UpstreamEnded: s.UpstreamEnded(now),
		Slots:         uint16(max(0, min(last.Slots, 1<<16-1))),
		Busy:          uint16(min(s.outstanding(), 1<<16-1)),
		Flows:         uint16(min(len(s.flows), 1<<16-1)),
		WarmupLeft:    s.warmupLeft(now),
		WarmupRoom:    s.warmup.room(now),
		Evidence:      s.outcomes.Evidence(now),
	}
	s.addWork(&l, now)
	return l
}

// OpeningPending reports whether an opening packet waits for the upstream's answer.
func (s *Sidecar) OpeningPending() bool { return s.pendingOpenings > 0 }

// removeFlow deletes a flow with its queued request.
func (s *Sidecar) removeFlow(k Key, f *flowState) {
	if f.pending {
		s.pendingOpenings--
	}
	s.finishRequest(f)
	s.dropQueued(k, f)
	s.commitments.Remove(k)
	delete(s.flows, k)
}

// ForwardUnanswered calls send with each opening packet that the upstream did not answer in time
// and the decision about it. The flows are kept, since the answer may still come.
func (s *Sidecar) ForwardUnanswered(now time.Time, send func(*TunnelPacket, SidecarVerdict)) {
	if s.pendingOpenings == 0 {
		return
	}
	for _, f := range s.flows {
		if !f.pending || now.Sub(f.offeredAt) < openingAnswerTimeout {
			continue
		}
		f.pending = false
		s.pendingOpenings--
		s.monitor.unanswered()
		s.outcomes.Failed(now)
		f.opening.Offered = true
		send(&f.opening, forwardToSibling(&f.opening, ReasonUnanswered))
	}
}

// Expire removes flows that have ended or are idle, and old probes. Requests whose answer is overdue
// no longer count as busy. Expire has to be called about once a second.
func (s *Sidecar) Expire(now time.Time) {
	s.expireCalls++
	s.queue.expire(now)
	s.expireEvacuations(now)
	for k, f := range s.flows {
		s.recordOverdue(f, now)
		if f.awaitingAnswer && now.Sub(f.requestStart) > max(f.policy.Timeout, defaultTimeout/2) {
			s.observeUnfinished(f, now)
			s.finishRequest(f)
		}
		age := now.Sub(f.lastUsed)
		if f.ended == bothEnded && age > closedFlowAge || age > s.idleTimeout {
			s.removeFlow(k, f)
		}
	}
	for k, pr := range s.probes {
		if now.Sub(pr.sentAt) > probeMaxAge || len(s.probes) > probeLimit {
			delete(s.probes, k)
		}
	}
}
