// Package timeline keeps a bounded ring of typed events in each process, ordered by
// a hybrid logical clock, so that one command can merge those of all processes.
package timeline

import (
	"cmp"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	// KindInForce: a configuration is in force in a process.
	KindInForce Kind = "configuration-in-force"
	// KindMemberState: a process changed its state.
	KindMemberState Kind = "member-state"
	// KindMemberSilent: a balancer no longer hears a process.
	KindMemberSilent Kind = "member-silent"
	// KindRequest: the outcome of a non-idempotent request.
	KindRequest Kind = "request"
)

// Timestamp is a time of a hybrid logical clock: close to the wall clock, and later than
// everything that the process had heard of.
type Timestamp struct {
	// Wall is in nanoseconds since 1970.
	Wall    int64  `json:"wall"`
	Logical uint32 `json:"logical"`
}

// Compare orders stamps.
func (s Timestamp) Compare(o Timestamp) int {
	if c := cmp.Compare(s.Wall, o.Wall); c != 0 {
		return c
	}
	return cmp.Compare(s.Logical, o.Logical)
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock over now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Next returns a stamp later than all before it.
func (c *Clock) Next() Timestamp { return c.after(Timestamp{}) }

// maxDrift bounds how far a peer's clock may pull this one ahead.
const maxDrift = time.Minute

// Update notes a stamp of another process, so that what follows here is later. A stamp
// far in the future is left out: a wrong clock must not spread.
func (c *Clock) Update(s Timestamp) {
	if time.Unix(0, s.Wall).Sub(c.now()) < maxDrift {
		c.after(s)
	}
}

func (c *Clock) after(heard Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := Timestamp{Wall: c.now().UnixNano()}
	for _, s := range []Timestamp{c.last, heard} {
		if s.Compare(next) >= 0 {
			next = Timestamp{Wall: s.Wall, Logical: s.Logical + 1}
		}
	}
	if next.Compare(c.last) <= 0 {
		panic("timeline: the clock went back")
	}
	c.last = next
	return next
}

// Event is something that happened in a process.
type Event struct {
	Stamp    Timestamp `json:"stamp"`
	Process  string    `json:"process"`
	Kind     Kind      `json:"kind"`
	Request  string    `json:"request,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Revision uint64    `json:"revision,omitempty"`
	Detail   string    `json:"detail,omitempty"`
}

// Events are events in the order of their stamps.
type Events []Event

// ringSize is the number of events that a process keeps.
const ringSize = 2048

// Ring keeps the newest events of a process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   *Clock

	mu     sync.Mutex
	events []Event
	next   int
}

// NewRing returns a ring for a process.
func NewRing(process string, clock *Clock) *Ring {
	return &Ring{process: process, clock: clock}
}

// Clock is the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Add notes an event now.
func (r *Ring) Add(e Event) {
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Stamp = r.clock.Next()
	if len(r.events) < ringSize {
		r.events = append(r.events, e)
		return
	}
	r.events[r.next] = e
	r.next = (r.next + 1) % ringSize
}

// Filter picks events; empty fields pick all.
type Filter struct {
	Request  string `json:"request,omitempty"`
	Upstream string `json:"upstream,omitempty"`
	Kind     Kind   `json:"kind,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Since leaves out what happened before.
	Since time.Time `json:"since"`
}

// Matches reports whether the filter picks an event.
func (f *Filter) Matches(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Upstream == "" || f.Upstream == e.Upstream || f.Upstream == e.Process) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		(f.Since.IsZero() || e.Stamp.Wall >= f.Since.UnixNano())
}

// Events returns the kept events that the filter picks, in order.
func (r *Ring) Events(f Filter) Events {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list Events
	for i := range r.events {
		e := &r.events[(r.next+i)%len(r.events)]
		if f.Matches(e) {
			list = append(list, *e)
		}
	}
	return list
}

// Merge returns the events of several processes in one order.
func Merge(lists ...Events) Events {
	var all Events
	for _, l := range lists {
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Stamp.Compare(b.Stamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Process, b.Process)
	})
	return all
}

// Answer returns the events that an encoded filter picks, encoded.
func (r *Ring) Answer(filter []byte) ([]byte, error) {
	var f Filter
	if err := json.Unmarshal(filter, &f); err != nil {
		return nil, errors.Wrap(err, "timeline.Ring.Answer")
	}
	return json.Marshal(r.Events(f))
}
