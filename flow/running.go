package flow

import (
	"slices"
	"time"
)

// running tracks which of an upstream's requests it processes, and which wait inside it for a slot.
// So the time that a request takes can be told from the time that it waits. An upstream starts its
// requests in order of arrival.
type running struct {
	// active are the flows whose request has a slot, and waiting those whose request waits for one,
	// oldest first.
	active, waiting []*flowState
}

// begin records that the upstream has got the request of a flow.
func (r *running) begin(f *flowState, slots int, now time.Time) {
	f.slotSince = time.Time{}
	r.waiting = append(r.waiting, f)
	r.start(slots, now)
}

// start gives the free slots to waiting requests. The number of slots is unknown if it is 0; then all
// requests have one.
func (r *running) start(slots int, now time.Time) {
	for len(r.waiting) > 0 && (slots == 0 || len(r.active) < slots) {
		f := r.waiting[0]
		r.waiting = slices.Delete(r.waiting, 0, 1)
		f.slotSince = now
		r.active = append(r.active, f)
	}
}

// end records that the request of a flow has ended.
func (r *running) end(f *flowState) {
	if i := slices.Index(r.active, f); i >= 0 {
		r.active = slices.Delete(r.active, i, i+1)
	} else if i := slices.Index(r.waiting, f); i >= 0 {
		r.waiting = slices.Delete(r.waiting, i, i+1)
	}
}
