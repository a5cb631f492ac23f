package member

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Views that have merged the same records in different orders are equal. Merge itself panics if
// an older record replaces a newer one.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var records []ObservedRecord
		for i := range rapid.IntRange(1, 20).Draw(t, "records") {
			o := ObservedRecord{Record: Record{
				Role:        RoleSidecar,
				Identity:    fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "identity")),
				Incarnation: uint64(rapid.IntRange(1, 3).Draw(t, "incarnation")),
				Sequence:    uint64(i / 2),
				Service:     "s",
			}}
			o.addWitnesses(rapid.SliceOfN(rapid.SampledFrom([]string{"w1", "w2", "w3"}), 0, 2).Draw(t, "witnesses"))
			// Copies of a record with the same sequence may differ in their witnesses only.
			o.Slots = int(o.Sequence)
			records = append(records, o)
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
			if !ok || other.Record != o.Record || !slices.Equal(other.Witnesses, o.Witnesses) {
				t.Fatalf("views differ on %s: %+v and %+v", o.Identity, o, other)
			}
		}
		if a.Digest() != b.Digest() {
			t.Fatal("digests of equal views differ")
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

var now = time.Unix(1000, 0)

func readyRecord(identity string) ObservedRecord {
	return ObservedRecord{Record: Record{Role: RoleSidecar, Identity: identity, Service: "s", State: StateReady, Incarnation: 1, AnnouncedTo: 3}}
}

func newTestView(identities ...string) *View {
	v := NewView()
	for _, id := range identities {
		v.Merge(readyRecord(id), now)
	}
	return v
}

// A single witness may itself be cut off or paused. Only with two witnesses does a process count as
// silent, and a new sequence of its record makes it alive again.
func TestSuspicionNeedsTwoWitnesses(t *testing.T) {
	v := newTestView("1", "2", "3")
	v.AddWitness("3", "balancer-1", now)
	if got := v.Service("s"); len(got) != 3 {
		t.Errorf("%d members in use after one witness, want 3", len(got))
	}
	v.AddWitness("3", "balancer-1", now)
	v.AddWitness("3", "balancer-2", now)
	if got := v.Service("s"); len(got) != 2 || !v.HasLost("s", now) {
		t.Errorf("%d members in use after two witnesses, HasLost is %t; want 2, true", len(got), v.HasLost("s", now))
	}
	refuted := readyRecord("3")
	refuted.Sequence = 1
	v.Merge(refuted, now)
	if got := v.Service("s"); len(got) != 3 || v.HasLost("s", now) {
		t.Errorf("%d members in use after a new sequence, HasLost is %t; want 3, false", len(got), v.HasLost("s", now))
	}
}

// If most sidecars of a service are silent at once, the fault is more likely with the witnesses.
func TestServiceKeepsAllIfMostAreSilent(t *testing.T) {
	v := newTestView("1", "2", "3")
	for _, id := range []string{"2", "3"} {
		v.AddWitness(id, "balancer-1", now)
		v.AddWitness(id, "balancer-2", now)
	}
	if got := v.Service("s"); len(got) != 3 {
		t.Errorf("%d members in use, want all 3", len(got))
	}
}

func TestChangedSince(t *testing.T) {
	v := newTestView("1", "2")
	version := v.Version()
	if got := v.ChangedSince(version); len(got) != 0 {
		t.Errorf("%d changes, want none", len(got))
	}
	v.AddWitness("1", "balancer-1", now)
	if got := v.ChangedSince(version); len(got) != 1 || got[0].Identity != "1" {
		t.Errorf("got %+v, want the change of 1", got)
	}
}

func TestExpireDeletesOnlyGone(t *testing.T) {
	v := newTestView("1", "2")
	gone := readyRecord("2")
	gone.Sequence = 1
	gone.State = StateGone
	v.Merge(gone, now)
	v.Expire(now.Add(retention + time.Second))
	if got := v.All(); len(got) != 1 || got[0].Identity != "1" {
		t.Errorf("got %+v, want the record of 1 only", got)
	}
}

func TestLeft(t *testing.T) {
	v := newTestView("1")
	if v.HasLeft("1", 1) {
		t.Error("a ready process counts as left")
	}
	gone := readyRecord("1")
	gone.State = StateGone
	gone.Sequence = 1
	v.Merge(gone, now)
	if !v.HasLeft("1", 1) || v.HasLost("s", now) {
		t.Errorf("after leaving: HasLeft is %t, HasLost is %t; want true, false", v.HasLeft("1", 1), v.HasLost("s", now))
	}
	again := readyRecord("1")
	again.Incarnation = 2
	again.LostIncarnation = 1
	v.Merge(again, now)
	if v.HasLeft("1", 1) {
		t.Error("a process whose earlier incarnation was lost counts as left")
	}
}
