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

// collect is a ResponseSink that keeps what it gets.
type collect struct {
	status int
	body   []byte
}

// Receipt implements work.ResponseSink.
func (*collect) Receipt(work.Receipt) {}

// Head implements work.ResponseSink.
func (c *collect) Head(h work.ResponseHead) error {
	c.status = h.Status
	return nil
}

// Chunk implements work.ResponseSink.
func (c *collect) Chunk(p []byte) error {
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

// run takes a slot and runs one request in it.
func run(t *testing.T, c *Client, class service.Class, method, target, id string) (work.Outcome, *collect) {
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
	sink := &collect{}
	return c.Run(t.Context(), r, sink), sink
}

// The same request runs once; each refusal of the ledger frees the slot again.
func TestSecondRunIsRefused(t *testing.T) {
	c, u := newClient(t)
	if o, sink := run(t, c, service.ClassNonIdempotent, "POST", "/swap?id=1", "swap-1"); o.Verdict != work.VerdictAnswered || sink.status != 200 {
		t.Fatalf("got %s, status %d", o, sink.status)
	}
	for range 5 {
		if o, _ := run(t, c, service.ClassNonIdempotent, "POST", "/swap?id=1", "swap-1"); o.Verdict != work.VerdictNotRun {
			t.Fatalf("got %s", o)
		}
	}
	if runs := u.Audit().Runs; len(runs) != 1 || runs[0].Runs != 1 {
		t.Errorf("runs %+v", runs)
	}
	if l := c.slots.Load(); l.Free != 2 {
		t.Errorf("%d slots are free, want 2", l.Free)
	}
	state, answer := c.Fetch(t.Context(), "swap-1", true)
	if state != work.StateAnswered || answer == nil || answer.Head.Status != 200 {
		t.Errorf("the answer is not kept: %s, %+v", state, answer)
	}
}

// Requests that may run twice leave no record, so that they cannot fill the ledger.
func TestIdempotentRequestsAreNotRemembered(t *testing.T) {
	c, _ := newClient(t)
	for range 3 {
		if o, _ := run(t, c, service.ClassIdempotent, "GET", "/short?id=1", "short-1"); o.Verdict != work.VerdictAnswered {
			t.Fatalf("got %s", o)
		}
	}
	if n := c.ledger.Len(); n != 0 {
		t.Errorf("%d requests are remembered", n)
	}
}

// A marked request is not run, whatever comes later.
func TestFetchMarksWhatHasNotBegun(t *testing.T) {
	c, u := newClient(t)
	if state, _ := c.Fetch(context.Background(), "swap-2", true); state != work.StateNotRun {
		t.Fatalf("got %s", state)
	}
	if o, _ := run(t, c, service.ClassNonIdempotent, "POST", "/swap?id=2", "swap-2"); o.Verdict != work.VerdictNotRun {
		t.Errorf("got %s", o)
	}
	if runs := u.Audit().Runs; len(runs) != 0 {
		t.Errorf("runs %+v", runs)
	}
}
