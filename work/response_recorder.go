package work

// ResponseRecorder passes an answer on and keeps a copy of it, if it is not too large.
type ResponseRecorder struct {
	ResponseSink
	// Detached makes a caller that goes away no reason to stop: the answer is kept
	// for its repeat.
	Detached bool
	// LastReceipt is the receipt that was last passed on.
	LastReceipt Receipt
	answer      Response
	over        bool
}

// Receipt implements ResponseSink.
func (k *ResponseRecorder) Receipt(r Receipt) {
	k.LastReceipt = r
	k.ResponseSink.Receipt(r)
}

// Head implements ResponseSink.
func (k *ResponseRecorder) Head(h ResponseHead) error {
	k.RecordHead(h)
	return k.tolerate(k.ResponseSink.Head(h))
}

// Chunk implements ResponseSink.
func (k *ResponseRecorder) Chunk(p []byte) error {
	k.Record(p)
	return k.tolerate(k.ResponseSink.Chunk(p))
}

func (k *ResponseRecorder) tolerate(err error) error {
	if k.Detached {
		return nil
	}
	return err
}

// RecordHead keeps a head without passing it on.
func (k *ResponseRecorder) RecordHead(h ResponseHead) { k.answer.Head = h }

// Record keeps a part of the body without passing it on.
func (k *ResponseRecorder) Record(p []byte) {
	if k.over || len(k.answer.Body)+len(p) > MaxKeptAnswer {
		k.over = true
		k.answer.Body = nil
		return
	}
	k.answer.Body = append(k.answer.Body, p...)
}

// Recorded returns the whole answer; nil if it was too large to keep.
func (k *ResponseRecorder) Recorded() *Response {
	if k.over {
		return nil
	}
	return &k.answer
}
