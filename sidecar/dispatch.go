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

// maxAttempts is how often one request is run, each time at another sidecar, and how often its key is
// claimed, at most. A stream that was not run on the local upstream is tried at up to maxAttempts
// siblings.
const maxAttempts = 3

// Dispatcher decides which sidecar runs a request: this one or a sibling. It implements
// caller.Dispatcher.
type Dispatcher struct {
	log      *slog.Logger
	identity string
	// holderName is this sidecar's holder name, as formatHolder returns it.
	holderName    string
	siblings      *Siblings
	slots         *upstream.Slots
	upstream      *upstream.Client
	keyedRequests *KeyedRequests
	events        *timeline.Ring
	baseline      Baseline
	// refusal returns why this sidecar takes no new work, work.ErrLeaving or work.ErrEvacuated; nil if
	// it does.
	refusal func() error
	// pendingOffers is the number of this sidecar's offers that siblings have neither granted nor
	// refused, by priority.
	pendingOffers [work.PriorityCount]atomic.Int64
	// slotCount is the configured number of slots of the local upstream.
	slotCount int

	// retryMu protects retries.
	retryMu sync.Mutex
	retries work.RetryBudget

	// memberLost reports whether a sidecar of this service recently disappeared without leaving,
	// so that requests may have run whose records are lost.
	memberLost func() bool
	// holderLeft reports whether the named sidecar has left after handing over its key records.
	holderLeft func(holder string) bool
}

// Dispatch runs a request on one of the service's upstreams and passes the response to sink.
func (d *Dispatcher) Dispatch(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	switch {
	case r.Route.Class == service.ClassFlow:
		return d.runStream(ctx, r, sink)
	case r.Route.Class == service.ClassNonIdempotent && r.Key != "":
		return d.runKeyed(ctx, r, sink)
	default:
		return d.runWithRetries(ctx, r, sink)
	}
}

// runStream runs a long-lived stream on the local upstream. The stream uses a connection but no slot.
// If this sidecar takes no new work or its upstream did not run the stream, siblings are tried.
func (d *Dispatcher) runStream(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	var outcome work.Outcome
	if err := d.refusal(); err != nil {
		outcome = d.notRunOutcome(ctx, r, err)
	} else {
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
		outcome = d.runStreamAtSibling(ctx, identity, r, sink)
	}
	return outcome
}

// runStreamAtSibling runs a long-lived stream on the upstream of a sibling.
func (d *Dispatcher) runStreamAtSibling(ctx context.Context, identity string, r *work.Request, sink work.ResponseSink) work.Outcome {
	c := d.siblings.client(identity)
	if c == nil {
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	pending, err := c.Offer(ctx, r)
	if err != nil {
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	if err := pending.Wait(ctx, func() {}); err != nil {
		pending.Cancel()
		return work.NotRun(work.ReasonNoUpstream, 0)
	}
	outcome, _ := pending.Run(ctx, r, sink)
	return outcome
}

// runWithRetries acquires a slot for a request and runs it. It retries at another sidecar if the
// request was certainly not run, or if it is idempotent and its outcome is unknown.
func (d *Dispatcher) runWithRetries(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	deadlineCtx := ctx
	if !r.Deadline.IsZero() {
		var cancel context.CancelFunc
		deadlineCtx, cancel = context.WithDeadline(ctx, r.Deadline)
		defer cancel()
	}
	d.countRequest()
	tracker := &responseTracker{ResponseSink: sink}
	exclude := map[string]bool{}
	outcome := work.NotRun(work.ReasonOverload, 0)
	for range maxAttempts {
		s, err := d.acquire(deadlineCtx, r, exclude)
		if err != nil {
			return d.notRunOutcome(deadlineCtx, r, err)
		}
		if r.Route.Class == service.ClassNonIdempotent {
			tracker.Receipt(work.Receipt{Identity: s.holder, RequestID: r.ID})
		}
		outcome = d.runInSlot(ctx, s, r, tracker)
		if !d.mayRetry(deadlineCtx, r, tracker, outcome) || !d.takeRetry() {
			return outcome
		}
		exclude[s.identity] = true
	}
	return outcome
}

// outcomeGrace is how long after its deadline a non-idempotent request may continue to run, so that
// its outcome can still be recorded.
const outcomeGrace = 500 * time.Millisecond

// runInSlot runs a request in a granted slot. A non-idempotent request with a deadline is not
// canceled when its caller disconnects, so that its outcome can answer the caller's repeat.
func (*Dispatcher) runInSlot(ctx context.Context, s *slot, r *work.Request, sink work.ResponseSink) work.Outcome {
	if r.Route.Class != service.ClassNonIdempotent || r.Deadline.IsZero() {
		return s.run(ctx, r, sink)
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), r.Deadline.Add(outcomeGrace))
	defer cancel()
	return s.run(ctx, r, sink)
}

// countRequest adds a first attempt to the retry budget.
func (d *Dispatcher) countRequest() {
	d.retryMu.Lock()
	defer d.retryMu.Unlock()
	d.retries.RecordRequest(time.Now())
}

// takeRetry takes one retry from the retry budget, and reports whether there was one.
func (d *Dispatcher) takeRetry() bool {
	d.retryMu.Lock()
	defer d.retryMu.Unlock()
	return d.retries.Take(time.Now())
}

// mayRetry reports whether a request with outcome o may be run again: its deadline has not passed,
// no response has begun, the ledger does not forbid it (ReasonMarked), and the request was not run,
// or it is idempotent and its outcome is unknown.
func (*Dispatcher) mayRetry(ctx context.Context, r *work.Request, tracker *responseTracker, o work.Outcome) bool {
	if ctx.Err() != nil || tracker.started || o.Reason == work.ReasonMarked {
		return false
	}
	if o.Verdict == work.VerdictNotRun {
		return true
	}
	return o.Verdict == work.VerdictUnknown && r.Route.Class == service.ClassIdempotent
}

// notRunOutcome translates an error of acquire into the outcome for the caller.
func (d *Dispatcher) notRunOutcome(ctx context.Context, r *work.Request, err error) work.Outcome {
	retryAfter := d.slots.EstimateWait(d.queueEntry(r))
	switch {
	case errors.Is(err, work.ErrDeadline), ctx.Err() != nil:
		return work.NotRun(work.ReasonDeadline, retryAfter)
	case errors.Is(err, work.ErrLeaving):
		return work.NotRun(work.ReasonLeaving, 0)
	case errors.Is(err, work.ErrEvacuated):
		return work.NotRun(work.ReasonEvacuated, evacuatedRetryAfter)
	default:
		return work.NotRun(work.ReasonOverload, retryAfter)
	}
}

// queueEntry returns the entry of a request for the queue of the local slots.
func (*Dispatcher) queueEntry(r *work.Request) work.QueueEntry {
	return work.QueueEntry{
		ID:       r.ID,
		Route:    r.RouteName(),
		Long:     r.Route.Long,
		Priority: r.Route.Priority,
		Deadline: r.Deadline,
	}
}

// responseTracker records whether a response has started. After that the request must not be
// retried, since part of the response was already passed on.
type responseTracker struct {
	work.ResponseSink
	started bool
}

// Head implements work.ResponseSink.
func (t *responseTracker) Head(h work.ResponseHead) error {
	t.started = true
	return t.ResponseSink.Head(h)
}

// recoverOutcome determines the outcome of a request after the session to its sibling was lost. If
// the sibling has not started the request, the fetch also prevents it from starting later; if the
// sibling has recorded a response, that is passed to sink.
func (d *Dispatcher) recoverOutcome(ctx context.Context, c *sibling.Client, r *work.Request, sink work.ResponseSink) work.Outcome {
	if r.Route.Class != service.ClassNonIdempotent {
		return work.Unknown(work.ReasonAnswerLost)
	}
	for ctx.Err() == nil {
		state, response, err := c.Fetch(ctx, r.ID, true)
		if err != nil {
			if !sleep(ctx, fetchRetryDelay) {
				break
			}
			continue
		}
		return outcomeOf(state, response, sink)
	}
	return work.Unknown(work.ReasonAnswerLost)
}

// fetchRetryDelay is the time between attempts to fetch the outcome of a request.
const fetchRetryDelay = 100 * time.Millisecond

// sleep waits for d, and reports false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// outcomeOf translates the recorded state of a request into an outcome, and passes the recorded
// response to sink.
func outcomeOf(state work.State, response *work.Response, sink work.ResponseSink) work.Outcome {
	switch {
	case state == work.StateNotRun:
		return work.NotRun(work.ReasonShed, 0)
	case state == work.StateAnswered && response != nil:
		if err := sink.Head(response.Head); err != nil {
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
		}
		if err := sink.Chunk(response.Body); err != nil {
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
		}
		return work.Outcome{Verdict: work.VerdictAnswered}
	default:
		return work.Unknown(work.ReasonAnswerLost)
	}
}
