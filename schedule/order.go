package schedule

import (
	"math"
	"time"
)

// marginShare is the part of the late work by which late requests go before they have to, since
// expected costs are uncertain.
const marginShare = 0.125

// reserveShare is the part of a late request's timeout that is kept for an answer that takes longer than
// expected.
const reserveShare = 0.1

// next returns the request to be served next, or none.
func (q *Queue[K, P]) next(now time.Time) int32 {
	for l := range q.onTime {
		if len(q.onTime[l].entries) == 0 {
			continue
		}
		first, _ := q.onTime[l].first()
		// Another request may have just begun in each slot, and the late one may take twice as long.
		other := 2 * q.items[first].cost * time.Duration(q.slots)
		if i := q.urgent(uint8(l), other, now); i != none {
			return i
		}
		if i := q.urgentBelow(uint8(l), other, now); i != none {
			return i
		}
		return first
	}
	if i := q.late[Levels-1].first(); i != none {
		return i
	}
	if len(q.givenUp.entries) > 0 {
		i, _ := q.givenUp.first()
		return i
	}
	return none
}

// urgent returns the late request of a level or a higher one that has to go before other work, in
// slot time, or none.
func (q *Queue[K, P]) urgent(level uint8, other time.Duration, now time.Time) int32 {
	t := now.Sub(q.epoch)
	for l := range q.late[:level+1] {
		late := &q.late[l]
		if late.root == none || q.lasting(l, t) {
			continue
		}
		higher := q.rates.higherShare(uint8(l), q.slots, now)
		margin := time.Duration(float64(late.work()) * (marginShare + higher/(1-higher)))
		first := late.first()
		if late.slack(t) < margin+other+q.reserve(first) {
			return first
		}
	}
	return none
}

// reserve returns the time, in slot time, by which a late request goes before it has to.
func (q *Queue[K, P]) reserve(i int32) time.Duration {
	timeout := timeoutOf(q.items[i].req.Timeout)
	return time.Duration(reserveShare*float64(timeout)) * time.Duration(q.slots)
}

// urgentBelow returns the late request of a level below another that misses its deadline unless it
// goes before other work, in slot time, or none. It goes only if the requests of higher levels that
// can be in time still can after it.
func (q *Queue[K, P]) urgentBelow(level uint8, other time.Duration, now time.Time) int32 {
	t := now.Sub(q.epoch)
	var onTime time.Duration
	room := time.Duration(math.MaxInt64)
	for l := int(level); l < Levels-1 && !q.lasting(l+1, t); l++ {
		onTime += q.onTimeWork[l]
		if h := &q.onTime[l]; len(h.entries) > 0 {
			_, lateAt := h.first()
			room = min(room, (lateAt-t)*time.Duration(q.slots)-onTime)
		}
		late := &q.late[l+1]
		if late.root == none || late.slack(t) >= other {
			continue
		}
		if i := late.first(); room >= max(other, q.items[i].cost*time.Duration(q.slots)) {
			return i
		}
	}
	return none
}

// lasting reports whether the overload lasts, so that late requests of a level wait.
func (q *Queue[K, P]) lasting(level int, now time.Duration) bool {
	return !q.Admitted && q.lost[level].lasting(now)
}

// giveUp gives up late requests until the slots suffice for the others.
func (q *Queue[K, P]) giveUp(now time.Duration) {
	for l := range q.late {
		t := &q.late[l]
		for i := t.victim(now); i != none; i = t.victim(now) {
			q.recordLoss(i, now)
			q.removeLate(i)
			q.items[i].place = placeGivenUp
			q.givenUp.push(i, q.items[i].start)
		}
	}
}
