package flow

import (
	"net/netip"
	"time"
)

const (
	// answerPatience is how long an upstream may take to answer an opening packet
	// before a sibling gets it.
	answerPatience = 60 * time.Millisecond
	// strangerAge is how long a sidecar remembers that its upstream does not hold a flow.
	strangerAge = 65 * time.Second
	// closedAge is how long a flow that has ended is kept.
	closedAge = 3 * time.Second
	// probeInterval is the time between questions about a flow that the upstream does
	// not answer.
	probeInterval = time.Second
	// probeAge is how long after its start a sidecar asks its upstream about flows
	// that it does not know.
	probeAge = 65 * time.Second
	// deadAfter is the silence, without a heartbeat or a packet, after which an upstream
	// has crashed.
	deadAfter = 4 * time.Second
	// missingAfter is the time without a heartbeat after which the upstream is looked for.
	missingAfter = time.Second
	// endAfter is how long an upstream may serve its flows after it stopped to listen or
	// said that it ends.
	endAfter = 500 * time.Millisecond
	// deadLooks is the number of calls of Expire during that time: a sidecar that was
	// paused itself has not looked, and its upstream was not silent.
	deadLooks = 3
	// startTogether is the age from which an upstream takes new flows, so that one which
	// started at most so long before this process holds none from before. firstHeartbeats is
	// the number of heartbeats that such an upstream can have sent: the time of day alone
	// does not tell, since it may have been set meanwhile.
	startTogether   = 50 * time.Millisecond
	firstHeartbeats = 3
	// queueAhead is the number of requests that may wait for each slot before opening
	// packets go to siblings.
	queueAhead = 1
	// spareRequests are handed to an upstream beyond its slots, so that none of these
	// idles while an answer and the next request pass each other.
	spareRequests = 1
	// serviceGain is the weight of a new observation of the time for a request.
	serviceGain = 0.05
	// defaultService is the time for a request that is assumed at first.
	defaultService = 20 * time.Millisecond
	// strangerLimit bounds the flows remembered as not held.
	strangerLimit = 10_000
	// ackSlack is added to the bytes sent when acknowledgements are compared.
	ackSlack = 76_800
)

// TunnelPacket is a packet with the path on which it came.
type TunnelPacket struct {
	Packet Packet
	Path   Path
	// Hop is the number of sidecars before this one.
	Hop int
	// Origin is the balancer that sent the packet first.
	Origin netip.AddrPort
	// Offered says that an upstream may still answer the opening packet: nobody may
	// reset the flow.
	Offered bool
	// Raw are the bytes of the packet.
	Raw []byte
}

// SidecarVerdict is a sidecar's decision about a packet.
type SidecarVerdict struct {
	Action Action
	Reason Reason
	// To and Hop hold for packets that are sent on to a sibling.
	To  netip.AddrPort
	Hop int
	// Notify is the balancer to be told that the flow is held here, or, if NotDelivered, that
	// it is not.
	Notify       netip.AddrPort
	NotDelivered bool
	// NotHeld says that the upstream does not hold a flow that was missed.
	NotHeld bool
	// Returned is the opening packet that the upstream returned, if that one is passed on.
	Returned *TunnelPacket
}

// The directions of a flow that have ended.
const (
	callerEnded = 1 << iota
	upstreamEnded
	bothEnded = callerEnded | upstreamEnded
)

// held is a flow that the own upstream holds, or may be about to.
type held struct {
	// first is the upstream's first sequence number, once it answered.
	first    uint32
	answered bool
	// learnt is set if this process did not see the opening of the flow, chosen once the
	// flow is known to be open here: another upstream may have answered its opening too.
	learnt, chosen bool
	// sent is the distance from first to the end of what the upstream sent.
	sent uint32
	// opening is the newest opening packet until it is answered.
	opening TunnelPacket
	offered time.Time
	pending bool
	// waits is set while a request that the upstream has waits for the first byte of
	// its answer, since begun.
	waits bool
	begun time.Time
	// queued is set while a request waits in the queue.
	queued bool
	// copies is the number of opening packets that came before the one that opened
	// the flow; it counts until the first request.
	copies uint32
	terms  RequestPolicy
	// next is the sequence number after the caller's last byte that came or that the
	// upstream acknowledged, once data is set.
	next uint32
	data bool
	used time.Time
	// ended holds a bit for each direction that has ended, told is set once the caller
	// was told that the upstream is lost.
	ended uint8
	told  bool
	// incarnation counts the upstreams before the one that holds the flow.
	incarnation int
}

// stranger is a flow that the upstream was asked about.
type stranger struct {
	at time.Time
	// origin is the balancer that wants to know, until the upstream has answered.
	origin netip.AddrPort
	// denied is set once the upstream said that it does not hold the flow.
	denied bool
}

// Latency is a time that a sidecar measures.
type Latency uint8

// The times that are measured.
const (
	// LatencyOpen is the time from an opening packet to the upstream's answer.
	LatencyOpen Latency = iota
	// LatencyWait is the time that a request waits in the sidecar.
	LatencyWait
	// LatencyAnswer is the time from a request to the first byte of its answer.
	LatencyAnswer
	latencyCount
)

// LatencyCount is the number of measures.
const LatencyCount = int(latencyCount)

// String returns the measure's name.
func (m Latency) String() string {
	return [...]string{"upstream.open", "request.wait", "upstream.answer"}[m]
}

// Sidecar decides for a sidecar. It is not safe for concurrent use.
type Sidecar struct {
	monitor *HeartbeatMonitor
	tag     Tag
	// started is when this process started. It knows all flows of an upstream that
	// started later, which complete says.
	started  time.Time
	complete bool
	born     time.Time
	// since is a time before which the upstream of a complete process held no flow.
	since       time.Time
	incarnation int
	// spoke is when the upstream sent its newest packet.
	spoke time.Time
	// looks counts the calls of Expire since the upstream was heard.
	looks int
	// absent is set while nothing listens at the upstream's address.
	absent bool
	// ended is when the upstream said that it ends.
	ended time.Time
	// deaf is since when nothing has listened there, without a sign of life.
	deaf time.Time
	// opens is when the upstream takes new flows at the earliest.
	opens time.Time
	flows map[Key]*held
	// strangers are flows that the upstream was asked about.
	strangers map[Key]stranger
	queue     Queue
	// service is the learnt time from a request to the first byte of its answer.
	service time.Duration
	pending int
	busy    int
	leaving bool
	// observe takes in what is measured.
	observe func(Latency, time.Duration)
	idle    time.Duration
}

// NewSidecar returns the decisions of a sidecar that started now on a steady clock, and
// at born by the time of day of its VM.
func NewSidecar(monitor *HeartbeatMonitor, service string, idle time.Duration, now, born time.Time) *Sidecar {
	return &Sidecar{
		born:      born,
		monitor:   monitor,
		tag:       TagOf(service),
		started:   now,
		flows:     map[Key]*held{},
		strangers: map[Key]stranger{},
		service:   defaultService,
		observe:   func(Latency, time.Duration) {},
		idle:      idle,
	}
}

// Observe calls observe with each time that is measured.
func (h *Sidecar) Observe(observe func(Latency, time.Duration)) { h.observe = observe }

// Heartbeat takes in a heartbeat of the upstream.
func (h *Sidecar) Heartbeat(b Heartbeat, now time.Time) HeartbeatOutcome {
	first := h.monitor.Last().ID == ""
	if first && b.Sequence <= firstHeartbeats && b.StartedAt.After(h.born.Add(-startTogether)) {
		h.complete = true
		h.since = h.started.Add(-startTogether)
	}
	former := h.monitor.heard
	h.looks = 0
	h.absent = false
	h.deaf = time.Time{}
	outcome := h.monitor.Heartbeat(b, now)
	if outcome != HeartbeatStarted {
		return outcome
	}
	h.tag = TagOf(b.Service)
	start := h.started.Add(b.StartedAt.Sub(h.born))
	h.opens = start.Add(startTogether)
	if latest := now.Add(startTogether); h.opens.After(latest) {
		h.opens = latest // the time of day was set
	}
	if !first {
		h.incarnation++
		h.complete = true
		h.since = former
		h.reset()
		h.adopt(start)
	}
	return outcome
}

// adopt gives the flows that were placed after the start of the new upstream to it: it
// serves before its first heartbeat arrives.
func (h *Sidecar) adopt(start time.Time) {
	for _, f := range h.flows {
		if f.incarnation == h.incarnation-1 && !f.offered.Before(start) {
			f.incarnation = h.incarnation
		}
	}
}

// reset forgets what an upstream that was replaced was working on.
func (h *Sidecar) reset() {
	clear(h.strangers)
	h.queue = Queue{}
	h.busy = 0
	h.pending = 0
	for _, f := range h.flows {
		f.waits, f.queued, f.pending = false, false, false
	}
}

// End notes that the upstream with this ID ends, and reports whether it is the own one.
func (h *Sidecar) End(id string, now time.Time) bool {
	if !h.monitor.End(id) {
		return false
	}
	h.ended = now
	return true
}

// UpstreamEnded reports whether the upstream holds no flows any longer: it has said some time ago
// that it ends, or has crashed.
func (h *Sidecar) UpstreamEnded(now time.Time) bool {
	return h.monitor.gone && now.Sub(h.ended) > endAfter || h.upstreamDead(now)
}

// Leave makes the sidecar take no new flows.
func (h *Sidecar) Leave() { h.leaving = true }

// State is what the sidecar says of its upstream.
func (h *Sidecar) State(now time.Time) State {
	state := h.monitor.State(now)
	switch {
	case h.leaving:
		return StateLeaving
	case state == StateReady && (h.absent || now.Before(h.opens)):
		return StateWaiting
	}
	return state
}

// ForEachOrphan calls tell for each flow whose upstream was replaced or has crashed, once, with
// what its caller is expected to have acknowledged. It answers idle flows: their callers
// open new ones before their next request, which could not be repeated if it were lost.
func (h *Sidecar) ForEachOrphan(now time.Time, tell func(k Key, ack uint32)) {
	dead := h.upstreamDead(now)
	for k, f := range h.flows {
		if f.told || f.ended != 0 || !f.chosen || f.incarnation == h.incarnation && !dead {
			continue
		}
		f.told = true
		tell(k, f.first+f.sent)
	}
}

// ReadyIn is how long it takes until an upstream that has just started takes new flows.
func (h *Sidecar) ReadyIn(now time.Time) time.Duration { return max(0, h.opens.Sub(now)) }

// NeedsListenCheck reports whether the upstream should be looked for: it has not been heard yet, or
// not for some time, has said that it ends, or leaves opening packets unanswered.
func (h *Sidecar) NeedsListenCheck(now time.Time) bool {
	return !h.absent && (h.monitor.gone || now.Sub(h.monitor.heard) > missingAfter || h.monitor.silent > 0)
}

// RecordListening notes whether something listened at the upstream's address when it was looked
// for. If nothing did for some time, without a sign of life, the upstream holds no flows,
// and one that starts there is seen from its start. It reports whether that is new.
func (h *Sidecar) RecordListening(listens bool, at time.Time) bool {
	switch {
	case listens || h.monitor.heard.After(at) || h.spoke.After(at):
		h.deaf = time.Time{}
		return false
	case h.deaf.IsZero():
		h.deaf = at
	}
	if h.absent || at.Sub(h.deaf) < endAfter {
		return false
	}
	h.absent = true
	if !h.complete {
		h.complete = true
		h.since = at
	}
	return true
}

// Load describes the sidecar, but for what only its process knows.
func (h *Sidecar) Load(now time.Time) Load {
	last := h.monitor.Last()
	return Load{
		Tag:           h.tag,
		State:         h.State(now),
		UpstreamEnded: h.UpstreamEnded(now),
		Slots:         uint16(max(0, min(last.Slots, 1<<16-1))),
		Busy:          uint16(min(h.work(), 1<<16-1)),
		Flows:         uint16(min(len(h.flows), 1<<16-1)),
		WarmupLeft:    max(0, last.WarmupLeft-h.monitor.Age(now)),
	}
}

// OpeningPending reports whether an opening packet waits for the upstream's answer.
func (h *Sidecar) OpeningPending() bool { return h.pending > 0 }

func (h *Sidecar) forget(k Key, f *held) {
	if f.pending {
		h.pending--
	}
	h.settle(f)
	h.unqueue(k, f)
	delete(h.flows, k)
}

// ForwardUnanswered sends on the opening packets that the upstream left without an answer. The
// flows are kept: the answer may still come.
func (h *Sidecar) ForwardUnanswered(now time.Time, send func(*TunnelPacket, SidecarVerdict)) {
	if h.pending == 0 {
		return
	}
	for _, f := range h.flows {
		if !f.pending || now.Sub(f.offered) < answerPatience {
			continue
		}
		f.pending = false
		h.pending--
		h.monitor.unanswered()
		f.opening.Offered = true
		send(&f.opening, pass(&f.opening, ReasonUnanswered))
	}
}

// Expire forgets flows that have ended or are idle. It is called about once a second.
func (h *Sidecar) Expire(now time.Time) {
	h.looks++
	for k, f := range h.flows {
		if f.waits && now.Sub(f.begun) > max(f.terms.Timeout, defaultTimeout/2) {
			h.settle(f)
		}
		age := now.Sub(f.used)
		if f.ended == bothEnded && age > closedAge || age > h.idle {
			h.forget(k, f)
		}
	}
	for k, s := range h.strangers {
		if now.Sub(s.at) > strangerAge || len(h.strangers) > strangerLimit {
			delete(h.strangers, k)
		}
	}
}
