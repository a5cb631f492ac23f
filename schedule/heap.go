package schedule

import "time"

// timeHeap is a binary heap of requests by time that can remove any of them.
type timeHeap struct {
	entries []heapEntry
	// position has the index of each request in entries, by the request's index in the queue.
	position []int32
}

// heapEntry is a request in a timeHeap.
type heapEntry struct {
	at      time.Duration
	request int32
}

// push adds request i.
func (h *timeHeap) push(i int32, at time.Duration) {
	for len(h.position) <= int(i) {
		h.position = append(h.position, none)
	}
	h.entries = append(h.entries, heapEntry{})
	h.up(len(h.entries)-1, heapEntry{at: at, request: i})
}

// first returns the request with the earliest time and the time. The heap must not be empty.
func (h *timeHeap) first() (int32, time.Duration) { return h.entries[0].request, h.entries[0].at }

// remove deletes request i, which must be in the heap.
func (h *timeHeap) remove(i int32) {
	at, last := int(h.position[i]), len(h.entries)-1
	moved := h.entries[last]
	h.entries = h.entries[:last]
	switch {
	case at == last:
	case at > 0 && moved.before(h.entries[(at-1)/2]):
		h.up(at, moved)
	default:
		h.down(at, moved)
	}
}

// up places an entry at an index or above it.
func (h *timeHeap) up(at int, e heapEntry) {
	for at > 0 && e.before(h.entries[(at-1)/2]) {
		h.set(at, h.entries[(at-1)/2])
		at = (at - 1) / 2
	}
	h.set(at, e)
}

// down places an entry at an index or below it.
func (h *timeHeap) down(at int, e heapEntry) {
	for {
		child := 2*at + 1
		if child+1 < len(h.entries) && h.entries[child+1].before(h.entries[child]) {
			child++
		}
		if child >= len(h.entries) || !h.entries[child].before(e) {
			break
		}
		h.set(at, h.entries[child])
		at = child
	}
	h.set(at, e)
}

// set stores an entry at an index.
func (h *timeHeap) set(at int, e heapEntry) {
	h.entries[at] = e
	h.position[e.request] = int32(at)
}

// before orders entries by time.
func (e heapEntry) before(o heapEntry) bool {
	return e.at < o.at || e.at == o.at && e.request < o.request
}
