// Package upstream runs requests on the local upstream over HTTP/1.1, within its
// slots, and remembers what became of them.
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
	// expireInterval is the time between checks for requests that are too late.
	expireInterval = 10 * time.Millisecond
	// limitRecovery is the time after which a reduced limit grows by one slot.
	limitRecovery = time.Second
)

// Slots hands out the slots of the local upstream. It is safe for concurrent use.
type Slots struct {
	mu        sync.Mutex
	scheduler *work.Scheduler
	waiters   map[string]chan error
	reducedAt time.Time
	lastID    atomic.Uint64
}

// NewSlots returns slots that start cold, with one slot in use, and warm up.
func NewSlots(n int) *Slots {
	s := &Slots{
		scheduler: work.NewScheduler(n, time.Now()),
		waiters:   map[string]chan error{},
		reducedAt: time.Now(),
	}
	s.scheduler.SetLimit(1)
	return s
}

// SkipWarmup allows all slots at once, for an upstream that needs no slow start.
func (s *Slots) SkipWarmup(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetLimit(n)
}

// SetFIFO replaces the classes by one first-in first-out queue, a baseline.
func (s *Slots) SetFIFO() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetFIFO()
}

// Run expires late requests until ctx ends, and then closes done.
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

func (s *Slots) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.reducedAt) > limitRecovery {
		s.scheduler.SetLimit(s.scheduler.Limit() + 1)
		s.reducedAt = now
	}
	s.pump(now)
}

// pump tells waiting requests what was decided. The caller holds mu.
func (s *Slots) pump(now time.Time) {
	for _, e := range s.scheduler.Expire(now) {
		s.tell(e.ID, work.ErrDeadline)
	}
	for _, e := range s.scheduler.Next(now) {
		s.tell(e.ID, nil)
	}
}

func (s *Slots) tell(id string, err error) {
	if c, ok := s.waiters[id]; ok {
		delete(s.waiters, id)
		c <- err
	}
}

// NextID returns a new name for an entry. A request that is offered again to the
// same slots gets another name each time.
func (s *Slots) NextID() string { return strconv.FormatUint(s.lastID.Add(1), 10) }

// Enqueue submits an entry and returns the channel on which its grant (nil) or
// refusal arrives. Every entry must be given back with Finish, Release or Cancel.
func (s *Slots) Enqueue(e work.QueueEntry) (<-chan error, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err := s.scheduler.Submit(now, e); err != nil {
		return nil, err
	}
	c := make(chan error, 1)
	s.waiters[e.ID] = c
	s.pump(now)
	return c, nil
}

// Start uses a grant; it fails when the grant's lease has lapsed.
func (s *Slots) Start(id string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Start(time.Now(), id)
}

// Finish frees a slot after its request ran.
func (s *Slots) Finish(id string) { s.end(id, (*work.Scheduler).Finish) }

// Release frees a slot whose request did not run to its end.
func (s *Slots) Release(id string) { s.end(id, (*work.Scheduler).Release) }

// Cancel withdraws an entry that has not started.
func (s *Slots) Cancel(id string) { s.end(id, (*work.Scheduler).Cancel) }

func (s *Slots) end(id string, f func(*work.Scheduler, time.Time, string)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	delete(s.waiters, id)
	f(s.scheduler, now, id)
	s.pump(now)
}

// ReduceLimit notes that the upstream refused a request: fewer run at once for a while.
func (s *Slots) ReduceLimit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.scheduler.SetLimit(s.scheduler.Limit() - 1)
	s.reducedAt = time.Now()
}

// SetLeaving refuses new entries and those that wait.
func (s *Slots) SetLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range s.scheduler.SetLeaving() {
		s.tell(e.ID, work.ErrLeaving)
	}
}

// Load describes the slots to siblings.
func (s *Slots) Load() work.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.Load(time.Now())
}

// EstimateWait estimates how long an entry would wait for a slot.
func (s *Slots) EstimateWait(e work.QueueEntry) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.EstimateWait(time.Now(), e)
}

// ExpectedDuration is the learnt duration of a route.
func (s *Slots) ExpectedDuration(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scheduler.ExpectedDuration(route)
}

// WaitIdle returns when no request holds or waits for a slot, or when ctx ends.
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
