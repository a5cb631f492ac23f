// Package schedule decides in which order an upstream serves the requests that wait for it, and
// which new requests it can't serve before their callers give up. It has no clock and no I/O.
package schedule

import "time"

const (
	// Levels is the number of priorities that are told apart. Lower ones count as the last of these.
	Levels = 4
	// DefaultTimeout is the timeout of requests that have none.
	DefaultTimeout = 5 * time.Second
	// epochAge is the age at which an empty queue's epoch is replaced.
	epochAge = time.Hour
)

// Request is a request that waits for an upstream.
type Request[K comparable, P any] struct {
	// Key identifies the request.
	Key K
	// Priority orders requests when the upstream is overloaded; 0 is the highest.
	Priority uint8
	// Arrived is when the caller began to wait.
	Arrived time.Time
	// LatencyTarget is the time within which the caller wants an answer; 0 if unknown.
	LatencyTarget time.Duration
	// Timeout is the time after which the caller gives up; DefaultTimeout if 0.
	Timeout time.Duration
	// Cost is how long the upstream is expected to take.
	Cost time.Duration
	// Payload is what the user of the queue keeps with the request.
	Payload P
}

// The places of a queued request.
const (
	placeOnTime uint8 = iota
	placeLate
	placeGivenUp
)

// item is a queued request.
type item[K comparable, P any] struct {
	req   Request[K, P]
	level uint8
	place uint8
	cost  time.Duration
	// lateAt is the latest start with which the request meets its latency target, and start the one
	// with which it meets its deadline, since the queue's epoch.
	lateAt, start time.Duration
}

// Queue orders the requests that wait for an upstream. It is meant for overload: a burst that lasts a
// few seconds, or the backlog after an outage, when all callers return at once.
//
// Requests that can still meet their latency target go first, by priority and then the time left.
// But a late request goes before those of the same and lower priorities when, of the late ones, one
// would miss its deadline otherwise, and before those of higher priorities if they still are in time
// after it. So no request fails that the slots suffice for, and as many as possible are in time. If the
// slots don't suffice, the late requests of the lowest priority are given up, which are then served
// only if nothing else waits. When requests have been lost for as long as a whole timeout, the overload
// isn't a burst; then late requests no longer make others late.
//
// Requests that can't be answered before their deadline any more are dropped. All operations take
// logarithmic time, except for the first Pop with another number of slots.
//
// The zero value is an empty queue. It is not safe for concurrent use.
type Queue[K comparable, P any] struct {
	// Admitted means that Admission decides which requests come, which bounds their work. Then late
	// requests go before others also in an overload that lasts.
	Admitted bool

	items []item[K, P]
	free  []int32
	index map[K]int32
	// epoch is the time from which the times of items are counted.
	epoch time.Time
	// onTime has the requests that can meet their latency targets, by level.
	onTime [Levels]timeHeap
	// late has, by level, the late requests of this and the higher levels.
	late [Levels]tree
	// givenUp has the requests that can probably not be served.
	givenUp timeHeap
	lost    [Levels]losses
	work    [Levels]time.Duration
	rates   rates
	slots   int
	// onTimeWork is the part of work that is in onTime.
	onTimeWork [Levels]time.Duration
}

// Len returns the number of queued requests.
func (q *Queue[K, P]) Len() int { return len(q.index) }

// Work returns the sum of the expected costs of the queued requests.
func (q *Queue[K, P]) Work() time.Duration {
	var sum time.Duration
	for _, w := range q.work {
		sum += w
	}
	return sum
}

// WorkByLevel returns the sums of the expected costs of the queued requests of each priority.
func (q *Queue[K, P]) WorkByLevel() [Levels]time.Duration { return q.work }

// Ahead returns the work before a new request of a priority, in slot time: other, which is not in
// the queue, with what the queue serves first by an upstream with a number of slots. soon is what
// goes first if the request can meet its latency target, and all if it can only meet its deadline.
func (q *Queue[K, P]) Ahead(priority uint8, other time.Duration, slots int, now time.Time) (soon, all time.Duration) {
	if len(q.index) == 0 {
		return other, other
	}
	level := levelOf(priority)
	soon = other
	for _, w := range q.onTimeWork[:level+1] {
		soon += w
	}
	all = soon + q.late[level].work()
	q.setSlots(max(1, slots))
	if q.urgent(level, soon, now) != none {
		soon = all
	}
	return soon, all
}

// Payload returns the payload of a queued request, or nil. It is valid until the next call of a
// method other than Payload, Len, Work and WorkByLevel.
func (q *Queue[K, P]) Payload(k K) *P {
	i, ok := q.index[k]
	if !ok {
		return nil
	}
	return &q.items[i].req.Payload
}

// Push adds a request. It reports false, without a change, if one with the same key is queued.
func (q *Queue[K, P]) Push(req Request[K, P], now time.Time) bool {
	if len(q.index) == 0 {
		q.prepare(now)
	}
	if _, ok := q.index[req.Key]; ok {
		return false
	}
	i := int32(len(q.items))
	if n := len(q.free); n > 0 {
		i = q.free[n-1]
		q.free = q.free[:n-1]
	} else {
		q.items = append(q.items, item[K, P]{})
	}
	q.items[i] = q.newItem(req)
	q.index[req.Key] = i
	it := &q.items[i]
	q.work[it.level] += it.cost
	q.onTimeWork[it.level] += it.cost
	q.rates.add(it.level, it.cost, now)
	q.onTime[it.level].push(i, it.lateAt)
	return true
}

// prepare makes an empty queue usable.
func (q *Queue[K, P]) prepare(now time.Time) {
	if q.index == nil {
		q.index = map[K]int32{}
		q.slots = 1
		for l := range q.late {
			q.late[l] = tree{root: none, slots: 1, seed: 2463534242}
		}
	}
	// The times of a tree, multiplied by the slots, must not overflow.
	if now.Sub(q.epoch) > epochAge {
		q.epoch = now
		q.lost = [Levels]losses{}
	}
}

// newItem returns the item of a request.
func (q *Queue[K, P]) newItem(req Request[K, P]) item[K, P] {
	timeout := timeoutOf(req.Timeout)
	// With an estimate above that, no request would be served, and the estimate never corrected.
	cost := max(0, min(req.Cost, timeout/2))
	target := req.LatencyTarget
	if target == 0 {
		target = timeout / 2
	}
	arrived := req.Arrived.Sub(q.epoch)
	start := arrived + timeout - cost
	return item[K, P]{
		req: req, level: levelOf(req.Priority), cost: cost,
		start: start, lateAt: min(start, arrived+target-cost),
	}
}

// timeoutOf returns the timeout that applies to a request.
func timeoutOf(timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return DefaultTimeout
	}
	return timeout
}

// levelOf returns the level of a priority.
func levelOf(priority uint8) uint8 { return min(priority, Levels-1) }

// Remove removes a request, if it is queued, and reports whether it was.
func (q *Queue[K, P]) Remove(k K) bool {
	i, ok := q.index[k]
	if ok {
		q.take(i)
	}
	return ok
}

// Pop removes the request that an upstream with a number of slots is to serve next and returns it;
// false if there is none. Before that it removes each request that can't be answered before its
// deadline any more, and calls dropped with it, unless dropped is nil.
func (q *Queue[K, P]) Pop(now time.Time, slots int, dropped func(Request[K, P])) (Request[K, P], bool) {
	if len(q.index) == 0 {
		return Request[K, P]{}, false
	}
	t := now.Sub(q.epoch)
	q.Expire(now, dropped)
	q.setSlots(max(1, slots))
	q.giveUp(t)
	i := q.next(now)
	if i == none {
		return Request[K, P]{}, false
	}
	return q.take(i), true
}

// Expire removes the requests that can't be answered before their deadline any more and calls
// dropped with each, unless dropped is nil.
func (q *Queue[K, P]) Expire(now time.Time, dropped func(Request[K, P])) {
	if len(q.index) == 0 {
		return
	}
	t := now.Sub(q.epoch)
	for l := range q.onTime {
		for h := &q.onTime[l]; len(h.entries) > 0; {
			i, lateAt := h.first()
			if lateAt >= t {
				break
			}
			h.remove(i)
			q.becomeLate(i)
		}
	}
	all := &q.late[Levels-1]
	for i := all.first(); i != none && q.items[i].start < t; i = all.first() {
		q.drop(i, t, dropped)
	}
	for len(q.givenUp.entries) > 0 {
		i, start := q.givenUp.first()
		if start >= t {
			break
		}
		q.drop(i, t, dropped)
	}
}

// drop removes a request that can't be answered before its deadline.
func (q *Queue[K, P]) drop(i int32, now time.Duration, dropped func(Request[K, P])) {
	q.recordLoss(i, now)
	req := q.take(i)
	if dropped != nil {
		dropped(req)
	}
}

// becomeLate adds a request, which is in no other place, to the late ones.
func (q *Queue[K, P]) becomeLate(i int32) {
	it := &q.items[i]
	it.place = placeLate
	q.onTimeWork[it.level] -= it.cost
	for l := it.level; l < Levels; l++ {
		q.late[l].insert(i, it.level, it.start, it.cost)
	}
}

// setSlots updates the number of slots.
func (q *Queue[K, P]) setSlots(slots int) {
	q.slots = slots
	for l := range q.late {
		q.late[l].setSlots(time.Duration(slots))
	}
}

// recordLoss records that a request is given up or dropped.
func (q *Queue[K, P]) recordLoss(i int32, now time.Duration) {
	it := &q.items[i]
	q.lost[it.level].record(now, timeoutOf(it.req.Timeout))
}

// removeLate removes a request from the late ones.
func (q *Queue[K, P]) removeLate(i int32) {
	for l := q.items[i].level; l < Levels; l++ {
		q.late[l].remove(i)
	}
}

// take removes a request from its place and returns it.
func (q *Queue[K, P]) take(i int32) Request[K, P] {
	it := &q.items[i]
	switch it.place {
	case placeOnTime:
		q.onTime[it.level].remove(i)
		q.onTimeWork[it.level] -= it.cost
	case placeLate:
		q.removeLate(i)
	case placeGivenUp:
		q.givenUp.remove(i)
	}
	req := it.req
	q.work[it.level] -= it.cost
	delete(q.index, req.Key)
	*it = item[K, P]{}
	q.free = append(q.free, i)
	return req
}
