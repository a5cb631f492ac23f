package sidecar

import (
	"context"
	"maps"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/work"
)

const (
	// A request that waits looks for a place with a free slot, or a shorter queue,
	// again after firstSpread, then at intervals that double up to lastSpread.
	firstSpread = 5 * time.Millisecond
	lastSpread  = 50 * time.Millisecond
	// firstProbes is the number of siblings that are asked at once when no place is
	// known to have a free slot; what is known of them may be old.
	firstProbes = 2
	// maxBids bounds the places where one request waits at the same time.
	maxBids = 4
	// queueBidsPerSlot bounds the requests of this sidecar that wait in siblings'
	// queues: enough to keep a sibling's slots busy, and no more talk than that.
	queueBidsPerSlot = 1
)

// slot is a granted slot, here or at a sibling.
type slot struct {
	identity string
	holder   string
	run      func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome
	cancel   func()
}

// bid is the outcome of waiting for a slot in one place.
type bid struct {
	slot *slot
	err  error
}

// search looks for a slot for one request. It belongs to one goroutine.
type search struct {
	*Dispatcher
	request *work.Request
	// tried are the places that were asked, or must not be.
	tried  map[string]bool
	open   int
	bids   chan bid
	queued chan struct{}
}

// acquire waits for a slot in the place that is picked, and if that takes long, in
// others too. The first grant counts; the other bids are withdrawn.
func (d *Dispatcher) acquire(ctx context.Context, r *work.Request, exclude map[string]bool) (*slot, error) {
	s := &search{
		Dispatcher: d,
		request:    r,
		tried:      maps.Clone(exclude),
		bids:       make(chan bid, d.siblings.count()+1),
		queued:     make(chan struct{}, 1),
	}
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		go withdraw(s.bids, s.open)
	}()
	return s.run(ctx)
}

func (s *search) run(ctx context.Context) (*slot, error) {
	for _, identity := range s.firstPlaces(s.request, s.tried) {
		s.start(ctx, identity)
	}
	interval := firstSpread
	spread := time.NewTimer(interval)
	defer spread.Stop()
	var lastErr error = work.ErrOverload
	for {
		if s.open == 0 {
			next := s.nextPlace(s.request, s.tried)
			if next == "" {
				return nil, lastErr
			}
			s.start(ctx, next)
		}
		select {
		case b := <-s.bids:
			s.open--
			if b.err == nil {
				return b.slot, nil
			}
			lastErr = worse(lastErr, b.err)
		case <-s.queued:
			s.startAnother(ctx, s.freePlace)
		case <-spread.C:
			interval = min(2*interval, lastSpread)
			spread.Reset(interval)
			s.startAnother(ctx, s.betterPlace)
		}
	}
}

func (s *search) start(ctx context.Context, identity string) {
	s.tried[identity] = true
	s.open++
	go func() { s.bids <- s.bid(ctx, identity, s.request, s.queued) }()
}

func (s *search) startAnother(ctx context.Context, place func(r *work.Request, tried map[string]bool) string) {
	if s.open >= maxBids || s.hasFixedPlace() {
		return
	}
	if identity := place(s.request, s.tried); identity != "" {
		s.start(ctx, identity)
	}
}

// worse keeps the error that tells the caller most.
func worse(a, b error) error {
	if errors.Is(a, work.ErrDeadline) {
		return a
	}
	return b
}

// withdraw gives back the grants that came too late.
func withdraw(bids <-chan bid, open int) {
	for range open {
		if b := <-bids; b.err == nil {
			b.slot.cancel()
		}
	}
}

// firstPlaces returns where a request asks for a slot first: the best place with a
// free slot, or when none is known, the own queue and the shortest others, whose
// reports may be old.
func (d *Dispatcher) firstPlaces(r *work.Request, tried map[string]bool) []string {
	switch d.baseline {
	case BaselineLocal:
		return []string{d.identity}
	case BaselineRandom:
		return []string{d.siblings.anyPlace()}
	}
	if identity, ok := d.siblings.pick(d.slots.Load(), r.Route.Long, tried); ok {
		return []string{identity}
	}
	var places []string
	if !d.leaving() && !tried[d.identity] {
		places = append(places, d.identity)
	}
	exclude := maps.Clone(tried)
	for range firstProbes {
		if !d.mayQueueElsewhere(r.Route.Priority) {
			break
		}
		identity, ok := d.siblings.pickQueue(r.Route.Priority, false, exclude)
		if !ok {
			break
		}
		exclude[identity] = true
		places = append(places, identity)
	}
	return places
}

// nextPlace returns a place for a request that waits nowhere: the own queue, then
// the shortest other one.
func (d *Dispatcher) nextPlace(r *work.Request, tried map[string]bool) string {
	if d.hasFixedPlace() {
		return ""
	}
	if !d.leaving() && !tried[d.identity] {
		return d.identity
	}
	identity, _ := d.siblings.pickQueue(r.Route.Priority, false, tried)
	return identity
}

// freePlace returns the best place that is known to have a free slot.
func (d *Dispatcher) freePlace(r *work.Request, tried map[string]bool) string {
	identity, _ := d.siblings.pick(d.slots.Load(), r.Route.Long, tried)
	return identity
}

// betterPlace returns a further place for a request that waits: one with a free
// slot, the own queue if it does not wait there, or a much shorter queue.
func (d *Dispatcher) betterPlace(r *work.Request, tried map[string]bool) string {
	if identity := d.freePlace(r, tried); identity != "" {
		return identity
	}
	if !d.leaving() && !tried[d.identity] {
		return d.identity
	}
	if !d.mayQueueElsewhere(r.Route.Priority) {
		return ""
	}
	identity, _ := d.siblings.pickQueue(r.Route.Priority, true, tried)
	return identity
}

// hasFixedPlace reports whether a baseline decides the place of a request once.
func (d *Dispatcher) hasFixedPlace() bool {
	return d.baseline == BaselineLocal || d.baseline == BaselineRandom
}

// mayQueueElsewhere reports whether one more request may wait in a sibling's queue.
// Offers of this priority and those before it count, so that less urgent requests do
// not keep urgent ones from other queues.
func (d *Dispatcher) mayQueueElsewhere(priority int) bool {
	n := 0
	for i := range d.queueBids[:priority+1] {
		n += int(d.queueBids[i].Load())
	}
	return n < queueBidsPerSlot*d.slotCount
}

func (d *Dispatcher) bid(ctx context.Context, identity string, r *work.Request, queued chan<- struct{}) bid {
	d.siblings.assign(identity, r.Route.Long, d.slots.ExpectedDuration(r.RouteName()))
	defer d.siblings.settle(identity, r.Route.Long)
	if identity == d.identity {
		return d.bidLocal(ctx, r)
	}
	return d.bidSibling(ctx, identity, r, queued)
}

func (d *Dispatcher) bidLocal(ctx context.Context, r *work.Request) bid {
	e := d.entry(r)
	e.ID = d.slots.NextID()
	granted, err := d.slots.Enqueue(e)
	if err != nil {
		return bid{err: err}
	}
	select {
	case err = <-granted:
	case <-ctx.Done():
		d.slots.Release(e.ID)
		d.slots.Cancel(e.ID)
		return bid{err: work.ErrDeadline}
	}
	if err != nil {
		return bid{err: err}
	}
	s := &slot{identity: d.identity, holder: d.holder, cancel: func() { d.slots.Release(e.ID) }}
	s.run = func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
		placed := *r
		placed.SlotID = e.ID
		return d.upstream.Run(ctx, &placed, sink)
	}
	return bid{slot: s}
}

func (d *Dispatcher) bidSibling(ctx context.Context, identity string, r *work.Request, queued chan<- struct{}) bid {
	c := d.siblings.client(identity)
	if c == nil {
		return bid{err: work.ErrOverload}
	}
	held, err := c.Offer(ctx, r)
	if err != nil {
		return bid{err: err}
	}
	waiting := &d.queueBids[r.Route.Priority]
	waiting.Add(1)
	err = held.Wait(ctx, func() {
		select {
		case queued <- struct{}{}:
		default:
		}
	})
	waiting.Add(-1)
	if err != nil {
		held.Cancel()
		return bid{err: err}
	}
	s := &slot{identity: identity, holder: d.siblings.holderOf(identity), cancel: held.Cancel}
	s.run = func(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
		outcome, lost := held.Run(ctx, r, sink)
		if !lost || outcome.Verdict == work.VerdictTruncated {
			return outcome
		}
		return d.recover(ctx, c, r, sink)
	}
	return bid{slot: s}
}
