package caller

import (
	"crypto/rand"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/service"
	"greengagedyke/work"
)

// Header fields of requests from callers and of responses to them.
const (
	// KeyHeader carries the idempotency key of a non-idempotent request, the same in each repeat.
	KeyHeader = "Idempotency-Key"
	// ReceiptHeader carries a work.Receipt, which names the process that may run the request. The
	// caller gets it in a 103 response and returns it in a repeat, or "none" if it got no receipt.
	ReceiptHeader = "Request-Receipt"
	// DeadlineHeader carries the milliseconds for which the caller waits for the response.
	DeadlineHeader = "Request-Deadline-Ms"
	// OutcomeHeader is set to not-run or unknown in a response that is not the upstream's.
	OutcomeHeader = "Request-Outcome"
)

const (
	statusEarlyHints = http.StatusEarlyHints
	// maxReceipts is the largest number of 103 responses to a request. HTTP clients accept only a few.
	maxReceipts = 4
	// maxKeyLen is the length in bytes of the longest idempotency key.
	maxKeyLen = 128
)

// serve dispatches one request of a caller and writes its response.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.requests.Inc(1)
	s.openRequests.Inc(1)
	defer s.openRequests.Dec(1)
	request, err := s.parseRequest(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problemBadRequest, err.Error(), outcomeNotRun, 0)
		return
	}
	sink := &responseSink{w: w}
	outcome := s.Dispatcher.Dispatch(r.Context(), request, sink)
	if outcome.Verdict == work.VerdictNotRun && outcome.Reason == work.ReasonEvacuated {
		s.refusals.record(s.Log, "request", s.refusals.requests)
	}
	s.writeOutcome(w, sink, outcome)
}

// parseRequest reads a request of a caller whole. The text of its error is sent to the caller.
func (s *Server) parseRequest(r *http.Request) (*work.Request, error) {
	body, err := io.ReadAll(io.LimitReader(r.Body, work.MaxBody+1))
	if err != nil {
		return nil, errors.Wrap(err, "the request body is incomplete")
	}
	if len(body) > work.MaxBody {
		return nil, errors.Errorf("the request body is larger than %d bytes", work.MaxBody)
	}
	receipt, err := work.ParseReceipt(r.Header.Get(ReceiptHeader))
	if err != nil {
		return nil, err
	}
	request := &work.Request{
		ID:      rand.Text(),
		Key:     r.Header.Get(KeyHeader),
		Repeat:  r.Header.Get(ReceiptHeader) != "",
		Receipt: receipt,
		Method:  r.Method,
		Target:  r.URL.RequestURI(),
		Body:    body,
		Route:   s.Routes().Match(r.Method, r.URL.Path),
	}
	if len(request.Key) > maxKeyLen {
		return nil, errors.Errorf("the %s is longer than %d bytes", KeyHeader, maxKeyLen)
	}
	request.Deadline, err = requestDeadline(r, request.Route)
	request.Fields = forwardFields(r.Header)
	return request, err
}

// requestDeadline returns the earlier of the route's and the caller's deadline, zero if neither is
// set.
func requestDeadline(r *http.Request, route service.Route) (time.Time, error) {
	limit := time.Duration(route.Deadline)
	if text := r.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return time.Time{}, errors.Errorf("the %s %q is not a number of milliseconds", DeadlineHeader, text)
		}
		timeout := time.Duration(ms) * time.Millisecond
		if limit == 0 || timeout < limit {
			limit = timeout
		}
	}
	if limit == 0 {
		return time.Time{}, nil
	}
	return time.Now().Add(limit), nil
}

// notForwarded lists the header fields of a request that are not copied to the upstream's request.
// upstream.Client sets the key and the deadline again, and http.Transport the fields that describe
// the connection and the body.
var notForwarded = map[string]bool{
	KeyHeader: true, ReceiptHeader: true, DeadlineHeader: true,
	"Connection": true, "Transfer-Encoding": true, "Content-Length": true, "Host": true,
}

// forwardFields returns the header fields that are copied to the upstream's request.
func forwardFields(h http.Header) work.HeaderFields {
	var fields work.HeaderFields
	for name, values := range h {
		for _, v := range values {
			if !notForwarded[name] {
				fields = append(fields, work.HeaderField{Name: name, Value: v})
			}
		}
	}
	return fields
}

// responseSink writes a response to the caller while it arrives.
type responseSink struct {
	w        http.ResponseWriter
	begun    bool // the final header has been written
	receipts int  // number of 103 responses written
}

// Receipt implements work.ResponseSink.
func (s *responseSink) Receipt(r work.Receipt) {
	if s.begun || s.receipts >= maxReceipts {
		return
	}
	s.receipts++
	s.w.Header().Set(ReceiptHeader, r.String())
	s.w.WriteHeader(statusEarlyHints)
}

// Head implements work.ResponseSink.
func (s *responseSink) Head(h work.ResponseHead) error {
	s.begun = true
	for _, f := range h.Fields {
		s.w.Header().Add(f.Name, f.Value)
	}
	s.w.WriteHeader(h.Status)
	return s.flush()
}

// Chunk implements work.ResponseSink.
func (s *responseSink) Chunk(p []byte) error {
	if _, err := s.w.Write(p); err != nil {
		return errors.Wrap(err, "caller")
	}
	return s.flush()
}

func (s *responseSink) flush() error {
	return errors.Wrap(http.NewResponseController(s.w).Flush(), "caller")
}

const (
	outcomeNotRun  = "not-run"
	outcomeUnknown = "unknown"

	problemBadRequest = "bad-request"
)

// statusOutcomeUnknown is the status if the upstream may have run the request but no response
// arrived: that of a gateway whose upstream does not answer.
const statusOutcomeUnknown = http.StatusGatewayTimeout

// writeOutcome reports any outcome but answered to the caller.
func (s *Server) writeOutcome(w http.ResponseWriter, sink *responseSink, o work.Outcome) {
	switch o.Verdict {
	case work.VerdictAnswered:
	case work.VerdictNotRun:
		writeProblem(w, http.StatusServiceUnavailable, o.Reason, "the request was not run", outcomeNotRun, o.RetryAfter)
	default:
		if sink.begun {
			// Resets the stream, so that the caller notices that the response is truncated.
			panic(http.ErrAbortHandler)
		}
		writeProblem(w, statusOutcomeUnknown, o.Reason, "the outcome is unknown; the request was not run again", outcomeUnknown, 0)
	}
}

// problemDetails is the JSON body of an error response, in the format of RFC 9457.
type problemDetails struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

// writeProblem writes an error response. retryAfter is used for requests that were not run only.
func writeProblem(w http.ResponseWriter, status int, reason, title, outcome string, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(OutcomeHeader, outcome)
	if outcome == outcomeNotRun && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(retryAfter.Seconds())))))
	}
	w.WriteHeader(status)
	p := problemDetails{Type: "about:blank#" + reason, Title: title, Status: status, Outcome: outcome}
	_ = json.NewEncoder(w).Encode(p) // fails if the caller has disconnected
}
