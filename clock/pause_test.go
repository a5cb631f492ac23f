package clock

import (
	"testing"
	"time"
)

// After a pause, packets count as old at once and until those that waited are read; a late check
// or a clock that has not been checked is no pause.
func TestPauses(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var p Pauses
	if p.Recent(at(0)) {
		t.Error("got a pause before the first check")
	}
	for _, ms := range []int{0, 100, 250} {
		p.Check(at(ms))
	}
	for _, tt := range []struct {
		ms   int
		want bool
	}{{260, false}, {429, false}, {431, true}} {
		if got := p.Recent(at(tt.ms)); got != tt.want {
			t.Errorf("got %v at %d ms, want %v", got, tt.ms, tt.want)
		}
	}
	p.Check(at(1650))
	if !p.Recent(at(1700)) || p.Recent(at(1760)) {
		t.Error("want packets to count as old for 100 ms after the pause")
	}
}
