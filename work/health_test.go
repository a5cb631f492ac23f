package work

import (
	"testing"
	"time"
)

func TestHealthTrustsOwnRequestsMore(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	if h.Healthy(now) {
		t.Error("healthy before anything is known")
	}
	h.Report(now, true)
	if !h.Healthy(now) {
		t.Error("a good report counts while nothing else is known")
	}
	for range failuresToDoubt {
		h.Observe(now, false)
	}
	if h.Healthy(now) {
		t.Error("the endpoint's claim outweighs own failures")
	}
	later := now.Add(doubtFor + time.Second)
	if !h.Healthy(later) {
		t.Error("own failures count for ever")
	}
	h.Report(later, false)
	if h.Healthy(later) {
		t.Error("a bad report counts while nothing else is known")
	}
	h.Observe(later, true)
	if !h.Healthy(later) {
		t.Error("a lying endpoint outweighs an own success")
	}
}
