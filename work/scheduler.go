package work

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// maxQueuePerSlot bounds the queue of a scheduler.
	maxQueuePerSlot = 64
	// shortMemory is how long the last short request keeps a slot from long work.
	shortMemory = 10 * time.Second
	// defaultDuration is the estimate for a route that has not been seen.
	defaultDuration = 20 * time.Millisecond
	// durationGain is the weight of a new observation in a learnt duration.
	durationGain = 0.1
	// shortUse is the share of the slots kept from long requests that short ones
	// should use.
	shortUse = 0.5
	// busyWindow is the time constant of the busy share.
	busyWindow = 5 * time.Second
	// shortWindow is the time constant of the slots that short requests hold. It is
	// short, so that a swing of demand takes slots from long work at once.
	shortWindow = time.Second
)

// Errors of a scheduler. All mean that the request was not run.
var (
	ErrOverload    = errors.New("work: the queue is full")
	ErrDeadline    = errors.New("work: the deadline cannot be met")
	ErrLeaseLapsed = errors.New("work: the grant has expired")
	ErrLeaving     = errors.New("work: the sidecar is leaving")
)

// QueueEntry is a request as a scheduler sees it.
type QueueEntry struct {
	ID       string
	Route    string
	Long     bool
	Priority int
	Deadline time.Time
	// Lease is how long a granted slot waits for its request; zero starts at once.
	Lease time.Duration
}

type running struct {
	QueueEntry
	since   time.Time
	expires time.Time // zero once started
}

type queued struct {
	QueueEntry
	order uint64
}

// before orders by priority, then by deadline, then by arrival.
func (q *queued) before(o *queued) bool {
	if q.Priority != o.Priority {
		return q.Priority < o.Priority
	}
	if !q.Deadline.Equal(o.Deadline) {
		return q.Deadline.Before(o.Deadline)
	}
	return q.order < o.order
}

// Scheduler decides which requests hold the slots of one upstream. Short work is
// kept from waiting behind long work: long work never holds the last slot while
// short work is known. It is not safe for concurrent use.
type Scheduler struct {
	slots     int
	limit     int
	running   map[string]*running
	queue     []*queued
	order     uint64
	shortSeen time.Time
	durations map[string]time.Duration
	leaving   bool
	fifo      bool

	busy     float64 // decayed share of time that the slots were busy
	short    float64 // decayed number of slots that short requests held
	busyAt   time.Time
	finished uint64
}

// NewScheduler returns a scheduler of an upstream with this many slots.
func NewScheduler(slots int, now time.Time) *Scheduler {
	return &Scheduler{
		slots:     slots,
		limit:     slots,
		running:   map[string]*running{},
		durations: map[string]time.Duration{},
		busyAt:    now,
	}
}

// SetFIFO makes the scheduler a single first-in first-out queue without classes:
// the baseline that measurements compare with.
func (s *Scheduler) SetFIFO() { s.fifo = true }

// SetLimit allows fewer requests than slots, for an upstream that is cold or sheds load.
func (s *Scheduler) SetLimit(n int) {
	s.limit = max(1, min(n, s.slots))
}

// Limit is the number of requests that may run at once.
func (s *Scheduler) Limit() int { return s.limit }

// SetLeaving refuses new entries and returns those that wait, which are not run
// here. Only what holds a slot goes on.
func (s *Scheduler) SetLeaving() []QueueEntry {
	s.leaving = true
	var waiting []QueueEntry
	for _, q := range s.queue {
		waiting = append(waiting, q.QueueEntry)
	}
	s.queue = nil
	return waiting
}

// Submit accepts an entry into the queue or says why it is not run.
func (s *Scheduler) Submit(now time.Time, e QueueEntry) error {
	if s.leaving {
		return ErrLeaving
	}
	if !e.Long {
		s.shortSeen = now
	}
	e.Priority = max(0, min(e.Priority, PriorityCount-1))
	if len(s.queue) >= s.slots*maxQueuePerSlot {
		return ErrOverload
	}
	s.order++
	q := &queued{QueueEntry: e, order: s.order}
	if !s.fifo && now.Add(s.waitFor(now, q)+s.estimate(e.Route)).After(e.Deadline) {
		return ErrDeadline
	}
	i := len(s.queue)
	if !s.fifo {
		i, _ = slices.BinarySearchFunc(s.queue, q, compareQueued)
	}
	s.queue = slices.Insert(s.queue, i, q)
	return nil
}

func compareQueued(a, b *queued) int {
	switch {
	case a.before(b):
		return -1
	case b.before(a):
		return 1
	default:
		return 0
	}
}

// EstimateWait estimates how long a new entry like e would wait for a slot.
func (s *Scheduler) EstimateWait(now time.Time, e QueueEntry) time.Duration {
	return s.waitFor(now, &queued{QueueEntry: e, order: s.order + 1})
}

func (s *Scheduler) waitFor(now time.Time, q *queued) time.Duration {
	if s.mayRun(now, &q.QueueEntry) && (len(s.queue) == 0 || q.before(s.queue[0])) {
		return 0
	}
	var ahead time.Duration
	for _, o := range s.queue {
		if !o.before(q) {
			break
		}
		ahead += s.estimate(o.Route)
	}
	for _, r := range s.running {
		ahead += max(0, s.estimate(r.Route)-now.Sub(r.since))
	}
	return ahead / time.Duration(s.limit)
}

// ExpectedDuration is the learnt duration of a route.
func (s *Scheduler) ExpectedDuration(route string) time.Duration { return s.estimate(route) }

func (s *Scheduler) estimate(route string) time.Duration {
	if d, ok := s.durations[route]; ok {
		return d
	}
	return defaultDuration
}

// Next gives free slots to queued entries and returns them. An entry with a
// lease must be started with Start before the lease expires.
func (s *Scheduler) Next(now time.Time) []QueueEntry {
	var granted []QueueEntry
	for i := 0; i < len(s.queue); {
		e := s.queue[i].QueueEntry
		if len(s.running) >= s.limit {
			break
		}
		if !s.mayRun(now, &e) {
			if s.fifo {
				break
			}
			i++
			continue
		}
		s.queue = slices.Delete(s.queue, i, i+1)
		s.begin(now, e)
		granted = append(granted, e)
	}
	s.assertSlots(now)
	return granted
}

func (s *Scheduler) begin(now time.Time, e QueueEntry) {
	if _, ok := s.running[e.ID]; ok {
		panic("work: request " + e.ID + " holds two slots")
	}
	s.account(now)
	r := &running{QueueEntry: e, since: now}
	if e.Lease > 0 {
		r.expires = now.Add(e.Lease)
	}
	s.running[e.ID] = r
}

func (s *Scheduler) mayRun(now time.Time, e *QueueEntry) bool {
	if len(s.running) >= s.limit {
		return false
	}
	if s.fifo || !e.Long || s.slots == 1 {
		return true
	}
	return s.longRunning() < s.longLimit(now)
}

// longLimit keeps slots from long requests while short ones are known: as many as
// short requests have used lately, with room for their bursts, and at least one.
func (s *Scheduler) longLimit(now time.Time) int {
	if now.Sub(s.shortSeen) > shortMemory || s.shortSeen.IsZero() {
		return s.limit
	}
	kept := max(1, int(math.Ceil(s.short/shortUse)))
	return max(1, s.slots-kept)
}

func (s *Scheduler) longRunning() int {
	n := 0
	for _, r := range s.running {
		if r.Long {
			n++
		}
	}
	return n
}

func (s *Scheduler) assertSlots(time.Time) {
	if len(s.running) > s.slots {
		panic(fmt.Sprintf("work: %d requests hold %d slots", len(s.running), s.slots))
	}
}

// Start uses the grant of an entry. A grant that has expired is void, also when
// this process was paused and wakes only now.
func (s *Scheduler) Start(now time.Time, id string) error {
	r, ok := s.running[id]
	if !ok {
		return ErrLeaseLapsed
	}
	if r.expires.IsZero() {
		return nil
	}
	if now.After(r.expires) {
		s.remove(now, id)
		return ErrLeaseLapsed
	}
	r.expires = time.Time{}
	r.since = now
	return nil
}

// Finish frees the slot of an entry and learns from its duration.
func (s *Scheduler) Finish(now time.Time, id string) {
	r, ok := s.running[id]
	if !ok {
		return
	}
	s.learn(r.Route, now.Sub(r.since))
	s.finished++
	s.remove(now, id)
}

func (s *Scheduler) learn(route string, d time.Duration) {
	old, ok := s.durations[route]
	if !ok {
		s.durations[route] = d
		return
	}
	s.durations[route] = old + time.Duration(durationGain*float64(d-old))
}

// Cancel withdraws an entry that is queued or holds an unused slot.
func (s *Scheduler) Cancel(now time.Time, id string) {
	s.queue = slices.DeleteFunc(s.queue, func(q *queued) bool { return q.ID == id })
	if r, ok := s.running[id]; ok && !r.expires.IsZero() {
		s.remove(now, id)
	}
}

// Release frees the slot of an entry without learning from it.
func (s *Scheduler) Release(now time.Time, id string) {
	if _, ok := s.running[id]; ok {
		s.remove(now, id)
	}
}

func (s *Scheduler) remove(now time.Time, id string) {
	s.account(now)
	delete(s.running, id)
}

// Expire takes back slots whose lease has run out and returns the queued entries
// that can no longer meet their deadline. These were not run.
func (s *Scheduler) Expire(now time.Time) []QueueEntry {
	for id, r := range s.running {
		if !r.expires.IsZero() && now.After(r.expires) {
			s.remove(now, id)
		}
	}
	var late []QueueEntry
	s.queue = slices.DeleteFunc(s.queue, func(q *queued) bool {
		if !s.tooLate(now, q) {
			return false
		}
		late = append(late, q.QueueEntry)
		return true
	})
	return late
}

func (s *Scheduler) tooLate(now time.Time, q *queued) bool {
	if s.fifo {
		return now.After(q.Deadline)
	}
	return now.Add(s.estimate(q.Route)).After(q.Deadline)
}

// account folds the time since the last change into the busy share.
func (s *Scheduler) account(now time.Time) {
	dt := now.Sub(s.busyAt)
	if dt <= 0 {
		return
	}
	s.busy = decay(s.busy, float64(len(s.running))/float64(s.slots), dt, busyWindow)
	s.short = decay(s.short, float64(len(s.running)-s.longRunning()), dt, shortWindow)
	s.busyAt = now
}

func decay(old, current float64, dt, window time.Duration) float64 {
	keep := 1 / (1 + float64(dt)/float64(window))
	return old*keep + current*(1-keep)
}

// Load describes the slots to siblings.
func (s *Scheduler) Load(now time.Time) Load {
	s.account(now)
	l := Load{Slots: s.slots, Busy: s.busy}
	long := 0
	for _, q := range s.queue {
		l.Queued[q.Priority]++
		if q.Long {
			long++
		}
	}
	l.Free = max(0, s.limit-len(s.running)-(len(s.queue)-long))
	l.FreeLong = max(0, min(l.Free, s.longLimit(now)-s.longRunning())-long)
	return l
}

// Idle reports whether no request holds or waits for a slot.
func (s *Scheduler) Idle() bool { return len(s.running) == 0 && len(s.queue) == 0 }
