package work

import (
	"cmp"
	"slices"
	"time"
)

// PriorityCount is the number of priorities; 0 is the highest.
const PriorityCount = 10

// Load is a sidecar's report on the slots of its upstream.
type Load struct {
	Slots int
	// Free is the number of slots that are still free for new short requests once each queued short
	// request has got a slot.
	Free int
	// FreeLong is the number of slots left for new long requests after all queued ones.
	FreeLong int
	// Queued is the number of waiting requests by priority.
	Queued [PriorityCount]int
	// Busy is the moving average of the share of busy slots, 0 to 1.
	Busy float64
}

// queuedAhead returns the number of waiting requests that are served before a new one.
func (l *Load) queuedAhead(priority int) int {
	n := 0
	for _, q := range l.Queued[:priority+1] {
		n += q
	}
	return n
}

const (
	// domainMargin is how much higher the utilization of a sidecar in the same failure domain may
	// be than the lowest one before requests go to another domain.
	domainMargin = 0.02
	// selfMargin is how much higher the utilization of the local sidecar may be than the lowest one
	// before requests go to another sidecar.
	selfMargin = 0.02
	// reportTTL is the age up to which the numbers of free slots in a load report are used.
	reportTTL = 2 * time.Second
)

// Sibling is a sidecar that a Picker can choose, the local sidecar included.
type Sibling struct {
	Identity   string
	SameDomain bool // in the same failure domain as the local sidecar
	Slots      int  // number of requests that it runs at the same time
}

// siblingLoad is the last load report of a sidecar and the local sidecar's offers to it.
type siblingLoad struct {
	Sibling
	load       Load
	reportedAt time.Time
	// assignedWork is the sum of the expected durations of the requests offered since that report.
	assignedWork time.Duration
	// outstanding is the number of unanswered offers of short requests.
	outstanding int
	// outstandingLong is the number of unanswered offers of long requests.
	outstandingLong int
}

// Picker picks the sidecar that runs a request, from the load that each sidecar last reported and
// the requests offered to it since. It is not safe for concurrent use.
type Picker struct {
	self     string                  // identity of the local sidecar
	siblings map[string]*siblingLoad // by identity, self included
	rotation uint64                  // number of calls of nextLeastUsed
}

// NewPicker returns the picker of the sidecar with the identity self.
func NewPicker(self string) *Picker {
	return &Picker{self: self, siblings: map[string]*siblingLoad{}}
}

// SetSiblings replaces the list of sidecars, which includes self if the local upstream takes
// requests. The loads of sidecars that stay in the list are kept.
func (p *Picker) SetSiblings(list []Sibling) {
	next := map[string]*siblingLoad{}
	for _, s := range list {
		old := p.siblings[s.Identity]
		if old == nil {
			old = &siblingLoad{load: Load{Slots: s.Slots, Free: s.Slots, FreeLong: s.Slots}}
		}
		old.Sibling = s
		next[s.Identity] = old
	}
	p.siblings = next
}

// Report records a load report. It ignores a sidecar that is not in the list.
func (p *Picker) Report(now time.Time, identity string, l Load) {
	s, ok := p.siblings[identity]
	if !ok {
		return
	}
	s.load = l
	s.reportedAt = now
	s.assignedWork = 0
}

// OfferSent records that a request of the expected duration was offered to a sidecar.
func (p *Picker) OfferSent(identity string, long bool, expected time.Duration) {
	s, ok := p.siblings[identity]
	if !ok {
		return
	}
	s.assignedWork += expected
	if long {
		s.outstandingLong++
		return
	}
	s.outstanding++
}

// OfferAnswered records that an offer was granted, refused or withdrawn.
func (p *Picker) OfferAnswered(identity string, long bool) {
	s, ok := p.siblings[identity]
	if !ok {
		return
	}
	if long {
		s.outstandingLong = max(0, s.outstandingLong-1)
		return
	}
	s.outstanding = max(0, s.outstanding-1)
}

// utilization estimates the share of busy slots, including the requests offered since the report.
func (s *siblingLoad) utilization() float64 {
	slots := max(1, s.load.Slots)
	return s.load.Busy + float64(s.assignedWork)/float64(busyWindow)/float64(slots)
}

// hasFreeSlot reports whether the sidecar has more free slots than unanswered offers, where short
// and long requests are counted separately. If its last report is older than reportTTL, all its
// slots count as free. self is set for the local sidecar, which reports its load before each pick, so
// that the age of the report does not matter.
func (s *siblingLoad) hasFreeSlot(now time.Time, self, long bool) bool {
	free, outstanding := s.load.Free, s.outstanding
	if long {
		free, outstanding = s.load.FreeLong, s.outstandingLong
	}
	if !self && now.Sub(s.reportedAt) > reportTTL {
		return outstanding < s.Slots
	}
	return free > outstanding
}

// Pick returns the sidecar that a new request is offered to. It returns false if no sidecar outside
// exclude has a free slot for the request.
func (p *Picker) Pick(now time.Time, long bool, exclude map[string]bool) (string, bool) {
	var free []*siblingLoad
	for id, s := range p.siblings {
		if !exclude[id] && s.hasFreeSlot(now, id == p.self, long) {
			free = append(free, s)
		}
	}
	if len(free) == 0 {
		return "", false
	}
	return p.choose(free), true
}

// choose returns the local sidecar if its utilization is close to the lowest, else the least used
// one of the same failure domain if that is close, else the least used one.
func (p *Picker) choose(list []*siblingLoad) string {
	slices.SortFunc(list, func(x, y *siblingLoad) int {
		if c := cmp.Compare(x.utilization(), y.utilization()); c != 0 {
			return c
		}
		return cmp.Compare(x.Identity, y.Identity)
	})
	least := list[0].utilization()
	for _, s := range list {
		if s.Identity == p.self && s.utilization() <= least+selfMargin {
			return s.Identity
		}
	}
	for _, s := range list {
		if s.SameDomain && s.utilization() <= least+domainMargin {
			return s.Identity
		}
	}
	return p.nextLeastUsed(list, least)
}

// nextLeastUsed returns in turn the sidecars of a sorted list that share the lowest utilization.
func (p *Picker) nextLeastUsed(list []*siblingLoad, least float64) string {
	n := 0
	for n < len(list) && list[n].utilization() <= least {
		n++
	}
	p.rotation++
	return list[p.rotation%uint64(n)].Identity
}

// minQueueAdvantage is how many fewer requests per slot must wait at a sibling than locally before
// a request also joins the sibling's queue.
const minQueueAdvantage = 1.0

// PickQueue returns the sidecar, other than the local one, with the fewest requests per slot queued
// ahead of a new one of this priority. It returns false if there is none outside exclude, or if
// shorter is set and the local queue is not longer by at least minQueueAdvantage.
func (p *Picker) PickQueue(priority int, shorter bool, exclude map[string]bool) (string, bool) {
	var best *siblingLoad
	for id, s := range p.siblings {
		if id == p.self || exclude[id] {
			continue
		}
		if best == nil || s.less(best, priority) {
			best = s
		}
	}
	if best == nil {
		return "", false
	}
	self, ok := p.siblings[p.self]
	if shorter && ok && best.queuedPerSlot(priority)+minQueueAdvantage > self.queuedPerSlot(priority) {
		return "", false
	}
	return best.Identity, true
}

// less orders sidecars by the requests queued ahead of one with this priority, then by the whole
// queue, then by utilization.
func (s *siblingLoad) less(o *siblingLoad, priority int) bool {
	for _, p := range []int{priority, PriorityCount - 1} {
		if s.queuedPerSlot(p) != o.queuedPerSlot(p) {
			return s.queuedPerSlot(p) < o.queuedPerSlot(p)
		}
	}
	if s.utilization() != o.utilization() {
		return s.utilization() < o.utilization()
	}
	return s.Identity < o.Identity
}

// queuedPerSlot returns the number of requests per slot that are queued ahead of a new one. It
// counts unanswered offers of short requests as queued.
func (s *siblingLoad) queuedPerSlot(priority int) float64 {
	return float64(s.load.queuedAhead(priority)+s.outstanding) / float64(max(1, s.load.Slots))
}

// Identities returns the identities of all sidecars in the list, sorted.
func (p *Picker) Identities() []string {
	var ids []string
	for id := range p.siblings {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
