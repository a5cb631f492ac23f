package pace

import (
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const initial = 20 * time.Millisecond

var (
	testRoute = netip.MustParseAddrPort("198.18.0.1:443")
	start     = time.Unix(1000, 0)
)

// routeNumber returns the address of the i-th route.
func routeNumber(i int) netip.AddrPort { return netip.AddrPortFrom(testRoute.Addr(), uint16(1+i)) }

// observeMany records the same duration n times, 20 ms apart, and returns the time after that.
func observeMany(e *Estimator, d time.Duration, n int) time.Time {
	now := start
	for range n {
		now = now.Add(20 * time.Millisecond)
		e.Observe(testRoute, SizeSmall, d, now)
	}
	return now
}

// Whatever is observed, expectations stay between the smallest and the largest of the initial and the
// observed durations, and a request always has time remaining.
func TestExpectationsStayWithinBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := New(initial)
		now, shortest, longest := start, initial, initial
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause ms")) * time.Millisecond)
			to, size := routeNumber(rapid.IntRange(0, 100).Draw(t, "route")), Size(rapid.IntRange(0, int(sizeCount)-1).Draw(t, "size"))
			d := time.Duration(rapid.IntRange(0, 20_000_000).Draw(t, "us")) * time.Microsecond
			e.Observe(to, size, d, now)
			shortest, longest = min(shortest, d), max(longest, d)
			for _, got := range []time.Duration{e.Expect(to, size, now), e.Pace(now)} {
				// Histograms have sums of 32 bits.
				if got < shortest-shortest/1000 || got > longest+longest/1000 {
					t.Fatalf("expected %v, want it between %v and %v", got, shortest, longest)
				}
			}
			elapsed := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "elapsed ms")) * time.Millisecond
			if got := e.Remaining(to, size, elapsed, now); got <= 0 {
				t.Fatalf("%v remaining after %v, want more than 0", got, elapsed)
			}
		}
		if len(e.routes) > routeLimit {
			t.Fatalf("%d routes, want at most %d", len(e.routes), routeLimit)
		}
	})
}

// A single odd value moves the expectation by less than a tenth. If it was no odd one, the next ten
// make up for it.
func TestOneOddValue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		usual := time.Duration(rapid.IntRange(1, 200).Draw(t, "usual ms")) * time.Millisecond
		odd := time.Duration(rapid.IntRange(0, 60_000).Draw(t, "odd ms")) * time.Millisecond
		e := New(initial)
		now := observeMany(e, usual, 100)
		before := e.Expect(testRoute, SizeSmall, now)
		e.Observe(testRoute, SizeSmall, odd, now)
		if after := e.Expect(testRoute, SizeSmall, now); max(after-before, before-after) > before/10 {
			t.Errorf("expected %v before a value of %v, %v after it", before, odd, after)
		}
		for range 10 {
			e.Observe(testRoute, SizeSmall, 8*usual, now)
		}
		if got := e.Expect(testRoute, SizeSmall, now); got < 2*usual {
			t.Errorf("expected %v after ten values of %v", got, 8*usual)
		}
	})
}

// A route that is not used any more is expected to follow the pace of the upstream, and an idle upstream
// the initial duration, so that it is tried again.
func TestDecay(t *testing.T) {
	e := New(initial)
	now := observeMany(e, 200*time.Millisecond, 100)
	if got := e.Expect(routeNumber(9), SizeSmall, now); got < 150*time.Millisecond {
		t.Errorf("new route: expected %v, want the pace of the upstream, 200ms", got)
	}
	for i := range 200 {
		e.Observe(routeNumber(9), SizeSmall, 10*time.Millisecond, now.Add(time.Duration(i)*time.Second))
	}
	now = now.Add(200 * time.Second)
	if got := e.Expect(testRoute, SizeSmall, now); got > 20*time.Millisecond {
		t.Errorf("unused route: expected %v, want the pace of the upstream, 10ms", got)
	}
	if got := e.Pace(now.Add(5 * time.Minute)); got < initial*9/10 || got > initial {
		t.Errorf("idle upstream: expected %v, want %v", got, initial)
	}
}

// Of requests of which a tenth takes 20 times as long, one that has taken longer than the short ones is
// expected to be a long one. One that has taken longer than all others is expected to go on.
func TestRemaining(t *testing.T) {
	e := New(initial)
	for i := range 400 {
		d := 5 * time.Millisecond
		if i%10 == 0 {
			d = 100 * time.Millisecond
		}
		e.Observe(testRoute, SizeSmall, d, start)
	}
	for elapsed, want := range map[time.Duration][2]time.Duration{
		0:                      {10 * time.Millisecond, 20 * time.Millisecond},
		20 * time.Millisecond:  {60 * time.Millisecond, 80 * time.Millisecond},
		300 * time.Millisecond: {200 * time.Millisecond, 400 * time.Millisecond},
	} {
		if got := e.Remaining(testRoute, SizeSmall, elapsed, start); got < want[0] || got > want[1] {
			t.Errorf("after %v: %v remaining, want %v to %v", elapsed, got, want[0], want[1])
		}
	}
}

func BenchmarkObserveAndExpect(b *testing.B) {
	e := New(initial)
	b.ReportAllocs()
	for i := range b.N {
		now := start.Add(time.Duration(i) * time.Millisecond)
		to := routeNumber(i % 8)
		e.Observe(to, SizeSmall, time.Duration(i%50)*time.Millisecond, now)
		e.Expect(to, SizeSmall, now)
	}
}

func BenchmarkRemaining(b *testing.B) {
	e := New(initial)
	now := observeMany(e, 30*time.Millisecond, 100)
	b.ReportAllocs()
	for i := range b.N {
		e.Remaining(testRoute, SizeSmall, time.Duration(i%50)*time.Millisecond, now)
	}
}
