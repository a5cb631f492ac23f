package work

import (
	"errors"
	"testing"
	"time"
)

// The failure domain is evacuated while a request runs, one has a grant that its sibling starts late,
// and one waits. Only the first goes on; after the evacuation new ones are accepted again.
func TestSchedulerEvacuated(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewScheduler(2, now)
	entry := func(id string, lease time.Duration) QueueEntry {
		return QueueEntry{ID: id, Deadline: now.Add(time.Minute), Lease: lease}
	}
	for _, e := range []QueueEntry{entry("running", 0), entry("granted", time.Second), entry("waiting", 0)} {
		if err := s.Submit(now, e); err != nil {
			t.Fatal(err)
		}
	}
	s.Next(now)
	if waiting := s.SetEvacuated(true); len(waiting) != 1 || waiting[0].ID != "waiting" {
		t.Errorf("got waiting entries %v, want one", waiting)
	}
	if err := s.Start(now, "granted"); !errors.Is(err, ErrEvacuated) {
		t.Errorf("late start: got error %v, want %v", err, ErrEvacuated)
	}
	if err := s.Submit(now, entry("new", 0)); !errors.Is(err, ErrEvacuated) || s.Idle() {
		t.Errorf("new entry: got error %v, idle %t, want %v and the running request", err, s.Idle(), ErrEvacuated)
	}
	s.SetEvacuated(false)
	if err := s.Submit(now, entry("new", 0)); err != nil || len(s.Next(now)) != 1 {
		t.Errorf("after the evacuation: got error %v, want a granted slot", err)
	}
	s.SetLeaving()
	s.SetEvacuated(false)
	if err := s.Submit(now, entry("last", 0)); !errors.Is(err, ErrLeaving) {
		t.Errorf("leaving: got error %v, want %v", err, ErrLeaving)
	}
}

// A sidecar in an evacuated failure domain leaves. The evacuation stays in force: a request that was
// granted a slot before it is not started late.
func TestSchedulerEvacuatedAndLeaving(t *testing.T) {
	now := time.Unix(0, 0)
	for name, refuse := range map[string]func(s *Scheduler){
		"evacuated first": func(s *Scheduler) { s.SetEvacuated(true); s.SetLeaving() },
		"leaving first":   func(s *Scheduler) { s.SetLeaving(); s.SetEvacuated(true) },
	} {
		s := NewScheduler(1, now)
		if err := s.Submit(now, QueueEntry{ID: "granted", Deadline: now.Add(time.Minute), Lease: time.Second}); err != nil {
			t.Fatal(err)
		}
		s.Next(now)
		refuse(s)
		if !s.Evacuated() {
			t.Errorf("%s: not evacuated", name)
		}
		if err := s.Start(now, "granted"); !errors.Is(err, ErrEvacuated) {
			t.Errorf("%s: late start: got error %v, want %v", name, err, ErrEvacuated)
		}
		if err := s.Submit(now, QueueEntry{ID: "new", Deadline: now.Add(time.Minute)}); !errors.Is(err, ErrLeaving) {
			t.Errorf("%s: new entry: got error %v, want %v", name, err, ErrLeaving)
		}
	}
}
