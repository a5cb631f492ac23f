// Package upstream runs requests on the local upstream over HTTP/1.1, no more at a time than it has
// slots, and records the outcomes of non-idempotent ones.
package upstream

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"greengagedyke/work"
)

const (
	// expireInterval is the time between checks for entries that can no longer meet their deadline.
	expireInterval = 10 * time.Millisecond
	// limitRecovery is how long after its last change the limit on concurrent requests grows by one.
	limitRecovery = time.Second
)

// Slots grants the slots of the local upstream to requests. It is safe for concurrent use.
type Slots struct {
	mu             sync.Mutex
	scheduler      *work.Scheduler
	waiters        map[string]chan error // channels that Enqueue returned, by entry ID
	limitChangedAt time.Time             // when the limit was last lowered or raised, for limitRecovery
	lastID         atomic.Uint64         // last ID that NextID returned
}

// NewSlots returns n slots of which one may be used at first. Run adds one more per limitRecovery.
func NewSlots(n int) *Slots {
	s := &Slots{
		scheduler:      work.NewScheduler(n, time.Now()),
		waiters:        map[string]chan error{},
		limitChangedAt: time.Now(),
	}
	s.scheduler.SetLimit(1)
	return s
}

// SkipWarmup allows n slots to be used at once, for an upstream that needs no slow start.
func (s *Slots) SkipWarmup(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetLimit(n)
}

// SetFIFO switches to a single first-in first-out queue; see work.Scheduler.SetFIFO.
func (s *Slots) SetFIFO() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetFIFO()
}

// Run expires entries and raises a reduced limit until ctx ends, and then closes done.
func (s *Slots) Run(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.tick(now)
		}
	}
}

// tick raises the limit by one if limitRecovery has passed, expires entries and grants free slots.
func (s *Slots) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.limitChangedAt) > limitRecovery {
		s.scheduler.SetLimit(s.scheduler.Limit() + 1)
		s.limitChangedAt = now
	}
	s.schedule(now)
}

// schedule notifies the waiters of entries that have expired or were granted a slot. The caller
// holds mu.
func (s *Slots) schedule(now time.Time) {
	for _, e := range s.scheduler.Expire(now) {
		s.notify(e.ID, work.ErrDeadline)
	}
	for _, e := range s.scheduler.Next(now) {
		s.notify(e.ID, nil)
	}
}

// notify sends err, nil for a grant, to the waiter of an entry. The caller holds mu.
func (s *Slots) notify(id string, err error) {
	if c, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		c <- err
	}
}

// NextID returns a new entry ID. A request needs a new one each time it is offered to these slots.
func (s *Slots) NextID() string { return strconv.FormatUint(s.lastID.Add(1), 10) }

// Enqueue submits an entry and returns a channel that receives nil when a slot is granted, or an
// error if the request is not run. Each entry must be removed with Finish, Release or Cancel.
func (s *Slots) Enqueue(e work.QueueEntry) (<-chan error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.scheduler.Submit(now, e); err != nil {
		return nil, err
	}
	c := make(chan error, 1)
	s.waiters[e.ID] = c
	s.schedule(now)
	return c, nil
}

// Start confirms a grant. It returns work.ErrLeaseLapsed if the grant's lease has expired.
func (s *Slots) Start(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Start(time.Now(), id)
}

// Finish frees the slot of a request that has completed.
func (s *Slots) Finish(id string) { s.removeEntry(id, (*work.Scheduler).Finish) }

// Release frees the slot of a request that did not complete. It does nothing after Finish.
func (s *Slots) Release(id string) { s.removeEntry(id, (*work.Scheduler).Release) }

// Cancel removes an entry that is queued or whose granted slot has not been started.
func (s *Slots) Cancel(id string) { s.removeEntry(id, (*work.Scheduler).Cancel) }

// removeEntry calls a method of the scheduler that removes an entry, and grants freed slots.
func (s *Slots) removeEntry(id string, remove func(*work.Scheduler, time.Time, string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(s.waiters, id)
	remove(s.scheduler, now, id)
	s.schedule(now)
}

// ReduceLimit lowers the number of requests that may run at once by one, after the upstream refused a
// request.
func (s *Slots) ReduceLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetLimit(s.scheduler.Limit() - 1)
	s.limitChangedAt = time.Now()
}

// SetLeaving makes queued and all later entries fail with work.ErrLeaving.
func (s *Slots) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.scheduler.SetLeaving() {
		s.notify(e.ID, work.ErrLeaving)
	}
}

// SetEvacuated sets whether the failure domain is evacuated; see work.Scheduler.SetEvacuated. Queued
// entries then fail with work.ErrEvacuated.
func (s *Slots) SetEvacuated(evacuated bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.scheduler.SetEvacuated(evacuated) {
		s.notify(e.ID, work.ErrEvacuated)
	}
}

// Evacuated reports whether the failure domain is evacuated.
func (s *Slots) Evacuated() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Evacuated()
}

// Load returns the load report for siblings.
func (s *Slots) Load() work.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Load(time.Now())
}

// EstimateWait estimates how long an entry that is submitted now would wait for a slot.
func (s *Slots) EstimateWait(e work.QueueEntry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.EstimateWait(time.Now(), e)
}

// ExpectedDuration returns the expected duration of a route's requests; see
// work.Scheduler.ExpectedDuration.
func (s *Slots) ExpectedDuration(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ExpectedDuration(route)
}

// WaitIdle waits until no entry is queued or has a slot, or ctx ends.
func (s *Slots) WaitIdle(ctx context.Context) {
	t := time.NewTicker(expireInterval)
	defer t.Stop()
	for !s.isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (s *Slots) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Idle()
}
