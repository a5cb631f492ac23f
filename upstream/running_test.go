package upstream

import (
	"testing"

	"greengagedyke/service"
	"greengagedyke/work"
)

// runningSink records how many requests a client runs while a response arrives.
type runningSink struct {
	recordingSink
	client  *Client
	running int64
}

// Head implements work.ResponseSink.
func (s *runningSink) Head(h work.ResponseHead) error {
	s.running = s.client.Running()
	return s.recordingSink.Head(h)
}

// A request counts as running until its response has ended, whoever it is from.
func TestRunning(t *testing.T) {
	c, _ := newClient(t)
	sink := &runningSink{client: c}
	r := &work.Request{ID: "short-1", Method: "GET", Target: "/short?id=1", Route: service.Route{Class: service.ClassFlow}}
	if o := c.Run(t.Context(), r, sink); o.Verdict != work.VerdictAnswered {
		t.Fatalf("got %s, want answered", o)
	}
	if sink.running != 1 || c.Running() != 0 {
		t.Errorf("got %d running requests during the response and %d after it, want 1 and 0", sink.running, c.Running())
	}
}
