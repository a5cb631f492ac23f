package work

// ResponseRecorder is a ResponseSink that passes the response on to another one and records it.
type ResponseRecorder struct {
	ResponseSink
	// Detached makes Head and Chunk ignore errors of the ResponseSink, so that the response is still
	// recorded for a repeat when the caller has disconnected.
	Detached bool
	// LastReceipt is the last receipt passed on.
	LastReceipt Receipt
	response    Response
	tooLarge    bool // the body exceeds MaxRecordedBody
}

// Receipt implements ResponseSink.
func (rec *ResponseRecorder) Receipt(r Receipt) {
	rec.LastReceipt = r
	rec.ResponseSink.Receipt(r)
}

// Head implements ResponseSink.
func (rec *ResponseRecorder) Head(h ResponseHead) error {
	rec.RecordHead(h)
	return rec.sinkError(rec.ResponseSink.Head(h))
}

// Chunk implements ResponseSink.
func (rec *ResponseRecorder) Chunk(p []byte) error {
	rec.Record(p)
	return rec.sinkError(rec.ResponseSink.Chunk(p))
}

// sinkError returns err, an error of the ResponseSink, or nil if Detached is set.
func (rec *ResponseRecorder) sinkError(err error) error {
	if rec.Detached {
		return nil
	}
	return err
}

// RecordHead records a head without passing it on.
func (rec *ResponseRecorder) RecordHead(h ResponseHead) { rec.response.Head = h }

// Record records a part of the body without passing it on.
func (rec *ResponseRecorder) Record(p []byte) {
	if rec.tooLarge || len(rec.response.Body)+len(p) > MaxRecordedBody {
		rec.tooLarge = true
		rec.response.Body = nil
		return
	}
	rec.response.Body = append(rec.response.Body, p...)
}

// Recorded returns the response recorded so far, nil if its body exceeds MaxRecordedBody.
func (rec *ResponseRecorder) Recorded() *Response {
	if rec.tooLarge {
		return nil
	}
	return &rec.response
}
