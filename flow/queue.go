package flow

import (
	"slices"
	"time"
)

// RequestPolicy are what a route says of the requests in its flows.
type RequestPolicy struct {
	// Priority orders requests when there is too much work; 0 is highest.
	Priority uint8
	// LatencyTarget is the time in which callers want to be answered, Timeout the time
	// after which they have given up. 0 if not known.
	LatencyTarget time.Duration
	Timeout       time.Duration
}

const (
	// queueLimit bounds the requests that wait in a sidecar.
	queueLimit = 2000
	// packetLimit bounds the packets of one waiting request.
	packetLimit = 16
	// defaultTimeout ends the wait of requests without a timeout in their policy.
	defaultTimeout = 5 * time.Second
)

// waiting is a request that waits for its upstream.
type waiting struct {
	key     Key
	terms   RequestPolicy
	arrived time.Time
	packets []heldPacket
}

type heldPacket struct {
	sequence uint32
	raw      []byte
}

// late reports whether an answer that takes service from now on misses the objective.
func (w *waiting) late(now time.Time, service time.Duration) bool {
	return w.terms.LatencyTarget > 0 && now.Sub(w.arrived)+service > w.terms.LatencyTarget
}

// expired reports whether the caller has given up.
func (w *waiting) expired(now time.Time) bool {
	timeout := w.terms.Timeout
	if timeout == 0 {
		timeout = defaultTimeout
	}
	return now.Sub(w.arrived) > timeout
}

// Queue orders the requests that wait for an upstream. It answers a crest: callers of
// another failure domain arrive at once, or all callers come back after an outage.
// Requests that can still meet their objective go first, by priority and age; those
// that cannot are served when none of them is left, and those that nobody waits for
// any longer are dropped.
type Queue struct {
	list []*waiting
}

// Len is the number of waiting requests.
func (q *Queue) Len() int { return len(q.list) }

// find returns the waiting request of a flow, or nil.
func (q *Queue) find(k Key) *waiting {
	for _, w := range q.list {
		if w.key == k {
			return w
		}
	}
	return nil
}

// hold keeps a packet of a request, which has waited for age already. It reports
// whether the packet is kept; it is not if the queue is full.
func (q *Queue) hold(p *Packet, raw []byte, terms RequestPolicy, age time.Duration, now time.Time) bool {
	w := q.find(p.Key)
	if w == nil {
		if len(q.list) >= queueLimit {
			return false
		}
		w = &waiting{key: p.Key, terms: terms, arrived: now.Add(-age)}
		q.list = append(q.list, w)
	}
	for i := range w.packets {
		if w.packets[i].sequence == p.Sequence {
			w.packets[i].raw = slices.Clone(raw)
			return true
		}
	}
	if len(w.packets) >= packetLimit {
		return false
	}
	w.packets = append(w.packets, heldPacket{sequence: p.Sequence, raw: slices.Clone(raw)})
	return true
}

// drop forgets the request of a flow.
func (q *Queue) drop(k Key) {
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.key == k })
}

// next removes the request to be served next and returns it; nil if none waits.
// service is how long the upstream takes for a request.
func (q *Queue) next(now time.Time, service time.Duration) *waiting {
	q.list = slices.DeleteFunc(q.list, func(w *waiting) bool { return w.expired(now) })
	best := -1
	for i := range q.list {
		if best < 0 || q.before(i, best, now, service) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	w := q.list[best]
	q.list = slices.Delete(q.list, best, best+1)
	return w
}

// before reports whether the i-th request is served before the j-th.
func (q *Queue) before(i, j int, now time.Time, service time.Duration) bool {
	a, b := q.list[i], q.list[j]
	if late := a.late(now, service); late != b.late(now, service) {
		return !late
	}
	if a.terms.Priority != b.terms.Priority {
		return a.terms.Priority < b.terms.Priority
	}
	return a.arrived.Before(b.arrived)
}
