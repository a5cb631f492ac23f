package work

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// schedulerMachine plays a scheduler with random requests under a fake clock.
type schedulerMachine struct {
	s       *Scheduler
	now     time.Time
	n       int
	leases  map[string]time.Time // granted and not started
	started map[string]bool
	ended   map[string]bool
}

func (m *schedulerMachine) granted(t *rapid.T, entries []QueueEntry) {
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
			"next":   func(t *rapid.T) { m.granted(t, m.s.Next(m.now)) },
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
	m.n++
	e := QueueEntry{
		ID:       fmt.Sprint(m.n),
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
			t.Fatalf("request %s started after its lease", id)
		case err != nil && !m.now.After(until):
			t.Fatalf("request %s was refused within its lease: %v", id, err)
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

// Long work leaves a slot while short work is known; no slot is used twice.
func (m *schedulerMachine) check(t *rapid.T) {
	if len(m.started) > m.s.slots {
		t.Fatalf("%d requests run on %d slots", len(m.started), m.s.slots)
	}
	l := m.s.Load(m.now)
	if l.Free < 0 || l.Free > m.s.slots || l.FreeLong > l.Free {
		t.Fatalf("load %+v of %d slots", l, m.s.slots)
	}
}

func entry(id string, long bool, priority int, deadline time.Time) QueueEntry {
	return QueueEntry{ID: id, Route: id, Long: long, Priority: priority, Deadline: deadline}
}

func TestLongWorkLeavesASlotForShortWork(t *testing.T) {
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
		t.Fatalf("short work waits behind long work: %+v", got)
	}
	later := now.Add(shortMemory + time.Second)
	s.Finish(later, "short-2")
	if got := s.Next(later); len(got) != 1 || got[0].ID != "long-2" {
		t.Fatalf("the slot is kept although no short work is known: %+v", got)
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

// A leaving sidecar starts nothing that waits; what holds a slot goes on.
func TestLeavingStartsNothing(t *testing.T) {
	now := time.Unix(0, 0)
	late := now.Add(time.Hour)
	s := NewScheduler(1, now)
	mustSubmit(t, s, now, entry("running", false, 0, late))
	s.Next(now)
	mustSubmit(t, s, now, entry("waiting", false, 0, late))
	if got := s.SetLeaving(); len(got) != 1 || got[0].ID != "waiting" {
		t.Errorf("refused %+v, want what waits", got)
	}
	if err := s.Submit(now, entry("new", false, 0, late)); !errors.Is(err, ErrLeaving) {
		t.Errorf("got %v, want ErrLeaving", err)
	}
	if s.Idle() {
		t.Error("the running request lost its slot")
	}
	s.Finish(now, "running")
	if got := s.Next(now); len(got) != 0 || !s.Idle() {
		t.Errorf("started %+v", got)
	}
}

// A sidecar that was paused beyond a grant must not run the request.
func TestPausedBeyondItsGrant(t *testing.T) {
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
		t.Fatal("the slot of the void grant is not free")
	}
}

func TestRefusesWhatCannotMeetItsDeadline(t *testing.T) {
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
