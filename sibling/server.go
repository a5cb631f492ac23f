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

// grantLease is how long a granted slot is reserved until the sibling starts the request.
const grantLease = 250 * time.Millisecond

// defaultTimeout is the time limit of requests without a deadline, flows excepted.
const defaultTimeout = 10 * time.Second

// Slots grants the slots of the local upstream.
type Slots interface {
	NextID() string
	Enqueue(e work.QueueEntry) (<-chan error, error)
	Start(id string) error
	Cancel(id string)
	Load() work.Load
	// Evacuated reports whether the failure domain is evacuated, also if the sidecar is leaving.
	Evacuated() bool
}

// Upstream runs requests on the local upstream and stores key records.
type Upstream interface {
	Run(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome
	Unclaim(key, id string)
	Import(r work.KeyRecord, holder string) error
}

// RequestTracker records the requests that callers sent to this sidecar or that ran on its upstream,
// the claims of keys and the loads of siblings.
type RequestTracker interface {
	// Fetch is as Client.Fetch.
	Fetch(ctx context.Context, id string, mark bool) (work.State, *work.Response)
	// Claim is as upstream.Client.Claim.
	Claim(key string, wanted work.KeyClaim, replaces string) (work.KeyClaim, work.State, bool)
	// Report records the load of a sibling.
	Report(identity string, l work.Load)
}

// TimelineSource answers timeline queries; filter and result are JSON.
type TimelineSource interface {
	QueryJSON(filter []byte) ([]byte, error)
}

// Server answers the calls of siblings.
type Server struct {
	log      *slog.Logger
	identity string
	// holderName names this process in claims, as IDENTITY@INCARNATION.
	holderName  string
	target      Target
	slots       Slots
	upstream    Upstream
	tracker     RequestTracker
	events      TimelineSource
	wrongTarget metrics.Counter
	// evacuated counts the offers and starts that were refused because of an evacuation.
	evacuated metrics.Counter
	// running is the number of siblings' requests and streams that run on the local upstream.
	running metrics.Counter
}

// NewServer returns the server of the sidecar identity. It refuses offers meant for another target.
func NewServer(log *slog.Logger, identity, holderName string, target Target, slots Slots, upstream Upstream, tracker RequestTracker, events TimelineSource, r metrics.Registry) *Server {
	return &Server{
		log:         log,
		identity:    identity,
		holderName:  holderName,
		target:      target,
		slots:       slots,
		upstream:    upstream,
		tracker:     tracker,
		events:      events,
		wrongTarget: metrics.NewRegisteredCounter("sibling.refused.wrong-target", r),
		evacuated:   metrics.NewRegisteredCounter("sibling.refused.evacuated", r),
		running:     metrics.NewRegisteredCounter("sibling.running", r),
	}
}

// Handle serves one call; it is a session.Handler.
func (srv *Server) Handle(ctx context.Context, s *session.Stream) {
	var c Call
	if err := s.Receive(ctx, &c); err != nil {
		return
	}
	switch {
	case c.Offer != nil:
		srv.offer(ctx, s, c.Offer)
	case c.Fetch != nil:
		srv.fetch(ctx, s, c.Fetch)
	case c.Claim != nil:
		srv.claim(s, c.Claim)
	case c.Unclaim != nil:
		srv.upstream.Unclaim(c.Unclaim.Key, c.Unclaim.RequestId)
		srv.sendAnswer(s, &ClaimAnswer{})
	case c.Handover != nil:
		srv.handover(s, c.Handover)
	case len(c.Timeline) > 0:
		srv.timeline(s, c.Timeline)
	case c.Load != nil:
		srv.tracker.Report(c.Load.Identity, decodeLoad(c.Load))
		srv.sendAnswer(s, encodeLoad(srv.identity, srv.slots.Load()))
	}
}

// sendAnswer sends a message. A failure is only logged: the call or its session has then ended, which
// the sibling notices as well.
func (srv *Server) sendAnswer(s *session.Stream, m proto.Message) {
	if err := s.Send(m); err != nil {
		srv.log.Debug("sibling-answer-lost", "error", err.Error())
	}
}

// refuse reports that a request was not run.
func (srv *Server) refuse(s *session.Stream, reason string, retryAfter time.Duration) {
	if reason == work.ReasonEvacuated {
		srv.evacuated.Inc(1)
	}
	srv.sendAnswer(s, &Event{
		NotRun: &NotRun{Reason: reason, RetryAfterMs: uint32(retryAfter.Milliseconds())},
		Load:   encodeLoad(srv.identity, srv.slots.Load()),
	})
}

// newRequest returns the request described by an offer, still without header fields and body.
func (srv *Server) newRequest(o *Offer) *work.Request {
	remaining := time.Duration(o.RemainingMs) * time.Millisecond
	class := service.Class(o.Class)
	if remaining == 0 && class != service.ClassFlow {
		remaining = defaultTimeout
	}
	r := &work.Request{
		ID:     o.RequestId,
		Key:    o.Key,
		Method: o.Method,
		Target: o.Target,
		Route:  service.Route{Class: class, Long: o.Long, Priority: int(o.Priority)},
	}
	if remaining > 0 {
		r.Deadline = time.Now().Add(remaining)
	}
	return r
}

// offer serves an offer: it waits for a slot, grants it and runs the request once the sibling starts
// it. It refuses an offer for another service or incarnation, since this process may have been given
// the address of an earlier one.
func (srv *Server) offer(ctx context.Context, s *session.Stream, o *Offer) {
	if o.ServiceTag != srv.target.ServiceTag || o.Incarnation != srv.target.Incarnation {
		srv.wrongTarget.Inc(1)
		srv.refuse(s, work.ReasonNoUpstream, 0)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := srv.newRequest(o)
	started := make(chan *Start, 1)
	go receiveStart(ctx, cancel, s, started)
	if r.Route.Class == service.ClassFlow {
		if srv.slots.Evacuated() {
			srv.refuse(s, work.ReasonEvacuated, 0)
			return
		}
		srv.sendAnswer(s, &Event{Grant: &Grant{}})
		srv.runGranted(ctx, s, r, started, nil)
		return
	}
	r.SlotID = srv.slots.NextID()
	e := work.QueueEntry{ID: r.SlotID, Route: o.Route, Long: o.Long, Priority: int(o.Priority), Deadline: r.Deadline, Lease: grantLease}
	granted, err := srv.slots.Enqueue(e)
	if err != nil {
		srv.refuse(s, refusalReason(err), 0)
		return
	}
	defer srv.slots.Cancel(r.SlotID)
	err = srv.awaitGrant(ctx, s, granted)
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		srv.refuse(s, refusalReason(err), 0)
		return
	}
	srv.sendAnswer(s, &Event{Grant: &Grant{LeaseMs: uint32(grantLease.Milliseconds())}, Load: encodeLoad(srv.identity, srv.slots.Load())})
	srv.runGranted(ctx, s, r, started, srv.slots)
}

// awaitGrant waits for a slot. If none is free, it sends the load at once, so that the sibling can
// try another sidecar.
func (srv *Server) awaitGrant(ctx context.Context, s *session.Stream, granted <-chan error) error {
	select {
	case err := <-granted:
		return err
	default:
	}
	srv.sendAnswer(s, &Event{Load: encodeLoad(srv.identity, srv.slots.Load())})
	select {
	case err := <-granted:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// receiveStart sends the start message of an offer to started, and calls cancel when the sibling
// closes the stream.
func receiveStart(ctx context.Context, cancel func(), s *session.Stream, started chan<- *Start) {
	defer cancel()
	var start Start
	if err := s.Receive(ctx, &start); err != nil {
		return
	}
	started <- &start
	var none Start
	// The sibling sends nothing else, so Receive returns when the stream ends.
	_ = s.Receive(ctx, &none)
}

// runGranted waits for the start of a granted offer and runs the request. slots is nil for a flow,
// which needs no slot. If the failure domain was evacuated since the grant, the start is refused.
func (srv *Server) runGranted(ctx context.Context, s *session.Stream, r *work.Request, started <-chan *Start, slots Slots) {
	select {
	case start := <-started:
		r.Fields = decodeFields(start.Headers)
		r.Body = start.Body
	case <-ctx.Done():
		return
	}
	if err := srv.start(r, slots); err != nil {
		srv.refuse(s, refusalReason(err), 0)
		return
	}
	sink := &streamSink{stream: s}
	srv.running.Inc(1)
	outcome := srv.upstream.Run(ctx, r, sink)
	srv.running.Dec(1)
	srv.sendOutcome(s, outcome)
}

// start confirms the grant of a request. slots is nil for a flow.
func (srv *Server) start(r *work.Request, slots Slots) error {
	if slots != nil {
		return slots.Start(r.SlotID)
	}
	if srv.slots.Evacuated() {
		return work.ErrEvacuated
	}
	return nil
}

// sendOutcome reports the outcome of a request that was started.
func (srv *Server) sendOutcome(s *session.Stream, o work.Outcome) {
	switch o.Verdict {
	case work.VerdictAnswered:
		srv.sendAnswer(s, &Event{End: true, Load: encodeLoad(srv.identity, srv.slots.Load())})
	case work.VerdictNotRun:
		srv.refuse(s, o.Reason, o.RetryAfter)
	default:
		srv.sendAnswer(s, &Event{Unknown: o.Reason, Load: encodeLoad(srv.identity, srv.slots.Load())})
	}
}

// fetch answers with the state and the recorded response of a request; see Client.Fetch. A call for
// another incarnation gets work.StateUnknown.
func (srv *Server) fetch(ctx context.Context, s *session.Stream, f *Fetch) {
	if f.Incarnation != srv.target.Incarnation {
		srv.sendAnswer(s, &FetchAnswer{State: work.StateUnknown.String()})
		return
	}
	state, response := srv.tracker.Fetch(ctx, f.RequestId, f.Mark)
	a := &FetchAnswer{State: state.String()}
	if response != nil {
		a.Head = encodeHead(response.Head)
		a.Body = response.Body
	}
	srv.sendAnswer(s, a)
}

// claim claims a key and answers with the claim in force; see Client.Claim.
func (srv *Server) claim(s *session.Stream, c *Claim) {
	inForce, state, _ := srv.tracker.Claim(c.Key, work.KeyClaim{RequestID: c.RequestId, Holder: c.Holder}, c.Over)
	srv.sendAnswer(s, &ClaimAnswer{RequestId: inForce.RequestID, Holder: inForce.Holder, State: state.String()})
}

// timeline answers with the events of this process that match a filter in JSON.
func (srv *Server) timeline(s *session.Stream, filter []byte) {
	events, err := srv.events.QueryJSON(filter)
	if err != nil {
		srv.log.Warn("timeline-filter-refused", "error", err.Error())
		return
	}
	srv.sendAnswer(s, &TimelineAnswer{Events: events})
}

// handover imports key records, and answers whether all could be imported.
func (srv *Server) handover(s *session.Stream, h *Handover) {
	taken := true
	for _, m := range h.Kept {
		k := work.KeyRecord{Key: m.Key, RequestID: m.RequestId, State: work.ParseState(m.State)}
		if m.Head != nil {
			k.Response = &work.Response{Head: decodeHead(m.Head), Body: m.Body}
		}
		if err := srv.upstream.Import(k, srv.holderName); err != nil {
			taken = false
		}
	}
	srv.sendAnswer(s, &HandoverAnswer{Taken: taken})
}

// refusalReason returns the reason for which the scheduler refused an entry or its start.
func refusalReason(err error) string {
	switch {
	case errors.Is(err, work.ErrDeadline):
		return work.ReasonDeadline
	case errors.Is(err, work.ErrLeaving):
		return work.ReasonLeaving
	case errors.Is(err, work.ErrEvacuated):
		return work.ReasonEvacuated
	case errors.Is(err, work.ErrLeaseLapsed):
		return work.ReasonLeaseLapsed
	default:
		return work.ReasonOverload
	}
}

// streamSink sends a response to the sibling while it arrives.
type streamSink struct {
	stream *session.Stream
}

// Receipt implements work.ResponseSink. The sidecar that made the offer has sent the receipt.
func (*streamSink) Receipt(work.Receipt) {}

// Head implements work.ResponseSink.
func (sink *streamSink) Head(h work.ResponseHead) error {
	return sink.stream.Send(&Event{Head: encodeHead(h)})
}

// Chunk implements work.ResponseSink.
func (sink *streamSink) Chunk(p []byte) error {
	return sink.stream.Send(&Event{Chunk: p})
}
