package upstream

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
	"greengagedyke/work"
)

const (
	// DeadlineHeader carries the milliseconds left until the request's deadline.
	DeadlineHeader = "Request-Deadline-Ms"
	// NotRunHeader is set to ?1 by an upstream that refuses a request without running it.
	NotRunHeader = "Request-Not-Run"
	// KeyHeader carries the caller's idempotency key.
	KeyHeader = "Idempotency-Key"

	// responseGrace is how long after the deadline the response may still arrive, so that one that
	// is slightly late is not truncated.
	responseGrace = 250 * time.Millisecond

	// dialTimeout bounds the setup of a connection to the upstream.
	dialTimeout = 500 * time.Millisecond
	// chunkSize is the size in bytes of the read buffer, and of the largest response body that is
	// read whole before it is passed on.
	chunkSize      = 16 << 10
	maxIdleConns   = 64
	idleConnExpiry = 10 * time.Second
)

// Client runs requests on the local upstream and records the outcome of non-idempotent ones. It is
// safe for concurrent use.
type Client struct {
	addr      netip.AddrPort
	pooled    *http.Transport // reuses connections, for idempotent requests and health checks
	singleUse *http.Transport // opens a connection for each request
	slots     *Slots
	// running is the number of requests and streams that run.
	running atomic.Int64

	mu     sync.Mutex
	ledger *work.Ledger
	health work.Health
}

// New returns a client of the upstream at addr, and a function that closes its idle connections.
func New(addr netip.AddrPort, slots *Slots) (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{
		addr:  addr,
		slots: slots,
		pooled: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnExpiry,
			DisableCompression:  true,
		},
		// The upstream may close a reused connection just when a request is written to it; it is
		// then unknown whether the request ran.
		singleUse: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		ledger: work.NewLedger(),
	}
	return c, c.pooled.CloseIdleConnections
}

// Run runs a request and streams the response into sink. Unless the route's class is flow, the
// request's slot must have been started; it is freed as soon as the upstream is done.
func (c *Client) Run(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	c.running.Add(1)
	defer c.running.Add(-1)
	defer c.slots.Release(r.SlotID)
	ctx, cancel := c.runContext(ctx, r)
	defer cancel()
	rec := &responseRecorder{ResponseRecorder: work.ResponseRecorder{ResponseSink: sink}, retain: r.Route.Class == service.ClassNonIdempotent}
	if !rec.retain {
		return c.roundTrip(ctx, r, rec)
	}
	if err := c.recordBegin(r); err != nil {
		return work.NotRun(notRunReason(err), 0)
	}
	outcome := c.roundTrip(ctx, r, rec)
	c.recordEnd(r.ID, outcome, rec)
	return outcome
}

// Running returns the number of requests and streams that run on the upstream, those of siblings
// included.
func (c *Client) Running() int64 { return c.running.Load() }

// notRunReason returns the reason for which the ledger refused a request.
func notRunReason(err error) string {
	if errors.Is(err, work.ErrLedgerFull) {
		return work.ReasonOverload
	}
	return work.ReasonMarked
}

// runContext returns the context of a request that has started. A non-idempotent request goes on
// after its caller has disconnected, so that a repeat gets its response.
func (*Client) runContext(ctx context.Context, r *work.Request) (context.Context, context.CancelFunc) {
	if r.Route.Class == service.ClassNonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	if r.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, r.Deadline.Add(responseGrace))
}

// recordBegin records in the ledger that a non-idempotent request is about to run.
func (c *Client) recordBegin(r *work.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Begin(time.Now(), r.Key, r.ID)
}

// recordEnd records the outcome of a non-idempotent request in the ledger.
func (c *Client) recordEnd(id string, o work.Outcome, rec *responseRecorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := work.StateUnknown
	var response *work.Response
	switch o.Verdict {
	case work.VerdictAnswered:
		state = work.StateAnswered
		response = rec.Recorded()
	case work.VerdictNotRun:
		state = work.StateNotRun
	}
	c.ledger.End(time.Now(), id, state, response)
}

// roundTrip sends a request to the upstream and passes the response to rec.
func (c *Client) roundTrip(ctx context.Context, r *work.Request, rec *responseRecorder) work.Outcome {
	request, err := c.newRequest(ctx, r)
	if err != nil {
		return work.NotRun(work.ReasonUpstreamFailed, 0)
	}
	transport := c.pooled
	if r.Route.Class != service.ClassIdempotent {
		transport = c.singleUse
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return c.failureOutcome(ctx, err)
	}
	defer response.Body.Close()
	c.recordResult(true)
	if response.Header.Get(NotRunHeader) == "?1" {
		c.slots.ReduceLimit()
		return work.NotRun(work.ReasonShed, retryAfter(response))
	}
	return c.copyResponse(ctx, r, response, rec)
}

// retryAfter returns the seconds in the Retry-After field, zero if it is missing or a date.
func retryAfter(response *http.Response) time.Duration {
	n, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

// failureOutcome returns the outcome of a request to which no response arrived. If no connection
// could be opened, the request was not run; otherwise its outcome is unknown.
func (c *Client) failureOutcome(ctx context.Context, err error) work.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.recordResult(false)
		return work.NotRun(work.ReasonUpstreamFailed, 0)
	}
	if ctx.Err() != nil {
		return work.Unknown(work.ReasonDeadline)
	}
	c.recordResult(false)
	return work.Unknown(work.ReasonUpstreamFailed)
}

// newRequest returns the HTTP request to the upstream, which http.Transport does not replay if the
// request is non-idempotent.
func (c *Client) newRequest(ctx context.Context, r *work.Request) (*http.Request, error) {
	// http.Transport may replay a request whose body it can read again. NopCloser hides the type of
	// the reader, which leaves GetBody nil. A non-idempotent request without a body gets an empty
	// one of unknown length, since http.NoBody could be replayed.
	body := io.NopCloser(io.Reader(bytes.NewReader(r.Body)))
	url := "http://" + c.addr.String() + r.Target
	request, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "upstream.Client.newRequest")
	}
	request.ContentLength = int64(len(r.Body))
	if len(r.Body) == 0 {
		request.Body = http.NoBody
		if r.Route.Class == service.ClassNonIdempotent {
			request.Body = io.NopCloser(bytes.NewReader(nil))
			request.ContentLength = -1
		}
	}
	for _, f := range r.Fields {
		request.Header.Add(f.Name, f.Value)
	}
	if r.Key != "" {
		request.Header.Set(KeyHeader, r.Key)
	}
	if !r.Deadline.IsZero() {
		remaining := max(0, time.Until(r.Deadline).Milliseconds())
		request.Header.Set(DeadlineHeader, strconv.FormatInt(remaining, 10))
	}
	return request, nil
}

// copyResponse passes the response on to rec without its hop-by-hop header fields.
func (c *Client) copyResponse(ctx context.Context, r *work.Request, response *http.Response, rec *responseRecorder) work.Outcome {
	head := work.ResponseHead{Status: response.StatusCode}
	for name, values := range response.Header {
		for _, v := range values {
			if !hopByHop[name] {
				head.Fields = append(head.Fields, work.HeaderField{Name: name, Value: v})
			}
		}
	}
	if response.ContentLength >= 0 && response.Header.Get("Content-Length") == "" {
		head.Fields = append(head.Fields, work.HeaderField{Name: "Content-Length", Value: strconv.FormatInt(response.ContentLength, 10)})
	}
	if response.ContentLength >= 0 && response.ContentLength <= chunkSize {
		return c.copySmall(ctx, r, response, head, rec)
	}
	return c.copyLarge(ctx, r, response, head, rec)
}

// copySmall reads the whole body before it passes any of it on, so that a slow caller does not
// occupy a slot.
func (c *Client) copySmall(ctx context.Context, r *work.Request, response *http.Response, head work.ResponseHead, rec *responseRecorder) work.Outcome {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return c.truncatedOutcome(ctx)
	}
	c.slots.Finish(r.SlotID)
	rec.RecordHead(head)
	rec.Record(body)
	if err := rec.ResponseSink.Head(head); err != nil {
		return rec.undelivered()
	}
	if err := rec.ResponseSink.Chunk(body); err != nil {
		return rec.undelivered()
	}
	return work.Outcome{Verdict: work.VerdictAnswered}
}

// copyLarge passes the body on while it arrives. If rec retains the response, it reads to the end
// even after the caller has disconnected.
func (c *Client) copyLarge(ctx context.Context, r *work.Request, response *http.Response, head work.ResponseHead, rec *responseRecorder) work.Outcome {
	rec.RecordHead(head)
	sinkErr := rec.ResponseSink.Head(head)
	buf := make([]byte, chunkSize)
	for {
		n, err := response.Body.Read(buf)
		if rec.retain {
			rec.Record(buf[:n])
		}
		if n > 0 && sinkErr == nil {
			sinkErr = rec.ResponseSink.Chunk(buf[:n])
		}
		switch {
		case err == io.EOF && sinkErr != nil:
			c.slots.Finish(r.SlotID)
			return rec.undelivered()
		case err == io.EOF:
			c.slots.Finish(r.SlotID)
			return work.Outcome{Verdict: work.VerdictAnswered}
		case err != nil:
			return c.truncatedOutcome(ctx)
		case sinkErr != nil && !rec.retain:
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
		}
	}
}

// truncatedOutcome returns the outcome of a request whose response body could not be read to its end.
func (c *Client) truncatedOutcome(ctx context.Context) work.Outcome {
	if ctx.Err() != nil {
		return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonDeadline}
	}
	c.recordResult(false)
	return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonUpstreamFailed}
}

// hopByHop lists the header fields that apply to one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// recordResult records for the upstream's health whether a request succeeded.
func (c *Client) recordResult(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.RecordRequest(time.Now(), ok)
}

// responseRecorder passes a response on and, with retain set, records it for repeats. retain is set
// for non-idempotent requests.
type responseRecorder struct {
	work.ResponseRecorder
	retain bool
}

// undelivered returns the outcome of a complete response that could not be passed on. If it is
// recorded, the request counts as answered, since a repeat can fetch it.
func (rec *responseRecorder) undelivered() work.Outcome {
	if rec.retain && rec.Recorded() != nil {
		return work.Outcome{Verdict: work.VerdictAnswered}
	}
	return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
}
