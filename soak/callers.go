package soak

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"greengagedyke/flow"
	"greengagedyke/standin/flowtest"
)

const (
	// boardInterval is the pause between two requests on the long-lived flow of one caller.
	boardInterval = 150 * time.Millisecond
	// swapInterval is the time between two requests of kindSwap. Requests of kindSheet are half as
	// frequent.
	swapInterval = 40 * time.Millisecond
	// burstInterval is the time between two requests of a burst.
	burstInterval = 6 * time.Millisecond
	// moveInterval is the time between two requests to movingAddr.
	moveInterval = 100 * time.Millisecond
	// requestTimeout is how long a caller waits for an answer.
	requestTimeout = 4 * time.Second
	// minUndisturbedTime is how long a sidecar must have run without being killed or paused
	// before the reset of a flow that its upstream still holds counts as a violation.
	minUndisturbedTime = 4 * time.Second
	// inForceLimit is the time within which all balancers must apply a new configuration.
	inForceLimit = 9 * time.Second
	// leavingUpstreamLimit is how long an upstream may still get new flows after its heartbeat
	// with the state leaving was acknowledged.
	leavingUpstreamLimit = 3 * time.Second
	// evacuationLimit is how long an upstream may still get new flows after the evacuation of its failure
	// domain was acknowledged, and after the end of a fault of the store within that time.
	evacuationLimit = 5 * time.Second
	// warmupLimit is the largest number of opening packets that a warming upstream may get in a second.
	warmupLimit = warmupRate*3/2 + 5
)

// workload generates the callers' requests and checks their results.
type workload struct {
	site *site
	// lastRequestID is the number in the name of the newest request.
	lastRequestID atomic.Int64

	mu sync.Mutex
	// sentRequests is the set of the names of all requests sent so far.
	sentRequests map[string]bool
	// moveRequests are the answered requests to movingAddr of which it is certain which incarnation
	// of which balancer routed them.
	moveRequests []moveRequest
	// openedVia is by flow the address of the balancer that got the opening packets, if it was only one.
	openedVia map[flow.Key]netip.AddrPort
	// refused holds for each flow that was refused how many opening packets its caller had sent.
	refused map[flow.Key]int
	// bursts are the goroutines of the bursts.
	bursts sync.WaitGroup
}

// The kinds of requests. A request is named KIND-NUMBER, and its content is its name.
const (
	// kindBoard is a request to boardAddr, on a long-lived flow. Each request of another kind opens a
	// new flow.
	kindBoard = "board"
	// kindSwap is a request to swapAddr.
	kindSwap = "swap"
	// kindSheet is a request to sheetAddr.
	kindSheet = "sheet"
	// kindMove is a request to movingAddr.
	kindMove = "move"
)

// moveRequest is an answered request to movingAddr.
type moveRequest struct {
	name string
	// sentAt is when the caller began to open the flow, openedAt when it was open. The balancer routed
	// it in between.
	sentAt, openedAt time.Time
	// balancer is the index in site.balancers of the balancer that routed the flow; incarnation is
	// the number of starts of that balancer when it did so.
	balancer, incarnation int
}

// serveCallers runs all callers until ctx is done and waits for their last requests.
func (l *workload) serveCallers(ctx context.Context) {
	var wg sync.WaitGroup
	for range l.site.opts.Boards {
		wg.Go(func() { l.runBoard(ctx) })
	}
	wg.Go(func() { l.callEvery(ctx, swapInterval, func() { l.sendOnNewFlow(ctx, swapAddr, kindSwap) }) })
	wg.Go(func() { l.callEvery(ctx, 2*swapInterval, func() { l.sendOnNewFlow(ctx, sheetAddr, kindSheet) }) })
	wg.Go(func() { l.callEvery(ctx, moveInterval, func() { l.sendMoveRequest(ctx) }) })
	wg.Wait()
}

// callEvery calls do in a new goroutine at each interval until ctx is done, then waits for all
// calls to return.
func (l *workload) callEvery(ctx context.Context, interval time.Duration, do func()) {
	var wg sync.WaitGroup
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-t.C:
			wg.Go(do)
		}
	}
}

// newRequest returns the name of a new request and records it as sent.
func (l *workload) newRequest(kind string) string {
	request := fmt.Sprintf("%s-%d", kind, l.lastRequestID.Add(1))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sentRequests[request] = true
	return request
}

// runBoard sends requests on a long-lived flow until ctx is done. It opens a new flow when the
// current one fails or ends.
func (l *workload) runBoard(ctx context.Context) {
	var f *flowtest.Flow
	for ctx.Err() == nil {
		if f == nil {
			f = l.openFlow(ctx, boardAddr)
		}
		if f != nil && !l.sendRequest(ctx, f, kindBoard) {
			f = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(boardInterval):
		}
	}
	if f != nil {
		f.Close()
	}
}

// openFlow opens a flow to addr. If that fails, it returns nil, and counts a request as not run unless
// ctx is done.
func (l *workload) openFlow(ctx context.Context, addr netip.AddrPort) *flowtest.Flow {
	f, err := l.site.callers.Open(ctx, addr)
	l.recordOpening(f)
	if err != nil {
		if ctx.Err() == nil {
			l.site.recorder.countOutcome(outcomeNotRun)
		}
		return nil
	}
	return f
}

// recordOpening records via which balancer f was opened, and whether it was refused.
func (l *workload) recordOpening(f *flowtest.Flow) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if n := f.RefusedAfter(); n > 0 {
		l.refused[f.Key()] = n
	}
	if via, single := f.OpenedVia(); single {
		l.openedVia[f.Key()] = via
	}
}

// startBurst makes callers send many requests of kindSwap or kindSheet on new flows to addr for the
// duration d.
func (l *workload) startBurst(ctx context.Context, addr netip.AddrPort, d time.Duration) {
	kind := kindSwap
	if addr == sheetAddr {
		kind = kindSheet
	}
	l.bursts.Go(func() {
		burstCtx, cancel := context.WithTimeout(ctx, d)
		defer cancel()
		l.callEvery(burstCtx, burstInterval, func() { l.sendOnNewFlow(ctx, addr, kind) })
	})
}

// sendRequest sends a request on f, counts its outcome, and reports whether f can be used again. It
// counts no outcome if ctx is done before the answer arrives.
func (l *workload) sendRequest(ctx context.Context, f *flowtest.Flow, kind string) bool {
	request := l.newRequest(kind)
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	got, err := f.Do(requestCtx, request)
	switch {
	case errors.Is(err, flowtest.ErrReset):
		l.checkReset(f, request)
		return false
	case err != nil && ctx.Err() != nil:
		return false
	case err != nil:
		l.site.recorder.countOutcome(outcomeUnknown)
		f.Close()
		return false
	case got != request:
		l.site.recorder.addViolation("whole-answer", "%q was answered with %q", request, got)
	}
	l.site.recorder.countOutcome(outcomeAnswered)
	return !f.Ended()
}

// checkReset counts the reset of f, and the request that got no answer as unknown. It records a
// violation if an upstream still holds f and that upstream's sidecar was not disturbed within
// minUndisturbedTime.
func (l *workload) checkReset(f *flowtest.Flow, request string) {
	l.site.recorder.countOutcome(outcomeUnknown)
	l.site.recorder.countReset()
	for _, p := range l.site.sidecars {
		if p.currentUpstream().Holds(f.Key()) && p.undisturbedSince(time.Now().Add(-minUndisturbedTime)) {
			l.site.recorder.addViolation("open-flow", "%v was reset at request %s although upstream %v holds it", f.Key(), request, p.upstreamAddr.Addr())
		}
	}
}

// sendOnNewFlow opens a flow, sends one request on it, and closes it. A request that fails is
// not retried on another flow.
func (l *workload) sendOnNewFlow(ctx context.Context, addr netip.AddrPort, kind string) {
	if f := l.openFlow(ctx, addr); f != nil {
		l.sendRequest(ctx, f, kind)
		f.Close()
	}
}

// sendMoveRequest sends a request to movingAddr and, if it is answered, adds it to moveRequests. It
// counts no outcome except that of a flow that does not open.
func (l *workload) sendMoveRequest(ctx context.Context) {
	incarnations := l.balancerIncarnations()
	m := moveRequest{sentAt: time.Now()}
	f := l.openFlow(ctx, movingAddr)
	if f == nil {
		return
	}
	defer f.Close()
	m.openedAt = time.Now()
	requestCtx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	m.name = l.newRequest(kindMove)
	if _, err := f.Do(requestCtx, m.name); err != nil {
		return
	}
	via, single := f.OpenedVia()
	i := slices.IndexFunc(l.site.balancers, func(b *balancerProcess) bool { return b.callerPathAddr == via })
	if !single || i < 0 || incarnations[i] != l.balancerIncarnations()[i] {
		return // more than one process may have routed the flow
	}
	m.balancer, m.incarnation = i, incarnations[i]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moveRequests = append(l.moveRequests, m)
}

// balancerIncarnations returns the number of starts of each balancer, by index in site.balancers.
func (l *workload) balancerIncarnations() []int {
	list := make([]int, len(l.site.balancers))
	for i, b := range l.site.balancers {
		list[i] = b.incarnation()
	}
	return list
}
