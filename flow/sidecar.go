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
