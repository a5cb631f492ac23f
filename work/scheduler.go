package work

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
)

const (
	// maxQueuePerSlot is the length of the queue per slot at which further requests are refused.
	maxQueuePerSlot = 64
	// shortReservation is how long after the last short request slots stay reserved for short ones.
	shortReservation = 10 * time.Second
	// defaultDuration is the expected duration of a route that has not been used.
	defaultDuration = service.InitialDuration
	// durationWeight is the weight of a new request in the moving average of a route's duration.
	durationWeight = 0.1
	// reservedUtilization is the share of the reserved slots that short requests use on average;
	// the rest is for bursts.
	reservedUtilization = 0.5
	// busyWindow is the time constant of the moving average of busy slots.
	busyWindow = 5 * time.Second
	// shortWindow is the time constant of the moving average of slots used by short requests. It is
	// short so that a rise in short requests takes slots from long ones at once.
	shortWindow = time.Second
)

// Errors of a scheduler. All mean that the request was not run.
var (
	ErrOverload    = errors.New("work: the queue is full")
	ErrDeadline    = errors.New("work: the deadline cannot be met")
	ErrLeaseLapsed = errors.New("work: the grant has expired")
	ErrLeaving     = errors.New("work: the sidecar is leaving")
	ErrEvacuated   = errors.New("work: the failure domain is evacuated")
)

// QueueEntry describes a request to a scheduler.
type QueueEntry struct {
	ID       string // unique in the scheduler
	Route    string // Request.RouteName
	Long     bool   // the route's requests take long
	Priority int
	Deadline time.Time
	// Lease is how long a granted slot stays reserved if Start is not called. With 0, the request
	// starts as soon as the slot is granted.
	Lease time.Duration
}

// grant is a slot that is reserved for a request or in which the request runs.
type grant struct {
	QueueEntry
	startedAt time.Time // start of the request; before that, time of the grant
	leaseEnd  time.Time // zero once started
}

// queuedEntry is an entry that waits for a slot.
type queuedEntry struct {
	QueueEntry
	sequence uint64 // order of arrival
}

// before orders entries by priority, then by deadline, then by arrival.
func (q *queuedEntry) before(o *queuedEntry) bool {
	if q.Priority != o.Priority {
		return q.Priority < o.Priority
	}
	if !q.Deadline.Equal(o.Deadline) {
		return q.Deadline.Before(o.Deadline)
	}
	return q.sequence < o.sequence
}

// Scheduler grants the slots of one upstream to requests. While short requests keep arriving, it
// reserves at least one of several slots for them, so that they do not wait for long requests. It
// is not safe for concurrent use.
type Scheduler struct {
	slots        int
	limit        int               // number of slots that may be granted, at most slots
	grants       map[string]*grant // by entry ID
	queue        []*queuedEntry    // sorted by before, or by arrival with fifo
	lastSequence uint64
	lastShort    time.Time                // arrival of the last short request
	durations    map[string]time.Duration // moving average by route
	leaving      bool                     // the sidecar is leaving
	evacuated    bool                     // the failure domain is evacuated
	fifo         bool

	busy       float64   // moving average of the share of granted slots
	shortSlots float64   // moving average of the slots granted to short requests
	averagedAt time.Time // time of the last update of busy and shortSlots
	finished   uint64    // number of completed requests
}

// NewScheduler returns a scheduler for an upstream with the given number of slots.
func NewScheduler(slots int, now time.Time) *Scheduler {
	return &Scheduler{
		slots:      slots,
		limit:      slots,
		grants:     map[string]*grant{},
		durations:  map[string]time.Duration{},
		averagedAt: now,
	}
}

// SetFIFO switches to a single first-in first-out queue without priorities and without slots
// reserved for short requests, as a baseline for measurements. Submit then ignores deadlines, and
// Expire removes an entry only once its deadline has passed.
func (s *Scheduler) SetFIFO() { s.fifo = true }

// SetLimit sets the number of requests that may run at once, for an upstream that is warming up or
// sheds load. It is clamped to between 1 and the number of slots.
func (s *Scheduler) SetLimit(n int) {
	s.limit = max(1, min(n, s.slots))
}

// Limit returns the number of requests that may run at once.
func (s *Scheduler) Limit() int { return s.limit }

// Submit adds an entry to the queue. If it returns an error, ErrLeaving, ErrEvacuated, ErrOverload
// or ErrDeadline, the request is not run.
func (s *Scheduler) Submit(now time.Time, e QueueEntry) error {
	if err := s.refusal(); err != nil {
		return err
	}
	if !e.Long {
		s.lastShort = now
	}
	e.Priority = max(0, min(e.Priority, PriorityCount-1))
	if len(s.queue) >= s.slots*maxQueuePerSlot {
		return ErrOverload
	}
	s.lastSequence++
	q := &queuedEntry{QueueEntry: e, sequence: s.lastSequence}
	if !s.fifo && now.Add(s.waitTime(now, q)+s.routeDuration(e.Route)).After(e.Deadline) {
		return ErrDeadline
	}
	i := len(s.queue)
	if !s.fifo {
		i, _ = slices.BinarySearchFunc(s.queue, q, compareQueued)
	}
	s.queue = slices.Insert(s.queue, i, q)
	return nil
}

// compareQueued is before in the form that slices.BinarySearchFunc takes.
func compareQueued(a, b *queuedEntry) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	default:
		return 0
	}
}

// EstimateWait estimates how long an entry that is submitted now would wait for a slot.
func (s *Scheduler) EstimateWait(now time.Time, e QueueEntry) time.Duration {
	return s.waitTime(now, &queuedEntry{QueueEntry: e, sequence: s.lastSequence + 1})
}

// waitTime estimates how long q waits for a slot: 0 if it can run at once, else the expected time
// left of the granted requests and of those queued ahead of q, divided by the limit.
func (s *Scheduler) waitTime(now time.Time, q *queuedEntry) time.Duration {
	if s.canRun(now, &q.QueueEntry) && (len(s.queue) == 0 || q.before(s.queue[0])) {
		return 0
	}
	var ahead time.Duration
	for _, o := range s.queue {
		if !o.before(q) {
			break
		}
		ahead += s.routeDuration(o.Route)
	}
	for _, g := range s.grants {
		ahead += max(0, s.routeDuration(g.Route)-now.Sub(g.startedAt))
	}
	return ahead / time.Duration(s.limit)
}

// ExpectedDuration returns the moving average of the durations of a route's requests, or
// defaultDuration if none has finished.
func (s *Scheduler) ExpectedDuration(route string) time.Duration { return s.routeDuration(route) }

// routeDuration implements ExpectedDuration.
func (s *Scheduler) routeDuration(route string) time.Duration {
	if d, ok := s.durations[route]; ok {
		return d
	}
	return defaultDuration
}

// Next grants free slots to queued entries and returns those entries. The request of an entry with
// a lease must be started with Start before the lease expires.
func (s *Scheduler) Next(now time.Time) []QueueEntry {
	var granted []QueueEntry
	for i := 0; i < len(s.queue); {
		e := s.queue[i].QueueEntry
		if len(s.grants) >= s.limit {
			break
		}
		if !s.canRun(now, &e) {
			if s.fifo {
				break
			}
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		s.addGrant(now, e)
		granted = append(granted, e)
	}
	s.assertSlots(now)
	return granted
}

// addGrant grants a slot to e. It panics if e already has one.
func (s *Scheduler) addGrant(now time.Time, e QueueEntry) {
	if _, ok := s.grants[e.ID]; ok {
		panic("work: request " + e.ID + " holds two slots")
	}
	s.updateAverages(now)
	g := &grant{QueueEntry: e, startedAt: now}
	if e.Lease > 0 {
		g.leaseEnd = now.Add(e.Lease)
	}
	s.grants[e.ID] = g
}

// canRun reports whether a slot is free for e, whatever is queued ahead of it.
func (s *Scheduler) canRun(now time.Time, e *QueueEntry) bool {
	if len(s.grants) >= s.limit {
		return false
	}
	if s.fifo || !e.Long || s.slots == 1 {
		return true
	}
	return s.longGrants() < s.longLimit(now)
}

// longLimit returns how many slots long requests may use. While short requests keep arriving, it
// reserves for them as many slots as they have used on average, with room for bursts, and at least
// one. One slot always remains for long requests.
func (s *Scheduler) longLimit(now time.Time) int {
	if now.Sub(s.lastShort) > shortReservation || s.lastShort.IsZero() {
		return s.limit
	}
	reserved := max(1, int(math.Ceil(s.shortSlots/reservedUtilization)))
	return max(1, s.slots-reserved)
}

// longGrants returns the number of slots granted to long requests.
func (s *Scheduler) longGrants() int {
	n := 0
	for _, g := range s.grants {
		if g.Long {
			n++
		}
	}
	return n
}

// assertSlots panics if more slots are granted than the upstream has.
func (s *Scheduler) assertSlots(time.Time) {
	if len(s.grants) > s.slots {
		panic(fmt.Sprintf("work: %d requests hold %d slots", len(s.grants), s.slots))
	}
}

// Start confirms a grant before its request runs. It returns ErrLeaseLapsed if the request has no
// grant or the lease has expired, even if Expire has not run since, and ErrEvacuated if the failure
// domain was evacuated after the grant.
func (s *Scheduler) Start(now time.Time, id string) error {
	g, ok := s.grants[id]
	if !ok {
		return ErrLeaseLapsed
	}
	if g.leaseEnd.IsZero() {
		return nil
	}
	if now.After(g.leaseEnd) {
		s.removeGrant(now, id)
		return ErrLeaseLapsed
	}
	if s.evacuated {
		s.removeGrant(now, id)
		return ErrEvacuated
	}
	g.leaseEnd = time.Time{}
	g.startedAt = now
	return nil
}

// Finish frees the slot of a completed request and adds the request's duration to the moving average
// of its route.
func (s *Scheduler) Finish(now time.Time, id string) {
	g, ok := s.grants[id]
	if !ok {
		return
	}
	s.updateDuration(g.Route, now.Sub(g.startedAt))
	s.finished++
	s.removeGrant(now, id)
}

// updateDuration adds the duration of a request to the moving average of its route.
func (s *Scheduler) updateDuration(route string, d time.Duration) {
	old, ok := s.durations[route]
	if !ok {
		s.durations[route] = d
		return
	}
	s.durations[route] = old + time.Duration(durationWeight*float64(d-old))
}

// Cancel removes an entry that is queued or whose granted slot has not been started.
func (s *Scheduler) Cancel(now time.Time, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedEntry) bool { return q.ID == id })
	if g, ok := s.grants[id]; ok && !g.leaseEnd.IsZero() {
		s.removeGrant(now, id)
	}
}

// Release frees a slot without changing the moving average of the route's duration.
func (s *Scheduler) Release(now time.Time, id string) {
	if _, ok := s.grants[id]; ok {
		s.removeGrant(now, id)
	}
}

// removeGrant frees the slot granted to the entry with this ID.
func (s *Scheduler) removeGrant(now time.Time, id string) {
	s.updateAverages(now)
	delete(s.grants, id)
}

// Expire frees the slots whose lease has expired. It removes and returns the queued entries that
// can no longer meet their deadline; they are not run.
func (s *Scheduler) Expire(now time.Time) []QueueEntry {
	for id, g := range s.grants {
		if !g.leaseEnd.IsZero() && now.After(g.leaseEnd) {
			s.removeGrant(now, id)
		}
	}
	var expired []QueueEntry
	s.queue = slices.DeleteFunc(s.queue, func(q *queuedEntry) bool {
		if !s.tooLate(now, q) {
			return false
		}
		expired = append(expired, q.QueueEntry)
		return true
	})
	return expired
}

// tooLate reports whether q can no longer meet its deadline. With fifo, that is once the deadline has
// passed; otherwise the expected duration of the request must fit before it.
func (s *Scheduler) tooLate(now time.Time, q *queuedEntry) bool {
	if s.fifo {
		return now.After(q.Deadline)
	}
	return now.Add(s.routeDuration(q.Route)).After(q.Deadline)
}

// updateAverages brings the moving averages up to date. It is called before the grants change.
func (s *Scheduler) updateAverages(now time.Time) {
	elapsed := now.Sub(s.averagedAt)
	if elapsed <= 0 {
		return
	}
	s.busy = movingAverage(s.busy, float64(len(s.grants))/float64(s.slots), elapsed, busyWindow)
	s.shortSlots = movingAverage(s.shortSlots, float64(len(s.grants)-s.longGrants()), elapsed, shortWindow)
	s.averagedAt = now
}

// movingAverage returns the exponential moving average after the value has been current for elapsed;
// old is the average before. window is the time constant.
func movingAverage(old, current float64, elapsed, window time.Duration) float64 {
	weight := 1 / (1 + float64(elapsed)/float64(window))
	return old*weight + current*(1-weight)
}

// Load returns the load report for siblings.
func (s *Scheduler) Load(now time.Time) Load {
	s.updateAverages(now)
	l := Load{Slots: s.slots, Busy: s.busy}
	long := 0
	for _, q := range s.queue {
		l.Queued[q.Priority]++
		if q.Long {
			long++
		}
	}
	l.Free = max(0, s.limit-len(s.grants)-(len(s.queue)-long))
	l.FreeLong = max(0, min(l.Free, s.longLimit(now)-s.longGrants())-long)
	return l
}

// Idle reports whether no slot is granted and the queue is empty.
func (s *Scheduler) Idle() bool { return len(s.grants) == 0 && len(s.queue) == 0 }
