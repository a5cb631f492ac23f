package upstream

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"greengagedyke/service"
	standin "greengagedyke/standin/upstream"
	"greengagedyke/work"
)

// recordingSink is a ResponseSink that records the status and the body.
type recordingSink struct {
	status int
	body   []byte
}

// Receipt implements work.ResponseSink.
func (*recordingSink) Receipt(work.Receipt) {}

// Head implements work.ResponseSink.
func (c *recordingSink) Head(h work.ResponseHead) error {
	c.status = h.Status
	return nil
}

// Chunk implements work.ResponseSink.
func (c *recordingSink) Chunk(p []byte) error {
	c.body = append(c.body, p...)
	return nil
}

func newClient(t *testing.T) (*Client, *standin.Upstream) {
	t.Helper()
	u, addr, stop, err := standin.Start(standin.Options{
		Addr: netip.MustParseAddrPort("127.0.0.1:0"), Service: "rota-core", Slots: 2, Swap: time.Millisecond, Short: time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stop)
	slots := NewSlots(2)
	slots.SkipWarmup(2)
	c, closeClient := New(addr, slots)
	t.Cleanup(closeClient)
	return c, u
}

// run runs one request in a slot and returns its outcome and response.
func run(t *testing.T, c *Client, class service.Class, method, target, id string) (work.Outcome, *recordingSink) {
	t.Helper()
	r := &work.Request{ID: id, Key: id, Method: method, Target: target, Route: service.Route{Class: class}, Deadline: time.Now().Add(5 * time.Second)}
	r.SlotID = c.slots.NextID()
	granted, err := c.slots.Enqueue(work.QueueEntry{ID: r.SlotID, Deadline: r.Deadline})
	if err != nil {
		t.Fatal(err)
	}
	if err := <-granted; err != nil {
		t.Fatal(err)
	}
	sink := &recordingSink{}
	return c.Run(t.Context(), r, sink), sink
}

// A request that has run is not run again, and each refusal by the ledger frees its slot.
func TestSecondRunIsRefused(t *testing.T) {
	c, u := newClient(t)
	if o, sink := run(t, c, service.ClassNonIdempotent, "POST", "/swap?id=1", "swap-1"); o.Verdict != work.VerdictAnswered || sink.status != 200 {
		t.Fatalf("first run: got %s, status %d, want answered, status 200", o, sink.status)
	}
	for range 5 {
		if o, _ := run(t, c, service.ClassNonIdempotent, "POST", "/swap?id=1", "swap-1"); o.Verdict != work.VerdictNotRun {
			t.Fatalf("further run: got %s, want not run", o)
		}
	}
	if runs := u.Audit().Runs; len(runs) != 1 || runs[0].Runs != 1 {
		t.Errorf("got runs %+v, want one request run once", runs)
	}
	if l := c.slots.Load(); l.Free != 2 {
		t.Errorf("got %d free slots, want 2", l.Free)
	}
	state, response := c.Fetch(t.Context(), "swap-1", true)
	if state != work.StateAnswered || response == nil || response.Head.Status != 200 {
		t.Errorf("got state %s, response %+v, want answered, status 200", state, response)
	}
}

// Idempotent requests leave no record, so that they do not fill the ledger.
func TestIdempotentRequestsAreNotRecorded(t *testing.T) {
	c, _ := newClient(t)
	for range 3 {
		if o, _ := run(t, c, service.ClassIdempotent, "GET", "/short?id=1", "short-1"); o.Verdict != work.VerdictAnswered {
			t.Fatalf("got %s, want answered", o)
		}
	}
	if n := c.ledger.Len(); n != 0 {
		t.Errorf("got %d records, want 0", n)
	}
}

// A request that Fetch recorded as not run before it began is not run afterwards.
func TestFetchMarksRequestNotRun(t *testing.T) {
	c, u := newClient(t)
	if state, _ := c.Fetch(context.Background(), "swap-2", true); state != work.StateNotRun {
		t.Fatalf("marked request: got %s, want not-run", state)
	}
	if o, _ := run(t, c, service.ClassNonIdempotent, "POST", "/swap?id=2", "swap-2"); o.Verdict != work.VerdictNotRun {
		t.Errorf("run of the marked request: got %s, want not run", o)
	}
	if runs := u.Audit().Runs; len(runs) != 0 {
		t.Errorf("got runs %+v, want none", runs)
	}
}
