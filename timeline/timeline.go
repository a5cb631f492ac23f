// Package timeline records the recent events of a process in a ring buffer, with timestamps of
// a hybrid logical clock, so that the events of all processes can be merged in causal order. It also
// reads and sorts the lines of the processes' logs.
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
	// KindInForce: a process has started to act on a revision of the configuration.
	KindInForce Kind = "configuration-in-force"
	// KindEvacuation: a process has started to act on the evacuation of a failure domain, or on its
	// end; Detail is "evacuated" or "restored" and the domain.
	KindEvacuation Kind = "evacuation"
	// KindMemberState: a process changed its state; Detail is the new state.
	KindMemberState Kind = "member-state"
	// KindMemberSilent: a balancer no longer receives the announcements of a process.
	KindMemberSilent Kind = "member-silent"
	// KindRequest: a non-idempotent request with an idempotency key has ended; Detail is its outcome.
	KindRequest Kind = "request"
)

// Timestamp is a time of a hybrid logical clock: close to the wall clock, and later than every
// timestamp that the process received before.
type Timestamp struct {
	// Wall is the wall clock time in nanoseconds since the Unix epoch.
	Wall int64 `json:"wall"`
	// Logical orders timestamps of the same Wall.
	Logical uint32 `json:"logical"`
}

// Compare returns -1, 0 or +1 if s is before, equal to or after o.
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

// NewClock returns a clock that calls now to read the wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Next returns a timestamp later than all that the clock has returned or received.
func (c *Clock) Next() Timestamp { return c.advance(Timestamp{}) }

// maxClockOffset is how far ahead of the local wall clock a received timestamp may be.
const maxClockOffset = time.Minute

// Update advances the clock past a timestamp received from another process. A timestamp too far
// in the future is ignored, so that one wrong wall clock does not advance the clocks of others.
func (c *Clock) Update(s Timestamp) {
	if time.Unix(0, s.Wall).Sub(c.now()) < maxClockOffset {
		c.advance(s)
	}
}

// advance returns a timestamp later than received and than all that the clock has returned.
func (c *Clock) advance(received Timestamp) Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := Timestamp{Wall: c.now().UnixNano()}
	for _, s := range []Timestamp{c.last, received} {
		if s.Compare(next) >= 0 {
			next = Timestamp{Wall: s.Wall, Logical: s.Logical + 1}
		}
	}
	if next.Compare(c.last) <= 0 {
		panic("timeline: clock went backwards")
	}
	c.last = next
	return next
}

// Event is a recorded event of a process.
type Event struct {
	Timestamp Timestamp `json:"stamp"`
	// Process is the identity of the process that recorded the event.
	Process string `json:"process"`
	Kind    Kind   `json:"kind"`
	// Request is the idempotency key of the request that the event is about, if any.
	Request string `json:"request,omitempty"`
	// Upstream is the identity of the last sidecar that may have run the request of a KindRequest,
	// if any, or of the process that a KindMemberSilent is about.
	Upstream string `json:"upstream,omitempty"`
	// Revision is the revision of the configuration that the event is about, or 0.
	Revision uint64 `json:"revision,omitempty"`
	// Detail is the new state of a KindMemberState, the outcome of a KindRequest, or what a
	// KindEvacuation says; else empty.
	Detail string `json:"detail,omitempty"`
}

// Events are events in the order of their timestamps.
type Events []Event

// ringSize is the capacity of a ring in events.
const ringSize = 2048

// Ring is a ring buffer of the newest events of a process. It is safe for concurrent use.
type Ring struct {
	process string
	clock   *Clock

	mu     sync.Mutex
	events []Event
	// oldest is the index of the oldest event, which is overwritten next once the ring is full.
	oldest int
}

// NewRing returns an empty ring for the process with the given identity.
func NewRing(process string, clock *Clock) *Ring {
	return &Ring{process: process, clock: clock}
}

// Clock returns the clock that sets the events' timestamps.
func (r *Ring) Clock() *Clock { return r.clock }

// Add records an event, and sets its process and timestamp.
func (r *Ring) Add(e Event) {
	e.Process = r.process
	r.mu.Lock()
	defer r.mu.Unlock()
	e.Timestamp = r.clock.Next()
	if len(r.events) < ringSize {
		r.events = append(r.events, e)
		return
	}
	r.events[r.oldest] = e
	r.oldest = (r.oldest + 1) % ringSize
}

// Filter selects events that match all of its fields; an empty field matches any event.
type Filter struct {
	Request string `json:"request,omitempty"`
	// Upstream selects events whose Upstream or Process it equals.
	Upstream string `json:"upstream,omitempty"`
	Kind     Kind   `json:"kind,omitempty"`
	Revision uint64 `json:"revision,omitempty"`
	// Since excludes events before this time.
	Since time.Time `json:"since"`
}

// Matches reports whether the filter selects e.
func (f *Filter) Matches(e *Event) bool {
	return (f.Request == "" || f.Request == e.Request) &&
		(f.Upstream == "" || f.Upstream == e.Upstream || f.Upstream == e.Process) &&
		(f.Kind == "" || f.Kind == e.Kind) &&
		(f.Revision == 0 || f.Revision == e.Revision) &&
		(f.Since.IsZero() || e.Timestamp.Wall >= f.Since.UnixNano())
}

// Events returns the events that match f, oldest first.
func (r *Ring) Events(f Filter) Events {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list Events
	for i := range r.events {
		e := &r.events[(r.oldest+i)%len(r.events)]
		if f.Matches(e) {
			list = append(list, *e)
		}
	}
	return list
}

// Merge returns the events of several processes, ordered by timestamp.
func Merge(lists ...Events) Events {
	var all Events
	for _, l := range lists {
		all = append(all, l...)
	}
	slices.SortStableFunc(all, func(a, b Event) int {
		if c := a.Timestamp.Compare(b.Timestamp); c != 0 {
			return c
		}
		return cmp.Compare(a.Process, b.Process)
	})
	return all
}

// QueryJSON returns the events that match a Filter. The filter and the events are JSON.
func (r *Ring) QueryJSON(filter []byte) ([]byte, error) {
	var f Filter
	if err := json.Unmarshal(filter, &f); err != nil {
		return nil, errors.Wrap(err, "timeline.Ring.QueryJSON")
	}
	return json.Marshal(r.Events(f))
}
