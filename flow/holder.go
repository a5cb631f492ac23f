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

// Arrival is a packet with the path on which it came.
type Arrival struct {
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

// Ruling is a sidecar's decision about a packet.
type Ruling struct {
	Action Action
	Reason Reason
	// To and Hop hold for packets that are sent on to a sibling.
	To  netip.AddrPort
	Hop int
	// Tell is the balancer to be told that the flow is held here, or, if Missed, that
	// it is not.
	Tell   netip.AddrPort
	Missed bool
	// Search is the search that missed.
	Search uint8
	// Arrival is the packet's path if it came back from the upstream.
	Arrival *Arrival
}

// held is a flow that the own upstream holds, or may be about to.
type held struct {
	// first is the upstream's first sequence number, once it answered.
	first    uint32
	answered bool
	// learnt is set if this process did not see the opening of the flow.
	learnt bool
	// sent is the distance from first to the end of what the upstream sent.
	sent uint32
	// opening is the newest opening packet until it is answered.
	opening Arrival
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
	terms  Terms
	// next is the sequence number after the caller's last byte, once it sent any.
	next uint32
	data bool
	used time.Time
	// ended holds a bit for each direction that has ended.
	ended uint8
	// incarnation counts the upstreams before the one that holds the flow.
	incarnation int
}

// stranger is a flow that the upstream was asked about.
type stranger struct {
	at      time.Time
	arrival Arrival
	// denied is set once the upstream said that it does not hold the flow.
	denied bool
}

// Measure is a time that a sidecar measures.
type Measure uint8

// The times that are measured.
const (
	// MeasureOpen is the time from an opening packet to the upstream's answer.
	MeasureOpen Measure = iota
	// MeasureWait is the time that a request waits in the sidecar.
	MeasureWait
	// MeasureAnswer is the time from a request to the first byte of its answer.
	MeasureAnswer
	measureCount
)

// MeasureCount is the number of measures.
const MeasureCount = int(measureCount)

// String returns the measure's name.
func (m Measure) String() string {
	return [...]string{"upstream.open", "request.wait", "upstream.answer"}[m]
}

// Holder decides for a sidecar. It is not safe for concurrent use.
type Holder struct {
	gate *Gate
	tag  Tag
	// started is when this process started. It knows all flows of an upstream that
	// started later, which complete says.
	started     time.Time
	complete    bool
	born        time.Time
	incarnation int
	flows       map[Key]*held
	// strangers are flows that the upstream was asked about.
	strangers map[Key]stranger
	queue     Queue
	// service is the learnt time from a request to the first byte of its answer.
	service time.Duration
	pending int
	busy    int
	leaving bool
	// observe takes in what is measured.
	observe func(Measure, time.Duration)
	idle    time.Duration
}

// NewHolder returns the decisions of a sidecar that started now on a steady clock, and
// at born by the time of day of its VM.
func NewHolder(gate *Gate, service string, idle time.Duration, now, born time.Time) *Holder {
	return &Holder{
		born:      born,
		gate:      gate,
		tag:       TagOf(service),
		started:   now,
		flows:     map[Key]*held{},
		strangers: map[Key]stranger{},
		service:   defaultService,
		observe:   func(Measure, time.Duration) {},
		idle:      idle,
	}
}

// Observe calls observe with each time that is measured.
func (h *Holder) Observe(observe func(Measure, time.Duration)) { h.observe = observe }

// Heartbeat takes in a heartbeat of the upstream.
func (h *Holder) Heartbeat(b Heartbeat, now time.Time) HeartbeatOutcome {
	first := h.gate.Last().ID == ""
	if first && !b.Born.Before(h.born) {
		h.complete = true
	}
	outcome := h.gate.Heartbeat(b, now)
	if outcome != HeartbeatStarted {
		return outcome
	}
	h.tag = TagOf(b.Service)
	if !first {
		h.incarnation++
		h.complete = true
		h.reset()
	}
	return outcome
}

// reset forgets what an upstream that was replaced was working on.
func (h *Holder) reset() {
	clear(h.strangers)
	h.queue = Queue{}
	h.busy = 0
	h.pending = 0
	for _, f := range h.flows {
		f.waits, f.queued, f.pending = false, false, false
	}
}

// End notes that the upstream with this ID ends.
func (h *Holder) End(id string) bool { return h.gate.End(id) }

// Leave makes the sidecar take no new flows.
func (h *Holder) Leave() { h.leaving = true }

// State is what the sidecar says of its upstream.
func (h *Holder) State(now time.Time) State {
	if h.leaving {
		return StateLeaving
	}
	return h.gate.State(now)
}

// Load describes the sidecar, but for what only its process knows.
func (h *Holder) Load(now time.Time) Load {
	last := h.gate.Last()
	return Load{
		Tag:   h.tag,
		State: h.State(now),
		Slots: uint16(max(0, min(last.Slots, 1<<16-1))),
		Busy:  uint16(min(h.work(), 1<<16-1)),
		Flows: uint16(min(len(h.flows), 1<<16-1)),
		Cold:  max(0, last.Cold-h.gate.Age(now)),
	}
}

// Pending reports whether an opening packet waits for the upstream's answer.
func (h *Holder) Pending() bool { return h.pending > 0 }

// FromTunnel decides about a caller's packet.
func (h *Holder) FromTunnel(a *Arrival, now time.Time) Ruling {
	if a.Packet.Opening() {
		return h.open(a, now)
	}
	f, ok := h.flows[a.Packet.Key]
	switch {
	case !ok:
		return h.unknown(a, now)
	case f.answered && a.Packet.Flags.Has(FlagAck) && !f.covers(a.Packet.Ack):
		a.Path.Unsure = f.incarnation == h.incarnation
		return pass(a, ReasonNotOurs)
	case f.incarnation != h.incarnation:
		return h.orphan(a, f)
	}
	f.terms = a.Path.Terms
	r := Ruling{Action: ActionUpstream, Reason: ReasonKnown}
	if a.Hop > 0 {
		r.Tell = a.Origin
	}
	if h.holds(f, a, now) {
		r.Action = ActionHold
		r.Reason = ReasonQueued
		return r
	}
	h.note(f, &a.Packet, now)
	return r
}

// work is the number of requests that the upstream has or that wait for it.
func (h *Holder) work() int { return h.busy + h.queue.Len() }

// holds puts a packet with data into the queue if it begins or continues a request
// that has to wait.
func (h *Holder) holds(f *held, a *Arrival, now time.Time) bool {
	f.used = now
	if a.Packet.Length == 0 || f.waits || f.ended != 0 || f.repeats(&a.Packet) && !f.queued {
		return false
	}
	if !f.queued && (h.busy < h.limit() || h.gate.Last().Slots == 0) && h.queue.Len() == 0 {
		return false
	}
	if !h.queue.hold(&a.Packet, a.Raw, f.terms, openingAge(f.copies), now) {
		return f.queued
	}
	f.queued = true
	f.copies = 0
	f.advance(&a.Packet)
	return true
}

// repeats reports whether a packet carries only bytes that came before.
func (f *held) repeats(p *Packet) bool {
	return f.data && int32(p.Sequence+uint32(p.Length)-f.next) <= 0
}

// advance notes the bytes of a packet.
func (f *held) advance(p *Packet) {
	if p.Length > 0 && !f.repeats(p) {
		f.next = p.Sequence + uint32(p.Length)
		f.data = true
	}
}

// limit is the number of requests that the upstream has at once.
func (h *Holder) limit() int { return h.gate.Last().Slots + spareRequests }

// openingAge is how long a caller has waited who sent copies of its opening packet.
func openingAge(copies uint32) time.Duration {
	switch copies {
	case 0:
		return 0
	case 1:
		return 200 * time.Millisecond
	}
	return 600 * time.Millisecond
}

// Release hands over the packets of requests that need not wait any longer.
func (h *Holder) Release(now time.Time, deliver func(raw []byte)) {
	for h.busy < h.limit() {
		w := h.queue.next(now, h.service)
		if w == nil {
			return
		}
		f, ok := h.flows[w.key]
		if !ok || !f.queued {
			continue
		}
		f.queued = false
		h.observe(MeasureWait, now.Sub(w.arrived))
		h.begin(f, now)
		for _, p := range w.packets {
			deliver(p.raw)
		}
	}
}

// begin notes that the upstream gets a request.
func (h *Holder) begin(f *held, now time.Time) {
	f.waits = true
	f.begun = now
	f.copies = 0
	h.busy++
}

// covers reports whether an acknowledgement fits what the upstream sent: two upstreams
// may have answered the same opening packet, with different numbers. Of a flow that was
// learnt later, earlier bytes may be acknowledged as well.
func (f *held) covers(ack uint32) bool {
	before := uint32(0)
	if f.learnt {
		before = ackSlack
	}
	return ack-f.first-1+before <= f.sent+before+ackSlack
}

// note follows a flow by a caller's packet.
func (h *Holder) note(f *held, p *Packet, now time.Time) {
	f.used = now
	if p.Length > 0 && !f.waits && f.ended == 0 && !f.repeats(p) {
		h.begin(f, now)
	}
	f.advance(p)
	if p.Flags.Has(FlagEnd) {
		f.ended |= 1
	}
	if p.Flags.Has(FlagReset) {
		f.ended |= 3
		h.settle(f)
		h.unqueue(p.Key, f)
	}
}

// unqueue forgets a request that nobody waits for any longer.
func (h *Holder) unqueue(k Key, f *held) {
	if f.queued {
		f.queued = false
		h.queue.drop(k)
	}
}

// settle notes that no request of the flow waits any longer.
func (h *Holder) settle(f *held) {
	if f.waits {
		f.waits = false
		h.busy--
	}
}

// pass sends a packet on to the next sidecar of its path.
func pass(a *Arrival, reason Reason) Ruling {
	if a.Hop < a.Path.N {
		return Ruling{Action: ActionForward, Reason: reason, To: a.Path.Next[a.Hop], Hop: a.Hop + 1}
	}
	if a.Packet.Opening() {
		return Ruling{Action: a.refusal(), Reason: reason}
	}
	if a.Path.Unsure && a.Path.Search != 0 {
		return Ruling{Action: ActionDrop, Reason: reason}
	}
	return Ruling{Action: ActionDrop, Reason: reason, Tell: a.Origin, Missed: true, Search: a.Path.Search}
}

// refusal ends the attempt of a caller at once if no copy of the opening packet was
// placed before.
func (a *Arrival) refusal() Action {
	if a.Packet.Copies() == 0 && !a.Offered {
		return ActionReset
	}
	return ActionDrop
}

func (h *Holder) open(a *Arrival, now time.Time) Ruling {
	if a.Path.Tag != h.tag {
		return pass(a, ReasonOtherService)
	}
	if h.State(now) != StateReady {
		return pass(a, ReasonClosed)
	}
	f, ok := h.flows[a.Packet.Key]
	if ok && f.incarnation == h.incarnation {
		f.used = now
		return Ruling{Action: ActionUpstream, Reason: ReasonCopy}
	}
	if a.Hop < a.Path.N && a.Hop < 2 && h.crowded() {
		return pass(a, ReasonBusy)
	}
	if ok {
		h.forget(a.Packet.Key, f)
	}
	h.flows[a.Packet.Key] = &held{
		opening: *a, offered: now, pending: true, used: now, incarnation: h.incarnation,
		copies: a.Packet.Copies(), terms: a.Path.Terms,
	}
	h.pending++
	return Ruling{Action: ActionUpstream, Reason: ReasonPlaced}
}

// crowded reports whether so much work waits that a sibling may be faster.
func (h *Holder) crowded() bool {
	slots := max(1, h.gate.Last().Slots)
	return h.work() >= slots*(1+queueAhead)
}

// unknown decides about a packet of a flow that this process does not know. After a
// start of its own, the upstream may hold it all the same.
func (h *Holder) unknown(a *Arrival, now time.Time) Ruling {
	if h.complete || now.Sub(h.started) > probeAge {
		return pass(a, ReasonUnknownFlow)
	}
	s, ok := h.strangers[a.Packet.Key]
	if ok && s.denied && now.Sub(s.at) < strangerAge {
		return pass(a, ReasonUnknownFlow)
	}
	if ok && !s.denied && now.Sub(s.at) < probeInterval {
		a.Path.Unsure = true
		return pass(a, ReasonUnknownFlow)
	}
	h.strangers[a.Packet.Key] = stranger{at: now, arrival: *a}
	return Ruling{Action: ActionUpstream, Reason: ReasonProbe}
}

// orphan ends a flow whose upstream was replaced, if that one had answered it.
func (h *Holder) orphan(a *Arrival, f *held) Ruling {
	if !f.answered || !a.Packet.Flags.Has(FlagAck) {
		return pass(a, ReasonUnknownFlow)
	}
	if a.Packet.Flags.Has(FlagReset) {
		return Ruling{Action: ActionDrop, Reason: ReasonUpstreamLost}
	}
	return Ruling{Action: ActionReset, Reason: ReasonUpstreamLost}
}

// FromUpstream decides about a packet of the own upstream.
func (h *Holder) FromUpstream(p *Packet, now time.Time) Ruling {
	if p.Flags.Has(FlagBounced) {
		return h.bounced(p)
	}
	f, ok := h.flows[p.Key]
	if !ok || f.incarnation != h.incarnation {
		if p.Flags.Has(FlagReset) {
			// An upstream that starts resets packets that it is asked about.
			return Ruling{Action: ActionDrop, Reason: ReasonNotOurs}
		}
		f = &held{first: p.Sequence - 1, answered: true, learnt: true, incarnation: h.incarnation}
		h.flows[p.Key] = f
		delete(h.strangers, p.Key)
	}
	f.used = now
	r := Ruling{Action: ActionCaller, Reason: ReasonKnown}
	if p.Flags.Has(FlagOpen) && !f.answered {
		f.first = p.Sequence
		f.answered = true
		r.Tell = f.opening.Origin
	}
	if f.pending {
		f.pending = false
		h.pending--
		h.gate.answered()
		h.observe(MeasureOpen, now.Sub(f.offered))
	}
	if end := p.Sequence + uint32(p.Length) - f.first; end > f.sent && end < 1<<31 {
		f.sent = end
	}
	if p.Length > 0 || p.Flags.Has(FlagEnd) {
		h.learn(f, now)
		h.settle(f)
	}
	if p.Flags.Has(FlagEnd) {
		f.ended |= 2
	}
	if p.Flags.Has(FlagReset) {
		f.ended = 3
		h.settle(f)
	}
	return r
}

// learn takes in how long the upstream took for a request.
func (h *Holder) learn(f *held, now time.Time) {
	if f.waits && !f.begun.IsZero() {
		h.observe(MeasureAnswer, now.Sub(f.begun))
		h.service += time.Duration(serviceGain * float64(now.Sub(f.begun)-h.service))
	}
}

// bounced decides about a packet that the upstream returned.
func (h *Holder) bounced(p *Packet) Ruling {
	f, ok := h.flows[p.Key]
	switch {
	case !ok:
		return h.strayed(p)
	case p.Opening() && f.pending:
		a := f.opening
		h.forget(p.Key, f)
		r := pass(&a, ReasonBounced)
		r.Arrival = &a
		return r
	case p.Opening() || f.ended != 0 || !f.answered || !f.covers(p.Ack):
		return Ruling{Action: ActionDrop, Reason: ReasonBounced}
	}
	// The upstream answered this flow and no longer holds it: it is a new process.
	h.forget(p.Key, f)
	if p.Flags.Has(FlagReset) {
		return Ruling{Action: ActionDrop, Reason: ReasonUpstreamLost}
	}
	return Ruling{Action: ActionReset, Reason: ReasonUpstreamLost}
}

// strayed sends the packet of a flow that the upstream was asked about on.
func (h *Holder) strayed(p *Packet) Ruling {
	s, ok := h.strangers[p.Key]
	if !ok || p.Opening() {
		return Ruling{Action: ActionDrop, Reason: ReasonBounced}
	}
	s.denied = true
	h.strangers[p.Key] = s
	r := pass(&s.arrival, ReasonUnknownFlow)
	r.Arrival = &s.arrival
	return r
}

func (h *Holder) forget(k Key, f *held) {
	if f.pending {
		h.pending--
	}
	h.settle(f)
	h.unqueue(k, f)
	delete(h.flows, k)
}

// Overdue sends on the opening packets that the upstream left without an answer. The
// flows are kept: the answer may still come.
func (h *Holder) Overdue(now time.Time, send func(*Arrival, Ruling)) {
	if h.pending == 0 {
		return
	}
	for _, f := range h.flows {
		if !f.pending || now.Sub(f.offered) < answerPatience {
			continue
		}
		f.pending = false
		h.pending--
		h.gate.unanswered()
		f.opening.Offered = true
		send(&f.opening, pass(&f.opening, ReasonUnanswered))
	}
}

// Expire forgets flows that have ended or are idle.
func (h *Holder) Expire(now time.Time) {
	for k, f := range h.flows {
		if f.waits && now.Sub(f.begun) > max(f.terms.Timeout, defaultTimeout/2) {
			h.settle(f)
		}
		age := now.Sub(f.used)
		if f.ended == 3 && age > closedAge || age > h.idle {
			h.forget(k, f)
		}
	}
	for k, s := range h.strangers {
		if now.Sub(s.at) > strangerAge || len(h.strangers) > strangerLimit {
			delete(h.strangers, k)
		}
	}
}
