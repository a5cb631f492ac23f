package flow

import (
	"testing"
	"time"
)

// With adaptive placement, expected times decide only about a service whose upstreams differ in pace, and
// go on doing so until these are about even.
func TestAdaptivePlacement(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBalancer("a", now)
	b.SetPlacement(PlaceAdaptively, DefaultOtherDomainTime)
	tag := TagOf(testServiceName)
	if !b.placesByTime(tag) {
		t.Error("by requests before the paces are known, want by time")
	}
	now = now.Add(paceLearningTime)
	sequence := uint32(0)
	for _, step := range []struct {
		slow, fast time.Duration
		want       bool
	}{
		{20 * time.Millisecond, 20 * time.Millisecond, false},
		{30 * time.Millisecond, 20 * time.Millisecond, false},
		{60 * time.Millisecond, 20 * time.Millisecond, true},
		{28 * time.Millisecond, 20 * time.Millisecond, true},
		{22 * time.Millisecond, 20 * time.Millisecond, false},
	} {
		now = now.Add(2 * paceInterval)
		sequence++
		for i := range 2 * minCompared {
			l := Load{Incarnation: 1, Sequence: sequence, Tag: tag, State: StateReady, Slots: 2, ServiceTime: step.fast}
			if i%2 == 0 {
				l.ServiceTime = step.slow
			}
			b.HandleReport(memberAddr(i), l, now.Add(time.Duration(i)*paceInterval/4))
		}
		if got := b.placesByTime(tag); got != step.want {
			t.Errorf("slow %v, fast %v: by time %v, want %v", step.slow, step.fast, got, step.want)
		}
	}
}
