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
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
	"greengagedyke/work"
)

const (
	// DeadlineHeader tells the upstream how many milliseconds a request has left.
	DeadlineHeader = "Request-Deadline-Ms"
	// NotRunHeader is set by an upstream that refuses a request without running it.
	NotRunHeader = "Request-Not-Run"
	// KeyHeader carries the idempotency key.
	KeyHeader = "Idempotency-Key"

	// answerGrace is how long after the deadline an answer may still arrive: one that
	// has begun is not cut for being a little late.
	answerGrace = 250 * time.Millisecond

	dialTimeout    = 500 * time.Millisecond
	chunkSize      = 16 << 10
	maxIdleConns   = 64
	idleConnExpiry = 10 * time.Second
)

// Client runs requests on one upstream and keeps the ledger of what it ran.
type Client struct {
	addr   netip.AddrPort
	reuse  *http.Transport
	single *http.Transport
	slots  *Slots

	mu     sync.Mutex
	ledger *work.Ledger
	health work.Health
}

// New returns a client of the upstream at addr, and its clean-up function.
func New(addr netip.AddrPort, slots *Slots) (*Client, func()) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	c := &Client{
		addr:  addr,
		slots: slots,
		reuse: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConnsPerHost: maxIdleConns,
			IdleConnTimeout:     idleConnExpiry,
			DisableCompression:  true,
		},
		// A reused connection may be closed by the upstream just when a request is
		// written to it, and then nobody knows whether the request ran.
		single: &http.Transport{
			DialContext:        dialer.DialContext,
			DisableKeepAlives:  true,
			DisableCompression: true,
		},
		ledger: work.NewLedger(),
	}
	return c, c.reuse.CloseIdleConnections
}

// Run runs a request whose slot has been started, and streams the answer into sink.
// The slot is free again as soon as the upstream is done.
func (c *Client) Run(ctx context.Context, r *work.Request, sink work.ResponseSink) work.Outcome {
	defer c.slots.Release(r.SlotID)
	ctx, cancel := c.runContext(ctx, r)
	defer cancel()
	kept := &responseRecorder{ResponseRecorder: work.ResponseRecorder{ResponseSink: sink}, keep: r.Route.Class == service.ClassNonIdempotent}
	if !kept.keep {
		return c.roundTrip(ctx, r, kept)
	}
	if err := c.begin(r); err != nil {
		return work.NotRun(refusal(err), 0)
	}
	outcome := c.roundTrip(ctx, r, kept)
	c.end(r.ID, outcome, kept)
	return outcome
}

func refusal(err error) string {
	if errors.Is(err, work.ErrLedgerFull) {
		return work.ReasonOverload
	}
	return work.ReasonMarked
}

// A non-idempotent request that has started runs on when its caller goes away,
// so that a repeat finds the answer.
func (*Client) runContext(ctx context.Context, r *work.Request) (context.Context, context.CancelFunc) {
	if r.Route.Class == service.ClassNonIdempotent {
		ctx = context.WithoutCancel(ctx)
	}
	if r.Deadline.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, r.Deadline.Add(answerGrace))
}

// begin notes in the ledger that a non-idempotent request runs.
func (c *Client) begin(r *work.Request) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ledger.Begin(time.Now(), r.Key, r.ID)
}

func (c *Client) end(id string, o work.Outcome, kept *responseRecorder) {
	c.mu.Lock()
	defer c.mu.Unlock()
	state := work.StateUnknown
	var answer *work.Response
	switch o.Verdict {
	case work.VerdictAnswered:
		state = work.StateAnswered
		answer = kept.Recorded()
	case work.VerdictNotRun:
		state = work.StateNotRun
	}
	c.ledger.End(time.Now(), id, state, answer)
}

func (c *Client) roundTrip(ctx context.Context, r *work.Request, sink *responseRecorder) work.Outcome {
	request, err := c.request(ctx, r)
	if err != nil {
		return work.NotRun(work.ReasonUpstreamFailed, 0)
	}
	transport := c.reuse
	if r.Route.Class != service.ClassIdempotent {
		transport = c.single
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return c.failed(ctx, err)
	}
	defer response.Body.Close()
	c.observe(true)
	if response.Header.Get(NotRunHeader) == "?1" {
		c.slots.ReduceLimit()
		return work.NotRun(work.ReasonShed, retryAfter(response))
	}
	return c.copyAnswer(ctx, r, response, sink)
}

func retryAfter(response *http.Response) time.Duration {
	n, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || n < 0 {
		return 0
	}
	return time.Duration(n) * time.Second
}

func (c *Client) failed(ctx context.Context, err error) work.Outcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		c.observe(false)
		return work.NotRun(work.ReasonUpstreamFailed, 0)
	}
	if ctx.Err() != nil {
		return work.Unknown(work.ReasonDeadline)
	}
	c.observe(false)
	return work.Unknown(work.ReasonUpstreamFailed)
}

func (c *Client) request(ctx context.Context, r *work.Request) (*http.Request, error) {
	// The body hides its type so that the transport cannot replay it.
	body := io.NopCloser(io.Reader(bytes.NewReader(r.Body)))
	url := "http://" + c.addr.String() + r.Target
	request, err := http.NewRequestWithContext(ctx, r.Method, url, body)
	if err != nil {
		return nil, errors.Wrap(err, "upstream.Client.request")
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
		left := max(0, time.Until(r.Deadline).Milliseconds())
		request.Header.Set(DeadlineHeader, strconv.FormatInt(left, 10))
	}
	return request, nil
}

func (c *Client) copyAnswer(ctx context.Context, r *work.Request, response *http.Response, sink *responseRecorder) work.Outcome {
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
		return c.copySmall(ctx, r, response, head, sink)
	}
	return c.copyLarge(ctx, r, response, head, sink)
}

// copySmall reads the whole answer first, so that the upstream's slot does not
// wait for the caller.
func (c *Client) copySmall(ctx context.Context, r *work.Request, response *http.Response, head work.ResponseHead, sink *responseRecorder) work.Outcome {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return c.cut(ctx)
	}
	c.slots.Finish(r.SlotID)
	sink.RecordHead(head)
	sink.Record(body)
	if err := sink.ResponseSink.Head(head); err != nil {
		return sink.undelivered()
	}
	if err := sink.ResponseSink.Chunk(body); err != nil {
		return sink.undelivered()
	}
	return work.Outcome{Verdict: work.VerdictAnswered}
}

func (c *Client) copyLarge(ctx context.Context, r *work.Request, response *http.Response, head work.ResponseHead, sink *responseRecorder) work.Outcome {
	sink.RecordHead(head)
	sinkErr := sink.ResponseSink.Head(head)
	buf := make([]byte, chunkSize)
	for {
		n, err := response.Body.Read(buf)
		if sink.keep {
			sink.Record(buf[:n])
		}
		if n > 0 && sinkErr == nil {
			sinkErr = sink.ResponseSink.Chunk(buf[:n])
		}
		switch {
		case err == io.EOF && sinkErr != nil:
			c.slots.Finish(r.SlotID)
			return sink.undelivered()
		case err == io.EOF:
			c.slots.Finish(r.SlotID)
			return work.Outcome{Verdict: work.VerdictAnswered}
		case err != nil:
			return c.cut(ctx)
		case sinkErr != nil && !sink.keep:
			return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
		}
	}
}

func (c *Client) cut(ctx context.Context) work.Outcome {
	if ctx.Err() != nil {
		return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonDeadline}
	}
	c.observe(false)
	return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonUpstreamFailed}
}

// Header fields that concern one connection only.
var hopByHop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

func (c *Client) observe(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.RecordRequest(time.Now(), ok)
}

// responseRecorder keeps the answers of non-idempotent requests for repeats.
type responseRecorder struct {
	work.ResponseRecorder
	keep bool
}

// undelivered is the outcome of a whole answer that the sink refused: one that is
// kept can still be fetched.
func (k *responseRecorder) undelivered() work.Outcome {
	if k.keep && k.Recorded() != nil {
		return work.Outcome{Verdict: work.VerdictAnswered}
	}
	return work.Outcome{Verdict: work.VerdictTruncated, Reason: work.ReasonCanceled}
}
