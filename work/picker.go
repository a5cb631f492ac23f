package work

import (
	"cmp"
	"slices"
	"time"
)

// PriorityCount is the number of priorities; 0 is served first.
const PriorityCount = 10

// Load is what a sidecar says of its upstream's slots.
type Load struct {
	Slots int
	// Free is the number of slots that a short request could have at once.
	Free int
	// FreeLong is the number of slots that a long request could have at once.
	FreeLong int
	// Queued is the number of requests that wait, by priority.
	Queued [PriorityCount]int
	// Busy is the decayed share of time that the slots were busy.
	Busy float64
}

// ahead is the number of waiting requests that are served before a new one.
func (l *Load) ahead(priority int) int {
	n := 0
	for _, q := range l.Queued[:priority+1] {
		n += q
	}
	return n
}

const (
	// domainMargin is how much busier an upstream of the own failure domain may be
	// than the least busy one before work crosses domains.
	domainMargin = 0.02
	// selfMargin is the same for the upstream beside this sidecar.
	selfMargin = 0.02
	// staleReport is how long a report of free slots is believed.
	staleReport = 2 * time.Second
)

// Sibling is a member of the own service as a place to run requests.
type Sibling struct {
	Identity   string
	SameDomain bool
	Slots      int
}

type siblingLoad struct {
	Sibling
	load     Load
	reported time.Time
	// assigned is the work sent there since the last report.
	assigned time.Duration
	// outstanding and outstandingLong are the numbers of short and long offers
	// there without an answer.
	outstanding     int
	outstandingLong int
}

// Picker picks the sidecar that should run a request, from what siblings said
// in their answers and what was sent to them since. It is not safe for
// concurrent use.
type Picker struct {
	self     string
	siblings map[string]*siblingLoad
	turn     uint64
}

// NewPicker returns the balance of the sidecar called self.
func NewPicker(self string) *Picker {
	return &Picker{self: self, siblings: map[string]*siblingLoad{}}
}

// SetSiblings replaces the places, self included. Loads of those that stay are kept.
func (b *Picker) SetSiblings(list []Sibling) {
	next := map[string]*siblingLoad{}
	for _, s := range list {
		old := b.siblings[s.Identity]
		if old == nil {
			old = &siblingLoad{load: Load{Slots: s.Slots, Free: s.Slots, FreeLong: s.Slots}}
		}
		old.Sibling = s
		next[s.Identity] = old
	}
	b.siblings = next
}

// Report takes in what a sibling said.
func (b *Picker) Report(now time.Time, identity string, l Load) {
	s, ok := b.siblings[identity]
	if !ok {
		return
	}
	s.load = l
	s.reported = now
	s.assigned = 0
}

// OfferSent notes that work of an expected duration is offered to a place.
func (b *Picker) OfferSent(identity string, long bool, expected time.Duration) {
	s, ok := b.siblings[identity]
	if !ok {
		return
	}
	s.assigned += expected
	if long {
		s.outstandingLong++
		return
	}
	s.outstanding++
}

// OfferAnswered notes that an offer to a place has been answered.
func (b *Picker) OfferAnswered(identity string, long bool) {
	s, ok := b.siblings[identity]
	if !ok {
		return
	}
	if long {
		s.outstandingLong = max(0, s.outstandingLong-1)
		return
	}
	s.outstanding = max(0, s.outstanding-1)
}

// use estimates the busy share of a place, with the work sent there since it reported.
func (s *siblingLoad) use() float64 {
	slots := max(1, s.load.Slots)
	return s.load.Busy + float64(s.assigned)/float64(busyWindow)/float64(slots)
}

func (s *siblingLoad) free(now time.Time, self, long bool) bool {
	free, outstanding := s.load.Free, s.outstanding
	if long {
		free, outstanding = s.load.FreeLong, s.outstandingLong
	}
	if !self && now.Sub(s.reported) > staleReport {
		return outstanding < s.Slots
	}
	return free > outstanding
}

// Pick returns the place for a new request; false when no place is known to have
// a free slot for it. Places in exclude are passed over.
func (b *Picker) Pick(now time.Time, long bool, exclude map[string]bool) (string, bool) {
	var free []*siblingLoad
	for id, s := range b.siblings {
		if !exclude[id] && s.free(now, id == b.self, long) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	return b.preferred(free), true
}

func (b *Picker) preferred(list []*siblingLoad) string {
	slices.SortFunc(list, func(x, y *siblingLoad) int {
		if c := cmp.Compare(x.use(), y.use()); c != 0 {
			return c
		}
		return cmp.Compare(x.Identity, y.Identity)
	})
	least := list[0].use()
	for _, s := range list {
		if s.Identity == b.self && s.use() <= least+selfMargin {
			return s.Identity
		}
	}
	for _, s := range list {
		if s.SameDomain && s.use() <= least+domainMargin {
			return s.Identity
		}
	}
	return b.rotate(list, least)
}

// Places that are equally busy take turns.
func (b *Picker) rotate(list []*siblingLoad, least float64) string {
	n := 0
	for n < len(list) && list[n].use() <= least {
		n++
	}
	b.turn++
	return list[b.turn%uint64(n)].Identity
}

// queueMargin is how many more requests a slot must wait in the own queue before
// a request also waits in a sibling's.
const queueMargin = 1.0

// PickQueue returns the place other than self with the fewest requests a slot ahead
// of one with this priority. With shorter set, that must be clearly fewer than in the
// own queue.
func (b *Picker) PickQueue(priority int, shorter bool, exclude map[string]bool) (string, bool) {
	var best *siblingLoad
	for id, s := range b.siblings {
		if id == b.self || exclude[id] {
			continue
		}
		if best == nil || s.less(best, priority) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	own, ok := b.siblings[b.self]
	if shorter && ok && best.queue(priority)+queueMargin > own.queue(priority) {
		return "", false
	}
	return best.Identity, true
}

// less orders places by what is ahead of a request with this priority, then by the
// whole queue, then by the busy share.
func (s *siblingLoad) less(o *siblingLoad, priority int) bool {
	for _, p := range []int{priority, PriorityCount - 1} {
		if s.queue(p) != o.queue(p) {
			return s.queue(p) < o.queue(p)
		}
	}
	if s.use() != o.use() {
		return s.use() < o.use()
	}
	return s.Identity < o.Identity
}

func (s *siblingLoad) queue(priority int) float64 {
	return float64(s.load.ahead(priority)+s.outstanding) / float64(max(1, s.load.Slots))
}

// Identities returns the identities of all places, self included.
func (b *Picker) Identities() []string {
	var ids []string
	for id := range b.siblings {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
