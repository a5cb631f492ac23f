package work

import (
	"testing"
	"time"
)

func TestHealthRequestsOutweighChecks(t *testing.T) {
	now := time.Unix(1000, 0)
	var h Health
	if h.Healthy(now) {
		t.Error("healthy before any check or request, want unhealthy")
	}
	h.RecordCheck(now, true)
	if !h.Healthy(now) {
		t.Error("unhealthy after a passed check, want healthy")
	}
	for range failureThreshold {
		h.RecordRequest(now, false)
	}
	if h.Healthy(now) {
		t.Error("healthy after failed requests because of a passed check, want unhealthy")
	}
	later := now.Add(failureMemory + time.Second)
	if !h.Healthy(later) {
		t.Error("unhealthy although the failed requests have expired, want healthy")
	}
	h.RecordCheck(later, false)
	if h.Healthy(later) {
		t.Error("healthy after a failed check, want unhealthy")
	}
	h.RecordRequest(later, true)
	if !h.Healthy(later) {
		t.Error("unhealthy after a successful request because of a failed check, want healthy")
	}
}
