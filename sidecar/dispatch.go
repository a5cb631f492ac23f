package sidecar

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
	"greengagedyke/sibling"
	"greengagedyke/timeline"
	"greengagedyke/upstream"
	"greengagedyke/work"
)

// maxAttempts bounds the places where one request is tried.
const maxAttempts = 3

// Dispatcher decides where requests run. It implements caller.Dispatcher.
type Dispatcher struct {
	log           *slog.Logger
	identity      string
	holder        string
	siblings      *Siblings
	slots         *upstream.Slots
	upstream      *upstream.Client
	keyedRequests *KeyedRequests
	ring          *timeline.Ring
	baseline      Baseline
	leaving       func() bool
	// queueBids is the number of requests that wait in siblings' queues, by priority.
	queueBids [work.PriorityCount]atomic.Int64
	slotCount int

	retryMu sync.Mutex
	retries work.RetryBudget

	// lost reports whether a member that may have run something is gone.
	lost func() bool
	// left reports whether a holder has ended and handed over what it knew.
	left func(holder string) bool
}

// Dispatch runs a request somewhere and passes its answer to sink.
func (d *Dispatcher) Dispatch(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	switch {
	case r.Route.Class == service.ClassFlow:
		return d.flow(ctx, r, sink)
	case r.Route.Class == service.ClassNonIdempotent && r.Key != "":
		return d.keyed(ctx, r, sink)
	default:
		return d.place(ctx, r, sink)
	}
}

// flow runs a long-lived stream on the local upstream, which takes a connection
// and no slot. A leaving sidecar, and one whose upstream cannot be reached, sends
// it to a sibling.
func (d *Dispatcher) flow(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	outcome := work.NotRun(work.ReasonLeaving, 0)
	if !d.leaving() {
		outcome = d.upstream.Run(ctx, r, sink)
	}
	exclude := map[string]bool{d.identity: true}
	for range maxAttempts {
		if outcome.Verdict != work.VerdictNotRun {
			return outcome
		}
		identity, ok := d.siblings.pickQueue(r.Route.Priority, false, exclude)
		if !ok {
			return outcome
		}
		exclude[identity] = true
		outcome = d.flowElsewhere(ctx, identity, r, sink)
	}
	return outcome
}

func (d *Dispatcher) flowElsewhere(ctx context.Context, identity string, r *work.Request, sink work.ResponseSink) work.Outcome {
	c := d.siblings.client(identity)
	if c == nil {
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	held, err := c.Offer(ctx, r)
	if err != nil {
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	if err := held.Wait(ctx, func() {}); err != nil {
		held.Cancel()
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	outcome, _ := held.Run(ctx, r, sink)
	return outcome
}

// place finds a slot for a request, runs it, and tries elsewhere as long as it is
// certain that it has not run, or as it may run twice.
func (d *Dispatcher) place(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	waitCtx := ctx
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		waitCtx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	d.noteRequest()
	guard := &headGuard{ResponseSink: sink}
	exclude := map[string]bool{}
	outcome := work.NotRun(work.ReasonOverload, 0)
	for range maxAttempts {
		s, err := d.acquire(waitCtx, r, exclude)
		if err != nil {
			return d.refusal(waitCtx, r, err)
		}
		if r.Route.Class == service.ClassNonIdempotent {
			guard.Receipt(work.Receipt{Identity: s.holder, RequestID: r.ID})
		}
		outcome = d.runPlaced(ctx, s, r, guard)
		if !d.mayRetry(waitCtx, r, guard, outcome) || !d.takeRetry() {
			return outcome
		}
		exclude[s.identity] = true
	}
	return outcome
}

// answerGrace is how long after its deadline the outcome of a request may arrive.
const answerGrace = 500 * time.Millisecond

// runPlaced runs a request in its slot. The outcome of a non-idempotent one is waited
// for even if its caller goes away, for the caller's repeat.
func (*Dispatcher) runPlaced(ctx context.Context, s *slot, r *work.Request, sink work.ResponseSink) work.Outcome {
	if r.Route.Class != service.ClassNonIdempotent || r.Deadline.IsZero() {
		return s.run(ctx, r, sink)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(answerGrace))
	defer cancel()
	return s.run(ctx, r, sink)
}

func (d *Dispatcher) noteRequest() {
	d.retryMu.Lock()
	defer d.retryMu.Unlock()
	d.retries.RecordRequest(time.Now())
}

func (d *Dispatcher) takeRetry() bool {
	d.retryMu.Lock()
	defer d.retryMu.Unlock()
	return d.retries.Take(time.Now())
}

func (*Dispatcher) mayRetry(ctx context.Context, r *work.Request, guard *headGuard, o work.Outcome) bool {
	if ctx.Err() != nil || guard.begun || o.Reason == work.ReasonMarked {
		return false
	}
	if o.Verdict == work.VerdictNotRun {
		return true
	}
	return o.Verdict == work.VerdictUnknown && r.Route.Class == service.ClassIdempotent
}

func (d *Dispatcher) refusal(ctx context.Context, r *work.Request, err error) work.Outcome {
	retryAfter := d.slots.EstimateWait(d.entry(r))
	switch {
	case errors.Is(err, work.ErrDeadline), ctx.Err() != nil:
		return work.NotRun(work.ReasonDeadline, retryAfter)
	case errors.Is(err, work.ErrLeaving):
		return work.NotRun(work.ReasonLeaving, 0)
	default:
		return work.NotRun(work.ReasonOverload, retryAfter)
	}
}

func (*Dispatcher) entry(r *work.Request) work.QueueEntry {
	return work.QueueEntry{
		ID:       r.ID,
		Route:    r.RouteName(),
		Long:     r.Route.Long,
		Priority: r.Route.Priority,
		Deadline: r.Deadline,
	}
}

// headGuard notes whether an answer has begun, after which nothing may be retried.
type headGuard struct {
	work.ResponseSink
	begun bool
}

// Head implements work.ResponseSink.
func (g *headGuard) Head(h work.ResponseHead) error {
	g.begun = true
	return g.ResponseSink.Head(h)
}

// recover finds out what became of a request whose session was lost: a sibling
// that has not begun it is told never to, and an answer that it kept is fetched.
func (d *Dispatcher) recover(ctx context.Context, c *sibling.Client, r *work.Request, sink work.ResponseSink) work.Outcome {
	if r.Route.Class != service.ClassNonIdempotent {
		return work.Unknown(work.ReasonAnswerLost)
	}
	for ctx.Err() == nil {
		state, answer, err := c.Fetch(ctx, r.ID, true)
		if err != nil {
			if !sleep(ctx, fetchPause) {
				break
			}
			continue
		}
		return settled(state, answer, sink)
	}
	return work.Unknown(work.ReasonAnswerLost)
}

// fetchPause is the time between attempts to learn the outcome of a request.
const fetchPause = 100 * time.Millisecond

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// settled turns what a ledger knows into an outcome, and passes a kept answer on.
func settled(state work.State, answer *work.Response, sink work.ResponseSink) work.Outcome {
	switch {
	case state == work.StateNotRun:
		return work.NotRun(work.ReasonShed, 0)
	case state == work.StateAnswered && answer != nil:
		if err := sink.Head(answer.Head); err != nil {
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
		}
		if err := sink.Chunk(answer.Body); err != nil {
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
		}
		return work.Outcome{Verdict: work.VerdictAnswered}
	default:
		return work.Unknown(work.ReasonAnswerLost)
	}
}
