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

// Header fields between callers and the system.
const (
	// KeyHeader names a non-idempotent request across its repeats.
	KeyHeader = "Idempotency-Key"
	// ReceiptHeader tells the caller, in an early 103 answer, which process may run
	// the request; a repeat returns it, or "none" if no receipt came.
	ReceiptHeader = "Request-Receipt"
	// DeadlineHeader is how many milliseconds the caller will wait.
	DeadlineHeader = "Request-Deadline-Ms"
	// OutcomeHeader names the outcome of a request that has no upstream's answer:
	// not-run or unknown.
	OutcomeHeader = "Request-Outcome"
)

const (
	statusEarlyHints = http.StatusEarlyHints
	// maxReceipts keeps the early answers within what HTTP clients accept.
	maxReceipts = 4
	maxKeyLen   = 128
)

func (f *Server) serve(w http.ResponseWriter, r *http.Request) {
	f.requests.Inc(1)
	request, err := f.parse(r)
	if err != nil {
		writeProblem(w, http.StatusBadRequest, problemBadRequest, err.Error(), outcomeNotRun, 0)
		return
	}
	sink := &responseSink{w: w}
	outcome := f.Dispatcher.Dispatch(r.Context(), request, sink)
	f.finish(w, sink, outcome)
}

func (f *Server) parse(r *http.Request) (*work.Request, error) {
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
		Route:   f.Routes().Match(r.Method, r.URL.Path),
	}
	if len(request.Key) > maxKeyLen {
		return nil, errors.Errorf("the %s is longer than %d bytes", KeyHeader, maxKeyLen)
	}
	request.Deadline, err = deadline(r, request.Route)
	request.Fields = forwardFields(r.Header)
	return request, err
}

func deadline(r *http.Request, route service.Route) (time.Time, error) {
	limit := time.Duration(route.Deadline)
	if text := r.Header.Get(DeadlineHeader); text != "" {
		ms, err := strconv.ParseUint(text, 10, 31)
		if err != nil {
			return time.Time{}, errors.Errorf("the %s %q is not a number of milliseconds", DeadlineHeader, text)
		}
		own := time.Duration(ms) * time.Millisecond
		if limit == 0 || own < limit {
			limit = own
		}
	}
	if limit == 0 {
		return time.Time{}, nil
	}
	return time.Now().Add(limit), nil
}

var notForwarded = map[string]bool{
	KeyHeader: true, ReceiptHeader: true, DeadlineHeader: true,
	"Connection": true, "Transfer-Encoding": true, "Content-Length": true, "Host": true,
}

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

// responseSink writes an answer to the caller while it arrives.
type responseSink struct {
	w        http.ResponseWriter
	begun    bool
	receipts int
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

// statusUnknown says that the upstream may have run the request: the answer of a
// gateway whose upstream did not answer.
const statusUnknown = http.StatusGatewayTimeout

func (f *Server) finish(w http.ResponseWriter, sink *responseSink, o work.Outcome) {
	switch o.Verdict {
	case work.VerdictAnswered:
	case work.VerdictNotRun:
		writeProblem(w, http.StatusServiceUnavailable, o.Reason, "the request was not run", outcomeNotRun, o.RetryAfter)
	default:
		if sink.begun {
			// Resets the stream, so that the caller sees that the answer was cut.
			panic(http.ErrAbortHandler)
		}
		writeProblem(w, statusUnknown, o.Reason, "the outcome is unknown; the request was not run again", outcomeUnknown, 0)
	}
}

// problemDetails is an error answer as in RFC 9457.
type problemDetails struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Outcome string `json:"outcome"`
}

func writeProblem(w http.ResponseWriter, status int, reason, title, outcome string, retryAfter time.Duration) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(OutcomeHeader, outcome)
	if outcome == outcomeNotRun && status == http.StatusServiceUnavailable {
		h.Set("Retry-After", strconv.Itoa(max(1, int(math.Ceil(retryAfter.Seconds())))))
	}
	w.WriteHeader(status)
	p := problemDetails{Type: "about:blank#" + reason, Title: title, Status: status, Outcome: outcome}
	_ = json.NewEncoder(w).Encode(p) // the caller may be gone
}
