package flow

import (
	"slices"
	"time"

	"greengagedyke/schedule"
)

// RequestPolicy is a route's policy for the requests in its flows.
type RequestPolicy struct {
	// Priority orders requests when the upstream is overloaded; 0 is the highest.
	Priority uint8
	// LatencyTarget is the time within which callers want an answer; 0 if unknown.
	LatencyTarget time.Duration
	// Timeout is the time after which callers give up; 0 if unknown.
	Timeout time.Duration
}

const (
	// queueLimit bounds the requests in a queue.
	queueLimit = 2000
	// packetLimit bounds the packets of one queued request.
	packetLimit = 16
	// defaultTimeout is the timeout of requests whose policy has none.
	defaultTimeout = schedule.DefaultTimeout
)

// bufferedPacket is a copy of a packet that is to be sent later.
type bufferedPacket struct {
	sequence uint32
	raw      []byte
}

// Queue holds the packets of the requests that wait for an upstream. schedule.Queue orders them.
type Queue struct {
	requests schedule.Queue[Key, []bufferedPacket]
	// dropped is the number of requests that were dropped, since they could not be answered any more
	// before their callers give up.
	dropped uint64
	// onDrop is called with each of them, unless it is nil.
	onDrop func(queuedRequest)
}

// queuedRequest is a request that has left the queue.
type queuedRequest = schedule.Request[Key, []bufferedPacket]

// Len returns the number of queued requests.
func (q *Queue) Len() int { return q.requests.Len() }

// Work returns the sum of the times that the upstream is expected to need for the queued requests.
func (q *Queue) Work() time.Duration { return q.requests.Work() }

// add stores a packet of a request whose caller has waited for age already and for which the
// upstream is expected to need cost. It reports whether the packet was stored; it is not if the
// queue has queueLimit requests or the request packetLimit packets.
func (q *Queue) add(p *Packet, raw []byte, policy RequestPolicy, age, cost time.Duration, now time.Time) bool {
	packet := bufferedPacket{sequence: p.Sequence, raw: slices.Clone(raw)}
	packets := q.requests.Payload(p.Key)
	if packets == nil {
		return q.Len() < queueLimit && q.requests.Push(queuedRequest{
			Key: p.Key, Priority: policy.Priority, Arrived: now.Add(-age), LatencyTarget: policy.LatencyTarget,
			Timeout: policy.Timeout, Cost: cost, Payload: []bufferedPacket{packet},
		}, now)
	}
	for i := range *packets {
		if (*packets)[i].sequence == p.Sequence {
			(*packets)[i] = packet
			return true
		}
	}
	if len(*packets) >= packetLimit {
		return false
	}
	*packets = append(*packets, packet)
	return true
}

// remove deletes the request of a flow, if there is one.
func (q *Queue) remove(k Key) { q.requests.Remove(k) }

// pop removes the request to be served next by an upstream with a number of slots and returns it;
// false if there is none.
func (q *Queue) pop(now time.Time, slots int) (queuedRequest, bool) {
	return q.requests.Pop(now, slots, q.countDropped)
}

// expire drops the requests that can't be answered any more before their callers give up.
func (q *Queue) expire(now time.Time) { q.requests.Expire(now, q.countDropped) }

func (q *Queue) countDropped(req queuedRequest) {
	q.dropped++
	if q.onDrop != nil {
		q.onDrop(req)
	}
}

// forgetDropped makes the packets of a request that was dropped from the queue count as new, since the
// upstream got none of them.
func (s *Sidecar) forgetDropped(req queuedRequest) {
	f, ok := s.flows[req.Key]
	if !ok || !f.queued {
		return
	}
	f.queued = false
	for _, p := range req.Payload {
		if int32(p.sequence-f.nextSequence) < 0 {
			f.nextSequence = p.sequence
		}
	}
}

// DroppedRequests returns how many queued requests were dropped, since they could not be answered any
// more before their callers give up.
func (s *Sidecar) DroppedRequests() uint64 { return s.queue.dropped }
