package member

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Views that have merged the same records are equal, whatever the order; an older
// record never replaces a newer one, which Merge asserts itself.
func TestMergeNeedsNoOrder(t *testing.T) {
	now := time.Unix(1000, 0)
	rapid.Check(t, func(t *rapid.T) {
		var records []Record
		for i := range rapid.IntRange(1, 20).Draw(t, "records") {
			records = append(records, Record{
				Role:        RoleSidecar,
				Identity:    fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "identity")),
				Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Sequence:    uint64(i),
				Service:     "s",
			})
		}
		a, b := NewView(), NewView()
		for _, r := range records {
			a.Merge(r, now)
		}
		for _, i := range rapid.Permutation(indexes(len(records))).Draw(t, "order") {
			b.Merge(records[i], now)
		}
		for _, o := range a.All() {
			other, ok := b.Find(o.Identity)
			if !ok || other.Record != o.Record {
				t.Fatalf("views differ on %s: %+v and %+v", o.Identity, o.Record, other.Record)
			}
		}
	})
}

func indexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

func view(heard map[string]time.Time) *View {
	v := NewView()
	for id, at := range heard {
		v.Merge(Record{Role: RoleSidecar, Identity: id, Service: "s", State: StateReady, Incarnation: 1}, at)
	}
	return v
}

func TestServiceLeavesOutTheSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	old := now.Add(-2 * silence)
	v := view(map[string]time.Time{"1": now, "2": now, "3": old})
	if got := v.Service("s", now); len(got) != 2 {
		t.Errorf("%d members in use, want 2", len(got))
	}
	if !v.Lost("s", now) {
		t.Error("a silent member does not count as lost")
	}
}

// When most are silent at once, the fault is more likely here.
func TestServiceKeepsAllWhenMostFallSilent(t *testing.T) {
	now := time.Unix(1000, 0)
	old := now.Add(-2 * silence)
	v := view(map[string]time.Time{"1": now, "2": old, "3": old})
	if got := v.Service("s", now); len(got) != 3 {
		t.Errorf("%d members in use, want all 3", len(got))
	}
}

func TestLeft(t *testing.T) {
	now := time.Unix(1000, 0)
	v := view(map[string]time.Time{"1": now})
	if v.Left("1", 1) {
		t.Error("a ready process counts as left")
	}
	v.Merge(Record{Role: RoleSidecar, Identity: "1", Service: "s", State: StateGone, Incarnation: 1, Sequence: 1}, now)
	if !v.Left("1", 1) || v.Lost("s", now) {
		t.Error("a process that left does not count as left, or counts as lost")
	}
	v.Merge(Record{Role: RoleSidecar, Identity: "1", Service: "s", State: StateReady, Incarnation: 2, Former: 1}, now)
	if v.Left("1", 1) {
		t.Error("a process whose former incarnation was lost counts as left")
	}
}
