package sibling

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"greengagedyke/service"
	"greengagedyke/session"
	"greengagedyke/work"
)

// lease is how long a granted slot waits for its request.
const lease = 250 * time.Millisecond

// defaultRemaining bounds requests that state no deadline.
const defaultRemaining = 10 * time.Second

// Slots hands out the slots of the local upstream.
type Slots interface {
	NextID() string
	Enqueue(e work.QueueEntry) (<-chan error, error)
	Start(id string) error
	Cancel(id string)
	Load() work.Load
}

// Upstream runs requests and knows what became of them.
type Upstream interface {
	Run(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome
	Unclaim(key, id string)
	Import(k work.KeyRecord, holder string) error
}

// RequestTracker answers for requests that this sidecar holds or has run.
type RequestTracker interface {
	Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response)
	Claim(key string, h work.KeyClaim, over string) (work.KeyClaim, work.State, bool)
	Report(identity string, l work.Load)
}

// Events answers questions about the time line.
type Events interface {
	QueryJSON(filter []byte) ([]byte, error)
}

// Server answers siblings.
type Server struct {
	log      *slog.Logger
	identity string
	// holderName is how claims name this incarnation.
	holderName string
	target     Target
	slots      Slots
	upstream   Upstream
	holder     RequestTracker
	events     Events
	foreign    metrics.Counter
}

// NewServer returns a server for the sidecar that target describes.
func NewServer(log *slog.Logger, identity, holderName string, target Target, slots Slots, upstream Upstream, holder RequestTracker, events Events, r metrics.Registry) *Server {
	return &Server{
		log:        log,
		identity:   identity,
		holderName: holderName,
		target:     target,
		slots:      slots,
		upstream:   upstream,
		holder:     holder,
		events:     events,
		foreign:    metrics.NewRegisteredCounter("sibling.refused.wrong-target", r),
	}
}

// Handle serves one call; it is a session.Handler.
func (v *Server) Handle(ctx context.Context, s *session.Stream) {
	var c Call
	if err := s.Receive(ctx, &c); err != nil {
		return
	}
	switch {
	case c.Offer != nil:
		v.offer(ctx, s, c.Offer)
	case c.Fetch != nil:
		v.fetch(ctx, s, c.Fetch)
	case c.Claim != nil:
		v.claim(s, c.Claim)
	case c.Unclaim != nil:
		v.upstream.Unclaim(c.Unclaim.Key, c.Unclaim.RequestId)
		v.answer(s, &ClaimAnswer{})
	case c.Handover != nil:
		v.handover(s, c.Handover)
	case len(c.Timeline) > 0:
		v.timeline(s, c.Timeline)
	case c.Load != nil:
		v.holder.Report(c.Load.Identity, loadFrom(c.Load))
		v.answer(s, loadTo(v.identity, v.slots.Load()))
	}
}

// A sibling that does not get its answer asks again, so a lost one is only logged.
func (v *Server) answer(s *session.Stream, m proto.Message) {
	if err := s.Send(m); err != nil {
		v.log.Debug("sibling-answer-lost", "error", err.Error())
	}
}

func (v *Server) refuse(s *session.Stream, reason string, retryAfter time.Duration) {
	v.answer(s, &Event{
		NotRun: &NotRun{Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds())},
		Load:   loadTo(v.identity, v.slots.Load()),
	})
}

func (v *Server) request(o *Offer) *work.Request {
	left := time.Duration(o.RemainingMs) * time.Millisecond
	class := service.Class(o.Class)
	if left == 0 && class != service.ClassFlow {
		left = defaultRemaining
	}
	r := &work.Request{
		ID:     o.RequestId,
		Key:    o.Key,
		Method: o.Method,
		Target: o.Target,
		Route:  service.Route{Class: class, Long: o.Long, Priority: int(o.Priority)},
	}
	if left > 0 {
		r.Deadline = time.Now().Add(left)
	}
	return r
}

// An address may have been reused: an offer that is meant for another service or
// incarnation is refused, whoever listens here now.
func (v *Server) offer(ctx context.Context, s *session.Stream, o *Offer) {
	if o.ServiceTag != v.target.ServiceTag || o.Incarnation != v.target.Incarnation {
		v.foreign.Inc(1)
		v.refuse(s, work.ReasonNoUpstream, 0)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := v.request(o)
	started := make(chan *Start, 1)
	go receiveStart(ctx, cancel, s, started)
	if r.Route.Class == service.ClassFlow {
		v.answer(s, &Event{Grant: &Grant{}})
		v.run(ctx, s, r, started, nil)
		return
	}
	r.SlotID = v.slots.NextID()
	e := work.QueueEntry{ID: r.SlotID, Route: o.Route, Long: o.Long, Priority: int(o.Priority), Deadline: r.Deadline, Lease: lease}
	granted, err := v.slots.Enqueue(e)
	if err != nil {
		v.refuse(s, reason(err), 0)
		return
	}
	defer v.slots.Cancel(r.SlotID)
	err = v.awaitGrant(ctx, s, granted)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		v.refuse(s, reason(err), 0)
		return
	}
	v.answer(s, &Event{Grant: &Grant{LeaseMs: uint32(lease.Milliseconds())}, Load: loadTo(v.identity, v.slots.Load())})
	v.run(ctx, s, r, started, v.slots)
}

// awaitGrant waits for a slot; a sibling whose request has to wait is told at once,
// so that it can look elsewhere.
func (v *Server) awaitGrant(ctx context.Context, s *session.Stream, granted <-chan error) error {
	select {
	case err := <-granted:
		return err
	default:
	}
	v.answer(s, &Event{Load: loadTo(v.identity, v.slots.Load())})
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receiveStart passes on the start of an offer, and ends its context when the
// sibling goes away.
func receiveStart(ctx context.Context, cancel func(), s *session.Stream, started chan<- *Start) {
	defer cancel()
	var start Start
	if err := s.Receive(ctx, &start); err != nil {
		return
	}
	started <- &start
	var nothing Start
	// The sibling sends nothing more: this returns when the stream ends.
	_ = s.Receive(ctx, &nothing)
}

func (v *Server) run(ctx context.Context, s *session.Stream, r *work.Request, started <-chan *Start, slots Slots) {
	select {
	case start := <-started:
		r.Fields = headersFrom(start.Headers)
		r.Body = start.Body
	case <-ctx.Done():
		return
	}
	if slots != nil {
		if err := slots.Start(r.SlotID); err != nil {
			v.refuse(s, work.ReasonLeaseLapsed, 0)
			return
		}
	}
	sink := &streamSink{stream: s}
	outcome := v.upstream.Run(ctx, r, sink)
	v.finish(s, outcome)
}

func (v *Server) finish(s *session.Stream, o work.Outcome) {
	switch o.Verdict {
	case work.VerdictAnswered:
		v.answer(s, &Event{End: true, Load: loadTo(v.identity, v.slots.Load())})
	case work.VerdictNotRun:
		v.refuse(s, o.Reason, o.RetryAfter)
	default:
		v.answer(s, &Event{Unknown: o.Reason, Load: loadTo(v.identity, v.slots.Load())})
	}
}

func (v *Server) fetch(ctx context.Context, s *session.Stream, f *Fetch) {
	if f.Incarnation != v.target.Incarnation {
		v.answer(s, &FetchAnswer{State: work.StateUnknown.String()})
		return
	}
	state, answer := v.holder.Fetch(ctx, f.RequestId, f.Mark)
	a := &FetchAnswer{State: state.String()}
	if answer != nil {
		a.Head = headTo(answer.Head)
		a.Body = answer.Body
	}
	v.answer(s, a)
}

func (v *Server) claim(s *session.Stream, c *Claim) {
	held, state, _ := v.holder.Claim(c.Key, work.KeyClaim{RequestID: c.RequestId, Holder: c.Holder}, c.Over)
	v.answer(s, &ClaimAnswer{RequestId: held.RequestID, Holder: held.Holder, State: state.String()})
}

func (v *Server) timeline(s *session.Stream, filter []byte) {
	events, err := v.events.QueryJSON(filter)
	if err != nil {
		v.log.Warn("timeline-filter-refused", "error", err.Error())
		return
	}
	v.answer(s, &TimelineAnswer{Events: events})
}

func (v *Server) handover(s *session.Stream, h *Handover) {
	taken := true
	for _, m := range h.Kept {
		k := work.KeyRecord{Key: m.Key, RequestID: m.RequestId, State: work.ParseState(m.State)}
		if m.Head != nil {
			k.Answer = &work.Response{Head: headFrom(m.Head), Body: m.Body}
		}
		if err := v.upstream.Import(k, v.holderName); err != nil {
			taken = false
		}
	}
	v.answer(s, &HandoverAnswer{Taken: taken})
}

func reason(err error) string {
	switch {
	case errors.Is(err, work.ErrDeadline):
		return work.ReasonDeadline
	case errors.Is(err, work.ErrLeaving):
		return work.ReasonLeaving
	default:
		return work.ReasonOverload
	}
}

// streamSink sends an answer to the sibling while it arrives.
type streamSink struct {
	stream *session.Stream
}

// Receipt implements work.ResponseSink. The offering sidecar has sent the receipt.
func (*streamSink) Receipt(work.Receipt) {}

// Head implements work.ResponseSink.
func (k *streamSink) Head(h work.ResponseHead) error {
	return k.stream.Send(&Event{Head: headTo(h)})
}

// Chunk implements work.ResponseSink.
func (k *streamSink) Chunk(p []byte) error {
	return k.stream.Send(&Event{Chunk: p})
}
