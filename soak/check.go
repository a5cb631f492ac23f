package soak

import (
	"slices"
	"strings"
	"time"

	"greengagedyke/flow"
	"greengagedyke/standin/flowtest"
)

// runRecord describes where and how often a request ran.
type runRecord struct {
	// count is the number of runs at all upstreams.
	count int
	// service is the service of an upstream that ran the request. For a request that ran once, it is
	// the service that ran it.
	service string
}

// checkPromises compares the callers' records with the upstreams' records and records a violation
// for each broken promise. The last fault ended at faultsEndedAt.
func (l *workload) checkPromises(faultsEndedAt time.Time) {
	runs := map[string]runRecord{}
	for _, u := range l.site.upstreams() {
		for request, n := range u.RunCounts() {
			runs[request] = runRecord{count: runs[request].count + n, service: u.Service()}
		}
	}
	l.checkRuns(runs)
	l.checkLeavingUpstreams()
	for _, p := range l.site.sidecars {
		for _, u := range p.upstreams() {
			l.checkOpenings(p, u.Openings(), u.Holds)
		}
	}
	l.checkInForce(runs, faultsEndedAt)
	l.checkNeverBack(runs)
	l.checkRecovered(faultsEndedAt)
}

// checkRuns checks that upstreams ran only requests that callers sent, each at most once, and that
// sheet requests ran at sheetService, board and swap requests at coreService.
func (l *workload) checkRuns(runs map[string]runRecord) {
	for request, r := range runs {
		kind, _, _ := strings.Cut(request, "-")
		rightService := kind == kindMove || (kind == kindSheet) == (r.service == sheetService)
		switch {
		case !l.sentRequests[request]:
			l.site.recorder.addViolation("only-what-was-sent", "%q ran but no caller sent it", request)
		case r.count > 1:
			l.site.recorder.addViolation("at-most-once", "%s ran %d times, want at most once", request, r.count)
		case !rightService:
			l.site.recorder.addViolation("right-service", "%s ran at service %s", request, r.service)
		}
	}
}

// checkLeavingUpstreams checks that no upstream got a new flow more than leavingUpstreamLimit
// after its heartbeat with the state leaving was acknowledged.
func (l *workload) checkLeavingUpstreams() {
	for _, u := range l.site.upstreams() {
		leftAt, newestFlowAt := u.LeavingTimes()
		if !leftAt.IsZero() && newestFlowAt.Sub(leftAt) > leavingUpstreamLimit {
			l.site.recorder.addViolation("leaving-upstream", "new flow %v after the leaving heartbeat was acknowledged", newestFlowAt.Sub(leftAt))
		}
	}
}

// checkOpenings checks the opening packets that an upstream of p got. The upstream still holds the flows
// for which holds returns true.
func (l *workload) checkOpenings(p *sidecarProcess, openings []flowtest.Opening, holds func(flow.Key) bool) {
	r := l.site.recorder
	for i, o := range openings {
		if n := l.refused[o.Key]; n == 1 || n > 1 && holds(o.Key) {
			r.addViolation("refusal", "%v was refused after %d opening packets, but upstream %v got one at %v", o.Key, n, p.upstreamAddr.Addr(), r.since(o.At))
		}
		if i >= warmupLimit && o.WarmingUp && o.At.Sub(openings[i-warmupLimit].At) < time.Second {
			r.addViolation("warm-up-rate", "upstream %v got more than %d opening packets in the second before %v", p.upstreamAddr.Addr(), warmupLimit, r.since(o.At))
		}
		if o.New && l.site.evacuated(p.failureDomain, o.At) && !l.interruptedBefore(p, &o) {
			r.addViolation("evacuation", "%v was opened in %s at %v, at upstream %v", o.Key, p.failureDomain, r.since(o.At), p.upstreamAddr.Addr())
		}
	}
}

// interruptedBefore reports whether all processes that brought an opening packet to the upstream of p
// were interrupted within evacuationLimit before.
func (l *workload) interruptedBefore(p *sidecarProcess, o *flowtest.Opening) bool {
	via, single := l.openedVia[o.Key]
	for _, b := range l.site.balancers {
		if (!single || via == b.callerPathAddr) && !b.interruptedBetween(o.At.Add(-evacuationLimit), o.At) {
			return false
		}
	}
	return p.interruptedBetween(o.At.Add(-evacuationLimit), o.At)
}

// checkInForce checks the requests to movingAddr that were sent more than inForceLimit after the
// newest configuration was written and after the last fault ended: they must have run at the service
// that this configuration names.
func (l *workload) checkInForce(runs map[string]runRecord, faultsEndedAt time.Time) {
	newest := l.site.newestConfiguration()
	from := newest.writtenAt
	if faultsEndedAt.After(from) {
		from = faultsEndedAt
	}
	for _, m := range l.moveRequests {
		if service := runs[m.name].service; m.sentAt.After(from.Add(inForceLimit)) && service != newest.movingService {
			l.site.recorder.addViolation("in-force", "%s ran at %s, configuration version %d routes it to %s", m.name, service, newest.version, newest.movingService)
		}
	}
}

// checkNeverBack checks that no balancer incarnation returns to an older configuration: if a request to
// movingAddr was sent after the flow of another one was open, it must not have run as only an older
// configuration than for the other one allows.
func (l *workload) checkNeverBack(runs map[string]runRecord) {
	byOpening := slices.SortedFunc(slices.Values(l.moveRequests), func(a, b moveRequest) int { return a.openedAt.Compare(b.openedAt) })
	// minIndexes hold for each opened request the index in site.configurations of the oldest
	// configuration that its balancer incarnation may have used, given the requests before.
	minIndexes := make([]int, len(byOpening))
	for i, m := range byOpening {
		minIndex := 0
		for j, earlier := range byOpening[:i] {
			sameProcess := m.balancer == earlier.balancer && m.incarnation == earlier.incarnation
			if sameProcess && earlier.openedAt.Before(m.sentAt) {
				minIndex = max(minIndex, minIndexes[j])
			}
		}
		minIndexes[i] = l.oldestConfigurationFor(runs[m.name].service, minIndex, m.openedAt)
		if minIndexes[i] < 0 {
			l.site.recorder.addViolation("never-back", "balancer %d sent %s to %s after it had used configuration version %d", m.balancer, m.name,
				runs[m.name].service, l.site.configurations[minIndex].version)
		}
	}
}

// oldestConfigurationFor returns the index of the oldest configuration, at index from or later, that
// routes movingAddr to service, or -1 if there is none. It ignores configurations whose write
// began after openedAt, because the flow was routed by then.
func (l *workload) oldestConfigurationFor(service string, from int, openedAt time.Time) int {
	for i, c := range l.site.configurations {
		if i >= from && c.movingService == service && c.begunAt.Before(openedAt) {
			return i
		}
	}
	return -1
}

// checkRecovered checks each full second of the run that begins more than recoveryTime after the last
// fault ended: at least one request must have been answered in it, and none must have failed.
func (l *workload) checkRecovered(faultsEndedAt time.Time) {
	r := l.site.recorder
	first := int((faultsEndedAt.Sub(r.startedAt) + recoveryTime) / time.Second)
	for i := first + 1; i < len(r.seconds)-1; i++ {
		if s := r.seconds[i]; s.Answered == 0 || s.NotRun+s.Unknown > 0 {
			r.addViolation("recovery", "second %d: %d answered, %d not run, %d unknown", i, s.Answered, s.NotRun, s.Unknown)
		}
	}
}
