package work

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// schedulerMachine drives a scheduler with random requests and a simulated clock.
type schedulerMachine struct {
	s         *Scheduler
	now       time.Time
	submitted int
	leases    map[string]time.Time // ends of the leases of grants that are not started, by entry ID
	started   map[string]bool
	ended     map[string]bool
}

func (m *schedulerMachine) addGranted(t *rapid.T, entries []QueueEntry) {
	for _, e := range entries {
		if m.started[e.ID] || m.ended[e.ID] {
			t.Fatalf("request %s got a slot twice", e.ID)
		}
		if e.Lease > 0 {
			m.leases[e.ID] = m.now.Add(e.Lease)
			continue
		}
		m.started[e.ID] = true
	}
}

func TestSchedulerRandomRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(t, "slots")
		m := &schedulerMachine{now: time.Unix(0, 0), leases: map[string]time.Time{}, started: map[string]bool{}, ended: map[string]bool{}}
		m.s = NewScheduler(slots, m.now)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.submit,
			"next":   func(t *rapid.T) { m.addGranted(t, m.s.Next(m.now)) },
			"start":  m.start,
			"finish": m.finish,
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			},
			"expire": m.expire,
			"limit":  func(t *rapid.T) { m.s.SetLimit(rapid.IntRange(0, 5).Draw(t, "limit")) },
			"":       m.check,
		})
	})
}

func (m *schedulerMachine) submit(t *rapid.T) {
	m.submitted++
	e := QueueEntry{
		ID:       fmt.Sprint(m.submitted),
		Route:    rapid.SampledFrom([]string{"a", "b"}).Draw(t, "route"),
		Long:     rapid.Bool().Draw(t, "long"),
		Priority: rapid.IntRange(0, 3).Draw(t, "priority"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline")) * time.Millisecond),
	}
	if rapid.Bool().Draw(t, "remote") {
		e.Lease = 100 * time.Millisecond
	}
	if err := m.s.Submit(m.now, e); err != nil {
		m.ended[e.ID] = true
	}
}

func (m *schedulerMachine) start(t *rapid.T) {
	for id, until := range m.leases {
		err := m.s.Start(m.now, id)
		delete(m.leases, id)
		switch {
		case err == nil && m.now.After(until):
			t.Fatalf("request %s started after the end of its lease, want ErrLeaseLapsed", id)
		case err != nil && !m.now.After(until):
			t.Fatalf("request %s within its lease: got %v, want nil", id, err)
		case err == nil:
			m.started[id] = true
		default:
			m.ended[id] = true
		}
		return
	}
}

func (m *schedulerMachine) finish(*rapid.T) {
	for id := range m.started {
		m.s.Finish(m.now, id)
		delete(m.started, id)
		m.ended[id] = true
		return
	}
}

func (m *schedulerMachine) expire(t *rapid.T) {
	for _, e := range m.s.Expire(m.now) {
		if m.started[e.ID] {
			t.Fatalf("request %s expired while it ran", e.ID)
		}
		m.ended[e.ID] = true
	}
}

// check verifies that no slot is used twice and that the load report is consistent.
func (m *schedulerMachine) check(t *rapid.T) {
	if len(m.started) > m.s.slots {
		t.Fatalf("%d requests run on %d slots, want at most one per slot", len(m.started), m.s.slots)
	}
	l := m.s.Load(m.now)
	if l.Free < 0 || l.Free > m.s.slots || l.FreeLong > l.Free {
		t.Fatalf("load %+v with %d slots, want 0 <= Free <= slots and FreeLong <= Free", l, m.s.slots)
	}
}

func entry(id string, long bool, priority int, deadline time.Time) QueueEntry {
	return QueueEntry{ID: id, Route: id, Long: long, Priority: priority, Deadline: deadline}
}

func TestLongRequestsLeaveASlotForShortOnes(t *testing.T) {
	now := time.Unix(0, 0)
	late := now.Add(time.Hour)
	s := NewScheduler(2, now)
	mustSubmit(t, s, now, entry("short", false, 1, late))
	s.Next(now)
	s.Finish(now, "short")
	mustSubmit(t, s, now, entry("long-1", true, 2, late))
	mustSubmit(t, s, now, entry("long-2", true, 2, late))
	if got := s.Next(now); len(got) != 1 {
		t.Fatalf("%d long requests hold slots, want 1", len(got))
	}
	mustSubmit(t, s, now, entry("short-2", false, 1, late))
	if got := s.Next(now); len(got) != 1 || got[0].ID != "short-2" {
		t.Fatalf("got %+v, want short-2: a short request waits for long ones", got)
	}
	later := now.Add(shortReservation + time.Second)
	s.Finish(later, "short-2")
	if got := s.Next(later); len(got) != 1 || got[0].ID != "long-2" {
		t.Fatalf("got %+v, want long-2: the reservation for short requests has expired", got)
	}
}

func mustSubmit(t *testing.T, s *Scheduler, now time.Time, e QueueEntry) {
	t.Helper()
	if err := s.Submit(now, e); err != nil {
		t.Fatal(err)
	}
}

func TestPriorityThenDeadline(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewScheduler(1, now)
	mustSubmit(t, s, now, entry("first", false, 0, now.Add(time.Hour)))
	s.Next(now)
	mustSubmit(t, s, now, entry("download", false, 2, now.Add(time.Minute)))
	mustSubmit(t, s, now, entry("late-swap", false, 0, now.Add(time.Hour)))
	mustSubmit(t, s, now, entry("early-swap", false, 0, now.Add(time.Minute)))
	for _, want := range []string{"early-swap", "late-swap", "download"} {
		s.Finish(now, "first")
		s.Finish(now, "early-swap")
		s.Finish(now, "late-swap")
		if got := s.Next(now); len(got) != 1 || got[0].ID != want {
			t.Fatalf("got %+v, want %s", got, want)
		}
	}
}

// A leaving scheduler grants no more slots; requests that have a slot go on.
func TestLeavingSchedulerStartsNothing(t *testing.T) {
	now := time.Unix(0, 0)
	late := now.Add(time.Hour)
	s := NewScheduler(1, now)
	mustSubmit(t, s, now, entry("running", false, 0, late))
	s.Next(now)
	mustSubmit(t, s, now, entry("waiting", false, 0, late))
	if got := s.SetLeaving(); len(got) != 1 || got[0].ID != "waiting" {
		t.Errorf("got %+v, want the waiting entry", got)
	}
	if err := s.Submit(now, entry("new", false, 0, late)); !errors.Is(err, ErrLeaving) {
		t.Errorf("got %v, want ErrLeaving", err)
	}
	if s.Idle() {
		t.Error("idle, want the running request to keep its slot")
	}
	s.Finish(now, "running")
	if got := s.Next(now); len(got) != 0 || !s.Idle() {
		t.Errorf("granted %+v, idle %v, want no grant and idle", got, s.Idle())
	}
}

// A sidecar that is suspended until after the end of a lease must not run the request.
func TestExpiredGrantIsNotStarted(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewScheduler(1, now)
	e := entry("swap", false, 0, now.Add(time.Hour))
	e.Lease = 250 * time.Millisecond
	mustSubmit(t, s, now, e)
	s.Next(now)
	awake := now.Add(3 * time.Second)
	if err := s.Start(awake, "swap"); !errors.Is(err, ErrLeaseLapsed) {
		t.Fatalf("got %v, want ErrLeaseLapsed", err)
	}
	if s.Load(awake).Free != 1 {
		t.Fatalf("%d slots are free after the lease expired, want 1", s.Load(awake).Free)
	}
}

func TestUnreachableDeadlineIsRefused(t *testing.T) {
	now := time.Unix(0, 0)
	s := NewScheduler(1, now)
	e := entry("slow", false, 0, now.Add(time.Hour))
	mustSubmit(t, s, now, e)
	s.Next(now)
	s.Finish(now.Add(10*time.Second), "slow")
	now = now.Add(10 * time.Second)
	e = entry("slow", false, 0, now.Add(time.Second))
	if err := s.Submit(now, e); !errors.Is(err, ErrDeadline) {
		t.Fatalf("got %v, want ErrDeadline", err)
	}
}
