package timeline

import (
	"fmt"
	"testing"
	"time"
)

// A timestamp made after Update is later than the received one, even if the local wall clock is
// behind. A timestamp an hour ahead does not advance the clock.
func TestClockIsLaterThanReceivedTimestamps(t *testing.T) {
	wall := time.Unix(1000, 0)
	ahead := NewClock(func() time.Time { return wall.Add(10 * time.Second) })
	behind := NewClock(func() time.Time { return wall })
	cause := ahead.Next()
	behind.Update(cause)
	if effect := behind.Next(); effect.Compare(cause) <= 0 {
		t.Errorf("got timestamp %+v, want one later than the received %+v", effect, cause)
	}
	farAhead := NewClock(func() time.Time { return wall.Add(time.Hour) })
	before := behind.Next()
	behind.Update(farAhead.Next())
	if after := behind.Next(); after.Wall != before.Wall {
		t.Errorf("got wall time %d after a timestamp far ahead, want %d", after.Wall, before.Wall)
	}
}

func TestRingKeepsNewestEvents(t *testing.T) {
	r := NewRing("p", NewClock(time.Now))
	for i := range ringSize + 10 {
		r.Add(Event{Kind: KindRequest, Request: fmt.Sprint(i)})
	}
	events := r.Events(Filter{})
	if len(events) != ringSize || events[0].Request != "10" || events[ringSize-1].Request != fmt.Sprint(ringSize+9) {
		t.Errorf("got %d events, %s to %s, want %d, 10 to %d", len(events), events[0].Request, events[len(events)-1].Request, ringSize, ringSize+9)
	}
	if got := r.Events(Filter{Request: "77"}); len(got) != 1 {
		t.Errorf("got %d events of request 77, want 1", len(got))
	}
}

func TestMergeOrdersByTimestamp(t *testing.T) {
	a := NewRing("a", NewClock(time.Now))
	b := NewRing("b", NewClock(time.Now))
	for i := range 20 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		from.Add(Event{Kind: KindRequest, Request: fmt.Sprint(i)})
		to.Clock().Update(from.Events(Filter{})[len(from.Events(Filter{}))-1].Timestamp)
	}
	for i, e := range Merge(a.Events(Filter{}), b.Events(Filter{})) {
		if e.Request != fmt.Sprint(i) {
			t.Fatalf("got event %s at index %d, want event %d", e.Request, i, i)
		}
	}
}
