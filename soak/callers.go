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

	"greengagedyke/standin/flowtest"
)

const (
	boardGap   = 150 * time.Millisecond
	swapGap    = 40 * time.Millisecond
	movingGap  = 100 * time.Millisecond
	askTimeout = 4 * time.Second
	// stableWindow is how long a sidecar must have been neither killed nor paused for a
	// reset of its upstream's flow to break a promise.
	stableWindow = 4 * time.Second
	// inForceLimit is the time in which an accepted configuration is in force.
	inForceLimit = 9 * time.Second
	// leaveLimit is the time after which a leaving upstream gets no new flows.
	leaveLimit = 3 * time.Second
	// downgradeSlack is the time that packets may be on their way.
	downgradeSlack = 250 * time.Millisecond
)

// load plays callers and checks what they see.
type load struct {
	site *site
	ids  atomic.Int64

	mu sync.Mutex
	// sent are all requests that callers sent.
	sent  map[string]bool
	moves []move
}

// The kinds of requests; the name of each request begins with its kind.
const (
	kindBoard = "board"
	kindSwap  = "swap"
	kindSheet = "sheet"
	kindMove  = "move"
)

// move is a request to the moving address.
type move struct {
	request string
	sent    time.Time
	// entry is the index of the balancer that took the flow, incarnation its process.
	entry, incarnation int
}

// run plays callers until ctx ends.
func (l *load) run(ctx context.Context) {
	var wg sync.WaitGroup
	for range l.site.opts.Boards {
		wg.Go(func() { l.board(ctx) })
	}
	wg.Go(func() { l.every(ctx, swapGap, func() { l.once(ctx, swapAddr, kindSwap) }) })
	wg.Go(func() { l.every(ctx, 2*swapGap, func() { l.once(ctx, sheetAddr, kindSheet) }) })
	wg.Go(func() { l.every(ctx, movingGap, func() { l.move(ctx) }) })
	wg.Wait()
}

// every calls do in goroutines until ctx ends, and waits for them.
func (l *load) every(ctx context.Context, gap time.Duration, do func()) {
	var wg sync.WaitGroup
	t := time.NewTicker(gap)
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

// request names a new request.
func (l *load) request(kind string) string {
	request := fmt.Sprintf("%s-%d", kind, l.ids.Add(1))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent[request] = true
	return request
}

// board keeps a flow open and asks on it until ctx ends.
func (l *load) board(ctx context.Context) {
	var f *flowtest.Flow
	for ctx.Err() == nil {
		if f == nil {
			f = l.open(ctx, boardAddr)
		}
		if f != nil && !l.ask(ctx, f, kindBoard) {
			f = nil
		}
		select {
		case <-ctx.Done():
		case <-time.After(boardGap):
		}
	}
	if f != nil {
		f.Close()
	}
}

// open opens a flow; nil if it did not open.
func (l *load) open(ctx context.Context, addr netip.AddrPort) *flowtest.Flow {
	f, err := l.site.callers.Open(ctx, addr)
	if err != nil {
		if ctx.Err() == nil {
			l.site.record.count(notRun)
		}
		return nil
	}
	return f
}

// ask sends a request on a flow and reports whether the flow goes on.
func (l *load) ask(ctx context.Context, f *flowtest.Flow, kind string) bool {
	request := l.request(kind)
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	got, err := f.Do(call, request)
	switch {
	case errors.Is(err, flowtest.ErrReset):
		l.lost(f, request)
		return false
	case err != nil && ctx.Err() != nil:
		return false
	case err != nil:
		l.site.record.count(unknown)
		f.Close()
		return false
	case got != request:
		l.site.record.violate("whole-answer", "%q was answered with %q", request, got)
	}
	l.site.record.count(answered)
	return !f.Ended()
}

// lost checks that a flow that was reset had lost its upstream.
func (l *load) lost(f *flowtest.Flow, request string) {
	l.site.record.count(unknown)
	l.site.record.reset()
	for _, p := range l.site.places {
		if p.current().Holds(f.Key()) && p.calmSince(time.Now().Add(-stableWindow)) {
			l.site.record.violate("open-flow", "%v was reset at request %s though %v holds it", f.Key(), request, p.app.Addr())
		}
	}
}

// once sends one request on a flow of its own. It is never repeated on another flow.
func (l *load) once(ctx context.Context, addr netip.AddrPort, kind string) {
	if f := l.open(ctx, addr); f != nil {
		l.ask(ctx, f, kind)
		f.Close()
	}
}

// move sends a request to the moving address and notes which balancer took it.
func (l *load) move(ctx context.Context) {
	starts := l.starts()
	m := move{sent: time.Now()}
	f := l.open(ctx, movingAddr)
	if f == nil {
		return
	}
	defer f.Close()
	call, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	m.request = l.request(kindMove)
	if _, err := f.Do(call, m.request); err != nil {
		return
	}
	via, one := f.Via()
	i := slices.IndexFunc(l.site.entries, func(e *entry) bool { return e.addr == via })
	if !one || i < 0 || starts[i] != l.starts()[i] {
		return // more than one process may have decided
	}
	m.entry, m.incarnation = i, starts[i]
	l.mu.Lock()
	defer l.mu.Unlock()
	l.moves = append(l.moves, m)
}

// starts are the incarnations of all balancers.
func (l *load) starts() []int {
	list := make([]int, len(l.site.entries))
	for i, e := range l.site.entries {
		list[i] = e.incarnation()
	}
	return list
}
