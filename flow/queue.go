package flow

import (
	"slices"
	"time"
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
	defaultTimeout = 5 * time.Second
)

// queuedRequest is a request that waits for the upstream to have capacity.
type queuedRequest struct {
	key    Key
	policy RequestPolicy
	// arrived is when the caller began to wait.
	arrived time.Time
	packets []bufferedPacket
}

// bufferedPacket is a copy of a packet that is to be sent later.
type bufferedPacket struct {
	sequence uint32
	raw      []byte
}

// late reports whether an answer that takes serviceTime from now misses the latency target.
func (req *queuedRequest) late(now time.Time, serviceTime time.Duration) bool {
	return req.policy.LatencyTarget > 0 && now.Sub(req.arrived)+serviceTime > req.policy.LatencyTarget
}

// expired reports whether the caller has given up.
func (req *queuedRequest) expired(now time.Time) bool {
	timeout := req.policy.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return now.Sub(req.arrived) > timeout
}

// Queue orders the requests that wait for an upstream. It is made for overload, when callers of
// another failure domain arrive at once or all callers return after an outage. Requests that can
// still meet their latency target go first, by priority and then age. The others follow when none
// of these is left. Requests whose caller has given up are dropped.
type Queue struct {
	requests []*queuedRequest
}

// Len returns the number of queued requests.
func (q *Queue) Len() int { return len(q.requests) }

// find returns the queued request of a flow, or nil.
func (q *Queue) find(k Key) *queuedRequest {
	for _, req := range q.requests {
		if req.key == k {
			return req
		}
	}
	return nil
}

// add stores a packet of a request whose caller has waited for age already. It reports whether the
// packet was stored; it is not if the queue has queueLimit requests or the request packetLimit
// packets.
func (q *Queue) add(p *Packet, raw []byte, policy RequestPolicy, age time.Duration, now time.Time) bool {
	req := q.find(p.Key)
	if req == nil {
		if len(q.requests) >= queueLimit {
			return false
		}
		req = &queuedRequest{key: p.Key, policy: policy, arrived: now.Add(-age)}
		q.requests = append(q.requests, req)
	}
	for i := range req.packets {
		if req.packets[i].sequence == p.Sequence {
			req.packets[i].raw = slices.Clone(raw)
			return true
		}
	}
	if len(req.packets) >= packetLimit {
		return false
	}
	req.packets = append(req.packets, bufferedPacket{sequence: p.Sequence, raw: slices.Clone(raw)})
	return true
}

// remove deletes the request of a flow, if there is one.
func (q *Queue) remove(k Key) {
	q.requests = slices.DeleteFunc(q.requests, func(req *queuedRequest) bool { return req.key == k })
}

// pop removes the request to be served next and returns it; nil if there is none. serviceTime is
// how long the upstream takes for a request.
func (q *Queue) pop(now time.Time, serviceTime time.Duration) *queuedRequest {
	q.requests = slices.DeleteFunc(q.requests, func(req *queuedRequest) bool { return req.expired(now) })
	best := -1
	for i := range q.requests {
		if best < 0 || q.before(i, best, now, serviceTime) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	req := q.requests[best]
	q.requests = slices.Delete(q.requests, best, best+1)
	return req
}

// before reports whether the i-th request is served before the j-th.
func (q *Queue) before(i, j int, now time.Time, serviceTime time.Duration) bool {
	a, b := q.requests[i], q.requests[j]
	if late := a.late(now, serviceTime); late != b.late(now, serviceTime) {
		return !late
	}
	if a.policy.Priority != b.policy.Priority {
		return a.policy.Priority < b.policy.Priority
	}
	return a.arrived.Before(b.arrived)
}
