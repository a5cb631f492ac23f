package work

import (
	"cmp"
	"slices"
	"time"
)

// Load is what a sidecar says of its upstream's slots.
type Load struct {
	Slots  int
	Free   int
	Queued int
	// Busy is the decayed share of time that the slots were busy.
	Busy float64
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
	// outstanding is the number of offers there without an answer.
	outstanding int
}

// Balance picks the sidecar that should run a request, from what siblings said
// in their answers and what was sent to them since. It is not safe for
// concurrent use.
type Balance struct {
	self     string
	siblings map[string]*siblingLoad
	turn     uint64
}

// NewBalance returns the balance of the sidecar called self.
func NewBalance(self string) *Balance {
	return &Balance{self: self, siblings: map[string]*siblingLoad{}}
}

// SetSiblings replaces the places, self included. Loads of those that stay are kept.
func (b *Balance) SetSiblings(list []Sibling) {
	next := map[string]*siblingLoad{}
	for _, s := range list {
		old := b.siblings[s.Identity]
		if old == nil {
			old = &siblingLoad{load: Load{Slots: s.Slots, Free: s.Slots}}
		}
		old.Sibling = s
		next[s.Identity] = old
	}
	b.siblings = next
}

// Report takes in what a sibling said.
func (b *Balance) Report(now time.Time, identity string, l Load) {
	s, ok := b.siblings[identity]
	if !ok {
		return
	}
	s.load = l
	s.reported = now
	s.assigned = 0
}

// Assign notes that work of an expected duration goes to a place.
func (b *Balance) Assign(identity string, expected time.Duration) {
	if s, ok := b.siblings[identity]; ok {
		s.assigned += expected
		s.outstanding++
	}
}

// Settle notes that an offer to a place has been answered.
func (b *Balance) Settle(identity string) {
	if s, ok := b.siblings[identity]; ok {
		s.outstanding = max(0, s.outstanding-1)
	}
}

// use estimates the busy share of a place, with the work sent there since it reported.
func (s *siblingLoad) use() float64 {
	slots := max(1, s.load.Slots)
	return s.load.Busy + float64(s.assigned)/float64(busyWindow)/float64(slots)
}

func (s *siblingLoad) free(now time.Time, self bool) bool {
	if !self && !s.reported.IsZero() && now.Sub(s.reported) > staleReport {
		return s.outstanding < s.Slots
	}
	return s.load.Free > s.outstanding
}

// Pick returns the place for a new request; false when no place is known to have
// a free slot. Places in exclude are passed over.
func (b *Balance) Pick(now time.Time, exclude map[string]bool) (string, bool) {
	var free []*siblingLoad
	for id, s := range b.siblings {
		if !exclude[id] && s.free(now, id == b.self) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	return b.preferred(free), true
}

func (b *Balance) preferred(list []*siblingLoad) string {
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
func (b *Balance) rotate(list []*siblingLoad, least float64) string {
	n := 0
	for n < len(list) && list[n].use() <= least {
		n++
	}
	b.turn++
	return list[b.turn%uint64(n)].Identity
}

// PickQueues returns up to n places other than self where a request should queue
// when no slot is free: those with the shortest queues for their slots.
func (b *Balance) PickQueues(n int, exclude map[string]bool) []string {
	var list []*siblingLoad
	for id, s := range b.siblings {
		if id != b.self && !exclude[id] {
			list = append(list, s)
		}
	}
	slices.SortFunc(list, func(x, y *siblingLoad) int {
		if c := cmp.Compare(x.queue(), y.queue()); c != 0 {
			return c
		}
		return cmp.Compare(x.Identity, y.Identity)
	})
	var ids []string
	for _, s := range list[:min(n, len(list))] {
		ids = append(ids, s.Identity)
	}
	return ids
}

func (s *siblingLoad) queue() float64 {
	return float64(s.load.Queued+s.outstanding) / float64(max(1, s.load.Slots))
}

// Places returns the identities of all places, self included.
func (b *Balance) Places() []string {
	var ids []string
	for id := range b.siblings {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
