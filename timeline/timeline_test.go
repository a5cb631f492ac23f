package timeline

import (
	"fmt"
	"testing"
	"time"
)

// What a process hears of comes before what follows there, whatever its wall clock.
func TestClockFollowsWhatItHears(t *testing.T) {
	wall := time.Unix(1000, 0)
	ahead := NewClock(func() time.Time { return wall.Add(10 * time.Second) })
	behind := NewClock(func() time.Time { return wall })
	cause := ahead.Next()
	behind.Update(cause)
	if effect := behind.Next(); effect.Compare(cause) <= 0 {
		t.Errorf("%+v is not later than %+v", effect, cause)
	}
	wrong := NewClock(func() time.Time { return wall.Add(time.Hour) })
	before := behind.Next()
	behind.Update(wrong.Next())
	if after := behind.Next(); after.Wall != before.Wall {
		t.Error("a wrong clock pulled another one ahead")
	}
}

func TestRingKeepsTheNewest(t *testing.T) {
	r := NewRing("p", NewClock(time.Now))
	for i := range ringSize + 10 {
		r.Add(Event{Kind: KindRequest, Request: fmt.Sprint(i)})
	}
	events := r.Events(Filter{})
	if len(events) != ringSize || events[0].Request != "10" || events[ringSize-1].Request != fmt.Sprint(ringSize+9) {
		t.Errorf("%d events from %s to %s", len(events), events[0].Request, events[len(events)-1].Request)
	}
	if got := r.Events(Filter{Request: "77"}); len(got) != 1 {
		t.Errorf("%d events of one request", len(got))
	}
}

func TestMergeOrders(t *testing.T) {
	a := NewRing("a", NewClock(time.Now))
	b := NewRing("b", NewClock(time.Now))
	for i := range 20 {
		from, to := a, b
		if i%2 == 1 {
			from, to = b, a
		}
		from.Add(Event{Kind: KindRequest, Request: fmt.Sprint(i)})
		to.Clock().Update(from.Events(Filter{})[len(from.Events(Filter{}))-1].Stamp)
	}
	for i, e := range Merge(a.Events(Filter{}), b.Events(Filter{})) {
		if e.Request != fmt.Sprint(i) {
			t.Fatalf("event %s at place %d", e.Request, i)
		}
	}
}
