package outlier

import (
	"cmp"
	"slices"
	"time"
)

const (
	// A member is worse if its failure share exceeds medianFactor times the median by failureMargin. The
	// more requests fail everywhere, the more the shares differ by chance.
	medianFactor  = 1.5
	failureMargin = 0.25
	// trialMargin is the same for a member that is ejected or in a trial: a single failure exceeds it.
	trialMargin = 0.1
	// slowFactor and slowMargin are how much longer than the median its answers take.
	slowFactor = 4
	slowMargin = 50 * time.Millisecond
	// minCompared is the smallest number of members with evidence that are compared.
	minCompared = 3
	// confirmAfter is how long, and for at least two reports, a member is worse before it is ejected.
	// Requests that were under way when VMs were without power do not eject it.
	confirmAfter = 500 * time.Millisecond
	// firstPause is how long a member is ejected before its first trial. Each further ejection within
	// relapseAfter takes twice as long, up to maxPause.
	firstPause   = 5 * time.Second
	maxPause     = 40 * time.Second
	relapseAfter = 30 * time.Second
	// pauseSpread is the part of a pause by which it is longer at some balancers, so that the trials of
	// one do for the others.
	pauseSpread = 0.5
	// trialFlows is the number of flows that a member gets in a trial, and again each trialPeriod as
	// long as the trial shows nothing.
	trialFlows  = 2
	trialPeriod = 2 * time.Second
	// ejectedDivisor sets the panic threshold: the number of members that accept flows, divided by
	// ejectedDivisor, may be ejected at a time.
	ejectedDivisor = 3
)

// phase is a member's place in the cycle from ejection to readmission.
type phase uint8

const (
	phaseInUse phase = iota
	phaseEjected
	phaseTrial
)

// Member is a member of a service as one balancer sees it. Its zero value is in use.
type Member struct {
	phase    phase
	evidence Evidence
	// reports counts the reports.
	reports int
	// accepting is set if the member accepts new flows, as it says.
	accepting bool
	// worseSince is since when the member is worse than the others, and worseReport the number of
	// reports at that time; zero if it is not.
	worseSince  time.Time
	worseReport int
	// until is when the pause or the trial period ends. pause is the length of the last pause, without
	// its spread.
	until time.Time
	pause time.Duration
	// readmittedAt is when the member was last readmitted.
	readmittedAt time.Time
	// trialLeft is the number of flows that the member may still get in the trial period.
	trialLeft int
}

// Report records the evidence in a report of the member.
func (m *Member) Report(e Evidence) {
	m.evidence = e
	m.reports++
}

// SetAccepting records whether the member accepts new flows, as it says.
func (m *Member) SetAccepting(accepting bool) { m.accepting = accepting }

// Blocked reports whether the member gets no new flows, unless there is no other.
func (m *Member) Blocked() bool {
	return m.phase == phaseEjected || m.phase == phaseTrial && m.trialLeft == 0
}

// Sent records that the member was sent a new flow.
func (m *Member) Sent() {
	if m.trialLeft > 0 {
		m.trialLeft--
	}
}

// Change says that a member was ejected or readmitted, and why.
type Change struct {
	// Member is the index of the member.
	Member  int
	Ejected bool
	// Panic is set if the member was readmitted since too many are ejected.
	Panic bool
	// Evidence is the member's, and Median what it was compared with.
	Evidence, Median Evidence
	// Pause is how long the ejected member gets no flows.
	Pause time.Duration
}

// Evaluate compares the members of a service and returns what has changed. spread, from 0 to 1, is how
// much of pauseSpread is added to pauses; it differs between balancers. Evaluate ejects a member that
// has been clearly worse than the median for confirmAfter. After a pause, the member is readmitted if
// its evidence is no worse than the median; without evidence it gets a few flows first. A service with
// fewer than ejectedDivisor members that accept flows keeps all, and so does one whose members all fail
// alike. It has to be called some times a second.
func Evaluate(members []*Member, spread float64, now time.Time) []Change {
	median := medianOf(members)
	var changes []Change
	ejected, accepting := 0, 0
	for i, m := range members {
		if m.accepting {
			accepting++
		}
		if c, changed := m.advance(&median, spread, now); changed {
			c.Member = i
			changes = append(changes, c)
		}
		if m.out() {
			ejected++
		}
	}
	limit := accepting / ejectedDivisor
	if ejected > limit {
		return append(changes, readmitSome(members, ejected-limit, median, now)...)
	}
	return append(changes, ejectWorst(members, limit-ejected, median, spread, now)...)
}

// out reports whether the member counts as ejected: it accepts flows and is not in full use.
func (m *Member) out() bool { return m.accepting && m.phase != phaseInUse }

// medianOf returns the median failure share and answer time of the members with evidence.
func medianOf(members []*Member) Evidence {
	var shares []float64
	var times []time.Duration
	for _, m := range members {
		if !m.accepting || !m.evidence.Known {
			continue
		}
		shares = append(shares, m.evidence.FailureShare)
		if m.evidence.AnswerTime > 0 {
			times = append(times, m.evidence.AnswerTime)
		}
	}
	var median Evidence
	if len(shares) >= minCompared {
		slices.Sort(shares)
		median.Known = true
		median.FailureShare = shares[(len(shares)-1)/2]
	}
	if len(times) >= minCompared {
		slices.Sort(times)
		median.AnswerTime = times[(len(times)-1)/2]
	}
	return median
}

// worse reports whether the evidence is clearly worse than the median. margin is that of the failures.
func (e *Evidence) worse(median *Evidence, margin float64) bool {
	if !e.Known || !median.Known {
		return false
	}
	slow := median.AnswerTime > 0 && e.AnswerTime > slowFactor*median.AnswerTime && e.AnswerTime > median.AnswerTime+slowMargin
	return slow || e.FailureShare > medianFactor*median.FailureShare+margin
}

// advance moves the member on in its cycle, but for ejections of members in use.
func (m *Member) advance(median *Evidence, spread float64, now time.Time) (Change, bool) {
	margin := failureMargin
	if m.phase != phaseInUse {
		margin = trialMargin
	}
	worse := m.evidence.worse(median, margin)
	switch {
	case !worse:
		m.worseSince = time.Time{}
	case m.worseSince.IsZero():
		m.worseSince = now
		m.worseReport = m.reports
	}
	if m.phase == phaseInUse || m.phase == phaseEjected && now.Before(m.until) {
		return Change{}, false
	}
	switch {
	case worse:
		return m.eject(median, spread, now), true
	case m.evidence.Known && median.Known:
		return m.readmit(median, now), true
	case m.phase == phaseEjected || !now.Before(m.until):
		m.phase = phaseTrial
		m.trialLeft = trialFlows
		m.until = now.Add(trialPeriod)
	}
	return Change{}, false
}

// eject begins a pause.
func (m *Member) eject(median *Evidence, spread float64, now time.Time) Change {
	relapsed := m.phase != phaseInUse || !m.readmittedAt.IsZero() && now.Sub(m.readmittedAt) < relapseAfter
	if relapsed {
		m.pause = min(2*m.pause, maxPause)
	} else {
		m.pause = firstPause
	}
	m.phase = phaseEjected
	m.trialLeft = 0
	pause := m.pause + time.Duration(pauseSpread*spread*float64(m.pause))
	m.until = now.Add(pause)
	return Change{Ejected: true, Evidence: m.evidence, Median: *median, Pause: pause}
}

// readmit puts the member into use again.
func (m *Member) readmit(median *Evidence, now time.Time) Change {
	m.phase = phaseInUse
	m.trialLeft = 0
	m.worseSince = time.Time{}
	m.readmittedAt = now
	return Change{Evidence: m.evidence, Median: *median}
}

// confirmed reports whether a member in use has been worse for long enough to be ejected.
func (m *Member) confirmed(now time.Time) bool {
	return m.accepting && m.phase == phaseInUse && !m.worseSince.IsZero() && m.reports > m.worseReport && now.Sub(m.worseSince) >= confirmAfter
}

// ejectWorst ejects at most limit of the members that have been worse for long enough, those with the
// most failures and then the slowest first.
func ejectWorst(members []*Member, limit int, median Evidence, spread float64, now time.Time) []Change {
	var worse []int
	for i, m := range members {
		if m.confirmed(now) {
			worse = append(worse, i)
		}
	}
	slices.SortFunc(worse, func(i, j int) int {
		a, b := &members[i].evidence, &members[j].evidence
		return cmp.Or(cmp.Compare(b.FailureShare, a.FailureShare), cmp.Compare(b.AnswerTime, a.AnswerTime))
	})
	var changes []Change
	for _, i := range worse[:min(limit, len(worse))] {
		c := members[i].eject(&median, spread, now)
		c.Member = i
		changes = append(changes, c)
	}
	return changes
}

// readmitSome readmits n ejected members since other members accept no flows any more, those whose
// pause ends first.
func readmitSome(members []*Member, n int, median Evidence, now time.Time) []Change {
	var out []int
	for i, m := range members {
		if m.out() {
			out = append(out, i)
		}
	}
	slices.SortStableFunc(out, func(i, j int) int { return members[i].until.Compare(members[j].until) })
	var changes []Change
	for _, i := range out[:n] {
		c := members[i].readmit(&median, now)
		c.Member, c.Panic = i, true
		changes = append(changes, c)
	}
	return changes
}
