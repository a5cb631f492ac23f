package soak

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// ran is what upstreams say of a request.
type ran struct {
	times   int
	service string
}

// check compares what callers saw with what upstreams did. There were no faults from
// calmFrom on.
func (l *load) check(calmFrom time.Time) {
	runs := map[string]ran{}
	for _, u := range l.site.upstreams() {
		for request, n := range u.Requests() {
			runs[request] = ran{times: runs[request].times + n, service: u.Service()}
		}
	}
	l.checkRuns(runs)
	l.checkLeft()
	l.checkInForce(runs, calmFrom)
	l.checkNeverBack(runs)
	l.checkRecovered(calmFrom)
}

// checkRuns: upstreams ran only what was sent, each request at most once and at a service
// that a configuration names for it.
func (l *load) checkRuns(runs map[string]ran) {
	for request, r := range runs {
		kind, _, _ := strings.Cut(request, "-")
		right := kind == kindMove || (kind == kindSheet) == (r.service == sheet)
		switch {
		case !l.sent[request]:
			l.site.record.violate("only-what-was-sent", "%q ran, which nobody sent", request)
		case r.times > 1:
			l.site.record.violate("at-most-once", "%s ran %d times", request, r.times)
		case !right:
			l.site.record.violate("right-service", "%s ran at %s", request, r.service)
		}
	}
}

// checkLeft: no new flow came to an upstream that leaves.
func (l *load) checkLeft() {
	for _, u := range l.site.upstreams() {
		left, newest := u.Left()
		if !left.IsZero() && newest.Sub(left) > leaveLimit {
			l.site.record.violate("leaving-upstream", "a new flow came %v after its word was acknowledged", newest.Sub(left))
		}
	}
}

// checkInForce: without faults, the newest configuration holds everywhere in time.
func (l *load) checkInForce(runs map[string]ran, calmFrom time.Time) {
	newest := l.site.newestVersion()
	from := newest.at
	if calmFrom.After(from) {
		from = calmFrom
	}
	for _, m := range l.moves {
		if service := runs[m.request].service; m.sent.After(from.Add(inForceLimit)) && service != newest.moving {
			l.site.record.violate("in-force", "%s ran at %s, version %d says %s", m.request, service, newest.number, newest.moving)
		}
	}
}

// checkNeverBack: the requests that one process took can be explained by versions that
// never go back.
func (l *load) checkNeverBack(runs map[string]ran) {
	type process struct{ entry, incarnation int }
	type shown struct {
		// version is the index of the oldest version that explains all requests so far.
		version int
		at      time.Time
	}
	slices.SortFunc(l.moves, func(a, b move) int { return cmp.Compare(a.sent.UnixNano(), b.sent.UnixNano()) })
	state := map[process]shown{}
	for _, m := range l.moves {
		p := process{m.entry, m.incarnation}
		before := state[p]
		at := l.explains(runs[m.request].service, before.version, m.sent)
		switch {
		case at > before.version:
			state[p] = shown{version: at, at: m.sent}
		case at < 0 && m.sent.Sub(before.at) > downgradeSlack:
			l.site.record.violate("never-back", "balancer %d sent %s to %s after version %d", m.entry, m.request,
				runs[m.request].service, l.site.versions[before.version].number)
		}
	}
}

// explains returns the index of the oldest version from one on that sends the moving
// address to a service; -1 if there was none when the request was decided about.
func (l *load) explains(service string, from int, sent time.Time) int {
	for i, v := range l.site.versions {
		if i >= from && v.moving == service && v.at.Before(sent.Add(openLimit)) {
			return i
		}
	}
	return -1
}

// openLimit is how long a flow may take to open.
const openLimit = 1400 * time.Millisecond

// checkRecovered: all callers are served after the recovery without faults.
func (l *load) checkRecovered(calmFrom time.Time) {
	r := l.site.record
	first := int((calmFrom.Sub(r.began) + recovery) / time.Second)
	for i := first + 1; i < len(r.seconds)-1; i++ {
		if s := r.seconds[i]; s.Answered == 0 || s.NotRun+s.Unknown > 0 {
			r.violate("recovery", "second %d: %d answered, %d not run, %d unknown", i, s.Answered, s.NotRun, s.Unknown)
		}
	}
}
